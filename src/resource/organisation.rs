//! Organisations and the digests of their API keys.

use crate::quota::Limit;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

/// An organisation whose callers present API keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The digests of its API keys. An organisation without keys cannot be named by a call.
    #[serde(default, deserialize_with = "key_set")]
    pub keys: BTreeSet<KeyDigest>,
    /// The request kind of its calls, which takes precedence over the route's. The route's is used
    /// when absent, and for services whose policy lacks this kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_kind: Option<String>,
    /// Rate limit of its calls in calls per 1,000 seconds, over all daemons; zero for none.
    #[serde(default, skip_serializing_if = "super::is_zero")]
    pub rate_per_ks: u64,
    /// Calls that it may make in addition to the rate, at once; zero for none.
    #[serde(default, skip_serializing_if = "super::is_zero")]
    pub burst: u64,
}

impl Organisation {
    /// Returns the limit of its calls over all daemons; `None` without a rate.
    #[must_use]
    pub fn limit(&self) -> Option<Limit> {
        // Both are far below the integers that an f64 holds exactly.
        #[allow(clippy::cast_precision_loss)]
        let (rate, burst) = (self.rate_per_ks as f64 / 1_000.0, self.burst as f64);
        (rate > 0.0).then_some(Limit { rate, burst })
    }
}

/// The SHA-256 digest of an API key.
///
/// Keys are compared by their digests, so that the time of a look-up does not reveal a prefix of a
/// key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        KeyDigest(Sha256::digest(key).into())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The error for text that is not a digest. It leaves the text out, which may be a key that was
/// written in place of its digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a digest must have 64 lower-case hexadecimal digits")]
pub struct InvalidDigest;

impl FromStr for KeyDigest {
    type Err = InvalidDigest;

    fn from_str(text: &str) -> Result<Self, InvalidDigest> {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != 64 || !text.bytes().all(is_digit) {
            return Err(InvalidDigest);
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| InvalidDigest)?;
        }
        Ok(KeyDigest(bytes))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Deserializes a list of digests. Errors quote no value, which may be a key.
fn key_set<'de, D: Deserializer<'de>>(deserializer: D) -> Result<BTreeSet<KeyDigest>, D::Error> {
    let value = serde_json::Value::deserialize(deserializer)?;
    let list = value.as_array();
    let list = list.ok_or_else(|| D::Error::custom("keys must be a list of digests"))?;
    let digests = list.iter().map(|item| item.as_str().unwrap_or_default());
    let digests: Result<_, InvalidDigest> = digests.map(str::parse).collect();
    digests.map_err(D::Error::custom)
}
