//! Encoding of member records sent between daemons; large batches are compressed.

use crate::error::{Category, Error, Result};
use crate::generated::mesh as wire;
use crate::zlib;
use prost::Message;

/// The minimum number of records in a batch that is compressed.
const MIN_PACKED: usize = 16;

/// The maximum length of a batch after decompression, in bytes.
const MAX_BATCH_LEN: usize = 16 * 1024 * 1024;

/// Encodes records into an update, compressed when there are many.
#[must_use]
pub fn pack(members: Vec<wire::Member>) -> wire::MemberUpdate {
    let plain = wire::MemberUpdate {
        members,
        ..wire::MemberUpdate::default()
    };
    if plain.members.len() < MIN_PACKED {
        return plain;
    }
    wire::MemberUpdate {
        packed: zlib::compress(&plain.encode_to_vec()).into(),
        ..wire::MemberUpdate::default()
    }
}

/// Removes the records from an update and returns them, decompressed.
///
/// # Errors
///
/// Fails with [`Category::Input`] when compressed records are damaged, or longer than
/// `MAX_BATCH_LEN` after decompression.
pub fn unpack(update: &mut wire::MemberUpdate) -> Result<Vec<wire::Member>> {
    let mut members = std::mem::take(&mut update.members);
    if !update.packed.is_empty() {
        let error = |err: &dyn std::fmt::Display| {
            Error::new(Category::Input, format!("packed member records: {err}"))
        };
        let plain = zlib::decompress(&update.packed, MAX_BATCH_LEN).map_err(|err| error(&err))?;
        let packed = wire::MemberUpdate::decode(plain.as_slice()).map_err(|err| error(&err))?;
        members.extend(packed.members);
    }
    Ok(members)
}
