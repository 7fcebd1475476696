//! Sends a request once, to one upstream, and classifies the answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderMap, Response, StatusCode, Version, header};
use nutmegsail_http_pool::{
    AnswerId, ConnectionId, Framing, OpenError, PooledBody, SendError, SendOptions,
};
use nutmegsail_relay::{CallKind, Choice, HeldAdapter};
use nutmegsail_telemetry::{Event, log_event};
use tokio::time::sleep_until;

use super::answer_body::{AnswerBody, ForwardedBody};
use super::answer_source::AnswerSource;
use super::call::{Call, strip_hop_by_hop};
use super::forward_header::{write_answered_by, write_answered_software};
use super::gateway::Gateway;
use super::in_flight::InFlight;
use super::received_body::ReceivedBody;
use super::resumable_body::ResumableBody;
use super::resume::Resumption;
use crate::{AnswerMeta, SendMeta, Verdict};

/// An upstream's answer and the accounting of its send.
pub(crate) struct UpstreamAnswer {
    pub(crate) answer: Response<PooledBody>,
    pub(crate) in_flight: InFlight,
}

/// The outcome of one send.
pub(crate) enum SendOutcome {
    /// An answer to forward to the caller.
    Answer(UpstreamAnswer),
    /// An error answer of the upstream; forwarded if the request cannot be sent again.
    Failed(UpstreamAnswer),
    /// No connection could be opened; the upstream received nothing.
    NotArrived,
    /// The upstream received the request and stated that it did not run it.
    Refused(Verdict),
    /// The upstream may have run the request, but sent no usable answer.
    Lost,
    /// The upstream may have run the request; its deadline has passed.
    TimedOut,
}

/// The longest idle time of a connection that is used for a request which must not run twice. If
/// the upstream is just closing the connection, such a request could not be sent again.
const NON_RETRYABLE_MAX_IDLE: Duration = Duration::from_secs(3);

/// The media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// The timeout of an idempotent request that another upstream could serve, as a multiple of its
/// latency objective. The slowest normal answers take about 1.5 times the objective (220 ms where
/// it is 150 ms). Waiting longer for an upstream that does not respond uses up the caller's time.
const IDEMPOTENT_TIMEOUT_FACTOR: u32 = 3;

