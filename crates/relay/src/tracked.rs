//! What a node knows of one upstream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::rest::Rest;
use crate::{
    Health, HeldAdapter, Holdings, KeptPrompts, ModelDigest, ModelRef, PromptChain, RecentAdapters,
    Upstream, VersionRule,
};

/// Load of an engine as others reported it.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Requests that other nodes have there.
    pub in_flight_of_others: u32,
    /// Prompt tokens that other nodes have sent and that were not answered yet.
    pub unread_tokens_of_others: u64,
    /// Adapters on their way to it, or waiting for it.
    pub coming: Vec<ModelDigest>,
    /// Adapters that came or went a moment ago.
    pub moved: Vec<AdapterMove>,
    /// Adapters that it could take now: free places, and those of adapters that nobody uses.
    pub room: u32,
    /// Whether its owner can order loads now.
    pub takes_loads: bool,
    /// When it was taken.
    pub taken: Instant,
}

/// What a message says of an engine's holdings.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum HoldingsTold {
    /// They are these now.
    Changed(Holdings),
    /// They are what this node was told last.
    Unchanged,
    /// Nothing.
    #[default]
    Untold,
}

impl HoldingsTold {
    /// What this and an `older` message say together.
    pub fn after(self, older: Self) -> Self {
        match (self, older) {
            (Self::Unchanged, older @ Self::Changed(_)) => older,
            (Self::Untold, older) => older,
            (newer, _) => newer,
        }
    }
}

/// An adapter that came to an engine, or was dropped there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterMove {
    /// The adapter.
    pub model: ModelDigest,
    /// Whether the engine holds it now.
    pub is_held: bool,
}

/// How long a move goes before the list of upstreams and before what an owner told in full: longer
/// than a heartbeat and the list's lag.
const MOVE_LIFE: Duration = Duration::from_millis(2_500);

/// An engine is silent if nothing comes back for this many times as long as the queue should take,
/// and for at least [`SILENCE_FLOOR_MS`].
const SILENCE_RATIO: f64 = 3.0;

/// The least silence that is taken for a failure, in milliseconds; sound engines answer the first of
/// several requests within some 400 ms.
const SILENCE_FLOOR_MS: f64 = 700.0;

/// How long an owner's word goes before the list of upstreams: longer than a heartbeat and the
/// list's lag.
const TOLD_LIFE: Duration = Duration::from_millis(2_500);

/// How long an upstream gets nothing after another process answered at its address. The list of upstreams shows
/// by then that it is gone; one that is listed still may have answered wrongly.
const GONE_LIFE: Duration = Duration::from_secs(6);

/// How long a report of the load says anything: a queue of prompts is read in some 300 ms.
const REPORT_LIFE: Duration = Duration::from_millis(600);

/// How long a prompt token takes to be read at a sound engine, in milliseconds, until answers have told
/// the pace of this deployment's engines.
pub(crate) const PROMPT_TOKEN_MS: f64 = 0.052;

/// The time to the first event of an empty prompt at an idle engine: one step and the way there.
const FIRST_EVENT_FLOOR_MS: f64 = 18.0;

/// What each running request adds to the time of a step, in milliseconds.
const RUNNING_REQUEST_MS: f64 = 0.4;

/// How long a request is taken to take up a slot until some have ended, in milliseconds.
pub(crate) const FIRST_RUN_MS: f64 = 1_000.0;

/// How much one observation moves the slowness.
const SLOWNESS_STEP: f64 = 0.2;

/// Bounds of the slowness: an upstream that is 20 times as slow as expected gets no work anyway.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 20.0);

/// In this time half of what made an upstream look slow is forgotten, so that it is tried again.
const SLOWNESS_HALF_LIFE_S: f64 = 4.0;

