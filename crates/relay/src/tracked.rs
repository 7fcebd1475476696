//! What a node knows of each upstream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::backoff::Backoff;
use crate::engine_speed::EngineSpeed;
use crate::{
    CachedPrompts, DroppedAdapters, Health, HeldAdapter, Holdings, ModelDigest, ModelRef,
    PromptPrefix, Upstream, VersionRule,
};

/// The load of an engine as other nodes reported it.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests that other nodes have in flight there.
    pub in_flight_of_others: u32,
    /// Prompt tokens sent by other nodes whose answers have not started.
    pub pending_prompt_tokens_of_others: u64,
    /// Adapters being loaded, or queued for loading.
    pub loading: Vec<ModelDigest>,
    /// Adapters that were loaded or unloaded recently.
    pub recent_changes: Vec<AdapterChange>,
    /// Number of adapters that could be loaded now: free adapter slots plus those of unused
    /// adapters.
    pub free_adapter_slots: u32,
    /// Whether the owner can order loads now.
    pub takes_loads: bool,
    /// When the report was received.
    pub received_at: Instant,
}

/// What a message says about the adapters and models that an engine holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum HoldingsReport {
    /// The complete new holdings.
    Changed(Holdings),
    /// The same holdings as in the last message to this node.
    Unchanged,
    /// The message does not cover holdings.
    #[default]
    NotReported,
}

impl HoldingsReport {
    /// Combines this message with an `older` one.
    pub fn after(self, older: Self) -> Self {
        match (self, older) {
            (Self::Unchanged, older @ Self::Changed(_)) => older,
            (Self::NotReported, older) => older,
            (newer, _) => newer,
        }
    }
}

/// An adapter that was loaded into or unloaded from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdapterChange {
    /// The adapter.
    pub model: ModelDigest,
    /// Whether the engine holds it now.
    pub is_held: bool,
}

/// How long a reported load or unload overrides the list of upstreams and the owner's last full
/// report: longer than a heartbeat plus the list's delay.
const CHANGE_TTL: Duration = Duration::from_millis(2_500);

/// An engine counts as silent if nothing comes back for this multiple of the expected wait, but not
/// before [`MIN_SILENCE_MS`].
const SILENCE_RATIO: f64 = 3.0;

/// Shortest silence that counts as a failure, in milliseconds. Healthy engines answer the first of
/// several requests within about 400 ms.
const MIN_SILENCE_MS: f64 = 700.0;

/// How long the owner's report overrides the list of upstreams: longer than a heartbeat plus the
/// list's delay.
const OWNER_REPORT_TTL: Duration = Duration::from_millis(2_500);

/// How long an upstream gets no requests after another process answered at its address. By then an
/// upstream that has ended is no longer listed; if it is, that answer may have been wrong.
const REPLACED_TTL: Duration = Duration::from_secs(6);

/// Age up to which a load report is used: an engine works off its queue of prompts in about 300 ms.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(600);

/// Time to the first event of an empty prompt at an idle engine, in milliseconds: one step plus the
/// network.
const MIN_FIRST_EVENT_MS: f64 = 18.0;

/// Start value of the time that each running request adds to a step, in milliseconds. It holds until
/// the latency factor learned from answers corrects it for the deployment's engines.
const INITIAL_RUNNING_REQUEST_MS: f64 = 0.4;

/// How long pauses over a route's limit at an engine affect the selection of upstreams: as long as
/// an engine's gate stays active after them.
const LONG_PAUSE_TTL: Duration = Duration::from_secs(10);

/// Fraction of a route's longest pause that pending prompts may take up before a further one counts
/// twice. The rest covers the steps between chunks, and prompts that other nodes send meanwhile.
const SAFE_PAUSE_FRACTION: f64 = 0.7;

/// Assumed time for which a request occupies a slot until requests have ended, in milliseconds.
pub(crate) const INITIAL_SLOT_TIME_MS: f64 = 1_000.0;

