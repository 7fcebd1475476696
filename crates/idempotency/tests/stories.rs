//! One test for each way in which a call that runs once could run twice, or be lost.

mod world;

use std::time::Duration;

use nutmegsail_base::{Incarnation, ResultCode, RunState};
use nutmegsail_idempotency::{
    ChainPlace, ClaimEvent, ClaimSettings, ClaimToken, Claimant, OperationResult, RecordedAnswer,
    WriterResult,
};
use rstest::rstest;
use world::{CallFate, SwapFate, Told, World};

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
const RAN: Told = Told::Ran(CallFate::Answered);

fn not_run(code: ResultCode) -> Told {
    Told::Refused(code, RunState::NotRun)
}

fn may_have_run(code: ResultCode) -> Told {
    Told::Refused(code, RunState::MayHaveRun)
}

/// A clerk's tablet confirms a booking through one VM, hears nothing, and sends it again through
/// another VM and a third. The guest must be booked once, and every repeat gets that booking.
#[test]
fn a_repeat_through_any_node_gets_the_recorded_answer() {
    let mut world = World::new(3, 1);
    let key = world.key();
    let first = world.begin(0, &key, 0);
    world.run_for(2 * S);
    assert_eq!(world.told[&first], RAN);
    for node in 0..3 {
        let repeat = world.begin(node, &key, 0);
        world.run_for(S);
        assert!(matches!(&world.told[&repeat], Told::Answer(answer) if answer.status == 201));
    }
}

/// The second attempt arrives while the first one runs, at the same node or at another. It is told
/// to come back.
#[test]
fn a_repeat_of_a_running_call_is_told_that_it_runs() {
    let mut world = World::new(3, 2);
    world.delays.call = 10 * S;
    let key = world.key();
    world.begin(0, &key, 0);
    world.run_for(S);
    for node in 0..3 {
        let repeat = world.begin(node, &key, 0);
        world.run_for(S);
        let in_progress = may_have_run(ResultCode::InProgress);
        assert_eq!(world.told[&repeat], in_progress);
    }
}

/// A tablet sends the same confirmation through three VMs at the same moment. One claim wins.
#[test]
fn of_attempts_at_the_same_moment_one_runs() {
    let mut world = World::new(3, 3);
    let key = world.key();
    let attempts = [0, 1, 2].map(|node| world.begin(node, &key, 0));
    world.run_for(3 * S);
    let ran = attempts
        .iter()
        .filter(|attempt| world.told[*attempt] == RAN);
    assert_eq!(ran.count(), 1);
}

/// The store carries out the claim's write, or carries it out seconds later, or never; its answer
/// is lost each time. The node must neither dispatch without a claim nor refuse a call as not run
/// whose claim stands. It reads back, and what it writes then makes a later execution fail.
#[rstest]
#[case::took_effect(Some(MS))]
#[case::takes_effect_late(Some(4 * S))]
#[case::never_takes_effect(None)]
fn a_claim_whose_answer_was_lost_runs_once(#[case] takes_effect_after: Option<Duration>) {
    let mut world = World::new(1, 4);
    world.next_swaps = vec![SwapFate::Lost { takes_effect_after }];
    let key = world.key();
    let first = world.begin(0, &key, 0);
    world.run_for(S);
    assert_eq!(world.told[&first], RAN);
    world.run_for(10 * S);
    let repeat = world.begin(0, &key, 0);
    world.run_for(S);
    assert!(matches!(world.told[&repeat], Told::Answer(_)));
}

/// The claim stands in the store and the process is paused for a minute before it sends. The
/// others must not take the claim over: the paused process sends when it wakes.
#[test]
fn a_paused_claimant_is_still_the_only_one() {
    let mut world = World::new(3, 5);
    let key = world.key();
    let (_, claimant) = world.writer_and_other(&key);
    let first = world.begin(claimant, &key, 0);
    while world.let_run.is_empty() {
        world.run_for(MS / 20);
    }
    world.pause(claimant, 60 * S);
    world.run_for(30 * S);
    assert_eq!(world.runs(&key), 0);
    let repeat = world.begin((claimant + 1) % 3, &key, 0);
    world.run_for(S);
    assert_eq!(world.told[&repeat], may_have_run(ResultCode::InProgress));
    world.run_for(60 * S);
    assert_eq!(world.told[&first], RAN);
    assert_eq!(world.runs(&key), 1);
}

