//! One test for each way in which a once-only call could run twice or be lost.

mod simulation;

use std::time::Duration;

use nutmegsail_base::{Incarnation, ResultCode, RunState};
use nutmegsail_idempotency::{
    ChainPlace, ClaimEvent, ClaimSettings, ClaimToken, Claimant, OperationResult, RecordedAnswer,
    WriterResult,
};
use rstest::rstest;
use simulation::{CallFate, Response, Simulation, SwapFate};

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
const RAN: Response = Response::Ran(CallFate::Answered);

fn not_run(code: ResultCode) -> Response {
    Response::Refused(code, RunState::NotRun)
}

fn may_have_run(code: ResultCode) -> Response {
    Response::Refused(code, RunState::MayHaveRun)
}

/// A caller gets no answer and repeats the call through other nodes. Guards against a second run,
/// and against a repeat that does not get the recorded answer.
#[test]
fn a_repeat_through_any_node_gets_the_recorded_answer() {
    let mut sim = Simulation::new(3, 1);
    let key = sim.key();
    let first = sim.begin(0, &key, 0);
    sim.run_for(2 * S);
    assert_eq!(sim.responses[&first], RAN);
    for node in 0..3 {
        let repeat = sim.begin(node, &key, 0);
        sim.run_for(S);
        assert!(
            matches!(&sim.responses[&repeat], Response::Answer(answer) if answer.status == 201)
        );
    }
}

/// A second attempt arrives at the same or another node while the first one is running. Guards
/// against running it too, and against reporting a final outcome too early.
#[test]
fn a_repeat_of_a_running_call_gets_in_progress() {
    let mut sim = Simulation::new(3, 2);
    sim.delays.call = 10 * S;
    let key = sim.key();
    sim.begin(0, &key, 0);
    sim.run_for(S);
    for node in 0..3 {
        let repeat = sim.begin(node, &key, 0);
        sim.run_for(S);
        let in_progress = may_have_run(ResultCode::InProgress);
        assert_eq!(sim.responses[&repeat], in_progress);
    }
}

/// A caller sends the same call through three nodes at the same time. Only one claim may succeed.
#[test]
fn of_simultaneous_attempts_only_one_runs() {
    let mut sim = Simulation::new(3, 3);
    let key = sim.key();
    let attempts = [0, 1, 2].map(|node| sim.begin(node, &key, 0));
    sim.run_for(3 * S);
    let ran = attempts
        .iter()
        .filter(|attempt| sim.responses[*attempt] == RAN);
    assert_eq!(ran.count(), 1);
}

/// The store's answer to the claim's write is lost, and the write takes effect at once, seconds
/// later, or never. Guards against dispatching without a stored claim, and against refusing a call
/// as not run although its claim is stored. The node reads the record back and writes again if
/// needed, after which the delayed write fails.
#[rstest]
#[case::took_effect(Some(MS))]
#[case::takes_effect_late(Some(4 * S))]
#[case::never_takes_effect(None)]
fn a_claim_runs_once_when_its_store_answer_is_lost(#[case] takes_effect_after: Option<Duration>) {
    let mut sim = Simulation::new(1, 4);
    sim.next_swaps = vec![SwapFate::Lost { takes_effect_after }];
    let key = sim.key();
    let first = sim.begin(0, &key, 0);
    sim.run_for(S);
    assert_eq!(sim.responses[&first], RAN);
    sim.run_for(10 * S);
    let repeat = sim.begin(0, &key, 0);
    sim.run_for(S);
    assert!(matches!(sim.responses[&repeat], Response::Answer(_)));
}

/// A process is paused for a minute after its claim is stored and before it dispatches. Another
/// node must not take the claim over, because the paused process dispatches when it resumes.
#[test]
fn a_paused_claimants_claim_is_not_taken_over() {
    let mut sim = Simulation::new(3, 5);
    let key = sim.key();
    let (_, claimant) = sim.writer_and_other(&key);
    let first = sim.begin(claimant, &key, 0);
    while sim.allowed_runs.is_empty() {
        sim.run_for(MS / 20);
    }
    sim.pause(claimant, 60 * S);
    sim.run_for(30 * S);
    assert_eq!(sim.runs(&key), 0);
    let repeat = sim.begin((claimant + 1) % 3, &key, 0);
    sim.run_for(S);
    assert_eq!(sim.responses[&repeat], may_have_run(ResultCode::InProgress));
    sim.run_for(60 * S);
    assert_eq!(sim.responses[&first], RAN);
    assert_eq!(sim.runs(&key), 1);
}

