//! Admission of requests to an upstream with few slots or a rate limit.
//!
//! When a burst exceeds what the upstream can serve, requests that can still be answered in time go
//! first. Otherwise a queue of late requests would make every later one late as well.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::RateBucket;

/// Requests granted beyond the upstream's slots, as a share of the slots. They keep a slot busy
/// while the message that it is free is on its way.
const AHEAD_SHARE: f64 = 0.25;

/// Assumed run time of a request until some have ended.
const FIRST_WORK: Duration = Duration::from_millis(50);

/// Time reserved for running a request before its answer is due, as a multiple of the average run
/// time. Requests that start later than that are late whenever they take longer than usual.
const KEPT_WORK: f64 = 1.8;

/// Weight of one request in the moving averages.
const WORK_STEP: f64 = 0.1;

/// Longest time that one request can contribute to a moving average, as a multiple of that average.
/// A request that hung says little about the others.
const WORK_SEEN_MOST: f64 = 4.0;

/// Upper bound on the factor by which granted slots that are idle at the upstream raise the limit.
const MOST_IDLE_RATIO: f64 = 3.0;

/// How long a slot counts as taken if its node does not release it: the node may be gone.
const SLOT_LIFE: Duration = Duration::from_millis(2_500);

/// Lower bound on an upstream's rate, in requests per second: only answers can show that its limit
/// has risen.
const LEAST_RATE: f64 = 0.25;

/// Longest queue wait for requests that are already late. Beyond it, callers do better to go
/// elsewhere or return later.
const LATE_QUEUE: Duration = Duration::from_millis(500);

/// A request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAsk {
    /// How much longer an answer is in time, in milliseconds; 0 for a request that is already late.
    pub in_time_ms: u32,
    /// How long the caller waits, in milliseconds.
    pub patience_ms: u32,
    /// Whether to queue the request if no slot is free.
    pub may_queue: bool,
    /// Priority; 0 is the most urgent.
    pub rank: u8,
}

/// The decision on a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotAnswer {
    /// The request may be sent.
    Granted,
    /// The request was queued; another answer follows.
    Queued,
    /// No slot is free, and the request was not to be queued. In the queue it would wait about this
    /// long.
    Busy {
        /// Expected wait in milliseconds.
        wait_ms: u32,
    },
    /// The request cannot be served. A caller that returns after this time can expect a free slot.
    Refused {
        /// Time until then in milliseconds.
        wait_ms: u32,
    },
}

#[derive(Clone, Copy, Debug)]
struct Waiting<K> {
    key: K,
    /// Latest start for an answer that is in time. Already past for late requests.
    latest_start: Instant,
    is_late: bool,
    rank: u8,
    gives_up: Instant,
}

/// The slots of one upstream, or its rate limit shared by all nodes, and the queue of waiting
/// requests. `K` identifies a request.
///
/// ```
/// use std::time::Instant;
/// use nutmegsail_relay::{SlotAnswer, SlotAsk, SlotGate};
/// let (mut gate, now) = (SlotGate::new(1), Instant::now());
/// let ask = SlotAsk { in_time_ms: 300, patience_ms: 3_000, may_queue: true, rank: 0 };
/// assert_eq!(gate.ask("a", ask, now), SlotAnswer::Granted);
/// assert_eq!(gate.ask("b", ask, now), SlotAnswer::Granted);
/// assert_eq!(gate.ask("c", ask, now), SlotAnswer::Queued);
/// assert_eq!(gate.release(&"a", None, now), [("c", SlotAnswer::Granted)]);
/// ```
#[derive(Clone, Debug)]
pub struct SlotGate<K> {
    slots: u32,
    taken: HashMap<K, Instant>,
    /// The upstream's rate limit, if it announces one.
    rate: Option<RateBucket>,
    queue: Vec<Waiting<K>>,
    /// Average time from the grant of a slot to its release.
    held: Duration,
    /// Average time that a request spends at the upstream.
    work: Duration,
}

