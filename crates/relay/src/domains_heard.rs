//! When each failure domain was last heard.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::FailureDomain;
use serde::{Deserialize, Serialize};

/// How long ago a failure domain was heard, as one node tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainAge {
    /// The failure domain.
    pub domain: FailureDomain,
    /// How long ago a node of it was heard, in milliseconds.
    pub age_ms: u32,
}

/// When a node of each failure domain was last heard, by this node or by one that told it.
///
/// In a large fleet a node hears from owners of the engines it uses, and nothing from a failure domain
/// whose engines it does not use. Taken for cut off, such a domain's engines get no requests, and so are
/// never heard again, and each domain loads the popular adapters for itself. So nodes that hear every domain
/// tell the others.
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
/// assert_eq!(node.heard(&"west".into()), Some(now + ms(20)), "nothing newer came");
/// ```
#[derive(Clone, Debug, Default)]
pub struct DomainsHeard {
    heard: HashMap<FailureDomain, Instant>,
}

impl DomainsHeard {
    /// Takes in that a node of `domain` was heard at `at`.
    pub fn note(&mut self, domain: &FailureDomain, at: Instant) {
        match self.heard.get_mut(domain) {
            Some(known) => *known = at.max(*known),
            None => {
                self.heard.insert(domain.clone(), at);
            }
        }
    }

    /// When a node of `domain` was last heard.
    pub fn heard(&self, domain: &FailureDomain) -> Option<Instant> {
        self.heard.get(domain).copied()
    }

    /// Takes in what another account of this node has.
    pub fn merge(&mut self, other: &Self) {
        for (domain, at) in &other.heard {
            self.note(domain, *at);
        }
    }

    /// How long ago each was heard, to be told to another node.
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

    /// Takes in what another node told, and returns when each was heard by it.
    ///
    /// Counted back from when it came, what was held up on its way makes a domain look heard later than
    /// it was, by tens of milliseconds; the next message mends it.
    pub fn take(&mut self, told: &[DomainAge], now: Instant) {
        for DomainAge { domain, age_ms } in told {
            let age = Duration::from_millis(u64::from(*age_ms));
            if let Some(at) = now.checked_sub(age) {
                self.note(domain, at);
            }
        }
    }
}
