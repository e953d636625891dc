//! Daemons of one service in a rollout, each with its backend server and a runtime of its own, so that one can be
//! paused or killed.

use baobabstage::backend::{Report, ReportedState};
use baobabstage::daemon::Daemon;
use baobabstage::generated::mesh as wire;
use baobabstage::kernel;
use baobabstage::platform::{Client, ClientSettings, Entry, JsonDialect};
use baobabstage::resource::{Kind, ResourceKey, Spec};
use baobabstage::rollout::{ExposureLimits, Order, Phase};
use baobabstage::settings::{Flags, Settings};
use baobabstage::site::{ExternalConfig, ReportRequest, Reports, Rollouts, Site, Source};
use baobabstage::snapshot::{Resource, Snapshot};
use baobabstage::{Category, Error, Result};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use prost::Message;
use standin::backend::{Backend, Behaviour, RunLog};
use standin::caller;
use standin::platform::{Limits, Platform};
use standin::testbed::LOOPBACK;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

/// The service and the versions of its backend servers.
pub const SERVICE: &str = "shop";
pub const OLD: &str = "v1";
pub const NEW: &str = "v2";

/// Backend servers of each version, the time of a call, and the time between two calls of the callers.
const SERVERS: u8 = 4;
const WORK: Duration = Duration::from_millis(10);
const CALL_INTERVAL: Duration = Duration::from_millis(4);

/// Port of the inbound listeners, each on a loopback address of its own.
const INBOUND_PORT: u16 = 7_300;

const KEY: &str = "external/config";
const ORDERS: &str = "orders/";

/// The key of the state of the rollout, and of its step record.
pub const STATUS: &str = "states/shop";
pub const RECORD: &str = "baobab/rollout/shop";

fn decode(_: &[u8], _: &Snapshot) -> Result<Snapshot> {
    let pool = r#"{"slots":8,"connections":80,"health":"/health"}"#;
    let route = r#"{"prefix":"/shop","service":"shop","request_kind":"a","idempotent":true}"#;
    let specs = [
        (Kind::Policy, "p", r#"{"kinds":{"a":1}}"#),
        (Kind::Pool, SERVICE, pool),
        (Kind::Service, SERVICE, r#"{"pool":"shop","policy":"p"}"#),
        (Kind::Route, "shop", route),
    ];
    let mut resources = BTreeMap::new();
    for (kind, name, body) in specs {
        let spec = Spec::from_json(kind, body.as_bytes())?;
        resources.insert(ResourceKey::new(kind, name), Resource::new(3, spec));
    }
    Ok(Snapshot::external(3, "given", resources))
}

/// Decodes a report from the path `/INSTANCE/VERSION/SEQUENCE`, with the address as its body.
fn read_report(_: &Method, path: &str, body: &[u8]) -> Option<Result<ReportRequest>> {
    let mut parts = path.trim_start_matches('/').split('/');
    Some(Ok(ReportRequest::Report(Report {
        instance: parts.next()?.into(),
        born_ms: 1,
        version: parts.next()?.into(),
        sequence: parts.next()?.parse().ok()?,
        state: ReportedState::Ready,
        service: SERVICE.into(),
        domain: "espoo".into(),
        address: String::from_utf8_lossy(body).parse().ok()?,
        slots: 8,
        slow_start: Duration::ZERO,
    })))
}

/// Decodes an order from `VERSION SECONDS`.
fn read_order(entry: &Entry) -> Result<Order> {
    let text = String::from_utf8_lossy(&entry.value);
    let invalid = || Error::new(Category::Input, "not an order");
    let (version, seconds) = text.split_once(' ').ok_or_else(invalid)?;
    Ok(Order {
        service: entry.key.trim_start_matches(ORDERS).into(),
        version: version.into(),
        duration: Duration::from_secs(seconds.parse().map_err(|_| invalid())?),
        revision: entry.revision,
    })
}

fn rollouts() -> Rollouts {
    Rollouts {
        orders: ORDERS,
        decode: read_order,
        status_key: |service| format!("states/{service}"),
        encode_status: |phase, version| format!("{phase:?} {version}").into(),
        limits: ExposureLimits {
            share: 0.1,
            slack: 50,
            rollback: Duration::from_secs(5),
        },
    }
}

/// A daemon that runs on a thread of its own.
pub struct Vm {
    pub name: String,
    pub daemon: Arc<Daemon>,
    pub backend: Backend,
    pub inbound: SocketAddr,
    version: &'static str,
    runtime: tokio::runtime::Handle,
    stop: oneshot::Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl Vm {
    fn start(
        platform: SocketAddr,
        name: &str,
        version: &'static str,
        backend: &Backend,
        inbound: SocketAddr,
    ) -> Vm {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let daemon = {
            let _entered = runtime.enter();
            Daemon::with_site(settings(platform, name, backend, inbound), site(platform)).unwrap()
        };
        let (stop, stopped) = oneshot::channel::<()>();
        let handle = runtime.handle().clone();
        let shared = Arc::clone(&daemon);
        let thread = thread::spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    _ = kernel::run(shared) => {}
                    _ = stopped => {}
                }
            });
            runtime.shutdown_background();
        });
        Vm {
            name: name.into(),
            daemon,
            backend: backend.clone(),
            inbound,
            version,
            runtime: handle,
            stop,
            thread,
        }
    }

    /// Ends the daemon at once, without a drain. Returns what starts it again.
    pub fn kill(self) -> impl FnOnce(&Platform) -> Vm {
        let Vm {
            name,
            version,
            backend,
            inbound,
            ..
        } = self;
        drop(self.stop);
        self.thread.join().unwrap();
        // Its listeners are closed with it.
        drop(self.daemon);
        move |platform| Vm::start(platform.address(), &name, version, &backend, inbound)
    }

    /// Stops everything that the daemon does for a time, as a stopped process would.
    pub fn pause(&self, time: Duration) {
        self.runtime.spawn(async move { thread::sleep(time) });
    }

    /// Reports the backend server's state as ready.
    async fn report(&self, sequence: u64) {
        let address = self.daemon.sockets.reports.as_ref().unwrap().address();
        let body = Full::from(self.backend.address().to_string());
        let path = format!("/{}/{}/{sequence}", self.backend.name, self.version);
        let request = Request::post(path).header("host", "daemon").body(body);
        let call = caller::call(address, request.unwrap());
        let _ = tokio::time::timeout(Duration::from_millis(200), call).await;
    }
}

