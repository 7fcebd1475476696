//! One call to a plain service: claim it if it runs once, wait for an upstream, send, pass on.

use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use bytes::{Bytes, BytesMut};
use futures_util::stream::{self, StreamExt};
use http::{HeaderMap, HeaderName, HeaderValue};
use nutmegsail_base::{Clock, RequestId, ResultCode, RunState, UpstreamId};
use nutmegsail_front::{PlainAnswer, PlainCall};
use nutmegsail_idempotency::{
    ClaimOutcome, ForwardResult, IdempotencyKey, RecordedAnswer, RecordedHeader, RequestDigest,
    Ticket,
};
use nutmegsail_request::{Accepted, Refusal, Request};
use nutmegsail_routing::{Arrival, Outcome};
use nutmegsail_telemetry::{ClaimResult, Hop};
use nutmegsail_upstream::{PlainRequest, PlainResponse, PlainService, UpstreamError};
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;
use uuid::{NoContext, Timestamp, Uuid};
use xtra::Address;

use crate::attempt::{Attempt, deadline};
use crate::claimed_run::ClaimedRun;
use crate::claims_keeper::{BeginClaim, ClaimForwarded, ClaimVerdict, ClaimsKeeper};
use crate::dispatcher::{Dispatcher, Verdict};
use crate::forwards::Forwards;
use crate::generation::outcome_of;
use crate::measures::{Hops, Measures};
use crate::pending::Pending;

/// The largest answer of a once-only call, in bytes: it is read whole so that it can be recorded.
const ONCE_ONLY_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// What calls to plain services need of their node.
#[derive(Clone)]
pub(crate) struct PlainCalls {
    /// The router's actor.
    pub(crate) dispatcher: Address<Dispatcher>,
    /// The claims.
    pub(crate) claims: Address<ClaimsKeeper>,
    /// The upstreams.
    pub(crate) plain: Arc<dyn PlainService>,
    /// The clock.
    pub(crate) clock: Arc<dyn Clock>,
    /// Where measurements and spans go.
    pub(crate) measures: Measures,
    /// This run of this node, which tickets name.
    pub(crate) ticket: Ticket,
    /// Calls handed to other nodes.
    pub(crate) forwards: Forwards,
    /// Once-only calls under way; a shutdown waits for them even if their callers have gone.
    pub(crate) once_only: TaskTracker,
}

/// A response with what is needed to end the request when its body has been passed on.
struct Begun {
    response: PlainResponse,
    attempt: Attempt,
}

impl PlainCalls {
    /// Answers a call.
    pub(crate) async fn call(&self, call: PlainCall) -> Result<PlainAnswer, Refusal> {
        if !call.once_only {
            let begun = self.send(&call, None).await?;
            return Ok(passed_on(begun));
        }
        // The task goes on when the caller hangs up: a booking that was sent must be recorded, or
        // its caller's next try could only be told "may have run".
        let (calls, (answered, answer)) = (self.clone(), oneshot::channel());
        let request = call.request.clone();
        self.once_only.spawn(async move {
            let _ = answered.send(calls.call_once(call).await);
        });
        let answer = answer.await.unwrap_or_else(|_| {
            let detail = format!("the task of {request} ended early");
            Err(Refusal::may_have_run(ResultCode::Internal, detail))
        });
        answer.map(recorded_answer)
    }

    /// Runs a call that another node handed over for its ticket, or repeats its answer.
    pub(crate) async fn run_forwarded(&self, call: PlainCall) -> Result<RecordedAnswer, Refusal> {
        let key = call.idempotency_key.as_deref().unwrap_or_default();
        let key = IdempotencyKey::parse(key).ok();
        // Against calls that go round: a call that was handed on is not handed on again. Another
        // node or incarnation than the one that is named knows nothing of what the named one ran.
        if key.is_none_or(|key| key.ticket() != Some(&self.ticket)) {
            let code = ResultCode::OutcomeUnknown;
            return Err(Refusal::may_have_run(code, code.text()));
        }
        self.call_once(call).await
    }

