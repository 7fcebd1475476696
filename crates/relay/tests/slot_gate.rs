//! The slot gate of a plain upstream under load.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use nutmegsail_relay::{SlotAnswer, SlotGate, SlotRequest};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);
const OBJECTIVE_MS: u32 = 300;
const PATIENCE_MS: u32 = 3_000;

fn fresh() -> SlotRequest {
    SlotRequest {
        due_in_ms: OBJECTIVE_MS,
        wait_limit_ms: PATIENCE_MS,
        may_queue: true,
        priority: 0,
    }
}

fn late() -> SlotRequest {
    SlotRequest {
        due_in_ms: 0,
        ..fresh()
    }
}

/// Outcomes of callers' requests.
#[derive(Default)]
struct Outcomes {
    asked: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

/// Simulates an upstream of `slots` that gets a multiple of the requests it can serve. A refused
/// caller returns once, and is late then.
struct Simulation {
    slots: u32,
    run_time_ms: f64,
    /// Delay from a grant to the request's arrival at the upstream, and from its end to the
    /// release.
    delay_ms: u32,
    random: ChaCha8Rng,
    gate: SlotGate<u32>,
    start: Instant,
    asked_at: HashMap<u32, u32>,
    sent_at: HashMap<u32, u32>,
    /// Requests on their way to the upstream, and when they arrive.
    in_transit: VecDeque<(u32, u32)>,
    running: Vec<(u32, u32)>,
    /// Ended requests that are not yet released, and when they will be.
    ended: Vec<(u32, u32)>,
    outcomes: Vec<Outcomes>,
}

impl Simulation {
    fn new(slots: u32, run_time_ms: f64, delay_ms: u32, seed: u64) -> Self {
        Self {
            slots,
            run_time_ms,
            delay_ms,
            random: ChaCha8Rng::seed_from_u64(seed),
            gate: SlotGate::new(slots),
            start: Instant::now(),
            asked_at: HashMap::new(),
            sent_at: HashMap::new(),
            in_transit: VecDeque::new(),
            running: Vec::new(),
            ended: Vec::new(),
            outcomes: Vec::new(),
        }
    }

    fn run(mut self, steps: u32, load: impl Fn(u32) -> f64) -> Vec<Outcomes> {
        self.outcomes = (0..steps / 1_000 + 1)
            .map(|_| Outcomes::default())
            .collect();
        let mut returns: Vec<(u32, u32)> = Vec::new();
        let mut number = 0;
        for step in 0..steps {
            self.end(step);
            let rate = load(step) * f64::from(self.slots) / self.run_time_ms;
            if self.random.random::<f64>() < rate {
                self.asked_at.insert(number, step);
                self.outcomes[(step / 1_000) as usize].asked += 1;
                if let Some(wait_ms) = self.ask(number, fresh(), step) {
                    returns.push((step + wait_ms.max(50), number));
                }
                number += 1;
            }
            let due: Vec<(u32, u32)> = returns.extract_if(.., |(at, _)| *at <= step).collect();
            for (_, id) in due {
                if self.ask(id, late(), step).is_some() {
                    self.outcomes_of(id).refused += 1;
                }
            }
            self.start_requests(step);
        }
        self.outcomes
    }

    /// Outcomes of the callers that asked in the same second as `id`.
    fn outcomes_of(&mut self, id: u32) -> &mut Outcomes {
        &mut self.outcomes[(self.asked_at[&id] / 1_000) as usize]
    }

    /// Asks for a slot. Returns the time to wait before coming back if the request is turned away.
    fn ask(&mut self, id: u32, ask: SlotRequest, step: u32) -> Option<u32> {
        let answer = self.gate.ask(id, ask, self.start + MS * step);
        self.apply_answer(id, answer, step)
    }

    fn apply_answer(&mut self, id: u32, answer: SlotAnswer, step: u32) -> Option<u32> {
        match answer {
            SlotAnswer::Granted => {
                self.in_transit.push_back((id, step + self.delay_ms));
                None
            }
            SlotAnswer::Queued => None,
            SlotAnswer::Refused { wait_ms } | SlotAnswer::Busy { wait_ms } => Some(wait_ms),
        }
    }

    fn start_requests(&mut self, step: u32) {
        while self.running.len() < self.slots as usize {
            let next = self.in_transit.front().copied();
            let Some((id, arrived)) = next.filter(|(_, arrives)| *arrives <= step) else {
                break;
            };
            self.in_transit.pop_front();
            self.sent_at.insert(id, arrived);
            let work = self.run_time_ms * (0.5 + self.random.random::<f64>());
            self.running.push((id, step + work as u32));
        }
    }

