//! The role that keeps the accounts of organisations whose calls are limited, and asks other daemons for tokens.

use crate::call::upstream::Link;
use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::generated::mesh as wire;
use crate::kernel::{Plugin, RoleFuture};
use crate::quota::{
    Grant, Holdings, Ledger, Limit, Taken, contact_interval, owners, sort_by_precedence,
};
use crate::sync::lock;
use crate::tree::backoff::jitter_around;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Time limit for an owner's answer. A call that waits for it has a deadline of a few hundred milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for which an owner that did not answer is passed over.
const PASS_TIME: Duration = Duration::from_secs(2);

/// Owners that a call asks at most.
const MAX_ASKED: usize = 2;

/// Time after a refusal in which a daemon does not ask again for the same organisation.
const MAX_EXHAUSTED: Duration = Duration::from_millis(100);

/// The most accounts in the state dump.
const MAX_SHOWN: usize = 50;

inventory::submit! {
    Plugin { name: "quota", run, state, metrics }
}

fn run(daemon: Arc<Daemon>) -> RoleFuture {
    Box::pin(async move {
        tokio::select! {
            () = keep_contact(&daemon) => {}
            () = daemon.drain.reached(Phase::Stopped) => {}
        }
        Ok(())
    })
}

fn state(daemon: &Daemon) -> serde_json::Value {
    let quotas = Quotas::of(daemon);
    let ledger = lock(&quotas.ledger);
    let members = daemon.fleet.load().members().len();
    let accounts = ledger.accounts().take(MAX_SHOWN);
    let accounts: BTreeMap<&str, f64> = accounts.collect();
    json!({
        "contact_share": ledger.contact_share(Instant::now(), members),
        "accounts": accounts,
    })
}

fn metrics(daemon: &Daemon, registry: &mut Registry) {
    let quotas = Quotas::of(daemon);
    let help = "Decisions on calls of organisations with a limit";
    registry.register("quota_decisions", help, quotas.decisions.clone());
}

/// Asks each owner regularly for no token, so that it knows of this daemon.
async fn keep_contact(daemon: &Arc<Daemon>) {
    let quotas = Quotas::of(daemon);
    loop {
        let fleet = daemon.fleet.load();
        sleep(jitter_around(contact_interval(fleet.members().len()))).await;
        if !daemon.config.table().has_limits() {
            continue;
        }
        for owner in owners(&fleet) {
            if owner.name == daemon.identity.name {
                quotas.note_own_contact(daemon);
            } else if let Some(link) = quotas.link(owner) {
                let request = format!("0 {} ", daemon.identity.name);
                tokio::spawn(async move {
                    // The next contact is made in any case.
                    let _ = timeout(ANSWER_TIMEOUT, link.request_tokens(&request)).await;
                });
            }
        }
    }
}

/// How the call of an organisation with a limit was decided; the field's name is the metric's label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DecisionLabel {
    decision: &'static str,
}

/// The accounts that this daemon owns, and the tokens that it holds.
#[derive(Default)]
pub struct Quotas {
    ledger: Mutex<Ledger>,
    holdings: Mutex<Holdings>,
    /// Connections to owners, by name.
    links: Mutex<BTreeMap<String, (u64, Arc<Link>)>>,
    /// Until when owners are passed over that did not answer.
    passed: Mutex<BTreeMap<String, Instant>>,
    decisions: Family<DecisionLabel, Counter>,
}

impl Quotas {
    /// Returns this component of a daemon.
    #[must_use]
    pub fn of(daemon: &Daemon) -> Arc<Quotas> {
        daemon.component(Quotas::default)
    }

    /// Answers the request of another daemon for tokens; `None` if it is not valid or the organisation has no
    /// limit in the version in force here.
    #[must_use]
    pub fn grant_to(&self, daemon: &Daemon, request: &str) -> Option<Grant> {
        let mut parts = request.splitn(3, ' ');
        let wanted: u32 = parts.next()?.parse().ok()?;
        let (sender, organisation) = (parts.next()?, parts.next()?);
        let members = daemon.fleet.load().members().len();
        if wanted == 0 {
            lock(&self.ledger).note_contact(Instant::now(), sender, members);
            return Some(Grant::Tokens(0));
        }
        let table = daemon.config.table();
        let limit = table.organisation_named(organisation)?.limit?;
        let mut ledger = lock(&self.ledger);
        Some(ledger.request(Instant::now(), sender, organisation, limit, wanted, members))
    }