/// The claimant restarts after its claim was stored, so it is unknown whether it dispatched the
/// call. Every node must answer repeats with "outcome unknown" and never dispatch the call again.
#[test]
fn repeats_of_a_dead_claimants_call_get_outcome_unknown() {
    let mut sim = Simulation::new(3, 6);
    sim.delays.call = 10 * S;
    let key = sim.key();
    sim.begin(0, &key, 0);
    sim.run_for(S);
    sim.restart(0);
    for node in 0..3 {
        let repeat = sim.begin(node, &key, 0);
        sim.run_for(S);
        let unknown = may_have_run(ResultCode::OutcomeUnknown);
        assert_eq!(sim.responses[&repeat], unknown);
    }
    assert_eq!(sim.runs(&key), 1);
}

/// The shard's writer is paused before it handles a claim, so the claimant writes the claim itself.
/// On resuming, the writer carries the claim out again and answers late. Neither may change the
/// outcome.
#[test]
fn a_writer_that_resumes_late_does_not_run_the_call_again() {
    let mut sim = Simulation::new(3, 7);
    let key = sim.key();
    let (writer, other) = sim.writer_and_other(&key);
    sim.pause(writer, 5 * S);
    let first = sim.begin(other, &key, 0);
    sim.run_for(S);
    assert_eq!(sim.responses[&first], RAN);
    sim.run_for(10 * S);
    let repeat = sim.begin(writer, &key, 0);
    sim.run_for(S);
    assert!(matches!(sim.responses[&repeat], Response::Answer(_)));
}

/// A shard's writer does not respond but is still on the VM list. The first call waits until the
/// request to the writer times out. Guards against later calls that wait for it too.
#[test]
fn an_unresponsive_writer_delays_only_the_first_call() {
    let mut sim = Simulation::new(3, 25);
    let keys: Vec<_> = (0..40).map(|_| sim.key()).collect();
    let (writer, other) = sim.writer_and_other(&keys[0]);
    let is_same_writer = |key: &&_| sim.writer_and_other(key).0 == writer;
    let keys: Vec<_> = keys.iter().filter(is_same_writer).cloned().collect();
    // All calls are sent within five seconds, before the writer is selected again.
    let keys = &keys[..12];
    sim.pause(writer, 60 * S);
    for key in keys {
        sim.begin(other, key, 0);
        sim.run_for(300 * MS);
    }
    let (first, others) = sim.claim_waits.split_first().unwrap();
    assert!(*first >= 250 * MS, "{first:?}");
    assert!(others.iter().all(|wait| *wait < 40 * MS), "{others:?}");
}

/// A call is running at a node of another failure domain, whose heartbeats do not arrive here. A
/// repeat gets "in progress", and "outcome unknown" only after `in_progress_max_age`.
#[test]
fn a_call_of_another_failure_domain_is_in_progress() {
    let mut sim = Simulation::new(2, 26);
    sim.nodes[1].domain = 1;
    sim.announce_live_nodes();
    sim.delays.call = 700 * S;
    let key = sim.key();
    sim.begin(0, &key, 0);
    sim.run_for(S);
    for (wait, code) in [
        (300 * S, ResultCode::InProgress),
        (350 * S, ResultCode::OutcomeUnknown),
    ] {
        sim.run_for(wait);
        let repeat = sim.begin(1, &key, 0);
        sim.run_for(S);
        assert_eq!(sim.responses[&repeat], may_have_run(code));
    }
}

/// Writer and claimant cannot reach the store, and the caller is refused with "not run". Later the
/// writer writes the claim, which is still in its queue. The release that follows the claim must
/// allow the call to run when the caller repeats it with the same key.
#[test]
fn a_claim_given_up_does_not_block_its_key() {
    let mut sim = Simulation::new(3, 8);
    let key = sim.key();
    let (writer, other) = sim.writer_and_other(&key);
    sim.store_down = true;
    let first = sim.begin(other, &key, 0);
    sim.run_for(3 * S);
    assert_eq!(sim.responses[&first], not_run(ResultCode::ClaimUnavailable));
    sim.store_down = false;
    sim.run_for(3 * S);
    let second = sim.begin(writer, &key, 0);
    sim.run_for(2 * S);
    assert_eq!(sim.responses[&second], RAN);
}

