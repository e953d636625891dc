//! Outgoing messages of one stream, coalesced while the stream is busy.

use super::history::History;
use crate::generated::mesh as wire;
use crate::generated::mesh::frame::Content;
use crate::member::{batch, rank};
use crate::snapshot::Stamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// The outgoing messages of one stream.
///
/// An outbox is not a queue: a newer version replaces an older one, a newer record of a daemon
/// replaces an older one, and at most one message of every other type is pending. So a slow stream
/// holds at most the newest version and one record per daemon, and no state is lost.
#[derive(Debug)]
pub struct Outbox {
    /// Time for which member records are batched.
    batch_window: Duration,
    /// Interval between heartbeats while nothing else is sent.
    heartbeat_interval: Duration,
    /// The hello or welcome.
    greeting: Option<Content>,
    redirect: Option<wire::Redirect>,
    ack: Option<wire::Ack>,
    /// The base version from which an update is requested.
    need: Option<Stamp>,
    /// The attachment keys of the daemons attached here.
    attached: Option<Vec<u64>>,
    /// The relay slot that the other side is asked to acquire.
    promote: Option<u32>,
    /// The version that the other side has once everything sent so far has arrived.
    remote_stamp: Stamp,
    /// Whether to send an update if the other side has an older version.
    offer: bool,
    /// The member records of the batch, by name.
    members: BTreeMap<String, wire::Member>,
    /// Failure domains whose member records are requested.
    wanted: BTreeSet<String>,
    digests: Option<Vec<wire::DomainDigest>>,
    /// When the batch of member records is sent.
    flush_at: Option<Instant>,
    /// When the next heartbeat is sent if nothing else is.
    heartbeat_at: Instant,
    greeting_sent: bool,
}

/// The next step of a stream's writer.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Send this message now.
    Send(Box<Content>),
    /// Wait until this time, or until something new is added.
    Wait(Instant),
}

/// The state that a heartbeat reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatState {
    /// The newest version of the sender.
    pub version: u64,
    /// The digest over all member records of the sender.
    pub digest: u64,
}

impl Outbox {
    /// Creates an outbox that batches member records for `batch_window` and sends a heartbeat after
    /// each `heartbeat_interval` without another message.
    #[must_use]
    pub fn new(batch_window: Duration, heartbeat_interval: Duration, now: Instant) -> Self {
        Outbox {
            batch_window,
            heartbeat_interval,
            greeting: None,
            redirect: None,
            ack: None,
            need: None,
            attached: None,
            promote: None,
            remote_stamp: Stamp::default(),
            offer: false,
            members: BTreeMap::new(),
            wanted: BTreeSet::new(),
            digests: None,
            flush_at: None,
            heartbeat_at: now + heartbeat_interval,
            greeting_sent: false,
        }
    }

    /// Sets the hello or welcome, which is sent before everything else.
    pub fn set_greeting(&mut self, content: Content) {
        self.greeting = Some(content);
    }

    /// Sends a redirect to the other side.
    pub fn redirect(&mut self, redirect: wire::Redirect) {
        self.redirect = Some(redirect);
    }

    /// Acknowledges that a version is in force, or reports that it was refused.
    pub fn set_ack(&mut self, ack: wire::Ack) {
        self.ack = Some(ack);
    }

    /// Requests an update from this base version; an empty stamp requests a full snapshot.
    pub fn request_update(&mut self, have: Stamp) {
        self.need = Some(have);
    }

    /// Sets the version that the other side has, even if it is lower than the known one.
    pub fn set_remote_stamp(&mut self, stamp: Stamp) {
        self.remote_stamp = stamp;
    }

    /// Raises the version that the other side is known to have; never lowers it.
    pub fn raise_remote_stamp(&mut self, stamp: Stamp) {
        self.remote_stamp = self.remote_stamp.max(stamp);
    }

    /// Sends the newest version unless the other side has it.
    pub fn offer_newest(&mut self) {
        self.offer = true;
    }

    /// Sends a heartbeat at this time at the latest. It reports the newest version without sending
    /// its content.
    pub fn send_heartbeat(&mut self, time: Instant) {
        self.heartbeat_at = self.heartbeat_at.min(time);
    }

