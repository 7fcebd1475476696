//! Selection of the upstream that serves a request.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, ServiceName, UpstreamId};
use rand::{Rng, RngExt as _};

use crate::fitness::Fitness;
use crate::load_times::FIRST_LOAD_MS;
use crate::tracked::{FIRST_RUN_MS, PROMPT_TOKEN_MS};
use crate::{
    DomainsHeard, Holdings, HoldingsTold, ModelRef, Outcome, PromptChain, Report, Tracked,
    Upstream, VersionRule,
};

/// What a request requires of an upstream.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    /// The service that the route leads to.
    pub service: &'a ServiceName,
    /// The model, for requests to a model engine.
    pub model: Option<&'a ModelRef>,
    /// The model versions that the request may start on.
    pub version: VersionRule,
    /// Length of the prompt in tokens; 0 for plain services.
    pub prompt_tokens: u64,
    /// The prompt's parts, if the caller identified them.
    pub prompt: &'a PromptChain,
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
    pub unread_tokens: u64,
    /// Expected time to the first event, in milliseconds. Pass it to [`Dispatcher::answer_began`].
    pub expected_ms: f64,
    /// Whether the upstream holds the version that new requests should start on.
    pub is_preferred: bool,
    /// Whether the upstream is about to shut down, so that the next request needs another one.
    pub is_leaving: bool,
}

/// Why no upstream can serve a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
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
pub(crate) const OTHER_DOMAIN_MS: f64 = 60.0;

/// Amplitude of the random noise added to each score, in milliseconds. It keeps nodes with the same
/// information from all selecting the same upstream.
const SCORE_NOISE_MS: f64 = 8.0;

/// Score penalty of a paused upstream. It is high enough that such an upstream is selected only if
/// all are paused.
const PAUSED_MS: f64 = 100_000.0;

/// Score penalty of a failing upstream in an unreachable failure domain. It ranks behind a paused
/// upstream.
const CUT_OFF_MS: f64 = 200_000.0;

/// Silence of all nodes of a failure domain after which it counts as unreachable. This allows for
/// four exchanges, because single datagrams are occasionally lost.
const DOMAIN_SILENCE: Duration = Duration::from_millis(420);

/// Silence after which a failure domain no longer counts as unreachable: its nodes may have been
/// removed while the upstreams there keep serving.
const DOMAIN_SILENCE_ENDS: Duration = Duration::from_secs(30);

/// Score of each request running at a plain upstream, in milliseconds.
const PLAIN_RUNNING_MS: f64 = 30.0;

/// Score of each request waiting for a slot at a plain upstream, in milliseconds.
const PLAIN_QUEUED_MS: f64 = 50.0;

/// Weight of one answer in the update of the pace, applied to the logarithm of observed over
/// expected time. About 35 answers take in half of a change.
const PACE_STEP: f64 = 0.02;

/// Lower and upper bound of the pace.
const PACE_RANGE: (f64, f64) = (0.05, 20.0);

/// Largest ratio, in either direction, that a single answer contributes to the pace. An answer that
/// hung says little about the other engines.
const PACE_SEEN_MOST: f64 = 3.0;

