//! The other failure domains.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, NodeId};
use rand::seq::{IndexedMutRandom, IndexedRandom, IteratorRandom};

use crate::{Contact, DomainSummary, MembershipAction, MembershipNote, MembershipSettings};

/// Contacts kept for each other failure domain.
const CONTACTS: usize = 64;
/// How many contacts that a domain named last are preferred.
const RECENT_CONTACTS: usize = 4;
/// How many accounts of other domains go with a heartbeat.
const RELAYED: usize = 8;
/// How much newer an account must look to replace the one known. Relayed copies of one account
/// look newer by the time they were under way.
const NEWER_BY: Duration = Duration::from_millis(100);
/// After how many accounts a delegate turns to another contact.
const SENDS_PER_CONTACT: u32 = 5;

#[derive(Clone, Debug, Default)]
struct OtherDomain {
    account: Option<Account>,
    contacts: BTreeMap<NodeId, Arc<str>>,
    is_unreachable: bool,
    talking_to: Option<TalkingTo>,
}

#[derive(Clone, Debug)]
struct Account {
    summary: DomainSummary,
    made_at: Instant,
}

#[derive(Clone, Debug)]
struct TalkingTo {
    address: Arc<str>,
    sends_left: u32,
}

/// The other failure domains.
#[derive(Clone, Debug, Default)]
pub(crate) struct OtherDomains {
    domains: BTreeMap<FailureDomain, OtherDomain>,
}

impl OtherDomains {
    /// Takes in an account of another domain.
    pub(crate) fn take_in(&mut self, summary: &DomainSummary, now: Instant) {
        let domain = self.entry(&summary.failure_domain);
        for contact in &summary.contacts {
            domain.add_contact(contact);
        }
        let age = Duration::from_millis(summary.age_ms.into());
        let Some(made_at) = now.checked_sub(age) else {
            return;
        };
        let known = domain.account.as_ref();
        if known.is_some_and(|known| made_at < known.made_at + NEWER_BY) {
            return;
        }
        let mut summary = DomainSummary {
            upstreams: Vec::new(),
            ..summary.clone()
        };
        if let Some(known) = domain.account.take() {
            summary.contacts.extend(known.summary.contacts);
            summary.contacts.truncate(RECENT_CONTACTS);
        }
        domain.account = Some(Account { summary, made_at });
    }

    /// Notes that a node of another domain spoke to this one.
    pub(crate) fn add_contact(&mut self, failure_domain: &FailureDomain, contact: &Contact) {
        self.entry(failure_domain).add_contact(contact);
    }

    /// Takes in the VM list's nodes of other domains, and forgets contacts that nobody names.
    pub(crate) fn list(&mut self, listed: &BTreeMap<FailureDomain, BTreeMap<NodeId, Arc<str>>>) {
        for (failure_domain, nodes) in listed {
            let domain = self.entry(failure_domain);
            let recent = domain.account.as_ref().map(|a| a.summary.contacts.clone());
            let recent = recent.unwrap_or_default();
            domain.contacts.retain(|node, _| {
                nodes.contains_key(node) || recent.iter().any(|contact| contact.node == *node)
            });
            for (node, address) in nodes {
                domain.add_contact(&Contact {
                    node: node.clone(),
                    address: Arc::clone(address),
                });
            }
        }
    }

    /// Adds time during which this node did not run to every domain's account.
    pub(crate) fn absorb_pause(&mut self, paused: Duration, now: Instant) {
        let accounts = self.domains.values_mut().filter_map(|d| d.account.as_mut());
        for account in accounts {
            account.made_at = (account.made_at + paused).min(now);
        }
    }

    /// Lets time pass: silent domains become unreachable, heard ones return.
    pub(crate) fn advance(
        &mut self,
        now: Instant,
        settings: &MembershipSettings,
    ) -> Vec<MembershipNote> {
        let limit = Duration::from_millis(settings.domain_unreachable_after_ms);
        let mut notes = Vec::new();
        for (failure_domain, domain) in &mut self.domains {
            let Some(account) = &domain.account else {
                continue;
            };
            let is_unreachable = now.duration_since(account.made_at) >= limit;
            if is_unreachable == domain.is_unreachable {
                continue;
            }
            domain.is_unreachable = is_unreachable;
            notes.push(if is_unreachable {
                MembershipNote::DomainUnreachable(failure_domain.clone())
            } else {
                MembershipNote::DomainReturned(failure_domain.clone())
            });
        }
        notes
    }

