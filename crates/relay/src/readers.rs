//! Which node a node hears the store's changes from.

use nutmegsail_base::{FailureDomain, NodeId};

use crate::NodeRecord;

/// Nodes of a failure domain that may read the store for the others. The second takes over when the
/// first falls silent, before the store shows that it is gone.
const READERS: usize = 2;

/// The node of `domain` that reads the store for `node`; nothing if it is to read it itself.
///
/// Nodes that all watch the store cost it calls in proportion to the fleet: 91 nodes made 9,500 calls
/// in a minute. So one in each failure domain watches, in the order of their ids, and passes on what
/// changed. A reader that `is_silent` is passed over; if all are, each node reads for itself.
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
    let mut near: Vec<&NodeRecord> = near.collect();
    near.sort_by(|a, b| a.node.cmp(&b.node));
    let reader = near
        .into_iter()
        .take(READERS)
        .find(|reader| reader.node == *node || !is_silent(&reader.node))?;
    (reader.node != *node).then_some(reader)
}
