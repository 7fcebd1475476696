//! Selection of the upstream that serves a request.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, ServiceName, UpstreamId};
use rand::{Rng, RngExt as _};

use crate::eligibility::Eligibility;
use crate::engine_speed::INITIAL_PROMPT_TOKEN_MS;
use crate::load_times::INITIAL_LOAD_MS;
use crate::tracked::INITIAL_SLOT_TIME_MS;
use crate::{
    DomainContacts, Holdings, HoldingsReport, LoadReport, ModelRef, Outcome, PromptPrefix,
    SoftwareRule, SuspectedPart, Tracked, Upstream, VersionRule,
};

/// What a request requires of an upstream.
#[derive(Clone, Debug)]
pub struct DispatchRequest<'a> {
    /// The service that the route leads to.
    pub service: &'a ServiceName,
    /// The model, for requests to a model engine.
    pub model: Option<&'a ModelRef>,
    /// The model versions that the request may start on.
    pub version: VersionRule,
    /// The software versions at which the request may run.
    pub software: SoftwareRule,
    /// Length of the prompt in tokens; 0 for plain services.
    pub prompt_tokens: u64,
    /// The prompt's parts, if the caller identified them.
    pub prompt: &'a PromptPrefix,
    /// The longest pause between two events with which an answer is on time; `None` if the route
    /// doesn't limit it.
    pub longest_pause: Option<Duration>,
    /// Upstreams that already received this request.
    pub tried: &'a [UpstreamId],
}

/// The upstream selected for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The selected upstream.
    pub upstream: Arc<Upstream>,
    /// The version of the requested model that the upstream holds.
    pub version: Option<u64>,
    /// Prompt tokens that the upstream has to process, without those it is expected to have cached.
    pub uncached_tokens: u64,
    /// Expected time to the first event, in milliseconds. Pass it to
    /// [`Dispatcher::record_answer_started`].
    pub expected_ms: f64,
    /// Whether the upstream holds the version that new requests should start on.
    pub is_preferred: bool,
    /// Whether the upstream is about to shut down, so that the next request needs another one.
    pub is_leaving: bool,
}

/// Why no upstream can serve a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChooseError {
    /// No known upstream of the service accepts requests.
    NoUpstream,
    /// No upstream that accepts requests holds the adapter in an allowed version.
    AdapterAbsent,
    /// Every upstream that could serve the request is paused or full.
    AllBusy,
}

/// Cost of sending a request to another failure domain, in milliseconds of expected wait. The
/// network adds only about 2 ms, but an answer that crosses failure domains is lost when they are
/// partitioned, and traffic between them is billed.
pub(crate) const CROSS_DOMAIN_COST_MS: f64 = 60.0;

/// Amplitude of the random noise added to each score, in milliseconds. It keeps nodes with the same
/// information from all selecting the same upstream.
const SCORE_NOISE_MS: f64 = 8.0;

/// Score penalty of a paused upstream. It is high enough that such an upstream is selected only if
/// all are paused.
const PAUSED_PENALTY_MS: f64 = 100_000.0;

/// Score penalty of a failing upstream in an unreachable failure domain. It ranks behind a paused
/// upstream.
const UNREACHABLE_PENALTY_MS: f64 = 200_000.0;

/// Silence of all nodes of a failure domain after which it counts as unreachable. This allows for
/// four exchanges, because single datagrams are occasionally lost.
const MIN_DOMAIN_SILENCE: Duration = Duration::from_millis(420);

/// Silence after which a failure domain no longer counts as unreachable: its nodes may have been
/// removed while the upstreams there keep serving.
const MAX_DOMAIN_SILENCE: Duration = Duration::from_secs(30);

/// Score of each request running at a plain upstream, in milliseconds.
const PLAIN_RUNNING_COST_MS: f64 = 30.0;

/// Score of each request waiting for a slot at a plain upstream, in milliseconds.
const PLAIN_QUEUED_COST_MS: f64 = 50.0;

