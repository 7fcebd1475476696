//! When each failure domain was last heard from.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::FailureDomain;
use serde::{Deserialize, Serialize};

/// How long ago a failure domain was heard from, as sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainAge {
    /// The failure domain.
    pub domain: FailureDomain,
    /// Time since a message from one of its nodes, in milliseconds.
    pub age_ms: u32,
}

/// When a node of each failure domain was last heard from, by this node or by one that reported it.
///
/// In a large fleet, a node hears from the owners of the engines it uses, and nothing from failure
/// domains whose engines it does not use. If it took such a domain for cut off, it would send its
/// engines no requests and so never hear from it again, and each domain would load the popular
/// adapters for itself. So nodes that hear from every domain tell the others.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::DomainsHeard;
/// let ms = Duration::from_millis;
/// let now = Instant::now();
/// let mut reader = DomainsHeard::default();
/// reader.note(&"west".into(), now);
/// let mut node = DomainsHeard::default();
/// node.take(&reader.ages(now + ms(100)), now + ms(120));
/// assert_eq!(node.heard(&"west".into()), Some(now + ms(20)));
/// node.take(&reader.ages(now + ms(900)), now + ms(910));
/// assert_eq!(node.heard(&"west".into()), Some(now + ms(20)), "the later time wins");
/// ```
#[derive(Clone, Debug, Default)]
pub struct DomainsHeard {
    heard: HashMap<FailureDomain, Instant>,
}

impl DomainsHeard {
    /// Records that a node of `domain` was heard from at `at`.
    pub fn note(&mut self, domain: &FailureDomain, at: Instant) {
        match self.heard.get_mut(domain) {
            Some(known) => *known = at.max(*known),
            None => {
                self.heard.insert(domain.clone(), at);
            }
        }
    }

    /// When a node of `domain` was last heard from.
    pub fn heard(&self, domain: &FailureDomain) -> Option<Instant> {
        self.heard.get(domain).copied()
    }

    /// Adds the times that `other`, another record of this node, has.
    pub fn merge(&mut self, other: &Self) {
        for (domain, at) in &other.heard {
            self.note(domain, *at);
        }
    }

    /// How long ago each domain was heard from, to be sent to another node.
    pub fn ages(&self, now: Instant) -> Vec<DomainAge> {
        let ages = self.heard.iter().map(|(domain, at)| {
            let age = now.saturating_duration_since(*at);
            DomainAge {
                domain: domain.clone(),
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            }
        });
        ages.collect()
    }

    /// Applies the ages that another node sent.
    ///
    /// They are counted back from the arrival of the message, so a delayed message makes a domain
    /// seem heard from later than it was, by tens of milliseconds. The next message corrects that.
    pub fn take(&mut self, told: &[DomainAge], now: Instant) {
        for DomainAge { domain, age_ms } in told {
            let age = Duration::from_millis(u64::from(*age_ms));
            if let Some(at) = now.checked_sub(age) {
                self.note(domain, at);
            }
        }
    }
}
