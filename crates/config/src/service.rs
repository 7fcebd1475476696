//! A service of the operators' text.

use std::time::Duration;

use nutmegsail_base::{
    AdapterName, AdapterVersion, CallName, Class, FailureDomain, ServiceName, UpstreamId,
};

/// Whether a service is served by model engines or by plain HTTP upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines that share one base model.
    Engine {
        /// The base model's name.
        base_model: String,
        /// Whether these engines refuse orders with an outdated fencing token.
        checks_fencing: bool,
        /// The number of adapters that one engine can hold.
        adapter_slots: u32,
        /// The number of requests in one engine's batch.
        batch_slots: u32,
        /// The adapters and their versions.
        adapters: AdapterSet,
    },
    /// A plain HTTP service.
    Plain,
}

/// The adapters of a service, with patterns expanded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdapterSet {
    /// Every adapter with its versions, oldest first, sorted by name.
    pub entries: Vec<(AdapterName, Vec<AdapterVersion>)>,
}

/// An upstream of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamEntry {
    /// Its `host:port`.
    pub upstream: UpstreamId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
}

/// A named kind of call to a service, with its own class and deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its name, which callers send in the header `nutmegsail-call`.
    pub name: CallName,
    /// The HTTP method, for a plain service.
    pub method: Option<String>,
    /// The path within the service, for a plain service. A trailing `/*` matches any suffix.
    pub path: Option<String>,
    /// The declared class. A call on behalf of another service may inherit a more urgent one.
    pub class: Class,
    /// How long a caller waits in all.
    pub deadline: Duration,
    /// The intended time to first token or first byte.
    pub target: Duration,
    /// Whether each call runs at most once.
    pub once_only: bool,
    /// Whether a failed call may be retried on another upstream.
    pub idempotent: bool,
}

/// A service, as the text configures it.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// What kind of upstreams serve it.
    pub kind: ServiceKind,
    /// The services it calls.
    pub depends_on: Vec<ServiceName>,
    /// The declared class of requests that name no call.
    pub class: Class,
    /// The deadline of requests that name no call.
    pub deadline: Duration,
    /// The target of requests that name no call.
    pub target: Duration,
    /// The named calls, with their own class, deadline and retry rules.
    pub calls: Vec<Call>,
    /// The upstreams in all failure domains.
    pub upstreams: Vec<UpstreamEntry>,
    /// The maximum number of requests in flight per upstream.
    pub in_flight_per_upstream: u32,
    /// The share of an upstream's requests in flight that is reserved for urgent requests, 0 to 1.
    pub urgent_headroom: f64,
    /// The maximum number of requests of one class in a node's queue; more are refused.
    pub queue_per_class: u32,
    /// The share of throughput that routine requests keep under urgent load, 0 to 1.
    pub routine_floor: f64,
    /// The allowed ratio of retries to first sends on the service's upstreams, 0 to 1.
    pub retry_budget: f64,
}
