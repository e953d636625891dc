//! The operators' command line end to end, with real daemons.

use serde_json::Value;
use standin::fleet::Launcher;
use standin::platform::Faults;
use standin::scene::{Scene, TIMEOUT};
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

/// A directory of change files that is deleted at the end.
struct Files(PathBuf);

impl Files {
    fn new() -> Self {
        let name = format!("baobabstage-{:032x}", rand::random::<u128>());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).unwrap();
        Files(path)
    }

    fn write(&self, name: &str, text: impl AsRef<[u8]>) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_string_lossy().into_owned()
    }

    /// Writes a change of one pool.
    fn pool(&self, id: &str, slots: u32, based_on: Option<u64>) -> String {
        let based_on = based_on.map_or(String::new(), |on| format!("based_on = {on}\n"));
        let text = format!(
            "id = \"{id}\"\n[[put]]\nkind = \"pool\"\nname = \"certs\"\n{based_on}\
             spec = {{ slots = {slots}, connections = 120 }}\n"
        );
        self.write(&format!("{id}.toml"), text)
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct Told {
    code: i32,
    out: String,
    err: String,
}

impl Told {
    fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap_or_else(|err| panic!("{err}: {}", self.out))
    }
}

async fn baobabctl(daemons: &str, arguments: &[&str]) -> Told {
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_baobabctl"))
        .args(["--daemons", daemons])
        .args(arguments)
        .output();
    let output = output.await.unwrap();
    Told {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

async fn scene(count: usize) -> Scene {
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    let mut scene = Scene::new(launcher, "certs").await.unwrap();
    for index in 0..count {
        let name = format!("certs-{index}");
        scene.add(&name, "espoo", &[]).await.unwrap();
    }
    scene.settle(count).await.unwrap();
    scene
}

#[tokio::test(flavor = "multi_thread")]
async fn script_runs_unattended() {
    let (scene, files) = (scene(2).await, Files::new());
    let (daemons, file) = (scene.operators(), files.write("add.toml", CHANGE));
    let told = baobabctl(&daemons, &["check", &file]).await;
    assert_eq!(told.code, 0, "{}", told.err);
    assert!(
        told.out.contains("create  policy   records"),
        "{}",
        told.out
    );
    let told = baobabctl(&daemons, &["apply", &file]).await;
    assert_eq!(told.code, 0, "{}", told.err);
    assert!(told.out.contains("accepted as version 1"), "{}", told.out);
    let told = baobabctl(&daemons, &["wait", "add-certs", "--output", "json"]).await;
    assert_eq!((told.code, &told.json()["in_force"]), (0, &2.into()));

    let told = baobabctl(&daemons, &["get", "route", "lookup", "--output", "json"]).await;
    assert_eq!(told.json()["spec"]["prefix"], "/certs");
    let told = baobabctl(&daemons, &["list"]).await;
    assert_eq!(told.out.lines().count(), 5, "{}", told.out);
    let told = baobabctl(&daemons, &["list", "pool"]).await;
    assert_eq!(told.out.lines().count(), 2, "{}", told.out);
    let told = baobabctl(&daemons, &["watch", "pool", "--lines", "1"]).await;
    assert!(told.out.contains("present at version 1"), "{}", told.out);
    let admin = scene.vms[0].daemon.admin.to_string();
    let told = baobabctl("", &["state", &admin, "--output", "json"]).await;
    assert_eq!(told.json()["admin"]["name"], "certs-0");

    let told = baobabctl(&daemons, &["revert", "add-certs", "--wait"]).await;
    assert_eq!(told.code, 0, "{}", told.err);
    let told = baobabctl(&daemons, &["history", "--output", "json"]).await;
    assert_eq!(told.json()["changes"][0]["change"], "revert-add-certs");
    let told = baobabctl(&daemons, &["version", "--output", "json"]).await;
    assert_eq!(told.json()["resources"], 0);
    let told = baobabctl(&daemons, &["get", "route", "lookup"]).await;
    assert_eq!(told.code, 7, "{}", told.err);
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_are_told() {
    let (scene, files) = (scene(1).await, Files::new());
    let daemons = scene.operators();
    let first = baobabctl(&daemons, &["apply", &files.pool("first", 1, None)]).await;
    assert_eq!(first.code, 0, "{}", first.err);
    let (left, right) = (
        files.pool("left", 2, Some(1)),
        files.pool("right", 3, Some(1)),
    );
    let (arguments_left, arguments_right) = (["apply", &left], ["apply", &right]);
    let (left, right) = tokio::join!(
        baobabctl(&daemons, &arguments_left),
        baobabctl(&daemons, &arguments_right),
    );
    let (winner, loser) = if left.code == 0 {
        ("left", right)
    } else {
        assert_eq!(right.code, 0, "{}", right.err);
        ("right", left)
    };
    assert_eq!(loser.code, 3, "{}", loser.err);
    let between = format!("changed by change {winner}");
    assert!(loser.err.contains(&between), "{}", loser.err);
}

/// A daemon that takes requests and never answers, as one that dies after it accepted a change.
async fn silent_daemon() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut head = [0; 16];
            // The request has begun to arrive; the connection ends without an answer.
            let _ = stream.readable().await;
            let _ = stream.try_read(&mut head);
        }
    });
    address
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_resolved() {
    let (scene, files) = (scene(1).await, Files::new());
    let daemons = format!("{},{}", silent_daemon().await, scene.operators());
    let told = baobabctl(&daemons, &["apply", &files.pool("one", 1, None)]).await;
    assert_eq!(told.code, 0, "{}", told.err);
    let told = baobabctl(&daemons, &["get", "pool", "certs"]).await;
    assert_eq!(told.code, 0, "reads go to the next daemon: {}", told.err);
}

