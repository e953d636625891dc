//! Rollouts: moving the traffic of a service to another version of its backend servers.
//!
//! An operator's [`Order`] names the version. One daemon at a time, the decider, publishes a [`Step`]
//! after another: how large a share of the calls goes to which backend servers of that version. It decides
//! by the [`Evidence`] that the daemons beside all backend servers of the service count; see [`plan`].

mod cell;
mod compare;
pub mod counters;
pub mod evidence;
mod history;
pub mod plan;
pub mod registry;
pub mod tenure;
mod trial;
pub mod wire;

pub use cell::{RolloutCell, phase_name, send, serve};
pub use evidence::{Counts, Evidence, ServerCounts, ServerKey};
pub use plan::{Decision, Plan, Server};

use std::time::Duration;

/// An operator's order to move the traffic of a service to backend servers of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: String,
    /// The version of the backend servers that are to receive the traffic.
    pub version: String,
    /// Time from the order until its deadline.
    pub duration: Duration,
    /// The platform revision of the order, which identifies it.
    pub revision: u64,
}

/// The phase of a rollout. Phases only follow each other in this order, except that a rollout is rolled back
/// from any phase before [`Phase::Completed`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// A small share of the calls goes to a few backend servers of the new version.
    Trial,
    /// The share grows to the whole.
    Shift,
    /// Final: all calls go to the new version, and the old backend servers end.
    Completed,
    /// Final: no call goes to the new version.
    RolledBack,
}

impl Phase {
    /// Tests whether the rollout has ended.
    #[must_use]
    pub fn is_final(self) -> bool {
        matches!(self, Phase::Completed | Phase::RolledBack)
    }
}

/// The share of all calls, in thousandths.
pub const WHOLE: u32 = 1_000;

/// The state of a rollout, as the decider publishes it. Of two steps of one order, the one with the greater
/// number counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The revision of the order.
    pub order: u64,
    /// Greater for each step of an order.
    pub number: u64,
    /// The phase.
    pub phase: Phase,
    /// The share of the service's calls that go to the new version, in thousandths.
    pub share: u32,
    /// The names of the daemons whose backend servers receive them; all of the version once the share is the
    /// whole.
    pub targets: Vec<String>,
}

/// The permitted exposure of callers to a bad version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimits {
    /// The greatest share of the service's calls between the order and its deadline, from 0 to 1.
    pub share: f64,
    /// Calls in addition to that share.
    pub slack: u32,
    /// Time after the fiftieth bad answer in which the version may still receive calls.
    pub rollback: Duration,
}
