//! How much each adapter is asked for.

use std::collections::HashMap;
use std::time::Instant;

use crate::ModelRef;

/// In this time an adapter's demand counts half. Demand moves on within some 5 s; a longer memory
/// keeps yesterday's favourites, a shorter one forgets the tail between two of its requests.
const HALF_LIFE_S: f64 = 10.0;

/// Adapters that are remembered. Eight times what today's engines hold together (252); the least
/// wanted are forgotten first.
const ENTRIES_LIMIT: usize = 2_048;

/// Requests for each adapter, with those of long ago counting less.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    entries: HashMap<ModelRef, Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    score: f64,
    at: Instant,
}

impl Entry {
    fn score_at(&self, now: Instant) -> f64 {
        let age_s = now.duration_since(self.at).as_secs_f64();
        self.score * 0.5_f64.powf(age_s / HALF_LIFE_S)
    }
}

impl Demand {
    /// Counts requests for `model`.
    pub fn add(&mut self, model: &ModelRef, requests: f64, now: Instant) {
        match self.entries.get_mut(model) {
            Some(entry) => {
                *entry = Entry {
                    score: entry.score_at(now) + requests,
                    at: now,
                };
            }
            None => {
                self.make_room(now);
                let entry = Entry {
                    score: requests,
                    at: now,
                };
                self.entries.insert(model.clone(), entry);
            }
        }
    }

    /// How much `model` is asked for.
    pub fn score(&self, model: &ModelRef, now: Instant) -> f64 {
        self.entries
            .get(model)
            .map_or(0.0, |entry| entry.score_at(now))
    }

    fn make_room(&mut self, now: Instant) {
        if self.entries.len() < ENTRIES_LIMIT {
            return;
        }
        let mut scores: Vec<f64> = self
            .entries
            .values()
            .map(|entry| entry.score_at(now))
            .collect();
        let middle = scores.len() / 2;
        let (_, median, _) = scores.select_nth_unstable_by(middle, f64::total_cmp);
        let median = *median;
        self.entries
            .retain(|_, entry| entry.score_at(now) > median);
    }
}
