//! Reports of demand between nodes, and of weight store use between failure domains.

use std::sync::Arc;
use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class, NodeId};
use nutmegsail_placement::{
    DemandCount, EnginePlan, Placement, PlacementAction, PlacementEvent, PlacementMessage,
    PlacementPlan, PlacementSettings,
};

/// One node receives all requests for an adapter. The node that schedules the failure domain's
/// loads would choose that adapter for eviction if it were not told of them.
#[test]
fn the_load_scheduler_is_told_of_requests_at_other_nodes() {
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

/// One failure domain has nothing to load, another one has a backlog. Without a report of use, the
/// second one would keep to its share while the weight store is idle.
#[test]
fn a_failure_domain_tells_the_others_how_much_of_the_weight_store_it_uses() {
    let now = Instant::now();
    let mut placement = Placement::new(PlacementSettings::new("node-1", "moka"));
    let engine = |domain: &str| EnginePlan {
        upstream: format!("{domain}:8000").into(),
        service: "editlm".into(),
        failure_domain: domain.into(),
        adapter_slots: 8,
        checks_fencing: true,
    };
    let plan = PlacementPlan {
        engines: ["moka", "ebene-a", "port-louis"].map(engine).to_vec(),
        failure_domains: 3,
        ..PlacementPlan::default()
    };
    let mut actions = Vec::new();
    placement.handle(PlacementEvent::Plan(Arc::new(plan)), now, &mut actions);
    let nodes = vec!["node-1".into()];
    placement.handle(PlacementEvent::LiveNodes { nodes }, now, &mut actions);
    placement.handle(PlacementEvent::Tick, now, &mut actions);
    placement.handle(PlacementEvent::Tick, now, &mut actions);
    let to_domain = |action: &PlacementAction| match action {
        PlacementAction::SendToDomain { domain, .. } => Some(domain.to_string()),
        _ => None,
    };
    let told: Vec<String> = actions.iter().filter_map(to_domain).collect();
    assert_eq!(told, ["ebene-a", "port-louis"]);
}
