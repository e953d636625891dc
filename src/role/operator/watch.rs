//! The stream of differences between versions.

use super::reply::Fault;
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

/// Greatest number of watchers at once.
const MAX_WATCHERS: usize = 256;

/// Time without a difference after which a line tells that the stream is alive.
const HEARTBEAT: Duration = Duration::from_secs(10);

/// The number of open streams.
#[derive(Default)]
pub struct Watchers {
    open: Arc<AtomicUsize>,
}

impl Watchers {
    /// Returns the number of open streams.
    pub fn count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    fn enter(&self) -> Option<Seat> {
        let seat = Seat {
            open: Arc::clone(&self.open),
        };
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        (before < MAX_WATCHERS).then_some(seat)
    }
}

/// Counts one open stream until it is dropped.
struct Seat {
    open: Arc<AtomicUsize>,
}

impl Drop for Seat {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The resources that a watcher wants to see.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Filter {
    kind: Option<Kind>,
    name: Option<String>,
}

impl Filter {
    fn new(query: &Query) -> Result<Self, Fault> {
        let kind = query.parsed::<Kind>("kind")?;
        let name = query.get("name").map(ToOwned::to_owned);
        if let Some(name) = &name {
            check::name("query", "name", name)?;
        }
        Ok(Filter { kind, name })
    }

    fn takes(&self, key: &ResourceKey) -> bool {
        self.kind.is_none_or(|kind| kind == key.kind)
            && self.name.as_ref().is_none_or(|name| *name == key.name)
    }
}

/// Starts a stream of lines of JSON: the resources in force, then each difference.
///
/// The next line is made only when the watcher has taken the one before, from the version in
/// force at that moment. A slow watcher thus skips versions and never holds up memory.
pub fn start(daemon: &Arc<Daemon>, query: &Query) -> Result<Response<Body>, Fault> {
    let filter = Filter::new(query)?;
    let Some(seat) = daemon.part(Watchers::default).enter() else {
        let message = format!("more than {MAX_WATCHERS} watchers");
        return Err(Error::new(Category::Unavailable, message).into());
    };
    let watcher = Watcher {
        daemon: Arc::clone(daemon),
        stamps: daemon.config.subscribe(),
        filter,
        shown: None,
        ended: false,
        _seat: seat,
    };
    let lines = unfold(watcher, |mut watcher| async move {
        let line = watcher.next_line().await?;
        let frame = Frame::data(Bytes::from(format!("{line}\n")));
        Some((Ok::<_, BodyError>(frame), watcher))
    });
    let mut answer = Response::new(StreamBody::new(lines).boxed_unsync());
    let kind = HeaderValue::from_static("application/x-ndjson");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    Ok(answer)
}

struct Watcher {
    daemon: Arc<Daemon>,
    stamps: watch::Receiver<Stamp>,
    filter: Filter,
    /// The version that the watcher saw last.
    shown: Option<Arc<Snapshot>>,
    ended: bool,
    _seat: Seat,
}

impl Watcher {
    async fn next_line(&mut self) -> Option<Value> {
        if self.ended {
            return None;
        }
        loop {
            self.stamps.mark_unchanged();
            let now = self.daemon.config.snapshot();
            let line = match &self.shown {
                None => Some(self.present(&now)),
                Some(shown) if shown.stamp() == now.stamp() => None,
                Some(shown) => self.difference(shown, &now),
            };
            self.shown = Some(Arc::clone(&now));
            if line.is_some() {
                return line;
            }
            tokio::select! {
                changed = self.stamps.changed() => changed.ok()?,
                () = self.daemon.drain.reached(Phase::Draining) => {
                    self.ended = true;
                    return Some(json!({ "type": "end", "reason": "this daemon is stopping" }));
                }
                () = tokio::time::sleep(HEARTBEAT) => {
                    return Some(json!({ "type": "alive", "version": now.version() }));
                }
            }
        }
    }

    fn present(&self, now: &Snapshot) -> Value {
        let wanted = now.resources().iter();
        let wanted = wanted.filter(|(key, _)| self.filter.takes(key));
        let resources: Vec<Value> = wanted.map(|(key, res)| resource_json(key, res)).collect();
        json!({ "type": "present", "version": now.version(), "resources": resources })
    }

    /// Returns the difference that the watcher wants to see, if there is one.
    fn difference(&self, shown: &Snapshot, now: &Snapshot) -> Option<Value> {
        let (old, new) = (shown.resources(), now.resources());
        let keys: BTreeSet<&ResourceKey> = old.keys().chain(new.keys()).collect();
        let mut upserts = Vec::new();
        let mut removals = Vec::new();
        for key in keys.into_iter().filter(|key| self.filter.takes(key)) {
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
