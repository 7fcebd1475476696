//! Detects engines whose owners are missing or unevenly distributed.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use derive_more::Display;
use nutmegsail_base::{FailureDomain, NodeId, UpstreamId};

use crate::{NodeRecord, Upstream};

/// How long a problem must last before it is reported: ownership moves within a second when nodes
/// or engines come and go.
const REPORT_DELAY: Duration = Duration::from_secs(2);

/// How many times its fair share a node may own.
const MAX_FAIR_SHARES: usize = 2;

/// A problem with the ownership of engines, as one node sees it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
pub enum OwnershipConcern {
    /// The node is not listed, so it can own no engine and other nodes send it no requests.
    #[display("not_listed")]
    NotListed,
    /// The node owns no engine, although its failure domain has at least as many engines as nodes.
    #[display("owns_none")]
    OwnsNone,
    /// A node owns more than twice its fair share. All loads on these engines wait for it.
    #[display("owns_too_many")]
    OwnsTooMany(NodeId),
}

/// A snapshot of nodes, engines and owners.
#[derive(Clone, Copy, Debug)]
pub struct OwnersNow<'a> {
    /// The observing node.
    pub node: &'a NodeId,
    /// Listed nodes.
    pub nodes: &'a [NodeRecord],
    /// Engines that take work.
    pub engines: &'a [&'a Upstream],
    /// The owner of each owned engine.
    pub owners: &'a HashMap<UpstreamId, NodeId>,
}

/// A problem that began or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConcernChange {
    /// It has lasted long enough to be reported.
    Began(OwnershipConcern),
    /// It was reported and is over.
    Ended(OwnershipConcern),
}

/// Checks periodically whether the ownership of engines is as it should be.
///
/// ```
/// use std::collections::HashMap;
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::{ConcernChange, OwnersNow, OwnershipConcern, OwnershipWatch};
/// let (mut watch, now) = (OwnershipWatch::default(), Instant::now());
/// let (node, owners) = ("n1".into(), HashMap::new());
/// let snapshot = OwnersNow { node: &node, nodes: &[], engines: &[], owners: &owners };
/// assert_eq!(watch.look(snapshot, now), []);
/// let later = now + Duration::from_secs(3);
/// assert_eq!(watch.look(snapshot, later), [ConcernChange::Began(OwnershipConcern::NotListed)]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OwnershipWatch {
    /// Current problems: since when each has lasted, and whether it was reported.
    concerns: HashMap<OwnershipConcern, OngoingConcern>,
}

#[derive(Clone, Copy, Debug)]
struct OngoingConcern {
    since: Instant,
    is_reported: bool,
}

impl OwnershipWatch {
    /// Checks a snapshot and returns the changes to report.
    pub fn look(&mut self, snapshot: OwnersNow<'_>, now: Instant) -> Vec<ConcernChange> {
        let concerns = snapshot.concerns();
        let mut changes = Vec::new();
        self.concerns.retain(|concern, ongoing| {
            let continues = concerns.contains(concern);
            if !continues && ongoing.is_reported {
                changes.push(ConcernChange::Ended(concern.clone()));
            }
            continues
        });
        for concern in concerns {
            let ongoing = self
                .concerns
                .entry(concern.clone())
                .or_insert(OngoingConcern {
                    since: now,
                    is_reported: false,
                });
            let is_due = now.duration_since(ongoing.since) > REPORT_DELAY;
            if is_due && !std::mem::replace(&mut ongoing.is_reported, true) {
                changes.push(ConcernChange::Began(concern));
            }
        }
        changes
    }
}

impl OwnersNow<'_> {
    fn concerns(&self) -> Vec<OwnershipConcern> {
        let counts = Counts::of(self);
        let mut concerns = Vec::new();
        let own = self.nodes.iter().find(|record| record.node == *self.node);
        match own {
            None => concerns.push(OwnershipConcern::NotListed),
            Some(own) if own.out_of_reach.is_empty() && counts.owns_none(own) => {
                concerns.push(OwnershipConcern::OwnsNone);
            }
            Some(_) => {}
        }
        let most = self.nodes.iter().max_by_key(|record| counts.owned(record));
        if let Some(most) = most.filter(|most| counts.owns_too_many(most)) {
            concerns.push(OwnershipConcern::OwnsTooMany(most.node.clone()));
        }
        concerns
    }
}

/// Numbers of engines and nodes by failure domain, and of engines by owner.
struct Counts<'a> {
    engines_in: HashMap<&'a FailureDomain, usize>,
    nodes_in: HashMap<&'a FailureDomain, usize>,
    owned: HashMap<&'a NodeId, usize>,
    nodes: usize,
}

impl<'a> Counts<'a> {
    fn of(snapshot: &OwnersNow<'a>) -> Self {
        let domains = snapshot.engines.iter().map(|engine| &engine.failure_domain);
        let owners = snapshot.engines.iter();
        Self {
            engines_in: count(domains),
            nodes_in: count(snapshot.nodes.iter().map(|record| &record.failure_domain)),
            owned: count(owners.filter_map(|engine| snapshot.owners.get(&engine.id))),
            nodes: snapshot.nodes.len(),
        }
    }

    fn owned(&self, record: &NodeRecord) -> usize {
        self.owned.get(&record.node).copied().unwrap_or(0)
    }

    fn owns_none(&self, own: &NodeRecord) -> bool {
        let domain = &own.failure_domain;
        let engines = self.engines_in.get(domain).copied().unwrap_or(0);
        let nodes = self.nodes_in.get(domain).copied().unwrap_or(0);
        engines >= nodes && self.owned(own) == 0
    }

    fn owns_too_many(&self, record: &NodeRecord) -> bool {
        self.owned(record) > self.fair_share(record) * MAX_FAIR_SHARES
    }

    /// The fair share of a node, rounded up: of the engines in its failure domain, and of those in
    /// failure domains without nodes.
    fn fair_share(&self, record: &NodeRecord) -> usize {
        let domain = &record.failure_domain;
        let engines = self.engines_in.get(domain).copied().unwrap_or(0);
        let nodes = self.nodes_in.get(domain).copied().unwrap_or(1);
        let in_empty_domains = self.engines_in.iter();
        let in_empty_domains =
            in_empty_domains.filter(|(domain, _)| !self.nodes_in.contains_key(*domain));
        let in_empty_domains: usize = in_empty_domains.map(|(_, engines)| engines).sum();
        (engines.div_ceil(nodes) + in_empty_domains.div_ceil(self.nodes)).max(1)
    }
}

fn count<'a, K: Eq + Hash>(items: impl Iterator<Item = &'a K>) -> HashMap<&'a K, usize> {
    let mut counts = HashMap::new();
    for item in items {
        *counts.entry(item).or_default() += 1;
    }
    counts
}