/// What a node knows of one upstream, with the requests that it sent there.
#[derive(Clone, Debug)]
pub struct Tracked {
    /// The upstream's entry in the list of upstreams.
    pub upstream: Arc<Upstream>,
    /// The models and adapters that it holds.
    pub holdings: Holdings,
    /// Adapters that it dropped and can restore quickly.
    dropped_adapters: DroppedAdapters,
    /// Prompts that this node sent to it and that it may have cached.
    cached_prompts: CachedPrompts,
    /// Adapters that were recently loaded or unloaded, with the time of the report.
    recent_changes: Vec<(AdapterChange, Instant)>,
    /// When its owner last confirmed the holdings.
    holdings_reported_at: Option<Instant>,
    /// Requests that this node sent and that have not ended.
    pub in_flight: u32,
    /// Prompt tokens that this node sent and whose answers have not started.
    pub pending_prompt_tokens: u64,
    /// Its recent failures.
    pub health: Health,
    /// When it first announced its shutdown to this node.
    pub(crate) leaving_since: Option<Instant>,
    /// When a shutdown was first announced that may be its own or that of an earlier process under
    /// its name.
    pub(crate) carried_leaving_since: Option<Instant>,
    /// The backoff that it asked this node for.
    pub(crate) rest: Backoff,
    /// Whether it limits the rate of its requests.
    pub(crate) is_limited: bool,
    /// Until when its limit is known to be exhausted.
    limited_until: Option<Instant>,
    /// When another process answered at its address.
    replaced_at: Option<Instant>,
    /// The last load report.
    pub report: Option<LoadReport>,
    /// Average time for which a request occupies a slot, in milliseconds.
    slot_time_ms: f64,
    speed: EngineSpeed,
    /// When a running answer was last known to pause for longer than its route's limit.
    long_pause_at: Option<Instant>,
    /// Since when no answer has arrived although some are pending.
    waiting_since: Option<Instant>,
    /// When an answer last began.
    pub(crate) answered_at: Option<Instant>,
}

impl Tracked {
    /// An upstream to which nothing has been sent.
    pub fn new(upstream: Arc<Upstream>, now: Instant) -> Self {
        Self {
            holdings: upstream.holdings.clone(),
            dropped_adapters: DroppedAdapters::default(),
            cached_prompts: CachedPrompts::default(),
            recent_changes: Vec::new(),
            holdings_reported_at: None,
            upstream,
            in_flight: 0,
            pending_prompt_tokens: 0,
            health: Health::default(),
            leaving_since: None,
            carried_leaving_since: None,
            rest: Backoff::default(),
            is_limited: false,
            limited_until: None,
            replaced_at: None,
            report: None,
            slot_time_ms: INITIAL_SLOT_TIME_MS,
            speed: EngineSpeed::new(now),
            long_pause_at: None,
            waiting_since: None,
            answered_at: None,
        }
    }

    /// Updates the upstream's entry from the list of upstreams.
    ///
    /// Entries are delayed by a heartbeat or more. An old entry would bring back an adapter that
    /// has been unloaded since, and requests for it would come back unserved. A recent report from
    /// the owner therefore overrides the entry's holdings.
    pub fn update_entry(&mut self, upstream: Arc<Upstream>, now: Instant) {
        let is_recent = |at| now.duration_since(at) < OWNER_REPORT_TTL;
        if !self.holdings_reported_at.is_some_and(is_recent) {
            self.set_holdings(&upstream.holdings);
        }
        self.upstream = upstream;
    }

    /// Records a report from the engine's owner, or one passed on by another node.
    ///
    /// A report that another node passed on does not cover holdings. When it was treated as a
    /// confirmation that they are unchanged, outdated holdings stayed in place and the list of
    /// upstreams was ignored for good: adapters that the engine held were loaded on other engines,
    /// and requests were sent for adapters that it had unloaded.
    pub fn record_owner_report(&mut self, holdings: &HoldingsReport, report: LoadReport) {
        match holdings {
            HoldingsReport::Changed(holdings) => {
                self.set_holdings(holdings);
                self.holdings_reported_at = Some(report.received_at);
            }
            HoldingsReport::Unchanged if self.holdings_reported_at.is_some() => {
                self.holdings_reported_at = Some(report.received_at);
            }
            HoldingsReport::Unchanged | HoldingsReport::NotReported => {}
        }
        self.record_changes(&report);
        self.report = Some(report);
    }

