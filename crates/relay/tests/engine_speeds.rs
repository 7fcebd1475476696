//! Engines of different speeds: what nodes do with the paces that they receive.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

mod common;
#[path = "common/engine_fleet.rs"]
mod engine_fleet;
#[path = "common/fleet_engine.rs"]
mod fleet_engine;

use std::time::{Duration, Instant};

use common::{engine, holdings, list, report};
use engine_fleet::{Knowledge, play};
use nutmegsail_relay::{
    CopyScope, DispatchRequest, Dispatcher, EngineDemand, EngineLoadSample, HoldingsReport,
    KnownPace, ModelRef, PromptPrefix, SoftwareRule, Upstream, VersionRule,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const SEED: u64 = 1;

fn dispatcher(names: &[&str], now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("here".into());
    let listed = list(names.iter().map(|name| engine(name, &["a1"])));
    dispatcher.set_upstreams(&listed, now);
    dispatcher
}

fn expected_ms(dispatcher: &Dispatcher, name: &str, now: Instant) -> f64 {
    let tracked = dispatcher.tracked(&name.into()).unwrap();
    tracked.expected_first_event_ms(1_000, now)
}

// Guards against engines that the loads and requests of all nodes gather at: 1.3 times the mean load
// by capacity is what the plan sets for the busiest engine; with a common pace it was at 1.66.
#[test]
fn known_paces_keep_every_engine_near_its_share_of_the_load() {
    let known = play(Knowledge::OwnPacesAndPauses, SEED);
    println!("{known:?}");
    assert!(known.busiest <= 1.3, "{known:?}");
}

// Guards against paces that are known but of no use to callers. A third fewer late answers is a
// difference that chance doesn't make with 14,000 answers; first events may only become late as
// rarely as one in a hundred, as adapters move to other engines.
#[test]
fn known_paces_bring_more_answers_on_time() {
    let common = play(Knowledge::FleetPace, SEED);
    let known = play(Knowledge::OwnPacesAndPauses, SEED);
    println!("{common:?}\n{known:?}");
    let late = |on_time: f64| 1.0 - on_time;
    let allowed = late(common.answers_on_time) * 2.0 / 3.0;
    assert!(
        late(known.answers_on_time) <= allowed,
        "{common:?} {known:?}"
    );
    assert!(known.first_events_on_time >= 0.99, "{known:?}");
}

// Guards against slow engines that keep their load although nodes know their paces.
#[test]
fn known_paces_take_load_from_slow_engines() {
    let known = play(Knowledge::OwnPaces, SEED);
    println!("{known:?}");
    let [slow, usual, fast] = known.load_by_speed;
    let mean = (slow * 0.6 + usual + fast * 1.6) / 3.2;
    assert!(slow <= mean * 1.3 && fast <= mean * 1.3, "{known:?}");
}

// Guards against a pace that one node receives and that changes what is expected of other engines.
#[test]
fn pace_counts_for_its_engine_only_and_for_30_s() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["e1", "e2"], now);
    let unknown_ms = expected_ms(&dispatcher, "e1", now);
    dispatcher.set_pace(&"e1".into(), 10.0, now);
    assert!((expected_ms(&dispatcher, "e1", now) - 118.0).abs() < 0.01);
    assert_eq!(expected_ms(&dispatcher, "e2", now), unknown_ms);
    let soon = now + Duration::from_millis(29_999);
    assert!((expected_ms(&dispatcher, "e1", soon) - 118.0).abs() < 0.01);
    let later = now + Duration::from_secs(30);
    assert_eq!(expected_ms(&dispatcher, "e1", later), unknown_ms);
}

// Guards against a new process that is taken to be as slow as the one before it.
#[test]
fn pace_is_forgotten_with_the_engines_process() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["e1"], now);
    dispatcher.set_pace(&"e1".into(), 10.0, now);
    let restarted = Upstream {
        id: "e1-2".into(),
        ..engine("e1", &["a1"])
    };
    dispatcher.set_upstreams(&list([restarted]), now);
    let tracked = dispatcher.tracked(&"e1-2".into()).unwrap();
    assert_eq!(tracked.own_token_ms(now), None);
}

