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
    near: DemandSums,
    /// Demand from the other failure domains that was not sent yet.
    far: DemandSums,
}

impl Default for ModelDemand {
    fn default() -> Self {
        Self {
            demand: Demand::new(HALF_LIFE),
            near: DemandSums::new(),
            far: DemandSums::new(),
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
            self.near.clear();
            self.far.clear();
            let scope = Scope::Node;
            return match own.is_empty() {
                true => Vec::new(),
                false => vec![(ModelDemandUpdate { scope, models: own }, reader)],
            };
        }
        add(&mut self.near, &own);
        let (near, far) = (
            std::mem::take(&mut self.near),
            std::mem::take(&mut self.far),
        );
        let near: Vec<_> = near.into_iter().collect();
        let all: Vec<_> = near.iter().copied().chain(far).collect();
        if all.is_empty() {
            return Vec::new();
        }
        self.count(&all);
        let nodes = control.nodes.borrow();
        let (here, me) = (&control.settings.failure_domain, &control.settings.node);
        let others = nodes.values().filter(|node| node.node != *me);
        let (local_nodes, far): (Vec<_>, Vec<_>) =
            others.partition(|node| node.failure_domain == *here);
        let asked = |scope, models: &Vec<_>| ModelDemandUpdate {
            scope,
            models: models.clone(),
        };
        let to_domain = local_nodes.iter().map(|node| node.address);
        let mut sends: Vec<_> = to_domain
            .map(|address| (asked(Scope::Fleet, &all), address))
            .collect();
        if !near.is_empty() {
            // Sent to all candidate readers, as only the active one keeps it.
            let readers = readers_by_domain(far).into_values().flatten();
            sends.extend(readers.map(|node| (asked(Scope::Domain, &near), node.address)));
        }
        sends
    }

    /// Applies a message from a node in `domain`, received in the domain `here`.
    pub(crate) fn apply(
        &mut self,
        here: &FailureDomain,
        domain: &FailureDomain,
        asked: &ModelDemandUpdate,
    ) {
        match asked.scope {
            Scope::Node if domain == here => add(&mut self.near, &asked.models),
            Scope::Domain if domain != here => add(&mut self.far, &asked.models),
            Scope::Fleet if domain == here => self.count(&asked.models),
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
