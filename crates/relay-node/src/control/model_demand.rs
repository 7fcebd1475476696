//! The demand for each base model, summed over all nodes.
//!
//! A node sees only its own callers' requests, and an engine's owner only those for models that the
//! engine holds, so no node would see the total demand for a model that no engine holds. Each node
//! therefore sends its demand to the node that reads the store for its failure domain; that reader
//! sends the sum to its domain and to the readers of the other domains. The number of messages that
//! a node sends does not grow with the fleet. Nothing is sent for services with a single model.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegsail_base::FailureDomain;
use nutmegsail_relay::{Demand, ModelDigest, readers_by_domain};
use serde::{Deserialize, Serialize};

use super::control_state::ControlState;

/// The half-life of demand: long enough to cover some requests for a rarely used model, short
/// enough that a model newly in demand shows within a second.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Whose demand a message contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Scope {
    /// That of one node, sent to the reader of its failure domain.
    Node,
    /// That of one failure domain, sent to the readers of the others.
    Domain,
    /// That of all nodes, sent by a reader to its failure domain.
    Fleet,
}

/// Demand since the last message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ModelDemandUpdate {
    scope: Scope,
    /// Engine time taken up by the requests for each model, in milliseconds.
    models: Vec<(ModelDigest, f32)>,
}

type DemandSums = HashMap<ModelDigest, f32>;

/// The demand for each base model.
#[derive(Debug)]
pub(crate) struct ModelDemand {
    /// Demand from all nodes as far as reported, in milliseconds of engine time.
    demand: Demand<ModelDigest>,
    /// Demand from this failure domain that was not sent yet.
    local: DemandSums,
    /// Demand from the other failure domains that was not sent yet.
    remote: DemandSums,
}

impl Default for ModelDemand {
    fn default() -> Self {
        Self {
            demand: Demand::new(HALF_LIFE),
            local: DemandSums::new(),
            remote: DemandSums::new(),
        }
    }
}

impl ModelDemand {
    /// The number of engines that the demand for a model keeps busy.
    pub(crate) fn work(&self, model: ModelDigest, now: Instant) -> f64 {
        self.demand.rate_per_s(&model, now) / 1_000.0
    }

    /// The messages to send now, with their addresses, including `own` demand from this node's
    /// callers.
    pub(crate) fn next_messages(
        &mut self,
        control: &ControlState,
        own: Vec<(ModelDigest, f32)>,
    ) -> Vec<(ModelDemandUpdate, SocketAddr)> {
        if let Some((_, reader)) = control.reader() {
            self.local.clear();
            self.remote.clear();
            let scope = Scope::Node;
            return match own.is_empty() {
                true => Vec::new(),
                false => vec![(ModelDemandUpdate { scope, models: own }, reader)],
            };
        }
        add(&mut self.local, &own);
        let (local, remote) = (
            std::mem::take(&mut self.local),
            std::mem::take(&mut self.remote),
        );
        let local: Vec<_> = local.into_iter().collect();
        let all: Vec<_> = local.iter().copied().chain(remote).collect();
        if all.is_empty() {
            return Vec::new();
        }
        self.count(&all);
        let nodes = control.nodes.borrow();
        let (own_domain, own_node) = (&control.settings.failure_domain, &control.settings.node);
        let others = nodes.values().filter(|node| node.node != *own_node);
        let (local_nodes, remote): (Vec<_>, Vec<_>) =
            others.partition(|node| node.failure_domain == *own_domain);
        let update = |scope, models: &Vec<_>| ModelDemandUpdate {
            scope,
            models: models.clone(),
        };
        let to_domain = local_nodes.iter().map(|node| node.address);
        let mut messages: Vec<_> = to_domain
            .map(|address| (update(Scope::Fleet, &all), address))
            .collect();
        if !local.is_empty() {
            // Sent to all candidate readers, as only the active one keeps it.
            let readers = readers_by_domain(remote).into_values().flatten();
            messages.extend(readers.map(|node| (update(Scope::Domain, &local), node.address)));
        }
        messages
    }

    /// Applies a message from a node in `domain`, received in the domain `own_domain`.
    pub(crate) fn apply(
        &mut self,
        own_domain: &FailureDomain,
        domain: &FailureDomain,
        update: &ModelDemandUpdate,
    ) {
        match update.scope {
            Scope::Node if domain == own_domain => add(&mut self.local, &update.models),
            Scope::Domain if domain != own_domain => add(&mut self.remote, &update.models),
            Scope::Fleet if domain == own_domain => self.count(&update.models),
            // The sender has a wrong failure domain on record for this node.
            Scope::Node | Scope::Domain | Scope::Fleet => {}
        }
    }

    fn count(&mut self, models: &[(ModelDigest, f32)]) {
        let now = Instant::now();
        for (model, engine_ms) in models {
            self.demand.add(model, f64::from(*engine_ms), now);
        }
    }
}

fn add(sums: &mut DemandSums, models: &[(ModelDigest, f32)]) {
    for (model, engine_ms) in models {
        *sums.entry(*model).or_default() += engine_ms;
    }
}
