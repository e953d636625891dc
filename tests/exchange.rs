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
use baobabstage::generated::mesh::exchange::Newer;
use baobabstage::member::StandIn;
use baobabstage::settings::{Flags, Settings};
use baobabstage::site::{ExternalConfig, Reports, Site, Source};
use fake::Fake;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use test_case::test_case;
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
        domain: "espoo".into(),
        address: address(),
        slots: 4,
        version: "v1".into(),
        slow_start: Duration::ZERO,
    };
    daemon.backend.report(Instant::now(), &report, true);
}

/// Puts a version in force that is written as in the platform: its number, then `NAME=WEIGHT` for each
/// policy.
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
    assert!(response.newer.is_some());
    ExchangeState::of(&two).respond(&two, response);
    assert_eq!(two.config.stamp(), one.config.stamp());
    let request = ExchangeState::of(&two).respond(&two, wire::Exchange::default());
    assert!(
        ExchangeState::of(&one)
            .respond(&one, request)
            .newer
            .is_none()
    );
}

/// Sends the message of `from` to `to`, and the response back.
fn exchange(from: &Daemon, to: &Daemon) -> wire::Exchange {
    let request = ExchangeState::of(from).respond(from, wire::Exchange::default());
    // As a request it carries no configuration.
    let request = wire::Exchange {
        newer: None,
        ..request
    };
    let response = ExchangeState::of(to).respond(to, request);
    ExchangeState::of(from).respond(from, response.clone());
    response
}

/// A daemon that lacks one change receives that one, not the whole configuration.
#[test_case("7 x=1 y=1", "9 x=1 y=2", &["y"], &[]; "changed")]
#[test_case("7 x=1 y=1", "9 x=1 y=1 z=1", &["z"], &[]; "added")]
#[test_case("7 x=1 y=1", "9 x=1", &[], &["y"]; "removed")]
#[tokio::test]
async fn answer_changes(old: &'static str, new: &'static str, upserts: &[&str], removals: &[&str]) {
    let (one, two) = (daemon("one"), daemon("two"));
    apply(&one, old);
    apply(&two, old);
    apply(&one, new);
    let Some(Newer::Changes(changes)) = exchange(&two, &one).newer else {
        panic!("no changes");
    };
    let names: Vec<_> = changes.upserts.iter().map(|res| &res.name).collect();
    assert_eq!(names, upserts);
    let names: Vec<_> = changes.removals.iter().map(|key| &key.name).collect();
    assert_eq!(names, removals);
    assert_eq!(two.config.stamp(), one.config.stamp());
}

/// Daemons that read different versions of a quick succession bring each other up to date.
#[test_case("8 x=1 y=2", "9 x=1 y=3", true; "other versions skipped")]
#[test_case("8 x=1 y=1 z=1", "9 x=1 y=1", false; "added and removed again")]
#[test_case("8 x=2 y=1", "9 x=1 y=1", false; "changed and changed back")]
#[tokio::test]
async fn answer_skipped_version(skipped: &'static str, new: &'static str, at_once: bool) {
    let (one, two) = (daemon("one"), daemon("two"));
    apply(&one, "7 x=1 y=1");
    apply(&one, new);
    apply(&two, skipped);
    exchange(&two, &one);
    // Changes that do not lead to the stated version are not applied in part.
    let expected = if at_once {
        one.config.stamp().version
    } else {
        8
    };
    assert_eq!(two.config.stamp().version, expected);
    exchange(&two, &one);
    assert_eq!(two.config.stamp(), one.config.stamp());
}

/// A version that this daemon has refused as invalid is not fetched again and again, although its peers
/// have it in force.
#[tokio::test]
async fn newest_known_refused() {
    let one = daemon("one");
    apply(&one, "7 x=1");
    let state = ExchangeState::of(&one);
    let mut headers = http::HeaderMap::new();
    headers.insert(baobabstage::call::VERSION, 9.into());
    state.note_version(&one, &headers, None);
    assert_eq!(state.newest_known(&one), 9);
    apply(&one, "9 x=0");
    assert_eq!(one.config.stamp().version, 7);
    assert_eq!(state.newest_known(&one), 7);
    headers.insert(baobabstage::call::VERSION, 10.into());
    state.note_version(&one, &headers, None);
    assert_eq!(state.newest_known(&one), 10);
}

/// A daemon does not know what was removed before its own first version.
#[tokio::test]
async fn answer_unknown_removals() {
    let (one, two) = (daemon("one"), daemon("two"));
    apply(&two, "3 x=1 y=1");
    apply(&one, "7 x=1");
    exchange(&two, &one);
    assert_eq!(two.config.stamp(), one.config.stamp());
}

/// Versions pass on from daemon to daemon as changes.
#[tokio::test]
async fn answer_changes_forwarded() {
    let daemons = ["one", "two", "three"].map(daemon);
    for daemon in &daemons {
        apply(daemon, "7 x=1 y=1");
    }
    apply(&daemons[0], "8 x=2 y=1");
    apply(&daemons[0], "9 x=2");
    for pair in daemons.windows(2) {
        exchange(&pair[1], &pair[0]);
        assert_eq!(pair[1].config.stamp(), daemons[0].config.stamp());
    }
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

/// A daemon that hears of newer versions counts as behind when none has been in force for a while, also when
/// still newer ones are reported meanwhile.
#[tokio::test(start_paused = true)]
async fn is_behind_further_versions() {
    let one = daemon("one");
    apply(&one, "7");
    let state = ExchangeState::of(&one);
    let report = |version: u64| {
        let mut headers = http::HeaderMap::new();
        headers.insert(baobabstage::call::VERSION, version.into());
        state.note_version(&one, &headers, None);
    };
    let time = Duration::from_secs(5);
    tokio::time::advance(time * 2).await;
    report(8);
    assert!(!state.is_behind(&one, time));
    tokio::time::advance(time).await;
    report(9);
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(state.is_behind(&one, time));
    apply(&one, "8");
    assert!(!state.is_behind(&one, time));
    apply(&one, "9");
    tokio::time::advance(time * 2).await;
    assert!(!state.is_behind(&one, time));
}

/// A daemon stands in for others only when it has been needed for the whole of a time.
#[tokio::test(start_paused = true)]
async fn stands_in_for_interrupted() {
    let one = daemon("one");
    let state = ExchangeState::of(&one);
    let time = Duration::from_secs(8);
    assert!(!state.stands_in_for(Some(StandIn::Away), time));
    tokio::time::advance(time).await;
    assert!(!state.stands_in_for(None, time));
    assert!(!state.stands_in_for(Some(StandIn::Away), time));
    tokio::time::advance(time).await;
    assert!(!state.stands_in_for(Some(StandIn::Away), time));
    tokio::time::advance(Duration::from_millis(1)).await;
    assert!(state.stands_in_for(Some(StandIn::Away), time));
    // Another reason starts the time again.
    assert!(!state.stands_in_for(Some(StandIn::Leaving), time));
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
    assert_eq!(known.version, "v1");
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
