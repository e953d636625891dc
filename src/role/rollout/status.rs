//! The state of a rollout that operators read in the platform.

use super::record;
use crate::daemon::Daemon;
use crate::event;
use crate::platform::{PlatformError, Swap};
use crate::rollout::registry::Rollout;
use crate::site::Rollouts;
use bytes::Bytes;

/// The state as it was last read or written.
#[derive(Default)]
pub(super) struct Status {
    known: Option<(Bytes, u64)>,
}

impl Status {
    /// Reads the state, unless it is known.
    ///
    /// A write expects the revision that was read before this daemon's last write of the step record. So it fails
    /// if another decider has written the state in between.
    pub(super) async fn prepare(
        &mut self,
        daemon: &Daemon,
        source: &Rollouts,
        service: &str,
    ) -> Result<(), PlatformError> {
        if self.known.is_none() {
            let key = (source.status_key)(service);
            let entry = daemon.store.platform().get(&key).await?;
            let entry = entry.map(|entry| (entry.value, entry.revision));
            self.known = Some(entry.unwrap_or_default());
        }
        Ok(())
    }

    /// Writes the state of a rollout, if it is not the known one. Returns whether it is written.
    pub(super) async fn write(
        &mut self,
        daemon: &Daemon,
        source: &Rollouts,
        rollout: &Rollout,
    ) -> Result<bool, PlatformError> {
        let value = (source.encode_status)(rollout.phase(), &rollout.order.version);
        let Some((_, revision)) = self.known.take_if(|known| known.0 != value) else {
            return Ok(self.known.is_some());
        };
        let key = (source.status_key)(&rollout.order.service);
        let platform = daemon.store.platform();
        let swap = platform.swap(&key, revision, Some(value.clone()), 0);
        let Swap::Done(revision) = swap.await? else {
            return Ok(false);
        };
        self.known = Some((value, revision));
        event!(
            RolloutStatus,
            key = key,
            order = rollout.order.revision,
            phase = format_args!("{:?}", rollout.phase()),
        );
        Ok(true)
    }

    /// Writes the state of a rollout that has ended. Returns whether it is written, or no longer to be: the step
    /// record is of a newer order.
    pub(super) async fn write_final(
        &mut self,
        daemon: &Daemon,
        source: &Rollouts,
        rollout: &Rollout,
    ) -> Result<bool, PlatformError> {
        let service = &rollout.order.service;
        self.known = None;
        self.prepare(daemon, source, service).await?;
        let stored = record::read(daemon, service).await?;
        let stored = stored.rollout;
        let order = rollout.order.revision;
        if stored.is_some_and(|stored| stored.order.revision > order) {
            return Ok(true);
        }
        self.write(daemon, source, rollout).await
    }
}
