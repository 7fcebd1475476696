//! What the engine stand-in promises in memory, stepped by hand.

#![allow(clippy::unwrap_used, reason = "in a test file a panic is the verdict")]

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use futures_util::{FutureExt, StreamExt};
use nutmegsail_base::{
    AdapterRef, AdapterState, Class, Clock, Incarnation, ManualClock, RequestId, UpstreamId,
};
use nutmegsail_fakes::{
    EngineSettings, FakeEngine, FakeWeightStore, Knobs, TokioClock, WeightStoreSettings,
};
use nutmegsail_upstream::{
    Attachment, CancelAnswer, Engine, EngineRequest, EngineStream, LoadOrder, OrderAnswer,
    OrderError, OrderOp, StreamEvent, UpstreamError,
};
use rstest::rstest;

struct Bench {
    clock: Arc<ManualClock>,
    id: UpstreamId,
    engine: FakeEngine,
}

fn adapter(name: &str) -> AdapterRef {
    AdapterRef::new(name, 1)
}

fn bench(settings: EngineSettings) -> Bench {
    let clock = Arc::new(ManualClock::default());
    let store = FakeWeightStore::new(WeightStoreSettings::default(), clock.now());
    let id = UpstreamId::from("127.0.0.1:9000");
    let clock_of_engine = Arc::clone(&clock) as _;
    let engine = FakeEngine::new(id.clone(), settings, clock_of_engine, store.into(), 3);
    engine.preload(adapter("a"));
    Bench { clock, id, engine }
}

fn two_batch_slots() -> EngineSettings {
    EngineSettings {
        batch_slots: 2,
        ..EngineSettings::default()
    }
}

