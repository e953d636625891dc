//! The role that announces this daemon and follows the records of the other members.

mod addresses;
mod hand_over;
mod peers;

pub(super) use peers::reader_or_any;

use super::config;
use crate::backend::Stage;
use crate::check;
use crate::daemon::{Daemon, member_watch_time};
use crate::event;
use crate::exchange::ExchangeState;
use crate::generated::mesh as wire;
use crate::kernel::{Plugin, RoleFuture};
use crate::member::registry::MemberRegistry;
use crate::member::registry::stated_leave;
use crate::platform::{self, Entry, KeyUpdate, PlatformError, PrefixWatcher, Swap};
use crate::quarantine::Quarantine;
use crate::settings::Distribution;
use crate::tree::Tree;
use crate::tree::actor::Message;
use crate::tree::backoff::{Backoff, jitter, jitter_around, jitter_below};
use prometheus_client::registry::Registry;
use prost::Message as _;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Prefix of the platform keys that hold the members' records.
const PREFIX: &str = "baobab/member/";

/// Time after which the platform deletes the entry of a daemon that no longer renews its lease.
const LEASE_TTL: Duration = Duration::from_secs(10);

/// Time between lease renewals; two may fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);

/// Time after a change in which further ones are batched.
const BATCH_TIME: Duration = Duration::from_secs(2);

/// Bounds of the delay before a request to which the platform did not respond is retried. Entries
/// that expired during an outage must be restored within two seconds of its end.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_millis(1_500);

/// The same for a daemon that reads from the platform for others, which must notice soon when the
/// platform no longer answers it.
const READER_RENEW_INTERVAL: Duration = Duration::from_millis(1_500);

/// Duration of a platform outage after which this daemon's record states it, so that others read from the
/// platform in its place. From then on it increments the sequence of its record before each retry, so
/// that peers do not remove it.
const LOST_AFTER: Duration = Duration::from_secs(1);

/// The same for a daemon that reads from the platform for others. A second renewal has failed by then.
const READER_LOST_AFTER: Duration = Duration::from_millis(150);

/// Time for which a daemon that starts together with all others waits for the first report of its
/// backend server before it announces itself.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which such a daemon lists the members: the others have announced themselves by then.
const FIRST_LISTING_DELAY: Duration = Duration::from_millis(2_500);

/// Greatest random time added to that delay.
const FIRST_LISTING_SPREAD: Duration = Duration::from_millis(500);

/// Maximum number of attempts at a conditional write whose revision was stale.
const MAX_WRITE_ATTEMPTS: usize = 3;

