//! The engine stand-in over HTTP.

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use nutmegsail_base::{AdapterRef, Incarnation, RequestId};
use nutmegsail_upstream::{
    Attachment, CancelAnswer, LoadOrder, OrderAnswer, OrderError, StreamEvent, UpstreamError,
};
use serde::Serialize;
use tokio::net::TcpListener;

use crate::engine::{events_asked, stream_of};
use crate::engine_state::RunRequest;
use crate::http_server::{HttpReply, HttpServer, header, query_value, read_body, serve};
use crate::{EngineSubscription, FakeEngine};

/// The priority of a request that names none.
const DEFAULT_PRIORITY: u8 = 5;

#[derive(Serialize)]
struct ConflictJson {
    reason: &'static str,
}

impl FakeEngine {
    /// Serves the engine over HTTP. Start its steps besides.
    ///
    /// # Errors
    ///
    /// When the listener's address can't be read.
    pub fn serve_http(&self, listener: TcpListener) -> std::io::Result<HttpServer> {
        let engine = self.clone();
        serve(listener, move |request| handle(engine.clone(), request))
    }
}

async fn handle(engine: FakeEngine, request: Request<Incoming>) -> HttpReply {
    if request.uri().path() == "/v1/ledger" {
        return HttpReply::json(StatusCode::OK, &engine.ledger());
    }
    let knobs = engine.knobs();
    if knobs.outage {
        return HttpReply::Cut;
    }
    if knobs.silent {
        // Hangs until the client closes the connection.
        std::future::pending::<()>().await;
    }
    if knobs.delay_ms > 0 {
        tokio::time::sleep(knobs.delay()).await;
    }
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
            start(&engine, request).await
        }
        (&Method::GET, "/v1/report") => HttpReply::json(StatusCode::OK, &engine.read_report()),
        (&Method::POST, "/v1/orders") => order(&engine, request.into_body()).await,
        (&Method::GET, path) => match path.strip_prefix("/v1/runs/") {
            Some(run) => resume(&engine, &run.into(), &request),
            None => HttpReply::status(StatusCode::NOT_FOUND),
        },
        (&Method::DELETE, path) => match path.strip_prefix("/v1/runs/") {
            Some(run) => cancel(&engine, &run.into(), &request),
            None => HttpReply::status(StatusCode::NOT_FOUND),
        },
        _ => HttpReply::status(StatusCode::NOT_FOUND),
    }
}

async fn start(engine: &FakeEngine, request: Request<Incoming>) -> HttpReply {
    let (parts, body) = request.into_parts();
    let id = header(&parts.headers, "x-request-id");
    let adapter = header(&parts.headers, "x-adapter").and_then(|text| text.parse().ok());
    let priority = header(&parts.headers, "x-priority").and_then(|text| text.parse().ok());
    let (Some(id), Some(adapter)) = (id, adapter) else {
        return HttpReply::status(StatusCode::BAD_REQUEST);
    };
    let adapter: AdapterRef = adapter;
    let Some(body) = read_body(body).await else {
        return HttpReply::Cut;
    };
    let asked = RunRequest {
        request: RequestId::from(id),
        adapter,
        priority: priority.unwrap_or(DEFAULT_PRIORITY),
        total: events_asked(&body),
        is_resumable: header(&parts.headers, "x-resumable") == Some("true"),
    };
    reply(engine.start_run(asked))
}

fn resume(engine: &FakeEngine, run: &RequestId, request: &Request<Incoming>) -> HttpReply {
    let after = query_value(request.uri().query(), "after").and_then(|text| text.parse().ok());
    let incarnation = header(request.headers(), "x-incarnation").and_then(|text| text.parse().ok());
    let Some(incarnation) = incarnation else {
        return HttpReply::status(StatusCode::NOT_FOUND);
    };
    reply(engine.resume_run(Incarnation(incarnation), run, after.unwrap_or(0)))
}

/// A cancellation that names no attachment is meant for whoever reads.
fn cancel(engine: &FakeEngine, run: &RequestId, request: &Request<Incoming>) -> HttpReply {
    let named = header(request.headers(), "x-attachment").and_then(|text| text.parse().ok());
    match engine.cancel_run(run, Attachment(named.unwrap_or(u64::MAX))) {
        CancelAnswer::Ended => HttpReply::status(StatusCode::OK),
        CancelAnswer::TakenOver => HttpReply::json(
            StatusCode::CONFLICT,
            &ConflictJson {
                reason: "taken_over",
            },
        ),
    }
}

fn reply(subscription: Result<EngineSubscription, UpstreamError>) -> HttpReply {
    match subscription {
        Ok(subscription) => event_stream(subscription),
        Err(UpstreamError::Full) => HttpReply::not_run("full"),
        Err(UpstreamError::Leaving) => HttpReply::not_run("leaving"),
        Err(UpstreamError::AdapterAbsent(_)) => HttpReply::not_run("adapter-absent"),
        Err(UpstreamError::Failed { status }) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            HttpReply::status(status)
        }
        Err(_) => HttpReply::Cut,
    }
}

fn event_stream(subscription: EngineSubscription) -> HttpReply {
    let adapter = subscription.adapter.to_string();
    let (incarnation, attachment) = (subscription.incarnation, subscription.attachment);
    let events = stream_of(subscription).events;
    let frames = events.map(|event| event.map(|event| Frame::data(event_bytes(&event))));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    let event_stream = HeaderValue::from_static("text/event-stream");
    headers.insert(http::header::CONTENT_TYPE, event_stream);
    headers.insert("x-incarnation", HeaderValue::from(incarnation.0));
    headers.insert("x-attachment", HeaderValue::from(attachment.0));
    if let Ok(adapter) = HeaderValue::from_str(&adapter) {
        headers.insert("x-adapter", adapter);
    }
    HttpReply::Answer(response)
}

fn event_bytes(event: &StreamEvent) -> Bytes {
    let text = match event {
        StreamEvent::Piece { id, json } => {
            format!("id: {id}\ndata: {}\n\n", String::from_utf8_lossy(json))
        }
        StreamEvent::End(end) => {
            let data = serde_json::to_string(end).unwrap_or_default();
            format!("event: end\ndata: {data}\n\n")
        }
    };
    Bytes::from(text)
}

async fn order(engine: &FakeEngine, body: Incoming) -> HttpReply {
    let Some(body) = read_body(body).await else {
        return HttpReply::Cut;
    };
    let Ok(order) = serde_json::from_slice::<LoadOrder>(&body) else {
        return HttpReply::status(StatusCode::BAD_REQUEST);
    };
    let conflict = |reason| HttpReply::json(StatusCode::CONFLICT, &ConflictJson { reason });
    match engine.take_order(&order) {
        Ok(OrderAnswer::Accepted) => HttpReply::status(StatusCode::ACCEPTED),
        Ok(OrderAnswer::AlreadyDone) => HttpReply::status(StatusCode::OK),
        Err(OrderError::Stale) => conflict("stale"),
        Err(OrderError::NoSlot) => conflict("no_slot"),
        Err(OrderError::InUse) => conflict("in_use"),
        Err(OrderError::Fenced) => HttpReply::status(StatusCode::PRECONDITION_FAILED),
        Err(OrderError::StoreRefused) => HttpReply::status(StatusCode::TOO_MANY_REQUESTS),
        Err(OrderError::Unreachable | OrderError::Ambiguous) => HttpReply::Cut,
    }
}
