//! Metrics of the process as a whole; the roles register their own.

use super::is_ready;
use crate::daemon::Daemon;
use crate::event::Event;
use crate::kernel::Restarts;
use prometheus_client::collector::Collector;
use prometheus_client::encoding::{DescriptorEncoder, EncodeMetric};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Unit;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use tokio::time::Instant;

/// Reads the metrics from the daemon's state at each scrape.
pub struct CoreMetrics {
    daemon: Arc<Daemon>,
    started: Instant,
}

impl CoreMetrics {
    /// Creates the collector. Uptime counts from the first call for this daemon.
    pub fn new(daemon: Arc<Daemon>) -> Self {
        let started = *daemon.component(Instant::now);
        CoreMetrics { daemon, started }
    }

    fn encode_config(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        let config = &self.daemon.config;
        let version = config.stamp().version;
        gauge(
            encoder,
            "config_version",
            "Version of the configuration in force",
            version,
        )?;
        gauge(
            encoder,
            "config_floor_version",
            "Least version that may be put in force",
            config.floor(),
        )?;
        let ready = u64::from(is_ready(&self.daemon));
        gauge(encoder, "ready", "Whether the daemon takes calls", ready)
    }

    fn encode_process(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        let in_flight = self.daemon.drain.in_flight() as u64;
        gauge(
            encoder,
            "calls_in_flight",
            "Calls that are being answered",
            in_flight,
        )?;
        let uptime = self.started.elapsed().as_secs_f64();
        let help = "Time since the start of the process";
        let unit = Unit::Seconds;
        let metric = encoder.encode_descriptor("uptime", help, Some(&unit), MetricType::Gauge)?;
        ConstGauge::new(uptime).encode(metric)
    }

    fn encode_members(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        let fleet = self.daemon.fleet.load();
        let mut states: BTreeMap<String, u64> = BTreeMap::new();
        for member in fleet.members().values() {
            let state = member.state().as_str_name().to_lowercase();
            *states.entry(state).or_default() += 1;
        }
        let help = "Daemons known, by state";
        let mut metric = encoder.encode_descriptor("members", help, None, MetricType::Gauge)?;
        for (state, count) in states {
            let labels = [("state", state)];
            ConstGauge::new(count).encode(metric.encode_family(&labels)?)?;
        }
        Ok(())
    }

    fn encode_restarts(&self, encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
        let restarts = self.daemon.component(Restarts::default).counts();
        let help = "Starts of a role after it failed";
        let mut metric =
            encoder.encode_descriptor("role_restarts", help, None, MetricType::Counter)?;
        for (role, count) in restarts {
            let labels = [("role", role)];
            ConstCounter::new(count).encode(metric.encode_family(&labels)?)?;
        }
        Ok(())
    }
}

impl Collector for CoreMetrics {
    fn encode(&self, mut encoder: DescriptorEncoder<'_>) -> fmt::Result {
        self.encode_config(&mut encoder)?;
        self.encode_process(&mut encoder)?;
        self.encode_members(&mut encoder)?;
        self.encode_restarts(&mut encoder)?;
        encode_events(&mut encoder)
    }
}

impl fmt::Debug for CoreMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CoreMetrics").finish_non_exhaustive()
    }
}

fn encode_events(encoder: &mut DescriptorEncoder<'_>) -> fmt::Result {
    let help = "Log events, by number";
    let mut metric = encoder.encode_descriptor("log_events", help, None, MetricType::Counter)?;
    for event in Event::ALL.iter().filter(|event| event.count() > 0) {
        let labels = [("number", event.number().to_string())];
        ConstCounter::new(event.count()).encode(metric.encode_family(&labels)?)?;
    }
    Ok(())
}

fn gauge(encoder: &mut DescriptorEncoder<'_>, name: &str, help: &str, value: u64) -> fmt::Result {
    let metric = encoder.encode_descriptor(name, help, None, MetricType::Gauge)?;
    ConstGauge::new(value).encode(metric)
}
