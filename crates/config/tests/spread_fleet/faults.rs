//! Random network partitions, store outages and restores of the store from older copies, followed
//! by full recovery.

use std::collections::BTreeMap;

use nutmegsail_config::{Digest, Generation};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;

const DOMAINS: usize = 3;
const PER_DOMAIN: usize = 4;
const FAULT_COUNT: usize = 60;
/// How long the nodes and the store get to agree after recovery, in steps of 10 ms. A watcher reads
/// the store's head again within 3 s, restores the newer head within 2 s, and distributing it takes
/// 3 s.
const RECOVERY_STEPS: u64 = 2_000;

/// Checks that no node's generation decreases and that each generation is the same text everywhere.
#[derive(Default)]
struct SafetyCheck {
    last: BTreeMap<usize, Generation>,
    texts: BTreeMap<Generation, Digest>,
}

impl SafetyCheck {
    fn record_and_check(&mut self, fleet: &Fleet) {
        for (node, spread) in fleet.nodes.iter().enumerate() {
            let Some(text) = spread.in_force() else {
                continue;
            };
            let last = self.last.insert(node, text.generation).unwrap_or_default();
            assert!(last <= text.generation, "node {node} fell from {last}");
            let known = self
                .texts
                .entry(text.generation)
                .or_insert_with(|| text.digest.clone());
            assert_eq!(
                *known, text.digest,
                "generation {} is two texts",
                text.generation
            );
        }
    }
}

fn fault(fleet: &mut Fleet, rng: &mut ChaCha8Rng, number: usize) {
    let domain = rng.random_range(0..DOMAINS);
    let stored = fleet.stored.as_ref().map(|stored| stored.head.generation);
    let stored = stored.unwrap_or_default();
    match rng.random_range(0..8) {
        // A publisher refuses to write to a store that is behind its operator's base.
        0..=2 if stored >= fleet.newest => fleet.accept(&format!("text-{number}")),
        3 => drop(fleet.cut_off.insert(domain)),
        4 => drop(fleet.without_store.insert(domain)),
        5 => fleet.take_copy(),
        // Restoring a copy would lose a text that no node has received yet, which this test does
        // not cover.
        6 if stored <= fleet.newest => fleet.restore_copy(),
        7 => fleet.heal(),
        _ => {}
    }
}

fn run(seed: u64) -> Generation {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(DOMAINS, PER_DOMAIN, seed);
    let mut safety_check = SafetyCheck::default();
    fleet.accept("first");
    for number in 0..FAULT_COUNT {
        fault(&mut fleet, &mut rng, number);
        for _ in 0..rng.random_range(0..150) {
            fleet.step();
            safety_check.record_and_check(&fleet);
        }
    }
    fleet.heal();
    for _ in 0..RECOVERY_STEPS {
        fleet.step();
        safety_check.record_and_check(&fleet);
    }
    let stored = fleet.stored.as_ref().map(|stored| stored.head.generation);
    assert_eq!(
        stored,
        Some(fleet.newest),
        "seed {seed}: the store holds the newest text"
    );
    for (node, spread) in fleet.nodes.iter().enumerate() {
        let generation = spread.in_force().map(|text| text.generation);
        assert_eq!(generation, Some(fleet.newest), "seed {seed}, node {node}");
    }
    fleet.newest
}

/// Failure domains repeatedly lose contact with each other and with the store, and the store is
/// restored from older copies. No node may go back to an older text meanwhile, and after recovery
/// all nodes and the store must have the newest one.
#[test]
fn no_text_reverts_under_partitions_and_store_restores_and_all_nodes_agree_after_recovery() {
    let generations: Vec<Generation> = (0..20).map(run).collect();
    let least = generations.iter().min().copied().unwrap_or_default();
    assert!(least > Generation(4), "changes were made: {generations:?}");
}
