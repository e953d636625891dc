//! Records of held requests in the platform, for the case that all daemons of a service end at once.

use crate::call::fingerprint::Fingerprint;
use crate::daemon::Daemon;
use crate::event;
use crate::generated::mesh as wire;
use crate::platform::{PlatformError, Swap};
use crate::quarantine::Quarantine;
use bytes::Bytes;
use prost::Message;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Prefix of the platform keys that hold the records, followed by the service.
const PREFIX: &str = "baobab/crash/";

/// Time for which a record is stored after its last change, as long as daemons remember it.
const LEASE_TTL: Duration = Duration::from_mins(30);

/// Time limit for reading the records at start.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause before a record that could not be stored is written again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Maximum number of attempts at a conditional write whose revision was stale.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// Reads the records of a service. Their crashes are at least as old as stated, since the clocks of the
/// daemons that wrote them are not known here.
pub(super) async fn load(daemon: &Daemon, service: &str, quarantine: &Quarantine) {
    let prefix = format!("{PREFIX}{service}/");
    let listing = daemon.store.platform().list(&prefix, false, 0);
    let entries = match timeout(LOAD_TIMEOUT, listing).await {
        Ok(Ok(listing)) => listing.entries,
        Ok(Err(err)) => {
            event!(SuspectsUnsaved, key = prefix, error = err);
            return;
        }
        Err(_) => {
            event!(SuspectsUnsaved, key = prefix, error = "not read in time");
            return;
        }
    };
    let records = entries.into_iter().filter_map(|entry| {
        let record = wire::CrashRecord::decode(entry.value);
        if let Err(err) = &record {
            event!(SuspectsUnsaved, key = entry.key, error = err);
        }
        record.ok()
    });
    quarantine.restore(records.collect());
}

/// Stores each record that changes here.
pub(super) async fn save(daemon: &Daemon, service: &str, quarantine: &Quarantine) {
    let mut changes = quarantine.reports();
    loop {
        changes.mark_unchanged();
        let mut failed = false;
        for (request, record) in quarantine.take_unsaved() {
            let key = key(service, request);
            if let Err(err) = write(daemon, &key, &record).await {
                event!(SuspectsUnsaved, key = key, error = err);
                quarantine.mark_unsaved(request);
                failed = true;
            }
        }
        if failed {
            sleep(RETRY_PAUSE).await;
        } else if changes.changed().await.is_err() {
            return;
        }
    }
}

fn key(service: &str, request: Fingerprint) -> String {
    let Fingerprint { content, caller } = request;
    format!("{PREFIX}{service}/{content:032x}.{caller:016x}")
}

async fn write(
    daemon: &Daemon,
    key: &str,
    record: &wire::CrashRecord,
) -> Result<(), PlatformError> {
    let platform = daemon.store.platform();
    let lease = platform.grant(LEASE_TTL).await?;
    let value = Bytes::from(record.encode_to_vec());
    let mut revision = 0;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match platform
            .swap(key, revision, Some(value.clone()), lease)
            .await?
        {
            Swap::Done(_) => return Ok(()),
            Swap::Stale(current) => revision = current,
        }
    }
    let reason = "record is written by other daemons as well";
    Err(PlatformError::Unavailable(reason.into()))
}
