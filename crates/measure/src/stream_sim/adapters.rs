//! Where a stream's adapter is while the upstreams of its version leave one by one.

use std::collections::VecDeque;

use rand::SeedableRng as _;
use rand::distr::weighted::WeightedIndex;
use rand::prelude::Distribution as _;
use rand::seq::{IndexedRandom as _, SliceRandom as _};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 12;
const PLACES: usize = 21;
const ADAPTERS: usize = 3_000;
const ZIPF: f64 = 1.2;

/// How many copies of an adapter there are, in engines that its requests keep busy.
const SPARE_COPIES: f64 = 1.25;

/// Requests before a release.
const WARM_UP: usize = 4_000;

/// Streams that are in progress at an engine that leaves.
const TAKEN_UP: usize = 30;

const RELEASES: u32 = 20;

/// What became of streams whose engine left, by how many engines of their version are left.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AdapterRun {
    pub engines_left: usize,
    /// The share of streams whose adapter is held by no engine that is left.
    pub loaded_share: f64,
}

struct Engines {
    /// The adapters of each engine, the most recently used last. `None` once it left.
    held: Vec<Option<VecDeque<usize>>>,
    /// How many engines should hold each adapter.
    wanted: Vec<usize>,
}

impl Engines {
    fn holders(&self, adapter: usize) -> Vec<usize> {
        let holds = |engine: &usize| {
            let held = self.held[*engine].as_ref();
            held.is_some_and(|held| held.contains(&adapter))
        };
        (0..ENGINES).filter(holds).collect()
    }

    fn left(&self) -> Vec<usize> {
        let is_left = |engine: &usize| self.held[*engine].is_some();
        (0..ENGINES).filter(is_left).collect()
    }

    /// Serves a request at an engine that holds its adapter, or loads it.
    fn serve(&mut self, adapter: usize, random: &mut ChaCha8Rng) -> Option<usize> {
        let (holders, mut left) = (self.holders(adapter), self.left());
        let wanted = self.wanted[adapter].min(left.len());
        if holders.len() < wanted {
            left.retain(|engine| !holders.contains(engine));
        } else {
            left = holders;
        }
        let engine = *left.choose(random)?;
        let held = self.held[engine].as_mut()?;
        held.retain(|other| *other != adapter);
        held.push_back(adapter);
        if held.len() > PLACES {
            held.pop_front();
        }
        Some(engine)
    }
}

/// Twelve engines leave one by one; new ones of the next version take over their share of requests.
pub(crate) fn simulate_adapters(seed: u64) -> Vec<AdapterRun> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut runs = vec![AdapterRun::default(); ENGINES - 1];
    for _ in 0..RELEASES {
        for (run, (engines_left, loaded_share)) in runs.iter_mut().zip(release(&mut random)) {
            run.engines_left = engines_left;
            run.loaded_share += loaded_share / f64::from(RELEASES);
        }
    }
    runs
}

/// After each engine that left, how many are left, and the share of its streams whose adapter none
/// of these holds.
fn release(random: &mut ChaCha8Rng) -> Vec<(usize, f64)> {
    let weights: Vec<f64> = (1..=ADAPTERS)
        .map(|rank| (rank as f64).powf(-ZIPF))
        .collect();
    let total: f64 = weights.iter().sum();
    let wanted = |weight: &f64| (weight / total * ENGINES as f64 * SPARE_COPIES).ceil() as usize;
    let mut engines = Engines {
        held: vec![Some(VecDeque::new()); ENGINES],
        wanted: weights.iter().map(wanted).collect(),
    };
    let Ok(popularity) = WeightedIndex::new(&weights) else {
        return Vec::new();
    };
    for _ in 0..WARM_UP {
        engines.serve(popularity.sample(random), random);
    }
    let mut order: Vec<usize> = (0..ENGINES).collect();
    order.shuffle(random);
    let mut steps = Vec::new();
    for leaving in order.into_iter().take(ENGINES - 1) {
        // Streams that are in progress at the engine when it leaves.
        let mut streams = Vec::new();
        while streams.len() < TAKEN_UP {
            let adapter = popularity.sample(random);
            if engines.serve(adapter, random) == Some(leaving) {
                streams.push(adapter);
            }
        }
        engines.held[leaving] = None;
        let loaded = streams
            .iter()
            .filter(|adapter| engines.holders(**adapter).is_empty());
        let loaded_share = loaded.count() as f64 / TAKEN_UP as f64;
        steps.push((engines.left().len(), loaded_share));
    }
    steps
}
