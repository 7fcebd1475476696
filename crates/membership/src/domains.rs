//! What this node knows of the other failure domains.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, NodeId};
use rand::seq::{IndexedMutRandom, IndexedRandom, IteratorRandom};

use crate::{Contact, DomainSummary, MembershipAction, MembershipNote, MembershipSettings};

/// Limits the contacts kept for each failure domain.
const MAX_CONTACTS: usize = 64;
/// Limits the contacts that are kept from a domain's latest summaries and preferred as targets.
const MAX_RECENT_CONTACTS: usize = 4;
/// Limits the summaries of other domains in one heartbeat.
const MAX_RELAYED_SUMMARIES: usize = 8;
/// A summary replaces the known one only if it is newer by this much. Network delay is not counted
/// in `age_ms`, so relayed copies of one summary appear slightly newer than the original.
const SUMMARY_TIME_TOLERANCE: Duration = Duration::from_millis(100);
/// A delegate changes to another contact after this many summaries.
const SENDS_PER_CONTACT: u32 = 5;

#[derive(Clone, Debug, Default)]
struct OtherDomain {
    latest: Option<ReceivedSummary>,
    contacts: BTreeMap<NodeId, Arc<str>>,
    is_unreachable: bool,
    current_contact: Option<CurrentContact>,
}

#[derive(Clone, Debug)]
struct ReceivedSummary {
    summary: DomainSummary,
    made_at: Instant,
}

#[derive(Clone, Debug)]
struct CurrentContact {
    address: Arc<str>,
    sends_left: u32,
}

/// The other failure domains by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct OtherDomains {
    domains: BTreeMap<FailureDomain, OtherDomain>,
}

impl OtherDomains {
    /// Adds the contacts of a received summary and stores the summary if it is newer.
    pub(crate) fn merge_summary(&mut self, summary: &DomainSummary, now: Instant) {
        let domain = self.entry(&summary.failure_domain);
        for contact in &summary.contacts {
            domain.add_contact(contact);
        }
        let age = Duration::from_millis(summary.age_ms.into());
        let Some(made_at) = now.checked_sub(age) else {
            return;
        };
        let known = domain.latest.as_ref();
        if known.is_some_and(|known| made_at < known.made_at + SUMMARY_TIME_TOLERANCE) {
            return;
        }
        let mut summary = DomainSummary {
            upstreams: Vec::new(),
            ..summary.clone()
        };
        if let Some(known) = domain.latest.take() {
            summary.contacts.extend(known.summary.contacts);
            summary.contacts.truncate(MAX_RECENT_CONTACTS);
        }
        domain.latest = Some(ReceivedSummary { summary, made_at });
    }

    /// Adds a contact in another domain.
    pub(crate) fn add_contact(&mut self, failure_domain: &FailureDomain, contact: &Contact) {
        self.entry(failure_domain).add_contact(contact);
    }

