//! The nodes that grant the slots and prompts of upstreams.

use std::collections::HashMap;

use nutmegsail_base::NodeId;
use nutmegsail_relay::{NodeRecord, SlotIssuers, Upstream, UpstreamState};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

const DOMAINS: [&str; 3] = ["a", "b", "c"];

fn node(index: usize, domain: &str) -> NodeRecord {
    NodeRecord {
        node: format!("node-{index}").as_str().into(),
        failure_domain: domain.into(),
        address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        forward_address: None,
        out_of_reach: Vec::new(),
    }
}

fn upstream(index: usize) -> Upstream {
    let name = format!("engine-{index}");
    Upstream {
        id: Upstream::id_of(&name, None),
        name: name.as_str().into(),
        started_ms: None,
        service: "engines".into(),
        address: ([127, 0, 0, 1], 9).into(),
        failure_domain: DOMAINS[index % DOMAINS.len()].into(),
        software: "v1".into(),
        slots: 4,
        state: UpstreamState::Ready,
        holdings: Default::default(),
        local_weights: Default::default(),
    }
}

// Guards against nodes that choose other issuers than their neighbours because of the order in which they learned of changes.
#[test]
fn issuers_do_not_depend_on_earlier_lists_of_nodes() {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let upstreams: Vec<Upstream> = (0..60).map(upstream).collect();
    let mut nodes: HashMap<NodeId, NodeRecord> = HashMap::new();
    let mut issuers = SlotIssuers::default();
    for _ in 0..300 {
        let index = random.random_range(0..20);
        let changed = node(index, DOMAINS[random.random_range(0..DOMAINS.len())]);
        match random.random_bool(0.6) {
            true => nodes.insert(changed.node.clone(), changed),
            false => nodes.remove(&changed.node),
        };
        issuers.set_nodes(&nodes);
        let mut fresh = SlotIssuers::default();
        fresh.set_nodes(&nodes);
        for upstream in &upstreams {
            assert_eq!(issuers.issuer(upstream), fresh.issuer(upstream));
        }
    }
}

// Guards against an issuer in another failure domain while the upstream's own has nodes.
#[test]
fn issuers_are_in_the_upstreams_failure_domain() {
    let nodes = [node(0, "a"), node(1, "b"), node(2, "c")];
    let nodes = nodes.map(|node| (node.node.clone(), node));
    let mut issuers = SlotIssuers::default();
    issuers.set_nodes(&nodes.into_iter().collect());
    for index in 0..9 {
        let address = node(index % 3, "").address;
        assert_eq!(issuers.issuer(&upstream(index)), Some(address));
    }
}
