//! What placement asks the node to do.

use std::time::{Duration, Instant};

use derive_more::Display;
use nutmegsail_base::{AdapterRef, FailureDomain, Incarnation, NodeId, UpstreamId};
use nutmegsail_upstream::OrderOp;

use crate::{PlacementMessage, PlacementNote};

/// An order's number, unique in one run of a node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderId(pub u64);

/// Whether an engine holds an adapter, as routing sees it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "lowercase")]
pub enum Presence {
    /// Requests for it run at once.
    Ready,
    /// Its weights are on their way.
    Loading,
    /// It is not there, or is about to be unloaded.
    Absent,
}

/// Something that the node does for placement.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementAction {
    /// Ask the key-value service for the engine: CAS of its owner record with the fencing number
    /// [`crate::next_fence`] of the higher of `seen_fence` and the record's.
    Claim {
        /// The engine.
        engine: UpstreamId,
        /// The highest fencing number seen in the engine's reports.
        seen_fence: u64,
        /// Whether the claim may replace a holder whose lease has not lapsed. False for engines
        /// that ignore fencing numbers.
        may_replace_live_holder: bool,
    },
    /// Give up the engine at the key-value service.
    Release {
        /// The engine.
        engine: UpstreamId,
    },
    /// Give the engine an order. The order ends `valid_for` after `made_at`: its time of day is
    /// worked out from `made_at`, not from when the node gets round to sending it.
    Order {
        /// The engine.
        engine: UpstreamId,
        /// The order's number, given back with the answer.
        order: OrderId,
        /// What to do.
        op: OrderOp,
        /// Which adapter.
        adapter: AdapterRef,
        /// The owner's fencing number.
        fence: u64,
        /// The `order_seq` that the order rests on.
        expected_seq: u64,
        /// The engine's incarnation that the order is for.
        incarnation: Incarnation,
        /// When the order was made.
        made_at: Instant,
        /// How long after `made_at` it may be carried out.
        valid_for: Duration,
    },
    /// Grant a pin.
    GrantPin {
        /// The node that asked.
        to: NodeId,
        /// Its ask.
        ask_id: u64,
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// How long the pin holds, counted by the holder from before it asked.
        lease: Duration,
    },
    /// Refuse a pin.
    RefusePin {
        /// The node that asked.
        to: NodeId,
        /// Its ask.
        ask_id: u64,
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// When asking again may help.
        retry_after: Duration,
    },
    /// Ask a holder to stop using its pin and to give it back when its requests are over. Repeated
    /// while it matters; ends by itself.
    RecallPin {
        /// The holder.
        to: NodeId,
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
    },
    /// Tell routing, here and on peers, whether an engine holds an adapter.
    AdapterState {
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// Whether it is there.
        state: Presence,
    },
    /// Send a message to another node's placement.
    Send {
        /// The node.
        to: NodeId,
        /// The message.
        message: PlacementMessage,
    },
    /// Send a message to any node of another failure domain.
    SendToDomain {
        /// The failure domain.
        domain: FailureDomain,
        /// The message.
        message: PlacementMessage,
    },
    /// Write to the log.
    Report(PlacementNote),
}
