//! Admission of requests to an upstream with few slots or a rate limit.
//!
//! When a burst exceeds what the upstream can serve, requests that can still be answered in time go
//! first. Otherwise a queue of late requests would make every later one late as well.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::slot_shedding::SlotShedding;
use crate::{ConcurrencyLimit, LateWorth, RateBucket, SlotAnswer, SlotEnd, SlotRequest};

/// Requests granted beyond the upstream's slots, as a share of the slots. They keep a slot busy
/// while the message that it is free is on its way.
const EXTRA_GRANTS_SHARE: f64 = 0.25;

/// Assumed run time of a request until some have ended.
const INITIAL_RUN_TIME: Duration = Duration::from_millis(50);

/// Time reserved for running a request before its answer is due, as a multiple of the average run
/// time. Requests that start later than that are late whenever they take longer than usual.
const RESERVED_RUN_TIMES: f64 = 1.8;

/// Weight of one request in the moving averages.
const AVERAGE_WEIGHT: f64 = 0.1;

/// Longest time that one request can contribute to a moving average, as a multiple of that average.
/// A request that hung says little about the others.
const MAX_SAMPLE_RATIO: f64 = 4.0;

/// Upper bound on the factor by which granted slots that are idle at the upstream raise the limit.
const MAX_HOLD_RATIO: f64 = 3.0;

/// How long a slot counts as taken if its node does not release or renew it: the node may be gone.
const SLOT_TIMEOUT: Duration = Duration::from_millis(2_500);

/// How long the new gate of a brittle upstream grants nothing. Meanwhile nodes renew the slots that
/// another gate has granted.
const RENEWAL_TIME: Duration = Duration::from_millis(400);

/// How long a brittle upstream may keep working on a request whose caller has left.
const ABANDONED_RUN_TIME: Duration = Duration::from_millis(500);

/// Lower bound on an upstream's rate, in requests per second: only answers can show that its limit
/// has risen.
const MIN_RATE: f64 = 0.25;

/// Longest queue wait for requests that are already late. Beyond it, callers do better to go
/// elsewhere or return later.
const MAX_LATE_WAIT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct GrantedSlot {
    since: Instant,
    /// When it counts as free even if its node does not release it.
    until: Instant,
}

#[derive(Clone, Copy, Debug)]
struct QueuedRequest<K> {
    key: K,
    /// Latest start for an answer that is in time. Already past for late requests.
    latest_start: Instant,
    is_late: bool,
    rank: u8,
    expires_at: Instant,
}

/// The slots of one upstream, or its rate limit shared by all nodes, and the queue of waiting
/// requests. `K` identifies a request.
///
/// ```
/// use std::time::Instant;
/// use nutmegsail_relay::{SlotAnswer, SlotGate, SlotRequest};
/// let (mut gate, now) = (SlotGate::new(1), Instant::now());
/// let ask = SlotRequest { due_in_ms: 300, wait_limit_ms: 3_000, may_queue: true, priority: 0 };
/// assert_eq!(gate.ask("a", ask, now), SlotAnswer::Granted);
/// assert_eq!(gate.ask("b", ask, now), SlotAnswer::Granted);
/// assert_eq!(gate.ask("c", ask, now), SlotAnswer::Queued);
/// assert_eq!(gate.release(&"a", None, now), [("c", SlotAnswer::Granted)]);
/// ```
#[derive(Clone, Debug)]
pub struct SlotGate<K> {
    slots: u32,
    granted: HashMap<K, GrantedSlot>,
    /// The upstream's rate limit, if it announces one.
    rate: Option<RateBucket>,
    /// Set while the upstream is brittle.
    brittle: Option<ConcurrencyLimit>,
    queue: Vec<QueuedRequest<K>>,
    /// Takes the place of `queue` where operators have set the value of late answers.
    shedding: Option<SlotShedding<K>>,
    first_asked_at: Option<Instant>,
    /// Until when nothing is granted, as other nodes renew slots that this gate does not know.
    grants_nothing_until: Option<Instant>,
    /// Average time from the grant of a slot to its release.
    hold_time: Duration,
    /// Average time that a request spends at the upstream.
    run_time: Duration,
}

