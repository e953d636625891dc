//! The operator API of a real daemon: status codes, preconditions, watch streams and outcomes.

use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use serde_json::{Value, json};
use standin::caller;
use standin::fleet::Launcher;
use standin::platform::Faults;
use standin::testbed::{TIMEOUT, Testbed};
use test_case::test_case;

const POOL: &str = r#"{"slots": 12, "connections": 120}"#;

async fn testbed() -> Testbed {
    let launcher = Launcher::new(env!("CARGO_BIN_EXE_baobabd"));
    let mut testbed = Testbed::new(launcher, "certs").await.unwrap();
    testbed.add("certs-0", "espoo", &[]).await.unwrap();
    testbed.wait_ready(1).await.unwrap();
    testbed
}

async fn call(
    testbed: &Testbed,
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
    let response = caller::call(testbed.vms[0].daemon.operator, request);
    let response = response.await.unwrap();
    let body = serde_json::from_slice(response.body()).unwrap();
    (response, body)
}

/// Waits until the daemon that serves the requests has a version in force.
async fn wait_in_force(testbed: &Testbed, version: u64) {
    let reached = |state: &Value| state["config"]["version"].as_u64() >= Some(version);
    let daemon = &testbed.vms[0].daemon;
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
async fn request_refused(method: &str, path: &str, body: &str, status: u16) {
    let testbed = testbed().await;
    let (response, reply) = call(&testbed, method, path, &[], body.to_owned()).await;
    assert_eq!(response.status().as_u16(), status, "{reply}");
    assert!(reply["error"]["message"].is_string(), "{reply}");
    assert!(reply["error"]["category"].is_string(), "{reply}");
    assert_eq!(
        response.headers().contains_key(header::ALLOW),
        status == 405
    );
    let (_, version) = call(&testbed, "GET", "/v1/version", &[], "").await;
    assert_eq!(version["version"], 0, "a refused request changes nothing");
}

#[tokio::test]
async fn body_refused() {
    let testbed = testbed().await;
    let text = [("content-type", "text/plain")];
    let (response, _) = call(&testbed, "POST", "/v1/changes", &text, "{}").await;
    assert_eq!(response.status(), StatusCode::UNSUPPORTED_MEDIA_TYPE);
    let large = vec![b' '; 16 * 1024 * 1024 + 1];
    let (response, _) = call(&testbed, "POST", "/v1/changes", &[], large).await;
    assert_eq!(response.status(), StatusCode::PAYLOAD_TOO_LARGE);
}

#[tokio::test]
async fn put_preconditions() {
    let testbed = testbed().await;
    let path = "/v1/resources/pool/certs";
    let new = [("if-none-match", "*"), ("x-baobab-change", "new")];
    let (response, reply) = call(&testbed, "PUT", path, &new, POOL).await;
    assert_eq!(response.status(), 200, "{reply}");
    assert_eq!(reply["message"], "accepted as version 1");
    let (_, reply) = call(&testbed, "PUT", path, &new, POOL).await;
    assert_eq!(
        reply["repeated"], true,
        "the same change is accepted once: {reply}"
    );
    wait_in_force(&testbed, 1).await;
    let (response, resource) = call(&testbed, "GET", path, &[], "").await;
    assert_eq!(response.headers()[header::ETAG], "\"1\"");
    assert_eq!(resource["spec"]["slots"], 12);

    let again = [("if-none-match", "*")];
    let (response, reply) = call(&testbed, "PUT", path, &again, POOL).await;
    assert_eq!(
        response.status(),
        StatusCode::PRECONDITION_FAILED,
        "{reply}"
    );
    assert_eq!(reply["outcome"], "not-accepted");
    assert_eq!(reply["error"]["resource"], "pool/certs");
    let message = reply["error"]["message"].as_str().unwrap();
    assert!(message.contains("changed by change new"), "{message}");

    let stale = [("if-match", "\"7\"")];
    let (response, _) = call(&testbed, "DELETE", path, &stale, "").await;
    assert_eq!(response.status(), StatusCode::PRECONDITION_FAILED);
    let first = [("if-match", "\"1\"")];
    let other = r#"{"slots": 13, "connections": 120}"#;
    let (response, reply) = call(&testbed, "PUT", path, &first, other).await;
    assert_eq!(response.status(), 200, "{reply}");
    let (response, reply) = call(&testbed, "DELETE", path, &first, "").await;
    assert_eq!(
        response.status(),
        StatusCode::PRECONDITION_FAILED,
        "{reply}"
    );
    let (response, reply) = call(&testbed, "DELETE", path, &[("if-match", "\"2\"")], "").await;
    assert_eq!(response.status(), 200, "{reply}");
    assert_eq!(reply["version"], 3);
}

#[test_case("W/\"1\""; "weak")]
#[test_case("*"; "any")]
#[test_case("\"0\""; "zero")]
#[test_case("1"; "unquoted")]
#[tokio::test]
async fn if_match_refused(tag: &str) {
    let testbed = testbed().await;
    let path = "/v1/resources/pool/certs";
    let (response, reply) = call(&testbed, "PUT", path, &[("if-match", tag)], POOL).await;
    assert_eq!(response.status(), StatusCode::BAD_REQUEST, "{reply}");
}

#[tokio::test]
async fn check_without_effect() {
    let testbed = testbed().await;
    let change = json!({ "id": "one", "put": [
        { "kind": "pool", "name": "certs", "spec": { "slots": 1, "connections": 1 } } ] });
    let path = "/v1/changes?check=true";
    let (response, reply) = call(&testbed, "POST", path, &[], change.to_string()).await;
    assert_eq!(response.status(), 200, "{reply}");
    assert_eq!(reply["effects"][0]["action"], "create");
    let (_, history) = call(&testbed, "GET", "/v1/changes", &[], "").await;
    assert_eq!(history["changes"], json!([]));
}

#[tokio::test]
async fn changes_toml_history() {
    let testbed = testbed().await;
    let toml = [("content-type", "application/toml")];
    for index in 1..=3 {
        let change = format!(
            "id = \"c{index}\"\n[[put]]\nkind = \"pool\"\nname = \"p{index}\"\n\
             spec = {{ slots = 1, connections = 1 }}\n"
        );
        let (response, reply) = call(&testbed, "POST", "/v1/changes", &toml, change).await;
        assert_eq!(response.status(), 200, "{reply}");
    }
    let (_, history) = call(&testbed, "GET", "/v1/changes?limit=2", &[], "").await;
    let entries = history["changes"].as_array().unwrap();
    let ids: Vec<&Value> = entries.iter().map(|entry| &entry["change"]).collect();
    assert_eq!(ids, ["c3", "c2"]);
    let (_, reply) = call(&testbed, "POST", "/v1/changes/c3/revert?id=back", &[], "").await;
    assert_eq!(
        (&reply["change"], &reply["version"]),
        (&json!("back"), &json!(4))
    );
}

#[tokio::test]
async fn change_id_reused() {
    let testbed = testbed().await;
    let path = "/v1/resources/pool/certs?change=one";
    let (_, reply) = call(&testbed, "PUT", path, &[], POOL).await;
    assert_eq!(reply["outcome"], "accepted");
    let other = r#"{"slots": 13, "connections": 120}"#;
    let (response, reply) = call(&testbed, "PUT", path, &[], other).await;
    assert_eq!(response.status(), StatusCode::CONFLICT, "{reply}");
}

#[tokio::test]
async fn platform_down() {
    let testbed = testbed().await;
    testbed.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let (response, reply) = call(&testbed, "PUT", "/v1/resources/pool/certs", &[], POOL).await;
    let outcome = reply["outcome"].as_str().unwrap();
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE => {
            assert_eq!(outcome, "not-accepted");
            assert!(response.headers().contains_key(header::RETRY_AFTER));
        }
        StatusCode::GATEWAY_TIMEOUT => assert_eq!(outcome, "unknown"),
        other => panic!("{other}: {reply}"),
    }
    let (response, _) = call(&testbed, "GET", "/v1/resources", &[], "").await;
    assert_eq!(
        response.status(),
        200,
        "the version in force is still served"
    );
}

