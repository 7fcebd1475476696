//! Tests of upstream selection.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

mod common;

use std::time::{Duration, Instant};

use common::{engine, far_engine, holdings, list, plain, report};
use nutmegsail_base::{ServiceName, UpstreamId};
use nutmegsail_relay::{
    AdapterChange, ChooseError, CopyScope, DispatchRequest, Dispatcher, DomainContacts,
    HoldingsReport, LoadReport, LoadTimes, ModelRef, Outcome, PromptPrefix, SoftwareRule, Upstream,
    UpstreamState, VersionRule,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

struct Fixture {
    dispatcher: Dispatcher,
    now: Instant,
    random: ChaCha8Rng,
    engines: ServiceName,
    plain: ServiceName,
    a1: ModelRef,
}

impl Fixture {
    fn new(upstreams: impl IntoIterator<Item = Upstream>) -> Self {
        let now = Instant::now();
        let mut dispatcher = Dispatcher::new("here".into());
        dispatcher.set_upstreams(&list(upstreams), now);
        Self {
            dispatcher,
            now,
            random: ChaCha8Rng::seed_from_u64(1),
            engines: "engines".into(),
            plain: "plain".into(),
            a1: ModelRef::parse("base/a1"),
        }
    }

    fn choose_after(
        &mut self,
        tried: &[UpstreamId],
        version: VersionRule,
    ) -> Result<String, ChooseError> {
        let need = DispatchRequest {
            service: &self.engines,
            model: Some(&self.a1),
            version,
            software: SoftwareRule::Any,
            prompt_tokens: 1_000,
            prompt: &PromptPrefix::default(),
            longest_pause: None,
            tried,
        };
        let choice = self.dispatcher.choose(&need, self.now, &mut self.random)?;
        Ok(choice.upstream.id.to_string())
    }

    fn choose(&mut self) -> Result<String, ChooseError> {
        self.choose_after(&[], VersionRule::ANY)
    }

    fn choose_plain(&mut self) -> Result<String, ChooseError> {
        let need = DispatchRequest {
            service: &self.plain,
            model: None,
            version: VersionRule::ANY,
            software: SoftwareRule::Any,
            prompt_tokens: 0,
            prompt: &PromptPrefix::default(),
            longest_pause: None,
            tried: &[],
        };
        let choice = self.dispatcher.choose(&need, self.now, &mut self.random)?;
        Ok(choice.upstream.id.to_string())
    }
}

#[test]
fn only_an_engine_with_the_adapter_gets_the_request() {
    let mut fixture = Fixture::new([engine("e1", &["a2"]), engine("e2", &["a1"])]);
    for _ in 0..50 {
        assert_eq!(fixture.choose().unwrap(), "e2");
    }
}

#[rstest]
#[case::none_listed(&[], ChooseError::NoUpstream)]
#[case::adapter_absent(&["a2"], ChooseError::AdapterAbsent)]
fn refusal_names_what_is_missing(#[case] adapters: &[&str], #[case] expected: ChooseError) {
    let listed = (!adapters.is_empty()).then(|| engine("e1", adapters));
    let mut fixture = Fixture::new(listed);
    assert_eq!(fixture.choose(), Err(expected));
}

// Guards against counting requests instead of prompt tokens: a request would wait behind a long
// prompt while another engine is free.
#[test]
fn engine_with_fewer_pending_tokens_gets_the_request() {
    let mut fixture = Fixture::new([engine("e1", &["a1"]), engine("e2", &["a1"])]);
    fixture
        .dispatcher
        .record_sent(&"e1".into(), 6_000, fixture.now);
    for _ in 0..3 {
        fixture
            .dispatcher
            .record_sent(&"e2".into(), 100, fixture.now);
    }
    assert_eq!(fixture.choose().unwrap(), "e2");
    fixture.dispatcher.record_prompt_read(&"e1".into(), 6_000);
    fixture
        .dispatcher
        .record_sent(&"e2".into(), 6_000, fixture.now);
    assert_eq!(fixture.choose().unwrap(), "e1");
}

#[test]
fn requests_of_other_nodes_count_while_the_report_is_recent() {
    let mut fixture = Fixture::new([engine("e1", &["a1"]), engine("e2", &["a1"])]);
    fixture.dispatcher.record_owner_report(
        &"e1".into(),
        &HoldingsReport::Unchanged,
        report(20_000, fixture.now),
    );
    assert_eq!(fixture.choose().unwrap(), "e2");
    fixture.now += Duration::from_secs(5);
    let chosen: Vec<_> = (0..50).map(|_| fixture.choose().unwrap()).collect();
    assert!(
        chosen.contains(&"e1".to_owned()),
        "an old report is ignored"
    );
}

// A late heartbeat still lists an adapter that has been unloaded. A request sent there would come
// back unserved and use up retry budget.
#[test]
fn a_late_heartbeat_does_not_bring_back_an_unloaded_adapter() {
    let mut fixture = Fixture::new([engine("e1", &["a1"])]);
    let gone = holdings(&["a2"]);
    fixture.dispatcher.record_owner_report(
        &"e1".into(),
        &HoldingsReport::Changed(gone),
        report(0, fixture.now),
    );
    fixture.now += Duration::from_millis(900);
    fixture
        .dispatcher
        .set_upstreams(&list([engine("e1", &["a1"])]), fixture.now);
    assert_eq!(fixture.choose(), Err(ChooseError::AdapterAbsent));
    // Without a recent report from the owner, only the list of upstreams is left.
    fixture.now += Duration::from_secs(10);
    fixture
        .dispatcher
        .set_upstreams(&list([engine("e1", &["a1"])]), fixture.now);
    assert_eq!(fixture.choose().unwrap(), "e1");
}

#[test]
fn engine_that_reported_a_missing_adapter_gets_no_requests_for_it() {
    let mut fixture = Fixture::new([engine("e1", &["a1"])]);
    let a1 = fixture.a1.clone();
    fixture
        .dispatcher
        .record_adapter_missing(&"e1".into(), &a1, fixture.now);
    assert_eq!(fixture.choose(), Err(ChooseError::AdapterAbsent));
}

// The engine's process has ended and another one has taken its address. The list of upstreams shows
// this only some seconds later.
#[test]
fn engine_whose_address_was_taken_over_gets_no_requests() {
    let mut fixture = Fixture::new([engine("e1", &["a1"])]);
    fixture
        .dispatcher
        .record_replaced(&"e1".into(), fixture.now);
    fixture
        .dispatcher
        .set_upstreams(&list([engine("e1", &["a1"])]), fixture.now);
    assert_eq!(fixture.choose(), Err(ChooseError::NoUpstream));
}

// An upstream that answered under a different name once must not be excluded for good.
#[test]
fn upstream_that_stays_listed_is_tried_again() {
    let mut fixture = Fixture::new([engine("e1", &["a1"])]);
    fixture
        .dispatcher
        .record_replaced(&"e1".into(), fixture.now);
    fixture.now += Duration::from_secs(6);
    assert!(fixture.choose().is_ok());
}

#[test]
fn draining_engine_gets_no_new_requests() {
    let draining = Upstream {
        state: UpstreamState::Draining { remaining: None },
        ..engine("e1", &["a1"])
    };
    let mut fixture = Fixture::new([draining]);
    assert_eq!(fixture.choose(), Err(ChooseError::NoUpstream));
}

#[test]
fn announced_version_is_preferred_and_can_be_required() {
    let mut older = engine("e1", &["a1"]);
    older.holdings.models[0].adapters[0].version = 1;
    let mut newer = engine("e2", &["a1"]);
    newer.holdings.models[0].adapters[0].version = 2;
    let mut fixture = Fixture::new([older.clone(), newer]);
    fixture
        .dispatcher
        .record_sent(&"e2".into(), 5_000, fixture.now);
    assert_eq!(
        fixture
            .choose_after(
                &[],
                VersionRule {
                    preferred: 2,
                    oldest: 1
                }
            )
            .unwrap(),
        "e2"
    );
    let mut fixture = Fixture::new([older]);
    assert_eq!(
        fixture
            .choose_after(
                &[],
                VersionRule {
                    preferred: 2,
                    oldest: 1
                }
            )
            .unwrap(),
        "e1"
    );
    let demanded = fixture.choose_after(
        &[],
        VersionRule {
            preferred: 2,
            oldest: 2,
        },
    );
    assert_eq!(demanded, Err(ChooseError::AdapterAbsent));
}

// An upstream fails half of its requests while its health check passes. As long as it gets its
// usual share, every second caller gets an error.
#[test]
fn failing_upstream_is_paused_and_tried_again() {
    let mut fixture = Fixture::new([plain("p1"), plain("p2")]);
    for _ in 0..3 {
        fixture
            .dispatcher
            .record_outcome(&"p1".into(), Outcome::Failed, fixture.now);
    }
    for _ in 0..50 {
        assert_eq!(fixture.choose_plain().unwrap(), "p2");
    }
    for _ in 0..10 {
        fixture
            .dispatcher
            .record_outcome(&"p2".into(), Outcome::Answered, fixture.now);
    }
    fixture.now += Duration::from_secs(5);
    fixture
        .dispatcher
        .record_outcome(&"p1".into(), Outcome::Answered, fixture.now);
    for _ in 0..10 {
        fixture
            .dispatcher
            .record_outcome(&"p1".into(), Outcome::Answered, fixture.now);
    }
    let chosen: Vec<_> = (0..50).map(|_| fixture.choose_plain().unwrap()).collect();
    assert!(chosen.contains(&"p1".to_owned()), "it is healthy again");
}

// Guards against an upstream that was silent for a moment and gets no requests from a node with few callers any more.
#[test]
fn upstream_that_failed_once_is_used_again_by_an_idle_node() {
    let mut fixture = Fixture::new([plain("p1"), plain("p2")]);
    fixture
        .dispatcher
        .record_unreachable(&"p1".into(), fixture.now);
    fixture.now += Duration::from_secs(30);
    let chosen: Vec<_> = (0..50).map(|_| fixture.choose_plain().unwrap()).collect();
    assert!(chosen.contains(&"p1".to_owned()));
}

// Guards against a failing upstream that gets its usual share again although its requests go on failing.
#[test]
fn upstream_that_goes_on_failing_is_not_forgiven() {
    let mut fixture = Fixture::new([plain("p1"), plain("p2")]);
    for second in 0..30 {
        let outcome = [Outcome::Failed, Outcome::Answered, Outcome::Answered][second % 3];
        fixture
            .dispatcher
            .record_outcome(&"p1".into(), outcome, fixture.now);
        fixture.now += Duration::from_secs(1);
        assert_eq!(fixture.choose_plain().unwrap(), "p2");
    }
}

// During a partition, the only upstream on this side was paused after failures, and all others are
// unreachable. Requests were sent to those and spent 300 ms without an answer.
#[test]
fn paused_upstream_is_preferred_to_an_unreachable_one() {
    let far = Upstream {
        failure_domain: "there".into(),
        ..plain("far")
    };
    let mut fixture = Fixture::new([plain("near"), far]);
    let heard = fixture.now;
    let mut domains = DomainContacts::default();
    domains.note(&"there".into(), heard);
    fixture.dispatcher.merge_domain_contacts(&domains);
    fixture.now += Duration::from_secs(1);
    fixture
        .dispatcher
        .record_unreachable(&"near".into(), fixture.now);
    assert_eq!(fixture.choose_plain().unwrap(), "near");
}

// An engine that crashes may leave its connections open and send nothing. Every request sent there
// hangs until its deadline while the list of upstreams still shows the engine.
#[test]
fn silent_engine_gets_no_more_requests() {
    let mut fixture = Fixture::new([engine("e1", &["a1"]), engine("e2", &["a1"])]);
    fixture
        .dispatcher
        .record_sent(&"e1".into(), 500, fixture.now);
    fixture.now += Duration::from_millis(900);
    for _ in 0..20 {
        assert_eq!(fixture.choose().unwrap(), "e2");
    }
    fixture.dispatcher.record_prompt_read(&"e1".into(), 500);
    fixture
        .dispatcher
        .record_sent(&"e2".into(), 4_000, fixture.now);
    assert_eq!(fixture.choose().unwrap(), "e1", "its answer arrived");
}

#[test]
fn paused_upstream_is_tried_if_there_is_no_other() {
    let mut fixture = Fixture::new([plain("p1")]);
    fixture
        .dispatcher
        .record_unreachable(&"p1".into(), fixture.now);
    assert_eq!(fixture.choose_plain().unwrap(), "p1");
}

// Answers that cross failure domains are lost when the domains are partitioned.
#[test]
fn own_failure_domain_is_preferred_until_it_is_much_busier() {
    let mut fixture = Fixture::new([engine("near", &["a1"]), far_engine("far", &["a1"])]);
    assert_eq!(fixture.choose().unwrap(), "near");
    fixture
        .dispatcher
        .record_sent(&"near".into(), 4_000, fixture.now);
    assert_eq!(fixture.choose().unwrap(), "far");
}

// A restarted engine is empty and idle. It was the first choice for every load although it could
// not carry it out, and callers were refused for a second.
#[test]
fn engine_without_the_base_model_is_not_asked_to_load_adapters() {
    let mut empty = engine("e1", &[]);
    empty.holdings.models.clear();
    let fixture = Fixture::new([empty, engine("e2", &[])]);
    let engines = fixture.dispatcher.load_candidates(
        &fixture.engines,
        &fixture.a1,
        VersionRule::ANY,
        &SoftwareRule::Any,
        &CopyScope::Anywhere,
        fixture.now,
    );
    let ids: Vec<_> = engines.iter().map(|place| place.engine.as_str()).collect();
    assert_eq!(ids, ["e2"]);
}

// Three nodes miss the same adapter within the time of one load. Each selected the engine that
// looked idle to it, and the adapter was loaded three times.
#[test]
fn engine_already_loading_the_adapter_is_preferred() {
    let mut fixture = Fixture::new([engine("e1", &[]), engine("e2", &[])]);
    let mut told = report(9_000, fixture.now);
    told.loading = vec![fixture.a1.digest()];
    fixture
        .dispatcher
        .record_owner_report(&"e2".into(), &HoldingsReport::Unchanged, told);
    let mut engines = fixture.dispatcher.load_candidates(
        &fixture.engines,
        &fixture.a1,
        VersionRule::ANY,
        &SoftwareRule::Any,
        &CopyScope::Anywhere,
        fixture.now,
    );
    engines.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
    assert_eq!(engines[0].engine.as_str(), "e2");
    assert!(engines[1].cost_ms - engines[0].cost_ms > 500.0);
}

// The engine holding the adapter is busy, and a long prompt would wait two seconds there. Idle
// engines could load the adapter in a third of a second.
#[test]
fn long_queue_is_left_for_a_load_on_an_idle_engine() {
    let mut fixture = Fixture::new([engine("e1", &["a1"]), engine("e2", &[])]);
    let elsewhere = |fixture: &Fixture, expected_ms: f64| {
        let need = DispatchRequest {
            service: &fixture.engines,
            model: Some(&fixture.a1),
            version: VersionRule::ANY,
            software: SoftwareRule::Any,
            prompt_tokens: 1_400,
            prompt: &PromptPrefix::default(),
            longest_pause: None,
            tried: &[],
        };
        let dispatcher = &fixture.dispatcher;
        dispatcher.is_sooner_elsewhere(&need, expected_ms, fixture.now)
    };
    assert!(elsewhere(&fixture, 2_000.0));
    assert!(
        !elsewhere(&fixture, 300.0),
        "it is answered in time where it is"
    );
    fixture
        .dispatcher
        .record_sent(&"e2".into(), 30_000, fixture.now);
    assert!(!elsewhere(&fixture, 2_000.0), "no engine is idle");
}

// After a cold start, every failure domain loaded the same popular adapters itself while the weight
// store was the bottleneck. Once loads are quick, they stay in the domain.
#[test]
fn loads_stay_in_the_failure_domain_only_while_they_are_quick() {
    let mut fixture = Fixture::new([engine("near", &[]), far_engine("far", &[])]);
    let difference = |fixture: &Fixture| {
        let engines = fixture.dispatcher.load_candidates(
            &fixture.engines,
            &fixture.a1,
            VersionRule::ANY,
            &SoftwareRule::Any,
            &CopyScope::Anywhere,
            fixture.now,
        );
        let cost = |wanted: &str| {
            let mut engines = engines.iter();
            engines
                .find(|place| place.engine.as_str() == wanted)
                .unwrap()
                .cost_ms
        };
        cost("far") - cost("near")
    };
    assert!(difference(&fixture) < 100.0);
    let mut times = LoadTimes::default();
    times.note(Duration::from_millis(380), 1.0);
    fixture.dispatcher.set_load_times(&times);
    assert!(difference(&fixture) > 300.0);
}

// On a busy day four loads in ten were of adapters that some engine had dropped. Each took a full
// load on another engine, while the one that dropped it needs a tenth of that. With half a second
// of queue there, the callers would still be late.
#[test]
fn engine_that_dropped_the_adapter_recently_is_preferred() {
    let mut fixture = Fixture::new([engine("e1", &["a1"]), engine("e2", &["a2"])]);
    let now = fixture.now;
    let told = |adapters: &[&str]| holdings(adapters);
    fixture
        .dispatcher
        .record_holdings(&"e1".into(), &told(&["a3"]), now);
    let first = |fixture: &Fixture| {
        let mut engines = fixture.dispatcher.load_candidates(
            &fixture.engines,
            &fixture.a1,
            VersionRule::ANY,
            &SoftwareRule::Any,
            &CopyScope::Anywhere,
            fixture.now,
        );
        engines.sort_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        (engines[0].engine.to_string(), engines[0].is_recent)
    };
    assert_eq!(first(&fixture), ("e1".to_owned(), true));
    fixture.dispatcher.record_sent(&"e1".into(), 6_000, now);
    assert_eq!(first(&fixture).0, "e1", "300 ms of pending prompts");
    fixture.dispatcher.record_sent(&"e1".into(), 8_000, now);
    assert_eq!(
        first(&fixture),
        ("e2".to_owned(), false),
        "700 ms of pending prompts"
    );
}

// A newer version was announced since. The engine can only restore the older one, and the newer has
// to come from the weight store.
#[test]
fn dropped_adapter_of_an_older_version_does_not_count() {
    let mut fixture = Fixture::new([engine("e1", &["a1"])]);
    let now = fixture.now;
    fixture
        .dispatcher
        .record_holdings(&"e1".into(), &holdings(&[]), now);
    let tracked = fixture.dispatcher.tracked(&"e1".into()).unwrap();
    assert!(tracked.dropped_recently(&fixture.a1, VersionRule::ANY));
    let newer = VersionRule {
        preferred: 2,
        oldest: 1,
    };
    assert!(!tracked.dropped_recently(&fixture.a1, newer));
}

// An engine's owner reports loads and unloads at once, while the list of upstreams shows them a
// second or two later. Using the list alone, adapters were loaded again elsewhere (637 adapters on
// a busy day with 140 engines), and requests went to engines that had unloaded theirs.
#[test]
fn reported_loads_and_unloads_override_the_list() {
    let mut fixture = Fixture::new([engine("e1", &[]), engine("e2", &["a1"])]);
    let told = |fixture: &mut Fixture, id: &str, is_held: bool| {
        let mut news = report(0, fixture.now);
        news.recent_changes = vec![AdapterChange {
            model: fixture.a1.digest(),
            is_held,
        }];
        fixture
            .dispatcher
            .record_owner_report(&id.into(), &HoldingsReport::Unchanged, news);
        let list = list([engine("e1", &[]), engine("e2", &["a1"])]);
        fixture.dispatcher.set_upstreams(&list, fixture.now);
    };
    told(&mut fixture, "e1", true);
    told(&mut fixture, "e2", false);
    for _ in 0..20 {
        assert_eq!(fixture.choose().unwrap(), "e1");
    }
    fixture.now += Duration::from_secs(3);
    assert_eq!(
        fixture.choose().unwrap(),
        "e2",
        "the list is up to date by now"
    );
}

// On engines with few slots and long answers, slots run out before prompt processing does. When
// only prompts were counted, a queue grew to several seconds while other engines were idle.
#[test]
fn engine_without_a_free_slot_is_expected_to_be_slow() {
    let few = |id: &str| Upstream {
        slots: 12,
        ..engine(id, &["a1"])
    };
    let mut fixture = Fixture::new([few("e1"), few("e2")]);
    for _ in 0..200 {
        fixture.dispatcher.record_slot_time(Duration::from_secs(2));
    }
    for _ in 0..12 {
        fixture
            .dispatcher
            .record_sent(&"e1".into(), 10, fixture.now);
    }
    let expected_ms = |fixture: &Fixture, id: &str| {
        let tracked = fixture.dispatcher.tracked(&id.into()).unwrap();
        tracked.expected_first_event_ms(10, fixture.now)
    };
    let difference_ms = expected_ms(&fixture, "e1") - expected_ms(&fixture, "e2");
    assert!(
        difference_ms > 150.0,
        "a slot becomes free in 2 s / 12: {difference_ms}"
    );
    assert_eq!(fixture.choose().unwrap(), "e2");
}

// Engines may process prompts twice as fast as assumed, or half as fast. Without learning this,
// requests load their adapters elsewhere to avoid waits that don't exist, or wait where a load
// elsewhere would have been faster.
#[rstest]
#[case::twice_as_fast(0.5)]
#[case::half_as_fast(2.0)]
#[case::five_times_as_slow(5.0)]
fn latency_factor_is_learned_from_answers(#[case] latency_factor: f64) {
    let mut fixture = Fixture::new((0..8).map(|number| engine(&format!("e{number}"), &["a1"])));
    let assumed_ms = |fixture: &Fixture, id: &UpstreamId| {
        let tracked = fixture.dispatcher.tracked(id).unwrap();
        tracked.expected_first_event_ms(1_000, fixture.now)
    };
    let idle: UpstreamId = "e7".into();
    let first_ms = assumed_ms(&fixture, &idle);
    for answer in 0..400 {
        let id: UpstreamId = format!("e{}", answer % 7).into();
        let expected_ms = assumed_ms(&fixture, &id);
        let took = Duration::from_secs_f64(first_ms * latency_factor / 1_000.0);
        let now = fixture.now;
        fixture
            .dispatcher
            .record_answer_started(&id, expected_ms, took, now);
        fixture.now += Duration::from_millis(50);
    }
    let told = assumed_ms(&fixture, &idle) / (first_ms * latency_factor);
    assert!(
        (0.8..=1.25).contains(&told),
        "an engine without answers is expected to take {told} times its actual time"
    );
}

// A node of a large fleet asked an engine without a free adapter slot, lost a round trip and asked
// the next one, four times. Then its caller was refused although other engines had free slots.
#[test]
fn engines_with_a_free_adapter_slot_are_preferred_for_loads() {
    let mut fixture = Fixture::new([engine("e1", &[]), engine("e2", &[]), engine("e3", &[])]);
    for (id, free_adapter_slots) in [("e1", 0), ("e2", 3), ("e3", 0)] {
        let told = report_with_room(free_adapter_slots, fixture.now);
        fixture
            .dispatcher
            .record_owner_report(&id.into(), &HoldingsReport::Unchanged, told);
    }
    let candidates = |fixture: &Fixture| {
        let place = &CopyScope::Anywhere;
        let (service, model) = (&fixture.engines, &fixture.a1);
        let dispatcher = &fixture.dispatcher;
        let engines = dispatcher.load_candidates(
            service,
            model,
            VersionRule::ANY,
            &SoftwareRule::Any,
            place,
            fixture.now,
        );
        let ids = engines.into_iter().map(|place| place.engine.to_string());
        let mut ids: Vec<String> = ids.collect();
        ids.sort();
        ids
    };
    assert_eq!(candidates(&fixture), ["e2"]);
    // If none had a free slot in the last report, one may have become free since.
    let full = report_with_room(0, fixture.now);
    fixture
        .dispatcher
        .record_owner_report(&"e2".into(), &HoldingsReport::Unchanged, full);
    assert_eq!(candidates(&fixture), ["e1", "e2", "e3"]);
}

// A node of a large fleet may use no engine of another failure domain for a while and so hear
// nothing from it. The engines there are healthy, and hold adapters that would otherwise be loaded
// again here.
#[test]
fn failure_domain_that_other_nodes_hear_is_not_unreachable() {
    let mut fixture = Fixture::new([far_engine("e1", &["a1"])]);
    let (there, began) = ("there".into(), fixture.now);
    let mut reader = DomainContacts::default();
    let mut node = DomainContacts::default();
    for tick in 0..30 {
        let now = began + Duration::from_millis(100 * tick);
        if tick < 20 {
            reader.note(&there, now);
        }
        node.take(&reader.ages(now), now);
        fixture.now = now;
        fixture.dispatcher.merge_domain_contacts(&node);
        let is_unreachable = tick >= 24;
        assert_eq!(
            fixture.choose().is_err(),
            is_unreachable,
            "after {tick} exchanges"
        );
    }
}

// A node used an engine once and was told its holdings. Later it only gets load reports passed on
// by other nodes. If these counted as a confirmation of the old holdings, requests would go to an
// engine that has unloaded their adapter, or it would be loaded again elsewhere.
#[rstest]
#[case::the_load_alone(HoldingsReport::NotReported, true)]
#[case::that_nothing_changed(HoldingsReport::Unchanged, false)]
fn load_report_alone_does_not_confirm_holdings(
    #[case] told: HoldingsReport,
    #[case] is_list_used: bool,
) {
    let mut fixture = Fixture::new([engine("e1", &[])]);
    let before = HoldingsReport::Changed(holdings(&["a9"]));
    fixture
        .dispatcher
        .record_owner_report(&"e1".into(), &before, report(0, fixture.now));
    for _ in 0..40 {
        fixture.now += Duration::from_millis(100);
        let report = report(0, fixture.now);
        fixture
            .dispatcher
            .record_owner_report(&"e1".into(), &told, report);
    }
    let listed = list([engine("e1", &["a1"])]);
    fixture.dispatcher.set_upstreams(&listed, fixture.now);
    assert_eq!(fixture.choose().is_ok(), is_list_used);
}

fn report_with_room(free_adapter_slots: u32, received_at: Instant) -> LoadReport {
    LoadReport {
        free_adapter_slots,
        ..report(0, received_at)
    }
}

// With engines twice as fast as assumed, a base model's work appeared to be twice what it was, and
// it took engines from models that were in demand.
#[test]
fn engine_time_of_a_prompt_follows_the_latency_factor() {
    let mut fixture = Fixture::new([engine("e1", &["a1"])]);
    let id = "e1".into();
    let assumed_ms = fixture.dispatcher.engine_time_ms(&fixture.engines, 10_000);
    for _ in 0..400 {
        let tracked = fixture.dispatcher.tracked(&id).unwrap();
        let expected_ms = tracked.expected_first_event_ms(10_000, fixture.now);
        fixture.dispatcher.record_answer_started(
            &id,
            expected_ms,
            Duration::from_millis(260),
            fixture.now,
        );
    }
    let learned_ms = fixture.dispatcher.engine_time_ms(&fixture.engines, 10_000);
    let plain_ms = fixture.dispatcher.engine_time_ms(&fixture.engines, 0);
    let reading = (learned_ms - plain_ms) / (assumed_ms - plain_ms);
    assert!((0.45..0.55).contains(&reading), "{reading}");
}
