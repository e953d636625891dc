//! Demonstrates the main features, with in-process fakes of the platform and the backend servers:
//! changes are applied, used by calls and reverted, while one VM is lost and replaced.

use anyhow::{Context as _, bail, ensure};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde_json::{Value, json};
use standin::backend::RunLog;
use standin::caller;
use standin::fleet::{self, Launcher};
use standin::testbed::{TIMEOUT, Testbed, WAIT_MS};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::{Duration, Instant};

const DOMAINS: [&str; 2] = ["espoo", "vantaa"];
const VMS: usize = 6;

/// Number of calls in a batch, spread over the VMs.
const CALLS: usize = 120;

/// Number of batches per request kind while a VM is lost.
const ROUNDS: usize = 5;

/// Time from the start of the first batch to the kill.
const KILL_DELAY: Duration = Duration::from_millis(100);

/// Time that a call takes at a backend server.
const WORK: Duration = Duration::from_millis(10);

/// Maximum number of attempts while the outcome is `not-run`.
const MAX_ATTEMPTS: usize = 20;

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The request kinds of the demo.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// An idempotent read.
    Lookup,
    /// A write that runs at most once.
    Issue,
}

/// The outcomes of a number of calls.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    answered: usize,
    /// Refusals with the outcome `not-run`; the call was retried after each.
    refused: usize,
    unknown: usize,
}

impl Tally {
    fn add(&mut self, more: Tally) {
        self.answered += more.answered;
        self.refused += more.refused;
        self.unknown += more.unknown;
    }
}

/// The table printed at the end: a step, its result and its duration on each line.
#[derive(Default)]
struct Report {
    lines: Vec<(String, String, Duration)>,
}

impl Report {
    fn add(&mut self, step: &str, result: impl Into<String>, since: Instant) {
        let line = (step.to_owned(), result.into(), since.elapsed());
        println!("done: {step}: {}", line.1);
        self.lines.push(line);
    }

    fn print(&self) {
        println!();
        println!("{:<28} {:<58} {:>9}", "STEP", "RESULT", "TIME");
        for (step, result, time) in &self.lines {
            println!("{step:<28} {result:<58} {:>6} ms", time.as_millis());
        }
    }
}

