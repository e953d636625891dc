//! An in-memory platform that is slow, down, or loses responses, determined by a seed.

use baobabstage::generated::mesh as wire;
use baobabstage::platform::{
    Changes, Entry, KeyEvent, Listing, Platform, PlatformError, PlatformFuture, Swap,
};
use baobabstage::store::HEAD_KEY;
use baobabstage::sync::lock;
use bytes::Bytes;
use prost::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;

/// The rates of injected faults, in percent of calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Whether all calls fail after [`TIMEOUT`], without effect.
    pub down: bool,
    /// Writes that take effect but whose response is lost.
    pub lost: u32,
    /// Writes that take effect after a random delay, while their caller times out.
    pub late: u32,
    /// Calls that fail at once, without effect.
    pub refused: u32,
}

const MAX_DELAY_MS: u64 = 30;
const MAX_LATE_MS: u64 = 8_000;
const TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Default)]
struct State {
    revision: u64,
    keys: BTreeMap<String, (Bytes, u64)>,
    heads: Vec<wire::Head>,
    faults: Faults,
}

/// An in-memory platform.
#[derive(Clone)]
pub struct Fake {
    state: Arc<Mutex<State>>,
    rng: Arc<Mutex<StdRng>>,
}

enum WriteEffect {
    Normal,
    Lost,
    Late(Duration),
}

impl Fake {
    pub fn new(seed: u64) -> Self {
        Fake {
            state: Arc::default(),
            rng: Arc::new(Mutex::new(StdRng::seed_from_u64(seed))),
        }
    }

    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns every value that `head` has had.
    pub fn heads(&self) -> Vec<wire::Head> {
        lock(&self.state).heads.clone()
    }

    /// Reads a key without delay or fault.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        let state = lock(&self.state);
        state.keys.get(key).map(|(value, _)| value.clone())
    }

    fn write(&self, key: &str, expected: u64, value: Option<Bytes>) -> Swap {
        let mut state = lock(&self.state);
        let revision = state.keys.get(key).map_or(0, |(_, revision)| *revision);
        if revision != expected {
            return Swap::Stale(revision);
        }
        state.revision += 1;
        let revision = state.revision;
        let Some(value) = value else {
            state.keys.remove(key);
            return Swap::Done(revision);
        };
        if key == HEAD_KEY {
            state.heads.push(wire::Head::decode(&value[..]).unwrap());
        }
        state.keys.insert(key.into(), (value, revision));
        Swap::Done(revision)
    }

    async fn delay_or_fail(&self) -> Result<(), PlatformError> {
        let delay = lock(&self.rng).random_range(0..MAX_DELAY_MS);
        sleep(Duration::from_millis(delay)).await;
        let faults = lock(&self.state).faults;
        if faults.down {
            sleep(TIMEOUT).await;
            return Err(PlatformError::Unavailable("down".into()));
        }
        if self.occurs(faults.refused) {
            return Err(PlatformError::Unavailable("refused".into()));
        }
        Ok(())
    }

    fn occurs(&self, percent: u32) -> bool {
        lock(&self.rng).random_range(0..100) < percent
    }

    fn write_effect(&self) -> WriteEffect {
        let faults = lock(&self.state).faults;
        if self.occurs(faults.lost) {
            WriteEffect::Lost
        } else if self.occurs(faults.late) {
            let after = lock(&self.rng).random_range(0..MAX_LATE_MS);
            WriteEffect::Late(Duration::from_millis(after))
        } else {
            WriteEffect::Normal
        }
    }
}

impl Platform for Fake {
    fn get<'a>(&'a self, key: &'a str) -> PlatformFuture<'a, Option<Entry>> {
        Box::pin(async move {
            self.delay_or_fail().await?;
            let state = lock(&self.state);
            Ok(state.keys.get(key).map(|(value, revision)| Entry {
                key: key.into(),
                value: value.clone(),
                revision: *revision,
            }))
        })
    }

    fn list<'a>(&'a self, prefix: &'a str, _: bool, limit: u32) -> PlatformFuture<'a, Listing> {
        Box::pin(async move {
            self.delay_or_fail().await?;
            let state = lock(&self.state);
            let found = state.keys.range(prefix.to_owned()..);
            let found = found.take_while(|(key, _)| key.starts_with(prefix));
            let entries = found.map(|(key, (_, revision))| Entry {
                key: key.clone(),
                value: Bytes::new(),
                revision: *revision,
            });
            let limit = if limit == 0 {
                usize::MAX
            } else {
                limit as usize
            };
            let entries = entries.take(limit).collect();
            let revision = state.revision;
            Ok(Listing { entries, revision })
        })
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        expected: u64,
        value: Option<Bytes>,
        _: u64,
    ) -> PlatformFuture<'a, Swap> {
        Box::pin(async move {
            self.delay_or_fail().await?;
            match self.write_effect() {
                WriteEffect::Normal => Ok(self.write(key, expected, value)),
                WriteEffect::Lost => {
                    self.write(key, expected, value);
                    Err(PlatformError::Unknown("response lost".into()))
                }
                WriteEffect::Late(after) => {
                    let (fake, key) = (self.clone(), key.to_owned());
                    tokio::spawn(async move {
                        sleep(after).await;
                        fake.write(&key, expected, value);
                    });
                    sleep(TIMEOUT).await;
                    Err(PlatformError::Unknown("no response in time".into()))
                }
            }
        })
    }

    fn changes<'a>(&'a self, key: &'a str, _: u64, time: Duration) -> PlatformFuture<'a, Changes> {
        Box::pin(async move {
            sleep(time).await;
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
