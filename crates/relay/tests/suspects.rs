//! Strikes against requests that crash upstreams, counted over several nodes.

#[path = "common/request.rs"]
mod request;

use std::time::{Duration, Instant};

use nutmegsail_base::{NodeId, UpstreamId};
use nutmegsail_relay::{Recipients, STRIKES_LIMIT, SuspectUpdate, Suspects, Suspicion};
use proptest::prelude::*;
use request::{broken, content, traits};

const SECOND: Duration = Duration::from_secs(1);

fn engine(number: usize) -> UpstreamId {
    format!("engine-{number}@7").as_str().into()
}

fn node(number: usize) -> NodeId {
    format!("node-{number}").as_str().into()
}

/// A node that knows of `strikes` strikes against request `a`.
fn struck(strikes: usize, now: Instant) -> Suspects {
    let mut suspects = Suspects::default();
    for number in 0..strikes {
        suspects.strike(&broken(traits("a"), now), &engine(number), now);
    }
    suspects
}

/// All updates that a node sends now, to any recipient.
fn news(suspects: &mut Suspects, now: Instant) -> Vec<SuspectUpdate> {
    let news = suspects.due_updates(now).into_iter();
    news.map(|(_, update)| update).collect()
}

fn apply_all(suspects: &mut Suspects, from: &NodeId, updates: &[SuspectUpdate], now: Instant) {
    for update in updates {
        suspects.take(from, update, now);
    }
}

// Guards against counting strikes per node rather than over the fleet.
#[test]
fn strikes_seen_by_three_nodes_add_up_at_every_node() {
    let now = Instant::now();
    let mut nodes = vec![Suspects::default(); 5];
    for (number, suspects) in nodes[1..4].iter_mut().enumerate() {
        suspects.strike(&broken(traits("a"), now), &engine(number), now);
    }
    for from in 1..4 {
        let updates = nodes[from].due_updates(now);
        assert!(
            updates
                .iter()
                .all(|(audience, _)| *audience == Recipients::Collectors)
        );
        let updates: Vec<SuspectUpdate> = updates.into_iter().map(|(_, update)| update).collect();
        apply_all(&mut nodes[0], &node(from), &updates, now);
    }
    let updates = nodes[0].due_updates(now);
    assert!(
        updates
            .iter()
            .all(|(audience, _)| *audience == Recipients::All)
    );
    let updates: Vec<SuspectUpdate> = updates.into_iter().map(|(_, update)| update).collect();
    for suspects in &mut nodes {
        apply_all(suspects, &node(0), &updates, now);
        assert_eq!(suspects.suspicion(&traits("a"), now), Suspicion::Crashes);
        assert_eq!(suspects.suspicion(&traits("b"), now), Suspicion::None);
    }
    assert!(
        nodes[4].due_updates(now).is_empty(),
        "nobody repeats what was sent to all"
    );
}

#[test]
fn a_crash_seen_by_two_nodes_counts_once() {
    let now = Instant::now();
    let (mut here, mut there) = (struck(2, now), struck(2, now));
    let updates = news(&mut there, now);
    apply_all(&mut here, &node(2), &updates, now);
    assert_eq!(here.ages(&content("a"), now).len(), 2);
    assert_eq!(here.suspicion(&traits("a"), now), Suspicion::None);
}

// Guards against refusing requests whose upstreams crashed for another reason.
#[test]
fn a_full_answer_clears_the_request_at_every_node() {
    let now = Instant::now();
    let (mut here, mut there) = (struck(3, now), struck(3, now));
    let late = here.repeated_updates(10, now);
    here.record_answered(&traits("a"), now + SECOND, now + SECOND);
    assert_eq!(here.suspicion(&traits("a"), now + SECOND), Suspicion::None);
    let updates = news(&mut here, now + SECOND);
    apply_all(&mut there, &node(1), &updates, now + SECOND);
    assert_eq!(there.suspicion(&traits("a"), now + SECOND), Suspicion::None);
    apply_all(&mut there, &node(3), &late, now + SECOND);
    let at = now + SECOND;
    assert_eq!(
        there.suspicion(&traits("a"), at),
        Suspicion::None,
        "updates that a third node still sends are from before"
    );
}

// Guards against sending a request again and again because another one was at each upstream that it crashed.
#[test]
fn a_request_is_refused_after_the_end_that_tells_it_from_its_company() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    for number in 0..STRIKES_LIMIT {
        for request in ["crashing", "harmless"] {
            let broken = broken(traits(request), now);
            suspects.strike(&broken, &engine(number), now);
        }
    }
    let suspicion = |suspects: &Suspects, request| suspects.suspicion(&traits(request), now);
    assert_eq!(suspicion(&suspects, "crashing"), Suspicion::None);
    let broken = broken(traits("crashing"), now);
    suspects.strike(&broken, &engine(STRIKES_LIMIT), now);
    assert_eq!(suspicion(&suspects, "crashing"), Suspicion::Crashes);
    assert_eq!(suspicion(&suspects, "harmless"), Suspicion::None);
}

// Guards against requests that always came together and are sent one after the other without end.
#[test]
fn requests_that_are_not_told_apart_are_refused_after_the_fifth_end() {
    let now = Instant::now();
    let mut suspects = Suspects::default();
    for number in 0..5 {
        for request in ["a", "b"] {
            suspects.strike(&broken(traits(request), now), &engine(number), now);
        }
    }
    for request in ["a", "b"] {
        assert_eq!(
            suspects.suspicion(&traits(request), now),
            Suspicion::Crashes
        );
    }
}

