//! A service of the configuration and the engines that may serve it.

use std::sync::Arc;

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
}

/// What all engines of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Adapters that fit beside the base models.
    pub adapter_slots: u32,
    /// Memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// The models.
    pub models: Vec<ModelSpec>,
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Present if model engines serve it.
    pub engine: Option<EngineSpec>,
}
