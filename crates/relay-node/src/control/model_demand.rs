//! What callers ask of each base model, summed over all nodes.
//!
//! A node sees only its own callers, and an engine's owner only requests for what the engine holds. A
//! model that no engine holds would be asked for everywhere and known nowhere. So each node tells the
//! node that reads the store for its failure domain; that one tells the sum to its domain and to the
//! readers of the others. A node's messages do not grow with the fleet, and nothing is told of services
//! with one model.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegsail_base::FailureDomain;
use nutmegsail_relay::{Demand, ModelDigest, readers_by_domain};
use serde::{Deserialize, Serialize};

use super::knowledge::Knowledge;

/// In this time what was asked counts half. Some requests of a model that is seldom asked fall into it,
/// and a model that callers turn to shows within a second.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Whose callers asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Scope {
    /// Those of one node, told to the reader of its failure domain.
    Node,
    /// Those of one failure domain, told to the readers of the others.
    Domain,
    /// Those of all nodes, told by a reader to its failure domain.
    Fleet,
}

/// What was asked since the last message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ModelsAsked {
    scope: Scope,
    /// For how long the requests for each model take up an engine, in milliseconds.
    models: Vec<(ModelDigest, f32)>,
}

type Sums = HashMap<ModelDigest, f32>;

/// What callers ask of each base model.
#[derive(Debug)]
pub(crate) struct ModelDemand {
    /// Of all nodes, as far as was told, in milliseconds of engines.
    demand: Demand<ModelDigest>,
    /// Of this failure domain, not told yet.
    near: Sums,
    /// Of the other failure domains, not told yet.
    far: Sums,
}

impl Default for ModelDemand {
    fn default() -> Self {
        Self {
            demand: Demand::new(HALF_LIFE),
            near: Sums::new(),
            far: Sums::new(),
        }
    }
}

impl ModelDemand {
    /// The work that there is for a model, in engines.
    pub(crate) fn work(&self, model: ModelDigest, now: Instant) -> f64 {
        self.demand.rate_per_s(&model, now) / 1_000.0
    }

    /// What is to be told now, and where to, with what callers of this node asked.
    pub(crate) fn turn(
        &mut self,
        knowledge: &Knowledge,
        own: Vec<(ModelDigest, f32)>,
    ) -> Vec<(ModelsAsked, SocketAddr)> {
        if let Some((_, reader)) = knowledge.reader() {
            self.near.clear();
            self.far.clear();
            let scope = Scope::Node;
            return match own.is_empty() {
                true => Vec::new(),
                false => vec![(ModelsAsked { scope, models: own }, reader)],
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
        let nodes = knowledge.nodes.borrow();
        let (here, me) = (&knowledge.settings.failure_domain, &knowledge.settings.node);
        let others = nodes.values().filter(|node| node.node != *me);
        let (beside, far): (Vec<_>, Vec<_>) = others.partition(|node| node.failure_domain == *here);
        let asked = |scope, models: &Vec<_>| ModelsAsked {
            scope,
            models: models.clone(),
        };
        let to_domain = beside.iter().map(|node| node.address);
        let mut sends: Vec<_> = to_domain
            .map(|address| (asked(Scope::Fleet, &all), address))
            .collect();
        if !near.is_empty() {
            // Only the one that reads keeps what it is told.
            let readers = readers_by_domain(far).into_values().flatten();
            sends.extend(readers.map(|node| (asked(Scope::Domain, &near), node.address)));
        }
        sends
    }

    /// Takes in what a node of `domain` told a node of `here`.
    pub(crate) fn take(
        &mut self,
        here: &FailureDomain,
        domain: &FailureDomain,
        asked: &ModelsAsked,
    ) {
        match asked.scope {
            Scope::Node if domain == here => add(&mut self.near, &asked.models),
            Scope::Domain if domain != here => add(&mut self.far, &asked.models),
            Scope::Fleet if domain == here => self.count(&asked.models),
            // The sender took this node for one of another failure domain.
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

fn add(sums: &mut Sums, models: &[(ModelDigest, f32)]) {
    for (model, engine_ms) in models {
        *sums.entry(*model).or_default() += engine_ms;
    }
}
