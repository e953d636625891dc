//! Entries that another writer has left among those of the daemons.

#[path = "support/site.rs"]
mod site;

use baobabstage::generated::mesh::{Member, MemberState};
use http::{Request, StatusCode};
use http_body_util::Full;
use prost::Message as _;
use site::{TestSite, policy, route, service};
use standin::caller;
use std::time::Duration;
use test_case::test_case;
use tokio::time::{Instant, sleep};

/// The prefix of the daemons' entries.
const PREFIX: &str = "baobab/member/";

/// Time for which calls are made while the entry stands.
const TIME: Duration = Duration::from_secs(4);

/// A well-formed record with this name and everything at its maximum.
fn record(name: &str, inbound: &str) -> Member {
    Member {
        name: name.into(),
        incarnation: u64::MAX,
        sequence: u64::MAX,
        state: MemberState::Ready.into(),
        service: "certs".into(),
        domain: "espoo".into(),
        region: "fi-south".into(),
        inbound: inbound.into(),
        mesh: inbound.into(),
        slots: u32::MAX,
        instance: "i-odd".into(),
        born_ms: u64::MAX,
        link_mbps: u32::MAX,
        ..Member::default()
    }
}

async fn call(site: &TestSite, vm: usize) -> StatusCode {
    let request = Request::get("/certs?1").header("host", "certs");
    let request = request.body(Full::default()).unwrap();
    let response = caller::call(site.vms[vm].outbound(), request).await;
    response.unwrap().status()
}

/// Starts a VM of each of two services; only the first one serves calls.
async fn start() -> TestSite {
    let mut site = TestSite::start().await;
    site.add("certs", &[]).await;
    site.add("other", &[]).await;
    let mut resources = vec![policy(64), route("/certs", "certs", false)];
    resources.extend(service("certs", 20));
    resources.extend(service("other", 20));
    site.configure(&resources).await;
    site
}

/// Guards against a service that is refused by a daemon that starts after an odd entry was left: the entry claims the
/// address of the only daemon of the service, cannot be read, or names a member that cannot be reached.
#[test_case("odd-1", Claim::Address("certs"); "address of a daemon")]
#[test_case("odd-1", Claim::Address("other"); "address of a daemon, other service")]
#[test_case("odd-1", Claim::Nowhere("127.0.0.1:99999"); "port out of range")]
#[test_case("odd-1", Claim::Nowhere("127.0.0.1:0"); "port zero")]
#[test_case("odd, 1", Claim::Nowhere("127.0.0.1:9"); "name with other characters")]
#[test_case("odd-1", Claim::Bytes(b"[[[[{{{{"); "no record")]
#[test_case("odd-1", Claim::Bytes(b""); "empty")]
#[tokio::test(flavor = "multi_thread")]
async fn call_beside_odd_entry(name: &str, claim: Claim) {
    let mut site = start().await;
    let live = site.vms[0].daemon.addresses().inbound.to_string();
    let value = match claim {
        Claim::Address(service) => {
            let service = service.into();
            Member {
                service,
                ..record(name, &live)
            }
            .encode_to_vec()
        }
        Claim::Nowhere(address) => record(name, address).encode_to_vec(),
        Claim::Bytes(bytes) => bytes.to_vec(),
    };
    site.put(&format!("{PREFIX}{name}"), value).await;
    site.add("other", &[]).await;
    site.wait_served("/certs?1").await;
    let end = Instant::now() + TIME;
    while Instant::now() < end {
        for vm in 0..site.vms.len() {
            assert_eq!(call(&site, vm).await, StatusCode::OK, "at {vm}");
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// What an odd entry holds.
#[derive(Clone, Copy)]
enum Claim {
    /// A record of a service, with the address of the daemon that serves calls.
    Address(&'static str),
    /// A record with an address at which nobody answers.
    Nowhere(&'static str),
    /// These bytes.
    Bytes(&'static [u8]),
}
