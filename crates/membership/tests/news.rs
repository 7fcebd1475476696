//! How news of upstreams and texts spreads.

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

/// The slowest of many seeded trials, run on a few threads that each start from one calm fleet.
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

/// A fleet of the two-year size, with a tenth of its messages lost.
fn large_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(6, 60, seed);
    fleet.loss = LOSS;
    fleet.run(4 * SECOND);
    fleet
}

// An operator changes the text. 360 nodes in six failure domains must have it in force within
// three seconds, although only one node has read it from the platform so far.
#[test]
fn a_new_generation_is_everywhere_within_three_seconds() {
    let slowest = slowest(|fleet| {
        fleet.tell(7, generation(2));
        fleet.run_until(10 * SECOND, |f| f.nodes.iter().all(|n| n.generation.0 == 2))
    });
    println!("slowest of {SEEDS} seeds: {slowest:?}");
    assert!(slowest <= 3 * SECOND, "{slowest:?}");
}

// An engine says that it is leaving, to the one node that asked it. Every node that may send it
// work, in its own failure domain and in the others, must know within three seconds.
#[test]
fn a_leaving_upstream_is_known_everywhere_within_three_seconds() {
    let slowest = slowest(|fleet| {
        fleet.tell(7, leaving());
        fleet.run_until(10 * SECOND, |f| count_leaving(f) == f.nodes.len())
    });
    println!("slowest of {SEEDS} seeds: {slowest:?}");
    assert!(slowest <= 3 * SECOND, "{slowest:?}");
}

// An upstream starts to leave while a failure domain is cut off. When the cut heals the news is
// old, and still that domain must not go on sending it work.
#[test]
fn a_healed_domain_learns_which_upstreams_left_meanwhile() {
    let mut fleet = Fleet::new(2, 4, 11);
    fleet.run(20 * SECOND);
    fleet.passes = |a, b| a.domain == b.domain;
    fleet.run(30 * SECOND);
    fleet.tell(0, leaving());
    fleet.run(120 * SECOND);
    assert_eq!(count_leaving(&fleet), 4);
    fleet.passes = |_, _| true;
    fleet.run(12 * SECOND);
    assert_eq!(count_leaving(&fleet), 8);
}

// A node starts after the news was spread. It would send work to an upstream that is leaving.
#[test]
fn a_new_node_learns_which_upstreams_are_leaving() {
    let mut fleet = Fleet::new(1, 4, 11);
    fleet.run(10 * SECOND);
    fleet.tell(0, leaving());
    fleet.run(60 * SECOND);
    let at = fleet.add_node(0, 8);
    fleet.run(5 * SECOND);
    assert!(fleet.nodes[at].leaving.contains_key(&upstream()));
}

// The VM list says that an upstream's VM is leaving, the upstream itself does not know and says
// that it stays. Work must stop as long as either says so, without flapping.
#[test]
fn leaving_wins_while_sources_contradict_each_other() {
    let mut fleet = Fleet::new(1, 4, 11);
    fleet.run(10 * SECOND);
    for _ in 0..20 {
        fleet.tell(0, leaving());
        fleet.run(SECOND / 2);
        fleet.tell(1, staying(5));
        fleet.run(SECOND / 2);
        assert_eq!(count_leaving(&fleet), 4);
    }
}

// An upstream's VM was replaced at the same address. Once nobody says any more that it is leaving,
// it must get work again everywhere.
#[test]
fn a_replaced_upstream_gets_work_again() {
    let mut fleet = Fleet::new(2, 4, 11);
    fleet.run(10 * SECOND);
    fleet.tell(0, leaving());
    fleet.run(SECOND);
    assert_eq!(count_leaving(&fleet), 8);
    for _ in 0..15 {
        fleet.tell(1, staying(6));
        fleet.run(SECOND);
    }
    assert_eq!(count_leaving(&fleet), 0);
}

// Every node that reads the platform's list counts against its rates, and so must not add up to
// the size of the fleet.
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

// Control traffic has 8 KB/s a node in all, at 60 nodes a failure domain. Heartbeats and accounts
// must leave room for pins, claims and texts.
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
