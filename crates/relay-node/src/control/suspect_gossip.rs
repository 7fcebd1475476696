//! Spreads the traits of requests under which upstreams ended (suspects) among the nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegsail_base::NodeId;
use nutmegsail_relay::{NodeRecord, Recipients, SuspectUpdate, collectors_of};
use rand::seq::IteratorRandom as _;

use super::control_state::ControlState;

/// Suspects per datagram, at some 80 bytes each.
const SUSPECTS_PER_DATAGRAM: usize = 12;

/// How often suspects are sent again to a few random nodes. After a few times every node has them,
/// including those of a failure domain that was cut off.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);

/// How many nodes of the own failure domain, and as many of others, get them each time.
const RESEND_NODES: usize = 1;

/// The most suspects that are sent to a node that asks for all.
const MAX_QUERIED_SUSPECTS: usize = 120;

/// Tracks when this node sends its suspects.
#[derive(Debug, Default)]
pub(crate) struct SuspectGossip {
    /// When it last sent known suspects again.
    resent_at: Option<Instant>,
}

impl SuspectGossip {
    /// The messages to send now, with their addresses.
    pub(super) fn next_messages(
        &mut self,
        control: &ControlState,
    ) -> Vec<(Vec<SuspectUpdate>, SocketAddr)> {
        let now = Instant::now();
        let mut suspects = control.shared.suspects();
        let new = suspects.due_updates(now);
        let is_due = self
            .resent_at
            .is_none_or(|at| now.duration_since(at) >= RESEND_INTERVAL);
        let resent = match is_due {
            true => suspects.repeated_updates(SUSPECTS_PER_DATAGRAM, now),
            false => Vec::new(),
        };
        drop(suspects);
        let mut messages = group_by_node(control, new);
        if is_due {
            self.resent_at = Some(now);
        }
        if !resent.is_empty() {
            let nodes = random_nodes(control).into_iter();
            messages.extend(nodes.map(|to| (resent.clone(), to)));
        }
        messages
    }
}

impl ControlState {
    /// Applies suspects that another node sent. Returns what that node does not know.
    pub(crate) fn apply_suspects(
        &self,
        from: &NodeId,
        suspects: &[SuspectUpdate],
    ) -> Vec<SuspectUpdate> {
        let (mut known, now) = (self.shared.suspects(), Instant::now());
        let replies = suspects.iter();
        let replies = replies.filter_map(|suspect| known.take(from, suspect, now));
        let replies = replies.collect();
        self.shared.announce_suspects(&known);
        replies
    }
}

/// This node's suspects in datagram-sized parts; a single empty part if there are none.
pub(super) fn all_suspects(control: &ControlState) -> Vec<Vec<SuspectUpdate>> {
    let suspects = control.shared.suspects();
    let all = suspects.repeated_updates(MAX_QUERIED_SUSPECTS, Instant::now());
    drop(suspects);
    let parts: Vec<Vec<SuspectUpdate>> = all
        .chunks(SUSPECTS_PER_DATAGRAM)
        .map(<[_]>::to_vec)
        .collect();
    match parts.is_empty() {
        true => vec![Vec::new()],
        false => parts,
    }
}

/// Groups new suspects by the nodes to send them to, in datagram-sized parts.
fn group_by_node(
    control: &ControlState,
    new: Vec<(Recipients, SuspectUpdate)>,
) -> Vec<(Vec<SuspectUpdate>, SocketAddr)> {
    let nodes = control.nodes.borrow();
    let mut by_node: HashMap<SocketAddr, Vec<SuspectUpdate>> = HashMap::new();
    for (audience, suspect) in new {
        let receivers: Vec<&NodeRecord> = match audience {
            Recipients::All => nodes.values().collect(),
            Recipients::Collectors => collectors_of(suspect.suspect(), nodes.values()),
        };
        for node in receivers.into_iter().filter(|node| !is_self(control, node)) {
            by_node
                .entry(node.address)
                .or_default()
                .push(suspect.clone());
        }
    }
    let parts = by_node.into_iter().flat_map(|(address, suspects)| {
        let parts = suspects.chunks(SUSPECTS_PER_DATAGRAM).map(<[_]>::to_vec);
        parts.map(|part| (part, address)).collect::<Vec<_>>()
    });
    parts.collect()
}

/// The addresses of all other nodes.
pub(super) fn other_nodes(control: &ControlState) -> Vec<SocketAddr> {
    let nodes = control.nodes.borrow();
    let others = nodes.values().filter(|node| !is_self(control, node));
    others.map(|node| node.address).collect()
}

/// The addresses of a few random nodes of the own failure domain and of others.
pub(super) fn random_nodes(control: &ControlState) -> Vec<SocketAddr> {
    let nodes = control.nodes.borrow();
    let own_domain = &control.settings.failure_domain;
    let others = nodes.values().filter(|node| !is_self(control, node));
    let (local, remote): (Vec<_>, Vec<_>) =
        others.partition(|node| node.failure_domain == *own_domain);
    let mut random = rand::rng();
    let drawn = [local, remote].map(|nodes| nodes.into_iter().sample(&mut random, RESEND_NODES));
    drawn
        .into_iter()
        .flatten()
        .map(|node| node.address)
        .collect()
}

fn is_self(control: &ControlState, node: &NodeRecord) -> bool {
    node.node == control.settings.node
}
