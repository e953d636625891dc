//! The quota of an organisation over all daemons, without a network: one organisation that sends more than its
//! limit, evenly or at few daemons, while daemons are cut off, owners end and the limit is lowered.

use baobabstage::quota::{Grant, Holdings, Ledger, Limit, Taken, contact_interval};
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng as _, SeedableRng as _};
use std::time::Duration;
use test_case::test_case;
use tokio::time::Instant;

const DAEMONS: usize = 80;

/// The owners in the order in which they are asked; they are the first daemons.
const OWNERS: usize = 3;

const TICK: Duration = Duration::from_millis(10);

/// The window of the bound, and what it allows beyond the limit.
const WINDOW: Duration = Duration::from_secs(5);
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;

/// A daemon with its part of the account and its tokens.
struct Daemon {
    ledger: Ledger,
    holdings: Holdings,
    /// Only daemons of one side reach each other.
    side: u8,
    running: bool,
    contact_at: Instant,
}

struct Fleet {
    now: Instant,
    daemons: Vec<Daemon>,
    limit: Limit,
    random: StdRng,
    /// When calls ran.
    ran: Vec<Instant>,
    sent: usize,
}

impl Fleet {
    fn new(limit: Limit, seed: u64) -> Fleet {
        let now = Instant::now();
        let daemon = |_| Daemon {
            ledger: Ledger::default(),
            holdings: Holdings::default(),
            side: 0,
            running: true,
            contact_at: now,
        };
        Fleet {
            now,
            daemons: (0..DAEMONS).map(daemon).collect(),
            limit,
            random: StdRng::seed_from_u64(seed),
            ran: Vec::new(),
            sent: 0,
        }
    }

    /// Returns the first owner that a daemon reaches.
    fn owner(&self, daemon: usize) -> Option<usize> {
        let side = self.daemons[daemon].side;
        (0..OWNERS).find(|owner| self.daemons[*owner].running && self.daemons[*owner].side == side)
    }

    fn keep_contact(&mut self) {
        for daemon in 0..DAEMONS {
            if self.now < self.daemons[daemon].contact_at || !self.daemons[daemon].running {
                continue;
            }
            self.daemons[daemon].contact_at = self.now + contact_interval(DAEMONS);
            let (side, now) = (self.daemons[daemon].side, self.now);
            let owners = self.daemons[..OWNERS].iter_mut();
            for owner in owners.filter(|owner| owner.running && owner.side == side) {
                owner
                    .ledger
                    .note_contact(now, &format!("vm-{daemon}"), DAEMONS);
            }
        }
    }

    fn call(&mut self, daemon: usize) {
        self.sent += 1;
        let (now, limit) = (self.now, self.limit);
        let wanted = match self.daemons[daemon].holdings.take(now, "org") {
            Taken::Token => return self.ran.push(now),
            Taken::Exhausted(_) => return,
            Taken::Ask(wanted) => wanted,
        };
        let name = format!("vm-{daemon}");
        let grant = self.owner(daemon).map(|owner| {
            let ledger = &mut self.daemons[owner].ledger;
            ledger.request(now, &name, "org", limit, wanted, DAEMONS)
        });
        let sample = self.random.random();
        let holdings = &mut self.daemons[daemon].holdings;
        match grant {
            Some(Grant::Tokens(count)) => {
                holdings.deposit(now, now, "org", count - 1);
                self.ran.push(now);
            }
            Some(Grant::Exhausted(time)) => {
                holdings.note_exhausted(now, "org", time.min(Duration::from_millis(100)));
            }
            None if holdings.take_alone(now, "org", limit, DAEMONS, sample) => self.ran.push(now),
            None => {}
        }
    }

    /// Sends `rate` calls a second for `time`, spread at random over the first `at` daemons.
    fn send(&mut self, rate: f64, time: Duration, at: usize) {
        let end = self.now + time;
        while self.now < end {
            self.keep_contact();
            let mut due = rate * TICK.as_secs_f64();
            while due >= 1.0 || self.random.random::<f64>() < due {
                due -= 1.0;
                let daemon = self.random.random_range(0..at);
                if self.daemons[daemon].running {
                    self.call(daemon);
                }
            }
            self.now += TICK;
        }
    }