    /// Adds the nodes of other domains in the VM list. For each domain in the list, removes
    /// contacts that neither the list nor the domain's latest summaries name.
    pub(crate) fn merge_vm_list(
        &mut self,
        listed: &BTreeMap<FailureDomain, BTreeMap<NodeId, Arc<str>>>,
    ) {
        for (failure_domain, nodes) in listed {
            let domain = self.entry(failure_domain);
            let recent = domain
                .latest
                .as_ref()
                .map(|latest| latest.summary.contacts.clone());
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

    /// Excludes a pause of this node from the age of every domain's latest summary.
    pub(crate) fn exclude_pause(&mut self, paused: Duration, now: Instant) {
        let received = self.domains.values_mut().filter_map(|d| d.latest.as_mut());
        for latest in received {
            latest.made_at = (latest.made_at + paused).min(now);
        }
    }

    /// Updates which domains are unreachable by the age of their latest summaries, and returns a
    /// note for each change.
    pub(crate) fn advance(
        &mut self,
        now: Instant,
        settings: &MembershipSettings,
    ) -> Vec<MembershipNote> {
        let limit = Duration::from_millis(settings.domain_unreachable_after_ms);
        let mut notes = Vec::new();
        for (failure_domain, domain) in &mut self.domains {
            let Some(latest) = &domain.latest else {
                continue;
            };
            let is_unreachable = now.duration_since(latest.made_at) >= limit;
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

    /// Returns one address in each other domain to send the own domain's summary to.
    ///
    /// A delegate uses the same contact for several summaries, so that it keeps one connection per
    /// domain instead of one per node.
    pub(crate) fn targets(
        &mut self,
        rng: &mut dyn rand::Rng,
        actions: &mut Vec<MembershipAction>,
    ) -> Vec<Arc<str>> {
        let domains = self.domains.values_mut();
        domains.filter_map(|d| d.target(rng, actions)).collect()
    }

    /// Closes the connections to the current contacts when this node is no longer a delegate.
    pub(crate) fn release_contacts(&mut self, actions: &mut Vec<MembershipAction>) {
        let current = self
            .domains
            .values_mut()
            .filter_map(|d| d.current_contact.take());
        actions.extend(current.map(|contact| MembershipAction::Disconnect {
            address: contact.address,
        }));
    }

    /// Returns the latest summaries of reachable domains, shortened to fit into every heartbeat.
    ///
    /// One summary, chosen at random, names a contact. A node that becomes a delegate while the VM
    /// list is unavailable has no other source of addresses in other domains.
    pub(crate) fn relayed_summaries(
        &self,
        now: Instant,
        rng: &mut dyn rand::Rng,
    ) -> Vec<DomainSummary> {
        let reachable = self.domains.values().filter(|d| !d.is_unreachable);
        let received = reachable.filter_map(|d| d.latest.as_ref());
        let mut summaries: Vec<_> = received
            .take(MAX_RELAYED_SUMMARIES)
            .map(|latest| latest.to_relayed(now))
            .collect();
        let chosen = summaries.choose_mut(rng);
        if let Some(summary) = chosen {
            summary.contacts = self.random_contact(&summary.failure_domain, rng);
        }
        summaries
    }

    fn random_contact(
        &self,
        failure_domain: &FailureDomain,
        rng: &mut dyn rand::Rng,
    ) -> Vec<Contact> {
        let domain = self.domains.get(failure_domain);
        let latest = domain.and_then(|domain| domain.latest.as_ref());
        let contact = latest.and_then(|latest| latest.summary.contacts.choose(rng));
        contact.cloned().into_iter().collect()
    }

    /// Returns every other domain with its latest summary, for the status report.
    pub(crate) fn statuses(&self) -> impl Iterator<Item = OtherDomainStatus<'_>> {
        self.domains
            .iter()
            .map(|(failure_domain, domain)| OtherDomainStatus {
                failure_domain,
                summary: domain.latest.as_ref().map(|latest| &latest.summary),
                is_unreachable: domain.is_unreachable,
                contacts: &domain.contacts,
            })
    }

    fn entry(&mut self, failure_domain: &FailureDomain) -> &mut OtherDomain {
        self.domains.entry(failure_domain.clone()).or_default()
    }
}

/// A failure domain as shown in the status report.
pub(crate) struct OtherDomainStatus<'a> {
    pub(crate) failure_domain: &'a FailureDomain,
    pub(crate) summary: Option<&'a DomainSummary>,
    pub(crate) is_unreachable: bool,
    pub(crate) contacts: &'a BTreeMap<NodeId, Arc<str>>,
}

impl OtherDomain {
    fn add_contact(&mut self, contact: &Contact) {
        let is_known = self.contacts.contains_key(&contact.node);
        if !is_known && self.contacts.len() >= MAX_CONTACTS {
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
        if let Some(current) = &mut self.current_contact
            && current.sends_left > 0
            && !self.is_unreachable
        {
            current.sends_left -= 1;
            return Some(Arc::clone(&current.address));
        }
        if let Some(former) = self.current_contact.take() {
            let address = former.address;
            actions.push(MembershipAction::Disconnect { address });
        }
        let address = self.choose_contact(rng)?;
        self.current_contact = Some(CurrentContact {
            address: Arc::clone(&address),
            sends_left: SENDS_PER_CONTACT - 1,
        });
        Some(address)
    }

    /// Chooses at random one of the contacts that the domain named recently, or any known contact
    /// if it named none or is unreachable.
    fn choose_contact(&self, rng: &mut dyn rand::Rng) -> Option<Arc<str>> {
        let named = self.latest.as_ref().filter(|_| !self.is_unreachable);
        let named = named.and_then(|latest| latest.summary.contacts.choose(rng));
        match named {
            Some(contact) => Some(Arc::clone(&contact.address)),
            None => self.contacts.values().choose(rng).cloned(),
        }
    }
}

impl ReceivedSummary {
    fn to_relayed(&self, now: Instant) -> DomainSummary {
        let age = now.duration_since(self.made_at).as_millis();
        DomainSummary {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            digest: "".into(),
            contacts: Vec::new(),
            ..self.summary.clone()
        }
    }
}
