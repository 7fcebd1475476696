//! A model engine over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::request::Builder;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use nutmegsail_base::{AdapterRef, Class, EngineReport, Incarnation, RequestId, UpstreamId};
use nutmegsail_http_pool::{Pool, PooledBody};
use serde::Deserialize;
use tokio::time::timeout;

use crate::answer_body::discard;
use crate::engine_events::engine_events;
use crate::refusal::{Refusal, failed, send_failed};
use crate::{
    Attachment, CancelAnswer, Engine, EngineRequest, EngineStream, LoadOrder, OrderAnswer,
    OrderError, UpstreamError, UpstreamSettings,
};

/// The largest report or answer to an order, in bytes.
const CONTROL_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// How much of a header that should have named an adapter is shown.
const SHOWN_HEADER_CHARS: usize = 100;

/// [`Engine`] over HTTP/1.1. Each request goes out at most once.
///
/// Urgent work, routine work and control calls have connections of their own, so that none of them
/// waits for another's.
///
/// ```
/// use nutmegsail_upstream::{HttpEngine, UpstreamSettings};
/// let engine = HttpEngine::new(UpstreamSettings::default());
/// assert!(format!("{engine:?}").starts_with("HttpEngine"));
/// ```
#[derive(Clone, Debug)]
pub struct HttpEngine {
    settings: UpstreamSettings,
    urgent: Pool,
    routine: Pool,
    control: Pool,
}

#[derive(Deserialize)]
struct OrderRefusedJson {
    reason: OrderRefusal,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum OrderRefusal {
    Stale,
    NoSlot,
    InUse,
}

impl HttpEngine {
    /// A client of every engine. Nothing is sent yet.
    pub fn new(settings: UpstreamSettings) -> Self {
        Self {
            urgent: Pool::new(settings.pool(settings.urgent_connections)),
            routine: Pool::new(settings.pool(settings.routine_connections)),
            control: Pool::new(settings.pool(settings.urgent_connections)),
            settings,
        }
    }

    fn pool_of(&self, class: Class) -> &Pool {
        match class {
            Class::Urgent => &self.urgent,
            Class::Routine => &self.routine,
        }
    }

