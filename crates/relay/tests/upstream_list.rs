//! Outdated entries of the list of upstreams, whatever order they arrive in.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use common::{engine, list};
use nutmegsail_relay::{
    ChooseError, DispatchRequest, Dispatcher, EntryFault, IdleFilter, ModelRef, PromptPrefix,
    SoftwareRule, Upstream, UpstreamEntry, UpstreamList, UpstreamState, VersionRule,
};
use proptest::prelude::*;

fn process(name: &str, started_ms: Option<u64>, adapters: &[&str]) -> Upstream {
    Upstream {
        id: Upstream::id_of(name, started_ms),
        started_ms,
        ..engine(name, adapters)
    }
}

fn entry(started_ms: Option<u64>, heartbeat: u64, is_leaving: bool) -> UpstreamEntry {
    let mut upstream = process("e1", started_ms, &["a1"]);
    if is_leaving {
        upstream.state = UpstreamState::Draining { remaining: None };
    }
    UpstreamEntry {
        upstream,
        heartbeat,
    }
}

// Guards against sending requests to an engine that holds nothing. It crashed and restarted under
// its old name, and a delayed write of the old process arrives last.
#[test]
fn a_delayed_entry_of_an_earlier_process_is_rejected() {
    let (mut listing, now) = (UpstreamList::default(), Instant::now());
    assert!(listing.admit(entry(Some(1), 40, false), now).is_ok());
    assert!(listing.admit(entry(Some(2), 1, false), now).is_ok());
    let delayed = listing.admit(entry(Some(1), 41, false), now);
    assert_eq!(delayed, Err(EntryFault::OlderStart));
}

// Guards against sending new work to a leaving upstream, which would abort it when it ends. A
// delayed heartbeat from before it was leaving arrives last.
#[test]
fn a_leaving_upstream_never_takes_work_again() {
    let (mut listing, now) = (UpstreamList::default(), Instant::now());
    listing.admit(entry(Some(1), 7, true), now).unwrap();
    let delayed = listing.admit(entry(Some(1), 6, false), now);
    assert_eq!(delayed, Err(EntryFault::OlderHeartbeat));
    let later = listing.admit(entry(Some(1), 8, false), now).unwrap();
    assert!(!later.takes_work());
    let next = listing.admit(entry(Some(2), 1, false), now).unwrap();
    assert!(next.takes_work());
}

// Where entries have no start times, each process has a name of its own.
#[test]
fn without_start_times_a_leaving_name_stays_leaving() {
    let (mut listing, now) = (UpstreamList::default(), Instant::now());
    listing.admit(entry(None, 7, true), now).unwrap();
    let back = listing.admit(entry(None, 2, false), now).unwrap();
    assert!(!back.takes_work());
}

#[test]
fn an_entry_without_a_start_time_is_rejected_if_others_have_one() {
    let (mut listing, now) = (UpstreamList::default(), Instant::now());
    listing.admit(entry(Some(1), 7, false), now).unwrap();
    let other = listing.admit(entry(None, 8, false), now);
    assert_eq!(other, Err(EntryFault::NoStart));
}

#[test]
fn a_name_is_forgotten_a_minute_after_it_left_the_list() {
    let (mut listing, now) = (UpstreamList::default(), Instant::now());
    listing.admit(entry(Some(5), 7, false), now).unwrap();
    let soon = now + Duration::from_secs(59);
    listing.forget_old(|_| false, soon);
    let delayed = listing.admit(entry(Some(4), 9, false), soon);
    assert_eq!(delayed, Err(EntryFault::OlderStart));
    let later = now + Duration::from_secs(61);
    listing.forget_old(|_| false, later);
    assert!(listing.admit(entry(Some(4), 9, false), later).is_ok());
}

// Guards against applying the holdings, request counts and failures of an earlier process to an
// engine that restarted empty under its old name.
#[test]
fn nothing_is_carried_over_from_an_earlier_process() {
    let now = Instant::now();
    let (before, after) = (process("e1", Some(1), &["a1"]), process("e1", Some(2), &[]));
    let mut dispatcher = Dispatcher::new("here".into());
    dispatcher.set_upstreams(&list([before.clone()]), now);
    dispatcher.record_sent(&before.id, 9_000, now);
    dispatcher.record_unreachable(&before.id, now);

    dispatcher.set_upstreams(&list([after.clone()]), now);
    let tracked = dispatcher.tracked(&after.id).unwrap();
    assert_eq!((tracked.in_flight, tracked.pending_prompt_tokens), (0, 0));
    assert!(!tracked.health.is_paused(now));
    // A stream of the earlier process ends only now.
    dispatcher.record_sent(&after.id, 100, now);
    dispatcher.record_ended(&before.id);
    assert_eq!(dispatcher.tracked(&after.id).unwrap().in_flight, 1);

    let model = ModelRef::parse("base/a1");
    let service = "engines".into();
    let need = DispatchRequest {
        service: &service,
        model: Some(&model),
        version: VersionRule::ANY,
        software: SoftwareRule::Any,
        prompt_tokens: 100,
        prompt: &PromptPrefix::default(),
        longest_pause: None,
        tried: &[],
    };
    let choice = dispatcher.choose(&need, now, &mut rand::rng());
    assert_eq!(choice.unwrap_err(), ChooseError::AdapterAbsent);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Writes of several processes under one name arrive in any order.
    #[test]
    fn accepted_entries_never_go_back(
        writes in prop::collection::vec((1u64..5, 0u64..6, any::<bool>()), 1..40),
    ) {
        let (mut listing, now) = (UpstreamList::default(), Instant::now());
        let mut newest = (0, 0);
        let mut has_left: HashMap<u64, bool> = HashMap::new();
        for (started_ms, heartbeat, is_leaving) in writes {
            let Ok(upstream) = listing.admit(entry(Some(started_ms), heartbeat, is_leaving), now) else {
                prop_assert!((started_ms, heartbeat) < newest);
                continue;
            };
            prop_assert!((started_ms, heartbeat) >= newest);
            newest = (started_ms, heartbeat);
            let has_left = has_left.entry(started_ms).or_default();
            *has_left |= is_leaving;
            prop_assert_eq!(upstream.takes_work(), !*has_left);
        }
    }
}

// Guards against updates that fill a node's link. In a large fleet most engines are idle, yet one
// node sends the others every engine's load ten times a second. Busy engines must be in each
// update, engines that became idle in a few, and an engine that becomes busy again in the next one.
#[test]
fn updates_grow_with_the_number_of_busy_engines() {
    let mut filter = IdleFilter::default();
    let included = |filter: &mut IdleFilter<u32>, busy: std::ops::Range<u32>| {
        filter.due_engines((0..1_000).map(|engine| (engine, !busy.contains(&engine))))
    };
    for _ in 0..3 {
        assert_eq!(
            included(&mut filter, 0..10).len(),
            1_000,
            "none was sent before"
        );
    }
    assert_eq!(included(&mut filter, 0..10), (0..10).collect::<Vec<_>>());
    let moved = included(&mut filter, 5..15);
    assert_eq!(moved, (0..15).collect::<Vec<_>>(), "0 to 4 became idle");
    for _ in 0..2 {
        included(&mut filter, 5..15);
    }
    assert_eq!(included(&mut filter, 5..15), (5..15).collect::<Vec<_>>());
}
