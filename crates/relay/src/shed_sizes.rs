//! Keeps large requests from being shed for their size alone.

use std::collections::{HashMap, VecDeque};

/// Requests of one priority whose work is remembered.
const REMEMBERED: usize = 64;

/// Requests with more work than all but this share count as large. It is twice the tenth that must
/// be served half as often as all, so that errors of the estimate at the border do not matter.
const LARGE_SHARE: f64 = 0.2;

/// Of this many large requests, all but one are exempt. Requests must be served at least half as
/// often as the others; the rest is margin for those that no order could have served.
const LARGE_CYCLE: u32 = 4;

/// Recent work by priority, and which large requests are exempt from being shed for their size.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShedSizes {
    by_priority: HashMap<u8, Sizes>,
}

#[derive(Clone, Debug, Default)]
struct Sizes {
    recent_ms: VecDeque<f64>,
    large_seen: u32,
}

impl ShedSizes {
    /// Records the work of a new request. Returns whether it is exempt.
    pub(crate) fn record(&mut self, priority: u8, work_ms: f64) -> bool {
        let sizes = self.by_priority.entry(priority).or_default();
        let larger = sizes.recent_ms.iter().filter(|ms| **ms >= work_ms).count();
        let is_large = (larger as f64) < LARGE_SHARE * sizes.recent_ms.len() as f64;
        if sizes.recent_ms.len() >= REMEMBERED {
            sizes.recent_ms.pop_front();
        }
        sizes.recent_ms.push_back(work_ms);
        if !is_large {
            return false;
        }
        sizes.large_seen = (sizes.large_seen + 1) % LARGE_CYCLE;
        sizes.large_seen != 0
    }
}
