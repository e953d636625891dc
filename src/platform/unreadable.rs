//! Entries of the platform that cannot be read, as another writer may leave them.

use crate::event;
use crate::sync::lock;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::sync::Mutex;

/// The most entries that are remembered as logged.
const MAX_LOGGED: usize = 256;

/// The entries that were logged, with the reason.
static LOGGED: Mutex<BTreeSet<(String, String)>> = Mutex::new(BTreeSet::new());

/// Returns what can be read of a list of entries, each given with its key. The others are left out and logged once.
pub fn skip_unreadable<T, E: Display>(
    entries: impl IntoIterator<Item = (String, Result<T, E>)>,
) -> Vec<T> {
    let entries = entries.into_iter().filter_map(|(key, entry)| match entry {
        Ok(entry) => Some(entry),
        Err(err) => {
            log_once(key, err.to_string());
            None
        }
    });
    entries.collect()
}

fn log_once(key: String, error: String) {
    let mut logged = lock(&LOGGED);
    if logged.contains(&(key.clone(), error.clone())) {
        return;
    }
    if logged.len() >= MAX_LOGGED {
        logged.clear();
    }
    event!(EntryUnreadable, key = key, error = error);
    logged.insert((key, error));
}
