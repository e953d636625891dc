//! Fair shares of a backend server between organisations, under load and without a network.

use baobabstage::call::admission::{Admission, AdmissionRequest, Decision, Limits, Ticket};
use baobabstage::call::shares::ShareKey;
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

const SLOTS: u32 = 4;
const WORK_MS: u32 = 100;
const OBJECTIVE: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_millis(800);

fn ms(count: u32) -> Duration {
    Duration::from_millis(u64::from(count))
}

fn request(now: Instant, organisation: Option<&str>) -> AdmissionRequest {
    AdmissionRequest {
        objective: Some(now + OBJECTIVE),
        share: organisation.map(|name| ShareKey::new(Some(name))),
        ..AdmissionRequest::new(1, now + DEADLINE)
    }
}

/// Calls served of an organisation, and the worst tenth of their waits.
#[derive(Debug, Default)]
struct Served {
    offered: usize,
    waits: Vec<u32>,
}

impl Served {
    fn worst_tenth(&self) -> u32 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        waits.get(waits.len() * 9 / 10).copied().unwrap_or(u32::MAX)
    }
}

/// Plays calls, as milliseconds and organisation in order of time, against a backend server.
fn play(calls: &[(u32, &str)], fair: bool) -> BTreeMap<String, Served> {
    let start = Instant::now();
    let mut admission = Admission::new(Limits {
        slots: SLOTS,
        queue: 100,
    });
    admission.finish(start, 0, Some(ms(WORK_MS)));
    let mut served: BTreeMap<String, Served> = BTreeMap::new();
    let mut waiting: BTreeMap<Ticket, (u32, &str)> = BTreeMap::new();
    let mut ends = Vec::new();
    let mut calls = calls.iter().copied().peekable();
    for at in 0..12_000 {
        let now = start + ms(at);
        let mut started = Vec::new();
        while let Some(place) = ends.iter().position(|end| *end == at) {
            ends.swap_remove(place);
            let update = admission.finish(now, 0, Some(ms(WORK_MS)));
            started.extend(update.start);
        }
        while let Some((_, name)) = calls.next_if(|(arrival, _)| *arrival == at) {
            let entry = served.entry(name.to_owned()).or_default();
            entry.offered += 1;
            let (decision, update) = admission.offer(now, &request(now, fair.then_some(name)));
            match decision {
                Decision::Run => {
                    entry.waits.push(0);
                    ends.push(at + WORK_MS);
                }
                Decision::Wait(ticket) => {
                    waiting.insert(ticket, (at, name));
                }
                Decision::Refuse(_) => {}
            }
            started.extend(update.start);
        }
        for ticket in started {
            let (arrival, name) = waiting[&ticket];
            served
                .entry(name.to_owned())
                .or_default()
                .waits
                .push(at - arrival);
            ends.push(at + WORK_MS);
        }
    }
    assert_eq!(admission.organisations(), 0, "state is left when idle");
    served
}

/// Load: an organisation sends 1,000 calls in 10 s to a backend server with room for 400, another sends 10.
/// Guards against the small organisation being refused as often as the large one.
#[test]
fn offer_ten_beside_thousand() {
    let mut calls: Vec<(u32, &str)> = (0..1_000).map(|n| (n * 10, "large")).collect();
    calls.extend((0..10).map(|n| (n * 1_000 + 505, "small")));
    calls.sort_unstable();
    let (before, after) = (play(&calls, false), play(&calls, true));
    for (label, result) in [("before", &before), ("after", &after)] {
        for (name, served) in result {
            let (count, all) = (served.waits.len(), served.offered);
            let worst = served.worst_tenth();
            println!("{label}: {name} {count} of {all} served, worst tenth waits {worst} ms");
        }
    }
    assert_eq!(after["small"].waits.len(), 10);
    let large = after["large"].waits.len();
    assert!(
        large >= 370,
        "{large} of the large organisation's calls served"
    );
}

/// Load: as before, with nothing from the others. Guards against unused shares being withheld.
#[test]
fn offer_unused_shares() {
    let calls: Vec<(u32, &str)> = (0..1_000).map(|n| (n * 10, "large")).collect();
    let (before, after) = (play(&calls, false), play(&calls, true));
    let (before, after) = (before["large"].waits.len(), after["large"].waits.len());
    println!("served alone: before {before}, after {after}");
    assert_eq!(before, after);
}

/// Load: an organisation has a queue while urgent calls of others run, then another arrives. Guards against
/// urgent calls advancing the virtual time, which put newcomers behind the whole queue.
#[test]
fn offer_newcomer_after_urgent() {
    let now = Instant::now();
    let mut admission = Admission::new(Limits {
        slots: 1,
        queue: 50,
    });
    admission.finish(now, 0, Some(ms(10)));
    let patient = |weight, name| AdmissionRequest {
        weight,
        objective: None,
        deadline: now + Duration::from_mins(1),
        ..request(now, Some(name))
    };
    admission.offer(now, &patient(1, "queued"));
    let mut tickets = Vec::new();
    for _ in 0..10 {
        tickets.push(admission.offer(now, &patient(1, "queued")).0);
    }
    for _ in 0..20 {
        admission.offer(now, &patient(9, "urgent"));
    }
    for _ in 0..20 {
        admission.finish(now, 0, Some(ms(10)));
    }
    let Decision::Wait(newcomer) = admission.offer(now, &patient(1, "newcomer")).0 else {
        panic!("call is not queued");
    };
    let mut started = admission.finish(now, 0, Some(ms(10))).start;
    started.extend(admission.finish(now, 0, Some(ms(10))).start);
    assert!(started.contains(&newcomer), "{started:?}, {tickets:?}");
}

/// Load: 1,000 organisations with a call each while the server is never idle. Prints the cost of a decision.
#[test]
fn offer_cost() {
    const CALLS: u32 = 1_000;
    let now = Instant::now();
    let mut admission = Admission::new(Limits {
        slots: 1_000,
        queue: 64,
    });
    let names: Vec<String> = (0..CALLS).map(|n| format!("organisation-{n}")).collect();
    admission.finish(now, 0, Some(ms(10)));
    for name in &names {
        admission.offer(now, &request(now, Some(name)));
    }
    let known = admission.organisations();
    assert!(known >= 999, "{known} organisations");
    let begin = std::time::Instant::now();
    for name in &names {
        admission.offer(now, &request(now, Some(name)));
    }
    println!(
        "{:?} a decision, queue of {}",
        begin.elapsed() / CALLS,
        admission.load().queued
    );
}
