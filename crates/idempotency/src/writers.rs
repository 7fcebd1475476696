//! Which node this one asks to write for a shard.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegsail_base::NodeId;

use crate::{LiveNode, writer_of};

/// How long a node that did not answer is not asked again.
const SUSPICION: Duration = Duration::from_secs(5);

/// Chooses writers: one node of the whole deployment for each shard, so that all claims of a shard
/// share their writes; while it does not answer, one of the own failure domain.
///
/// It decides what is cheap, never what is right: any node may write at any time.
#[derive(Debug, Default)]
pub(crate) struct Writers {
    /// Nodes that may write, of every failure domain, as the VM list has them.
    pub candidates: Vec<NodeId>,
    /// Nodes that are known to run, by their heartbeats.
    pub live: Vec<LiveNode>,
    suspects: BTreeMap<NodeId, Instant>,
}

impl Writers {
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

    /// A node did not answer. A dead or paused writer stays on the list for a while; it must not
    /// cost every claim the time of a question without an answer.
    pub fn suspect(&mut self, node: &NodeId, now: Instant) {
        self.suspects.insert(node.clone(), now + SUSPICION);
    }

    /// A node answered.
    pub fn trust(&mut self, node: &NodeId) {
        self.suspects.remove(node);
    }

    /// Ends suspicions that are old enough for another try.
    pub fn forget_old(&mut self, now: Instant) {
        self.suspects.retain(|_, until| *until > now);
    }
}
