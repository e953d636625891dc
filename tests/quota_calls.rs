//! Daemons that share the quota of an organisation, run inside the test's process.

#[path = "support/site.rs"]
mod site;

use baobabstage::quota::OwnerList;
use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use serde_json::{Value, json};
use site::{KEY_HEADER, TestSite, organisation, policy, route, service};
use standin::caller;
use standin::fault::{FaultProxy, Faults};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, interval, sleep};

const KEY: &str = "kirja-55d1c0";

/// Calls a second and at once that the organisation may make at all daemons together.
const RATE: u32 = 20;

const DAEMONS: usize = 3;

async fn start() -> TestSite {
    let mut site = TestSite::start().await;
    for _ in 0..DAEMONS {
        site.add("certs", &[]).await;
    }
    configure(&site, "kasi", RATE).await;
    site
}

/// Puts a limit of an organisation in force.
async fn configure(site: &TestSite, name: &str, rate: u32) {
    let mut limited: Value = organisation(name, &[KEY]);
    limited[2]["rate_per_ks"] = json!(rate * 1_000);
    limited[2]["burst"] = json!(rate);
    let mut resources = vec![policy(64), route("/certs", "certs", false), limited];
    resources.extend(service("certs", 20));
    site.configure(&resources).await;
    // The daemons have told the owner of the organisation that they are there.
    sleep(Duration::from_secs(2)).await;
}

/// Sends a call at each daemon in turn for `time`, and returns the status codes and whether a `Retry-After` was
/// stated.
async fn call(site: &TestSite, rate: u32, time: Duration) -> Vec<(StatusCode, bool)> {
    let end = Instant::now() + time;
    let mut ticks = interval(Duration::from_secs(1) / rate);
    let mut calls = JoinSet::new();
    for vm in site.vms.iter().cycle() {
        ticks.tick().await;
        if Instant::now() >= end {
            break;
        }
        let address = vm.outbound();
        calls.spawn(async move {
            let request = Request::get("/certs?1")
                .header("host", "certs")
                .header(KEY_HEADER, KEY);
            let request = request.body(Full::<Bytes>::default()).unwrap();
            let response = caller::call(address, request).await.unwrap();
            let stated = response.headers().contains_key(header::RETRY_AFTER);
            (response.status(), stated)
        });
    }
    calls.join_all().await
}

/// Guards against an organisation that gets its limit at each daemon instead of at all together, and against a
/// refusal without a time to come back.
#[tokio::test(flavor = "multi_thread")]
async fn quota_above_limit() {
    let site = start().await;
    let responses = call(&site, 6 * RATE, Duration::from_secs(4)).await;
    let served = responses.iter().filter(|(s, _)| *s == StatusCode::OK);
    let served = f64::from(u32::try_from(served.count()).unwrap());
    let allowed = f64::from(RATE * 4 + RATE) * 1.1 + 20.0;
    assert!(served <= allowed, "{served} of {allowed}");
    assert!(served >= f64::from(RATE * 3), "{served}");
    let refused = responses.iter().filter(|(s, _)| *s != StatusCode::OK);
    for response in refused {
        assert_eq!(*response, (StatusCode::TOO_MANY_REQUESTS, true));
    }
}

/// Guards against calls that are refused although the organisation is below its limit.
#[tokio::test(flavor = "multi_thread")]
async fn quota_below_limit() {
    let site = start().await;
    let responses = call(&site, RATE / 2, Duration::from_secs(4)).await;
    let refused = responses.iter().filter(|(s, _)| *s != StatusCode::OK);
    assert_eq!(refused.count(), 0);
}

/// Guards against two daemons that each refill the account of an organisation at the whole rate, since the answers of
/// the one that owns it are late: it is not lost, and goes on serving its own callers.
#[tokio::test(flavor = "multi_thread")]
async fn quota_late_answers() {
    const LIMIT: u32 = 60;
    const TIME: u32 = 5;
    let mut site = TestSite::start().await;
    let unused = ([127, 0, 0, 1], 9).into();
    let (address, link) = FaultProxy::start(unused).await.unwrap();
    let advertised = address.to_string();
    site.add("certs", &[("ADVERTISE_INBOUND", &advertised)])
        .await;
    link.set_target(site.vms[0].daemon.addresses().inbound);
    for _ in 1..DAEMONS {
        site.add("certs", &[]).await;
    }
    let owners = OwnerList::new((0..DAEMONS).map(|number| format!("vm-{number}")));
    let mut names = (0..).map(|number| format!("kasi-{number}"));
    let name = names.find(|name| owners.owner(name) == Some("vm-0"));
    let name = name.unwrap();
    configure(&site, &name, LIMIT).await;
    link.set(Faults {
        delay: Duration::from_millis(120),
        ..Faults::default()
    });
    let time = Duration::from_secs(TIME.into());
    let responses = call(&site, 6 * LIMIT, time).await;
    let served = responses.iter().filter(|(s, _)| *s == StatusCode::OK);
    let served = f64::from(u32::try_from(served.count()).unwrap());
    let allowed = f64::from(LIMIT * TIME + LIMIT) * 1.1 + 20.0;
    println!("{served} of {allowed}");
    assert!(served <= allowed, "{served} of {allowed}");
    assert!(served >= f64::from(LIMIT * TIME) * 0.7, "{served}");
}
