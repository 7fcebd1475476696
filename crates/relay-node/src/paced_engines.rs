//! The engines whose prompts are paced, and how fast engines are assumed to prefill.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;

/// How long after the last message of an active gate nodes still ask it before they send.
const PACED_PERIOD: Duration = Duration::from_secs(10);

/// Engines whose gates are active as far as this node was told, and the fleet-wide pace. Both
/// threads read and write it.
#[derive(Debug, Default)]
pub(crate) struct PacedEngines {
    /// When each engine's gate was last known to be active.
    active: Mutex<HashMap<UpstreamId, Instant>>,
    /// Fleet-wide pace in tokens per ms, as the bits of an `f64`; 0 until it is known.
    fleet_pace: AtomicU64,
}

impl PacedEngines {
    /// Records that the gate of `engine` is active.
    pub(crate) fn record_active(&self, engine: &UpstreamId, now: Instant) {
        let mut active = self.lock();
        active.retain(|_, at| now.saturating_duration_since(*at) < PACED_PERIOD);
        active.insert(engine.clone(), now);
    }

    /// Whether prompts for `engine` are sent only after asking.
    pub(crate) fn is_paced(&self, engine: &UpstreamId, now: Instant) -> bool {
        let active = self.lock();
        let at = active.get(engine);
        at.is_some_and(|at| now.saturating_duration_since(*at) < PACED_PERIOD)
    }

    /// Records the prompt tokens that engines prefill per ms on average, as this node expects.
    pub(crate) fn set_fleet_pace(&self, tokens_per_ms: f64) {
        let bits = tokens_per_ms.to_bits();
        self.fleet_pace.store(bits, Ordering::Relaxed);
    }

    /// The prompt tokens that engines prefill per ms on average, once it is known.
    pub(crate) fn fleet_pace(&self) -> Option<f64> {
        let pace = f64::from_bits(self.fleet_pace.load(Ordering::Relaxed));
        (pace > 0.0).then_some(pace)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<UpstreamId, Instant>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
