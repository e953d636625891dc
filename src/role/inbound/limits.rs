//! The limits of the backend server, from the configuration and from its responses.

use super::{Inbound, unavailable};
use crate::call::admission::Limits;
use crate::call::{Refusal, RefusalReason};
use crate::daemon::Daemon;
use crate::event;
use crate::sync::lock;

impl Inbound {
    /// Applies the rate limit that the backend server's last response stated. It holds for the calls
    /// of all daemons, which all come through this one.
    pub(super) fn update_rate_limit(&self, rate: Option<f64>) {
        let mut current = lock(&self.rate_limit);
        if *current != rate {
            let text = |rate: Option<f64>| rate.map_or("none".to_owned(), |rate| rate.to_string());
            event!(BackendRateLimit, rate = text(rate), before = text(*current));
            *current = rate;
            self.gate.set_rate(rate);
        }
    }

    /// Updates the limits to the configuration in force and the slots that the backend server
    /// reports.
    pub(super) fn update_limits(&self, daemon: &Daemon) -> Result<(), Refusal> {
        let Some(name) = &self.service else {
            return Err(unavailable(
                "daemon has no backend server",
                RefusalReason::Down,
            ));
        };
        let table = daemon.config.table();
        let service = table.service_named(name);
        let service =
            service.ok_or_else(|| unavailable("service is not configured", RefusalReason::Down))?;
        let connections = service.pool.connections;
        let slots = daemon.backend.load().slots.unwrap_or(service.pool.slots);
        self.pool.set_limit(connections as usize);
        self.gate.set_limits(Limits {
            slots: slots.min(connections),
            queue: service.policy.queue,
        });
        Ok(())
    }
}
