//! Daemons with backend servers and an externally managed configuration, run inside the test's
//! process. A version is a list of resources as JSON.

#![allow(dead_code, reason = "each test file uses a part of it")]

use baobabstage::daemon::{Daemon, Phase};
use baobabstage::header_names::HeaderNames;
use baobabstage::kernel;
use baobabstage::platform::{Client, ClientSettings, JsonDialect, Platform as _, Swap};
use baobabstage::resource::{KeyDigest, Kind, ResourceKey, Spec};
use baobabstage::settings::{Flags, Settings};
use baobabstage::site::{ExternalConfig, Site, Source};
use baobabstage::snapshot::{Resource, Snapshot};
use baobabstage::sync::lock;
use baobabstage::{Category, Error, Result};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use standin::caller;
use standin::fault::{Accept, Control, FaultProxy, Faults};
use standin::platform::{Limits, Platform};
use standin::testbed::{LOOPBACK, TIMEOUT};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

/// The header of API keys.
pub const KEY_HEADER: &str = "x-key";

/// The header that names the organisation to backend servers.
pub const ORGANISATION_HEADER: &str = "x-organisation";

/// The platform key of the configuration.
const CONFIG: &str = "external/config";

/// Decodes a version from `{"version": N, "resources": [[KIND, NAME, SPEC]]}`.
fn decode(value: &[u8], previous: &Snapshot) -> Result<Snapshot> {
    let invalid = |err: serde_json::Error| Error::new(Category::Input, err);
    let value: Value = serde_json::from_slice(value).map_err(invalid)?;
    let version = value["version"].as_u64().unwrap();
    let mut resources = BTreeMap::new();
    for item in value["resources"].as_array().unwrap() {
        let kind: Kind = item[0].as_str().unwrap().parse()?;
        let spec = Spec::from_value(kind, &item[2])?;
        let key = ResourceKey::new(kind, item[1].as_str().unwrap());
        let unchanged = previous.resources().get(&key);
        let unchanged = unchanged.filter(|resource| *resource.spec == spec).cloned();
        let resource = unchanged.unwrap_or_else(|| Resource::new(version, spec));
        resources.insert(key, resource);
    }
    Ok(Snapshot::external(version, "given", resources))
}

/// Encodes a version.
pub fn version(number: u64, resources: &[Value]) -> String {
    json!({ "version": number, "resources": resources }).to_string()
}

/// Returns a service with its pool. The pool's backend servers run `slots` calls at once.
pub fn service(name: &str, slots: u32) -> Vec<Value> {
    vec![
        json!(["pool", name, { "slots": slots, "connections": 200, "warm_ms": 0 }]),
        json!(["service", name, { "pool": name, "policy": "p" }]),
    ]
}

/// Returns the policy of all services, whose backend servers let `queue` calls wait.
pub fn policy(queue: u32) -> Value {
    json!(["policy", "p", { "kinds": { "low": 1, "high": 100 }, "queue": queue, "retry_percent": 0 }])
}

/// Returns a route of a prefix to a service.
pub fn route(prefix: &str, service: &str, public: bool) -> Value {
    let name = prefix.trim_start_matches('/');
    json!(["route", name, { "prefix": prefix, "service": service, "request_kind": "low",
        "idempotent": false, "public": public }])
}

/// Returns an organisation that holds keys.
pub fn organisation(name: &str, keys: &[&str]) -> Value {
    let digests = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
    json!(["organisation", name, { "keys": digests.collect::<Vec<_>>() }])
}

/// A request that a backend server has received.
#[derive(Clone, Debug)]
pub struct Received {
    /// When its head had arrived.
    pub at: Instant,
    /// The path with its query.
    pub path: String,
    /// The headers.
    pub headers: HeaderMap,
}

/// A backend server that records the heads of its requests, and when it ended work on each. It answers with
/// the path, after the milliseconds that the query states; with a second number behind a comma, with a body
/// of that many bytes instead. Work ends when its connection is closed.
#[derive(Clone, Default)]
pub struct Recorder {
    received: Arc<Mutex<Vec<Received>>>,
    ended: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Where requests below `/parent` are sent on, without `/parent`, before they are answered.
    nested: Arc<Mutex<Option<SocketAddr>>>,
}

