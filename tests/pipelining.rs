//! Pipelined HTTP/1.1 requests of callers: responses in order, and nothing forwarded behind a response
//! that closes the connection.

#[path = "support/site.rs"]
mod site;

use site::{KEY_HEADER, TestSite, organisation, policy, route, service, wait_until};
use std::time::Duration;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

const LIMIT: Duration = Duration::from_secs(20);

/// The delay of a slow first response, in milliseconds.
const SLOW_MS: u64 = 400;

async fn start() -> TestSite {
    let mut site = TestSite::start().await;
    site.add("certs", &[]).await;
    let mut resources = vec![
        policy(64),
        route("/certs", "certs", false),
        organisation("kasi", &["k-1"]),
    ];
    resources.extend(service("certs", 20));
    site.configure(&resources).await;
    site
}

fn request(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: certs\r\n{headers}\r\n")
}

/// Sends requests at once and reads until the connection is closed.
async fn send(site: &TestSite, requests: &str) -> String {
    let mut stream = connect(site, requests).await;
    read_to_end(&mut stream).await
}

async fn connect(site: &TestSite, requests: &str) -> TcpStream {
    let mut stream = TcpStream::connect(site.vms[0].outbound()).await.unwrap();
    stream.write_all(requests.as_bytes()).await.unwrap();
    stream
}

async fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let read = timeout(LIMIT, stream.read_to_end(&mut text)).await;
    read.expect("the connection is closed").unwrap();
    String::from_utf8(text).unwrap()
}

/// Returns the last line of each response's body or the status line, in their order.
fn bodies(responses: &str) -> Vec<&str> {
    let parts = responses.split("HTTP/1.1 ").skip(1);
    parts
        .map(|part| match part.get(..3) {
            Some("200") => part.split("\r\n\r\n").nth(1).unwrap(),
            _ => &part[..3],
        })
        .collect()
}

fn paths(site: &TestSite) -> Vec<String> {
    let received = site.vms[0].backend.received().into_iter();
    received.map(|request| request.path).collect()
}

/// A slow first response delays those behind it and does not swap with them.
#[tokio::test(flavor = "multi_thread")]
async fn answered_in_order() {
    let site = start().await;
    let slow = format!("/certs/0?{SLOW_MS}");
    let mut requests = request(&slow, "");
    requests += &request("/certs/1", "");
    requests += &request("/none", "");
    requests += &request("/certs/2", "x-key: k-2\r\n");
    requests += &request("/certs/3?20", "x-key: k-1\r\n");
    requests += &request("/certs/4", "connection: close\r\n");
    let responses = send(&site, &requests).await;
    let expected = [&slow, "/certs/1", "404", "401", "/certs/3?20", "/certs/4"];
    assert_eq!(bodies(&responses), expected);
    assert_eq!(KEY_HEADER, "x-key");
}

/// A request behind one that asks for the connection to be closed is neither answered nor forwarded.
#[test_case("connection: close\r\n", "200"; "served")]
#[test_case("connection: close\r\nx-key: k-2\r\n", "401"; "refused")]
#[tokio::test(flavor = "multi_thread")]
async fn behind_closing_response(headers: &str, status: &str) {
    let site = start().await;
    let slow = format!("/certs/0?{SLOW_MS}");
    let requests = request(&slow, headers) + &request("/certs/1", "") + &request("/certs/2", "");
    let responses = send(&site, &requests).await;
    assert_eq!(responses.matches("HTTP/1.1 ").count(), 1, "{responses}");
    assert!(
        responses.starts_with(&format!("HTTP/1.1 {status}")),
        "{responses}"
    );
    assert!(
        responses.to_lowercase().contains("connection: close"),
        "{responses}"
    );
    sleep(Duration::from_millis(200)).await;
    assert!(
        !paths(&site).contains(&"/certs/1".to_owned()),
        "{:?}",
        paths(&site)
    );
}

