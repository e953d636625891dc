//! API keys at daemons with backend servers: headers, withdrawn keys, and daemons out of contact.

#[path = "support/site.rs"]
mod site;

use baobabstage::exchange::ExchangeState;
use baobabstage::site::Source;
use baobabstage::sync::lock;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use log::kv::{Error, Key, Value as LogValue, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use serde_json::Value;
use site::{
    KEY_HEADER, ORGANISATION_HEADER, Received, TestSite, Vm, organisation, policy, route, service,
    version, wait_until,
};
use standin::caller::{self, Pool};
use std::fmt::Write as _;
use std::sync::Mutex;
use std::time::Duration;
use test_case::test_case;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

const KEY: &str = "kirja-55d1c0";
const OTHER_KEY: &str = "kirja-9e02fa";

/// The time within which a withdrawn key stops working.
const REVOKE_TIME: Duration = Duration::from_secs(5);

/// The same where a test sets it, in milliseconds.
const SHORT_REVOKE_MS: u64 = 2_000;

/// Returns a service with a route that needs keys and a public one, and organisations.
fn resources(organisations: &[Value]) -> Vec<Value> {
    let mut resources = vec![
        policy(64),
        route("/certs", "certs", false),
        route("/open", "certs", true),
    ];
    resources.extend(service("certs", 20));
    resources.extend_from_slice(organisations);
    resources
}

async fn start(vms: usize, settings: &[(&str, &str)], organisations: &[Value]) -> TestSite {
    let mut site = TestSite::start().await;
    for _ in 0..vms {
        site.add("certs", settings).await;
    }
    site.configure(&resources(organisations)).await;
    site
}

fn request(path: &str, headers: &[(&str, &str)]) -> Request<Full<Bytes>> {
    let mut builder = Request::get(path).header("host", "certs");
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::default()).unwrap()
}

async fn status(vm: &Vm, path: &str, headers: &[(&str, &str)]) -> u16 {
    let response = caller::call(vm.outbound(), request(path, headers)).await;
    response.unwrap().status().as_u16()
}

/// Returns the values of a header that a backend server received.
fn values<'a>(received: &'a Received, name: &str) -> Vec<&'a str> {
    let values = received.headers.get_all(name).iter();
    values.map(|value| value.to_str().unwrap()).collect()
}

#[test_case("/certs", &[(KEY_HEADER, KEY)] => (200, vec!["kasi".to_owned()]); "key")]
#[test_case("/open", &[(KEY_HEADER, KEY)] => (200, vec!["kasi".to_owned()]); "key on a public route")]
#[test_case("/open", &[(KEY_HEADER, "other")] => (200, vec![]); "unknown key on a public route")]
#[test_case("/certs", &[] => (200, vec![]); "no key")]
#[test_case("/certs", &[(ORGANISATION_HEADER, "kasi")] => (200, vec![]); "stated by the caller")]
#[test_case("/certs", &[(ORGANISATION_HEADER, "a"), (ORGANISATION_HEADER, "b"), (KEY_HEADER, KEY)]
    => (200, vec!["kasi".to_owned()]); "stated otherwise by the caller")]
#[test_case("/certs", &[("x-baobab-organisation", "kasi")] => (200, vec![]); "internal header")]
#[test_case("/certs", &[("connection", KEY_HEADER), (KEY_HEADER, KEY)]
    => (200, vec!["kasi".to_owned()]); "key named as a header of the connection")]
#[tokio::test(flavor = "multi_thread")]
async fn call_served(path: &str, headers: &[(&str, &str)]) -> (u16, Vec<String>) {
    let site = start(1, &[], &[organisation("kasi", &[KEY])]).await;
    let status = status(&site.vms[0], path, headers).await;
    let received = site.vms[0].backend.last();
    assert_eq!(values(&received, KEY_HEADER), Vec::<&str>::new());
    assert_eq!(
        values(&received, "x-baobab-organisation"),
        Vec::<&str>::new()
    );
    let names = values(&received, ORGANISATION_HEADER);
    (status, names.into_iter().map(ToOwned::to_owned).collect())
}

/// Starts a daemon without a backend server of the service, and one with.
async fn start_remote(organisations: &[Value]) -> TestSite {
    let mut site = TestSite::start().await;
    site.add("other", &[]).await;
    site.add("certs", &[]).await;
    site.configure(&resources(organisations)).await;
    site
}

/// Puts a version in force at one daemon only.
fn apply(vm: &Vm, number: u64, organisations: &[Value]) {
    let Source::External(external) = &vm.daemon.source else {
        panic!("the configuration is not externally managed");
    };
    let version = version(number, &resources(organisations));
    ExchangeState::of(&vm.daemon)
        .apply_external(&vm.daemon, external, &version.into())
        .unwrap();
}

