//! Member records on their way between daemons; many of them are compressed.

use crate::error::{Category, Error, Result};
use crate::generated::mesh as wire;
use crate::zlib;
use prost::Message;

/// The least number of records that are compressed.
const MIN_PACKED: usize = 16;

/// The greatest length of a batch after decompression, in bytes.
const MAX_BATCH_LEN: usize = 16 * 1024 * 1024;

/// Puts records into an update, compressed when they are many.
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

/// Takes the records out of an update.
///
/// # Errors
///
/// Fails with [`Category::Input`] when compressed records are damaged or expand too far.
pub fn unpack(update: &mut wire::MemberUpdate) -> Result<Vec<wire::Member>> {
    let mut members = std::mem::take(&mut update.members);
    if !update.packed.is_empty() {
        let fault = |err: &dyn std::fmt::Display| {
            Error::new(Category::Input, format!("packed member records: {err}"))
        };
        let plain = zlib::decompress(&update.packed, MAX_BATCH_LEN).map_err(|err| fault(&err))?;
        let packed = wire::MemberUpdate::decode(plain.as_slice()).map_err(|err| fault(&err))?;
        members.extend(packed.members);
    }
    Ok(members)
}
