//! One engine of a simulated fleet.

use std::collections::HashMap;
use std::time::Duration;

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{EngineDemand, LoadReport, ModelRef};

pub const ADAPTER_SLOTS: usize = 14;
/// Speeds of the engines relative to [`TOKENS_PER_MS`], a third each.
pub const SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
pub const TOKENS_PER_MS: f64 = 19.1;
pub const STEP_MS: f64 = 8.87;
pub const STEPS_PER_EVENT: f64 = 4.0;
pub const CHUNK_TOKENS: f64 = 2_048.0;
pub const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Time until which loads and demand settle, which isn't counted.
pub const SETTLE_MS: f64 = 10_000.0;

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    pub node: usize,
    pub model: ModelRef,
    pub tokens: u64,
    pub arrived_ms: f64,
    pub may_load: bool,
}

/// An engine that prefills one prompt after another.
pub struct FleetEngine {
    pub id: UpstreamId,
    pub tokens_per_ms: f64,
    pub adapters: Vec<(ModelRef, f64)>,
    pub loading: Vec<ModelRef>,
    /// Requests in flight for each adapter.
    pub running: HashMap<ModelRef, u32>,
    pub in_flight: u32,
    pub pending_tokens: u64,
    pub busy_since_ms: f64,
    pub free_at_ms: f64,
    pub loads_free_at_ms: f64,
    pub demand: EngineDemand,
    pub holdings_version: u64,
    pub tokens_counted: u64,
    /// Times at which running answers paused for too long.
    pub long_pauses_ms: Vec<f64>,
    pub report: Option<LoadReport>,
}

impl FleetEngine {
    pub fn new(index: usize) -> Self {
        Self {
            id: format!("e{index}").as_str().into(),
            tokens_per_ms: TOKENS_PER_MS * SPEEDS[index % 3],
            adapters: Vec::new(),
            loading: Vec::new(),
            running: HashMap::new(),
            in_flight: 0,
            pending_tokens: 0,
            busy_since_ms: 0.0,
            free_at_ms: 0.0,
            loads_free_at_ms: 0.0,
            demand: EngineDemand::default(),
            holdings_version: 0,
            tokens_counted: 0,
            long_pauses_ms: Vec::new(),
            report: None,
        }
    }

    pub fn holds(&self, model: &ModelRef) -> bool {
        self.adapters.iter().any(|(held, _)| held == model)
    }

    pub fn is_unused(&self, model: &ModelRef) -> bool {
        self.running.get(model).copied().unwrap_or(0) == 0
    }

    pub fn free_slots(&self) -> usize {
        let unused = self.adapters.iter();
        let unused = unused.filter(|(held, _)| self.is_unused(held)).count();
        (ADAPTER_SLOTS + unused).saturating_sub(self.adapters.len() + self.loading.len())
    }

    /// Makes room for one adapter by evicting the one that was unused for longest.
    pub fn make_room(&mut self) {
        if self.adapters.len() + self.loading.len() < ADAPTER_SLOTS {
            return;
        }
        let unused = self.adapters.iter().enumerate();
        let unused = unused.filter(|(_, (held, _))| self.is_unused(held));
        let oldest = unused.min_by(|(_, a), (_, b)| a.1.total_cmp(&b.1));
        if let Some((index, _)) = oldest {
            self.adapters.swap_remove(index);
            self.holdings_version += 1;
        }
    }

    /// Queues a prompt; returns when its first event is sent.
    pub fn prefill(&mut self, call: &Call, at_ms: f64) -> f64 {
        if self.free_at_ms <= at_ms {
            (self.busy_since_ms, self.free_at_ms) = (at_ms, at_ms);
        }
        self.free_at_ms += call.tokens as f64 / self.tokens_per_ms;
        let steps_ms = STEPS_PER_EVENT * STEP_MS;
        let limit_ms = LONGEST_PAUSE.as_secs_f64() * 1_000.0 - steps_ms;
        let full_chunks_ms = STEPS_PER_EVENT * CHUNK_TOKENS / self.tokens_per_ms;
        if full_chunks_ms > limit_ms && self.free_at_ms - self.busy_since_ms > limit_ms {
            self.long_pauses_ms.push(self.free_at_ms);
        }
        if at_ms >= SETTLE_MS {
            self.tokens_counted += call.tokens;
        }
        self.pending_tokens += call.tokens;
        self.in_flight += 1;
        *self.running.entry(call.model.clone()).or_default() += 1;
        let held = self.adapters.iter_mut();
        if let Some((_, used_ms)) = held.into_iter().find(|(held, _)| *held == call.model) {
            *used_ms = at_ms;
        }
        self.free_at_ms + 2.0 * STEP_MS
    }

    pub fn end(&mut self, model: &ModelRef) {
        self.in_flight -= 1;
        if let Some(count) = self.running.get_mut(model) {
            *count -= 1;
        }
    }
}