    /// Sends the attachment keys of the daemons attached here.
    pub fn set_attached(&mut self, keys: Vec<u64>) {
        self.attached = Some(keys);
    }

    /// Asks the other side to acquire a relay slot.
    pub fn promote(&mut self, slot: u32) {
        self.promote = Some(slot);
    }

    /// Adds member records to the batch.
    pub fn add_members(&mut self, records: &[wire::Member], now: Instant) {
        for record in records {
            let pending = self.members.get(&record.name);
            if pending.is_none_or(|pending| rank(pending) < rank(record)) {
                self.members.insert(record.name.clone(), record.clone());
            }
        }
        if !records.is_empty() {
            self.flush_at.get_or_insert(now + self.batch_window);
        }
    }

    /// Sends the batch of member records now.
    pub fn flush(&mut self, now: Instant) {
        self.flush_at = Some(now);
    }

    /// Requests all member records of some failure domains.
    pub fn request_domains(&mut self, domains: Vec<String>, now: Instant) {
        if !domains.is_empty() {
            self.wanted.extend(domains);
            self.flush_at.get_or_insert(now);
        }
    }

    /// Sends digests, so that the other side replies with the records that differ.
    pub fn send_digests(&mut self, digests: Vec<wire::DomainDigest>, now: Instant) {
        self.digests = Some(digests);
        self.flush(now);
    }

    /// Returns the next message, or the time to wait until if nothing is due.
    pub fn next(&mut self, history: &mut History, heartbeat: HeartbeatState, now: Instant) -> Next {
        let content = self.pop(history, heartbeat, now);
        let Some(content) = content else {
            let heartbeat_at = self.heartbeat_at;
            let until = self
                .flush_at
                .map_or(heartbeat_at, |at| at.min(heartbeat_at));
            return Next::Wait(until);
        };
        self.heartbeat_at = now + self.heartbeat_interval;
        Next::Send(Box::new(content))
    }

    fn pop(
        &mut self,
        history: &mut History,
        heartbeat: HeartbeatState,
        now: Instant,
    ) -> Option<Content> {
        if let Some(greeting) = self.greeting.take() {
            self.greeting_sent = true;
            return Some(greeting);
        }
        if let Some(redirect) = self.redirect.take() {
            return Some(Content::Redirect(redirect));
        }
        // The first message must be a greeting or a redirect.
        if !self.greeting_sent {
            return None;
        }
        if let Some(update) = self.pop_update(history) {
            return Some(Content::Update(update));
        }
        if let Some(ack) = self.ack.take() {
            return Some(Content::Ack(ack));
        }
        if let Some(have) = self.need.take() {
            let have = Some(have.to_wire());
            return Some(Content::Need(wire::Need { have }));
        }
        if let Some(keys) = self.attached.take() {
            return Some(Content::Attached(wire::Attached { keys }));
        }
        if let Some(slot) = self.promote.take() {
            return Some(Content::Promote(wire::Promote { slot }));
        }
        if self.flush_at.is_some_and(|flush| flush <= now) {
            return Some(Content::Members(self.pop_members()));
        }
        (self.heartbeat_at <= now).then(|| {
            Content::Heartbeat(wire::Heartbeat {
                version: heartbeat.version,
                digest: heartbeat.digest,
            })
        })
    }

    fn pop_update(&mut self, history: &mut History) -> Option<wire::Update> {
        if !std::mem::take(&mut self.offer) {
            return None;
        }
        let update = history.update_from(self.remote_stamp)?;
        self.remote_stamp = history.stamp();
        Some(update)
    }

    fn pop_members(&mut self) -> wire::MemberUpdate {
        self.flush_at = None;
        let members = std::mem::take(&mut self.members);
        let wanted = std::mem::take(&mut self.wanted);
        wire::MemberUpdate {
            wanted: wanted.into_iter().collect(),
            digests: self.digests.take().unwrap_or_default(),
            ..batch::pack(members.into_values().collect())
        }
    }
}
