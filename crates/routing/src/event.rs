//! Events that the node passes to the router.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{
    AdapterRef, CallerId, Class, EngineReport, RequestId, ServiceName, UpstreamId,
};

use crate::RoutingPlan;

/// A request that arrived for a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request's id, unique over the deployment.
    pub request: RequestId,
    /// The caller that sent it.
    pub caller: CallerId,
    /// The service that the request is for.
    pub service: ServiceName,
    /// The adapter that the request needs; `None` for a plain service.
    pub adapter: Option<AdapterRef>,
    /// The class, with inheritance applied.
    pub class: Class,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// The operators' target for the time to first byte.
    pub target: Duration,
    /// Hash of the prompt's prefix, for upstreams that cache prefixes.
    pub prefix: Option<u64>,
    /// Whether the request may be retried after it may have run.
    pub idempotent: bool,
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The answer was completed.
    Succeeded,
    /// The upstream did not run the request; it may be sent to another one.
    RefusedByUpstream,
    /// The engine does not hold the adapter and did not run the request.
    AdapterAbsent,
    /// The attempt failed after it may have run.
    Failed,
    /// The caller disconnected. This also ends a request that is still waiting.
    CallerGone,
    /// The attempt was cancelled by [`crate::RoutingAction::Cancel`] before its first byte.
    Cancelled,
}

/// The state of an adapter on an upstream, as placement knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AdapterAvailability {
    /// Loaded: requests for it can run.
    Ready,
    /// Its weights are being loaded.
    Loading,
    /// Not loaded, or about to be evicted.
    Absent,
}

/// An event that the router handles.
#[derive(Clone, Debug)]
pub enum RoutingEvent {
    /// A request arrived.
    Arrive(Arrival),
    /// The first byte of an answer arrived. The request is not retried after this.
    FirstByte {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended, or the caller of a waiting request disconnected.
    Ended {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A report that an engine sent about itself some time ago.
    Report {
        /// The engine.
        upstream: UpstreamId,
        /// Its report.
        report: EngineReport,
    },
    /// The result of a health check.
    Health {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether it accepts requests.
        is_ready: bool,
    },
    /// The upstream cannot be reached. A successful health check or a report makes it available
    /// again.
    UpstreamGone {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The upstream is leaving and gets no new requests. Only [`Self::Staying`], a new incarnation,
    /// or a successful health check after [`Self::UpstreamGone`] reverts this.
    Leaving {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Membership says that the upstream is not leaving any more.
    Staying {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A new generation of the operators' configuration text is in force.
    Plan(Arc<RoutingPlan>),
    /// Placement knows the state of an adapter before the engine reports it.
    AdapterState {
        /// The engine.
        upstream: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// Its state on the engine.
        state: AdapterAvailability,
    },
    /// A timer tick, to be sent every 20 to 100 ms.
    Tick,
}