    fn record_changes(&mut self, report: &LoadReport) {
        let is_reported = |model| {
            report
                .recent_changes
                .iter()
                .any(|moved| moved.model == model)
        };
        self.recent_changes.retain(|(moved, at)| {
            report.received_at.duration_since(*at) < CHANGE_TTL && !is_reported(moved.model)
        });
        let reported = report
            .recent_changes
            .iter()
            .map(|moved| (*moved, report.received_at));
        self.recent_changes.extend(reported);
    }

    /// The version that it holds of what `wanted` names; 0 if the version is unknown.
    ///
    /// The list of upstreams is delayed by a heartbeat or more. Using it alone, an adapter that was
    /// loaded a second ago would be loaded again elsewhere, and requests would go to an engine that
    /// has unloaded theirs.
    pub fn version_of(&self, wanted: &ModelRef, now: Instant) -> Option<u64> {
        let held = self.holdings.version_of(wanted);
        if self.recent_changes.is_empty() {
            return held;
        }
        if wanted.adapter.is_some() && !self.has_base(wanted, now) {
            return None;
        }
        let digest = wanted.digest();
        let is_wanted = |(moved, at): &&(AdapterChange, Instant)| {
            moved.model == digest && now.duration_since(*at) < CHANGE_TTL
        };
        match self.recent_changes.iter().find(is_wanted) {
            Some((moved, _)) if moved.is_held => held.or(Some(HeldAdapter::UNSTATED_VERSION)),
            Some(_) => None,
            None => held,
        }
    }

    /// Whether it holds the base model that `wanted` names or belongs to.
    ///
    /// A base model that is being unloaded gets no new requests: those that have not started would
    /// come back unserved, and those that do start delay the unload.
    pub fn has_base(&self, wanted: &ModelRef, now: Instant) -> bool {
        match wanted.adapter {
            None => self.version_of(wanted, now).is_some(),
            Some(_) => self.version_of(&wanted.base(), now).is_some(),
        }
    }

    /// Records the holdings that the owner reported after an adapter was loaded.
    pub fn record_holdings(&mut self, holdings: &Holdings, now: Instant) {
        self.set_holdings(holdings);
        self.holdings_reported_at = Some(now);
        // The owner's full report is newer than all recorded changes.
        self.recent_changes.clear();
    }

    /// Records that the upstream itself said it does not hold `model`.
    pub(crate) fn record_adapter_missing(&mut self, model: &ModelRef, now: Instant) {
        self.holdings.forget(model);
        let absent = AdapterChange {
            model: model.digest(),
            is_held: false,
        };
        self.recent_changes
            .retain(|(moved, _)| moved.model != absent.model);
        self.recent_changes.push((absent, now));
    }

    /// Whether it dropped `model` recently, in a version that new requests should start on.
    pub fn dropped_recently(&self, model: &ModelRef, version: VersionRule) -> bool {
        let held = self.dropped_adapters.version_of(model);
        held.is_some_and(|held| version.prefers(held))
    }

    fn set_holdings(&mut self, holdings: &Holdings) {
        if self.holdings != *holdings {
            self.dropped_adapters
                .record_change(&self.holdings, holdings);
            if holdings.models.is_empty() {
                self.cached_prompts.clear();
            }
            self.holdings = holdings.clone();
        }
    }

    /// Age of the owner's last report of the holdings; `None` if they come from the list of
    /// upstreams only.
    pub fn holdings_age(&self, now: Instant) -> Option<Duration> {
        self.holdings_reported_at.map(|at| now.duration_since(at))
    }

    /// Observed over expected time to the first event; 1 for a healthy upstream.
    pub fn slowdown(&self, now: Instant) -> f64 {
        self.speed.slowdown(now)
    }

    /// Prompt tokens known to be processed before those of a new request.
    pub fn backlog_tokens(&self, now: Instant) -> u64 {
        let others = self.fresh_report(now);
        self.pending_prompt_tokens
            + others.map_or(0, |report| report.pending_prompt_tokens_of_others)
    }

    /// Number of requests known to be running there.
    pub fn running(&self, now: Instant) -> u32 {
        let others = self.fresh_report(now);
        self.in_flight + others.map_or(0, |report| report.in_flight_of_others)
    }