inventory::submit! {
    Plugin { name: "members", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> RoleFuture {
    Box::pin(async move {
        match daemon.settings.distribution {
            Distribution::Direct => {
                tokio::try_join!(
                    announce(&daemon),
                    follow_members(&daemon),
                    peers::exchange(&daemon),
                    hand_over::notify_successors(&daemon),
                    hand_over::send_to_dependents(&daemon),
                    hand_over::send_to_readers(&daemon),
                    addresses::check(&daemon)
                )?;
                Ok(())
            }
            Distribution::Tree => announce_in_tree(&daemon).await,
        }
    })
}

fn state(daemon: &Daemon) -> serde_json::Value {
    daemon.fleet.load().state()
}

fn metrics(_: &Daemon, _: &mut Registry) {}

/// Announces this daemon through the distribution tree once it has caught up, and again whenever
/// its phase or its backend server's state changes.
async fn announce_in_tree(daemon: &Daemon) -> anyhow::Result<()> {
    let tree = Tree::of_daemon(daemon);
    let mut phases = daemon.drain.subscribe();
    let mut backend = daemon.backend.subscribe();
    let mut actors = tree.subscribe();
    loop {
        let actor = tree.wait_started().await?;
        tree.wait_caught_up(daemon).await?;
        daemon.caught_up.store(true, Ordering::Relaxed);
        Quarantine::of(daemon).wait_synced().await;
        daemon.rollouts.wait_synced().await;
        actors.mark_unchanged();
        phases.mark_unchanged();
        backend.mark_unchanged();
        actor.send(Message::Announce(Box::new(daemon.record())));
        // A restarted tree actor has lost this daemon's record, so it is announced again.
        tokio::select! {
            changed = phases.changed() => changed?,
            changed = backend.changed() => changed?,
            changed = actors.changed() => changed?,
        }
    }
}

/// Keeps this daemon's record in the platform up to date.
async fn announce(daemon: &Daemon) -> anyhow::Result<()> {
    let mut phases = daemon.drain.subscribe();
    let mut backend = daemon.backend.subscribe();
    let mut restores = daemon.store.platform().restores();
    let mut entry = MemberEntry::default();
    if daemon.settings.first_start {
        wait_reported(daemon).await;
    } else {
        entry.load_previous(daemon).await;
    }
    // Others send calls as soon as this daemon is announced.
    Quarantine::of(daemon).wait_synced().await;
    daemon.rollouts.wait_synced().await;
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    let mut failing_since = None;
    let mut failures = 0;
    loop {
        phases.mark_unchanged();
        backend.mark_unchanged();
        let noticed = *restores.borrow_and_update();
        let started = Instant::now();
        let pause = match entry.refresh(daemon, noticed).await {
            Ok(()) => {
                backoff.reset();
                failing_since = None;
                failures = 0;
                config::record_answer(daemon);
                let reads = !config::is_served_by_peers(daemon);
                jitter_around(if reads {
                    READER_RENEW_INTERVAL
                } else {
                    RENEW_INTERVAL
                })
            }
            Err(err) => {
                let since = *failing_since.get_or_insert(started);
                failures += 1;
                let reads = config::is_reader(daemon);
                let limit = if reads { READER_LOST_AFTER } else { LOST_AFTER };
                event!(
                    AnnouncementFailed,
                    error = err,
                    ms = since.elapsed().as_millis()
                );
                // A single slow or lost answer is no loss of the platform.
                if failures > 1 && since.elapsed() > limit {
                    if reads {
                        config::record_loss(daemon);
                    } else {
                        ExchangeState::of(daemon).record_platform(daemon, true, false);
                    }
                    // A record with a higher sequence renews this daemon's entry at its peers.
                    daemon.increment_sequence();
                }
                backoff.delay(&mut rand::rng())
            }
        };
        tokio::select! {
            () = sleep(pause) => {}
            changed = phases.changed() => changed?,
            changed = backend.changed() => changed?,
            Ok(()) = restores.changed() => {}
        }
    }
}

/// Waits until the backend server has reported, for at most [`FIRST_REPORT_TIMEOUT`], so that the
/// first entry is complete.
async fn wait_reported(daemon: &Daemon) {
    let mut backend = daemon.backend.subscribe();
    let reported = backend.wait_for(|backend| backend.stage != Stage::Unknown);
    // Without a report in time, the entry is written without a backend server.
    let _ = timeout(FIRST_REPORT_TIMEOUT, reported).await;
}

/// This daemon's entry in the platform, as last read or written.
#[derive(Default)]
struct MemberEntry {
    lease: Option<u64>,
    /// The record that is known to be stored.
    stored: Option<wire::Member>,
    /// The revision of the entry, the condition of the next write.
    revision: u64,
    /// The number of restores of the platform that had been noticed when the record was stored.
    restores: u64,
}

impl MemberEntry {
    /// Reads the record that an earlier process of this daemon wrote. If it states that the backend
    /// server is leaving, that still applies.
    async fn load_previous(&mut self, daemon: &Daemon) {
        let key = format!("{PREFIX}{}", daemon.identity.name);
        let entry = match daemon.store.platform().get(&key).await {
            Ok(Some(entry)) => entry,
            Ok(None) => return,
            Err(err) => {
                // The backend server's health endpoint and its next report state the same, later.
                event!(MembersUnread, key = key, error = err);
                return;
            }
        };
        self.revision = entry.revision;
        let Ok(record) = wire::Member::decode(entry.value) else {
            event!(MemberUnreadable, key = key, revision = entry.revision);
            return;
        };
        if let Some(leaves) = stated_leave(&record) {
            daemon.backend.restore_leaves(&leaves);
        }
    }

    /// Renews the lease, and writes the record when it has changed, the lease has expired or the
    /// platform has been restored: `restores` is the number of restores noticed until now.
    async fn refresh(&mut self, daemon: &Daemon, restores: u64) -> Result<(), PlatformError> {
        let platform = daemon.store.platform();
        if self.restores != restores {
            // The copy may have the lease with an older record, or neither.
            self.lease = None;
            self.restores = restores;
            daemon.increment_sequence();
        }
        let record = daemon.record();
        if let Some(lease) = self.lease
            && self.stored.as_ref() == Some(&record)
        {
            if platform.renew(lease).await? {
                return Ok(());
            }
            event!(LeaseLapsed, lease = lease);
            self.lease = None;
            // Peers may have removed the record, which the same one would not restore.
            daemon.increment_sequence();
        }
        let record = daemon.record();
        let lease = match self.lease {
            Some(lease) => lease,
            None => platform.grant(LEASE_TTL).await?,
        };
        self.lease = Some(lease);
        match self.write(daemon, &record, lease).await {
            Err(PlatformError::Refused(reason)) => {
                // The lease may have expired meanwhile; the next refresh requests a new one.
                self.lease = None;
                Err(PlatformError::Refused(reason))
            }
            result => result,
        }
    }

    async fn write(
        &mut self,
        daemon: &Daemon,
        record: &wire::Member,
        lease: u64,
    ) -> Result<(), PlatformError> {
        let platform = daemon.store.platform();
        let key = format!("{PREFIX}{}", daemon.identity.name);
        let value = bytes::Bytes::from(record.encode_to_vec());
        // Unless this write succeeds, the record has to be written again.
        self.stored = None;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let swap = platform.swap(&key, self.revision, Some(value.clone()), lease);
            match swap.await? {
                Swap::Done(revision) => {
                    self.revision = revision;
                    self.stored = Some(record.clone());
                    return Ok(());
                }
                Swap::Stale(revision) => self.revision = revision,
            }
        }
        Err(PlatformError::Unavailable(
            "entry is written by another process as well".into(),
        ))
    }
}

/// Follows the entries of all members in the platform, on the daemons that read from it. The others
/// learn of the members in exchanges.
async fn follow_members(daemon: &Daemon) -> anyhow::Result<()> {
    let state = ExchangeState::of(daemon);
    let mut watcher = PrefixWatcher::new(PREFIX);
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    if daemon.settings.first_start {
        sleep(FIRST_LISTING_DELAY + jitter(FIRST_LISTING_SPREAD)).await;
    }
    loop {
        if config::is_served_by_peers(daemon) {
            state.stop_following();
            watcher = PrefixWatcher::new(PREFIX);
            sleep(config::READER_CHECK_INTERVAL).await;
            continue;
        }
        let wait = jitter_below(member_watch_time(&daemon.limits.load()));
        let update = config::follow_prefix(daemon, &mut watcher, wait).await;
        match update {
            Ok(update) => {
                backoff.reset();
                let changed = !matches!(&update, KeyUpdate::Events(events) if events.is_empty());
                state.update_members(daemon, |registry, now| apply_update(registry, update, now));
                state.mark_queried();
                if changed {
                    sleep(BATCH_TIME).await;
                }
            }
            Err(err) => {
                event!(MembersUnread, error = err);
                state.mark_queried();
                let delay = backoff.delay(&mut rand::rng());
                sleep(delay).await;
            }
        }
    }
}

/// Applies changed entries to the registry; returns whether the fleet has changed.
fn apply_update(registry: &mut MemberRegistry, update: KeyUpdate, now: Instant) -> bool {
    let is_valid = |record: &wire::Member| check::name("member", "name", &record.name).is_ok();
    let read = |entry: Entry| match wire::Member::decode(entry.value) {
        Ok(record) if entry.key.strip_prefix(PREFIX) == Some(&record.name) && is_valid(&record) => {
            Some(record)
        }
        _ => {
            event!(MemberUnreadable, key = entry.key, revision = entry.revision);
            None
        }
    };
    match update {
        KeyUpdate::Listing(entries) => {
            registry.merge_listing(entries.into_iter().filter_map(read).collect(), now)
        }
        KeyUpdate::Restored(entries) => {
            registry.merge_restored(entries.into_iter().filter_map(read).collect(), now)
        }
        KeyUpdate::Events(events) => {
            let mut changed = false;
            for event in events {
                match event {
                    platform::KeyEvent::Put(entry) => {
                        changed |=
                            read(entry).is_some_and(|record| registry.merge_listed(record, now));
                    }
                    platform::KeyEvent::Deleted(key) => {
                        registry.mark_unlisted(key.strip_prefix(PREFIX).unwrap_or_default(), now);
                    }
                }
            }
            changed
        }
    }
}
