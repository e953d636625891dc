//! Member sets: order of records, suspicion, removal, and the limit of losses.

use baobabstage::generated::mesh as wire;
use baobabstage::generated::mesh::MemberState::{self, Draining, Gone, Ready, Suspect};
use baobabstage::member::{Fleet, MemberSet, SetSettings, StandIn};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use test_case::test_case;
use tokio::time::{Duration, Instant};

fn member(name: &str, incarnation: u64, sequence: u64, state: MemberState) -> wire::Member {
    wire::Member {
        name: name.into(),
        incarnation,
        sequence,
        state: state.into(),
        service: "certs".into(),
        domain: "espoo".into(),
        region: "fi-south".into(),
        inbound: format!("{name}:7001"),
        mesh: format!("{name}:7002"),
        slots: 12,
        ..wire::Member::default()
    }
}

fn set() -> MemberSet {
    MemberSet::new("espoo", SetSettings::default())
}

/// Returns a relay that has attached this many daemons of one service, and their records.
fn relay(count: usize, now: Instant) -> (MemberSet, Vec<wire::Member>) {
    let mut set = set();
    set.start_relay();
    let records: Vec<_> = (0..count)
        .map(|index| member(&format!("vm-{index}"), 1, 1, Ready))
        .collect();
    for record in &records {
        set.attach(record.clone(), now);
    }
    (set, records)
}

fn after(now: Instant, time: Duration) -> Instant {
    now + time + Duration::from_millis(1)
}

fn sweep_through(set: &mut MemberSet, from: Instant, time: Duration) -> Instant {
    let ends = after(from, time);
    let mut now = from;
    while now < ends {
        now += Duration::from_secs(1);
        set.sweep(now);
    }
    now
}

/// A version takes longer to read over a slow link than to get from a peer, so the daemons with fast links
/// read it, whatever their names.
#[test]
fn is_reader_slow_links() {
    let fleet = Fleet::new((0..20).map(|index| wire::Member {
        link_mbps: if index == 7 || index == 12 { 100 } else { 5 },
        ..member(&format!("vm-{index:02}"), 1, 1, Ready)
    }));
    let names = fleet.members().keys();
    let readers: Vec<_> = names
        .filter(|name| fleet.is_reader(name, "espoo"))
        .collect();
    assert_eq!(readers, ["vm-07", "vm-12"]);
    // With one of them lost, a slow one replaces it.
    let left = fleet
        .members()
        .values()
        .filter(|member| member.name != "vm-07");
    let fleet = Fleet::new(left.map(|member| wire::Member::clone(member)));
    let names = fleet.members().keys();
    let readers: Vec<_> = names
        .filter(|name| fleet.is_reader(name, "espoo"))
        .collect();
    assert_eq!(readers, ["vm-00", "vm-12"]);
}

/// A daemon with a slow link only stands in for others while they are away and one with a much faster link
/// reads, in whichever failure domain. If the platform turns one of its own failure domain away, it does not.
#[test_case(Ready, &[], &[], true; "one fast daemon left")]
#[test_case(Draining, &[], &[], false; "no fast daemon left")]
#[test_case(Draining, &["vm-20"], &[], true; "fast daemon in another failure domain")]
#[test_case(Draining, &["vm-20"], &["vm-20"], false; "that one turned away")]
#[test_case(Ready, &["vm-20"], &["vm-12"], false; "own one turned away")]
fn is_stand_in_slow_link(state: MemberState, fast: &[&str], lost: &[&str], expected: bool) {
    let fleet = Fleet::new((0..21).map(|index| {
        let name = format!("vm-{index:02}");
        let is_fast = index == 12 || fast.contains(&&*name);
        let state = if index == 12 { state } else { Ready };
        wire::Member {
            link_mbps: if is_fast { 100 } else { 5 },
            platform_lost: lost.contains(&&*name),
            domain: if index == 20 { "lahti" } else { "espoo" }.into(),
            ..member(&name, 1, 1, state)
        }
    }));
    assert!(fleet.is_reader("vm-00", "espoo"));
    assert_eq!(fleet.is_stand_in("vm-00", "espoo"), expected);
    assert!(!fleet.is_stand_in("vm-12", "espoo"));
}