// Guards against a slow engine whose slowness counts twice when its pace becomes known.
#[test]
fn known_pace_replaces_the_slowdown_that_it_explains() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["e1"], now);
    for _ in 0..20 {
        let expected_ms = expected_ms(&dispatcher, "e1", now);
        let took = Duration::from_millis(138);
        dispatcher.record_answer_started(&"e1".into(), expected_ms, took, now);
    }
    dispatcher.set_pace(&"e1".into(), 1_000.0 / 120.0, now);
    let expected = expected_ms(&dispatcher, "e1", now);
    assert!((100.0..180.0).contains(&expected), "{expected}");
    let slowdown = dispatcher.tracked(&"e1".into()).unwrap().slowdown(now);
    assert!(slowdown < 1.2, "{slowdown}");
}

/// Which engine gets a prompt of 3,000 tokens: `near`, with 5,000 tokens pending, or `far` in another
/// failure domain, with 4,200. Both have requests running.
fn chosen(longest_pause: Option<Duration>, has_paused: bool) -> String {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new("here".into());
    let near = engine("near", &["a1"]);
    let far = common::far_engine("far", &["a1"]);
    dispatcher.set_upstreams(&list([near, far]), now);
    for name in ["near", "far"] {
        dispatcher.set_pace(&name.into(), 20.0, now);
    }
    let mut loads = report(5_000, now);
    loads.in_flight_of_others = 10;
    dispatcher.record_owner_report(&"near".into(), &HoldingsReport::NotReported, loads);
    let mut loads = report(2_600, now);
    loads.in_flight_of_others = 10;
    dispatcher.record_owner_report(&"far".into(), &HoldingsReport::NotReported, loads);
    dispatcher.record_sent(&"far".into(), 1_600, now);
    if has_paused {
        dispatcher.record_long_pause(&"near".into(), now);
        dispatcher.record_long_pause(&"far".into(), now);
    }
    let model = ModelRef::parse("base/a1");
    let need = DispatchRequest {
        service: &"engines".into(),
        model: Some(&model),
        version: VersionRule::ANY,
        software: SoftwareRule::Any,
        prompt_tokens: 3_000,
        prompt: &PromptPrefix::default(),
        longest_pause,
        tried: &[],
    };
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let choice = dispatcher.choose(&need, now, &mut random).unwrap();
    choice.upstream.id.to_string()
}

// Guards against a prompt that makes the answers running at an engine late although another engine
// would hardly take longer: 8,000 tokens take 400 ms, 7,200 take 360 ms, 60 ms are for the distance,
// and both are over 0.7 of a pause of 400 ms.
#[test]
fn pause_of_running_answers_counts_once_pauses_were_too_long() {
    let limit = Some(Duration::from_millis(400));
    assert_eq!(chosen(limit, true), "far");
}

// Guards against changes for deployments without a limit, or whose answers never pause for too long.
#[test]
fn pause_of_running_answers_does_not_count_without_a_limit_or_long_pauses() {
    assert_eq!(chosen(None, true), "near");
    assert_eq!(chosen(Some(Duration::from_millis(400)), false), "near");
}

fn wanted_copies(tokens_per_ms: Option<f64>) -> usize {
    let now = Instant::now();
    let (mut demand, held) = (EngineDemand::default(), holdings(&["a1"]));
    let model = ModelRef::parse("base/a1");
    demand.note(&"here".into(), &model, 10.0, 20_000.0, now);
    demand.set_pace(tokens_per_ms.and_then(|pace| KnownPace::new(pace, now)));
    let sample = EngineLoadSample {
        failure_domain: &"here".into(),
        slots: 64,
        holdings: &held,
    };
    let wanted = demand.copies_wanted(sample, |_| 0, now);
    assert!(
        wanted
            .iter()
            .all(|copies| copies.place == CopyScope::Anywhere)
    );
    wanted.iter().map(|copies| copies.copies).sum()
}

// Guards against a slow engine that keeps an adapter for itself which a fast one could serve alone.
#[test]
fn slow_engine_asks_for_more_copies_than_a_fast_one() {
    assert_eq!(wanted_copies(None), 0);
    assert_eq!(wanted_copies(Some(19.1 * 1.6)), 0);
    assert!(wanted_copies(Some(19.1 * 0.6)) >= 1);
    assert!(wanted_copies(Some(4.0)) >= 4);
}
