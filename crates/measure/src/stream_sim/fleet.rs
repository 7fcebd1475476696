//! The nodes and the streams that begin at them.

use nutmegsail_base::FailureDomain;
use nutmegsail_relay::{KeeperCounts, Peer, StreamKey, stream_keepers};

/// How long a stream lasts: 86 events.
pub(super) const STREAM_S: f64 = 2.2;

/// How long after its begin a stream can be taken up.
pub(super) const RESUMABLE_S: f64 = 25.0;

/// The size of a failure domain from which on its registrars hardly depend on which nodes are listed.
const LARGE_DOMAIN: usize = 20;

/// Nodes in failure domains, and the resumable streams that begin at them.
#[derive(Clone)]
pub(crate) struct Fleet {
    pub nodes: Vec<Peer>,
    pub domains: usize,
    /// Over all nodes.
    pub streams_per_s: f64,
    /// The nodes that may keep streams.
    pub registrars: Vec<usize>,
}

impl Fleet {
    pub(crate) fn new(count: usize, domains: usize, streams_per_s: f64, seed: u64) -> Self {
        let node = |number: usize| Peer {
            node: format!("front-hall-{seed}-{number}").as_str().into(),
            failure_domain: format!("domain-{}", number % domains).as_str().into(),
            address: ([10, 0, 0, 1], 80).into(),
            forward_address: ([10, 0, 0, 1], 81).into(),
        };
        let mut fleet = Self {
            nodes: (0..count).map(node).collect(),
            domains,
            streams_per_s,
            registrars: Vec::new(),
        };
        let of_domain = |domain| fleet.registrars_of(domain);
        fleet.registrars = (0..domains).flat_map(of_domain).collect();
        fleet
    }

    /// The registrars of a failure domain, which are those that may keep any stream.
    fn registrars_of(&self, domain: usize) -> Vec<usize> {
        let nodes: Vec<usize> = self.in_domain(domain).collect();
        if nodes.len() < LARGE_DOMAIN {
            return nodes;
        }
        let peers: Vec<Peer> = nodes.iter().map(|node| self.nodes[*node].clone()).collect();
        let key = StreamKey::of(None, &"any".into());
        let every = KeeperCounts {
            own_domain: peers.len(),
            other_domains: 0,
        };
        let others_of = |own: &Peer| -> Vec<&Peer> {
            stream_keepers(&key, (&own.node, &own.failure_domain), &peers, every)
        };
        // A node is left out of its own keepers.
        let (first, second) = (others_of(&peers[0]), others_of(&peers[1]));
        let is_registrar = |node: &usize| {
            [&first, &second]
                .iter()
                .any(|of| of.contains(&&self.nodes[*node]))
        };
        nodes.into_iter().filter(is_registrar).collect()
    }

    pub(super) fn domain(&self, node: usize) -> usize {
        node % self.domains
    }

    pub(super) fn domain_name(&self, node: usize) -> &FailureDomain {
        &self.nodes[node].failure_domain
    }

    pub(super) fn in_domain(&self, domain: usize) -> impl Iterator<Item = usize> {
        (domain..self.nodes.len()).step_by(self.domains)
    }
}