/// The same with more requests behind it than the daemon reads at once: a response must not be lost to the
/// reset that closing a connection with unread bytes causes.
#[tokio::test(flavor = "multi_thread")]
async fn behind_closing_response_many() {
    let site = start().await;
    for _ in 0..10 {
        let slow = format!("/certs/0?{SLOW_MS}");
        let mut requests = request(&slow, "connection: close\r\n");
        requests += &request("/certs/1", "").repeat(20_000);
        let mut stream = TcpStream::connect(site.vms[0].outbound()).await.unwrap();
        let (mut reader, mut writer) = stream.split();
        // The daemon may close the connection before it has read everything.
        let write = async { drop(writer.write_all(requests.as_bytes()).await) };
        let mut text = Vec::new();
        let read = async { drop(reader.read_to_end(&mut text).await) };
        timeout(LIMIT, async { tokio::join!(write, read) })
            .await
            .expect("the connection is closed");
        let responses = String::from_utf8(text).unwrap();
        assert_eq!(bodies(&responses), [&slow], "the response is whole");
    }
    assert!(!paths(&site).contains(&"/certs/1".to_owned()));
}

/// The same with a long response that the caller reads slowly: closing a connection with unread bytes
/// discards what the caller has not received yet.
#[tokio::test(flavor = "multi_thread")]
async fn behind_long_closing_response() {
    const LEN: usize = 1_500_000;
    let site = start().await;
    let mut requests = request(&format!("/certs/0?0,{LEN}"), "connection: close\r\n");
    requests += &request("/certs/1", "").repeat(20_000);
    let stream = TcpStream::connect(site.vms[0].outbound()).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let write = tokio::spawn(async move { drop(writer.write_all(requests.as_bytes()).await) });
    let mut received = 0;
    let mut part = vec![0; 64 * 1024];
    loop {
        sleep(Duration::from_millis(20)).await;
        match timeout(LIMIT, reader.read(&mut part)).await.unwrap() {
            Ok(0) | Err(_) => break,
            Ok(len) => received += len,
        }
    }
    assert!(received > LEN, "{received} bytes of {LEN} received");
    write.await.unwrap();
    assert!(!paths(&site).contains(&"/certs/1".to_owned()));
}

/// A drain that begins while the first of several requests runs lets it end, states that the connection is
/// closed, and forwards none of those behind it.
#[tokio::test(flavor = "multi_thread")]
async fn behind_response_in_drain() {
    let site = start().await;
    let slow = format!("/certs/0?{}", 3 * SLOW_MS);
    let requests = request(&slow, "") + &request("/certs/1", "") + &request("/certs/2", "");
    let mut stream = connect(&site, &requests).await;
    wait_until(|| paths(&site) == [slow.clone()]).await;
    let daemon = std::sync::Arc::clone(&site.vms[0].daemon);
    let drain = tokio::spawn(async move { daemon.shut_down().await });
    let responses = read_to_end(&mut stream).await;
    assert_eq!(bodies(&responses), [&slow]);
    assert!(
        responses.to_lowercase().contains("connection: close"),
        "{responses}"
    );
    assert_eq!(paths(&site), [slow]);
    drain.await.unwrap();
}

/// In a drain, requests that arrive together on a connection opened before are answered in order up to the
/// first response, which closes the connection.
#[tokio::test(flavor = "multi_thread")]
async fn sent_during_drain() {
    let site = start().await;
    let mut stream = connect(&site, &request("/certs/0?1500", "")).await;
    wait_until(|| paths(&site).len() == 1).await;
    let daemon = std::sync::Arc::clone(&site.vms[0].daemon);
    let drain = tokio::spawn(async move { daemon.shut_down().await });
    sleep(Duration::from_millis(200)).await;
    let more = request("/certs/1", "") + &request("/certs/2", "");
    stream.write_all(more.as_bytes()).await.unwrap();
    let responses = read_to_end(&mut stream).await;
    assert_eq!(bodies(&responses), ["/certs/0?1500"]);
    assert!(
        responses.to_lowercase().contains("connection: close"),
        "{responses}"
    );
    assert_eq!(paths(&site), ["/certs/0?1500"]);
    drain.await.unwrap();
}
