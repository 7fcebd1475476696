//! Answers that go on although their node, their caller or their engine went away.

mod support;

use nutmegsail_fakes::FakeEngine;
use support::World;
use support::caller::{Stream, pieces};
use support::mortal_node::MortalNode;

const NOTE: &str = "note-03@2";
/// So long that no test sees the end.
const ENDLESS: u64 = 10_000_000;

/// The engine that makes `stream`.
fn engine_of(world: &World, stream: &Stream) -> FakeEngine {
    let upstream = stream.handle().upstream;
    world.stand_ins.state.fleet.engines[&upstream].clone()
}

async fn until_idle(engine: &FakeEngine) {
    while engine.running() > 0 {
        tokio::task::yield_now().await;
    }
}

/// A node freezes in the middle of an answer. Its caller resumes through another node and reads on.
/// The first node wakes, sees that its caller has gone and cancels the run. The caller would see
/// its answer stop a second time, now for good.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_wakes_does_not_cancel_what_another_node_has_resumed() {
    let world = World::start().await;
    let frozen = world.node("node-1", "hall-a", &[]).await;
    let other = world.node("node-2", "hall-a", &[&frozen]).await;
    let mut first = Stream::generate(frozen.callers_address(), NOTE, 400, None).await;
    let request = first.handle().request.to_string();
    assert_eq!(first.pieces(2).await, pieces(&request, NOTE, 0, 2));
    let handle = first.handle_text();
    let mut second = Stream::resume(other.callers_address(), &handle, 2).await;
    assert_eq!(second.pieces(1).await, pieces(&request, NOTE, 2, 3));
    drop(first);
    second.read().await.assert_whole(&request, NOTE, 3, 400);
}

/// A tablet is switched off in the middle of an answer. Nobody reads on, so the engine's place must
/// go to somebody else at once, also when the answer had been resumed before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_goes_away_frees_its_engine() {
    let world = World::start().await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let mut stream = Stream::generate(node.callers_address(), NOTE, ENDLESS, None).await;
    stream.pieces(2).await;
    let engine = engine_of(&world, &stream);
    let handle = stream.handle_text();
    drop(stream);
    until_idle(&engine).await;
    let mut resumed = Stream::resume(node.callers_address(), &handle, 2).await;
    resumed.pieces(2).await;
    assert_eq!(engine.running(), 1);
    drop(resumed);
    until_idle(&engine).await;
}

/// A node is killed in the middle of an answer. The caller sees its connection break, and gets the
/// rest of the same run through another node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_whose_node_dies_is_whole_through_another_node() {
    let world = World::start().await;
    let mut dying = MortalNode::start(world.node_settings("node-1", "hall-a", &[])).await;
    let other = world.node("node-2", "hall-b", &[dying.node()]).await;
    let mut first = Stream::generate(dying.callers_address(), NOTE, 300, None).await;
    let (handle, request) = (first.handle_text(), first.handle().request.to_string());
    let mut seen = first.pieces(5).await;
    dying.kill();
    while let Some(event) = first.next().await {
        assert_eq!(event.id, Some(seen.len() as u64 + 1), "{event:?}");
        seen.push(format!("{request}/{NOTE}/{} ", seen.len() + 1));
    }
    let after = seen.len() as u64;
    assert!(after < 300, "the connection broke in the middle");
    let rest = Stream::resume(other.callers_address(), &handle, after).await;
    rest.read().await.assert_whole(&request, NOTE, after, 300);
}

/// A node is killed, and the engine restarts before the caller resumes. The new run of the engine
/// would write another text; the caller gets a numbered error in place of a splice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_is_never_joined_to_another_run_of_its_engine() {
    let world = World::start().await;
    let mut dying = MortalNode::start(world.node_settings("node-1", "hall-a", &[])).await;
    let other = world.node("node-2", "hall-a", &[dying.node()]).await;
    let mut first = Stream::generate(dying.callers_address(), NOTE, ENDLESS, None).await;
    first.pieces(3).await;
    let (engine, handle) = (engine_of(&world, &first), first.handle_text());
    dying.kill();
    engine.restart();
    engine.preload(NOTE.parse().expect("an adapter"));
    let refused = Stream::resume(other.callers_address(), &handle, 3).await;
    let refused = refused.read().await;
    assert_eq!((refused.code(), refused.pieces.len()), ("NS1013", 0));
    assert_eq!(refused.error.expect("an error")["run_state"], "ran");
}

/// An engine's connection breaks in the middle of an answer. The caller sees the cut with its code
/// and handle, and the run still goes on for its resume.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cut_between_node_and_engine_is_visible_and_its_run_goes_on() {
    let world = World::start().await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let mut stream = Stream::generate(node.callers_address(), NOTE, 400, None).await;
    let request = stream.handle().request.to_string();
    let seen = stream.pieces(2).await;
    let engine = engine_of(&world, &stream);
    engine.cut_connections();
    let cut = stream.read().await;
    assert_eq!((cut.code(), cut.end), ("NS3005", None));
    let last = (seen.len() + cut.pieces.len()) as u64;
    assert_eq!(cut.pieces, pieces(&request, NOTE, 2, last));
    let error = cut.error.expect("an error");
    assert_eq!(error["run_state"], "ran");
    assert_eq!(error["resume"]["last_event_id"], last);
    assert_eq!(engine.running(), 1, "the run waits for its caller");
    let handle = error["resume"]["answer"].as_str().expect("a handle");
    let rest = Stream::resume(node.callers_address(), handle, last).await;
    rest.read().await.assert_whole(&request, NOTE, last, 400);
    assert_eq!(engine.ledger().runs_of(&request), 1);
}