fn settings(platform: SocketAddr, name: &str, backend: &Backend, inbound: SocketAddr) -> Settings {
    let pairs = [
        ("BAOBAB_NAME", name.to_owned()),
        ("BAOBAB_DOMAIN", "espoo".to_owned()),
        ("BAOBAB_REGION", "fi-south".to_owned()),
        ("BAOBAB_PLATFORM", platform.to_string()),
        ("BAOBAB_DISTRIBUTION", "direct".to_owned()),
        ("BAOBAB_INBOUND", inbound.to_string()),
        ("BAOBAB_SERVICE", SERVICE.to_owned()),
        ("BAOBAB_BACKEND", backend.address().to_string()),
    ];
    let pairs = pairs.map(|(name, value)| (name.to_owned(), value));
    Settings::new(&Flags::default(), &BTreeMap::from(pairs)).unwrap()
}

fn site(platform: SocketAddr) -> Site {
    let client = ClientSettings {
        address: platform,
        timeout: Duration::from_secs(1),
    };
    let client = Client::new(&client, Arc::new(JsonDialect)).unwrap();
    Site {
        source: Source::External(ExternalConfig {
            key: KEY.into(),
            decode: Arc::new(decode),
        }),
        reports: Some(Reports {
            listen: LOOPBACK,
            decode: read_report,
        }),
        rollouts: Some(rollouts()),
        ..Site::new(Arc::new(client))
    }
}

/// A service with backend servers of two versions, half of them each.
pub struct Fleet {
    pub platform: Platform,
    pub vms: Vec<Vm>,
    pub run_log: RunLog,
    sequence: u64,
}

impl Fleet {
    /// Starts the daemons of the old version and those of the new one, on addresses `127.NETWORK.0.N`. The latter
    /// behave as given.
    pub async fn start(network: u8, new: Behaviour) -> Fleet {
        let mut fleet = Fleet::without_order(network, new).await;
        fleet.order(NEW, 14);
        fleet.wait_ready().await;
        fleet
    }

