//! Times and bounds of placement.

use std::time::Duration;

use nutmegsail_base::{FailureDomain, NodeId};

/// How placement behaves on one node.
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
    /// This node's failure domain; it owns engines of this one only.
    pub failure_domain: FailureDomain,
    /// How long a pin is granted for.
    pub pin_lease: Duration,
    /// How much longer than the lease an owner honours a pin, for clocks that run apart.
    pub pin_margin: Duration,
    /// How much older than the time it was asked for a report may be.
    pub report_lag: Duration,
    /// How long a report without a higher fence lets an owner grant pins, where the engine checks
    /// fencing numbers.
    pub authority_ttl: Duration,
    /// How long an order may be carried out after it was made.
    pub order_valid_for: Duration,
    /// How long a node must be first choice for an engine before it claims the engine.
    pub takeover_delay: Duration,
    /// How long an owner that is no longer first choice keeps an engine.
    pub handover_delay: Duration,
    /// When a claim without an answer is made again.
    pub claim_retry: Duration,
    /// How long an adapter stays after its load before it may make room, against two adapters
    /// that swap in one slot.
    pub min_residency: Duration,
    /// The time in which past demand counts half.
    pub demand_half_life: Duration,
    /// The time in which past demand counts half when a rise is looked for.
    pub rise_half_life: Duration,
    /// How many adapters have their demand remembered.
    pub demand_capacity: usize,
    /// How many adapters may wait for a load.
    pub want_capacity: usize,
    /// How long a want lives without being repeated.
    pub want_ttl: Duration,
    /// Requests a second that one replica of an adapter is meant for.
    pub replica_rate_per_s: f64,
    /// How much urgent demand counts against routine demand.
    pub urgent_weight: f64,
    /// How many times its victim's demand an adapter without waiting requests must have.
    pub prefetch_advantage: f64,
    /// How long an owner looks for a victim before the load goes elsewhere.
    pub victim_patience: Duration,
    /// How long a load waits for an adapter that nobody uses before one in use is drained.
    pub drain_after: Duration,
    /// How long an adapter is drained before it goes back into service.
    pub drain_patience: Duration,
    /// After this time a load that nobody saw end counts as failed.
    pub load_timeout: Duration,
    /// The first wait after a load failed or the weight store refused; it doubles.
    pub first_backoff: Duration,
    /// The longest wait after a load failed or the weight store refused.
    pub longest_backoff: Duration,
    /// Every so many loads one goes to routine work while urgent loads wait.
    pub routine_every: u32,
    /// After this time the summary of another failure domain no longer counts.
    pub store_use_ttl: Duration,
}

impl PlacementSettings {
    /// The usual settings for `node` in `failure_domain`.
    pub fn new(node: impl Into<NodeId>, failure_domain: impl Into<FailureDomain>) -> Self {
        Self {
            node: node.into(),
            failure_domain: failure_domain.into(),
            pin_lease: Duration::from_secs(10),
            pin_margin: Duration::from_secs(1),
            report_lag: Duration::from_millis(500),
            authority_ttl: Duration::from_secs(3),
            order_valid_for: Duration::from_secs(2),
            takeover_delay: Duration::from_secs(1),
            handover_delay: Duration::from_secs(2),
            claim_retry: Duration::from_secs(3),
            min_residency: Duration::from_secs(2),
            demand_half_life: Duration::from_secs(60),
            rise_half_life: Duration::from_secs(10),
            demand_capacity: 16_384,
            want_capacity: 4_096,
            want_ttl: Duration::from_secs(5),
            replica_rate_per_s: 8.0,
            urgent_weight: 3.0,
            prefetch_advantage: 2.0,
            victim_patience: Duration::from_secs(1),
            drain_after: Duration::from_millis(300),
            drain_patience: Duration::from_secs(3),
            load_timeout: Duration::from_secs(30),
            first_backoff: Duration::from_millis(500),
            longest_backoff: Duration::from_secs(16),
            routine_every: 8,
            store_use_ttl: Duration::from_secs(5),
        }
    }
}
