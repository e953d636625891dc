//! End-to-end tests of `baobabctl` with real daemons.

use serde_json::Value;
use standin::fleet::Launcher;
use standin::platform::Faults;
use standin::testbed::{TIMEOUT, Testbed};
use std::path::PathBuf;
use std::time::Duration;
use test_case::test_case;
use tokio::net::TcpListener;

const CHANGE: &str = r#"
id = "add-certs"
title = "Certificate lookups"
[[put]]
kind = "policy"
name = "records"
spec = { kinds = { lookup = 10 } }
[[put]]
kind = "pool"
name = "certs"
spec = { slots = 12, connections = 120 }
[[put]]
kind = "service"
name = "certs"
spec = { pool = "certs", policy = "records" }
[[put]]
kind = "route"
name = "lookup"
spec = { prefix = "/certs", service = "certs", request_kind = "lookup", idempotent = true }
"#;

/// A temporary directory of change files, deleted on drop.
struct ChangeDir(PathBuf);

impl ChangeDir {
    fn new() -> Self {
        let name = format!("baobabstage-{:032x}", rand::random::<u128>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).unwrap();
        ChangeDir(path)
    }

    fn write(&self, name: &str, text: impl AsRef<[u8]>) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_string_lossy().into_owned()
    }

    /// Writes a change that puts one pool, and returns its path.
    fn pool(&self, id: &str, slots: u32, based_on: Option<u64>) -> String {
        let based_on = based_on.map_or(String::new(), |on| format!("based_on = {on}\n"));
        let text = format!(
            "id = \"{id}\"\n[[put]]\nkind = \"pool\"\nname = \"certs\"\n{based_on}\
             spec = {{ slots = {slots}, connections = 120 }}\n"
        );
        self.write(&format!("{id}.toml"), text)
    }
}

impl Drop for ChangeDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The exit code and output of a command.
struct Outcome {
    code: i32,
    out: String,
    err: String,
}

impl Outcome {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|err| panic!("{err}: {}", self.out))
    }
}

