//! Forwards requests whose upstreams this node cannot reach to another node, and limits those that
//! other nodes forward here.
//!
//! The other node handles a forwarded request as if its caller were connected there: it checks the
//! key and the quota, waits for slots and adapters, and sends retries. It never forwards it again.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use nutmegsail_base::{NodeId, RequestId, ResultCode, RunState, ServiceName, UpstreamId};
use nutmegsail_http_pool::{PooledBody, SendError};
use nutmegsail_relay::{CallKind, Peer, SoftwareVersion, StreamKey, StreamOrigin, Upstream};
use nutmegsail_telemetry::{Event, log_event};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::answer_body::AnswerCut;
use super::answer_end::BodySummary;
use super::call::Call;
use super::forward_header::{self, ForwardHeader};
use super::forwarders::ForwardedCallGuard;
use super::gateway::{Gateway, PendingRequest, SendHistory};
use super::refuse::RefusalReason;
use crate::shared::Shared;

/// How many requests of other nodes a node handles at once. A request takes some tens of kilobytes.
pub(crate) const MAX_FORWARDED: usize = 256;

/// How many of these may be of routine priority, so that urgent ones find room.
const MAX_ROUTINE_FORWARDED: usize = 192;

/// How many peers are tried for one request.
const MAX_PEERS_TRIED: usize = 3;

/// How long a request waits for the first answers of peers, and how often it checks.
const PEERS_TIMEOUT: Duration = Duration::from_millis(60);
const PEERS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Retry-After when other nodes may be able to serve the request.
const OTHER_NODE_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Retry-After when no node that was asked reaches an upstream, or none has room.
const NO_PEER_RETRY_AFTER: Duration = Duration::from_millis(700);

/// The timeout of an idempotent request at a peer, as a multiple of its latency objective: the peer
/// itself tries another upstream after half of it.
const IDEMPOTENT_TIMEOUT_FACTOR: u32 = 6;

/// A request in progress that another node has forwarded.
pub(crate) struct ForwardedGuard {
    shared: Arc<Shared>,
    /// The node that forwarded it.
    pub(super) from: NodeId,
    _call: ForwardedCallGuard,
}

impl ForwardedGuard {
    fn new(gateway: &Gateway, request: PeerRequest, kind: CallKind) -> Self {
        let PeerRequest { header, abandoned } = request;
        let shared = Arc::clone(&gateway.shared);
        shared.forwarded.fetch_add(1, Ordering::Relaxed);
        shared.forwarders().record_request(&header.from);
        let calls = &gateway.forwarded_calls;
        Self {
            shared,
            _call: calls.begin(header.from.clone(), kind, abandoned),
            from: header.from,
        }
    }
}