impl<K: Clone + Copy + Eq + Hash> SlotGate<K> {
    /// Creates the gate of an upstream that runs `slots` requests at once.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            granted: HashMap::new(),
            rate: None,
            brittle: None,
            queue: Vec::new(),
            shedding: None,
            first_asked_at: None,
            grants_nothing_until: None,
            hold_time: INITIAL_RUN_TIME,
            run_time: INITIAL_RUN_TIME,
        }
    }

    /// Lets the gate shed the requests whose delay costs callers least, by these values of late
    /// answers.
    ///
    /// ```
    /// use std::time::Instant;
    /// use nutmegsail_relay::{LateWorth, SlotAnswer, SlotGate, SlotRequest};
    /// let now = Instant::now();
    /// let mut gate = SlotGate::new(1).with_late_worth(LateWorth::default());
    /// let ask = SlotRequest { due_in_ms: 300, wait_limit_ms: 3_000, may_queue: true, priority: 1 };
    /// assert_eq!(gate.ask("a", ask, now), SlotAnswer::Granted);
    /// assert_eq!(gate.ask("b", ask, now), SlotAnswer::Granted);
    /// assert_eq!(gate.ask("routine", ask, now), SlotAnswer::Queued);
    /// let urgent = SlotRequest { priority: 0, ..ask };
    /// assert_eq!(gate.ask("urgent", urgent, now), SlotAnswer::Queued);
    /// assert_eq!(gate.release(&"a", None, now), [("urgent", SlotAnswer::Granted)]);
    /// ```
    #[must_use]
    pub fn with_late_worth(mut self, worth: LateWorth) -> Self {
        self.shedding = Some(SlotShedding::new(worth));
        self
    }

    /// Sets how many requests the upstream runs at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Sets the upstream's rate limit in requests per second, or removes it.
    pub fn set_rate(&mut self, per_s: Option<f64>, now: Instant) {
        let per_s = per_s.map(|per_s| per_s.max(MIN_RATE));
        match (&mut self.rate, per_s) {
            (Some(rate), Some(per_s)) => rate.set_rate(per_s, now),
            (rate, per_s) => *rate = per_s.map(|per_s| RateBucket::new(per_s, now)),
        }
    }

    /// Sets whether the upstream falls over if it has to refuse many requests. It is then given no
    /// more than it has taken so far.
    pub fn set_brittle(&mut self, is_brittle: bool, now: Instant) {
        match is_brittle {
            true if self.brittle.is_none() => {
                self.brittle = Some(ConcurrencyLimit::new(now));
                let created_at = self.first_asked_at.unwrap_or(now);
                self.grants_nothing_until = Some(created_at + RENEWAL_TIME);
            }
            true => {}
            false => self.brittle = None,
        }
    }

    /// Records that a request still has its slot at a brittle upstream, also if another gate has
    /// granted it.
    pub fn renew(&mut self, key: K, now: Instant) {
        let Some(limit) = &mut self.brittle else {
            return;
        };
        let until = now + SLOT_TIMEOUT;
        if let Some(slot) = self.granted.get_mut(&key) {
            slot.until = slot.until.max(until);
            return;
        }
        self.granted.insert(key, GrantedSlot { since: now, until });
        limit.record_running(self.slots, self.granted.len());
    }

    /// Records how a request at a brittle upstream ended, other than with its answer. Returns the
    /// decisions on queued requests.
    pub fn end(&mut self, key: &K, end: SlotEnd, now: Instant) -> Vec<(K, SlotAnswer)> {
        match end {
            SlotEnd::Refused => {
                let granted = self.granted.len();
                if let Some(limit) = &mut self.brittle {
                    limit.record_refused(self.slots, granted, now);
                }
                self.release(key, None, now)
            }
            SlotEnd::Abandoned => {
                self.remove_queued(key);
                if let Some(slot) = self.granted.get_mut(key) {
                    slot.until = slot.until.min(now + ABANDONED_RUN_TIME);
                }
                self.grant_due(now)
            }
        }
    }

    /// Whether requests may be granted as time passes, not only when others end.
    pub fn is_limited(&self) -> bool {
        self.rate.is_some() || self.brittle.is_some()
    }

    /// Whether no request holds a slot or waits.
    pub fn is_idle(&self) -> bool {
        self.granted.is_empty() && self.is_queue_empty()
    }

    /// Grants a slot, queues the request or turns it away.
    pub fn ask(&mut self, key: K, ask: SlotRequest, now: Instant) -> SlotAnswer {
        self.drop_expired_slots(now);
        self.first_asked_at.get_or_insert(now);
        // Datagrams can be delivered twice.
        if self.granted.contains_key(&key) {
            return SlotAnswer::Granted;
        }
        let mut sheds = self.shedding.iter();
        if self.queue.iter().any(|queued| queued.key == key) || sheds.any(|s| s.contains(&key)) {
            return SlotAnswer::Queued;
        }
        if self.is_queue_empty() && self.take_capacity(now) {
            self.grant(key, now);
            return SlotAnswer::Granted;
        }
        let in_time = Duration::from_millis(u64::from(ask.due_in_ms));
        let latest_start = now + in_time.saturating_sub(self.run_time.mul_f64(RESERVED_RUN_TIMES));
        let (work, first_wait) = (self.work_of_one(), self.wait_behind(0, now));
        if let Some(shedding) = &mut self.shedding {
            return shedding.ask(key, ask, latest_start, work, first_wait, now);
        }
        let wait_in_time = self.wait_behind(self.ahead_of(ask.priority, latest_start), now);
        let is_late = in_time.is_zero() || now + wait_in_time > latest_start;
        let wait = match is_late {
            false => wait_in_time,
            true => self.wait_behind(self.queue.len(), now),
        };
        let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        if !ask.may_queue {
            return SlotAnswer::Busy { wait_ms };
        }
        let wait_limit = Duration::from_millis(u64::from(ask.wait_limit_ms));
        if is_late && (wait > MAX_LATE_WAIT || wait + self.run_time > wait_limit) {
            return SlotAnswer::Refused { wait_ms };
        }
        self.queue.push(QueuedRequest {
            key,
            latest_start,
            is_late,
            rank: ask.priority,
            expires_at: now + wait_limit,
        });
        SlotAnswer::Queued
    }

    /// The refusals of queued requests that the last [`ask`](Self::ask) left no room for. There are
    /// none unless the gate sheds load by the value of late answers.
    pub fn take_refused(&mut self) -> Vec<(K, SlotAnswer)> {
        let shedding = self.shedding.as_mut();
        shedding.map_or_else(Vec::new, SlotShedding::take_refused)
    }

    /// Records that a request ended after `took` at the upstream, or that it no longer waits.
    /// Returns the decisions on queued requests.
    pub fn release(
        &mut self,
        key: &K,
        took: Option<Duration>,
        now: Instant,
    ) -> Vec<(K, SlotAnswer)> {
        self.remove_queued(key);
        if let (Some(slot), Some(took)) = (self.granted.remove(key), took) {
            let held = now.saturating_duration_since(slot.since);
            update_average(&mut self.hold_time, held);
            update_average(&mut self.run_time, took);
        }
        self.grant_due(now)
    }

    /// Grants slots to queued requests while there is room, and returns the decisions made.
    pub fn grant_due(&mut self, now: Instant) -> Vec<(K, SlotAnswer)> {
        self.drop_expired_slots(now);
        let mut answers = Vec::new();
        if let Some(shedding) = &mut self.shedding {
            answers = shedding.refuse_hopeless(now);
        }
        while self.has_capacity(now) {
            let Some(next) = self.take_next(now, &mut answers) else {
                break;
            };
            self.take_capacity(now);
            self.grant(next, now);
            answers.push((next, SlotAnswer::Granted));
        }
        answers
    }

    /// Removes the next request from the queue and refuses those whose callers have stopped
    /// waiting.
    fn take_next(&mut self, now: Instant, answers: &mut Vec<(K, SlotAnswer)>) -> Option<K> {
        if let Some(shedding) = &mut self.shedding {
            return shedding.pop_next(now);
        }
        let expired = self.queue.extract_if(.., |queued| queued.expires_at <= now);
        answers.extend(expired.map(|expired| (expired.key, SlotAnswer::Refused { wait_ms: 0 })));
        // A request that became late while queued is served after those that can still be in time.
        for queued in &mut self.queue {
            queued.is_late |= queued.latest_start < now;
        }
        let order = |queued: &&QueuedRequest<K>| {
            let rank = self.effective_priority(queued.rank);
            (queued.is_late, rank, queued.latest_start)
        };
        let next = self.queue.iter().min_by_key(order).map(|next| next.key)?;
        self.queue.retain(|queued| queued.key != next);
        Some(next)
    }

    fn is_queue_empty(&self) -> bool {
        let shedding = self.shedding.as_ref();
        self.queue.is_empty() && shedding.is_none_or(SlotShedding::is_empty)
    }

    fn remove_queued(&mut self, key: &K) {
        self.queue.retain(|queued| queued.key != *key);
        if let Some(shedding) = &mut self.shedding {
            shedding.remove(key);
        }
    }

    /// The part of the upstream's time that one request takes.
    fn work_of_one(&self) -> Duration {
        let of_slots = self.hold_time.div_f64(self.limit() as f64);
        let rate = self.rate.as_ref();
        rate.map_or(of_slots, |rate| rate.interval().max(of_slots))
    }

    fn grant(&mut self, key: K, now: Instant) {
        let until = now + SLOT_TIMEOUT;
        self.granted.insert(key, GrantedSlot { since: now, until });
    }

    fn has_capacity(&mut self, now: Instant) -> bool {
        let is_waiting = self.grants_nothing_until.is_some_and(|until| now < until);
        let limit = match &mut self.brittle {
            Some(_) if is_waiting => 0,
            Some(limit) => limit.requests(self.slots, now),
            None => self.limit(),
        };
        let has_slot = self.granted.len() < limit;
        let rate = self.rate.as_mut();
        has_slot && rate.is_none_or(|rate| rate.has_token(now))
    }

    /// Consumes the rate allowance for one request, if a slot is free and the rate allows it.
    fn take_capacity(&mut self, now: Instant) -> bool {
        let has_capacity = self.has_capacity(now);
        let rate = self.rate.as_mut();
        has_capacity && rate.is_none_or(|rate| rate.take(now))
    }

    /// How many requests may hold a slot at once.
    ///
    /// More than the upstream has slots: a granted slot is idle there while the grant and the
    /// answer are on their way, and while the node holding it waits for CPU time. If requests queue
    /// inside the upstream, they stay there longer and this limit falls.
    fn limit(&self) -> usize {
        let hold_ratio = self.hold_time.as_secs_f64() / self.run_time.as_secs_f64().max(1e-3);
        let with_idle_slots = f64::from(self.slots) * hold_ratio.clamp(1.0, MAX_HOLD_RATIO);
        (with_idle_slots + f64::from(self.slots) * EXTRA_GRANTS_SHARE).ceil() as usize
    }

    /// Number of queued requests served before one with this priority and latest start.
    fn ahead_of(&self, rank: u8, latest_start: Instant) -> usize {
        let position = (self.effective_priority(rank), latest_start);
        let in_time = self.queue.iter().filter(|queued| !queued.is_late);
        in_time
            .filter(|queued| {
                (self.effective_priority(queued.rank), queued.latest_start) <= position
            })
            .count()
    }

    /// The priority used for ordering. It counts only under a rate limit or at a brittle upstream,
    /// where requests can be kept out altogether; otherwise slots become free within the run time
    /// of a request.
    fn effective_priority(&self, rank: u8) -> u8 {
        match self.is_limited() {
            true => rank,
            false => 0,
        }
    }

    /// Expected wait of a request with `ahead` others before it.
    fn wait_behind(&self, ahead: usize, now: Instant) -> Duration {
        let slot_wait = self
            .hold_time
            .mul_f64((ahead + 1) as f64 / self.limit() as f64);
        let rate = self.rate.as_ref();
        rate.map_or(slot_wait, |rate| rate.wait(ahead, now).max(slot_wait))
    }

    fn drop_expired_slots(&mut self, now: Instant) {
        self.granted.retain(|_, slot| now < slot.until);
    }
}

fn update_average(average: &mut Duration, sample: Duration) {
    let sample = sample.min(average.mul_f64(MAX_SAMPLE_RATIO));
    *average = average.mul_f64(1.0 - AVERAGE_WEIGHT) + sample.mul_f64(AVERAGE_WEIGHT);
}
