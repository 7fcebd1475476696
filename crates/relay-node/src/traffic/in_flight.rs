//! Accounting of a request while it is at an upstream.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use nutmegsail_base::{RequestId, ResultCode, TeamName};
use nutmegsail_http_pool::ConnectionId;
use nutmegsail_relay::{
    BrokenRequest, Choice, ModelRef, Outcome, RequestTraits, STARTUP_PERIOD, SlotEnd, StreamKey,
    Upstream,
};
use nutmegsail_telemetry::{Event, log_event};

use super::answer_body::AnswerCut;
use super::answer_end::BodySummary;
use super::call::Call;
use super::crash_check::StartingSend;
use super::forward::ForwardedGuard;
use super::gateway::Gateway;
use super::slot_client::SlotPermit;
use super::stream_pacing::StreamPacing;

/// One send in progress. Dropping it, also when the caller disconnects, ends its accounting.
pub(crate) struct InFlight {
    gateway: Rc<Gateway>,
    upstream: Arc<Upstream>,
    model: Option<ModelRef>,
    pending_prompt_tokens: u64,
    expected_ms: f64,
    sent: Instant,
    /// The connection and status of the answer.
    answered: Option<(ConnectionId, StatusCode)>,
    /// When the first part of the answer's body arrived.
    first: Option<Instant>,
    /// Whether the outcome was recorded for the upstream. A failure is recorded with the answer's
    /// head.
    has_outcome: bool,
    /// Whether the request was counted as ended.
    is_ended: bool,
    /// The concurrency slot it holds at a plain upstream.
    slot: Option<SlotPermit>,
    /// Set for a stream whose prompt may be paced.
    pacing: Option<Box<StreamPacing>>,
    /// The team of the caller.
    team: Option<TeamName>,
    request: RequestId,
    traits: RequestTraits,
    /// Set while this send may show whether the request crashes upstreams.
    starting: Option<StartingSend>,
    /// How long the request waited at this node before this send.
    waited: Duration,
    /// What is known of the answer's body, once it was read.
    body: Option<BodySummary>,
    /// The attempt whose stream the caller resumes, and after which event.
    resumes: Option<RequestId>,
    after: Option<u64>,
    /// Set if another node forwarded the request.
    forwarded: Option<Rc<ForwardedGuard>>,
    /// The stream that it answers, until its first part arrives.
    stream: Option<StreamKey>,
}

impl InFlight {
    /// Counts `call` as sent to the upstream of `choice`, and takes over its slot there.
    pub(crate) fn begin(gateway: &Rc<Gateway>, call: &Call, choice: &Choice) -> Self {
        let now = Instant::now();
        let upstream = &choice.upstream.id;
        let pending_prompt_tokens = choice.uncached_tokens;
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher.record_sent(upstream, pending_prompt_tokens, now);
        drop(dispatcher);
        gateway.shared.reach().record_sent(&call.service, now);
        let model = call.meta.model.as_ref();
        if let Some(model) = model {
            gateway
                .shared
                .usages
                .begin(upstream, model, pending_prompt_tokens);
        }
        Self {
            gateway: Rc::clone(gateway),
            upstream: Arc::clone(&choice.upstream),
            model: model.cloned(),
            pending_prompt_tokens,
            expected_ms: choice.expected_ms,
            sent: now,
            answered: None,
            first: None,
            has_outcome: false,
            is_ended: false,
            slot: call.slot.take(),
            pacing: call
                .prompt_permit
                .take()
                .zip(call.route.longest_pause)
                .map(|(permit, longest_pause)| Box::new(StreamPacing::new(permit, longest_pause))),
            team: call.caller.team().map(|team| team.name.clone()),
            request: call.id.clone(),
            traits: call.traits.clone(),
            starting: Some(StartingSend::begin(gateway, call.traits.clone())),
            waited: now.duration_since(call.began),
            body: None,
            resumes: call.meta.resumes.clone(),
            after: call.last_event_id(),
            forwarded: call.forwarded.as_ref().map(|from| Rc::clone(&from.guard)),
            stream: None,
        }
    }