impl Bench {
    async fn start(
        &self,
        request: &str,
        class: Class,
        events: u64,
    ) -> Result<EngineStream, UpstreamError> {
        let request = EngineRequest {
            request: request.into(),
            adapter: adapter("a"),
            class,
            deadline: Duration::from_secs(60),
            body: format!(r#"{{"max_tokens":{events}}}"#).into(),
            path: "/v1/completions",
            traceparent: None,
        };
        self.engine.start(&self.id, request).await
    }

    async fn routine(&self, request: &str) -> EngineStream {
        self.start(request, Class::Routine, 3).await.unwrap()
    }

    fn order(&self, op: OrderOp, name: &str) -> LoadOrder {
        LoadOrder {
            op,
            adapter: adapter(name),
            holder: "node-1".into(),
            fence: 5,
            expected_seq: 0,
            incarnation: self.engine.incarnation(),
            valid_until_unix_ms: unix_ms(self.clock.wall_time()) + 1_000,
        }
    }

    async fn load(&self, name: &str) -> Result<OrderAnswer, OrderError> {
        let order = self.order(OrderOp::Load, name);
        self.engine.order(&self.id, &order).await
    }

    async fn states(&self) -> Vec<(String, AdapterState)> {
        let report = self.engine.report(&self.id).await.unwrap();
        let state = |held: &nutmegsail_base::HeldAdapter| (held.adapter.to_string(), held.state);
        report.adapters.iter().map(state).collect()
    }
}

fn unix_ms(wall: SystemTime) -> u64 {
    let since = wall.duration_since(SystemTime::UNIX_EPOCH).unwrap();
    u64::try_from(since.as_millis()).unwrap()
}

/// What can be read of a stream now, one word an event.
fn read_now(stream: &mut EngineStream) -> Vec<String> {
    let mut words = Vec::new();
    while let Some(Some(event)) = stream.events.next().now_or_never() {
        words.push(match event {
            Ok(StreamEvent::Piece { json, .. }) => {
                let json: serde_json::Value = serde_json::from_slice(&json).unwrap();
                json["choices"][0]["text"].as_str().unwrap().trim().into()
            }
            Ok(StreamEvent::End(end)) => format!("end {}", end.count),
            Err(error) => format!("{error:?}"),
        });
    }
    words
}

#[tokio::test]
async fn a_step_makes_one_event_for_each_request_of_the_batch() {
    let bench = bench(two_batch_slots());
    let mut first = bench.routine("r1").await;
    let mut second = bench.routine("r2").await;
    let mut third = bench.routine("r3").await;
    bench.engine.step();
    assert_eq!(read_now(&mut first), ["r1/a@1/1"]);
    assert_eq!(read_now(&mut second), ["r2/a@1/1"]);
    assert!(read_now(&mut third).is_empty());
    let report = bench.engine.report(&bench.id).await.unwrap();
    assert_eq!((report.in_flight, report.queued), (2, 1));
    (0..3).for_each(|_| bench.engine.step());
    assert_eq!(read_now(&mut first), ["r1/a@1/2", "r1/a@1/3", "end 3"]);
    assert_eq!(read_now(&mut third), ["r3/a@1/1"]);
}

#[tokio::test]
async fn urgent_requests_are_admitted_ahead_of_waiting_routine_ones() {
    let bench = bench(EngineSettings {
        batch_slots: 1,
        ..EngineSettings::default()
    });
    let mut running = bench.routine("running").await;
    bench.engine.step();
    let mut waiting = bench.routine("waiting").await;
    let mut urgent = bench.start("urgent", Class::Urgent, 1).await.unwrap();
    (0..3).for_each(|_| bench.engine.step());
    assert_eq!(read_now(&mut running).last().unwrap(), "end 3");
    assert_eq!(read_now(&mut urgent), ["urgent/a@1/1", "end 1"]);
    assert!(read_now(&mut waiting).is_empty());
}

#[tokio::test]
async fn a_cancelled_or_dropped_run_gives_its_slot_back_at_once() {
    let bench = bench(two_batch_slots());
    let mut cancelled = bench.routine("cancelled").await;
    let dropped = bench.routine("dropped").await;
    bench.engine.step();
    let request = RequestId::from("cancelled");
    let attachment = Attachment::FIRST;
    bench
        .engine
        .cancel(&bench.id, &request, attachment)
        .await
        .unwrap();
    drop(dropped);
    let report = bench.engine.report(&bench.id).await.unwrap();
    assert_eq!((report.in_flight, report.adapters[0].running), (0, 0));
    assert_eq!(read_now(&mut cancelled), ["cancelled/a@1/1", "Broken"]);
}

/// A node freezes; the caller resumes through another one. The first node wakes, sees its caller
/// gone and cancels the run, which is no longer its own.
#[tokio::test]
async fn a_cancellation_for_an_earlier_reader_ends_nothing() {
    let bench = bench(EngineSettings::default());
    let first = bench.routine("r1").await;
    bench.engine.step();
    let request = RequestId::from("r1");
    let resume = bench
        .engine
        .resume(&bench.id, first.incarnation, &request, 1);
    let mut second = resume.await.unwrap();
    assert_eq!(
        (first.attachment, second.attachment),
        (Attachment(1), Attachment(2))
    );
    let cancel = async |attachment| bench.engine.cancel(&bench.id, &request, attachment).await;
    assert_eq!(cancel(first.attachment).await, Ok(CancelAnswer::TakenOver));
    drop(first);
    bench.engine.step();
    assert_eq!(read_now(&mut second), ["r1/a@1/2"]);
    assert_eq!(cancel(second.attachment).await, Ok(CancelAnswer::Ended));
    assert_eq!(read_now(&mut second), ["Broken"]);
}

/// A node that reads an answer dies. The caller comes back through another node, which resumes
/// at the engine after the last event that the caller saw.
#[tokio::test]
async fn a_run_whose_reader_died_is_resumed_after_any_event_for_thirty_seconds() {
    let bench = bench(EngineSettings::default());
    let mut first = bench.routine("r1").await;
    bench.engine.step();
    bench.engine.cut_connections();
    assert_eq!(read_now(&mut first), ["Broken"]);
    drop(first);
    (0..2).for_each(|_| bench.engine.step());

    let incarnation = bench.engine.incarnation();
    let request = RequestId::from("r1");
    let resume = |at| bench.engine.resume(&bench.id, incarnation, &request, at);
    let mut resumed = resume(1).await.unwrap();
    assert_eq!(read_now(&mut resumed), ["r1/a@1/2", "r1/a@1/3", "end 3"]);
    drop(resumed);
    bench.clock.advance(Duration::from_secs(29));
    assert_eq!(
        read_now(&mut resume(2).await.unwrap()),
        ["r1/a@1/3", "end 3"]
    );
    bench.clock.advance(Duration::from_secs(30));
    let gone = resume(2).await.unwrap_err();
    assert_eq!(gone, UpstreamError::Failed { status: 404 });
    assert_eq!(bench.engine.ledger().runs_of("r1"), 1);
}

#[tokio::test]
async fn a_cancelled_run_goes_on_after_its_last_event_when_it_is_resumed() {
    let bench = bench(EngineSettings::default());
    let stream = bench.routine("r1").await;
    bench.engine.step();
    drop(stream);
    bench.engine.step();
    let request = RequestId::from("r1");
    let incarnation = bench.engine.incarnation();
    let resumed = bench.engine.resume(&bench.id, incarnation, &request, 1);
    let mut resumed = resumed.await.unwrap();
    assert!(read_now(&mut resumed).is_empty());
    (0..2).for_each(|_| bench.engine.step());
    assert_eq!(read_now(&mut resumed), ["r1/a@1/2", "r1/a@1/3", "end 3"]);
}

#[tokio::test]
async fn a_cold_restart_holds_nothing_and_breaks_what_ran() {
    let bench = bench(EngineSettings::default());
    let old = bench.engine.incarnation();
    let stale_order = bench.order(OrderOp::Load, "b");
    let mut stream = bench.routine("r1").await;
    bench.engine.step();
    bench.engine.restart();

    assert_eq!(read_now(&mut stream), ["r1/a@1/1", "Broken"]);
    assert_ne!(bench.engine.incarnation(), old);
    assert_eq!(bench.states().await, []);
    let request = RequestId::from("r1");
    for incarnation in [old, bench.engine.incarnation()] {
        let resumed = bench.engine.resume(&bench.id, incarnation, &request, 1);
        let status = UpstreamError::Failed { status: 404 };
        assert_eq!(resumed.await.unwrap_err(), status);
    }
    let order = bench.engine.order(&bench.id, &stale_order).await;
    assert_eq!(order, Err(OrderError::Stale));
    assert_eq!(bench.engine.ledger().runs_of("r1"), 1);
}

/// An engine restarts while a caller reads, and the same request runs there anew. A resume with
/// the old incarnation would splice two generations into one answer.
#[tokio::test]
async fn a_resume_never_reaches_the_run_of_another_incarnation() {
    let bench = bench(EngineSettings::default());
    let old = bench.engine.incarnation();
    let first = bench.routine("r1").await;
    bench.engine.restart();
    bench.engine.preload(adapter("a"));
    let _second = bench.routine("r1").await;
    let request = RequestId::from("r1");
    let resumed = bench.engine.resume(&bench.id, old, &request, 0).await;
    assert_eq!(resumed.unwrap_err(), UpstreamError::Failed { status: 404 });
    drop(first);
    assert_eq!(bench.engine.ledger().runs_of("r1"), 2);
}

/// A node sends a request a second time to the same engine. The ledger shows both runs, and the
/// reader of the first one does not cancel the second when it goes away.
#[tokio::test]
async fn a_second_run_of_one_request_is_counted_and_displaces_the_first() {
    let bench = bench(EngineSettings::default());
    let first = bench.routine("r1").await;
    bench.engine.step();
    let mut second = bench.routine("r1").await;
    drop(first);
    bench.engine.step();
    assert_eq!(read_now(&mut second), ["r1/a@1/1"]);
    assert_eq!(bench.engine.ledger().runs_of("r1"), 2);
}

#[tokio::test]
async fn a_load_takes_its_time_and_a_failing_one_frees_its_slot_half_way() {
    let bench = bench(EngineSettings::default());
    assert_eq!(bench.load("b").await, Ok(OrderAnswer::Accepted));
    assert_eq!(bench.load("b").await, Ok(OrderAnswer::AlreadyDone));
    bench.clock.advance(Duration::from_millis(299));
    assert_eq!(bench.states().await[1].1, AdapterState::Loading);
    bench.clock.advance(Duration::from_millis(1));
    assert_eq!(bench.states().await[1].1, AdapterState::Ready);

    bench.engine.set_knobs(Knobs {
        load_failure_share: 1.0,
        ..Knobs::default()
    });
    let mut order = bench.order(OrderOp::Load, "c");
    order.expected_seq = 1;
    let accepted = bench.engine.order(&bench.id, &order).await;
    assert_eq!(accepted, Ok(OrderAnswer::Accepted));
    bench.clock.advance(Duration::from_millis(150));
    let report = bench.engine.report(&bench.id).await.unwrap();
    assert_eq!((report.adapters.len(), report.order_seq), (2, 2));
}

#[rstest]
#[case::old_sequence(|order: &mut LoadOrder| order.expected_seq = 1, Err(OrderError::Stale))]
#[case::other_incarnation(
    |order: &mut LoadOrder| order.incarnation = Incarnation(0), Err(OrderError::Stale)
)]
#[case::expired(|order: &mut LoadOrder| order.valid_until_unix_ms = 0, Err(OrderError::Stale))]
#[case::old_fence(|order: &mut LoadOrder| order.fence = 4, Err(OrderError::Fenced))]
#[case::in_use(|order: &mut LoadOrder| order.op = OrderOp::Unload, Err(OrderError::InUse))]
#[case::no_slot(|order: &mut LoadOrder| order.adapter = adapter("c"), Err(OrderError::NoSlot))]
#[case::held(|_: &mut LoadOrder| (), Ok(OrderAnswer::AlreadyDone))]
#[tokio::test]
async fn an_order_that_rests_on_an_old_view_changes_nothing(
    #[case] spoil: fn(&mut LoadOrder),
    #[case] expected: Result<OrderAnswer, OrderError>,
) {
    let bench = bench(EngineSettings {
        adapter_slots: 2,
        ..EngineSettings::default()
    });
    bench.engine.preload(adapter("b"));
    let _in_use = bench.routine("r1").await;
    let sets_fence = bench.order(OrderOp::Load, "a");
    let held = bench.engine.order(&bench.id, &sets_fence).await;
    assert_eq!(held, Ok(OrderAnswer::AlreadyDone));
    let before = bench.states().await;

    // A stale order has to be one that would change something.
    let mut order = match expected {
        Err(OrderError::Stale) => bench.order(OrderOp::Unload, "b"),
        _ => bench.order(OrderOp::Load, "a"),
    };
    spoil(&mut order);
    assert_eq!(bench.engine.order(&bench.id, &order).await, expected);
    assert_eq!(bench.states().await, before);
}

