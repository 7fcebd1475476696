//! What nodes of one failure domain tell each other about loads.

use nutmegsail_base::{AdapterRef, Class, FailureDomain, UpstreamId};
use serde::{Deserialize, Serialize};

/// A message from one node's placement to another's, to be delivered as
/// [`crate::PlacementEvent::Received`]. Each may be lost or come twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementMessage {
    /// To the failure domain's load scheduler: requests wait for an adapter.
    Want {
        /// The engine that should load it, if routing prefers one.
        engine: Option<UpstreamId>,
        /// The adapter.
        adapter: AdapterRef,
        /// The class of the requests.
        class: Class,
    },
    /// From the load scheduler to an engine's owner: load this now.
    Permit {
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// The class it is loaded for.
        class: Class,
        /// What the engine holds, what is worth least to the failure domain first. The owner of a
        /// large one sees too few requests itself to tell.
        victims: Vec<AdapterRef>,
    },
    /// From an engine's owner to the load scheduler: how a permitted load ended.
    Outcome {
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// How it ended.
        outcome: LoadOutcome,
    },
    /// To another failure domain's load scheduler, by way of any node there: how much of the
    /// weight store the sender's failure domain uses.
    StoreUse {
        /// The sender's failure domain.
        domain: FailureDomain,
        /// Loads in 1,000 s, of late.
        loads_per_1000_s: u32,
        /// How many loads wait.
        backlog: u32,
        /// Whether the node that was reached passed it on.
        is_passed_on: bool,
    },
    /// To the load scheduler: requests that the sender saw since its last message.
    Demand {
        /// A count for each adapter and class.
        counts: Vec<DemandCount>,
    },
}

/// Requests for one adapter that one node saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandCount {
    /// The adapter.
    pub adapter: AdapterRef,
    /// Their class.
    pub class: Class,
    /// How many.
    pub requests: u32,
}

/// How a permitted load ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LoadOutcome {
    /// The adapter is ready.
    Ready,
    /// The weight store refused the load.
    StoreRefused,
    /// The load began and failed.
    Failed,
    /// No adapter of the engine could make room in time.
    NoVictim,
    /// The node does not own the engine, or cannot order now.
    NotOwner,
}