// Guards against copies of a request that crash a fourth upstream before the third crash is known.
#[test]
fn copies_at_upstreams_count_as_possible_strikes() {
    let now = Instant::now();
    let (mut here, mut there) = (struck(2, now), struck(2, now));
    here.begin(&traits("a"), now);
    assert_eq!(here.suspicion(&traits("a"), now), Suspicion::OnTrial);
    let updates = news(&mut here, now);
    apply_all(&mut there, &node(1), &updates, now);
    assert_eq!(there.suspicion(&traits("a"), now), Suspicion::OnTrial);
    let silent = now + Duration::from_secs(4);
    assert_eq!(
        there.suspicion(&traits("a"), silent),
        Suspicion::None,
        "a node that fell silent blocks nobody"
    );
    here.end_parts(&traits("a"), now);
    here.end_request(&traits("a"), now);
    let updates = news(&mut here, now);
    apply_all(&mut there, &node(1), &updates, now);
    assert_eq!(there.suspicion(&traits("a"), now), Suspicion::None);
}

#[test]
fn a_request_without_strikes_is_never_on_trial() {
    let mut suspects = Suspects::default();
    let now = Instant::now();
    for _ in 0..9 {
        suspects.begin(&traits("a"), now);
    }
    assert_eq!(suspects.suspicion(&traits("a"), now), Suspicion::None);
    assert_eq!(suspects.counts(now), (0, 0));
}

#[test]
fn strikes_expire_after_ten_minutes_and_records_are_bounded() {
    let now = Instant::now();
    let mut suspects = struck(3, now);
    let later = now + Duration::from_secs(601);
    assert_eq!(suspects.suspicion(&traits("a"), later), Suspicion::None);
    for number in 0..2_000 {
        suspects.strike(
            &broken(traits(&number.to_string()), now),
            &engine(number),
            now,
        );
    }
    let (refused, struck) = suspects.counts(now);
    assert_eq!(refused, 1, "the one with the most ends is kept longest");
    assert!(struck <= 512);
}

/// An event in a random run of several nodes.
#[derive(Clone, Debug)]
enum Step {
    /// The request arrives at a node.
    Ask(usize),
    /// All nodes send their updates. A message is lost where its flag is set.
    SendUpdates(Vec<bool>),
    /// One node sends another all that it knows.
    SendAll(usize, usize),
    /// A node restarts.
    Restart(usize),
}

const NODES: usize = 5;

/// How many strikes against a request a node remembers at most.
const MOST_STRIKES: usize = 8;

/// Nodes that receive strikes seen by a single node.
const COLLECTORS: usize = 2;

/// Delivers the updates of every node. A message is lost where `lost` is set.
fn deliver_updates(nodes: &mut [Suspects], lost: &[bool], now: Instant) {
    let updates: Vec<_> = nodes.iter_mut().map(|node| node.due_updates(now)).collect();
    for (index, is_lost) in lost.iter().enumerate() {
        let (from, to) = (index / NODES, index % NODES);
        if *is_lost || from == to {
            continue;
        }
        for (audience, update) in &updates[from] {
            if *audience == Recipients::All || to < COLLECTORS {
                nodes[to].take(&node(from), update, now);
            }
        }
    }
}

fn step() -> impl Strategy<Value = Step> {
    let is_lost = prop::collection::vec(prop::bool::weighted(0.3), NODES * NODES);
    prop_oneof![
        3 => (0..NODES).prop_map(Step::Ask),
        3 => is_lost.prop_map(Step::SendUpdates),
        1 => (0..NODES, 0..NODES).prop_map(|(from, to)| Step::SendAll(from, to)),
        1 => (0..NODES).prop_map(Step::Restart),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(29),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against a fourth crash once nodes have heard from each other, whatever messages were
    // lost before.
    #[test]
    fn nodes_that_exchange_updates_agree_and_stay_within_the_limit(
        steps in prop::collection::vec(step(), 1..80),
    ) {
        let mut now = Instant::now();
        let mut nodes = vec![Suspects::default(); NODES];
        let mut crashes = 0;
        for step in steps {
            now += Duration::from_millis(100);
            match step {
                Step::Ask(asked) => {
                    let known = nodes[asked].ages(&content("a"), now).len();
                    if nodes[asked].suspicion(&traits("a"), now) == Suspicion::None {
                        prop_assert!(known < STRIKES_LIMIT);
                        nodes[asked].strike(&broken(traits("a"), now), &engine(crashes), now);
                        crashes += 1;
                    }
                    let known = nodes[asked].ages(&content("a"), now).len();
                    prop_assert!(known <= MOST_STRIKES);
                }
                Step::SendUpdates(lost) => deliver_updates(&mut nodes, &lost, now),
                Step::SendAll(from, to) => {
                    let updates = nodes[from].repeated_updates(10, now);
                    apply_all(&mut nodes[to], &node(from), &updates, now);
                }
                Step::Restart(restarted) => nodes[restarted] = Suspects::default(),
            }
        }
        // A strike seen by one node is repeated every two seconds, suspects twice a second.
        for _ in 0..40 {
            now += Duration::from_millis(100);
            deliver_updates(&mut nodes, &[false; NODES * NODES], now);
            for from in 0..NODES {
                let updates = nodes[from].repeated_updates(10, now);
                for suspects in &mut nodes {
                    apply_all(suspects, &node(from), &updates, now);
                }
            }
        }
        let known = nodes[0].ages(&content("a"), now).len();
        for suspects in &nodes {
            prop_assert!(suspects.ages(&content("a"), now).len() <= known);
            let expected = match known >= STRIKES_LIMIT {
                true => Suspicion::Crashes,
                false => Suspicion::None,
            };
            prop_assert_eq!(suspects.suspicion(&traits("a"), now), expected);
        }
    }
}
