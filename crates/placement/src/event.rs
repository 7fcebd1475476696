//! What placement is told.

use std::sync::Arc;
use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class, EngineReport, FailureDomain, NodeId, UpstreamId};
use nutmegsail_upstream::{OrderAnswer, OrderError};

use crate::{OrderId, PlacementMessage, PlacementPlan};

/// Something that happened, as told to [`crate::Placement::handle`].
#[derive(Clone, Debug)]
pub enum PlacementEvent {
    /// A text came into force.
    Plan(Arc<PlacementPlan>),
    /// The live nodes of the own failure domain, this node among them.
    LiveNodes {
        /// The nodes, in any order.
        nodes: Vec<NodeId>,
    },
    /// The key-value service took this node's claim, or its lease was renewed (same fence).
    OwnershipGranted {
        /// The engine.
        engine: UpstreamId,
        /// The fencing number of the claim.
        fence: u64,
        /// Until when nobody else can take the engine: the lease's time to live, counted from
        /// before the call that granted or renewed it, less a margin.
        valid_until: Instant,
    },
    /// The engine is another node's, or the claim was refused.
    OwnershipLost {
        /// The engine.
        engine: UpstreamId,
    },
    /// The key-value service could not decide the claim: it is out or slow.
    ClaimUnanswered {
        /// The engine.
        engine: UpstreamId,
    },
    /// An engine's report on itself, of any engine in the own failure domain.
    Report {
        /// The engine.
        engine: UpstreamId,
        /// The report.
        report: EngineReport,
        /// When the report was asked for, on this node's clock.
        taken_at: Instant,
    },
    /// The engine left or cannot be reached.
    EngineGone {
        /// The engine.
        engine: UpstreamId,
    },
    /// Requests for an adapter, seen on this node. Placement itself tells the load scheduler.
    Demand {
        /// The adapter.
        adapter: AdapterRef,
        /// Their class.
        class: Class,
        /// How many.
        weight: f64,
    },
    /// A request waits for an adapter. Repeated while it waits.
    WantAdapter {
        /// The engine that should load it, if routing prefers one.
        engine: Option<UpstreamId>,
        /// The adapter.
        adapter: AdapterRef,
        /// The class of the request that waits.
        class: Class,
    },
    /// A node, maybe this one, wants to use an adapter on an engine that this node owns.
    PinAsked {
        /// The node that asks.
        from: NodeId,
        /// The node's number for this ask; it rises.
        ask_id: u64,
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// The class of the request behind it.
        class: Class,
    },
    /// A node gives a pin back: none of its requests uses the adapter on this engine.
    PinReturned {
        /// The node.
        from: NodeId,
        /// The last ask that was granted; a pin of a later ask stays.
        ask_id: u64,
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
    },
    /// What became of an order.
    OrderAnswered {
        /// The engine.
        engine: UpstreamId,
        /// The order.
        order: OrderId,
        /// The engine's answer.
        result: Result<OrderAnswer, OrderError>,
    },
    /// How much of the weight store another failure domain uses.
    StoreUse {
        /// The failure domain.
        domain: FailureDomain,
        /// Its loads a second of late.
        loads_per_s: f64,
        /// How many of its loads wait.
        backlog: u32,
    },
    /// A message of another node's placement.
    Received {
        /// The node.
        from: NodeId,
        /// The message.
        message: PlacementMessage,
    },
    /// Time passed. Given about ten times a second.
    Tick,
}