/// One upstream with what this node sent there.
#[derive(Clone, Debug)]
pub struct Tracked {
    /// The entry of the list of upstreams.
    pub upstream: Arc<Upstream>,
    /// What it holds.
    pub holdings: Holdings,
    /// What it held before and can bring back quickly.
    recent: RecentAdapters,
    /// Prompts that this node sent there.
    kept: KeptPrompts,
    /// Adapters that came or went lately, and when that was told.
    moves: Vec<(AdapterMove, Instant)>,
    /// When its owner last confirmed what it holds.
    holdings_told: Option<Instant>,
    /// Requests that this node sent and that have not ended.
    pub in_flight: u32,
    /// Prompt tokens that this node sent and whose answers have not begun.
    pub unread_tokens: u64,
    /// Failures.
    pub health: Health,
    /// When it first said to this node that it leaves.
    pub(crate) leaving_since: Option<Instant>,
    /// The rest that it asked this node for.
    pub(crate) rest: Rest,
    /// Whether it limits the requests that it takes.
    pub(crate) is_limited: bool,
    /// Until when its limit leaves no room for another one, as far as is known.
    limited_until: Option<Instant>,
    /// When another process answered at its address.
    gone_at: Option<Instant>,
    /// The last report of its load.
    pub report: Option<Report>,
    /// How long a request takes up a slot, in milliseconds.
    run_ms: f64,
    /// How many times as long as assumed engines of its kind take to read and step.
    pace: f64,
    slowness: f64,
    slowness_at: Instant,
    /// Since when nothing has come back although answers are due.
    waiting_since: Option<Instant>,
}

impl Tracked {
    /// An upstream that nothing was sent to.
    pub fn new(upstream: Arc<Upstream>, now: Instant) -> Self {
        Self {
            holdings: upstream.holdings.clone(),
            recent: RecentAdapters::default(),
            kept: KeptPrompts::default(),
            moves: Vec::new(),
            holdings_told: None,
            upstream,
            in_flight: 0,
            unread_tokens: 0,
            health: Health::default(),
            leaving_since: None,
            rest: Rest::default(),
            is_limited: false,
            limited_until: None,
            gone_at: None,
            report: None,
            run_ms: FIRST_RUN_MS,
            pace: 1.0,
            slowness: 1.0,
            slowness_at: now,
            waiting_since: None,
        }
    }

    /// Takes in the entry of the list of upstreams.
    ///
    /// Entries lag by a heartbeat or more. Taken at their word, they would bring back an adapter
    /// that was unloaded since, and the request sent for it would come back unserved. So what the
    /// owner told goes first while it is fresh.
    pub fn note_entry(&mut self, upstream: Arc<Upstream>, now: Instant) {
        let is_told = |at| now.duration_since(at) < TOLD_LIFE;
        if !self.holdings_told.is_some_and(is_told) {
            self.set_holdings(&upstream.holdings);
        }
        self.upstream = upstream;
    }

    /// Takes in what the owner knows of its load, and what it says of its holdings.
    ///
    /// A load that was passed on says nothing of holdings. Taken for a word that they are unchanged, it
    /// kept what an engine had held when this node last used it for good, and the list of upstreams was
    /// not believed again: adapters that the engine held were loaded elsewhere, and requests sent for
    /// those that it had dropped.
    pub fn note_told(&mut self, holdings: &HoldingsTold, report: Report) {
        match holdings {
            HoldingsTold::Changed(holdings) => {
                self.set_holdings(holdings);
                self.holdings_told = Some(report.taken);
            }
            HoldingsTold::Unchanged if self.holdings_told.is_some() => {
                self.holdings_told = Some(report.taken);
            }
            HoldingsTold::Unchanged | HoldingsTold::Untold => {}
        }
        self.note_moves(&report);
        self.report = Some(report);
    }

    fn note_moves(&mut self, report: &Report) {
        let is_told = |model| report.moved.iter().any(|moved| moved.model == model);
        self.moves.retain(|(moved, at)| {
            report.taken.duration_since(*at) < MOVE_LIFE && !is_told(moved.model)
        });
        let told = report.moved.iter().map(|moved| (*moved, report.taken));
        self.moves.extend(told);
    }

    /// The version in which it holds what `wanted` names; 0 if that is not known.
    ///
    /// The list of upstreams lags by a heartbeat and more. Taken at its word, an adapter that came a
    /// second ago is loaded once more elsewhere, and requests go where one was dropped.
    pub fn version_of(&self, wanted: &ModelRef, now: Instant) -> Option<u64> {
        let held = self.holdings.version_of(wanted);
        if self.moves.is_empty() {
            return held;
        }
        if wanted.adapter.is_some() && !self.has_base(wanted, now) {
            return None;
        }
        let digest = wanted.digest();
        let is_it = |(moved, at): &&(AdapterMove, Instant)| {
            moved.model == digest && now.duration_since(*at) < MOVE_LIFE
        };
        match self.moves.iter().find(is_it) {
            Some((moved, _)) if moved.is_held => held.or(Some(HeldAdapter::UNSTATED_VERSION)),
            Some(_) => None,
            None => held,
        }
    }