    /// Records that a request was sent.
    pub(crate) fn record_sent(&mut self, prompt_tokens: u64, now: Instant) {
        self.in_flight += 1;
        self.rest.note_sent(now);
        self.pending_prompt_tokens += prompt_tokens;
        self.waiting_since.get_or_insert(now);
    }

    /// Records that another process answered at its address.
    pub(crate) fn record_replaced(&mut self, now: Instant) {
        self.replaced_at = Some(now);
    }

    /// When it announced its shutdown, or may have done so.
    pub(crate) fn may_be_leaving_since(&self) -> Option<Instant> {
        self.leaving_since.or(self.carried_leaving_since)
    }

    /// Records that its limit is exhausted until `until`.
    pub(crate) fn record_rate_limited(&mut self, until: Instant) {
        self.limited_until = Some(until);
    }

    /// Remaining time for which its limit is exhausted, in milliseconds.
    pub(crate) fn limit_wait_ms(&self, now: Instant) -> f64 {
        let until = self.limited_until.filter(|_| self.is_limited);
        until.map_or(0.0, |until| {
            until.saturating_duration_since(now).as_secs_f64() * 1_000.0
        })
    }

    /// Whether another process has taken its address, before the list of upstreams shows it.
    pub(crate) fn is_replaced(&self, now: Instant) -> bool {
        self.replaced_at
            .is_some_and(|at| now.duration_since(at) < REPLACED_TTL)
    }

    /// Records a prompt that was sent to it.
    pub(crate) fn record_prompt(&mut self, prompt: &PromptPrefix, now: Instant) {
        self.cached_prompts.note(prompt, now);
    }

    /// Prompt tokens that it is expected to have cached.
    pub(crate) fn cached_tokens(&self, prompt: &PromptPrefix, now: Instant) -> u64 {
        self.cached_prompts.cached_tokens_of(prompt, now)
    }

    /// Records that something came back from it.
    pub(crate) fn record_activity(&mut self, now: Instant) {
        self.answered_at = Some(now);
        let is_waiting = self.in_flight > 0 && self.pending_prompt_tokens > 0;
        self.waiting_since = is_waiting.then_some(now);
    }

    /// Records that a prompt was processed or given up.
    pub(crate) fn record_prompt_read(&mut self, prompt_tokens: u64) {
        self.pending_prompt_tokens = self.pending_prompt_tokens.saturating_sub(prompt_tokens);
        if self.pending_prompt_tokens == 0 {
            self.waiting_since = None;
        }
    }

    /// Whether nothing has come back for much longer than answers take.
    ///
    /// An engine that crashed or is behind a partition may keep its connections open and send
    /// nothing, so that requests hang until their callers give up. Missed heartbeats show this only
    /// after 3.6 s.
    pub fn is_silent(&self, now: Instant) -> bool {
        let limit_ms = MIN_SILENCE_MS.max(SILENCE_RATIO * self.healthy_first_event_ms(0, now));
        let limit = Duration::from_secs_f64(limit_ms / 1_000.0);
        self.waiting_since
            .is_some_and(|since| now.duration_since(since) > limit)
    }

    /// Adapters known to be loading or queued for loading.
    pub fn loading(&self, now: Instant) -> &[ModelDigest] {
        self.fresh_report(now)
            .map_or(&[], |report| report.loading.as_slice())
    }

    /// Whether it could take another adapter. True if there is no recent report.
    pub fn has_room(&self, now: Instant) -> bool {
        self.fresh_report(now)
            .is_none_or(|report| report.free_adapter_slots > 0)
    }

    /// Whether its owner can order loads. True if there is no recent report.
    pub fn takes_loads(&self, now: Instant) -> bool {
        self.fresh_report(now)
            .is_none_or(|report| report.takes_loads)
    }

    /// Expected time to the first event of a prompt of `tokens` tokens, in milliseconds.
    pub fn expected_first_event_ms(&self, tokens: u64, now: Instant) -> f64 {
        self.healthy_first_event_ms(tokens, now) * self.slowdown(now)
    }

