//! Resumes a broken stream at another upstream.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use nutmegsail_base::UpstreamId;
use nutmegsail_http_pool::PooledBody;
use nutmegsail_telemetry::{Event, log_event};

use super::call::Call;
use super::flight::Flight;
use super::gateway::{Gateway, Sends};
use super::send::Sent;

/// How long a broken stream may wait to be resumed, including the load of its adapter. Callers give
/// up a stream after a gap of about 2 to 4 s.
const RESUME_PATIENCE: Duration = Duration::from_millis(1_500);

/// How many upstreams are tried, as each may refuse the request.
const TRIES: usize = 3;

/// What is needed to resume a stream.
pub(crate) struct Resumption {
    gateway: Rc<Gateway>,
    call: Rc<Call>,
    sends: Sends,
}

/// A resumed stream.
pub(crate) struct Resumed {
    pub(crate) body: PooledBody,
    pub(crate) flight: Flight,
    pub(crate) resumption: Resumption,
}

impl Resumption {
    /// Returns a `Resumption` for a stream sent to `upstream`, if its route allows resuming and
    /// attempts are left.
    pub(crate) fn of(
        gateway: &Rc<Gateway>,
        call: &Rc<Call>,
        sends: &Sends,
        upstream: &UpstreamId,
    ) -> Option<Self> {
        let is_resumable = call.route.kind.is_stream() && call.route.kind.may_repeat();
        let mut sends = sends.clone();
        sends.note_run(upstream);
        let resumption = Self {
            gateway: Rc::clone(gateway),
            call: Rc::clone(call),
            sends,
        };
        (is_resumable && resumption.is_allowed()).then_some(resumption)
    }

    /// Sends the request to another upstream, which resumes after the event `last_id`.
    pub(crate) async fn go_on(mut self, last_id: Option<u64>) -> Option<Resumed> {
        let until = Instant::now() + RESUME_PATIENCE;
        for _ in 0..TRIES {
            if Instant::now() >= until {
                break;
            }
            let next = self.gateway.next_choice(&self.call, &self.sends);
            let left = until.saturating_duration_since(Instant::now());
            let choice = tokio::time::timeout(left, next).await.ok()?.ok()?;
            let sent = self.gateway.send(&self.call, &choice, false, last_id).await;
            match sent {
                Sent::Answer(taken) if taken.answer.status() == StatusCode::OK => {
                    log_event!(
                        self.gateway.log, Event::AnswerResumed,
                        "request" => self.call.id.to_string(),
                        "upstream" => choice.upstream.id.to_string(), "after" => last_id
                    );
                    self.sends.note_run(&choice.upstream.id);
                    return Some(Resumed {
                        body: taken.answer.into_body(),
                        flight: taken.flight,
                        resumption: self,
                    });
                }
                // The upstream did not run it.
                Sent::Refused(_) => self.sends.arrived += 1,
                Sent::NotArrived => {}
                Sent::Answer(_) | Sent::Failed(_) | Sent::Lost | Sent::TimedOut => return None,
            }
            self.sends.tried.push(choice.upstream.id.clone());
        }
        None
    }

    /// Whether an attempt is left to resume the stream.
    pub(crate) fn is_allowed(&self) -> bool {
        self.sends.may_have_run < self.call.route.max_attempts
    }
}
