//! Finding out which of several members that claim the same address answers there.
//!
//! A later process at an address takes the place of the one before. A record that claims the address of a running
//! daemon may also be another writer's.

use crate::call::upstream::{Link, LinkError};
use crate::daemon::Daemon;
use crate::event;
use crate::exchange::ExchangeState;
use crate::generated::mesh as wire;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Time limit for a daemon to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which one that has not answered is asked again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Members asked at most before the pause.
const MAX_ASKED: usize = 32;

/// Checks each member whose address is claimed by another one as well.
pub(super) async fn check(daemon: &Daemon) -> anyhow::Result<()> {
    let state = ExchangeState::of(daemon);
    let mut fleet = daemon.fleet.subscribe();
    loop {
        fleet.mark_unchanged();
        let members = state.unchecked_members();
        if members.is_empty() {
            fleet.changed().await?;
            continue;
        }
        for member in members.into_iter().take(MAX_ASKED) {
            check_member(daemon, &state, &member).await;
        }
        sleep(RETRY_PAUSE).await;
    }
}

async fn check_member(daemon: &Daemon, state: &ExchangeState, member: &Arc<wire::Member>) {
    let Ok(address) = member.inbound.parse() else {
        state.update_members(daemon, |registry, _| {
            registry.set_checked(member, false);
            true
        });
        return;
    };
    let link = Link::new(address, member.incarnation);
    let (answers, successor) = match timeout(ANSWER_TIMEOUT, link.ready()).await {
        Ok(Ok(_)) => (true, None),
        Ok(Err(LinkError::Replaced(record))) => (false, Some(*record)),
        // Nobody may answer there for now.
        Ok(Err(LinkError::Unreachable(_))) | Err(_) => return,
    };
    if !answers {
        event!(
            MemberDisproved,
            member = member.name,
            address = member.inbound,
            incarnation = member.incarnation
        );
    }
    state.update_members(daemon, |registry, now| {
        registry.set_checked(member, answers);
        if let Some(record) = successor.filter(|record| record.name != daemon.identity.name) {
            registry.merge_reported(record, now);
        }
        true
    });
}
