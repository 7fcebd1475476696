//! Demand at one engine, and which of its adapters need further copies.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::FailureDomain;

use crate::engine_speed::INITIAL_PROMPT_TOKEN_MS;
use crate::{CopyScope, Demand, HeldModel, Holdings, KnownPace, ModelRef};

/// Half-life of demand. It is long enough to cover several requests for a popular adapter, and
/// short enough that a copy is loaded within a second or two of a shift in demand.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(2);

/// Fraction of an engine, in prompt processing or in slots, that the requests for one adapter may
/// occupy before a further copy is worth its load. The rest is for the engine's other adapters.
const COPY_THRESHOLD: f64 = 0.4;

/// Fraction from which a copy is as urgent as a load for a miss: the engine can hardly do anything
/// else, and the adapter's own callers queue.
const URGENT_THRESHOLD: f64 = 0.8;

/// Fraction of an engine's prompt processing, over all adapters, from which its busiest adapter gets a
/// further copy. Only used where the engine's own pace is known: by a common pace, a third of the
/// engines would seem busy that are not.
const BUSY_ENGINE_SHARE: f64 = 0.4;

/// Smallest fraction of an engine for which such a copy is worth its load.
const BUSY_ADAPTER_SHARE: f64 = 0.08;

/// Requests per second for one adapter from a failure domain above which the domain gets its own
/// copy. A load costs about a third of what a request is worth, and pays off within some seconds.
const DOMAIN_COPY_REQUESTS_PER_S: f64 = 2.0;

/// Minimum interval between orders for copies of the same adapter. A copy takes at least 250 ms to
/// load, and demand at this engine drops only some time later.
const COPY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum number of copies ordered at the same time. An adapter that becomes popular in the whole
/// fleet needs a dozen; ordered one by one they would take a dozen seconds.
const MAX_COPIES_PER_ORDER: usize = 4;

/// An adapter that needs further copies.
#[derive(Clone, Debug, PartialEq)]
pub struct WantedCopies {
    /// The adapter.
    pub model: ModelRef,
    /// Where the copies should be loaded.
    pub place: CopyScope,
    /// How many copies to load.
    pub copies: usize,
    /// Whether this engine is too small for the adapter's demand, so that callers wait for a copy
    /// as they would for a miss.
    pub is_urgent: bool,
}

/// Properties of an engine as its owner knows them.
#[derive(Clone, Copy, Debug)]
pub struct EngineLoadSample<'a> {
    /// Its failure domain.
    pub failure_domain: &'a FailureDomain,
    /// Number of requests that it can run at the same time.
    pub slots: u32,
    /// The models and adapters that it holds.
    pub holdings: &'a Holdings,
}

/// Demand for the adapters of one engine, over all nodes.
///
/// A single node of a large fleet sees too few requests to tell a popular adapter from one that was
/// requested by chance. The owner of an engine gets reports from all nodes.
#[derive(Clone, Debug)]
pub struct EngineDemand {
    tokens: Demand,
    requests: HashMap<FailureDomain, Demand>,
    ordered: HashMap<ModelRef, Instant>,
    /// The engine's own pace.
    pace: Option<KnownPace>,
}

impl Default for EngineDemand {
    fn default() -> Self {
        Self {
            tokens: Demand::new(DEMAND_HALF_LIFE),
            requests: HashMap::new(),
            ordered: HashMap::new(),
            pace: None,
        }
    }
}

impl EngineDemand {
    /// Records requests for `model` from a node in `domain`.
    pub fn note(
        &mut self,
        domain: &FailureDomain,
        model: &ModelRef,
        requests: f64,
        prompt_tokens: f64,
        now: Instant,
    ) {
        self.tokens.add(model, prompt_tokens, now);
        let demand = self.requests.entry(domain.clone());
        let demand = demand.or_insert_with(|| Demand::new(DEMAND_HALF_LIFE));
        demand.add(model, requests, now);
    }

