//! Answers one request of a caller.

use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use futures_util::StreamExt;
use http::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Request as HttpRequest, Response, StatusCode, Version};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use nutmegsail_base::{AdapterRef, RequestId, ResultCode};
use nutmegsail_intake::ConnectionUse;
use nutmegsail_request::{Accepted, AnswerHandle, Refusal, Request};
use nutmegsail_telemetry::{Event, log_event};
use slog::Logger;
use tokio::time::Instant;

use crate::request_fault::RequestFault;
use crate::request_head::{ADAPTER, ANSWER, RequestHead, end_to_end};
use crate::request_reader::RequestReader;
use crate::response::{
    AnswerBody, BrokenOff, close_after, json_response, refusal_response, set_allow,
};
use crate::route::{Route, RouteFault};
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
        connection: &ConnectionUse,
        request: HttpRequest<Incoming>,
    ) -> Response<AnswerBody> {
        let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let accepted = Request::accept(id.clone());
        let path = request.uri().path().to_owned();
        let reply = match Route::find(request.method(), &path) {
            Ok(route) => {
                self.follow(route, accepted, peer, connection, request)
                    .await
            }
            Err(fault) => return refuse_route(fault, accepted, id),
        };
        let mut response = reply.unwrap_or_else(|refusal| {
            log_event!(self.log, Event::RequestRefused, "request" => id.as_str(),
                "refusal" => refusal.to_string());
            refusal_response(&refusal, id)
        });
        // A request behind a chunked one may be smuggled: a balancer that reads the framing
        // otherwise has not seen it. Two framings are refused where the socket sees them; in a
        // pipelined request it does not, so nothing behind a chunked request is ever read.
        if is_chunked || self.is_leaving.load(Ordering::Acquire) {
            close_after(response.headers_mut());
        }
        response
    }

    async fn follow(
        &self,
        route: Route<'_>,
        accepted: Request<Accepted>,
        peer: IpAddr,
        connection: &ConnectionUse,
        request: HttpRequest<Incoming>,
    ) -> Reply {
        let id = accepted.id().clone();
        let reader = RequestReader {
            handler: self.handler.as_ref(),
            settings: &self.settings,
            id: &id,
            peer,
            connection,
            began: Instant::now(),
        };
        match route {
            Route::Healthz => Ok(json_response(StatusCode::OK, r#"{"healthy":true}"#)),
            Route::Readyz => self.readyz(accepted),
            Route::Ticket => self.ticket(accepted),
            Route::Resume(handle) => self.resume(handle, accepted, request.headers(), peer).await,
            Route::Generate(path) => match reader.generation(path, request).await {
                Ok(generate) => self.generate(accepted, generate).await,
                Err(fault) => Err(fault.refuse(accepted)),
            },
            Route::Plain { service, path } => {
                match reader.plain_call(service, path, request).await {
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

    fn ticket(&self, accepted: Request<Accepted>) -> Reply {
        let Some(ticket) = self.handler.ticket() else {
            let fault = RequestFault::new(ResultCode::NodeLeaving, "another node gives tickets");
            return Err(fault.refuse(accepted));
        };
        let body = serde_json::json!({ "idempotency_key": ticket });
        Ok(json_response(StatusCode::CREATED, body.to_string()))
    }

    async fn generate(&self, accepted: Request<Accepted>, generate: Generate) -> Reply {
        let id = accepted.hand_over();
        let path = generate.path;
        let asked = generate.adapter.clone();
        let is_stream = generate.is_stream;
        let answer = self.handler.generate(generate).await?;
        let is_asked = answer.adapter == asked
            && answer.handle.adapter == asked
            && answer.handle.request == id;
        if !is_asked {
            return Err(not_the_answer(&answer, &asked));
        }
        if is_stream {
            return Ok(self.stream(answer, id, 0));
        }
        let headers = answer_headers(&answer);
        let max_bytes = self.settings.max_whole_answer_bytes;
        let whole = read_whole(answer, &id, path, max_bytes).await?;
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
        let answer = self.handler.resume(handle.clone(), after).await?;
        // Text of two generations must never be joined. Another request, engine or run of the
        // engine's process would show here as another handle.
        if answer.handle != handle || answer.adapter != handle.adapter {
            let detail = "the engine no longer holds this answer";
            return Err(Refusal::ran(ResultCode::UnknownAnswer, detail));
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
        let answer = self.handler.call(call).await?;
        let status = StatusCode::from_u16(answer.status).map_err(|_| {
            let detail = format!("the upstream answered with status {}", answer.status);
            Refusal::ran(ResultCode::UpstreamFailed, detail)
        })?;
        let pieces = answer.body.then(async |piece| match piece {
            Ok(bytes) => Ok(Frame::data(bytes)),
            Err(_) => {
                // The HTTP library drops what it has not yet written when a body fails. It writes
                // while the body waits, so the caller gets the head and what came before the cut.
                tokio::task::yield_now().await;
                Err(BrokenOff)
            }
        });
        let mut response = Response::new(StreamBody::new(pieces).boxed_unsync());
        *response.status_mut() = status;
        *response.headers_mut() = end_to_end(&answer.headers);
        if answer.ends_with_connection {
            // hyper writes a body without a length or chunks under this version only.
            *response.version_mut() = Version::HTTP_10;
        }
        Ok(response)
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

fn not_the_answer(answer: &Answer, asked: &AdapterRef) -> Refusal {
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
