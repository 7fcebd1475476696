//! Actions that placement returns for the node to carry out.

use std::time::{Duration, Instant};

use derive_more::Display;
use nutmegsail_base::{AdapterRef, FailureDomain, Incarnation, NodeId, UpstreamId};
use nutmegsail_upstream::OrderOp;

use crate::{PlacementMessage, PlacementNote};

/// The number of an order, unique within one process of a node.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OrderId(pub u64);

/// The state of an adapter on an engine, as routing sees it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "lowercase")]
pub enum Presence {
    /// Loaded: requests can run.
    Ready,
    /// Its weights are being loaded.
    Loading,
    /// Not loaded, or about to be unloaded.
    Absent,
}

/// An action for the node to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementAction {
    /// Claim the engine at the key-value service: a compare-and-swap of its owner record, with
    /// [`crate::next_fence`] of the higher of `seen_fence` and the fencing token in the record.
    Claim {
        /// The engine.
        engine: UpstreamId,
        /// The highest fencing token seen in the engine's reports.
        seen_fence: u64,
        /// Whether the claim may replace a holder whose lease has not expired. False for engines
        /// that ignore fencing tokens.
        may_replace_live_holder: bool,
    },
    /// Release the engine's owner record at the key-value service.
    Release {
        /// The engine.
        engine: UpstreamId,
    },
    /// Send an order to the engine. It expires `valid_for` after `made_at`: the node computes the
    /// expiry time from `made_at`, not from the time of sending.
    Order {
        /// The engine.
        engine: UpstreamId,
        /// The order's number, repeated with the answer.
        order: OrderId,
        /// Load or unload.
        op: OrderOp,
        /// The adapter.
        adapter: AdapterRef,
        /// The owner's fencing token.
        fence: u64,
        /// The `order_seq` that the engine must have for the order to apply.
        expected_seq: u64,
        /// The engine's incarnation that must still run for the order to apply.
        incarnation: Incarnation,
        /// When the order was made.
        made_at: Instant,
        /// How long after `made_at` the engine may carry it out.
        valid_for: Duration,
    },
    /// Grant a pin.
    GrantPin {
        /// The node that requested the pin.
        to: NodeId,
        /// The node's number for the pin request.
        ask_id: u64,
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// How long the pin is valid. The holder counts from before it sent its request.
        lease: Duration,
    },
    /// Refuse a pin.
    RefusePin {
        /// The node that requested the pin.
        to: NodeId,
        /// The node's number for the pin request.
        ask_id: u64,
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// How long the node should wait before it requests the pin again.
        retry_after: Duration,
    },
    /// Ask a holder to stop using its pin and to return it when its requests have ended. Sent again
    /// while the pin is still needed back, since a recall expires.
    RecallPin {
        /// The holder.
        to: NodeId,
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
    },
    /// Publish the state of an adapter on an engine to routing, on this node and on its peers.
    AdapterState {
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// Its state.
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
    /// Write a note to the log.
    Report(PlacementNote),
}