fn main() -> ExitCode {
    // The demo starts its own binary as the daemons; such a process runs only the daemon.
    if let Some(exit) = fleet::run_as_daemon() {
        return exit;
    }
    let mut report = Report::default();
    let result = run(&mut report);
    report.print();
    match result {
        Ok(()) => {
            println!("\nall steps completed as expected");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("\ndemo: {err:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(report: &mut Report) -> anyhow::Result<()> {
    let mut testbed = start(report).await?;
    apply_first(&testbed, report).await?;
    for kind in [Kind::Lookup, Kind::Issue] {
        let since = Instant::now();
        let tally = make_calls(&testbed, "calm", kind).await?;
        ensure!(
            tally.answered == CALLS,
            "calls with all VMs up: {kind:?}: {tally:?}"
        );
        report.add(&format!("{kind:?} calls"), summary(tally), since);
    }
    lose_vm(&mut testbed, report).await?;
    replace_vm(&mut testbed, report).await?;
    change_and_revert(&testbed, report).await
}

async fn start(report: &mut Report) -> anyhow::Result<Testbed> {
    let since = Instant::now();
    let mut testbed = Testbed::new(Launcher::current_exe()?, "certs").await?;
    testbed.behaviour.work = WORK;
    for index in 0..VMS {
        let domain = DOMAINS[index % DOMAINS.len()];
        testbed.add(&format!("certs-{index}"), domain, &[]).await?;
    }
    testbed.wait_ready(VMS).await?;
    let summary = format!("{VMS} daemons in {} failure domains", DOMAINS.len());
    report.add("start", summary, since);
    Ok(testbed)
}

async fn apply_first(testbed: &Testbed, report: &mut Report) -> anyhow::Result<()> {
    let route = |prefix: &str, kind: &str, idempotent: bool| {
        json!({ "prefix": prefix, "service": "certs", "request_kind": kind,
                "idempotent": idempotent })
    };
    let change = json!({ "id": "demo-1", "title": "Certificates", "put": [
        { "kind": "policy", "name": "records",
          "spec": { "kinds": { "lookup": 10, "issue": 100 } } },
        { "kind": "pool", "name": "certs", "spec": { "slots": 12, "connections": 120 } },
        { "kind": "service", "name": "certs", "spec": { "pool": "certs", "policy": "records" } },
        { "kind": "route", "name": "lookup", "spec": route("/certs", "lookup", true) },
        { "kind": "route", "name": "issue", "spec": route("/issue", "issue", false) },
    ] });
    let since = Instant::now();
    let status = testbed.apply(0, &change.to_string()).await?;
    report.add("apply demo-1", in_force(&status, VMS)?, since);
    Ok(())
}

/// Kills a daemon and its backend server while calls are made, as the loss of their VM would.
async fn lose_vm(testbed: &mut Testbed, report: &mut Report) -> anyhow::Result<()> {
    let since = Instant::now();
    let mut vm = testbed.vms.remove(0);
    let calls = async {
        let (mut lookups, mut issue_calls) = (Tally::default(), Tally::default());
        for round in 0..ROUNDS {
            lookups.add(make_calls(testbed, &format!("loss-{round}"), Kind::Lookup).await?);
            issue_calls.add(make_calls(testbed, &format!("loss-{round}"), Kind::Issue).await?);
        }
        anyhow::Ok((lookups, issue_calls))
    };
    let kill = async {
        tokio::time::sleep(KILL_DELAY).await;
        vm.backend.stop();
        vm.daemon.kill().await
    };
    let (calls, killed) = tokio::join!(calls, kill);
    killed?;
    let (lookups, issue_calls) = calls?;
    // Calls of kind `Issue` that ran on the lost VM may end with the outcome `unknown`.
    ensure!(
        lookups.answered == ROUNDS * CALLS,
        "lookups during the loss: {lookups:?}"
    );
    report.add("one VM lost: Lookup calls", summary(lookups), since);
    report.add("one VM lost: Issue calls", summary(issue_calls), since);
    Ok(())
}

/// Starts a new VM and makes calls until one is routed to it.
async fn replace_vm(testbed: &mut Testbed, report: &mut Report) -> anyhow::Result<()> {
    let since = Instant::now();
    let name = format!("certs-{VMS}");
    testbed.add(&name, DOMAINS[0], &[]).await?;
    testbed.wait_ready(VMS).await?;
    let deadline = since + TIMEOUT;
    let mut round = 0;
    while testbed.run_log.started_after(&name, since.into()) == 0 {
        ensure!(Instant::now() < deadline, "{name} receives no calls");
        round += 1;
        make_calls(testbed, &format!("new-{round}"), Kind::Lookup).await?;
    }
    let new = testbed.vms.last().context("no VM")?;
    let version = new.daemon.state().await?["config"]["version"].clone();
    ensure!(version == 1, "the new daemon applies version {version}");
    report.add(
        "VM replaced",
        format!("{name} receives calls at version 1"),
        since,
    );
    Ok(())
}

async fn change_and_revert(testbed: &Testbed, report: &mut Report) -> anyhow::Result<()> {
    let change = json!({ "id": "demo-2", "title": "Archive", "put": [
        { "kind": "route", "name": "archive", "spec": {
            "prefix": "/archive", "service": "certs", "request_kind": "lookup",
            "idempotent": true } },
    ] });
    let since = Instant::now();
    let status = testbed.apply(1, &change.to_string()).await?;
    report.add("apply demo-2", in_force(&status, VMS)?, since);
    check_responses(testbed, "/archive/1", StatusCode::OK, None).await?;

    let since = Instant::now();
    testbed.post(2, "/v1/changes/demo-2/revert", "").await?;
    let operator = testbed.vms[3].daemon.operator;
    let path = format!("/v1/changes/revert-demo-2?wait_ms={WAIT_MS}");
    let response = caller::get(operator, &path).await?;
    let status = serde_json::from_slice(response.body())?;
    report.add("revert demo-2", in_force(&status, VMS)?, since);
    let since = Instant::now();
    check_responses(
        testbed,
        "/archive/1",
        StatusCode::NOT_FOUND,
        Some("not-run"),
    )
    .await?;
    report.add(
        "after the revert",
        "every daemon refuses /archive as not run",
        since,
    );
    Ok(())
}

/// Checks that every daemon responds to a path with this status and outcome; `None` accepts any
/// outcome.
async fn check_responses(
    testbed: &Testbed,
    path: &str,
    status: StatusCode,
    outcome: Option<&str>,
) -> anyhow::Result<()> {
    for vm in &testbed.vms {
        let response = caller::get(vm.daemon.outbound, path).await?;
        let found = response.headers().get("x-baobab-outcome");
        let found = found.and_then(|found| found.to_str().ok());
        ensure!(
            response.status() == status && (outcome.is_none() || found == outcome),
            "{path} at {}: {} {found:?}",
            vm.name,
            response.status()
        );
    }
    Ok(())
}

/// Checks that a change is in force on `count` daemons, and describes its status.
fn in_force(status: &Value, count: usize) -> anyhow::Result<String> {
    ensure!(
        status["in_force"] == count && status["daemons"] == count,
        "not in force on {count} daemons: {status}"
    );
    let version = &status["version"];
    Ok(format!("version {version} in force on {count} of {count}"))
}

fn summary(tally: Tally) -> String {
    let Tally {
        answered,
        refused,
        unknown,
    } = tally;
    format!("{answered} answered, {refused} refused and repeated, {unknown} unknown")
}

/// Makes concurrent calls at every daemon, and checks each response against the log of runs.
///
/// The request ids begin with `label`, which differs between batches.
async fn make_calls(testbed: &Testbed, label: &str, kind: Kind) -> anyhow::Result<Tally> {
    let mut tasks = Vec::new();
    for index in 0..CALLS {
        let address = testbed.vms[index % testbed.vms.len()].daemon.outbound;
        let name = format!("{label}-{kind:?}-{index}");
        let call = call_until_run(address, kind, name, testbed.run_log.clone());
        tasks.push(tokio::spawn(call));
    }
    let mut sum = Tally::default();
    for task in tasks {
        sum.add(task.await??);
    }
    Ok(sum)
}

/// Makes a call and retries it while the outcome is `not-run`.
async fn call_until_run(
    address: SocketAddr,
    kind: Kind,
    name: String,
    run_log: RunLog,
) -> anyhow::Result<Tally> {
    let mut tally = Tally::default();
    for attempt in 0..MAX_ATTEMPTS {
        let id = format!("{name}-{attempt}");
        let (method, path) = match kind {
            Kind::Lookup => (Method::GET, "/certs/7"),
            Kind::Issue => (Method::POST, "/issue"),
        };
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", address.to_string())
            .header("x-request-id", &id)
            .body(Full::from("0123456789"))?;
        let response = caller::call(address, request).await?;
        let outcome = response.headers().get("x-baobab-outcome");
        let runs = run_log.runs(&id);
        match outcome.and_then(|outcome| outcome.to_str().ok()) {
            None => {
                let text = String::from_utf8_lossy(response.body());
                ensure!(text.contains(&id), "{id}: response of another call: {text}");
                ensure!(kind == Kind::Lookup || runs == 1, "{id}: {runs} runs");
                tally.answered += 1;
                return Ok(tally);
            }
            Some("not-run") => {
                ensure!(runs == 0, "{id}: reported as not run, but it ran");
                tally.refused += 1;
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Some("unknown") => {
                ensure!(kind == Kind::Lookup || runs <= 1, "{id}: {runs} runs");
                tally.unknown += 1;
                return Ok(tally);
            }
            Some(other) => bail!("{id}: outcome {other:?}"),
        }
    }
    bail!("{name}: refused {MAX_ATTEMPTS} times")
}
