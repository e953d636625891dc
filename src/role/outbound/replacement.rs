//! Upstreams whose daemons turn out to have been replaced while a call is in progress.

use super::Outbound;
use super::attempt::Call;
use crate::call::balance::{Index, Upstream, UpstreamInfo};
use crate::event;
use crate::exchange::ExchangeState;
use crate::generated::mesh as wire;
use std::sync::Arc;

impl Outbound {
    /// Merges the record of the daemon that has replaced an upstream, and updates the call's upstreams.
    ///
    /// Returns false if the upstream is still known as it was: the record is an old one.
    pub(super) fn replace_upstream(
        &self,
        call: &mut Call<'_>,
        index: Index,
        record: wire::Member,
        tried: &mut Vec<Index>,
    ) -> bool {
        let daemon = call.daemon;
        let old = call.service.group.upstreams()[index.0].info.clone();
        event!(
            UpstreamReplaced,
            request = call.id,
            upstream = old.name,
            incarnation = record.incarnation,
            before = old.incarnation,
            service = record.service,
        );
        ExchangeState::of(daemon)
            .update_members(daemon, |registry, now| registry.merge_reported(record, now));
        let limits = **daemon.limits.load();
        let view = self
            .views
            .get(daemon.config.table(), daemon.fleet.load(), limits);
        let Some(service) = view.service_named(&call.service.name) else {
            return false;
        };
        let service = &call.same_side(service);
        let is_same = |new: &Upstream, known: &UpstreamInfo| {
            new.info.name == known.name && new.info.incarnation == known.incarnation
        };
        let upstreams = service.group.upstreams();
        if upstreams.iter().any(|new| is_same(new, &old)) {
            return false;
        }
        let before = call.service.group.upstreams();
        tried.retain_mut(|index| {
            let known = &before[index.0].info;
            let place = upstreams.iter().position(|new| is_same(new, known));
            place.is_some_and(|place| {
                *index = Index(place);
                true
            })
        });
        call.service = Arc::clone(service);
        true
    }
}
