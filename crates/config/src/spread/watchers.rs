//! Selects the nodes of a failure domain that watch the store.

use nutmegsail_base::NodeId;
use sha2::{Digest as _, Sha256};

/// The `count` nodes of a failure domain that watch the store, selected by rendezvous hashing: if a
/// watcher is lost, one other node replaces it and the rest stay watchers.
///
/// Nodes that disagree on which nodes are live select different watchers for a while. That only
/// costs some extra calls to the store, since a generation takes effect only if it is newer.
///
/// ```
/// use nutmegsail_base::NodeId;
/// let live: Vec<NodeId> = (0..60).map(|n| NodeId::from(format!("vm-{n}"))).collect();
/// let chosen = nutmegsail_config::watchers(&live[0], &live, 2);
/// assert_eq!(chosen, nutmegsail_config::watchers(&live[7], &live, 2));
/// ```
pub fn watchers(own: &NodeId, live: &[NodeId], count: usize) -> Vec<NodeId> {
    let mut nodes: Vec<&NodeId> = live.iter().chain([own]).collect();
    nodes.sort_unstable();
    nodes.dedup();
    nodes.sort_by_cached_key(|node| Sha256::digest(node.as_bytes()));
    nodes.into_iter().take(count).cloned().collect()
}
