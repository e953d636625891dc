//! The choice between versions of a service's backend servers during a rollout.

use super::attempt::Call;
use crate::call::RefusalReason;
use crate::call::split::Side;
use crate::call::view::ServiceView;
use crate::rollout::Phase;
use std::sync::Arc;
use tokio::time::Instant;

impl Call<'_> {
    /// Limits the call to the backend servers of one side, if its service has a rollout.
    ///
    /// A call whose idempotency key an inbound side records stays with the other versions until the rollout is
    /// completed, so that a copy of it reaches the same record.
    pub(super) fn choose_version(&mut self) {
        let rollouts = self.daemon.rollouts.load();
        let Some(rollout) = rollouts.get(&self.service.name) else {
            return;
        };
        let split = self.service.split(rollout);
        let is_running = !rollout.phase().is_final();
        self.side = match split.side(rollout, Instant::now()) {
            Side::Version if self.key.is_some() && is_running && split.has_others() => Side::Others,
            side => side,
        };
        self.mark = split.mark(self.side).cloned();
        let falls_back = self.side == Side::Version && is_running;
        let others = split.view(Side::Others).filter(|_| falls_back);
        self.fallback = others.cloned();
        if let Some(view) = split.view(self.side) {
            self.service = Arc::clone(view);
        }
    }

    /// Tests whether the next attempt is made at another version, after one that ended for this reason.
    ///
    /// In a trial the ordered version gets one attempt of a call. Later, an upstream that is only busy leads to
    /// another one of the same version.
    pub(super) fn leaves_version(&self, reason: RefusalReason) -> bool {
        let rollouts = self.daemon.rollouts.load();
        let phase = rollouts.get(&self.service.name).map(|known| known.phase());
        phase == Some(Phase::Trial) || reason != RefusalReason::Busy
    }

    /// Limits further attempts to other versions; returns false if the call was not at the ordered one.
    pub(super) fn fall_back(&mut self) -> bool {
        let Some(others) = self.fallback.take() else {
            return false;
        };
        if others.group.upstreams().is_empty() {
            return false;
        }
        self.service = others;
        self.side = Side::Others;
        self.mark = None;
        true
    }

    /// Returns those upstreams of a newer view of the service that are on the side of this call.
    pub(super) fn same_side(&self, service: &Arc<ServiceView>) -> Arc<ServiceView> {
        let rollouts = self.daemon.rollouts.load();
        let rollout = rollouts.get(&self.service.name);
        let split = rollout.map(|rollout| service.split(rollout));
        let view = split.as_ref().and_then(|split| split.view(self.side));
        Arc::clone(view.unwrap_or(service))
    }
}
