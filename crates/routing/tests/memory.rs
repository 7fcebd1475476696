//! Memory use of the router.

mod support;

use nutmegsail_base::{AdapterRef, Class};
use nutmegsail_routing::{AdapterAvailability, RouterSettings, RoutingPlan};
use support::{Harness, service};

/// Nodes are small VMs with 256 MB of memory. The router's state for 750 engines with 16 full slots
/// each, 11,000 adapters and 2,000 requests at a time must leave most of that to the rest of the
/// node.
#[test]
fn router_state_at_the_two_year_size_stays_under_64_mb() {
    let plan = RoutingPlan::new(1, "a").with_service(service(750));
    let plan = plan.with_in_flight_per_caller(10_000);
    let mut harness = Harness::with(RouterSettings::default(), plan);
    for slot in 0..750 * 16 {
        let adapter = AdapterRef::new(format!("treatment-summary-{:05}", slot % 11_000), 1);
        let upstream = format!("u{}", slot / 16 + 1);
        harness.set_adapter(&upstream, &adapter, AdapterAvailability::Ready);
    }
    for _ in 0..2_000 {
        harness.send(Class::Routine);
    }

    let bytes = harness.router.memory_bytes();
    assert!(bytes < 64 * 1024 * 1024, "{bytes}");
    assert!(
        bytes > 4 * 1024 * 1024,
        "{bytes}: the estimate leaves out a table"
    );
}
