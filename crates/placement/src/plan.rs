//! The part of the operators' configuration that placement uses.

use std::collections::HashMap;

use nutmegsail_base::{AdapterRef, FailureDomain, ServiceName, UpstreamId};
use nutmegsail_config::{Deployment, Service, ServiceKind};

/// One engine of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EnginePlan {
    /// The engine.
    pub upstream: UpstreamId,
    /// The service that it belongs to; it loads only this service's adapters.
    pub service: ServiceName,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The number of adapters that it can hold.
    pub adapter_slots: u32,
    /// Whether it refuses orders with an outdated fencing token.
    pub checks_fencing: bool,
}

/// What placement needs from the configuration in force. Each generation brings a new one.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementPlan {
    /// All engines.
    pub engines: Vec<EnginePlan>,
    /// Every adapter version that may be requested, with its service.
    pub adapters: HashMap<AdapterRef, ServiceName>,
    /// Loads per second that the weight store allows for the whole deployment.
    pub loads_per_s: f64,
    /// The number of concurrent loads that the weight store serves at full speed.
    pub loads_at_full_speed: u32,
    /// The number of failure domains that share the weight store.
    pub failure_domains: u32,
    /// The cost of a wait for an adapter, 0 to 1.
    pub load_stall_weight: f64,
    /// The cost of a batch step that is not full, 0 to 1.
    pub batch_efficiency_weight: f64,
}

impl Default for PlacementPlan {
    fn default() -> Self {
        Self {
            engines: Vec::new(),
            adapters: HashMap::new(),
            loads_per_s: 3.0,
            loads_at_full_speed: 1,
            failure_domains: 1,
            load_stall_weight: 0.5,
            batch_efficiency_weight: 0.5,
        }
    }
}

impl PlacementPlan {
    /// Extracts what placement needs from a validated deployment.
    pub fn from_deployment(deployment: &Deployment) -> Self {
        let mut plan = Self {
            loads_per_s: deployment.limits.loads_per_s,
            loads_at_full_speed: deployment.limits.loads_at_full_speed,
            failure_domains: deployment.failure_domains.len().max(1) as u32,
            load_stall_weight: deployment.weights.load_stalls,
            batch_efficiency_weight: deployment.weights.batch_efficiency,
            ..Self::default()
        };
        for service in deployment.services.values() {
            plan.add_service(service);
        }
        plan
    }

    fn add_service(&mut self, service: &Service) {
        let ServiceKind::Engine {
            checks_fencing,
            adapter_slots,
            adapters,
            ..
        } = &service.kind
        else {
            return;
        };
        self.engines
            .extend(service.upstreams.iter().map(|entry| EnginePlan {
                upstream: entry.upstream.clone(),
                service: service.name.clone(),
                failure_domain: entry.failure_domain.clone(),
                adapter_slots: *adapter_slots,
                checks_fencing: *checks_fencing,
            }));
        for (name, versions) in &adapters.entries {
            for version in versions {
                let adapter = AdapterRef {
                    name: name.clone(),
                    version: *version,
                };
                self.adapters.insert(adapter, service.name.clone());
            }
        }
    }
}