    /// Updates the engine's own pace, by which an adapter's share of the engine is measured.
    pub fn set_pace(&mut self, pace: Option<KnownPace>) {
        self.pace = pace;
    }

    /// Returns the adapters that need further copies now, and records these as ordered. `in_flight`
    /// gives the number of requests in flight for an adapter at the engine.
    pub fn copies_wanted(
        &mut self,
        engine: EngineLoadSample<'_>,
        in_flight: impl Fn(&ModelRef) -> u32,
        now: Instant,
    ) -> Vec<WantedCopies> {
        self.ordered
            .retain(|_, at| now.duration_since(*at) < COPY_INTERVAL);
        let adapters = engine
            .holdings
            .models
            .iter()
            .flat_map(HeldModel::adapter_refs);
        let mut wanted = Vec::new();
        for model in adapters {
            if self.ordered.contains_key(&model) {
                continue;
            }
            if let Some(copies) = self.needed_copies(engine, &model, in_flight(&model), now) {
                self.ordered.insert(model, now);
                wanted.push(copies);
            }
        }
        if self.ordered.is_empty() {
            wanted.extend(self.busy_engine_copy(engine.holdings, now));
        }
        wanted
    }

    /// A further copy of the busiest adapter, if the adapters together use much of the engine.
    ///
    /// Several adapters that each need less than [`COPY_THRESHOLD`] would otherwise stay together at
    /// one engine for as long as they are busy, while other engines have time.
    fn busy_engine_copy(&mut self, holdings: &Holdings, now: Instant) -> Option<WantedCopies> {
        let token_ms = self.pace.and_then(|pace| pace.token_ms(now))?;
        let adapters = holdings.models.iter().flat_map(HeldModel::adapter_refs);
        let shares = adapters.map(|model| {
            let share = self.tokens.rate_per_s(&model, now) * token_ms / 1_000.0;
            (share, model)
        });
        let shares: Vec<(f64, ModelRef)> = shares.collect();
        let total: f64 = shares.iter().map(|(share, _)| share).sum();
        let busiest = shares.into_iter().max_by(|(a, _), (b, _)| a.total_cmp(b));
        let (share, model) = busiest?;
        if total < BUSY_ENGINE_SHARE || share < BUSY_ADAPTER_SHARE {
            return None;
        }
        self.ordered.insert(model.clone(), now);
        Some(WantedCopies {
            model,
            place: CopyScope::Anywhere,
            copies: 1,
            is_urgent: false,
        })
    }

    fn needed_copies(
        &self,
        engine: EngineLoadSample<'_>,
        model: &ModelRef,
        in_flight: u32,
        now: Instant,
    ) -> Option<WantedCopies> {
        let own_token_ms = self.pace.and_then(|pace| pace.token_ms(now));
        let token_ms = own_token_ms.unwrap_or(INITIAL_PROMPT_TOKEN_MS);
        let prompt_share = self.tokens.rate_per_s(model, now) * token_ms / 1_000.0;
        let slot_share = f64::from(in_flight) / f64::from(engine.slots.max(1));
        let used_share = prompt_share.max(slot_share);
        let copies = (used_share / COPY_THRESHOLD).ceil() as usize;
        let further = copies.saturating_sub(1);
        if further > 0 {
            return Some(WantedCopies {
                model: model.clone(),
                place: CopyScope::Anywhere,
                copies: further.min(MAX_COPIES_PER_ORDER),
                is_urgent: used_share > URGENT_THRESHOLD,
            });
        }
        let is_remote = |domain: &FailureDomain| domain != engine.failure_domain;
        let mut remote = self.requests.iter().filter(|(domain, _)| is_remote(domain));
        let (domain, _) = remote
            .find(|(_, requests)| requests.rate_per_s(model, now) > DOMAIN_COPY_REQUESTS_PER_S)?;
        Some(WantedCopies {
            model: model.clone(),
            place: CopyScope::Domain(domain.clone()),
            copies: 1,
            is_urgent: false,
        })
    }
}
