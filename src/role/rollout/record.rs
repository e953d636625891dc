//! The step record of a rollout in the platform.

use crate::daemon::Daemon;
use crate::event;
use crate::generated::mesh as wire;
use crate::platform::PlatformError;
use crate::rollout::registry::Rollout;
use crate::rollout::wire as convert;
use bytes::Bytes;
use prost::Message;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Prefix of the platform keys that hold the step records, followed by the service.
const PREFIX: &str = "baobab/rollout/";

/// Greatest time since a record was written that is added to the age of its order. A greater one is taken for a
/// difference of the clocks.
const MAX_PAUSE_MS: u64 = 600_000;

/// Longest encoded evidence that is stored, in bytes.
const MAX_EVIDENCE_LEN: usize = 256 * 1024;

/// A step record that was read.
pub(super) struct Record {
    /// The value; empty if there is no record.
    pub(super) value: Bytes,
    /// The revision; zero if there is no record.
    pub(super) revision: u64,
    /// The rollout, if there is a record that can be decoded.
    pub(super) rollout: Option<Rollout>,
}

/// Returns the key of the step record of a service.
pub(super) fn key(service: &str) -> String {
    format!("{PREFIX}{service}")
}

/// Reads the step record of a service, and merges what it holds. Its step is not in force by that alone, unless
/// it stays without renewals.
pub(super) async fn read(daemon: &Daemon, service: &str) -> Result<Record, PlatformError> {
    let key = key(service);
    let Some(entry) = daemon.store.platform().get(&key).await? else {
        return Ok(Record {
            value: Bytes::new(),
            revision: 0,
            rollout: None,
        });
    };
    let rollout = match wire::Rollout::decode(entry.value.clone()) {
        Ok(record) => Some(merge(daemon, record)),
        Err(err) => {
            event!(RolloutRecordFailed, key = key, error = err);
            None
        }
    };
    Ok(Record {
        value: entry.value,
        revision: entry.revision,
        rollout,
    })
}

/// Reads the step record of a service without an order, and merges it if its rollout has ended: a final phase outlasts
/// the order.
pub(super) async fn read_ended(daemon: &Daemon, service: &str) -> Result<(), PlatformError> {
    let key = key(service);
    let Some(entry) = daemon.store.platform().get(&key).await? else {
        return Ok(());
    };
    match wire::Rollout::decode(entry.value) {
        Ok(record) if is_ended(&record) => {
            merge(daemon, record);
        }
        Ok(_) => {}
        Err(err) => event!(RolloutRecordFailed, key = key, error = err),
    }
    Ok(())
}

fn is_ended(record: &wire::Rollout) -> bool {
    let step = record.step.as_ref();
    step.is_some_and(|step| convert::decode_phase(step.phase()).is_final())
}

fn merge(daemon: &Daemon, mut record: wire::Rollout) -> Rollout {
    let since = unix_ms().saturating_sub(record.written_ms);
    if since <= MAX_PAUSE_MS {
        record.age_ms += since;
    }
    for evidence in std::mem::take(&mut record.evidence) {
        let (key, counts) = convert::decode_counts(evidence);
        daemon.rollouts.merge_evidence(record.order, key, counts);
    }
    if let Some(step) = &mut record.step {
        step.renewed_age_ms = None;
    }
    let rollout = convert::decode(record, Instant::now());
    daemon.rollouts.merge(rollout.clone());
    rollout
}

/// Encodes the step record of a rollout with the evidence received.
pub(super) fn encode(daemon: &Daemon, rollout: &Rollout) -> Bytes {
    let order = rollout.order.revision;
    let mut record = convert::encode(rollout, Instant::now());
    record.written_ms = unix_ms();
    let evidence = daemon.rollouts.evidence(order);
    let servers = evidence.servers();
    record.evidence = servers
        .map(|(key, counts)| convert::encode_counts(order, key, counts))
        .collect();
    if record.encoded_len() > MAX_EVIDENCE_LEN {
        let version = &rollout.order.version;
        record.evidence.retain(|server| server.version == *version);
    }
    record.encode_to_vec().into()
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since: Duration| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
