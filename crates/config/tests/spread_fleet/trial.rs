//! How fast a change reaches every node, and how many calls to the store it takes.

use std::time::Duration;

use nutmegsail_config::Generation;

use crate::fleet::Fleet;

const DOMAINS: usize = 6;
/// How long calls to the store are counted after a change, in steps of 10 ms.
const STEPS_COUNTED: u64 = 300;

/// How long the second text took to reach every node, and the number of calls to the store in the
/// three seconds after it was accepted.
fn trial(per_domain: usize, seed: u64) -> (Duration, u64) {
    let mut fleet = Fleet::new(DOMAINS, per_domain, seed);
    fleet.accept("first");
    fleet.until_in_force(Generation(1));
    let (from, calls) = (fleet.now, fleet.store_calls);
    fleet.accept("second");
    let took = fleet.until_in_force(Generation(2));
    while fleet.now - from < STEPS_COUNTED {
        fleet.step();
    }
    (took, fleet.store_calls - calls)
}

fn trials(per_domain: usize, count: u64) -> Vec<(Duration, u64)> {
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..4)
            .map(|worker| {
                scope.spawn(move || {
                    let seeds = (0..count).filter(|seed| seed % 4 == worker);
                    seeds
                        .map(|seed| trial(per_domain, seed))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        let join = |worker: std::thread::ScopedJoinHandle<'_, _>| worker.join().expect("joins");
        workers.into_iter().flat_map(join).collect()
    })
}

#[test]
fn a_change_reaches_360_nodes_within_three_seconds_and_store_calls_do_not_grow_with_the_fleet() {
    let (small, large) = (trials(6, 100), trials(60, 100));
    let mut times: Vec<Duration> = large.iter().map(|(took, _)| *took).collect();
    times.sort_unstable();
    println!("median {:?}, longest {:?}", times[50], times[99]);
    assert!(times[99] <= Duration::from_secs(3), "{:?}", times[99]);

    let calls = |trials: &[(Duration, u64)]| trials.iter().map(|(_, calls)| calls).sum::<u64>();
    let (six, sixty) = (calls(&small), calls(&large));
    println!("store calls for 100 changes: {six} at 36 nodes, {sixty} at 360");
    assert!(
        sixty <= six + six / 20,
        "{six} calls at 36 nodes, {sixty} at 360"
    );
    // Per watcher: three watches that timed out, one that was answered, one read of a piece, and
    // one more for lost answers.
    let watchers = 2 * DOMAINS as u64;
    assert!(sixty <= 100 * watchers * 6, "{sixty}");
}
