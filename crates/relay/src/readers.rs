//! Which node forwards changes of the store to a node.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegsail_base::{FailureDomain, NodeId};

use crate::NodeRecord;

/// Pause after a failed call to the store.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// How many nodes of a failure domain may retry within one such pause.
const RETRIES_PER_PAUSE: usize = 4;

/// Upper bound on the pause after a failed call. With it, data is refreshed within half of the 4 s
/// for which it is valid.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(750);

/// How many nodes of a failure domain may read the store for the others. The second takes over when
/// the first falls silent, before the store lists the first as gone.
const READERS_PER_DOMAIN: usize = 2;

/// Returns the node of `domain` that reads the store for `node`, or `None` if `node` must read it
/// itself.
///
/// If every node watched the store, its load would grow with the fleet. So one node in each failure
/// domain, the first in the order of ids, watches it and forwards the changes. Readers for which
/// `is_silent` holds are skipped; if all are, each node reads for itself. `node` counts in that
/// order whether it is listed or not.
///
/// ```
/// use nutmegsail_relay::{NodeRecord, reader_for};
/// let node = |name: &str| NodeRecord {
///     node: name.into(),
///     failure_domain: "here".into(),
///     address: ([10, 0, 0, 1], 80).into(),
///     forward_address: None,
///     out_of_reach: Vec::new(),
/// };
/// let nodes = [node("n2"), node("n1"), node("n3")];
/// let reader = reader_for(&"n3".into(), &"here".into(), &nodes, |_| false);
/// assert_eq!(reader.map(|reader| reader.node.as_str()), Some("n1"));
/// assert_eq!(reader_for(&"n1".into(), &"here".into(), &nodes, |_| false), None);
/// ```
pub fn reader_for<'a>(
    node: &NodeId,
    domain: &FailureDomain,
    nodes: impl IntoIterator<Item = &'a NodeRecord>,
    is_silent: impl Fn(&NodeId) -> bool,
) -> Option<&'a NodeRecord> {
    let near = nodes
        .into_iter()
        .filter(|other| other.failure_domain == *domain);
    // The node itself may not be listed yet, or no longer.
    let mut before: Vec<&NodeRecord> = near.filter(|other| other.node < *node).collect();
    before.sort_by(|a, b| a.node.cmp(&b.node));
    let mut readers = before.into_iter().take(READERS_PER_DOMAIN);
    readers.find(|reader| !is_silent(&reader.node))
}

/// Returns the node that aggregates the loads of all engines for `node`, or `None` if that is `node`
/// itself: the first node of `domain` in the order of ids for which `is_silent` does not hold.
///
/// Unlike reading the store, this must not be done by each node for itself: each would send all
/// loads to all others.
///
/// ```
/// use nutmegsail_relay::{NodeRecord, aggregator_for};
/// let node = |name: &str| NodeRecord {
///     node: name.into(),
///     failure_domain: "here".into(),
///     address: ([10, 0, 0, 1], 80).into(),
///     forward_address: None,
///     out_of_reach: Vec::new(),
/// };
/// let nodes = [node("n2"), node("n1"), node("n3"), node("n4")];
/// let is_silent = |node: &_| *node == "n1".into() || *node == "n2".into();
/// let aggregator = |node: &str| {
///     aggregator_for(&node.into(), &"here".into(), &nodes, is_silent).map(|node| node.node.as_str())
/// };
/// assert_eq!(aggregator("n4"), Some("n3"));
/// assert_eq!(aggregator("n3"), None);
/// ```
pub fn aggregator_for<'a>(
    node: &NodeId,
    domain: &FailureDomain,
    nodes: impl IntoIterator<Item = &'a NodeRecord>,
    is_silent: impl Fn(&NodeId) -> bool,
) -> Option<&'a NodeRecord> {
    let near = nodes
        .into_iter()
        .filter(|other| other.failure_domain == *domain);
    near.filter(|other| other.node < *node && !is_silent(&other.node))
        .min_by(|a, b| a.node.cmp(&b.node))
}

/// Returns the nodes of each failure domain that may read the store for the others, in order of
/// preference.
pub fn readers_by_domain<'a>(
    nodes: impl IntoIterator<Item = &'a NodeRecord>,
) -> BTreeMap<&'a FailureDomain, Vec<&'a NodeRecord>> {
    let mut by_domain: BTreeMap<&FailureDomain, Vec<&NodeRecord>> = BTreeMap::new();
    for node in nodes {
        let readers = by_domain.entry(&node.failure_domain).or_default();
        readers.push(node);
        readers.sort_by(|a, b| a.node.cmp(&b.node));
        readers.truncate(READERS_PER_DOMAIN);
    }
    by_domain
}

/// Returns the pause after a failed call to the store, for a failure domain of `near` nodes.
/// Callers add up to as much again at random, so that nodes do not retry at the same time.
///
/// While the store is unavailable every node calls it, because its reader has nothing to forward.
/// So the pause grows with the number of nodes.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::retry_pause;
/// assert_eq!(retry_pause(3), Duration::from_millis(150));
/// assert_eq!(retry_pause(10), Duration::from_millis(375));
/// assert_eq!(retry_pause(39), Duration::from_millis(750));
/// ```
pub fn retry_pause(near: usize) -> Duration {
    let share = near as f64 / RETRIES_PER_PAUSE as f64;
    MIN_RETRY_PAUSE.mul_f64(share.max(1.0)).min(MAX_RETRY_PAUSE)
}