async fn baobabctl(daemons: &str, arguments: &[&str]) -> Outcome {
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_baobabctl"))
        .args(["--daemons", daemons])
        .args(arguments)
        .output();
    let output = output.await.unwrap();
    Outcome {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

async fn testbed(count: usize) -> Testbed {
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    let mut testbed = Testbed::new(launcher, "certs").await.unwrap();
    for index in 0..count {
        let name = format!("certs-{index}");
        testbed.add(&name, "espoo", &[]).await.unwrap();
    }
    testbed.wait_ready(count).await.unwrap();
    testbed
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_end_to_end() {
    let (testbed, files) = (testbed(2).await, ChangeDir::new());
    let (daemons, file) = (testbed.operators(), files.write("add.toml", CHANGE));
    let outcome = baobabctl(&daemons, &["check", &file]).await;
    assert_eq!(outcome.code, 0, "{}", outcome.err);
    assert!(
        outcome.out.contains("create  policy   records"),
        "{}",
        outcome.out
    );
    let outcome = baobabctl(&daemons, &["apply", &file]).await;
    assert_eq!(outcome.code, 0, "{}", outcome.err);
    assert!(
        outcome.out.contains("accepted as version 1"),
        "{}",
        outcome.out
    );
    let outcome = baobabctl(&daemons, &["wait", "add-certs", "--output", "json"]).await;
    assert_eq!((outcome.code, &outcome.json()["in_force"]), (0, &2.into()));

    let outcome = baobabctl(&daemons, &["get", "route", "lookup", "--output", "json"]).await;
    assert_eq!(outcome.json()["spec"]["prefix"], "/certs");
    let outcome = baobabctl(&daemons, &["list"]).await;
    assert_eq!(outcome.out.lines().count(), 5, "{}", outcome.out);
    let outcome = baobabctl(&daemons, &["list", "pool"]).await;
    assert_eq!(outcome.out.lines().count(), 2, "{}", outcome.out);
    let outcome = baobabctl(&daemons, &["watch", "pool", "--lines", "1"]).await;
    assert!(
        outcome.out.contains("present at version 1"),
        "{}",
        outcome.out
    );
    let admin = testbed.vms[0].daemon.admin.to_string();
    let outcome = baobabctl("", &["state", &admin, "--output", "json"]).await;
    assert_eq!(outcome.json()["admin"]["name"], "certs-0");

    let outcome = baobabctl(&daemons, &["revert", "add-certs", "--wait"]).await;
    assert_eq!(outcome.code, 0, "{}", outcome.err);
    let outcome = baobabctl(&daemons, &["history", "--output", "json"]).await;
    assert_eq!(outcome.json()["changes"][0]["change"], "revert-add-certs");
    let outcome = baobabctl(&daemons, &["version", "--output", "json"]).await;
    assert_eq!(outcome.json()["resources"], 0);
    let outcome = baobabctl(&daemons, &["get", "route", "lookup"]).await;
    assert_eq!(outcome.code, 7, "{}", outcome.err);
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_conflict() {
    let (testbed, files) = (testbed(1).await, ChangeDir::new());
    let daemons = testbed.operators();
    let first = baobabctl(&daemons, &["apply", &files.pool("first", 1, None)]).await;
    assert_eq!(first.code, 0, "{}", first.err);
    // Both changes are based on revision 1, so that only one of them can be accepted.
    let (left, right) = (
        files.pool("left", 2, Some(1)),
        files.pool("right", 3, Some(1)),
    );
    let (arguments_left, arguments_right) = (["apply", &left], ["apply", &right]);
    let (left, right) = tokio::join!(
        baobabctl(&daemons, &arguments_left),
        baobabctl(&daemons, &arguments_right),
    );
    let (accepted_id, refused) = if left.code == 0 {
        ("left", right)
    } else {
        assert_eq!(right.code, 0, "{}", right.err);
        ("right", left)
    };
    assert_eq!(refused.code, 3, "{}", refused.err);
    let message = format!("changed by change {accepted_id}");
    assert!(refused.err.contains(&message), "{}", refused.err);
}

/// Starts a daemon that closes each connection after a request has arrived, as one that crashes
/// after it accepted a change. Returns its address.
async fn crashing_daemon() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut head = [0; 16];
            // Waits until the request begins to arrive, then drops the connection.
            let _ = stream.readable().await;
            let _ = stream.try_read(&mut head);
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_response_lost() {
    let (testbed, files) = (testbed(1).await, ChangeDir::new());
    let daemons = format!("{},{}", crashing_daemon().await, testbed.operators());
    let outcome = baobabctl(&daemons, &["apply", &files.pool("one", 1, None)]).await;
    assert_eq!(outcome.code, 0, "{}", outcome.err);
    let outcome = baobabctl(&daemons, &["get", "pool", "certs"]).await;
    assert_eq!(
        outcome.code, 0,
        "a read is retried at the next daemon: {}",
        outcome.err
    );
}

#[test_case(true; "other_daemon_refuses")]
#[test_case(false; "no_other_daemon")]
#[tokio::test(flavor = "multi_thread")]
async fn apply_outcome_unknown(has_other: bool) {
    let (testbed, files) = (testbed(1).await, ChangeDir::new());
    let crashing = crashing_daemon().await;
    let daemons = if has_other {
        format!("{crashing},{}", testbed.operators())
    } else {
        crashing
    };
    // Revision 9 does not exist, so that a daemon that responds rejects the change.
    let outcome = baobabctl(&daemons, &["apply", &files.pool("one", 1, Some(9))]).await;
    assert_eq!(outcome.code, 4, "{}", outcome.err);
    assert!(
        outcome.err.contains("unknown: ask by change id one"),
        "{}",
        outcome.err
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_platform_down() {
    let (testbed, files) = (testbed(1).await, ChangeDir::new());
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    testbed.platform.set_faults(down);
    let daemons = testbed.operators();
    let outcome = baobabctl(&daemons, &["apply", &files.pool("one", 1, None)]).await;
    assert!(
        [3, 4].contains(&outcome.code),
        "{}: {}",
        outcome.code,
        outcome.err
    );
    let outcome = baobabctl(&daemons, &["wait", "one", "--wait-ms", "300"]).await;
    assert_eq!(outcome.code, 6, "{}", outcome.err);
    testbed.platform.set_faults(Faults::default());
    let outcome = baobabctl(&daemons, &["apply", &files.pool("one", 1, None), "--wait"]).await;
    assert_eq!(
        outcome.code, 0,
        "the same change is submitted again: {}",
        outcome.err
    );
}

#[test_case("id = \"x\"\nput = [", "line 2"; "toml_syntax")]
#[test_case("id = \"x\"\n[[put]]\nkind = \"pool\"\nname = \"p\"\nspec = { slots = 1 }", "pool/p: pool specification: field connections"; "missing_field")]
#[test_case("id = \"x\"\n[[put]]\nkind = \"pool\"\nname = \"p\"\nspec = { slots = 0, connections = 1 }", "pool/p: field slots: 0 is not in"; "out_of_range")]
#[test_case("id = \"x\"\n[[put]]\nkind = \"service\"\nname = \"s\"\nspec = { pool = \"p\", policy = \"q\" }", "service/s: field pool: pool/p does not exist"; "dangling")]
#[test_case("id = \"x y\"\n[[delete]]\nkind = \"pool\"\nname = \"p\"", "field id"; "bad_id")]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_change_rejected(text: &str, location: &str) {
    let (testbed, files) = (testbed(1).await, ChangeDir::new());
    let (daemons, file) = (testbed.operators(), files.write("bad.toml", text));
    for command in ["check", "apply"] {
        let outcome = baobabctl(&daemons, &[command, &file]).await;
        assert_eq!(outcome.code, 2, "{command}: {}", outcome.err);
        assert!(outcome.err.contains(location), "{command}: {}", outcome.err);
    }
    let outcome = baobabctl(&daemons, &["history", "--output", "json"]).await;
    assert_eq!(outcome.json()["changes"], Value::Array(Vec::new()));
}

#[tokio::test(flavor = "multi_thread")]
async fn wait_lists_missing() {
    let (mut testbed, files) = (testbed(2).await, ChangeDir::new());
    let daemons = testbed.vms[0].daemon.operator.to_string();
    let stopped = &testbed.vms[1].daemon;
    stopped.signal("STOP").await.unwrap();
    let outcome = baobabctl(&daemons, &["apply", &files.pool("one", 1, None)]).await;
    assert_eq!(outcome.code, 0, "{}", outcome.err);
    let arguments = ["wait", "one", "--wait-ms", "1500", "--output", "json"];
    let outcome = baobabctl(&daemons, &arguments).await;
    assert_eq!(outcome.code, 5, "{}", outcome.err);
    assert_eq!(outcome.json()["missing"], serde_json::json!(["certs-1"]));
    stopped.signal("CONT").await.unwrap();
    let outcome = baobabctl(&daemons, &["wait", "one", "--wait-ms", "20000"]).await;
    assert_eq!(outcome.code, 0, "{}", outcome.err);
    testbed.vms[1].daemon.kill().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn watch_failover() {
    let (mut testbed, files) = (testbed(2).await, ChangeDir::new());
    let daemons = testbed.operators();
    let mut arguments = vec!["--daemons", daemons.as_str(), "--output", "json"];
    arguments.extend(["watch", "--lines", "2"]);
    let watch = tokio::process::Command::new(env!("CARGO_BIN_EXE_baobabctl"))
        .args(&arguments)
        .stdout(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let second = testbed.vms[1].daemon.operator.to_string();
    let watching = |state: &Value| state["operator"]["watchers"] == 1;
    let first = &mut testbed.vms[0].daemon;
    first
        .wait_state("watcher", TIMEOUT, watching)
        .await
        .unwrap();
    first.kill().await.unwrap();
    baobabctl(&second, &["apply", &files.pool("one", 1, None)]).await;
    let output = watch.wait_with_output();
    let limit = Duration::from_mins(1);
    let output = tokio::time::timeout(limit, output).await.unwrap().unwrap();
    let lines = String::from_utf8(output.stdout).unwrap();
    let lines = lines
        .lines()
        .map(|line| serde_json::from_str(line).unwrap());
    let versions: Vec<u64> = lines
        .map(|line: Value| line["version"].as_u64().unwrap())
        .collect();
    assert_eq!(versions, [0, 1]);
}
