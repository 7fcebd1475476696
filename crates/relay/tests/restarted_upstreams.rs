//! Upstreams that restart under their name while the list of upstreams still shows the process before.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod common;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::plain;
use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{Dispatcher, Upstream, UpstreamNotices};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

const GRACE: Duration = Duration::from_millis(1_600);

/// How long after its start a process is listed, at most.
const MAX_LISTING_DELAY_MS: u64 = 3_600;

/// The longest backoff that a process asks for.
const MAX_BACKOFF_MS: u64 = 4_500;

/// The same with the time over which nodes return after a backoff.
const LONGEST_BACKOFF: Duration = Duration::from_millis(5_000);

#[derive(Clone, Debug)]
enum Event {
    /// The process ends, and the next one, which is listed after so many milliseconds, starts.
    Restart(u64),
    /// The process starts to leave.
    Leave,
    /// The process starts to refuse requests, and asks for a backoff of so many milliseconds.
    Refuse(u64),
    /// The process accepts requests again.
    Accept,
    /// A request is sent, if that is allowed.
    Request,
    /// The answer to the oldest request arrives.
    Answer,
    /// The list is read.
    ReadList,
    /// The health checks that are due are answered.
    Check,
    /// The control thread publishes which upstreams are leaving.
    Publish,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        1 => (0..MAX_LISTING_DELAY_MS).prop_map(Event::Restart),
        1 => Just(Event::Leave),
        1 => (0..MAX_BACKOFF_MS).prop_map(Event::Refuse),
        1 => Just(Event::Accept),
        6 => Just(Event::Request),
        6 => Just(Event::Answer),
        3 => Just(Event::ReadList),
        2 => Just(Event::Check),
        2 => Just(Event::Publish),
    ]
}

/// A process of the upstream.
#[derive(Clone, Copy)]
struct Process {
    listed_from: Instant,
    is_leaving: bool,
    backoff: Option<Duration>,
}

/// A request on its way back: the id that it was sent under, the process that it reached, and what its answer says about
/// the process.
struct InFlight {
    sent_to: UpstreamId,
    reached: usize,
    announces_leaving: bool,
    backoff: Option<Duration>,
}