/// The claimant dies after it claimed. Nobody knows whether it sent. The repeat is told so, at
/// every node, for ever, and the call is never sent again.
#[test]
fn a_dead_claimants_call_may_have_run() {
    let mut world = World::new(3, 6);
    world.delays.call = 10 * S;
    let key = world.key();
    world.begin(0, &key, 0);
    world.run_for(S);
    world.restart(0);
    for node in 0..3 {
        let repeat = world.begin(node, &key, 0);
        world.run_for(S);
        let unknown = may_have_run(ResultCode::OutcomeUnknown);
        assert_eq!(world.told[&repeat], unknown);
    }
    assert_eq!(world.runs(&key), 1);
}

/// The shard's writer is paused with a claim in its hands. The claimant writes the claim itself;
/// when the writer wakes it carries the claim out again, and its answer comes late.
#[test]
fn a_writer_that_wakes_late_changes_nothing() {
    let mut world = World::new(3, 7);
    let key = world.key();
    let (writer, other) = world.writer_and_other(&key);
    world.pause(writer, 5 * S);
    let first = world.begin(other, &key, 0);
    world.run_for(S);
    assert_eq!(world.told[&first], RAN);
    world.run_for(10 * S);
    let repeat = world.begin(writer, &key, 0);
    world.run_for(S);
    assert!(matches!(world.told[&repeat], Told::Answer(_)));
}

/// The VM of a shard's writer has died and is still on the VM list. The first call waits for its
/// answer in vain; the next ones must not.
#[test]
fn a_silent_writer_delays_one_call_and_not_all() {
    let mut world = World::new(3, 25);
    let keys: Vec<_> = (0..40).map(|_| world.key()).collect();
    let (writer, other) = world.writer_and_other(&keys[0]);
    let is_same_writer = |key: &&_| world.writer_and_other(key).0 == writer;
    let keys: Vec<_> = keys.iter().filter(is_same_writer).cloned().collect();
    // Within the five seconds after which the writer is tried again.
    let keys = &keys[..12];
    world.pause(writer, 60 * S);
    for key in keys {
        world.begin(other, key, 0);
        world.run_for(300 * MS);
    }
    let (first, others) = world.claim_waits.split_first().unwrap();
    assert!(*first >= 250 * MS, "{first:?}");
    assert!(others.iter().all(|wait| *wait < 40 * MS), "{others:?}");
}

/// A call runs at a node of another failure domain, of which this one hears no heartbeats. The
/// repeat is told to come back; only when the call is far too old is it given up.
#[test]
fn a_call_of_another_failure_domain_is_in_progress() {
    let mut world = World::new(2, 26);
    world.nodes[1].domain = 1;
    world.spread_live_nodes();
    world.delays.call = 700 * S;
    let key = world.key();
    world.begin(0, &key, 0);
    world.run_for(S);
    for (wait, code) in [
        (300 * S, ResultCode::InProgress),
        (350 * S, ResultCode::OutcomeUnknown),
    ] {
        world.run_for(wait);
        let repeat = world.begin(1, &key, 0);
        world.run_for(S);
        assert_eq!(world.told[&repeat], may_have_run(code));
    }
}

/// Writer and claimant are cut off from the store, the caller is told "not run" and goes away.
/// Later the writer still has the claim in its queue and writes it. The caller comes back with the
/// same key: the call runs, since the release that followed the claim says that it was given up.
#[test]
fn a_claim_given_up_does_not_block_its_key() {
    let mut world = World::new(3, 8);
    let key = world.key();
    let (writer, other) = world.writer_and_other(&key);
    world.store_down = true;
    let first = world.begin(other, &key, 0);
    world.run_for(3 * S);
    assert_eq!(world.told[&first], not_run(ResultCode::ClaimUnavailable));
    world.store_down = false;
    world.run_for(3 * S);
    let second = world.begin(writer, &key, 0);
    world.run_for(2 * S);
    assert_eq!(world.told[&second], RAN);
}