/// Weight of one request in the moving average of slot times.
const RUN_STEP: f64 = 0.05;

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
    run_ms: f64,
    /// Observed over assumed time for engines to process prompts and run steps.
    pace: f64,
    /// The last contact with a node of each failure domain.
    domains_heard: DomainsHeard,
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
            load_ms: FIRST_LOAD_MS,
            run_ms: FIRST_RUN_MS,
            pace: 1.0,
            domains_heard: DomainsHeard::default(),
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
                Some(tracked) => tracked.note_entry(Arc::clone(upstream), now),
                None => {
                    let mut tracked = Tracked::new(Arc::clone(upstream), now);
                    tracked.set_run_ms(self.run_ms);
                    tracked.set_pace(self.pace);
                    self.upstreams.insert(upstream.id.clone(), tracked);
                }
            }
        }
    }

    /// Records what an engine holds after an adapter was loaded.
    pub fn note_holdings(&mut self, id: &UpstreamId, holdings: &Holdings, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.note_holdings(holdings, now);
        }
    }

    /// Records a report from an engine's owner.
    pub fn note_told(&mut self, id: &UpstreamId, holdings: &HoldingsTold, report: Report) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.note_told(holdings, report);
        }
    }

    /// Records that an engine does not hold `model`.
    pub fn note_absent(&mut self, id: &UpstreamId, model: &ModelRef, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.note_absent(model, now);
        }
    }

    /// Records that another process now answers at an upstream's address.
    pub fn note_gone(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.note_gone(now);
        }
    }

    /// Records that an upstream announced its shutdown to this node.
    ///
    /// Has no effect if the list of upstreams already says so, as such an upstream gets no
    /// requests.
    pub fn note_leaving(&mut self, id: &UpstreamId, now: Instant) {
        let tracked = self.upstreams.get_mut(id);
        if let Some(tracked) = tracked.filter(|tracked| tracked.upstream.takes_work()) {
            tracked.leaving_since.get_or_insert(now);
        }
    }

    /// Records that an upstream asked this node to back off until `until`.
    pub fn note_rest(&mut self, id: &UpstreamId, until: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.rest.begin(until);
        }
    }

    /// Updates until when each upstream asked this node to back off.
    pub fn set_rests(&mut self, until: impl Fn(&UpstreamId) -> Option<Instant>) {
        for (id, tracked) in &mut self.upstreams {
            if let Some(until) = until(id) {
                tracked.rest.begin(until);
            }
        }
    }

    /// Whether a request may still be sent to the upstream that was selected for it.
    pub fn may_send(&self, id: &UpstreamId, now: Instant) -> bool {
        let tracked = self.tracked(id);
        tracked.is_some_and(|tracked| self.fitness(tracked, now) != Fitness::Unfit)
    }

    /// Updates which upstreams limit the rate of their requests.
    pub fn set_limited(&mut self, is_limited: impl Fn(&UpstreamId) -> bool) {
        for (id, tracked) in &mut self.upstreams {
            tracked.is_limited = is_limited(id);
        }
    }

    /// Records that an upstream's limit is exhausted until `until`.
    pub fn note_limited(&mut self, id: &UpstreamId, until: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.note_limited(until);
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
    /// [`Refusal`] if no upstream can serve the request now.
    pub fn choose(
        &self,
        need: &Need<'_>,
        now: Instant,
        random: &mut dyn Rng,
    ) -> Result<Choice, Refusal> {
        let able = self.able(need, now)?;
        let home = prompt_home(need, &able);
        let scored = able.into_iter().map(|able| {
            let is_home = home.is_some_and(|home| *home == able.tracked.upstream.id);
            let noise_ms = random.random::<f64>() * SCORE_NOISE_MS;
            (self.score(&able, need, is_home, now) + noise_ms, able)
        });
        let best = scored.min_by(|(a, _), (b, _)| a.total_cmp(b));
        let (score, best) = best.ok_or(Refusal::AllBusy)?;
        let (tracked, version) = (best.tracked, best.version);
        if score >= PAUSED_MS && !need.tried.is_empty() {
            return Err(Refusal::AllBusy);
        }
        let kept_tokens = tracked.kept_tokens(need.prompt, now);
        let unread_tokens = need.prompt_tokens.saturating_sub(kept_tokens);
        Ok(Choice {
            upstream: Arc::clone(&tracked.upstream),
            version,
            unread_tokens,
            expected_ms: tracked.expected_first_event_ms(unread_tokens, now),
            is_preferred: version.is_none_or(|version| need.version.prefers(version)),
            is_leaving: best.fitness == Fitness::Leaving,
        })
    }

    /// The upstreams that can serve the request. If some of them hold the version that new requests
    /// should start on, only those are returned.
    fn able<'a>(&'a self, need: &Need<'_>, now: Instant) -> Result<Vec<Able<'a>>, Refusal> {
        let mut refusal = Refusal::NoUpstream;
        let mut able = Vec::new();
        for tracked in self.candidates(need) {
            let fitness = self.fitness(tracked, now);
            if fitness == Fitness::Unfit {
                continue;
            }
            refusal = refusal.max_reason(Refusal::AdapterAbsent);
            let version = need.model.and_then(|model| tracked.version_of(model, now));
            if need.model.is_some() && !version.is_some_and(|version| need.version.allows(version))
            {
                continue;
            }
            if need.model.is_some() && fitness == Fitness::Failing {
                continue;
            }
            able.push(Able {
                tracked,
                version,
                fitness,
            });
        }
        if able.is_empty() {
            return Err(refusal);
        }
        if able.iter().any(|able| able.fitness == Fitness::Fit) {
            able.retain(|able| able.fitness != Fitness::Leaving);
        }
        let is_preferred = |able: &Able<'_>| {
            let version = able.version;
            version.is_none_or(|version| need.version.prefers(version))
        };
        if able.iter().any(is_preferred) {
            able.retain(is_preferred);
        }
        Ok(able)
    }

    /// The upstreams of the service that the request has not been sent to yet.
    pub(crate) fn candidates(&self, need: &Need<'_>) -> impl Iterator<Item = &Tracked> {
        let upstreams = self.upstreams.values();
        upstreams.filter(|tracked| {
            tracked.upstream.service == *need.service && !need.tried.contains(&tracked.upstream.id)
        })
    }

    fn score(&self, able: &Able<'_>, need: &Need<'_>, is_home: bool, now: Instant) -> f64 {
        let tracked = able.tracked;
        let kept_tokens = match is_home {
            true => need.prompt.shared_tokens(),
            false => tracked.kept_tokens(need.prompt, now),
        };
        let unread_tokens = need.prompt_tokens.saturating_sub(kept_tokens);
        let mut score = match need.model {
            Some(_) => tracked.expected_first_event_ms(unread_tokens, now),
            None => self.plain_score(tracked, now),
        };
        if tracked.upstream.failure_domain != self.failure_domain {
            score += OTHER_DOMAIN_MS;
        }
        score += tracked.health.failure_rate() * 200.0;
        score += tracked.limit_wait_ms(now);
        score
            + match able.fitness {
                Fitness::Failing if self.is_cut_off(tracked, now) => CUT_OFF_MS,
                Fitness::Failing => PAUSED_MS,
                Fitness::Unfit | Fitness::Leaving | Fitness::Fit => 0.0,
            }
    }

    fn plain_score(&self, tracked: &Tracked, now: Instant) -> f64 {
        let (running, slots) = (tracked.in_flight, tracked.upstream.slots);
        let ahead = (running + 1).saturating_sub(slots);
        let running_ms = f64::from(running) * PLAIN_RUNNING_MS * tracked.slowness(now);
        running_ms + f64::from(ahead) * PLAIN_QUEUED_MS
    }

    /// Whether the upstream's failure domain is unreachable.
    ///
    /// During a partition, open connections stay up and requests sent over them hang; a request
    /// that must not run twice is then lost. All nodes of the domain, which otherwise send ten
    /// messages a second, fall silent at the same time.
    pub(crate) fn is_cut_off(&self, tracked: &Tracked, now: Instant) -> bool {
        let domain = &tracked.upstream.failure_domain;
        let heard = self.domains_heard.heard(domain);
        *domain != self.failure_domain
            && heard.is_some_and(|at| {
                let silence = now.saturating_duration_since(at);
                silence > DOMAIN_SILENCE && silence < DOMAIN_SILENCE_ENDS
            })
    }

    /// Whether an engine that accepts requests holds the base model that `model` names or belongs
    /// to.
    pub fn has_base(&self, service: &ServiceName, model: &ModelRef, now: Instant) -> bool {
        self.upstreams.values().any(|tracked| {
            tracked.upstream.service == *service
                && self.fitness(tracked, now) == Fitness::Fit
                && tracked.has_base(model, now)
        })
    }

    /// Engine time that one request to `service` takes, in milliseconds: the time to process its
    /// prompt plus its share of the time in which all slots are occupied.
    pub fn engine_ms(&self, service: &ServiceName, prompt_tokens: u64) -> f64 {
        let engines = self.upstreams.values();
        let slots = engines
            .filter(|tracked| tracked.upstream.service == *service)
            .map(|tracked| tracked.upstream.slots)
            .max();
        self.reading_ms(prompt_tokens) + self.run_ms / f64::from(slots.unwrap_or(1).max(1))
    }

    /// Time for an engine to process a prompt, in milliseconds.
    pub(crate) fn reading_ms(&self, prompt_tokens: u64) -> f64 {
        prompt_tokens as f64 * PROMPT_TOKEN_MS * self.pace
    }

    /// Merges the last contacts with other failure domains.
    pub fn note_domains_heard(&mut self, heard: &DomainsHeard) {
        self.domains_heard.merge(heard);
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, id: &UpstreamId, prompt_tokens: u64, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.sent(prompt_tokens, now);
        }
    }

    /// Records the prompt sent to an engine, so that prompts with the same parts are sent there
    /// too.
    pub fn note_prompt(&mut self, id: &UpstreamId, prompt: &PromptChain, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.note_prompt(prompt, now);
        }
    }

    /// Records that a request's prompt is no longer pending: its answer started, or it ended
    /// without one.
    pub fn prompt_read(&mut self, id: &UpstreamId, prompt_tokens: u64) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.prompt_read(prompt_tokens);
        }
    }

    /// Records that an answer started.
    pub fn answer_began(
        &mut self,
        id: &UpstreamId,
        expected_ms: f64,
        took: Duration,
        now: Instant,
    ) {
        let Some(tracked) = self.upstreams.get_mut(id) else {
            return;
        };
        let sound_ms = expected_ms / tracked.slowness(now);
        tracked.rest.note_answered();
        tracked.note_first_event(expected_ms, took, now);
        // How fast plain services answer says nothing about engines.
        if !tracked.holdings.models.is_empty() {
            self.note_pace(sound_ms, took);
        }
    }

    /// Updates the pace from the time to the first event, compared with the one expected of a
    /// healthy engine.
    ///
    /// The speed of engines differs between deployments. With the figures of another deployment,
    /// the expected waits were twice the actual ones (542 ms instead of 266 ms at the median), and
    /// adapters were loaded on further engines to avoid waits that did not exist.
    fn note_pace(&mut self, sound_ms: f64, took: Duration) {
        let seen = took.as_secs_f64() * 1_000.0 / sound_ms.max(1.0);
        let (least, most) = PACE_RANGE;
        let seen = seen.clamp(1.0 / PACE_SEEN_MOST, PACE_SEEN_MOST);
        let step = PACE_STEP * seen.ln();
        self.pace = (self.pace * step.exp()).clamp(least, most);
        for tracked in self.upstreams.values_mut() {
            tracked.set_pace(self.pace);
        }
    }

    /// Records that a request ended.
    pub fn ended(&mut self, id: &UpstreamId) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.in_flight = tracked.in_flight.saturating_sub(1);
        }
    }

    /// Records how long a request occupied an engine slot, up to the end of its answer.
    pub fn note_run(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        self.run_ms += RUN_STEP * (took_ms - self.run_ms);
        for tracked in self.upstreams.values_mut() {
            tracked.set_run_ms(self.run_ms);
        }
    }

    /// Records the outcome of sending a request.
    pub fn note_outcome(&mut self, id: &UpstreamId, outcome: Outcome, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.health.note(outcome, now);
            if outcome != Outcome::Answered {
                tracked.rest.note_not_answered();
            }
        }
    }

    /// Records that no connection to an upstream could be made.
    pub fn note_unreachable(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.health.note_unreachable(now);
            tracked.rest.note_not_answered();
        }
    }
}

/// An upstream that can serve a request.
struct Able<'a> {
    tracked: &'a Tracked,
    /// The version of the requested model that it holds.
    version: Option<u64>,
    fitness: Fitness,
}

/// The engine preferred for requests that share the leading parts of their prompt, if queues are
/// equal.
fn prompt_home<'a>(need: &Need<'_>, able: &[Able<'a>]) -> Option<&'a UpstreamId> {
    if able.len() < 2 {
        return None;
    }
    let ids = able.iter().map(|able| &able.tracked.upstream.id);
    let ranked = ids.filter_map(|id| Some((need.prompt.rank_of(id)?, id)));
    ranked.max().map(|(_, id)| id)
}

impl Refusal {
    /// The reason of the two that came closer to serving the request.
    fn max_reason(self, other: Self) -> Self {
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