    /// A new key that only this run of this node may ever run.
    pub(crate) fn issue_ticket(&self) -> IdempotencyKey {
        let wall = self.clock.wall_time().duration_since(UNIX_EPOCH);
        let wall = wall.unwrap_or_default();
        let issued = Timestamp::from_unix(NoContext, wall.as_secs(), wall.subsec_nanos());
        let Ticket { node, incarnation } = self.ticket.clone();
        IdempotencyKey::with_ticket(Uuid::new_v7(issued), node, incarnation)
    }

    async fn call_once(&self, call: PlainCall) -> Result<RecordedAnswer, Refusal> {
        let until = deadline(&self.clock, call.deadline);
        let request = Request::accept(call.request.clone());
        let key = call.idempotency_key.as_deref().unwrap_or_default();
        let key = match IdempotencyKey::parse(key) {
            Ok(key) => key,
            Err(error) => {
                let proof = request.not_run();
                return Err(Refusal::not_run(proof, error.code(), error.to_string()));
            }
        };
        let verdict = match self.claim(&call, key).await {
            Some(ClaimVerdict::Forward { to }) => {
                let left = until.saturating_duration_since(self.clock.now());
                let result = self.forwards.forward(&call, to, left).await;
                let Some(verdict) = self.forwarded(&call.request, result).await else {
                    let code = ResultCode::OutcomeUnknown;
                    return Err(Refusal::may_have_run(code, "the node is going down"));
                };
                Some(verdict)
            }
            verdict => verdict,
        };
        if let Some(result) = verdict.as_ref().and_then(claim_result) {
            self.measures.metrics.claimed(result);
        }
        match verdict {
            Some(ClaimVerdict::Run) => self.run_claimed(call).await,
            Some(ClaimVerdict::Answer(recorded)) if recorded.is_kept => Ok(recorded),
            Some(ClaimVerdict::Answer(recorded)) => Err(not_kept(&recorded)),
            Some(ClaimVerdict::Refuse {
                code,
                run_state,
                retry_after,
            }) => Err(refusal(request, code, run_state, retry_after)),
            Some(ClaimVerdict::Forward { .. }) | None => {
                let code = ResultCode::ClaimUnavailable;
                let proof = request.not_run();
                Err(Refusal::not_run(proof, code, "the node is going down"))
            }
        }
    }

    async fn claim(&self, call: &PlainCall, key: IdempotencyKey) -> Option<ClaimVerdict> {
        let digest = RequestDigest::of(call.method.as_str(), &call.path, &call.service, &call.body);
        let (verdict, told) = oneshot::channel();
        let request = call.request.clone();
        let begin = BeginClaim {
            request,
            key,
            digest,
            verdict,
        };
        // The verdict comes over the channel, not as the message's answer.
        drop(self.claims.send(begin).detach().await.ok()?);
        told.await.ok()
    }

    async fn forwarded(&self, request: &RequestId, result: ForwardResult) -> Option<ClaimVerdict> {
        let (verdict, told) = oneshot::channel();
        let forwarded = ClaimForwarded {
            request: request.clone(),
            result,
            verdict,
        };
        drop(self.claims.send(forwarded).detach().await.ok()?);
        told.await.ok()
    }

    /// Runs a call whose claim is this node's, and records how it ended.
    async fn run_claimed(&self, call: PlainCall) -> Result<RecordedAnswer, Refusal> {
        let run = ClaimedRun::begin(call.request.clone(), self.claims.clone());
        let result = match self.send(&call, Some(&run)).await {
            Ok(begun) => self.read_whole(begun).await,
            Err(refusal) => Err(refusal),
        };
        let outcome = match &result {
            Ok(recorded) if recorded.is_kept => ClaimOutcome::Answered(recorded.clone()),
            Ok(recorded) => ClaimOutcome::Answered(recorded.clone().status_only()),
            Err(refusal) if refusal.run_state() == RunState::NotRun => ClaimOutcome::NotRun,
            Err(_) => ClaimOutcome::Unknown,
        };
        run.end(outcome).await;
        result
    }

