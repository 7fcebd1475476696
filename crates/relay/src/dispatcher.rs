//! Which upstream gets a request.

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

/// What a request needs of an upstream.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The model, if an engine answers.
    pub model: Option<&'a ModelRef>,
    /// The versions it may begin on.
    pub version: VersionRule,
    /// Tokens of its prompt; 0 for plain services.
    pub prompt_tokens: u64,
    /// The parts of its prompt, as far as its caller told.
    pub prompt: &'a PromptChain,
    /// Upstreams that it was sent to already.
    pub tried: &'a [UpstreamId],
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The upstream.
    pub upstream: Arc<Upstream>,
    /// The version of the model that it holds.
    pub version: Option<u64>,
    /// Tokens of the prompt that are to be read there.
    pub unread_tokens: u64,
    /// When the answer is expected to begin, in milliseconds; for [`Dispatcher::answer_began`].
    pub expected_ms: f64,
    /// Whether it holds the version that new requests are meant to begin on.
    pub is_preferred: bool,
    /// Whether it leaves, so that the next request needs another one.
    pub is_leaving: bool,
}

/// Why no upstream gets a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No upstream that takes work is known.
    NoUpstream,
    /// None that takes work holds the adapter in a version that is allowed.
    AdapterAbsent,
    /// All that could answer are paused or full.
    AllBusy,
}

/// What a way into another failure domain costs, in milliseconds of expected wait. The way itself
/// takes some 2 ms, but an answer that crosses failure domains is lost when they are cut off from
/// each other, and bytes between them are charged for.
pub(crate) const OTHER_DOMAIN_MS: f64 = 60.0;

/// Scores that differ by less are taken as equal, so that nodes which know the same do not all
/// choose the same upstream.
const SCORE_NOISE_MS: f64 = 8.0;

/// What a paused upstream scores above any other: it gets work only if all are paused.
const PAUSED_MS: f64 = 100_000.0;

/// What an upstream scores that nothing reaches: even a paused one goes before it.
const CUT_OFF_MS: f64 = 200_000.0;

/// How long the nodes of a failure domain may be silent before it counts as cut off: four exchanges,
/// as single datagrams are lost now and then.
const DOMAIN_SILENCE: Duration = Duration::from_millis(420);

/// How long a silence says that. Nodes may be gone while the upstreams beside them serve on.
const DOMAIN_SILENCE_ENDS: Duration = Duration::from_secs(30);

/// What a plain upstream scores for a request that runs there, in milliseconds.
const PLAIN_RUNNING_MS: f64 = 30.0;

/// What each request that waits for a slot scores at a plain upstream, in milliseconds.
const PLAIN_QUEUED_MS: f64 = 50.0;

/// How much one answer moves the pace of all engines, as a part of the difference of logarithms. Half of
/// a change is taken in after some 35 answers.
const PACE_STEP: f64 = 0.02;

/// Bounds of the pace.
const PACE_RANGE: (f64, f64) = (0.05, 20.0);

/// The most that one answer tells, either way: one that hung says little about the rest.
const PACE_SEEN_MOST: f64 = 3.0;

/// How much one answer moves the time for which requests take up a slot.
const RUN_STEP: f64 = 0.05;

/// The upstreams as one node sees them, with what it sent to each.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) failure_domain: FailureDomain,
    pub(crate) upstreams: HashMap<UpstreamId, Tracked>,
    /// Whether loads hardly wait for the weight store; not until some were seen.
    pub(crate) are_loads_quick: bool,
    /// How long a load from the weight store takes with few others, in milliseconds.
    pub(crate) load_ms: f64,
    /// How long requests take up a slot of an engine, in milliseconds.
    run_ms: f64,
    /// How many times as long as assumed engines take to read and step.
    pace: f64,
    /// When a node of each other failure domain was last heard.
    domains_heard: DomainsHeard,
    /// How long an upstream that says that it leaves gets what nobody else can serve.
    pub(crate) leaving_grace: Duration,
}