/// The backend server is beside another daemon, which learns the organisation from the first one.
#[tokio::test(flavor = "multi_thread")]
async fn call_served_remotely() {
    let site = start_remote(&[organisation("kasi", &[KEY])]).await;
    let headers = [(KEY_HEADER, KEY), (ORGANISATION_HEADER, "lumo")];
    assert_eq!(status(&site.vms[0], "/certs", &headers).await, 200);
    let received = site.vms[1].backend.last();
    assert_eq!(values(&received, KEY_HEADER), Vec::<&str>::new());
    assert_eq!(values(&received, ORGANISATION_HEADER), ["kasi"]);
}

/// A daemon beside a backend server removes a caller's headers also for a sender that does not have the
/// version with the first organisation yet.
#[tokio::test(flavor = "multi_thread")]
async fn call_served_before_sender_updated() {
    let site = start_remote(&[]).await;
    apply(&site.vms[1], 2, &[organisation("kasi", &[KEY])]);
    let headers = [(KEY_HEADER, KEY), (ORGANISATION_HEADER, "lumo")];
    assert_eq!(status(&site.vms[0], "/certs", &headers).await, 200);
    let received = site.vms[1].backend.last();
    assert_eq!(values(&received, KEY_HEADER), Vec::<&str>::new());
    assert!(!values(&received, ORGANISATION_HEADER).contains(&"lumo"));
}

/// A daemon that takes a call removes the caller's headers itself, and does not leave it to the one beside
/// the backend server, which may not have the version that requires it.
#[tokio::test(flavor = "multi_thread")]
async fn call_served_before_receiver_updated() {
    let site = start_remote(&[]).await;
    apply(&site.vms[0], 2, &[organisation("kasi", &[KEY])]);
    let headers = [(KEY_HEADER, "other"), (ORGANISATION_HEADER, "lumo")];
    assert_eq!(status(&site.vms[0], "/open", &headers).await, 200);
    let received = site.vms[1].backend.last();
    assert_eq!(values(&received, KEY_HEADER), Vec::<&str>::new());
    assert_eq!(values(&received, ORGANISATION_HEADER), Vec::<&str>::new());
}

#[test_case(&[(KEY_HEADER, "other")]; "unknown key")]
#[test_case(&[(KEY_HEADER, "")]; "empty key")]
#[test_case(&[(KEY_HEADER, KEY), (KEY_HEADER, KEY)]; "several keys")]
#[tokio::test(flavor = "multi_thread")]
async fn call_refused(headers: &[(&str, &str)]) {
    let site = start(1, &[], &[organisation("kasi", &[KEY])]).await;
    assert_eq!(status(&site.vms[0], "/certs", headers).await, 401);
    assert!(site.vms[0].backend.received().is_empty(), "it was not run");
}

/// Without organisations, the headers are a matter of callers and backend servers only.
#[tokio::test(flavor = "multi_thread")]
async fn call_without_organisations() {
    let site = start(1, &[], &[]).await;
    let headers = [(KEY_HEADER, KEY), (ORGANISATION_HEADER, "kasi")];
    assert_eq!(status(&site.vms[0], "/certs", &headers).await, 200);
    let received = site.vms[0].backend.last();
    assert_eq!(values(&received, KEY_HEADER), [KEY]);
    assert_eq!(values(&received, ORGANISATION_HEADER), ["kasi"]);
}

/// Before its first version, a daemon refuses no key as unknown.
#[tokio::test(flavor = "multi_thread")]
async fn call_before_configuration() {
    let mut site = TestSite::start().await;
    site.add("certs", &[]).await;
    assert_eq!(
        status(&site.vms[0], "/certs", &[(KEY_HEADER, KEY)]).await,
        503
    );
}

/// A daemon that starts beside others serves no key that the newest version lacks, and refuses none as
/// unknown that it has.
#[tokio::test(flavor = "multi_thread")]
async fn call_after_start() {
    let mut site = start(2, &[], &[organisation("kasi", &[OTHER_KEY])]).await;
    site.configure(&resources(&[organisation("kasi", &[KEY])]))
        .await;
    site.add("certs", &[]).await;
    let started = Instant::now();
    loop {
        let valid = status(&site.vms[2], "/certs", &[(KEY_HEADER, KEY)]).await;
        assert!(valid == 503 || valid == 200, "{valid} for a valid key");
        let withdrawn = status(&site.vms[2], "/certs", &[(KEY_HEADER, OTHER_KEY)]).await;
        assert!(
            withdrawn == 503 || withdrawn == 401,
            "{withdrawn} for a withdrawn key"
        );
        if (valid, withdrawn) == (200, 401) {
            break;
        }
        assert!(started.elapsed() < Duration::from_secs(10));
        sleep(Duration::from_millis(20)).await;
    }
}

