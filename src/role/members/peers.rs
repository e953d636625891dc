//! Exchanges with peers, regularly and for a newer version.

use crate::daemon::Daemon;
use crate::event;
use crate::exchange::{self, ExchangeState, Hint};
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use crate::member::registry::MemberRegistry;
use crate::role::config;
use crate::tree::backoff::jitter_around;
use futures_util::stream::{FuturesUnordered, StreamExt};
use rand::seq::IteratorRandom;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;
use tokio::join;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio::try_join;

/// Time between exchanges with a random peer.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Time limit for the response of a regular exchange to begin. The next one is with another peer.
pub(super) const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time without a response of the peer after which a regular exchange with another one begins as well.
const FURTHER_PEER_DELAY: Duration = Duration::from_millis(500);

/// Time limit for the response with a newer version to begin. On a congested link every response is late,
/// and other peers are asked in the meantime.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which a further peer is asked for a newer version while earlier ones have not responded,
/// and the pause after an exchange that did not lead to it.
const FETCH_INTERVAL: Duration = Duration::from_millis(250);
const FETCH_PAUSE: Duration = Duration::from_millis(50);

/// Exchanges as soon as the backend server of a daemon that starts is ready, and the time between them. If many
/// daemons have started together, the platform's entries are those of earlier processes, and the others
/// learn of the new ones too late by regular exchanges.
const START_EXCHANGES: usize = 3;
const START_INTERVAL: Duration = Duration::from_millis(150);

/// Longest waits for the first listing of the members, and for the backend server, before these exchanges.
const LISTING_TIMEOUT: Duration = Duration::from_secs(1);
const BACKEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of peers asked for a newer version before the pause of a regular exchange.
const MAX_FETCHES: usize = 5;

/// Cumulative shares of the regular exchanges that are with a reader of the own failure domain and
/// with any of its daemons; the rest are with any daemon.
const READER_SHARE: f64 = 0.5;
const DOMAIN_SHARE: f64 = 0.8;

/// Time for which a daemon that reads the configuration from the platform waits for a version that
/// a peer reported, before it requests that version from a peer.
const HINT_GRACE: Duration = Duration::from_millis(200);

/// Exchanges with random peers, and with a daemon that has a newer version as soon as that version is
/// reported.
pub(super) async fn exchange(daemon: &Daemon) -> anyhow::Result<()> {
    let state = ExchangeState::of(daemon);
    // At the same time, since the peers of the first exchanges may be silent and a version may be reported.
    let at_start = async {
        if !daemon.settings.first_start {
            exchange_at_start(daemon, &state).await;
        }
        Ok(())
    };
    let ((), ()) = try_join!(at_start, exchange_continuously(daemon, &state))?;
    Ok(())
}

