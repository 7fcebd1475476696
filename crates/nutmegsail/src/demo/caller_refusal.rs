//! What a caller is told in place of an answer.

use std::time::Duration;

use nutmegsail_base::{ResultCode, RunState};
use serde::{Deserialize, Serialize};

/// An error that a node told a caller, as `docs/operators/callers.md` describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerRefusal {
    /// The numbered result; 0 if the answer carried none.
    #[serde(default)]
    pub number: u16,
    /// Whether the request ran.
    #[serde(default)]
    pub run_state: Option<RunState>,
    /// Whether the same request can succeed later.
    #[serde(default)]
    pub retry_helps: bool,
    /// When to come back, if the node said so, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
    /// The id of the request that was refused.
    #[serde(default)]
    pub request: String,
    /// What happened to this request.
    #[serde(default)]
    pub detail: String,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: CallerRefusal,
}

impl CallerRefusal {
    /// Reads the body of an error, or of an `error` event. An unreadable one has no number.
    ///
    /// ```
    /// let body = br#"{"error":{"number":2001,"run_state":"not_run","request":"a.1"}}"#;
    /// assert_eq!(nutmegsail::CallerRefusal::read(body).number, 2001);
    /// ```
    pub fn read(body: &[u8]) -> Self {
        serde_json::from_slice(body).map_or_else(
            |error| Self {
                detail: error.to_string(),
                ..Self::default()
            },
            |body: ErrorBody| body.error,
        )
    }

    /// Whether the request surely did not run.
    pub fn is_not_run(&self) -> bool {
        self.run_state == Some(RunState::NotRun)
    }

    /// Whether this is the result `code`.
    pub fn is(&self, code: ResultCode) -> bool {
        self.number == code.number()
    }

    /// Whether the number is one that the product has.
    pub fn is_numbered(&self) -> bool {
        ResultCode::ALL.iter().any(|code| self.is(*code))
    }

    /// How long to wait before the next try.
    pub(crate) fn wait(&self) -> Duration {
        self.retry_after_ms
            .map_or(super::callers_client::PAUSE, Duration::from_millis)
    }
}
