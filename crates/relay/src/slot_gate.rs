//! Which request goes next to an upstream that takes few.
//!
//! Answers bursts beyond what a plain upstream's slots serve, or any upstream that names a limit: requests that can
//! still be in time go first, so that a queue of late ones does not make each that follows late as well.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::RateBucket;

/// Requests beyond the slots that may be at the upstream, as a part of the slots. One of them begins while
/// the word that a slot is free is on its way.
const AHEAD_SHARE: f64 = 0.25;

/// How long a request is taken to run until some have ended.
const FIRST_WORK: Duration = Duration::from_millis(50);

/// The work time that is kept free at the end of the time in which an answer is in time, as a multiple of the
/// usual one: requests that begin at the last moment would be late whenever they take longer than usual.
const KEPT_WORK: f64 = 1.8;

/// How much one request moves the usual times.
const WORK_STEP: f64 = 0.1;

/// The most that one request moves it by, as a multiple of the usual time. One that hung says little
/// about the rest.
const WORK_SEEN_MOST: f64 = 4.0;

/// The most by which slots that are held while nothing runs in them raise the limit.
const MOST_IDLE_RATIO: f64 = 3.0;

/// How long a slot counts as taken without a word from its node, which may be gone.
const SLOT_LIFE: Duration = Duration::from_millis(2_500);

/// The least rate that an upstream gets, in requests a second: its answers are what tells that its limit has risen.
const LEAST_RATE: f64 = 0.25;

/// How long requests that are late already may queue. Beyond it their callers are better off elsewhere
/// or later.
const LATE_QUEUE: Duration = Duration::from_millis(500);

/// A request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAsk {
    /// How long the answer is in time yet, in milliseconds; 0 for a request that is late already.
    pub in_time_ms: u32,
    /// How long its caller waits, in milliseconds.
    pub patience_ms: u32,
    /// Whether it queues if no slot is free.
    pub may_queue: bool,
    /// Its rank; 0 is the most urgent.
    pub rank: u8,
}

/// What becomes of a request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotAnswer {
    /// It may be sent.
    Granted,
    /// It waits in the queue; another answer follows.
    Queued,
    /// No slot is free. One that queued would be served after about this time.
    Busy {
        /// The time, in milliseconds.
        wait_ms: u32,
    },
    /// It cannot be served; whoever returns after this time finds room.
    Refused {
        /// The time, in milliseconds.
        wait_ms: u32,
    },
}

#[derive(Clone, Copy, Debug)]
struct Waiting<K> {
    key: K,
    /// When it must begin to be in time; past for those that are late.
    latest_start: Instant,
    is_late: bool,
    rank: u8,
    gives_up: Instant,
}

/// The slots of one upstream, or the rate that it limits all nodes to, with the requests that wait. `K` names a request.
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
    /// The requests that its limit allows, if it names one.
    rate: Option<RateBucket>,
    queue: Vec<Waiting<K>>,
    /// How long a slot is held, from its grant to the word that it is free.
    held: Duration,
    /// How long of that the request is at the upstream.
    work: Duration,
}

impl<K: Clone + Copy + Eq + Hash> SlotGate<K> {
    /// An upstream that runs `slots` requests at once.
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

    /// Takes in how many requests the upstream runs at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Takes in how many requests a second the upstream takes, if it limits them.
    pub fn set_rate(&mut self, per_s: Option<f64>, now: Instant) {
        let per_s = per_s.map(|per_s| per_s.max(LEAST_RATE));
        match (&mut self.rate, per_s) {
            (Some(rate), Some(per_s)) => rate.set_rate(per_s, now),
            (rate, per_s) => *rate = per_s.map(|per_s| RateBucket::new(per_s, now)),
        }
    }

    /// Whether its upstream names a limit.
    pub fn is_limited(&self) -> bool {
        self.rate.is_some()
    }

    /// Whether nothing is known of any request.
    pub fn is_idle(&self) -> bool {
        self.taken.is_empty() && self.queue.is_empty()
    }

    /// Decides on a request.
    pub fn ask(&mut self, key: K, ask: SlotAsk, now: Instant) -> SlotAnswer {
        self.forget_lost(now);
        // A datagram may come twice.
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

    /// Takes in that a request has ended, after `took` at the upstream, or waits no more. Returns what becomes
    /// of others.
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

    /// Lets those go that there is room for now, and returns what becomes of them.
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

    /// The next one in the queue; those that nobody waits for any more are refused.
    fn take_next(&mut self, now: Instant, answers: &mut Vec<(K, SlotAnswer)>) -> Option<K> {
        let gone = self.queue.extract_if(.., |waiting| waiting.gives_up <= now);
        answers.extend(gone.map(|gone| (gone.key, SlotAnswer::Refused { wait_ms: 0 })));
        // A request that has become late while it queued gives way to those that can be in time.
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

    /// Takes what the rate allows for one request, if there is room.
    fn take_room(&mut self, now: Instant) -> bool {
        let has_room = self.has_room(now);
        let rate = self.rate.as_mut();
        has_room && rate.is_none_or(|rate| rate.take(now))
    }

    /// How many requests may have a slot at once.
    ///
    /// A slot stands empty at the upstream while the grant and the answer are on their way, and while the
    /// node that has it waits for its share of a processor. Where the upstream's own queue grows, requests
    /// are there for longer, and the limit falls.
    fn limit(&self) -> usize {
        let held_ratio = self.held.as_secs_f64() / self.work.as_secs_f64().max(1e-3);
        let at_once = f64::from(self.slots) * held_ratio.clamp(1.0, MOST_IDLE_RATIO);
        (at_once + f64::from(self.slots) * AHEAD_SHARE).ceil() as usize
    }

    /// Requests in the queue that begin before one of this rank with this latest start.
    fn ahead_of(&self, rank: u8, latest_start: Instant) -> usize {
        let place = (self.rank_that_counts(rank), latest_start);
        let in_time = self.queue.iter().filter(|waiting| !waiting.is_late);
        in_time
            .filter(|waiting| (self.rank_that_counts(waiting.rank), waiting.latest_start) <= place)
            .count()
    }

    /// The rank by which requests go first. Slots are free again within the work of a request; a limit leaves some out
    /// altogether.
    fn rank_that_counts(&self, rank: u8) -> u8 {
        match self.rate {
            Some(_) => rank,
            None => 0,
        }
    }

    /// How long a request waits with so many before it.
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
