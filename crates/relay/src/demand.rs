//! How much each adapter or model is asked for.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

use crate::ModelRef;

/// Adapters that are remembered. Eight times what today's engines hold together (252); the least
/// wanted are forgotten first.
const ENTRIES_LIMIT: usize = 2_048;

/// What each adapter was asked for, with what was long ago counting less.
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
    /// Nothing asked for yet; what is `half_life` old counts half.
    pub fn new(half_life: Duration) -> Self {
        Self {
            half_life_s: half_life.as_secs_f64(),
            entries: HashMap::new(),
        }
    }

    /// Counts `amount` for `model`: requests, or what they weigh.
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
                self.make_room(now);
                let entry = Entry {
                    score: amount,
                    at: now,
                };
                self.entries.insert(model.clone(), entry);
            }
        }
    }

    /// How much `model` is asked for.
    pub fn score(&self, model: &K, now: Instant) -> f64 {
        self.entries
            .get(model)
            .map_or(0.0, |entry| entry.score_at(self.half_life_s, now))
    }

    /// What `model` is asked for in a second, if that has not changed for a few half-lives.
    pub fn rate_per_s(&self, model: &K, now: Instant) -> f64 {
        self.score(model, now) * std::f64::consts::LN_2 / self.half_life_s
    }

    fn make_room(&mut self, now: Instant) {
        if self.entries.len() < ENTRIES_LIMIT {
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