async fn exchange_continuously(daemon: &Daemon, state: &ExchangeState) -> anyhow::Result<()> {
    let mut hints = state.hints();
    loop {
        tokio::select! {
            () = sleep(jitter_around(EXCHANGE_INTERVAL)) => {}
            changed = hints.changed() => {
                changed?;
                // A daemon that reads the configuration itself mostly receives the version from the
                // platform in the meantime.
                if !config::is_served_by_peers(daemon) {
                    sleep(HINT_GRACE).await;
                }
            }
        }
        let hint = *hints.borrow_and_update();
        state.update_members(daemon, MemberRegistry::expire);
        if state.newest_known(daemon) > daemon.config.stamp().version {
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

/// Exchanges with a random peer, and with a few more once the backend server is ready, which tells them so.
async fn exchange_at_start(daemon: &Daemon, state: &ExchangeState) {
    let _ = timeout(LISTING_TIMEOUT, state.wait_queried()).await;
    exchange_with_any(daemon).await;
    let mut backend = daemon.backend.subscribe();
    let ready = backend.wait_for(|backend| backend.is_ready());
    let _ = timeout(BACKEND_TIMEOUT, ready).await;
    for _ in 0..START_EXCHANGES {
        exchange_with_any(daemon).await;
        sleep(jitter_around(START_INTERVAL)).await;
    }
}

async fn exchange_with_any(daemon: &Daemon) {
    if let Some(peer) = random_member(daemon, &BTreeSet::new(), |_| true) {
        exchange_with(daemon, peer, RESPONSE_TIMEOUT).await;
    }
}

/// Runs a regular exchange, and a further one while the peer is silent. Otherwise two silent peers in a row would
/// leave this daemon without any exchange for so long that it reads the platform itself.
async fn exchange_regularly(daemon: &Daemon) {
    let Some(peer) = exchange_peer(daemon) else {
        return;
    };
    let mut first = pin!(exchange_with(daemon, peer, RESPONSE_TIMEOUT));
    if timeout(FURTHER_PEER_DELAY, &mut first).await.is_ok() {
        return;
    }
    match random_member(daemon, &BTreeSet::from([peer]), is_staying) {
        Some(other) => {
            join!(first, exchange_with(daemon, other, RESPONSE_TIMEOUT));
        }
        None => first.await,
    }
}

pub(super) async fn exchange_with(daemon: &Daemon, peer: SocketAddr, limit: Duration) {
    if let Err(err) = exchange::with_peer(daemon, peer, limit).await {
        event!(ExchangeFailed, peer = peer, error = err);
    }
}

/// Fetches a version that a peer reported: from the peer that has it, and from others while that one
/// does not respond. Gives up after [`MAX_FETCHES`].
///
/// Readers and any other daemons are asked in turn: the readers of a failure domain may be gone together,
/// and the version was reported by daemons that take part in calls.
///
/// An exchange in progress is not abandoned for the next one: where this daemon's own link or
/// processor is slow, every response is late.
async fn fetch_version(daemon: &Daemon, hint: Hint) {
    let mut applied = daemon.config.subscribe();
    let mut exchanges = FuturesUnordered::new();
    let mut asked = BTreeSet::new();
    let mut left = MAX_FETCHES;
    let mut next_start = Instant::now();
    while left > 0 || !exchanges.is_empty() {
        tokio::select! {
            biased;
            Ok(_) = applied.wait_for(|stamp| stamp.version >= hint.version) => return,
            Some(()) = exchanges.next() => {
                next_start = next_start.min(Instant::now() + jitter_around(FETCH_PAUSE));
            }
            () = sleep_until(next_start), if left > 0 => {
                let Some(peer) = fetch_peer(daemon, hint, &asked) else {
                    left = 0;
                    continue;
                };
                exchanges.push(exchange_with(daemon, peer, FETCH_TIMEOUT));
                asked.insert(peer);
                left -= 1;
                next_start = Instant::now() + jitter_around(FETCH_INTERVAL);
            }
        }
    }
}

/// Returns the address of the next daemon to ask for a reported version.
fn fetch_peer(daemon: &Daemon, hint: Hint, asked: &BTreeSet<SocketAddr>) -> Option<SocketAddr> {
    let holder = hint.holder.filter(|holder| !asked.contains(holder));
    let reader = || {
        let reader = random_reader(daemon, asked);
        reader.filter(|_| asked.len() % 2 == 1)
    };
    holder
        .or_else(reader)
        .or_else(|| random_member(daemon, asked, is_staying))
}

/// Returns the inbound address of the peer for the next regular exchange.
///
/// Half of the exchanges are with a daemon of the own failure domain that reads from the platform,
/// and most others stay in the failure domain as well, since traffic between them is expensive.
fn exchange_peer(daemon: &Daemon) -> Option<SocketAddr> {
    let draw = rand::random::<f64>();
    if draw < READER_SHARE || daemon.contact.is_stale(&daemon.limits.load()) {
        return reader_or_any(daemon);
    }
    let near = draw < DOMAIN_SHARE;
    let domain = &daemon.identity.domain;
    let none = BTreeSet::new();
    let peer = near.then(|| random_member(daemon, &none, |member| member.domain == *domain));
    peer.flatten()
        .or_else(|| random_member(daemon, &none, |_| true))
}

/// Returns the inbound address of a random daemon of the own failure domain that reads from the
/// platform, or of any other member if there is none.
pub(in crate::role) fn reader_or_any(daemon: &Daemon) -> Option<SocketAddr> {
    let none = BTreeSet::new();
    random_reader(daemon, &none).or_else(|| random_member(daemon, &none, |_| true))
}

fn random_reader(daemon: &Daemon, except: &BTreeSet<SocketAddr>) -> Option<SocketAddr> {
    let fleet = daemon.fleet.load();
    let domain = &daemon.identity.domain;
    random_member(daemon, except, |member| {
        member.domain == *domain && is_staying(member) && fleet.is_reader(&member.name, domain)
    })
}

/// Tests whether a daemon is not known to shut down, nor its backend server to leave.
fn is_staying(member: &wire::Member) -> bool {
    member.state() != MemberState::Draining
}

/// Returns the inbound address of a random other member.
fn random_member(
    daemon: &Daemon,
    except: &BTreeSet<SocketAddr>,
    filter: impl Fn(&wire::Member) -> bool,
) -> Option<SocketAddr> {
    let fleet = daemon.fleet.load();
    let others = fleet.members().values();
    let others = others.filter(|member| member.name != daemon.identity.name && filter(member));
    let addresses = others.filter_map(|member| member.inbound.parse().ok());
    addresses
        .filter(|address| !except.contains(address))
        .choose(&mut rand::rng())
}
