//! Upstreams that request a backoff, and the requests sent to them during and after it.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{engine, plain};
use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{
    DispatchRequest, Dispatcher, ModelRef, Outcome, PromptPrefix, SoftwareRule, Upstream,
    UpstreamNotices, VersionRule, jittered_retry_after,
};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const UPSTREAMS: usize = 3;

#[derive(Clone, Debug)]
enum Event {
    /// A request arrives, and is sent if possible.
    Ask,
    /// The upstream refuses its oldest request, or one from another node, and requests a backoff of
    /// so many milliseconds.
    Refuse(usize, u64),
    /// It starts to answer its oldest request.
    Answer(usize),
    /// Its oldest request fails.
    Fail(usize),
    /// A list without it is read, then one with it.
    Relist(usize),
}

fn event() -> impl Strategy<Value = Event> {
    let wait_ms = prop_oneof![Just(0), 1..400_u64, 400..4_000_u64, Just(u64::MAX)];
    prop_oneof![
        8 => Just(Event::Ask),
        2 => (0..UPSTREAMS, wait_ms).prop_map(|(index, wait_ms)| Event::Refuse(index, wait_ms)),
        3 => (0..UPSTREAMS).prop_map(Event::Answer),
        1 => (0..UPSTREAMS).prop_map(Event::Fail),
        1 => (0..UPSTREAMS).prop_map(Event::Relist),
    ]
}

/// A node's dispatcher and notices, with a set of upstreams.
struct World {
    dispatcher: Dispatcher,
    notices: UpstreamNotices,
    upstreams: Vec<Upstream>,
    /// Earliest end of the backoff of each upstream.
    earliest_ends: [Option<Instant>; UPSTREAMS],
    /// Requests sent to each upstream since its last backoff ended, until one is answered.
    trials: [Option<Vec<Instant>>; UPSTREAMS],
    in_flight: [usize; UPSTREAMS],
    now: Instant,
    random: ChaCha8Rng,
}

impl World {
    fn new(is_engine: bool) -> Self {
        let named = |index: usize| match is_engine {
            true => engine(&format!("u{index}"), &["a1"]),
            false => plain(&format!("u{index}")),
        };
        let mut world = Self {
            dispatcher: Dispatcher::new("here".into()),
            notices: UpstreamNotices::default(),
            upstreams: (0..UPSTREAMS).map(named).collect(),
            earliest_ends: [None; UPSTREAMS],
            trials: Default::default(),
            in_flight: [0; UPSTREAMS],
            now: Instant::now(),
            random: ChaCha8Rng::seed_from_u64(3),
        };
        world.list(|_| true);
        world
    }

    fn list(&mut self, is_listed: impl Fn(usize) -> bool) {
        let listed = self.upstreams.iter().enumerate();
        let listed: Vec<Arc<Upstream>> = listed
            .filter(|(index, _)| is_listed(*index))
            .map(|(_, upstream)| Arc::new(upstream.clone()))
            .collect();
        self.dispatcher.set_upstreams(&listed, self.now);
        let notices = &self.notices;
        self.dispatcher.set_backoffs(|id| notices.backoff_until(id));
    }

    fn id(&self, index: usize) -> UpstreamId {
        self.upstreams[index].id.clone()
    }

    fn apply(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match event {
            Event::Ask => self.ask()?,
            Event::Refuse(index, wait_ms) => self.refuse(*index, Duration::from_millis(*wait_ms)),
            Event::Answer(index) if self.in_flight[*index] > 0 => {
                let (id, took) = (self.id(*index), Duration::from_millis(20));
                self.dispatcher
                    .record_answer_started(&id, 20.0, took, self.now);
                self.dispatcher
                    .record_outcome(&id, Outcome::Answered, self.now);
                self.end(*index);
                if self.earliest_ends[*index].is_none_or(|until| until <= self.now) {
                    self.trials[*index] = None;
                }
            }
            Event::Fail(index) if self.in_flight[*index] > 0 => {
                let id = self.id(*index);
                self.dispatcher
                    .record_outcome(&id, Outcome::Failed, self.now);
                self.end(*index);
                self.trials[*index] = self.trials[*index].as_ref().map(|_| Vec::new());
            }
            Event::Answer(_) | Event::Fail(_) => {}
            Event::Relist(index) => {
                self.in_flight[*index] = 0;
                self.list(|listed| listed != *index);
                self.list(|_| true);
                self.trials[*index] = self.trials[*index].as_ref().map(|_| Vec::new());
            }
        }
        Ok(())
    }

