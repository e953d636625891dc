//! Anti-entropy exchange of member records and the configuration between two daemons.
//!
//! A daemon contacts a random peer periodically, and immediately when a call or a response carries
//! a newer version than its own. Versions and records are ordered by numbers that only increase, so
//! an exchange that is duplicated, delayed or based on older state is harmless.

mod peer;

pub use peer::{ExchangeError, post, serve, with_peer};

use crate::backend::Leaves;
use crate::call::number;
use crate::daemon::Daemon;
use crate::error::{Category, Error, Result};
use crate::event;
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use crate::generated::mesh::exchange::Newer;
use crate::member::registry::MemberRegistry;
use crate::member::{StandIn, rank};
use crate::site::ExternalConfig;
use crate::snapshot::{MAX_SNAPSHOT_LEN, Snapshot, Stamp};
use crate::sync::lock;
use crate::zlib;
use bytes::Bytes;
use http::HeaderMap;
use prost::Message;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Longest encoded changes that are sent without compression, in bytes.
const MAX_PLAIN_LEN: usize = 4 * 1024;

/// A newer version that another daemon reported, and a daemon that has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hint {
    /// The version.
    pub version: u64,
    /// The address of a daemon that has it, if known.
    pub holder: Option<SocketAddr>,
}

/// The state that a daemon merges from the platform and from its peers.
#[derive(Default)]
pub struct ExchangeState {
    registry: Mutex<MemberRegistry>,
    /// The last version that was sent as a whole.
    packed: Mutex<Option<PackedVersion>>,
    /// Whether changes did not lead to the version that they stated; the next ones are requested as a
    /// whole.
    mismatched: AtomicBool,
    hint: watch::Sender<Hint>,
    /// When a newer version than the one in force was first reported.
    behind_since: Mutex<Option<Instant>>,
    /// When a peer last sent a request or a response.
    last_exchange: Mutex<Option<Instant>>,
    /// Why and since when this daemon waits before it reads in place of others.
    waiting: Mutex<Option<(StandIn, Instant)>>,
    /// Whether the platform has been queried for the members at least once.
    queried: watch::Sender<bool>,
    /// Whether this daemon read from the platform until that no longer answered it.
    turned_away: watch::Sender<bool>,
    /// The last version that this daemon has read late, since the platform had not answered it.
    late: watch::Sender<u64>,
}

/// All resources of a version as sent to daemons that have none of them, compressed.
struct PackedVersion {
    stamp: Stamp,
    data: Bytes,
}

impl ExchangeState {
    /// Returns this component of a daemon.
    #[must_use]
    pub fn of(daemon: &Daemon) -> Arc<ExchangeState> {
        daemon.component(ExchangeState::default)
    }

    /// Returns a receiver that is notified when a peer reports a newer version.
    #[must_use]
    pub fn hints(&self) -> watch::Receiver<Hint> {
        self.hint.subscribe()
    }

    /// Returns the newest version that is in force here or that a peer reported. One that this daemon
    /// has refused as invalid does not count: it would be refused again.
    #[must_use]
    pub fn newest_known(&self, daemon: &Daemon) -> u64 {
        let current = daemon.config.stamp().version;
        let reported = self.hint.borrow().version;
        if daemon.config.has_refused(reported) {
            return current;
        }
        reported.max(current)
    }

    /// Records that the platform has been queried for the members, whether it responded or not.
    pub fn mark_queried(&self) {
        self.queried.send_replace(true);
    }

    /// Tests whether the platform has been queried for the members, whether it responded or not.
    #[must_use]
    pub fn is_queried(&self) -> bool {
        *self.queried.borrow()
    }

    /// Waits until the platform has been queried for the members, whether it responded or not.
    pub async fn wait_queried(&self) {
        // The sender lives as long as `self`.
        let _ = self.queried.subscribe().wait_for(|queried| *queried).await;
    }

    /// Tests whether a peer has sent a request or a response within the last `time`.
    #[must_use]
    pub fn exchanged_within(&self, time: Duration) -> bool {
        lock(&self.last_exchange).is_some_and(|at| at.elapsed() <= time)
    }

    /// Tests whether this daemon has been needed to read in place of others for `time`, given why it waits now, if
    /// it does.
    pub fn stands_in_for(&self, reason: Option<StandIn>, time: Duration) -> bool {
        let mut waiting = lock(&self.waiting);
        let same = waiting.filter(|(previous, _)| Some(*previous) == reason);
        *waiting = same.or(reason.map(|reason| (reason, Instant::now())));
        waiting.is_some_and(|(_, since)| since.elapsed() > time)
    }

    /// Updates the member registry, and replaces the daemon's fleet if `update` returns true, which
    /// means that the members have changed.
    pub fn update_members(
        &self,
        daemon: &Daemon,
        update: impl FnOnce(&mut MemberRegistry, Instant) -> bool,
    ) {
        let mut registry = lock(&self.registry);
        if update(&mut registry, Instant::now()) {
            daemon.fleet.replace(registry.fleet());
        }
    }

