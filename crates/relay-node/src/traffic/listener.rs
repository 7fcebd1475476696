//! Callers' connections, and reading their requests.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use nutmegsail_base::{RequestId, ResultCode};
use nutmegsail_http_pool::{Remote, ends_with_connection, prepare_socket};
use nutmegsail_relay::{
    Caller, PromptPrefix, RequestContent, RequestDigest, RequestTraits, Route, RouteTable,
    SoftwareRule, StreamKey,
};
use nutmegsail_request::{Refusal, Request as RequestState};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::ACCEPT_PAUSE;
use super::admission::QuotaTokens;
use super::answer_body::AnswerBody;
use super::call::{Call, has_received_events};
use super::caller_socket::{AnswerInProgress, CallerSocket};
use super::forward::{ForwardedFrom, PeerRequest};
use super::forward_header::{self, ForwardHeader};
use super::gateway::Gateway;
use super::refuse::{self, RefusalReason, RefusedWith};
use super::stream_origin::ResumedStream;
use crate::CallMeta;
use crate::clock::boot_time;

/// The deadline of requests that state none, unless the route's timeout is shorter.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// The idle timeout while no configuration is known. The configured limits apply to connections
/// that open later.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The smallest read buffer that hyper accepts, for configurations that allow less.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Who sends the requests of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A caller.
    Caller,
    /// Another node, which forwards its callers' requests.
    Peer,
}

impl Origin {
    fn remote(self) -> Remote {
        match self {
            Self::Caller => Remote::Caller,
            Self::Peer => Remote::Server,
        }
    }
}

