//! Settings of the router that are not in the operators' text.

use std::time::Duration;

/// Settings of the router that are not in the operators' text.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterSettings {
    /// How many candidates are drawn at random for each decision.
    pub choices: usize,
    /// Typical age of an engine's report when it arrives.
    pub report_lag: Duration,
    /// How much a difference in reported load counts when upstreams are compared, 0 to 1.
    pub report_weight: f64,
    /// Age from which the load in a report is gradually replaced by the mean of the service's
    /// upstreams.
    pub report_stale_after: Duration,
    /// Expected duration of an adapter load until one has been measured.
    pub load_time: Duration,
    /// Cost of sending a request to another failure domain.
    pub cross_domain_cost: Duration,
    /// Share of an upstream's places that this node may use in another failure domain.
    pub spill_share: f64,
    /// Capacity of the table of prompt prefixes.
    pub prefix_entries: usize,
    /// Time saved by a cached prefix.
    pub prefix_saving: Duration,
    /// Maximum number of attempts for a request.
    pub max_attempts: u32,
    /// Upper limit for the retry budget in the operators' text, as a share of first sends.
    pub retry_ratio_max: f64,
    /// Number of retries that a service can accumulate.
    pub retry_burst: f64,
    /// Minimum time between two requests to load the same adapter.
    pub load_request_interval: Duration,
    /// Number of failures in a row after which an upstream is ejected.
    pub ejection_failures: u32,
    /// Duration of the first ejection; each further one lasts twice as long.
    pub ejection_time: Duration,
    /// Maximum duration of an ejection.
    pub ejection_time_max: Duration,
    /// Share of a service's upstreams in one failure domain that may be ejected at the same time.
    /// One of two upstreams may always be ejected.
    pub ejected_share_max: f64,
    /// Time over which a recovered upstream gets all of its places back.
    pub slow_start: Duration,
    /// Pause of an upstream after a refusal; doubles with each refusal in a row.
    pub refusal_backoff: Duration,
    /// Maximum pause after a refusal.
    pub refusal_backoff_max: Duration,
    /// Minimum time after which a refused caller is asked to retry, before jitter.
    pub retry_after_min: Duration,
    /// Maximum time after which a refused caller is asked to retry, before jitter.
    pub retry_after_max: Duration,
    /// Whether routine attempts without a first byte are cancelled for urgent requests.
    pub cancels_routine: bool,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            choices: 3,
            report_lag: Duration::from_secs(1),
            report_weight: 0.25,
            report_stale_after: Duration::from_secs(3),
            load_time: Duration::from_secs(2),
            cross_domain_cost: Duration::from_millis(2),
            spill_share: 0.25,
            prefix_entries: 32_768,
            prefix_saving: Duration::from_millis(100),
            max_attempts: 3,
            retry_ratio_max: 0.2,
            retry_burst: 4.0,
            load_request_interval: Duration::from_millis(500),
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
