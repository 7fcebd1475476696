//! Why an upstream gave no answer.

use nutmegsail_base::{AdapterRef, ResultCode, RunState};
use thiserror::Error;

/// Why a call to an upstream failed. [`UpstreamError::run_state`] says whether it may have run.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum UpstreamError {
    /// No connection was made, so nothing was sent.
    #[error("the upstream cannot be reached")]
    Unreachable,
    /// The upstream said that it is full and did not run the request.
    #[error("the upstream is full and did not run the request")]
    Full,
    /// The upstream said that it is leaving and did not run the request.
    #[error("the upstream is leaving and did not run the request")]
    Leaving,
    /// The engine does not hold the adapter and did not run the request.
    #[error("the engine does not hold {0}")]
    AdapterAbsent(AdapterRef),
    /// The engine answered with another adapter or version; the answer was discarded unread.
    #[error("the engine answered with `{answered}` in place of {asked}")]
    WrongAdapter {
        /// What was asked for.
        asked: AdapterRef,
        /// What the engine named.
        answered: String,
    },
    /// The connection broke after bytes were sent.
    #[error("the connection to the upstream broke after the request was sent")]
    Broken,
    /// The upstream answered with a failure of its own after it began to work.
    #[error("the upstream failed with status {status}")]
    Failed {
        /// The HTTP status.
        status: u16,
    },
    /// The answer could not be read.
    #[error("the upstream answered what cannot be read: {0}")]
    Malformed(String),
}

impl UpstreamError {
    /// Whether the request may have run.
    pub fn run_state(&self) -> RunState {
        match self {
            Self::Unreachable | Self::Full | Self::Leaving | Self::AdapterAbsent(_) => {
                RunState::NotRun
            }
            Self::WrongAdapter { .. } | Self::Broken | Self::Failed { .. } | Self::Malformed(_) => {
                RunState::MayHaveRun
            }
        }
    }

    /// The numbered result for the caller.
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Unreachable => ResultCode::NoUpstream,
            Self::Full | Self::Leaving => ResultCode::UpstreamRefused,
            Self::AdapterAbsent(_) => ResultCode::AdapterNotReady,
            Self::WrongAdapter { .. } => ResultCode::WrongAdapter,
            Self::Broken | Self::Failed { .. } | Self::Malformed(_) => ResultCode::UpstreamFailed,
        }
    }
}
