//! Responses and their bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{ALLOW, CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, SizeHint};
use nutmegsail_base::RequestId;
use nutmegsail_intake::AnswerInUse;
use nutmegsail_request::Refusal;
use thiserror::Error;

use crate::ErrorBody;
use crate::activity::InProgress;
use crate::request_head::REQUEST_ID;

/// The body broke off. The HTTP library then closes the connection without the body's end, which
/// is how the caller sees it.
#[derive(Debug, Error)]
#[error("the answer broke off")]
pub(crate) struct BrokenOff;

/// The body of a response.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, BrokenOff>;

/// The body of a response, which counts as in progress until its last byte was taken.
pub(crate) struct CountedBody {
    body: AnswerBody,
    _in_progress: InProgress,
    _in_use: AnswerInUse,
}

impl CountedBody {
    pub fn new(body: AnswerBody, in_progress: InProgress, in_use: AnswerInUse) -> Self {
        Self {
            body,
            _in_progress: in_progress,
            _in_use: in_use,
        }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A body that is there as a whole.
pub(crate) fn whole_body(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// A response with a whole JSON body.
pub(crate) fn json_response(status: StatusCode, json: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut response = Response::new(whole_body(json));
    *response.status_mut() = status;
    let json_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json_type);
    response
}

/// The response that carries `refusal`.
pub(crate) fn refusal_response(refusal: &Refusal, request: &RequestId) -> Response<AnswerBody> {
    let status = StatusCode::from_u16(refusal.code.http_status())
        .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let json = ErrorBody::new(refusal, request).to_json();
    let mut response = json_response(status, json);
    if let Some(retry_after) = refusal.retry_after {
        let whole_s = u64::try_from(retry_after.as_millis().div_ceil(1000)).unwrap_or(u64::MAX);
        let value = HeaderValue::from(whole_s.max(1));
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Names the request in its response.
pub(crate) fn echo_request(headers: &mut HeaderMap, request: &RequestId) {
    if let Ok(value) = HeaderValue::from_str(request.as_str()) {
        headers.insert(REQUEST_ID, value);
    }
}

/// Names the methods that a path takes.
pub(crate) fn set_allow(headers: &mut HeaderMap, methods: &'static str) {
    headers.insert(ALLOW, HeaderValue::from_static(methods));
}

/// Ends the connection after the response.
pub(crate) fn close_after(headers: &mut HeaderMap) {
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
