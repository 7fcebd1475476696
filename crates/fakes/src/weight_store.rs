//! The stand-in for the weight store.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::Knobs;
use crate::rate_limit::RateLimit;

/// Work left below which a load counts as done; it absorbs rounding.
const DONE_BELOW_S: f64 = 1e-9;

/// Limits of the weight store.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightStoreSettings {
    /// Loads that may begin in a second; more are refused.
    pub loads_per_s: f64,
    /// Loads that may begin at once after a quiet time.
    pub burst: f64,
    /// Loads at a time that go at full speed; more share that speed.
    pub loads_at_full_speed: u32,
    /// How long one load takes at full speed.
    pub load: Duration,
}

impl Default for WeightStoreSettings {
    fn default() -> Self {
        Self {
            loads_per_s: 3.0,
            burst: 3.0,
            loads_at_full_speed: 1,
            load: Duration::from_millis(300),
        }
    }
}

#[derive(Debug)]
struct Transfers {
    knobs: Knobs,
    left_s: BTreeMap<u64, f64>,
    advanced_at: Instant,
    next: u64,
    rate: RateLimit,
    begun: u64,
    refused: u64,
}

/// A rate-limited weight store that all engines of a deployment share.
#[derive(Debug)]
pub struct FakeWeightStore {
    settings: WeightStoreSettings,
    transfers: Mutex<Transfers>,
}

impl FakeWeightStore {
    /// An idle store.
    pub fn new(settings: WeightStoreSettings, now: Instant) -> Self {
        let transfers = Mutex::new(Transfers {
            knobs: Knobs::default(),
            left_s: BTreeMap::new(),
            advanced_at: now,
            next: 1,
            rate: RateLimit::new(settings.loads_per_s, settings.burst, now),
            begun: 0,
            refused: 0,
        });
        Self {
            settings,
            transfers,
        }
    }

    /// Replaces the failures to show: `outage` and `store_refuses` refuse every load.
    pub fn set_knobs(&self, knobs: Knobs) {
        self.lock().knobs = knobs;
    }

    /// Loads begun so far.
    pub fn begun(&self) -> u64 {
        self.lock().begun
    }

    /// Loads refused so far.
    pub fn refused(&self) -> u64 {
        self.lock().refused
    }

    /// Begins a load of `share` of an adapter's weights, or refuses it.
    pub fn begin(&self, share: f64, now: Instant) -> Option<u64> {
        let mut transfers = self.lock();
        self.advance(&mut transfers, now);
        let is_closed = transfers.knobs.outage || transfers.knobs.store_refuses;
        if is_closed || !transfers.rate.try_take(now) {
            transfers.refused += 1;
            return None;
        }
        let load = transfers.next;
        transfers.next += 1;
        transfers.begun += 1;
        let work_s = self.settings.load.as_secs_f64() * share;
        transfers.left_s.insert(load, work_s);
        Some(load)
    }

    /// Whether the load has ended.
    pub fn is_done(&self, load: u64, now: Instant) -> bool {
        let mut transfers = self.lock();
        self.advance(&mut transfers, now);
        !transfers.left_s.contains_key(&load)
    }

    /// Gives a load up.
    pub fn cancel(&self, load: u64, now: Instant) {
        let mut transfers = self.lock();
        self.advance(&mut transfers, now);
        transfers.left_s.remove(&load);
    }

    /// Moves all loads forward to `now`. Each step goes to the end of the shortest load, since the
    /// speed changes there.
    fn advance(&self, transfers: &mut Transfers, now: Instant) {
        let elapsed = now.saturating_duration_since(transfers.advanced_at);
        transfers.advanced_at = transfers.advanced_at.max(now);
        let mut elapsed_s = elapsed.as_secs_f64();
        while let Some(shortest_s) = transfers.left_s.values().copied().reduce(f64::min) {
            let active = transfers.left_s.len() as f64;
            let speed = (f64::from(self.settings.loads_at_full_speed) / active).min(1.0);
            let stretch_s = elapsed_s.min(shortest_s / speed);
            for left_s in transfers.left_s.values_mut() {
                *left_s -= stretch_s * speed;
            }
            transfers.left_s.retain(|_, left_s| *left_s > DONE_BELOW_S);
            elapsed_s -= stretch_s;
            if elapsed_s <= 0.0 {
                break;
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Transfers> {
        self.transfers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