/// Daemons that the platform does not answer are no readers, unless it answers none.
#[test]
fn is_reader_platform_lost() {
    let fleet = |lost: &dyn Fn(usize) -> bool| {
        Fleet::new((0..20).map(|index| wire::Member {
            platform_lost: lost(index),
            ..member(&format!("vm-{index:02}"), 1, 1, Ready)
        }))
    };
    let readers = |fleet: &Fleet| -> Vec<String> {
        let names = fleet.members().keys();
        let readers = names.filter(|name| fleet.is_reader(name, "espoo"));
        readers.cloned().collect()
    };
    let some = readers(&fleet(&|index| index < 5));
    assert_eq!(some, ["vm-05", "vm-06", "vm-07", "vm-08"]);
    let all = readers(&fleet(&|_| true));
    assert_eq!(all, ["vm-00", "vm-01", "vm-02", "vm-03"]);
}

/// Returns a failure domain of 40 daemons, of which the platform does not answer the first ones, and states that
/// it answers the given ones.
fn turned_away(lost: usize, answered: &[usize]) -> Fleet {
    Fleet::new((0..40).map(|index| wire::Member {
        platform_lost: index < lost,
        platform_answers: answered.contains(&index),
        ..member(&format!("vm-{index:02}"), 1, 1, Ready)
    }))
}

/// Guards against a search for a daemon that the platform answers which takes a step for every four that it turns
/// away: more try at once with each step. While one of the usual readers is not turned away, or one that the
/// platform answers is known, nobody searches.
#[test_case(0, &[], 0; "none turned away")]
#[test_case(3, &[], 0; "a usual reader left")]
#[test_case(4, &[], 8; "usual readers turned away")]
#[test_case(16, &[], 20; "first candidates turned away")]
#[test_case(40, &[], 0; "all turned away")]
#[test_case(4, &[15], 0; "one answered")]
#[test_case(16, &[15], 20; "that one turned away")]
fn is_candidate_turned_away(lost: usize, answered: &[usize], expected: usize) {
    let fleet = turned_away(lost, answered);
    let names: Vec<&String> = fleet.members().keys().collect();
    let candidates = names
        .iter()
        .filter(|name| fleet.is_candidate(name, "espoo") && !fleet.is_reader(name, "espoo"));
    assert_eq!(candidates.count(), expected);
    let lost = names[..lost].iter();
    assert_eq!(
        lost.filter(|name| fleet.is_candidate(name, "espoo"))
            .count(),
        0
    );
}

/// Guards against a daemon that stops reading in place of others because daemons precede it of which it is not
/// known whether the platform answers them, and against the statement having an effect while it answers all.
#[test_case(4, &[30], &[4, 5, 6, 7, 30]; "one")]
#[test_case(4, &[20, 21, 22, 23, 24], &[4, 5, 6, 7, 20, 21, 22, 23]; "more than needed")]
#[test_case(0, &[30], &[0, 1, 2, 3]; "none turned away")]
fn is_reader_answered(lost: usize, answered: &[usize], expected: &[usize]) {
    let fleet = turned_away(lost, answered);
    let names = fleet.members().keys().enumerate();
    let readers = names.filter(|(_, name)| fleet.is_reader(name, "espoo"));
    let readers: Vec<usize> = readers.map(|(index, _)| index).collect();
    assert_eq!(readers, expected);
}

/// A reader that the platform turns away tells those that read in its place, and not the whole failure domain; none
/// once one is known that the platform answers.
#[test_case(1, &[], &[1, 2, 3, 4]; "usual readers left")]
#[test_case(4, &[], &[4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15]; "search")]
#[test_case(4, &[15], &[]; "one answered")]
#[test_case(40, &[], &[]; "all turned away")]
fn successors_turned_away(lost: usize, answered: &[usize], expected: &[usize]) {
    let fleet = turned_away(lost, answered);
    let successors = fleet.successors("espoo");
    let names: Vec<&str> = successors.iter().map(|member| &*member.name).collect();
    let expected: Vec<_> = expected.iter().map(|i| format!("vm-{i:02}")).collect();
    assert_eq!(names, expected);
    assert!(fleet.successors("lahti").is_empty());
}