impl Gateway {
    /// Sends the request once. With `last_event`, the upstream resumes a stream after that event.
    pub(crate) async fn send(
        self: &Rc<Self>,
        call: &Call,
        choice: &Choice,
        has_alternative: bool,
        last_event: Option<u64>,
    ) -> SendOutcome {
        let now = Instant::now();
        let upstream = &choice.upstream;
        let remaining = call.remaining(now);
        let send = SendMeta {
            remaining,
            upstream: &upstream.name,
            team: call.caller.team().map(|team| team.name.as_str()),
            version: choice
                .version
                .filter(|version| *version != HeldAdapter::UNSTATED_VERSION),
            priority: call.meta.model.is_some().then_some(call.priority()),
        };
        self.spend_tokens(call);
        let request = call.to_upstream(&*self.dialect, &send, last_event);
        let mut in_flight = InFlight::begin(self, call, choice);
        self.dispatcher
            .borrow_mut()
            .record_prompt(&upstream.id, &call.prompt, now);
        let address = upstream.address.to_string();
        let head_timeout = head_timeout(call, has_alternative, remaining);
        let request_id = call.meta.request_id.as_ref();
        let options = SendOptions {
            max_idle: match call.route.kind.may_retry() {
                true => Duration::MAX,
                false => NON_RETRYABLE_MAX_IDLE,
            },
            answer_id: request_id.map(|id| AnswerId::of(id.as_bytes())),
        };
        let sending = self.pool.send_with(&address, request, &options);
        let answer = match tokio::time::timeout(head_timeout, sending).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendError::NotSent(why))) => {
                let mut dispatcher = self.dispatcher.borrow_mut();
                dispatcher.record_unreachable(&upstream.id, Instant::now());
                drop(dispatcher);
                self.log_not_sent(call, choice, why);
                self.record_failed_open(upstream, why);
                return SendOutcome::NotArrived;
            }
            Ok(Err(SendError::AtLimit)) => {
                self.log_not_sent(call, choice, OpenError::AtLimit);
                return SendOutcome::NotArrived;
            }
            Ok(Err(why @ (SendError::Broken | SendError::Malformed(_)))) => {
                self.log_lost(call, choice, &why.to_string());
                in_flight.record_disconnected();
                return SendOutcome::Lost;
            }
            Err(_) => {
                self.log_lost(call, choice, "timed out");
                in_flight.record_broken();
                return match head_timeout < remaining {
                    true => SendOutcome::Lost,
                    false => SendOutcome::TimedOut,
                };
            }
        };
        self.classify_answer(call, choice, in_flight, answer)
    }

    fn classify_answer(
        &self,
        call: &Call,
        choice: &Choice,
        mut in_flight: InFlight,
        answer: Response<PooledBody>,
    ) -> SendOutcome {
        let connection = answer.body().connection_id();
        in_flight.record_head(connection, answer.status());
        let meta = self.dialect.read_answer(answer.status(), answer.headers());
        self.record_upstream_notice(call, &choice.upstream, &meta);
        self.crash_watch
            .borrow_mut()
            .record_received(&choice.upstream.id, in_flight.sent_at());
        // An upstream may send a second, late answer to an earlier request on a kept-alive
        // connection. Forwarding it would give one caller another caller's answer, so the request
        // ids are compared. Dropping the answer also drops its connection.
        if meta.request_id != call.meta.request_id {
            self.log_lost(call, choice, "the answer is another request's");
            in_flight.record_broken();
            return SendOutcome::Lost;
        }
        if meta.verdict != Verdict::Answered {
            self.log_refused(call, choice, meta.verdict, connection);
        }
        match meta.verdict {
            Verdict::Full => {
                in_flight.record_full();
                return SendOutcome::Refused(Verdict::Full);
            }
            Verdict::Misdirected => {
                self.record_misdirected(call, choice, &meta);
                return SendOutcome::Refused(Verdict::Misdirected);
            }
            Verdict::Answered => {}
        }
        let status = answer.status();
        // Callers ask for unencoded bodies, so an encoded answer, like an unsigned one, was not
        // produced by the upstream.
        let is_invalid = answer.headers().contains_key(header::CONTENT_ENCODING) || !meta.is_sealed;
        if is_invalid {
            self.log_lost(call, choice, "the answer is encoded or not signed");
            in_flight.record_broken();
            return SendOutcome::Lost;
        }
        // The upstream has run it, or may have, and its caller would send it again.
        if meta.has_not_run_status && !call.route.kind.may_retry() {
            self.log_lost(call, choice, "the status wrongly says that it has not run");
            in_flight.record_broken();
            return SendOutcome::Lost;
        }
        if status.is_server_error() {
            in_flight.record_broken();
            return SendOutcome::Failed(UpstreamAnswer { answer, in_flight });
        }
        SendOutcome::Answer(UpstreamAnswer { answer, in_flight })
    }

    /// Logs and counts that no connection to an upstream could be opened.
    fn log_not_sent(&self, call: &Call, choice: &Choice, why: OpenError) {
        self.shared.metrics.record_not_sent(why);
        log_event!(
            self.log, Event::SendNotSent,
            "request" => call.id.to_string(), "upstream" => choice.upstream.id.to_string(),
            "why" => why.to_string(), "age_ms" => call.began.elapsed().as_millis()
        );
    }

    fn log_refused(
        &self,
        call: &Call,
        choice: &Choice,
        verdict: Verdict,
        connection: ConnectionId,
    ) {
        let now = Instant::now();
        let dispatcher = self.dispatcher.borrow();
        let tracked = dispatcher.tracked(&choice.upstream.id);
        let reported_age = tracked.and_then(|tracked| tracked.holdings_age(now));
        log_event!(
            self.log, Event::SendRefused,
            "request" => call.id.to_string(), "upstream" => choice.upstream.id.to_string(),
            "verdict" => format!("{verdict:?}"), "connection" => connection.to_string(), "age_ms" => call.began.elapsed().as_millis(),
            "model" => call.meta.model.as_ref().map(ToString::to_string),
            "version" => choice.version, "holdings_age_ms" => reported_age.map(|age| age.as_millis())
        );
    }

    fn log_lost(&self, call: &Call, choice: &Choice, why: &str) {
        log_event!(
            self.log, Event::SendLost,
            "request" => call.id.to_string(), "upstream" => choice.upstream.id.to_string(),
            "why" => why.to_owned(), "age_ms" => call.began.elapsed().as_millis()
        );
    }

    /// Records that another upstream is at the address, or that this one does not hold the model.
    fn record_misdirected(&self, call: &Call, choice: &Choice, meta: &AnswerMeta) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let intended = &*choice.upstream.name;
        let is_other = meta
            .upstream
            .as_ref()
            .is_some_and(|answered| answered != intended);
        match &call.meta.model {
            Some(model) if !is_other => {
                dispatcher.record_adapter_missing(&choice.upstream.id, model, Instant::now());
            }
            _ => dispatcher.record_replaced(&choice.upstream.id, Instant::now()),
        }
    }

    /// Passes an upstream's answer on as it arrives. With `resumption`, another upstream may resume
    /// it.
    pub(crate) fn pass_on(
        &self,
        call: &Call,
        received: UpstreamAnswer,
        resumption: Option<Resumption>,
    ) -> Response<AnswerBody> {
        let UpstreamAnswer {
            mut answer,
            mut in_flight,
        } = received;
        if answer.status() == StatusCode::OK {
            in_flight.record_stream(call);
        }
        if call.forwarded.is_some() {
            let upstream = in_flight.upstream();
            write_answered_by(answer.headers_mut(), &upstream.id);
            write_answered_software(answer.headers_mut(), &upstream.software);
        }
        let resumption = resumption.filter(|_| {
            is_event_stream(answer.headers()) && answer.body().framing() != Framing::NoBody
        });
        let Some(resumption) = resumption else {
            return pass_on_from(call, answer, in_flight.into());
        };
        frame_for_caller(&mut answer);
        // Another upstream's events may have other lengths.
        answer.headers_mut().remove(header::CONTENT_LENGTH);
        let mut answer = answer.map(|body| {
            let received = ReceivedBody::new(body, in_flight.into());
            let deadline_timer = Box::pin(sleep_until(call.deadline_at.into()));
            let resumable = ResumableBody::new(received, resumption, deadline_timer);
            AnswerBody::Resumable(Box::new(resumable))
        });
        strip_hop_by_hop(answer.headers_mut());
        answer
    }
}

