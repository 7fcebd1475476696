//! Serves one connection, from its first byte to its close.

use std::convert::Infallible;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request as HttpRequest, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use nutmegsail_base::ResultCode;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::FrontSettings;
use crate::activity::Activity;
use crate::callers_service::CallersService;
use crate::operators_service::OperatorsService;
use crate::request_fault::RequestFault;
use crate::request_head::new_request_id;
use crate::response::{AnswerBody, CountedBody, echo_request};
use crate::watched_io::{SocketTimeouts, WatchedIo, closing_error};

/// Bytes of an ended connection that are read and thrown away.
const LINGER_BYTES: usize = 1024 * 1024;

/// Whom a listener serves.
#[derive(Clone)]
pub(crate) enum Audience {
    Callers(Arc<CallersService>),
    Operators(Arc<OperatorsService>),
}

impl Audience {
    async fn answer(
        &self,
        request: HttpRequest<Incoming>,
        peer: IpAddr,
        activity: Activity,
    ) -> Response<CountedBody> {
        let in_progress = activity.begin();
        let id = new_request_id(request.headers());
        let mut response: Response<AnswerBody> = match self {
            Self::Callers(service) => service.answer(&id, peer, request).await,
            Self::Operators(service) => {
                let uri = request.uri();
                let (path, query) = (uri.path(), uri.query());
                service.answer(&id, request.method(), path, query).await
            }
        };
        echo_request(response.headers_mut(), &id);
        response.map(|body| CountedBody::new(body, in_progress))
    }
}

/// Serves `stream` until it ends. Once `stop` is cancelled, the request in progress is finished and
/// no further one is read.
pub(crate) async fn serve(
    stream: TcpStream,
    peer: IpAddr,
    audience: Audience,
    settings: Arc<FrontSettings>,
    stop: CancellationToken,
) {
    let activity = Activity::default();
    let timeouts = SocketTimeouts {
        header: settings.header_timeout(),
        idle: settings.idle_timeout(),
        write: settings.write_timeout(),
    };
    let io = WatchedIo::new(stream, activity.clone(), timeouts);
    let service = service_fn(|request| {
        let audience = audience.clone();
        let activity = activity.clone();
        async move { Ok::<_, Infallible>(audience.answer(request, peer, activity).await) }
    });
    let mut connection = http_builder(&settings).serve_connection(TokioIo::new(io), service);
    let mut stop_seen = false;
    let served = loop {
        tokio::select! {
            served = &mut connection => break served,
            () = stop.cancelled(), if !stop_seen => {
                stop_seen = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
        }
    };
    let io = connection.into_parts().io.into_inner();
    let has_stalled = served.is_err() && io.has_stalled_in_head();
    close(io.into_stream(), has_stalled, settings.linger()).await;
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
    let mut scratch = [0; 8192];
    let drain = async {
        let mut thrown_away = 0;
        while let Ok(bytes @ 1..) = stream.read(&mut scratch).await {
            thrown_away += bytes;
            if thrown_away > LINGER_BYTES {
                return;
            }
        }
    };
    let _ = timeout(linger, drain).await;
}
