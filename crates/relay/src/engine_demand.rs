//! What one engine is asked for, and which of its adapters need further copies.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::FailureDomain;

use crate::tracked::PROMPT_TOKEN_MS;
use crate::{CopyPlace, Demand, HeldModel, Holdings, ModelRef};

/// In this time demand counts half. Long enough for some requests of a popular adapter, short enough
/// that a copy follows within a second or two of a shift.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(2);

/// The part of an engine that the requests for one adapter may take up, before another copy is worth
/// its load: of its prompt reading, or of its slots. The rest is for the engine's other adapters.
const COPY_SHARE: f64 = 0.4;

/// The same from which a copy is as urgent as a load for a miss: the engine has hardly room for anything
/// else, and the adapter's own callers queue.
const URGENT_SHARE: f64 = 0.8;

/// Requests in a second for one adapter from a failure domain over which it gets a copy there: a load
/// costs about a third of what a request is worth, and pays off within some seconds.
const OWN_COPY_PER_S: f64 = 2.0;

/// The time between two orders of copies of one adapter: a copy takes 250 ms and more, and its effect
/// on what is asked here shows some time after.
const COPY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Copies that are ordered at once. An adapter that a whole fleet turns to needs a dozen; one at a
/// time they would take as many seconds.
const COPIES_AT_ONCE: usize = 4;

/// An adapter that needs further copies.
#[derive(Clone, Debug, PartialEq)]
pub struct WantedCopies {
    /// The adapter.
    pub model: ModelRef,
    /// Where they are wanted.
    pub place: CopyPlace,
    /// How many.
    pub copies: usize,
    /// Whether one engine is too few for it, so that its callers wait for a copy as others do for a miss.
    pub is_urgent: bool,
}

/// An engine as its owner knows it.
#[derive(Clone, Copy, Debug)]
pub struct EngineLoadNow<'a> {
    /// Where it stands.
    pub failure_domain: &'a FailureDomain,
    /// Requests that it runs at once.
    pub slots: u32,
    /// What it holds.
    pub holdings: &'a Holdings,
}

/// What all nodes ask one engine for.
///
/// Each node of a large fleet sees so little of the demand that it cannot tell a popular adapter from
/// one that it was asked for by chance. An engine's owner hears from all.
#[derive(Clone, Debug)]
pub struct EngineDemand {
    tokens: Demand,
    requests: HashMap<FailureDomain, Demand>,
    ordered: HashMap<ModelRef, Instant>,
}

impl Default for EngineDemand {
    fn default() -> Self {
        Self {
            tokens: Demand::new(DEMAND_HALF_LIFE),
            requests: HashMap::new(),
            ordered: HashMap::new(),
        }
    }
}

impl EngineDemand {
    /// Counts requests for `model` from a node of `domain`.
    pub fn note(
        &mut self,
        domain: &FailureDomain,
        model: &ModelRef,
        requests: f64,
        prompt_tokens: f64,
        now: Instant,
    ) {
        self.tokens.add(model, prompt_tokens, now);
        let from = self.requests.entry(domain.clone());
        let from = from.or_insert_with(|| Demand::new(DEMAND_HALF_LIFE));
        from.add(model, requests, now);
    }

    /// The adapters that need further copies now; they count as ordered. `in_flight` tells how many
    /// requests for an adapter the engine has.
    pub fn copies_wanted(
        &mut self,
        engine: EngineLoadNow<'_>,
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
            if let Some(copies) = self.copies_of(engine, &model, in_flight(&model), now) {
                self.ordered.insert(model, now);
                wanted.push(copies);
            }
        }
        wanted
    }

    fn copies_of(
        &self,
        engine: EngineLoadNow<'_>,
        model: &ModelRef,
        in_flight: u32,
        now: Instant,
    ) -> Option<WantedCopies> {
        let reading = self.tokens.rate_per_s(model, now) * PROMPT_TOKEN_MS / 1_000.0;
        let slots = f64::from(in_flight) / f64::from(engine.slots.max(1));
        let share = reading.max(slots);
        let copies = (share / COPY_SHARE).ceil() as usize;
        let further = copies.saturating_sub(1);
        if further > 0 {
            return Some(WantedCopies {
                model: model.clone(),
                place: CopyPlace::Anywhere,
                copies: further.min(COPIES_AT_ONCE),
                is_urgent: share > URGENT_SHARE,
            });
        }
        let is_far = |domain: &FailureDomain| domain != engine.failure_domain;
        let mut far = self.requests.iter().filter(|(domain, _)| is_far(domain));
        let (domain, _) =
            far.find(|(_, requests)| requests.rate_per_s(model, now) > OWN_COPY_PER_S)?;
        Some(WantedCopies {
            model: model.clone(),
            place: CopyPlace::Domain(domain.clone()),
            copies: 1,
            is_urgent: false,
        })
    }
}
