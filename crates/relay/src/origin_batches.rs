//! Collects the origins that a node has to write to the store.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::stream_keepers::NODES_PER_REGISTRAR;
use crate::{OriginBatch, StreamKey, StreamOrigin};

/// The most streams that wait to be written; the oldest are dropped first.
const MAX_WAITING: usize = 20_000;

/// The shortest time between two writes of a node. What was not written is lost with the keepers.
const MIN_INTERVAL_MS: u64 = 250;

/// The most writes of all nodes together, as all duties share the store.
const MAX_WRITES_PER_S: u64 = 240;

/// How long a registrar waits between two writes if the fleet has so many nodes.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::origin_write_interval;
/// assert_eq!(origin_write_interval(6), Duration::from_millis(250));
/// assert_eq!(origin_write_interval(360), Duration::from_millis(500));
/// ```
pub fn origin_write_interval(nodes: usize) -> Duration {
    let registrars = u64::try_from(nodes).unwrap_or(u64::MAX) / NODES_PER_REGISTRAR;
    let interval_ms = registrars.saturating_mul(1_000) / MAX_WRITES_PER_S;
    Duration::from_millis(interval_ms.max(MIN_INTERVAL_MS))
}

/// The origins that a node has to write to the store, in batches. One write is in progress at most,
/// and the next one begins no sooner than an interval after it began.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::{OriginBatches, StreamKey, StreamOrigin};
/// let (now, interval, lifetime) = (Instant::now(), Duration::from_millis(500), Duration::from_secs(30));
/// let key = StreamKey::of(None, &"0caa45a4".into());
/// let origin = StreamOrigin { service: "scribe".into(), software: "v1.1".into() };
/// let mut batches = OriginBatches::new(interval, lifetime);
/// batches.push(key, origin.clone(), now);
/// assert!(batches.is_due(now));
/// let taken = batches.take_batch(now);
/// assert_eq!(taken.as_ref().and_then(|batch| batch.find(&key)), Some(&origin));
/// batches.put_back();
/// assert!(!batches.is_due(now));
/// assert_eq!(batches.due_at(), Some(now + interval));
/// assert_eq!(batches.take_batch(now + interval), taken);
/// batches.written();
/// assert_eq!(batches.due_at(), None);
/// ```
#[derive(Debug)]
pub struct OriginBatches {
    interval: Duration,
    lifetime: Duration,
    /// Oldest first.
    waiting: VecDeque<WaitingStream>,
    /// The streams of the write that is in progress, oldest first.
    in_progress: Option<Vec<WaitingStream>>,
    last_taken: Option<Instant>,
}

#[derive(Clone, Debug)]
struct WaitingStream {
    key: StreamKey,
    origin: StreamOrigin,
    since: Instant,
}

impl OriginBatches {
    /// Writes at most once in each `interval`, and only streams that were added less than `lifetime`
    /// ago, as older ones have ended.
    pub fn new(interval: Duration, lifetime: Duration) -> Self {
        Self {
            interval,
            lifetime,
            waiting: VecDeque::new(),
            in_progress: None,
            last_taken: None,
        }
    }

    /// Changes the interval, as the number of nodes did.
    pub fn set_interval(&mut self, interval: Duration) {
        self.interval = interval;
    }

    /// Adds a stream.
    pub fn push(&mut self, key: StreamKey, origin: StreamOrigin, now: Instant) {
        self.waiting.push_back(WaitingStream {
            key,
            origin,
            since: now,
        });
        self.drop_oldest();
    }

    /// When the next batch is due. `None` if no stream waits, or until the write in progress has
    /// ended.
    pub fn due_at(&self) -> Option<Instant> {
        let oldest = self
            .waiting
            .front()
            .filter(|_| self.in_progress.is_none())?;
        let after_last = self.last_taken.map(|last| last + self.interval);
        Some(after_last.map_or(oldest.since, |after_last| after_last.max(oldest.since)))
    }

    /// Whether a batch is due: at once after an idle time, else an interval after the last one.
    pub fn is_due(&self, now: Instant) -> bool {
        self.due_at().is_some_and(|due| now >= due)
    }

    /// Takes the streams that wait longest, as many as fit into a batch. `None` if there are none, or
    /// while a write is in progress. The caller has to report what became of the write, with
    /// [`Self::written`] or [`Self::put_back`].
    pub fn take_batch(&mut self, now: Instant) -> Option<OriginBatch> {
        if self.in_progress.is_some() {
            return None;
        }
        let lifetime = self.lifetime;
        self.waiting
            .retain(|stream| now.duration_since(stream.since) < lifetime);
        let mut batch = OriginBatch::default();
        let mut fits = |stream: &WaitingStream| batch.push(&stream.key, &stream.origin);
        let count = self
            .waiting
            .iter()
            .take_while(|stream| fits(stream))
            .count();
        if count == 0 {
            return None;
        }
        self.in_progress = Some(self.waiting.drain(..count).collect());
        self.last_taken = Some(now);
        Some(batch)
    }

    /// The store has the batch that was taken last.
    pub fn written(&mut self) {
        self.in_progress = None;
    }

    /// Puts the batch that was taken last back, as the store may not have it.
    pub fn put_back(&mut self) {
        for stream in self.in_progress.take().into_iter().flatten().rev() {
            self.waiting.push_front(stream);
        }
        self.drop_oldest();
    }

    /// The number of streams that wait, or are being written.
    pub fn count(&self) -> usize {
        self.waiting.len() + self.in_progress.as_ref().map_or(0, Vec::len)
    }

    fn drop_oldest(&mut self) {
        let excess = self.count().saturating_sub(MAX_WAITING);
        self.waiting.drain(..excess.min(self.waiting.len()));
    }
}
