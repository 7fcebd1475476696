//! Requests that wait for scarce capacity, and which of them to refuse.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::shed_floor::{ShedFloor, grants_for_one};
use crate::shed_order::{WaitingWork, shed_order};
use crate::shed_schedule::ShedSchedule;
use crate::shed_sizes::ShedSizes;

/// Lower bound on the rate at which work is assumed to be done, as a share of real time.
const MIN_RATE: f64 = 1e-3;

/// Why a waiting request is refused, and when there is room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Whether its caller has given up already. Otherwise it cannot be served before that.
    pub has_expired: bool,
    /// Time until the work that goes first is done, in milliseconds.
    pub wait_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Waiting<K> {
    key: K,
    work: WaitingWork,
    /// Whether it is among the largest of its priority.
    is_large: bool,
}

/// Requests that wait for one resource, in the order that costs callers least.
///
/// As long as all can be on time, they are served by deadline. Otherwise those that come last in
/// [`shed_order`] wait, or are refused. Requests that started are not the queue's concern.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::{ShedQueue, WaitingWork};
/// let now = Instant::now();
/// let short = WaitingWork {
///     priority: 1,
///     latest_start: now + Duration::from_millis(100),
///     expires_at: now + Duration::from_millis(250),
///     work_ms: 60.0,
///     late_worth: 0.5,
///     waits_since: now,
/// };
/// let mut queue = ShedQueue::default();
/// queue.push("long", WaitingWork { work_ms: 200.0, ..short });
/// queue.push("short", short);
/// // Only one of them can be served before its caller gives up.
/// let refused = queue.refuse_hopeless(now, 1.0);
/// assert_eq!(refused.first().map(|(key, _)| *key), Some("long"));
/// assert_eq!(queue.pop_next(now).map(|(key, _)| key), Some("short"));
/// assert!(queue.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct ShedQueue<K> {
    waiting: Vec<Waiting<K>>,
    floor: ShedFloor,
    sizes: ShedSizes,
}

impl<K> Default for ShedQueue<K> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            floor: ShedFloor::default(),
            sizes: ShedSizes::default(),
        }
    }
}

/// A request to be planned, with its position in the queue.
type Ranked<'a> = (usize, &'a WaitingWork);

/// What becomes of the waiting requests if none is added; entries are positions in the queue.
struct Plan {
    urgent: ShedSchedule,
    routine: ShedSchedule,
    /// Requests that cannot be served before their callers give up, best first.
    hopeless: Vec<usize>,
}

impl Plan {
    fn is_on_time(&self, at: usize) -> bool {
        self.urgent.is_on_time(at) || self.routine.is_on_time(at)
    }

    fn is_all_on_time(&self) -> bool {
        let has_late = self.urgent.has_late() || self.routine.has_late();
        self.hopeless.is_empty() && !has_late
    }
}

impl<K: Copy + Eq> ShedQueue<K> {
    /// Adds a request, or replaces what is known of it.
    pub fn push(&mut self, key: K, work: WaitingWork) {
        if let Some(known) = self.waiting.iter_mut().find(|known| known.key == key) {
            known.work = work;
            return;
        }
        let is_large = self.sizes.record(work.priority, work.work_ms);
        self.waiting.push(Waiting {
            key,
            work,
            is_large,
        });
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, key: &K) -> Option<WaitingWork> {
        let at = self.waiting.iter().position(|known| known.key == *key)?;
        Some(self.waiting.remove(at).work)
    }

    /// Whether the request waits.
    pub fn contains(&self, key: &K) -> bool {
        self.waiting.iter().any(|known| known.key == *key)
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The waiting requests, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &WaitingWork)> {
        self.waiting.iter().map(|known| (known.key, &known.work))
    }

    /// The request that [`pop_next`](Self::pop_next) would return.
    pub fn peek_next(&self, now: Instant) -> Option<(K, WaitingWork)> {
        let known = &self.waiting[self.next_position(now)?];
        Some((known.key, known.work))
    }