    fn end(&mut self, step: u32) {
        let finished: Vec<(u32, u32)> = self
            .running
            .extract_if(.., |(_, end)| *end <= step)
            .collect();
        for (id, end) in finished {
            let is_in_time = end - self.asked_at[&id] <= OBJECTIVE_MS;
            let second = self.outcomes_of(id);
            match is_in_time {
                true => second.in_time += 1,
                false => second.late += 1,
            }
            self.ended.push((id, end + self.delay_ms));
        }
        let released: Vec<(u32, u32)> = self
            .ended
            .extract_if(.., |(_, released_at)| *released_at <= step)
            .collect();
        for (id, released_at) in released {
            let took = MS * (released_at - self.delay_ms - self.sent_at[&id]);
            for (id, answer) in self.gate.release(&id, Some(took), self.start + MS * step) {
                if self.apply_answer(id, answer, step).is_some() {
                    self.outcomes_of(id).refused += 1;
                }
            }
        }
    }
}

/// Answers in time from second `from` to second `to`, as a share of the upstream's capacity.
fn goodput(outcomes: &[Outcomes], from: usize, to: usize, slots: u32, run_time_ms: f64) -> f64 {
    let in_time: u32 = outcomes[from..to].iter().map(|second| second.in_time).sum();
    f64::from(in_time) / ((to - from) as f64 * 1_000.0 * f64::from(slots) / run_time_ms)
}

// Guards against a full queue that makes every answer late: above its capacity, an upstream must
// still answer nearly as many requests in time as it can run.
#[rstest]
fn goodput_stays_near_capacity_at_every_load(
    #[values(1.1, 1.5, 2.0)] load: f64,
    #[values((2, 30.0), (6, 60.0), (16, 40.0))] upstream: (u32, f64),
    #[values(1, 20)] delay_ms: u32,
) {
    let (slots, run_time_ms) = upstream;
    let outcomes = Simulation::new(slots, run_time_ms, delay_ms, 7).run(20_000, |_| load);
    let goodput = goodput(&outcomes, 2, 19, slots, run_time_ms);
    assert!(goodput >= 0.9, "{goodput}");
}

#[rstest]
fn below_capacity_nearly_all_are_in_time(#[values(0.5, 0.8)] load: f64) {
    let outcomes = Simulation::new(6, 60.0, 1, 8).run(20_000, |_| load);
    let asked: u32 = outcomes[1..19].iter().map(|second| second.asked).sum();
    let in_time: u32 = outcomes[1..19].iter().map(|second| second.in_time).sum();
    assert!(
        f64::from(in_time) >= 0.97 * f64::from(asked),
        "{in_time} of {asked}"
    );
}

// Guards against a short burst whose late requests delay new ones for seconds afterwards.
#[test]
fn callers_are_served_in_time_two_seconds_after_a_burst() {
    let burst = |step: u32| {
        if (3_000..6_000).contains(&step) {
            2.0
        } else {
            0.7
        }
    };
    let outcomes = Simulation::new(6, 60.0, 1, 8).run(14_000, burst);
    for second in &outcomes[8..13] {
        assert!(
            f64::from(second.in_time) >= 0.9 * f64::from(second.asked),
            "{} of {}",
            second.in_time,
            second.asked
        );
    }
}

#[test]
fn fresh_requests_go_before_late_ones() {
    let (mut gate, now) = (SlotGate::new(1), Instant::now());
    for id in 0..2 {
        assert_eq!(gate.ask(id, fresh(), now), SlotAnswer::Granted);
    }
    assert_eq!(gate.ask(2, late(), now), SlotAnswer::Queued);
    assert_eq!(gate.ask(3, fresh(), now), SlotAnswer::Queued);
    assert_eq!(gate.release(&0, None, now), [(3, SlotAnswer::Granted)]);
    assert_eq!(gate.release(&1, None, now), [(2, SlotAnswer::Granted)]);
}

// Guards against slots that stay taken because the node that held them is gone.
#[test]
fn a_slot_that_is_never_released_becomes_free() {
    let (mut gate, now) = (SlotGate::new(1), Instant::now());
    for id in 0..2 {
        assert_eq!(gate.ask(id, fresh(), now), SlotAnswer::Granted);
    }
    let later = now + Duration::from_secs(3);
    assert_eq!(gate.ask(2, fresh(), later), SlotAnswer::Granted);
}

// Guards against granting a slot to a request that no longer waits.
#[test]
fn a_request_that_no_longer_waits_is_not_granted_a_slot() {
    let (mut gate, now) = (SlotGate::new(1), Instant::now());
    for id in 0..2 {
        assert_eq!(gate.ask(id, fresh(), now), SlotAnswer::Granted);
    }
    assert_eq!(gate.ask(2, fresh(), now), SlotAnswer::Queued);
    assert_eq!(gate.ask(3, fresh(), now), SlotAnswer::Queued);
    assert_eq!(gate.release(&2, None, now), []);
    assert_eq!(gate.release(&0, None, now), [(3, SlotAnswer::Granted)]);
}

#[test]
fn a_request_that_may_not_queue_gets_the_expected_wait() {
    let (mut gate, now) = (SlotGate::new(1), Instant::now());
    let not_queueing = SlotRequest {
        may_queue: false,
        ..fresh()
    };
    for id in 0..2 {
        assert_eq!(gate.ask(id, not_queueing, now), SlotAnswer::Granted);
    }
    assert_eq!(
        gate.ask(2, not_queueing, now),
        SlotAnswer::Busy { wait_ms: 25 }
    );
    assert_eq!(gate.release(&2, None, now), []);
}
