//! Outdated entries of the list of upstreams, whatever order they arrive in.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

mod common;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use common::{engine, list};
use nutmegsail_relay::{
    Dispatcher, EntryFault, Listing, ModelRef, Need, PromptChain, Refusal, RestFilter, Upstream,
    UpstreamEntry, UpstreamState, VersionRule,
};
use proptest::prelude::*;

fn start(name: &str, started_ms: Option<u64>, adapters: &[&str]) -> Upstream {
    Upstream {
        id: Upstream::id_of(name, started_ms),
        started_ms,
        ..engine(name, adapters)
    }
}

fn entry(started_ms: Option<u64>, heartbeat: u64, is_leaving: bool) -> UpstreamEntry {
    let mut upstream = start("e1", started_ms, &["a1"]);
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
fn a_late_word_of_an_earlier_start_does_not_count() {
    let (mut listing, now) = (Listing::default(), Instant::now());
    assert!(listing.admit(entry(Some(1), 40, false), now).is_ok());
    assert!(listing.admit(entry(Some(2), 1, false), now).is_ok());
    let late = listing.admit(entry(Some(1), 41, false), now);
    assert_eq!(late, Err(EntryFault::OlderStart));
}

// Guards against sending new work to a leaving upstream, which would abort it when it ends. A
// delayed heartbeat from before it was leaving arrives last.
#[test]
fn an_upstream_that_leaves_never_takes_work_again() {
    let (mut listing, now) = (Listing::default(), Instant::now());
    listing.admit(entry(Some(1), 7, true), now).unwrap();
    let late = listing.admit(entry(Some(1), 6, false), now);
    assert_eq!(late, Err(EntryFault::OlderHeartbeat));
    let later = listing.admit(entry(Some(1), 8, false), now).unwrap();
    assert!(!later.takes_work());
    let next = listing.admit(entry(Some(2), 1, false), now).unwrap();
    assert!(next.takes_work());
}

// Where entries have no start times, each process has a name of its own.
#[test]
fn without_starts_a_name_that_leaves_stays_so() {
    let (mut listing, now) = (Listing::default(), Instant::now());
    listing.admit(entry(None, 7, true), now).unwrap();
    let back = listing.admit(entry(None, 2, false), now).unwrap();
    assert!(!back.takes_work());
}

#[test]
fn an_entry_without_a_start_beside_others_with_one_is_another_writers() {
    let (mut listing, now) = (Listing::default(), Instant::now());
    listing.admit(entry(Some(1), 7, false), now).unwrap();
    let other = listing.admit(entry(None, 8, false), now);
    assert_eq!(other, Err(EntryFault::NoStart));
}

#[test]
fn a_name_is_forgotten_a_minute_after_it_left_the_list() {
    let (mut listing, now) = (Listing::default(), Instant::now());
    listing.admit(entry(Some(5), 7, false), now).unwrap();
    let soon = now + Duration::from_secs(59);
    listing.forget_old(|_| false, soon);
    let late = listing.admit(entry(Some(4), 9, false), soon);
    assert_eq!(late, Err(EntryFault::OlderStart));
    let later = now + Duration::from_secs(61);
    listing.forget_old(|_| false, later);
    assert!(listing.admit(entry(Some(4), 9, false), later).is_ok());
}

// Guards against applying the holdings, request counts and failures of an earlier process to an
// engine that restarted empty under its old name.
#[test]
fn nothing_of_an_earlier_start_is_believed_of_the_next() {
    let now = Instant::now();
    let (before, after) = (start("e1", Some(1), &["a1"]), start("e1", Some(2), &[]));
    let mut dispatcher = Dispatcher::new("here".into());
    dispatcher.set_upstreams(&list([before.clone()]), now);
    dispatcher.sent(&before.id, 9_000, now);
    dispatcher.note_unreachable(&before.id, now);

    dispatcher.set_upstreams(&list([after.clone()]), now);
    let tracked = dispatcher.tracked(&after.id).unwrap();
    assert_eq!((tracked.in_flight, tracked.unread_tokens), (0, 0));
    assert!(!tracked.health.is_paused(now));
    // A stream of the earlier process ends only now.
    dispatcher.sent(&after.id, 100, now);
    dispatcher.ended(&before.id);
    assert_eq!(dispatcher.tracked(&after.id).unwrap().in_flight, 1);

    let model = ModelRef::parse("base/a1");
    let service = "engines".into();
    let need = Need {
        service: &service,
        model: Some(&model),
        version: VersionRule::ANY,
        prompt_tokens: 100,
        prompt: &PromptChain::default(),
        tried: &[],
    };
    let choice = dispatcher.choose(&need, now, &mut rand::rng());
    assert_eq!(choice.unwrap_err(), Refusal::AdapterAbsent);
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
    fn what_counts_never_goes_back(
        writes in prop::collection::vec((1u64..5, 0u64..6, any::<bool>()), 1..40),
    ) {
        let (mut listing, now) = (Listing::default(), Instant::now());
        let mut newest = (0, 0);
        let mut left: HashMap<u64, bool> = HashMap::new();
        for (started_ms, heartbeat, is_leaving) in writes {
            let Ok(upstream) = listing.admit(entry(Some(started_ms), heartbeat, is_leaving), now) else {
                prop_assert!((started_ms, heartbeat) < newest);
                continue;
            };
            prop_assert!((started_ms, heartbeat) >= newest);
            newest = (started_ms, heartbeat);
            let left = left.entry(started_ms).or_default();
            *left |= is_leaving;
            prop_assert_eq!(upstream.takes_work(), !*left);
        }
    }
}

// Guards against updates that fill a node's link. In a large fleet most engines are idle, yet one
// node sends the others every engine's load ten times a second. Busy engines must be in each
// update, engines that became idle in a few, and an engine that becomes busy again in the next one.
#[test]
fn what_is_told_of_engines_grows_with_those_that_work() {
    let mut filter = RestFilter::default();
    let told = |filter: &mut RestFilter<u32>, working: std::ops::Range<u32>| {
        filter.turn((0..1_000).map(|engine| (engine, !working.contains(&engine))))
    };
    for _ in 0..3 {
        assert_eq!(
            told(&mut filter, 0..10).len(),
            1_000,
            "none was sent before"
        );
    }
    assert_eq!(told(&mut filter, 0..10), (0..10).collect::<Vec<_>>());
    let moved = told(&mut filter, 5..15);
    assert_eq!(moved, (0..15).collect::<Vec<_>>(), "0 to 4 became idle");
    for _ in 0..2 {
        told(&mut filter, 5..15);
    }
    assert_eq!(told(&mut filter, 5..15), (5..15).collect::<Vec<_>>());
}