    fn healthy_first_event_ms(&self, tokens: u64, now: Instant) -> f64 {
        let pending_tokens = (self.backlog_tokens(now) + tokens) as f64;
        let running = f64::from(self.running(now));
        let step_ms = MIN_FIRST_EVENT_MS + running * INITIAL_RUNNING_REQUEST_MS;
        let prompts_ms = pending_tokens * self.token_ms(now);
        step_ms * self.speed.latency_factor + prompts_ms + self.slot_wait_ms(now)
    }

    /// Updates the engine's own pace from the node that runs its gate.
    pub fn set_pace(&mut self, tokens_per_ms: f64, received_at: Instant) {
        self.speed.set_pace(tokens_per_ms, received_at);
    }

    /// Time for this engine to process one prompt token, in milliseconds; `None` if its own pace
    /// isn't known, or wasn't confirmed recently.
    pub fn own_token_ms(&self, now: Instant) -> Option<f64> {
        self.speed.own_token_ms(now)
    }

    /// Time to process one prompt token, in milliseconds: by the engine's own pace, or else by that
    /// of all engines.
    pub fn token_ms(&self, now: Instant) -> f64 {
        self.own_token_ms(now)
            .unwrap_or_else(|| self.fleet_token_ms())
    }

    /// Time to process one prompt token, in milliseconds, by what is known of all engines.
    pub(crate) fn fleet_token_ms(&self) -> f64 {
        self.speed.fleet_token_ms()
    }

    /// Records that an answer running here paused for longer than its route allows, or that the
    /// engine's gate is active.
    pub(crate) fn record_long_pause(&mut self, now: Instant) {
        self.long_pause_at = Some(now);
    }

    /// Time by which a prompt of `tokens` tokens, after those that are pending, would take a pause
    /// of the requests running here over the safe part of `longest_pause`, in milliseconds.
    ///
    /// Zero where no pause was too long recently: with short chunks, or many tokens per event,
    /// pending prompts do no harm to running answers.
    pub fn pause_excess_ms(&self, tokens: u64, longest_pause: Duration, now: Instant) -> f64 {
        let is_recent = |at| now.saturating_duration_since(at) < LONG_PAUSE_TTL;
        if !self.long_pause_at.is_some_and(is_recent) || self.running(now) == 0 {
            return 0.0;
        }
        let pause_ms = (self.backlog_tokens(now) + tokens) as f64 * self.token_ms(now);
        let safe_ms = longest_pause.as_secs_f64() * 1_000.0 * SAFE_PAUSE_FRACTION;
        (pause_ms - safe_ms).max(0.0)
    }

    /// Expected time that a new request waits for a slot, in milliseconds.
    ///
    /// With few slots and long answers, slots run out before prompt processing does. An engine with
    /// twelve slots and streams of 2 s frees a slot every 160 ms; when only prompts were counted,
    /// its queue grew to several seconds.
    fn slot_wait_ms(&self, now: Instant) -> f64 {
        let (running, slots) = (self.running(now), self.upstream.slots.max(1));
        let queued = (running + 1).saturating_sub(slots);
        f64::from(queued) * self.slot_time_ms / f64::from(slots)
    }

    /// Updates the average time for which requests occupy a slot, in milliseconds.
    pub(crate) fn set_slot_time_ms(&mut self, slot_time_ms: f64) {
        self.slot_time_ms = slot_time_ms;
    }

    /// Updates the latency factor of the deployment's engines.
    pub(crate) fn set_latency_factor(&mut self, latency_factor: f64) {
        self.speed.latency_factor = latency_factor;
    }

    /// Updates the slowdown from an answer that started after `took`, where `expected_ms` was
    /// expected.
    pub fn record_first_event(&mut self, expected_ms: f64, took: Duration, now: Instant) {
        let healthy_ms = expected_ms / self.slowdown(now);
        let ratio = took.as_secs_f64() * 1_000.0 / healthy_ms.max(1.0);
        self.speed.record_ratio(ratio, now);
        self.record_activity(now);
    }

    fn fresh_report(&self, now: Instant) -> Option<&LoadReport> {
        self.report
            .as_ref()
            .filter(|report| now.duration_since(report.received_at) < LOAD_REPORT_TTL)
    }
}
