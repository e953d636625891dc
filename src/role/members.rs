//! The role that announces this daemon and follows the records of the other members.

use super::config;
use crate::backend::Stage;
use crate::daemon::Daemon;
use crate::event;
use crate::exchange::{self, EXCHANGE_TIMEOUT, ExchangeState, Hint};
use crate::generated::mesh as wire;
use crate::kernel::{Plugin, RoleFuture};
use crate::member::registry::MemberRegistry;
use crate::platform::{self, Entry, KeyUpdate, PlatformError, PrefixWatcher, Swap};
use crate::settings::Distribution;
use crate::tree::Tree;
use crate::tree::actor::Message;
use crate::tree::backoff::{Backoff, jitter, jitter_around};
use prometheus_client::registry::Registry;
use prost::Message as _;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
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

/// Time after which a watch on the entries returns without a change. A dead connection is detected
/// by then at the latest.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after a change in which further ones are batched.
const BATCH_TIME: Duration = Duration::from_secs(2);

/// Bounds of the delay before a request to which the platform did not respond is retried. Entries
/// that expired during an outage must be restored within two seconds of its end.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_millis(1_500);

/// Duration of a platform outage after which this daemon increments the sequence of its record
/// before each retry, so that peers do not remove it.
const INCREMENT_AFTER: Duration = Duration::from_secs(1);

/// Time for which a daemon that starts together with all others waits for the first report of its
/// backend server before it announces itself.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which such a daemon lists the members: the others have announced themselves by then.
const FIRST_LISTING_DELAY: Duration = Duration::from_millis(2_500);

/// Greatest random time added to that delay.
const FIRST_LISTING_SPREAD: Duration = Duration::from_millis(500);

/// Maximum number of attempts at a conditional write whose revision was stale.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// Time between exchanges with a random peer.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit of an exchange that fetches a newer version, the pause before another peer is asked, and
/// the number of peers asked.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);
const FETCH_INTERVAL: Duration = Duration::from_millis(100);
const MAX_FETCHES: usize = 5;

/// Cumulative shares of the regular exchanges that are with a reader of the own failure domain and
/// with any of its daemons; the rest are with any daemon.
const READER_SHARE: f64 = 0.5;
const DOMAIN_SHARE: f64 = 0.8;

/// Time for which a daemon that reads the configuration from the platform waits for a version that
/// a peer reported, before it requests that version from a peer.
const HINT_GRACE: Duration = Duration::from_millis(200);

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
                    exchange(&daemon)
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
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    let mut failing_since = None;
    loop {
        phases.mark_unchanged();
        backend.mark_unchanged();
        let noticed = *restores.borrow_and_update();
        let pause = match entry.refresh(daemon, noticed).await {
            Ok(()) => {
                backoff.reset();
                failing_since = None;
                jitter_around(RENEW_INTERVAL)
            }
            Err(err) => {
                let since = *failing_since.get_or_insert_with(Instant::now);
                event!(
                    AnnouncementFailed,
                    error = err,
                    ms = since.elapsed().as_millis()
                );
                if since.elapsed() > INCREMENT_AFTER {
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
        if record.left && !record.instance.is_empty() {
            event!(
                BackendRecalled,
                instance = record.instance,
                born_ms = record.born_ms
            );
            daemon
                .backend
                .restore_leave(&record.instance, record.born_ms);
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
        let update = config::follow_prefix(daemon, &mut watcher, WATCH_TIMEOUT).await;
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
    let read = |entry: Entry| match wire::Member::decode(entry.value) {
        Ok(record) if entry.key.strip_prefix(PREFIX) == Some(&record.name) => Some(record),
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

/// Exchanges with a random peer at intervals, and with a daemon that has a newer version as soon as
/// that version is reported.
async fn exchange(daemon: &Daemon) -> anyhow::Result<()> {
    let state = ExchangeState::of(daemon);
    let mut hints = state.hints();
    loop {
        let hint = tokio::select! {
            () = sleep(jitter_around(EXCHANGE_INTERVAL)) => None,
            changed = hints.changed() => {
                changed?;
                // A daemon that reads the configuration itself mostly receives the version from the
                // platform in the meantime.
                if !config::is_served_by_peers(daemon) {
                    sleep(HINT_GRACE).await;
                }
                Some(*hints.borrow_and_update())
            }
        };
        state.update_members(daemon, MemberRegistry::expire);
        if let Some(hint) = hint {
            fetch_version(daemon, hint).await;
            continue;
        }
        // A clone, so that the next iteration still finds the version that was reported.
        let mut newer = hints.clone();
        tokio::select! {
            () = exchange_regularly(daemon) => {}
            Ok(()) = newer.changed() => {}
        }
    }
}

/// Runs a regular exchange.
async fn exchange_regularly(daemon: &Daemon) {
    if let Some(peer) = exchange_peer(daemon)
        && let Err(err) = exchange::with_peer(daemon, peer, EXCHANGE_TIMEOUT).await
    {
        event!(ExchangeFailed, peer = peer, error = err);
    }
}

/// Fetches a version that a peer reported: from the peer that has it, or else from others, each with
/// a short time limit. Gives up after [`MAX_FETCHES`]; regular exchanges follow.
async fn fetch_version(daemon: &Daemon, hint: Hint) {
    let mut holder = hint.holder;
    for _ in 0..MAX_FETCHES {
        if hint.version <= daemon.config.stamp().version {
            return;
        }
        let Some(peer) = holder.take().or_else(|| reader_or_any(daemon)) else {
            return;
        };
        // The peer may not have the version either.
        if let Err(err) = exchange::with_peer(daemon, peer, FETCH_TIMEOUT).await {
            event!(ExchangeFailed, peer = peer, error = err);
        }
        if hint.version <= daemon.config.stamp().version {
            return;
        }
        sleep(jitter_around(FETCH_INTERVAL)).await;
    }
}

/// Returns the inbound address of the peer for the next regular exchange.
///
/// Half of the exchanges are with a daemon of the own failure domain that reads from the platform,
/// and most others stay in the failure domain as well, since traffic between them is expensive.
fn exchange_peer(daemon: &Daemon) -> Option<SocketAddr> {
    let draw = rand::random::<f64>();
    if draw < READER_SHARE {
        return reader_or_any(daemon);
    }
    let near = draw < DOMAIN_SHARE;
    let domain = &daemon.identity.domain;
    let peer = near.then(|| random_member(daemon, |member| member.domain == *domain));
    peer.flatten().or_else(|| random_peer(daemon))
}

/// Returns the inbound address of a random daemon of the own failure domain that reads from the
/// platform, or of any other member if there is none.
pub(super) fn reader_or_any(daemon: &Daemon) -> Option<SocketAddr> {
    let fleet = daemon.fleet.load();
    let domain = &daemon.identity.domain;
    let reader = random_member(daemon, |member| {
        member.domain == *domain && fleet.is_reader(&member.name, domain)
    });
    reader.or_else(|| random_peer(daemon))
}

/// Returns the inbound address of a random other member; `None` when there is none.
fn random_peer(daemon: &Daemon) -> Option<SocketAddr> {
    random_member(daemon, |_| true)
}

fn random_member(daemon: &Daemon, filter: impl Fn(&wire::Member) -> bool) -> Option<SocketAddr> {
    let fleet = daemon.fleet.load();
    let others = fleet.members().values();
    let others = others.filter(|member| member.name != daemon.identity.name && filter(member));
    let peer = others.choose(&mut rand::rng())?;
    peer.inbound.parse().ok()
}
