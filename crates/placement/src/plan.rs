//! What the operators' text says to placement.

use std::collections::HashMap;

use nutmegsail_base::{AdapterRef, FailureDomain, ServiceName, UpstreamId};
use nutmegsail_config::{Deployment, Service, ServiceKind};

/// One engine of the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EnginePlan {
    /// The engine.
    pub upstream: UpstreamId,
    /// The service it serves; only this service's adapters are loaded here.
    pub service: ServiceName,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// How many adapters fit.
    pub adapter_slots: u32,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
}

/// What placement has to know of the text in force. A new one is given with each generation.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementPlan {
    /// Every engine.
    pub engines: Vec<EnginePlan>,
    /// Every adapter and version that may be asked for, with the service it belongs to.
    pub adapters: HashMap<AdapterRef, ServiceName>,
    /// Loads a second that the weight store allows the whole deployment.
    pub loads_per_s: f64,
    /// Loads at a time that the weight store serves at full speed.
    pub loads_at_full_speed: u32,
    /// How many failure domains share the weight store.
    pub failure_domains: u32,
    /// How much a wait for an adapter costs, 0 to 1.
    pub load_stall_weight: f64,
    /// How much a step that is not full costs, 0 to 1.
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
    /// Takes from a checked text what placement needs.
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
