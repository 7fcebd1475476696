//! One run of engines under overload.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use nutmegsail_relay::WaitingWork;
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::queues::{Queue, ShedWay};

const LENGTH_MS: f64 = 10_000.0;

/// Engines per node, as in the deployments of `docs/plans/hard-load.md`.
const ENGINES_PER_NODE: f64 = 0.75;

/// Prompt tokens that an engine prefills per ms. One engine in three is 1.3 times as fast.
const TOKENS_PER_MS: f64 = 25.8;
const FAST_ENGINE: f64 = 1.3;

/// Shares of requests, mean prompt tokens, time until the first event is due and value of a late
/// answer, by priority.
const SHARES: [f64; 3] = [0.2, 0.5, 0.3];
const MEAN_TOKENS: [f64; 3] = [646.0, 1_460.0, 1_460.0];
const DUE_MS: [f64; 3] = [800.0, 1_000.0, 2_000.0];
const LATE_WORTH: [f64; 3] = [0.20, 0.53, 0.77];
const MAX_TOKENS: f64 = 4_700.0;

/// How long a caller waits.
const PATIENCE_MS: f64 = 3_000.0;

/// Demand swings by this much in this time.
const SWING: f64 = 0.27;
const SWING_MS: f64 = 11_000.0;

/// How often a queue over all engines is searched for hopeless requests. Each engine's own queue is
/// searched at each request and grant.
const ALL_REFUSE_EVERY_MS: f64 = 50.0;

#[derive(Clone, Copy, Debug)]
pub(crate) struct ShedScenario {
    pub(crate) nodes: usize,
    /// Demand as a multiple of what the engines can do.
    pub(crate) demand: f64,
    /// Estimated over actual work.
    pub(crate) estimate: f64,
    /// Whether one queue sees the requests of all engines. Otherwise each engine has its own, and a
    /// request goes to the one of two engines with less queued work.
    pub(crate) is_all_seeing: bool,
}

/// What a run came to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShedRun {
    /// Value of all answers as a share of what they would be worth on time.
    pub(crate) worth_kept: f64,
    pub(crate) on_time: [f64; 3],
    pub(crate) answered: [f64; 3],
    /// How often the largest tenth is answered compared with all of its priority; the lowest over
    /// the priorities.
    pub(crate) largest_tenth: f64,
}

struct Request {
    priority: usize,
    at_ms: f64,
    /// On an engine of speed 1.
    work_ms: f64,
    is_on_time: bool,
    is_answered: bool,
}

struct Fleet {
    scenario: ShedScenario,
    start: Instant,
    speeds: Vec<f64>,
    idle: Vec<bool>,
    queues: Vec<Queue>,
    requests: Vec<Request>,
    /// When engines become free, in us.
    busy: BinaryHeap<Reverse<(u64, usize)>>,
    refused_at_ms: f64,
}

pub(crate) fn simulate(scenario: ShedScenario, way: ShedWay, seed: u64) -> ShedRun {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut fleet = Fleet::new(scenario, way);
    let capacity: f64 = fleet.speeds.iter().sum();
    let mean_ms = (0..3).map(|class| SHARES[class] * MEAN_TOKENS[class] / TOKENS_PER_MS);
    let mean_rate = scenario.demand * capacity / mean_ms.sum::<f64>();
    let mut now_ms = 0.0;
    loop {
        let swing = 1.0 + SWING * (now_ms / SWING_MS * std::f64::consts::TAU).sin();
        now_ms += exponential(&mut random) / (mean_rate * swing);
        if now_ms > LENGTH_MS {
            break;
        }
        fleet.run_until(now_ms);
        let request = request(now_ms, &mut random);
        fleet.add(request, &mut random);
    }
    fleet.run_until(f64::INFINITY);
    fleet.outcome()
}

fn request(at_ms: f64, random: &mut ChaCha8Rng) -> Request {
    let share: f64 = random.random();
    let priority = match share {
        _ if share < SHARES[0] => 0,
        _ if share < SHARES[0] + SHARES[1] => 1,
        _ => 2,
    };
    let tokens = (MEAN_TOKENS[priority] * exponential(random)).clamp(16.0, MAX_TOKENS);
    Request {
        priority,
        at_ms,
        work_ms: tokens / TOKENS_PER_MS,
        is_on_time: false,
        is_answered: false,
    }
}

fn exponential(random: &mut ChaCha8Rng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}

impl Fleet {
    fn new(scenario: ShedScenario, way: ShedWay) -> Self {
        let engines = (scenario.nodes as f64 * ENGINES_PER_NODE).round() as usize;
        let speed = |engine: usize| match engine.is_multiple_of(3) {
            true => FAST_ENGINE,
            false => 1.0,
        };
        let queues = match scenario.is_all_seeing {
            true => 1,
            false => engines,
        };
        Self {
            scenario,
            start: Instant::now(),
            speeds: (0..engines).map(speed).collect(),
            idle: vec![true; engines],
            queues: (0..queues).map(|_| Queue::new(way)).collect(),
            requests: Vec::new(),
            busy: BinaryHeap::new(),
            refused_at_ms: 0.0,
        }
    }

