//! Exchanges between two daemons: members and the configuration.

#[path = "support/fake.rs"]
#[allow(dead_code, reason = "other tests use more of it")]
mod fake;

#[path = "support/external.rs"]
#[allow(dead_code, reason = "other tests use more of it")]
mod external;

use baobabstage::backend::{Report, ReportedState};
use baobabstage::daemon::Daemon;
use baobabstage::exchange::ExchangeState;
use baobabstage::generated::mesh as wire;
use baobabstage::generated::mesh::MemberState;
use baobabstage::settings::{Flags, Settings};
use baobabstage::site::{ExternalConfig, Reports, Site, Source};
use fake::Fake;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

fn daemon(name: &str) -> Arc<Daemon> {
    let pairs = [
        ("BAOBAB_NAME", name),
        ("BAOBAB_DOMAIN", "espoo"),
        ("BAOBAB_REGION", "fi-south"),
        ("BAOBAB_PLATFORM", "127.0.0.1:1"),
        ("BAOBAB_DISTRIBUTION", "direct"),
        ("BAOBAB_SERVICE", "certs"),
        ("BAOBAB_BACKEND", "127.0.0.1:9"),
    ];
    let pairs = pairs.map(|(name, value)| (name.to_owned(), value.to_owned()));
    let settings = Settings::new(&Flags::default(), &BTreeMap::from(pairs)).unwrap();
    let mut site = Site::new(Arc::new(Fake::new(1)));
    site.source = Source::External(ExternalConfig {
        key: "config".into(),
        decode: Arc::new(external::decode),
    });
    site.reports = Some(Reports {
        listen: ([127, 0, 0, 1], 0).into(),
        decode: |_, _, _| None,
    });
    Daemon::with_site(settings, site).unwrap()
}

fn report(daemon: &Daemon, state: ReportedState) {
    let sequence = daemon.backend.load().sequence + 1;
    let report = Report {
        instance: "i-1".into(),
        born_ms: 1,
        sequence,
        state,
        service: "certs".into(),
        address: address(),
        slots: 4,
        slow_start: Duration::ZERO,
    };
    daemon.backend.report(Instant::now(), &report, true);
}

fn apply(daemon: &Daemon, version: &'static str) {
    let Source::External(external) = &daemon.source else {
        panic!("the configuration is not externally managed");
    };
    let state = ExchangeState::of(daemon);
    state
        .apply_external(daemon, external, &version.into())
        .unwrap();
}

/// A daemon is an upstream of its own callers even before the platform lists it.
#[tokio::test]
async fn answer_adds_own_record() {
    let one = daemon("one");
    report(&one, ReportedState::Ready);
    ExchangeState::of(&one).respond(&one, wire::Exchange::default());
    assert_eq!(one.fleet.load().upstreams("certs").len(), 1);
    report(&one, ReportedState::Draining);
    ExchangeState::of(&one).respond(&one, wire::Exchange::default());
    assert_eq!(one.fleet.load().upstreams("certs").len(), 0);
}

#[tokio::test]
async fn answer_newer_version() {
    let (one, two) = (daemon("one"), daemon("two"));
    apply(&one, "7");
    let request = ExchangeState::of(&two).respond(&two, wire::Exchange::default());
    let response = ExchangeState::of(&one).respond(&one, request);
    assert!(response.config.is_some());
    ExchangeState::of(&two).respond(&two, response);
    assert_eq!(two.config.stamp(), one.config.stamp());
    let request = ExchangeState::of(&two).respond(&two, wire::Exchange::default());
    assert!(
        ExchangeState::of(&one)
            .respond(&one, request)
            .config
            .is_none()
    );
}

/// A daemon that has exchanged with no peer for a while reads the configuration itself.
#[tokio::test(start_paused = true)]
async fn exchanged_within_silence() {
    let one = daemon("one");
    let state = ExchangeState::of(&one);
    let second = Duration::from_secs(1);
    assert!(!state.exchanged_within(second));
    state.respond(&one, wire::Exchange::default());
    assert!(state.exchanged_within(second));
    tokio::time::advance(second * 2).await;
    assert!(!state.exchanged_within(second));
}

/// A version is forwarded from daemon to daemon, though only the first has read it from the
/// platform.
#[tokio::test]
async fn answer_forwards_version() {
    let daemons = ["one", "two", "three"].map(daemon);
    apply(&daemons[0], "7");
    for pair in daemons.windows(2) {
        let request = ExchangeState::of(&pair[1]).respond(&pair[1], wire::Exchange::default());
        let response = ExchangeState::of(&pair[0]).respond(&pair[0], request);
        ExchangeState::of(&pair[1]).respond(&pair[1], response);
        assert_eq!(pair[1].config.stamp(), daemons[0].config.stamp());
    }
}

#[tokio::test]
async fn answer_older_version() {
    let (one, two) = (daemon("one"), daemon("two"));
    apply(&one, "7");
    apply(&two, "9");
    let old = ExchangeState::of(&one).respond(&one, wire::Exchange::default());
    let response = ExchangeState::of(&two).respond(&two, old);
    assert_eq!(two.config.stamp().version, 9);
    ExchangeState::of(&one).respond(&one, response);
    assert_eq!(one.config.stamp().version, 9);
    apply(&one, "8");
    assert_eq!(one.config.stamp().version, 9);
}

#[tokio::test]
async fn answer_members() {
    let (one, two) = (daemon("one"), daemon("two"));
    report(&one, ReportedState::Ready);
    let request = ExchangeState::of(&one).respond(&one, wire::Exchange::default());
    ExchangeState::of(&two).respond(&two, request);
    let fleet = two.fleet.load();
    let known = &fleet.members()["one"];
    assert_eq!(known.state(), MemberState::Ready);
    assert_eq!((known.slots, known.instance.as_str()), (4, "i-1"));
}

/// A daemon whose record a peer has removed outranks the removal with its next record.
#[tokio::test]
async fn answer_own_removal() {
    let (one, two) = (daemon("one"), daemon("two"));
    let request = ExchangeState::of(&one).respond(&one, wire::Exchange::default());
    let own = request.sender.clone().unwrap();
    ExchangeState::of(&two).respond(&two, request);
    let gone = wire::Member {
        state: MemberState::Gone.into(),
        ..own
    };
    let removal = wire::Exchange {
        members: vec![gone],
        ..wire::Exchange::default()
    };
    ExchangeState::of(&two).respond(&two, removal);
    assert!(!two.fleet.load().members().contains_key("one"));
    // The response to the changed buckets carries the removal back to its subject.
    let request = ExchangeState::of(&one).respond(&one, wire::Exchange::default());
    let response = ExchangeState::of(&two).respond(&two, request);
    ExchangeState::of(&one).respond(&one, response);
    let request = ExchangeState::of(&one).respond(&one, wire::Exchange::default());
    ExchangeState::of(&two).respond(&two, request);
    assert!(two.fleet.load().members().contains_key("one"));
}