/// Weight of one answer in the update of the latency factor, applied to the logarithm of observed
/// over expected time. About 35 answers take in half of a change.
const LATENCY_FACTOR_WEIGHT: f64 = 0.02;

/// Lower and upper bound of the latency factor.
const LATENCY_FACTOR_BOUNDS: (f64, f64) = (0.05, 20.0);

/// Largest ratio, in either direction, that a single answer contributes to the latency factor. An
/// answer that hung says little about the other engines.
const MAX_LATENCY_RATIO: f64 = 3.0;

/// Weight of one request in the moving average of slot times.
const SLOT_TIME_WEIGHT: f64 = 0.05;

/// Tracks the upstreams that one node knows and the requests it sent there, and selects upstreams.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) failure_domain: FailureDomain,
    pub(crate) upstreams: HashMap<UpstreamId, Tracked>,
    /// Whether loads are hardly delayed by the weight store. False until loads have been observed.
    pub(crate) are_loads_quick: bool,
    /// Time of a load from the weight store when few others are in progress, in milliseconds.
    pub(crate) load_ms: f64,
    /// Average time for which a request occupies an engine slot, in milliseconds.
    slot_time_ms: f64,
    /// Observed over assumed time for engines to process prompts and run steps.
    latency_factor: f64,
    /// The last contact with a node of each failure domain.
    domain_contacts: DomainContacts,
    /// How long an upstream that announced its shutdown still gets requests that no other can
    /// serve.
    pub(crate) leaving_grace: Duration,
}

impl Dispatcher {
    /// Creates a dispatcher for a node in `failure_domain`, without any upstreams.
    pub fn new(failure_domain: FailureDomain) -> Self {
        Self {
            failure_domain,
            upstreams: HashMap::new(),
            are_loads_quick: false,
            load_ms: INITIAL_LOAD_MS,
            slot_time_ms: INITIAL_SLOT_TIME_MS,
            latency_factor: 1.0,
            domain_contacts: DomainContacts::default(),
            leaving_grace: Duration::ZERO,
        }
    }

    /// Sets how long an upstream that announced its shutdown still gets requests that no other can
    /// serve. The default is zero.
    pub fn set_leaving_grace(&mut self, grace: Duration) {
        self.leaving_grace = grace;
    }

    /// Replaces the list of upstreams. Those missing from the list get no new requests.
    pub fn set_upstreams(&mut self, list: &[Arc<Upstream>], now: Instant) {
        let listed: HashSet<&UpstreamId> = list.iter().map(|upstream| &upstream.id).collect();
        self.upstreams.retain(|id, _| listed.contains(id));
        for upstream in list {
            match self.upstreams.get_mut(&upstream.id) {
                Some(tracked) => tracked.update_entry(Arc::clone(upstream), now),
                None => {
                    let mut tracked = Tracked::new(Arc::clone(upstream), now);
                    tracked.set_slot_time_ms(self.slot_time_ms);
                    tracked.set_latency_factor(self.latency_factor);
                    self.upstreams.insert(upstream.id.clone(), tracked);
                }
            }
        }
    }

