//! The rollouts that a daemon knows, as its roles share them, and the messages about them.

use super::counters::Counters;
use super::registry::{Merged, Registry, Rollout};
use super::{Evidence, Phase, ServerCounts, ServerKey, wire as convert};
use crate::call::ROLLOUT;
use crate::daemon::Daemon;
use crate::event;
use crate::exchange::{ExchangeError, post};
use crate::generated::mesh as wire;
use crate::serve::{Body, full_body};
use crate::sync::lock;
use crate::transfer::receive;
use arc_swap::{ArcSwap, Guard};
use http::{HeaderValue, Request, Response, StatusCode};
use prost::Message;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Greatest length of a message, in bytes.
const MAX_LEN: usize = 1024 * 1024;

/// Time without a byte after which a message is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Least time by which the renewal that a response states is newer than the known one, for it to be merged. So most
/// responses change nothing.
const CONFIRM_AGE: Duration = Duration::from_millis(500);

/// The rollouts that a daemon knows.
#[derive(Default)]
pub struct RolloutCell {
    registry: ArcSwap<Registry>,
    /// Held while the registry is replaced.
    writing: Mutex<()>,
    /// Counts the changes of orders and steps.
    changes: watch::Sender<u64>,
    /// Whether this daemon knows the orders that others know, has nobody to ask, or has waited long enough for them.
    synced: watch::Sender<bool>,
    /// Whether it has received them from the platform or from an informed daemon, or there is nobody to ask.
    informed: AtomicBool,
    /// A daemon that has stated a newer step than is known here.
    holder: watch::Sender<Option<SocketAddr>>,
    counters: Arc<Counters>,
    /// The evidence received, for the newest order of this daemon's service.
    evidence: Mutex<(u64, Arc<Evidence>)>,
}

impl RolloutCell {
    /// Returns the known rollouts.
    #[must_use]
    pub fn load(&self) -> Guard<Arc<Registry>> {
        self.registry.load()
    }