/// Guards against slow daemons reading at once when one fast daemon is shutting down and the return of the other is
/// not known yet. Nobody waits for one that the platform turns away, nor for one as slow.
#[test_case(100, Draining, false, Some(StandIn::Leaving); "draining")]
#[test_case(100, Ready, false, Some(StandIn::Away); "not draining")]
#[test_case(100, Draining, true, None; "draining and turned away")]
#[test_case(5, Draining, false, None; "draining and slow")]
fn stand_in_leaving(link: u32, state: MemberState, lost: bool, expected: Option<StandIn>) {
    let fleet = Fleet::new((0..8).map(|index| wire::Member {
        link_mbps: if index == 0 { link } else { 5 },
        platform_lost: index == 0 && lost,
        ..member(
            &format!("vm-{index:02}"),
            1,
            1,
            if index == 0 { state } else { Ready },
        )
    }));
    assert!(fleet.is_reader("vm-01", "espoo"));
    assert_eq!(fleet.stand_in("vm-01", "espoo"), expected);
}

/// Guards against slow daemons reading in place of fast ones that the platform turns away, while it is known to
/// answer another fast daemon.
#[test_case("vm-01", true, false, true; "in the failure domain")]
#[test_case("vm-20", true, false, true; "in another failure domain")]
#[test_case("vm-20", true, true, false; "turned away again")]
#[test_case("vm-20", false, false, false; "not known to be answered")]
fn is_stand_in_fast_answered(fast: &str, answers: bool, lost: bool, expected: bool) {
    let fleet = Fleet::new((0..21).map(|index| {
        let name = format!("vm-{index:02}");
        let is_other = name == fast;
        wire::Member {
            link_mbps: if index == 0 || is_other { 100 } else { 5 },
            platform_lost: index == 0 || is_other && lost,
            platform_answers: is_other && answers,
            domain: if index == 20 { "lahti" } else { "espoo" }.into(),
            ..member(&name, 1, 1, Ready)
        }
    }));
    assert_eq!(fleet.is_stand_in("vm-05", "espoo"), expected);
}

/// A few daemons of a large failure domain read the configuration; when one of them drains, another
/// replaces it.
#[test]
fn is_reader_large_domain() {
    let fleet = |draining: &str| {
        Fleet::new((0..20).map(|index| {
            let name = format!("vm-{index:02}");
            let state = if name == draining { Draining } else { Ready };
            member(&name, 1, 1, state)
        }))
    };
    let readers = |fleet: &Fleet| -> Vec<String> {
        let names = fleet.members().keys();
        let readers = names.filter(|name| fleet.is_reader(name, "espoo"));
        readers.cloned().collect()
    };
    assert_eq!(readers(&fleet("")), ["vm-00", "vm-01", "vm-02", "vm-03"]);
    let readers = readers(&fleet("vm-01"));
    assert_eq!(readers, ["vm-00", "vm-01", "vm-02", "vm-03", "vm-04"]);
    assert!(Fleet::default().is_reader("vm-09", "espoo"));
    assert!(fleet("").is_reader("vm-09", "lahti"));
}

#[test_case((1, 1, Ready), (1, 1, Suspect); "suspicion over announcement")]
#[test_case((1, 1, Suspect), (1, 1, Gone); "removal over suspicion")]
#[test_case((1, 1, Gone), (1, 2, Ready); "next announcement over removal")]
#[test_case((1, 9, Draining), (2, 1, Ready); "next incarnation over drain")]
#[test_case((1, 1, Ready), (1, 2, Draining); "drain over announcement")]
fn merge_rank(low: (u64, u64, MemberState), high: (u64, u64, MemberState)) {
    let now = Instant::now();
    let low = member("vm-1", low.0, low.1, low.2);
    let high = member("vm-1", high.0, high.1, high.2);
    for records in [[&low, &high], [&high, &low]] {
        let mut set = set();
        set.merge(records.into_iter().cloned().collect(), now);
        assert_eq!(set.record("vm-1"), Some(&high));
        assert_eq!(set.merge(vec![low.clone(), high.clone()], now), []);
    }
}

fn records() -> impl Strategy<Value = Vec<wire::Member>> {
    let record =
        (0_u8..4, 1_u64..3, 1_u64..3, 0_i32..4).prop_map(|(name, incarnation, sequence, state)| {
            wire::Member {
                state,
                domain: format!("domain-{}", name % 2),
                ..member(&format!("vm-{name}"), incarnation, sequence, Ready)
            }
        });
    prop::collection::vec(record, 0..12)
}

