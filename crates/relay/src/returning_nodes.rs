//! Nodes missing from the store after it was restored from an older copy, which usually register
//! again soon.

use std::collections::HashSet;
use std::time::Duration;

use nutmegsail_base::NodeId;

/// How long nodes have to register again: three lease renewals.
const RETURN_TIME: Duration = Duration::from_millis(3_600);

/// Nodes that are kept although the store does not list them.
///
/// A node that registered after the restore, and is then removed, has left.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::ReturningNodes;
/// let seconds = Duration::from_secs;
/// let mut nodes = ReturningNodes::default();
/// nodes.record_restored(seconds(10));
/// nodes.record_registered("node-1".into());
/// assert!(!nodes.record_missing(&"node-1".into(), seconds(11)));
/// assert!(nodes.record_missing(&"node-2".into(), seconds(11)));
/// assert_eq!(nodes.take_expired(seconds(13)), []);
/// assert_eq!(nodes.take_expired(seconds(14)), ["node-2".into()]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReturningNodes {
    /// When the store was last restored from an older copy.
    restored_at: Option<Duration>,
    /// The nodes that registered since.
    registered: HashSet<NodeId>,
    missing: HashSet<NodeId>,
}

impl ReturningNodes {
    /// Records that the store was restored from an older copy.
    pub fn record_restored(&mut self, now: Duration) {
        self.restored_at = Some(now);
        self.registered.clear();
    }

    /// Records that a node wrote its record.
    pub fn record_registered(&mut self, node: NodeId) {
        if self.restored_at.is_some() {
            self.registered.insert(node);
        }
    }

    /// Records that a node is listed, maybe only in the copy.
    pub fn record_listed(&mut self, node: &NodeId) {
        self.missing.remove(node);
    }

    /// Records that a node is no longer listed. Returns whether it is kept for now.
    pub fn record_missing(&mut self, node: &NodeId, now: Duration) -> bool {
        let is_kept = self.is_awaiting(now) && !self.registered.contains(node);
        if is_kept {
            self.missing.insert(node.clone());
        }
        is_kept
    }

    /// Returns the nodes that have not registered again in time.
    pub fn take_expired(&mut self, now: Duration) -> Vec<NodeId> {
        match self.is_awaiting(now) {
            true => Vec::new(),
            false => {
                self.registered.clear();
                self.missing.drain().collect()
            }
        }
    }

    fn is_awaiting(&self, now: Duration) -> bool {
        self.restored_at
            .is_some_and(|restored_at| now < restored_at + RETURN_TIME)
    }
}
