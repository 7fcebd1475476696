//! A service of the configuration and the engines that may serve it.

use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::ServiceName;

/// A base model that a service's engines may hold.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// The model's name.
    pub name: Arc<str>,
    /// The size of its weights, in MB.
    pub weights_mb: f64,
    /// The size of one of its adapters, in MB.
    pub adapter_mb: f64,
    /// How long a load from the weight store takes while no other is under way.
    pub load_time: Duration,
}

/// What all engines of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Tokens that fit its memory.
    pub kv_capacity_tokens: u64,
    /// Adapters that fit beside the base models.
    pub adapter_slots: u32,
    /// Memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Loads from the weight store that may begin in a second, over all engines.
    pub loads_per_s: f64,
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
    /// Connections that one upstream takes from all callers together.
    pub max_connections: u32,
    /// Present if model engines serve it.
    pub engine: Option<EngineSpec>,
}