    /// Returns the most calls that ran in any window from `from` on.
    fn most_in_window(&self, from: Instant) -> f64 {
        // In order of time.
        let ran: Vec<Instant> = self.ran.iter().copied().filter(|at| *at >= from).collect();
        let (mut first, mut most) = (0, 0);
        for (last, at) in ran.iter().enumerate() {
            while ran[first] + WINDOW <= *at {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        f64::from(u32::try_from(most).unwrap())
    }
}

fn bound(limit: Limit) -> f64 {
    (limit.rate * WINDOW.as_secs_f64() + limit.burst) * (1.0 + OVERAGE) + SLACK
}

fn limit(rate: f64) -> Limit {
    Limit { rate, burst: rate }
}

/// Guards against calls that are refused although their organisation is below its limit, wherever they arrive.
#[test_case(20.0, DAEMONS; "small organisation at all daemons")]
#[test_case(300.0, DAEMONS; "large organisation at all daemons")]
#[test_case(300.0, 1; "large organisation at one daemon")]
#[test_case(100.0, 5; "few daemons")]
fn below_limit(rate: f64, at: usize) {
    let mut fleet = Fleet::new(limit(rate), 1);
    fleet.send(0.0, Duration::from_secs(2), at);
    fleet.send(rate / 1.6, Duration::from_secs(20), at);
    let refused = fleet.sent - fleet.ran.len();
    println!("{refused} of {} refused", fleet.sent);
    assert!(100 * refused <= fleet.sent, "{refused} of {}", fleet.sent);
}

/// Guards against an organisation that gets more than its limit by sending six times as much.
#[test_case(20.0, DAEMONS; "small organisation")]
#[test_case(300.0, DAEMONS; "large organisation")]
#[test_case(300.0, 4; "at four daemons")]
fn above_limit(rate: f64, at: usize) {
    let mut fleet = Fleet::new(limit(rate), 2);
    let start = fleet.now;
    fleet.send(0.6 * rate, Duration::from_secs(5), at);
    fleet.send(4.0 * rate, Duration::from_secs(8), at);
    fleet.send(0.6 * rate, Duration::from_secs(5), at);
    let most = fleet.most_in_window(start);
    println!("{most} of {} allowed", bound(limit(rate)));
    assert!(most <= bound(limit(rate)));
    // What the limit leaves is used.
    assert!(most >= 0.9 * rate * WINDOW.as_secs_f64());
}

/// Guards against a limit that is lowered and still used up as it was.
#[test]
fn lowered_limit() {
    let mut fleet = Fleet::new(limit(300.0), 3);
    fleet.send(1_200.0, Duration::from_secs(6), DAEMONS);
    fleet.limit = limit(60.0);
    let lowered = fleet.now;
    fleet.send(1_200.0, Duration::from_secs(12), DAEMONS);
    let most = fleet.most_in_window(lowered + WINDOW);
    assert!(most <= bound(limit(60.0)), "{most}");
}

/// A fault that begins at some time of a day on which the organisation sends four times its limit.
#[derive(Clone, Debug)]
enum Fault {
    /// A share of the daemons reaches no other.
    CutOff(f64),
    /// The fleet is split in two.
    Split(f64),
    /// Everybody reaches everybody again.
    Heal,
    /// An owner ends and its accounts are gone; it is back at once.
    Restart(usize),
    /// An owner stands still.
    Pause(usize),
    /// All daemons start anew.
    RestartAll,
}

impl Fleet {
    fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::CutOff(share) => self.regroup(*share, |index| u8::try_from(index + 1).unwrap()),
            Fault::Split(share) => self.regroup(*share, |_| 1),
            Fault::Heal => self.daemons.iter_mut().for_each(|daemon| {
                daemon.side = 0;
                daemon.running = true;
            }),
            Fault::Restart(owner) => self.restart(*owner),
            Fault::Pause(owner) => self.daemons[*owner].running = false,
            Fault::RestartAll => (0..DAEMONS).for_each(|daemon| self.restart(daemon)),
        }
    }

    fn regroup(&mut self, share: f64, side: impl Fn(usize) -> u8) {
        for index in 0..DAEMONS {
            let leaves = self.random.random::<f64>() < share;
            self.daemons[index].side = if leaves { side(index) } else { 0 };
        }
    }

    fn restart(&mut self, daemon: usize) {
        self.daemons[daemon].ledger = Ledger::default();
        self.daemons[daemon].holdings = Holdings::default();
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0.05..0.35).prop_map(Fault::CutOff),
        (0.05..0.5).prop_map(Fault::Split),
        Just(Fault::Heal),
        (0..OWNERS).prop_map(Fault::Restart),
        (0..OWNERS).prop_map(Fault::Pause),
        Just(Fault::RestartAll),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Guards against an organisation that gets more than its limit while daemons do not reach each other, end
    /// or stand still.
    #[test]
    fn any_faults(
        rate in prop_oneof![Just(20.0), Just(100.0), Just(400.0)],
        seed: u64,
        faults in prop::collection::vec((200_u64..4_000, fault()), 1..6),
    ) {
        let mut fleet = Fleet::new(limit(rate), seed);
        let start = fleet.now;
        fleet.send(4.0 * rate, Duration::from_secs(3), DAEMONS);
        for (pause, fault) in faults {
            fleet.apply(&fault);
            fleet.send(4.0 * rate, Duration::from_millis(pause), DAEMONS);
        }
        let most = fleet.most_in_window(start);
        prop_assert!(most <= bound(limit(rate)), "{most} of {}", bound(limit(rate)));
    }
}

/// Prints the cost of a decision at the owner, with 3,300 daemons in contact and 1,000 organisations.
#[test]
fn decision_cost() {
    const MEMBERS: usize = 3_300;
    const REQUESTS: u32 = 20_000;
    let now = Instant::now();
    let mut ledger = Ledger::default();
    for daemon in 0..MEMBERS {
        ledger.note_contact(now, &format!("vm-{daemon}"), MEMBERS);
    }
    let names: Vec<String> = (0..1_000).map(|number| format!("org-{number}")).collect();
    let started = std::time::Instant::now();
    for (name, _) in names.iter().cycle().zip(0..REQUESTS) {
        ledger.request(now, "vm-7", name, limit(100.0), 1, MEMBERS);
    }
    println!("{:?} a decision", started.elapsed() / REQUESTS);
    assert_eq!(ledger.accounts().count(), names.len());
}