    fn refuse(&mut self, index: usize, backoff: Duration) {
        let id = self.id(index);
        self.dispatcher.record_outcome(&id, Outcome::Full, self.now);
        if self.in_flight[index] > 0 {
            self.end(index);
        }
        if !backoff.is_zero() {
            let until = self
                .notices
                .record_backoff(&id, backoff, self.now, &mut self.random);
            self.dispatcher.record_backoff(&id, until);
            let earliest_end = self.now + backoff.min(Duration::from_secs(86_400));
            self.earliest_ends[index] = self.earliest_ends[index].max(Some(earliest_end));
            self.trials[index] = Some(Vec::new());
        } else if self.trials[index].is_some() {
            self.trials[index] = Some(Vec::new());
        }
    }

    fn end(&mut self, index: usize) {
        let id = self.id(index);
        self.dispatcher.record_ended(&id);
        self.in_flight[index] -= 1;
    }

    fn ask(&mut self) -> Result<(), TestCaseError> {
        let is_engine = self.upstreams[0].service.as_str() == "engines";
        let model = is_engine.then(|| ModelRef::parse("base/a1"));
        let service = self.upstreams[0].service.clone();
        let need = DispatchRequest {
            service: &service,
            model: model.as_ref(),
            version: VersionRule::ANY,
            software: SoftwareRule::Any,
            prompt_tokens: 0,
            prompt: &PromptPrefix::default(),
            longest_pause: None,
            tried: &[],
        };
        let now = self.now;
        let in_backoff = |index: usize| self.earliest_ends[index].is_some_and(|until| now < until);
        match self.dispatcher.choose(&need, now, &mut self.random) {
            Ok(choice) => {
                let index = (0..UPSTREAMS)
                    .find(|index| self.id(*index) == choice.upstream.id)
                    .unwrap();
                prop_assert!(!in_backoff(index), "{} is in a backoff", choice.upstream.id);
                self.dispatcher.record_sent(&choice.upstream.id, 0, now);
                self.in_flight[index] += 1;
                if let Some(sent) = &mut self.trials[index] {
                    sent.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
                    sent.push(now);
                    prop_assert!(sent.len() <= 1, "{} at once after a backoff", sent.len());
                }
            }
            Err(_) => {
                let ends = self.dispatcher.backoff_ends(&need, now);
                let all = (0..UPSTREAMS).all(in_backoff);
                prop_assert!(!all || ends.is_some(), "no return time is given");
                let first = (0..UPSTREAMS)
                    .filter_map(|index| self.earliest_ends[index])
                    .min();
                prop_assert!(!all || ends >= first, "the return time is too early");
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(33),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against requests to an upstream during a backoff, and against sending it more than one
    // when the backoff ends.
    #[test]
    fn an_upstream_gets_nothing_during_a_backoff_and_one_trial_after_it(
        events in prop::collection::vec((event(), 0u64..500), 1..80),
        is_engine in any::<bool>(),
    ) {
        let mut world = World::new(is_engine);
        for (event, pause_ms) in events {
            world.now += Duration::from_millis(pause_ms);
            world.apply(&event)?;
        }
    }

    // Guards against telling callers to return before they can be served, or routine ones before
    // urgent ones.
    #[test]
    fn callers_return_after_the_wait_and_urgent_ones_first(
        wait_ms in 0u64..100_000,
        rank in 0u8..4,
        seed in any::<u64>(),
    ) {
        let (wait, mut random) = (Duration::from_millis(wait_ms), ChaCha8Rng::seed_from_u64(seed));
        let urgent = jittered_retry_after(wait, rank, &mut random);
        let routine = jittered_retry_after(wait, rank + 1, &mut random);
        prop_assert!(wait <= urgent && urgent <= routine);
    }
}

// Guards against ending a backoff because of a later, shorter one or an answer to an earlier
// request.
#[rstest]
#[case::a_shorter_backoff(|world: &mut World| world.refuse(0, Duration::from_millis(100)))]
#[case::an_answer(|world: &mut World| world.apply(&Event::Answer(0)).unwrap())]
fn a_backoff_is_not_shortened(#[case] event_during_backoff: fn(&mut World)) {
    let mut world = World::new(false);
    let id = world.id(0);
    world.dispatcher.record_sent(&id, 0, world.now);
    world.dispatcher.record_sent(&id, 0, world.now);
    world.in_flight[0] = 2;
    let backoff = Duration::from_secs(3);
    world.refuse(0, backoff);
    event_during_backoff(&mut world);
    let late = Duration::from_millis(2_900);
    assert!(!world.dispatcher.may_send(&id, world.now + late));
    assert!(
        world
            .dispatcher
            .may_send(&id, world.now + backoff.mul_f64(1.2))
    );
}
