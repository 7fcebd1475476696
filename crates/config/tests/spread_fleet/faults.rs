//! Cuts, outages and restored copies of the store, at random; then everything heals.

use std::collections::BTreeMap;

use nutmegsail_config::{Digest, Generation};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::fleet::Fleet;

const DOMAINS: usize = 3;
const PER_DOMAIN: usize = 4;
const FAULTS: usize = 60;
/// How long everything takes to agree after it healed, in steps of 10 ms: a watcher reads the store
/// anew after 3 s at the latest, puts the newer head back within 2 s, and peers take 3 s.
const HEALED_STEPS: u64 = 2_000;

/// Checks that no node's generation falls and that a generation is one text everywhere.
#[derive(Default)]
struct Witness {
    last: BTreeMap<usize, Generation>,
    texts: BTreeMap<Generation, Digest>,
}

impl Witness {
    fn look(&mut self, fleet: &Fleet) {
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
        // A publisher refuses a store that is behind what its operator knows.
        0..=2 if stored >= fleet.newest => fleet.accept(&format!("text-{number}")),
        3 => drop(fleet.cut_off.insert(domain)),
        4 => drop(fleet.without_store.insert(domain)),
        5 => fleet.take_copy(),
        // A text that no node has seen yet is lost with the store; that is not this test's matter.
        6 if stored <= fleet.newest => fleet.restore_copy(),
        7 => fleet.heal(),
        _ => {}
    }
}

fn run(seed: u64) -> Generation {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(DOMAINS, PER_DOMAIN, seed);
    let mut witness = Witness::default();
    fleet.accept("first");
    for number in 0..FAULTS {
        fault(&mut fleet, &mut rng, number);
        for _ in 0..rng.random_range(0..150) {
            fleet.step();
            witness.look(&fleet);
        }
    }
    fleet.heal();
    for _ in 0..HEALED_STEPS {
        fleet.step();
        witness.look(&fleet);
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

/// Halls lose each other and the store, and the store is restored from old copies, again and again.
/// Whatever was in force stays, and once all can reach each other they agree on the newest.
#[test]
fn nothing_reverts_under_cuts_and_restored_stores_and_all_agree_after_healing() {
    let generations: Vec<Generation> = (0..20).map(run).collect();
    let least = generations.iter().min().copied().unwrap_or_default();
    assert!(least > Generation(4), "changes were made: {generations:?}");
}