    async fn read_whole(&self, begun: Begun) -> Result<RecordedAnswer, Refusal> {
        let Begun {
            mut response,
            attempt,
        } = begun;
        let mut body = BytesMut::new();
        while let Some(chunk) = response.body.next().await {
            match chunk {
                Ok(chunk) if body.len() + chunk.len() <= ONCE_ONLY_ANSWER_BYTES => {
                    body.extend_from_slice(&chunk);
                }
                Ok(_) => {
                    attempt.end(Outcome::Succeeded).await;
                    let detail = "the answer of a once-only call is larger than 4 MiB";
                    return Err(Refusal::ran(ResultCode::UpstreamFailed, detail));
                }
                Err(error) => {
                    attempt.end(Outcome::Failed).await;
                    return Err(Refusal::may_have_run(error.code(), error.to_string()));
                }
            }
        }
        attempt.end(Outcome::Succeeded).await;
        let mut recorded = RecordedAnswer::new(response.status, body.freeze());
        recorded.headers = recorded_headers(&response.headers);
        recorded.is_kept = !response.ends_with_connection;
        Ok(recorded)
    }

    async fn send(&self, call: &PlainCall, run: Option<&ClaimedRun>) -> Result<Begun, Refusal> {
        let until = deadline(&self.clock, call.deadline);
        let mut pending = Pending::Clean(Request::accept(call.request.clone()).queue());
        let (hops, now) = (self.hops(call), self.clock.now());
        let arrival = arrival(call, until);
        let mut attempt = Attempt::admit(&self.dispatcher, arrival, hops, now).await;
        loop {
            let left = until.saturating_duration_since(self.clock.now());
            let upstream = match timeout(left, attempt.verdict(&*self.clock))
                .await
                .ok()
                .flatten()
            {
                Some(Verdict::Send { upstream, .. }) => upstream,
                Some(Verdict::Cancel) => continue,
                Some(Verdict::Refuse { code, retry_after }) => {
                    return Err(stopped(pending, code, Some(retry_after)));
                }
                Some(Verdict::GiveUp { code }) => return Err(stopped(pending, code, None)),
                None => return Err(stopped(pending, ResultCode::DeadlineUnreachable, None)),
            };
            // A booking that may have run must not be sent on, whatever the router says: a second
            // guest's therapist would be blocked.
            assert!(
                run.is_none() || matches!(pending, Pending::Clean(_)),
                "{} may have run already",
                call.request
            );
            let request = pending.dispatch(upstream.clone());
            if let Some(run) = run {
                run.dispatched().await;
            }
            match self.try_at(&upstream, call, until).await {
                Ok(response) => {
                    attempt.first_byte().await;
                    return Ok(Begun { response, attempt });
                }
                Err(error) => {
                    pending = Pending::from(request.failed(&error));
                    let outcome = outcome_of(&error);
                    attempt.failed(outcome, self.clock.now()).await;
                }
            }
        }
    }

    fn hops(&self, call: &PlainCall) -> Hops {
        Hops {
            measures: self.measures.clone(),
            traceparent: call.traceparent.clone(),
            service: call.service.clone(),
            class: call.class,
        }
    }

    async fn try_at(
        &self,
        upstream: &UpstreamId,
        call: &PlainCall,
        until: Instant,
    ) -> Result<PlainResponse, UpstreamError> {
        let span = self.hops(call).span(Hop::Upstream);
        span.set("nutmegsail.upstream", upstream);
        let left = until.saturating_duration_since(self.clock.now());
        let request = plain_request(call, left, span.traceparent());
        let sent = timeout(left, self.plain.call(upstream, request)).await;
        let result = sent.unwrap_or(Err(UpstreamError::Broken));
        if let Err(error) = &result {
            span.fail(error.code());
        }
        result
    }
}

fn refusal(
    request: Request<Accepted>,
    code: ResultCode,
    run_state: RunState,
    retry_after: Option<Duration>,
) -> Refusal {
    let refusal = match run_state {
        RunState::NotRun => Refusal::not_run(request.not_run(), code, code.text()),
        RunState::MayHaveRun => Refusal::may_have_run(code, code.text()),
        RunState::Ran => Refusal::ran(code, code.text()),
    };
    match retry_after {
        Some(retry_after) => refusal.with_retry_after(retry_after),
        None => refusal,
    }
}