    /// Removes the request that goes next. Requests whose callers have given up stay in the queue
    /// until [`refuse_hopeless`](Self::refuse_hopeless).
    pub fn pop_next(&mut self, now: Instant) -> Option<(K, WaitingWork)> {
        let next = self.next_position(now)?;
        let priorities = self.live_priorities(now);
        let Waiting {
            key,
            work,
            is_large,
        } = self.waiting.remove(next);
        self.sizes.record_grant(work.priority, is_large);
        self.floor.record_grant(work.priority, &priorities);
        Some((key, work))
    }

    /// Removes requests that cannot be served before their callers give up. `rate` is the work in
    /// ms that is done per ms.
    ///
    /// Requests stay that may get one of the grants kept for their priority or for large requests.
    pub fn refuse_hopeless(&mut self, now: Instant, rate: f64) -> Vec<(K, Refusal)> {
        let rate = rate.max(MIN_RATE);
        let plan = self.plan(&self.live(now), now, rate);
        let wait_ms = plan.routine.end_ms();
        let priorities = self.live_priorities(now);
        let mut refused: BTreeSet<usize> = plan.hopeless.into_iter().collect();
        for priority in &priorities {
            let mut large = self.fitting_large(*priority, now, rate);
            large.retain(|at| refused.contains(at));
            large.sort_by_key(|at| {
                let work = &self.waiting[*at].work;
                (work.is_late(now), Reverse(work.expires_at))
            });
            large.truncate(self.sizes.owed(*priority));
            refused.retain(|at| !large.contains(at));
            let one = grants_for_one(*priority, &priorities);
            if one == u32::MAX {
                continue;
            }
            let same: Vec<usize> = (0..self.waiting.len())
                .filter(|at| self.waiting[*at].work.priority == *priority)
                .filter(|at| refused.contains(at))
                .collect();
            let by_floor = self.plan(&same, now, rate / f64::from(one));
            let hopeless: BTreeSet<usize> = by_floor.hopeless.into_iter().collect();
            refused.retain(|at| !same.contains(at) || hopeless.contains(at));
        }
        let expired = (0..self.waiting.len()).filter(|at| self.waiting[*at].work.expires_at <= now);
        refused.extend(expired);
        let mut answers = Vec::new();
        for at in refused.into_iter().rev() {
            let Waiting { key, work, .. } = self.waiting.remove(at);
            let refusal = Refusal {
                has_expired: work.expires_at <= now,
                wait_ms: wait_ms as u32,
            };
            answers.push((key, refusal));
        }
        answers
    }

    /// Time of the resource that goes to other requests before `work`, if it is queued now and
    /// nothing else is added.
    pub fn wait_of(&self, work: &WaitingWork, now: Instant) -> Duration {
        let mut live = self.live(now);
        let own = self.waiting.len();
        live.push(own);
        let plan = self.plan_with(&live, Some(work), now, 1.0);
        let schedules = [&plan.urgent, &plan.routine];
        let before_ms = schedules
            .iter()
            .find_map(|schedule| schedule.work_before_ms(own));
        let wait_ms = before_ms.unwrap_or_else(|| match work.is_urgent() {
            true => plan.urgent.end_ms(),
            false => plan.routine.end_ms(),
        });
        Duration::from_secs_f64(wait_ms.max(0.0) / 1_000.0)
    }

    fn next_position(&self, now: Instant) -> Option<usize> {
        let mut live = self.live(now);
        let of_all = self.plan(&live, now, 1.0);
        let mut of_floor = None;
        if let Some(priority) = self.floor.due(&self.live_priorities(now))
            && !of_all.is_all_on_time()
        {
            live.retain(|at| self.waiting[*at].work.priority == priority);
            of_floor = Some(self.plan(&live, now, 1.0));
        }
        let plan = of_floor.as_ref().unwrap_or(&of_all);
        let hopeless = |is_urgent| {
            let mut hopeless = plan.hopeless.iter().copied();
            hopeless.find(|at| self.waiting[*at].work.is_urgent() == is_urgent)
        };
        let urgent = plan.urgent.next().or_else(|| hopeless(true));
        let routine = || plan.routine.next().or_else(|| hopeless(false));
        let next = urgent.or_else(routine)?;
        Some(self.owed_large(next, &of_all, now).unwrap_or(next))
    }

