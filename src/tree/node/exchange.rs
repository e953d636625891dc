//! Propagation of member records: to the parent, between relays, and to children.

use super::{Effect, MAX_MISSED_HEARTBEATS, Node, Source, is_relay};
use crate::generated::mesh as wire;
use crate::generated::mesh::MemberState;
use crate::member::batch;
use crate::tree::link::{Link, LinkId, Side};
use tokio::time::Instant;

impl Node {
    /// Announces this daemon's member record.
    ///
    /// The sequence is raised above that of every earlier announcement. A record in the draining
    /// state is sent at once instead of with the next batch.
    pub fn announce(&mut self, mut record: wire::Member, now: Instant) -> Vec<Effect> {
        if let Some(own) = self.own_record.as_ref().filter(|own| **own != record) {
            record.sequence = record.sequence.max(own.sequence + 1);
        }
        let urgent = record.state() == MemberState::Draining;
        self.own_record = Some(record.clone());
        let changed = if is_relay(self.role) {
            self.members.attach(record, now)
        } else {
            self.members.merge(vec![record], now)
        };
        let effects = self.propagate(&changed, Source::Own, now);
        if urgent {
            for (id, link) in &mut self.links {
                link.outbox.flush(now);
                self.writable.insert(id);
            }
        }
        effects
    }

    /// Runs periodic work: suspects and removes members, closes silent streams, and rebalances
    /// children.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let swept = self.members.sweep(now);
        let mut effects = self.propagate(&swept, Source::Own, now);
        effects.extend(self.refute(now));
        let silence_limit = self.settings.heartbeat * MAX_MISSED_HEARTBEATS;
        for (id, link) in &self.links {
            if now.saturating_duration_since(link.last_received) >= silence_limit {
                effects.push(Effect::Close(id));
            }
        }
        self.rebalance(now);
        self.share_attached();
        effects
    }

    pub(super) fn on_members(
        &mut self,
        id: LinkId,
        mut update: wire::MemberUpdate,
        now: Instant,
    ) -> Vec<Effect> {
        let Ok(records) = batch::unpack(&mut update) else {
            return vec![Effect::Close(id)];
        };
        let changed = self.merge_from(id, records, now);
        let mut effects = self.propagate(&changed, Source::Link(id), now);
        effects.extend(self.refute(now));
        let mut records = Vec::new();
        for domain in &update.wanted {
            records.extend(self.members.records_of(domain));
        }
        let mut wanted = Vec::new();
        if !update.digests.is_empty() {
            let (more, want) = self.members.diff(&update.digests);
            records.extend(more);
            wanted = want;
        }
        if let Some(link) = self.links.get_mut(id)
            && !(records.is_empty() && wanted.is_empty())
        {
            link.outbox.add_members(&records, now);
            link.outbox.flush(now);
            link.outbox.request_domains(wanted, now);
            self.writable.insert(id);
        }
        effects
    }

    pub(super) fn on_heartbeat(
        &mut self,
        id: LinkId,
        heartbeat: &wire::Heartbeat,
        now: Instant,
    ) -> Vec<Effect> {
        let differs = heartbeat.digest != self.members_digest;
        let digests = differs.then(|| self.members.digests());
        let (newer, name) = (
            self.newest().version < heartbeat.version,
            self.identity.name.clone(),
        );
        let Some(link) = self.links.get_mut(id) else {
            return Vec::new();
        };
        // Digests differ for one heartbeat while changes are in transit. Only a difference that
        // remains at the next heartbeat means that an update was lost.
        let update_lost = differs && link.digest_differs;
        link.digest_differs = differs && !update_lost;
        // Only one end of a stream sends digests; the other replies with the differing records.
        let compares = match link.side {
            Side::Parent => true,
            Side::Peer => name < link.name,
            Side::Child => false,
        };
        if let Some(digests) = digests.filter(|_| update_lost && compares) {
            link.outbox.send_digests(digests, now);
        }
        // A child responds to each heartbeat of its parent at once.
        if link.side == Side::Parent {
            link.outbox.send_heartbeat(now);
        }
        self.writable.insert(id);
        if newer {
            return vec![Effect::RequestLater(id, heartbeat.version)];
        }
        Vec::new()
    }

    /// Forwards changed records on all streams but the one they came from.
    ///
    /// Relays form a full mesh, so records received from a relay are not forwarded to other
    /// relays.
    pub(super) fn propagate(
        &mut self,
        changed: &[wire::Member],
        source: Source,
        now: Instant,
    ) -> Vec<Effect> {
        if changed.is_empty() {
            return Vec::new();
        }
        self.members_digest = self.members.digest();
        let from_relay = match source {
            Source::Own => false,
            Source::Link(id) => self.links.get(id).is_some_and(is_relay_peer),
        };
        for (id, link) in &mut self.links {
            let skipped = from_relay && is_relay_peer(link);
            if source == Source::Link(id) || skipped {
                continue;
            }
            link.outbox.add_members(changed, now);
            self.writable.insert(id);
        }
        vec![Effect::MembersChanged]
    }

    fn merge_from(
        &mut self,
        id: LinkId,
        records: Vec<wire::Member>,
        now: Instant,
    ) -> Vec<wire::Member> {
        let Some(link) = self.links.get(id) else {
            return Vec::new();
        };
        let (side, name, incarnation) = (link.side, link.name.clone(), link.incarnation);
        let (own, rest): (Vec<_>, Vec<_>) = records.into_iter().partition(|record| {
            side == Side::Child && record.name == name && record.incarnation == incarnation
        });
        let mut changed = self.members.merge(rest, now);
        for record in own {
            changed.extend(self.members.attach(record, now));
        }
        changed
    }

    /// Announces this daemon again when a received record reports it in a worse state.
    fn refute(&mut self, now: Instant) -> Vec<Effect> {
        let Some(own) = &self.own_record else {
            return Vec::new();
        };
        let Some(sequence) = self.members.refutation(own) else {
            return Vec::new();
        };
        let record = wire::Member {
            sequence,
            ..own.clone()
        };
        self.announce(record, now)
    }
}

fn is_relay_peer(link: &Link) -> bool {
    link.side == Side::Peer && link.relay
}