    /// Whether it holds the base model that `wanted` names or belongs to.
    ///
    /// A base model that is to leave gets nothing new: requests that have not begun would come back
    /// unserved, and with each that does begin it leaves later.
    pub fn has_base(&self, wanted: &ModelRef, now: Instant) -> bool {
        match wanted.adapter {
            None => self.version_of(wanted, now).is_some(),
            Some(_) => self.version_of(&wanted.base(), now).is_some(),
        }
    }

    /// Takes in what it holds now that an adapter was brought in.
    pub fn note_holdings(&mut self, holdings: &Holdings, now: Instant) {
        self.set_holdings(holdings);
        self.holdings_told = Some(now);
        // What the owner now tells in full is newer than all moves before.
        self.moves.clear();
    }

    /// Takes in that it does not hold `model`, as it said itself.
    pub(crate) fn note_absent(&mut self, model: &ModelRef, now: Instant) {
        self.holdings.forget(model);
        let absent = AdapterMove {
            model: model.digest(),
            is_held: false,
        };
        self.moves.retain(|(moved, _)| moved.model != absent.model);
        self.moves.push((absent, now));
    }

    /// Whether it held `model` a while ago, in a version that requests are meant to begin on.
    pub fn held_lately(&self, model: &ModelRef, version: VersionRule) -> bool {
        let held = self.recent.version_of(model);
        held.is_some_and(|held| version.prefers(held))
    }

    fn set_holdings(&mut self, holdings: &Holdings) {
        if self.holdings != *holdings {
            self.recent.note_change(&self.holdings, holdings);
            if holdings.models.is_empty() {
                self.kept.clear();
            }
            self.holdings = holdings.clone();
        }
    }

    /// How old its owner's word of what it holds is; nothing if only the list of upstreams tells.
    pub fn holdings_age(&self, now: Instant) -> Option<Duration> {
        self.holdings_told.map(|at| now.duration_since(at))
    }

    /// How much longer answers take than expected; 1 for a sound upstream.
    pub fn slowness(&self, now: Instant) -> f64 {
        let age_s = now.duration_since(self.slowness_at).as_secs_f64();
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(age_s / SLOWNESS_HALF_LIFE_S)
    }

    /// Prompt tokens that are to be read before a new one, as far as is known.
    pub fn backlog_tokens(&self, now: Instant) -> u64 {
        let others = self.fresh_report(now);
        self.unread_tokens + others.map_or(0, |report| report.unread_tokens_of_others)
    }

    /// Requests that run there, as far as is known.
    pub fn running(&self, now: Instant) -> u32 {
        let others = self.fresh_report(now);
        self.in_flight + others.map_or(0, |report| report.in_flight_of_others)
    }

    /// Counts a request as sent.
    pub(crate) fn sent(&mut self, prompt_tokens: u64, now: Instant) {
        self.in_flight += 1;
        self.rest.note_sent(now);
        self.unread_tokens += prompt_tokens;
        self.waiting_since.get_or_insert(now);
    }

    /// Takes in that another process answered at its address.
    pub(crate) fn note_gone(&mut self, now: Instant) {
        self.gone_at = Some(now);
    }

    /// Whether it has not been said, by the list or by itself, that it leaves.
    pub fn is_to_stay(&self) -> bool {
        self.upstream.takes_work() && self.leaving_since.is_none()
    }

    /// Takes in that its limit leaves no room before `until`.
    pub(crate) fn note_limited(&mut self, until: Instant) {
        self.limited_until = Some(until);
    }

    /// How long its limit leaves no room yet, in milliseconds.
    pub(crate) fn limit_wait_ms(&self, now: Instant) -> f64 {
        let until = self.limited_until.filter(|_| self.is_limited);
        until.map_or(0.0, |until| {
            until.saturating_duration_since(now).as_secs_f64() * 1_000.0
        })
    }

    /// Whether another process has its address, before the list of upstreams shows it.
    pub(crate) fn is_gone(&self, now: Instant) -> bool {
        self.gone_at
            .is_some_and(|at| now.duration_since(at) < GONE_LIFE)
    }

    /// Takes in that it reads a prompt.
    pub(crate) fn note_prompt(&mut self, prompt: &PromptChain, now: Instant) {
        self.kept.note(prompt, now);
    }

