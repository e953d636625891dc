//! Encoding of calls to the key-value service as HTTP requests, and decoding of the responses.

use super::{Changes, Entry, KeyEvent, Listing, PlatformError, Swap};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use std::time::Duration;

/// A call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Reads a key.
    Get {
        /// The key.
        key: String,
    },
    /// Lists keys below a prefix.
    List {
        /// The prefix.
        prefix: String,
        /// The last key of the page before; empty for the first page.
        after: String,
    },
    /// Writes or deletes a key under a condition.
    Swap {
        /// The key.
        key: String,
        /// The revision that the key must have; zero for absent.
        expected: u64,
        /// The value; `None` deletes the key.
        value: Option<Bytes>,
        /// The lease that the key is bound to; zero for none.
        lease: u64,
    },
    /// Waits for changes below a prefix.
    Changes {
        /// The prefix.
        prefix: String,
        /// The revision after which changes are returned.
        after: u64,
        /// The maximum wait.
        wait: Duration,
    },
    /// Starts a lease.
    Grant {
        /// The time after which it expires unless it is renewed.
        ttl: Duration,
    },
    /// Extends a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease.
    Revoke {
        /// The lease.
        lease: u64,
    },
}

impl Call {
    /// Returns whether the call is read-only, so that it can be repeated after any error.
    #[must_use]
    pub fn is_read(&self) -> bool {
        matches!(
            self,
            Call::Get { .. } | Call::List { .. } | Call::Changes { .. }
        )
    }
}

/// The decoded response to a call that was carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Response to [`Call::Get`]; `None` if the key is absent.
    Entry(Option<Entry>),
    /// Response to [`Call::List`]: one page, and the last key on it if further pages follow.
    Page(Listing, Option<String>),
    /// Response to [`Call::Swap`].
    Swap(Swap),
    /// Response to [`Call::Changes`].
    Changes(Changes),
    /// Response to [`Call::Grant`]: the lease id.
    Lease(u64),
    /// Response to [`Call::Renew`] and [`Call::Revoke`]: whether the lease had not expired.
    Alive(bool),
}

/// An encoded call: the parts of an HTTP request that depend on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpCall {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub path: String,
    /// The body; JSON, or empty.
    pub body: Bytes,
}

/// An HTTP protocol of the key-value service: encodes calls and decodes responses.
pub trait Dialect: Send + Sync {
    /// Encodes a call as an HTTP request.
    fn encode(&self, call: &Call) -> HttpCall;

    /// Decodes the response to a call.
    ///
    /// # Errors
    ///
    /// Fails with [`PlatformError::Unavailable`] or [`PlatformError::Refused`] when the call was
    /// not carried out, and with [`PlatformError::Unknown`] when that is not known, as when the
    /// response cannot be decoded.
    fn decode(&self, call: &Call, status: StatusCode, body: &[u8]) -> Result<Reply, PlatformError>;

    /// Reads the epoch of the service from the headers of a response: a number that increases each
    /// time the service is restored from an older copy. `None` if the service states none.
    fn epoch(&self, headers: &HeaderMap) -> Option<u64>;
}

/// The project's own HTTP protocol: every call is a JSON request to the same path.
#[derive(Clone, Copy, Debug, Default)]
pub struct JsonDialect;

/// The JSON messages of [`JsonDialect`]. Field and variant names are part of the protocol.
pub mod json_dialect {
    use serde::{Deserialize, Serialize};

    /// The path of every call.
    pub const PATH: &str = "/call";

    /// The response header that states the epoch of the service.
    pub const EPOCH: &str = "baobab-epoch";

