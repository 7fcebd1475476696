//! The last contact with each failure domain.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::FailureDomain;
use serde::{Deserialize, Serialize};

/// The age of the last contact with a failure domain, as sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainAge {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Time since the last contact with one of its nodes, in milliseconds.
    pub age_ms: u32,
}

/// The last contact with each failure domain, of this node or of one that sent it its own.
///
/// In a large fleet, a node is in contact with the owners of the engines it uses, and with no node
/// of failure domains whose engines it does not use. If it took such a domain for cut off, it would
/// send its engines no requests and so never be in contact again, and each domain would load the
/// popular adapters for itself. So nodes that are in contact with every domain report it to the
/// others.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::DomainContacts;
/// let ms = Duration::from_millis;
/// let now = Instant::now();
/// let mut reader = DomainContacts::default();
/// reader.note(&"west".into(), now);
/// let mut node = DomainContacts::default();
/// node.take(&reader.ages(now + ms(100)), now + ms(120));
/// assert_eq!(node.last_contact(&"west".into()), Some(now + ms(20)));
/// node.take(&reader.ages(now + ms(900)), now + ms(910));
/// assert_eq!(node.last_contact(&"west".into()), Some(now + ms(20)), "the later time wins");
/// ```
#[derive(Clone, Debug, Default)]
pub struct DomainContacts {
    contacts: HashMap<FailureDomain, Instant>,
}

impl DomainContacts {
    /// Records a contact with a node of `domain` at `at`.
    pub fn note(&mut self, domain: &FailureDomain, at: Instant) {
        match self.contacts.get_mut(domain) {
            Some(known) => *known = at.max(*known),
            None => {
                self.contacts.insert(domain.clone(), at);
            }
        }
    }

    /// The last contact with a node of `domain`.
    pub fn last_contact(&self, domain: &FailureDomain) -> Option<Instant> {
        self.contacts.get(domain).copied()
    }

    /// Merges the contacts of `other`, another record of this node.
    pub fn merge(&mut self, other: &Self) {
        for (domain, at) in &other.contacts {
            self.note(domain, *at);
        }
    }

    /// The age of the last contact with each domain, to be sent to another node.
    pub fn ages(&self, now: Instant) -> Vec<DomainAge> {
        let ages = self.contacts.iter().map(|(domain, at)| {
            let age = now.saturating_duration_since(*at);
            DomainAge {
                domain: domain.clone(),
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            }
        });
        ages.collect()
    }

    /// Merges the contacts that another node sent.
    ///
    /// Their ages are counted back from the arrival of the message, so a delayed message makes a
    /// contact seem later than it was, by tens of milliseconds. The next message corrects that.
    pub fn take(&mut self, received: &[DomainAge], now: Instant) {
        for DomainAge { domain, age_ms } in received {
            let age = Duration::from_millis(u64::from(*age_ms));
            if let Some(at) = now.checked_sub(age) {
                self.note(domain, at);
            }
        }
    }
}
