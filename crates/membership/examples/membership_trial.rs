//! Measures control traffic and how fast changes reach all nodes, for three fleet sizes.
//!
//! `cargo run --release -p nutmegsail-membership --example membership_trial`

use std::time::Duration;

use nutmegsail_membership::{LeavingSource, MembershipEvent};

#[path = "../tests/fleet/mod.rs"]
#[allow(dead_code, reason = "the tests use the rest")]
mod fleet;

use fleet::{Fleet, generation};

const SEEDS: u64 = 5;
const LOSS: f64 = 0.1;
const LIMIT: Duration = Duration::from_secs(30);

fn main() {
    println!(
        "nodes domains seed  B/s_mean B/s_max msg/s  join_ms false_unreachable dead_ms generation_ms status_ms leaving_ms"
    );
    for (domains, nodes) in [(3, 2), (6, 6), (6, 60)] {
        for seed in 1..=SEEDS {
            trial(domains, nodes, seed);
        }
    }
}

fn trial(domains: usize, nodes: usize, seed: u64) {
    let mut fleet = Fleet::new(domains, nodes, seed);
    fleet.loss = LOSS;
    let join = fleet.run_until(LIMIT, Fleet::agrees_on_live);
    fleet.run(Duration::from_secs(30));
    let before: Vec<_> = fleet
        .nodes
        .iter()
        .map(|n| (n.sent_bytes, n.sent_messages))
        .collect();
    fleet.run(Duration::from_secs(60));
    let rates = fleet.nodes.iter().zip(&before);
    let bytes: Vec<_> = rates.map(|(n, b)| (n.sent_bytes - b.0) / 60).collect();
    let messages: u64 = fleet
        .nodes
        .iter()
        .zip(&before)
        .map(|(n, b)| n.sent_messages - b.1)
        .sum();
    let count = bytes.len() as u64;
    let false_unreachable = unreachable_notes(&fleet);

    fleet.nodes[0].is_dead = true;
    let dead = fleet.run_until(LIMIT, Fleet::agrees_on_live);
    fleet.handle(1, generation(2));
    let spread = fleet.run_until(LIMIT, |f| f.alive().all(|n| n.generation.0 == 2));
    let status = fleet.run_until(LIMIT, |f| {
        f.alive().all(|n| {
            n.membership
                .status()
                .domains
                .iter()
                .all(|d| d.at_generation.keys().eq([&2]))
        })
    });
    let leaving = MembershipEvent::UpstreamLeaving {
        upstream: "10.9.0.1:8000".into(),
        incarnation: None,
        source: LeavingSource::Report,
    };
    fleet.handle(1, leaving);
    let known = fleet.run_until(LIMIT, |f| f.alive().all(|n| !n.leaving.is_empty()));
    println!(
        "{:5} {domains:7} {seed:4} {:9} {:7} {:5.1} {:8} {false_unreachable:17} {:7} {:13} {:9} {:10}",
        domains * nodes,
        bytes.iter().sum::<u64>() / count,
        bytes.iter().max().unwrap_or(&0),
        messages as f64 / 60.0 / count as f64,
        join.as_millis(),
        dead.as_millis(),
        spread.as_millis(),
        status.as_millis(),
        known.as_millis(),
    );
}

fn unreachable_notes(fleet: &Fleet) -> usize {
    let notes = fleet.nodes.iter().flat_map(|n| &n.notes);
    notes
        .filter(|(_, note)| {
            matches!(
                note,
                nutmegsail_membership::MembershipNote::PeerUnreachable(_)
            )
        })
        .count()
}