/// The claim's answer is lost and the caller is told "not run" after its wait. The store carries
/// the claim out after that. The release finds it, or keeps it from taking effect.
#[rstest]
#[case::before_the_release(400 * MS)]
#[case::after_the_release(8 * S)]
fn a_claim_carried_out_after_not_run_never_runs(#[case] late: Duration) {
    let settings = ClaimSettings {
        claim_timeout: 300 * MS,
        ..ClaimSettings::default()
    };
    let mut world = World::with_settings(1, 9, settings);
    world.next_swaps = vec![SwapFate::Lost {
        takes_effect_after: Some(late),
    }];
    let key = world.key();
    let first = world.begin(0, &key, 0);
    world.run_for(400 * MS);
    assert_eq!(world.told[&first], not_run(ResultCode::ClaimUnavailable));
    world.run_for(20 * S);
    assert_eq!(world.runs(&key), 0);
    let second = world.begin(0, &key, 0);
    world.run_for(S);
    assert_eq!(world.told[&second], RAN);
}

/// The connection to the service breaks after the confirmation was sent. It may have been booked:
/// no repeat is sent, and each is told that it may have run.
#[test]
fn a_broken_connection_is_never_sent_again() {
    let mut world = World::new(3, 10);
    world.next_calls = vec![CallFate::Broken];
    let key = world.key();
    world.begin(0, &key, 0);
    world.run_for(2 * S);
    for node in 0..3 {
        let repeat = world.begin(node, &key, 0);
        world.run_for(S);
        let unknown = may_have_run(ResultCode::OutcomeUnknown);
        assert_eq!(world.told[&repeat], unknown);
    }
}

/// The service says that it is full and did not run the call. The caller may send it again with
/// the same key, through any node, and then it runs.
#[test]
fn a_call_that_surely_did_not_run_may_run_under_the_same_key() {
    let mut world = World::new(3, 11);
    world.next_calls = vec![CallFate::Refused];
    let key = world.key();
    world.begin(0, &key, 0);
    world.run_for(2 * S);
    let repeat = world.begin(1, &key, 0);
    world.run_for(S);
    assert_eq!(world.told[&repeat], RAN);
}

/// A tablet's program uses one key for two bookings. The second is refused, wherever it arrives
/// and however the first one stands.
#[rstest]
#[case::while_the_first_runs(20 * MS)]
#[case::after_its_answer(2 * S)]
fn a_key_used_for_another_call_is_refused(#[case] wait: Duration) {
    let mut world = World::new(3, 12);
    let key = world.key();
    world.begin(0, &key, 0);
    world.run_for(wait);
    for node in 0..3 {
        let other = world.begin(node, &key, 1);
        world.run_for(100 * MS);
        assert_eq!(world.told[&other], not_run(ResultCode::KeyReused));
    }
}

/// The service refused the first booking, and the tablet's program uses its key for another one.
/// The record still says what the key stands for.
#[test]
fn a_released_key_stands_for_the_same_call() {
    let mut world = World::new(3, 22);
    world.next_calls = vec![CallFate::Refused];
    let key = world.key();
    world.begin(0, &key, 0);
    world.run_for(2 * S);
    let other = world.begin(1, &key, 1);
    world.run_for(S);
    assert_eq!(world.told[&other], not_run(ResultCode::KeyReused));
}

/// A node's first attempt is given up and its second is refused by the service. Only then does the
/// message with the first claim arrive at another node. Were it taken, the key would be claimed by
/// nobody who runs it, and the caller would wait for ever.
#[test]
fn a_late_claim_of_an_earlier_attempt_does_not_block_its_key() {
    let mut world = World::new(2, 23);
    let key = world.key();
    let (writer, other) = world.writer_and_other(&key);
    world.pause(writer, 20 * S);
    world.store_down = true;
    world.begin(other, &key, 0);
    world.run_for(MS);
    world.faults.message_lost = 100;
    world.run_for(3 * S);
    world.store_down = false;
    world.run_for(3 * S);
    world.next_calls = vec![CallFate::Refused];
    world.begin(other, &key, 0);
    world.run_for(30 * S);
    world.faults.message_lost = 0;
    let third = world.begin(writer, &key, 0);
    world.run_for(S);
    assert_eq!(world.told[&third], RAN);
}

