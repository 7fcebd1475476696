//! The models and adapters that an engine holds.

use std::sync::Arc;

use nutmegsail_base::AdapterName;
use serde::{Deserialize, Serialize};

use crate::ModelRef;

/// An adapter in an engine's memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldAdapter {
    /// The adapter.
    pub name: AdapterName,
    /// Its version, or [`UNSTATED_VERSION`](Self::UNSTATED_VERSION).
    pub version: u64,
}

impl HeldAdapter {
    /// Version of an adapter whose version is unknown.
    pub const UNSTATED_VERSION: u64 = 0;
}

/// A base model in an engine's memory, with its adapters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldModel {
    /// The model.
    pub name: Arc<str>,
    /// The version of its weights.
    pub version: u64,
    /// The adapters that are ready for use.
    pub adapters: Vec<HeldAdapter>,
}

impl HeldModel {
    /// Its adapters as requests refer to them.
    pub fn adapter_refs(&self) -> impl Iterator<Item = ModelRef> {
        self.adapters.iter().map(|held| ModelRef {
            model: Arc::clone(&self.name),
            adapter: Some(held.name.clone()),
        })
    }
}

/// The models and adapters that an engine holds.
///
/// ```
/// use nutmegsail_relay::{HeldAdapter, HeldModel, Holdings, ModelRef};
/// let a7 = HeldAdapter { name: "a7".into(), version: 2 };
/// let llama = HeldModel { name: "llama".into(), version: 1, adapters: vec![a7] };
/// let mut holdings = Holdings { models: vec![llama] };
/// let wanted = ModelRef::parse("llama/a7");
/// assert_eq!(holdings.version_of(&wanted), Some(2));
/// holdings.forget(&wanted);
/// assert_eq!(holdings.version_of(&wanted), None);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// The models.
    pub models: Vec<HeldModel>,
}

impl Holdings {
    /// The version held of `wanted`; `None` if it is not held.
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

    /// Number of adapters held, over all models.
    pub fn adapter_count(&self) -> usize {
        self.models.iter().map(|model| model.adapters.len()).sum()
    }

    /// Whether the base model that `wanted` names or belongs to is held.
    pub fn has_base(&self, wanted: &ModelRef) -> bool {
        self.models.iter().any(|held| held.name == wanted.model)
    }

    /// Removes `missing`, which the engine reported as not held.
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
