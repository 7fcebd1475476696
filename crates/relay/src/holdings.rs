//! What an engine holds, pieced together from sources that lag by different amounts.

use std::sync::Arc;

use nutmegsail_base::AdapterName;
use serde::{Deserialize, Serialize};

use crate::ModelRef;

/// An adapter in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// The adapter.
    pub name: AdapterName,
    /// Its version.
    pub version: u64,
}

/// A base model in an engine's memory, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub name: Arc<str>,
    /// The version of its weights.
    pub version: u64,
    /// Its adapters that can be used.
    pub adapters: Vec<HeldAdapter>,
}

/// What an engine holds, as of a number of orders it had accepted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// Orders that the engine had accepted.
    pub order_seq: u64,
    /// The models.
    pub models: Vec<HeldModel>,
}

impl Holdings {
    /// The version that is held of what `wanted` names.
    pub fn version_of(&self, wanted: &ModelRef) -> Option<u64> {
        let model = self
            .models
            .iter()
            .find(|model| model.name == wanted.model)?;
        match &wanted.adapter {
            None => Some(model.version),
            Some(name) => model
                .adapters
                .iter()
                .find(|held| held.name == *name)
                .map(|held| held.version),
        }
    }

    /// How many adapters are held, over all models.
    pub fn adapter_count(&self) -> usize {
        self.models.iter().map(|model| model.adapters.len()).sum()
    }

    /// Takes in a report or heartbeat, which may be older than what is known.
    ///
    /// Each order that changes what an engine holds raises its counter, so a lower counter marks an
    /// older picture: taken at its word, it would bring back an adapter that was unloaded since, and
    /// the request sent for it would come back unserved. With equal counters a load may have
    /// finished in between, so what either picture shows is kept.
    pub fn merge(&mut self, newer: &Self) {
        match newer.order_seq.cmp(&self.order_seq) {
            std::cmp::Ordering::Less => {}
            std::cmp::Ordering::Greater => *self = newer.clone(),
            std::cmp::Ordering::Equal => {
                for model in &newer.models {
                    self.merge_model(model);
                }
            }
        }
    }

    fn merge_model(&mut self, newer: &HeldModel) {
        let Some(known) = self.models.iter_mut().find(|known| known.name == newer.name) else {
            self.models.push(newer.clone());
            return;
        };
        known.version = known.version.max(newer.version);
        for adapter in &newer.adapters {
            match known.adapters.iter_mut().find(|held| held.name == adapter.name) {
                Some(held) => held.version = held.version.max(adapter.version),
                None => known.adapters.push(adapter.clone()),
            }
        }
    }

    /// Forgets what `missing` names, after the engine said that it does not hold it.
    pub fn forget(&mut self, missing: &ModelRef) {
        match &missing.adapter {
            None => self.models.retain(|model| model.name != missing.model),
            Some(name) => {
                for model in &mut self.models {
                    if model.name == missing.model {
                        model.adapters.retain(|held| held.name != *name);
                    }
                }
            }
        }
    }
}
