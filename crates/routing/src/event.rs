//! What the router is told.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{
    AdapterRef, CallerId, Class, EngineReport, RequestId, ServiceName, UpstreamId,
};

use crate::RoutingPlan;

/// A request that wants an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request's id, unique over the deployment.
    pub request: RequestId,
    /// Who sent it.
    pub caller: CallerId,
    /// The service that shall answer.
    pub service: ServiceName,
    /// The adapter that shall answer; `None` for a plain service.
    pub adapter: Option<AdapterRef>,
    /// The class after inheritance.
    pub class: Class,
    /// When the whole answer must have been given.
    pub deadline: Instant,
    /// The time to first byte that the operators aim for.
    pub target: Duration,
    /// A hash of the prompt's beginning, for upstreams that cache prefixes.
    pub prefix: Option<u64>,
    /// Whether the request may be sent again after it may have run.
    pub idempotent: bool,
}

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The whole answer was given.
    Succeeded,
    /// The upstream did not run the request; another one may.
    RefusedByUpstream,
    /// The engine does not hold the adapter and did not run the request.
    AdapterAbsent,
    /// The attempt failed after it may have run.
    Failed,
    /// The caller went away. This also ends a request that still waits.
    CallerGone,
    /// The attempt was cancelled because of [`crate::RoutingAction::Cancel`] before its first byte.
    Cancelled,
}

/// How far an adapter is on an upstream, as placement knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AdapterAvailability {
    /// Requests for it run at once.
    Ready,
    /// Its weights are on their way.
    Loading,
    /// It is not there, or about to be evicted.
    Absent,
}

/// What the router is told.
#[derive(Clone, Debug)]
pub enum RoutingEvent {
    /// A request arrived.
    Arrive(Arrival),
    /// The first byte of an answer arrived; from now on the request is never sent elsewhere.
    FirstByte {
        /// The request.
        request: RequestId,
    },
    /// An attempt ended, or the caller of a waiting request went away.
    Ended {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// An engine's report on itself, late.
    Report {
        /// The engine.
        upstream: UpstreamId,
        /// What it says.
        report: EngineReport,
    },
    /// What a health check found.
    Health {
        /// The upstream.
        upstream: UpstreamId,
        /// Whether it takes work.
        is_ready: bool,
    },
    /// The upstream cannot be reached any more. A health check or a report brings it back.
    UpstreamGone {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The upstream is leaving: no new work from now on. Only [`Self::Staying`], another
    /// incarnation, or a health check after it was gone takes that back.
    Leaving {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// The upstream is not leaving after all, as membership knows.
    Staying {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A new generation of the operators' text is in force.
    Plan(Arc<RoutingPlan>),
    /// What placement knows sooner than the reports.
    AdapterState {
        /// The engine.
        upstream: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// How far it is.
        state: AdapterAvailability,
    },
    /// Time has passed. Send one every 20 to 100 ms.
    Tick,
}
