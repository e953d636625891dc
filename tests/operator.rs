//! The operator API of a real daemon: codes, conditions, watching and outcomes.

use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use serde_json::{Value, json};
use standin::caller;
use standin::fleet::Launcher;
use standin::platform::Faults;
use standin::scene::{Scene, TIMEOUT};
use test_case::test_case;

const POOL: &str = r#"{"slots": 12, "connections": 120}"#;

async fn scene() -> Scene {
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    let mut scene = Scene::new(launcher, "certs").await.unwrap();
    scene.add("certs-0", "espoo", &[]).await.unwrap();
    scene.settle(1).await.unwrap();
    scene
}

async fn call(
    scene: &Scene,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> (Response<Bytes>, Value) {
    let mut request = Request::builder().method(method).uri(path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).unwrap();
    let answer = caller::call(scene.vms[0].daemon.operator, request);
    let answer = answer.await.unwrap();
    let body = serde_json::from_slice(answer.body()).unwrap();
    (answer, body)
}

/// Waits until the daemon asked has a version in force.
async fn in_force(scene: &Scene, version: u64) {
    let reached = |state: &Value| state["config"]["version"].as_u64() >= Some(version);
    let daemon = &scene.vms[0].daemon;
    daemon
        .wait_state("version", TIMEOUT, reached)
        .await
        .unwrap();
}

#[test_case("GET", "/v1/nothing", "", 404; "unknown_path")]
#[test_case("GET", "/v1/resources/colour", "", 404; "unknown_kind")]
#[test_case("GET", "/v1/resources/pool/none", "", 404; "unknown_resource")]
#[test_case("GET", "/v1/resources/pool/%2e%2fx", "", 422; "encoded_slash_in_name")]
#[test_case("GET", "/v1/resources/pool/%zz", "", 400; "bad_percent_encoding")]
#[test_case("GET", "/v1/resources/pool/%ff", "", 400; "bad_utf8")]
#[test_case("GET", "/v1/changes/none", "", 404; "unknown_change")]
#[test_case("GET", "/v1/changes?limit=many", "", 400; "bad_limit")]
#[test_case("GET", "/v1/changes?colour=red", "", 400; "unknown_parameter")]
#[test_case("GET", "/v1/changes?limit=1&limit=2", "", 400; "repeated_parameter")]
#[test_case("PATCH", "/v1/changes", "", 405; "unknown_method")]
#[test_case("DELETE", "/v1/version", "", 405; "delete_version")]
#[test_case("POST", "/v1/changes", "{", 422; "broken_json")]
#[test_case("POST", "/v1/changes", "\u{1}", 422; "control_character")]
#[test_case("PUT", "/v1/resources/pool/x", "{\"slots\": 1}", 422; "missing_field")]
#[test_case("PUT", "/v1/resources/service/x", "{\"pool\": \"p\", \"policy\": \"q\"}", 422; "dangling")]
#[test_case("POST", "/v1/changes/none/revert", "", 404; "revert_of_unknown")]
#[tokio::test]
async fn refuses(method: &str, path: &str, body: &str, status: u16) {
    let scene = scene().await;
    let (answer, told) = call(&scene, method, path, &[], body.to_owned()).await;
    assert_eq!(answer.status().as_u16(), status, "{told}");
    assert!(told["error"]["message"].is_string(), "{told}");
    assert!(told["error"]["category"].is_string(), "{told}");
    assert_eq!(answer.headers().contains_key(header::ALLOW), status == 405);
    let (_, version) = call(&scene, "GET", "/v1/version", &[], "").await;
    assert_eq!(version["version"], 0, "a refused request changes nothing");
}

#[tokio::test]
async fn refuses_body_by_type_and_size() {
    let scene = scene().await;
    let text = [("content-type", "text/plain")];
    let (answer, _) = call(&scene, "POST", "/v1/changes", &text, "{}").await;
    assert_eq!(answer.status(), StatusCode::UNSUPPORTED_MEDIA_TYPE);
    let large = vec![b' '; 16 * 1024 * 1024 + 1];
    let (answer, _) = call(&scene, "POST", "/v1/changes", &[], large).await;
    assert_eq!(answer.status(), StatusCode::PAYLOAD_TOO_LARGE);
}

#[tokio::test]
async fn put_follows_conditions() {
    let scene = scene().await;
    let path = "/v1/resources/pool/certs";
    let new = [("if-none-match", "*"), ("x-baobab-change", "new")];
    let (answer, told) = call(&scene, "PUT", path, &new, POOL).await;
    assert_eq!(answer.status(), 200, "{told}");
    assert_eq!(told["message"], "accepted as version 1");
    let (_, told) = call(&scene, "PUT", path, &new, POOL).await;
    assert_eq!(
        told["repeated"], true,
        "the same change is accepted once: {told}"
    );
    in_force(&scene, 1).await;
    let (answer, shown) = call(&scene, "GET", path, &[], "").await;
    assert_eq!(answer.headers()[header::ETAG], "\"1\"");
    assert_eq!(shown["spec"]["slots"], 12);

    let again = [("if-none-match", "*")];
    let (answer, told) = call(&scene, "PUT", path, &again, POOL).await;
    assert_eq!(answer.status(), StatusCode::PRECONDITION_FAILED, "{told}");
    assert_eq!(told["outcome"], "not-accepted");
    assert_eq!(told["error"]["resource"], "pool/certs");
    let message = told["error"]["message"].as_str().unwrap();
    assert!(message.contains("changed by change new"), "{message}");

    let stale = [("if-match", "\"7\"")];
    let (answer, _) = call(&scene, "DELETE", path, &stale, "").await;
    assert_eq!(answer.status(), StatusCode::PRECONDITION_FAILED);
    let seen = [("if-match", "\"1\"")];
    let other = r#"{"slots": 13, "connections": 120}"#;
    let (answer, told) = call(&scene, "PUT", path, &seen, other).await;
    assert_eq!(answer.status(), 200, "{told}");
    let (answer, told) = call(&scene, "DELETE", path, &seen, "").await;
    assert_eq!(answer.status(), StatusCode::PRECONDITION_FAILED, "{told}");
    let (answer, told) = call(&scene, "DELETE", path, &[("if-match", "\"2\"")], "").await;
    assert_eq!(answer.status(), 200, "{told}");
    assert_eq!(told["version"], 3);
}

#[test_case("W/\"1\""; "weak")]
#[test_case("*"; "any")]
#[test_case("\"0\""; "zero")]
#[test_case("1"; "unquoted")]
#[tokio::test]
async fn if_match_refused(tag: &str) {
    let scene = scene().await;
    let path = "/v1/resources/pool/certs";
    let (answer, told) = call(&scene, "PUT", path, &[("if-match", tag)], POOL).await;
    assert_eq!(answer.status(), StatusCode::BAD_REQUEST, "{told}");
}

#[tokio::test]
async fn check_changes_nothing() {
    let scene = scene().await;
    let change = json!({ "id": "one", "put": [
        { "kind": "pool", "name": "certs", "spec": { "slots": 1, "connections": 1 } } ] });
    let path = "/v1/changes?check=true";
    let (answer, told) = call(&scene, "POST", path, &[], change.to_string()).await;
    assert_eq!(answer.status(), 200, "{told}");
    assert_eq!(told["effects"][0]["action"], "create");
    let (_, history) = call(&scene, "GET", "/v1/changes", &[], "").await;
    assert_eq!(history["changes"], json!([]));
}

#[tokio::test]
async fn changes_toml_and_history() {
    let scene = scene().await;
    let toml = [("content-type", "application/toml")];
    for index in 1..=3 {
        let change = format!(
            "id = \"c{index}\"\n[[put]]\nkind = \"pool\"\nname = \"p{index}\"\n\
             spec = {{ slots = 1, connections = 1 }}\n"
        );
        let (answer, told) = call(&scene, "POST", "/v1/changes", &toml, change).await;
        assert_eq!(answer.status(), 200, "{told}");
    }
    let (_, history) = call(&scene, "GET", "/v1/changes?limit=2", &[], "").await;
    let entries = history["changes"].as_array().unwrap();
    let ids: Vec<&Value> = entries.iter().map(|entry| &entry["change"]).collect();
    assert_eq!(ids, ["c3", "c2"]);
    let (_, told) = call(&scene, "POST", "/v1/changes/c3/revert?id=back", &[], "").await;
    assert_eq!(
        (&told["change"], &told["version"]),
        (&json!("back"), &json!(4))
    );
}

#[tokio::test]
async fn change_id_of_other_change() {
    let scene = scene().await;
    let path = "/v1/resources/pool/certs?change=one";
    let (_, told) = call(&scene, "PUT", path, &[], POOL).await;
    assert_eq!(told["outcome"], "accepted");
    let other = r#"{"slots": 13, "connections": 120}"#;
    let (answer, told) = call(&scene, "PUT", path, &[], other).await;
    assert_eq!(answer.status(), StatusCode::CONFLICT, "{told}");
}

#[tokio::test]
async fn platform_down_is_told() {
    let scene = scene().await;
    scene.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let (answer, told) = call(&scene, "PUT", "/v1/resources/pool/certs", &[], POOL).await;
    let outcome = told["outcome"].as_str().unwrap();
    match answer.status() {
        StatusCode::SERVICE_UNAVAILABLE => {
            assert_eq!(outcome, "not-accepted");
            assert!(answer.headers().contains_key(header::RETRY_AFTER));
        }
        StatusCode::GATEWAY_TIMEOUT => assert_eq!(outcome, "unknown"),
        other => panic!("{other}: {told}"),
    }
    let (answer, _) = call(&scene, "GET", "/v1/resources", &[], "").await;
    assert_eq!(answer.status(), 200, "what is in force can still be read");
}

async fn next_line(answer: &mut Response<hyper::body::Incoming>) -> Option<Value> {
    loop {
        let frame = answer.body_mut().frame();
        let frame = tokio::time::timeout(TIMEOUT, frame).await.unwrap()?;
        let line = frame.unwrap().into_data().unwrap();
        let line: Value = serde_json::from_slice(&line).unwrap();
        if line["type"] != "alive" {
            return Some(line);
        }
    }
}

async fn watch(scene: &Scene, path: &str) -> Response<hyper::body::Incoming> {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(64 * 1024).unwrap();
    let stream = socket.connect(scene.vms[0].daemon.operator);
    let io = hyper_util::rt::TokioIo::new(stream.await.unwrap());
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.unwrap();
    tokio::spawn(connection);
    let request = Request::get(path).body(Full::<Bytes>::default()).unwrap();
    sender.send_request(request).await.unwrap()
}

#[tokio::test]
async fn watch_shows_differences_then_ends() {
    let mut scene = scene().await;
    let mut all = watch(&scene, "/v1/watch").await;
    let mut one = watch(&scene, "/v1/watch?kind=pool&name=b").await;
    assert_eq!(next_line(&mut all).await.unwrap()["type"], "present");
    assert_eq!(next_line(&mut one).await.unwrap()["type"], "present");

    for name in ["a", "b"] {
        let path = format!("/v1/resources/pool/{name}");
        let (_, told) = call(&scene, "PUT", &path, &[], POOL).await;
        in_force(&scene, told["version"].as_u64().unwrap()).await;
    }
    let (mut names, mut newest) = (Vec::new(), 0);
    while names.len() < 2 {
        let line = next_line(&mut all).await.unwrap();
        assert!(line["version"].as_u64().unwrap() > newest);
        newest = line["version"].as_u64().unwrap();
        for resource in line["upserts"].as_array().unwrap() {
            names.push(resource["name"].as_str().unwrap().to_owned());
        }
    }
    assert_eq!(names, ["a", "b"]);
    let line = next_line(&mut one).await.unwrap();
    assert_eq!(line["upserts"][0]["name"], "b");

    let path = "/v1/resources/pool/b";
    call(&scene, "DELETE", path, &[], "").await;
    let line = next_line(&mut one).await.unwrap();
    assert_eq!(line["removals"], json!([{ "kind": "pool", "name": "b" }]));

    let daemon = &mut scene.vms[0].daemon;
    daemon.signal("TERM").await.unwrap();
    let end = next_line(&mut one).await.unwrap();
    assert_eq!(end["type"], "end");
    assert!(next_line(&mut one).await.is_none());
    assert_eq!(daemon.ended().await.unwrap(), Some(0));
}

/// Every answer is held against the log once the platform answers again.
#[tokio::test]
async fn outcomes_agree_with_log() {
    let scene = scene().await;
    scene.platform.set_faults(Faults {
        lose_every: 3,
        ..Faults::default()
    });
    let mut told = Vec::new();
    for index in 0..12 {
        let path = format!("/v1/resources/pool/certs?change=c{index}");
        let spec = format!(r#"{{"slots": {}, "connections": 120}}"#, index + 1);
        let (_, answer) = call(&scene, "PUT", &path, &[], spec).await;
        told.push((format!("c{index}"), answer["outcome"].clone()));
    }
    scene.platform.set_faults(Faults::default());
    let (_, history) = call(&scene, "GET", "/v1/changes", &[], "").await;
    let entries = history["changes"].as_array().unwrap();
    for (id, outcome) in told {
        let count = entries.iter().filter(|entry| entry["change"] == id).count();
        match outcome.as_str().unwrap() {
            "accepted" => assert_eq!(count, 1, "{id}"),
            "not-accepted" => assert_eq!(count, 0, "{id}"),
            other => assert_eq!(other, "unknown"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn disjoint_changes_rebase() {
    let mut scene = scene().await;
    scene.add("certs-1", "vantaa", &[]).await.unwrap();
    scene.settle(2).await.unwrap();
    let scene = std::sync::Arc::new(scene);
    let mut tasks = Vec::new();
    for index in 0..8 {
        let scene = std::sync::Arc::clone(&scene);
        tasks.push(tokio::spawn(async move {
            let change = json!({ "id": format!("c{index}"), "put": [{
                "kind": "pool", "name": format!("p{index}"), "based_on": 0,
                "spec": { "slots": 1, "connections": 1 } }] });
            scene
                .post(index % 2, "/v1/changes", &change.to_string())
                .await
        }));
    }
    let mut versions = Vec::new();
    for task in tasks {
        let told = task.await.unwrap().unwrap();
        versions.push(told["version"].as_u64().unwrap());
    }
    versions.sort_unstable();
    assert_eq!(versions, [1, 2, 3, 4, 5, 6, 7, 8]);
}

/// A watcher that does not read skips versions; what it reads at last is the newest state.
#[tokio::test(flavor = "multi_thread")]
async fn slow_watcher_gets_newest() {
    const VERSIONS: u64 = 10;
    let scene = scene().await;
    let mut slow = watch(&scene, "/v1/watch?kind=policy").await;
    assert_eq!(next_line(&mut slow).await.unwrap()["type"], "present");
    for weight in 1..=VERSIONS {
        let kinds: serde_json::Map<String, Value> = (0..4_000)
            .map(|index| (format!("{index:063}"), weight.into()))
            .collect();
        let body = json!({ "kinds": kinds }).to_string();
        let (_, told) = call(&scene, "PUT", "/v1/resources/policy/p", &[], body).await;
        assert_eq!(told["version"], weight, "{told}");
        in_force(&scene, weight).await;
    }
    let mut versions = vec![0];
    let mut rest = Vec::new();
    while versions.last() != Some(&VERSIONS) {
        let frame = tokio::time::timeout(TIMEOUT, slow.body_mut().frame()).await;
        let frame = frame.unwrap().unwrap().unwrap();
        rest.extend_from_slice(&frame.into_data().unwrap());
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = rest.drain(..=end).collect();
            let line: Value = serde_json::from_slice(&line).unwrap();
            if line["type"] == "changed" {
                versions.push(line["version"].as_u64().unwrap());
            }
        }
    }
    assert!(versions.is_sorted());
    let shown = u64::try_from(versions.len()).unwrap();
    assert!(
        shown < VERSIONS,
        "every version was kept for a slow watcher"
    );
}
