//! The JSON body of every error.

use std::time::Duration;

use nutmegsail_base::{RequestId, ResultCode, RunState};
use nutmegsail_request::{AnswerHandle, Refusal};
use serde::{Deserialize, Serialize};

/// The JSON body of an error, in an HTTP answer or in an `error` event.
///
/// ```
/// use nutmegsail_base::ResultCode;
/// use nutmegsail_front::ErrorBody;
/// use nutmegsail_request::{Refusal, Request};
/// let proof = Request::accept("018f3a".into()).not_run();
/// let refusal = Refusal::not_run(proof, ResultCode::QueueFull, "400 requests wait");
/// let body = ErrorBody::new(&refusal, &"018f3a".into());
/// assert!(body.to_json().starts_with(r#"{"error":{"code":"NS2001","number":2001,"#));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ErrorBody {
    error: ErrorFields,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
struct ErrorFields {
    code: ResultCode,
    number: u16,
    message: &'static str,
    run_state: RunState,
    retry_helps: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    detail: String,
    request: RequestId,
    #[serde(skip_serializing_if = "Option::is_none")]
    resume: Option<ResumePoint>,
}

/// From where the caller can go on with an answer that broke off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ResumePoint {
    answer: String,
    last_event_id: u64,
}

impl ErrorBody {
    /// Words `refusal` of the request `request`.
    pub fn new(refusal: &Refusal, request: &RequestId) -> Self {
        let error = ErrorFields {
            code: refusal.code,
            number: refusal.code.number(),
            message: refusal.code.text(),
            run_state: refusal.run_state(),
            retry_helps: refusal.code.retry_helps(),
            retry_after_ms: refusal.retry_after.map(whole_ms),
            detail: refusal.detail.clone(),
            request: request.clone(),
            resume: None,
        };
        Self { error }
    }

    /// Adds from where the caller can go on.
    pub fn with_resume(mut self, handle: &AnswerHandle, last_id: u64) -> Self {
        self.error.resume = Some(ResumePoint {
            answer: handle.to_string(),
            last_event_id: last_id,
        });
        self
    }

    /// The body, one line of JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_else(|_| String::from(r#"{"error":{}}"#))
    }
}

/// Milliseconds, rounded up: a caller must not come back early.
fn whole_ms(wait: Duration) -> u64 {
    u64::try_from(wait.as_micros().div_ceil(1000)).unwrap_or(u64::MAX)
}