async fn next_line(response: &mut Response<hyper::body::Incoming>) -> Option<Value> {
    loop {
        let frame = response.body_mut().frame();
        let frame = tokio::time::timeout(TIMEOUT, frame).await.unwrap()?;
        let line = frame.unwrap().into_data().unwrap();
        let line: Value = serde_json::from_slice(&line).unwrap();
        if line["type"] != "alive" {
            return Some(line);
        }
    }
}

async fn watch(testbed: &Testbed, path: &str) -> Response<hyper::body::Incoming> {
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(64 * 1024).unwrap();
    let stream = socket.connect(testbed.vms[0].daemon.operator);
    let io = hyper_util::rt::TokioIo::new(stream.await.unwrap());
    let (mut sender, connection) = hyper::client::conn::http1::handshake(io).await.unwrap();
    tokio::spawn(connection);
    let request = Request::get(path).body(Full::<Bytes>::default()).unwrap();
    sender.send_request(request).await.unwrap()
}

#[tokio::test]
async fn watch_differences() {
    let mut testbed = testbed().await;
    let mut all = watch(&testbed, "/v1/watch").await;
    let mut one = watch(&testbed, "/v1/watch?kind=pool&name=b").await;
    assert_eq!(next_line(&mut all).await.unwrap()["type"], "present");
    assert_eq!(next_line(&mut one).await.unwrap()["type"], "present");

    for name in ["a", "b"] {
        let path = format!("/v1/resources/pool/{name}");
        let (_, reply) = call(&testbed, "PUT", &path, &[], POOL).await;
        wait_in_force(&testbed, reply["version"].as_u64().unwrap()).await;
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
    call(&testbed, "DELETE", path, &[], "").await;
    let line = next_line(&mut one).await.unwrap();
    assert_eq!(line["removals"], json!([{ "kind": "pool", "name": "b" }]));

    let daemon = &mut testbed.vms[0].daemon;
    daemon.signal("TERM").await.unwrap();
    let end = next_line(&mut one).await.unwrap();
    assert_eq!(end["type"], "end");
    assert!(next_line(&mut one).await.is_none());
    assert_eq!(daemon.wait().await.unwrap(), Some(0));
}

/// Every outcome agrees with the log, which is read once the platform responds reliably again.
#[tokio::test]
async fn outcomes_match_log() {
    let testbed = testbed().await;
    testbed.platform.set_faults(Faults {
        lose_every: 3,
        ..Faults::default()
    });
    let mut outcomes = Vec::new();
    for index in 0..12 {
        let path = format!("/v1/resources/pool/certs?change=c{index}");
        let spec = format!(r#"{{"slots": {}, "connections": 120}}"#, index + 1);
        let (_, response) = call(&testbed, "PUT", &path, &[], spec).await;
        outcomes.push((format!("c{index}"), response["outcome"].clone()));
    }
    testbed.platform.set_faults(Faults::default());
    let (_, history) = call(&testbed, "GET", "/v1/changes", &[], "").await;
    let entries = history["changes"].as_array().unwrap();
    for (id, outcome) in outcomes {
        let count = entries.iter().filter(|entry| entry["change"] == id).count();
        match outcome.as_str().unwrap() {
            "accepted" => assert_eq!(count, 1, "{id}"),
            "not-accepted" => assert_eq!(count, 0, "{id}"),
            other => assert_eq!(other, "unknown"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_rebase() {
    let mut testbed = testbed().await;
    testbed.add("certs-1", "vantaa", &[]).await.unwrap();
    testbed.wait_ready(2).await.unwrap();
    let testbed = std::sync::Arc::new(testbed);
    let mut tasks = Vec::new();
    for index in 0..8 {
        let testbed = std::sync::Arc::clone(&testbed);
        tasks.push(tokio::spawn(async move {
            let change = json!({ "id": format!("c{index}"), "put": [{
                "kind": "pool", "name": format!("p{index}"), "based_on": 0,
                "spec": { "slots": 1, "connections": 1 } }] });
            testbed
                .post(index % 2, "/v1/changes", &change.to_string())
                .await
        }));
    }
    let mut versions = Vec::new();
    for task in tasks {
        let reply = task.await.unwrap().unwrap();
        versions.push(reply["version"].as_u64().unwrap());
    }
    versions.sort_unstable();
    assert_eq!(versions, [1, 2, 3, 4, 5, 6, 7, 8]);
}

/// A watch client that does not read for a while skips versions, and receives the newest at last.
#[tokio::test(flavor = "multi_thread")]
async fn watch_slow_client() {
    const VERSIONS: u64 = 28;
    let testbed = testbed().await;
    let mut slow = watch(&testbed, "/v1/watch?kind=policy").await;
    assert_eq!(next_line(&mut slow).await.unwrap()["type"], "present");
    for weight in 1..=VERSIONS {
        let kinds: serde_json::Map<String, Value> = (0..4_000)
            .map(|index| (format!("{index:063}"), weight.into()))
            .collect();
        let body = json!({ "kinds": kinds }).to_string();
        let (_, reply) = call(&testbed, "PUT", "/v1/resources/policy/p", &[], body).await;
        assert_eq!(reply["version"], weight, "{reply}");
        wait_in_force(&testbed, weight).await;
    }
    let mut versions = vec![0];
    let mut buffer = Vec::new();
    while versions.last() != Some(&VERSIONS) {
        let frame = tokio::time::timeout(TIMEOUT, slow.body_mut().frame()).await;
        let frame = frame.unwrap().unwrap().unwrap();
        buffer.extend_from_slice(&frame.into_data().unwrap());
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let line: Value = serde_json::from_slice(&line).unwrap();
            if line["type"] == "changed" {
                versions.push(line["version"].as_u64().unwrap());
            }
        }
    }
    assert!(versions.is_sorted());
    let received = u64::try_from(versions.len()).unwrap();
    assert!(
        received < VERSIONS,
        "buffered for a slow client: {versions:?}"
    );
}
