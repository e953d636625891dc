//! Detects that the backend server has ended while it ran calls, and limits the runs of suspects.

use super::reachability::Reachability;
use super::unavailable;
use crate::backend::{Backend, Stage};
use crate::call::fingerprint::Fingerprint;
use crate::call::pool::BackendPool;
use crate::call::suspects::{Description, LostRun, Verdict};
use crate::call::{self, Refusal, RefusalReason};
use crate::daemon::Daemon;
use crate::event;
use crate::quarantine::Quarantine;
use crate::serve::Body;
use crate::sync::lock;
use http::{HeaderName, HeaderValue, Request, StatusCode, Uri};
use std::collections::{BTreeSet, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Time limit for the connections that tell whether the backend server still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which such a connection must stay open to show that it does. A backend server that ends closes its
/// connections and its listener one after another, and the kernel accepts connections until the latter.
const PROBE_OPEN_TIME: Duration = Duration::from_millis(20);

/// Pause before another connection after one that was closed.
const PROBE_PAUSE: Duration = Duration::from_millis(5);

/// Longest wait of a suspect for another one to end.
const SUSPECT_WAIT: Duration = Duration::from_secs(1);

/// Time after a lost run in which a new instance proves that it ended the previous one. A supervisor may
/// restart a backend server before its absence is noticed.
const REPLACED_WITHIN: Duration = Duration::from_secs(3);

/// Maximum number of lost runs that wait for this.
const MAX_LOST: usize = 64;

/// Maximum number of requests that are known to have completed a run on the instance.
const MAX_COMPLETED: usize = 1_024;

/// Detects crashes of the backend server beside this daemon.
pub(super) struct CrashMonitor {
    /// The name of this daemon, which names the ends of a backend server that does not report.
    daemon: String,
    /// The header of the request id.
    id_name: HeaderName,
    /// The header that states the calling service.
    caller_name: HeaderName,
    address: SocketAddr,
    backend: watch::Receiver<Arc<Backend>>,
    pool: BackendPool,
    reachability: Arc<Reachability>,
    quarantine: Arc<Quarantine>,
    /// The permit of the suspect that runs.
    suspect: Arc<Semaphore>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// The instance that the other fields are about, and its start time.
    instance: (Option<String>, u64),
    /// Hashes of the requests that have completed a run on it, oldest first in `order`.
    completed: BTreeSet<u64>,
    order: VecDeque<u64>,
    /// Runs that were lost while the backend server still listened.
    lost: Vec<UnexplainedLoss>,
    /// The name of the last end of the backend server, until it responds again.
    last_end: Option<String>,
}

struct UnexplainedLoss {
    request: Fingerprint,
    id: String,
    description: Description,
    run: LostRun,
    at: Instant,
}

impl CrashMonitor {
    pub(super) fn new(
        daemon: &Daemon,
        address: SocketAddr,
        pool: BackendPool,
        reachability: Arc<Reachability>,
        quarantine: Arc<Quarantine>,
    ) -> Arc<Self> {
        Arc::new(CrashMonitor {
            daemon: daemon.identity.name.clone(),
            id_name: daemon.names.request.clone(),
            caller_name: daemon.names.calling_service(),
            address,
            backend: daemon.backend.subscribe(),
            pool,
            reachability,
            quarantine,
            suspect: Arc::new(Semaphore::new(1)),
            state: Mutex::default(),
        })
    }

    /// Creates the run of a request that has arrived, and records the crashes that earlier attempts of its call
    /// have met, as the sender states them.
    pub(super) fn start(
        self: &Arc<Self>,
        request: &Request<Body>,
        fingerprint: Fingerprint,
    ) -> MonitoredRun {
        let headers = request.headers();
        let run = MonitoredRun {
            monitor: Arc::clone(self),
            request: fingerprint,
            id: headers.get(&self.id_name).cloned(),
            caller: headers.get(&self.caller_name).cloned(),
            uri: request.uri().clone(),
            permit: None,
            try_number: 0,
            started: None,
            clears: false,
        };
        for instance in headers.get_all(call::CRASHED) {
            if let Ok(instance) = instance.to_str() {
                // The daemon beside that instance reports the rest.
                self.quarantine.record(
                    fingerprint,
                    run.id(),
                    &run.description(),
                    instance,
                    LostRun::default(),
                );
            }
        }
        run
    }

    /// Tests whether the backend server has ended, after a run was lost, and blames the run if so. Returns the
    /// instance that ended.
    async fn blame(&self, run: &MonitoredRun) -> Option<String> {
        let backend = Arc::clone(&self.backend.borrow());
        if backend.stage == Stage::Leaving {
            return None;
        }
        let lost = run.lost();
        let refuses = timeout(PROBE_TIMEOUT, refuses_connections(self.address)).await;
        if refuses != Ok(true) {
            self.remember_lost(run, lost, &backend);
            return None;
        }
        self.pool.clear();
        self.reachability
            .mark_down("connection refused after a run was lost");
        let instance = self.end_of(&backend);
        if self.has_completed(run.request, &backend) {
            return None;
        }
        run.record_crash(&instance, lost);
        Some(instance)
    }

    /// Returns the name of the end of the backend server, the same for all runs that were lost by it.
    fn end_of(&self, backend: &Backend) -> String {
        let mut state = lock(&self.state);
        let name = instance_name(backend).or_else(|| state.last_end.clone());
        let name =
            name.unwrap_or_else(|| format!("{}.{:016x}", self.daemon, rand::random::<u64>()));
        if state.last_end.as_ref() != Some(&name) {
            event!(BackendCrashed, instance = name);
            state.last_end = Some(name.clone());
        }
        name
    }

    fn remember_lost(&self, run: &MonitoredRun, lost: LostRun, backend: &Backend) {
        let mut state = lock(&self.state);
        state.set_instance(backend);
        state
            .lost
            .retain(|lost| lost.at.elapsed() < REPLACED_WITHIN);
        if state.lost.len() < MAX_LOST {
            state.lost.push(UnexplainedLoss {
                request: run.request,
                id: run.id().to_owned(),
                description: run.description(),
                run: lost,
                at: Instant::now(),
            });
        }
    }

    fn has_completed(&self, request: Fingerprint, backend: &Backend) -> bool {
        let state = lock(&self.state);
        state.is_about(backend) && state.completed.contains(&request.short())
    }

    /// Tests whether a request has completed a run on the instance that runs now.
    fn has_completed_now(&self, request: Fingerprint) -> bool {
        let has_ended = lock(&self.state).last_end.is_some();
        !has_ended && self.has_completed(request, &self.backend.borrow())
    }

    fn note_completed(&self, request: Fingerprint) {
        let backend = Arc::clone(&self.backend.borrow());
        let mut state = lock(&self.state);
        if state.last_end.take().is_some() {
            state.forget_completed();
        }
        state.set_instance(&backend);
        if state.completed.insert(request.short()) {
            state.order.push_back(request.short());
        }
        if state.order.len() > MAX_COMPLETED
            && let Some(oldest) = state.order.pop_front()
        {
            state.completed.remove(&oldest);
        }
        drop(state);
        self.quarantine.clear(request);
    }

    /// Blames the lost runs of an instance that another one has replaced without leaving.
    pub(super) async fn watch_instances(self: Arc<Self>) {
        let mut backend = self.backend.clone();
        let mut previous = Arc::clone(&backend.borrow_and_update());
        while backend.changed().await.is_ok() {
            let next = Arc::clone(&backend.borrow_and_update());
            let is_replaced = instance_name(&previous) != instance_name(&next);
            if is_replaced && previous.stage == Stage::Ready {
                self.blame_lost(&previous);
            }
            previous = next;
        }
    }

    fn blame_lost(&self, ended: &Backend) {
        let Some(instance) = instance_name(ended) else {
            return;
        };
        let lost = {
            let mut state = lock(&self.state);
            state.set_instance(ended);
            let mut lost = std::mem::take(&mut state.lost);
            lost.retain(|run| {
                let recent = run.at.elapsed() < REPLACED_WITHIN;
                recent && !state.completed.contains(&run.request.short())
            });
            lost
        };
        for run in lost {
            self.quarantine
                .record(run.request, &run.id, &run.description, &instance, run.run);
        }
    }
}

impl State {
    fn forget_completed(&mut self) {
        self.completed.clear();
        self.order.clear();
    }

    fn is_about(&self, backend: &Backend) -> bool {
        self.instance.0 == backend.instance && self.instance.1 == backend.born_ms
    }

    /// Forgets what is known of another instance.
    fn set_instance(&mut self, backend: &Backend) {
        if !self.is_about(backend) {
            *self = State {
                instance: (backend.instance.clone(), backend.born_ms),
                ..State::default()
            };
        }
    }
}

/// Tests whether connections to an address are refused. Connects again while they are accepted and closed; one
/// that is closed early enough fails as reset.
async fn refuses_connections(address: SocketAddr) -> bool {
    loop {
        match TcpStream::connect(address).await {
            Ok(mut stream) => {
                let closed = timeout(PROBE_OPEN_TIME, stream.read_u8()).await;
                if closed.is_err() {
                    return false;
                }
            }
            Err(err) if err.kind() == ErrorKind::ConnectionRefused => return true,
            Err(_) => {}
        }
        sleep(PROBE_PAUSE).await;
    }
}

/// Returns a name of an instance that no other start has; `None` if the backend server does not report.
fn instance_name(backend: &Backend) -> Option<String> {
    let instance = backend.instance.as_ref()?;
    Some(format!("{instance}.{}", backend.born_ms))
}

/// A run of a request on the backend server, from its arrival to the end of its response.
pub(super) struct MonitoredRun {
    monitor: Arc<CrashMonitor>,
    request: Fingerprint,
    /// The request id.
    id: Option<HeaderValue>,
    /// The calling service.
    caller: Option<HeaderValue>,
    uri: Uri,
    /// Held by a suspect.
    permit: Option<OwnedSemaphorePermit>,
    /// The number of the try that this run is; zero if the request was not held when it began.
    try_number: u32,
    /// When the request was sent to the backend server.
    started: Option<Instant>,
    /// Whether a complete response proves that the request does not crash backend servers.
    clears: bool,
}

impl MonitoredRun {
    /// Admits the request: at once, as the only suspect, or not at all while it is held.
    ///
    /// # Errors
    ///
    /// Fails if the request is held or another suspect runs for too long; it was not run.
    pub(super) async fn admit(
        mut self,
        daemon: &Daemon,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        if self.verdict(daemon)? == Verdict::Free {
            return Ok(self);
        }
        let until = deadline.min(Instant::now() + SUSPECT_WAIT);
        let permit = Arc::clone(&self.monitor.suspect).acquire_owned();
        let permit = timeout_at(until, permit).await;
        self.set_permit(permit.ok().and_then(Result::ok))?;
        if self.verdict(daemon)? == Verdict::Free {
            // It was cleared meanwhile; others that wait need not run one at a time either.
            self.permit = None;
        }
        Ok(self)
    }

    /// Checks again, just before the request is sent, that it is not held and that no other suspect runs.
    ///
    /// # Errors
    ///
    /// Fails otherwise; the request was not run.
    pub(super) fn check(&mut self, daemon: &Daemon) -> Result<(), Refusal> {
        self.started = Some(Instant::now());
        if self.verdict(daemon)? == Verdict::Free {
            return Ok(());
        }
        self.try_number = self.monitor.quarantine.next_try(self.request);
        if self.permit.is_none() {
            let permit = Arc::clone(&self.monitor.suspect).try_acquire_owned();
            self.set_permit(permit.ok())?;
        }
        let description = self.description();
        event!(
            SuspectRuns,
            request = self.id(),
            content = format_args!("{:032x}", self.request.content),
            caller = description.caller,
            path = description.path,
            tried = self.try_number,
        );
        Ok(())
    }

    fn set_permit(&mut self, permit: Option<OwnedSemaphorePermit>) -> Result<(), Refusal> {
        self.permit = permit;
        if self.permit.is_some() {
            return Ok(());
        }
        Err(unavailable("another suspect runs", RefusalReason::Other))
    }

    fn verdict(&self, daemon: &Daemon) -> Result<Verdict, Refusal> {
        let monitor = &self.monitor;
        let has_completed = || monitor.has_completed_now(self.request);
        let quarantine = &monitor.quarantine;
        let verdict = quarantine.verdict(daemon, self.request, has_completed);
        let (time, owner) = match verdict {
            Verdict::Free | Verdict::Suspect => return Ok(verdict),
            Verdict::Held(time) => (time, None),
            Verdict::Elsewhere { left, turn } => {
                (left, quarantine.turn_owner(daemon, self.request, turn))
            }
        };
        let description = self.description();
        event!(
            RequestHeld,
            request = self.id(),
            content = format_args!("{:032x}", self.request.content),
            caller = description.caller,
            path = description.path,
            left_ms = time.as_millis(),
        );
        let reason = "backend servers have ended under this request";
        let refusal = Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        Err(refusal
            .with_retry_after(time)
            .with_turn_owner(owner)
            .with_reason(RefusalReason::Quarantined))
    }

    fn id(&self) -> &str {
        let id = self.id.as_ref().and_then(|id| id.to_str().ok());
        id.unwrap_or_default()
    }

    fn description(&self) -> Description {
        let caller = self.caller.as_ref().and_then(|caller| caller.to_str().ok());
        Description {
            caller: caller.unwrap_or_default().to_owned(),
            path: self.uri.path().to_owned(),
        }
    }

    /// Describes this run, which was lost now.
    fn lost(&self) -> LostRun {
        LostRun {
            try_number: self.try_number,
            time: self.started.map_or(Duration::ZERO, |at| at.elapsed()),
        }
    }

    /// Records that an instance ended while it ran this request.
    fn record_crash(&self, instance: &str, run: LostRun) {
        let quarantine = &self.monitor.quarantine;
        let description = self.description();
        quarantine.record(self.request, self.id(), &description, instance, run);
    }

    /// Records the status of the response that has begun.
    pub(super) fn set_status(&mut self, status: StatusCode) {
        self.clears = !status.is_server_error();
    }

    /// Records that the response is complete.
    pub(super) fn complete(mut self) {
        self.permit = None;
        if self.clears {
            self.monitor.note_completed(self.request);
        }
    }

    /// Records that the connection was lost before the response, and returns the instance that ended, if it
    /// has.
    pub(super) async fn lose(self) -> Option<String> {
        self.monitor.blame(&self).await
    }

    /// Records that the connection was lost during the response.
    pub(super) fn lose_body(self) {
        tokio::spawn(async move { self.monitor.blame(&self).await });
    }
}