    /// Starts the daemons without an order.
    pub async fn without_order(network: u8, new: Behaviour) -> Fleet {
        let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
        platform.write_uncounted(KEY, "3");
        let run_log = RunLog::default();
        let mut vms = Vec::new();
        for index in 0..2 * SERVERS {
            let (version, behaviour) = if index < SERVERS {
                (OLD, Behaviour::default())
            } else {
                (NEW, new)
            };
            let behaviour = Behaviour {
                work: WORK,
                ..behaviour
            };
            let name = format!("{version}-{index}");
            let backend = Backend::start(&name, LOOPBACK, behaviour, run_log.clone());
            let backend = backend.await.unwrap();
            let inbound = SocketAddr::from(([127, network, 0, index + 1], INBOUND_PORT));
            vms.push(Vm::start(
                platform.address(),
                &name,
                version,
                &backend,
                inbound,
            ));
        }
        Fleet {
            platform,
            vms,
            run_log,
            sequence: 0,
        }
    }

    /// Writes an order.
    pub fn order(&self, version: &str, seconds: u64) {
        let key = format!("{ORDERS}{SERVICE}");
        self.platform
            .write_uncounted(&key, &format!("{version} {seconds}"));
    }

    /// Deletes the order.
    pub fn delete_order(&self) {
        self.platform.delete_key(&format!("{ORDERS}{SERVICE}"));
    }

    /// Reports all backend servers as ready until every daemon knows them.
    pub async fn wait_ready(&mut self) {
        let deadline = Instant::now() + Duration::from_secs(20);
        let knows_all = |vm: &Vm| vm.daemon.fleet.load().upstreams(SERVICE).len() == self.vms.len();
        while !self.vms.iter().all(knows_all) {
            assert!(Instant::now() < deadline, "fleet is not ready");
            self.sequence += 1;
            for vm in &self.vms {
                vm.report(self.sequence).await;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Sends calls to all daemons in turn for a time; returns how many there were, and how many were served.
    pub async fn call_for(&self, time: Duration) -> (usize, usize) {
        let end = Instant::now() + time;
        let served = Arc::new(AtomicUsize::new(0));
        let mut count = 0;
        let mut calls = Vec::new();
        while Instant::now() < end {
            let address = self.vms[count % self.vms.len()].daemon.addresses().outbound;
            let served = Arc::clone(&served);
            count += 1;
            calls.push(tokio::spawn(async move {
                let request = Request::get("/shop/1")
                    .header("host", "shop")
                    .header("x-baobab-deadline-ms", "2000")
                    .body(Full::default());
                let response = caller::call(address, request.unwrap()).await;
                if response.is_ok_and(|response| response.status() == StatusCode::OK) {
                    served.fetch_add(1, Ordering::Relaxed);
                }
            }));
            sleep(CALL_INTERVAL).await;
        }
        for call in calls {
            let _ = call.await;
        }
        (count, served.load(Ordering::Relaxed))
    }

    /// Sends calls until the state of the rollout is written as given, for at most `limit`.
    pub async fn call_until(&self, state: &str, limit: Duration) -> (usize, usize) {
        let deadline = Instant::now() + limit;
        let (mut count, mut served) = (0, 0);
        while self.state() != state {
            assert!(Instant::now() < deadline, "{:?}, not {state}", self.state());
            let (more, more_served) = self.call_for(Duration::from_millis(200)).await;
            count += more;
            served += more_served;
        }
        (count, served)
    }

    /// Sends calls until a backend server of the new version has run one.
    pub async fn call_until_trial(&self) {
        let deadline = Instant::now() + Duration::from_secs(10);
        let started = Instant::now();
        while self.new_runs(started) == 0 {
            assert!(Instant::now() < deadline, "no trial");
            self.call_for(Duration::from_millis(100)).await;
        }
    }

    /// Returns the state of the rollout that was written last.
    pub fn state(&self) -> String {
        let state = self.platform.read_uncounted(STATUS).unwrap_or_default();
        String::from_utf8_lossy(&state).into_owned()
    }

    /// Returns the step record.
    pub fn record(&self) -> wire::Rollout {
        let record = self.platform.read_uncounted(RECORD).unwrap_or_default();
        wire::Rollout::decode(record).unwrap()
    }

    /// Returns the place of the daemon that decides.
    pub fn decider(&self) -> usize {
        let decider = self.record().step.unwrap().decider;
        self.vms.iter().position(|vm| vm.name == decider).unwrap()
    }

    /// Returns the number of calls that the backend servers of the new version have begun since a time.
    pub fn new_runs(&self, since: Instant) -> usize {
        let new = self.vms.iter().filter(|vm| vm.version == NEW);
        new.map(|vm| self.run_log.started_after(&vm.name, since))
            .sum()
    }
}

/// Returns the state as the tests' site writes it.
pub fn state(phase: Phase) -> String {
    format!("{phase:?} {NEW}")
}
