//! Events that placement handles.

use std::sync::Arc;
use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class, EngineReport, FailureDomain, NodeId, UpstreamId};
use nutmegsail_upstream::{OrderAnswer, OrderError};

use crate::{OrderId, PlacementMessage, PlacementPlan};

/// An event for [`crate::Placement::handle`].
#[derive(Clone, Debug)]
pub enum PlacementEvent {
    /// A new configuration is in force.
    Plan(Arc<PlacementPlan>),
    /// The live nodes of this node's failure domain, including this node.
    LiveNodes {
        /// The nodes, in any order.
        nodes: Vec<NodeId>,
    },
    /// The key-value service accepted this node's claim, or renewed its lease (with the same
    /// fencing token).
    OwnershipGranted {
        /// The engine.
        engine: UpstreamId,
        /// The fencing token of the claim.
        fence: u64,
        /// The time until which no other node can take the engine: the lease's time to live,
        /// counted from before the call that granted or renewed it, minus a margin.
        valid_until: Instant,
    },
    /// Another node owns the engine, or the claim was refused.
    OwnershipLost {
        /// The engine.
        engine: UpstreamId,
    },
    /// The key-value service did not decide the claim: it is unavailable or slow.
    ClaimUnanswered {
        /// The engine.
        engine: UpstreamId,
    },
    /// The report of an engine in this node's failure domain, owned or not.
    Report {
        /// The engine.
        engine: UpstreamId,
        /// The report.
        report: EngineReport,
        /// When the report was requested, on this node's clock.
        taken_at: Instant,
    },
    /// The engine left or cannot be reached.
    EngineGone {
        /// The engine.
        engine: UpstreamId,
    },
    /// Requests for an adapter that this node received. Placement forwards the counts to the load
    /// scheduler.
    Demand {
        /// The adapter.
        adapter: AdapterRef,
        /// The class of the requests.
        class: Class,
        /// The number of requests.
        weight: f64,
    },
    /// A request waits for an adapter. Sent again while it waits.
    WantAdapter {
        /// The engine on which to load it, if routing prefers one.
        engine: Option<UpstreamId>,
        /// The adapter.
        adapter: AdapterRef,
        /// The class of the request that waits.
        class: Class,
    },
    /// A node, possibly this one, requests a pin for an adapter on an engine that this node owns.
    PinAsked {
        /// The node that requests the pin.
        from: NodeId,
        /// The node's number for this pin request; it increases.
        ask_id: u64,
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// The class of the request that needs the pin.
        class: Class,
    },
    /// A node returns a pin: none of its requests uses the adapter on this engine.
    PinReturned {
        /// The node.
        from: NodeId,
        /// The number of the last pin request that was granted; a pin granted for a later one
        /// stays.
        ask_id: u64,
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
    },
    /// The engine answered an order, or the order failed.
    OrderAnswered {
        /// The engine.
        engine: UpstreamId,
        /// The order.
        order: OrderId,
        /// The engine's answer.
        result: Result<OrderAnswer, OrderError>,
    },
    /// Another failure domain's use of the weight store.
    StoreUse {
        /// The failure domain.
        domain: FailureDomain,
        /// Its recent loads per second.
        loads_per_s: f64,
        /// The number of its loads that wait.
        backlog: u32,
    },
    /// A message from another node's placement.
    Received {
        /// The node.
        from: NodeId,
        /// The message.
        message: PlacementMessage,
    },
    /// Time has passed. Sent about ten times a second.
    Tick,
}
