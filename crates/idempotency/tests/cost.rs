//! What once-only calls cost: store writes, and the time that a claim adds to a call.
//!
//! The clock is virtual and every figure a function of the seed, so these are not timed tests.

mod world;

use std::time::Duration;

use nutmegsail_idempotency::ClaimSettings;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use rstest::rstest;
use world::World;

const RUN: Duration = Duration::from_secs(20);

/// The load of the two-year peak: a fifth of 1,800 requests a second.
const PEAK_PER_S: f64 = 360.0;

/// Nodes know each other's heartbeats only inside a failure domain.
const DOMAINS: usize = 6;

#[derive(Debug, derive_more::Display)]
#[display(
    "{claims} claims, {writes_per_s:.0} writes/s, {reads_per_s:.1} reads/s, wait p50 {wait_p50_ms:.1} \
     p95 {wait_p95_ms:.1} p99 {wait_p99_ms:.1} ms, store {store_kb_per_s:.0} KB/s, messages \
     {message_bytes_per_claim:.0} bytes a claim"
)]
struct Cost {
    claims: usize,
    writes_per_s: f64,
    reads_per_s: f64,
    wait_p50_ms: f64,
    wait_p95_ms: f64,
    wait_p99_ms: f64,
    store_kb_per_s: f64,
    message_bytes_per_claim: f64,
}

/// Calls arrive at random times at random nodes; the store answers in 5 ms.
fn measure(nodes: usize, calls_per_s: f64, call: Duration, seed: u64) -> Cost {
    let mut world = World::with_settings(nodes, seed, ClaimSettings::default());
    world.delays.call = call;
    for node in 0..nodes {
        world.nodes[node].domain = node % DOMAINS;
    }
    world.spread_live_nodes();
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let mut draw = || f64::from(rng.next_u32()) / f64::from(u32::MAX);
    while world.elapsed < RUN {
        let gap_s = -(1.0 - draw()).max(1e-9).ln() / calls_per_s;
        world.run_for(Duration::from_secs_f64(gap_s));
        let node = (draw() * nodes as f64) as usize % nodes;
        let key = world.key();
        world.begin(node, &key, 0);
    }
    let run_s = world.elapsed.as_secs_f64();
    let (writes, reads) = (world.store_writes as f64, world.store_reads as f64);
    let (stored, sent) = (world.written_bytes as f64, world.asked_bytes as f64);
    world.run_for(Duration::from_secs(10));
    world.claim_waits.sort();
    let waits = &world.claim_waits;
    let wait_ms = |share: f64| waits[(waits.len() as f64 * share) as usize].as_secs_f64() * 1e3;
    Cost {
        claims: waits.len(),
        writes_per_s: writes / run_s,
        reads_per_s: reads / run_s,
        wait_p50_ms: wait_ms(0.5),
        wait_p95_ms: wait_ms(0.95),
        wait_p99_ms: wait_ms(0.99),
        store_kb_per_s: stored / run_s / 1e3,
        message_bytes_per_claim: sent / waits.len() as f64,
    }
}

#[rstest]
fn at_the_peak_claims_fit_the_store(
    #[values(6, 36, 360)] nodes: usize,
    #[values(80, 2000)] call_ms: u64,
) {
    let call = Duration::from_millis(call_ms);
    let cost = measure(nodes, PEAK_PER_S, call, 1);
    println!("{nodes} nodes, calls of {call_ms} ms: {cost}");
    assert!(cost.writes_per_s <= 300.0, "{cost:?}");
    assert!(cost.wait_p95_ms <= 30.0, "{cost:?}");
}

/// The writers of all shards are replaced in the middle of a busy minute. Their successors know
/// none of its records. Calls wait a little and run.
#[test]
fn a_new_writer_reads_a_long_chain_in_a_few_rounds() {
    let mut world = World::with_settings(1, 1, ClaimSettings::default());
    let keys: Vec<_> = (0..12_000).map(|_| world.key()).collect();
    for key in &keys {
        world.begin(0, key, 0);
        world.run_for(Duration::from_micros(2_500));
    }
    world.run_for(Duration::from_secs(2));
    world.restart(0);
    world.claim_waits.clear();
    let reads = world.store_reads;
    let late = world.key_issued(world.wall() - (world.elapsed - Duration::from_secs(1)));
    world.begin(0, &late, 0);
    world.run_for(Duration::from_secs(1));
    let (reads, wait) = (world.store_reads - reads, world.claim_waits[0]);
    let records = world.store.len();
    println!(
        "{records} records of {} claims, {reads} reads, {wait:?}",
        keys.len()
    );
    assert!(wait <= Duration::from_millis(100), "{wait:?}");
}

#[test]
fn at_low_load_a_claim_takes_little_more_than_its_write() {
    let cost = measure(6, 10.0, Duration::from_millis(80), 1);
    println!("6 nodes, 10 calls/s: {cost}");
    assert!(cost.wait_p50_ms <= 12.0, "{cost:?}");
}
