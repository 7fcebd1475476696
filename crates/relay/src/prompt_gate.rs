//! Pacing of the prompts that are sent to one engine.
//!
//! An engine prefills prompts between the steps of the requests that run there, so that prompts
//! that arrive together pause every running stream. The gate spreads them over time.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::pause_watch::PauseWatch;
use crate::prompt_backlog::{BacklogMark, PromptBacklog};
use crate::prompt_bucket::{PacingLimits, PromptBucket};
use crate::prompt_queue::{PromptQueue, WaitingPrompt};
use crate::{EnginePace, PauseCounts, PromptAnswer, PromptAsk};

/// How long a grant counts if neither its first event nor its end is reported: its node may be gone.
const GRANT_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a stream whose end is not reported counts as running.
const STREAM_TIMEOUT: Duration = Duration::from_secs(60);

/// Weight of one stream in the average spacing of events.
const SPACING_WEIGHT: f64 = 0.1;

/// Weight of a stream whose events are wider apart than the average. Prompts were prefilled between
/// them, so that they say less about the time of an event without prefill.
const WIDER_SPACING_WEIGHT: f64 = 0.01;

/// Longest prefill, as a share of the time of an event, from which the time to a first event without
/// prefill is learned. The pace is learned from longer ones.
const SHORT_PREFILL_SHARE: f64 = 0.5;

/// Widest spacing that one stream can contribute, as a multiple of the average.
const MAX_SPACING_RATIO: f64 = 2.0;

/// A request that was sent to the engine.
#[derive(Clone, Copy, Debug)]
struct SentPrompt {
    tokens: u32,
    mark: BacklogMark,
    /// Route's longest pause in milliseconds; 0 for none.
    longest_pause_ms: u32,
    sent_at: Instant,
    is_prefilled: bool,
}

impl SentPrompt {
    fn counts(&self, now: Instant) -> bool {
        let timeout = match self.is_prefilled {
            true => STREAM_TIMEOUT,
            false => GRANT_TIMEOUT,
        };
        now < self.sent_at + timeout
    }
}

/// The gate of one engine process. `K` identifies a request.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::{EnginePace, PromptAnswer, PromptAsk, PromptGate};
/// let now = Instant::now();
/// let mut gate = PromptGate::new(EnginePace::new(20.0), now);
/// let ask = PromptAsk {
///     tokens: 1_500,
///     priority: 0,
///     longest_pause_ms: 400,
///     due_in_ms: 1_000,
///     wait_limit_ms: 3_000,
///     may_queue: true,
/// };
/// for key in 0..3 {
///     assert!(!gate.note_sent(key, ask, now));
///     gate.record_pause(&key, Duration::from_millis(600), now);
/// }
/// assert!(gate.is_active(now));
/// assert_eq!(gate.ask(3, ask, now), PromptAnswer::Queued);
/// let due = gate.next_due(now).unwrap();
/// assert_eq!(gate.grant_due(due), [(3, PromptAnswer::Granted)]);
/// ```
#[derive(Clone, Debug)]
pub struct PromptGate<K> {
    pace: EnginePace,
    watch: PauseWatch<K>,
    bucket: PromptBucket,
    backlog: PromptBacklog,
    queue: PromptQueue<K>,
    sent: HashMap<K, SentPrompt>,
    /// Average time between two events without prefill.
    event_time: Option<Duration>,
    /// Average time to the first event of short prompts, without prefill.
    first_event_time: Option<Duration>,
}

impl<K: Copy + Eq + Hash> PromptGate<K> {
    /// Creates the gate of an engine process of which only an estimate of its pace is known.
    pub fn new(pace: EnginePace, now: Instant) -> Self {
        Self {
            pace,
            watch: PauseWatch::new(),
            bucket: PromptBucket::new(now),
            backlog: PromptBacklog::new(now),
            queue: PromptQueue::new(),
            sent: HashMap::new(),
            event_time: None,
            first_event_time: None,
        }
    }

