//! Memory of the routing state.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, Class};
use nutmegsail_routing::{
    AdapterAvailability, Arrival, Router, RouterSettings, RoutingEvent, RoutingPlan, ServicePlan,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::DOMAINS;

const SLOTS: usize = 16;
/// Requests in progress on the node.
const REQUESTS: usize = 500;

/// [`Router::memory_bytes`] with `engines` of 16 full slots and `adapters`.
pub(crate) fn router_bytes(engines: usize, adapters: usize) -> usize {
    let (mut router, mut rng) = (
        Router::new(RouterSettings::default()),
        ChaCha8Rng::seed_from_u64(1),
    );
    let (now, mut actions) = (Instant::now(), Vec::new());
    let service = (0..engines).fold(ServicePlan::new("engines"), |service, engine| {
        let domain = format!("domain-{}", engine % DOMAINS);
        service.with_upstream(upstream(engine), domain)
    });
    let plan = RoutingPlan::new(1, "domain-0").with_service(service);
    let plan = plan.with_in_flight_per_caller(u32::MAX);
    let mut tell = |event| router.handle(event, now, &mut rng, &mut actions);
    tell(RoutingEvent::Plan(Arc::new(plan)));
    for slot in 0..engines * SLOTS {
        tell(RoutingEvent::AdapterState {
            upstream: upstream(slot / SLOTS).into(),
            adapter: adapter(slot % adapters),
            state: AdapterAvailability::Ready,
        });
    }
    for number in 0..REQUESTS {
        tell(RoutingEvent::Arrive(arrival(number, adapters, now)));
    }
    router.memory_bytes()
}

fn upstream(engine: usize) -> String {
    format!("10.2.{}.{}:8000", engine / 250, engine % 250)
}

fn adapter(number: usize) -> AdapterRef {
    AdapterRef::new(format!("treatment-summary-{number:05}"), 1)
}

fn arrival(number: usize, adapters: usize, now: Instant) -> Arrival {
    Arrival {
        request: format!("request-{number}").into(),
        caller: format!("caller-{}", number % 50).into(),
        service: "engines".into(),
        adapter: Some(adapter(number % adapters)),
        class: Class::Routine,
        deadline: now + Duration::from_secs(60),
        target: Duration::from_millis(800),
        prefix: None,
        idempotent: true,
    }
}