    /// The large request that goes in place of the one at `next`, which has the same priority.
    ///
    /// It is one that could be on time and is not planned to be. If all are late, it is one that
    /// cannot be served before its caller gives up.
    fn owed_large(&self, next: usize, plan: &Plan, now: Instant) -> Option<usize> {
        let next = &self.waiting[next];
        let priority = next.work.priority;
        if next.is_large || self.sizes.owed(priority) == 0 {
            return None;
        }
        let mut fitting = self.fitting_large(priority, now, 1.0);
        // No late request goes before one that can be on time.
        fitting.retain(|at| match self.waiting[*at].work.is_late(now) {
            true => next.work.is_late(now) && plan.hopeless.contains(at),
            false => !plan.is_on_time(*at),
        });
        fitting.into_iter().min_by_key(|at| {
            let work = &self.waiting[*at].work;
            (work.is_late(now), work.latest_start)
        })
    }

    /// Positions of the large requests that can be served before their callers give up, if nothing
    /// else goes first.
    fn fitting_large(&self, priority: u8, now: Instant, rate: f64) -> Vec<usize> {
        let is_fitting = |at: &usize| {
            let Waiting { work, is_large, .. } = &self.waiting[*at];
            *is_large && work.priority == priority && work.expiry_ms(now, rate) >= 0.0
        };
        (0..self.waiting.len()).filter(is_fitting).collect()
    }

    /// Positions of the requests whose callers still wait.
    fn live(&self, now: Instant) -> Vec<usize> {
        let is_live = |at: &usize| self.waiting[*at].work.expires_at > now;
        (0..self.waiting.len()).filter(is_live).collect()
    }

    fn live_priorities(&self, now: Instant) -> Vec<u8> {
        let live = self.live(now).into_iter();
        let found: BTreeSet<u8> = live.map(|at| self.waiting[at].work.priority).collect();
        found.into_iter().collect()
    }

    fn plan(&self, positions: &[usize], now: Instant, rate: f64) -> Plan {
        self.plan_with(positions, None, now, rate)
    }

    /// Plans the requests at `positions`; `added` is the one at the position after the last.
    fn plan_with(
        &self,
        positions: &[usize],
        added: Option<&WaitingWork>,
        now: Instant,
        rate: f64,
    ) -> Plan {
        let work_at = |at: usize| self.waiting.get(at).map(|known| &known.work).or(added);
        let ranked = positions.iter().filter_map(|at| Some((*at, work_at(*at)?)));
        let mut ranked: Vec<Ranked<'_>> = ranked.collect();
        ranked.sort_by(|(_, a), (_, b)| shed_order(a, b, now));
        let (urgent, routine): (Vec<_>, Vec<_>) =
            ranked.into_iter().partition(|(_, work)| work.is_urgent());
        let mut hopeless = Vec::new();
        let urgent = schedule(&urgent, 0.0, now, rate, &mut hopeless);
        let routine = schedule(&routine, urgent.end_ms(), now, rate, &mut hopeless);
        Plan {
            urgent,
            routine,
            hopeless,
        }
    }
}

/// Schedules `ranked` requests after `offset_ms`, the best first. Those that cannot be on time are
/// treated as late; those that cannot be served at all are added to `hopeless`.
fn schedule(
    ranked: &[Ranked<'_>],
    offset_ms: f64,
    now: Instant,
    rate: f64,
    hopeless: &mut Vec<usize>,
) -> ShedSchedule {
    let mut schedule = ShedSchedule::after(offset_ms);
    let (mut late, on_time): (Vec<Ranked<'_>>, Vec<Ranked<'_>>) =
        ranked.iter().partition(|(_, work)| work.is_late(now));
    for (at, work) in on_time {
        let latest_ms = work.on_time_ms(now).min(work.expiry_ms(now, rate));
        if !schedule.add(at, latest_ms, work.work_ms / rate, false) {
            late.push((at, work));
        }
    }
    late.sort_by(|(_, a), (_, b)| {
        let value = |work: &WaitingWork| work.late_value_per_ms();
        let priorities = a.priority.cmp(&b.priority);
        priorities.then_with(|| value(b).total_cmp(&value(a)))
    });
    for (at, work) in late {
        if !schedule.add(at, work.expiry_ms(now, rate), work.work_ms / rate, true) {
            hopeless.push(at);
        }
    }
    schedule
}
