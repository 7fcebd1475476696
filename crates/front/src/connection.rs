//! Serves one connection, from its first byte to its close.

use std::convert::Infallible;
use std::net::IpAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use http::{Request as HttpRequest, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use nutmegsail_base::{RequestId, ResultCode};
use nutmegsail_http_pool::ends_with_connection;
use nutmegsail_intake::{self as intake, ConnectionAccount, ConnectionUse, ListenerKind};
use nutmegsail_request::{Refusal, Request};
use nutmegsail_telemetry::{Event, log_event};
use slog::Logger;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::FrontSettings;
use crate::activity::Activity;
use crate::callers_service::CallersService;
use crate::operators_service::OperatorsService;
use crate::request_fault::RequestFault;
use crate::request_head::new_request_id;
use crate::response::{AnswerBody, CountedBody, close_after, echo_request, refusal_response};
use crate::watched_io::{SocketTimeouts, WatchedIo, closing_error};

/// Whom a listener serves.
#[derive(Clone)]
pub(crate) enum Audience {
    Callers(Arc<CallersService>),
    Operators(Arc<OperatorsService>),
}

impl Audience {
    pub fn listener_kind(&self) -> ListenerKind {
        match self {
            Self::Callers(_) => ListenerKind::Callers,
            Self::Operators(_) => ListenerKind::Pages,
        }
    }

    async fn answer(
        &self,
        id: &RequestId,
        peer: IpAddr,
        connection: &ConnectionUse,
        request: HttpRequest<Incoming>,
    ) -> Response<AnswerBody> {
        match self {
            Self::Callers(service) => service.answer(id, peer, connection, request).await,
            Self::Operators(service) => {
                let uri = request.uri();
                let (path, query) = (uri.path(), uri.query());
                service.answer(id, request.method(), path, query).await
            }
        }
    }
}

/// What every connection of a listener is served with.
#[derive(Clone)]
pub(crate) struct Connection {
    pub audience: Audience,
    pub settings: Arc<FrontSettings>,
    /// Cancelled once no further request is read.
    pub stop: CancellationToken,
    pub log: Logger,
}

impl Connection {
    /// Serves `stream` until it ends. A request in progress is always finished.
    pub async fn serve(self, stream: TcpStream, peer: IpAddr, account: Arc<ConnectionAccount>) {
        let connection_use = Arc::new(ConnectionUse::new(account));
        let activity = Activity::default();
        let timeouts = SocketTimeouts {
            header: self.settings.header_timeout(),
            idle: self.settings.idle_timeout(),
            write: self.settings.write_timeout(),
        };
        let max_header_bytes = self.settings.max_header_bytes;
        let io = WatchedIo::new(
            stream,
            activity.clone(),
            Arc::clone(&connection_use),
            timeouts,
            max_header_bytes,
        );
        let this = &self;
        let service = service_fn(|request| {
            let (activity, connection_use) = (activity.clone(), Arc::clone(&connection_use));
            async move {
                Ok::<_, Infallible>(this.answer(request, peer, activity, &connection_use).await)
            }
        });
        let builder = http_builder(&self.settings);
        let mut connection = builder.serve_connection(TokioIo::new(io), service);
        let (mut is_stopping, mut is_evicted) = (false, false);
        let served = loop {
            tokio::select! {
                served = &mut connection => break served,
                () = self.stop.cancelled(), if !is_stopping => {
                    is_stopping = true;
                    // A request whose head is on its way is answered, and closes the connection.
                    if !activity.is_in_head() {
                        std::pin::Pin::new(&mut connection).graceful_shutdown();
                    }
                }
                () = connection_use.account().evicted(), if !is_evicted => {
                    if !connection_use.is_in_body() {
                        return;
                    }
                    is_evicted = true;
                    std::pin::Pin::new(&mut connection).graceful_shutdown();
                }
                () = sleep(self.settings.linger()), if is_evicted => return,
            }
        };
        let io = connection.into_parts().io.into_inner();
        if served.is_err() && activity.ends_answer() {
            return;
        }
        let has_stalled = served.is_err() && io.was_silent();
        close(io.into_stream(), has_stalled, self.settings.linger()).await;
    }

    async fn answer(
        &self,
        request: HttpRequest<Incoming>,
        peer: IpAddr,
        activity: Activity,
        connection_use: &Arc<ConnectionUse>,
    ) -> Response<CountedBody> {
        let in_progress = activity.begin();
        let in_use = connection_use.answer_in_use();
        connection_use.begin_request(!request.body().is_end_stream());
        let version = request.version();
        let id = new_request_id(request.headers());
        let mut response = if activity.take_two_framings() {
            refuse_two_framings(&id)
        } else {
            self.guarded(&id, peer, connection_use, request).await
        };
        echo_request(response.headers_mut(), &id);
        activity.set_ends_answer(ends_with_connection(&response, version));
        if self.stop.is_cancelled() {
            close_after(response.headers_mut());
        }
        response.map(|body| CountedBody::new(body, in_progress, in_use))
    }

    /// Turns a panic, such as a broken assertion, into the refusal of this one request.
    async fn guarded(
        &self,
        id: &RequestId,
        peer: IpAddr,
        connection: &ConnectionUse,
        request: HttpRequest<Incoming>,
    ) -> Response<AnswerBody> {
        let answering = AssertUnwindSafe(self.audience.answer(id, peer, connection, request));
        answering.catch_unwind().await.unwrap_or_else(|_| {
            log_event!(self.log, Event::TaskFailed, "task" => "request",
                "request" => id.as_str());
            let detail = "the request's task failed";
            let refusal = Refusal::may_have_run(ResultCode::Internal, detail);
            refusal_response(&refusal, id)
        })
    }
}

fn refuse_two_framings(id: &RequestId) -> Response<AnswerBody> {
    let detail = "the request has both a Content-Length and a Transfer-Encoding";
    let fault = RequestFault::new(ResultCode::BadHeader, detail);
    let refusal = fault.refuse(Request::accept(id.clone()));
    let mut response = refusal_response(&refusal, id);
    close_after(response.headers_mut());
    response
}

fn http_builder(settings: &FrontSettings) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_header_size(settings.max_header_bytes)
        .max_headers(settings.max_headers)
        .max_buf_size(
            settings
                .write_buffer_bytes
                .max(settings.max_header_bytes + 1024),
        );
    builder
}

/// Closes a socket so that its caller still gets the last answer.
///
/// Closing a socket that has unread bytes resets it, and a reset can overtake an answer: the
/// sender of a body that is too large would see a broken connection in place of the refusal. So
/// the rest is read and thrown away for a short while.
async fn close(mut stream: TcpStream, has_stalled: bool, linger: Duration) {
    if has_stalled {
        let fault = RequestFault::new(
            ResultCode::SenderStalled,
            "the request's head did not come in time",
        );
        let _ = timeout(linger, stream.write_all(&closing_error(fault))).await;
    }
    if stream.shutdown().await.is_err() {
        return;
    }
    intake::linger(&stream, linger).await;
}
