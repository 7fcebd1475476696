//! What the cores need of an operators' text, taken out of it once for each generation.

use nutmegsail_base::FailureDomain;
use nutmegsail_config::{InForce, Service, ServiceKind};
use nutmegsail_routing::{RoutingPlan, RoutingWeights, ServicePlan, UpstreamPlan};

/// The routing plan of the text in force, for a node in `own_domain`.
pub(crate) fn routing_plan(text: &InForce, own_domain: &FailureDomain) -> RoutingPlan {
    let deployment = &text.deployment;
    RoutingPlan {
        generation: text.generation.0,
        own_domain: own_domain.clone(),
        weights: RoutingWeights {
            load_stalls: deployment.weights.load_stalls,
            batch_efficiency: deployment.weights.batch_efficiency,
        },
        in_flight_per_caller: deployment.limits.in_flight_per_caller,
        loads_per_s: deployment.limits.loads_per_s,
        services: deployment.services.values().map(service_plan).collect(),
    }
}

fn service_plan(service: &Service) -> ServicePlan {
    let batch_slots = match &service.kind {
        ServiceKind::Engine { batch_slots, .. } => *batch_slots,
        ServiceKind::Plain => 0,
    };
    let upstreams = service.upstreams.iter().map(|entry| UpstreamPlan {
        upstream: entry.upstream.clone(),
        failure_domain: entry.failure_domain.clone(),
    });
    ServicePlan {
        name: service.name.clone(),
        upstreams: upstreams.collect(),
        in_flight_per_upstream: service.in_flight_per_upstream,
        batch_slots,
        urgent_headroom: service.urgent_headroom,
        queue_per_class: service.queue_per_class,
        routine_floor: service.routine_floor,
        retry_budget: service.retry_budget,
    }
}
