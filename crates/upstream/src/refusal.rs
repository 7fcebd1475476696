//! What an upstream's status says.

use http::{HeaderMap, Response, StatusCode};
use nutmegsail_http_pool::{PooledBody, SendError};

use crate::UpstreamError;
use crate::answer_body::discard;

/// Why an upstream did not run a request, as it says itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    Full,
    Leaving,
    AdapterAbsent,
}

impl Refusal {
    /// The refusal in an answer, if it states that the request did not run.
    ///
    /// A 503 without that statement may come from something that failed half-way, so it is no
    /// refusal: sent to another upstream the request might run twice.
    pub(crate) fn of(status: StatusCode, headers: &HeaderMap) -> Option<Self> {
        let did_not_run = headers
            .get("x-not-run")
            .is_some_and(|value| value == "true");
        if status != StatusCode::SERVICE_UNAVAILABLE || !did_not_run {
            return None;
        }
        match headers.get("x-reason").map(http::HeaderValue::as_bytes) {
            Some(b"leaving") => Some(Self::Leaving),
            Some(b"adapter-absent") => Some(Self::AdapterAbsent),
            _ => Some(Self::Full),
        }
    }
}

/// What a send that failed says about whether the request ran.
pub(crate) fn send_failed(error: SendError) -> UpstreamError {
    match error {
        SendError::NotSent(_) => UpstreamError::Unreachable,
        SendError::AtLimit => UpstreamError::Full,
        SendError::Broken | SendError::Malformed(_) => UpstreamError::Broken,
    }
}

/// An answer that is no success, with its connection kept where that is cheap.
pub(crate) async fn failed(answer: Response<PooledBody>) -> UpstreamError {
    let status = answer.status().as_u16();
    discard(answer.into_body()).await;
    UpstreamError::Failed { status }
}
