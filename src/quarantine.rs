//! The suspects of this daemon's service, and how the daemons of the service tell each other of them.
//!
//! Each daemon beside a backend server of the service keeps the records, since no request reaches a backend
//! server without its daemon. A daemon that has seen a crash reports it to all others of the service at once
//! (`role::quarantine`); comparing digests with random ones repairs what was missed.

use crate::call::QUARANTINE;
use crate::call::fingerprint::Fingerprint;
use crate::call::suspects::{Description, LostRun, Suspects, Verdict, has_turn, turn_owner};
use crate::daemon::Daemon;
use crate::event;
use crate::exchange::{ExchangeError, post};
use crate::generated::mesh as wire;
use crate::serve::{Body, full_body};
use crate::sync::lock;
use crate::transfer::receive;
use http::{Request, Response, StatusCode};
use prost::Message;
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Greatest length of a message, in bytes.
const MAX_LEN: usize = 1024 * 1024;

/// Time without a byte after which a message is given up.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The suspects that a daemon knows.
#[derive(Default)]
pub struct Quarantine {
    suspects: Mutex<Suspects>,
    /// Requests whose records have changed here and were not reported to the other daemons yet.
    unreported: Mutex<BTreeSet<Fingerprint>>,
    /// Requests that are or were held, whose records have changed here and were not stored in the platform yet.
    unsaved: Mutex<BTreeSet<Fingerprint>>,
    /// Counts the changes of `unreported` and `unsaved`.
    reports: watch::Sender<u64>,
    /// When a record last changed, here or by a report.
    changed: Mutex<Option<Instant>>,
    /// Whether this daemon has the records of the others, or there are none to ask.
    synced: watch::Sender<bool>,
}

impl Quarantine {
    /// Returns this component of a daemon.
    #[must_use]
    pub fn of(daemon: &Daemon) -> Arc<Quarantine> {
        daemon.component(Quarantine::default)
    }

    /// Tests whether this daemon has the records of the others; until then a suspect would not be
    /// recognised.
    #[must_use]
    pub fn is_synced(&self) -> bool {
        *self.synced.borrow()
    }

    /// Records that this daemon has the records of the others, or that there are none to ask.
    pub fn mark_synced(&self) {
        self.synced.send_replace(true);
    }

    /// Waits until this daemon has the records of the others, or there are none to ask.
    pub async fn wait_synced(&self) {
        // The sender lives as long as `self`.
        let _ = self.synced.subscribe().wait_for(|synced| *synced).await;
    }

    /// Decides whether a request may run now on the backend server beside this daemon. `has_completed` tells
    /// whether it has completed a run on this instance.
    #[must_use]
    pub fn verdict(
        &self,
        daemon: &Daemon,
        request: Fingerprint,
        has_completed: impl FnOnce() -> bool,
    ) -> Verdict {
        let has_turn = |turn| {
            let fleet = daemon.fleet.load();
            let upstreams = fleet.upstreams(service(daemon));
            has_turn(request.content, turn, &daemon.identity.name, upstreams)
        };
        lock(&self.suspects).verdict(Instant::now(), request, has_completed, has_turn)
    }

    /// Returns the name of the daemon whose turn it is to try a held request.
    #[must_use]
    pub fn turn_owner(&self, daemon: &Daemon, request: Fingerprint, turn: u64) -> Option<String> {
        let fleet = daemon.fleet.load();
        let owner = turn_owner(request.content, turn, fleet.upstreams(service(daemon)));
        owner.map(str::to_owned)
    }

    /// Returns the number of the try that a run of a request is if it begins now; zero if the request is not
    /// held.
    #[must_use]
    pub fn next_try(&self, request: Fingerprint) -> u32 {
        lock(&self.suspects).next_try(request.content)
    }

    /// Records that an instance ended while it ran a request with this id, for this daemon to report.
    pub fn record(
        &self,
        request: Fingerprint,
        id: &str,
        description: &Description,
        instance: &str,
        run: LostRun,
    ) {
        let mut suspects = lock(&self.suspects);
        if !suspects.record(Instant::now(), request, description, instance, run) {
            return;
        }
        let crashes = suspects.crashes(request.content);
        drop(suspects);
        event!(
            RequestSuspected,
            request = id,
            content = format_args!("{:032x}", request.content),
            caller = description.caller,
            path = description.path,
            instance = instance,
            crashes = crashes,
            tried = run.try_number,
        );
        self.report(request);
    }

    /// Clears a request that has completed a run, for this daemon to report.
    pub fn clear(&self, request: Fingerprint) {
        if lock(&self.suspects).clear(request) {
            let content = format_args!("{:032x}", request.content);
            event!(SuspectCleared, content = content, cause = "completed");
            self.report(request);
        }
    }

    /// Clears a request on behalf of an operator; returns whether it was suspected.
    pub fn release(&self, content: u128) -> bool {
        let released = lock(&self.suspects).release(content);
        for request in &released {
            event!(
                SuspectCleared,
                content = format_args!("{content:032x}"),
                cause = "operator"
            );
            self.report(*request);
        }
        !released.is_empty()
    }

    /// Tests whether a backend server has ended under this request of this caller.
    #[must_use]
    pub fn is_suspected(&self, request: Fingerprint) -> bool {
        lock(&self.suspects).is_suspected(request)
    }

    /// Returns a receiver that is notified when there are changes to report.
    #[must_use]
    pub fn reports(&self) -> watch::Receiver<u64> {
        self.reports.subscribe()
    }

