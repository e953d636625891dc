//! The targets of a trial and the share of the calls that they get.

use super::{Server, WHOLE};
use std::collections::BTreeSet;

/// Targets of a trial, so that one faulty backend server can be distinguished from a bad version.
pub(super) const TARGETS: usize = 3;
/// Load of a target relative to an old backend server, per slot.
const LEAST_LOAD: f64 = 1.15;
/// The greatest such load, where the new backend servers are fewer than the old ones.
const GREATEST_LOAD: f64 = 1.4;
/// The greatest share of a trial, in thousandths.
const GREATEST_SHARE: u32 = 90;

/// Chooses the targets: those of `kept` that are still eligible, and further ones that are not in `avoided`,
/// spread over the backend servers in the order of their names.
///
/// All targets get as many calls as each other, so those with the most common number of slots come first.
pub(super) fn targets(
    new: &[&Server],
    kept: &BTreeSet<&str>,
    avoided: &BTreeSet<&str>,
) -> Vec<String> {
    let slots = common_slots(new);
    let is_kept = |server: &&&Server| kept.contains(server.daemon.as_str());
    let kept_servers = new.iter().filter(is_kept);
    let mut chosen: BTreeSet<&str> = kept_servers.map(|server| server.daemon.as_str()).collect();
    let is_open = |server: &&&Server| {
        let name = server.daemon.as_str();
        !kept.contains(name) && !avoided.contains(name)
    };
    let open = new.iter().filter(is_open);
    let (usual, other): (Vec<&&Server>, Vec<&&Server>) =
        open.partition(|server| server.slots == slots);
    for group in [usual, other] {
        let missing = TARGETS.saturating_sub(chosen.len()).min(group.len());
        for index in 0..missing {
            chosen.insert(&group[index * group.len() / missing].daemon);
        }
    }
    chosen.into_iter().map(str::to_owned).collect()
}

/// The most common number of slots.
fn common_slots(servers: &[&Server]) -> u32 {
    let count = |slots: u32| {
        servers
            .iter()
            .filter(|server| server.slots == slots)
            .count()
    };
    let slots = servers.iter().map(|server| server.slots);
    slots.max_by_key(|slots| count(*slots)).unwrap_or(0)
}

/// The share that loads the targets a little more than the old backend servers, or as much as all calls will
/// load all new ones, within limits.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn share(new: &[&Server], old: &[&Server], targets: &[String]) -> u32 {
    let old = slots(old);
    if old == 0 {
        return GREATEST_SHARE;
    }
    let load = f64::from(old) / f64::from(slots(new).max(1));
    let load = load.clamp(LEAST_LOAD, GREATEST_LOAD);
    let is_target = |server: &&&Server| targets.contains(&server.daemon);
    let targets: u32 = new
        .iter()
        .filter(is_target)
        .map(|server| server.slots)
        .sum();
    let share = f64::from(WHOLE) * load * f64::from(targets) / f64::from(old);
    (share.round() as u32).clamp(1, GREATEST_SHARE)
}

/// The slots of all given backend servers.
pub(super) fn slots(servers: &[&Server]) -> u32 {
    servers.iter().map(|server| server.slots).sum()
}