    /// A call.
    #[derive(Clone, Debug, Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum Call {
        /// Reads a key.
        Get {
            /// The key.
            key: String,
        },
        /// Lists keys.
        List {
            /// The prefix.
            prefix: String,
            /// The last key of the page before.
            after: String,
        },
        /// Writes or deletes a key.
        Swap {
            /// The key.
            key: String,
            /// The revision that the key must have.
            expected: u64,
            /// The value; null to delete the key.
            value: Option<Vec<u8>>,
            /// The lease; zero for none.
            lease: u64,
        },
        /// Waits for changes.
        Changes {
            /// The prefix.
            prefix: String,
            /// The revision after which changes are returned.
            after: u64,
            /// The maximum wait, in milliseconds.
            wait_ms: u64,
        },
        /// Starts a lease.
        Grant {
            /// The time to live, in milliseconds.
            ttl_ms: u64,
        },
        /// Extends a lease.
        Renew {
            /// The lease.
            lease: u64,
        },
        /// Ends a lease.
        Revoke {
            /// The lease.
            lease: u64,
        },
    }

    /// A key with its value.
    #[derive(Clone, Debug, Serialize, Deserialize)]
    pub struct Entry {
        /// The key.
        pub key: String,
        /// The value; null if the key was deleted.
        pub value: Option<Vec<u8>>,
        /// The revision.
        pub revision: u64,
    }

    /// A response.
    #[derive(Clone, Debug, Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum Reply {
        /// The key; null if absent.
        Entry(Option<Entry>),
        /// The keys, the revision, and whether further pages follow.
        Page(Vec<Entry>, u64, bool),
        /// Whether the key was written, and its revision.
        Swap(bool, u64),
        /// The changes, and the revision from which to continue.
        Changes(Vec<Entry>, u64),
        /// The requested changes have been compacted.
        Forgotten,
        /// The id of a new lease.
        Lease(u64),
        /// Whether the lease had not expired.
        Alive(bool),
    }
}

impl Dialect for JsonDialect {
    fn encode(&self, call: &Call) -> HttpCall {
        let millis = |time: &Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let call = match call.clone() {
            Call::Get { key } => json_dialect::Call::Get { key },
            Call::List { prefix, after } => json_dialect::Call::List { prefix, after },
            Call::Swap {
                key,
                expected,
                value,
                lease,
            } => json_dialect::Call::Swap {
                key,
                expected,
                value: value.map(Vec::from),
                lease,
            },
            Call::Changes {
                prefix,
                after,
                wait,
            } => json_dialect::Call::Changes {
                prefix,
                after,
                wait_ms: millis(&wait),
            },
            Call::Grant { ttl } => json_dialect::Call::Grant {
                ttl_ms: millis(&ttl),
            },
            Call::Renew { lease } => json_dialect::Call::Renew { lease },
            Call::Revoke { lease } => json_dialect::Call::Revoke { lease },
        };
        let body = serde_json::to_vec(&call).expect("calls contain no maps with non-string keys");
        HttpCall {
            method: Method::POST,
            path: json_dialect::PATH.to_owned(),
            body: body.into(),
        }
    }

    fn decode(&self, _: &Call, status: StatusCode, body: &[u8]) -> Result<Reply, PlatformError> {
        match status {
            StatusCode::OK => {}
            StatusCode::BAD_REQUEST => {
                let text = String::from_utf8_lossy(body).into_owned();
                return Err(PlatformError::Refused(text));
            }
            _ => return Err(PlatformError::Unavailable(format!("status {status}"))),
        }
        let reply = serde_json::from_slice(body)
            .map_err(|err| PlatformError::Unknown(format!("failed to decode response: {err}")))?;
        Ok(match reply {
            json_dialect::Reply::Entry(entry) => Reply::Entry(entry.map(from_json)),
            json_dialect::Reply::Page(entries, revision, more) => {
                let entries: Vec<Entry> = entries.into_iter().map(from_json).collect();
                let last = entries.last().map(|entry| entry.key.clone());
                let last = last.filter(|_| more);
                Reply::Page(Listing { entries, revision }, last)
            }
            json_dialect::Reply::Swap(true, revision) => Reply::Swap(Swap::Done(revision)),
            json_dialect::Reply::Swap(false, revision) => Reply::Swap(Swap::Stale(revision)),
            json_dialect::Reply::Changes(events, revision) => {
                let events = events.into_iter().map(|entry| match entry.value {
                    Some(_) => KeyEvent::Put(from_json(entry)),
                    None => KeyEvent::Deleted(entry.key),
                });
                let events = events.collect();
                Reply::Changes(Changes::Events { events, revision })
            }
            json_dialect::Reply::Forgotten => Reply::Changes(Changes::Forgotten),
            json_dialect::Reply::Lease(lease) => Reply::Lease(lease),
            json_dialect::Reply::Alive(alive) => Reply::Alive(alive),
        })
    }

    fn epoch(&self, headers: &HeaderMap) -> Option<u64> {
        headers
            .get(json_dialect::EPOCH)?
            .to_str()
            .ok()?
            .parse()
            .ok()
    }
}

fn from_json(entry: json_dialect::Entry) -> Entry {
    Entry {
        key: entry.key,
        value: entry.value.unwrap_or_default().into(),
        revision: entry.revision,
    }
}
