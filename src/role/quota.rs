//! The role that keeps the accounts of organisations whose calls are limited, and asks other daemons for tokens.

use crate::call::upstream::{Link, LinkError};
use crate::daemon::{Daemon, Phase};
use crate::event;
use crate::generated::mesh as wire;
use crate::kernel::{Plugin, RoleFuture};
use crate::member::Fleet;
use crate::quota::{
    Claim, Contact, Grant, Ledger, Limit, OwnerList, QuotaClient, Taken, contact_interval,
    lend_time, owners,
};
use crate::role::inbound;
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

/// Time limit for the answer to a contact. The next one uses a new connection then.
const CONTACT_TIMEOUT: Duration = Duration::from_millis(500);

/// Owners that a call asks at most.
const MAX_ASKED: usize = 2;

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
    let now = Instant::now();
    let members = daemon.fleet.load().members().len();
    let mut ledger = lock(&quotas.ledger);
    let accounts = ledger.accounts().take(MAX_SHOWN);
    let accounts: BTreeMap<String, f64> = accounts
        .map(|(name, tokens)| (name.to_owned(), tokens))
        .collect();
    let shares = accounts.keys();
    let shares: BTreeMap<&str, f64> = shares
        .map(|name| (name.as_str(), ledger.share(now, name, members)))
        .collect();
    json!({
        "contacts": ledger.contacts(now),
        "shares": shares,
        "accounts": accounts,
    })
}

fn metrics(daemon: &Daemon, registry: &mut Registry) {
    let quotas = Quotas::of(daemon);
    let help = "Decisions on calls of organisations with a limit";
    registry.register("quota_decisions", help, quotas.decisions.clone());
}

/// Contacts the owners regularly, which lends them this daemon's share of each account's refill.
async fn keep_contact(daemon: &Arc<Daemon>) {
    let quotas = Quotas::of(daemon);
    loop {
        let members = daemon.fleet.load().members().len();
        let mut pause = contact_interval(members);
        if daemon.config.table().has_limits() {
            let chosen = quotas.choose_owners(daemon);
            let members = chosen.fleet.members().len();
            let (contacts, next) =
                lock(&quotas.client).contacts(Instant::now(), &chosen.list, members);
            pause = next;
            for (owner, claim) in contacts {
                let (daemon, quotas) = (Arc::clone(daemon), Arc::clone(&quotas));
                tokio::spawn(async move { quotas.contact(&daemon, &owner, &claim, members).await });
            }
        }
        sleep(jitter_around(pause)).await;
    }
}

/// How the call of an organisation with a limit was decided; the field's name is the metric's label.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct DecisionLabel {
    decision: &'static str,
}

/// The accounts that this daemon owns, and its own tokens and shares.
pub struct Quotas {
    ledger: Mutex<Ledger>,
    client: Mutex<QuotaClient>,
    /// Connections to owners, by name.
    links: Mutex<BTreeMap<String, (u64, Arc<Link>)>>,
    /// The owners of the fleet last seen.
    chosen: Mutex<Option<Arc<Chosen>>>,
    decisions: Family<DecisionLabel, Counter>,
}

/// The owners that a daemon chooses from a fleet.
struct Chosen {
    fleet: Arc<Fleet>,
    members: BTreeMap<String, Arc<wire::Member>>,
    list: OwnerList,
}

impl Quotas {
    /// Returns this component of a daemon.
    #[must_use]
    pub fn of(daemon: &Daemon) -> Arc<Quotas> {
        daemon.component(|| Quotas {
            ledger: Mutex::new(Ledger::new(&daemon.identity.name)),
            client: Mutex::new(QuotaClient::new(Instant::now())),
            links: Mutex::default(),
            chosen: Mutex::default(),
            decisions: Family::default(),
        })
    }

    /// Answers the request of another daemon for tokens, which is their number, its name and the organisation;
    /// `None` if it is not valid or the organisation has no limit in the version in force here.
    #[must_use]
    pub fn grant_to(&self, daemon: &Daemon, request: &str) -> Option<Grant> {
        let mut parts = request.splitn(3, ' ');
        let wanted: u32 = parts.next()?.parse().ok()?;
        let (_sender, organisation) = (parts.next()?, parts.next()?);
        self.grant(daemon, organisation, wanted.max(1))
    }

    fn grant(&self, daemon: &Daemon, organisation: &str, wanted: u32) -> Option<Grant> {
        let table = daemon.config.table();
        let limit = table.organisation_named(organisation)?.limit?;
        let members = daemon.fleet.load().members().len();
        let mut ledger = lock(&self.ledger);
        Some(ledger.request(Instant::now(), organisation, limit, wanted, members))
    }

    /// Records a contact of another daemon, which is its name, incarnation and number, the end of the time for which
    /// it lends its share in milliseconds of the inbound side's clock, and the number of members in its fleet.
    /// `lists` are the lists of owners, separated by spaces. Returns `None` if it is not valid.
    #[must_use]
    pub fn accept_contact(&self, daemon: &Daemon, contact: &str, lists: &str) -> Option<()> {
        let mut parts = contact.split(' ');
        let sender = parts.next()?;
        let mut number = || parts.next()?.parse::<u64>().ok();
        let (incarnation, order, until_ms) = (number()?, number()?, number()?);
        let members = usize::try_from(number()?).ok()?;
        let now = Instant::now();
        let left = until_ms.saturating_sub(inbound::component(daemon).clock_ms());
        // The clock of a process that was suspended is behind what others expect.
        let left = Duration::from_millis(left).min(lend_time(members));
        let contact = Contact {
            order: (incarnation, order),
            members,
            until: now + left,
            lists: lists.split_whitespace().map(OwnerList::read).collect(),
        };
        lock(&self.ledger).note_contact(now, sender, contact);
        Some(())
    }

