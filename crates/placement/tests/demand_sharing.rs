//! What nodes of one failure domain tell each other about demand.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class, NodeId};
use nutmegsail_placement::{
    DemandCount, Placement, PlacementAction, PlacementEvent, PlacementMessage, PlacementSettings,
};

/// Callers of one node ask for an adapter again and again. The node that schedules the failure
/// domain's loads never sees them; without word of them it would choose that adapter as a victim.
#[test]
fn the_load_scheduler_hears_of_requests_at_other_nodes() {
    let now = Instant::now();
    let names = ["node-1", "node-2"];
    let mut told = Vec::new();
    for name in names {
        let mut placement = Placement::new(PlacementSettings::new(name, "moka"));
        let mut actions = Vec::new();
        let nodes = names.map(NodeId::from).to_vec();
        placement.handle(PlacementEvent::LiveNodes { nodes }, now, &mut actions);
        for _ in 0..3 {
            let demand = PlacementEvent::Demand {
                adapter: AdapterRef::new("house-style", 1),
                class: Class::Urgent,
                weight: 1.0,
            };
            placement.handle(demand, now, &mut actions);
        }
        placement.handle(PlacementEvent::Tick, now, &mut actions);
        placement.handle(PlacementEvent::Tick, now, &mut actions);
        told.push(actions);
    }
    told.retain(|actions| !actions.is_empty());
    let count = DemandCount {
        adapter: AdapterRef::new("house-style", 1),
        class: Class::Urgent,
        requests: 3,
    };
    let counts = vec![count];
    let [actions] = &told[..] else {
        panic!("one node schedules, the other one tells it: {told:?}");
    };
    let [PlacementAction::Send { message, .. }] = &actions[..] else {
        panic!("told once: {actions:?}");
    };
    assert_eq!(*message, PlacementMessage::Demand { counts });
}
