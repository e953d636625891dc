//! The endpoint that streams the differences between versions.

use super::reply::ApiError;
use super::request::Query;
use super::resources::resource_json;
use crate::check;
use crate::daemon::{Daemon, Phase};
use crate::error::{Category, Error};
use crate::resource::{Kind, ResourceKey};
use crate::serve::{Body, BodyError};
use crate::snapshot::{Snapshot, Stamp};
use futures_util::stream::unfold;
use http::{HeaderValue, Response, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Bytes, Frame};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::watch;

/// Maximum number of open watch streams.
const MAX_WATCHERS: usize = 256;

/// Time without a difference after which a line of type `alive` is sent. Shorter than the time
/// without data after which `baobabctl` reopens a stream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Counts the open watch streams, and limits them to [`MAX_WATCHERS`].
#[derive(Default)]
pub struct Watchers {
    open: Arc<AtomicUsize>,
}

impl Watchers {
    /// Returns the number of open streams.
    pub fn count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    fn acquire(&self) -> Option<WatchPermit> {
        let permit = WatchPermit {
            open: Arc::clone(&self.open),
        };
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        (before < MAX_WATCHERS).then_some(permit)
    }
}

/// Counts one open stream until it is dropped.
struct WatchPermit {
    open: Arc<AtomicUsize>,
}

impl Drop for WatchPermit {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Selects the resources that a stream reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Filter {
    kind: Option<Kind>,
    name: Option<String>,
}

impl Filter {
    fn new(query: &Query) -> Result<Self, ApiError> {
        let kind = query.parsed::<Kind>("kind")?;
        let name = query.get("name").map(ToOwned::to_owned);
        if let Some(name) = &name {
            check::name("query", "name", name)?;
        }
        Ok(Filter { kind, name })
    }

    fn matches(&self, key: &ResourceKey) -> bool {
        self.kind.is_none_or(|kind| kind == key.kind)
            && self.name.as_ref().is_none_or(|name| *name == key.name)
    }
}

/// Starts a stream of JSON lines: the resources in force, then each difference.
///
/// A line is created only when the client has read the one before, from the version in force at
/// that moment. A slow client thus skips versions, and no lines are buffered for it.
///
/// # Errors
///
/// Fails when the query is not valid, or too many streams are open.
pub fn start(daemon: &Arc<Daemon>, query: &Query) -> Result<Response<Body>, ApiError> {
    let filter = Filter::new(query)?;
    let Some(permit) = daemon.component(Watchers::default).acquire() else {
        let message = format!("more than {MAX_WATCHERS} watch streams are open");
        return Err(Error::new(Category::Unavailable, message).into());
    };
    let watcher = Watcher {
        daemon: Arc::clone(daemon),
        stamps: daemon.config.subscribe(),
        filter,
        last_sent: None,
        ended: false,
        _permit: permit,
    };
    let lines = unfold(watcher, |mut watcher| async move {
        let line = watcher.next_line().await?;
        let frame = Frame::data(Bytes::from(format!("{line}\n")));
        Some((Ok::<_, BodyError>(frame), watcher))
    });
    let mut response = Response::new(StreamBody::new(lines).boxed_unsync());
    let kind = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    Ok(response)
}

struct Watcher {
    daemon: Arc<Daemon>,
    stamps: watch::Receiver<Stamp>,
    filter: Filter,
    /// The version of the last line, or a newer one without a difference in the selected resources.
    last_sent: Option<Arc<Snapshot>>,
    ended: bool,
    _permit: WatchPermit,
}

impl Watcher {
    async fn next_line(&mut self) -> Option<Value> {
        if self.ended {
            return None;
        }
        loop {
            self.stamps.mark_unchanged();
            let now = self.daemon.config.snapshot();
            let line = match &self.last_sent {
                None => Some(self.initial_line(&now)),
                Some(sent) if sent.stamp() == now.stamp() => None,
                Some(sent) => self.difference(sent, &now),
            };
            self.last_sent = Some(Arc::clone(&now));
            if line.is_some() {
                return line;
            }
            tokio::select! {
                changed = self.stamps.changed() => changed.ok()?,
                () = self.daemon.drain.reached(Phase::Draining) => {
                    self.ended = true;
                    return Some(json!({ "type": "end", "reason": "this daemon is stopping" }));
                }
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {
                    return Some(json!({ "type": "alive", "version": now.version() }));
                }
            }
        }
    }

    fn initial_line(&self, now: &Snapshot) -> Value {
        let selected = now.resources().iter();
        let selected = selected.filter(|(key, _)| self.filter.matches(key));
        let resources: Vec<Value> = selected.map(|(key, res)| resource_json(key, res)).collect();
        json!({ "type": "present", "version": now.version(), "resources": resources })
    }

    /// Returns the difference between two versions in the selected resources, if there is one.
    fn difference(&self, sent: &Snapshot, now: &Snapshot) -> Option<Value> {
        let (old, new) = (sent.resources(), now.resources());
        let keys: BTreeSet<&ResourceKey> = old.keys().chain(new.keys()).collect();
        let mut upserts = Vec::new();
        let mut removals = Vec::new();
        for key in keys.into_iter().filter(|key| self.filter.matches(key)) {
            match (old.get(key), new.get(key)) {
                (before, Some(after)) if before != Some(after) => {
                    upserts.push(resource_json(key, after));
                }
                (Some(_), None) => removals.push(json!({ "kind": key.kind, "name": key.name })),
                _ => {}
            }
        }
        if upserts.is_empty() && removals.is_empty() {
            return None;
        }
        Some(json!({
            "type": "changed",
            "version": now.version(),
            "change": now.change(),
            "upserts": upserts,
            "removals": removals,
        }))
    }
}
