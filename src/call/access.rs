//! API keys of calls: the organisation that holds a key, and whether the call is served.
//!
//! A key is turned into its digest when the head of a request is read, and nothing here keeps the
//! key itself.

use super::Refusal;
use crate::header_names::HeaderNames;
use crate::quota::Limit;
use crate::resource::KeyDigest;
use crate::serve::Body;
use crate::table::{OrganisationId, Table};
use http::{HeaderMap, StatusCode};
use http_body::Frame;
use http_body_util::BodyExt;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use std::sync::Arc;
use std::time::Duration;

/// The suggested delay before a call is repeated whose key a newer version may have.
const NEWER_RETRY: Duration = Duration::from_millis(300);

/// The suggested delay before a call is repeated at a daemon that is out of contact.
const CONTACT_RETRY: Duration = Duration::from_secs(1);

/// What a request presents as its API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PresentedKey {
    /// No key.
    None,
    /// One key, by its digest.
    Digest(KeyDigest),
    /// Several keys, which are treated as an unknown one: no rule says which of them counts.
    Several,
}

impl PresentedKey {
    /// Reads the key of a request. Sites whose callers have no keys name no header for them.
    #[must_use]
    pub fn of(headers: &HeaderMap, names: &HeaderNames) -> Self {
        let Some(name) = &names.credential else {
            return PresentedKey::None;
        };
        let mut values = headers.get_all(name).iter();
        match (values.next(), values.next()) {
            (None, _) => PresentedKey::None,
            (Some(key), None) => PresentedKey::Digest(KeyDigest::of(key.as_bytes())),
            (Some(_), Some(_)) => PresentedKey::Several,
        }
    }
}

/// The state of the daemon that a decision depends on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Currency {
    /// The newest version that was reported, if it is newer than the one in force.
    pub newer: Option<u64>,
    /// Whether keyed calls are refused since it is not known whether the version in force is still
    /// the newest.
    pub closed: bool,
}

/// The organisation of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct CallOrganisation {
    /// Its key in the table by which the call was routed; not valid in any other table.
    pub id: OrganisationId,
    /// Its name.
    pub name: Arc<str>,
    /// The limit of its calls over all daemons, if it has one.
    pub limit: Option<Limit>,
}

/// The decision on a call's key.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// Keys are not checked; the headers are forwarded as they are.
    Unchecked,
    /// The call is served without an organisation.
    Anonymous,
    /// The call is served for the organisation that holds the key.
    Named(CallOrganisation),
    /// The call is refused.
    Refused(KeyRefusal),
}

/// Why a call is refused for its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyRefusal {
    /// The daemon has no configuration yet.
    Unconfigured,
    /// No organisation holds the key.
    Unknown,
    /// No organisation of the version in force holds the key, and a newer version is known.
    Outdated,
    /// It is not known whether the key is still valid.
    OutOfContact,
}

impl KeyRefusal {
    /// Returns the label of the reason in events and metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            KeyRefusal::Unconfigured => "unconfigured",
            KeyRefusal::Unknown => "unknown",
            KeyRefusal::Outdated => "outdated",
            KeyRefusal::OutOfContact => "out-of-contact",
        }
    }

    /// Makes the refusal of the call.
    #[must_use]
    pub fn refusal(self) -> Refusal {
        let unavailable = |reason, after| {
            Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason).with_retry_after(after)
        };
        match self {
            KeyRefusal::Unconfigured => unavailable("no configuration yet", NEWER_RETRY),
            KeyRefusal::Unknown => {
                Refusal::not_run(StatusCode::UNAUTHORIZED, "API key is not valid")
            }
            KeyRefusal::Outdated => unavailable(
                "API key is not known, and a newer version is not in force yet",
                NEWER_RETRY,
            ),
            KeyRefusal::OutOfContact => unavailable(
                "API key cannot be checked: the configuration may be out of date",
                CONTACT_RETRY,
            ),
        }
    }
}

/// Decides on a call for a route, which is `public` or not.
///
/// Calls without a key are served without an organisation: those that backend servers make carry
/// none. On a public route, an unknown key is ignored. A daemon that refuses keyed calls while it is
/// out of contact does so on public routes too, since they name the organisation as well.
#[must_use]
pub fn decide(table: &Table, public: bool, key: PresentedKey, currency: Currency) -> Access {
    if table.stamp().version == 0 && table.is_empty() {
        return Access::Refused(KeyRefusal::Unconfigured);
    }
    if !table.checks_keys() {
        return Access::Unchecked;
    }
    if key == PresentedKey::None {
        return Access::Anonymous;
    }
    if currency.closed {
        return Access::Refused(KeyRefusal::OutOfContact);
    }
    if let Some(organisation) = holder(table, key) {
        return Access::Named(organisation);
    }
    match (public, currency.newer) {
        (true, _) => Access::Anonymous,
        (false, Some(_)) => Access::Refused(KeyRefusal::Outdated),
        (false, None) => Access::Refused(KeyRefusal::Unknown),
    }
}

fn holder(table: &Table, key: PresentedKey) -> Option<CallOrganisation> {
    let PresentedKey::Digest(digest) = key else {
        return None;
    };
    let id = table.organisation(&digest)?;
    let entry = table.organisation_entry(id);
    Some(CallOrganisation {
        id,
        name: Arc::clone(&entry.name),
        limit: entry.limit,
    })
}

/// Removes the headers of a request that only this mesh may set or read: every key, and what the
/// caller sent as its organisation.
pub fn remove_headers(headers: &mut HeaderMap, names: &HeaderNames) {
    for name in [&names.credential, &names.organisation]
        .into_iter()
        .flatten()
    {
        headers.remove(name);
    }
}

/// Removes the same headers from the trailers of a body.
#[must_use]
pub fn without_key_trailers(body: Body, names: &HeaderNames) -> Body {
    let names = names.clone();
    body.map_frame(move |frame| match frame.into_trailers() {
        Ok(mut trailers) => {
            remove_headers(&mut trailers, &names);
            Frame::trailers(trailers)
        }
        Err(frame) => frame,
    })
    .boxed_unsync()
}

/// The reason for a refusal; the field's name is the metric's label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

/// The metrics of decisions on keys.
#[derive(Default)]
pub struct AccessMetrics {
    refusals: Family<ReasonLabel, Counter>,
}

impl AccessMetrics {
    /// Records a refused call.
    pub fn note_refusal(&self, refusal: KeyRefusal) {
        let reason = refusal.as_str();
        self.refusals.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        let help = "Calls refused for their API key, by reason";
        registry.register("key_refusals", help, self.refusals.clone());
    }
}