/// Reports a version to a daemon, with a holder that never responds.
async fn report_version(vm: &Vm, version: u64) -> TcpListener {
    let silent = TcpListener::bind(standin::testbed::LOOPBACK).await.unwrap();
    let mut headers = http::HeaderMap::new();
    headers.insert(baobabstage::call::VERSION, version.into());
    let holder = silent.local_addr().unwrap();
    ExchangeState::of(&vm.daemon).note_version(&vm.daemon, &headers, Some(holder));
    silent
}

/// A key that a newer version may have is not refused as unknown, and needs no wait on a public route.
#[tokio::test(flavor = "multi_thread")]
async fn call_unknown_key_behind() {
    let site = start(1, &[], &[organisation("kasi", &[KEY])]).await;
    let headers = [(KEY_HEADER, OTHER_KEY)];
    let _silent = report_version(&site.vms[0], 9).await;
    let response = caller::call(site.vms[0].outbound(), request("/certs", &headers)).await;
    let response = response.unwrap();
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    let started = Instant::now();
    assert_eq!(status(&site.vms[0], "/open", &headers).await, 200);
    assert!(started.elapsed() < Duration::from_millis(250));
}

/// A call with a key of a version that is on its way waits for it and is served.
#[tokio::test(flavor = "multi_thread")]
async fn call_unknown_key_arriving() {
    let site = start(1, &[], &[organisation("kasi", &[KEY])]).await;
    let _silent = report_version(&site.vms[0], 2).await;
    let outbound = site.vms[0].outbound();
    let call = request("/certs", &[(KEY_HEADER, OTHER_KEY)]);
    let call = tokio::spawn(caller::call(outbound, call));
    sleep(Duration::from_millis(30)).await;
    site.write(&resources(&[organisation("kasi", &[OTHER_KEY])]))
        .await;
    assert_eq!(call.await.unwrap().unwrap().status(), 200);
}

/// A version with a key of two organisations is refused as a whole, and the one in force remains.
#[tokio::test(flavor = "multi_thread")]
async fn version_shared_key() {
    let site = start(1, &[], &[organisation("kasi", &[KEY])]).await;
    let both = [
        organisation("kasi", &[OTHER_KEY]),
        organisation("lumo", &[OTHER_KEY]),
    ];
    let version = site.write(&resources(&both)).await;
    let daemon = &site.vms[0].daemon;
    wait_until(|| daemon.config.has_refused(version)).await;
    assert_eq!(
        status(&site.vms[0], "/certs", &[(KEY_HEADER, KEY)]).await,
        200
    );
    assert_eq!(
        status(&site.vms[0], "/certs", &[(KEY_HEADER, OTHER_KEY)]).await,
        401
    );
}

/// The log lines of all daemons of this process, with their fields.
static LINES: Mutex<String> = Mutex::new(String::new());

struct Collector;

impl Log for Collector {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = Line(format!("{} {}", record.target(), record.args()));
        record.key_values().visit(&mut line).unwrap();
        lock(&LINES).push_str(&line.0);
    }

    fn flush(&self) {}
}

struct Line(String);

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: LogValue<'kvs>) -> Result<(), Error> {
        writeln!(self.0, " {key}={value}").map_err(Error::from)
    }
}

async fn page(address: std::net::SocketAddr, path: &str) -> String {
    let response = caller::get(address, path).await.unwrap();
    String::from_utf8_lossy(response.body()).into_owned()
}

