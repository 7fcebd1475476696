//! What a repeat of a call is told.

use nutmegsail_base::{ResultCode, RunState};

use crate::{ClaimEntry, ClaimState, RecordedAnswer, RequestDigest};

/// What a call that is not let run is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// What an earlier attempt got.
    Answer(RecordedAnswer),
    /// Why it is refused.
    Refuse {
        /// The numbered result.
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

    /// What a repeat is told of a call that has ended as `state`.
    pub fn of_ended(state: &ClaimState) -> Self {
        match state {
            ClaimState::Answered(answer) => Self::Answer(answer.clone()),
            ClaimState::Unknown | ClaimState::Claimed => {
                Self::may_have_run(ResultCode::OutcomeUnknown)
            }
            ClaimState::Released => Self::not_run(ResultCode::ClaimUnavailable),
        }
    }

    /// What a call with `digest` is told when the store holds `entry` for its key.
    ///
    /// `is_live` says whether the claimant's incarnation is known to run. Should that be wrong,
    /// the caller hears "in progress" or "unknown" in place of the other; neither lets anything
    /// run. Nobody ever takes a claim over: however long a claimant was silent, it may be paused
    /// between its check and its send, and would send when it wakes.
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
