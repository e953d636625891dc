//! Soak test: runs daemons under random faults and checks the guarantees of [`checks::Guarantee`].

pub mod checks;
pub mod fleet;
pub mod injection;
pub mod monitor;
pub mod operators;
pub mod traffic;

use crate::backend::Behaviour;
use crate::fleet::Launcher;
use anyhow::{bail, ensure};
use checks::CheckCounts;
use fleet::FaultyFleet;
use injection::InjectedFault;
use monitor::Monitor;
use operators::{Operators, declaration};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use traffic::Traffic;

/// Options of a run, set by the command line.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Duration of the faults in minutes.
    pub minutes: u32,
    /// Number of daemons, each with a backend server.
    pub daemons: u32,
    /// Seed of the faults, calls and changes.
    pub seed: u64,
}

/// Time limit for an accepted version to be in force everywhere once the faults have ended.
pub const IN_FORCE_TIME: Duration = Duration::from_secs(15);

/// Time limit for all daemons to be ready after the start.
const START_TIME: Duration = Duration::from_mins(1);
const CALLERS: u64 = 12;
/// Mean pause between two calls of a caller.
const CALLER_PAUSE: Duration = Duration::from_millis(30);
const OPERATORS: u64 = 3;
/// Mean pause between two changes of an operator.
const OPERATOR_PAUSE: Duration = Duration::from_millis(600);

