//! A service of the operators' text.

use std::time::Duration;

use nutmegsail_base::{
    AdapterName, AdapterVersion, CallName, Class, FailureDomain, ServiceName, UpstreamId,
};

/// Whether a service is answered by model engines or by plain upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines that share one base model.
    Engine {
        /// The base model's name.
        base_model: String,
        /// Whether these engines refuse an order with an old fencing number.
        checks_fencing: bool,
        /// How many adapters fit into one engine.
        adapter_slots: u32,
        /// How many requests one engine batches.
        batch_slots: u32,
        /// Adapters and their versions.
        adapters: AdapterSet,
    },
    /// A plain HTTP service.
    Plain,
}

/// Adapters of one service: patterns are expanded, versions are listed.
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
    /// Where it stands.
    pub failure_domain: FailureDomain,
}

/// A kind of call that a service takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its name, as callers give it in `nutmegsail-call` and `explain` shows it.
    pub name: CallName,
    /// The HTTP method, for a plain service.
    pub method: Option<String>,
    /// The path below the service, for a plain service; a trailing `/*` matches what follows.
    pub path: Option<String>,
    /// The class as declared; calls made on another service's behalf may inherit a more urgent one.
    pub class: Class,
    /// The whole time a caller waits.
    pub deadline: Duration,
    /// The time to first token or first byte that the operators aim for.
    pub target: Duration,
    /// Whether it runs at most once.
    pub once_only: bool,
    /// Whether a call that failed may be sent to another upstream.
    pub idempotent: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Engine-served or plain.
    pub kind: ServiceKind,
    /// The services it calls.
    pub depends_on: Vec<ServiceName>,
    /// The class of calls that name no call, as declared.
    pub class: Class,
    /// The deadline of calls that name no call.
    pub deadline: Duration,
    /// The target of calls that name no call.
    pub target: Duration,
    /// Kinds of call with their own class, deadline and repeatability.
    pub calls: Vec<Call>,
    /// Upstreams in every failure domain.
    pub upstreams: Vec<UpstreamEntry>,
    /// How many requests one upstream takes at a time.
    pub in_flight_per_upstream: u32,
    /// The share of an upstream's places that only urgent work may take, 0 to 1.
    pub urgent_headroom: f64,
    /// How many requests of one class wait on one node before more are refused.
    pub queue_per_class: u32,
    /// The share of throughput that routine work keeps under urgent load, 0 to 1.
    pub routine_floor: f64,
    /// Second sends over first sends that the service's upstreams may see, 0 to 1.
    pub retry_budget: f64,
}