/// The answer to the claim's write is lost, the caller is refused with "not run", and only then
/// does the write take effect. The release either finds the claim or makes the delayed write fail.
#[rstest]
#[case::before_the_release(400 * MS)]
#[case::after_the_release(8 * S)]
fn a_claim_applied_after_not_run_never_runs(#[case] late: Duration) {
    let settings = ClaimSettings {
        claim_timeout: 300 * MS,
        ..ClaimSettings::default()
    };
    let mut sim = Simulation::with_settings(1, 9, settings);
    sim.next_swaps = vec![SwapFate::Lost {
        takes_effect_after: Some(late),
    }];
    let key = sim.key();
    let first = sim.begin(0, &key, 0);
    sim.run_for(400 * MS);
    assert_eq!(sim.responses[&first], not_run(ResultCode::ClaimUnavailable));
    sim.run_for(20 * S);
    assert_eq!(sim.runs(&key), 0);
    let second = sim.begin(0, &key, 0);
    sim.run_for(S);
    assert_eq!(sim.responses[&second], RAN);
}

/// The connection to the upstream breaks after the call was sent, so the call may have run. Repeats
/// must not be dispatched, and each one is answered with "outcome unknown".
#[test]
fn a_call_whose_connection_broke_is_never_sent_again() {
    let mut sim = Simulation::new(3, 10);
    sim.next_calls = vec![CallFate::Broken];
    let key = sim.key();
    sim.begin(0, &key, 0);
    sim.run_for(2 * S);
    for node in 0..3 {
        let repeat = sim.begin(node, &key, 0);
        sim.run_for(S);
        let unknown = may_have_run(ResultCode::OutcomeUnknown);
        assert_eq!(sim.responses[&repeat], unknown);
    }
}

/// The upstream refuses the call without running it. The claim must be released, so that the call
/// runs when the caller repeats it with the same key through another node.
#[test]
fn a_call_that_did_not_run_may_run_later_under_the_same_key() {
    let mut sim = Simulation::new(3, 11);
    sim.next_calls = vec![CallFate::Refused];
    let key = sim.key();
    sim.begin(0, &key, 0);
    sim.run_for(2 * S);
    let repeat = sim.begin(1, &key, 0);
    sim.run_for(S);
    assert_eq!(sim.responses[&repeat], RAN);
}

/// A caller uses one key for two different calls. The second one is refused at every node, whether
/// the first one is running or has been answered.
#[rstest]
#[case::while_the_first_runs(20 * MS)]
#[case::after_its_answer(2 * S)]
fn a_key_used_for_another_call_is_refused(#[case] wait: Duration) {
    let mut sim = Simulation::new(3, 12);
    let key = sim.key();
    sim.begin(0, &key, 0);
    sim.run_for(wait);
    for node in 0..3 {
        let other = sim.begin(node, &key, 1);
        sim.run_for(100 * MS);
        assert_eq!(sim.responses[&other], not_run(ResultCode::KeyReused));
    }
}

/// The upstream refused the first call, and the caller uses its key for a different one. The
/// released entry must still bind the key to the first call.
#[test]
fn a_released_key_cannot_be_used_for_another_call() {
    let mut sim = Simulation::new(3, 22);
    sim.next_calls = vec![CallFate::Refused];
    let key = sim.key();
    sim.begin(0, &key, 0);
    sim.run_for(2 * S);
    let other = sim.begin(1, &key, 1);
    sim.run_for(S);
    assert_eq!(sim.responses[&other], not_run(ResultCode::KeyReused));
}

/// A node's first attempt is given up and its second is refused by the upstream. Only then does the
/// message with the first claim reach the shard's writer. If the writer stored that claim, no node
/// would run the call or release the key, and the caller would wait forever.
#[test]
fn a_late_claim_of_an_earlier_attempt_does_not_block_its_key() {
    let mut sim = Simulation::new(2, 23);
    let key = sim.key();
    let (writer, other) = sim.writer_and_other(&key);
    sim.pause(writer, 20 * S);
    sim.store_down = true;
    sim.begin(other, &key, 0);
    sim.run_for(MS);
    sim.faults.message_lost = 100;
    sim.run_for(3 * S);
    sim.store_down = false;
    sim.run_for(3 * S);
    sim.next_calls = vec![CallFate::Refused];
    sim.begin(other, &key, 0);
    sim.run_for(30 * S);
    sim.faults.message_lost = 0;
    let third = sim.begin(writer, &key, 0);
    sim.run_for(S);
    assert_eq!(sim.responses[&third], RAN);
}

