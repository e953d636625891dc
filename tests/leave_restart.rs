//! A backend server leaves, and its daemon is killed and starts again while the server still runs.
//!
//! The health endpoint reports success throughout, as one that lags does, so that only what the daemon keeps of
//! the leave ends the calls.

use baobabstage::backend::{Report, ReportedState, Stage};
use baobabstage::daemon::Daemon;
use baobabstage::kernel;
use baobabstage::platform::{Client, ClientSettings, JsonDialect, Platform as _};
use baobabstage::resource::{Kind, ResourceKey, Spec};
use baobabstage::settings::{Flags, Settings};
use baobabstage::site::{ExternalConfig, Leave, ReportRequest, Reports, Site, Source};
use baobabstage::snapshot::{Resource, Snapshot};
use baobabstage::{Category, Error, Result};
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use standin::caller;
use standin::fault::{Accept, Control, FaultProxy, Faults};
use standin::platform::{Limits, Platform};
use standin::testbed::{LOOPBACK, TIMEOUT};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use test_case::test_case;
use tokio::runtime::{Builder, Runtime};
use tokio::time::{Instant, sleep};

const KEY: &str = "external/config";

/// Time within which a backend server expects an acknowledgement.
const ACK_TIME: Duration = Duration::from_secs(1);

/// Time for which late reports arrive after the last restart.
const LATE_TIME: Duration = Duration::from_secs(4);