/// One upstream, and a node that sends it requests.
struct World {
    processes: Vec<Process>,
    in_flight: Vec<InFlight>,
    dispatcher: Dispatcher,
    notices: UpstreamNotices,
    listed: usize,
    list_read_at: Instant,
    /// When the node received the first announcement of each process that is leaving.
    announced: HashMap<usize, Instant>,
    /// The end of the longest backoff that the node received from each process.
    backoff_ends: HashMap<usize, Instant>,
    now: Instant,
    random: ChaCha8Rng,
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        let mut dispatcher = Dispatcher::new("here".into());
        dispatcher.set_leaving_grace(GRACE);
        let mut world = Self {
            processes: vec![Process {
                listed_from: now,
                is_leaving: false,
                backoff: None,
            }],
            in_flight: Vec::new(),
            dispatcher,
            notices: UpstreamNotices::default(),
            listed: 0,
            list_read_at: now,
            announced: HashMap::new(),
            backoff_ends: HashMap::new(),
            now,
            random: ChaCha8Rng::seed_from_u64(41),
        };
        world.publish();
        world
    }

    fn upstream(process: usize) -> Upstream {
        let started_ms = Some(process as u64);
        Upstream {
            id: Upstream::id_of("u", started_ms),
            started_ms,
            ..plain("u")
        }
    }

    fn running(&self) -> usize {
        self.processes.len() - 1
    }

    /// Applies the list, and which upstreams are certainly leaving, to the dispatcher.
    fn publish(&mut self) {
        let upstream = Self::upstream(self.listed);
        let upstream = match self.notices.is_confirmed_leaving(&upstream.id) {
            true => upstream.leaving(),
            false => upstream,
        };
        self.dispatcher
            .set_upstreams(&[Arc::new(upstream)], self.now);
        self.apply_notices();
    }

    /// Applies the notices to the dispatcher, as the traffic thread does before each request.
    fn apply_notices(&mut self) {
        let notices = &self.notices;
        self.dispatcher
            .set_carried_leaving(|id| notices.carried_leaving_since(id));
        self.dispatcher.set_backoffs(|id| notices.backoff_until(id));
    }

    fn may_send(&self) -> bool {
        let id = Self::upstream(self.listed).id;
        self.dispatcher.may_send(&id, self.now)
    }

    fn read_list(&mut self) {
        let listed = self.processes.iter();
        let listed = listed.filter(|process| process.listed_from <= self.now);
        let newest = listed.count() - 1;
        for next in self.listed + 1..=newest {
            let (before, next) = (Self::upstream(next - 1).id, Self::upstream(next).id);
            self.notices
                .record_successor(&before, &next, self.list_read_at, self.now);
        }
        self.listed = newest;
        self.list_read_at = self.now;
        self.publish();
    }

    fn request(&mut self) -> Result<(), TestCaseError> {
        self.apply_notices();
        if !self.may_send() {
            return Ok(());
        }
        let reached = self.running();
        let announced = self.announced.get(&reached);
        prop_assert!(
            announced.is_none_or(|at| self.now < *at + GRACE),
            "a request reached process {}, which is leaving",
            reached
        );
        let backoff_end = self.backoff_ends.get(&reached);
        prop_assert!(
            backoff_end.is_none_or(|end| self.now >= *end),
            "a request reached process {} in its backoff",
            reached
        );
        self.in_flight.push(InFlight {
            sent_to: Self::upstream(self.listed).id,
            reached,
            announces_leaving: self.processes[reached].is_leaving,
            backoff: self.processes[reached].backoff,
        });
        Ok(())
    }

    fn answer(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let answer = self.in_flight.remove(0);
        let (id, now) = (&answer.sent_to, self.now);
        if answer.announces_leaving {
            self.announced.entry(answer.reached).or_insert(now);
            self.dispatcher.record_leaving(id, now);
            self.notices.record_leaving(id, now);
        }
        if let Some(backoff) = answer.backoff {
            let end = self.backoff_ends.entry(answer.reached).or_insert(now);
            *end = (*end).max(now + backoff);
            self.notices
                .record_backoff(id, backoff, now, &mut self.random);
        }
    }

    fn check(&mut self) {
        let id = Self::upstream(self.listed).id;
        if !self.notices.unconfirmed().any(|known| *known == id) {
            return;
        }
        let running = self.running();
        if self.processes[running].is_leaving {
            self.announced.entry(running).or_insert(self.now);
            self.notices.record_leaving(&id, self.now);
        } else {
            self.notices.record_staying(&id);
        }
    }

    fn apply(&mut self, event: &Event) -> Result<(), TestCaseError> {
        match event {
            Event::Restart(listed_after_ms) => {
                // Entries appear in the order in which their processes started.
                let earliest = self.processes[self.running()].listed_from;
                let listed_from = self.now + Duration::from_millis(*listed_after_ms);
                self.processes.push(Process {
                    listed_from: listed_from.max(earliest),
                    is_leaving: false,
                    backoff: None,
                });
            }
            Event::Leave => {
                let running = self.running();
                self.processes[running].is_leaving = true;
            }
            Event::Refuse(backoff_ms) => {
                let running = self.running();
                self.processes[running].backoff = Some(Duration::from_millis(*backoff_ms));
            }
            Event::Accept => {
                let running = self.running();
                self.processes[running].backoff = None;
            }
            Event::Request => self.request()?,
            Event::Answer => self.answer(),
            Event::ReadList => self.read_list(),
            Event::Check => self.check(),
            Event::Publish => self.publish(),
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against requests to a process that announced its leave, or requested a backoff, while the list still showed
    // the process before it, and against a process that gets none because the one before it did so.
    #[test]
    fn a_notice_holds_for_the_process_that_sent_it(
        events in prop::collection::vec((event(), 0u64..500), 1..80),
    ) {
        let mut world = World::new();
        for (event, pause_ms) in events {
            world.now += Duration::from_millis(pause_ms);
            world.apply(&event)?;
        }
        world.now += Duration::from_millis(MAX_LISTING_DELAY_MS);
        while !world.in_flight.is_empty() {
            world.answer();
        }
        world.read_list();
        world.check();
        world.publish();
        world.now += LONGEST_BACKOFF;
        let stays = !world.processes[world.running()].is_leaving;
        prop_assert!(!stays || world.may_send(), "the process is not leaving");
    }
}