    /// Sends a control call and reads its whole answer.
    async fn control_call(
        &self,
        upstream: &UpstreamId,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Bytes>, UpstreamError> {
        let exchange = async {
            let answer = self.control.send(upstream, request).await;
            let (head, body) = answer.map_err(send_failed)?.into_parts();
            let body = Limited::new(body, CONTROL_LIMIT_BYTES)
                .collect()
                .await
                .map_err(|_| UpstreamError::Broken)?
                .to_bytes();
            Ok(Response::from_parts(head, body))
        };
        timeout(self.settings.control_timeout, exchange)
            .await
            .unwrap_or(Err(UpstreamError::Broken))
    }

    fn stream(
        &self,
        answer: Response<PooledBody>,
        after: u64,
    ) -> Result<EngineStream, UpstreamError> {
        let incarnation = incarnation_of(answer.headers())?;
        let attachment = attachment_of(answer.headers())?;
        let silence_timeout = self.settings.silence_timeout;
        Ok(EngineStream {
            incarnation,
            attachment,
            events: engine_events(answer.into_body(), after, silence_timeout),
        })
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn start(
        &self,
        upstream: &UpstreamId,
        request: EngineRequest,
    ) -> Result<EngineStream, UpstreamError> {
        let pool = self.pool_of(request.class);
        let adapter = request.adapter.clone();
        let deadline = request.deadline;
        let sent = pool.send(upstream, start_request(request, self.settings.keeps_runs)?);
        let answer = head_within(deadline, sent).await?;
        match Refusal::of(answer.status(), answer.headers()) {
            None if answer.status() != StatusCode::OK => return Err(failed(answer).await),
            None => {}
            Some(refusal) => {
                discard(answer.into_body()).await;
                return Err(refused(refusal, adapter));
            }
        }
        check_adapter(adapter, answer.headers())?;
        self.stream(answer, 0)
    }

    async fn resume(
        &self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        request: &RequestId,
        after: u64,
    ) -> Result<EngineStream, UpstreamError> {
        let resume = Request::get(format!("/v1/runs/{request}?after={after}"))
            .header("x-incarnation", incarnation.0);
        let sent = self.urgent.send(upstream, with_body(resume, Bytes::new())?);
        let answer = head_within(self.settings.control_timeout, sent).await?;
        if answer.status() != StatusCode::OK {
            return Err(failed(answer).await);
        }
        let stream = self.stream(answer, after)?;
        // Another incarnation generates another text; the two are never joined.
        if stream.incarnation != incarnation {
            return Err(UpstreamError::Malformed(format!(
                "incarnation {} answered in place of {incarnation}",
                stream.incarnation
            )));
        }
        Ok(stream)
    }

    async fn cancel(
        &self,
        upstream: &UpstreamId,
        request: &RequestId,
        attachment: Attachment,
    ) -> Result<CancelAnswer, UpstreamError> {
        let cancel =
            Request::delete(format!("/v1/runs/{request}")).header("x-attachment", attachment.0);
        let answer = self
            .control_call(upstream, with_body(cancel, Bytes::new())?)
            .await?;
        match answer.status() {
            // A run that is not known does not run.
            StatusCode::OK | StatusCode::NO_CONTENT | StatusCode::NOT_FOUND => {
                Ok(CancelAnswer::Ended)
            }
            StatusCode::CONFLICT => Ok(CancelAnswer::TakenOver),
            status => Err(UpstreamError::Failed {
                status: status.as_u16(),
            }),
        }
    }

    async fn report(&self, upstream: &UpstreamId) -> Result<EngineReport, UpstreamError> {
        let report = with_body(Request::get("/v1/report"), Bytes::new())?;
        let answer = self.control_call(upstream, report).await?;
        if answer.status() != StatusCode::OK {
            let status = answer.status().as_u16();
            return Err(UpstreamError::Failed { status });
        }
        serde_json::from_slice(answer.body())
            .map_err(|error| UpstreamError::Malformed(error.to_string()))
    }

    async fn order(
        &self,
        upstream: &UpstreamId,
        order: &LoadOrder,
    ) -> Result<OrderAnswer, OrderError> {
        let json = serde_json::to_vec(order).map_err(|_| OrderError::Unreachable)?;
        let request = Request::builder()
            .method(Method::POST)
            .uri("/v1/orders")
            .header(http::header::CONTENT_TYPE, "application/json");
        let request = with_body(request, json.into()).map_err(|_| OrderError::Unreachable)?;
        let answer = self.control_call(upstream, request).await;
        let answer = answer.map_err(|error| match error {
            UpstreamError::Unreachable | UpstreamError::Full => OrderError::Unreachable,
            _ => OrderError::Ambiguous,
        })?;
        order_answer(&answer)
    }
}

fn start_request(
    request: EngineRequest,
    keeps_runs: bool,
) -> Result<Request<Full<Bytes>>, UpstreamError> {
    let mut start = Request::post(request.path)
        .header(http::header::CONTENT_TYPE, "application/json")
        .header("x-request-id", request.request.as_str())
        .header("x-adapter", request.adapter.to_string())
        .header("x-priority", priority(request.class))
        .header("x-deadline-ms", millis(request.deadline));
    if keeps_runs {
        start = start.header("x-resumable", "true");
    }
    if let Some(traceparent) = &request.traceparent {
        start = start.header("traceparent", traceparent);
    }
    with_body(start, request.body)
}

/// Builds the request. What cannot be written as HTTP was not sent.
fn with_body(request: Builder, body: Bytes) -> Result<Request<Full<Bytes>>, UpstreamError> {
    request
        .body(Full::new(body))
        .map_err(|_| UpstreamError::Unreachable)
}

/// Waits for the head of an answer; after `limit` the request may still run.
pub(crate) async fn head_within(
    limit: Duration,
    sent: impl Future<Output = Result<Response<PooledBody>, nutmegsail_http_pool::SendError>>,
) -> Result<Response<PooledBody>, UpstreamError> {
    let answer = timeout(limit, sent).await;
    answer
        .map_err(|_| UpstreamError::Broken)?
        .map_err(send_failed)
}

pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The engine's priority; lower goes first.
fn priority(class: Class) -> u16 {
    match class {
        Class::Urgent => 0,
        Class::Routine => 5,
    }
}

fn refused(refusal: Refusal, adapter: AdapterRef) -> UpstreamError {
    match refusal {
        Refusal::Full => UpstreamError::Full,
        Refusal::Leaving => UpstreamError::Leaving,
        Refusal::AdapterAbsent => UpstreamError::AdapterAbsent(adapter),
    }
}

/// Compares the adapter that answers with the one that was asked for.
///
/// An engine may have swapped the adapter in its slot between check and run. It shows as a
/// treatment summary in the wrong hotel's words. The engine names what it really runs, and an
/// answer by anything else is dropped here, unread, with its connection.
fn check_adapter(asked: AdapterRef, headers: &HeaderMap) -> Result<(), UpstreamError> {
    let answered = headers.get("x-adapter").map(|value| value.as_bytes());
    if answered == Some(asked.to_string().as_bytes()) {
        return Ok(());
    }
    let answered = String::from_utf8_lossy(answered.unwrap_or_default());
    let answered = answered.chars().take(SHOWN_HEADER_CHARS).collect();
    Err(UpstreamError::WrongAdapter { asked, answered })
}

fn incarnation_of(headers: &HeaderMap) -> Result<Incarnation, UpstreamError> {
    headers
        .get("x-incarnation")
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Incarnation)
        .ok_or_else(|| UpstreamError::Malformed("the answer names no incarnation".to_owned()))
}

/// An engine that counts no attachments names none, and ignores them in a cancellation.
fn attachment_of(headers: &HeaderMap) -> Result<Attachment, UpstreamError> {
    let Some(named) = headers.get("x-attachment") else {
        return Ok(Attachment::FIRST);
    };
    let number = named.to_str().ok().and_then(|text| text.parse().ok());
    number
        .map(Attachment)
        .ok_or_else(|| UpstreamError::Malformed("the attachment is no number".to_owned()))
}

fn order_answer(answer: &Response<Bytes>) -> Result<OrderAnswer, OrderError> {
    match answer.status() {
        StatusCode::ACCEPTED => Ok(OrderAnswer::Accepted),
        StatusCode::OK => Ok(OrderAnswer::AlreadyDone),
        StatusCode::CONFLICT => Err(order_refused(answer.body())),
        StatusCode::PRECONDITION_FAILED => Err(OrderError::Fenced),
        StatusCode::TOO_MANY_REQUESTS => Err(OrderError::StoreRefused),
        _ => Err(OrderError::Ambiguous),
    }
}

fn order_refused(body: &[u8]) -> OrderError {
    match serde_json::from_slice::<OrderRefusedJson>(body) {
        Ok(refused) => match refused.reason {
            OrderRefusal::Stale => OrderError::Stale,
            OrderRefusal::NoSlot => OrderError::NoSlot,
            OrderRefusal::InUse => OrderError::InUse,
        },
        Err(_) => OrderError::Ambiguous,
    }
}
