//! Tests when a request may be reported as "not run" and when its answer is complete.

use nutmegsail_base::{AdapterRef, Incarnation, ResultCode, RunState};
use nutmegsail_request::{AfterFailure, AnswerHandle, Outcome, PieceCount, Refusal, Request};
use nutmegsail_upstream::UpstreamError;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

const CASES: u32 = 2_000;

fn fixed_runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let seed = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, seed)
}

#[rstest]
#[case::unreachable(UpstreamError::Unreachable, true)]
#[case::full(UpstreamError::Full, true)]
#[case::leaving(UpstreamError::Leaving, true)]
#[case::broken(UpstreamError::Broken, false)]
#[case::failed(UpstreamError::Failed { status: 500 }, false)]
#[case::malformed(UpstreamError::Malformed("x".into()), false)]
fn only_an_error_that_rules_out_a_run_leaves_a_request_not_run(
    #[case] error: UpstreamError,
    #[case] is_not_run: bool,
) {
    let sent = Request::accept("r".into()).queue().dispatch("u:1".into());
    match sent.failed(&error) {
        AfterFailure::NotRun(request) => {
            assert!(is_not_run);
            let refusal = Refusal::not_run(request.not_run(), error.code(), error.to_string());
            assert_eq!(refusal.run_state(), RunState::NotRun);
        }
        AfterFailure::MayHaveRun(request) => {
            assert!(!is_not_run);
            let ended = request.give_up(error.code(), error.to_string());
            let Outcome::Refused(refusal) = ended.outcome() else {
                panic!("refused");
            };
            assert_eq!(refusal.run_state(), RunState::MayHaveRun);
        }
    }
}

/// An idempotent request is sent and the connection breaks, so it may have run. It is sent again
/// and the second upstream refuses it. Reporting it as "not run" would then be wrong.
#[test]
fn a_request_stays_uncertain_when_a_refusal_follows_a_broken_send() {
    let sent = Request::accept("r".into()).queue().dispatch("u:1".into());
    let AfterFailure::MayHaveRun(mut uncertain) = sent.failed(&UpstreamError::Broken) else {
        panic!("it may have run");
    };
    for error in [UpstreamError::Full, UpstreamError::Unreachable] {
        let again = uncertain.dispatch_again("u:2".into()).failed(&error);
        let AfterFailure::MayHaveRun(still) = again else {
            panic!("it may still have run");
        };
        uncertain = still;
    }
    let again = uncertain.dispatch_again("u:3".into());
    let refused = again.refused_by_node(RunState::NotRun);
    assert!(matches!(refused, AfterFailure::MayHaveRun(_)));
}

#[test]
fn a_wrong_piece_count_ends_in_a_refusal() {
    let mut request = Request::resume("r".into(), "u:1".into(), Incarnation(7), 4);
    request.piece(5).expect("contiguous");
    assert!(request.piece(5).is_err());
    assert_eq!(request.last_id(), 5);
    let cut = request.end(6).expect_err("one piece is missing");
    let Outcome::Refused(refusal) = cut.outcome() else {
        panic!("refused");
    };
    assert_eq!(refusal.code, ResultCode::AnswerCut);
    assert_eq!(refusal.run_state(), RunState::Ran);
}

/// Pieces may be missing, duplicated or out of order. The caller must always have a prefix of the
/// answer, and the answer may end as complete only if no piece is missing.
#[test]
fn accepted_pieces_are_always_a_prefix_of_the_answer() {
    let ids = prop::collection::vec(0_u64..8, 0..20);
    let verdict = fixed_runner().run(&(ids, 0_u64..8), |(ids, counted)| {
        let mut pieces = PieceCount::from_start();
        let mut accepted = Vec::new();
        for id in ids {
            if pieces.observe(id).is_ok() {
                accepted.push(id);
            }
        }
        let prefix: Vec<u64> = (1..=accepted.len() as u64).collect();
        prop_assert_eq!(&accepted, &prefix);
        prop_assert_eq!(
            pieces.end(counted).is_ok(),
            counted == accepted.len() as u64
        );
        Ok(())
    });
    verdict.expect("every case holds");
}

#[test]
fn a_handle_parses_from_its_own_text_and_not_from_a_damaged_one() {
    let parts = ("[ -~]{0,80}", "[a-z0-9-]{1,60}", any::<u32>(), any::<u64>());
    let damage = (any::<prop::sample::Index>(), any::<char>());
    let verdict = fixed_runner().run(&(parts, damage), |(parts, (at, other))| {
        let (request, adapter, version, incarnation) = parts;
        let handle = AnswerHandle {
            request: request.into(),
            adapter: AdapterRef::new(adapter, version),
            upstream: "10.0.0.1:9000".into(),
            incarnation: Incarnation(incarnation),
        };
        let text = handle.to_string();
        prop_assert!(text.bytes().all(|byte| byte.is_ascii_alphanumeric()));
        prop_assert_eq!(text.parse(), Ok(handle));
        let at = at.index(text.len());
        let damaged = format!("{}{other}{}", &text[..at], &text[at + 1..]);
        let is_same = damaged.eq_ignore_ascii_case(&text);
        prop_assert!(is_same || damaged.parse::<AnswerHandle>().is_err());
        prop_assert!(text[..at].parse::<AnswerHandle>().is_err());
        Ok(())
    });
    verdict.expect("every case holds");
}

#[rstest]
#[case::empty("")]
#[case::short("00ff")]
#[case::not_hex("zz")]
#[case::long(&"00".repeat(100_000))]
fn an_invalid_handle_is_an_unknown_answer(#[case] text: &str) {
    let fault = text.parse::<AnswerHandle>().expect_err("garbage");
    assert_eq!(fault.code(), ResultCode::UnknownAnswer);
}
