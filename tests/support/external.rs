//! Daemons whose configuration is managed externally: each version is a number under one key.

use baobabstage::daemon::Daemon;
use baobabstage::kernel;
use baobabstage::platform::{Client, ClientSettings, JsonDialect};
use baobabstage::resource::{Kind, ResourceKey, Spec};
use baobabstage::settings::{Flags, Settings};
use baobabstage::site::{ExternalConfig, Site, Source};
use baobabstage::snapshot::{Resource, Snapshot};
use baobabstage::{Category, Error, Result};
use standin::platform::Platform;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The platform key of the configuration.
pub const KEY: &str = "external/config";

/// Decodes a version from its number, which words `NAME=WEIGHT` may follow: each stands for a policy.
pub fn decode(value: &[u8], previous: &Snapshot) -> Result<Snapshot> {
    let text = String::from_utf8_lossy(value);
    let mut words = text.split(' ');
    let version = words.next().unwrap_or_default().parse();
    let version = version.map_err(|err| Error::new(Category::Input, err))?;
    let mut resources = BTreeMap::new();
    for word in std::iter::once("p=1").chain(words) {
        let (name, weight) = word.split_once('=').unwrap_or((word, "1"));
        let body = format!(r#"{{"kinds":{{"a":{weight}}}}}"#);
        let spec = Spec::from_json(Kind::Policy, body.as_bytes())?;
        let key = ResourceKey::new(Kind::Policy, name);
        let unchanged = previous.resources().get(&key);
        let unchanged = unchanged.filter(|resource| *resource.spec == spec).cloned();
        resources.insert(
            key,
            unchanged.unwrap_or_else(|| Resource::new(version, spec)),
        );
    }
    Ok(Snapshot::external(version, "given", resources))
}

/// Starts a daemon of the failure domain espoo, with its name from `index`.
pub fn start(platform: &Platform, index: usize, first_start: bool) -> Arc<Daemon> {
    start_with(platform.address(), index, first_start, &[])
}

/// Starts such a daemon with further settings. It reaches the platform at `address`.
pub fn start_with(
    address: SocketAddr,
    index: usize,
    first_start: bool,
    settings: &[(&str, String)],
) -> Arc<Daemon> {
    let pairs = [
        ("BAOBAB_NAME", format!("vm-{index:02}")),
        ("BAOBAB_DOMAIN", "espoo".into()),
        ("BAOBAB_REGION", "fi-south".into()),
        ("BAOBAB_PLATFORM", address.to_string()),
        ("BAOBAB_DISTRIBUTION", "direct".into()),
        ("BAOBAB_FIRST_START", first_start.to_string()),
        ("BAOBAB_OUTBOUND", "127.0.0.1:0".into()),
        ("BAOBAB_INBOUND", "127.0.0.1:0".into()),
        ("BAOBAB_MESH", "127.0.0.1:0".into()),
        ("BAOBAB_OPERATOR", "127.0.0.1:0".into()),
        ("BAOBAB_ADMIN", "127.0.0.1:0".into()),
    ];
    let pairs = pairs.iter().chain(settings);
    let pairs = pairs.map(|(name, value)| ((*name).to_owned(), value.clone()));
    let settings = Settings::new(&Flags::default(), &pairs.collect()).unwrap();
    let site = Site {
        source: Source::External(ExternalConfig {
            key: KEY.into(),
            decode: Arc::new(decode),
        }),
        ..Site::new(Arc::new(client_at(address)))
    };
    let daemon = Daemon::with_site(settings, site).unwrap();
    tokio::spawn(kernel::run(Arc::clone(&daemon)));
    daemon
}

/// Returns a client of the platform.
pub fn client(platform: &Platform) -> Client {
    client_at(platform.address())
}

fn client_at(address: SocketAddr) -> Client {
    let settings = ClientSettings {
        address,
        timeout: Duration::from_secs(1),
    };
    Client::new(&settings, Arc::new(JsonDialect)).unwrap()
}