/// A paused owner wakes after another node took its engine over, and sends an old order. It shows
/// as an adapter going away under its new owner. Engines that check fencing numbers refuse it;
/// the others carry it out.
#[rstest]
#[case::checks(true, Err(OrderError::Fenced))]
#[case::ignores(false, Ok(OrderAnswer::Accepted))]
#[tokio::test]
async fn an_old_fencing_number_is_refused_only_by_engines_that_check(
    #[case] checks_fencing: bool,
    #[case] expected: Result<OrderAnswer, OrderError>,
) {
    let bench = bench(EngineSettings {
        checks_fencing,
        ..EngineSettings::default()
    });
    assert_eq!(bench.load("b").await, Ok(OrderAnswer::Accepted));
    let mut old = bench.order(OrderOp::Unload, "a");
    old.fence = 4;
    old.expected_seq = 1;
    assert_eq!(bench.engine.order(&bench.id, &old).await, expected);
}

#[tokio::test]
async fn a_late_order_is_carried_out_after_its_answer_was_lost() {
    let bench = bench(EngineSettings::default());
    bench.engine.set_knobs(Knobs {
        late_share: 1.0,
        late_ms: 500,
        ..Knobs::default()
    });
    assert_eq!(bench.load("b").await, Err(OrderError::Ambiguous));
    assert_eq!(bench.states().await.len(), 1);
    bench.clock.advance(Duration::from_millis(500));
    assert_eq!(bench.states().await.len(), 2);
}