fn all(set: &MemberSet) -> Vec<Option<wire::Member>> {
    let names = (0..4).map(|name| format!("vm-{name}"));
    names.map(|name| set.record(&name).cloned()).collect()
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn merge_any_order((records, shuffled) in records()
        .prop_flat_map(|records| (Just(records.clone()), Just(records).prop_shuffle())))
    {
        let now = Instant::now();
        let (mut one, mut other) = (set(), set());
        one.merge(records.clone(), now);
        for record in shuffled {
            other.merge(vec![record], now);
        }
        other.merge(records, now);
        prop_assert_eq!(all(&one), all(&other));
        prop_assert_eq!(one.digest(), other.digest());
        prop_assert_eq!(one.digests(), other.digests());
    }

    #[test]
    fn diff_converges(ours in records(), theirs in records()) {
        let now = Instant::now();
        let (mut one, mut other) = (set(), set());
        one.merge(ours, now);
        other.merge(theirs, now);
        // A tombstone that only one set has needs a second exchange.
        for _ in 0..2 {
            let (records, wanted) = one.diff(&other.digests());
            other.merge(records, now);
            for domain in wanted {
                one.merge(other.records_of(&domain), now);
            }
        }
        prop_assert_eq!(one.digests(), other.digests());
    }
}

#[test]
fn digest_tombstone() {
    let now = Instant::now();
    let mut set = set();
    let empty = set.digest();
    set.merge(vec![member("vm-1", 1, 1, Ready)], now);
    assert_ne!(set.digest(), empty);
    set.merge(vec![member("vm-1", 1, 1, Gone)], now);
    assert_eq!(set.digest(), empty);
    assert_eq!(set.digests(), []);
}

#[test]
fn digest_domain_move() {
    let now = Instant::now();
    let (mut moved, mut fresh) = (set(), set());
    let in_vantaa = wire::Member {
        domain: "vantaa".into(),
        ..member("vm-1", 2, 1, Ready)
    };
    moved.merge(vec![member("vm-1", 1, 1, Ready), in_vantaa.clone()], now);
    fresh.merge(vec![in_vantaa], now);
    assert_eq!(moved.digests(), fresh.digests());
}

#[test]
fn tombstone_late_copy() {
    let now = Instant::now();
    let mut set = set();
    set.merge(vec![member("vm-1", 1, 1, Gone)], now);
    set.merge(vec![member("vm-1", 1, 1, Ready)], now);
    assert_eq!(set.fleet().members().len(), 0);
    set.sweep(after(now, SetSettings::default().tombstone));
    assert_eq!(set.record("vm-1"), None);
}

#[test]
fn detach_time_limits() {
    let now = Instant::now();
    let settings = SetSettings::default();
    let (mut set, _) = relay(4, now);
    set.detach("vm-0", 1, now);
    assert_eq!(set.sweep(now), []);
    let suspected = set.sweep(after(now, settings.suspect_after));
    assert_eq!(suspected, [member("vm-0", 1, 1, Suspect)]);
    assert_eq!(set.fleet().upstreams("certs").len(), 4);
    let removed = set.sweep(after(now, settings.gone_after));
    assert_eq!(removed, [member("vm-0", 1, 1, Gone)]);
    assert_eq!(set.fleet().upstreams("certs").len(), 3);
}

#[test]
fn detach_old_incarnation() {
    let now = Instant::now();
    let (mut set, _) = relay(4, now);
    set.attach(member("vm-0", 2, 1, Ready), now);
    set.detach("vm-0", 1, now);
    assert_eq!(set.sweep(after(now, SetSettings::default().gone_after)), []);
}

#[test]
fn sweep_draining() {
    let now = Instant::now();
    let (mut set, _) = relay(4, now);
    set.attach(member("vm-0", 1, 2, Draining), now);
    set.detach("vm-0", 1, now);
    let changed = set.sweep(after(now, SetSettings::default().suspect_after));
    assert_eq!(changed, [member("vm-0", 1, 2, Gone)]);
}

#[test]
fn mark_attached_until_relay_lost() {
    let now = Instant::now();
    let settings = SetSettings::default();
    let (mut set, _) = relay(4, now);
    let (other, records) = relay(2, now);
    set.detach("vm-0", 1, now);
    set.detach("vm-1", 1, now);
    set.mark_attached("other", other.attached());
    assert_eq!(set.sweep(after(now, settings.gone_after)), []);
    let lost = after(now, settings.gone_after);
    set.clear_attached("other");
    assert_eq!(set.sweep(lost), []);
    let suspected = set.sweep(after(lost, settings.suspect_after));
    assert_eq!(suspected.len(), records.len());
}

