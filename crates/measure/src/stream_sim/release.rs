//! A store that goes away during a release, and adapters that choose a version.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const ENGINES: usize = 12;

/// The time between two engines that start. As many of the old version leave.
const START_INTERVAL_S: f64 = 0.4;

/// How long it takes from an upstream's entry until its version is in the list and nodes have seen it:
/// a read of the entry, a write of the list and a read of that.
const LISTED_AFTER_S: [f64; 2] = [0.05, 0.6];

/// How many engines serve requests at most without queueing, as a multiple of the requests that
/// they receive.
const SPARE: f64 = 1.0 / 0.7;

const ADAPTERS: usize = 3_000;
const ZIPF: f64 = 1.2;

/// What one release comes to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReleaseRun {
    /// The chance that new upstreams take no resumable streams, if the store goes away at some moment
    /// of the release. It ends with the store's return and the time until versions are listed.
    pub unused_chance: f64,
    /// The largest share of upstreams that take none.
    pub unused_share_most: f64,
    /// The share of the usual upstreams that take resumable streams then, at worst.
    pub left_share_least: f64,
    /// The share of streams that find no room, if adapters choose versions by the share of upstreams.
    pub without_room_by_share: f64,
    /// The same if half of all adapters belong to each version throughout.
    pub without_room_half: f64,
}

pub(crate) fn simulate_release(seed: u64) -> ReleaseRun {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut run = ReleaseRun {
        left_share_least: 1.0,
        ..ReleaseRun::default()
    };
    let trials = 10_000;
    let mut unused_trials = 0;
    for _ in 0..trials {
        let away_s = random.random_range(0.0..ENGINES as f64 * START_INTERVAL_S);
        let listed_s = random.random_range(LISTED_AFTER_S[0]..LISTED_AFTER_S[1]);
        if away_s >= listed_s {
            continue;
        }
        unused_trials += 1;
        // Nodes know the new upstreams that had registered by then, and old ones leave by notice.
        let new = (away_s / START_INTERVAL_S).floor() + 1.0;
        let engines = ENGINES as f64;
        run.unused_share_most = run.unused_share_most.max(new / (engines + new));
        run.left_share_least = run.left_share_least.min((engines - new) / engines);
    }
    run.unused_chance = f64::from(unused_trials) / f64::from(trials);
    (run.without_room_by_share, run.without_room_half) = without_room(&mut random);
    run
}

/// The mean over the steps of a release.
fn without_room(random: &mut ChaCha8Rng) -> (f64, f64) {
    let weights: Vec<f64> = (1..=ADAPTERS)
        .map(|rank| (rank as f64).powf(-ZIPF))
        .collect();
    let total: f64 = weights.iter().sum();
    let (mut by_share, mut half, mut count) = (0.0, 0.0, 0.0);
    for _ in 0..200 {
        let hashes: Vec<f64> = weights.iter().map(|_| random.random()).collect();
        let load_below = |limit: f64| {
            let chosen = weights
                .iter()
                .zip(&hashes)
                .filter(|(_, hash)| **hash < limit);
            chosen.map(|(weight, _)| weight).sum::<f64>() / total
        };
        for new in 1..ENGINES {
            let share = new as f64 / ENGINES as f64;
            let excess = |load: f64| {
                (load - share * SPARE).max(0.0) + (1.0 - load - (1.0 - share) * SPARE).max(0.0)
            };
            by_share += excess(load_below(share));
            half += excess(load_below(0.5));
            count += 1.0;
        }
    }
    (by_share / count, half / count)
}
