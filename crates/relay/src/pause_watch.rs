//! Whether the streams at an engine have pauses over their limits.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Period over which streams and long pauses are counted.
const PERIOD: Duration = Duration::from_secs(10);

/// Streams with a long pause from which an engine counts as one that pauses. Fewer can come from a
/// single hung step.
const MIN_PAUSED: usize = 3;

/// Share of the streams sent that must have had a long pause, in percent.
const MIN_PAUSED_PERCENT: usize = 5;

/// How long prompts are still paced after pauses were last frequent. Pacing itself ends the pauses,
/// so that it would otherwise switch on and off.
const HOLD_TIME: Duration = Duration::from_secs(10);

/// Streams of the period that decides whether a gate is active.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PauseCounts {
    /// Streams that were sent.
    pub streams: u32,
    /// Streams that had a pause over their limit.
    pub paused: u32,
}

/// Counts the streams sent to one engine and those with a pause over their limit.
#[derive(Clone, Debug)]
pub(crate) struct PauseWatch<K> {
    sent: VecDeque<Instant>,
    /// Last long pause of each stream.
    paused: HashMap<K, Instant>,
    /// Until when pauses are frequent, as far as is known.
    frequent_until: Option<Instant>,
}

impl<K: Copy + Eq + Hash> PauseWatch<K> {
    pub(crate) fn new() -> Self {
        Self {
            sent: VecDeque::new(),
            paused: HashMap::new(),
            frequent_until: None,
        }
    }

    pub(crate) fn record_sent(&mut self, now: Instant) {
        self.sent.push_back(now);
        self.update(now);
    }

    pub(crate) fn record_pause(&mut self, key: K, now: Instant) {
        self.paused.insert(key, now);
        self.update(now);
    }

    /// Whether pauses are frequent, or were within the hold time.
    pub(crate) fn is_active(&self, now: Instant) -> bool {
        self.frequent_until
            .is_some_and(|until| now < until + HOLD_TIME)
    }

    pub(crate) fn counts(&self, now: Instant) -> PauseCounts {
        let sent = self.sent.iter().filter(|at| is_recent(**at, now));
        let paused = self.paused.values().filter(|at| is_recent(**at, now));
        PauseCounts {
            streams: u32::try_from(sent.count()).unwrap_or(u32::MAX),
            paused: u32::try_from(paused.count()).unwrap_or(u32::MAX),
        }
    }

    fn update(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|at| !is_recent(*at, now)) {
            self.sent.pop_front();
        }
        self.paused.retain(|_, at| is_recent(*at, now));
        let paused = self.paused.len();
        let is_frequent =
            paused >= MIN_PAUSED && paused * 100 >= self.sent.len() * MIN_PAUSED_PERCENT;
        if !is_frequent {
            self.frequent_until = self.frequent_until.map(|until| until.min(now));
            return;
        }
        let mut times: Vec<Instant> = self.paused.values().copied().collect();
        times.sort_unstable();
        let last_needed = times[paused - MIN_PAUSED];
        self.frequent_until = Some(last_needed + PERIOD);
    }
}

fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < PERIOD
}
