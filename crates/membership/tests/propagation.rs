//! How notices about upstreams and new generations reach all nodes, and what it costs.

use std::time::Duration;

use nutmegsail_base::{Incarnation, UpstreamId};
use nutmegsail_membership::{LeavingSource, MembershipEvent};

#[allow(dead_code, reason = "each test file uses a part")]
mod fleet;

use fleet::{Fleet, generation};

const SECOND: Duration = Duration::from_secs(1);
const SEEDS: u64 = 100;
const THREADS: u64 = 4;
const LOSS: f64 = 0.1;

fn upstream() -> UpstreamId {
    "10.9.0.1:8000".into()
}

fn leaving() -> MembershipEvent {
    MembershipEvent::UpstreamLeaving {
        upstream: upstream(),
        incarnation: Some(Incarnation(5)),
        source: LeavingSource::Report,
    }
}

fn staying(incarnation: u64) -> MembershipEvent {
    MembershipEvent::UpstreamStaying {
        upstream: upstream(),
        incarnation: Incarnation(incarnation),
    }
}

fn count_leaving(fleet: &Fleet) -> usize {
    let nodes = fleet.nodes.iter();
    nodes.filter(|node| !node.leaving.is_empty()).count()
}

/// Runs one trial per seed and returns the longest time. Each thread reuses one steady fleet.
fn slowest(trial: impl Fn(&mut Fleet) -> Duration + Sync) -> Duration {
    let trial = &trial;
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|first| {
                let seeds = (first..SEEDS).step_by(THREADS as usize);
                scope.spawn(move || {
                    let calm = large_fleet(first);
                    let trials = seeds.map(|seed| trial(&mut calm.reseeded(seed)));
                    trials.max().unwrap_or_default()
                })
            })
            .collect();
        let slowest = threads
            .into_iter()
            .map(|t| t.join().expect("a trial passes"));
        slowest.max().unwrap_or_default()
    })
}

/// A fleet of the size expected in two years, which loses 10 % of its messages.
fn large_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(6, 60, seed);
    fleet.loss = LOSS;
    fleet.run(4 * SECOND);
    fleet
}

// A new text that one node has read from the platform must be in force on all 360 nodes of six
// failure domains within three seconds.
#[test]
fn a_new_generation_reaches_all_nodes_within_three_seconds() {
    let slowest = slowest(|fleet| {
        fleet.handle(7, generation(2));
        fleet.run_until(10 * SECOND, |f| f.nodes.iter().all(|n| n.generation.0 == 2))
    });
    println!("slowest of {SEEDS} seeds: {slowest:?}");
    assert!(slowest <= 3 * SECOND, "{slowest:?}");
}

// An engine reports that it is leaving to a single node. All nodes in all failure domains may send
// it work, so all must know within three seconds.
#[test]
fn a_leaving_upstream_is_known_to_all_nodes_within_three_seconds() {
    let slowest = slowest(|fleet| {
        fleet.handle(7, leaving());
        fleet.run_until(10 * SECOND, |f| count_leaving(f) == f.nodes.len())
    });
    println!("slowest of {SEEDS} seeds: {slowest:?}");
    assert!(slowest <= 3 * SECOND, "{slowest:?}");
}

// An upstream begins to leave during a partition. When the partition ends, its notice is older than
// `upstream_spread_ms`. Unless it is spread again, the other failure domain keeps sending it work.
#[test]
fn a_domain_learns_of_leaving_upstreams_after_a_partition() {
    let mut fleet = Fleet::new(2, 4, 11);
    fleet.run(20 * SECOND);
    fleet.can_deliver = |a, b| a.domain == b.domain;
    fleet.run(30 * SECOND);
    fleet.handle(0, leaving());
    fleet.run(120 * SECOND);
    assert_eq!(count_leaving(&fleet), 4);
    fleet.can_deliver = |_, _| true;
    fleet.run(12 * SECOND);
    assert_eq!(count_leaving(&fleet), 8);
}

// A node that starts after the notice was last put into heartbeats would send work to a leaving
// upstream.
#[test]
fn a_new_node_learns_which_upstreams_are_leaving() {
    let mut fleet = Fleet::new(1, 4, 11);
    fleet.run(10 * SECOND);
    fleet.handle(0, leaving());
    fleet.run(60 * SECOND);
    let index = fleet.add_node(0, 8);
    fleet.run(5 * SECOND);
    assert!(fleet.nodes[index].leaving.contains_key(&upstream()));
}

// The VM list says that an upstream's VM is leaving, while the upstream reports that it is staying.
// It must count as leaving as long as one source says so, without switching back and forth.
#[test]
fn leaving_takes_precedence_while_sources_disagree() {
    let mut fleet = Fleet::new(1, 4, 11);
    fleet.run(10 * SECOND);
    for _ in 0..20 {
        fleet.handle(0, leaving());
        fleet.run(SECOND / 2);
        fleet.handle(1, staying(5));
        fleet.run(SECOND / 2);
        assert_eq!(count_leaving(&fleet), 4);
    }
}

// An upstream's VM is replaced at the same address. Once no source reports it as leaving any more,
// all nodes must send it work again.
#[test]
fn a_replaced_upstream_gets_work_again() {
    let mut fleet = Fleet::new(2, 4, 11);
    fleet.run(10 * SECOND);
    fleet.handle(0, leaving());
    fleet.run(SECOND);
    assert_eq!(count_leaving(&fleet), 8);
    for _ in 0..15 {
        fleet.handle(1, staying(6));
        fleet.run(SECOND);
    }
    assert_eq!(count_leaving(&fleet), 0);
}

// The platform limits the rate of reads of its VM list, so the number of reads must not depend on
// the number of nodes.
#[test]
fn reads_of_the_vm_list_do_not_grow_with_the_fleet() {
    let reads = [4, 16].map(|nodes| {
        let mut fleet = Fleet::new(2, nodes, 2);
        fleet.run(10 * SECOND);
        let before: u64 = fleet.nodes.iter().map(|n| n.vm_list_reads).sum();
        fleet.run(20 * SECOND);
        fleet.nodes.iter().map(|n| n.vm_list_reads).sum::<u64>() - before
    });
    assert_eq!(reads, [80, 80]);
}

// The budget for control traffic is 8 KB/s per node at 60 nodes per failure domain. Heartbeats and
// summaries must leave enough of it for pins, claims and texts.
#[test]
fn heartbeats_take_less_than_half_of_the_control_budget() {
    let mut fleet = large_fleet(1);
    fleet.run(16 * SECOND);
    let before: u64 = fleet.nodes.iter().map(|n| n.sent_bytes).sum();
    fleet.run(20 * SECOND);
    let sent: u64 = fleet.nodes.iter().map(|n| n.sent_bytes).sum::<u64>() - before;
    let rate = sent / 20 / fleet.nodes.len() as u64;
    assert!(rate < 4000, "{rate} B/s a node");
}
