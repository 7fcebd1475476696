//! Demand for adapters and models.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::ModelRef;

/// Maximum number of adapters to track: eight times what today's engines hold in total (252). Those
/// with the lowest demand are dropped first.
const MAX_ENTRIES: usize = 2_048;

/// Exponentially decaying demand for each adapter or model.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::{Demand, ModelRef};
/// let (mut demand, now) = (Demand::new(Duration::from_secs(10)), Instant::now());
/// let adapter = ModelRef::parse("llama/a7");
/// demand.add(&adapter, 4.0, now);
/// assert_eq!(demand.score(&adapter, now + Duration::from_secs(10)), 2.0);
/// ```
#[derive(Clone, Debug)]
pub struct Demand<K = ModelRef> {
    half_life_s: f64,
    entries: HashMap<K, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    score: f64,
    at: Instant,
}

impl Entry {
    fn score_at(&self, half_life_s: f64, now: Instant) -> f64 {
        let age_s = now.duration_since(self.at).as_secs_f64();
        self.score * 0.5_f64.powf(age_s / half_life_s)
    }
}

impl<K: Clone + Eq + Hash> Demand<K> {
    /// Creates an empty counter in which past demand decays with the given half-life.
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life_s: half_life.as_secs_f64(),
            entries: HashMap::new(),
        }
    }

    /// Adds `amount` to the demand for `model`: a number of requests or their weight.
    pub fn add(&mut self, model: &K, amount: f64, now: Instant) {
        let half_life_s = self.half_life_s;
        match self.entries.get_mut(model) {
            Some(entry) => {
                *entry = Entry {
                    score: entry.score_at(half_life_s, now) + amount,
                    at: now,
                };
            }
            None => {
                self.evict_half(now);
                let entry = Entry {
                    score: amount,
                    at: now,
                };
                self.entries.insert(model.clone(), entry);
            }
        }
    }

    /// The decayed demand for `model`.
    pub fn score(&self, model: &K, now: Instant) -> f64 {
        self.entries
            .get(model)
            .map_or(0.0, |entry| entry.score_at(self.half_life_s, now))
    }

    /// The demand for `model` per second, provided that it was constant for several half-lives.
    pub fn rate_per_s(&self, model: &K, now: Instant) -> f64 {
        self.score(model, now) * std::f64::consts::LN_2 / self.half_life_s
    }

    fn evict_half(&mut self, now: Instant) {
        if self.entries.len() < MAX_ENTRIES {
            return;
        }
        let mut scores: Vec<f64> = self
            .entries
            .values()
            .map(|entry| entry.score_at(self.half_life_s, now))
            .collect();
        let middle = scores.len() / 2;
        let (_, median, _) = scores.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.entries
            .retain(|_, entry| entry.score_at(self.half_life_s, now) > median);
    }
}