/// Service, slots, connections, region and failure domains of a group of VMs.
type Site = (&'static str, u32, u32, &'static str, [&'static str; 3]);

const FINLAND: [&str; 3] = ["espoo", "vantaa", "lahti"];
const BENGAL: [&str; 3] = ["howrah", "salt-lake", "barasat"];

const SITES: [Site; 4] = [
    ("certs", 12, 120, "fi-south", FINLAND),
    ("benchlab", 12, 120, "fi-south", FINLAND),
    ("stallhall", 9, 130, "bengal", BENGAL),
    ("lathegallery", 9, 130, "bengal", BENGAL),
];

/// Runs the soak test and prints the number of checks and violations of each guarantee.
///
/// # Errors
///
/// Fails when a daemon cannot be started or a guarantee is violated.
pub fn main(options: &Options) -> anyhow::Result<()> {
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(run(options))
}

async fn run(options: &Options) -> anyhow::Result<()> {
    let mut soak = Soak::start(Launcher::current_exe()?, options.daemons as usize).await?;
    let mut rng = StdRng::seed_from_u64(options.seed);
    let tasks = soak.start_load(options.seed);
    let started = Instant::now();
    let length = Duration::from_mins(u64::from(options.minutes));
    let mut last: Option<InjectedFault> = None;
    let mut rounds = 0;
    while started.elapsed() < length {
        let mut faults = Vec::new();
        for _ in 0..rng.random_range(1..=2) {
            // One time in four, the previous fault is injected again.
            let repeat = rng.random_range(0..4) == 0;
            let next = last.take().filter(|_| repeat);
            let next =
                next.unwrap_or_else(|| InjectedFault::random(&mut rng, soak.fleet.vms.len()));
            last = Some(next.clone());
            faults.push(next);
        }
        println!("{:4} s {faults:?}", started.elapsed().as_secs());
        let time = Duration::from_millis(rng.random_range(4_000..9_000));
        soak.run_round(&faults, time).await?;
        rounds += 1;
    }
    for task in tasks {
        task.abort();
    }
    soak.check_all();
    let Options {
        minutes,
        daemons,
        seed,
    } = options;
    let calls = soak.traffic.calls().len();
    let changes = soak.operators.accepted().len();
    println!(
        "\nminutes {minutes}, daemons {daemons}, seed {seed}: {rounds} rounds of faults, {calls} calls, {changes} changes accepted\n"
    );
    print!("{}", soak.checks);
    let violations = soak.checks.violations();
    ensure!(violations.is_empty(), "{} checks failed", violations.len());
    Ok(())
}

/// A running soak test: daemons under faults, with callers, operators and checks.
pub struct Soak {
    /// Daemons, backend servers and the platform.
    pub fleet: FaultyFleet,
    /// Callers and the calls that they have completed.
    pub traffic: Traffic,
    /// Operators and the changes accepted from them.
    pub operators: Operators,
    /// Monitor of the configuration in force.
    pub monitor: Monitor,
    /// Results of the checks.
    pub checks: CheckCounts,
}

impl Soak {
    /// Starts daemons of all services in both regions and declares the services.
    ///
    /// # Errors
    ///
    /// Fails when a daemon cannot be started, or the declaration is not in force in time.
    pub async fn start(launcher: Launcher, daemons: usize) -> anyhow::Result<Self> {
        let mut fleet = FaultyFleet::start(launcher).await?;
        for index in 0..daemons {
            let (service, slots, connections, region, domains) = SITES[index % SITES.len()];
            let behaviour = Behaviour {
                work: Duration::from_millis(3),
                spread: Duration::from_millis(10),
                seed: index as u64,
                slots,
                queue: 64,
                connections,
                connect_cost: Duration::from_millis(1),
                ..Behaviour::default()
            };
            let domain = domains[index / SITES.len() % domains.len()];
            let name = format!("{service}-{index}");
            fleet
                .add(&name, service, (region, domain), behaviour)
                .await?;
        }
        let services: Vec<String> = SITES.iter().map(|site| site.0.into()).collect();
        let checks = CheckCounts::default();
        let soak = Soak {
            traffic: Traffic::new(services.clone(), checks.clone()),
            operators: Operators::new(services),
            monitor: Monitor::new(fleet.platform.clone(), checks.clone()),
            fleet,
            checks,
        };
        soak.declare().await?;
        soak.publish_running();
        Ok(soak)
    }

    async fn declare(&self) -> anyhow::Result<()> {
        let sites = SITES.map(|(name, slots, connections, ..)| (name, slots, connections));
        let change = declaration(&sites);
        let deadline = Instant::now() + START_TIME;
        for (_, daemon) in self.fleet.running() {
            let response = fleet::submit(daemon.operator, &change).await?;
            ensure!(response["outcome"] == "accepted", "declaration: {response}");
            let count = self.fleet.vms.len();
            let ready = |state: &Value| {
                state["config"]["version"] == 1 && state["members"]["count"] == count
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if daemon.wait_state("start", remaining, ready).await.is_err() {
                self.print_states().await;
                bail!(
                    "not every daemon has all members and the configuration within {START_TIME:?}"
                );
            }
        }
        Ok(())
    }

    /// Prints the distribution role, members and relays of each daemon.
    async fn print_states(&self) {
        for (index, daemon) in self.fleet.running() {
            let name = &self.fleet.vms[index].name;
            let state = daemon.state().await.unwrap_or_default();
            let (tree, count) = (&state["config"]["tree"], &state["members"]["count"]);
            let (role, parent) = (&tree["role"], &tree["parent"]);
            println!(
                "{name}: {role}, {count} members, relays {}, parent {parent}",
                tree["relays"]
            );
        }
    }

    /// Starts callers, operators and the monitor; the caller aborts the returned tasks.
    #[must_use]
    pub fn start_load(&self, seed: u64) -> Vec<tokio::task::JoinHandle<()>> {
        let callers = (0..CALLERS).map(|number| {
            let seed = seed * 1_000 + number;
            self.traffic.caller(seed, CALLER_PAUSE)
        });
        let mut tasks: Vec<_> = callers.collect();
        for number in 0..OPERATORS {
            let seed = seed * 1_000 + number;
            tasks.push(self.operators.operator(seed, OPERATOR_PAUSE));
        }
        tasks.push(self.monitor.start());
        tasks
    }

    /// Injects faults for a time, ends them and waits until the newest version is in force.
    ///
    /// # Errors
    ///
    /// Fails when a daemon cannot be killed or restarted, or does not terminate in time.
    pub async fn run_round(
        &mut self,
        faults: &[InjectedFault],
        time: Duration,
    ) -> anyhow::Result<()> {
        for fault in faults {
            fault.begin(&mut self.fleet).await?;
        }
        let since = Instant::now();
        self.publish_running();
        sleep(time).await;
        for fault in faults {
            let only_fault = faults.len() == 1;
            fault.check(&self.fleet, &self.traffic, &self.checks, since, only_fault);
        }
        self.fleet.clear_faults();
        // A paused process cannot terminate, so pauses end first.
        let (paused, others): (Vec<_>, Vec<_>) = faults
            .iter()
            .partition(|fault| matches!(fault, InjectedFault::Pause(_)));
        for fault in paused.into_iter().chain(others) {
            fault.end(&mut self.fleet).await?;
        }
        self.publish_running();
        self.monitor.wait_in_force(&self.fleet, IN_FORCE_TIME).await;
        // The log keeps a bounded number of changes; one round has fewer.
        self.monitor
            .check_accepted(&self.operators.newly_accepted());
        Ok(())
    }

    /// Publishes the addresses of the running daemons to callers, operators and the monitor.
    fn publish_running(&self) {
        let running: Vec<_> = self.fleet.running().collect();
        let outbound = running.iter().map(|(_, daemon)| daemon.outbound);
        self.traffic.entries.send_replace(outbound.collect());
        let operator = running.iter().map(|(_, daemon)| daemon.operator);
        self.operators.entries.send_replace(operator.collect());
        let named = running
            .iter()
            .map(|(index, daemon)| (self.fleet.vms[*index].name.clone(), daemon.operator));
        self.monitor.daemons.send_replace(named.collect());
    }

    /// Runs the checks that need all calls and changes; call it after the load has ended.
    pub fn check_all(&self) {
        self.traffic.check(&self.fleet.run_log);
        self.monitor
            .check_accepted(&self.operators.newly_accepted());
    }
}