/// Decodes the only version that there is.
fn decode(value: &[u8], _: &Snapshot) -> Result<Snapshot> {
    let version = String::from_utf8_lossy(value).parse();
    let version = version.map_err(|err| Error::new(Category::Input, err))?;
    let specs = [
        (Kind::Policy, "p", r#"{"kinds":{"issue":1}}"#),
        (
            Kind::Pool,
            "certs",
            r#"{"slots":4,"connections":20,"health":"/health"}"#,
        ),
        (Kind::Service, "certs", r#"{"pool":"certs","policy":"p"}"#),
    ];
    let mut resources = BTreeMap::new();
    for (kind, name, body) in specs {
        let spec = Spec::from_json(kind, body.as_bytes())?;
        resources.insert(ResourceKey::new(kind, name), Resource::new(version, spec));
    }
    Ok(Snapshot::external(version, "given", resources))
}

/// Decodes a report from its path, `/ready/BORN/SEQUENCE` or `/draining/BORN/SEQUENCE`, or a notice from
/// `/leave/BORN` or `/leave`. The body is the address of the backend server.
fn read_report(_: &Method, path: &str, body: &[u8]) -> Option<Result<ReportRequest>> {
    let mut parts = path.trim_start_matches('/').split('/');
    let action = parts.next()?;
    let numbers: Vec<u64> = parts.map(|part| part.parse().unwrap()).collect();
    let state = match action {
        "ready" => ReportedState::Ready,
        "draining" => ReportedState::Draining,
        _ => {
            return Some(Ok(ReportRequest::Leave(Leave {
                instance: "i-1".into(),
                born_ms: numbers.first().copied(),
            })));
        }
    };
    Some(Ok(ReportRequest::Report(Report {
        instance: "i-1".into(),
        born_ms: numbers[0],
        sequence: numbers[1],
        state,
        service: "certs".into(),
        domain: "espoo".into(),
        address: String::from_utf8_lossy(body).parse().ok()?,
        slots: 4,
        version: String::new(),
        slow_start: Duration::ZERO,
    })))
}

/// Starts a backend server whose health endpoint always names the instance and reports success.
async fn start_backend() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind(LOOPBACK).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(|_: Request<Incoming>| async {
                let response = Response::builder().header("x-instance", "i-1");
                response.body(Full::<Bytes>::default())
            });
            tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    address
}

/// A daemon on a runtime of its own, which can be killed.
struct Process {
    daemon: Arc<Daemon>,
    runtime: Runtime,
}

/// A VM: its daemon, if that runs, and its backend server.
struct Vm {
    name: &'static str,
    process: Option<Process>,
    backend: SocketAddr,
    inbound: SocketAddr,
    /// The path to the platform.
    address: SocketAddr,
    path: Control,
}

impl Vm {
    async fn start(name: &'static str, platform: &Platform) -> Vm {
        let (address, path) = FaultProxy::start(platform.address()).await.unwrap();
        // Free until the daemon binds it, at each of its starts.
        let unused = TcpListener::bind(LOOPBACK).unwrap();
        let mut vm = Vm {
            name,
            process: None,
            backend: start_backend().await,
            inbound: unused.local_addr().unwrap(),
            address,
            path,
        };
        drop(unused);
        vm.run();
        vm
    }

    /// Starts the daemon.
    fn run(&mut self) {
        let pairs = [
            ("BAOBAB_NAME", self.name.to_owned()),
            ("BAOBAB_DOMAIN", "espoo".to_owned()),
            ("BAOBAB_REGION", "fi-south".to_owned()),
            ("BAOBAB_PLATFORM", self.address.to_string()),
            ("BAOBAB_DISTRIBUTION", "direct".to_owned()),
            ("BAOBAB_INBOUND", self.inbound.to_string()),
            ("BAOBAB_SERVICE", "certs".to_owned()),
            ("BAOBAB_BACKEND", self.backend.to_string()),
        ];
        let pairs = pairs.map(|(name, value)| (name.to_owned(), value));
        let settings = Settings::new(&Flags::default(), &BTreeMap::from(pairs)).unwrap();
        let site = Site {
            source: Source::External(ExternalConfig {
                key: KEY.into(),
                decode: Arc::new(decode),
            }),
            reports: Some(Reports {
                listen: LOOPBACK,
                decode: read_report,
            }),
            ..Site::new(Arc::new(client(self.address)))
        };
        let mut runtime = Builder::new_multi_thread();
        let runtime = runtime.worker_threads(1).enable_all().build().unwrap();
        let daemon = {
            let _entered = runtime.enter();
            Daemon::with_site(settings, site).unwrap()
        };
        runtime.spawn(kernel::run(Arc::clone(&daemon)));
        self.process = Some(Process { daemon, runtime });
    }

    /// Ends the daemon at once, without a message to others.
    fn kill(&mut self) {
        if let Some(Process { daemon, runtime }) = self.process.take() {
            drop(daemon);
            // Waits until its tasks have ended, so that its addresses are free again.
            let ended = thread::spawn(move || runtime.shutdown_timeout(ACK_TIME));
            ended.join().unwrap();
        }
    }

    fn daemon(&self) -> &Daemon {
        &self.process.as_ref().unwrap().daemon
    }

    fn stage(&self) -> Stage {
        self.daemon().backend.load().stage
    }

    /// Sends a report or a notice; returns whether it is acknowledged in time.
    async fn report(&self, path: &str) -> bool {
        let address = self.daemon().sockets.reports.as_ref().unwrap().address();
        let body = Full::from(self.backend.to_string());
        let request = Request::post(path).header("host", "daemon").body(body);
        let call = caller::call(address, request.unwrap());
        let response = tokio::time::timeout(ACK_TIME, call).await;
        response.is_ok_and(|response| response.unwrap().status() == StatusCode::OK)
    }

    /// Reports the backend server as ready until it is.
    async fn make_ready(&self, born: u64) {
        let deadline = Instant::now() + TIMEOUT;
        for sequence in 1.. {
            self.report(&format!("/ready/{born}/{sequence}")).await;
            if self.stage() == Stage::Ready {
                return;
            }
            assert!(Instant::now() < deadline, "not ready in time");
            sleep(Duration::from_millis(100)).await;
        }
    }

    /// Sends late reports for [`LATE_TIME`], none of which may make the backend server ready.
    async fn assert_left(&self) {
        let end = Instant::now() + LATE_TIME;
        let mut sequence = 100;
        while Instant::now() < end {
            self.report(&format!("/ready/1/{sequence}")).await;
            sequence += 1;
            assert_ne!(self.stage(), Stage::Ready, "{sequence}");
            sleep(Duration::from_millis(150)).await;
        }
    }

    /// Makes the platform not answer this daemon, or answer it again.
    fn silence_platform(&self, silent: bool) {
        let accept = if silent {
            Accept::Silent
        } else {
            Accept::Forward
        };
        self.path.set(Faults {
            accept,
            ..Faults::default()
        });
        self.path.reset_connections();
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

fn client(address: SocketAddr) -> Client {
    let settings = ClientSettings {
        address,
        timeout: Duration::from_secs(1),
    };
    Client::new(&settings, Arc::new(JsonDialect)).unwrap()
}

/// Starts a platform with a configuration, and VMs whose backend servers are ready and which know each other.
async fn start<const COUNT: usize>(names: [&'static str; COUNT]) -> (Platform, [Vm; COUNT]) {
    let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
    let store = client(platform.address());
    store.swap(KEY, 0, Some("3".into()), 0).await.unwrap();
    let mut vms = Vec::new();
    for name in names {
        vms.push(Vm::start(name, &platform).await);
    }
    for vm in &vms {
        vm.make_ready(1).await;
    }
    let deadline = Instant::now() + TIMEOUT;
    let knows_all = |vm: &Vm| vm.daemon().fleet.load().upstreams("certs").len() == COUNT;
    while !vms.iter().all(knows_all) {
        assert!(Instant::now() < deadline, "not known in time");
        sleep(Duration::from_millis(20)).await;
    }
    let vms = <[Vm; COUNT]>::try_from(vms);
    (platform, vms.unwrap_or_else(|_| unreachable!()))
}

/// Guards against a leave that is forgotten once its daemon is killed right after the acknowledgement, as often as
/// that may be.
#[test_case("/leave/1", 1; "notice and one restart")]
#[test_case("/leave/1", 3; "notice and several restarts")]
#[test_case("/leave", 1; "notice without a start time")]
#[test_case("/draining/1/90", 2; "report")]
#[tokio::test(flavor = "multi_thread")]
async fn leave_killed(notice: &str, kills: u32) {
    let (_platform, [mut vm]) = start(["vm-0"]).await;
    assert!(vm.report(notice).await);
    for _ in 0..kills {
        vm.kill();
        vm.run();
    }
    vm.assert_left().await;
    // The instance has started again, later than a notice without a start time.
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let later = since + Duration::from_mins(1);
    vm.make_ready(later.as_millis().try_into().unwrap()).await;
}

/// Guards against a leave that lapses with the daemon's entry while the daemon is down.
#[tokio::test(flavor = "multi_thread")]
async fn leave_entry_lapsed() {
    let (platform, [mut vm]) = start(["vm-0"]).await;
    assert!(vm.report("/leave/1").await);
    vm.kill();
    for key in platform.keys("baobab/member/") {
        platform.delete_key(&key);
    }
    vm.run();
    vm.assert_left().await;
}

/// Guards against a leave that is not known to a daemon that starts while the platform does not answer it, and
/// against one that is acknowledged while the platform does not answer and then forgotten: peers know both.
#[test_case(false; "platform silent from the restart on")]
#[test_case(true; "platform silent from before the notice on")]
#[tokio::test(flavor = "multi_thread")]
async fn leave_platform_silent(before: bool) {
    let (_platform, [mut vm, first, second]) = start(["vm-0", "vm-1", "vm-2"]).await;
    vm.silence_platform(before);
    assert!(vm.report("/leave/1").await);
    vm.kill();
    vm.silence_platform(true);
    vm.run();
    vm.assert_left().await;
    for peer in [first, second] {
        assert_eq!(peer.stage(), Stage::Ready);
    }
}

/// Guards against an acknowledgement of what only this process knows. Calls to the instance end nevertheless, and
/// the notice is acknowledged when it is repeated.
#[tokio::test(flavor = "multi_thread")]
async fn leave_unrecorded() {
    let (_platform, [vm]) = start(["vm-0"]).await;
    vm.silence_platform(true);
    assert!(!vm.report("/leave/1").await);
    assert_eq!(vm.stage(), Stage::Leaving);
    vm.silence_platform(false);
    let deadline = Instant::now() + TIMEOUT;
    while !vm.report("/leave/1").await {
        assert!(Instant::now() < deadline, "not acknowledged");
    }
}