    /// Takes a token for a call of an organisation; an answer of an owner is waited for within `longest`.
    ///
    /// # Errors
    ///
    /// Fails with the time after which there is a token, if there is none.
    pub async fn take(
        &self,
        daemon: &Daemon,
        organisation: &str,
        limit: Limit,
        longest: Duration,
    ) -> Result<(), Duration> {
        let wanted = match lock(&self.client).take(Instant::now(), organisation) {
            Taken::Token => return self.decided("held", Ok(())),
            Taken::Exhausted(time) => return self.decided("exhausted", Err(spread(time))),
            Taken::Ask(wanted) => wanted,
        };
        let chosen = self.choose_owners(daemon);
        let members = chosen.fleet.members().len();
        let mut asked = None;
        for _ in 0..MAX_ASKED {
            let now = Instant::now();
            let reached = lock(&self.client).reached(now, &chosen.list);
            let Some(owner) = reached.owner(organisation).map(ToOwned::to_owned) else {
                break;
            };
            if asked.as_ref() == Some(&owner) {
                break;
            }
            let answer = self.ask(daemon, &chosen, &owner, organisation, wanted, longest);
            match answer.await {
                Some(Some(grant)) => {
                    let mut client = lock(&self.client);
                    let granted = client.note_grant(Instant::now(), now, organisation, grant);
                    let Err(time) = granted else {
                        return self.decided("granted", Ok(()));
                    };
                    let (now, sample) = (Instant::now(), rand::random());
                    if client.take_unlent(now, organisation, limit, members, sample) {
                        return self.decided("alone", Ok(()));
                    }
                    return self.decided("exhausted", Err(spread(time)));
                }
                // It has another version of the configuration.
                Some(None) => {
                    asked = None;
                    break;
                }
                None => asked = Some(owner),
            }
        }
        event!(
            QuotaUnanswered,
            organisation = organisation,
            members = members
        );
        let alone = lock(&self.client).take_alone(
            Instant::now(),
            asked.as_deref(),
            organisation,
            limit,
            members,
            rand::random(),
        );
        match alone {
            Ok(()) => self.decided("alone", Ok(())),
            Err(time) => self.decided("alone-refused", Err(spread(time))),
        }
    }

    /// Gives back the token of a call that has not run.
    pub fn give_back(&self, organisation: &str) {
        lock(&self.client).give_back(Instant::now(), organisation);
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

    /// Asks an owner for tokens; `None` if it does not answer in time, and `Some(None)` if its version has no limit.
    async fn ask(
        &self,
        daemon: &Daemon,
        chosen: &Chosen,
        owner: &str,
        organisation: &str,
        wanted: u32,
        longest: Duration,
    ) -> Option<Option<Grant>> {
        if owner == daemon.identity.name {
            return Some(self.grant(daemon, organisation, wanted));
        }
        let link = self.link(chosen.members.get(owner)?)?;
        let request = format!("{wanted} {} {organisation}", daemon.identity.name);
        let sent = Instant::now();
        let limit = lock(&self.client).ask(sent, owner).min(longest);
        let answer = timeout(limit, link.request_tokens(&request)).await.ok()?;
        let mut client = lock(&self.client);
        match answer {
            Some(_) => client.note_answer(owner),
            None => client.note_failure(Instant::now(), owner, sent),
        }
        answer
    }

    /// Makes a contact with an owner.
    async fn contact(&self, daemon: &Daemon, owner: &str, claim: &Claim, members: usize) {
        let identity = &daemon.identity;
        if owner == identity.name {
            let contact = Contact {
                order: (identity.incarnation, claim.number),
                members,
                until: claim.until,
                lists: claim.lists.clone(),
            };
            lock(&self.ledger).note_contact(Instant::now(), owner, contact);
            lock(&self.client).note_contact(owner, claim.number);
            return;
        }
        let member = daemon.fleet.load().members().get(owner).cloned();
        let Some(link) = member.and_then(|member| self.link(&member)) else {
            return;
        };
        let lists: Vec<String> = claim.lists.iter().map(OwnerList::to_text).collect();
        let lists = lists.join(" ");
        let sent = Instant::now();
        let request = |clock_ms: u64| {
            let left = claim.until.saturating_duration_since(Instant::now());
            let until_ms = clock_ms + u64::try_from(left.as_millis()).unwrap_or(0);
            let (name, incarnation) = (&identity.name, identity.incarnation);
            format!("{name} {incarnation} {} {until_ms} {members}", claim.number)
        };
        let contact = link.contact_owner(request, &lists);
        match timeout(CONTACT_TIMEOUT, contact).await {
            Ok(Ok(())) => lock(&self.client).note_contact(owner, claim.number),
            Ok(Err(LinkError::Replaced(_))) => lock(&self.client).note_end(owner),
            Ok(Err(_)) => lock(&self.client).note_failure(Instant::now(), owner, sent),
            Err(_) => link.reset(),
        }
    }

    /// Returns the owners that this daemon chooses from its fleet.
    fn choose_owners(&self, daemon: &Daemon) -> Arc<Chosen> {
        let fleet = daemon.fleet.load();
        let mut cached = lock(&self.chosen);
        if let Some(chosen) = &*cached
            && Arc::ptr_eq(&chosen.fleet, &fleet)
        {
            return Arc::clone(chosen);
        }
        let owners = owners(&fleet);
        let list = OwnerList::new(owners.iter().map(|owner| owner.name.clone()));
        let members = owners.into_iter().map(|owner| (owner.name.clone(), owner));
        let chosen = Arc::new(Chosen {
            members: members.collect(),
            list,
            fleet,
        });
        *cached = Some(Arc::clone(&chosen));
        chosen
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
