//! What decides where a simulated request goes.

use std::time::Duration;

use nutmegsail_base::{AdapterRef, Class, EngineReport};
use nutmegsail_routing::{AdapterAvailability, Outcome, RouterSettings};

use super::request::SimRequest;

/// What a policy wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Order {
    /// Send the request to the engine, with this class there.
    Send {
        request: usize,
        engine: usize,
        class: Class,
    },
    /// The caller is refused.
    Shed { request: usize },
    /// Take the request back from its engine.
    Cancel { request: usize },
    /// Load the adapter on the engine.
    Want {
        engine: usize,
        adapter: usize,
        class: Class,
    },
}

/// Something that decides where requests go, for all nodes of a deployment.
pub(crate) trait Policy {
    fn arrive(&mut self, request: usize, what: &SimRequest, now: Duration, out: &mut Vec<Order>);
    fn first_token(&mut self, request: usize, node: usize, now: Duration);
    fn ended(
        &mut self,
        request: usize,
        what: &SimRequest,
        engine: usize,
        outcome: Outcome,
        now: Duration,
        out: &mut Vec<Order>,
    );
    fn report(&mut self, engine: usize, report: &EngineReport, now: Duration, out: &mut Vec<Order>);
    fn adapter_state(
        &mut self,
        engine: usize,
        adapter: usize,
        state: AdapterAvailability,
        now: Duration,
        out: &mut Vec<Order>,
    );
    /// The engine cannot be reached any more.
    fn gone(&mut self, engine: usize, now: Duration, out: &mut Vec<Order>);
    fn tick(&mut self, now: Duration, out: &mut Vec<Order>);
    /// Whether requests are sent to engines that do not hold their adapter, and wait there.
    fn sends_before_ready(&self) -> bool;
}

/// Which policy.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PolicyKind {
    /// The real router, one for each node.
    Router {
        name: &'static str,
        settings: Box<RouterSettings>,
    },
    /// Each node sends to the engines of its failure domain in turn.
    RoundRobin,
    /// Each node sends to the engine of its failure domain with the least load by the last report
    /// and its own requests since.
    LeastInFlight,
    /// Each node sends an adapter's requests to the engine that it hashes to.
    ConsistentHash,
}

impl PolicyKind {
    pub(crate) fn router() -> Self {
        Self::Router {
            name: "nutmegsail",
            settings: Box::default(),
        }
    }

    pub(crate) fn name(&self) -> &'static str {
        match self {
            Self::Router { name, .. } => name,
            Self::RoundRobin => "round robin, first come",
            Self::LeastInFlight => "least in flight, first come",
            Self::ConsistentHash => "consistent hashing, first come",
        }
    }

    pub(crate) fn is_first_come(&self) -> bool {
        !matches!(self, Self::Router { .. })
    }
}

/// The simulated adapter's name.
pub(crate) fn adapter_ref(adapter: usize) -> AdapterRef {
    AdapterRef::new(format!("adapter-{adapter:05}"), 1)
}