/// Passes an answer on as it arrives.
pub(super) fn pass_on_from(
    call: &Call,
    mut answer: Response<PooledBody>,
    source: AnswerSource,
) -> Response<AnswerBody> {
    frame_for_caller(&mut answer);
    let deadline_timer = Box::pin(sleep_until(call.deadline_at.into()));
    let is_stream = is_event_stream(answer.headers());
    let mut answer = answer.map(|body| {
        let received = ReceivedBody::new(body, source);
        let forwarded = ForwardedBody::new(received, is_stream, deadline_timer);
        AnswerBody::Forwarded(Box::new(forwarded))
    });
    strip_hop_by_hop(answer.headers_mut());
    answer
}

/// Whether a body consists of events.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let stated = headers.get(header::CONTENT_TYPE);
    let stated = stated.and_then(|stated| stated.to_str().ok());
    let media_type = stated.and_then(|stated| stated.split(';').next());
    media_type.is_some_and(|media_type| media_type.trim().eq_ignore_ascii_case(EVENT_STREAM))
}

/// Frames an answer as the upstream did. A body that ends with the upstream's connection ends with
/// the caller's, as chunks would say of a body that was cut short that it is whole.
fn frame_for_caller(answer: &mut Response<PooledBody>) {
    *answer.version_mut() = match answer.body().framing() {
        // hyper writes a body without a length or chunks under this version only.
        Framing::Close => Version::HTTP_10,
        Framing::NoBody | Framing::Length | Framing::Chunked => Version::HTTP_11,
    };
}

/// The timeout until the answer's head arrives. Without another upstream to try, only waiting can
/// help.
fn head_timeout(call: &Call, has_alternative: bool, remaining: Duration) -> Duration {
    match call.route.kind {
        CallKind::Idempotent if has_alternative => {
            remaining.min(call.route.latency_objective * IDEMPOTENT_TIMEOUT_FACTOR)
        }
        _ => remaining,
    }
}
