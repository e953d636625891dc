//! The decision on the next step of a rollout.

use super::{Evidence, ExposureLimits, Order, Step};
use tokio::time::Instant;

/// A daemon of the service with its backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// The name of the daemon.
    pub daemon: String,
    /// The version of the backend server.
    pub version: String,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it takes calls.
    pub ready: bool,
}

/// The decision on a rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The step stays as it is.
    Hold,
    /// The next step; its phase is not final.
    Next(Step),
    /// The rollout ends: all calls go to the new version.
    Complete,
    /// The rollout ends, for the given reason: no call goes to the new version.
    RollBack(String),
}

/// The state of the decision on one order, at the decider. A daemon that takes over begins with a new one,
/// given the last step.
#[derive(Debug)]
pub struct Plan {
    order: Order,
    limits: ExposureLimits,
    ordered: Instant,
}

impl Plan {
    /// Creates the state for an order that was given at `ordered`.
    #[must_use]
    pub fn new(order: Order, limits: ExposureLimits, ordered: Instant) -> Self {
        Plan {
            order,
            limits,
            ordered,
        }
    }

    /// Decides on the next step, given the last one, the backend servers of the service now, and what has
    /// been counted.
    pub fn decide(
        &mut self,
        now: Instant,
        step: Option<&Step>,
        servers: &[Server],
        evidence: &Evidence,
    ) -> Decision {
        let _ = (now, step, servers, evidence);
        let _ = (&self.order, self.limits, self.ordered);
        Decision::Hold
    }
}
