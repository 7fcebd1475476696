//! Answers one request of a caller.

use std::net::IpAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bytes::Bytes;
use futures_util::{FutureExt, StreamExt};
use http::header::{CACHE_CONTROL, CONNECTION, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Request as HttpRequest, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use nutmegsail_base::{RequestId, ResultCode};
use nutmegsail_config::{AdapterLookup, InForce, Service, ServiceKind};
use nutmegsail_request::{Accepted, AnswerHandle, Refusal, Request};
use nutmegsail_telemetry::{Event, log_event};
use slog::Logger;
use tokio::time::Instant;

use crate::body_reader::BodyReader;
use crate::call_choice::Terms;
use crate::generation_body::GenerationBody;
use crate::request_fault::RequestFault;
use crate::request_head::{ADAPTER, ANSWER, RequestHead, end_to_end};
use crate::response::{AnswerBody, BrokenOff, json_response, refusal_response, set_allow};
use crate::route::{Route, RouteFault};
use crate::service_path::ServicePath;
use crate::sse::SseStream;
use crate::whole_answer::read_whole;
use crate::{Answer, FrontSettings, Generate, Handler, PlainCall};

/// Answers the requests of callers.
pub(crate) struct CallersService {
    pub handler: Arc<dyn Handler>,
    pub settings: Arc<FrontSettings>,
    pub is_leaving: Arc<AtomicBool>,
    pub log: Logger,
}

type Reply = Result<Response<AnswerBody>, Refusal>;

impl CallersService {
    /// Answers one request. `id` is new.
    pub async fn answer(
        &self,
        id: &RequestId,
        peer: IpAddr,
        request: HttpRequest<Incoming>,
    ) -> Response<AnswerBody> {
        let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let accepted = Request::accept(id.clone());
        let path = request.uri().path().to_owned();
        let reply = match Route::find(request.method(), &path) {
            Ok(route) => self.follow(route, accepted, peer, request).await,
            Err(fault) => return self.close_after(refuse_route(fault, accepted, id)),
        };
        let mut response = reply.unwrap_or_else(|refusal| {
            log_event!(self.log, Event::RequestRefused, "request" => id.as_str(),
                "refusal" => refusal.to_string());
            refusal_response(&refusal, id)
        });
        // Two framings in one request are how a second one is smuggled past a balancer. The HTTP
        // library hides a Content-Length beside a Transfer-Encoding, so nothing that follows a
        // chunked request is ever read.
        if is_chunked || self.is_leaving.load(Ordering::Acquire) {
            response = self.close_after(response);
        }
        response
    }

    fn close_after(&self, mut response: Response<AnswerBody>) -> Response<AnswerBody> {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
        response
    }

    async fn follow(
        &self,
        route: Route<'_>,
        accepted: Request<Accepted>,
        peer: IpAddr,
        request: HttpRequest<Incoming>,
    ) -> Reply {
        let began = Instant::now();
        match route {
            Route::Healthz => Ok(json_response(StatusCode::OK, r#"{"healthy":true}"#)),
            Route::Readyz => self.readyz(accepted),
            Route::Generate(path) => self.generate(path, accepted, peer, request, began).await,
            Route::Resume(handle) => self.resume(handle, accepted, request.headers(), peer).await,
            Route::Plain { service, path } => {
                let read = self
                    .read_plain(service, path, &accepted, peer, request, began)
                    .await;
                match read {
                    Ok(call) => self.call(accepted, call).await,
                    Err(fault) => Err(fault.refuse(accepted)),
                }
            }
        }
    }

    fn readyz(&self, accepted: Request<Accepted>) -> Reply {
        if self.is_leaving.load(Ordering::Acquire) {
            let fault = RequestFault::new(ResultCode::NodeLeaving, "the node is shutting down");
            return Err(fault.refuse(accepted));
        }
        if !self.handler.is_ready() {
            let fault = RequestFault::new(ResultCode::NoTextInForce, "the node is not ready");
            return Err(fault.refuse(accepted));
        }
        Ok(json_response(StatusCode::OK, r#"{"ready":true}"#))
    }

    async fn generate(
        &self,
        path: &'static str,
        accepted: Request<Accepted>,
        peer: IpAddr,
        request: HttpRequest<Incoming>,
        began: Instant,
    ) -> Reply {
        let read = self.read_generation(path, &accepted, peer, request, began);
        let generate = match read.await {
            Ok(generate) => generate,
            Err(fault) => return Err(fault.refuse(accepted)),
        };
        let id = accepted.hand_over();
        let asked = generate.adapter.clone();
        let is_stream = generate.is_stream;
        let answer = self.guard(self.handler.generate(generate)).await?;
        let is_asked = answer.adapter == asked
            && answer.handle.adapter == asked
            && answer.handle.request == id;
        if !is_asked {
            return Err(not_the_answer(&answer, &asked.to_string()));
        }
        if is_stream {
            return Ok(self.stream(answer, id, 0));
        }
        let headers = answer_headers(&answer);
        let max_bytes = self.settings.max_whole_answer_bytes;
        let whole = self.guard(read_whole(answer, &id, path, max_bytes)).await?;
        let mut response = json_response(StatusCode::OK, whole);
        response.headers_mut().extend(headers);
        Ok(response)
    }

    async fn resume(
        &self,
        handle: &str,
        accepted: Request<Accepted>,
        headers: &HeaderMap,
        peer: IpAddr,
    ) -> Reply {
        let head = match RequestHead::read(headers, peer) {
            Ok(head) => head,
            Err(fault) => return Err(fault.refuse(accepted)),
        };
        let handle: AnswerHandle = match handle.parse() {
            Ok(handle) => handle,
            Err(_) => {
                let detail = "the path does not end in the handle of an answer";
                return Err(RequestFault::new(ResultCode::UnknownAnswer, detail).refuse(accepted));
            }
        };
        let after = head.last_event_id.unwrap_or(0);
        let id = accepted.hand_over();
        let resumed = self.handler.resume(handle.clone(), after);
        let answer = self.guard(resumed).await?;
        // Text of two generations must never be joined. Another request, engine or run of the
        // engine's process would show here as another handle.
        if answer.handle != handle || answer.adapter != handle.adapter {
            return Err(not_the_answer(&answer, &handle.adapter.to_string()));
        }
        log_event!(self.log, Event::AnswerResumed, "request" => handle.request.as_str(),
            "after" => after);
        Ok(self.stream(answer, id, after))
    }

    fn stream(&self, answer: Answer, id: RequestId, after: u64) -> Response<AnswerBody> {
        let headers = answer_headers(&answer);
        let events = SseStream::new(answer, id, after, self.log.clone());
        let body = StreamBody::new(events).map_err(|never| match never {});
        let mut response = Response::new(body.boxed_unsync());
        let stream_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, stream_type);
        let no_store = HeaderValue::from_static("no-store");
        response.headers_mut().insert(CACHE_CONTROL, no_store);
        response.headers_mut().extend(headers);
        response
    }

    async fn call(&self, accepted: Request<Accepted>, call: PlainCall) -> Reply {
        accepted.hand_over();
        let answer = self.guard(self.handler.call(call)).await?;
        let status = StatusCode::from_u16(answer.status).map_err(|_| {
            let detail = format!("the upstream answered with status {}", answer.status);
            Refusal::ran(ResultCode::UpstreamFailed, detail)
        })?;
        let pieces = answer.body.map(|piece| match piece {
            Ok(bytes) => Ok(Frame::data(bytes)),
            Err(_) => Err(BrokenOff),
        });
        let mut response = Response::new(StreamBody::new(pieces).boxed_unsync());
        *response.status_mut() = status;
        *response.headers_mut() = answer.headers;
        Ok(response)
    }

    async fn read_generation(
        &self,
        path: &'static str,
        accepted: &Request<Accepted>,
        peer: IpAddr,
        request: HttpRequest<Incoming>,
        began: Instant,
    ) -> Result<Generate, RequestFault> {
        let head = RequestHead::read(request.headers(), peer)?;
        let in_force = self.in_force()?;
        let body = self.read_body(&in_force, request).await?;
        let fields = GenerationBody::read(&body)?;
        let adapter = fields.adapter;
        let service = match in_force.deployment.find_adapter(&adapter) {
            AdapterLookup::Found(service) => service,
            AdapterLookup::UnknownVersion => {
                return Err(unknown(ResultCode::UnknownVersion, &adapter.to_string()));
            }
            AdapterLookup::UnknownAdapter => {
                return Err(unknown(ResultCode::UnknownAdapter, &adapter.to_string()));
            }
        };
        let terms = Terms::of_generation(service, &head)?;
        let deadline = time_left(&terms, began)?;
        Ok(Generate {
            request: accepted.id().clone(),
            caller: head.caller,
            service: service.name.clone(),
            call: terms.call,
            adapter,
            class: terms.class,
            deadline,
            target: terms.target,
            body,
            path,
            is_stream: fields.is_stream,
            prefix: fields.prefix,
            traceparent: head.traceparent,
        })
    }

    async fn read_plain(
        &self,
        service: &str,
        path: &str,
        accepted: &Request<Accepted>,
        peer: IpAddr,
        request: HttpRequest<Incoming>,
        began: Instant,
    ) -> Result<PlainCall, RequestFault> {
        let head = RequestHead::read(request.headers(), peer)?;
        let in_force = self.in_force()?;
        let service = find_plain(&in_force, service)?;
        let method = request.method().clone();
        let terms = Terms::of_plain(service, &method, &ServicePath::read(path)?, &head)?;
        if terms.once_only && head.idempotency_key.is_none() {
            let detail = "send a new UUID version 7 with each new call, the same with its repeats";
            return Err(RequestFault::new(ResultCode::KeyMissing, detail));
        }
        let query = request.uri().query();
        let path = query.map_or_else(|| path.to_owned(), |query| format!("{path}?{query}"));
        let headers = end_to_end(request.headers());
        let body = self.read_body(&in_force, request).await?;
        let deadline = time_left(&terms, began)?;
        Ok(PlainCall {
            request: accepted.id().clone(),
            caller: head.caller,
            service: service.name.clone(),
            call: terms.call,
            class: terms.class,
            deadline,
            target: terms.target,
            once_only: terms.once_only,
            idempotent: terms.idempotent,
            idempotency_key: head.idempotency_key,
            method,
            path,
            headers,
            body,
            traceparent: head.traceparent,
        })
    }

    fn in_force(&self) -> Result<Arc<InForce>, RequestFault> {
        let none = || RequestFault::new(ResultCode::NoTextInForce, "the node has just started");
        self.handler.in_force().ok_or_else(none)
    }

    async fn read_body(
        &self,
        in_force: &InForce,
        request: HttpRequest<Incoming>,
    ) -> Result<Bytes, RequestFault> {
        let limit = in_force.deployment.limits.body_bytes;
        let reader = BodyReader {
            max_bytes: limit.min(self.settings.max_body_bytes),
            gap: self.settings.body_timeout(),
            whole: self.settings.whole_body_timeout(),
        };
        let (head, body) = request.into_parts();
        reader.read(&head.headers, body).await
    }

    /// Turns a panic of the handler into the refusal of this one request.
    async fn guard<T>(&self, work: impl Future<Output = Result<T, Refusal>>) -> Result<T, Refusal> {
        let caught = AssertUnwindSafe(work).catch_unwind().await;
        caught.unwrap_or_else(|_| {
            log_event!(self.log, Event::TaskFailed, "task" => "request");
            let detail = "the request's task failed";
            Err(Refusal::may_have_run(ResultCode::Internal, detail))
        })
    }
}

fn refuse_route(
    route: RouteFault,
    accepted: Request<Accepted>,
    id: &RequestId,
) -> Response<AnswerBody> {
    let mut response = refusal_response(&route.fault.refuse(accepted), id);
    if let Some(methods) = route.allow {
        set_allow(response.headers_mut(), methods);
    }
    response
}

fn find_plain<'a>(in_force: &'a InForce, name: &str) -> Result<&'a Service, RequestFault> {
    let found = in_force.deployment.services.get(name);
    let service = found.ok_or_else(|| unknown(ResultCode::UnknownService, name))?;
    if service.kind != ServiceKind::Plain {
        let detail = format!("`{name}` is served by engines; use /v1/completions");
        return Err(RequestFault::new(ResultCode::UnknownService, detail));
    }
    Ok(service)
}

fn unknown(code: ResultCode, name: &str) -> RequestFault {
    let shown: String = name.chars().take(200).collect();
    RequestFault::new(code, format!("`{shown}`"))
}

fn time_left(terms: &Terms, began: Instant) -> Result<std::time::Duration, RequestFault> {
    let left = terms.deadline.saturating_sub(began.elapsed());
    if left.is_zero() {
        let detail = "the deadline passed before the request was complete";
        return Err(RequestFault::new(ResultCode::DeadlineUnreachable, detail));
    }
    Ok(left)
}

fn not_the_answer(answer: &Answer, asked: &str) -> Refusal {
    let detail = format!("asked for {asked}, got an answer of {}", answer.adapter);
    Refusal::may_have_run(ResultCode::WrongAdapter, detail)
}

fn answer_headers(answer: &Answer) -> HeaderMap {
    let mut headers = HeaderMap::new();
    if let Ok(adapter) = HeaderValue::from_str(&answer.adapter.to_string()) {
        headers.insert(ADAPTER, adapter);
    }
    if let Ok(handle) = HeaderValue::from_str(&answer.handle.to_string()) {
        headers.insert(ANSWER, handle);
    }
    headers
}