    /// Returns the members that claim an inbound address that another one claims as well, and may not answer there.
    #[must_use]
    pub fn unchecked_members(&self) -> Vec<Arc<wire::Member>> {
        lock(&self.registry).unchecked()
    }

    /// Records whether the platform answers this daemon, and whether it reads in place of others.
    pub fn record_platform(&self, daemon: &Daemon, is_lost: bool, answers: bool) {
        let was_lost = daemon.platform_lost.swap(is_lost, Ordering::Relaxed);
        let answered = daemon.platform_answers.swap(answers, Ordering::Relaxed);
        if (was_lost, answered) != (is_lost, answers) {
            self.update_own(daemon);
        }
    }

    /// Records whether others are to be told to read in place of this daemon.
    pub fn set_turned_away(&self, turned_away: bool) {
        self.turned_away
            .send_if_modified(|current| std::mem::replace(current, turned_away) != turned_away);
    }

    /// Returns a receiver that is notified when others are to be told to read in place of this daemon.
    #[must_use]
    pub fn turned_away(&self) -> watch::Receiver<bool> {
        self.turned_away.subscribe()
    }

    /// Records that this daemon has read a version late. It is sent to the other readers, whose connections may
    /// have failed as well.
    pub fn set_late(&self, version: u64) {
        self.late.send_replace(version);
    }

    /// Returns a receiver that is notified when this daemon has read a version late.
    #[must_use]
    pub fn late(&self) -> watch::Receiver<u64> {
        self.late.subscribe()
    }

    /// Merges this daemon's own record into the registry, and returns it.
    fn update_own(&self, daemon: &Daemon) -> wire::Member {
        let own = daemon.record();
        self.update_members(daemon, |registry, now| {
            registry.merge_reported(own.clone(), now)
        });
        own
    }

    /// Records that this daemon no longer follows the platform's listing of the members.
    pub fn stop_following(&self) {
        lock(&self.registry).stop_following();
    }

    /// Reads the version in force at another daemon from headers, and publishes a hint if newer.
    pub fn note_version(&self, daemon: &Daemon, headers: &HeaderMap, holder: Option<SocketAddr>) {
        if let Some(version) = number(headers, &crate::call::VERSION) {
            self.note_report(daemon, Hint { version, holder });
        }
    }

    /// Publishes a hint if its version is newer than the one in force and all reported before.
    fn note_report(&self, daemon: &Daemon, report: Hint) {
        let current = daemon.config.stamp().version;
        if report.version <= current {
            return;
        }
        self.hint.send_if_modified(|hint| {
            let is_newer = report.version > hint.version;
            if is_newer {
                if hint.version <= current {
                    *lock(&self.behind_since) = Some(Instant::now());
                }
                *hint = report;
                event!(VersionReported, version = report.version, current = current);
            }
            is_newer
        });
    }

    /// Tests whether newer versions have been reported for `time` and none of them was applied.
    #[must_use]
    pub fn is_behind(&self, daemon: &Daemon, time: Duration) -> bool {
        let is_old = |since: Duration| since > time;
        self.newest_known(daemon) > daemon.config.stamp().version
            && lock(&self.behind_since).is_some_and(|since| is_old(since.elapsed()))
            && daemon.config.age().is_none_or(is_old)
    }

    /// Merges another daemon's request, and returns the response.
    pub fn respond(&self, daemon: &Daemon, mut request: wire::Exchange) -> wire::Exchange {
        let (wants, whole) = (request.wants, request.whole);
        let other = Stamp::from_wire(request.stamp.as_ref());
        let buckets = std::mem::take(&mut request.buckets);
        let has_members = !request.members.is_empty();
        let (rollout_digest, has_rollouts) = (request.rollout_digest, !request.rollouts.is_empty());
        let sender = request.sender.as_ref().map(|sender| sender.name.clone());
        self.merge(daemon, request);
        let mut response = self.summary(daemon, sender.as_deref());
        let differs = response.buckets != buckets;
        if differs || wants {
            response.members = lock(&self.registry).records_for(&buckets);
        }
        let own = daemon.config.stamp();
        response.newer = self.changes_after(daemon, other, whole);
        let differs_in_rollouts = response.rollout_digest != rollout_digest;
        if differs_in_rollouts {
            response.rollouts = daemon.rollouts.messages();
        }
        // Asks for a second message: with the sender's records, unless this one had them, or with
        // its newer configuration.
        response.wants = differs && !has_members
            || other.version > own.version
            || differs_in_rollouts && !has_rollouts;
        response
    }

