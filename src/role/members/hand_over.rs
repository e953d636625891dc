//! Immediate exchanges, for what regular exchanges would spread too late: a new version, and that the platform turns
//! this daemon away, so that others read in its place.

use super::peers::{RESPONSE_TIMEOUT, exchange_with};
use crate::daemon::Daemon;
use crate::event;
use crate::exchange::ExchangeState;
use crate::generated::mesh as wire;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::collections::BTreeSet;
use std::sync::Arc;
use tokio::sync::watch;

/// Maximum number of exchanges in progress.
const MAX_EXCHANGES: usize = 16;

/// Exchanges at once with the daemons that depend on this reader, whenever a version comes into force. Where few
/// calls pass between daemons, regular exchanges would take seconds.
pub(super) async fn send_to_dependents(daemon: &Daemon) -> anyhow::Result<()> {
    let mut stamps = daemon.config.subscribe();
    exchange_after(daemon, &mut stamps, |daemon| {
        let identity = &daemon.identity;
        let fleet = daemon.fleet.load();
        fleet.dependents(&identity.name, &identity.domain)
    })
    .await
}

/// Exchanges at once with the other readers, whenever this one has read a version late: their connections may have
/// gone silent like its own.
pub(super) async fn send_to_readers(daemon: &Daemon) -> anyhow::Result<()> {
    let mut late = ExchangeState::of(daemon).late();
    exchange_after(daemon, &mut late, |daemon| {
        let fleet = daemon.fleet.load();
        fleet.other_readers(&daemon.identity.name)
    })
    .await
}

/// Exchanges with some daemons after each notice. Those that are still waiting are replaced by those of the next one.
async fn exchange_after<T>(
    daemon: &Daemon,
    notices: &mut watch::Receiver<T>,
    receivers: impl Fn(&Daemon) -> Vec<Arc<wire::Member>>,
) -> anyhow::Result<()> {
    let mut waiting = Vec::new();
    let mut exchanges = FuturesUnordered::new();
    loop {
        while exchanges.len() < MAX_EXCHANGES
            && let Some(peer) = waiting.pop()
        {
            exchanges.push(exchange_with(daemon, peer, RESPONSE_TIMEOUT));
        }
        tokio::select! {
            changed = notices.changed() => {
                changed?;
                let receivers = receivers(daemon).into_iter();
                waiting = receivers.filter_map(|member| member.inbound.parse().ok()).collect();
                if !waiting.is_empty() {
                    let version = daemon.config.stamp().version;
                    event!(VersionPassedOn, version = version, daemons = waiting.len());
                }
            }
            Some(()) = exchanges.next() => {}
        }
    }
}

/// Exchanges at once with each daemon that reads in place of this one, whenever the platform no longer answers
/// this reader. Regular exchanges would take seconds to tell them.
///
/// What this daemon learns meanwhile of others that are turned away adds further ones.
pub(super) async fn notify_successors(daemon: &Daemon) -> anyhow::Result<()> {
    let mut turned_away = ExchangeState::of(daemon).turned_away();
    let mut fleet = daemon.fleet.subscribe();
    let mut told = BTreeSet::new();
    let mut exchanges = FuturesUnordered::new();
    loop {
        if *turned_away.borrow_and_update() {
            fleet.mark_unchanged();
            for member in daemon.fleet.load().successors(&daemon.identity.domain) {
                if let Ok(address) = member.inbound.parse()
                    && told.insert(member.name.clone())
                {
                    event!(ReadingHandedOver, to = member.name);
                    exchanges.push(exchange_with(daemon, address, RESPONSE_TIMEOUT));
                }
            }
        } else {
            told.clear();
        }
        tokio::select! {
            changed = turned_away.changed() => changed?,
            changed = fleet.changed() => changed?,
            Some(()) = exchanges.next() => {}
        }
    }
}
