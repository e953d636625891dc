//! The role that spreads the records of crashes among the daemons of a service.

mod saved;

use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::exchange::ExchangeState;
use crate::generated::mesh as wire;
use crate::kernel::{Plugin, RoleFuture};
use crate::quarantine::{self, Quarantine};
use crate::settings::Distribution;
use crate::tree::backoff::jitter_around;
use prometheus_client::registry::Registry;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time limit for the response of another daemon.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause before a report that was not answered is sent again.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Time between comparisons with a random daemon while records are new, and later.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
const IDLE_COMPARE_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which records are new: by then the others have been compared with.
const NEW_TIME: Duration = Duration::from_secs(30);

/// Time limit at start for receiving the records of another daemon; none may be reachable.
const SYNC_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for the response of one daemon during that.
const SYNC_RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after which it is tried again.
const SYNC_PAUSE: Duration = Duration::from_millis(20);

inventory::submit! {
    Plugin { name: "quarantine", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> RoleFuture {
    Box::pin(async move {
        let quarantine = Quarantine::of(&daemon);
        let Some(backend) = &daemon.settings.backend else {
            quarantine.mark_synced();
            daemon.drain.reached(Phase::Stopped).await;
            return Ok(());
        };
        // No daemon has records when all start for the first time.
        if !daemon.settings.first_start && !quarantine.is_synced() {
            tokio::join!(
                saved::load(&daemon, &backend.service, &quarantine),
                sync(&daemon, &quarantine)
            );
        }
        quarantine.mark_synced();
        tokio::select! {
            () = report(&daemon, &quarantine) => {}
            () = saved::save(&daemon, &backend.service, &quarantine) => {}
            () = compare(&daemon, &quarantine) => {}
            () = daemon.drain.reached(Phase::Stopped) => {}
        }
        Ok(())
    })
}

fn state(daemon: &Daemon) -> serde_json::Value {
    Quarantine::of(daemon).state()
}

fn metrics(_: &Daemon, _: &mut Registry) {}

/// Receives the records of another daemon of the service, if there is one.
async fn sync(daemon: &Daemon, quarantine: &Quarantine) {
    let deadline = Instant::now() + SYNC_TIMEOUT;
    loop {
        let peer = random_peer(daemon);
        if let Some((name, address)) = &peer {
            match quarantine.compare(*address, SYNC_RESPONSE_TIMEOUT).await {
                Ok(()) => {
                    let records = quarantine.len();
                    event!(SuspectsReceived, peer = name, records = records);
                    return;
                }
                Err(err) => event!(CrashReportFailed, peer = name, error = err),
            }
        } else if knows_members(daemon) {
            return;
        }
        if Instant::now() >= deadline {
            event!(SuspectsReceived, peer = "none", records = 0);
            return;
        }
        sleep(SYNC_PAUSE).await;
    }
}

/// Tests whether this daemon has learnt of the other members, if there are any.
fn knows_members(daemon: &Daemon) -> bool {
    match daemon.settings.distribution {
        Distribution::Direct => ExchangeState::of(daemon).is_queried(),
        Distribution::Tree => daemon.caught_up.load(Ordering::Relaxed),
    }
}

/// Sends each change to all daemons of the service.
async fn report(daemon: &Arc<Daemon>, quarantine: &Quarantine) {
    let mut changes = quarantine.reports();
    loop {
        changes.mark_unchanged();
        if let Some(report) = quarantine.next_report() {
            let report = Arc::new(report);
            for peer in peers(daemon) {
                tokio::spawn(deliver(Arc::clone(daemon), peer, Arc::clone(&report)));
            }
        }
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Sends a report to a daemon until it is answered or that daemon has left.
async fn deliver(daemon: Arc<Daemon>, peer: Peer, report: Arc<wire::CrashReport>) {
    while daemon.drain.phase() != Phase::Stopped && is_member(&daemon, &peer) {
        match quarantine::send(peer.address, &report, RESPONSE_TIMEOUT).await {
            Ok(_) => return,
            Err(err) => event!(CrashReportFailed, peer = peer.name, error = err),
        }
        sleep(jitter_around(RETRY_PAUSE)).await;
    }
}

/// Compares the records with those of random daemons of the service: once, since none may have been known at
/// start, and then as long as there are records.
async fn compare(daemon: &Daemon, quarantine: &Quarantine) {
    let mut compared: Option<Instant> = None;
    loop {
        sleep(jitter_around(COMPARE_INTERVAL)).await;
        let age = quarantine.expire();
        let is_due = compared.is_none_or(|at| match age {
            None => false,
            Some(age) => age <= NEW_TIME || at.elapsed() >= IDLE_COMPARE_INTERVAL,
        });
        let Some((name, address)) = random_peer(daemon).filter(|_| is_due) else {
            continue;
        };
        match quarantine.compare(address, RESPONSE_TIMEOUT).await {
            Ok(()) => compared = Some(Instant::now()),
            Err(err) => event!(CrashReportFailed, peer = name, error = err),
        }
    }
}

/// Another daemon of the service.
struct Peer {
    name: String,
    incarnation: u64,
    address: SocketAddr,
}

/// Returns the other daemons of the service.
fn peers(daemon: &Daemon) -> Vec<Peer> {
    let service = daemon.settings.backend.as_ref();
    let service = service.map_or("", |backend| backend.service.as_str());
    let fleet = daemon.fleet.load();
    let members = fleet.members().values();
    let others = members.filter(|m| m.service == service && m.name != daemon.identity.name);
    others
        .filter_map(|member| {
            Some(Peer {
                name: member.name.clone(),
                incarnation: member.incarnation,
                address: member.inbound.parse().ok()?,
            })
        })
        .collect()
}

fn random_peer(daemon: &Daemon) -> Option<(String, SocketAddr)> {
    let peer = peers(daemon).into_iter().choose(&mut rand::rng());
    peer.map(|peer| (peer.name, peer.address))
}

fn is_member(daemon: &Daemon, peer: &Peer) -> bool {
    let fleet = daemon.fleet.load();
    let member = fleet.members().get(&peer.name);
    member.is_some_and(|member| member.incarnation == peer.incarnation)
}