/// A withdrawn key stops working on open connections within the time stated, also at a daemon that
/// the platform turns away, and neither key is shown anywhere.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_open_connection() {
    log::set_boxed_logger(Box::new(Collector)).unwrap();
    log::set_max_level(LevelFilter::Trace);
    let site = start(2, &[], &[organisation("kasi", &[KEY])]).await;
    let pools: Vec<Pool> = site.vms.iter().map(|vm| Pool::new(vm.outbound())).collect();
    let call = async |pool: &Pool, key| {
        let response = pool.call(request("/certs", &[(KEY_HEADER, key)])).await;
        response.unwrap().status().as_u16()
    };
    for pool in &pools {
        assert_eq!(call(pool, KEY).await, 200);
        assert_eq!(call(pool, OTHER_KEY).await, 401);
    }
    site.vms[1].turn_away();
    sleep(Duration::from_millis(500)).await;
    site.write(&resources(&[organisation("kasi", &[OTHER_KEY])]))
        .await;
    let written = Instant::now();
    let mut stopped = [None; 2];
    while stopped.contains(&None) {
        assert!(written.elapsed() < REVOKE_TIME, "{stopped:?}");
        for (pool, stopped) in pools.iter().zip(&mut stopped) {
            if stopped.is_none() && call(pool, KEY).await == 401 {
                *stopped = Some(written.elapsed());
            }
        }
        sleep(Duration::from_millis(20)).await;
    }
    println!("withdrawn after {stopped:?}");
    for pool in &pools {
        assert_eq!(call(pool, OTHER_KEY).await, 200);
    }
    let mut shown = std::mem::take(&mut *lock(&LINES));
    assert!(shown.contains("KeyRefused"), "the lines are collected");
    for vm in &site.vms {
        let addresses = vm.daemon.addresses();
        shown += &page(addresses.admin, "/state").await;
        let metrics = page(addresses.admin, "/metrics").await;
        assert!(
            metrics.contains("baobab_key_refusals_total{reason=\"unknown\"}"),
            "{metrics}"
        );
        shown += &metrics;
        let listing = page(addresses.operator, "/v1/resources").await;
        assert!(listing.contains("\"organisation\""), "{listing}");
        shown += &listing;
    }
    for key in [KEY, OTHER_KEY] {
        assert!(!shown.contains(key), "a key is shown");
    }
}

/// Calls once in a while for some time; returns the statuses in their order, without repetitions.
async fn statuses(vm: &Vm, headers: &[(&str, &str)], time: Duration) -> Vec<u16> {
    let until = Instant::now() + time;
    let mut seen = Vec::new();
    while Instant::now() < until {
        seen.push(status(vm, "/certs", headers).await);
        seen.dedup();
        sleep(Duration::from_millis(25)).await;
    }
    seen
}

/// With `fail_closed`, a daemon in contact with the platform, or with a peer that is, serves keyed calls
/// without a gap; one out of contact refuses them in time, and serves calls without a key.
#[tokio::test(flavor = "multi_thread")]
async fn fail_closed() {
    let revoke = SHORT_REVOKE_MS.to_string();
    let settings = [("FAIL_CLOSED", "true"), ("REVOKE_MS", revoke.as_str())];
    let site = start(3, &settings, &[organisation("kasi", &[KEY])]).await;
    let keyed = [(KEY_HEADER, KEY)];
    let revoke = Duration::from_millis(SHORT_REVOKE_MS);
    wait_until(|| site.vms.iter().all(|vm| vm.daemon.contact.age().is_some())).await;
    let all = site.vms.iter().map(|vm| statuses(vm, &keyed, revoke * 3));
    let all = futures_util::future::join_all(all).await;
    assert_eq!(all, [[200], [200], [200]], "all are in contact");
    site.vms[2].turn_away();
    let served = statuses(&site.vms[2], &keyed, revoke * 3).await;
    assert_eq!(served, [200], "its peers are in contact");
    for vm in &site.vms {
        vm.turn_away();
    }
    sleep(revoke).await;
    for vm in &site.vms {
        assert_eq!(status(vm, "/certs", &keyed).await, 503);
        assert_eq!(status(vm, "/certs", &[(KEY_HEADER, "other")]).await, 503);
        assert_eq!(status(vm, "/certs", &[]).await, 200);
        let state = page(vm.daemon.addresses().admin, "/state").await;
        let state: Value = serde_json::from_str(&state).unwrap();
        let keys = &state["outbound"]["keys"];
        assert_eq!(
            (&keys["checked"], &keys["closed"]),
            (&true.into(), &true.into())
        );
        assert_eq!(keys["organisations"], 1);
    }
    for vm in &site.vms {
        vm.link.clear_faults();
    }
    let back = statuses(&site.vms[0], &keyed, revoke * 2).await;
    assert_eq!(back, [503, 200]);
}

/// Without `fail_closed`, a daemon out of contact serves with the configuration that it has.
#[tokio::test(flavor = "multi_thread")]
async fn fail_open() {
    let revoke = SHORT_REVOKE_MS.to_string();
    let settings = [("REVOKE_MS", revoke.as_str())];
    let site = start(1, &settings, &[organisation("kasi", &[KEY])]).await;
    site.vms[0].turn_away();
    let time = Duration::from_millis(SHORT_REVOKE_MS * 2);
    let served = statuses(&site.vms[0], &[(KEY_HEADER, KEY)], time).await;
    assert_eq!(served, [200]);
}