    /// Records that a part of the answer arrived.
    pub(crate) fn record_contact(&self) {
        let mut reach = self.gateway.shared.reach();
        reach.record_contact(&self.upstream.service, Instant::now());
    }

    /// Records that the head of the answer arrived.
    pub(super) fn record_head(&mut self, connection: ConnectionId, status: StatusCode) {
        self.answered = Some((connection, status));
        self.record_contact();
    }

    /// The upstream that it was sent to.
    pub(super) fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Records that the answer is that of a stream which callers may resume.
    pub(super) fn record_stream(&mut self, call: &Call) {
        self.stream = call.stream;
    }

    /// When the request was sent.
    pub(crate) fn sent_at(&self) -> Instant {
        self.sent
    }

    /// Counts the request as ended in the metrics.
    fn count_end(&self, code: Option<ResultCode>) {
        let metrics = &self.gateway.shared.metrics;
        metrics.request_ended(code, self.model.as_ref());
        if let Some(team) = &self.team {
            metrics.teams.request_ended(team, code);
        }
    }

    /// Called when a part of the answer's body arrives.
    pub(crate) fn record_progress(&mut self) {
        self.record_contact();
        if let Some(pacing) = &mut self.pacing {
            pacing.record_part(&self.gateway, &self.upstream.service, self.sent);
        }
        if let Some(first) = self.first {
            self.record_run(first);
            return;
        }
        let now = Instant::now();
        self.first = Some(now);
        let took = now.duration_since(self.sent);
        if let Some(stream) = self.stream.take() {
            let upstream = &self.upstream;
            let gateway = &self.gateway;
            gateway.record_stream(stream, &upstream.service, &upstream.software);
        }
        self.gateway
            .shared
            .usages
            .read(&self.upstream.id, self.pending_prompt_tokens);
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher.record_prompt_read(&self.upstream.id, self.pending_prompt_tokens);
        dispatcher.record_answer_started(&self.upstream.id, self.expected_ms, took, now);
        let token_ms = dispatcher.prompt_time_ms(1);
        self.gateway.shared.paced.set_fleet_pace(1.0 / token_ms);
    }

    /// Records that the answer has run on since its first part arrived.
    fn record_run(&mut self, first: Instant) {
        let ran = first.elapsed();
        if let Some(starting) = &mut self.starting {
            starting.record_progress(first, ran);
        }
        if let Some(starting) = self.starting.take_if(|_| ran > STARTUP_PERIOD) {
            starting.record_started(first);
        }
    }

