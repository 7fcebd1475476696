//! A service of the configuration, and the engines that can serve it.

use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::ServiceName;

use crate::{CopySource, Holdings};

/// A base model that a service's engines can hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ModelSpec {
    /// The model's name.
    pub name: Arc<str>,
    /// Size of its weights, in MB.
    pub weights_mb: f64,
    /// Size of one of its adapters, in MB.
    pub adapter_mb: f64,
    /// Load time from the weight store when few other loads are running.
    pub load: Duration,
    /// Load time from the memory of the engine's host, if stated.
    pub load_from_memory: Option<Duration>,
    /// Load time from the engine's disk, if stated.
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

    /// Load time from `source`, or from the weight store if none is stated for it.
    pub fn load_from(&self, source: CopySource) -> Duration {
        let stated = match source {
            CopySource::Memory => self.load_from_memory,
            CopySource::Disk => self.load_from_disk,
            CopySource::Store => None,
        };
        stated.unwrap_or(self.load)
    }
}

/// What all engines of a service have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// Number of adapters that fit beside the base models.
    pub adapter_slots: u32,
    /// Memory for weights and adapters, in MB.
    pub weights_mb: f64,
    /// Base models per second that the weight store delivers to all engines together, if stated.
    pub loads_per_s: Option<f64>,
    /// The base models.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// The model with this name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| &*model.name == name)
    }

    /// Number of adapters that fit beside the base models of `holdings`, limited by slots and by
    /// memory.
    ///
    /// ```
    /// use nutmegsail_relay::{EngineSpec, HeldModel, Holdings, ModelSpec};
    /// let llama = ModelSpec { adapter_mb: 500.0, ..ModelSpec::of("llama", 40_000.0) };
    /// let spec = EngineSpec {
    ///     adapter_slots: 16,
    ///     weights_mb: 42_000.0,
    ///     models: vec![llama],
    ///     ..EngineSpec::default()
    /// };
    /// let held = HeldModel { name: "llama".into(), version: 1, adapters: Vec::new() };
    /// assert_eq!(spec.adapters_beside(&Holdings { models: vec![held] }), 4);
    /// ```
    pub fn adapters_beside(&self, holdings: &Holdings) -> usize {
        let held = holdings.models.iter();
        let held: Vec<&ModelSpec> = held.filter_map(|held| self.model(&held.name)).collect();
        let weights_mb: f64 = held.iter().map(|spec| spec.weights_mb).sum();
        let largest_mb = held.iter().map(|spec| spec.adapter_mb).fold(0.0, f64::max);
        if largest_mb <= 0.0 {
            return self.adapter_slots as usize;
        }
        let left_mb = (self.weights_mb - weights_mb).max(0.0);
        (self.adapter_slots as usize).min((left_mb / largest_mb) as usize)
    }
}

/// A service that routes refer to.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The path of its upstreams' health check, if stated.
    pub health_path: Option<Arc<str>>,
    /// Present if model engines serve it.
    pub engine: Option<EngineSpec>,
}
