//! Status reports of engines, which are some hundred milliseconds old when they are read.

use serde::{Deserialize, Serialize};

use crate::{AdapterRef, Incarnation};

/// Whether an adapter in an engine's slot is loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdapterState {
    /// Loaded: requests for it run at once.
    Ready,
    /// Its weights are being loaded from the weight store.
    Loading,
}

/// An adapter that occupies a slot of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// The adapter and its version.
    pub adapter: AdapterRef,
    /// Whether it is loaded.
    pub state: AdapterState,
    /// Number of requests running on it.
    pub running: u32,
}

/// An engine's report of its own status. It lags behind the engine's actual state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Identifies the run of the engine's process. A restarted engine has a new one and no adapters
    /// loaded.
    pub incarnation: Incarnation,
    /// Number of orders that this incarnation has accepted.
    pub order_seq: u64,
    /// Highest fencing token that the engine has seen, for engines that check it.
    pub fence: u64,
    /// Adapters that occupy a slot.
    pub adapters: Vec<HeldAdapter>,
    /// Total number of adapter slots.
    pub adapter_slots: u32,
    /// Number of requests in the running batch.
    pub in_flight: u32,
    /// Number of requests queued inside the engine.
    pub queued: u32,
    /// Maximum number of requests in a batch.
    pub batch_slots: u32,
    /// Whether the engine is shutting down and takes no new requests.
    pub is_leaving: bool,
}