#[test_case(true; "other_daemon_refuses")]
#[test_case(false; "no_other_daemon")]
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_stays_unknown(refused: bool) {
    let (scene, files) = (scene(1).await, Files::new());
    let silent = silent_daemon().await;
    let daemons = if refused {
        format!("{silent},{}", scene.operators())
    } else {
        silent
    };
    // Based on a revision that does not exist, so that the daemon refuses the change.
    let told = baobabctl(&daemons, &["apply", &files.pool("one", 1, Some(9))]).await;
    assert_eq!(told.code, 4, "{}", told.err);
    assert!(
        told.err.contains("unknown: ask by change id one"),
        "{}",
        told.err
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_down_is_told() {
    let (scene, files) = (scene(1).await, Files::new());
    let down = Faults {
        down: true,
        ..Faults::default()
    };
    scene.platform.set_faults(down);
    let daemons = scene.operators();
    let told = baobabctl(&daemons, &["apply", &files.pool("one", 1, None)]).await;
    assert!([3, 4].contains(&told.code), "{}: {}", told.code, told.err);
    let told = baobabctl(&daemons, &["wait", "one", "--wait-ms", "300"]).await;
    assert_eq!(told.code, 6, "{}", told.err);
    scene.platform.set_faults(Faults::default());
    let told = baobabctl(&daemons, &["apply", &files.pool("one", 1, None), "--wait"]).await;
    assert_eq!(told.code, 0, "the same change is sent again: {}", told.err);
}

#[test_case("id = \"x\"\nput = [", "line 2"; "toml_syntax")]
#[test_case("id = \"x\"\n[[put]]\nkind = \"pool\"\nname = \"p\"\nspec = { slots = 1 }", "pool/p: pool specification: field connections"; "missing_field")]
#[test_case("id = \"x\"\n[[put]]\nkind = \"pool\"\nname = \"p\"\nspec = { slots = 0, connections = 1 }", "pool/p: field slots: 0 is not in"; "out_of_range")]
#[test_case("id = \"x\"\n[[put]]\nkind = \"service\"\nname = \"s\"\nspec = { pool = \"p\", policy = \"q\" }", "service/s: field pool: pool/p does not exist"; "dangling")]
#[test_case("id = \"x y\"\n[[delete]]\nkind = \"pool\"\nname = \"p\"", "field id"; "bad_id")]
#[tokio::test(flavor = "multi_thread")]
async fn bad_change_alters_nothing(text: &str, place: &str) {
    let (scene, files) = (scene(1).await, Files::new());
    let (daemons, file) = (scene.operators(), files.write("bad.toml", text));
    for command in ["check", "apply"] {
        let told = baobabctl(&daemons, &[command, &file]).await;
        assert_eq!(told.code, 2, "{command}: {}", told.err);
        assert!(told.err.contains(place), "{command}: {}", told.err);
    }
    let told = baobabctl(&daemons, &["history", "--output", "json"]).await;
    assert_eq!(told.json()["changes"], Value::Array(Vec::new()));
}

#[tokio::test(flavor = "multi_thread")]
async fn wait_names_who_is_missing() {
    let (mut scene, files) = (scene(2).await, Files::new());
    let daemons = scene.vms[0].daemon.operator.to_string();
    let paused = &scene.vms[1].daemon;
    paused.signal("STOP").await.unwrap();
    let told = baobabctl(&daemons, &["apply", &files.pool("one", 1, None)]).await;
    assert_eq!(told.code, 0, "{}", told.err);
    let arguments = ["wait", "one", "--wait-ms", "1500", "--output", "json"];
    let told = baobabctl(&daemons, &arguments).await;
    assert_eq!(told.code, 5, "{}", told.err);
    assert_eq!(told.json()["missing"], serde_json::json!(["certs-1"]));
    paused.signal("CONT").await.unwrap();
    let told = baobabctl(&daemons, &["wait", "one", "--wait-ms", "20000"]).await;
    assert_eq!(told.code, 0, "{}", told.err);
    scene.vms[1].daemon.kill().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn watch_goes_on_at_next_daemon() {
    let (mut scene, files) = (scene(2).await, Files::new());
    let daemons = scene.operators();
    let mut arguments = vec!["--daemons", daemons.as_str(), "--output", "json"];
    arguments.extend(["watch", "--lines", "2"]);
    let watch = tokio::process::Command::new(env!("CARGO_BIN_EXE_baobabctl"))
        .args(&arguments)
        .stdout(std::process::Stdio::piped())
        .kill_on_drop(true)
        .spawn()
        .unwrap();
    let other = scene.vms[1].daemon.operator.to_string();
    let watching = |state: &Value| state["operator"]["watchers"] == 1;
    let first = &mut scene.vms[0].daemon;
    first
        .wait_state("watcher", TIMEOUT, watching)
        .await
        .unwrap();
    first.kill().await.unwrap();
    baobabctl(&other, &["apply", &files.pool("one", 1, None)]).await;
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
