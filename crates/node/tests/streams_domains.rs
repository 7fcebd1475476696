//! Cold starts, and adapters whose only engine stands in another failure domain.

mod support;

use rstest::rstest;
use support::World;
use support::caller::Stream;
use support::{start_node, until_ready};

const NOTE: &str = "note-03@2";

fn preload_all(world: &World) {
    for engine in world.stand_ins.state.fleet.engines.values() {
        engine.preload(NOTE.parse().expect("an adapter"));
    }
}

/// A whole fleet starts from nothing. Its engines have no owner until the nodes have heard of each
/// other, about a second later. Requests that come at once wait for that; refused within
/// milliseconds, every tablet would show an error after each maintenance.
#[rstest]
#[case::engines_that_kept_their_adapters(true)]
#[case::empty_engines(false)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn first_requests_of_a_cold_fleet_wait_and_are_answered(#[case] are_preloaded: bool) {
    let world = World::start().await;
    if are_preloaded {
        preload_all(&world);
    }
    let mut nodes = Vec::new();
    for (name, domain) in [("a-1", "hall-a"), ("a-2", "hall-a"), ("b-1", "hall-b")] {
        let seeds: Vec<_> = nodes
            .iter()
            .map(nutmegsail_node::Node::nodes_address)
            .collect();
        nodes.push(start_node(world.node_settings(name, domain, &seeds)).await);
    }
    let mut asked = Vec::new();
    for node in &nodes {
        until_ready(node).await;
        let to = node.callers_address();
        for _ in 0..8 {
            asked.push(tokio::spawn(async move {
                Stream::generate(to, NOTE, 5, None).await.read().await
            }));
        }
    }
    for answer in asked {
        let reading = answer.await.expect("a caller");
        reading.assert_whole(&reading.request, NOTE, 0, 5);
    }
}

/// An adapter is loaded on one engine only, and that stands in another failure domain. A node
/// serves it through that engine under a pin of the engine's owner, whom any node there knows.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_adapter_of_another_failure_domain_is_served_there() {
    let world = World::start().await;
    let far = &world.stand_ins.addresses.engines[2].address;
    let engine = world.stand_ins.state.fleet.engines[far].clone();
    let near = world.node("a-1", "hall-a", &[]).await;
    let first = world.node("b-1", "hall-b", &[&near]).await;
    let second = world.node("b-2", "hall-b", &[&near, &first]).await;
    // No node of hall-a can use its own engines.
    for own in &world.stand_ins.addresses.engines[..2] {
        let own = &world.stand_ins.state.fleet.engines[&own.address];
        own.set_knobs(nutmegsail_fakes::Knobs {
            outage: true,
            ..nutmegsail_fakes::Knobs::default()
        });
    }
    engine.preload(NOTE.parse().expect("an adapter"));
    for node in [&near, &first, &second] {
        let stream = Stream::generate(node.callers_address(), NOTE, 5, None)
            .await
            .read()
            .await;
        stream.assert_whole(&stream.request, NOTE, 0, 5);
        assert_eq!(engine.ledger().runs_of(&stream.request), 1);
    }
}