    /// Records what an engine holds after an adapter was loaded.
    pub fn record_holdings(&mut self, id: &UpstreamId, holdings: &Holdings, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.record_holdings(holdings, now);
        }
    }

    /// Records a report from an engine's owner.
    pub fn record_owner_report(
        &mut self,
        id: &UpstreamId,
        holdings: &HoldingsReport,
        report: LoadReport,
    ) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.record_owner_report(holdings, report);
        }
    }

    /// Updates an engine's own pace from the node that runs its gate.
    pub fn set_pace(&mut self, id: &UpstreamId, tokens_per_ms: f64, received_at: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.set_pace(tokens_per_ms, received_at);
        }
    }

    /// Records that answers at an engine pause for longer than their routes allow: one that this
    /// node measured, or the message that the engine's gate is active.
    ///
    /// Only then does the score of a choice count the pause that a prompt would cause there.
    pub fn record_long_pause(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.record_long_pause(now);
        }
    }

    /// Records that an engine does not hold `model`.
    pub fn record_adapter_missing(&mut self, id: &UpstreamId, model: &ModelRef, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.record_adapter_missing(model, now);
        }
    }

    /// Records that another process now answers at an upstream's address.
    pub fn record_replaced(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.record_replaced(now);
        }
    }

    /// Records that an upstream announced its shutdown to this node.
    ///
    /// Has no effect if the list of upstreams already says so, as such an upstream gets no
    /// requests.
    pub fn record_leaving(&mut self, id: &UpstreamId, now: Instant) {
        let tracked = self.upstreams.get_mut(id);
        if let Some(tracked) = tracked.filter(|tracked| tracked.upstream.takes_work()) {
            let since = tracked.may_be_leaving_since().unwrap_or(now);
            tracked.leaving_since = Some(since);
        }
    }

    /// Updates since when each upstream may be leaving, by a notice that was filed under an earlier
    /// process first.
    pub fn set_carried_leaving(&mut self, since: impl Fn(&UpstreamId) -> Option<Instant>) {
        for (id, tracked) in &mut self.upstreams {
            tracked.carried_leaving_since = since(id);
        }
    }

    /// Records that an upstream asked this node to back off until `until`.
    pub fn record_backoff(&mut self, id: &UpstreamId, until: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.rest.begin(until);
        }
    }

    /// Updates until when each upstream asked this node to back off.
    pub fn set_backoffs(&mut self, until: impl Fn(&UpstreamId) -> Option<Instant>) {
        for (id, tracked) in &mut self.upstreams {
            if let Some(until) = until(id) {
                tracked.rest.begin(until);
            }
        }
    }

    /// Whether a request may still be sent to the upstream that was selected for it.
    pub fn may_send(&self, id: &UpstreamId, now: Instant) -> bool {
        let tracked = self.tracked(id);
        tracked.is_some_and(|tracked| self.eligibility(tracked, now) != Eligibility::Ineligible)
    }

    /// Updates which upstreams limit the rate of their requests.
    pub fn set_limited(&mut self, is_limited: impl Fn(&UpstreamId) -> bool) {
        for (id, tracked) in &mut self.upstreams {
            tracked.is_limited = is_limited(id);
        }
    }

    /// Records that an upstream's limit is exhausted until `until`.
    pub fn record_rate_limited(&mut self, id: &UpstreamId, until: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.record_rate_limited(until);
        }
    }

    /// What is known of one upstream.
    pub fn tracked(&self, id: &UpstreamId) -> Option<&Tracked> {
        self.upstreams.get(id)
    }

    /// All known upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Tracked> {
        self.upstreams.values()
    }

    /// Selects an upstream for a request.
    ///
    /// # Errors
    ///
    /// [`ChooseError`] if no upstream can serve the request now.
    pub fn choose(
        &self,
        need: &DispatchRequest<'_>,
        now: Instant,
        random: &mut dyn Rng,
    ) -> Result<Choice, ChooseError> {
        let candidates = self.candidates(need, now)?;
        let preferred = affinity_engine(need, &candidates);
        let scored = candidates.into_iter().map(|candidate| {
            let has_affinity =
                preferred.is_some_and(|preferred| *preferred == candidate.tracked.upstream.id);
            let noise_ms = random.random::<f64>() * SCORE_NOISE_MS;
            (
                self.score(&candidate, need, has_affinity, now) + noise_ms,
                candidate,
            )
        });
        let best = scored.min_by(|(a, _), (b, _)| a.total_cmp(b));
        let (score, best) = best.ok_or(ChooseError::AllBusy)?;
        if score >= PAUSED_PENALTY_MS && !need.tried.is_empty() {
            return Err(ChooseError::AllBusy);
        }
        Ok(self.to_choice(&best, need, now))
    }

    /// Selects an upstream for a request that may crash it, by rendezvous hash of the suspected part,
    /// which is the same at every node.
    ///
    /// By their affinity, such a request and those that it was with when an upstream ended would meet
    /// again at the next one, and end there together.
    ///
    /// # Errors
    ///
    /// [`ChooseError`] if no upstream can serve the request now.
    pub fn choose_apart(
        &self,
        suspected: &SuspectedPart,
        need: &DispatchRequest<'_>,
        now: Instant,
        random: &mut dyn Rng,
    ) -> Result<Choice, ChooseError> {
        let mut candidates = self.candidates(need, now)?;
        candidates.retain(|candidate| self.score(candidate, need, false, now) < PAUSED_PENALTY_MS);
        let rank = |candidate: &&Candidate<'_>| suspected.rank(&candidate.tracked.upstream.id);
        let selected = candidates.iter().max_by_key(rank);
        match selected {
            Some(selected) => Ok(self.to_choice(selected, need, now)),
            None => self.choose(need, now, random),
        }
    }

    fn to_choice(
        &self,
        selected: &Candidate<'_>,
        need: &DispatchRequest<'_>,
        now: Instant,
    ) -> Choice {
        let (tracked, version) = (selected.tracked, selected.version);
        let cached_tokens = tracked.cached_tokens(need.prompt, now);
        let uncached_tokens = need.prompt_tokens.saturating_sub(cached_tokens);
        Choice {
            upstream: Arc::clone(&tracked.upstream),
            version,
            uncached_tokens,
            expected_ms: tracked.expected_first_event_ms(uncached_tokens, now),
            is_preferred: version.is_none_or(|version| need.version.prefers(version)),
            is_leaving: selected.eligibility == Eligibility::Leaving,
        }
    }

    /// The upstreams that can serve the request. Those that are leaving are returned only if no
    /// other can, and those with an older version only if none holds the version that new requests
    /// should start on.
    fn candidates<'a>(
        &'a self,
        need: &DispatchRequest<'_>,
        now: Instant,
    ) -> Result<Vec<Candidate<'a>>, ChooseError> {
        let mut refusal = ChooseError::NoUpstream;
        let mut candidates = Vec::new();
        for tracked in self.untried_upstreams(need) {
            let eligibility = self.eligibility(tracked, now);
            if eligibility == Eligibility::Ineligible {
                continue;
            }
            refusal = refusal.more_specific(ChooseError::AdapterAbsent);
            let version = need.model.and_then(|model| tracked.version_of(model, now));
            if need.model.is_some() && !version.is_some_and(|version| need.version.allows(version))
            {
                continue;
            }
            if need.model.is_some() && eligibility == Eligibility::Failing {
                continue;
            }
            candidates.push(Candidate {
                tracked,
                version,
                eligibility,
            });
        }
        if candidates.is_empty() {
            return Err(refusal);
        }
        if candidates
            .iter()
            .any(|candidate| candidate.eligibility == Eligibility::Eligible)
        {
            candidates.retain(|candidate| candidate.eligibility != Eligibility::Leaving);
        }
        let is_preferred = |candidate: &Candidate<'_>| {
            let version = candidate.version;
            version.is_none_or(|version| need.version.prefers(version))
        };
        if candidates.iter().any(is_preferred) {
            candidates.retain(is_preferred);
        }
        Ok(candidates)
    }

    /// The upstreams of the service that the request has not been sent to yet.
    pub(crate) fn untried_upstreams(
        &self,
        need: &DispatchRequest<'_>,
    ) -> impl Iterator<Item = &Tracked> {
        let upstreams = self.upstreams.values();
        upstreams.filter(|tracked| {
            tracked.upstream.service == *need.service
                && need.software.allows(&tracked.upstream.software)
                && !need.tried.contains(&tracked.upstream.id)
        })
    }

    fn score(
        &self,
        candidate: &Candidate<'_>,
        need: &DispatchRequest<'_>,
        has_affinity: bool,
        now: Instant,
    ) -> f64 {
        let tracked = candidate.tracked;
        let cached_tokens = match has_affinity {
            true => need.prompt.shared_tokens(),
            false => tracked.cached_tokens(need.prompt, now),
        };
        let uncached_tokens = need.prompt_tokens.saturating_sub(cached_tokens);
        let mut score = match need.model {
            Some(_) => tracked.expected_first_event_ms(uncached_tokens, now),
            None => self.plain_score(tracked, now),
        };
        if let (Some(_), Some(longest)) = (need.model, need.longest_pause) {
            score += tracked.pause_excess_ms(uncached_tokens, longest, now);
        }
        if tracked.upstream.failure_domain != self.failure_domain {
            score += CROSS_DOMAIN_COST_MS;
        }
        score += tracked.health.failure_rate(now) * 200.0;
        score += tracked.limit_wait_ms(now);
        score
            + match candidate.eligibility {
                Eligibility::Failing if self.is_domain_unreachable(tracked, now) => {
                    UNREACHABLE_PENALTY_MS
                }
                Eligibility::Failing => PAUSED_PENALTY_MS,
                Eligibility::Ineligible | Eligibility::Leaving | Eligibility::Eligible => 0.0,
            }
    }

    fn plain_score(&self, tracked: &Tracked, now: Instant) -> f64 {
        let (running, slots) = (tracked.in_flight, tracked.upstream.slots);
        let queued = (running + 1).saturating_sub(slots);
        let running_cost_ms = f64::from(running) * PLAIN_RUNNING_COST_MS * tracked.slowdown(now);
        running_cost_ms + f64::from(queued) * PLAIN_QUEUED_COST_MS
    }

    /// Whether the upstream's failure domain is unreachable.
    ///
    /// During a partition, open connections stay up and requests sent over them hang; a request
    /// that must not run twice is then lost. All nodes of the domain, which otherwise send ten
    /// messages a second, fall silent at the same time.
    pub(crate) fn is_domain_unreachable(&self, tracked: &Tracked, now: Instant) -> bool {
        let domain = &tracked.upstream.failure_domain;
        let last_contact = self.domain_contacts.last_contact(domain);
        *domain != self.failure_domain
            && last_contact.is_some_and(|at| {
                let silence = now.saturating_duration_since(at);
                silence > MIN_DOMAIN_SILENCE && silence < MAX_DOMAIN_SILENCE
            })
    }

    /// Whether an engine that accepts requests holds the base model that `model` names or belongs
    /// to.
    pub fn has_base(&self, service: &ServiceName, model: &ModelRef, now: Instant) -> bool {
        self.upstreams.values().any(|tracked| {
            tracked.upstream.service == *service
                && self.eligibility(tracked, now) == Eligibility::Eligible
                && tracked.has_base(model, now)
        })
    }

    /// Engine time that one request to `service` takes, in milliseconds: the time to process its
    /// prompt plus its share of the time in which all slots are occupied.
    pub fn engine_time_ms(&self, service: &ServiceName, prompt_tokens: u64) -> f64 {
        let engines = self.upstreams.values();
        let slots = engines
            .filter(|tracked| tracked.upstream.service == *service)
            .map(|tracked| tracked.upstream.slots)
            .max();
        self.prompt_time_ms(prompt_tokens)
            + self.slot_time_ms / f64::from(slots.unwrap_or(1).max(1))
    }

    /// Time for an engine to process a prompt, in milliseconds.
    pub fn prompt_time_ms(&self, prompt_tokens: u64) -> f64 {
        prompt_tokens as f64 * INITIAL_PROMPT_TOKEN_MS * self.latency_factor
    }

    /// Merges the last contacts with other failure domains.
    pub fn merge_domain_contacts(&mut self, contacts: &DomainContacts) {
        self.domain_contacts.merge(contacts);
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, id: &UpstreamId, prompt_tokens: u64, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.record_sent(prompt_tokens, now);
        }
    }

    /// Records the prompt sent to an engine, so that prompts with the same parts are sent there
    /// too.
    pub fn record_prompt(&mut self, id: &UpstreamId, prompt: &PromptPrefix, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.record_prompt(prompt, now);
        }
    }

    /// Records that a request's prompt is no longer pending: its answer started, or it ended
    /// without one.
    pub fn record_prompt_read(&mut self, id: &UpstreamId, prompt_tokens: u64) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.record_prompt_read(prompt_tokens);
        }
    }

    /// Records that an answer started.
    pub fn record_answer_started(
        &mut self,
        id: &UpstreamId,
        expected_ms: f64,
        took: Duration,
        now: Instant,
    ) {
        let Some(tracked) = self.upstreams.get_mut(id) else {
            return;
        };
        let healthy_ms = expected_ms / tracked.slowdown(now);
        tracked.rest.note_answered();
        tracked.record_first_event(expected_ms, took, now);
        // How fast plain services answer says nothing about engines. Where the engine's own pace is
        // known, the factor hardly affects what is expected, so that errors would add up in it.
        if !tracked.holdings.models.is_empty() && tracked.own_token_ms(now).is_none() {
            self.update_latency_factor(healthy_ms, took);
        }
    }

    /// Updates the latency factor from the time to the first event, compared with the one expected
    /// of a healthy engine.
    ///
    /// The speed of engines differs between deployments. With the figures of another deployment,
    /// the expected waits were twice the actual ones (542 ms instead of 266 ms at the median), and
    /// adapters were loaded on further engines to avoid waits that did not exist.
    fn update_latency_factor(&mut self, healthy_ms: f64, took: Duration) {
        let ratio = took.as_secs_f64() * 1_000.0 / healthy_ms.max(1.0);
        let (lower, upper) = LATENCY_FACTOR_BOUNDS;
        let ratio = ratio.clamp(1.0 / MAX_LATENCY_RATIO, MAX_LATENCY_RATIO);
        let step = LATENCY_FACTOR_WEIGHT * ratio.ln();
        self.latency_factor = (self.latency_factor * step.exp()).clamp(lower, upper);
        for tracked in self.upstreams.values_mut() {
            tracked.set_latency_factor(self.latency_factor);
        }
    }

    /// Records that a request ended.
    pub fn record_ended(&mut self, id: &UpstreamId) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.in_flight = tracked.in_flight.saturating_sub(1);
        }
    }

    /// Records how long a request occupied an engine slot, up to the end of its answer.
    pub fn record_slot_time(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        self.slot_time_ms += SLOT_TIME_WEIGHT * (took_ms - self.slot_time_ms);
        for tracked in self.upstreams.values_mut() {
            tracked.set_slot_time_ms(self.slot_time_ms);
        }
    }

    /// Records the outcome of sending a request.
    pub fn record_outcome(&mut self, id: &UpstreamId, outcome: Outcome, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.health.note(outcome, now);
            if outcome != Outcome::Answered {
                tracked.rest.note_not_answered();
            }
        }
    }

    /// Records that no connection to an upstream could be made.
    pub fn record_unreachable(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.health.record_unreachable(now);
            tracked.rest.note_not_answered();
        }
    }
}

/// An upstream that can serve a request.
struct Candidate<'a> {
    tracked: &'a Tracked,
    /// The version of the requested model that it holds.
    version: Option<u64>,
    eligibility: Eligibility,
}

/// The engine preferred for requests that share the leading parts of their prompt, if queues are
/// equal.
fn affinity_engine<'a>(
    need: &DispatchRequest<'_>,
    candidates: &[Candidate<'a>],
) -> Option<&'a UpstreamId> {
    if candidates.len() < 2 {
        return None;
    }
    let ids = candidates
        .iter()
        .map(|candidate| &candidate.tracked.upstream.id);
    let hashed = ids.filter_map(|id| Some((need.prompt.affinity_hash(id)?, id)));
    hashed.max().map(|(_, id)| id)
}

impl ChooseError {
    /// The reason of the two that came closer to serving the request.
    fn more_specific(self, other: Self) -> Self {
        let rank = |reason| match reason {
            Self::NoUpstream => 0,
            Self::AdapterAbsent => 1,
            Self::AllBusy => 2,
        };
        if rank(other) > rank(self) {
            other
        } else {
            self
        }
    }
}
