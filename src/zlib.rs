//! In-memory zlib compression of messages.

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use std::io::{self, Error, ErrorKind, Read, Write};

/// Compresses bytes into a zlib stream.
///
/// # Panics
///
/// Does not panic, because writing to memory does not fail.
#[must_use]
pub fn compress(plain: &[u8]) -> Vec<u8> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder
        .write_all(plain)
        .expect("writing to memory does not fail");
    encoder.finish().expect("writing to memory does not fail")
}

/// Decompresses a zlib stream to at most `max_len` bytes.
///
/// # Errors
///
/// Fails when the data is corrupt or expands to more than `max_len` bytes.
pub fn decompress(data: &[u8], max_len: usize) -> io::Result<Vec<u8>> {
    let mut plain = Vec::new();
    // One byte over the limit is enough to detect that the data expands to more.
    ZlibDecoder::new(data)
        .take(max_len as u64 + 1)
        .read_to_end(&mut plain)?;
    if plain.len() > max_len {
        let message = format!("over {max_len} bytes after decompression");
        return Err(Error::new(ErrorKind::InvalidData, message));
    }
    Ok(plain)
}
