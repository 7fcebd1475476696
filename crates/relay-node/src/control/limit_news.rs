//! Spreads the rate limits that upstreams announce among the nodes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::LimitTold;

use super::knowledge::Knowledge;
use super::suspect_news::{others, some_others};

/// Limits per datagram, at some 40 bytes each.
const TOLD_AT_ONCE: usize = 20;

/// How often all limits are sent to a few random nodes, for nodes that started or were reachable
/// only later.
const STANDING_INTERVAL: Duration = Duration::from_secs(1);

/// Which changes of limits this node has sent.
#[derive(Debug, Default)]
pub(crate) struct LimitNews {
    /// The number of changes that were sent.
    changes: u64,
    own_changes: u64,
    told: Option<Instant>,
}

impl LimitNews {
    /// The messages to send now, with their addresses.
    ///
    /// The node that learns of a limit first sends it to the node that grants the upstream's turns,
    /// which sends it to all others.
    pub(super) fn turn(&mut self, knowledge: &Knowledge) -> Vec<(Vec<LimitTold>, SocketAddr)> {
        let now = Instant::now();
        let limits = knowledge.shared.limits();
        let (changes, own_changes) = (limits.changes(), limits.own_changes());
        let known = limits.told(now);
        drop(limits);
        let has_changed = std::mem::replace(&mut self.changes, changes) != changes;
        let is_own = std::mem::replace(&mut self.own_changes, own_changes) != own_changes;
        if has_changed {
            // Which node grants turns depends on the limits.
            knowledge.publish();
        }
        let mut messages = Vec::new();
        let me = knowledge.settings.nodes_address;
        let handing = knowledge.slot_nodes();
        for limit in known.iter().filter(|_| has_changed) {
            let to = match handing.get(&limit.upstream) {
                Some(node) if *node == me => others(knowledge),
                Some(node) if is_own => vec![*node],
                // Once a limit has ended, no node grants turns for it.
                None if is_own => others(knowledge),
                _ => Vec::new(),
            };
            messages.extend(to.into_iter().map(|to| (vec![limit.clone()], to)));
        }
        let is_due = self
            .told
            .is_none_or(|told| now.duration_since(told) >= STANDING_INTERVAL);
        if is_due && !known.is_empty() {
            self.told = Some(now);
            let some = some_others(knowledge);
            let parts = known.chunks(TOLD_AT_ONCE);
            messages.extend(parts.flat_map(|part| some.iter().map(|to| (part.to_vec(), *to))));
        }
        messages
    }
}

impl Knowledge {
    /// Applies limits that another node sent.
    pub(crate) fn take_limits(&self, told: &[LimitTold]) {
        let (mut limits, now) = (self.shared.limits(), Instant::now());
        for told in told
            .iter()
            .filter(|told| self.upstream(&told.upstream).is_some())
        {
            limits.take(told, now);
        }
    }

    /// Drops the limits and notices of upstreams that are no longer listed.
    pub(crate) fn forget_unlisted(&self) {
        let now = Instant::now();
        let is_listed = |upstream: &UpstreamId| self.upstream(upstream).is_some();
        self.shared.limits().forget(is_listed, now);
        self.shared.notices().forget(is_listed, now);
    }
}