    /// Called when the answer is complete: with its last byte, and again if the body is polled
    /// after that.
    pub(crate) fn record_complete(&mut self) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        let now = Instant::now();
        let mut suspects = self.gateway.shared.suspects();
        suspects.record_answered(&self.traits, self.first.unwrap_or(now), now);
        self.gateway.shared.announce_suspects(&suspects);
        drop(suspects);
        self.record_answered();
    }

    /// Called when the answer has ended with its connection, so that it may be whole or not: an
    /// upstream that crashes closes its connections too.
    pub(crate) fn record_closed(&mut self) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        self.record_answered();
        if self.model.is_some() {
            self.check_for_crash();
        }
    }

    fn record_answered(&mut self) {
        if let (Some(_), Some(first)) = (&self.model, self.first) {
            let mut dispatcher = self.gateway.dispatcher.borrow_mut();
            dispatcher.record_slot_time(first.elapsed());
        }
        // Only plain requests report their duration: that of an engine's answer does not tell when
        // a rate limit has room again.
        if let Some(mut slot) = self.slot.take().filter(|_| self.model.is_none()) {
            slot.record_answered(self.sent.elapsed());
        }
        self.count_end(None);
        self.record_outcome(Outcome::Answered);
    }

    /// Called when the answer's body ends early.
    pub(crate) fn record_cut(&mut self, cut: AnswerCut) {
        self.count_end(Some(cut.code()));
        if cut == AnswerCut::Upstream {
            self.record_broken();
        }
        log_event!(
            self.gateway.log, Event::AnswerCut,
            "request" => self.request.to_string(), "upstream" => self.upstream.id.to_string(),
            "digest" => self.traits.digest().to_string(),
            "age_ms" => self.sent.elapsed().as_millis(), "has_begun" => self.first.is_some(),
            "why" => cut.to_string()
        );
    }

    /// Called when the body is not read any more, with what is known of it.
    pub(super) fn record_summary(&mut self, body: BodySummary) {
        self.gateway.shared.metrics.record_body(body);
        self.body = Some(body);
    }

    /// Records that the answer broke off, or that none came.
    pub(crate) fn record_broken(&mut self) {
        self.record_outcome(Outcome::Failed);
    }

    /// Records that the connection to the upstream broke; the upstream may have crashed.
    pub(crate) fn record_disconnected(&mut self) {
        self.record_broken();
        self.check_for_crash();
    }

    fn check_for_crash(&self) {
        let broken = BrokenRequest {
            traits: self.traits.clone(),
            sent: self.sent,
            since_first_event: self.first.map(|first| first.elapsed()),
        };
        self.gateway.check_for_crash(&self.upstream, broken);
    }

    /// Records that the upstream refused the request because it is full.
    pub(crate) fn record_full(&mut self) {
        self.record_slot_end(SlotEnd::Refused);
        self.record_outcome(Outcome::Full);
    }

    fn record_slot_end(&mut self, end: SlotEnd) {
        let is_brittle = self.gateway.shared.is_brittle(&self.upstream.service);
        if let Some(slot) = self.slot.as_mut().filter(|_| is_brittle) {
            slot.record_end(end);
        }
    }

    fn record_outcome(&mut self, outcome: Outcome) {
        if !self.has_outcome {
            self.has_outcome = true;
            self.gateway.shared.metrics.record_send(outcome.name());
            let mut dispatcher = self.gateway.dispatcher.borrow_mut();
            dispatcher.record_outcome(&self.upstream.id, outcome, Instant::now());
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.has_outcome {
            self.record_slot_end(SlotEnd::Abandoned);
        }
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let uses = &self.gateway.shared.usages;
        if self.first.is_none() {
            dispatcher.record_prompt_read(&self.upstream.id, self.pending_prompt_tokens);
            uses.read(&self.upstream.id, self.pending_prompt_tokens);
        }
        dispatcher.record_ended(&self.upstream.id);
        let mut reach = self.gateway.shared.reach();
        reach.record_ended(&self.upstream.service);
        drop(reach);
        if let Some(model) = &self.model {
            uses.end(&self.upstream.id, model);
        }
        let first = self.first.map(|first| first.duration_since(self.sent));
        if let Some(took) = first {
            let metrics = &self.gateway.shared.metrics;
            metrics.first_event(self.waited, took, self.model.as_ref());
        }
        log_event!(
            self.gateway.log, Event::RequestEnded,
            "request" => self.request.to_string(), "upstream" => self.upstream.id.to_string(),
            "digest" => self.traits.digest().to_string(), "parts" => self.traits.parts_to_string(),
            "waited_ms" => self.waited.as_millis(), "expected_ms" => self.expected_ms,
            "first_ms" => first.map(|first| first.as_millis()),
            "took_ms" => self.sent.elapsed().as_millis(), "is_settled" => self.has_outcome,
            "tokens" => self.pending_prompt_tokens,
            "status" => self.answered.map(|(_, status)| status.as_u16()),
            "connection" => self.answered.map(|(connection, _)| connection.to_string()),
            "forwarded_by" => self.forwarded.as_ref().map(|guard| guard.from.to_string()),
            "framing" => self.body.map(|body| body.framing.to_string()),
            "end" => self.body.map(|body| body.end.to_string()),
            "bytes" => self.body.map(|body| body.bytes),
            "is_inside_event" => self.body.map(|body| body.is_inside_event),
            "software" => self.upstream.software.to_string(),
            "resumes" => self.resumes.as_ref().map(ToString::to_string), "after" => self.after,
            "model" => self.model.as_ref().map(ToString::to_string)
        );
    }
}
