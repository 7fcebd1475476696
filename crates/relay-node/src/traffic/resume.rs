//! Resumes a broken stream at another upstream.

use std::rc::Rc;
use std::time::{Duration, Instant};

use derive_more::Display;
use http::StatusCode;
use nutmegsail_base::ResultCode;
use nutmegsail_relay::{HeldEvent, SoftwareRule, Upstream};
use nutmegsail_telemetry::{Event, log_event};

use super::call::Call;
use super::forward::{Forwarded, PeerAnswered};
use super::gateway::{Gateway, PendingRequest, SendHistory};
use super::received_body::ReceivedBody;
use super::send::SendOutcome;

/// How long a broken stream may wait to be resumed, including the load of its adapter. Callers give
/// up a stream after a gap of about 2 to 4 s.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a probe of the service's upstreams may take, once some have failed.
const REACH_TIMEOUT: Duration = Duration::from_millis(100);

/// How many upstreams are tried, as each may refuse the request.
const MAX_RESUME_TRIES: usize = 3;

/// What is needed to resume a stream.
pub(crate) struct Resumption {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    sends: SendHistory,
}

/// Why a stream was not resumed.
#[derive(Clone, Copy, Debug, Display)]
enum NotResumed {
    /// Every upstream that was tried refused it, or the time was over before.
    #[display("no upstream took it in time")]
    TimedOut,
    /// No upstream could be chosen.
    #[display("{_0}")]
    NoUpstream(ResultCode),
    /// The upstream may have run it, but sent no usable answer.
    #[display("the upstream sent no usable answer")]
    NotAnswered,
    /// The node that it was forwarded to did not resume it.
    #[display("the other node did not resume it")]
    AtPeer,
}

/// A resumed stream.
pub(crate) struct Resumed {
    pub(super) received: ReceivedBody,
    /// How it may be resumed again; another node that resumed it does so itself.
    pub(crate) resumption: Option<Resumption>,
}

impl Resumption {
    /// Returns a `Resumption` for a stream sent to `upstream`, if its route allows resuming and
    /// attempts are left.
    pub(crate) fn of(
        gateway: &Rc<Gateway>,
        call: &Rc<Call>,
        sends: &SendHistory,
        upstream: &Upstream,
    ) -> Option<Self> {
        let is_resumable = call.stream.is_some();
        let mut sends = sends.clone();
        sends.record_uncertain_send(&upstream.id);
        if is_resumable {
            call.set_software(SoftwareRule::Only(upstream.software.clone()));
        }
        let resumption = Self {
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            sends,
        };
        (is_resumable && resumption.has_attempts_left()).then_some(resumption)
    }

    /// Sends the request to another upstream, which resumes after the event `last_id`.
    pub(crate) async fn resume_after(self, last_id: Option<u64>) -> Option<Resumed> {
        let (gateway, call) = (Rc::clone(&self.gateway), Rc::clone(&self.call));
        let resumed = self.try_resume(last_id).await;
        if let Err(why) = &resumed {
            let dispatcher = gateway.dispatcher.borrow();
            let upstreams = dispatcher.overview(&call.service, Instant::now());
            log_event!(
                gateway.log, Event::AnswerNotResumed,
                "request" => call.id.to_string(), "after" => last_id, "why" => why.to_string(),
                "eligible" => upstreams.eligible, "failing" => upstreams.failing
            );
        }
        resumed.ok()
    }

    async fn try_resume(mut self, last_id: Option<u64>) -> Result<Resumed, NotResumed> {
        let until = Instant::now() + RESUME_TIMEOUT;
        for _ in 0..MAX_RESUME_TRIES {
            if Instant::now() >= until {
                break;
            }
            if self.gateway.should_forward(&self.call) {
                return self.resume_at_peer(last_id).await.ok_or(NotResumed::AtPeer);
            }
            let next = self.gateway.next_upstream(&self.call, &self.sends);
            let left = until.saturating_duration_since(Instant::now());
            let next = tokio::time::timeout(left, next).await;
            let choice = match next.map_err(|_| NotResumed::TimedOut)? {
                Ok(choice) => choice,
                Err(_) if self.turns_out_of_reach(left).await => continue,
                Err(refused) => return Err(NotResumed::NoUpstream(refused.code)),
            };
            let sent = self.gateway.send(&self.call, &choice, false, last_id).await;
            match sent {
                SendOutcome::Answer(mut received) if received.answer.status() == StatusCode::OK => {
                    received.in_flight.record_stream(&self.call);
                    log_event!(
                        self.gateway.log, Event::AnswerResumed,
                        "request" => self.call.id.to_string(),
                        "upstream" => choice.upstream.id.to_string(),
                        "software" => choice.upstream.software.to_string(), "after" => last_id
                    );
                    self.sends.record_uncertain_send(&choice.upstream.id);
                    return Ok(Resumed {
                        received: ReceivedBody::new(
                            received.answer.into_body(),
                            received.in_flight.into(),
                        ),
                        resumption: Some(self),
                    });
                }
                // The upstream did not run it.
                SendOutcome::Refused(_) => self.sends.arrived += 1,
                SendOutcome::NotArrived => {}
                SendOutcome::Answer(_)
                | SendOutcome::Failed(_)
                | SendOutcome::Lost
                | SendOutcome::TimedOut => return Err(NotResumed::NotAnswered),
            }
            self.sends.tried.push(choice.upstream.id.clone());
        }
        Err(NotResumed::TimedOut)
    }

    /// Waits for a probe that may be about to show that no upstream can be reached from here, so that
    /// another node can resume the stream. Returns whether it did.
    async fn turns_out_of_reach(&self, left: Duration) -> bool {
        let (gateway, call) = (&self.gateway, &self.call);
        let upstreams = { gateway.dispatcher.borrow() }.overview(&call.service, Instant::now());
        if upstreams.failing == 0 || call.forwarded.is_some() {
            return false;
        }
        let probed = gateway.until_out_of_reach(call);
        tokio::time::timeout(left.min(REACH_TIMEOUT), probed)
            .await
            .is_ok()
    }

    /// Forwards the request to another node, which resumes after the event `last_id`.
    async fn resume_at_peer(mut self, last_id: Option<u64>) -> Option<Resumed> {
        let pending = PendingRequest::accept(&self.call, &self.sends);
        let forwarding =
            self.gateway
                .forward_to_peers(&self.call, pending, &mut self.sends, last_id);
        let Forwarded::Answer(answered) = forwarding.await else {
            return None;
        };
        let PeerAnswered { answer, in_flight } = *answered;
        if answer.status() != StatusCode::OK {
            return None;
        }
        log_event!(
            self.gateway.log, Event::AnswerResumed,
            "request" => self.call.id.to_string(), "after" => last_id
        );
        Some(Resumed {
            received: ReceivedBody::new(answer.into_body(), in_flight.into()),
            resumption: None,
        })
    }

    /// The event after which the caller resumes the stream, if it does.
    pub(super) fn caller_last_id(&self) -> Option<u64> {
        self.call.last_event_id()
    }

    /// The account of what the stream holds of an incomplete event.
    pub(super) fn hold_events(&self) -> HeldEvent {
        self.gateway.held_events.hold()
    }

    /// Whether an attempt is left to resume the stream.
    pub(crate) fn has_attempts_left(&self) -> bool {
        self.sends.may_have_run < self.call.route.max_attempts
    }
}