/// A call sent a day ago is repeated. Its claim is gone from the store, so nothing would stop a
/// second run but the key's age. A node whose clock is slow must not let it through either.
#[test]
fn a_key_whose_claim_is_gone_is_refused() {
    let mut world = World::new(3, 13);
    let skew_s = world.settings.skew.as_secs() as i64;
    // The node that removes old records has the fastest clock that is allowed.
    let collector = world.collector();
    world.nodes[collector].clock_error_s = skew_s;
    let slow = (collector + 1) % 3;
    world.nodes[slow].clock_error_s = -skew_s;
    let key = world.key();
    let first = world.begin(0, &key, 0);
    world.run_for(world.settings.retention - 120 * S);
    assert_eq!(world.told[&first], RAN);
    while !world.store.is_empty() {
        let repeat = world.begin(slow, &key, 0);
        world.run_for(S);
        let told = &world.told[&repeat];
        let is_refused = *told == not_run(ResultCode::KeyTooOld);
        assert!(is_refused || matches!(told, Told::Answer(_)));
    }
    let repeat = world.begin(slow, &key, 0);
    world.run_for(S);
    assert_eq!(world.told[&repeat], not_run(ResultCode::KeyTooOld));
}

/// A node accepts a repeat just inside the retention, and then the claim takes minutes, for the
/// node is paused or the store is slow. Meanwhile the first claim is removed, so that the second
/// one succeeds. The key's age is checked again before the call runs.
#[test]
fn a_claim_that_comes_past_the_retention_does_not_run() {
    let settings = ClaimSettings {
        retention: 3600 * S,
        record_retention: 3660 * S,
        claim_timeout: 1000 * S,
        store_timeout: 1000 * S,
        ..ClaimSettings::default()
    };
    let mut world = World::with_settings(1, 14, settings);
    let key = world.key();
    let first = world.begin(0, &key, 0);
    world.run_for(3590 * S);
    assert_eq!(world.told[&first], RAN);
    world.restart(0);
    world.delays.store = 60 * S;
    let repeat = world.begin(0, &key, 0);
    world.store.clear();
    world.run_for(1000 * S);
    assert_eq!(world.told[&repeat], not_run(ResultCode::KeyTooOld));
    assert_eq!(world.runs(&key), 1);
}

/// The operators raise the retention in their text. Claims older than the old retention are gone,
/// and their keys must not be accepted again.
#[test]
fn a_raised_retention_accepts_no_key_whose_claim_is_gone() {
    let mut world = World::new(1, 24);
    let key = world.key();
    let first = world.begin(0, &key, 0);
    world.run_for(3800 * S);
    assert_eq!(world.told[&first], RAN);
    assert!(world.store.is_empty());
    let limits = ClaimEvent::Limits {
        retention: 24 * 3600 * S,
        skew: 30 * S,
    };
    world.tell_node(0, limits);
    let repeat = world.begin(0, &key, 0);
    world.run_for(S);
    assert_eq!(world.told[&repeat], not_run(ResultCode::KeyTooOld));
}

/// A caller's clock is minutes ahead. Its keys would outlive their claims; they are refused.
#[test]
fn a_key_from_the_future_is_refused() {
    let mut world = World::new(1, 15);
    let ahead = world.wall() + world.settings.skew + S;
    let key = world.key_issued(ahead);
    let call = world.begin(0, &key, 0);
    world.run_for(S);
    assert_eq!(world.told[&call], not_run(ResultCode::KeyFromFuture));
}

/// The store is out. A call is refused at once, truly not run, and runs with the same key when the
/// store is back.
#[test]
fn while_the_store_is_out_calls_are_refused_at_once() {
    let mut world = World::new(1, 16);
    world.set_store_down(true);
    let key = world.key();
    let call = world.begin(0, &key, 0);
    world.run_for(MS);
    assert_eq!(world.told[&call], not_run(ResultCode::ClaimUnavailable));
    world.set_store_down(false);
    let again = world.begin(0, &key, 0);
    world.run_for(S);
    assert_eq!(world.told[&again], RAN);
}

