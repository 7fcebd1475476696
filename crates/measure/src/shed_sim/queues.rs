//! The queue of one engine, by policy.

use std::cmp::Ordering;
use std::time::Instant;

use nutmegsail_relay::{ShedQueue, WaitingWork, shed_order};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

/// Queued work in ms from which random early shedding refuses requests, and from which it refuses
/// all.
const EARLY_FROM_MS: f64 = 500.0;
const EARLY_ALL_MS: f64 = 2_500.0;

/// One grant in this many goes to the least urgent request under a floor.
const FLOOR_GRANTS: u32 = 10;

/// A way to choose who goes next and who is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShedWay {
    /// The queue of the relay.
    ShedQueue,
    /// The earliest latest start goes first.
    EarliestDeadline,
    /// The more urgent goes first, then the one that has waited longer.
    PriorityOnly,
    /// The order of [`shed_order`], without a schedule.
    ValueDensity,
    /// The same, with each tenth grant for the least urgent.
    DensityWithFloor,
    /// First come, first served; refuses at random, the more the longer the queue.
    RandomEarly,
}

/// The requests that wait for one engine, or for all of them.
#[derive(Debug)]
pub(crate) struct Queue {
    way: ShedWay,
    shed: ShedQueue<usize>,
    waiting: Vec<(usize, WaitingWork)>,
    grants: u32,
}

impl Queue {
    pub(crate) fn new(way: ShedWay) -> Self {
        Self {
            way,
            shed: ShedQueue::default(),
            waiting: Vec::new(),
            grants: 0,
        }
    }

    pub(crate) fn push(&mut self, key: usize, work: WaitingWork, random: &mut ChaCha8Rng) {
        match self.way {
            ShedWay::ShedQueue => self.shed.push(key, work),
            ShedWay::RandomEarly => {
                let queued_ms = self.queued_ms();
                let refuse = (queued_ms - EARLY_FROM_MS) / (EARLY_ALL_MS - EARLY_FROM_MS);
                if random.random::<f64>() >= refuse {
                    self.waiting.push((key, work));
                }
            }
            _ => self.waiting.push((key, work)),
        }
    }

    /// Work that waits, in ms.
    pub(crate) fn queued_ms(&self) -> f64 {
        let waiting = self.waiting.iter().map(|(_, work)| work.work_ms);
        let shed = self.shed.iter().map(|(_, work)| work.work_ms);
        waiting.chain(shed).sum()
    }

    /// Refuses requests that cannot be served in time, where the policy does.
    pub(crate) fn refuse(&mut self, now: Instant, rate: f64) {
        self.shed.refuse_hopeless(now, rate);
        self.waiting.retain(|(_, work)| work.expires_at > now);
    }

    pub(crate) fn pop(&mut self, now: Instant) -> Option<usize> {
        if self.way == ShedWay::ShedQueue {
            return self.shed.pop_next(now).map(|(key, _)| key);
        }
        self.grants += 1;
        let least_urgent = self.waiting.iter().map(|(_, work)| work.priority).max();
        let is_floor =
            self.way == ShedWay::DensityWithFloor && self.grants.is_multiple_of(FLOOR_GRANTS);
        let mut candidates: Vec<usize> = (0..self.waiting.len()).collect();
        if is_floor {
            candidates.retain(|at| Some(self.waiting[*at].1.priority) == least_urgent);
        }
        let next = candidates
            .into_iter()
            .min_by(|a, b| self.compare(&self.waiting[*a].1, &self.waiting[*b].1, now))?;
        Some(self.waiting.remove(next).0)
    }

    fn compare(&self, a: &WaitingWork, b: &WaitingWork, now: Instant) -> Ordering {
        match self.way {
            ShedWay::EarliestDeadline => a.latest_start.cmp(&b.latest_start),
            ShedWay::PriorityOnly => (a.priority, a.waits_since).cmp(&(b.priority, b.waits_since)),
            ShedWay::RandomEarly => a.waits_since.cmp(&b.waits_since),
            ShedWay::ShedQueue | ShedWay::ValueDensity | ShedWay::DensityWithFloor => {
                shed_order(a, b, now)
            }
        }
    }
}
