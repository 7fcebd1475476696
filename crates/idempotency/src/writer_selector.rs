//! Selects the node that writes a shard's claims.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegsail_base::NodeId;

use crate::{LiveNode, writer_of};

/// How long a node is not selected after it failed to answer.
const SUSPICION_TTL: Duration = Duration::from_secs(5);

/// Selects one writer for each shard, the same on every node, so that the claims of a shard are
/// written in groups. While that node does not answer, a live node of this failure
/// domain is used instead.
///
/// The selection only saves store writes. Correctness does not depend on it: any node may write any
/// shard at any time.
#[derive(Debug, Default)]
pub(crate) struct WriterSelector {
    /// Nodes of every failure domain that may write, from the VM list.
    pub candidates: Vec<NodeId>,
    /// Nodes whose heartbeats arrive.
    pub live: Vec<LiveNode>,
    suspects: BTreeMap<NodeId, Instant>,
}

impl WriterSelector {
    /// The node that writes for `shard`.
    pub fn writer(&self, shard: u8) -> Option<&NodeId> {
        let first = writer_of(shard, &self.candidates);
        let live = self.live.iter().map(|live| &live.node);
        match first {
            Some(first) if !self.suspects.contains_key(first) => Some(first),
            _ => writer_of(
                shard,
                live.filter(|node| !self.suspects.contains_key(*node)),
            ),
        }
    }

    /// Excludes a node that did not answer. A dead or paused node stays on the VM list for a while;
    /// without this, every claim would wait for it until the request times out.
    pub fn suspect(&mut self, node: &NodeId, now: Instant) {
        self.suspects.insert(node.clone(), now + SUSPICION_TTL);
    }

    /// Selects the node again, since it answered.
    pub fn clear_suspicion(&mut self, node: &NodeId) {
        self.suspects.remove(node);
    }

    /// Makes nodes eligible again whose suspicion has expired.
    pub fn expire_suspicions(&mut self, now: Instant) {
        self.suspects.retain(|_, until| *until > now);
    }
}