impl Dispatcher {
    /// A dispatcher of a node in `failure_domain`, which knows no upstream yet.
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

    /// Sets for how long an upstream that says that it leaves gets what nobody else can serve; not at all by default.
    pub fn set_leaving_grace(&mut self, grace: Duration) {
        self.leaving_grace = grace;
    }

    /// Takes in the list of upstreams. Those that are missing get nothing new.
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

    /// Takes in what an engine holds now that an adapter was brought in.
    pub fn note_holdings(&mut self, id: &UpstreamId, holdings: &Holdings, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.note_holdings(holdings, now);
        }
    }

    /// Takes in what an engine's owner told.
    pub fn note_told(&mut self, id: &UpstreamId, holdings: &HoldingsTold, report: Report) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.note_told(holdings, report);
        }
    }

    /// Takes in that an engine does not hold `model`.
    pub fn note_absent(&mut self, id: &UpstreamId, model: &ModelRef, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.note_absent(model, now);
        }
    }

    /// Takes in that another process has an upstream's address.
    pub fn note_gone(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.note_gone(now);
        }
    }

    /// Takes in that an upstream has said to this node that it leaves.
    ///
    /// Where that was known before, it gets nothing already.
    pub fn note_leaving(&mut self, id: &UpstreamId, now: Instant) {
        let tracked = self.upstreams.get_mut(id);
        if let Some(tracked) = tracked.filter(|tracked| tracked.upstream.takes_work()) {
            tracked.leaving_since.get_or_insert(now);
        }
    }

    /// Takes in that an upstream wants nothing from this node before `until`.
    pub fn note_rest(&mut self, id: &UpstreamId, until: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.rest.begin(until);
        }
    }

    /// Takes in until when each upstream wants nothing from this node.
    pub fn set_rests(&mut self, until: impl Fn(&UpstreamId) -> Option<Instant>) {
        for (id, tracked) in &mut self.upstreams {
            if let Some(until) = until(id) {
                tracked.rest.begin(until);
            }
        }
    }

    /// Whether what was chosen for an upstream may still be sent there.
    pub fn may_send(&self, id: &UpstreamId, now: Instant) -> bool {
        let tracked = self.tracked(id);
        tracked.is_some_and(|tracked| self.fitness(tracked, now) != Fitness::Unfit)
    }

    /// Takes in which upstreams limit the requests that they take.
    pub fn set_limited(&mut self, is_limited: impl Fn(&UpstreamId) -> bool) {
        for (id, tracked) in &mut self.upstreams {
            tracked.is_limited = is_limited(id);
        }
    }

    /// Takes in that an upstream's limit leaves no room before `until`.
    pub fn note_limited(&mut self, id: &UpstreamId, until: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.note_limited(until);
        }
    }

    /// What is known of one upstream.
    pub fn tracked(&self, id: &UpstreamId) -> Option<&Tracked> {
        self.upstreams.get(id)
    }

    /// All upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Tracked> {
        self.upstreams.values()
    }

    /// Chooses an upstream for a request.
    ///
    /// # Errors
    ///
    /// [`Refusal`] if none can answer now.
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

    /// The upstreams that can answer; those with a version that new requests are meant to begin on, if
    /// there are any.
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

    /// The upstreams of the service that the request was not sent to.
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

    /// Whether the upstream's failure domain has fallen silent.
    ///
    /// When domains are cut off from each other, kept connections stay open and what is sent on
    /// them hangs; a request that must not run twice is lost with it. The nodes there, which
    /// answer ten times a second, are then silent at once.
    pub(crate) fn is_cut_off(&self, tracked: &Tracked, now: Instant) -> bool {
        let domain = &tracked.upstream.failure_domain;
        let heard = self.domains_heard.heard(domain);
        *domain != self.failure_domain
            && heard.is_some_and(|at| {
                let silence = now.saturating_duration_since(at);
                silence > DOMAIN_SILENCE && silence < DOMAIN_SILENCE_ENDS
            })
    }

    /// Whether an engine that takes work holds the base model that `model` names or belongs to.
    pub fn has_base(&self, service: &ServiceName, model: &ModelRef, now: Instant) -> bool {
        self.upstreams.values().any(|tracked| {
            tracked.upstream.service == *service
                && self.fitness(tracked, now) == Fitness::Fit
                && tracked.has_base(model, now)
        })
    }

    /// How long one request takes up an engine of `service`, in milliseconds: the time that its prompt is
    /// read, and its part of the time in which all slots are taken.
    pub fn engine_ms(&self, service: &ServiceName, prompt_tokens: u64) -> f64 {
        let engines = self.upstreams.values();
        let slots = engines
            .filter(|tracked| tracked.upstream.service == *service)
            .map(|tracked| tracked.upstream.slots)
            .max();
        self.reading_ms(prompt_tokens) + self.run_ms / f64::from(slots.unwrap_or(1).max(1))
    }

    /// How long engines take to read a prompt, in milliseconds.
    pub(crate) fn reading_ms(&self, prompt_tokens: u64) -> f64 {
        prompt_tokens as f64 * PROMPT_TOKEN_MS * self.pace
    }

    /// Takes in when failure domains were heard.
    pub fn note_domains_heard(&mut self, heard: &DomainsHeard) {
        self.domains_heard.merge(heard);
    }

    /// Counts a request as sent.
    pub fn sent(&mut self, id: &UpstreamId, prompt_tokens: u64, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.sent(prompt_tokens, now);
        }
    }

    /// Takes in which prompt an engine reads, so that others with the same parts go there.
    pub fn note_prompt(&mut self, id: &UpstreamId, prompt: &PromptChain, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.note_prompt(prompt, now);
        }
    }

    /// Counts a request's prompt as read: its answer began, or it ended without one.
    pub fn prompt_read(&mut self, id: &UpstreamId, prompt_tokens: u64) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.prompt_read(prompt_tokens);
        }
    }

    /// Takes in when an answer began.
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
        // Plain services answer in their own time.
        if !tracked.holdings.models.is_empty() {
            self.note_pace(sound_ms, took);
        }
    }

    /// Takes in how long an answer took to begin against what was expected of a sound engine.
    ///
    /// How fast engines read differs between deployments. Taken for those of another, waits were
    /// expected twice as long as they were (542 ms for 266 at the median), and requests loaded their
    /// adapters once more elsewhere to be spared them.
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

    /// Counts a request as ended.
    pub fn ended(&mut self, id: &UpstreamId) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.in_flight = tracked.in_flight.saturating_sub(1);
        }
    }

    /// Takes in how long a request took up a slot of an engine, to the end of its answer.
    pub fn note_run(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        self.run_ms += RUN_STEP * (took_ms - self.run_ms);
        for tracked in self.upstreams.values_mut() {
            tracked.set_run_ms(self.run_ms);
        }
    }

    /// Takes in what became of a send.
    pub fn note_outcome(&mut self, id: &UpstreamId, outcome: Outcome, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.health.note(outcome, now);
            if outcome != Outcome::Answered {
                tracked.rest.note_not_answered();
            }
        }
    }

    /// Takes in that no connection could be made.
    pub fn note_unreachable(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.health.note_unreachable(now);
            tracked.rest.note_not_answered();
        }
    }
}

/// An upstream that can answer.
struct Able<'a> {
    tracked: &'a Tracked,
    /// The version of the model that it holds.
    version: Option<u64>,
    fitness: Fitness,
}

/// The engine that requests with the same shared parts of the prompt go to, queues being equal.
fn prompt_home<'a>(need: &Need<'_>, able: &[Able<'a>]) -> Option<&'a UpstreamId> {
    if able.len() < 2 {
        return None;
    }
    let ids = able.iter().map(|able| &able.tracked.upstream.id);
    let ranked = ids.filter_map(|id| Some((need.prompt.rank_of(id)?, id)));
    ranked.max().map(|(_, id)| id)
}

impl Refusal {
    /// The reason that came closest to an answer.
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
