//! The role that announces this daemon and learns of the others.

use super::config;
use crate::daemon::Daemon;
use crate::event;
use crate::exchange::{self, Knowledge};
use crate::generated::mesh as wire;
use crate::kernel::{Plugin, Work};
use crate::member::book::Book;
use crate::platform::{self, Entry, Follower, News, PlatformError, Swap};
use crate::settings::Distribution;
use crate::tree::Tree;
use crate::tree::actor::Message;
use crate::tree::backoff::{Backoff, about};
use prometheus_client::registry::Registry;
use prost::Message as _;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// The prefix of the keys of daemons.
const PREFIX: &str = "baobab/member/";
/// Time after which the entry of a daemon that is gone disappears.
const LEASE_TTL: Duration = Duration::from_secs(6);

/// Time between renewals: two may fail before the lease lapses.
const RENEW_EVERY: Duration = Duration::from_millis(1_800);

/// Time for which a watch on the entries waits; also the longest that one stays silent unseen.
const LIST_WAIT: Duration = Duration::from_secs(30);

/// Time after a change in which further ones are gathered.
const GATHER_TIME: Duration = Duration::from_secs(2);

/// Delays before a platform that does not answer is asked again. Entries that lapsed while it was
/// away shall be back within two seconds of its return.
const RETRY_MIN: Duration = Duration::from_millis(100);
const RETRY_MAX: Duration = Duration::from_millis(800);

/// Time without the platform after which peers are told that this daemon lives.
const VOUCH_AFTER: Duration = Duration::from_secs(1);

/// Times that a write is tried whose condition did not hold.
const WRITE_TRIES: usize = 3;

/// Time between exchanges with a random peer.
const EXCHANGE_EVERY: Duration = Duration::from_secs(1);

/// Time in which a version that was heard of may come from the platform by itself.
const HINT_GRACE: Duration = Duration::from_millis(200);

