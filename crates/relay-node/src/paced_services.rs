//! The services whose prompts are paced, and how fast engines are assumed to prefill.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use nutmegsail_base::ServiceName;

/// How long after the last message of an active gate nodes still ask the gates of its service
/// before they send.
const PACED_PERIOD: Duration = Duration::from_secs(10);

/// Services with engines whose gates are known to be active, and the fleet-wide
/// pace. Both threads read and write it.
///
/// One active gate makes a node ask all gates of the service: a node of a large fleet sends to one
/// engine too seldom to be notified by its gate in time.
#[derive(Debug, Default)]
pub(crate) struct PacedServices {
    /// When a gate of each service was last known to be active.
    active: Mutex<HashMap<ServiceName, Instant>>,
    /// Fleet-wide pace in tokens per ms, as the bits of an `f64`; 0 until it is known.
    fleet_pace: AtomicU64,
}

impl PacedServices {
    /// Records that a gate of `service` is active.
    pub(crate) fn record_active(&self, service: &ServiceName, now: Instant) {
        self.lock().insert(service.clone(), now);
    }

    /// Whether prompts for engines of `service` are sent only after asking.
    pub(crate) fn is_paced(&self, service: &ServiceName, now: Instant) -> bool {
        let active = self.lock();
        let at = active.get(service);
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

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceName, Instant>> {
        self.active.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