    fn instant(&self, at_ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(at_ms.max(0.0) / 1_000.0)
    }

    fn add(&mut self, request: Request, random: &mut ChaCha8Rng) {
        let engines = self.speeds.len();
        let (one, other) = (
            random.random_range(0..engines),
            random.random_range(0..engines),
        );
        let wait_ms = |engine: usize| {
            let queued_ms = self.queues[engine].queued_ms() / self.speeds[engine];
            queued_ms + f64::from(u8::from(!self.idle[engine]))
        };
        let engine = match self.scenario.is_all_seeing {
            true => (0..engines).find(|engine| self.idle[*engine]).unwrap_or(0),
            false if wait_ms(other) < wait_ms(one) => other,
            false => one,
        };
        let queue = engine.min(self.queues.len() - 1);
        // An engine's own queue counts work in its own time.
        let speed = match self.scenario.is_all_seeing {
            true => 1.0,
            false => self.speeds[engine],
        };
        let now_ms = request.at_ms;
        let work_ms = request.work_ms / speed * self.scenario.estimate;
        let due_ms = now_ms + DUE_MS[request.priority];
        let work = WaitingWork {
            priority: request.priority as u8,
            latest_start: self.instant(due_ms - work_ms),
            expires_at: self.instant(now_ms + PATIENCE_MS),
            work_ms,
            late_worth: LATE_WORTH[request.priority],
            waits_since: self.instant(now_ms),
        };
        let key = self.requests.len();
        self.requests.push(request);
        self.queues[queue].push(key, work, random);
        self.refuse(queue, now_ms);
        if self.idle[engine] {
            self.start_next(engine, now_ms);
        }
    }

    fn refuse(&mut self, queue: usize, now_ms: f64) {
        let mut rate = 1.0;
        if self.scenario.is_all_seeing {
            if now_ms - self.refused_at_ms < ALL_REFUSE_EVERY_MS {
                return;
            }
            self.refused_at_ms = now_ms;
            rate = self.speeds.iter().sum();
        }
        let now = self.instant(now_ms);
        self.queues[queue].refuse(now, rate);
    }

    fn run_until(&mut self, until_ms: f64) {
        while let Some(Reverse((at_us, engine))) = self.busy.peek().copied() {
            let at_ms = at_us as f64 / 1_000.0;
            if at_ms > until_ms {
                return;
            }
            self.busy.pop();
            self.idle[engine] = true;
            self.refuse(engine.min(self.queues.len() - 1), at_ms);
            self.start_next(engine, at_ms);
        }
    }

    fn start_next(&mut self, engine: usize, now_ms: f64) {
        let queue = engine.min(self.queues.len() - 1);
        let now = self.instant(now_ms);
        let Some(key) = self.queues[queue].pop(now) else {
            return;
        };
        let request = &mut self.requests[key];
        let end_ms = now_ms + request.work_ms / self.speeds[engine];
        request.is_on_time = end_ms <= request.at_ms + DUE_MS[request.priority];
        request.is_answered = end_ms <= request.at_ms + PATIENCE_MS;
        self.idle[engine] = false;
        self.busy.push(Reverse(((end_ms * 1_000.0) as u64, engine)));
    }

    fn outcome(&self) -> ShedRun {
        let worth = |request: &Request| match (request.is_on_time, request.is_answered) {
            (true, _) => 1.0,
            (false, true) => LATE_WORTH[request.priority],
            (false, false) => 0.0,
        };
        let worths = self.requests.iter().map(worth).sum::<f64>();
        let mut run = ShedRun {
            worth_kept: worths / self.requests.len().max(1) as f64,
            largest_tenth: f64::INFINITY,
            ..ShedRun::default()
        };
        for priority in 0..3 {
            let of_kind = |request: &&Request| request.priority == priority;
            let mut kind: Vec<&Request> = self.requests.iter().filter(of_kind).collect();
            kind.sort_by(|a, b| b.work_ms.total_cmp(&a.work_ms));
            let answered = share(&kind, |request| request.is_answered);
            let largest = share(&kind[..kind.len() / 10], |request| request.is_answered);
            run.on_time[priority] = share(&kind, |request| request.is_on_time);
            run.answered[priority] = answered;
            run.largest_tenth = run.largest_tenth.min(largest / answered.max(1e-9));
        }
        run
    }
}

fn share(requests: &[&Request], counts: impl Fn(&Request) -> bool) -> f64 {
    let counted = requests.iter().filter(|request| counts(request)).count();
    counted as f64 / requests.len().max(1) as f64
}
