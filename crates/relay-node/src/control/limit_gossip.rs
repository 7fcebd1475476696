//! Spreads the rate limits that upstreams announce among the nodes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::LimitUpdate;

use super::control_state::ControlState;
use super::suspect_gossip::{other_nodes, random_nodes};

/// Limits per datagram, at some 40 bytes each.
const LIMITS_PER_DATAGRAM: usize = 20;

/// How often all limits are sent to a few random nodes, for nodes that started or were reachable
/// only later.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Which changes of limits this node has sent.
#[derive(Debug, Default)]
pub(crate) struct LimitGossip {
    /// The number of changes that were sent.
    changes: u64,
    own_change_count: u64,
    resent_at: Option<Instant>,
}

impl LimitGossip {
    /// The messages to send now, with their addresses.
    ///
    /// The node that learns of a limit first sends it to the upstream's slot issuer, which sends it
    /// to all others.
    pub(super) fn next_messages(
        &mut self,
        control: &ControlState,
    ) -> Vec<(Vec<LimitUpdate>, SocketAddr)> {
        let now = Instant::now();
        let limits = control.shared.limits();
        let (changes, own_change_count) = (limits.change_count(), limits.own_change_count());
        let known = limits.updates(now);
        drop(limits);
        let has_changed = std::mem::replace(&mut self.changes, changes) != changes;
        let is_own =
            std::mem::replace(&mut self.own_change_count, own_change_count) != own_change_count;
        if has_changed {
            // Which upstreams have a slot issuer depends on the limits.
            control.publish();
        }
        let mut messages = Vec::new();
        let own_address = control.settings.nodes_address;
        let issuers = control.slot_issuers();
        for limit in known.iter().filter(|_| has_changed) {
            let to = match issuers.get(&limit.upstream) {
                Some(node) if *node == own_address => other_nodes(control),
                Some(node) if is_own => vec![*node],
                // Once a limit has ended, the upstream may have no slot issuer.
                None if is_own => other_nodes(control),
                _ => Vec::new(),
            };
            messages.extend(to.into_iter().map(|to| (vec![limit.clone()], to)));
        }
        let is_due = self
            .resent_at
            .is_none_or(|at| now.duration_since(at) >= RESEND_INTERVAL);
        if is_due && !known.is_empty() {
            self.resent_at = Some(now);
            let nodes = random_nodes(control);
            let parts = known.chunks(LIMITS_PER_DATAGRAM);
            messages.extend(parts.flat_map(|part| nodes.iter().map(|to| (part.to_vec(), *to))));
        }
        messages
    }
}

impl ControlState {
    /// Applies limits that another node sent.
    pub(crate) fn apply_limits(&self, received: &[LimitUpdate]) {
        let (mut limits, now) = (self.shared.limits(), Instant::now());
        for limit in received
            .iter()
            .filter(|limit| self.upstream(&limit.upstream).is_some())
        {
            limits.take(limit, now);
        }
    }

    /// Drops the limits and notices of upstreams that are no longer listed.
    pub(crate) fn drop_unlisted_notices(&self) {
        let now = Instant::now();
        let is_listed = |upstream: &UpstreamId| self.upstream(upstream).is_some();
        self.shared.limits().forget(is_listed, now);
        self.shared.notices().forget(is_listed, now);
    }
}
