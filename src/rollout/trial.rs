//! The targets of a step and the share of the calls that they get.

use super::compare::COLD_FACTOR;
use super::{Server, WHOLE};
use std::collections::BTreeSet;

/// Targets of a trial, so that one faulty backend server can be distinguished from a bad version.
pub(super) const TARGETS: usize = 3;
/// Load of a target per slot, relative to an old backend server.
const LEAST_LOAD: f64 = 1.15;
/// The greatest such load, where the new backend servers are fewer than the old ones.
const GREATEST_LOAD: f64 = 1.4;
/// Use of the slots of a target beyond which it is overloaded.
const GREATEST_USE: f64 = 0.8;
/// The load of a target that has just started is not reduced below this.
const LEAST_COLD_LOAD: f64 = 0.4;

/// The backend servers of a service that take calls, by version.
pub(super) struct Servers<'a> {
    /// Those of the version of the order.
    pub(super) new: Vec<&'a Server>,
    /// The others.
    pub(super) old: Vec<&'a Server>,
}

impl Servers<'_> {
    /// The names of the daemons of all new backend servers, in order.
    pub(super) fn names(&self) -> Vec<String> {
        let names: BTreeSet<&String> = self.new.iter().map(|server| &server.daemon).collect();
        names.into_iter().cloned().collect()
    }

    /// Chooses `count` targets: those of `kept` that are still there, and further ones that are not in
    /// `avoided`, spread over the backend servers in the order of their names.
    ///
    /// All targets get as many calls as each other, so those with the most common number of slots come first.
    pub(super) fn targets(
        &self,
        count: usize,
        kept: &BTreeSet<&str>,
        avoided: &BTreeSet<&str>,
    ) -> Vec<String> {
        let slots = self.common_slots();
        let names = self.new.iter().map(|server| server.daemon.as_str());
        let mut chosen: BTreeSet<&str> = names.filter(|name| kept.contains(name)).collect();
        let is_open = |server: &&&Server| {
            let name = server.daemon.as_str();
            !kept.contains(name) && !avoided.contains(name)
        };
        let open = self.new.iter().filter(is_open);
        let (usual, other): (Vec<&&Server>, Vec<&&Server>) =
            open.partition(|server| server.slots == slots);
        for group in [usual, other] {
            let missing = count.saturating_sub(chosen.len()).min(group.len());
            for index in 0..missing {
                chosen.insert(&group[index * group.len() / missing].daemon);
            }
        }
        chosen.into_iter().map(str::to_owned).collect()
    }

    /// The most common number of slots of the new backend servers.
    fn common_slots(&self) -> u32 {
        let slots = || self.new.iter().map(|server| server.slots);
        let count = |wanted: u32| slots().filter(|slots| *slots == wanted).count();
        slots().max_by_key(|slots| count(*slots)).unwrap_or(0)
    }

    /// Load of a target relative to an old backend server: a little more, or as much as all calls put on all
    /// new backend servers, within limits. Of the old backend servers, `busy` slots are in use.
    pub(super) fn load(&self, busy: f64, cold: bool) -> f64 {
        let old = f64::from(slots(&self.old));
        let load = old / f64::from(slots(&self.new).max(1));
        let load = load.clamp(LEAST_LOAD, GREATEST_LOAD);
        if !cold || busy <= 0.0 {
            return load;
        }
        let greatest = GREATEST_USE / COLD_FACTOR * old / busy;
        load.min(greatest.max(LEAST_COLD_LOAD))
    }

    /// The share, in thousandths, that puts `load` on the targets, up to `greatest`. It is zero only if `greatest` is.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(super) fn share(&self, targets: &[String], load: f64, greatest: f64) -> u32 {
        let old = slots(&self.old);
        let is_target = |server: &&&Server| targets.contains(&server.daemon);
        let targets = self.new.iter().filter(is_target);
        let targets: u32 = targets.map(|server| server.slots).sum();
        let share = load * f64::from(targets) / f64::from(old.max(1));
        let share = if old == 0 {
            greatest
        } else {
            share.min(greatest)
        };
        let least = if greatest > 0.0 { 1.0 } else { 0.0 };
        (share * f64::from(WHOLE)).floor().max(least) as u32
    }

    /// The number of targets on which `share` puts about `load`.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss
    )]
    pub(super) fn count(&self, share: f64, load: f64) -> usize {
        let each = f64::from(slots(&self.new)) / self.new.len().max(1) as f64;
        let slots = share * f64::from(slots(&self.old)) / load;
        ((slots / each.max(1.0)) as usize).clamp(TARGETS, self.new.len().max(TARGETS))
    }
}

fn slots(servers: &[&Server]) -> u32 {
    servers.iter().map(|server| server.slots).sum()
}
