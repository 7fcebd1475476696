//! Which node takes a request whose service this node cannot reach.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, NodeId, ServiceName};
use rand::seq::IteratorRandom as _;
use rand::{Rng, RngExt as _};
use serde::{Deserialize, Serialize};

/// How long a peer's answer is valid. Peers are asked ten times a second.
const ANSWER_TTL: Duration = Duration::from_millis(600);

/// How many more requests the peers of the own failure domain take than others before requests go
/// to another domain. Traffic between domains is billed, and cut when they are partitioned.
const LOCAL_PREFERENCE: u32 = 8;

/// The random amount added to a peer's load, so that nodes with the same answers choose different
/// peers.
const LOAD_NOISE: u32 = 4;

/// The peers that are asked in one round, in each of the own and the other failure domains.
const ASKED_PER_ROUND: usize = 3;

/// A node to which requests can be forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its id.
    pub node: NodeId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where it answers questions about its services.
    pub address: SocketAddr,
    /// Where it accepts forwarded requests.
    pub forward_address: SocketAddr,
}

/// What a peer says about forwarded requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerAnswer {
    /// The services that it reaches, of those that it was asked for.
    pub reachable: Vec<ServiceName>,
    /// How many requests of other nodes it handles now.
    pub forwarded: u32,
    /// How many more it accepts.
    pub free: u32,
}

/// What this node knows of its peers while it forwards requests.
///
/// ```
/// use std::time::Instant;
/// use nutmegsail_relay::{ForwardPeers, Peer, PeerAnswer};
/// let peer = Peer {
///     node: "n2".into(),
///     failure_domain: "here".into(),
///     address: ([10, 0, 0, 2], 7380).into(),
///     forward_address: ([10, 0, 0, 2], 7395).into(),
/// };
/// let (now, mut random) = (Instant::now(), rand::rng());
/// let mut peers = ForwardPeers::new("here".into());
/// peers.set_peers([peer.clone()]);
/// assert_eq!(peers.choose(&"desk".into(), &[], now, &mut random), None, "it was not asked yet");
/// let answer = PeerAnswer { reachable: vec!["desk".into()], forwarded: 0, free: 9 };
/// peers.record_answer(peer.address, answer, now);
/// assert_eq!(peers.choose(&"desk".into(), &[], now, &mut random), Some(peer.clone()));
/// assert!(peers.record_sent(&peer));
/// assert_eq!(peers.awaited().collect::<Vec<_>>(), [peer.address]);
/// ```
#[derive(Clone, Debug)]
pub struct ForwardPeers {
    failure_domain: FailureDomain,
    peers: HashMap<SocketAddr, KnownPeer>,
    /// The requests of this node at each peer, whether it is still listed or not.
    awaited: HashMap<SocketAddr, u32>,
}

#[derive(Clone, Debug)]
struct KnownPeer {
    peer: Peer,
    answer: Option<(PeerAnswer, Instant)>,
    /// Requests of this node that it handles now.
    in_flight: u32,
}

impl ForwardPeers {
    /// Knows no peers, for a node in `failure_domain`.
    pub fn new(failure_domain: FailureDomain) -> Self {
        Self {
            failure_domain,
            peers: HashMap::new(),
            awaited: HashMap::new(),
        }
    }

    /// Replaces the list of peers.
    pub fn set_peers(&mut self, listed: impl IntoIterator<Item = Peer>) {
        let mut before = std::mem::take(&mut self.peers);
        self.peers = listed
            .into_iter()
            .map(|peer| {
                let known = before.remove(&peer.address);
                let known = known.filter(|known| known.peer == peer);
                let unknown = || KnownPeer {
                    peer: peer.clone(),
                    answer: None,
                    in_flight: 0,
                };
                (peer.address, known.unwrap_or_else(unknown))
            })
            .collect();
    }

