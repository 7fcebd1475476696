//! A small HTTP/1.1 server on loopback, shared by the stand-ins.

use std::convert::Infallible;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use nutmegsail_upstream::UpstreamError;
use serde::Serialize;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// How long to wait for an address that something else has taken meanwhile.
const LISTENS_AGAIN_AFTER: Duration = Duration::from_millis(50);

/// The body type of every answer.
pub(crate) type ReplyBody = UnsyncBoxBody<Bytes, UpstreamError>;

/// What a handler does with a request.
#[derive(Debug)]
pub enum HttpReply {
    /// It answers.
    Answer(Response<UnsyncBoxBody<Bytes, UpstreamError>>),
    /// It closes the connection unanswered.
    Cut,
}

impl HttpReply {
    pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Self {
        let bytes = serde_json::to_vec(body).unwrap_or_default();
        let mut response = Response::new(full_body(bytes));
        *response.status_mut() = status;
        let json = http::HeaderValue::from_static("application/json");
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, json);
        Self::Answer(response)
    }

    pub(crate) fn status(status: StatusCode) -> Self {
        let mut response = Response::new(full_body(Bytes::new()));
        *response.status_mut() = status;
        Self::Answer(response)
    }

    /// Refuses with 503 and states that the request did not run.
    pub(crate) fn not_run(reason: &'static str) -> Self {
        let mut response = Response::new(full_body(Bytes::new()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let headers = response.headers_mut();
        headers.insert("x-not-run", http::HeaderValue::from_static("true"));
        headers.insert("x-reason", http::HeaderValue::from_static(reason));
        Self::Answer(response)
    }
}

pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ReplyBody {
    Full::new(bytes.into())
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}

/// A running server. Dropping it closes the listener and all connections.
#[derive(Debug)]
pub struct HttpServer {
    /// Where it listens.
    pub address: SocketAddr,
    is_open: watch::Sender<bool>,
    accepting: JoinHandle<()>,
}

impl HttpServer {
    /// Closes all connections and refuses new ones, as a VM that died would, until it is opened.
    pub fn close(&self) {
        self.is_open.send_replace(false);
    }

    /// Listens again on the same address.
    pub fn open(&self) {
        self.is_open.send_replace(true);
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// A listener on a free port of loopback.
///
/// # Errors
///
/// When no port can be bound.
pub async fn loopback() -> std::io::Result<TcpListener> {
    listen((Ipv4Addr::LOCALHOST, 0).into())
}

/// A listener with room for a burst of connections; with less, the system drops some of a few
/// hundred at once and their clients try again only after a second.
pub(crate) fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Serves `handler` on `listener`.
///
/// # Errors
///
/// When the listener's address can't be read.
pub fn serve<H, F>(listener: TcpListener, handler: H) -> std::io::Result<HttpServer>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = HttpReply> + Send + 'static,
{
    let address = listener.local_addr()?;
    let (is_open, gate) = watch::channel(true);
    let accepting = tokio::spawn(listen_loop(listener, gate, Arc::new(handler)));
    Ok(HttpServer {
        address,
        is_open,
        accepting,
    })
}

/// Serves while the gate is open; closing it drops the listener with all connections.
async fn listen_loop<H, F>(first: TcpListener, mut gate: watch::Receiver<bool>, handler: Arc<H>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = HttpReply> + Send + 'static,
{
    let Ok(address) = first.local_addr() else {
        return;
    };
    let mut listener = Some(first);
    loop {
        if let Some(listener) = listener.take() {
            tokio::select! {
                () = accept_loop(listener, Arc::clone(&handler)) => {}
                _ = gate.wait_for(|is_open| !is_open) => {}
            }
        }
        if gate.wait_for(|is_open| *is_open).await.is_err() {
            return;
        }
        listener = listen(address).ok();
        if listener.is_none() {
            tokio::time::sleep(LISTENS_AGAIN_AFTER).await;
        }
    }
}

async fn accept_loop<H, F>(listener: TcpListener, handler: Arc<H>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = HttpReply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve_connection(stream, Arc::clone(&handler)));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: Arc<H>)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = HttpReply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let reply = handler(request);
        async move {
            match reply.await {
                HttpReply::Answer(response) => Ok(response),
                HttpReply::Cut => Err(UpstreamError::Broken),
            }
        }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    // A broken connection is the client's to notice.
    let _ = connection.await;
}

/// Reads a whole body; a sender that breaks off gives none.
pub(crate) async fn read_body(body: Incoming) -> Option<Bytes> {
    body.collect().await.ok().map(|whole| whole.to_bytes())
}

pub(crate) fn query_value(query: Option<&str>, name: &str) -> Option<String> {
    form_urlencoded::parse(query?.as_bytes())
        .find(|(key, _)| key == name)
        .map(|(_, value)| value.into_owned())
}

pub(crate) fn header<'a>(headers: &'a http::HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