    /// Records a request that was sent without asking. Returns whether the gate is active; the
    /// sender then asks from then on.
    pub fn note_sent(&mut self, key: K, ask: PromptAsk, now: Instant) -> bool {
        self.refresh(now);
        if !self.sent.contains_key(&key) {
            self.queue.remove(&key);
            self.record_sent(key, ask.tokens, ask.longest_pause_ms, now);
        }
        self.is_active(now)
    }

    /// Grants the request, queues it or turns it away.
    pub fn ask(&mut self, key: K, ask: PromptAsk, now: Instant) -> PromptAnswer {
        self.refresh(now);
        // Datagrams can be delivered twice.
        if self.sent.contains_key(&key) {
            return PromptAnswer::Granted;
        }
        if self.queue.contains(&key) {
            return PromptAnswer::Queued;
        }
        let limits = self.limits(ask.longest_pause_ms, now);
        let Some(limits) = limits.filter(|_| self.is_active(now)) else {
            self.grant(key, ask.tokens, ask.longest_pause_ms, now);
            return PromptAnswer::Granted;
        };
        let prompt = self.waiting_prompt(key, ask, &limits, now);
        let pending = self.pending_tokens(now);
        if self.queue.goes_first(&prompt, now)
            && self.bucket.fits(ask.tokens, &limits, pending, now)
        {
            self.grant(key, ask.tokens, ask.longest_pause_ms, now);
            return PromptAnswer::Granted;
        }
        let wait = self.wait_of(&prompt, &limits, now);
        let wait_ms = round_up_ms(wait);
        if !ask.may_queue && (ask.due_in_ms == 0 || now + wait > prompt.latest_start) {
            return PromptAnswer::Busy { wait_ms };
        }
        if now + wait > prompt.expires_at {
            return PromptAnswer::Refused { wait_ms };
        }
        self.queue.push(prompt);
        PromptAnswer::Queued
    }

    /// Records that the first event of a request came after `took`, so that its prompt is
    /// prefilled. Room made by it is granted by [`Self::grant_due`].
    pub fn first_event(&mut self, key: &K, took: Duration, now: Instant) {
        self.refresh(now);
        let event_time = self.limits(0, now).map(|limits| limits.event_time);
        let Some(sent) = self.sent.get_mut(key).filter(|sent| !sent.is_prefilled) else {
            return;
        };
        sent.is_prefilled = true;
        let sent = *sent;
        self.bucket.record_prefilled(sent.tokens, now);
        let (unreported, pace) = (self.pending_tokens(now), self.pace.tokens_per_ms());
        let backlog = &self.backlog;
        let tokens = backlog.prefilled_since(&sent.mark, unreported, pace, now);
        if let Some(event_time) = event_time {
            let without_prefill = self.update_first_event_time(tokens, took, event_time);
            self.pace.record(tokens as u32, took, without_prefill, now);
        }
    }

    /// Records that a request ended or no longer waits, with the longest pause between two of its
    /// events if it is known. Returns the decisions on queued requests.
    pub fn end(
        &mut self,
        key: &K,
        longest_pause: Option<Duration>,
        now: Instant,
    ) -> Vec<(K, PromptAnswer)> {
        self.refresh(now);
        if let Some(pause) = longest_pause {
            self.record_pause(key, pause, now);
        }
        self.queue.remove(key);
        self.sent.remove(key);
        self.grant_due(now)
    }

    /// Records a pause over the route's limit.
    pub fn record_pause(&mut self, key: &K, pause: Duration, now: Instant) {
        let limit_ms = self.sent.get(key).map_or(0, |sent| sent.longest_pause_ms);
        if pause > Duration::from_millis(u64::from(limit_ms)) {
            self.watch.record_pause(*key, now);
        }
    }

    /// Records the usual time between two events of a stream. Prompts that are prefilled between
    /// two events lengthen that time, so the lower decile of a stream's times is a better sample than the mean.
    pub fn record_spacing(&mut self, spacing: Duration, now: Instant) {
        let Some(limits) = self.limits(0, now) else {
            return;
        };
        let average = limits.event_time;
        let spacing = spacing.min(average.mul_f64(MAX_SPACING_RATIO));
        let weight = match spacing < average {
            true => SPACING_WEIGHT,
            false => WIDER_SPACING_WEIGHT,
        };
        self.event_time = Some(average.mul_f64(1.0 - weight) + spacing.mul_f64(weight));
    }

