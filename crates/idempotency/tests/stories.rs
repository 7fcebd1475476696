//! One test for each way in which a call that runs once could run twice, or be lost.

mod world;

use std::time::Duration;

use nutmegsail_base::{ResultCode, RunState};
use world::{CallFate, Told, World};

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

/// A clerk's tablet confirms a booking through one VM, hears nothing, and sends it again through
/// another VM and a third. The guest must be booked once, and every repeat gets that booking.
#[test]
fn a_repeat_through_any_node_gets_the_recorded_answer() {
    let mut world = World::new(3, 1);
    let key = world.key();
    let first = world.begin(0, &key, 0);
    world.run_for(2 * S);
    assert_eq!(world.told[&first], Told::Ran(CallFate::Answered));
    for node in 0..3 {
        let repeat = world.begin(node, &key, 0);
        world.run_for(S);
        assert!(matches!(&world.told[&repeat], Told::Answer(answer) if answer.status == 201));
    }
}

/// The second attempt arrives while the first one runs. It is told to come back.
#[test]
fn a_repeat_of_a_running_call_is_told_that_it_runs() {
    let mut world = World::new(3, 2);
    world.delays.call = 5 * S;
    let key = world.key();
    world.begin(0, &key, 0);
    world.run_for(S);
    for node in 0..3 {
        let repeat = world.begin(node, &key, 0);
        world.run_for(S);
        let in_progress = Told::Refused(ResultCode::InProgress, RunState::MayHaveRun);
        assert_eq!(world.told[&repeat], in_progress);
    }
    world.run_for(100 * MS);
}