/// Accepts connections until the task is dropped. `close` closes those that have no request.
pub(crate) async fn serve(
    listener: TcpListener,
    origin: Origin,
    gateway: Rc<Gateway>,
    close: CancellationToken,
) {
    loop {
        match listener.accept().await {
            Ok(_) if origin == Origin::Caller && !gateway.serves_connection() => {}
            Ok((stream, _)) => {
                let (gateway, close) = (Rc::clone(&gateway), close.clone());
                let accepted_at = boot_time();
                tokio::task::spawn_local(async move {
                    if origin == Origin::Caller {
                        gateway.record_delay(accepted_at);
                    }
                    serve_connection(stream, origin, gateway, close).await;
                });
            }
            // Out of file descriptors for a moment; the connection waits in the kernel's queue.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    origin: Origin,
    gateway: Rc<Gateway>,
    close: CancellationToken,
) {
    prepare_socket(&stream, origin.remote());
    let _open = OpenConnection::new(Rc::clone(&gateway));
    let limits = gateway
        .refresh_view()
        .table
        .as_ref()
        .map(|table| table.limits);
    let idle = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let header_bytes = limits.map_or(MIN_BUFFER_BYTES, |limits| limits.header_bytes);
    let in_progress = Rc::new(AnswerInProgress::default());
    let socket = CallerSocket::new(stream, Rc::clone(&in_progress));
    // Cancelled once the node that forwards a request falls silent.
    let abandoned = CancellationToken::new();
    let service = service_fn(|request| {
        let (gateway, in_progress) = (Rc::clone(&gateway), Rc::clone(&in_progress));
        let abandoned = abandoned.clone();
        let version = request.version();
        in_progress.deadline.set(None);
        async move {
            let answer = gateway.answer(request, origin, abandoned).await;
            let ends_connection = ends_with_connection(&answer, version);
            in_progress.ends_connection.set(ends_connection);
            in_progress.deadline.set(answer.body().deadline());
            Ok::<_, Infallible>(answer)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timer starts when the answer before ends, so it also limits idle time.
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // The caller disconnected or broke the protocol; nobody is left to receive an error.
        _ = connection.as_mut() => return,
        () = abandoned.cancelled() => return,
        () = close.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = abandoned.run_until_cancelled(connection).await;
}

/// Why a request is refused before routing.
struct EarlyRefusal {
    code: ResultCode,
    detail: String,
    retry_after: Option<Duration>,
}

impl From<RefusalReason> for EarlyRefusal {
    fn from(reason: RefusalReason) -> Self {
        Self {
            code: reason.code,
            detail: String::new(),
            retry_after: reason.retry_after,
        }
    }
}

impl EarlyRefusal {
    fn new(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            detail: detail.into(),
            retry_after: None,
        }
    }

    fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl Gateway {
    async fn answer(
        self: Rc<Self>,
        request: Request<Incoming>,
        origin: Origin,
        abandoned: CancellationToken,
    ) -> Response<AnswerBody> {
        let began = Instant::now();
        let (mut parts, body) = request.into_parts();
        let meta = self.dialect.read_call(&mut parts.headers);
        let id = request_id(meta.as_ref().ok());
        let forwarded = match origin {
            Origin::Caller => Ok(None),
            Origin::Peer => read_forward_header(&mut parts.headers)
                .map(|header| Some(PeerRequest { header, abandoned })),
        };
        let read = match forwarded {
            Ok(forwarded) => self.read(parts, body, meta, forwarded, began).await,
            Err(early_refusal) => Err(early_refusal),
        };
        let mut answer = match read {
            Ok(call) => self.handle(&Rc::new(call)).await,
            Err(early_refusal) => {
                self.shared
                    .metrics
                    .request_ended(Some(early_refusal.code), None);
                let proof = RequestState::accept(id.clone()).not_run();
                let refusal = Refusal::not_run(proof, early_refusal.code, early_refusal.detail);
                let refusal = match early_refusal.retry_after {
                    Some(wait) => refusal.with_retry_after(wait),
                    None => refusal,
                };
                refuse::answer(&refusal, &id)
            }
        };
        let refused_with = answer.extensions().get().copied();
        if let (Origin::Peer, Some(RefusedWith(code))) = (origin, refused_with) {
            forward_header::write_refused_with(answer.headers_mut(), code);
        }
        if self.leaving_since.get().is_some() || self.is_overloaded() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        answer
    }

    /// Reads the whole request and finds its route and caller.
    async fn read(
        &self,
        mut parts: Parts,
        body: Incoming,
        meta: Result<CallMeta, crate::BadHeader>,
        forwarded: Option<PeerRequest>,
        began: Instant,
    ) -> Result<Call, EarlyRefusal> {
        let meta = meta.map_err(|bad| EarlyRefusal::new(ResultCode::BadHeader, bad.to_string()))?;
        let meta = match &forwarded {
            Some(request) => CallMeta {
                key: request.header.key,
                ..meta
            },
            None => meta,
        };
        self.check_accepting()?;
        let table = self.refresh_view().table.clone().ok_or_else(|| {
            EarlyRefusal::new(ResultCode::NoTextInForce, "").retry_after(Duration::from_millis(500))
        })?;
        let body = read_body(body, &table).await?;
        self.check_accepting()?;
        // The configuration may have changed while the body was received.
        let view = self.refresh_view();
        let table = view.table.clone().unwrap_or(table);
        if forwarded
            .as_ref()
            .is_some_and(|request| !request.header.may_be_handled_by(table.version))
        {
            let detail = "an older configuration is in force here";
            return Err(EarlyRefusal::new(ResultCode::NoTextInForce, detail));
        }
        let host = host(&parts);
        let route = table.route(host, parts.uri.path()).ok_or_else(|| {
            EarlyRefusal::new(ResultCode::UnknownPath, "no route leads from here")
        })?;
        let caller = self
            .identify_caller(route, &meta.key)
            .await
            .map_err(|denied| {
                self.log_denied(&request_id(Some(&meta)), route, &meta.key, denied);
                EarlyRefusal::from(RefusalReason::from(denied))
            })?;
        let digest = RequestDigest::of(&RequestContent {
            method: parts.method.as_str(),
            host,
            path: parts.uri.path_and_query().map_or("", |path| path.as_str()),
            team: caller.team().map(|team| &team.name),
            body: &body,
        });
        let id = request_id(Some(&meta));
        let wait_limit = meta.deadline.unwrap_or(DEFAULT_DEADLINE);
        let deadline_at = began + wait_limit.min(route.timeout);
        let origin = forward_header::take_stream_origin(&mut parts.headers);
        let origin = origin.filter(|_| forwarded.is_some());
        let stream = stream_key(route, &caller, &meta, &id);
        let resumed = stream.map(|key| ResumedStream {
            request: &id,
            resumes: meta.resumes.as_ref(),
            key,
            route,
            service: route.service(key.draw()).clone(),
            remaining: deadline_at.saturating_duration_since(Instant::now()),
        });
        let resumes = meta.resumes.is_some() || has_received_events(&parts.headers);
        let origin = match resumed.as_ref().filter(|_| resumes && origin.is_none()) {
            Some(resumed) => Some(self.find_origin(resumed).await?),
            None => origin,
        };
        let service = match (&origin, &resumed) {
            (Some(origin), _) if !route.leads_to(&origin.service) => {
                return Err(EarlyRefusal::new(ResultCode::SoftwareVersionGone, ""));
            }
            (Some(origin), _) => origin.service.clone(),
            (None, Some(resumed)) => resumed.service.clone(),
            (None, None) => route.service(rand::random()).clone(),
        };
        let traits = RequestTraits::new(&service, digest, meta.shared_parts.iter().copied());
        let model = meta.model.as_ref();
        let prompt = model.map(|model| PromptPrefix::new(model, &meta.prompt_parts));
        let waited_before = match &forwarded {
            Some(request) => Duration::from_millis(u64::from(request.header.waited_ms)),
            None => self.waited_before(&route.name, meta.deadline),
        };
        let forwarded = forwarded.map(|request| ForwardedFrom::new(self, request, route.kind));
        let software = origin.map(|origin| SoftwareRule::Only(origin.software));
        Ok(Call {
            route: route.clone(),
            parts,
            body,
            meta,
            id,
            traits,
            service,
            caller,
            tokens: QuotaTokens::default(),
            slot: RefCell::default(),
            prompt_permit: RefCell::default(),
            forwarded,
            stream,
            software: RefCell::new(software.unwrap_or_default()),
            waited_before,
            prompt: prompt.unwrap_or_default(),
            version: Cell::default(),
            began,
            deadline_at,
        })
    }

    /// Refuses a request that arrives late in a shutdown, as its answer might not end within the
    /// grace period.
    fn check_accepting(&self) -> Result<(), EarlyRefusal> {
        let since = self.leaving_since.get();
        match since.is_some_and(|since| since.elapsed() > self.shutdown.accept) {
            true => Err(RefusalReason::leaving().into()),
            false => Ok(()),
        }
    }
}

fn read_forward_header(headers: &mut HeaderMap) -> Result<ForwardHeader, EarlyRefusal> {
    ForwardHeader::take(headers).ok_or_else(|| {
        let detail = "a request of another node does not say so";
        EarlyRefusal::new(ResultCode::BadHeader, detail)
    })
}

/// Counts a connection as open until dropped.
struct OpenConnection(Rc<Gateway>);

impl OpenConnection {
    fn new(gateway: Rc<Gateway>) -> Self {
        gateway.shared.connections.fetch_add(1, Ordering::Relaxed);
        Self(gateway)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.shared.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn read_body(body: Incoming, table: &RouteTable) -> Result<Bytes, EarlyRefusal> {
    let limit = table.limits.body_bytes;
    let collecting = Limited::new(body, limit).collect();
    match tokio::time::timeout(table.limits.read_timeout, collecting).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let detail = format!("{limit} bytes are allowed");
            Err(EarlyRefusal::new(ResultCode::BodyTooLarge, detail))
        }
        Ok(Err(error)) => Err(EarlyRefusal::new(
            ResultCode::MalformedBody,
            error.to_string(),
        )),
        Err(_) => Err(EarlyRefusal::new(ResultCode::SenderStalled, "")),
    }
}

/// The stream of a request, if callers may resume it.
fn stream_key(
    route: &Route,
    caller: &Caller,
    meta: &CallMeta,
    id: &RequestId,
) -> Option<StreamKey> {
    let team = caller.team().map(|team| &team.name);
    let named = meta.resumes.as_ref().unwrap_or(id);
    let is_resumable = route.kind.is_stream() && route.kind.may_retry();
    is_resumable.then(|| match named.as_str().is_empty() {
        // No caller can name it.
        true => StreamKey::random(&mut rand::rng()),
        false => StreamKey::of(team, named),
    })
}

/// The host that a request names, without the port.
fn host(parts: &Parts) -> &str {
    let named = parts.headers.get(header::HOST);
    let named = named.and_then(|host| host.to_str().ok());
    let host = parts.uri.host().or(named).unwrap_or_default();
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

fn request_id(meta: Option<&CallMeta>) -> RequestId {
    let id = meta.and_then(|meta| meta.request_id.as_ref());
    RequestId::from(id.and_then(|id| id.to_str().ok()).unwrap_or_default())
}
