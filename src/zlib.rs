//! Compression of messages in memory.

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use std::io::{self, Error, ErrorKind, Read, Write};

/// Compresses bytes.
///
/// # Panics
///
/// Does not panic: writing to memory does not fail.
#[must_use]
pub fn compress(plain: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder
        .write_all(plain)
        .expect("writing to memory does not fail");
    encoder.finish().expect("writing to memory does not fail")
}

/// Decompresses bytes that are at most `max_len` long then.
///
/// # Errors
///
/// Fails when the data is damaged or expands further.
pub fn expand(data: &[u8], max_len: usize) -> io::Result<Vec<u8>> {
    let mut plain = Vec::new();
    ZlibDecoder::new(data)
        .take(max_len as u64 + 1)
        .read_to_end(&mut plain)?;
    if plain.len() > max_len {
        let message = format!("over {max_len} bytes after decompression");
        return Err(Error::new(ErrorKind::InvalidData, message));
    }
    Ok(plain)
}
