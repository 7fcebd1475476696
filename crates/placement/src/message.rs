//! Messages between the placements of different nodes.

use nutmegsail_base::{AdapterRef, Class, FailureDomain, UpstreamId};
use serde::{Deserialize, Serialize};

/// A message from one node's placement to another's, to be delivered as
/// [`crate::PlacementEvent::Received`]. It may be lost or arrive twice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementMessage {
    /// To the failure domain's load scheduler: requests wait for an adapter.
    Want {
        /// The engine on which to load it, if routing prefers one.
        engine: Option<UpstreamId>,
        /// The adapter.
        adapter: AdapterRef,
        /// The class of the requests.
        class: Class,
    },
    /// From the load scheduler to an engine's owner: load this adapter now.
    Permit {
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// The class of the requests that it is loaded for.
        class: Class,
        /// The adapters on the engine by their value to the failure domain, lowest first. In a
        /// large failure domain the owner itself receives too few requests to rank them.
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
    /// To another failure domain's load scheduler, through any node there: how much of the weight
    /// store the sender's failure domain uses.
    StoreUse {
        /// The sender's failure domain.
        domain: FailureDomain,
        /// Recent loads per 1,000 s.
        loads_per_1000_s: u32,
        /// The number of loads that wait.
        backlog: u32,
        /// Whether the node that first received it has forwarded it.
        is_passed_on: bool,
    },
    /// To the load scheduler: the requests that the sender received since its last message.
    Demand {
        /// A count for each adapter and class.
        counts: Vec<DemandCount>,
    },
}

/// The requests for one adapter and class that one node received.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandCount {
    /// The adapter.
    pub adapter: AdapterRef,
    /// The class of the requests.
    pub class: Class,
    /// The number of requests.
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
    /// No adapter of the engine could be evicted in time.
    NoVictim,
    /// The node does not own the engine, or may not order now.
    NotOwner,
}