    /// Grants queued requests while there is room, refuses those that cannot start while their
    /// callers wait, and returns the decisions made.
    pub fn grant_due(&mut self, now: Instant) -> Vec<(K, PromptAnswer)> {
        self.refresh(now);
        if self.queue.is_empty() {
            return Vec::new();
        }
        let mut answers = self.refuse_hopeless(now);
        while let Some(next) = self.queue.next(now).copied() {
            let pending = self.pending_tokens(now);
            let limits = self.limits(0, now);
            if !limits.is_none_or(|limits| self.bucket.fits(next.tokens, &limits, pending, now)) {
                break;
            }
            self.grant(next.key, next.tokens, next.longest_pause_ms, now);
            answers.push((next.key, PromptAnswer::Granted));
        }
        answers
    }

    /// When [`Self::grant_due`] has something to decide, unless a request is reported before.
    pub fn next_due(&self, now: Instant) -> Option<Instant> {
        let next = self.queue.next(now)?;
        let Some(limits) = self.limits(0, now) else {
            return Some(now);
        };
        let pending = self.pending_tokens(now);
        if self.bucket.fits(next.tokens, &limits, pending, now) {
            return Some(now);
        }
        let tokens = f64::from(next.tokens).min(limits.burst_tokens);
        let wait_ms = round_up_ms(self.bucket.wait(tokens, &limits, pending, now)).max(1);
        let has_room_at = now + Duration::from_millis(u64::from(wait_ms));
        let expiry = self.queue.iter().map(|waiting| waiting.expires_at).min();
        let change = self.bucket.next_change(&limits, now);
        [Some(has_room_at), expiry, change]
            .into_iter()
            .flatten()
            .min()
    }

    /// Whether prompts are paced.
    pub fn is_active(&self, now: Instant) -> bool {
        !self.queue.is_empty() || self.watch.is_active(now)
    }

