//! Many answers at a time: never mixed, never behind each other, never cut by a shutdown.

mod support;

use std::time::Duration;

use nutmegsail_fakes::{Knobs, StandInsSettings};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::World;
use support::caller::Stream;

const NOTE: &str = "note-03@2";
/// So long that no test sees the end.
const ENDLESS: u64 = 10_000_000;
const SEED: u64 = 11;

/// Two desks ask through two nodes at the same time; one engine is slow, so that answers come late
/// and overtake each other. A piece in a wrong answer would show one guest's notes to another.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_answers_through_two_nodes_never_mix() {
    let world = World::start().await;
    let first = world.node("node-1", "hall-a", &[]).await;
    let second = world.node("node-2", "hall-b", &[&first]).await;
    let slow = &world.stand_ins.addresses.engines[0].address;
    world.stand_ins.state.fleet.engines[slow].set_knobs(Knobs {
        delay_ms: 7,
        ..Knobs::default()
    });
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let nodes = [first.callers_address(), second.callers_address()];
    let mut asked = Vec::new();
    for _ in 0..80 {
        let adapter = format!(
            "note-0{}@{}",
            rng.random_range(1..=2),
            rng.random_range(1..=2)
        );
        let (node, count) = (nodes[rng.random_range(0..2)], rng.random_range(1..40));
        asked.push(tokio::spawn(async move {
            let reading = Stream::generate(node, &adapter, count, None)
                .await
                .read()
                .await;
            reading.assert_whole(&reading.request, &adapter, 0, count);
            reading.request
        }));
    }
    let mut requests = Vec::new();
    for answer in asked {
        requests.push(answer.await.expect("a whole answer"));
    }
    requests.sort();
    requests.dedup();
    assert_eq!(requests.len(), 80, "each caller got an answer of its own");
}

/// Routine work without end fills every place that it may have, and more of it waits. A clerk's
/// urgent request comes behind all of it and is answered whole, before any of it has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn urgent_work_is_answered_while_routine_work_fills_the_engines() {
    let mut settings = StandInsSettings::default();
    settings.engine.step = Duration::from_millis(2);
    settings.engine.batch_slots = 4;
    let world = World::start_with(settings).await;
    let text = world.text();
    let text = text.replace("batch_slots = 512", "batch_slots = 4");
    let places = "in_flight_per_upstream = 4\nurgent_headroom = 0.25";
    world
        .publish(&text.replace("in_flight_per_upstream = 512", places))
        .await;
    let engines: Vec<_> = world.stand_ins.state.fleet.engines.values().collect();
    for engine in &engines {
        engine.preload(NOTE.parse().expect("an adapter"));
    }
    let far = world.node("node-2", "hall-b", &[]).await;
    let node = world.node("node-1", "hall-a", &[&far]).await;
    let to = node.callers_address();
    let mut routine = tokio::task::JoinSet::new();
    for _ in 0..24 {
        routine.spawn(async move { Stream::generate(to, NOTE, ENDLESS, None).await.read().await });
    }
    while waiting(&node).await == 0 {
        tokio::task::yield_now().await;
    }
    for _ in 0..5 {
        let urgent = Stream::generate(to, NOTE, 5, Some("summary"))
            .await
            .read()
            .await;
        urgent.assert_whole(&urgent.request, NOTE, 0, 5);
        assert!(
            routine.try_join_next().is_none(),
            "no routine answer has ended"
        );
    }
}

/// A VM is taken out of service while answers are in progress, a long one among them. Each of them
/// ends whole before the node does.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_shutdown_cuts_no_answer_in_progress() {
    let world = World::start().await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let to = node.callers_address();
    let mut streams = Vec::new();
    for count in [900, 3, 200, 50, 400] {
        let stream = Stream::generate(to, NOTE, count, None).await;
        streams.push((stream, count));
    }
    let shutdown = tokio::spawn(node.shutdown());
    for (stream, count) in streams {
        let reading = stream.read().await;
        reading.assert_whole(&reading.request, NOTE, 0, count);
    }
    shutdown.await.expect("the node ends");
}

/// Routine requests that wait on the node for a place.
async fn waiting(node: &nutmegsail_node::Node) -> u64 {
    let path = "/operators/explain?service=scribe&adapter=note-03@2&class=routine";
    let to = node.operators_address();
    let answer = support::send(to, http::Method::GET, path, &[], "").await;
    let json: serde_json::Value = serde_json::from_slice(answer.body()).expect("an explanation");
    json["waiting"].as_u64().expect("a number")
}
