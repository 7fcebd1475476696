//! Which upstream gets a request.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, ServiceName, UpstreamId};
use rand::{Rng, RngExt as _};

use crate::{Holdings, ModelRef, Outcome, Report, Tracked, Upstream, VersionRule};

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
    /// When the answer is expected to begin, in milliseconds; for [`Dispatcher::answer_began`].
    pub expected_ms: f64,
    /// Whether another copy of the adapter would shorten the wait of later requests.
    pub wants_copy: bool,
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

/// A wait over which a further copy of an adapter is worth its load: half of the shortest latency
/// objective of the generations (600 ms), so that a copy comes before requests are late.
const COPY_WAIT_MS: f64 = 300.0;

/// What a way into another failure domain costs, in milliseconds of expected wait: two crossings
/// of some 1 ms, and bytes that are charged for.
const OTHER_DOMAIN_MS: f64 = 12.0;

/// Scores that differ by less are taken as equal, so that nodes which know the same do not all
/// choose the same upstream.
const SCORE_NOISE_MS: f64 = 8.0;

/// What a paused upstream scores above any other: it gets work only if all are paused.
const PAUSED_MS: f64 = 100_000.0;

/// What a plain upstream scores for a request that runs there, in milliseconds.
const PLAIN_RUNNING_MS: f64 = 30.0;

/// The upstreams as one node sees them, with what it sent to each.
#[derive(Debug)]
pub struct Dispatcher {
    failure_domain: FailureDomain,
    upstreams: HashMap<UpstreamId, Tracked>,
}

impl Dispatcher {
    /// A dispatcher of a node in `failure_domain`, which knows no upstream yet.
    pub fn new(failure_domain: FailureDomain) -> Self {
        Self {
            failure_domain,
            upstreams: HashMap::new(),
        }
    }

    /// Takes in the list of upstreams. Those that are missing get nothing new.
    pub fn set_upstreams(&mut self, list: &[Arc<Upstream>], now: Instant) {
        self.upstreams
            .retain(|id, _| list.iter().any(|upstream| upstream.id == *id));
        for upstream in list {
            match self.upstreams.get_mut(&upstream.id) {
                Some(tracked) => {
                    tracked.holdings.merge(&upstream.holdings);
                    tracked.upstream = Arc::clone(upstream);
                }
                None => {
                    let tracked = Tracked::new(Arc::clone(upstream), now);
                    self.upstreams.insert(upstream.id.clone(), tracked);
                }
            }
        }
    }

    /// Takes in a report of what an engine holds.
    pub fn note_holdings(&mut self, id: &UpstreamId, holdings: &Holdings) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.holdings.merge(holdings);
        }
    }

    /// Takes in a report of an engine's load.
    pub fn note_report(&mut self, id: &UpstreamId, report: Report) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.report = Some(report);
        }
    }

    /// Takes in that an engine does not hold `model`.
    pub fn note_absent(&mut self, id: &UpstreamId, model: &ModelRef) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.holdings.forget(model);
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
        let mut refusal = Refusal::NoUpstream;
        let mut best: Option<(f64, &Tracked, Option<u64>)> = None;
        let mut preferred_exists = false;
        for tracked in self.candidates(need) {
            refusal = refusal.max_reason(Refusal::AdapterAbsent);
            let version = need
                .model
                .and_then(|model| tracked.holdings.version_of(model));
            if need.model.is_some() && !version.is_some_and(|version| need.version.allows(version))
            {
                continue;
            }
            refusal = refusal.max_reason(Refusal::AllBusy);
            let is_preferred = version.is_none_or(|version| need.version.prefers(version));
            if preferred_exists && !is_preferred {
                continue;
            }
            if is_preferred && !preferred_exists {
                preferred_exists = true;
                best = None;
            }
            let score = self.score(tracked, need, now) + random.random::<f64>() * SCORE_NOISE_MS;
            if best.is_none_or(|(least, ..)| score < least) {
                best = Some((score, tracked, version));
            }
        }
        let (score, tracked, version) = best.ok_or(refusal)?;
        if score >= PAUSED_MS && !need.tried.is_empty() {
            return Err(Refusal::AllBusy);
        }
        let expected_ms = tracked.expected_first_event_ms(need.prompt_tokens, now);
        Ok(Choice {
            upstream: Arc::clone(&tracked.upstream),
            version,
            expected_ms,
            wants_copy: need.model.is_some()
                && (expected_ms > COPY_WAIT_MS || !preferred_exists)
                && self.spare_engine(need, expected_ms, now),
        })
    }

    fn candidates<'a>(&'a self, need: &'a Need<'_>) -> impl Iterator<Item = &'a Tracked> {
        self.upstreams.values().filter(|tracked| {
            tracked.upstream.service == *need.service
                && tracked.upstream.takes_work()
                && !need.tried.contains(&tracked.upstream.id)
        })
    }

    fn score(&self, tracked: &Tracked, need: &Need<'_>, now: Instant) -> f64 {
        let mut score = match need.model {
            Some(_) => tracked.expected_first_event_ms(need.prompt_tokens, now),
            None => f64::from(tracked.in_flight) * PLAIN_RUNNING_MS * tracked.slowness(now),
        };
        if tracked.running(now) >= tracked.upstream.slots {
            score += f64::from(tracked.running(now) - tracked.upstream.slots + 1) * 50.0;
        }
        if tracked.upstream.failure_domain != self.failure_domain {
            score += OTHER_DOMAIN_MS;
        }
        score += tracked.health.failure_rate() * 200.0;
        if tracked.health.is_paused(now) {
            score += PAUSED_MS;
        }
        score
    }

    /// Whether an engine without the adapter would answer much sooner than `expected_ms`.
    fn spare_engine(&self, need: &Need<'_>, expected_ms: f64, now: Instant) -> bool {
        self.candidates(need).any(|tracked| {
            !tracked.health.is_paused(now)
                && tracked.expected_first_event_ms(need.prompt_tokens, now) < expected_ms / 2.0
        })
    }

    /// Counts a request as sent.
    pub fn sent(&mut self, id: &UpstreamId, prompt_tokens: u64) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.in_flight += 1;
            tracked.unread_tokens += prompt_tokens;
        }
    }

    /// Counts a request's prompt as read: its answer began, or it ended without one.
    pub fn prompt_read(&mut self, id: &UpstreamId, prompt_tokens: u64) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.unread_tokens = tracked.unread_tokens.saturating_sub(prompt_tokens);
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
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.note_first_event(expected_ms, took, now);
        }
    }

    /// Counts a request as ended.
    pub fn ended(&mut self, id: &UpstreamId) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.in_flight = tracked.in_flight.saturating_sub(1);
        }
    }

    /// Takes in what became of a send.
    pub fn note_outcome(&mut self, id: &UpstreamId, outcome: Outcome, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.health.note(outcome, now);
        }
    }

    /// Takes in that no connection could be made.
    pub fn note_unreachable(&mut self, id: &UpstreamId, now: Instant) {
        if let Some(tracked) = self.upstreams.get_mut(id) {
            tracked.health.note_unreachable(now);
        }
    }
}

impl Refusal {
    /// The reason that came closest to an answer.
    fn max_reason(self, other: Self) -> Self {
        let rank = |reason| match reason {
            Self::NoUpstream => 0,
            Self::AdapterAbsent => 1,
            Self::AllBusy => 2,
        };
        if rank(other) > rank(self) { other } else { self }
    }
}

