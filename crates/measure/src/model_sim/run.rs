//! One run of one policy under demand that moves.

use std::collections::VecDeque;

use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fleet::Fleet;

/// Steps in a second; owners plan as often.
const STEPS_PER_S: u64 = 10;

/// For how long a request takes up an engine, in engine seconds.
const REQUEST_WORK: f64 = 0.1;

/// How long a change takes: the runs that what leaves waits for, and the load from a disk, in steps.
const CHANGE_STEPS: u64 = 27;

/// How long callers wait, in steps.
const PATIENCE_STEPS: u64 = 24;

/// By how much news of demand lags, in steps.
const NEWS_STEPS: usize = 2;

/// What is kept of the demand of the step before: half of it is forgotten in 3 s.
const DEMAND_KEPT: f64 = 0.977;

/// How far ahead the planner that knows the future looks, in steps: the time of a change.
const FORESIGHT_STEPS: u64 = CHANGE_STEPS;

/// Ranks by which demand moves on at each shift.
const SHIFT_RANKS: usize = 3;

/// The deployment of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ModelScenario {
    pub(crate) models: usize,
    pub(crate) engines: usize,
    /// Work that callers ask for, as a part of what all engines can do.
    pub(crate) load: f64,
    /// The time between two shifts of demand, in seconds.
    pub(crate) shift_s: u64,
    /// The length of a run, in seconds.
    pub(crate) length_s: u64,
}

/// Who decides what engines hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ModelPolicy {
    /// The plan that owners carry out.
    Plan,
    /// What was placed at the start stays.
    Static,
    /// A model that is asked for and held nowhere takes the engine whose model was not asked longest.
    MostRecent,
    /// The plan, told the demand that there will be once a change is done.
    Foreseeing,
}

/// What a run came to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ModelRun {
    pub(crate) asked: u64,
    pub(crate) served: u64,
    pub(crate) changes: u64,
    pub(crate) waited_steps: u64,
}

struct World {
    scenario: ModelScenario,
    fleet: Fleet,
    /// Requests that wait for each model, by the step in which they came.
    waiting: Vec<VecDeque<u64>>,
    /// Engine seconds that serving engines have not used yet, for each model.
    credit: Vec<f64>,
    demand: Vec<f64>,
    /// The demand of the last steps, the oldest in front.
    news: VecDeque<Vec<f64>>,
    last_asked: Vec<u64>,
    run: ModelRun,
}

/// Plays one run.
pub(crate) fn simulate(scenario: ModelScenario, policy: ModelPolicy, seed: u64) -> ModelRun {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(scenario);
    for step in 0..scenario.length_s * STEPS_PER_S {
        world.arrive(step, &mut random);
        world.serve(step);
        let changes = world.changes(policy, step);
        world.change(&changes, step);
    }
    world.run
}

impl World {
    fn new(scenario: ModelScenario) -> Self {
        let shares = shares(scenario, 0);
        let placed = placed_by(&shares, scenario.engines);
        Self {
            fleet: Fleet::new(scenario.engines, scenario.models, |engine| placed[engine]),
            waiting: vec![VecDeque::new(); scenario.models],
            credit: vec![0.0; scenario.models],
            demand: vec![0.0; scenario.models],
            news: VecDeque::new(),
            last_asked: vec![0; scenario.models],
            run: ModelRun::default(),
            scenario,
        }
    }

    fn arrive(&mut self, step: u64, random: &mut ChaCha8Rng) {
        for (model, share) in shares(self.scenario, step).into_iter().enumerate() {
            let work = share * self.scenario.load * self.scenario.engines as f64;
            let expected = work / REQUEST_WORK / STEPS_PER_S as f64;
            let came =
                expected.floor() as u64 + u64::from(random.random::<f64>() < expected.fract());
            self.waiting[model].extend(std::iter::repeat_n(step, came as usize));
            self.run.asked += came;
            if came > 0 {
                self.last_asked[model] = step;
            }
            let per_s = came as f64 * REQUEST_WORK * STEPS_PER_S as f64;
            self.demand[model] = self.demand[model] * DEMAND_KEPT + per_s * (1.0 - DEMAND_KEPT);
        }
        self.news.push_back(self.demand.clone());
        if self.news.len() > NEWS_STEPS + 1 {
            self.news.pop_front();
        }
    }

