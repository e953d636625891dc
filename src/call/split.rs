//! Division of a service's upstreams by version during a rollout.

use super::view::ServiceView;
use crate::rollout::registry::Rollout;
use crate::rollout::{Phase, WHOLE};
use http::HeaderValue;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::time::Instant;

/// The fractional parts of its multiples are spread evenly over 0 to 1.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// The upstreams that a call may be sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Side {
    /// All: the service has no rollout.
    #[default]
    All,
    /// Those of the ordered version that take calls by the current step.
    Version,
    /// Those of other versions.
    Others,
}

/// The upstreams of a service, divided by one step of a rollout.
pub struct Split {
    order: u64,
    /// The number of the step; `None` before the first one.
    number: Option<u64>,
    /// Those that the step names, or all of the version once it is completed.
    version: Arc<ServiceView>,
    others: Arc<ServiceView>,
    /// Calls divided, counted from a random number, so that daemons do not send the calls of a small share in step.
    count: AtomicU64,
    /// The mark of calls that are sent to the version.
    mark: Option<HeaderValue>,
}

impl Split {
    /// Divides the upstreams of a service by the newest step of its rollout.
    #[must_use]
    pub fn new(service: &ServiceView, rollout: &Rollout) -> Self {
        let (order, number) = key(rollout);
        let version = rollout.order.version.as_str();
        let completed = rollout.phase() == Phase::Completed;
        let step = rollout.step();
        let is_target = |name: &String| step.is_some_and(|step| step.targets.contains(name));
        let targets =
            service.subset(|info| info.version == version && (completed || is_target(&info.name)));
        Split {
            order,
            number,
            version: Arc::new(targets),
            others: Arc::new(service.subset(|info| rollout.is_established(&info.version))),
            count: AtomicU64::new(rand::random::<u32>().into()),
            mark: HeaderValue::try_from(format!("{order}.{}", number.unwrap_or(0))).ok(),
        }
    }

    /// Tests whether the division is by the newest step of this rollout.
    #[must_use]
    pub fn is_by(&self, rollout: &Rollout) -> bool {
        (self.order, self.number) == key(rollout)
    }

    /// Returns the side of the next call. Those of the share for the version are spread evenly over all calls.
    #[must_use]
    pub fn side(&self, rollout: &Rollout, now: Instant) -> Side {
        let has_version = !self.version.group.upstreams().is_empty();
        let has_others = self.has_others();
        let share = match rollout.phase() {
            Phase::RolledBack => return Side::Others,
            Phase::Completed => WHOLE,
            Phase::Trial | Phase::Shift => rollout.current(now).map_or(0, |step| step.share),
        };
        if has_version && share > 0 && (!has_others || self.is_next_in(share)) {
            Side::Version
        } else if has_others {
            Side::Others
        } else {
            // The rollout may have ended long ago, which this daemon has not learnt yet. The inbound sides decide.
            Side::All
        }
    }

    /// Counts a call, and tests whether it is one of the share, in thousandths.
    fn is_next_in(&self, share: u32) -> bool {
        if share >= WHOLE {
            return true;
        }
        let count = self.count.fetch_add(1, Ordering::Relaxed) % (1 << 32);
        // The count is below 2^32, which an f64 holds exactly.
        #[allow(clippy::cast_precision_loss)]
        let multiple = count as f64 * GOLDEN_RATIO;
        multiple.fract() * f64::from(WHOLE) < f64::from(share)
    }

    /// Tests whether there are upstreams of other versions.
    #[must_use]
    pub fn has_others(&self) -> bool {
        !self.others.group.upstreams().is_empty()
    }

    /// Returns the upstreams of a side; `None` for [`Side::All`].
    #[must_use]
    pub fn view(&self, side: Side) -> Option<&Arc<ServiceView>> {
        match side {
            Side::All => None,
            Side::Version => Some(&self.version),
            Side::Others => Some(&self.others),
        }
    }

    /// Returns the mark of a call that is sent to this side.
    #[must_use]
    pub fn mark(&self, side: Side) -> Option<&HeaderValue> {
        self.mark.as_ref().filter(|_| side == Side::Version)
    }
}

fn key(rollout: &Rollout) -> (u64, Option<u64>) {
    let number = rollout.step().map(|step| step.number);
    (rollout.order.revision, number)
}