    /// One address in each other domain to send the own domain's account to.
    ///
    /// A delegate stays with a contact for a few accounts, so that it keeps one connection a
    /// domain and not one a node.
    pub(crate) fn targets(
        &mut self,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) -> Vec<Arc<str>> {
        let domains = self.domains.values_mut();
        domains.filter_map(|d| d.target(rng, actions)).collect()
    }

    /// Drops the connections that a delegate had, once it is none any more.
    pub(crate) fn stop_talking(&mut self, actions: &mut Vec<MembershipAction>) {
        let talking = self
            .domains
            .values_mut()
            .filter_map(|d| d.talking_to.take());
        actions.extend(talking.map(|t| MembershipAction::Disconnect { address: t.address }));
    }

    /// The accounts of all domains, small enough to go with every heartbeat.
    ///
    /// One of them by chance names a contact: a node that becomes a delegate while the VM list is
    /// out needs somebody to write to.
    pub(crate) fn relayed(&self, now: Instant, rng: &mut dyn rand::Rng) -> Vec<DomainSummary> {
        let reachable = self.domains.values().filter(|d| !d.is_unreachable);
        let accounts = reachable.filter_map(|d| d.account.as_ref());
        let mut summaries: Vec<_> = accounts.take(RELAYED).map(|a| a.relayed(now)).collect();
        let introduced = summaries.choose_mut(rng);
        if let Some(summary) = introduced {
            summary.contacts = self.some_contact(&summary.failure_domain, rng);
        }
        summaries
    }

    fn some_contact(
        &self,
        failure_domain: &FailureDomain,
        rng: &mut dyn rand::Rng,
    ) -> Vec<Contact> {
        let domain = self.domains.get(failure_domain);
        let account = domain.and_then(|domain| domain.account.as_ref());
        let contact = account.and_then(|a| a.summary.contacts.choose(rng));
        contact.cloned().into_iter().collect()
    }

    /// Every other domain with its account, for the status report.
    pub(crate) fn statuses(&self) -> impl Iterator<Item = OtherDomainStatus<'_>> {
        self.domains
            .iter()
            .map(|(failure_domain, domain)| OtherDomainStatus {
                failure_domain,
                summary: domain.account.as_ref().map(|a| &a.summary),
                is_unreachable: domain.is_unreachable,
                contacts: &domain.contacts,
            })
    }

    fn entry(&mut self, failure_domain: &FailureDomain) -> &mut OtherDomain {
        self.domains.entry(failure_domain.clone()).or_default()
    }
}

/// What is known of another failure domain.
pub(crate) struct OtherDomainStatus<'a> {
    pub(crate) failure_domain: &'a FailureDomain,
    pub(crate) summary: Option<&'a DomainSummary>,
    pub(crate) is_unreachable: bool,
    pub(crate) contacts: &'a BTreeMap<NodeId, Arc<str>>,
}

impl OtherDomain {
    fn add_contact(&mut self, contact: &Contact) {
        let is_known = self.contacts.contains_key(&contact.node);
        if !is_known && self.contacts.len() >= CONTACTS {
            self.contacts.pop_first();
        }
        let address = Arc::clone(&contact.address);
        self.contacts.insert(contact.node.clone(), address);
    }

    fn target(
        &mut self,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) -> Option<Arc<str>> {
        if let Some(talking) = &mut self.talking_to
            && talking.sends_left > 0
            && !self.is_unreachable
        {
            talking.sends_left -= 1;
            return Some(Arc::clone(&talking.address));
        }
        if let Some(former) = self.talking_to.take() {
            let address = former.address;
            actions.push(MembershipAction::Disconnect { address });
        }
        let address = self.choose_contact(rng)?;
        self.talking_to = Some(TalkingTo {
            address: Arc::clone(&address),
            sends_left: SENDS_PER_CONTACT - 1,
        });
        Some(address)
    }

    /// A contact that the domain itself named a short while ago, or else any that was ever known.
    fn choose_contact(&self, rng: &mut dyn rand::Rng) -> Option<Arc<str>> {
        let named = self.account.as_ref().filter(|_| !self.is_unreachable);
        let named = named.and_then(|a| a.summary.contacts.choose(rng));
        match named {
            Some(contact) => Some(Arc::clone(&contact.address)),
            None => self.contacts.values().choose(rng).cloned(),
        }
    }
}

impl Account {
    fn relayed(&self, now: Instant) -> DomainSummary {
        let age = now.duration_since(self.made_at).as_millis();
        DomainSummary {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            digest: "".into(),
            contacts: Vec::new(),
            ..self.summary.clone()
        }
    }
}