/// How a verdict is counted.
fn claim_result(verdict: &ClaimVerdict) -> Option<ClaimResult> {
    Some(match verdict {
        ClaimVerdict::Run => ClaimResult::Granted,
        ClaimVerdict::Answer(_) => ClaimResult::Repeated,
        ClaimVerdict::Refuse { code, .. } if *code == ResultCode::InProgress => {
            ClaimResult::Repeated
        }
        ClaimVerdict::Refuse { run_state, .. } if *run_state == RunState::NotRun => {
            ClaimResult::Refused
        }
        ClaimVerdict::Refuse { .. } => ClaimResult::Unknown,
        ClaimVerdict::Forward { .. } => return None,
    })
}

/// A status without its body would look like a whole answer.
fn not_kept(recorded: &RecordedAnswer) -> Refusal {
    let detail = format!("the upstream answered with status {}", recorded.status);
    Refusal::ran(ResultCode::AnswerNotKept, detail)
}

fn stopped(pending: Pending, code: ResultCode, retry_after: Option<Duration>) -> Refusal {
    let refusal = pending.refuse(code, code.text());
    match retry_after {
        Some(retry_after) => refusal.with_retry_after(retry_after),
        None => refusal,
    }
}

/// Passes the body on as the caller takes it, and ends the request when it is through.
fn passed_on(begun: Begun) -> PlainAnswer {
    let Begun { response, attempt } = begun;
    let PlainResponse {
        status,
        headers,
        ends_with_connection,
        body,
    } = response;
    let state = (body, Some(attempt));
    let body = stream::unfold(state, |(mut body, mut attempt)| async move {
        let chunk = body.next().await;
        let outcome = match &chunk {
            None => Some(Outcome::Succeeded),
            Some(Err(_)) => Some(Outcome::Failed),
            Some(Ok(_)) => None,
        };
        if let (Some(outcome), Some(ended)) = (outcome, attempt.take_if(|_| outcome.is_some())) {
            ended.end(outcome).await;
        }
        chunk.map(|chunk| (chunk, (body, attempt)))
    });
    PlainAnswer {
        status,
        headers,
        ends_with_connection,
        body: body.boxed(),
    }
}

fn recorded_answer(recorded: RecordedAnswer) -> PlainAnswer {
    let mut headers = HeaderMap::new();
    for header in &recorded.headers {
        let name = HeaderName::from_bytes(header.name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_str(&header.value)) {
            headers.append(name, value);
        }
    }
    let body: Bytes = recorded.body;
    let body = stream::once(async move { Ok(body) });
    PlainAnswer {
        status: recorded.status,
        headers,
        // An answer that may have ended early is not kept, and so not passed on as a whole one.
        ends_with_connection: !recorded.is_kept,
        body: body.boxed(),
    }
}

fn recorded_headers(headers: &HeaderMap) -> Vec<RecordedHeader> {
    let kept = headers.iter().filter_map(|(name, value)| {
        let value = value.to_str().ok()?.to_owned();
        Some(RecordedHeader {
            name: name.as_str().to_owned(),
            value,
        })
    });
    kept.collect()
}

fn arrival(call: &PlainCall, until: Instant) -> Arrival {
    Arrival {
        request: call.request.clone(),
        caller: call.caller.clone(),
        service: call.service.clone(),
        adapter: None,
        class: call.class,
        deadline: until,
        target: call.target,
        prefix: None,
        idempotent: call.idempotent && !call.once_only,
    }
}

fn plain_request(
    call: &PlainCall,
    deadline: Duration,
    traceparent: Option<String>,
) -> PlainRequest {
    let mut headers = call.headers.clone();
    if let Some(Ok(traceparent)) = traceparent.map(HeaderValue::try_from) {
        headers.insert("traceparent", traceparent);
    }
    PlainRequest {
        request: call.request.clone(),
        method: call.method.clone(),
        path: call.path.clone(),
        headers,
        body: call.body.clone(),
        deadline,
    }
}
