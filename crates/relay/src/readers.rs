//! Which node a node hears the store's changes from.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegsail_base::{FailureDomain, NodeId};

use crate::NodeRecord;

/// The pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Nodes of a failure domain that may come back to the store in one such pause.
const RETRYING_NODES: usize = 4;

/// The longest pause after a failed call: what is known is then renewed within half of the 4 s for
/// which it is relied on.
const LONGEST_RETRY_PAUSE: Duration = Duration::from_millis(750);

/// Nodes of a failure domain that may read the store for the others. The second takes over when the
/// first falls silent, before the store shows that it is gone.
const READERS: usize = 2;

/// The node of `domain` that reads the store for `node`; nothing if it is to read it itself.
///
/// Nodes that all watch the store cost it calls in proportion to the fleet. So one in each failure domain watches, in the order of their ids, and passes on what
/// changed. A reader that `is_silent` is passed over; if all are, each node reads for itself. `node` is in that order whether
/// it is listed or not.
///
/// ```
/// use nutmegsail_relay::{NodeRecord, reader_for};
/// let node = |name: &str| NodeRecord {
///     node: name.into(),
///     failure_domain: "here".into(),
///     address: ([10, 0, 0, 1], 80).into(),
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
    // The node itself may not be listed yet, or any more.
    let mut before: Vec<&NodeRecord> = near.filter(|other| other.node < *node).collect();
    before.sort_by(|a, b| a.node.cmp(&b.node));
    let mut readers = before.into_iter().take(READERS);
    readers.find(|reader| !is_silent(&reader.node))
}

/// The nodes of each failure domain that may read the store for the others, the first in front.
pub fn readers_by_domain<'a>(
    nodes: impl IntoIterator<Item = &'a NodeRecord>,
) -> BTreeMap<&'a FailureDomain, Vec<&'a NodeRecord>> {
    let mut by_domain: BTreeMap<&FailureDomain, Vec<&NodeRecord>> = BTreeMap::new();
    for node in nodes {
        let readers = by_domain.entry(&node.failure_domain).or_default();
        readers.push(node);
        readers.sort_by(|a, b| a.node.cmp(&b.node));
        readers.truncate(READERS);
    }
    by_domain
}

/// How long a node pauses after a call to the store that failed, with `near` nodes in its failure domain.
/// As much again at random keeps them from coming back at one moment.
///
/// While the store is away every node asks it, as its reader has nothing to tell; so the pause grows with
/// the nodes.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::retry_pause;
/// assert_eq!(retry_pause(3), Duration::from_millis(150));
/// assert_eq!(retry_pause(10), Duration::from_millis(375));
/// assert_eq!(retry_pause(39), Duration::from_millis(750));
/// ```
pub fn retry_pause(near: usize) -> Duration {
    let share = near as f64 / RETRYING_NODES as f64;
    RETRY_PAUSE.mul_f64(share.max(1.0)).min(LONGEST_RETRY_PAUSE)
}
