//! Error answers that this node produces itself.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use nutmegsail_base::{RequestId, ResultCode};
use nutmegsail_front::ErrorBody;
use nutmegsail_request::Refusal;

use super::answer_body::AnswerBody;

/// Retry-After at a node that shuts down: almost at once, as another node takes the request.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Why a request is refused, and when its caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RefusalReason {
    pub(crate) code: ResultCode,
    pub(crate) retry_after: Option<Duration>,
}

impl RefusalReason {
    pub(crate) fn without_retry(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    pub(crate) fn retry_in(code: ResultCode, wait: Duration) -> Self {
        Self {
            code,
            retry_after: Some(wait),
        }
    }

    /// The node shuts down, and the answer might not end before the process does.
    pub(crate) fn leaving() -> Self {
        Self::retry_in(ResultCode::NodeLeaving, LEAVING_RETRY_AFTER)
    }
}

/// The code of a refusal, attached to its answer.
#[derive(Clone, Copy)]
pub(super) struct RefusedWith(pub(super) ResultCode);

/// Builds the answer for a refusal.
pub(crate) fn answer(refusal: &Refusal, request: &RequestId) -> Response<AnswerBody> {
    let body = ErrorBody::new(refusal, request).to_json();
    let mut answer = Response::new(AnswerBody::Own(Some(Bytes::from(body))));
    *answer.status_mut() =
        StatusCode::from_u16(refusal.code.http_status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = answer.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Some(wait) = refusal.retry_after {
        headers.insert(header::RETRY_AFTER, seconds(wait));
    }
    answer.extensions_mut().insert(RefusedWith(refusal.code));
    answer
}

/// Seconds with a fraction, which callers of this platform accept in Retry-After.
fn seconds(wait: Duration) -> HeaderValue {
    let text = format!("{:.2}", wait.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}