/// Records the end of work on a request when it is dropped.
struct Work {
    path: String,
    recorder: Recorder,
}

impl Drop for Work {
    fn drop(&mut self) {
        lock(&self.recorder.ended).push((self.path.clone(), Instant::now()));
    }
}

impl Recorder {
    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind(LOOPBACK).await.unwrap();
        let address = listener.local_addr().unwrap();
        let recorder = self.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let recorder = recorder.clone();
                let service = service_fn(move |request| recorder.clone().answer(request));
                let connection =
                    http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::spawn(connection);
            }
        });
        address
    }

    async fn answer(self, request: Request<Incoming>) -> http::Result<Response<Full<Bytes>>> {
        let path = request.uri().path_and_query().unwrap().to_string();
        let headers = request.headers().clone();
        lock(&self.received).push(Received {
            at: Instant::now(),
            path: path.clone(),
            headers,
        });
        let _work = Work {
            path: path.clone(),
            recorder: self.clone(),
        };
        // A connection whose request has an unread body does not notice that it is closed.
        let _ = request.into_body().collect().await;
        let nested = *lock(&self.nested);
        if let (Some(address), Some(rest)) = (nested, path.strip_prefix("/parent")) {
            let child = Request::get(rest).header("host", "certs");
            let _ = caller::call(address, child.body(Full::default())?).await;
        }
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let numbers = query.split(',');
        let mut numbers = numbers.map(|number| number.parse().unwrap_or(0));
        sleep(Duration::from_millis(numbers.next().unwrap_or(0))).await;
        let body = match numbers.next().and_then(|len| usize::try_from(len).ok()) {
            Some(len) => Bytes::from(vec![b'a'; len]),
            None => Bytes::from(path),
        };
        Response::builder().body(Full::from(body))
    }

    /// Returns the requests received so far.
    pub fn received(&self) -> Vec<Received> {
        lock(&self.received).clone()
    }

    /// Returns when work on each request ended, by path.
    pub fn ended(&self) -> Vec<(String, Instant)> {
        lock(&self.ended).clone()
    }

    /// Makes requests below `/parent` call the rest of their path at an address.
    pub fn call_nested(&self, address: SocketAddr) {
        *lock(&self.nested) = Some(address);
    }

    /// Returns the last request received.
    pub fn last(&self) -> Received {
        lock(&self.received).last().cloned().unwrap()
    }
}

/// A daemon and its backend server.
pub struct Vm {
    /// The daemon.
    pub daemon: Arc<Daemon>,
    /// The backend server.
    pub backend: Recorder,
    /// The link between the daemon and the platform.
    pub link: Control,
}

impl Vm {
    /// Makes the platform turn the daemon away.
    pub fn turn_away(&self) {
        self.link.set(Faults {
            accept: Accept::Reset,
            ..Faults::default()
        });
        self.link.reset_connections();
    }

    /// Returns the address for callers.
    pub fn outbound(&self) -> SocketAddr {
        self.daemon.addresses().outbound
    }
}

/// A platform and its daemons.
pub struct TestSite {
    client: Client,
    platform: Platform,
    version: Mutex<u64>,
    /// The VMs, in the order of their start.
    pub vms: Vec<Vm>,
}

impl TestSite {
    /// Starts a platform without daemons.
    pub async fn start() -> Self {
        let platform = Platform::start(LOOPBACK, Limits::default()).await.unwrap();
        let client = client(platform.address());
        TestSite {
            client,
            platform,
            version: Mutex::new(0),
            vms: Vec::new(),
        }
    }

    /// Starts a daemon beside a backend server of a service, with further settings.
    pub async fn add(&mut self, service: &str, settings: &[(&str, &str)]) {
        let names = HeaderNames {
            credential: Some(HeaderName::from_static(KEY_HEADER)),
            organisation: Some(HeaderName::from_static(ORGANISATION_HEADER)),
            ..HeaderNames::default()
        };
        let backend = Recorder::default();
        let address = backend.start().await;
        self.add_beside(service, backend, address, names, settings)
            .await;
    }

