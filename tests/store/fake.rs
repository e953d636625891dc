//! An in-memory platform with injected faults of compare-and-swap calls.

use baobabstage::platform::{
    Changes, Entry, KeyEvent, Listing, Platform, PlatformError, PlatformFuture, Swap,
};
use baobabstage::sync::lock;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::watch;

/// The fault of writes to the keys with a prefix. All but [`Fault::NoResponse`] end by themselves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The first write takes effect, but its response is lost.
    LostAfter,
    /// The first write is lost before it takes effect.
    LostBefore,
    /// The first write is delayed and takes effect right before the second.
    Delayed,
    /// No write gets a response; the first takes effect on [`Fake::release`].
    NoResponse,
}

#[derive(Default)]
pub struct Fake {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    revision: u64,
    /// Values and revisions by key.
    keys: BTreeMap<String, (Bytes, u64)>,
    fault: Option<(String, Fault)>,
    /// The write that has not taken effect yet.
    delayed: Option<Write>,
}

#[derive(Clone)]
struct Write {
    key: String,
    expected: u64,
    value: Option<Bytes>,
}

impl Fake {
    pub fn fault(&self, prefix: &str, fault: Fault) {
        lock(&self.state).fault = Some((prefix.into(), fault));
    }

    pub fn clear_fault(&self) {
        lock(&self.state).fault = None;
    }

    /// Lets the delayed write take effect, and clears the fault.
    pub fn release(&self) {
        let mut state = lock(&self.state);
        state.fault = None;
        if let Some(write) = state.delayed.take() {
            state.write(write);
        }
    }

    pub fn remove(&self, prefix: &str) {
        let mut state = lock(&self.state);
        state.keys.retain(|key, _| !key.starts_with(prefix));
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = lock(&self.state);
        let keys = state.keys.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }
}

impl State {
    fn write(&mut self, write: Write) -> Swap {
        let revision = self.keys.get(&write.key).map_or(0, |(_, at)| *at);
        if revision != write.expected {
            return Swap::Stale(revision);
        }
        self.revision += 1;
        match write.value {
            Some(value) => {
                self.keys.insert(write.key, (value, self.revision));
            }
            None => {
                self.keys.remove(&write.key);
            }
        }
        Swap::Done(self.revision)
    }

    fn swap(&mut self, write: Write) -> Result<Swap, PlatformError> {
        let lost = Err(PlatformError::Unknown("no response".into()));
        let fault = self.fault.as_ref();
        let fault = fault.filter(|(prefix, _)| write.key.starts_with(prefix));
        match fault.map(|(_, fault)| *fault) {
            None => {}
            Some(Fault::LostAfter) => {
                self.fault = None;
                self.write(write);
                return lost;
            }
            Some(Fault::LostBefore) => {
                self.fault = None;
                return lost;
            }
            Some(Fault::Delayed) => {
                if let Some(delayed) = self.delayed.take() {
                    self.fault = None;
                    self.write(delayed);
                } else {
                    self.delayed = Some(write);
                    return lost;
                }
            }
            Some(Fault::NoResponse) => {
                self.delayed.get_or_insert(write);
                return lost;
            }
        }
        Ok(self.write(write))
    }
}

impl Platform for Fake {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Entry>> {
        let state = lock(&self.state);
        let entry = state.keys.get(key).map(|(value, revision)| Entry {
            key: key.into(),
            value: value.clone(),
            revision: *revision,
        });
        Box::pin(async { Ok(entry) })
    }

    fn list<'a>(&'a self, prefix: &'a str, _: bool, limit: u32) -> PlatformFuture<'a, Listing> {
        let state = lock(&self.state);
        let found = state.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let entries = found
            .take(limit as usize)
            .map(|(key, (_, revision))| Entry {
                key: key.clone(),
                value: Bytes::new(),
                revision: *revision,
            });
        let entries = entries.collect();
        let revision = state.revision;
        Box::pin(async move { Ok(Listing { entries, revision }) })
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Option<Bytes>,
        _: u64,
    ) -> PlatformFuture<'a, Swap> {
        let key = key.into();
        let result = lock(&self.state).swap(Write {
            key,
            expected,
            value,
        });
        Box::pin(async { result })
    }

    fn changes<'a>(&'a self, key: &'a str, _: u64, _: Duration) -> PlatformFuture<'a, Changes> {
        Box::pin(async move {
            let entry = self.get(key).await?;
            let revision = lock(&self.state).revision;
            let events = entry.into_iter().map(KeyEvent::Put).collect();
            Ok(Changes::Events { events, revision })
        })
    }

    fn grant(&self, _: Duration) -> PlatformFuture<'_, u64> {
        Box::pin(async { Ok(1) })
    }

    fn renew(&self, _: u64) -> PlatformFuture<'_, bool> {
        Box::pin(async { Ok(true) })
    }

    fn revoke(&self, _: u64) -> PlatformFuture<'_, ()> {
        Box::pin(async { Ok(()) })
    }

    fn restores(&self) -> watch::Receiver<u64> {
        watch::channel(0).1
    }
}
