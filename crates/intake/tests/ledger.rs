//! Which connections end when there is no room.

use std::time::{Duration, Instant};

use nutmegsail_intake::{
    AccountId, Admission, ConnectionLimits, CurrentUse, Growth, Ledger, LedgerLimits, ListenerKind,
};
use proptest::prelude::*;

const MB: usize = 1024 * 1024;

/// A ledger of 8 MB, seven of them for large accounts, and 27 connections of callers.
fn ledger() -> Ledger {
    let connections = ConnectionLimits::within(64);
    Ledger::new(LedgerLimits {
        bytes: 8 * MB,
        connections,
    })
}

fn open(ledger: &mut Ledger, now: Instant) -> AccountId {
    match ledger.open(ListenerKind::Callers, 0, now) {
        (Admission::Opened(id), evictions) => {
            assert_eq!(evictions, []);
            id
        }
        other => panic!("{other:?}"),
    }
}

fn open_with(ledger: &mut Ledger, in_use: CurrentUse, bytes: usize, now: Instant) -> AccountId {
    let id = open(ledger, now);
    ledger.set_use(id, in_use, now);
    assert_eq!(ledger.charge(id, bytes, now), []);
    id
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

// Guards against ordinary callers that are shut out by bodies whose senders have stopped.
#[test]
fn the_unfinished_request_that_holds_the_most_for_longest_ends_first() {
    let (mut ledger, start) = (ledger(), Instant::now());
    let large = open_with(&mut ledger, CurrentUse::Unfinished, 4 * MB, start);
    let older = open_with(&mut ledger, CurrentUse::Unfinished, MB, start);
    let newer = open_with(
        &mut ledger,
        CurrentUse::Unfinished,
        2 * MB,
        start + seconds(2),
    );
    let ordinary = open_with(&mut ledger, CurrentUse::Unfinished, 0, start + seconds(3));
    let now = start + seconds(4);
    let (growth, evictions) = ledger.grow(ordinary, MB, now);
    assert_eq!((growth, evictions), (Growth::Wait, vec![large]));
    ledger.close(large);
    assert_eq!(ledger.grow(ordinary, MB, now), (Growth::Granted, vec![]));
    // 1 MB for 4 s, 2 MB for 2 s.
    let another = open_with(&mut ledger, CurrentUse::Unfinished, 0, now + seconds(1));
    let (_, evictions) = ledger.grow(another, 6 * MB, now + seconds(1));
    assert_eq!(evictions, [newer, older]);
}

// Guards against a large body that ends smaller ones to make room for itself.
#[test]
fn a_request_that_would_hold_the_most_is_refused_itself() {
    let (mut ledger, start) = (ledger(), Instant::now());
    for _ in 0..6 {
        open_with(&mut ledger, CurrentUse::Unfinished, MB, start);
    }
    let large = open_with(&mut ledger, CurrentUse::Unfinished, MB, start);
    let grown = ledger.grow(large, 2 * MB, start + seconds(1));
    assert_eq!(grown, (Growth::Refused, vec![]));
}

// Guards against ending a request that is being answered, and against large bodies that leave no room for small requests.
#[test]
fn requests_in_progress_stay_and_leave_room_for_small_ones() {
    let (mut ledger, start) = (ledger(), Instant::now());
    for _ in 0..7 {
        open_with(&mut ledger, CurrentUse::InProgress, MB, start);
    }
    let now = start + seconds(60);
    let large = open_with(&mut ledger, CurrentUse::Unfinished, 0, now);
    assert_eq!(ledger.grow(large, MB, now), (Growth::Refused, vec![]));
    for _ in 0..16 {
        let small = open_with(&mut ledger, CurrentUse::Unfinished, 0, now);
        assert_eq!(ledger.grow(small, 60_000, now), (Growth::Granted, vec![]));
    }
}

// Guards against idle connections that keep others from sending.
#[test]
fn idle_connections_end_once_nothing_unfinished_is_left() {
    let (mut ledger, start) = (ledger(), Instant::now());
    let older = open_with(&mut ledger, CurrentUse::Idle, 3 * MB, start);
    open_with(&mut ledger, CurrentUse::Idle, 3 * MB, start + seconds(1));
    let unfinished = open_with(&mut ledger, CurrentUse::Unfinished, MB, start + seconds(1));
    let other = open_with(&mut ledger, CurrentUse::Unfinished, 0, start + seconds(2));
    let (_, evictions) = ledger.grow(other, 3 * MB, start + seconds(2));
    assert_eq!(evictions, [unfinished, older]);
}

// Guards against a listener that stays shut as long as idle connections are open.
#[test]
fn a_new_connection_takes_the_place_of_an_idle_one() {
    let (mut ledger, start) = (ledger(), Instant::now());
    let limit = ledger.limits().connections.of(ListenerKind::Callers);
    let first = open_with(&mut ledger, CurrentUse::Idle, 0, start);
    for _ in 1..limit {
        open_with(&mut ledger, CurrentUse::InProgress, 0, start);
    }
    let now = start + seconds(1);
    let (admission, evictions) = ledger.open(ListenerKind::Callers, 0, now);
    assert!(matches!(admission, Admission::Opened(_)));
    assert_eq!(evictions, [first]);
    while ledger.open(ListenerKind::Callers, 0, now).0 != Admission::Wait {}
    assert_eq!(
        ledger.open_connections(ListenerKind::Callers),
        limit + limit.div_ceil(8)
    );
}

// Guards against callers that keep other nodes out.
#[test]
fn a_full_door_leaves_the_others_open() {
    let (mut ledger, start) = (ledger(), Instant::now());
    for _ in 0..ledger.limits().connections.of(ListenerKind::Callers) {
        open_with(&mut ledger, CurrentUse::InProgress, 0, start);
    }
    assert_eq!(
        ledger.open(ListenerKind::Callers, 0, start).0,
        Admission::Full
    );
    let (admission, _) = ledger.open(ListenerKind::Nodes, 0, start);
    assert!(matches!(admission, Admission::Opened(_)));
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Open(usize),
    Charge(usize, usize),
    Grow(usize, usize),
    Release(usize, usize),
    SetUse(usize, CurrentUse),
    Close(usize),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let account = 0..40_usize;
    let bytes = prop_oneof![0..20_000_usize, 0..4 * MB];
    let uses = prop_oneof![
        Just(CurrentUse::Idle),
        Just(CurrentUse::Unfinished),
        Just(CurrentUse::InProgress)
    ];
    prop_oneof![
        (0..3_usize).prop_map(Step::Open),
        (account.clone(), 0..20_000_usize).prop_map(|(at, bytes)| Step::Charge(at, bytes)),
        (account.clone(), bytes.clone()).prop_map(|(at, bytes)| Step::Grow(at, bytes)),
        (account.clone(), bytes).prop_map(|(at, bytes)| Step::Release(at, bytes)),
        (account.clone(), uses).prop_map(|(at, new_use)| Step::SetUse(at, new_use)),
        account.prop_map(Step::Close),
        (0..5_000_u64).prop_map(Step::Pass),
    ]
}

proptest! {
    // Guards against sums that drift from what the connections hold, and against growth beyond the limit.
    #[test]
    fn the_sum_is_that_of_the_connections(steps in prop::collection::vec(step(), 1..200)) {
        let mut ledger = ledger();
        let mut now = Instant::now();
        let mut open: Vec<AccountId> = Vec::new();
        for step in steps {
            let nth = |at: usize| open.get(at % open.len().max(1)).copied();
            match step {
                Step::Open(listener) => {
                    if let (Admission::Opened(id), _) = ledger.open(ListenerKind::ALL[listener], 16_384, now) {
                        open.push(id);
                    }
                }
                Step::Charge(at, bytes) => {
                    nth(at).map(|id| ledger.charge(id, bytes, now));
                }
                Step::Grow(at, bytes) => if let Some(id) = nth(at) {
                    let before = ledger.held_bytes();
                    let (growth, evictions) = ledger.grow(id, bytes, now);
                    for evicted in evictions {
                        let in_use = ledger.account(evicted).map(|(in_use, _)| in_use);
                        prop_assert!(in_use.is_some_and(|in_use| in_use != CurrentUse::InProgress));
                    }
                    match growth {
                        Growth::Granted => prop_assert!(ledger.held_bytes() <= 8 * MB || bytes == 0),
                        Growth::Wait | Growth::Refused => prop_assert_eq!(ledger.held_bytes(), before),
                    }
                },
                Step::Release(at, bytes) => if let Some(id) = nth(at) {
                    let held = ledger.account(id).map_or(0, |(_, held)| held);
                    ledger.release(id, bytes.min(held));
                },
                Step::SetUse(at, new_use) => if let Some(id) = nth(at) {
                    ledger.set_use(id, new_use, now);
                },
                Step::Close(at) => if !open.is_empty() {
                    let id = open.remove(at % open.len());
                    ledger.close(id);
                },
                Step::Pass(ms) => now += Duration::from_millis(ms),
            }
            let held: usize = open.iter().filter_map(|id| ledger.account(*id)).map(|(_, held)| held).sum();
            prop_assert_eq!(ledger.held_bytes(), held);
            let connections: usize = ListenerKind::ALL.iter().map(|listener| ledger.open_connections(*listener)).sum();
            prop_assert_eq!(connections, open.len());
        }
    }
}