#[tokio::test]
async fn reports_lag() {
    let bench = bench(EngineSettings {
        report_lag: Duration::from_millis(200),
        ..EngineSettings::default()
    });
    let _stream = bench.routine("r1").await;
    let queued = async || bench.engine.report(&bench.id).await.unwrap().queued;
    bench.clock.advance(Duration::from_millis(199));
    assert_eq!(queued().await, 0);
    bench.clock.advance(Duration::from_millis(1));
    assert_eq!(queued().await, 1);
}

#[rstest]
#[case::full(Knobs { full: true, ..Knobs::default() }, UpstreamError::Full, 0)]
#[case::leaving(Knobs { leaving: true, ..Knobs::default() }, UpstreamError::Leaving, 0)]
#[case::away(Knobs { outage: true, ..Knobs::default() }, UpstreamError::Unreachable, 0)]
#[case::wrong_adapter(
    Knobs { wrong_adapter_share: 1.0, ..Knobs::default() },
    UpstreamError::WrongAdapter { asked: adapter("a"), answered: "a@2".into() },
    1
)]
#[tokio::test]
async fn a_refusal_did_not_run_and_a_wrong_adapter_did(
    #[case] knobs: Knobs,
    #[case] expected: UpstreamError,
    #[case] runs: u32,
) {
    let bench = bench(EngineSettings::default());
    bench.engine.set_knobs(knobs);
    let refused = bench.start("r1", Class::Urgent, 1).await;
    assert_eq!(refused.unwrap_err(), expected);
    assert_eq!(bench.engine.ledger().runs_of("r1"), runs);
}