    /// Tokens of a prompt that it need not read, as far as this node knows.
    pub(crate) fn kept_tokens(&self, prompt: &PromptChain, now: Instant) -> u64 {
        self.kept.tokens_of(prompt, now)
    }

    /// Takes in that something came back.
    pub(crate) fn note_alive(&mut self, now: Instant) {
        let is_waiting = self.in_flight > 0 && self.unread_tokens > 0;
        self.waiting_since = is_waiting.then_some(now);
    }

    /// Counts a prompt as read, or given up.
    pub(crate) fn prompt_read(&mut self, prompt_tokens: u64) {
        self.unread_tokens = self.unread_tokens.saturating_sub(prompt_tokens);
        if self.unread_tokens == 0 {
            self.waiting_since = None;
        }
    }

    /// Whether nothing has come back for much longer than answers take.
    ///
    /// An engine that crashed without a word, or is behind a partition, keeps its connections and
    /// says nothing. Each request sent there hangs until its caller gives up. Its heartbeats end
    /// the matter after 3.6 s only.
    pub fn is_silent(&self, now: Instant) -> bool {
        let limit_ms = SILENCE_FLOOR_MS.max(SILENCE_RATIO * self.sound_first_event_ms(0, now));
        let limit = Duration::from_secs_f64(limit_ms / 1_000.0);
        self.waiting_since
            .is_some_and(|since| now.duration_since(since) > limit)
    }

    /// Adapters on their way to it, as far as is known.
    pub fn coming(&self, now: Instant) -> &[ModelDigest] {
        self.fresh_report(now)
            .map_or(&[], |report| report.coming.as_slice())
    }

    /// Whether it has a place for another adapter, as far as is known.
    pub fn has_room(&self, now: Instant) -> bool {
        self.fresh_report(now).is_none_or(|report| report.room > 0)
    }

    /// Whether loads can be ordered there, as far as is known.
    pub fn takes_loads(&self, now: Instant) -> bool {
        self.fresh_report(now)
            .is_none_or(|report| report.takes_loads)
    }

    /// How long a prompt of `tokens` is expected to wait for its first event, in milliseconds.
    pub fn expected_first_event_ms(&self, tokens: u64, now: Instant) -> f64 {
        self.sound_first_event_ms(tokens, now) * self.slowness(now)
    }

    fn sound_first_event_ms(&self, tokens: u64, now: Instant) -> f64 {
        let to_read = (self.backlog_tokens(now) + tokens) as f64;
        let running = f64::from(self.running(now));
        let reading_ms = to_read * PROMPT_TOKEN_MS + running * RUNNING_REQUEST_MS;
        (FIRST_EVENT_FLOOR_MS + reading_ms) * self.pace + self.slot_wait_ms(now)
    }

    /// How long a new request waits for a slot, in milliseconds.
    ///
    /// Where engines have few slots and answers are long, slots are short before prompt reading is.
    /// An engine with twelve and streams of 2 s frees one in 160 ms; taken for the wait of its prompts
    /// alone, its queue grew to several seconds.
    fn slot_wait_ms(&self, now: Instant) -> f64 {
        let (running, slots) = (self.running(now), self.upstream.slots.max(1));
        let ahead = (running + 1).saturating_sub(slots);
        f64::from(ahead) * self.run_ms / f64::from(slots)
    }

    /// Takes in how long requests take up a slot lately, in milliseconds.
    pub(crate) fn set_run_ms(&mut self, run_ms: f64) {
        self.run_ms = run_ms;
    }

    /// Takes in the pace of engines of its kind.
    pub(crate) fn set_pace(&mut self, pace: f64) {
        self.pace = pace;
    }

    /// Takes in that an answer that was expected after `expected_ms` began after `took`.
    pub fn note_first_event(&mut self, expected_ms: f64, took: Duration, now: Instant) {
        let sound_ms = expected_ms / self.slowness(now);
        let seen = took.as_secs_f64() * 1_000.0 / sound_ms.max(1.0);
        let known = self.slowness(now);
        let (least, most) = SLOWNESS_RANGE;
        self.slowness = (known + SLOWNESS_STEP * (seen - known)).clamp(least, most);
        self.slowness_at = now;
        self.note_alive(now);
    }

    fn fresh_report(&self, now: Instant) -> Option<&Report> {
        self.report
            .as_ref()
            .filter(|report| now.duration_since(report.taken) < REPORT_LIFE)
    }
}
