//! Spreads the requests under which upstreams ended (suspects) among the nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegsail_base::NodeId;
use nutmegsail_relay::{Audience, NodeRecord, SuspectTold, homes_of};
use rand::seq::IteratorRandom as _;

use super::knowledge::Knowledge;

/// Suspects per datagram, at some 80 bytes each.
const TOLD_AT_ONCE: usize = 12;

/// How often suspects are sent again to a few random nodes. After a few times every node has them,
/// including those of a failure domain that was cut off.
const STANDING_INTERVAL: Duration = Duration::from_millis(500);

/// How many nodes of the own failure domain, and as many of others, get them each time.
const STANDING_NODES: usize = 2;

/// The most suspects that are sent to a node that asks for all.
const TOLD_WHEN_ASKED: usize = 120;

/// Tracks when this node sends its suspects.
#[derive(Debug, Default)]
pub(crate) struct SuspectNews {
    /// When it last sent suspects again.
    told: Option<Instant>,
}

impl SuspectNews {
    /// The nodes to ask for their suspects, until one has answered.
    pub(super) fn asks(&self, knowledge: &Knowledge) -> Vec<SocketAddr> {
        match knowledge.needs_suspects.get() {
            true => some_others(knowledge),
            false => Vec::new(),
        }
    }

    /// The messages to send now, with their addresses.
    pub(super) fn turn(&mut self, knowledge: &Knowledge) -> Vec<(Vec<SuspectTold>, SocketAddr)> {
        let now = Instant::now();
        let mut suspects = knowledge.shared.suspects();
        let news = suspects.news(now);
        let is_due = self
            .told
            .is_none_or(|told| now.duration_since(told) >= STANDING_INTERVAL);
        let standing = match is_due {
            true => suspects.standing(TOLD_AT_ONCE, now),
            false => Vec::new(),
        };
        drop(suspects);
        let mut messages = by_address(knowledge, news);
        if is_due {
            self.told = Some(now);
        }
        if !standing.is_empty() {
            let some = some_others(knowledge).into_iter();
            messages.extend(some.map(|to| (standing.clone(), to)));
        }
        messages
    }
}

impl Knowledge {
    /// Applies suspects that another node sent.
    pub(crate) fn take_suspects(&self, from: &NodeId, told: &[SuspectTold]) {
        let (mut suspects, now) = (self.shared.suspects(), Instant::now());
        for told in told {
            suspects.take(from, told, now);
        }
    }
}

/// This node's suspects in datagram-sized parts; a single empty part if there are none.
pub(super) fn all_suspects(knowledge: &Knowledge) -> Vec<Vec<SuspectTold>> {
    let suspects = knowledge.shared.suspects();
    let all = suspects.standing(TOLD_WHEN_ASKED, Instant::now());
    drop(suspects);
    let parts: Vec<Vec<SuspectTold>> = all.chunks(TOLD_AT_ONCE).map(<[_]>::to_vec).collect();
    match parts.is_empty() {
        true => vec![Vec::new()],
        false => parts,
    }
}

/// Groups new suspects by the nodes to send them to, in datagram-sized parts.
fn by_address(
    knowledge: &Knowledge,
    news: Vec<(Audience, SuspectTold)>,
) -> Vec<(Vec<SuspectTold>, SocketAddr)> {
    let nodes = knowledge.nodes.borrow();
    let mut told: HashMap<SocketAddr, Vec<SuspectTold>> = HashMap::new();
    for (audience, suspect) in news {
        let heard: Vec<&NodeRecord> = match audience {
            Audience::All => nodes.values().collect(),
            Audience::Homes => homes_of(suspect.digest(), nodes.values()),
        };
        for node in heard.into_iter().filter(|node| !is_self(knowledge, node)) {
            told.entry(node.address).or_default().push(suspect.clone());
        }
    }
    let parts = told.into_iter().flat_map(|(address, told)| {
        let parts = told.chunks(TOLD_AT_ONCE).map(<[_]>::to_vec);
        parts.map(|part| (part, address)).collect::<Vec<_>>()
    });
    parts.collect()
}

/// The addresses of all other nodes.
pub(super) fn others(knowledge: &Knowledge) -> Vec<SocketAddr> {
    let nodes = knowledge.nodes.borrow();
    let others = nodes.values().filter(|node| !is_self(knowledge, node));
    others.map(|node| node.address).collect()
}

/// The addresses of a few random nodes of the own failure domain and of others.
pub(super) fn some_others(knowledge: &Knowledge) -> Vec<SocketAddr> {
    let nodes = knowledge.nodes.borrow();
    let here = &knowledge.settings.failure_domain;
    let others = nodes.values().filter(|node| !is_self(knowledge, node));
    let (near, far): (Vec<_>, Vec<_>) = others.partition(|node| node.failure_domain == *here);
    let mut random = rand::rng();
    let drawn = [near, far].map(|nodes| nodes.into_iter().sample(&mut random, STANDING_NODES));
    drawn
        .into_iter()
        .flatten()
        .map(|node| node.address)
        .collect()
}

fn is_self(knowledge: &Knowledge, node: &NodeRecord) -> bool {
    node.node == knowledge.settings.node
}
