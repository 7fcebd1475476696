//! Sends a request once, to one upstream, and classifies the answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{Response, header};
use nutmegsail_http_pool::{PooledBody, SendError};
use nutmegsail_relay::{CallKind, Choice, HeldAdapter};
use nutmegsail_telemetry::{Event, log_event};
use tokio::time::sleep_until;

use super::answer_body::{AnswerBody, PassedBody};
use super::call::{Call, strip_hop_by_hop};
use super::flight::Flight;
use super::gateway::Gateway;
use super::resumable_body::ResumableBody;
use super::resume::Resumption;
use crate::{AnswerMeta, SendMeta, Verdict};

/// An upstream's answer and the accounting of its send.
pub(crate) struct Taken {
    pub(crate) answer: Response<PooledBody>,
    pub(crate) flight: Flight,
}

/// The outcome of one send.
pub(crate) enum Sent {
    /// An answer to forward to the caller.
    Answer(Taken),
    /// An error answer of the upstream; forwarded if the request cannot be sent again.
    Failed(Taken),
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
const ONCE_MAX_IDLE: Duration = Duration::from_secs(3);

/// The timeout of an idempotent request that another upstream could serve, as a multiple of its
/// latency objective. The slowest normal answers take about 1.5 times the objective (220 ms of 150
/// ms). Waiting longer for an upstream that does not respond uses up the caller's time.
const IDEMPOTENT_PATIENCE: u32 = 3;

impl Gateway {
    /// Sends the request once. With `last_event`, the upstream resumes a stream after that event.
    pub(crate) async fn send(
        self: &Rc<Self>,
        call: &Call,
        choice: &Choice,
        has_other: bool,
        last_event: Option<u64>,
    ) -> Sent {
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
        let mut flight = Flight::begin(self, call, choice);
        self.dispatcher
            .borrow_mut()
            .note_prompt(&upstream.id, &call.prompt, now);
        let address = upstream.address.to_string();
        let patience = patience(call, has_other, remaining);
        let max_idle = match call.route.kind.may_repeat() {
            true => Duration::MAX,
            false => ONCE_MAX_IDLE,
        };
        let sending = self.pool.send_after(&address, request, max_idle);
        let answer = match tokio::time::timeout(patience, sending).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(SendError::NotSent)) => {
                let mut dispatcher = self.dispatcher.borrow_mut();
                dispatcher.note_unreachable(&upstream.id, Instant::now());
                return Sent::NotArrived;
            }
            Ok(Err(SendError::AtLimit)) => return Sent::NotArrived,
            Ok(Err(SendError::Broken)) => {
                flight.note_disconnected();
                return Sent::Lost;
            }
            Err(_) => {
                flight.note_broken();
                return match patience < remaining {
                    true => Sent::Lost,
                    false => Sent::TimedOut,
                };
            }
        };
        self.take_answer(call, choice, flight, answer)
    }

    fn take_answer(
        &self,
        call: &Call,
        choice: &Choice,
        mut flight: Flight,
        answer: Response<PooledBody>,
    ) -> Sent {
        let meta = self.dialect.read_answer(answer.status(), answer.headers());
        self.note_own_word(call, &choice.upstream, &meta);
        // An upstream may send a second, late answer to an earlier request on a kept-alive
        // connection. Forwarding it would give one caller another caller's answer, so the request
        // ids are compared. Dropping the answer also drops its connection.
        if meta.request_id != call.meta.request_id {
            flight.note_broken();
            return Sent::Lost;
        }
        if meta.verdict != Verdict::Answered {
            self.log_refused(call, choice, meta.verdict);
        }
        match meta.verdict {
            Verdict::Full => {
                flight.note_full();
                return Sent::Refused(Verdict::Full);
            }
            Verdict::Misdirected => {
                self.note_misdirected(call, choice, &meta);
                return Sent::Refused(Verdict::Misdirected);
            }
            Verdict::Answered => {}
        }
        let status = answer.status();
        // Callers ask for unencoded bodies, so an encoded answer, like an unsigned one, was not
        // produced by the upstream.
        let is_spoilt = answer.headers().contains_key(header::CONTENT_ENCODING) || !meta.is_sealed;
        if is_spoilt {
            flight.note_broken();
            return Sent::Lost;
        }
        if status.is_server_error() {
            flight.note_broken();
            return Sent::Failed(Taken { answer, flight });
        }
        Sent::Answer(Taken { answer, flight })
    }

    fn log_refused(&self, call: &Call, choice: &Choice, verdict: Verdict) {
        let now = Instant::now();
        let dispatcher = self.dispatcher.borrow();
        let tracked = dispatcher.tracked(&choice.upstream.id);
        let told = tracked.and_then(|tracked| tracked.holdings_age(now));
        log_event!(
            self.log, Event::SendRefused,
            "request" => call.id.to_string(), "upstream" => choice.upstream.id.to_string(),
            "verdict" => format!("{verdict:?}"), "age_ms" => call.began.elapsed().as_millis(),
            "model" => call.meta.model.as_ref().map(ToString::to_string),
            "version" => choice.version, "holdings_age_ms" => told.map(|age| age.as_millis())
        );
    }

    /// Records that another upstream is at the address, or that this one does not hold the model.
    fn note_misdirected(&self, call: &Call, choice: &Choice, meta: &AnswerMeta) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let meant = &*choice.upstream.name;
        let is_other = meta
            .upstream
            .as_ref()
            .is_some_and(|answered| answered != meant);
        match &call.meta.model {
            Some(model) if !is_other => {
                dispatcher.note_absent(&choice.upstream.id, model, Instant::now());
            }
            _ => dispatcher.note_gone(&choice.upstream.id, Instant::now()),
        }
    }

    /// Forwards an answer as it arrives. With `resumption`, another upstream may resume it.
    pub(crate) fn pass_on(
        &self,
        call: &Call,
        taken: Taken,
        resumption: Option<Resumption>,
    ) -> Response<AnswerBody> {
        let cutoff = Box::pin(sleep_until(call.due.into()));
        let flight = taken.flight;
        let mut answer = taken.answer.map(|body| match resumption {
            Some(resumption) => {
                let resumable = ResumableBody::new(body, flight, resumption, cutoff);
                AnswerBody::Resumable(Box::new(resumable))
            }
            None => AnswerBody::Passed(Box::new(PassedBody::new(body, flight, cutoff))),
        });
        strip_hop_by_hop(answer.headers_mut());
        answer
    }
}

/// The timeout until the answer's head arrives. Without another upstream to try, only waiting can
/// help.
fn patience(call: &Call, has_other: bool, remaining: Duration) -> Duration {
    match call.route.kind {
        CallKind::Idempotent if has_other => {
            remaining.min(call.route.objective * IDEMPOTENT_PATIENCE)
        }
        _ => remaining,
    }
}
