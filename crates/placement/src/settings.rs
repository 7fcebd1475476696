//! Settings of placement.

use std::time::Duration;

use nutmegsail_base::{FailureDomain, NodeId};

/// The settings of placement on one node.
///
/// ```
/// use nutmegsail_placement::PlacementSettings;
/// let settings = PlacementSettings::new("node-1", "negril-hall");
/// assert!(settings.pin_lease > settings.pin_margin);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementSettings {
    /// This node.
    pub node: NodeId,
    /// This node's failure domain. The node owns engines of this domain only.
    pub failure_domain: FailureDomain,
    /// The duration of a pin.
    pub pin_lease: Duration,
    /// How much longer than its duration an owner honours a pin, since clocks may differ.
    pub pin_margin: Duration,
    /// The longest time by which the state in a report may be older than its request.
    pub report_lag: Duration,
    /// How long after a report without a higher fencing token was requested an owner may grant
    /// pins, on an engine that checks fencing tokens.
    pub grant_report_ttl: Duration,
    /// How long after it was made an order may be carried out.
    pub order_valid_for: Duration,
    /// How long a node must be first choice for an engine before it claims the engine.
    pub takeover_delay: Duration,
    /// How long an owner that is no longer first choice keeps an engine before it releases it.
    pub handover_delay: Duration,
    /// The time after which an unanswered claim is repeated.
    pub claim_retry: Duration,
    /// The shortest time between the load of an adapter and its eviction, so that two adapters
    /// don't replace each other in one slot at every request.
    pub min_residency: Duration,
    /// The half-life of the long-term demand.
    pub demand_half_life: Duration,
    /// The half-life of the short-term demand, which shows a rise early.
    pub short_half_life: Duration,
    /// The number of adapters whose demand is remembered.
    pub demand_capacity: usize,
    /// The largest number of pending loads.
    pub pending_load_capacity: usize,
    /// How long a pending load is kept after it was last requested.
    pub pending_load_ttl: Duration,
    /// Requests per second that one replica of an adapter should serve.
    pub replica_rate_per_s: f64,
    /// The weight of an urgent request, relative to a routine one.
    pub urgent_weight: f64,
    /// How many times the demand of the adapter to be evicted an adapter must have to be
    /// prefetched.
    pub prefetch_advantage: f64,
    /// How long an owner looks for an adapter to evict before the load goes elsewhere.
    pub victim_search_timeout: Duration,
    /// How long a load waits for an adapter that is not in use before one in use is drained.
    pub drain_after: Duration,
    /// How long an adapter is drained before it is returned to service.
    pub drain_timeout: Duration,
    /// The time after which a load whose end was not observed counts as failed.
    pub load_timeout: Duration,
    /// The first backoff after a load failed or the weight store refused; it doubles each time.
    pub first_backoff: Duration,
    /// The longest backoff after a load failed or the weight store refused.
    pub longest_backoff: Duration,
    /// One in so many loads is a routine one while urgent loads wait.
    pub routine_every: u32,
    /// How long another failure domain's report of its weight store use counts.
    pub store_use_ttl: Duration,
}

impl PlacementSettings {
    /// The default settings for `node` in `failure_domain`.
    pub fn new(node: impl Into<NodeId>, failure_domain: impl Into<FailureDomain>) -> Self {
        Self {
            node: node.into(),
            failure_domain: failure_domain.into(),
            pin_lease: Duration::from_secs(10),
            pin_margin: Duration::from_secs(1),
            report_lag: Duration::from_millis(500),
            grant_report_ttl: Duration::from_secs(3),
            order_valid_for: Duration::from_secs(2),
            takeover_delay: Duration::from_secs(1),
            handover_delay: Duration::from_secs(2),
            claim_retry: Duration::from_secs(3),
            min_residency: Duration::from_secs(2),
            demand_half_life: Duration::from_secs(60),
            short_half_life: Duration::from_secs(10),
            demand_capacity: 16_384,
            pending_load_capacity: 4_096,
            pending_load_ttl: Duration::from_secs(5),
            replica_rate_per_s: 8.0,
            urgent_weight: 3.0,
            prefetch_advantage: 2.0,
            victim_search_timeout: Duration::from_secs(1),
            drain_after: Duration::from_millis(300),
            drain_timeout: Duration::from_secs(3),
            load_timeout: Duration::from_secs(30),
            first_backoff: Duration::from_millis(500),
            longest_backoff: Duration::from_secs(16),
            routine_every: 8,
            store_use_ttl: Duration::from_secs(5),
        }
    }
}
