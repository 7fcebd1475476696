//! How the router decides, beyond what the operators' text says.

use std::time::Duration;

/// How the router decides, beyond what the operators' text says.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// How many candidates are drawn for a decision.
    pub choices: usize,
    /// How old an engine's report usually is when it arrives.
    pub report_lag: Duration,
    /// How much of the difference between engines' reported loads counts when they are compared.
    pub trust_in_reports: f64,
    /// From this age on, a report is no longer trusted to show a less than usual load.
    pub report_stale_after: Duration,
    /// How long a load is expected to take before one has been seen.
    pub load_time: Duration,
    /// What a hop to another failure domain costs.
    pub hop: Duration,
    /// The share of an upstream's places in another failure domain that this node may take.
    pub spill_share: f64,
    /// How many prefixes are remembered.
    pub prefix_entries: usize,
    /// What a cached prefix saves.
    pub prefix_saving: Duration,
    /// How often a request is sent at most.
    pub max_attempts: u32,
    /// Second sends over first sends, whatever the operators' text says.
    pub retry_ratio_max: f64,
    /// Second sends that a service may save up.
    pub retry_burst: f64,
    /// How long the router waits before it asks for an adapter again.
    pub want_interval: Duration,
    /// Failures in a row after which an upstream is ejected.
    pub ejection_failures: u32,
    /// How long the first ejection lasts; each further one lasts twice as long.
    pub ejection_time: Duration,
    /// How long an ejection lasts at most.
    pub ejection_time_max: Duration,
    /// The share of a service's upstreams in one failure domain that may be ejected at a time; one
    /// of two always may.
    pub ejected_share_max: f64,
    /// How long a recovered upstream takes to get its whole traffic back.
    pub slow_start: Duration,
    /// How long an upstream that refused gets no work; doubles with each refusal in a row.
    pub refusal_backoff: Duration,
    /// How long an upstream that refused gets no work at most.
    pub refusal_backoff_max: Duration,
    /// The shortest time after which a caller is asked to come back.
    pub retry_after_min: Duration,
    /// The longest time after which a caller is asked to come back.
    pub retry_after_max: Duration,
    /// Whether routine attempts without a first byte are cancelled for urgent work.
    pub cancels_routine: bool,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            choices: 3,
            report_lag: Duration::from_secs(1),
            trust_in_reports: 0.25,
            report_stale_after: Duration::from_secs(3),
            load_time: Duration::from_secs(2),
            hop: Duration::from_millis(2),
            spill_share: 0.25,
            prefix_entries: 32_768,
            prefix_saving: Duration::from_millis(100),
            max_attempts: 3,
            retry_ratio_max: 0.2,
            retry_burst: 4.0,
            want_interval: Duration::from_millis(500),
            ejection_failures: 5,
            ejection_time: Duration::from_secs(5),
            ejection_time_max: Duration::from_secs(300),
            ejected_share_max: 0.34,
            slow_start: Duration::from_secs(20),
            refusal_backoff: Duration::from_millis(50),
            refusal_backoff_max: Duration::from_secs(5),
            retry_after_min: Duration::from_millis(200),
            retry_after_max: Duration::from_secs(30),
            cancels_routine: false,
        }
    }
}
