//! Sizes and times of the engine stand-in.

use std::time::Duration;

/// Sizes and times of a [`crate::FakeEngine`].
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// How long one step takes; each yields one event for each request in the batch.
    pub step: Duration,
    /// Requests in one step.
    pub batch_slots: usize,
    /// Requests that may wait while the batch is full; more are refused as full.
    pub queue_slots: usize,
    /// Adapters that fit.
    pub adapter_slots: usize,
    /// How late reports are.
    pub report_lag: Duration,
    /// How long an answer without a reader is kept.
    pub keeps_answers: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            step: Duration::from_millis(20),
            batch_slots: 32,
            queue_slots: 64,
            adapter_slots: 4,
            report_lag: Duration::ZERO,
            keeps_answers: Duration::from_secs(30),
            checks_fencing: true,
        }
    }
}
