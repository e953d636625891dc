//! Measures the cost of member records, snapshots and tables in memory at the target fleet size.

use super::Options;
use baobabstage::generated::mesh as wire;
use baobabstage::member::{MemberSet, SetSettings};
use baobabstage::resource::{Kind, ResourceKey, Spec};
use baobabstage::snapshot::{Resource, Snapshot};
use baobabstage::table::Table;
use prost::Message;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Target fleet size.
const MEMBERS: u32 = 3_300;
const DOMAINS: u32 = 22;
const REGIONS: u32 = 7;
/// Repetitions of a measured step.
const ROUNDS: u32 = 20;

/// Prints sizes, times and memory usage of member records and snapshots at the target size.
///
/// # Errors
///
/// Fails when the snapshot does not compile.
pub fn run(options: &Options) -> anyhow::Result<()> {
    members(options.services);
    snapshot(options.services)
}

fn member(index: u32, services: u32) -> wire::Member {
    let domain = index % DOMAINS;
    wire::Member {
        name: format!("vm-{index:04}"),
        // Microseconds since the Unix epoch, as in a real daemon.
        incarnation: 1_790_000_000_000_000 + u64::from(index),
        sequence: 1,
        state: wire::MemberState::Ready.into(),
        service: format!("service-{}", index % services.max(1)),
        domain: format!("domain-{domain}"),
        region: format!("region-{}", domain % REGIONS),
        inbound: format!("10.{}.{}.{}:7001", domain, index / 250, index % 250),
        mesh: format!("10.{}.{}.{}:7002", domain, index / 250, index % 250),
        slots: 12,
        ..wire::Member::default()
    }
}

fn members(services: u32) {
    let records: Vec<wire::Member> = (0..MEMBERS).map(|i| member(i, services)).collect();
    let update = wire::MemberUpdate {
        members: records.clone(),
        ..wire::MemberUpdate::default()
    };
    let plain = update.encode_to_vec();
    println!("records: {MEMBERS}, encoded {} bytes", plain.len());
    println!("records, compressed (zlib): {} bytes", compressed(&plain));
    println!("one record, encoded: {} bytes", records[0].encoded_len());

    let before = resident_kb();
    let now = Instant::now();
    let mut set = MemberSet::new("domain-0", SetSettings::default());
    timed("merge all records", 1, || {
        set.merge(records.clone(), now);
    });
    let growth = resident_kb().saturating_sub(before);
    println!("memory of the member set: {growth} KB");
    timed("merge all records again", ROUNDS, || {
        set.merge(records.clone(), now);
    });
    let mut sequence = 1;
    timed("merge one changed record", ROUNDS, || {
        sequence += 1;
        let changed = wire::Member {
            sequence,
            ..records[7].clone()
        };
        set.merge(vec![changed], now);
    });
    timed("compute the digest of all members", ROUNDS, || {
        std::hint::black_box(set.digest());
    });
    timed("compute the digests of all failure domains", ROUNDS, || {
        std::hint::black_box(set.digests());
    });
    timed("list members for routing", ROUNDS, || {
        std::hint::black_box(set.fleet());
    });
    set.start_relay();
    timed("sweep members at a relay", ROUNDS, || {
        std::hint::black_box(set.sweep(now));
    });
    let request = wire::MemberUpdate {
        wanted: set.digests().into_iter().map(|d| d.domain).collect(),
        ..wire::MemberUpdate::default()
    };
    let hello = wire::Hello {
        digests: set.digests(),
        ..wire::Hello::default()
    };
    println!("digests in a hello: {} bytes", hello.encoded_len());
    println!(
        "request for all failure domains: {} bytes",
        request.encoded_len()
    );
}

fn snapshot(services: u32) -> anyhow::Result<()> {
    let base = Snapshot::new(1, "seed", resources(services)?);
    let mut changed = base.resources().clone();
    let key = ResourceKey::new(Kind::Pool, "service-7");
    let spec = Spec::from_value(Kind::Pool, &json!({ "slots": 13, "connections": 120 }))?;
    changed.insert(key, Resource::new(2, spec));
    let next = Snapshot::new(2, "change-2", changed);
    let delta = next.delta_from(&base);
    println!(
        "snapshot: {} resources, encoded {} bytes",
        base.resources().len(),
        base.encode().len()
    );
    println!("snapshot, packed: {} bytes", base.pack().data.len());
    println!("delta of one pool: {} bytes", delta.encoded_len());
    timed("pack a snapshot", ROUNDS, || {
        std::hint::black_box(base.pack());
    });
    let packed = base.pack();
    timed("unpack and check a snapshot", ROUNDS, || {
        std::hint::black_box(Snapshot::unpack(&packed).is_ok());
    });
    timed("compute the delta between two snapshots", ROUNDS, || {
        std::hint::black_box(next.delta_from(&base));
    });
    timed("apply a delta", ROUNDS, || {
        std::hint::black_box(base.apply_delta(delta.clone()).is_ok());
    });
    let next = Arc::new(next);
    timed("compile a table", ROUNDS, || {
        std::hint::black_box(Table::compile(Arc::clone(&next)).is_ok());
    });
    let before = resident_kb();
    let tables: Result<Vec<Table>, _> = (0..ROUNDS)
        .map(|_| Table::compile(Arc::new(Snapshot::unpack(&packed)?)))
        .collect();
    let tables = tables?;
    let growth = resident_kb().saturating_sub(before) / u64::from(ROUNDS);
    println!(
        "memory of a snapshot with its table: {growth} KB (mean of {})",
        tables.len()
    );
    Ok(())
}

fn resources(services: u32) -> anyhow::Result<BTreeMap<ResourceKey, Resource>> {
    let mut resources = BTreeMap::new();
    for index in 0..services {
        let name = format!("service-{index}");
        let specs = [
            (
                Kind::Policy,
                json!({ "kinds": { "lookup": 10, "issue": 100 } }),
            ),
            (Kind::Pool, json!({ "slots": 12, "connections": 120 })),
            (Kind::Service, json!({ "pool": name, "policy": name })),
            (
                Kind::Route,
                json!({ "prefix": format!("/{name}"), "service": name,
                    "request_kind": "lookup", "idempotent": true }),
            ),
        ];
        for (kind, spec) in specs {
            let spec = Spec::from_value(kind, &spec)?;
            resources.insert(
                ResourceKey::new(kind, name.as_str()),
                Resource::new(1, spec),
            );
        }
    }
    Ok(resources)
}

/// Runs a step repeatedly and prints its mean time.
fn timed(label: &str, rounds: u32, mut step: impl FnMut()) {
    let start = Instant::now();
    for _ in 0..rounds {
        step();
    }
    let mean: Duration = start.elapsed() / rounds;
    println!("{label}: {mean:?}");
}

fn compressed(data: &[u8]) -> usize {
    use flate2::{Compression, write::ZlibEncoder};
    use std::io::Write as _;
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    // Writing to a vector cannot fail.
    let _ = encoder.write_all(data);
    encoder.finish().map_or(0, |data| data.len())
}

/// Returns the resident memory of this process in kilobytes.
fn resident_kb() -> u64 {
    super::sample::rss_kb(std::process::id()).unwrap_or(0)
}