/// A call is repeated after its claim was deleted from the store, so only the check of the key's
/// age prevents a second run. A node whose clock is slow must refuse the key too.
#[test]
fn a_key_whose_claim_was_deleted_is_refused() {
    let mut sim = Simulation::new(3, 13);
    let skew_s = sim.settings.skew.as_secs() as i64;
    // The node that deletes old records has the fastest permitted clock.
    let fast = sim.garbage_collector();
    sim.nodes[fast].clock_error_s = skew_s;
    let slow = (fast + 1) % 3;
    sim.nodes[slow].clock_error_s = -skew_s;
    let key = sim.key();
    let first = sim.begin(0, &key, 0);
    sim.run_for(sim.settings.retention - 120 * S);
    assert_eq!(sim.responses[&first], RAN);
    while !sim.store.is_empty() {
        let repeat = sim.begin(slow, &key, 0);
        sim.run_for(S);
        let response = &sim.responses[&repeat];
        let is_refused = *response == not_run(ResultCode::KeyTooOld);
        assert!(is_refused || matches!(response, Response::Answer(_)));
    }
    let repeat = sim.begin(slow, &key, 0);
    sim.run_for(S);
    assert_eq!(sim.responses[&repeat], not_run(ResultCode::KeyTooOld));
}

/// A node accepts a repeat just before the end of the retention, and storing its claim takes
/// minutes because the store is slow (a paused node has the same effect). Meanwhile the first claim
/// is deleted, so the second one succeeds. The key's age must be checked again before the call
/// runs.
#[test]
fn a_claim_stored_after_the_retention_does_not_run() {
    let settings = ClaimSettings {
        retention: 3600 * S,
        record_retention: 3660 * S,
        claim_timeout: 1000 * S,
        store_timeout: 1000 * S,
        ..ClaimSettings::default()
    };
    let mut sim = Simulation::with_settings(1, 14, settings);
    let key = sim.key();
    let first = sim.begin(0, &key, 0);
    sim.run_for(3590 * S);
    assert_eq!(sim.responses[&first], RAN);
    sim.restart(0);
    sim.delays.store = 60 * S;
    let repeat = sim.begin(0, &key, 0);
    sim.store.clear();
    sim.run_for(1000 * S);
    assert_eq!(sim.responses[&repeat], not_run(ResultCode::KeyTooOld));
    assert_eq!(sim.runs(&key), 1);
}

/// The operators raise the retention in their configuration text. Claims older than the previous
/// retention have been deleted, so their keys must not be accepted again.
#[test]
fn a_raised_retention_accepts_no_key_whose_claim_was_deleted() {
    let mut sim = Simulation::new(1, 24);
    let key = sim.key();
    let first = sim.begin(0, &key, 0);
    sim.run_for(3800 * S);
    assert_eq!(sim.responses[&first], RAN);
    assert!(sim.store.is_empty());
    let limits = ClaimEvent::Limits {
        retention: 24 * 3600 * S,
        skew: 30 * S,
    };
    sim.handle_event(0, limits);
    let repeat = sim.begin(0, &key, 0);
    sim.run_for(S);
    assert_eq!(sim.responses[&repeat], not_run(ResultCode::KeyTooOld));
}

/// A caller's clock is ahead by more than the permitted skew. Its keys would be accepted after
/// their claims were deleted, so they are refused.
#[test]
fn a_key_from_the_future_is_refused() {
    let mut sim = Simulation::new(1, 15);
    let ahead = sim.wall() + sim.settings.skew + S;
    let key = sim.key_issued_at(ahead);
    let call = sim.begin(0, &key, 0);
    sim.run_for(S);
    assert_eq!(sim.responses[&call], not_run(ResultCode::KeyFromFuture));
}

/// While the store is down, a call is refused as not run, without waiting for the store. It must
/// run with the same key once the store is back.
#[test]
fn calls_are_refused_immediately_while_the_store_is_down() {
    let mut sim = Simulation::new(1, 16);
    sim.set_store_down(true);
    let key = sim.key();
    let call = sim.begin(0, &key, 0);
    sim.run_for(MS);
    assert_eq!(sim.responses[&call], not_run(ResultCode::ClaimUnavailable));
    sim.set_store_down(false);
    let again = sim.begin(0, &key, 0);
    sim.run_for(S);
    assert_eq!(sim.responses[&again], RAN);
}