impl<K: Clone + Copy + Eq + Hash> SlotGate<K> {
    /// Creates the gate of an upstream that runs `slots` requests at once.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            taken: HashMap::new(),
            rate: None,
            queue: Vec::new(),
            held: FIRST_WORK,
            work: FIRST_WORK,
        }
    }

    /// Sets how many requests the upstream runs at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Sets the upstream's rate limit in requests per second, or removes it.
    pub fn set_rate(&mut self, per_s: Option<f64>, now: Instant) {
        let per_s = per_s.map(|per_s| per_s.max(LEAST_RATE));
        match (&mut self.rate, per_s) {
            (Some(rate), Some(per_s)) => rate.set_rate(per_s, now),
            (rate, per_s) => *rate = per_s.map(|per_s| RateBucket::new(per_s, now)),
        }
    }

    /// Whether the upstream has a rate limit.
    pub fn is_limited(&self) -> bool {
        self.rate.is_some()
    }

    /// Whether no request holds a slot or waits.
    pub fn is_idle(&self) -> bool {
        self.taken.is_empty() && self.queue.is_empty()
    }

    /// Grants a slot, queues the request or turns it away.
    pub fn ask(&mut self, key: K, ask: SlotAsk, now: Instant) -> SlotAnswer {
        self.forget_lost(now);
        // Datagrams can be delivered twice.
        if self.taken.contains_key(&key) {
            return SlotAnswer::Granted;
        }
        if self.queue.iter().any(|waiting| waiting.key == key) {
            return SlotAnswer::Queued;
        }
        if self.queue.is_empty() && self.take_room(now) {
            self.taken.insert(key, now);
            return SlotAnswer::Granted;
        }
        let in_time = Duration::from_millis(u64::from(ask.in_time_ms));
        let latest_start = now + in_time.saturating_sub(self.work.mul_f64(KEPT_WORK));
        let wait_in_time = self.wait_behind(self.ahead_of(ask.rank, latest_start), now);
        let is_late = in_time.is_zero() || now + wait_in_time > latest_start;
        let wait = match is_late {
            false => wait_in_time,
            true => self.wait_behind(self.queue.len(), now),
        };
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        if !ask.may_queue {
            return SlotAnswer::Busy { wait_ms };
        }
        let patience = Duration::from_millis(u64::from(ask.patience_ms));
        if is_late && (wait > LATE_QUEUE || wait + self.work > patience) {
            return SlotAnswer::Refused { wait_ms };
        }
        self.queue.push(Waiting {
            key,
            latest_start,
            is_late,
            rank: ask.rank,
            gives_up: now + patience,
        });
        SlotAnswer::Queued
    }

    /// Records that a request ended after `took` at the upstream, or that it no longer waits.
    /// Returns the decisions on queued requests.
    pub fn release(
        &mut self,
        key: &K,
        took: Option<Duration>,
        now: Instant,
    ) -> Vec<(K, SlotAnswer)> {
        self.queue.retain(|waiting| waiting.key != *key);
        if let (Some(since), Some(took)) = (self.taken.remove(key), took) {
            learn(&mut self.held, now.saturating_duration_since(since));
            learn(&mut self.work, took);
        }
        self.turn(now)
    }

    /// Grants slots to queued requests while there is room, and returns the decisions made.
    pub fn turn(&mut self, now: Instant) -> Vec<(K, SlotAnswer)> {
        self.forget_lost(now);
        let mut answers = Vec::new();
        while self.has_room(now) {
            let Some(next) = self.take_next(now, &mut answers) else {
                break;
            };
            self.take_room(now);
            self.taken.insert(next, now);
            answers.push((next, SlotAnswer::Granted));
        }
        answers
    }

    /// Removes the next request from the queue and refuses those whose callers have stopped
    /// waiting.
    fn take_next(&mut self, now: Instant, answers: &mut Vec<(K, SlotAnswer)>) -> Option<K> {
        let gone = self.queue.extract_if(.., |waiting| waiting.gives_up <= now);
        answers.extend(gone.map(|gone| (gone.key, SlotAnswer::Refused { wait_ms: 0 })));
        // A request that became late while queued is served after those that can still be in time.
        for waiting in &mut self.queue {
            waiting.is_late |= waiting.latest_start < now;
        }
        let order = |waiting: &&Waiting<K>| {
            let rank = self.rank_that_counts(waiting.rank);
            (waiting.is_late, rank, waiting.latest_start)
        };
        let next = self.queue.iter().min_by_key(order).map(|next| next.key)?;
        self.queue.retain(|waiting| waiting.key != next);
        Some(next)
    }

    fn has_room(&mut self, now: Instant) -> bool {
        let has_slot = self.taken.len() < self.limit();
        let rate = self.rate.as_mut();
        has_slot && rate.is_none_or(|rate| rate.has_one(now))
    }

    /// Consumes the rate allowance for one request, if a slot is free and the rate allows it.
    fn take_room(&mut self, now: Instant) -> bool {
        let has_room = self.has_room(now);
        let rate = self.rate.as_mut();
        has_room && rate.is_none_or(|rate| rate.take(now))
    }

    /// How many requests may hold a slot at once.
    ///
    /// More than the upstream has slots: a granted slot is idle there while the grant and the
    /// answer are on their way, and while the node holding it waits for CPU time. If requests queue
    /// inside the upstream, they stay there longer and this limit falls.
    fn limit(&self) -> usize {
        let held_ratio = self.held.as_secs_f64() / self.work.as_secs_f64().max(1e-3);
        let at_once = f64::from(self.slots) * held_ratio.clamp(1.0, MOST_IDLE_RATIO);
        (at_once + f64::from(self.slots) * AHEAD_SHARE).ceil() as usize
    }

    /// Number of queued requests served before one with this priority and latest start.
    fn ahead_of(&self, rank: u8, latest_start: Instant) -> usize {
        let place = (self.rank_that_counts(rank), latest_start);
        let in_time = self.queue.iter().filter(|waiting| !waiting.is_late);
        in_time
            .filter(|waiting| (self.rank_that_counts(waiting.rank), waiting.latest_start) <= place)
            .count()
    }

    /// The priority used for ordering. It counts only under a rate limit, which can keep requests
    /// out altogether; without one, slots become free within the run time of a request.
    fn rank_that_counts(&self, rank: u8) -> u8 {
        match self.rate {
            Some(_) => rank,
            None => 0,
        }
    }

    /// Expected wait of a request with `ahead` others before it.
    fn wait_behind(&self, ahead: usize, now: Instant) -> Duration {
        let for_slot = self.held.mul_f64((ahead + 1) as f64 / self.limit() as f64);
        let rate = self.rate.as_ref();
        rate.map_or(for_slot, |rate| rate.wait(ahead, now).max(for_slot))
    }

    fn forget_lost(&mut self, now: Instant) {
        self.taken
            .retain(|_, since| now.saturating_duration_since(*since) < SLOT_LIFE);
    }
}

fn learn(known: &mut Duration, seen: Duration) {
    let seen = seen.min(known.mul_f64(WORK_SEEN_MOST));
    *known = known.mul_f64(1.0 - WORK_STEP) + seen.mul_f64(WORK_STEP);
}