    fn serve(&mut self, step: u64) {
        for engine in &mut self.fleet.engines {
            if engine.changing_until.is_some_and(|until| until <= step) {
                engine.changing_until = None;
            }
        }
        for model in 0..self.scenario.models {
            let serving = self.fleet.serving(model) as f64;
            let per_step = serving / STEPS_PER_S as f64;
            self.credit[model] = (self.credit[model] + per_step).min(per_step + REQUEST_WORK);
            while self.credit[model] >= REQUEST_WORK
                && let Some(came) = self.waiting[model].pop_front()
            {
                self.credit[model] -= REQUEST_WORK;
                self.run.served += 1;
                self.run.waited_steps += step - came;
            }
            let has_left = |came: &u64| step - came >= PATIENCE_STEPS;
            while self.waiting[model].front().is_some_and(has_left) {
                self.waiting[model].pop_front();
            }
        }
    }

    fn changes(&self, policy: ModelPolicy, step: u64) -> Vec<(usize, usize)> {
        match policy {
            ModelPolicy::Static => Vec::new(),
            ModelPolicy::Plan => self
                .news
                .front()
                .map_or(Vec::new(), |work| self.fleet.plan(work)),
            ModelPolicy::Foreseeing => {
                let ahead = shares(self.scenario, step + FORESIGHT_STEPS);
                let all = self.scenario.load * self.scenario.engines as f64;
                let ahead = ahead.iter().map(|share| share * all);
                let now = shares(self.scenario, step);
                let now = now.iter().map(|share| share * all);
                let work: Vec<f64> = ahead.zip(now).map(|(ahead, now)| ahead.max(now)).collect();
                self.fleet.plan(&work)
            }
            ModelPolicy::MostRecent => self.most_recent(),
        }
    }

    fn most_recent(&self) -> Vec<(usize, usize)> {
        let missing = (0..self.scenario.models).find(|model| {
            let held = self
                .fleet
                .engines
                .iter()
                .any(|engine| engine.model == *model);
            !self.waiting[*model].is_empty() && !held
        });
        let engines = self.fleet.engines.iter().enumerate();
        let free = engines.filter(|(_, engine)| engine.changing_until.is_none());
        let oldest = free.min_by_key(|(_, engine)| self.last_asked[engine.model]);
        missing
            .zip(oldest)
            .map(|(model, (engine, _))| (engine, model))
            .into_iter()
            .collect()
    }

    fn change(&mut self, changes: &[(usize, usize)], step: u64) {
        for (engine, model) in changes {
            let engine = &mut self.fleet.engines[*engine];
            engine.model = *model;
            engine.changing_until = Some(step + CHANGE_STEPS);
            self.run.changes += 1;
        }
    }
}

/// Each model's part of the demand at `step`, by Zipf's law over ranks that move on at each shift.
fn shares(scenario: ModelScenario, step: u64) -> Vec<f64> {
    let shifts = (step / (scenario.shift_s * STEPS_PER_S)) as usize;
    let weights = (0..scenario.models).map(|model| {
        let rank = (model + shifts * SHIFT_RANKS) % scenario.models;
        1.0 / ((rank + 1) as f64).powf(1.2)
    });
    let weights: Vec<f64> = weights.collect();
    let all: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / all).collect()
}

/// The model of each engine, by shares: the next engine goes to the model with most demand an engine.
fn placed_by(shares: &[f64], engines: usize) -> Vec<usize> {
    let mut counts = vec![0_usize; shares.len()];
    let mut placed = Vec::new();
    for _ in 0..engines {
        let need = |model: &usize| shares[*model] / (counts[*model] + 1) as f64;
        let most = (0..shares.len()).max_by(|a, b| need(a).total_cmp(&need(b)));
        let most = most.unwrap_or(0);
        counts[most] += 1;
        placed.push(most);
    }
    placed
}
