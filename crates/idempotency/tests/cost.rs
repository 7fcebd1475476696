//! What once-only calls cost: store writes, and the latency that a claim adds to a call.
//!
//! The clock is simulated and all results depend only on the seed, not on the machine's speed.

mod simulation;

use std::time::Duration;

use nutmegsail_idempotency::ClaimSettings;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng as _, SeedableRng as _};
use rstest::rstest;
use simulation::Simulation;

const RUN: Duration = Duration::from_secs(20);

/// Once-only calls a second at the two-year peak: a fifth of 1,800 requests a second.
const PEAK_PER_S: f64 = 360.0;

/// Nodes receive heartbeats only from nodes of their own failure domain.
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

/// Sends calls at random times to random nodes, with a store that answers in 5 ms.
fn measure(nodes: usize, calls_per_s: f64, call: Duration, seed: u64) -> Cost {
    let mut sim = Simulation::with_settings(nodes, seed, ClaimSettings::default());
    sim.delays.call = call;
    for node in 0..nodes {
        sim.nodes[node].domain = node % DOMAINS;
    }
    sim.announce_live_nodes();
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let mut draw = || f64::from(rng.next_u32()) / f64::from(u32::MAX);
    while sim.elapsed < RUN {
        let gap_s = -(1.0 - draw()).max(1e-9).ln() / calls_per_s;
        sim.run_for(Duration::from_secs_f64(gap_s));
        let node = (draw() * nodes as f64) as usize % nodes;
        let key = sim.key();
        sim.begin(node, &key, 0);
    }
    let run_s = sim.elapsed.as_secs_f64();
    let (writes, reads) = (sim.store_writes as f64, sim.store_reads as f64);
    let (stored, sent) = (sim.written_bytes as f64, sim.message_bytes as f64);
    sim.run_for(Duration::from_secs(10));
    sim.claim_waits.sort();
    let waits = &sim.claim_waits;
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
fn peak_load_meets_the_write_and_wait_limits(
    #[values(6, 36, 360)] nodes: usize,
    #[values(80, 2000)] call_ms: u64,
) {
    let call = Duration::from_millis(call_ms);
    let cost = measure(nodes, PEAK_PER_S, call, 1);
    println!("{nodes} nodes, calls of {call_ms} ms: {cost}");
    assert!(cost.writes_per_s <= 300.0, "{cost:?}");
    assert!(cost.wait_p95_ms <= 30.0, "{cost:?}");
}

/// The only node restarts during a minute with many claims, and its new writers have read none of
/// the records. Guards against calls that wait for a long chain to be read record by record.
#[test]
fn a_new_writer_reads_a_long_chain_in_a_few_rounds() {
    let mut sim = Simulation::with_settings(1, 1, ClaimSettings::default());
    let keys: Vec<_> = (0..12_000).map(|_| sim.key()).collect();
    for key in &keys {
        sim.begin(0, key, 0);
        sim.run_for(Duration::from_micros(2_500));
    }
    sim.run_for(Duration::from_secs(2));
    sim.restart(0);
    sim.claim_waits.clear();
    let reads = sim.store_reads;
    let late = sim.key_issued_at(sim.wall() - (sim.elapsed - Duration::from_secs(1)));
    sim.begin(0, &late, 0);
    sim.run_for(Duration::from_secs(1));
    let (reads, wait) = (sim.store_reads - reads, sim.claim_waits[0]);
    let records = sim.store.len();
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
