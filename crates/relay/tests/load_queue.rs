//! Tests of the order of loads at an engine.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

mod common;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use common::holdings;
use nutmegsail_relay::{
    Demand, EngineCapacity, EngineContents, LoadDecision, LoadPurpose, LoadQueue, LoadRefusal,
    LoadSource, LoadTicket, LoadTimes, ModelRef, WaitingLoad, WeightStoreLoads,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn load(index: usize, priority: u8) -> WaitingLoad {
    WaitingLoad {
        model: ModelRef::parse(&format!("base/a{index}")),
        version: None,
        kind: LoadSource::FromStore,
        purpose: LoadPurpose::Miss,
        priority,
    }
}

fn store_use(engine_loads: usize, fleet_loads: f64) -> WeightStoreLoads {
    WeightStoreLoads {
        times: LoadTimes::default(),
        engine_loads,
        fleet_loads,
    }
}

/// The decision for `ticket` at an engine with free adapter slots and `transfers` loads in
/// progress.
fn turn(
    queue: &LoadQueue,
    ticket: LoadTicket,
    transfers: usize,
    store: &WeightStoreLoads,
) -> LoadDecision {
    let engine = EngineContents {
        holdings: &holdings(&[]),
        loading: &[],
        transfers,
        room: EngineCapacity {
            adapter_slots: 8,
            transfers: 4,
        },
        demand: &Demand::new(Duration::from_secs(10)),
        is_in_use: &|_| false,
    };
    queue.decide(ticket, &engine, store, Instant::now())
}

// Several routine requests miss their adapters at an engine before an urgent one does. In order of
// arrival, the urgent caller would wait for all their loads, one after the other.
#[test]
fn urgent_load_does_not_wait_for_routine_ones() {
    let mut queue = LoadQueue::default();
    let routine: Vec<LoadTicket> = (0..3)
        .map(|index| queue.join(load(index, 2)).unwrap())
        .collect();
    let urgent = queue.join(load(3, 0)).unwrap();
    let store = store_use(0, 0.0);
    for ticket in &routine {
        assert_eq!(turn(&queue, *ticket, 0, &store), LoadDecision::Wait);
    }
    assert!(matches!(
        turn(&queue, urgent, 0, &store),
        LoadDecision::Order(_)
    ));
    queue.leave(urgent);
    assert!(matches!(
        turn(&queue, routine[0], 0, &store),
        LoadDecision::Order(_)
    ));
}

// A fifth load would take over a second, too late for any latency objective, so its caller is
// refused at once. A further request for an adapter that is already queued costs nothing.
#[test]
fn load_that_would_be_too_late_is_refused_at_once() {
    let mut queue = LoadQueue::default();
    for index in 0..4 {
        queue.join(load(index, 1)).unwrap();
    }
    assert_eq!(queue.join(load(4, 0)), Err(LoadRefusal::QueueFull));
    assert!(queue.join(load(2, 1)).is_ok());
}

// With the nodes cut off from the store, an owner hears of three other engines that are loading.
// Extrapolated to all 78, the weight store looked saturated: the owner ordered nothing for four
// seconds while its engine was idle and callers gave up.
#[test]
fn idle_engine_loads_regardless_of_reported_loads_elsewhere() {
    let mut queue = LoadQueue::default();
    let first = queue.join(load(0, 1)).unwrap();
    let heard = store_use(0, 156.0);
    assert!(matches!(
        turn(&queue, first, 0, &heard),
        LoadDecision::Order(_)
    ));
    let busy = store_use(2, 0.0);
    assert_eq!(turn(&queue, first, 2, &busy), LoadDecision::Wait);
}

// Callers on several nodes wait for the same adapter. After one of their loads was ordered, the
// others kept waiting behind loads of other adapters while the weight store was saturated: in ten
// seconds, 251 loads were given up after 3 s, most of them for adapters that were already loaded.
#[rstest]
#[case::on_its_way(&[], &[0])]
#[case::there(&["a0"], &[])]
fn load_is_not_needed_once_another_request_loaded_the_adapter(
    #[case] held: &[&str],
    #[case] loading: &[usize],
) {
    let mut queue = LoadQueue::default();
    queue.join(load(1, 0)).unwrap();
    let same = queue.join(load(0, 2)).unwrap();
    let loading: Vec<ModelRef> = loading.iter().map(|index| load(*index, 0).model).collect();
    let engine = EngineContents {
        holdings: &holdings(held),
        loading: &loading,
        transfers: 4,
        room: EngineCapacity {
            adapter_slots: 8,
            transfers: 4,
        },
        demand: &Demand::new(Duration::from_secs(10)),
        is_in_use: &|_| false,
    };
    let full = store_use(2, 100.0);
    let turn = queue.decide(same, &engine, &full, Instant::now());
    assert_eq!(turn, LoadDecision::NotNeeded);
    let newer = WaitingLoad {
        version: Some(2),
        ..load(0, 2)
    };
    let newer = queue.join(newer).unwrap();
    let turn = queue.decide(newer, &engine, &full, Instant::now());
    assert_eq!(
        turn,
        LoadDecision::Wait,
        "an older version does not satisfy it"
    );
}

// An adapter that the engine dropped a moment ago is restored from host memory in 25 ms. Behind
// loads from the weight store, its callers would wait ten times as long.
#[test]
fn loads_from_host_memory_skip_the_queue() {
    let mut queue = LoadQueue::default();
    queue.join(load(0, 0)).unwrap();
    let recent = WaitingLoad {
        kind: LoadSource::HostMemory,
        ..load(1, 2)
    };
    let recent = queue.join(recent).unwrap();
    let busy = store_use(2, 100.0);
    assert!(matches!(
        turn(&queue, recent, 2, &busy),
        LoadDecision::Order(_)
    ));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Loads that are ordered together share the weight store's bandwidth, so an urgent one finishes
    // as late as all others. At most one load from the weight store may be ordered, the most urgent
    // one, and no copy while misses saturate the store.
    #[test]
    fn only_the_most_urgent_load_is_ordered(
        waiting in prop::collection::vec((0usize..6, 0u8..3, any::<bool>()), 1..5),
        engine_loads in 0usize..4,
        transfers in 0usize..6,
        fleet_loads in 0.0f64..12.0,
    ) {
        let mut queue = LoadQueue::default();
        let mut tickets = Vec::new();
        for (index, priority, is_copy) in waiting {
            let purpose = if is_copy { LoadPurpose::Copy } else { LoadPurpose::Miss };
            let waiting = WaitingLoad { purpose, ..load(index, priority) };
            let ticket = queue.join(waiting).unwrap();
            tickets.push(((purpose, priority, ticket), ticket));
        }
        let store = store_use(engine_loads, fleet_loads);
        let turns: Vec<_> = tickets
            .iter()
            .map(|(rank, ticket)| (*rank, turn(&queue, *ticket, transfers, &store)))
            .collect();
        let ordered: Vec<_> = turns
            .iter()
            .filter(|(_, turn)| matches!(turn, LoadDecision::Order(_)))
            .collect();
        prop_assert!(ordered.len() <= 1);
        for ((purpose, ..), turn) in &turns {
            let is_left = *turn == LoadDecision::Refuse(LoadRefusal::LeftToMisses);
            let has_room = LoadTimes::default().has_room_for_copy(fleet_loads);
            prop_assert_eq!(is_left, *purpose == LoadPurpose::Copy && !has_room);
        }
        if let Some((first, _)) = ordered.first() {
            prop_assert!(turns.iter().all(|(rank, _)| rank >= first));
            prop_assert!(transfers < 4 && engine_loads < 2);
        }
    }
}

/// Simulates a minute of misses at one engine that runs one load of 250 ms at a time; one miss in
/// five is urgent. Returns the sorted times in milliseconds that urgent and routine loads waited
/// for their order.
fn simulate(rank_of: impl Fn(bool) -> u8) -> (Vec<f64>, Vec<f64>) {
    const LOAD_MS: f64 = 250.0;
    const MISSES_PER_S: f64 = 3.6;
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut queue = LoadQueue::default();
    let mut waiting: VecDeque<(LoadTicket, bool, f64)> = VecDeque::new();
    let (mut urgent, mut routine) = (Vec::new(), Vec::new());
    let (mut next_ms, mut free_at_ms, mut index) = (0.0, 0.0, 0);
    for at_ms in (0..60_000).map(f64::from) {
        if at_ms >= next_ms {
            next_ms = at_ms - (1.0 - random.random::<f64>()).ln() * 1_000.0 / MISSES_PER_S;
            index += 1;
            let is_urgent = random.random::<f64>() < 0.2;
            if let Ok(ticket) = queue.join(load(index, rank_of(is_urgent))) {
                waiting.push_back((ticket, is_urgent, at_ms));
            }
        }
        let transfers = if at_ms < free_at_ms { 4 } else { 0 };
        let store = store_use(0, 0.0);
        let may_go = |(ticket, ..): &(LoadTicket, bool, f64)| {
            matches!(
                turn(&queue, *ticket, transfers, &store),
                LoadDecision::Order(_)
            )
        };
        if let Some(place) = waiting.iter().position(may_go) {
            let (ticket, is_urgent, since_ms) = waiting.remove(place).unwrap();
            queue.leave(ticket);
            free_at_ms = at_ms + LOAD_MS;
            let waits = if is_urgent { &mut urgent } else { &mut routine };
            waits.push(at_ms - since_ms);
        }
    }
    urgent.sort_by(f64::total_cmp);
    routine.sort_by(f64::total_cmp);
    (urgent, routine)
}

fn quantile(waits_ms: &[f64], share: f64) -> f64 {
    waits_ms[((waits_ms.len() - 1) as f64 * share) as usize]
}

// The engine gets a tenth fewer misses than it can load, one in five of them urgent. In order of
// arrival, nine in ten urgent loads wait for up to 780 ms, and by priority for up to 190 ms. The
// limit is the time of two loads.
#[test]
fn urgent_loads_wait_less_than_two_load_times_on_a_busy_engine() {
    let (urgent, routine) = simulate(|is_urgent| if is_urgent { 0 } else { 2 });
    let (unranked, _) = simulate(|_| 1);
    let (ranked_ms, unranked_ms) = (quantile(&urgent, 0.9), quantile(&unranked, 0.9));
    assert!(ranked_ms < 500.0, "{ranked_ms}");
    assert!(unranked_ms > 500.0, "{unranked_ms}");
    assert!(quantile(&routine, 0.5) < 750.0);
}
