//! Remembers which prompt parts had answers lately.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a part is remembered at least, unless more than [`MAX_PARTS`] others have answers.
pub(crate) const BEGUN_TTL: Duration = Duration::from_secs(30);

/// The most parts in one generation, at some 40 bytes each.
const MAX_PARTS: usize = 1_024;

/// When answers to requests with a part last began and ran on, per part and service.
///
/// Parts are kept in two generations. Once the newer one is full or old, it replaces the older one.
#[derive(Clone, Debug, Default)]
pub(crate) struct BegunParts {
    newer: HashMap<(u64, u32), Instant>,
    older: HashMap<(u64, u32), Instant>,
    /// When the newer generation began.
    since: Option<Instant>,
}

impl BegunParts {
    /// Records that an answer of `service` to a request with `part` began at `began` and ran on.
    pub(crate) fn record(&mut self, part: u64, service: u32, began: Instant) {
        let since = *self.since.get_or_insert(began);
        let is_old = began.saturating_duration_since(since) >= BEGUN_TTL;
        if is_old || self.newer.len() >= MAX_PARTS {
            self.older = std::mem::take(&mut self.newer);
            self.since = Some(began);
        }
        let last = self.newer.entry((part, service)).or_insert(began);
        *last = began.max(*last);
    }

    /// When the last answer of `service` to a request with `part` began.
    pub(crate) fn last(&self, part: u64, service: u32) -> Option<Instant> {
        let key = (part, service);
        let found = self.newer.get(&key).or_else(|| self.older.get(&key));
        found.copied()
    }
}