    /// Returns the rollout of a service.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<Arc<Rollout>> {
        self.registry.load().get(service).cloned()
    }

    /// Returns the counts of the calls of this daemon's backend server.
    #[must_use]
    pub fn counters(&self) -> &Arc<Counters> {
        &self.counters
    }

    /// Returns a receiver that is notified when an order or a step has changed.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns a receiver of the daemons that state newer steps than are known here.
    #[must_use]
    pub fn holders(&self) -> watch::Receiver<Option<SocketAddr>> {
        self.holder.subscribe()
    }

    /// Tests whether this daemon need not wait for orders any longer.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        *self.synced.borrow()
    }

    /// Tests whether this daemon knows the orders that others know, or there is nobody to ask.
    #[must_use]
    pub fn is_informed(&self) -> bool {
        self.informed.load(Ordering::Acquire)
    }

    /// Records that this daemon knows the orders that others know, or that there is nobody to ask.
    pub fn mark_informed(&self) {
        self.informed.store(true, Ordering::Release);
    }

    /// Records that this daemon need not wait for orders any longer.
    pub fn mark_synced(&self) {
        self.synced.send_replace(true);
    }

    /// Waits until this daemon need not wait for orders any longer.
    pub async fn wait_synced(&self) {
        // The sender lives as long as `self`.
        let _ = self.synced.subscribe().wait_for(|synced| *synced).await;
    }

    /// Merges a rollout, and logs a change.
    pub fn merge(&self, rollout: Rollout) -> Merged {
        let service = rollout.order.service.clone();
        let merged = self.update(|registry| registry.merge(rollout));
        if merged == Merged::Changed {
            self.note_change(&service);
        }
        merged
    }

    /// Records that the order of a service was deleted; returns whether that is new.
    pub fn remove(&self, service: &str) -> bool {
        let is_new = self.update(|registry| registry.remove(service));
        if is_new {
            self.note_change(service);
        }
        is_new
    }

    fn update<T>(&self, update: impl FnOnce(&mut Registry) -> T) -> T {
        let _writing = lock(&self.writing);
        let mut registry = Registry::clone(&self.registry.load());
        let result = update(&mut registry);
        self.registry.store(Arc::new(registry));
        result
    }

    fn note_change(&self, service: &str) {
        if let Some(rollout) = self.get(service) {
            let step = rollout.step();
            event!(
                RolloutChanged,
                service = service,
                version = rollout.order.version,
                order = rollout.order.revision,
                removed = rollout.removed,
                step = step.map_or(0, |step| step.number),
                phase = format_args!("{:?}", rollout.phase()),
                share = step.map_or(0, |step| step.share),
                targets = step.map_or(0, |step| step.targets.len()),
                reason = rollout.published.as_ref().map_or("", |p| &p.reason),
            );
        }
        self.changes.send_modify(|count| *count += 1);
    }

    /// Starts or stops counting calls, by the state of the rollout of this daemon's own service.
    pub fn update_counters(&self, service: &str) {
        match self.get(service) {
            Some(rollout) if !rollout.phase().is_final() => self.counters.start(&rollout.order),
            _ => self.counters.end(),
        }
    }

    /// Merges evidence about an order; that about an older order is left out.
    pub fn merge_evidence(&self, order: u64, key: ServerKey, counts: ServerCounts) {
        let mut evidence = lock(&self.evidence);
        if evidence.0 < order {
            *evidence = (order, Arc::default());
        }
        if evidence.0 == order {
            Arc::make_mut(&mut evidence.1).merge(key, counts);
        }
    }

    /// Returns the evidence received about an order. It is copied only if a report arrives while it is in use, so that a
    /// long decision does not hold up the reports.
    #[must_use]
    pub fn evidence(&self, order: u64) -> Arc<Evidence> {
        let evidence = lock(&self.evidence);
        if evidence.0 == order {
            Arc::clone(&evidence.1)
        } else {
            Arc::default()
        }
    }

    /// Returns the hash over all known orders and steps; zero if there are none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.registry.load().digest()
    }

    /// Returns all known rollouts as messages.
    #[must_use]
    pub fn messages(&self) -> Vec<wire::Rollout> {
        let now = Instant::now();
        let registry = self.registry.load();
        let rollouts = registry.iter();
        rollouts
            .map(|rollout| convert::encode(rollout, now))
            .collect()
    }

    /// Merges received rollouts.
    pub fn merge_messages(&self, rollouts: Vec<wire::Rollout>) {
        let now = Instant::now();
        for rollout in rollouts {
            self.merge(convert::decode(rollout, now));
        }
    }

    /// Returns the mark of a service's responses: the order, the number of the newest step, and the milliseconds
    /// since its last renewal; `None` without an order.
    ///
    /// The age is passed on, since daemons that only confirmed to each other that a step is in force would keep
    /// it so after its decider is gone.
    #[must_use]
    pub fn mark(&self, service: &str) -> Option<HeaderValue> {
        let registry = self.registry.load();
        let rollout = registry.get(service)?;
        let number = rollout.step().map_or(0, |step| step.number);
        let renewed = rollout
            .published
            .as_ref()
            .and_then(|published| published.renewed);
        let age = renewed.map(|at| at.elapsed().as_millis().to_string());
        let (order, age) = (rollout.order.revision, age.as_deref().unwrap_or("-"));
        HeaderValue::try_from(format!("{order}.{number}.{age}")).ok()
    }

    /// Reads the mark of a response: it renews the step known here, or shows that another daemon has a newer one.
    pub fn note_mark(&self, service: &str, mark: &str, holder: SocketAddr) {
        let mut fields = mark.split('.').map(|field| field.parse::<u64>().ok());
        let (Some(Some(order)), Some(Some(number))) = (fields.next(), fields.next()) else {
            return;
        };
        let age = fields.next().flatten().map(Duration::from_millis);
        let renewed = age.and_then(|age| Instant::now().checked_sub(age));
        let known = self.get(service);
        let step = |rollout: &Rollout| rollout.step().map_or(0, |step| step.number);
        let known_step = known
            .as_ref()
            .map(|known| (known.order.revision, step(known)));
        if known_step.is_none_or(|known| known < (order, number)) {
            self.holder.send_replace(Some(holder));
            return;
        }
        let Some(renewed) = renewed.filter(|_| known_step == Some((order, number))) else {
            return;
        };
        let known = known.and_then(|known| known.published.as_ref()?.renewed);
        if known.is_none_or(|known| renewed.saturating_duration_since(known) >= CONFIRM_AGE) {
            self.update(|registry| registry.confirm(service, order, number, renewed));
        }
    }

    /// Merges the message of another daemon, and returns the response to it.
    #[must_use]
    pub fn respond(&self, report: wire::RolloutReport) -> wire::RolloutReport {
        self.merge_messages(report.rollouts);
        for evidence in report.evidence {
            let order = evidence.order;
            let (key, counts) = convert::decode_counts(evidence);
            self.merge_evidence(order, key, counts);
        }
        wire::RolloutReport {
            rollouts: if report.wants {
                self.messages()
            } else {
                Vec::new()
            },
            synced: self.is_informed(),
            ..wire::RolloutReport::default()
        }
    }

    /// Returns the rollouts as JSON for the state dump and the operator API.
    #[must_use]
    pub fn state(&self) -> Value {
        let now = Instant::now();
        let registry = self.registry.load();
        let rollouts = registry.iter();
        let rollouts = rollouts.map(|rollout| self.rollout_state(rollout, now));
        let evidence = registry.iter().flat_map(|rollout| {
            let service = &rollout.order.service;
            let order = rollout.order.revision;
            evidence_state(service, &self.evidence(order))
        });
        json!({
            "synced": self.is_synced(),
            "informed": self.is_informed(),
            "rollouts": rollouts.collect::<Vec<_>>(),
            "evidence": evidence.collect::<Vec<_>>(),
        })
    }

    fn rollout_state(&self, rollout: &Rollout, now: Instant) -> Value {
        let age = |at: Instant| now.saturating_duration_since(at).as_secs_f64();
        let step = rollout.step();
        let published = rollout.published.as_ref();
        let order = rollout.order.revision;
        json!({
            "service": rollout.order.service,
            "version": rollout.order.version,
            "order": order,
            "duration_s": rollout.order.duration.as_secs_f64(),
            "age_s": age(rollout.ordered),
            "removed": rollout.removed,
            "phase": phase_name(rollout.phase()),
            "step": step.map_or(0, |step| step.number),
            "share": step.map_or(0, |step| step.share),
            "targets": step.map_or(&[][..], |step| &step.targets),
            "current": rollout.current(now).is_some(),
            "decider": published.map_or("", |published| &published.decider),
            "renewed_s": published.and_then(|published| published.renewed).map(age),
            "reason": published.map_or("", |published| &published.reason),
            "stopped": self.counters.is_stopped(order),
        })
    }
}

