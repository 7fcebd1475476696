//! Engines that answer wrongly, break, leave or restart while nodes send them requests.

mod support;

use nutmegsail_fakes::{FakeEngine, Knobs};
use nutmegsail_node::Node;
use support::World;
use support::caller::{Reading, Stream};

const NOTE: &str = "note-03@2";
/// So long that no test sees the end.
const ENDLESS: u64 = 10_000_000;

/// The engines of `hall-a`.
fn near(world: &World) -> [FakeEngine; 2] {
    let addresses = &world.stand_ins.addresses.engines;
    let engines = &world.stand_ins.state.fleet.engines;
    [0, 1].map(|index: usize| engines[&addresses[index].address].clone())
}

/// Every engine.
fn engines(world: &World) -> Vec<FakeEngine> {
    let engines = &world.stand_ins.state.fleet.engines;
    engines.values().cloned().collect()
}

fn preload(engines: &[FakeEngine], adapter: &str) {
    for engine in engines {
        engine.preload(adapter.parse().expect("an adapter"));
    }
}

async fn ask(node: &Node, tokens: u64) -> Reading {
    let stream = Stream::generate(node.callers_address(), NOTE, tokens, None).await;
    stream.read().await
}

/// How many of `readings` ran at `engine`.
fn ran_at(engine: &FakeEngine, readings: &[Reading]) -> u32 {
    let ledger = engine.ledger();
    let runs = readings.iter();
    runs.map(|reading| ledger.runs_of(&reading.request)).sum()
}

/// The engine of `hall-a` that the node sends to at present, and the other one. While the operators
/// weigh batch efficiency, requests are packed on one of them.
async fn used_and_other(world: &World, node: &Node) -> (FakeEngine, FakeEngine) {
    let reading = ask(node, 2).await;
    let [first, second] = near(world);
    if ran_at(&first, &[reading]) == 1 {
        (first, second)
    } else {
        (second, first)
    }
}

/// An engine has swapped the adapter in its slot and answers with another version. A therapist
/// would read a summary in another hotel's words. Nothing of it reaches the caller; the other
/// engine answers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_by_another_version_is_dropped_and_given_elsewhere() {
    let world = World::start().await;
    preload(&near(&world), NOTE);
    let node = world.node("node-1", "hall-a", &[]).await;
    let (wrong, right) = used_and_other(&world, &node).await;
    wrong.set_knobs(Knobs {
        wrong_adapter_share: 1.0,
        ..Knobs::default()
    });
    // The router may try either engine first; the answer is always the right one's.
    for _ in 0..4 {
        let reading = ask(&node, 5).await;
        reading.assert_whole(&reading.request, NOTE, 0, 5);
        assert_eq!(ran_at(&right, &[reading]), 1);
    }
}

/// Every engine answers with another version. There is nobody to answer, so the caller gets an
/// error with a code, and not one piece.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_by_another_version_never_reaches_the_caller() {
    let world = World::start().await;
    preload(&engines(&world), NOTE);
    let far = world.node("node-2", "hall-b", &[]).await;
    let node = world.node("node-1", "hall-a", &[&far]).await;
    for node in [&far, &node] {
        ask(node, 2).await;
    }
    for engine in engines(&world) {
        engine.set_knobs(Knobs {
            wrong_adapter_share: 1.0,
            ..Knobs::default()
        });
    }
    let reading = ask(&node, 5).await;
    assert!(reading.status >= 500, "{reading:?}");
    let error = reading.error.expect("an error");
    assert_eq!(error["run_state"], "may_have_run", "{error}");
}

/// An engine's connection breaks before the first byte: nobody has seen any of the answer, so it
/// is given by another engine and the caller sees nothing of the failure.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_engine_that_breaks_before_the_first_byte_is_replaced() {
    let world = World::start().await;
    preload(&near(&world), NOTE);
    let node = world.node("node-1", "hall-a", &[]).await;
    let (broken, _) = used_and_other(&world, &node).await;
    broken.set_knobs(Knobs {
        outage: true,
        ..Knobs::default()
    });
    // Each costs the retry budget one send, and that allows a few in a row.
    for _ in 0..4 {
        let reading = ask(&node, 3).await;
        reading.assert_whole(&reading.request, NOTE, 0, 3);
    }
}

/// An engine leaves with an answer in progress. The answer ends whole, and once the node has heard
/// of the leaving, everything new goes elsewhere, without a first try at the engine that leaves.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_engine_finishes_and_gets_no_new_work() {
    let world = World::start().await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let mut long = Stream::generate(node.callers_address(), NOTE, 700, None).await;
    let request = long.handle().request.to_string();
    long.pieces(1).await;
    let leaving = long.handle().upstream;
    let engines = &world.stand_ins.state.fleet.engines;
    engines[&leaving].set_knobs(Knobs {
        leaving: true,
        ..Knobs::default()
    });
    until_left(&node, leaving.as_str()).await;
    let sent = engines[&leaving].ledger().requests.len();
    for _ in 0..10 {
        let stream = Stream::generate(node.callers_address(), NOTE, 3, None).await;
        assert_ne!(stream.handle().upstream, leaving);
        let reading = stream.read().await;
        reading.assert_whole(&reading.request, NOTE, 0, 3);
    }
    assert_eq!(engines[&leaving].ledger().requests.len(), sent);
    long.read().await.assert_whole(&request, NOTE, 1, 700);
}

/// Waits until the node says that it does not use `upstream`.
async fn until_left(node: &Node, upstream: &str) {
    loop {
        let path = "/operators/explain?service=scribe&adapter=note-03@2";
        let to = node.operators_address();
        let answer = support::send(to, http::Method::GET, path, &[], "").await;
        let json: serde_json::Value =
            serde_json::from_slice(answer.body()).expect("an explanation");
        let candidates = json["candidates"].as_array().expect("candidates").clone();
        let own = candidates.iter().find(|one| one["upstream"] == upstream);
        let own = own.expect("the upstream is listed");
        if own["standing"] == "leaving" {
            return;
        }
        tokio::task::yield_now().await;
    }
}

/// All engines restart cold in the middle of answers. The answers are cut visibly; then the
/// adapter is loaded again and requests are answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn after_a_cold_restart_adapters_are_loaded_again() {
    let world = World::start().await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let mut cut = Stream::generate(node.callers_address(), NOTE, ENDLESS, None).await;
    cut.pieces(1).await;
    for engine in engines(&world) {
        engine.restart();
    }
    let cut = cut.read().await;
    assert_eq!((cut.code(), cut.end), ("NS3005", None));
    let reading = ask(&node, 4).await;
    reading.assert_whole(&reading.request, NOTE, 0, 4);
}
