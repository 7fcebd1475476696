//! Callers' connections, and reading their requests.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use nutmegsail_base::{RequestId, ResultCode};
use nutmegsail_http_pool::{Remote, ends_with_connection, prepare_socket};
use nutmegsail_intake::{
    BodyError, BodyLimits, CONNECTION_BYTES, ConnectionAccount, ConnectionUse, ListenerKind,
    collect_body, discard_ready, linger,
};
use nutmegsail_relay::{
    Caller, PromptPrefix, RequestContent, RequestDigest, RequestTraits, Route, RouteTable,
    SoftwareRule, StreamKey,
};
use nutmegsail_request::{Refusal, Request as RequestState};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::ACCEPT_PAUSE;
use super::admission::QuotaTokens;
use super::answer_body::{AnswerBody, SentAnswer};
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

/// How long a head may take to arrive while no configuration is known.
const DEFAULT_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a caller may keep the write of an answer waiting that this node produced.
const OWN_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a connection that has to end may take to send a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long the rest of a request is read after its refusal, so that its caller gets the answer.
const LINGER: Duration = Duration::from_secs(1);

/// The same for a connection that ends so that others have room.
const EVICTED_LINGER: Duration = Duration::from_millis(250);

/// Retry-After when there is no room for a body. Other nodes may have room.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(250);

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

    fn listener_kind(self) -> ListenerKind {
        match self {
            Self::Caller => ListenerKind::Callers,
            Self::Peer => ListenerKind::Nodes,
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
                let intake = &gateway.shared.intake;
                let Some(account) = intake.admit(origin.listener_kind(), CONNECTION_BYTES).await
                else {
                    continue;
                };
                let (gateway, close) = (Rc::clone(&gateway), close.clone());
                let accepted_at = boot_time();
                tokio::task::spawn_local(async move {
                    if origin == Origin::Caller {
                        gateway.record_delay(accepted_at);
                    }
                    serve_connection(stream, account, origin, gateway, close).await;
                });
            }
            // Out of file descriptors for a moment; the connection waits in the kernel's queue.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    account: Arc<ConnectionAccount>,
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
    let head_timeout = limits.map_or(DEFAULT_READ_TIMEOUT, |limits| limits.read_timeout);
    let in_progress = Rc::new(AnswerInProgress::default());
    let connection_use = Arc::new(ConnectionUse::new(account));
    let socket = CallerSocket::new(
        stream,
        Rc::clone(&in_progress),
        Arc::clone(&connection_use),
        head_timeout,
    );
    // Cancelled once the node that forwards a request falls silent.
    let abandoned = CancellationToken::new();
    let service = service_fn(|request| {
        let (gateway, in_progress) = (Rc::clone(&gateway), Rc::clone(&in_progress));
        let (connection, abandoned) = (Arc::clone(&connection_use), abandoned.clone());
        let version = request.version();
        in_progress.deadline.set(None);
        async move {
            let in_use = connection.answer_in_use();
            let answer = gateway
                .answer(request, origin, &connection, abandoned)
                .await;
            let ends_connection = ends_with_connection(&answer, version);
            in_progress.ends_connection.set(ends_connection);
            let own_deadline = tokio::time::Instant::now() + OWN_ANSWER_TIMEOUT;
            let deadline = answer.body().deadline().unwrap_or(own_deadline);
            in_progress.deadline.set(Some(deadline));
            Ok::<_, Infallible>(answer.map(|body| SentAnswer::new(body, in_use)))
        }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // This timer starts when the answer before ends, so it also limits idle time.
        .header_read_timeout(idle)
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let (mut is_closing, mut is_evicted) = (false, false);
    loop {
        tokio::select! {
            // An error means that the caller disconnected or broke the protocol; nobody is left to
            // receive an answer.
            _ = &mut connection => break,
            () = abandoned.cancelled() => return,
            () = close.cancelled(), if !is_closing => {
                is_closing = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
            () = connection_use.account().evicted(), if !is_evicted => {
                if !connection_use.is_in_body() {
                    return;
                }
                is_evicted = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
            () = sleep(REFUSAL_TIMEOUT), if is_evicted => return,
        }
    }
    if connection_use.has_unread_body() {
        let stream = connection.into_parts().io.into_inner().into_stream();
        let longest = match is_evicted {
            true => EVICTED_LINGER,
            false => LINGER,
        };
        tokio::select! {
            () = linger(&stream, longest) => {}
            () = connection_use.account().evicted(), if !is_evicted => {}
        }
    }
}

/// A request whose body was not read yet.
struct Head {
    parts: Parts,
    meta: Result<CallMeta, crate::BadHeader>,
    /// Set if another node forwarded it.
    forwarded: Option<PeerRequest>,
    /// When it was read.
    began: Instant,
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
        connection: &ConnectionUse,
        abandoned: CancellationToken,
    ) -> Response<AnswerBody> {
        let began = Instant::now();
        let (mut parts, mut body) = request.into_parts();
        connection.begin_request(!body.is_end_stream());
        let meta = self.dialect.read_call(&mut parts.headers);
        let id = request_id(meta.as_ref().ok());
        let forwarded = match origin {
            Origin::Caller => Ok(None),
            Origin::Peer => read_forward_header(&mut parts.headers)
                .map(|header| Some(PeerRequest { header, abandoned })),
        };
        let read = match forwarded {
            Ok(forwarded) => {
                let head = Head {
                    parts,
                    meta,
                    forwarded,
                    began,
                };
                self.read(head, &mut body, connection.account()).await
            }
            Err(early_refusal) => Err(early_refusal),
        };
        let has_unread_body = read.is_err() && !discard_ready(&mut body);
        drop(body);
        let read = match has_unread_body {
            true => {
                connection.record_unread_body();
                read
            }
            false if connection.begin_answer() => read,
            false => Err(no_room()),
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
        if has_unread_body || self.leaving_since.get().is_some() || self.is_overloaded() {
            let close = HeaderValue::from_static("close");
            answer.headers_mut().insert(header::CONNECTION, close);
        }
        answer
    }

    /// Reads the whole request and finds its route and caller. A request whose head says that it has to
    /// be refused is refused before its body is read.
    async fn read(
        &self,
        head: Head,
        body: &mut Incoming,
        account: &Arc<ConnectionAccount>,
    ) -> Result<Call, EarlyRefusal> {
        let Head {
            mut parts,
            meta,
            forwarded,
            began,
        } = head;
        let meta = meta.map_err(|bad| EarlyRefusal::new(ResultCode::BadHeader, bad.to_string()))?;
        let meta = match &forwarded {
            Some(request) => CallMeta {
                key: request.header.key,
                ..meta
            },
            None => meta,
        };
        self.check_accepting()?;
        let (table, mut route, mut caller) = self.check_head(&parts, &meta, &forwarded).await?;
        let has_body = !body.is_end_stream();
        let body = read_body(body, account, &table).await?;
        if has_body {
            self.check_accepting()?;
            // The configuration may have changed while the body was received.
            (_, route, caller) = self.check_head(&parts, &meta, &forwarded).await?;
        }
        let host = host(&parts);
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
        let stream = stream_key(&route, &caller, &meta, &id);
        let resumed = stream.map(|key| ResumedStream {
            request: &id,
            resumes: meta.resumes.as_ref(),
            key,
            route: &route,
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
            route,
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

    /// Finds the route and the caller of a request by its head.
    async fn check_head(
        &self,
        parts: &Parts,
        meta: &CallMeta,
        forwarded: &Option<PeerRequest>,
    ) -> Result<(Arc<RouteTable>, Arc<Route>, Caller), EarlyRefusal> {
        let table = self.refresh_view().table.clone().ok_or_else(|| {
            EarlyRefusal::new(ResultCode::NoTextInForce, "").retry_after(Duration::from_millis(500))
        })?;
        if forwarded
            .as_ref()
            .is_some_and(|request| !request.header.may_be_handled_by(table.version))
        {
            let detail = "an older configuration is in force here";
            return Err(EarlyRefusal::new(ResultCode::NoTextInForce, detail));
        }
        let route = table.route(host(parts), parts.uri.path()).ok_or_else(|| {
            EarlyRefusal::new(ResultCode::UnknownPath, "no route leads from here")
        })?;
        let route = Arc::clone(route);
        let caller = self.identify_caller(&route, &meta.key).await;
        let caller = caller.map_err(|denied| {
            self.log_denied(&request_id(Some(meta)), &route, &meta.key, denied);
            EarlyRefusal::from(RefusalReason::from(denied))
        })?;
        Ok((table, route, caller))
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

async fn read_body(
    body: &mut Incoming,
    account: &Arc<ConnectionAccount>,
    table: &RouteTable,
) -> Result<Bytes, EarlyRefusal> {
    let limits = BodyLimits {
        bytes: table.limits.body_bytes,
        whole: table.limits.read_timeout,
        gap: table.limits.read_timeout,
    };
    let read = collect_body(body, account, &limits).await;
    read.map_err(|error| match error {
        BodyError::NoRoom => no_room(),
        _ => EarlyRefusal::new(error.code(), error.to_string()),
    })
}

/// The refusal of a request that there is no room for.
fn no_room() -> EarlyRefusal {
    EarlyRefusal::new(ResultCode::NoRoom, "").retry_after(NO_ROOM_RETRY_AFTER)
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