    /// Starts a daemon beside the backend server at an address, which speaks with these header names.
    pub async fn add_beside(
        &mut self,
        service: &str,
        backend: Recorder,
        address: SocketAddr,
        names: HeaderNames,
        settings: &[(&str, &str)],
    ) {
        let (proxy, link) = FaultProxy::start(self.platform.address()).await.unwrap();
        let backend_address = address.to_string();
        let (name, platform) = (format!("vm-{}", self.vms.len()), proxy.to_string());
        let pairs = [
            ("NAME", name.as_str()),
            ("DOMAIN", "espoo"),
            ("REGION", "fi-south"),
            ("PLATFORM", &platform),
            ("DISTRIBUTION", "direct"),
            ("SERVICE", service),
            ("BACKEND", &backend_address),
        ];
        let pairs = pairs.iter().chain(settings);
        let pairs = pairs.map(|(name, value)| (format!("BAOBAB_{name}"), (*value).to_owned()));
        let settings = Settings::new(&Flags::default(), &pairs.collect()).unwrap();
        let site = Site {
            names,
            source: Source::External(ExternalConfig {
                key: CONFIG.into(),
                decode: Arc::new(decode),
            }),
            ..Site::new(Arc::new(client(proxy)))
        };
        let daemon = Daemon::with_site(settings, site).unwrap();
        tokio::spawn(kernel::run(Arc::clone(&daemon)));
        self.vms.push(Vm {
            daemon,
            backend,
            link,
        });
    }

    /// Waits until each daemon serves calls of a path. A daemon refuses calls until it has the records of its peers.
    pub async fn wait_served(&self, path: &str) {
        for vm in &self.vms {
            let deadline = Instant::now() + TIMEOUT;
            loop {
                let request = Request::get(path).header("host", "certs");
                let response = caller::call(vm.outbound(), request.body(Full::default()).unwrap());
                let response = response.await.unwrap();
                if response.status().is_success() {
                    break;
                }
                assert!(Instant::now() < deadline, "{response:?}");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Writes the next version to the platform; returns its number.
    pub async fn write(&self, resources: &[Value]) -> u64 {
        let version = {
            let mut version = lock(&self.version);
            *version += 1;
            *version
        };
        let value = self::version(version, resources);
        let entry = self.client.get(CONFIG).await.unwrap();
        let revision = entry.map_or(0, |entry| entry.revision);
        let swap = self.client.swap(CONFIG, revision, Some(value.into()), 0);
        assert!(matches!(swap.await.unwrap(), Swap::Done(_)));
        version
    }

    /// Writes a key of the platform as another writer.
    pub async fn put(&self, key: &str, value: Vec<u8>) {
        let swap = self.client.swap(key, 0, Some(value.into()), 0);
        assert!(matches!(swap.await.unwrap(), Swap::Done(_)));
    }

    /// Writes the next version, and waits until it is in force at all daemons and each knows all others.
    pub async fn configure(&self, resources: &[Value]) {
        let version = self.write(resources).await;
        let count = self.vms.len();
        let is_ready = |vm: &Vm| {
            let members = vm.daemon.fleet.load().members().len();
            vm.daemon.config.stamp().version == version && members == count
        };
        wait_until(|| self.vms.iter().all(is_ready)).await;
    }
}

impl Drop for TestSite {
    fn drop(&mut self) {
        for vm in &self.vms {
            vm.daemon.drain.advance(Phase::Stopped);
        }
    }
}

fn client(address: SocketAddr) -> Client {
    let settings = ClientSettings {
        address,
        timeout: Duration::from_secs(1),
    };
    Client::new(&settings, Arc::new(JsonDialect)).unwrap()
}

/// Waits for a condition, for a limited time.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "not reached in time");
        sleep(Duration::from_millis(10)).await;
    }
}
