//! A daemon with an externally managed configuration and a reporting backend server, run inside the
//! test's process.

use baobabstage::backend::{Report, ReportedState, Stage};
use baobabstage::daemon::{Daemon, Phase};
use baobabstage::exchange::ExchangeState;
use baobabstage::header_names::HeaderNames;
use baobabstage::kernel;
use baobabstage::platform::{Client, ClientSettings, JsonDialect, Platform as _, Swap};
use baobabstage::resource::{Kind, ResourceKey, Spec};
use baobabstage::settings::{Flags, Settings};
use baobabstage::site::{ExternalConfig, Leave, Readiness, ReportRequest, Reports, Site, Source};
use baobabstage::snapshot::{Resource, Snapshot};
use baobabstage::{Category, Error, Result};
use http::{HeaderName, Method, Request, StatusCode};
use http_body_util::Full;
use hyper::body::Bytes;
use standin::backend::{Backend, Behaviour, RunLog};
use standin::caller;
use standin::platform::{Limits, Platform};
use standin::testbed::{LOOPBACK, TIMEOUT};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;

const KEY: &str = "external/config";

/// The first version that has the route of `/added`.
const ADDED: u64 = 100;

/// Decodes a version with one route, or two from [`ADDED`] on, from its number.
fn decode(value: &[u8], _: &Snapshot) -> Result<Snapshot> {
    let text = String::from_utf8_lossy(value);
    let version: u64 = text
        .parse()
        .map_err(|err| Error::new(Category::Input, err))?;
    let specs = [
        (Kind::Policy, "p", r#"{"kinds":{"issue":1}}"#),
        (
            Kind::Pool,
            "certs",
            r#"{"slots":4,"connections":20,"health":"/health"}"#,
        ),
        (Kind::Service, "certs", r#"{"pool":"certs","policy":"p"}"#),
        (
            Kind::Route,
            "issue",
            r#"{"prefix":"/certs","service":"certs","request_kind":"issue","idempotent":false}"#,
        ),
    ];
    let added = (
        Kind::Route,
        "added",
        r#"{"prefix":"/added","service":"certs","request_kind":"issue","idempotent":true}"#,
    );
    let added = (version >= ADDED).then_some(added);
    let mut resources = BTreeMap::new();
    for (kind, name, body) in specs.into_iter().chain(added) {
        let spec = Spec::from_json(kind, body.as_bytes())?;
        resources.insert(ResourceKey::new(kind, name), Resource::new(version, spec));
    }
    Ok(Snapshot::external(version, "given", resources))
}

/// Decodes a report from its path: `/ready/N` or `/draining/N` with the sequence N, or `/leave`.
fn read_report(_: &Method, path: &str, body: &[u8]) -> Option<Result<ReportRequest>> {
    let address = String::from_utf8_lossy(body).parse().ok()?;
    let report = |state, sequence: &str| {
        ReportRequest::Report(Report {
            instance: "i-1".into(),
            born_ms: 1,
            sequence: sequence.parse().unwrap(),
            state,
            service: "certs".into(),
            domain: "espoo".into(),
            address,
            slots: 4,
            version: String::new(),
            slow_start: Duration::ZERO,
        })
    };
    let mut parts = path.trim_start_matches('/').split('/');
    Some(Ok(match (parts.next()?, parts.next()) {
        ("ready", Some(sequence)) => report(ReportedState::Ready, sequence),
        ("draining", Some(sequence)) => report(ReportedState::Draining, sequence),
        _ => ReportRequest::Leave(Leave {
            instance: "i-1".into(),
            born_ms: Some(1),
        }),
    }))
}

struct Fixture {
    daemon: Arc<Daemon>,
    client: Client,
    backend: Backend,
    run_log: RunLog,
}

impl Fixture {
    async fn start() -> Self {
        let behaviour = Behaviour::default();
        Fixture::start_with(None, HeaderNames::default(), behaviour).await
    }

    async fn start_with(
        address: Option<SocketAddr>,
        names: HeaderNames,
        behaviour: Behaviour,
    ) -> Self {
        let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
        let run_log = RunLog::default();
        let backend = Backend::start("certs-0", LOOPBACK, behaviour, run_log.clone());
        let backend = backend.await.unwrap();
        let settings = settings(&platform, address.unwrap_or(backend.address()));
        let client = ClientSettings {
            address: platform.address(),
            timeout: Duration::from_secs(1),
        };
        let client = Client::new(&client, Arc::new(JsonDialect)).unwrap();
        let site = Site {
            names,
            source: Source::External(ExternalConfig {
                key: KEY.into(),
                decode: Arc::new(decode),
            }),
            reports: Some(Reports {
                listen: LOOPBACK,
                decode: read_report,
            }),
            readiness: Some(Readiness {
                listen: LOOPBACK,
                path: "/ready".into(),
            }),
            ..Site::new(Arc::new(client.clone()))
        };
        let daemon = Daemon::with_site(settings, site).unwrap();
        tokio::spawn(kernel::run(Arc::clone(&daemon)));
        Fixture {
            daemon,
            client,
            backend,
            run_log,
        }
    }

    async fn report(&self, path: &str) -> StatusCode {
        let address = self.daemon.sockets.reports.as_ref().unwrap().address();
        let body = Full::from(self.backend.address().to_string());
        let request = Request::post(path).header("host", "daemon").body(body);
        let response = caller::call(address, request.unwrap()).await.unwrap();
        response.status()
    }

    async fn ready(&self) -> StatusCode {
        let address = self.daemon.sockets.ready.as_ref().unwrap().address();
        caller::get(address, "/ready").await.unwrap().status()
    }

    async fn issue(&self, id: &str) -> (StatusCode, u32) {
        self.issue_within(id, Duration::from_secs(30)).await
    }

    async fn issue_within(&self, id: &str, deadline: Duration) -> (StatusCode, u32) {
        let request = Request::post("/certs/7").header("host", "certs");
        let request = request
            .header("x-request-id", id)
            .header("x-baobab-deadline-ms", deadline.as_millis().to_string())
            .body(Full::from("serial"));
        let started = Instant::now();
        let response = caller::call(self.daemon.addresses().outbound, request.unwrap()).await;
        let response = response.unwrap_or_else(|err| {
            panic!(
                "{id} after {:?} of {deadline:?}: {err:#}",
                started.elapsed()
            )
        });
        (response.status(), self.run_log.runs(id))
    }

    /// Writes a version to the platform and waits until it is in force.
    async fn configure(&self, version: &'static str) {
        let entry = self.client.get(KEY).await.unwrap();
        let revision = entry.map_or(0, |entry| entry.revision);
        let swap = self.client.swap(KEY, revision, Some(version.into()), 0);
        assert!(matches!(swap.await.unwrap(), Swap::Done(_)));
        let version: u64 = version.parse().unwrap();
        self.wait_until(|| self.daemon.config.stamp().version == version)
            .await;
    }

    async fn wait_until(&self, condition: impl Fn() -> bool) {
        let reached = async {
            while !condition() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, reached).await.unwrap();
    }

    /// Puts a version in force and reports the backend server as ready, until it is an upstream.
    async fn make_ready(&self) {
        self.configure("3").await;
        self.report("/ready/1").await;
        self.report("/ready/2").await;
        let known = || self.daemon.fleet.load().upstreams("certs").len() == 1;
        self.wait_until(known).await;
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.daemon.drain.advance(Phase::Stopped);
    }
}

fn settings(platform: &Platform, backend: SocketAddr) -> Settings {
    let pairs = [
        ("BAOBAB_NAME", "certs-0".to_owned()),
        ("BAOBAB_DOMAIN", "espoo".to_owned()),
        ("BAOBAB_REGION", "fi-south".to_owned()),
        ("BAOBAB_PLATFORM", platform.address().to_string()),
        ("BAOBAB_DISTRIBUTION", "direct".to_owned()),
        ("BAOBAB_SERVICE", "certs".to_owned()),
        ("BAOBAB_BACKEND", backend.to_string()),
    ];
    let pairs = pairs.map(|(name, value)| (name.to_owned(), value));
    Settings::new(&Flags::default(), &BTreeMap::from(pairs)).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn call_before_configuration() {
    let fixture = Fixture::start().await;
    assert_eq!(fixture.ready().await, StatusCode::SERVICE_UNAVAILABLE);
    let outcome = fixture.issue("one").await;
    assert_eq!(outcome, (StatusCode::SERVICE_UNAVAILABLE, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn call_after_report() {
    let fixture = Fixture::start().await;
    fixture.make_ready().await;
    assert_eq!(fixture.ready().await, StatusCode::OK);
    assert_eq!(fixture.issue("one").await, (StatusCode::OK, 1));
}

/// Starts a backend server that responds to every request with success, as a healthy instance does.
async fn healthy(instance: &'static str) -> SocketAddr {
    let listener = TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 1024]).await;
            let head = format!("HTTP/1.1 200 OK\r\nx-instance: {instance}\r\n");
            let response = format!("{head}content-length: 0\r\nconnection: close\r\n\r\n");
            let _ = stream.write_all(response.as_bytes()).await;
        }
    });
    address
}

/// When a daemon restarts beside a running backend server, the first report may arrive before the
/// configuration; a health check confirms it as soon as the configuration is in force.
#[tokio::test(flavor = "multi_thread")]
async fn report_before_configuration() {
    let names = HeaderNames {
        instance: Some(HeaderName::from_static("x-instance")),
        ..HeaderNames::default()
    };
    let address = healthy("i-1").await;
    let fixture = Fixture::start_with(Some(address), names, Behaviour::default()).await;
    let reports = fixture.daemon.sockets.reports.as_ref().unwrap().address();
    let body = Full::from(address.to_string());
    let request = Request::post("/ready/1")
        .header("host", "daemon")
        .body(body);
    let report = tokio::spawn(caller::call(reports, request.unwrap()));
    tokio::time::sleep(Duration::from_millis(50)).await;
    fixture.configure("3").await;
    assert_eq!(report.await.unwrap().unwrap().status(), StatusCode::OK);
    assert_eq!(fixture.daemon.backend.load().stage, Stage::Ready);
}

/// Once a drain is acknowledged, calls are refused at once, whatever state other daemons have.
#[tokio::test(flavor = "multi_thread")]
async fn call_after_drain() {
    let fixture = Fixture::start().await;
    fixture.make_ready().await;
    assert_eq!(fixture.report("/draining/3").await, StatusCode::OK);
    let outcome = fixture.issue("one").await;
    assert_eq!(outcome, (StatusCode::SERVICE_UNAVAILABLE, 0));
    assert_eq!(fixture.report("/ready/2").await, StatusCode::OK);
    assert_eq!(fixture.daemon.backend.load().stage, Stage::Leaving);
}

#[tokio::test(flavor = "multi_thread")]
async fn call_after_leave() {
    let fixture = Fixture::start().await;
    fixture.make_ready().await;
    fixture.report("/leave").await;
    fixture.report("/ready/9").await;
    let outcome = fixture.issue("one").await;
    assert_eq!(outcome, (StatusCode::SERVICE_UNAVAILABLE, 0));
}

/// A backend server that leaves without a report states it in its responses only.
#[tokio::test(flavor = "multi_thread")]
async fn call_after_leaving_response() {
    let names = HeaderNames {
        leaving: Some(HeaderName::from_static("x-leaving")),
        ..HeaderNames::default()
    };
    let leaving = Behaviour {
        leaving: true,
        ..Behaviour::default()
    };
    let fixture = Fixture::start_with(None, names, leaving).await;
    fixture.make_ready().await;
    assert_eq!(fixture.issue("one").await, (StatusCode::OK, 1));
    fixture.report("/ready/9").await;
    let outcome = fixture.issue("two").await;
    assert_eq!(outcome, (StatusCode::SERVICE_UNAVAILABLE, 0));
    assert_eq!(fixture.daemon.backend.load().stage, Stage::Leaving);
}

#[tokio::test(flavor = "multi_thread")]
async fn version_invalid() {
    let fixture = Fixture::start().await;
    fixture.make_ready().await;
    let entry = fixture.client.get(KEY).await.unwrap().unwrap();
    let swap = fixture
        .client
        .swap(KEY, entry.revision, Some("garbage".into()), 0);
    swap.await.unwrap();
    fixture.configure("5").await;
    assert_eq!(fixture.issue("one").await, (StatusCode::OK, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn operator_change_refused() {
    let fixture = Fixture::start().await;
    fixture.make_ready().await;
    let operator = fixture.daemon.addresses().operator;
    let request = Request::post("/v1/changes").header("host", "daemon");
    let body: Full<Bytes> = Full::from(r#"{"id":"x","put":[]}"#);
    let response = caller::call(operator, request.body(body).unwrap())
        .await
        .unwrap();
    assert_eq!(response.status(), StatusCode::METHOD_NOT_ALLOWED);
    let text = String::from_utf8_lossy(response.body()).into_owned();
    assert!(
        text.contains(KEY) && text.contains("not-accepted"),
        "{text}"
    );
    let list = caller::get(operator, "/v1/resources").await.unwrap();
    assert_eq!(list.status(), StatusCode::OK);
}

/// A long call does not keep the routing table of its start in memory while versions follow.
#[tokio::test(flavor = "multi_thread")]
async fn long_call_frees_table() {
    let slow = Behaviour {
        work: Duration::from_secs(2),
        ..Behaviour::default()
    };
    let fixture = Arc::new(Fixture::start_with(None, HeaderNames::default(), slow).await);
    fixture.make_ready().await;
    let table = Arc::downgrade(&fixture.daemon.config.table());
    let issue = |id: &'static str| {
        let fixture = Arc::clone(&fixture);
        tokio::spawn(async move { fixture.issue(id).await })
    };
    let long = issue("long");
    fixture
        .wait_until(|| fixture.run_log.runs("long") == 1)
        .await;
    fixture.configure("4").await;
    let next = issue("next");
    fixture.wait_until(|| table.upgrade().is_none()).await;
    assert!(!long.is_finished(), "the call has ended");
    assert_eq!(long.await.unwrap(), (StatusCode::OK, 1));
    assert_eq!(next.await.unwrap(), (StatusCode::OK, 1));
}

/// A backend server that states a rate limit gets no more calls than that; the others are refused, and
/// once it states none, all calls reach it again.
#[tokio::test(flavor = "multi_thread")]
async fn call_above_rate_limit() {
    const RATE: u32 = 10;
    const CALLS: u32 = 100;
    const INTERVAL: Duration = Duration::from_millis(20);
    const DEADLINE: Duration = Duration::from_millis(500);
    let names = HeaderNames {
        rate_limit: Some(HeaderName::from_static("x-rate-limit")),
        ..HeaderNames::default()
    };
    let limited = Behaviour {
        rate_limit: Some(RATE),
        ..Behaviour::default()
    };
    let fixture = Arc::new(Fixture::start_with(None, names, limited).await);
    fixture.make_ready().await;
    assert_eq!(fixture.issue("first").await, (StatusCode::OK, 1));
    let started = Instant::now();
    let mut calls = tokio::task::JoinSet::new();
    for call in 0..CALLS {
        tokio::time::sleep(INTERVAL).await;
        let fixture = Arc::clone(&fixture);
        let id = format!("call-{call}");
        calls.spawn(async move { fixture.issue_within(&id, DEADLINE).await });
    }
    let mut runs = 0;
    for (status, run) in calls.join_all().await {
        assert_eq!(status == StatusCode::OK, run == 1, "{status}");
        runs += run;
    }
    let allowed = started.elapsed().as_secs_f64() * f64::from(RATE) * 1.5 + 5.0;
    assert!(
        f64::from(runs) <= allowed,
        "{runs} calls, allowed {allowed}"
    );
    assert!((RATE..CALLS).contains(&runs), "{runs} calls");
    fixture.backend.set(Behaviour::default());
    let last = started.elapsed();
    while fixture.issue(&format!("open-{last:?}")).await.0 != StatusCode::OK {
        assert!(started.elapsed() < last + Duration::from_secs(1), "refused");
        tokio::time::sleep(INTERVAL).await;
    }
    for call in 0..RATE {
        assert_eq!(
            fixture.issue(&format!("free-{call}")).await,
            (StatusCode::OK, 1)
        );
    }
}

/// Reports a version to a daemon, with a holder that never responds.
async fn report_version(daemon: &Daemon, version: u64) -> TcpListener {
    let silent = TcpListener::bind(LOOPBACK).await.unwrap();
    let mut headers = http::HeaderMap::new();
    headers.insert(baobabstage::call::VERSION, version.into());
    let holder = silent.local_addr().unwrap();
    ExchangeState::of(daemon).note_version(daemon, &headers, Some(holder));
    silent
}

/// A route that a confirmed version has added is not denied by a daemon that knows itself to be behind:
/// the call may be repeated.
#[tokio::test]
async fn call_unknown_route_behind() {
    let fixture = Fixture::start().await;
    fixture.configure("3").await;
    let outbound = fixture.daemon.addresses().outbound;
    let response = caller::get(outbound, "/added").await.unwrap();
    assert_eq!(response.status(), StatusCode::NOT_FOUND);
    let _silent = report_version(&fixture.daemon, 4).await;
    let response = caller::get(outbound, "/added").await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers().contains_key("retry-after"));
    fixture.configure("4").await;
    let response = caller::get(outbound, "/added").await.unwrap();
    assert_eq!(response.status(), StatusCode::NOT_FOUND);
}

/// A call for a route of a version that is on its way waits for it and is served.
#[tokio::test(flavor = "multi_thread")]
async fn call_unknown_route_arriving() {
    let fixture = Fixture::start().await;
    fixture.make_ready().await;
    let outbound = fixture.daemon.addresses().outbound;
    let _silent = report_version(&fixture.daemon, ADDED).await;
    let call = tokio::spawn(async move { caller::get(outbound, "/added").await.unwrap() });
    tokio::time::sleep(Duration::from_millis(50)).await;
    let Source::External(external) = &fixture.daemon.source else {
        panic!("the configuration is not externally managed");
    };
    let state = ExchangeState::of(&fixture.daemon);
    state
        .apply_external(&fixture.daemon, external, &ADDED.to_string().into())
        .unwrap();
    assert_eq!(call.await.unwrap().status(), StatusCode::OK);
}

/// A backend server that answers each request with `head` and then with `rest` until its connection is
/// closed.
struct Endless {
    /// The number of connections accepted.
    accepted: Arc<AtomicUsize>,
    /// Receives the number of bytes sent on each connection once that has been closed.
    sent: mpsc::UnboundedReceiver<usize>,
}

impl Endless {
    /// Starts it at the address of another one that has just been stopped.
    async fn start(address: SocketAddr, head: &'static str, rest: &'static str) -> Self {
        let listener = loop {
            if let Ok(listener) = TcpListener::bind(address).await {
                break listener;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        };
        let accepted = Arc::new(AtomicUsize::new(0));
        let count = Arc::clone(&accepted);
        let (sender, sent) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                count.fetch_add(1, Ordering::Relaxed);
                let sender = sender.clone();
                tokio::spawn(async move {
                    let mut request = [0; 1_024];
                    assert!(stream.read(&mut request).await.unwrap() > 0);
                    let rest = rest.repeat(4_096);
                    let (mut sent, mut part) = (0, head.as_bytes());
                    while stream.write_all(part).await.is_ok() {
                        sent += part.len();
                        part = rest.as_bytes();
                    }
                    sender.send(sent)
                });
            }
        });
        Endless { accepted, sent }
    }
}

/// A faulty backend server sends bytes without end, in a head or in a body without a seal. They are cut
/// long before the deadline, and the next call is not given to it.
#[test_case("HTTP/1.1 200 ", "a"; "status line")]
#[test_case("HTTP/1.1 200 OK\r\nx-fill: ", "a"; "head")]
#[test_case("HTTP/1.1 500 Oops\r\ntransfer-encoding: chunked\r\n\r\n", "20\r\naaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"; "chunked body")]
#[test_case("HTTP/1.1 500 Oops\r\n\r\n", "a"; "body until close")]
#[tokio::test(flavor = "multi_thread")]
async fn call_endless_response(head: &'static str, rest: &'static str) {
    // What the kernel's buffers of a connection may take up besides the limits of the daemon.
    const MAX_SENT: usize = 16 * 1024 * 1024;
    let names = HeaderNames {
        response_seal: Some(http::HeaderName::from_static("x-seal")),
        ..HeaderNames::default()
    };
    let fixture = Fixture::start_with(None, names, Behaviour::default()).await;
    fixture.make_ready().await;
    let address = fixture.backend.address();
    fixture.backend.stop();
    let mut endless = Endless::start(address, head, rest).await;
    let request = Request::get("/certs/7").header("host", "certs");
    let request = request.header("x-baobab-deadline-ms", "30000");
    let request = request.body(Full::from("")).unwrap();
    let outbound = fixture.daemon.addresses().outbound;
    let response = tokio::time::timeout(TIMEOUT, caller::call(outbound, request)).await;
    // A body that is cut off is not complete for the caller.
    if let Ok(response) = response.expect("cut in time") {
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    }
    let sent = tokio::time::timeout(TIMEOUT, endless.sent.recv()).await;
    let sent = sent.expect("closed in time").unwrap();
    assert!(sent < MAX_SENT, "{sent} bytes");
    assert_eq!(
        fixture.issue("next").await.0,
        StatusCode::SERVICE_UNAVAILABLE
    );
    assert_eq!(endless.accepted.load(Ordering::Relaxed), 1);
}
