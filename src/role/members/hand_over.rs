//! Telling the daemons that read from the platform in place of this one, when that no longer answers it.

use super::peers::{RESPONSE_TIMEOUT, exchange_with};
use crate::daemon::Daemon;
use crate::event;
use crate::exchange::ExchangeState;
use futures_util::stream::{FuturesUnordered, StreamExt};
use std::collections::BTreeSet;

/// Exchanges at once with each daemon that reads in place of this one, whenever the platform no longer answers
/// this reader. Regular exchanges would take seconds to tell them.
///
/// What this daemon learns meanwhile of others that are turned away adds further ones.
pub(super) async fn run(daemon: &Daemon) -> anyhow::Result<()> {
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