#[test]
fn sweep_child() {
    let now = Instant::now();
    let mut set = set();
    set.merge(vec![member("vm-1", 1, 1, Ready)], now);
    sweep_through(&mut set, now, SetSettings::default().keep_limit);
    assert_eq!(set.fleet().upstreams("certs").len(), 1);
}

#[test]
fn sweep_other_domain() {
    let now = Instant::now();
    let (mut set, _) = relay(1, now);
    let in_vantaa = wire::Member {
        domain: "vantaa".into(),
        ..member("vm-9", 1, 1, Ready)
    };
    set.merge(vec![in_vantaa], now);
    sweep_through(&mut set, now, SetSettings::default().keep_limit);
    assert_eq!(set.fleet().upstreams("certs").len(), 2);
}

#[test_case(10, 4, 6; "fewer than half")]
#[test_case(10, 5, 5; "half")]
#[test_case(10, 6, 10; "more than half")]
#[test_case(10, 10, 10; "all")]
#[test_case(1, 1, 1; "the only one")]
fn sweep_loss_at_once(count: usize, lost: usize, remaining: usize) {
    let now = Instant::now();
    let settings = SetSettings::default();
    let (mut set, records) = relay(count, now);
    for record in &records[..lost] {
        set.detach(&record.name, 1, now);
    }
    let now = sweep_through(&mut set, now, settings.gone_after * 2);
    assert_eq!(set.fleet().upstreams("certs").len(), remaining);
    sweep_through(&mut set, now, settings.keep_limit);
    assert_eq!(set.fleet().upstreams("certs").len(), count - lost);
}

#[test]
fn sweep_retained_after_recovery() {
    let now = Instant::now();
    let settings = SetSettings::default();
    let (mut set, records) = relay(10, now);
    for record in &records[..8] {
        set.detach(&record.name, 1, now);
    }
    let now = sweep_through(&mut set, now, settings.gone_after);
    assert_eq!(set.fleet().upstreams("certs").len(), 10);
    for index in 0..4 {
        set.attach(member(&format!("vm-{index}"), 1, 2, Ready), now);
    }
    sweep_through(&mut set, now, Duration::from_secs(2));
    assert_eq!(set.fleet().upstreams("certs").len(), 6);
}

#[test]
fn sweep_loss_within_window() {
    let now = Instant::now();
    let (mut set, records) = relay(10, now);
    let mut at = now;
    for record in &records[..8] {
        set.detach(&record.name, 1, at);
        at = sweep_through(&mut set, at, Duration::from_secs(1));
    }
    sweep_through(&mut set, at, SetSettings::default().gone_after);
    assert!(set.fleet().upstreams("certs").len() > 5);
}

#[test_case("vm-1"; "under the same name")]
#[test_case("vm-2"; "under another name")]
fn sweep_superseded(name: &str) {
    let now = Instant::now();
    let (mut set, _) = relay(0, now);
    set.attach(member("vm-1", 1, 7, Ready), now);
    set.detach("vm-1", 1, now);
    let new = wire::Member {
        inbound: "vm-1:7001".into(),
        ..member(name, 2, 1, Ready)
    };
    set.attach(new.clone(), now);
    let fleet = set.fleet();
    assert_eq!(fleet.upstreams("certs"), [new.into()]);
    set.sweep(now);
    let old = set.record("vm-1").map(|record| record.incarnation);
    let removed = set.record("vm-1").is_some_and(|r| r.state() == Gone);
    assert!(old == Some(2) || removed);
}

#[test]
fn refutation_outranked() {
    let now = Instant::now();
    let mut set = set();
    let own = member("vm-1", 1, 3, Ready);
    assert_eq!(set.refutation(&own), None);
    set.merge(vec![own.clone()], now);
    assert_eq!(set.refutation(&own), None);
    set.merge(vec![member("vm-1", 1, 3, Suspect)], now);
    assert_eq!(set.refutation(&own), Some(4));
    set.merge(vec![member("vm-1", 2, 1, Ready)], now);
    assert_eq!(set.refutation(&own), None);
}