impl Drop for ForwardedGuard {
    fn drop(&mut self) {
        self.shared.forwarded.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that another node forwards.
pub(super) struct PeerRequest {
    pub(super) header: ForwardHeader,
    /// Closes the connection that it came on.
    pub(super) abandoned: CancellationToken,
}

/// What is known of a request that another node forwarded.
pub(crate) struct ForwardedFrom {
    /// What happened to its sends at that node.
    pub(crate) sends: SendHistory,
    /// Shared with the send whose answer is passed on.
    pub(crate) guard: Rc<ForwardedGuard>,
}

impl ForwardedFrom {
    pub(super) fn new(gateway: &Gateway, request: PeerRequest, kind: CallKind) -> Self {
        Self {
            sends: SendHistory {
                arrived: request.header.arrived as usize,
                may_have_run: request.header.may_have_run,
                ..SendHistory::default()
            },
            guard: Rc::new(ForwardedGuard::new(gateway, request, kind)),
        }
    }
}

/// The accounting of a request at another node.
pub(crate) struct ForwardInFlight {
    gateway: Rc<Gateway>,
    peer: Peer,
    request: RequestId,
    sent: Instant,
    service: ServiceName,
    /// When the first part of the answer's body arrived.
    first: Option<Instant>,
    /// What is known of the answer's body, once it was read.
    body: Option<BodySummary>,
    /// The stream that it answers, and the upstream's software version, until its first part arrives.
    stream: Option<(StreamKey, SoftwareVersion)>,
    outcome: &'static str,
}

impl ForwardInFlight {
    fn begin(gateway: &Rc<Gateway>, call: &Call, peer: &Peer) -> Self {
        let is_only = gateway.forward_peers.borrow_mut().record_sent(peer);
        if is_only {
            gateway.announce_waiting(peer.address);
        }
        Self {
            gateway: Rc::clone(gateway),
            peer: peer.clone(),
            request: call.id.clone(),
            service: call.service.clone(),
            sent: Instant::now(),
            first: None,
            body: None,
            stream: None,
            outcome: "abandoned",
        }
    }

    /// Records that the answer is that of a stream which callers may resume.
    fn record_stream(&mut self, call: &Call, software: Option<SoftwareVersion>) {
        self.stream = call.stream.zip(software);
    }

    /// Called when a part of the answer's body arrives.
    pub(super) fn record_progress(&mut self) {
        self.first.get_or_insert_with(Instant::now);
        if let Some((key, software)) = self.stream.take() {
            self.gateway.record_stream(key, &self.service, &software);
        }
    }

    /// Called when the answer is complete.
    pub(super) fn record_complete(&mut self) {
        self.outcome = "answered";
    }

    /// Called when the body is not read any more, with what is known of it.
    pub(super) fn record_summary(&mut self, body: BodySummary) {
        self.body = Some(body);
    }

    /// Called when the answer's body ends early.
    pub(super) fn record_cut(&mut self, cut: AnswerCut) {
        self.outcome = match cut {
            AnswerCut::Upstream | AnswerCut::EndUnknown => "broken",
            AnswerCut::TimedOut => "timed_out",
        };
    }
}

impl Drop for ForwardInFlight {
    fn drop(&mut self) {
        self.gateway
            .forward_peers
            .borrow_mut()
            .record_ended(&self.peer);
        self.gateway.shared.metrics.record_forward(self.outcome);
        let first = self.first.map(|first| first.duration_since(self.sent));
        log_event!(
            self.gateway.log, Event::RequestForwarded,
            "request" => self.request.to_string(), "node" => self.peer.node.to_string(),
            "outcome" => self.outcome, "first_ms" => first.map(|first| first.as_millis()),
            "took_ms" => self.sent.elapsed().as_millis(),
            "framing" => self.body.map(|body| body.framing.to_string()),
            "end" => self.body.map(|body| body.end.to_string()),
            "bytes" => self.body.map(|body| body.bytes),
            "is_inside_event" => self.body.map(|body| body.is_inside_event)
        );
    }
}

/// A peer's answer to a forwarded request.
pub(super) struct PeerAnswered {
    pub(super) answer: Response<PooledBody>,
    pub(super) in_flight: ForwardInFlight,
}

/// The outcome of forwarding a request to one peer.
enum ForwardOutcome {
    /// An answer of an upstream, or a refusal that holds at other nodes too.
    Answer(Box<PeerAnswered>),
    /// The peer did not handle the request; another one may.
    NotTaken,
    /// The request may have run, but no usable answer came.
    Lost,
}

/// What becomes of a request whose service this node cannot reach.
pub(super) enum Forwarded {
    /// Another node answered it.
    Answer(Box<PeerAnswered>),
    /// No other node took it.
    NotTaken(PendingRequest, RefusalReason),
    /// It may have run at another node, and is not sent again.
    Lost(PendingRequest),
}

impl Gateway {
    /// Whether `call` should be forwarded to another node now.
    pub(super) fn should_forward(&self, call: &Call) -> bool {
        if call.forwarded.is_some() {
            return false;
        }
        let share = self
            .shared
            .reach()
            .local_share(&call.service, Instant::now());
        share < 1.0 && rand::random::<f64>() >= share
    }

    /// Whether no upstream of `call` can be reached from this node.
    pub(super) fn is_out_of_reach(&self, call: &Call) -> bool {
        self.shared.reach().is_unreachable(&call.service)
    }

    /// Returns once no upstream of `call` can be reached from this node.
    pub(super) async fn until_out_of_reach(&self, call: &Call) {
        loop {
            let changed = self.reach_changed.notified();
            if self.is_out_of_reach(call) {
                return;
            }
            changed.await;
        }
    }

    /// Refuses a request that another node has forwarded if this node handles too many.
    pub(super) fn check_forward_limit(&self, call: &Call) -> Result<(), RefusalReason> {
        let limit = match call.priority() {
            0 => MAX_FORWARDED,
            _ => MAX_ROUTINE_FORWARDED,
        };
        let forwarded = self.shared.forwarded.load(Ordering::Relaxed);
        match call.forwarded.is_some() && forwarded > limit {
            true => Err(RefusalReason::retry_in(
                ResultCode::ForwardLimit,
                NO_PEER_RETRY_AFTER,
            )),
            false => Ok(()),
        }
    }

    /// Refuses a request that another node has forwarded if this node cannot reach its upstreams
    /// either.
    pub(super) fn check_forwarded_reach(&self, call: &Call) -> Result<(), RefusalReason> {
        match call.forwarded.is_some() && self.is_out_of_reach(call) {
            true => Err(RefusalReason::retry_in(
                ResultCode::UpstreamsUnreachable,
                OTHER_NODE_RETRY_AFTER,
            )),
            false => Ok(()),
        }
    }

    /// Forwards `call` to one peer after another until one answers. With `last_event`, a stream is
    /// resumed after that event.
    pub(super) async fn forward_to_peers(
        self: &Rc<Self>,
        call: &Call,
        mut pending: PendingRequest,
        sends: &mut SendHistory,
        last_event: Option<u64>,
    ) -> Forwarded {
        // The other node reserves tokens for the request.
        self.drop_reserved_tokens(call);
        let mut tried: Vec<NodeId> = Vec::new();
        while tried.len() < MAX_PEERS_TRIED {
            let Some(peer) = self.choose_peer(call, &tried).await else {
                break;
            };
            let dispatched = pending.dispatch(&UpstreamId::from(peer.node.as_str()));
            let run_state = match self.send_to_peer(call, &peer, sends, last_event).await {
                ForwardOutcome::Answer(answered) => return Forwarded::Answer(answered),
                ForwardOutcome::NotTaken => RunState::NotRun,
                ForwardOutcome::Lost => {
                    sends.arrived += 1;
                    sends.may_have_run += 1;
                    RunState::MayHaveRun
                }
            };
            pending = dispatched.refused_by_node(run_state).into();
            tried.push(peer.node);
            let may_retry =
                call.route.kind.may_retry() && sends.may_have_run < call.route.max_attempts;
            if run_state == RunState::MayHaveRun && !may_retry {
                return Forwarded::Lost(pending);
            }
        }
        Forwarded::NotTaken(pending, self.refusal_without_peer(call))
    }

    fn refusal_without_peer(&self, call: &Call) -> RefusalReason {
        let (peers, now) = (self.forward_peers.borrow(), Instant::now());
        let wait = match peers.may_be_reached_elsewhere(&call.service, now) {
            true => OTHER_NODE_RETRY_AFTER,
            false => NO_PEER_RETRY_AFTER,
        };
        RefusalReason::retry_in(ResultCode::UpstreamsUnreachable, wait)
    }

    /// Selects a peer for `call`. Waits a moment for answers if none has arrived yet.
    async fn choose_peer(&self, call: &Call, tried: &[NodeId]) -> Option<Peer> {
        let until = Instant::now() + PEERS_TIMEOUT;
        while tried.is_empty() && Instant::now() < until && !self.knows_peers(call) {
            sleep(PEERS_POLL_INTERVAL).await;
        }
        let peers = self.forward_peers.borrow();
        peers.choose(&call.service, tried, Instant::now(), &mut rand::rng())
    }

    /// Whether a peer has said lately that it can handle `call`, or all have said that they cannot.
    fn knows_peers(&self, call: &Call) -> bool {
        let (peers, now) = (self.forward_peers.borrow(), Instant::now());
        let chosen = peers.choose(&call.service, &[], now, &mut rand::rng());
        chosen.is_some() || !peers.may_be_reached_elsewhere(&call.service, now)
    }

    async fn send_to_peer(
        self: &Rc<Self>,
        call: &Call,
        peer: &Peer,
        sends: &SendHistory,
        last_event: Option<u64>,
    ) -> ForwardOutcome {
        let mut in_flight = ForwardInFlight::begin(self, call, peer);
        let remaining = call.remaining(Instant::now());
        let request = self.peer_request(call, sends, remaining, last_event);
        let address = peer.forward_address.to_string();
        let limit = match call.route.kind {
            CallKind::Idempotent => {
                remaining.min(call.route.latency_objective * IDEMPOTENT_TIMEOUT_FACTOR)
            }
            CallKind::Once | CallKind::Stream { .. } => remaining,
        };
        let sending = self.pool.send(&address, request);
        let mut answer = match tokio::time::timeout(limit, sending).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendError::NotSent(_) | SendError::AtLimit)) => {
                in_flight.outcome = "not_sent";
                self.record_not_taken(call, peer);
                return ForwardOutcome::NotTaken;
            }
            Ok(Err(SendError::Broken | SendError::Malformed(_))) | Err(_) => {
                in_flight.outcome = "lost";
                return ForwardOutcome::Lost;
            }
        };
        let refused_with = forward_header::take_refused_with(answer.headers_mut());
        if refused_with.is_some_and(is_local_refusal) {
            in_flight.outcome = "refused";
            self.record_not_taken(call, peer);
            return ForwardOutcome::NotTaken;
        }
        self.record_forwarded_notice(call, &mut answer);
        let software = forward_header::take_answered_software(answer.headers_mut());
        // A node of an older build does not know where the stream may go on.
        let bound = call
            .software_bound()
            .filter(|_| answer.status().is_success());
        if bound.is_some() && bound != software {
            in_flight.outcome = "other_software";
            return ForwardOutcome::Lost;
        }
        in_flight.record_stream(call, software.filter(|_| answer.status() == StatusCode::OK));
        ForwardOutcome::Answer(Box::new(PeerAnswered { answer, in_flight }))
    }

    fn record_not_taken(&self, call: &Call, peer: &Peer) {
        let mut peers = self.forward_peers.borrow_mut();
        peers.record_refused(peer, &call.service);
    }

    fn peer_request(
        &self,
        call: &Call,
        sends: &SendHistory,
        remaining: Duration,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = call.to_peer(&*self.dialect, remaining, last_event);
        let waited = call.waited_before + call.began.elapsed();
        let header = ForwardHeader {
            from: self.node.clone(),
            key: call.meta.key,
            waited_ms: u32::try_from(waited.as_millis()).unwrap_or(u32::MAX),
            arrived: u32::try_from(sends.arrived).unwrap_or(u32::MAX),
            may_have_run: sends.may_have_run,
            configuration: self.configuration_version(),
        };
        header.write(request.headers_mut());
        let origin = call.software_bound().map(|software| StreamOrigin {
            service: call.service.clone(),
            software,
        });
        forward_header::write_stream_origin(request.headers_mut(), origin.as_ref());
        request
    }

    fn configuration_version(&self) -> u64 {
        let view = self.shared.view.load();
        view.table.as_ref().map_or(0, |table| table.version)
    }

    /// Records what the upstream that answered at another node states about itself, so that this
    /// node knows it when it sends requests there again. The other node's list may be newer or older.
    fn record_forwarded_notice(&self, call: &Call, answer: &mut Response<PooledBody>) {
        let Some(id) = forward_header::take_answered_by(answer.headers_mut()) else {
            return;
        };
        let view = self.shared.view.load();
        let mut upstreams = view.upstreams.iter();
        let is_same = |upstream: &&Arc<Upstream>| {
            upstream.id == id || upstream.is_replaced_by(&id) || upstream.replaces(&id)
        };
        let Some(upstream) = upstreams.find(is_same) else {
            return;
        };
        let (status, headers) = (answer.status(), answer.headers());
        let stated = self.dialect.read_upstream_notice(status, headers);
        if !upstream.replaces(&id) {
            self.record_shared_notice(call, upstream, &stated);
            return;
        }
        let mut notices = self.shared.notices();
        notices.record_named_as(&id, &upstream.id, Instant::now());
        drop(notices);
        let named = Upstream {
            id,
            ..Upstream::clone(upstream)
        };
        self.record_shared_notice(call, &named, &stated);
    }
}

/// Whether another node may handle a request that one refused with `code`.
fn is_local_refusal(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::ForwardLimit
            | ResultCode::UpstreamsUnreachable
            | ResultCode::NodeLeaving
            | ResultCode::NoTextInForce
            | ResultCode::KeysStale
            | ResultCode::QuotaUnknown
            | ResultCode::BadHeader
            | ResultCode::NoRoom
    )
}
