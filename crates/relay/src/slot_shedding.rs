//! The queue of a slot gate whose operators have set the value of late answers.

use std::time::{Duration, Instant};

use crate::{LateWorth, Refusal, ShedQueue, SlotAnswer, SlotRequest, WaitingWork};

/// Requests that wait for a slot, in the order that costs callers least.
#[derive(Clone, Debug)]
pub(crate) struct SlotShedding<K> {
    worth: LateWorth,
    queue: ShedQueue<K>,
    /// Requests that a later one has made hopeless, until their refusals are taken.
    refused: Vec<(K, SlotAnswer)>,
}

impl<K: Copy + Eq> SlotShedding<K> {
    pub(crate) fn new(worth: LateWorth) -> Self {
        Self {
            worth,
            queue: ShedQueue::default(),
            refused: Vec::new(),
        }
    }

    pub(crate) fn contains(&self, key: &K) -> bool {
        self.queue.contains(key)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.refused.is_empty()
    }

    pub(crate) fn remove(&mut self, key: &K) {
        self.queue.remove(key);
        self.refused.retain(|(refused, _)| refused != key);
    }

    /// Queues a request or turns it away. `work` is the part of the upstream's time that it takes,
    /// and `first_wait` the wait for the next free slot.
    pub(crate) fn ask(
        &mut self,
        key: K,
        ask: SlotRequest,
        latest_start: Instant,
        work: Duration,
        first_wait: Duration,
        now: Instant,
    ) -> SlotAnswer {
        let just_before = now.checked_sub(Duration::from_nanos(1)).unwrap_or(now);
        let work = WaitingWork {
            priority: ask.priority,
            latest_start: match ask.due_in_ms {
                0 => just_before,
                _ => latest_start,
            },
            expires_at: now + Duration::from_millis(u64::from(ask.wait_limit_ms)),
            work_ms: work.as_secs_f64() * 1_000.0,
            late_worth: self.worth.of(ask.priority),
            waits_since: now,
        };
        if !ask.may_queue {
            let wait = first_wait + self.queue.wait_of(&work, now);
            let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
            return SlotAnswer::Busy { wait_ms };
        }
        self.queue.push(key, work);
        self.take_hopeless(now);
        let refused = self.refused.iter().position(|(refused, _)| *refused == key);
        match refused {
            Some(at) => self.refused.remove(at).1,
            None => SlotAnswer::Queued,
        }
    }

    /// The refusals of requests that cannot be served before their callers give up.
    pub(crate) fn refuse_hopeless(&mut self, now: Instant) -> Vec<(K, SlotAnswer)> {
        self.take_hopeless(now);
        self.take_refused()
    }

    pub(crate) fn take_refused(&mut self) -> Vec<(K, SlotAnswer)> {
        std::mem::take(&mut self.refused)
    }

    pub(crate) fn pop_next(&mut self, now: Instant) -> Option<K> {
        self.queue.pop_next(now).map(|(key, _)| key)
    }

    fn take_hopeless(&mut self, now: Instant) {
        let hopeless = self.queue.refuse_hopeless(now, 1.0);
        let answers = hopeless.into_iter().map(|(key, refusal)| {
            let Refusal { wait_ms, .. } = refusal;
            (key, SlotAnswer::Refused { wait_ms })
        });
        self.refused.extend(answers);
    }
}