    /// The addresses of the peers to ask now: a few at random, and those that are known to reach
    /// upstreams.
    pub fn to_ask(&self, now: Instant, random: &mut dyn Rng) -> Vec<SocketAddr> {
        let is_local = |known: &&KnownPeer| known.peer.failure_domain == self.failure_domain;
        let local = self.peers.values().filter(is_local);
        let mut asked = local.sample(&mut &mut *random, ASKED_PER_ROUND);
        let remote = self.peers.values().filter(|known| !is_local(known));
        asked.extend(remote.sample(&mut &mut *random, ASKED_PER_ROUND));
        let helpful = self.peers.values().filter(|known| {
            let answer = known.fresh_answer(now);
            answer.is_some_and(|answer| !answer.reachable.is_empty())
        });
        asked.extend(helpful.sample(&mut &mut *random, ASKED_PER_ROUND));
        let mut addresses: Vec<_> = asked.iter().map(|known| known.peer.address).collect();
        addresses.sort();
        addresses.dedup();
        addresses
    }

    /// Records what a peer answered.
    pub fn record_answer(&mut self, from: SocketAddr, answer: PeerAnswer, now: Instant) {
        if let Some(known) = self.peers.get_mut(&from) {
            known.answer = Some((answer, now));
        }
    }

    /// Records that a peer did not take a request for `service`.
    pub fn record_refused(&mut self, peer: &Peer, service: &ServiceName) {
        let known = self.peers.get_mut(&peer.address);
        if let Some((answer, _)) = known.and_then(|known| known.answer.as_mut()) {
            answer.reachable.retain(|reachable| reachable != service);
        }
    }

    /// Records that a request was forwarded to a peer. Returns whether it has no other request of
    /// this node.
    pub fn record_sent(&mut self, peer: &Peer) -> bool {
        let awaited = self.awaited.entry(peer.address).or_default();
        *awaited += 1;
        let is_only = *awaited == 1;
        if let Some(known) = self.peers.get_mut(&peer.address) {
            known.in_flight += 1;
        }
        is_only
    }

    /// Records that a forwarded request ended.
    pub fn record_ended(&mut self, peer: &Peer) {
        if let Some(count) = self.awaited.get_mut(&peer.address) {
            *count = count.saturating_sub(1);
        }
        self.awaited.retain(|_, count| *count > 0);
        if let Some(known) = self.peers.get_mut(&peer.address) {
            known.in_flight = known.in_flight.saturating_sub(1);
        }
    }

    /// The addresses of the peers that have requests of this node.
    pub fn awaited(&self) -> impl Iterator<Item = SocketAddr> {
        self.awaited.keys().copied()
    }

    /// Selects a peer that reaches `service` and is not in `tried`: the one with the least load,
    /// of the own failure domain unless those have much more.
    pub fn choose(
        &self,
        service: &ServiceName,
        tried: &[NodeId],
        now: Instant,
        random: &mut dyn Rng,
    ) -> Option<Peer> {
        let able = self.peers.values().filter_map(|known| {
            let answer = known.fresh_answer(now)?;
            let is_able = answer.free > 0
                && answer.reachable.contains(service)
                && !tried.contains(&known.peer.node);
            is_able.then_some((known, answer))
        });
        let loaded = able.map(|(known, answer)| {
            let is_remote = known.peer.failure_domain != self.failure_domain;
            let preference = if is_remote { LOCAL_PREFERENCE } else { 0 };
            // The peer's count is up to a round old, and includes this node's requests of then.
            let load = answer.forwarded.max(known.in_flight);
            let noise = random.random_range(0..=LOAD_NOISE);
            (load + preference + noise, &known.peer)
        });
        let least = loaded.min_by_key(|(load, peer)| (*load, peer.address));
        least.map(|(_, peer)| peer.clone())
    }

    /// Whether a peer may reach `service`: one has said so, or none has answered yet. If all say
    /// that they do not, its upstreams are down or all nodes are cut off from them.
    pub fn may_be_reached_elsewhere(&self, service: &ServiceName, now: Instant) -> bool {
        let answers = self.peers.values();
        let mut answers = answers
            .filter_map(|known| known.fresh_answer(now))
            .peekable();
        match answers.peek() {
            None => !self.peers.is_empty(),
            Some(_) => answers.any(|answer| answer.reachable.contains(service)),
        }
    }
}

impl KnownPeer {
    fn fresh_answer(&self, now: Instant) -> Option<&PeerAnswer> {
        let (answer, at) = self.answer.as_ref()?;
        (now.saturating_duration_since(*at) < ANSWER_TTL).then_some(answer)
    }
}
