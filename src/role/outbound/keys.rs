//! The check of a call's API key against the version in force.

use super::newer;
use crate::call::Refusal;
use crate::call::access::{
    self, Access, AccessMetrics, CallOrganisation, Currency, KeyRefusal, PresentedKey,
};
use crate::daemon::Daemon;
use crate::event;
use crate::table::{RouteEntry, Table};
use http::HeaderMap;

/// Decides on a call's key and removes it from the headers; returns the organisation that holds it.
pub(super) fn check(
    daemon: &Daemon,
    metrics: &AccessMetrics,
    table: &Table,
    entry: &RouteEntry,
    key: PresentedKey,
    id: &str,
    headers: &mut HeaderMap,
) -> Result<Option<CallOrganisation>, Refusal> {
    let currency = currency(daemon, table);
    let organisation = match access::decide(table, entry.route().public, key, currency) {
        // The newer version may check keys.
        Access::Unchecked if currency.newer.is_some() => None,
        Access::Unchecked => return Ok(None),
        Access::Anonymous => None,
        Access::Named(organisation) => Some(organisation),
        Access::Refused(refusal) => {
            log_refusal(table, entry, id, refusal);
            metrics.note_refusal(refusal);
            return Err(refusal.refusal());
        }
    };
    access::remove_headers(headers, &daemon.names);
    Ok(organisation)
}

/// Returns what this daemon knows of newer versions.
pub(super) fn currency(daemon: &Daemon, table: &Table) -> Currency {
    Currency {
        newer: newer::newer_version(daemon, table),
        closed: daemon.contact.is_closed(&daemon.limits.load()),
    }
}

/// Returns the state of the check for the state dump.
pub(super) fn state(daemon: &Daemon) -> serde_json::Value {
    let table = daemon.config.table();
    serde_json::json!({
        "checked": table.checks_keys(),
        "organisations": table.organisations().count(),
        "contact_ms_ago": daemon.contact.age().map(|age| age.as_millis()),
        "closed": currency(daemon, &table).closed,
    })
}

fn log_refusal(table: &Table, entry: &RouteEntry, id: &str, refusal: KeyRefusal) {
    event!(
        KeyRefused,
        request = id,
        reason = refusal.as_str(),
        route = entry.name,
        version = table.stamp().version,
    );
}
