//! The requests that wait for an engine to have room for their prompts.

use std::cmp::Ordering;
use std::time::Instant;

/// One grant in this many goes to the least urgent work while requests wait.
const FLOOR_INTERVAL: u32 = 10;

#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingPrompt<K> {
    pub(crate) key: K,
    pub(crate) tokens: u32,
    pub(crate) priority: u8,
    /// Route's longest pause in milliseconds; 0 for none.
    pub(crate) longest_pause_ms: u32,
    /// Latest start with which the first event is on time. Already past for late requests.
    pub(crate) latest_start: Instant,
    pub(crate) expires_at: Instant,
    pub(crate) waits_since: Instant,
}

/// Which of two waiting requests goes first: urgent work, then what can be on time before what is
/// late, then by priority, then the one that must start sooner.
fn compare<K>(a: &WaitingPrompt<K>, b: &WaitingPrompt<K>, now: Instant) -> Ordering {
    let position = |prompt: &WaitingPrompt<K>| {
        let is_late = prompt.latest_start < now;
        (
            prompt.priority > 0,
            is_late,
            prompt.priority,
            prompt.latest_start,
        )
    };
    position(a).cmp(&position(b))
}

#[derive(Clone, Debug)]
pub(crate) struct PromptQueue<K> {
    waiting: Vec<WaitingPrompt<K>>,
    /// Grants since the least urgent work got one, or since nothing waited.
    grants_since_floor: u32,
}

impl<K: Copy + Eq> PromptQueue<K> {
    pub(crate) fn new() -> Self {
        Self {
            waiting: Vec::new(),
            grants_since_floor: 0,
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &WaitingPrompt<K>> {
        self.waiting.iter()
    }

    pub(crate) fn contains(&self, key: &K) -> bool {
        self.waiting.iter().any(|waiting| waiting.key == *key)
    }

    pub(crate) fn push(&mut self, prompt: WaitingPrompt<K>) {
        self.waiting.push(prompt);
    }

    pub(crate) fn remove(&mut self, key: &K) {
        self.waiting.retain(|waiting| waiting.key != *key);
    }

    /// The request that is granted next.
    pub(crate) fn next(&self, now: Instant) -> Option<&WaitingPrompt<K>> {
        match self.grants_since_floor + 1 >= FLOOR_INTERVAL {
            true => self.floor_request(),
            false => self.waiting.iter().min_by(|a, b| compare(a, b, now)),
        }
    }

    /// Whether `prompt`, which is not in the queue, is granted before all that wait.
    pub(crate) fn goes_first(&self, prompt: &WaitingPrompt<K>, now: Instant) -> bool {
        let is_floor_due = self.grants_since_floor + 1 >= FLOOR_INTERVAL;
        let mut waiting = self.waiting.iter();
        self.is_empty() || !is_floor_due && waiting.all(|other| compare(prompt, other, now).is_lt())
    }

    /// Removes a request that is granted. `key` need not have waited.
    pub(crate) fn grant(&mut self, key: &K) {
        let is_floor = self.floor_request().is_some_and(|floor| floor.key == *key);
        self.remove(key);
        self.grants_since_floor = match is_floor || self.waiting.is_empty() {
            true => 0,
            false => self.grants_since_floor + 1,
        };
    }

    /// Tokens of the requests that are granted before `prompt`.
    pub(crate) fn tokens_ahead(&self, prompt: &WaitingPrompt<K>, now: Instant) -> f64 {
        let others = || self.waiting.iter().filter(|other| other.key != prompt.key);
        let tokens = |other: &WaitingPrompt<K>| f64::from(other.tokens);
        let ahead = others().filter(|other| compare(other, prompt, now).is_le());
        let by_order: f64 = ahead.map(tokens).sum();
        if others().any(|other| other.priority > prompt.priority) {
            return by_order;
        }
        // The least urgent work is also served by turns, one grant in FLOOR_INTERVAL.
        let count = others().count().max(1) as f64;
        let mean_tokens = others().map(tokens).sum::<f64>() / count;
        let is_same = |other: &&WaitingPrompt<K>| {
            other.priority == prompt.priority && other.waits_since <= prompt.waits_since
        };
        let turns = others().filter(is_same).count() as f64 + 1.0;
        by_order.min(self.grants_before_turn(turns) * mean_tokens)
    }

    /// All requests with the tokens of those granted before them, as [`Self::tokens_ahead`] gives
    /// them one by one.
    pub(crate) fn all_tokens_ahead(&self, now: Instant) -> Vec<(WaitingPrompt<K>, f64)> {
        let mut ordered = self.waiting.clone();
        ordered.sort_by(|a, b| compare(a, b, now));
        let total: f64 = ordered.iter().map(|prompt| f64::from(prompt.tokens)).sum();
        let mean_tokens = total / ordered.len().max(1) as f64;
        let least_urgent = ordered.iter().map(|prompt| prompt.priority).max();
        let by_turns = ordered
            .iter()
            .filter(|prompt| Some(prompt.priority) == least_urgent);
        let mut by_turns: Vec<Instant> = by_turns.map(|prompt| prompt.waits_since).collect();
        by_turns.sort_unstable();
        let mut by_order = 0.0;
        let ahead = ordered.into_iter().map(|prompt| {
            let mut ahead = by_order;
            by_order += f64::from(prompt.tokens);
            if Some(prompt.priority) == least_urgent {
                let turns = by_turns.partition_point(|since| *since < prompt.waits_since) + 1;
                ahead = ahead.min(self.grants_before_turn(turns as f64) * mean_tokens);
            }
            (prompt, ahead)
        });
        ahead.collect()
    }

    /// Grants before the least urgent work has got this many turns.
    fn grants_before_turn(&self, turns: f64) -> f64 {
        let grants = turns * f64::from(FLOOR_INTERVAL) - f64::from(self.grants_since_floor) - 1.0;
        grants.max(0.0)
    }

    /// The longest-waiting request of the least urgent kind.
    fn floor_request(&self) -> Option<&WaitingPrompt<K>> {
        let longest_waiting = |a: &&WaitingPrompt<K>, b: &&WaitingPrompt<K>| {
            let kind = b.priority.cmp(&a.priority);
            kind.then(a.waits_since.cmp(&b.waits_since))
        };
        self.waiting.iter().min_by(longest_waiting)
    }
}
