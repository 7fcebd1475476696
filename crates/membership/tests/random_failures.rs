//! Random failures of a fleet, and heartbeats with random contents.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use nutmegsail_base::{Incarnation, NodeId, UpstreamId};
use nutmegsail_membership::{
    Heartbeat, LeavingSource, Membership, MembershipEvent, MembershipSettings, NodeState, PeerBeat,
    UpstreamNotice,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

#[allow(dead_code, reason = "each test file uses a part")]
mod fleet;

use fleet::{Fleet, generation};

const DOMAINS: usize = 2;
const NODES: usize = DOMAINS * 5;
const RECOVERY_TIME: Duration = Duration::from_secs(120);

/// A failure, a recovery or another event in a run.
#[derive(Clone, Copy, Debug)]
enum Incident {
    Wait { ms: u64 },
    Pause { node: usize, ms: u64 },
    Kill { node: usize },
    Restart { node: usize },
    CutBetweenDomains,
    CutWithinDomains,
    Heal,
    VmListOutage { active: bool },
    Generation { node: usize, number: u64 },
    Leaving { node: usize, upstream: u8 },
}

fn incidents() -> impl Strategy<Value = Incident> {
    let node = 0..NODES;
    prop_oneof![
        6 => (10..15_000u64).prop_map(|ms| Incident::Wait { ms }),
        2 => (node.clone(), 100..40_000u64).prop_map(|(node, ms)| Incident::Pause { node, ms }),
        1 => node.clone().prop_map(|node| Incident::Kill { node }),
        2 => node.clone().prop_map(|node| Incident::Restart { node }),
        1 => Just(Incident::CutBetweenDomains),
        1 => Just(Incident::CutWithinDomains),
        2 => Just(Incident::Heal),
        1 => any::<bool>().prop_map(|active| Incident::VmListOutage { active }),
        1 => (node.clone(), 2..9u64).prop_map(|(node, number)| {
            Incident::Generation { node, number }
        }),
        1 => (node, 0..3u8).prop_map(|(node, upstream)| Incident::Leaving { node, upstream }),
    ]
}

fn apply_incident(fleet: &mut Fleet, incident: Incident) {
    match incident {
        Incident::Wait { ms } => fleet.run(Duration::from_millis(ms)),
        Incident::Pause { node, ms } => fleet.pause(node, Duration::from_millis(ms)),
        Incident::Kill { node } => fleet.nodes[node].is_dead = true,
        Incident::Restart { node } if fleet.nodes[node].is_dead => fleet.restart(node),
        Incident::Restart { .. } => {}
        Incident::CutBetweenDomains => fleet.can_deliver = |a, b| a.domain == b.domain,
        Incident::CutWithinDomains => {
            fleet.can_deliver = |a, b| a.id.ends_with(['0', '1']) == b.id.ends_with(['0', '1']);
        }
        Incident::Heal => fleet.can_deliver = |_, _| true,
        Incident::VmListOutage { active } => fleet.is_vm_list_unavailable = active,
        Incident::Generation { node, number } if fleet.nodes[node].is_running() => {
            fleet.handle(node, generation(number));
        }
        Incident::Leaving { node, upstream } if fleet.nodes[node].is_running() => {
            let leaving = MembershipEvent::UpstreamLeaving {
                upstream: UpstreamId::from(format!("10.9.0.{upstream}:8000")),
                incarnation: None,
                source: LeavingSource::Refusal,
            };
            fleet.handle(node, leaving);
        }
        // A node that is not running receives no events.
        Incident::Generation { .. } | Incident::Leaving { .. } => {}
    }
}

fn seeded(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded(40))]

    // After any sequence of failures, once the network and the VM list work again, all nodes that
    // are alive must agree on the live nodes and on one generation.
    #[test]
    fn nodes_agree_again_after_any_failures(
        incidents in prop::collection::vec(incidents(), 1..40),
        seed in any::<u64>(),
    ) {
        let mut fleet = Fleet::new(DOMAINS, NODES / DOMAINS, seed);
        fleet.loss = 0.1;
        for incident in incidents {
            apply_incident(&mut fleet, incident);
        }
        fleet.can_deliver = |_, _| true;
        fleet.is_vm_list_unavailable = false;
        fleet.run(RECOVERY_TIME);
        prop_assert!(fleet.agrees_on_live());
        let generations = fleet.alive().map(|node| node.membership.status().generation);
        let generations: BTreeSet<_> = generations.collect();
        prop_assert!(generations.len() <= 1, "{:?} are in force", generations);
        for node in fleet.alive() {
            let status = node.membership.status();
            prop_assert_eq!(status.domains.len(), DOMAINS);
        }
    }
}

fn any_beat() -> impl Strategy<Value = PeerBeat> {
    let state = prop_oneof![Just(NodeState::Ready), Just(NodeState::Leaving)];
    ("[a-c]", any::<u64>(), any::<u64>(), state, any::<u64>()).prop_map(
        |(node, incarnation, beat, state, generation)| PeerBeat {
            node: node.into(),
            incarnation: Incarnation(incarnation),
            beat,
            state,
            generation,
            address: Some("10.0.0.1:7400".into()),
        },
    )
}

proptest! {
    #![proptest_config(seeded(500))]

    // A faulty node sends heartbeats with arbitrary values. The core must not panic, and must still
    // count its own node as live.
    #[test]
    fn no_heartbeat_causes_a_panic(
        beats in prop::collection::vec(any_beat(), 0..6),
        steps in prop::collection::vec((any_beat(), 0..100_000u64, any::<u32>()), 1..20),
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let me = NodeId::from("b");
        let mut core = Membership::new(
            MembershipSettings::default(),
            me.clone(),
            "10.0.0.9:7400".into(),
            "domain".into(),
            Incarnation(5),
        );
        let mut now = Instant::now();
        let mut actions = Vec::new();
        let ready = MembershipEvent::OwnState { is_ready: true, is_leaving: false };
        core.handle(ready, now, &mut rng, &mut actions);
        for (sender, after_ms, age_ms) in steps {
            now += Duration::from_millis(after_ms);
            let received = MembershipEvent::Heard {
                from: sender.node.clone(),
                incarnation: sender.incarnation,
                heartbeat: heartbeat(&sender, &beats, age_ms),
            };
            core.handle(received, now, &mut rng, &mut actions);
            core.handle(MembershipEvent::Tick, now, &mut rng, &mut actions);
            prop_assert!(core.live_nodes().iter().any(|live| live.node == me));
            let _ = core.status();
        }
    }
}

fn heartbeat(sender: &PeerBeat, beats: &[PeerBeat], age_ms: u32) -> Heartbeat {
    Heartbeat {
        failure_domain: "domain".into(),
        address: "10.0.0.1:7400".into(),
        beat: sender.beat,
        state: sender.state,
        wants_roster: true,
        is_roster: sender.beat.is_multiple_of(2),
        generation: sender.generation,
        digest: "not a digest".into(),
        introductions: beats.to_vec(),
        beats: Vec::new(),
        summaries: Vec::new(),
        upstreams: vec![UpstreamNotice {
            upstream: "10.9.0.1:8000".into(),
            incarnation: None,
            is_leaving: age_ms.is_multiple_of(2),
            age_ms,
        }],
    }
}
