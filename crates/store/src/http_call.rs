//! A single HTTP call to the platform, which reports on failure whether the request may have
//! arrived.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use nutmegsail_http_pool::{Pool, SendError};
use tokio::time::timeout;

use crate::StoreRequest;

/// Maximum size of an answer body. A page of values is far smaller.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a call has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The request was not sent.
    NotSent,
    /// The request may have arrived, but no complete answer came back.
    NoAnswer,
}

/// A complete answer.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl StoreRequest {
    /// Sends the request once. `deadline` limits the time until the last byte of the answer.
    ///
    /// A frozen service keeps its connections open without answering, so only the timeout ends
    /// such a call. Whether the service has executed it is unknown then.
    pub(crate) async fn send(
        self,
        pool: &Pool,
        address: &str,
        deadline: Duration,
    ) -> Result<Answer, CallError> {
        let request = Request::builder()
            .method(self.method)
            .uri(self.path_and_query)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(self.body))
            .map_err(|_| CallError::NotSent)?;
        let exchange = async {
            let answer = pool
                .send(address, request)
                .await
                .map_err(|error| match error {
                    SendError::NotSent(_) | SendError::AtLimit => CallError::NotSent,
                    SendError::Broken | SendError::Malformed(_) => CallError::NoAnswer,
                })?;
            let (head, body) = answer.into_parts();
            let body = Limited::new(body, MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|_| CallError::NoAnswer)?
                .to_bytes();
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        timeout(deadline, exchange)
            .await
            .unwrap_or(Err(CallError::NoAnswer))
    }
}