    /// Returns the report of the changes that were not reported yet, if there are any.
    #[must_use]
    pub fn next_report(&self) -> Option<wire::CrashReport> {
        let changed = std::mem::take(&mut *lock(&self.unreported));
        let suspects = lock(&self.suspects);
        let now = Instant::now();
        let records = changed.into_iter();
        let records: Vec<_> = records
            .filter_map(|request| suspects.record_of(now, request))
            .collect();
        (!records.is_empty()).then(|| wire::CrashReport {
            digest: suspects.digest(),
            wants: false,
            records,
        })
    }

    /// Takes the requests whose records are to be stored in the platform.
    #[must_use]
    pub fn take_unsaved(&self) -> Vec<(Fingerprint, wire::CrashRecord)> {
        let unsaved = std::mem::take(&mut *lock(&self.unsaved));
        let suspects = lock(&self.suspects);
        let now = Instant::now();
        let records = unsaved.into_iter();
        let records = records.filter_map(|key| Some((key, suspects.record_of(now, key)?)));
        records.collect()
    }

    /// Puts a request back whose record could not be stored.
    pub fn mark_unsaved(&self, request: Fingerprint) {
        lock(&self.unsaved).insert(request);
    }

    /// Merges records that were stored in the platform.
    pub fn restore(&self, records: Vec<wire::CrashRecord>) {
        self.merge(wire::CrashReport {
            records,
            ..wire::CrashReport::default()
        });
    }

    /// Forgets old records. Returns whether any is left, and how long ago one last changed.
    #[must_use]
    pub fn expire(&self) -> Option<Duration> {
        let mut suspects = lock(&self.suspects);
        suspects.expire(Instant::now());
        let changed = lock(&self.changed).filter(|_| !suspects.is_empty());
        changed.map(|at| at.elapsed())
    }

    /// Returns the number of requests that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        lock(&self.suspects).len()
    }

    /// Tests whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the suspects as JSON for the state dump.
    #[must_use]
    pub fn state(&self) -> Value {
        lock(&self.suspects).state(Instant::now())
    }

    /// Merges the records of another daemon, and returns the response to it.
    #[must_use]
    pub fn respond(&self, report: wire::CrashReport) -> wire::CrashReport {
        let (digest, wants) = (report.digest, report.wants);
        self.merge(report);
        let suspects = lock(&self.suspects);
        let own = suspects.digest();
        let differs = wants && own != digest;
        wire::CrashReport {
            digest: own,
            wants: differs,
            records: if differs {
                suspects.records(Instant::now())
            } else {
                Vec::new()
            },
        }
    }

    /// Compares the records with those of another daemon, and exchanges them if they differ.
    ///
    /// # Errors
    ///
    /// Fails when the other daemon does not respond within `limit`.
    pub async fn compare(&self, peer: SocketAddr, limit: Duration) -> Result<(), ExchangeError> {
        let summary = wire::CrashReport {
            digest: lock(&self.suspects).digest(),
            wants: true,
            records: Vec::new(),
        };
        let response = send(peer, &summary, limit).await?;
        let wants = response.wants;
        self.merge(response);
        if wants {
            let records = lock(&self.suspects).records(Instant::now());
            let report = wire::CrashReport {
                records,
                ..wire::CrashReport::default()
            };
            send(peer, &report, limit).await?;
        }
        Ok(())
    }

    fn merge(&self, report: wire::CrashReport) {
        let now = Instant::now();
        let mut suspects = lock(&self.suspects);
        let mut changed = false;
        for record in report.records {
            changed |= suspects.merge(now, record);
        }
        drop(suspects);
        if changed {
            *lock(&self.changed) = Some(now);
        }
    }

    /// Schedules the report of a request's record.
    fn report(&self, request: Fingerprint) {
        *lock(&self.changed) = Some(Instant::now());
        if lock(&self.suspects).has_been_held(request.content) {
            self.mark_unsaved(request);
        }
        lock(&self.unreported).insert(request);
        self.reports.send_modify(|count| *count += 1);
    }
}

/// Returns the service of the backend server beside a daemon.
fn service(daemon: &Daemon) -> &str {
    let backend = daemon.settings.backend.as_ref();
    backend.map_or("", |backend| backend.service.as_str())
}

/// Sends a message to the daemon whose inbound listener has the address `peer`.
///
/// # Errors
///
/// Fails when it does not respond within `limit`.
pub async fn send(
    peer: SocketAddr,
    report: &wire::CrashReport,
    limit: Duration,
) -> Result<wire::CrashReport, ExchangeError> {
    let response = post(peer, QUARANTINE, report.encode_to_vec(), limit).await?;
    wire::CrashReport::decode(response)
        .map_err(|err| ExchangeError::Unreadable(peer, err.to_string()))
}

/// Serves a message of another daemon; responds with 400 when it is invalid or late.
pub async fn serve(daemon: &Daemon, request: Request<Body>) -> Response<Body> {
    let message = receive(request.into_body(), MAX_LEN, STALL_TIMEOUT).await;
    let message = message.map_err(|err| err.to_string());
    let message =
        message.and_then(|data| wire::CrashReport::decode(data).map_err(|err| err.to_string()));
    match message {
        Ok(report) => {
            let response = Quarantine::of(daemon).respond(report);
            Response::new(full_body(response.encode_to_vec()))
        }
        Err(err) => {
            event!(CrashReportFailed, error = err);
            let mut response = Response::new(full_body(""));
            *response.status_mut() = StatusCode::BAD_REQUEST;
            response
        }
    }
}