/// While the store is down, callers send calls with tickets. Repeats through other nodes must be
/// forwarded to the node that may run the call.
#[test]
fn a_ticket_runs_once_without_the_store() {
    let mut sim = Simulation::new(3, 17);
    sim.set_store_down(true);
    let key = sim.ticket(1);
    let first = sim.begin(0, &key, 0);
    sim.run_for(S);
    assert_eq!(sim.responses[&first], RAN);
    for node in 0..3 {
        let repeat = sim.begin(node, &key, 0);
        let other = sim.begin(node, &key, 1);
        sim.run_for(S);
        assert!(matches!(sim.responses[&repeat], Response::Answer(_)));
        assert_eq!(sim.responses[&other], not_run(ResultCode::KeyReused));
    }
}

/// The node incarnation that a ticket names has ended, so it is unknown whether the call ran. No
/// other node may run the call, nor may the node's next incarnation.
#[test]
fn no_node_runs_a_ticket_of_an_earlier_incarnation() {
    let mut sim = Simulation::new(3, 18);
    let key = sim.ticket(1);
    sim.begin(0, &key, 0);
    sim.run_for(S);
    sim.restart(1);
    for node in 0..3 {
        let repeat = sim.begin(node, &key, 0);
        sim.run_for(S);
        let unknown = may_have_run(ResultCode::OutcomeUnknown);
        assert_eq!(sim.responses[&repeat], unknown);
    }
    assert_eq!(sim.runs(&key), 1);
}

/// A node restarts while its claim is being written, and the result reaches its next incarnation,
/// which has a waiting claim with the same number for the same key. The result must not be taken
/// for that claim's result.
#[test]
fn a_result_for_an_earlier_incarnation_does_not_run_a_call() {
    let mut sim = Simulation::new(1, 19);
    sim.restart(0);
    sim.delays.store = 100 * MS;
    let key = sim.key();
    sim.begin(0, &key, 0);
    sim.run_for(MS);
    let claimant = Claimant {
        node: sim.nodes[0].id.clone(),
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
    let now = nutmegsail_base::Clock::now(&sim.clock);
    let wall = sim.wall();
    sim.nodes[0].claims.handle(event, now, wall, &mut actions);
    assert!(actions.is_empty(), "{actions:?}");
}

/// Hundreds of claims in a minute fill several records. A new writer, which has read none of them,
/// must find every claim.
#[test]
fn a_new_writer_finds_claims_in_every_record() {
    let mut sim = Simulation::new(1, 20);
    let keys: Vec<_> = (0..600).map(|_| sim.key()).collect();
    for key in &keys {
        sim.begin(0, key, 0);
    }
    sim.run_for(5 * S);
    assert!(sim.store.len() > 8, "{} records", sim.store.len());
    sim.restart(0);
    for key in &keys {
        let repeat = sim.begin(0, key, 0);
        sim.run_for(200 * MS);
        assert!(matches!(sim.responses[&repeat], Response::Answer(_)));
    }
}

/// A record has a layout that this version cannot decode. It must be left unchanged, and the calls
/// that belong to it are refused.
#[test]
fn a_record_that_cannot_be_read_is_never_overwritten() {
    let mut sim = Simulation::new(1, 21);
    let key = sim.key();
    let record_key = ChainPlace::of(&key).record_key(0).to_string();
    let value = bytes::Bytes::from_static(b"{\"version\":2}");
    sim.store.insert(record_key, (value, 1));
    let call = sim.begin(0, &key, 0);
    sim.run_for(5 * S);
    assert_eq!(sim.responses[&call], not_run(ResultCode::ClaimUnavailable));
    assert_eq!(sim.store.len(), 1);
    assert_eq!(sim.store_writes, 0);
}

/// A large answer would enlarge the record, which every commit rewrites. Repeats get its status
/// only.
#[test]
fn only_the_status_of_a_large_answer_is_stored() {
    let answer = RecordedAnswer::new(200, vec![b'x'; 2000]).within(1024);
    assert_eq!((answer.status, answer.is_kept), (200, false));
    assert!(answer.body.is_empty());
}
