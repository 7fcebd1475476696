//! Upstreams that announce that they are leaving, with outdated lists and updates from other nodes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{engine, plain};
use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{
    DispatchRequest, Dispatcher, ModelRef, PromptPrefix, SoftwareRule, Upstream, UpstreamNotices,
    UpstreamState, VersionRule,
};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const GRACE: Duration = Duration::from_millis(1_000);

/// How long it takes until an update from another node or a later list applies.
const TICK: Duration = Duration::from_millis(100);

const UPSTREAMS: usize = 4;

#[derive(Clone, Debug)]
enum Event {
    /// The current process announces in an answer that it is leaving.
    Announced(usize),
    /// An update from another node says that it is leaving.
    PeerUpdate(usize),
    /// The process ends and another one starts under its name.
    Restart(usize),
    /// A list of any age is read. For each upstream in it: whether it is ready, and whether the
    /// entry is of the previous process.
    List(Vec<Option<(bool, bool)>>),
    Ask,
}

fn event() -> impl Strategy<Value = Event> {
    let entry = prop::option::weighted(0.8, (any::<bool>(), any::<bool>()));
    prop_oneof![
        1 => (0..UPSTREAMS).prop_map(Event::Announced),
        1 => (0..UPSTREAMS).prop_map(Event::PeerUpdate),
        1 => (0..UPSTREAMS).prop_map(Event::Restart),
        3 => prop::collection::vec(entry, UPSTREAMS).prop_map(Event::List),
        6 => Just(Event::Ask),
    ]
}

/// A node's dispatcher and notices, with a set of upstreams.
struct World {
    dispatcher: Dispatcher,
    notices: UpstreamNotices,
    starts: [u64; UPSTREAMS],
    listed: Vec<Upstream>,
    /// When each leaving process must stop getting requests.
    no_requests_from: HashMap<UpstreamId, Instant>,
    now: Instant,
    is_engine: bool,
}

impl World {
    fn new(is_engine: bool) -> Self {
        let mut dispatcher = Dispatcher::new("here".into());
        dispatcher.set_leaving_grace(GRACE);
        let mut world = Self {
            dispatcher,
            notices: UpstreamNotices::default(),
            starts: [1; UPSTREAMS],
            listed: Vec::new(),
            no_requests_from: HashMap::new(),
            now: Instant::now(),
            is_engine,
        };
        world.list(&[Some((true, false)); UPSTREAMS]);
        world
    }

    fn upstream(&self, index: usize, started: u64) -> Upstream {
        let name = format!("u{index}");
        let upstream = match self.is_engine {
            true => engine(&name, &["a1"]),
            false => plain(&name),
        };
        Upstream {
            id: Upstream::id_of(&name, Some(started)),
            started_ms: Some(started),
            ..upstream
        }
    }

    fn list(&mut self, entries: &[Option<(bool, bool)>]) {
        let entries = entries.iter().enumerate();
        let listed = entries.filter_map(|(index, entry)| {
            let (is_ready, is_previous) = (*entry)?;
            let started = self.starts[index] - u64::from(is_previous && self.starts[index] > 1);
            let state = match is_ready {
                true => UpstreamState::Ready,
                false => UpstreamState::Draining { remaining: None },
            };
            let upstream = self.upstream(index, started);
            Some(Upstream { state, ..upstream })
        });
        self.listed = listed.collect();
        self.publish();
    }

    /// Applies the list and the notices to the dispatcher, as a traffic thread does.
    fn publish(&mut self) {
        let known = self.listed.iter().cloned().map(|upstream| {
            Arc::new(match self.notices.is_leaving(&upstream.id) {
                true => upstream.leaving(),
                false => upstream,
            })
        });
        let known: Vec<Arc<Upstream>> = known.collect();
        self.dispatcher.set_upstreams(&known, self.now);
    }

    fn apply(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match event {
            Event::Announced(index) => {
                let id = self.upstream(*index, self.starts[*index]).id;
                self.dispatcher.record_leaving(&id, self.now);
                self.notices.record_leaving(&id, self.now);
                self.no_requests_from.entry(id).or_insert(self.now + GRACE);
            }
            Event::PeerUpdate(index) => {
                let id = self.upstream(*index, self.starts[*index]).id;
                self.notices.record_leaving(&id, self.now);
                self.now += TICK;
                self.publish();
                self.no_requests_from.entry(id).or_insert(self.now);
            }
            Event::Restart(index) => self.starts[*index] += 1,
            Event::List(entries) => self.list(entries),
            Event::Ask => self.ask()?,
        }
        Ok(())
    }

    fn ask(&self) -> Result<(), TestCaseError> {
        let model = self.is_engine.then(|| ModelRef::parse("base/a1"));
        let service = self.upstream(0, 1).service;
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
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let stays =
            |upstream: &&Upstream| upstream.takes_work() && !self.notices.is_leaving(&upstream.id);
        let has_staying = self.listed.iter().any(|upstream| stays(&upstream));
        match self.dispatcher.choose(&need, self.now, &mut random) {
            Ok(choice) => {
                let id = &choice.upstream.id;
                let deadline = self.no_requests_from.get(id);
                prop_assert!(
                    deadline.is_none_or(|from| self.now < *from),
                    "{} is leaving",
                    id
                );
                prop_assert!(
                    !has_staying || !choice.is_leaving,
                    "{} is leaving, others are not",
                    id
                );
                let is_listed = |listed: &Upstream| listed.id == *id && listed.takes_work();
                prop_assert!(
                    self.listed.iter().any(is_listed),
                    "{} is not listed as ready",
                    id
                );
            }
            Err(_) => prop_assert!(!has_staying, "others take work"),
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

    // Guards against sending requests to a leaving process after its grace period, whatever is read
    // or received later.
    #[test]
    fn a_leaving_process_gets_no_requests_after_its_grace_period(
        events in prop::collection::vec((event(), 0u64..700), 1..60),
        is_engine in any::<bool>(),
    ) {
        let mut world = World::new(is_engine);
        for (event, pause_ms) in events {
            world.now += Duration::from_millis(pause_ms);
            world.apply(&event)?;
        }
    }
}

// Guards against sending a request after the grace period to an upstream that was chosen before it
// announced that it is leaving.
#[rstest]
#[case::within_the_grace_period(Duration::from_millis(900), true)]
#[case::after_the_grace_period(Duration::from_millis(1_000), false)]
fn a_chosen_upstream_is_checked_again_before_sending(
    #[case] after: Duration,
    #[case] may_send: bool,
) {
    let mut world = World::new(false);
    let id = world.upstream(0, 1).id;
    let now = world.now;
    assert!(world.dispatcher.may_send(&id, now + after));
    world.dispatcher.record_leaving(&id, now);
    assert_eq!(world.dispatcher.may_send(&id, now + after), may_send);
    world.listed.clear();
    world.publish();
    assert!(!world.dispatcher.may_send(&id, now), "it is not listed");
}