inventory::submit! {
    Plugin { name: "members", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> Work {
    Box::pin(async move {
        match daemon.settings.distribution {
            Distribution::Direct => {
                tokio::try_join!(announce(&daemon), list(&daemon), exchange(&daemon))?;
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

/// Announces this daemon through the distribution tree once it is ready, and when it drains.
async fn announce_in_tree(daemon: &Daemon) -> anyhow::Result<()> {
    let tree = Tree::of(daemon);
    let mut phases = daemon.drain.subscribe();
    let mut backend = daemon.backend.subscribe();
    let mut actors = tree.subscribe();
    loop {
        let actor = tree.started().await?;
        tree.caught_up(daemon).await?;
        daemon.caught_up.store(true, Ordering::Relaxed);
        actors.mark_unchanged();
        phases.mark_unchanged();
        backend.mark_unchanged();
        actor.send(Message::Announce(Box::new(daemon.record())));
        // A control state that is started again knows nothing of this daemon.
        tokio::select! {
            changed = phases.changed() => changed?,
            changed = backend.changed() => changed?,
            changed = actors.changed() => changed?,
        }
    }
}

/// Keeps a key in the platform that holds this daemon's record.
async fn announce(daemon: &Daemon) -> anyhow::Result<()> {
    let mut phases = daemon.drain.subscribe();
    let mut backend = daemon.backend.subscribe();
    let mut entry = Announced::default();
    entry.recall(daemon).await;
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    let mut failing_since = None;
    loop {
        phases.mark_unchanged();
        backend.mark_unchanged();
        let pause = match entry.refresh(daemon).await {
            Ok(()) => {
                backoff.reset();
                failing_since = None;
                about(RENEW_EVERY)
            }
            Err(err) => {
                let since = *failing_since.get_or_insert_with(Instant::now);
                event!(
                    AnnouncementFailed,
                    error = err,
                    ms = since.elapsed().as_millis()
                );
                if since.elapsed() > VOUCH_AFTER {
                    // Peers take the greater number as a sign of life.
                    daemon.renumber();
                }
                backoff.delay(&mut rand::rng())
            }
        };
        tokio::select! {
            () = sleep(pause) => {}
            changed = phases.changed() => changed?,
            changed = backend.changed() => changed?,
        }
    }
}

/// This daemon's entry in the platform, as far as is known.
#[derive(Default)]
struct Announced {
    lease: Option<u64>,
    /// The record written last, and the revision that it got.
    written: Option<wire::Member>,
    revision: u64,
}

impl Announced {
    /// Reads what an earlier process of this daemon wrote: that the backend server leaves holds
    /// on.
    async fn recall(&mut self, daemon: &Daemon) {
        let key = format!("{PREFIX}{}", daemon.identity.name);
        let entry = match daemon.store.platform().get(&key).await {
            Ok(Some(entry)) => entry,
            Ok(None) => return,
            Err(err) => {
                // Its health and its next report say the same, later.
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
            daemon.backend.recall(&record.instance, record.born_ms);
        }
    }

    /// Renews the lease, and writes the record when it has changed or lapsed.
    async fn refresh(&mut self, daemon: &Daemon) -> Result<(), PlatformError> {
        let platform = daemon.store.platform();
        let record = daemon.record();
        if let Some(lease) = self.lease
            && self.written.as_ref() == Some(&record)
        {
            if platform.renew(lease).await? {
                return Ok(());
            }
            event!(LeaseLapsed, lease = lease);
            self.lease = None;
        }
        let lease = match self.lease {
            Some(lease) => lease,
            None => platform.grant(LEASE_TTL).await?,
        };
        self.lease = Some(lease);
        match self.write(daemon, &record, lease).await {
            Err(PlatformError::Refused(reason)) => {
                // The lease may have ended meanwhile.
                self.lease = None;
                Err(PlatformError::Refused(reason))
            }
            written => written,
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
        // Until it is known to be written, it has to be written again.
        self.written = None;
        for _ in 0..WRITE_TRIES {
            let swap = platform.swap(&key, self.revision, Some(value.clone()), lease);
            match swap.await? {
                Swap::Done(revision) => {
                    self.revision = revision;
                    self.written = Some(record.clone());
                    return Ok(());
                }
                Swap::Stale(revision) => self.revision = revision,
            }
        }
        Err(PlatformError::Unavailable(
            "entry is written by others too".into(),
        ))
    }
}

/// Follows the entries of every daemon.
async fn list(daemon: &Daemon) -> anyhow::Result<()> {
    let knowledge = Knowledge::of(daemon);
    let mut follower = Follower::new(PREFIX);
    let mut backoff = Backoff::new(RETRY_MIN, RETRY_MAX);
    loop {
        let news = config::follow(daemon, &mut follower, LIST_WAIT).await;
        match news {
            Ok(news) => {
                backoff.reset();
                let some = !matches!(&news, News::Some(events) if events.is_empty());
                knowledge.change(daemon, |book, now| take(book, news, now));
                knowledge.note_asked();
                if some {
                    sleep(GATHER_TIME).await;
                }
            }
            Err(err) => {
                event!(MembersUnread, error = err);
                knowledge.note_asked();
                let delay = backoff.delay(&mut rand::rng());
                sleep(delay).await;
            }
        }
    }
}

fn take(book: &mut Book, news: News, now: Instant) -> bool {
    let read = |entry: Entry| match wire::Member::decode(entry.value) {
        Ok(record) if entry.key.strip_prefix(PREFIX) == Some(&record.name) => Some(record),
        _ => {
            event!(MemberUnreadable, key = entry.key, revision = entry.revision);
            None
        }
    };
    match news {
        News::All(entries) => {
            let records = entries.into_iter().filter_map(read).collect();
            book.list_all(records, now)
        }
        News::Some(events) => {
            let mut changed = false;
            for event in events {
                match event {
                    platform::Event::Put(entry) => {
                        changed |= read(entry).is_some_and(|record| book.list(record, now));
                    }
                    platform::Event::Deleted(key) => {
                        book.unlist(key.strip_prefix(PREFIX).unwrap_or_default(), now);
                    }
                }
            }
            changed
        }
    }
}

/// Exchanges with a random peer now and then, and with the holder of a newer version at once.
async fn exchange(daemon: &Daemon) -> anyhow::Result<()> {
    let knowledge = Knowledge::of(daemon);
    let mut hints = knowledge.hints();
    loop {
        let heard = tokio::select! {
            () = sleep(about(EXCHANGE_EVERY)) => None,
            changed = hints.changed() => {
                changed?;
                // The version mostly comes from the platform by itself, where it is read from there.
                if !config::is_served_by_peers(daemon) {
                    sleep(HINT_GRACE).await;
                }
                Some(*hints.borrow_and_update())
            }
        };
        knowledge.change(daemon, Book::expire);
        let peer = match heard {
            Some(hint) if hint.version <= daemon.config.stamp().version => continue,
            Some(hint) => hint.holder.or_else(|| random_peer(daemon)),
            None => random_peer(daemon),
        };
        if let Some(peer) = peer
            && let Err(err) = exchange::with_peer(daemon, peer).await
        {
            event!(ExchangeFailed, peer = peer, error = err);
        }
    }
}

pub(super) fn random_peer(daemon: &Daemon) -> Option<SocketAddr> {
    let fleet = daemon.fleet.load();
    let others = fleet.members().values();
    let others = others.filter(|member| member.name != daemon.identity.name);
    let peer = others.choose(&mut rand::rng())?;
    peer.inbound.parse().ok()
}