/// The store is out and the desk goes on confirming bookings with tickets. Repeats through other
/// nodes reach the one that may run the call.
#[test]
fn a_ticket_runs_once_without_the_store() {
    let mut world = World::new(3, 17);
    world.set_store_down(true);
    let key = world.ticket(1);
    let first = world.begin(0, &key, 0);
    world.run_for(S);
    assert_eq!(world.told[&first], RAN);
    for node in 0..3 {
        let repeat = world.begin(node, &key, 0);
        let other = world.begin(node, &key, 1);
        world.run_for(S);
        assert!(matches!(world.told[&repeat], Told::Answer(_)));
        assert_eq!(world.told[&other], not_run(ResultCode::KeyReused));
    }
}

/// The incarnation that a ticket names is gone. Nobody else may run the call, nor may the node's
/// next incarnation, and whether it ran is unknown.
#[test]
fn a_ticket_ends_with_its_incarnation() {
    let mut world = World::new(3, 18);
    let key = world.ticket(1);
    world.begin(0, &key, 0);
    world.run_for(S);
    world.restart(1);
    for node in 0..3 {
        let repeat = world.begin(node, &key, 0);
        world.run_for(S);
        let unknown = may_have_run(ResultCode::OutcomeUnknown);
        assert_eq!(world.told[&repeat], unknown);
    }
    assert_eq!(world.runs(&key), 1);
}

/// A node restarts while it asks for a claim, and the answer reaches its next incarnation, whose
/// claim of the same number waits for the same key. It is not that claim's answer.
#[test]
fn an_answer_for_an_earlier_incarnation_lets_nothing_run() {
    let mut world = World::new(1, 19);
    world.restart(0);
    world.delays.store = 100 * MS;
    let key = world.key();
    world.begin(0, &key, 0);
    world.run_for(MS);
    let claimant = Claimant {
        node: world.nodes[0].id.clone(),
        incarnation: Incarnation(1),
        number: 1,
    };
    let result = WriterResult {
        key,
        claimant,
        is_claim: true,
        result: OperationResult::Claimed,
    };
    let event = ClaimEvent::WriterAnswered {
        token: ClaimToken(1),
        results: vec![result],
    };
    let mut actions = Vec::new();
    let now = nutmegsail_base::Clock::now(&world.clock);
    let wall = world.wall();
    world.nodes[0].claims.handle(event, now, wall, &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
}

/// Hundreds of claims in a minute fill several records. A new writer that knows none of them must
/// find the first claim and the last.
#[test]
fn a_new_writer_finds_claims_in_every_record() {
    let mut world = World::new(1, 20);
    let keys: Vec<_> = (0..600).map(|_| world.key()).collect();
    for key in &keys {
        world.begin(0, key, 0);
    }
    world.run_for(5 * S);
    assert!(world.store.len() > 8, "{} records", world.store.len());
    world.restart(0);
    for key in &keys {
        let repeat = world.begin(0, key, 0);
        world.run_for(200 * MS);
        assert!(matches!(world.told[&repeat], Told::Answer(_)));
    }
}

/// A record holds what this version cannot read. It is left as it is, and its calls are refused.
#[test]
fn a_record_that_cannot_be_read_is_never_overwritten() {
    let mut world = World::new(1, 21);
    let key = world.key();
    let record_key = ChainPlace::of(&key).record_key(0).to_string();
    let value = bytes::Bytes::from_static(b"{\"version\":2}");
    world.store.insert(record_key, (value, 1));
    let call = world.begin(0, &key, 0);
    world.run_for(5 * S);
    assert_eq!(world.told[&call], not_run(ResultCode::ClaimUnavailable));
    assert_eq!(world.store.len(), 1);
    assert_eq!(world.store_writes, 0);
}

/// A long answer would swell the record that every commit rewrites. Its repeats get the status.
#[test]
fn of_a_long_answer_the_status_is_kept() {
    let answer = RecordedAnswer::new(200, vec![b'x'; 2000]).within(1024);
    assert_eq!((answer.status, answer.is_kept), (200, false));
    assert!(answer.body.is_empty());
}