/// Returns the name of a phase in the state dump and in metrics.
#[must_use]
pub fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Trial => "trial",
        Phase::Shift => "shift",
        Phase::Completed => "completed",
        Phase::RolledBack => "rolled-back",
    }
}

/// Sums the evidence about a service by version and route.
fn evidence_state(service: &str, evidence: &Evidence) -> Vec<Value> {
    let mut sums: BTreeMap<(String, u32), (u64, u64, u64, u64)> = BTreeMap::new();
    for (_, server) in evidence.servers() {
        for (class, counts) in &server.routes {
            let sum = sums.entry((server.version.clone(), *class)).or_default();
            sum.0 += 1;
            sum.1 += counts.calls;
            sum.2 += counts.failures;
            sum.3 += counts.time_us;
        }
    }
    let rows = sums.into_iter().map(|((version, class), sum)| {
        let (servers, calls, failures, time_us) = sum;
        json!({
            "service": service,
            "version": version,
            "route_class": class,
            "servers": servers,
            "calls": calls,
            "failures": failures,
            "mean_us": time_us / calls.max(1),
        })
    });
    rows.collect()
}

/// Sends a message to the daemon whose inbound listener has the address `peer`.
///
/// # Errors
///
/// Fails when it does not respond within `limit`.
pub async fn send(
    peer: SocketAddr,
    report: &wire::RolloutReport,
    limit: Duration,
) -> Result<wire::RolloutReport, ExchangeError> {
    let response = post(peer, ROLLOUT, report.encode_to_vec(), limit).await?;
    wire::RolloutReport::decode(response)
        .map_err(|err| ExchangeError::Unreadable(peer, err.to_string()))
}

/// Serves a message of another daemon; responds with 400 when it is invalid or late.
pub async fn serve(daemon: &Daemon, request: Request<Body>) -> Response<Body> {
    let message = receive(request.into_body(), MAX_LEN, STALL_TIMEOUT).await;
    let message = message.map_err(|err| err.to_string());
    let message =
        message.and_then(|data| wire::RolloutReport::decode(data).map_err(|err| err.to_string()));
    match message {
        Ok(report) => {
            let response = daemon.rollouts.respond(report);
            Response::new(full_body(response.encode_to_vec()))
        }
        Err(err) => {
            event!(RolloutReportFailed, error = err);
            let mut response = Response::new(full_body(""));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            response
        }
    }
}