    /// Merges the records and the configuration of a received message.
    fn merge(&self, daemon: &Daemon, message: wire::Exchange) {
        *lock(&self.last_exchange) = Some(Instant::now());
        let sender = message.sender.as_ref().map(|record| record.name.clone());
        self.update_members(daemon, |registry, now| {
            let mut changed = false;
            for record in message.members.into_iter().chain(message.sender) {
                if record.name == daemon.identity.name {
                    refute_removal(daemon, &record);
                } else if !record.name.is_empty() {
                    changed |= registry.merge_reported(record, now);
                }
            }
            changed
        });
        daemon
            .backend
            .restore_leaves(&Leaves::from_wire(&message.leaves));
        daemon.rollouts.merge_messages(message.rollouts);
        let Some(newer) = message.newer else {
            return;
        };
        let origin = sender.as_deref().unwrap_or("a peer");
        if let Err(err) = self.apply_newer(daemon, newer, origin) {
            if err.category() == Category::Conflict {
                self.mismatched.store(true, Ordering::Relaxed);
            }
            event!(SnapshotUnreadable, from = origin, error = err);
        }
    }

    /// Applies the changes that a peer sent, unless they lead to a version that is not newer.
    fn apply_newer(&self, daemon: &Daemon, newer: Newer, origin: &str) -> Result<()> {
        let (changes, len) = match newer {
            Newer::Changes(changes) => {
                let len = changes.encoded_len();
                (changes, len)
            }
            Newer::Packed(data) => (unpack(&data)?, data.len()),
        };
        let version = Stamp::from_wire(changes.stamp.as_ref()).version;
        let current = daemon.config.snapshot();
        if version <= current.version() {
            return Ok(());
        }
        event!(
            VersionReceived,
            version = version,
            from = origin,
            current = current.version(),
            after = changes.after,
            bytes = len
        );
        let snapshot = current.apply_changes(changes)?;
        self.mismatched.store(false, Ordering::Relaxed);
        apply(daemon, snapshot);
        Ok(())
    }

    /// Applies a version of an externally managed configuration, unless it is not newer than the
    /// one in force.
    ///
    /// # Errors
    ///
    /// Fails when the value cannot be decoded; nothing is changed then. A version that decodes but
    /// is refused is logged and does not fail.
    pub fn apply_external(
        &self,
        daemon: &Daemon,
        external: &ExternalConfig,
        value: &Bytes,
    ) -> Result<()> {
        let previous = daemon.config.snapshot();
        apply(daemon, (external.decode)(value, &previous)?);
        Ok(())
    }

    /// Returns what has changed after another daemon's version, if this daemon's is newer.
    fn changes_after(&self, daemon: &Daemon, other: Stamp, whole: bool) -> Option<Newer> {
        if daemon.config.stamp().version <= other.version {
            return None;
        }
        let after = if whole { 0 } else { other.version };
        let stamp = daemon.config.stamp();
        if after == 0
            && let Some(packed) = &*lock(&self.packed)
            && packed.stamp == stamp
        {
            return Some(Newer::Packed(packed.data.clone()));
        }
        let changes = daemon.config.changes_after(after);
        if changes.encoded_len() <= MAX_PLAIN_LEN {
            return Some(Newer::Changes(changes));
        }
        let data = Bytes::from(zlib::compress(&changes.encode_to_vec()));
        if changes.after == 0 {
            let stamp = Stamp::from_wire(changes.stamp.as_ref());
            let data = data.clone();
            *lock(&self.packed) = Some(PackedVersion { stamp, data });
        }
        Some(Newer::Packed(data))
    }

    /// Returns a message with this daemon's own record, stamp and digest, without member records, and with what a
    /// new process of the receiver may not know of its backend server.
    fn summary(&self, daemon: &Daemon, receiver: Option<&str>) -> wire::Exchange {
        // Read before the stamp: it proves that the version in force then was the newest.
        let current_ms = daemon.contact.to_wire();
        let sender = self.update_own(daemon);
        let registry = lock(&self.registry);
        wire::Exchange {
            sender: Some(sender),
            stamp: Some(daemon.config.stamp().to_wire()),
            buckets: registry.buckets(),
            leaves: receiver.map_or_else(Vec::new, |name| registry.leaves_of(name).to_wire()),
            whole: self.mismatched.load(Ordering::Relaxed),
            current_ms,
            rollout_digest: daemon.rollouts.digest(),
            ..wire::Exchange::default()
        }
    }
}

/// Decompresses and decodes the changes that a peer sent.
fn unpack(data: &[u8]) -> Result<wire::Changes> {
    let data = zlib::decompress(data, MAX_SNAPSHOT_LEN);
    let data = data.map_err(|err| Error::new(Category::Input, err))?;
    wire::Changes::decode(data.as_slice()).map_err(|err| Error::new(Category::Input, err))
}

/// Puts a version in force, unless it is not newer or is refused as invalid, which is logged.
fn apply(daemon: &Daemon, snapshot: Snapshot) {
    if daemon.config.apply(Arc::new(snapshot)).is_ok() {
        daemon.caught_up.store(true, Ordering::Relaxed);
    }
}

/// Increments the sequence of this daemon's record if a peer has removed it, so that its next record
/// outranks the removal.
fn refute_removal(daemon: &Daemon, record: &wire::Member) {
    if record.state() == MemberState::Gone && rank(record) >= rank(&daemon.record()) {
        event!(RemovalRefuted, sequence = record.sequence);
        daemon.increment_sequence();
    }
}
