//! One send of a request to one upstream.

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

/// An upstream's answer, with the request's place in the books.
pub(crate) struct Taken {
    pub(crate) answer: Response<PooledBody>,
    pub(crate) flight: Flight,
}

/// What became of a send.
pub(crate) enum Sent {
    /// The upstream's answer, to be passed on.
    Answer(Taken),
    /// The upstream's answer, a failure of its own; passed on if the request cannot be sent again.
    Failed(Taken),
    /// No connection could be made; nothing arrived.
    NotArrived,
    /// It arrived, and the upstream said that it did not run it.
    Refused(Verdict),
    /// It may have run; no answer that could be passed on came.
    Lost,
    /// It may have run; its time is over.
    TimedOut,
}

/// How long a connection may have been idle that carries a request which may run once only. A close
/// by the other end that is on its way would lose the request.
const ONCE_MAX_IDLE: Duration = Duration::from_secs(3);

/// How long an idempotent plain call may take before another upstream is asked, as a multiple of
/// its latency objective: the slowest sound answers take some 1.5 times the objective (220 ms of
/// 150 ms); a silent upstream costs its callers the rest.
const IDEMPOTENT_PATIENCE: u32 = 3;

impl Gateway {
    /// Sends the request once; with `last_event` to go on with a stream after it.
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
        // A second answer to an earlier request may come late on a kept connection, where the next
        // answer is due. Its id tells; passed on, one caller would read another's answer. The
        // connection is dropped with the answer, so nothing else is read from it.
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
        // Callers ask for bodies without any encoding, so an encoded one is not the upstream's.
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

    /// Takes in that the upstream was not the one meant, or does not hold the model.
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

    /// Passes an answer on as it arrives; with `resumption` another upstream may go on with it.
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

/// How long this send may take to its answer's head. If no other upstream could be asked instead,
/// waiting on is all that can help.
fn patience(call: &Call, has_other: bool, remaining: Duration) -> Duration {
    match call.route.kind {
        CallKind::Idempotent if has_other => {
            remaining.min(call.route.objective * IDEMPOTENT_PATIENCE)
        }
        _ => remaining,
    }
}
