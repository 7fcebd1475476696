//! What an engine says about itself, some hundred milliseconds late.

use serde::{Deserialize, Serialize};

use crate::{AdapterRef, Incarnation};

/// How far an adapter is on its way into an engine's slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdapterState {
    /// Requests for it run at once.
    Ready,
    /// Its weights are on their way from the weight store.
    Loading,
}

/// An adapter that takes up a slot of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// Which adapter and version.
    pub adapter: AdapterRef,
    /// Whether it can serve.
    pub state: AdapterState,
    /// Requests that run on it.
    pub running: u32,
}

/// An engine's report on itself. It lags behind the truth.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The run of the engine's process. A restart is cold and draws a new one.
    pub incarnation: Incarnation,
    /// How many orders this incarnation has accepted.
    pub order_seq: u64,
    /// The highest fencing number seen, for engines that check it.
    pub fence: u64,
    /// Adapters that take up a slot.
    pub adapters: Vec<HeldAdapter>,
    /// How many adapters fit.
    pub adapter_slots: u32,
    /// Requests in the running batch.
    pub in_flight: u32,
    /// Requests that wait inside the engine.
    pub queued: u32,
    /// How many requests a step can batch.
    pub batch_slots: u32,
    /// Whether the engine is leaving and wants no new work.
    pub is_leaving: bool,
}
