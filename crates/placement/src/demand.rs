//! Estimates the request rate of each adapter.

use std::time::{Duration, Instant};
use std::{fmt, num::NonZeroUsize};

use lru::LruCache;
use nutmegsail_base::{AdapterRef, Class};

/// The share of the short-term rate in the blended rate.
const SHORT_TERM_SHARE: f64 = 0.4;

/// A sum of request weights with exponential decay.
#[derive(Clone, Copy, Debug)]
struct DecayedRate {
    weight: f64,
    at: Instant,
}

impl DecayedRate {
    fn weight_at(&self, now: Instant, half_life: Duration) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.weight * (-age / half_life.as_secs_f64()).exp2()
    }

    fn add(&mut self, weight: f64, now: Instant, half_life: Duration) {
        self.weight = self.weight_at(now, half_life) + weight;
        self.at = self.at.max(now);
    }
}

#[derive(Clone, Copy, Debug)]
struct AdapterRates {
    long_term: DecayedRate,
    short_term: DecayedRate,
}

/// The request rate of each adapter, with exponential decay. Memory is bounded: beyond the
/// capacity, the adapter whose last request is the oldest is forgotten.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_base::{AdapterRef, Class};
/// use nutmegsail_placement::DemandEstimate;
///
/// let half_life = Duration::from_secs(60);
/// let mut demand = DemandEstimate::new(100, half_life, Duration::from_secs(10), 3.0);
/// let (adapter, now) = (AdapterRef::new("notes", 1), Instant::now());
/// demand.add(&adapter, Class::Routine, 60.0, now);
/// let fresh = demand.rate_per_s(&adapter, now);
/// assert!(demand.rate_per_s(&adapter, now + half_life) < fresh / 2.0);
/// ```
pub struct DemandEstimate {
    adapters: LruCache<AdapterRef, AdapterRates>,
    half_life: Duration,
    short_half_life: Duration,
    urgent_weight: f64,
}

impl fmt::Debug for DemandEstimate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DemandEstimate")
            .field("adapters", &self.adapters.len())
            .finish_non_exhaustive()
    }
}

impl DemandEstimate {
    /// Keeps the rates of up to `capacity` adapters. An urgent request counts as `urgent_weight`
    /// routine ones.
    pub fn new(
        capacity: usize,
        half_life: Duration,
        short_half_life: Duration,
        urgent_weight: f64,
    ) -> Self {
        let capacity = NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN);
        Self {
            adapters: LruCache::new(capacity),
            half_life,
            short_half_life,
            urgent_weight,
        }
    }

    /// Records `weight` requests for an adapter.
    pub fn add(&mut self, adapter: &AdapterRef, class: Class, weight: f64, now: Instant) {
        let weight = match class {
            Class::Urgent => weight * self.urgent_weight,
            Class::Routine => weight,
        };
        let (half_life, short_half_life) = (self.half_life, self.short_half_life);
        let demand = self.entry(adapter, now);
        demand.long_term.add(weight, now, half_life);
        demand.short_term.add(weight, now, short_half_life);
    }

    /// Raises the demand of `new_version` to at least that of `from`, so that a new version starts
    /// with the demand of the old one.
    pub fn inherit(&mut self, new_version: &AdapterRef, from: &AdapterRef, now: Instant) {
        let Some(demand) = self.adapters.peek(from).copied() else {
            return;
        };
        let (half_life, short_half_life) = (self.half_life, self.short_half_life);
        let long_term = demand.long_term.weight_at(now, half_life);
        let short_term = demand.short_term.weight_at(now, short_half_life);
        let entry = self.entry(new_version, now);
        entry.long_term.weight = entry.long_term.weight_at(now, half_life).max(long_term);
        entry.long_term.at = now;
        entry.short_term.weight = entry
            .short_term
            .weight_at(now, short_half_life)
            .max(short_term);
        entry.short_term.at = now;
    }

    /// Weighted requests per second, blended from the long-term and the short-term rate.
    ///
    /// The long-term rate alone would keep adapters that were popular a minute ago in favour of
    /// those that are popular now; the short-term rate alone would treat every single request as a
    /// rise in demand.
    pub fn rate_per_s(&self, adapter: &AdapterRef, now: Instant) -> f64 {
        let rate = |demand: &AdapterRates| self.blended_rate(demand, now);
        self.adapters.peek(adapter).map_or(0.0, rate)
    }

    /// The `count` adapters with the highest rates per second, highest first.
    pub fn top(&self, count: usize, now: Instant) -> Vec<(AdapterRef, f64)> {
        let mut rates: Vec<(&AdapterRef, f64)> = self
            .adapters
            .iter()
            .map(|(adapter, demand)| (adapter, self.blended_rate(demand, now)))
            .collect();
        let by_rate = |a: &(&AdapterRef, f64), b: &(&AdapterRef, f64)| {
            b.1.total_cmp(&a.1).then_with(|| a.0.cmp(b.0))
        };
        if rates.len() > count {
            rates.select_nth_unstable_by(count, by_rate);
            rates.truncate(count);
        }
        rates.sort_unstable_by(by_rate);
        rates
            .into_iter()
            .map(|(a, rate)| (a.clone(), rate))
            .collect()
    }

    /// The number of adapters with a recorded rate.
    pub fn len(&self) -> usize {
        self.adapters.len()
    }

    /// Whether no request has been recorded.
    pub fn is_empty(&self) -> bool {
        self.adapters.is_empty()
    }

    fn blended_rate(&self, demand: &AdapterRates, now: Instant) -> f64 {
        let long_term =
            demand.long_term.weight_at(now, self.half_life) * per_second(self.half_life);
        let short_term = demand.short_term.weight_at(now, self.short_half_life)
            * per_second(self.short_half_life);
        SHORT_TERM_SHARE * short_term + (1.0 - SHORT_TERM_SHARE) * long_term
    }

    fn entry(&mut self, adapter: &AdapterRef, now: Instant) -> &mut AdapterRates {
        self.adapters.get_or_insert_mut_ref(adapter, || {
            let none = DecayedRate {
                weight: 0.0,
                at: now,
            };
            AdapterRates {
                long_term: none,
                short_term: none,
            }
        })
    }
}

/// Factor from a decayed sum to a rate: a constant rate r keeps the sum at `r * half_life / ln 2`.
fn per_second(half_life: Duration) -> f64 {
    std::f64::consts::LN_2 / half_life.as_secs_f64()
}