    /// Prompt tokens that the engine prefills per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.pace.tokens_per_ms()
    }

    /// The learned pace of the engine.
    pub fn pace(&self) -> &EnginePace {
        &self.pace
    }

    /// Streams and long pauses of the last period.
    pub fn pause_counts(&self, now: Instant) -> PauseCounts {
        self.watch.counts(now)
    }

    /// Whether no request is held back or counts, and nothing recent would make the gate active.
    pub fn is_idle(&self, now: Instant) -> bool {
        let is_recent = self.watch.counts(now) != PauseCounts::default();
        !self.is_active(now) && !is_recent && self.sent.values().all(|sent| !sent.counts(now))
    }

    /// Updates and returns the time to a first event without prefill, at most the time of an event.
    /// An engine may send the first event after fewer steps than later ones.
    fn update_first_event_time(
        &mut self,
        tokens: f64,
        took: Duration,
        event_time: Duration,
    ) -> Duration {
        let average = self.first_event_time.unwrap_or(event_time).min(event_time);
        let prefill = self.pace.prefill_time(tokens);
        if prefill > event_time.mul_f64(SHORT_PREFILL_SHARE) {
            return average;
        }
        let sample = took.saturating_sub(prefill).min(event_time);
        let average = average.mul_f64(1.0 - SPACING_WEIGHT) + sample.mul_f64(SPACING_WEIGHT);
        self.first_event_time = Some(average);
        average
    }

    fn refresh(&mut self, now: Instant) {
        self.sent.retain(|_, sent| sent.counts(now));
        self.refill(0, now);
    }

    fn refill(&mut self, longest_pause_ms: u32, now: Instant) {
        if let Some(limits) = self.limits(longest_pause_ms, now) {
            let pending = self.pending_tokens(now);
            self.bucket.refill(&limits, pending, now);
        }
    }

    fn grant(&mut self, key: K, tokens: u32, longest_pause_ms: u32, now: Instant) {
        self.queue.grant(&key);
        self.record_sent(key, tokens, longest_pause_ms, now);
    }

    fn record_sent(&mut self, key: K, tokens: u32, longest_pause_ms: u32, now: Instant) {
        // Until the first request with a limit, the bucket has no size.
        self.refill(longest_pause_ms, now);
        let (unreported, pace) = (self.pending_tokens(now), self.pace.tokens_per_ms());
        let mark = self.backlog.add(tokens, unreported, pace, now);
        let sent = SentPrompt {
            tokens,
            mark,
            longest_pause_ms,
            sent_at: now,
            is_prefilled: false,
        };
        self.sent.insert(key, sent);
        self.bucket.take(tokens);
        self.watch.record_sent(now);
    }

    fn waiting_prompt(
        &self,
        key: K,
        ask: PromptAsk,
        limits: &PacingLimits,
        now: Instant,
    ) -> WaitingPrompt<K> {
        // A granted prompt is prefilled after at most what the bucket holds beside it.
        let tokens = f64::from(ask.tokens).max(limits.burst_tokens);
        let reserved = self.pace.prefill_time(tokens) + limits.event_time;
        let due_in = Duration::from_millis(u64::from(ask.due_in_ms));
        let on_time = due_in.checked_sub(reserved);
        WaitingPrompt {
            key,
            tokens: ask.tokens,
            priority: ask.priority,
            longest_pause_ms: ask.longest_pause_ms,
            latest_start: on_time.map_or(now - Duration::from_millis(1), |left| now + left),
            expires_at: now + Duration::from_millis(u64::from(ask.wait_limit_ms)),
            waits_since: now,
        }
    }

    fn refuse_hopeless(&mut self, now: Instant) -> Vec<(K, PromptAnswer)> {
        let Some(limits) = self.limits(0, now) else {
            return Vec::new();
        };
        let pending = self.pending_tokens(now);
        let next = self.queue.next(now).map(|next| next.key);
        let mut refused = Vec::new();
        for (waiting, tokens_ahead) in self.queue.all_tokens_ahead(now) {
            let own = f64::from(waiting.tokens).min(limits.burst_tokens);
            let wait = self.bucket.wait(tokens_ahead + own, &limits, pending, now);
            // The next one may start as soon as the engine has nothing to prefill.
            let is_next = Some(waiting.key) == next && now < waiting.expires_at;
            if !is_next && now + wait > waiting.expires_at {
                let wait_ms = round_up_ms(wait);
                refused.push((waiting.key, PromptAnswer::Refused { wait_ms }));
            }
        }
        for (key, _) in &refused {
            self.queue.remove(key);
        }
        refused
    }

    fn wait_of(&self, prompt: &WaitingPrompt<K>, limits: &PacingLimits, now: Instant) -> Duration {
        let own = f64::from(prompt.tokens).min(limits.burst_tokens);
        let tokens = self.queue.tokens_ahead(prompt, now) + own;
        self.bucket
            .wait(tokens, limits, self.pending_tokens(now), now)
    }

    /// The limits by the tightest pause limit of the requests here and of one with
    /// `longest_pause_ms`; nothing if none has a limit.
    fn limits(&self, longest_pause_ms: u32, now: Instant) -> Option<PacingLimits> {
        let sent = self.sent.values().filter(|sent| sent.counts(now));
        let sent = sent.map(|sent| sent.longest_pause_ms);
        let waiting = self.queue.iter().map(|waiting| waiting.longest_pause_ms);
        let all = sent.chain(waiting).chain([longest_pause_ms]);
        let tightest_ms = all.filter(|limit_ms| *limit_ms > 0).min()?;
        let limit = Duration::from_millis(u64::from(tightest_ms));
        Some(PacingLimits::new(&self.pace, limit, self.event_time))
    }

    /// Tokens of prompts that were sent and are not known to be prefilled.
    fn pending_tokens(&self, now: Instant) -> f64 {
        let pending = self.sent.values();
        let pending = pending.filter(|sent| !sent.is_prefilled && sent.counts(now));
        pending.map(|sent| f64::from(sent.tokens)).sum()
    }
}

fn round_up_ms(time: Duration) -> u32 {
    let ms = time.as_micros().div_ceil(1_000);
    u32::try_from(ms).unwrap_or(u32::MAX)
}
