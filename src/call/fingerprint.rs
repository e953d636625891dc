//! The identity of a request that comes again under another request id.

use super::body::Prefixed;
use http::header::CONTENT_LENGTH;
use http::request::Parts;
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Length of the part of a body that is hashed, in bytes: as much as an HTTP/2 stream buffers anyway.
/// Bodies of one length that differ only after it count as equal.
pub const BODY_LEN: usize = 16 * 1024;

/// Identifies a request by what it asks for and by its caller. All copies of it have the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint {
    /// A hash of method, host, path, query, stated length and the first [`BODY_LEN`] bytes of the body.
    pub content: u128,
    /// A hash of the caller's name.
    pub caller: u64,
}

impl Fingerprint {
    /// Hashes a request, given the start of its body if it has one.
    #[must_use]
    pub fn new(head: &Parts, caller: &str, body: Option<&Prefixed>) -> Self {
        let mut hasher = Xxh3::new();
        let host = head.uri.authority().map_or("", |host| host.as_str());
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        let length = head.headers.get(CONTENT_LENGTH);
        let length = length.map_or(&b""[..], http::HeaderValue::as_bytes);
        for part in [
            head.method.as_str().as_bytes(),
            host.as_bytes(),
            path.as_bytes(),
            length,
        ] {
            hasher.update(part);
            hasher.update(&[0]);
        }
        let mut left = BODY_LEN;
        for data in body.into_iter().flat_map(Prefixed::data) {
            let part = &data[..data.len().min(left)];
            hasher.update(part);
            left -= part.len();
        }
        Fingerprint::of_caller(hasher.digest128(), caller)
    }

    /// Returns a shorter hash, for a set where a rare collision does no harm.
    #[must_use]
    pub fn short(self) -> u64 {
        // The lower half of a hash is a hash.
        #[allow(clippy::cast_possible_truncation)]
        let content = self.content as u64;
        content ^ self.caller
    }

    /// Combines a content hash with a caller's name.
    #[must_use]
    pub fn of_caller(content: u128, caller: &str) -> Self {
        let caller = xxh3_64(caller.as_bytes());
        Fingerprint { content, caller }
    }
}
