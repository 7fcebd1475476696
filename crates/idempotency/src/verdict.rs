//! The response to a call that is not allowed to run.

use nutmegsail_base::{ResultCode, RunState};

use crate::{ClaimEntry, ClaimState, RecordedAnswer, RequestDigest};

/// The response to a call that is not allowed to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The recorded answer of an earlier attempt.
    Answer(RecordedAnswer),
    /// A refusal.
    Refuse {
        /// The result code.
        code: ResultCode,
        /// Whether the call may have run.
        run_state: RunState,
    },
}

impl Verdict {
    /// A refusal of a call that did not run.
    pub fn not_run(code: ResultCode) -> Self {
        Self::Refuse {
            code,
            run_state: RunState::NotRun,
        }
    }

    /// A refusal of a call that may have run.
    pub fn may_have_run(code: ResultCode) -> Self {
        Self::Refuse {
            code,
            run_state: RunState::MayHaveRun,
        }
    }

    /// The verdict on a repeat of a call that has ended as `state`.
    pub fn of_ended(state: &ClaimState) -> Self {
        match state {
            ClaimState::Answered(answer) => Self::Answer(answer.clone()),
            ClaimState::Unknown | ClaimState::Claimed => {
                Self::may_have_run(ResultCode::OutcomeUnknown)
            }
            ClaimState::Released => Self::not_run(ResultCode::ClaimUnavailable),
        }
    }

    /// The verdict on a call with `digest` when the store holds `entry` for its key.
    ///
    /// `is_live` says whether the claimant is believed to be running. If that is wrong, the caller
    /// gets "in progress" instead of "outcome unknown" or the reverse; neither allows the call to
    /// run. A claim is never taken over, however long its claimant has been silent: the claimant
    /// may be paused between its last check and the dispatch, and would dispatch on resuming.
    pub fn of_entry(entry: &ClaimEntry, digest: RequestDigest, is_live: bool) -> Self {
        if entry.digest != digest {
            return Self::not_run(ResultCode::KeyReused);
        }
        if entry.state == ClaimState::Claimed && is_live {
            return Self::may_have_run(ResultCode::InProgress);
        }
        Self::of_ended(&entry.state)
    }
}