    /// Takes a token for a call of an organisation.
    ///
    /// # Errors
    ///
    /// Fails with the time after which there is a token, if there is none.
    pub async fn take(
        &self,
        daemon: &Daemon,
        organisation: &str,
        limit: Limit,
    ) -> Result<(), Duration> {
        let wanted = match lock(&self.holdings).take(Instant::now(), organisation) {
            Taken::Token => return self.decided("held", Ok(())),
            Taken::Exhausted(time) => return self.decided("exhausted", Err(spread(time))),
            Taken::Ask(wanted) => wanted,
        };
        let asked = Instant::now();
        let grant = self.ask_owners(daemon, organisation, wanted).await;
        let now = Instant::now();
        let mut holdings = lock(&self.holdings);
        match grant {
            Some(Grant::Tokens(count)) if count > 0 => {
                holdings.deposit(now, asked, organisation, count - 1);
                self.decided("granted", Ok(()))
            }
            Some(Grant::Exhausted(time)) => {
                holdings.note_exhausted(now, organisation, time.min(MAX_EXHAUSTED));
                self.decided("exhausted", Err(spread(time)))
            }
            Some(Grant::Tokens(_)) | None => {
                let members = daemon.fleet.load().members().len();
                event!(
                    QuotaUnanswered,
                    organisation = organisation,
                    members = members
                );
                let sample = rand::random();
                if holdings.take_alone(now, organisation, limit, members, sample) {
                    return self.decided("alone", Ok(()));
                }
                self.decided("alone-refused", Err(spread(MAX_EXHAUSTED)))
            }
        }
    }

    /// Gives back the token of a call that has not run.
    pub fn give_back(&self, organisation: &str) {
        lock(&self.holdings).give_back(Instant::now(), organisation);
    }

    fn decided(
        &self,
        decision: &'static str,
        result: Result<(), Duration>,
    ) -> Result<(), Duration> {
        self.decisions
            .get_or_create(&DecisionLabel { decision })
            .inc();
        result
    }

    fn note_own_contact(&self, daemon: &Daemon) {
        let members = daemon.fleet.load().members().len();
        let name = &daemon.identity.name;
        lock(&self.ledger).note_contact(Instant::now(), name, members);
    }

    /// Asks the owners of an organisation in order until one answers.
    async fn ask_owners(&self, daemon: &Daemon, organisation: &str, wanted: u32) -> Option<Grant> {
        let request = format!("{wanted} {} {organisation}", daemon.identity.name);
        let fleet = daemon.fleet.load();
        let mut owners = owners(&fleet);
        sort_by_precedence(&mut owners, organisation);
        owners.retain(|owner| !self.is_passed_over(&owner.name));
        for owner in owners.into_iter().take(MAX_ASKED) {
            if owner.name == daemon.identity.name {
                return self.grant_to(daemon, &request);
            }
            let link = self.link(owner)?;
            let answer = timeout(ANSWER_TIMEOUT, link.request_tokens(&request)).await;
            if let Ok(Some(grant)) = answer {
                return Some(grant);
            }
            lock(&self.passed).insert(owner.name.clone(), Instant::now() + PASS_TIME);
        }
        None
    }

    fn is_passed_over(&self, owner: &str) -> bool {
        let mut passed = lock(&self.passed);
        passed.retain(|_, until| Instant::now() < *until);
        passed.contains_key(owner)
    }

    /// Returns the connection to an owner, a new one if it is another incarnation than before.
    fn link(&self, owner: &wire::Member) -> Option<Arc<Link>> {
        let address = owner.inbound.parse().ok()?;
        let mut links = lock(&self.links);
        if let Some((incarnation, link)) = links.get(&owner.name)
            && *incarnation == owner.incarnation
            && link.address() == address
        {
            return Some(Arc::clone(link));
        }
        let link = Arc::new(Link::new(address, owner.incarnation));
        let entry = (owner.incarnation, Arc::clone(&link));
        links.insert(owner.name.clone(), entry);
        Some(link)
    }
}

/// Spreads callers that come back over twice the time, since they wait for the same tokens.
fn spread(time: Duration) -> Duration {
    time.mul_f64(1.0 + rand::random::<f64>())
}