#[tokio::test]
async fn a_broken_stream_leaves_a_run_that_can_be_resumed() {
    let bench = bench(EngineSettings::default());
    bench.engine.set_knobs(Knobs {
        broken_share: 1.0,
        ..Knobs::default()
    });
    let mut stream = bench.routine("r1").await;
    (0..3).for_each(|_| bench.engine.step());
    let read = read_now(&mut stream);
    assert_eq!(read.last().unwrap(), "Broken");
    bench.engine.set_knobs(Knobs::default());
    let after = u64::try_from(read.len() - 1).unwrap();
    let incarnation = bench.engine.incarnation();
    let request = RequestId::from("r1");
    let resumed = bench.engine.resume(&bench.id, incarnation, &request, after);
    let rest = read_now(&mut resumed.await.unwrap());
    let whole: Vec<_> = read[..read.len() - 1].iter().chain(&rest).collect();
    assert_eq!(whole, ["r1/a@1/1", "r1/a@1/2", "r1/a@1/3", "end 3"]);
}

#[tokio::test(start_paused = true)]
async fn the_step_loop_makes_an_event_each_step_and_rests_when_idle() {
    let clock = Arc::new(TokioClock::default());
    let store = FakeWeightStore::new(WeightStoreSettings::default(), clock.now());
    let id = UpstreamId::from("127.0.0.1:9000");
    let settings = EngineSettings::default();
    let engine = FakeEngine::new(id.clone(), settings, clock, store.into(), 3);
    engine.preload(adapter("a"));
    engine.start_stepping();
    let bench = Bench {
        clock: Arc::default(),
        id,
        engine,
    };
    for request in ["r1", "r2"] {
        tokio::time::sleep(Duration::from_secs(60)).await;
        let begun = tokio::time::Instant::now();
        let events = bench.routine(request).await.events.collect::<Vec<_>>();
        assert_eq!(events.await.len(), 4);
        // Time is paused, so this is exact: three steps of 20 ms.
        assert_eq!(begun.elapsed(), Duration::from_millis(60));
    }
}
