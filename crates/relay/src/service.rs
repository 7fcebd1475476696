//! A service of the configuration and the engines that may serve it.

use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::ServiceName;

use crate::CopySource;

/// A base model that a service's engines may hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelSpec {
    /// The model's name.
    pub name: Arc<str>,
    /// The size of its weights, in MB.
    pub weights_mb: f64,
    /// The size of one of its adapters, in MB.
    pub adapter_mb: f64,
    /// How long it takes to come from the weight store, with few other loads.
    pub load: Duration,
    /// The same from the memory of the engine's host, if that is stated.
    pub load_from_memory: Option<Duration>,
    /// The same from the engine's disk, if that is stated.
    pub load_from_disk: Option<Duration>,
}

impl ModelSpec {
    /// A model of which only the size is known.
    pub fn of(name: &str, weights_mb: f64) -> Self {
        Self {
            name: name.into(),
            weights_mb,
            ..Self::default()
        }
    }

    /// How long a load from `source` takes.
    pub fn load_from(&self, source: CopySource) -> Duration {
        let near = match source {
            CopySource::Memory => self.load_from_memory,
            CopySource::Disk => self.load_from_disk,
            CopySource::Store => None,
        };
        near.unwrap_or(self.load)
    }
}

/// What all engines of a service have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// Adapters that fit beside the base models.
    pub adapter_slots: u32,
    /// Memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Base models that the weight store hands out in a second, over all engines; nothing if it is not
    /// stated.
    pub loads_per_s: Option<f64>,
    /// The models.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// The model of this name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| &*model.name == name)
    }
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Present if model engines serve it.
    pub engine: Option<EngineSpec>,
}
