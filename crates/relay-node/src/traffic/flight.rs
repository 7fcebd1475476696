//! A request's place in the books while it is at an upstream.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{RequestId, ResultCode, TeamName};
use nutmegsail_relay::{
    BEGINNING, BrokenRequest, Choice, ModelRef, Outcome, RequestDigest, Upstream,
};
use nutmegsail_telemetry::{Event, log_event};

use super::answer_body::AnswerCut;
use super::call::Call;
use super::crash_check::Trial;
use super::gateway::Gateway;
use super::slot_client::SlotPermit;

/// One send. Dropping it at any point, also because the caller went away, settles the books.
pub(crate) struct Flight {
    gateway: Rc<Gateway>,
    upstream: Arc<Upstream>,
    model: Option<ModelRef>,
    unread_tokens: u64,
    expected_ms: f64,
    sent: Instant,
    /// When the answer's body began.
    first: Option<Instant>,
    /// Whether the upstream's books know what became of it. A failure settles them with the answer's head.
    is_settled: bool,
    /// Whether the end of the answer was counted.
    is_ended: bool,
    /// The slot that it takes at a plain upstream.
    slot: Option<SlotPermit>,
    /// The team of its caller.
    team: Option<TeamName>,
    request: RequestId,
    digest: RequestDigest,
    /// Present while its upstream may end under it, if others did.
    trial: Option<Trial>,
    /// How long the request had waited here before it was sent.
    waited: Duration,
}

impl Flight {
    /// Counts `call` as sent to the upstream of `choice`, and takes over the slot that it has there.
    pub(crate) fn begin(gateway: &Rc<Gateway>, call: &Call, choice: &Choice) -> Self {
        let now = Instant::now();
        let upstream = &choice.upstream.id;
        let unread_tokens = choice.unread_tokens;
        let mut dispatcher = gateway.dispatcher.borrow_mut();
        dispatcher.sent(upstream, unread_tokens, now);
        drop(dispatcher);
        let model = call.meta.model.as_ref();
        if let Some(model) = model {
            gateway.shared.uses.begin(upstream, model, unread_tokens);
        }
        Self {
            gateway: Rc::clone(gateway),
            upstream: Arc::clone(&choice.upstream),
            model: model.cloned(),
            unread_tokens,
            expected_ms: choice.expected_ms,
            sent: now,
            first: None,
            is_settled: false,
            is_ended: false,
            slot: call.slot.take(),
            team: call.caller.team().map(|team| team.name.clone()),
            request: call.id.clone(),
            digest: call.digest,
            trial: Trial::begin(gateway, call.digest),
            waited: now.duration_since(call.began),
        }
    }

    /// Counts the request as ended.
    fn count_end(&self, code: Option<ResultCode>) {
        let metrics = &self.gateway.shared.metrics;
        metrics.request_ended(code, self.model.as_ref());
        if let Some(team) = &self.team {
            metrics.teams.request_ended(team, code);
        }
    }

    /// Part of the answer's body came.
    pub(crate) fn note_progress(&mut self) {
        if let Some(first) = self.first {
            self.trial.take_if(|_| first.elapsed() > BEGINNING);
            return;
        }
        let now = Instant::now();
        self.first = Some(now);
        let took = now.duration_since(self.sent);
        self.gateway
            .shared
            .uses
            .read(&self.upstream.id, self.unread_tokens);
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher.prompt_read(&self.upstream.id, self.unread_tokens);
        dispatcher.answer_began(&self.upstream.id, self.expected_ms, took, now);
    }

    /// The answer ended whole. Told with its last byte and again by whoever polls past that.
    pub(crate) fn note_whole(&mut self) {
        if std::mem::replace(&mut self.is_ended, true) {
            return;
        }
        if let (Some(_), Some(first)) = (&self.model, self.first) {
            let mut dispatcher = self.gateway.dispatcher.borrow_mut();
            dispatcher.note_run(first.elapsed());
        }
        // How long an engine takes for its answer says nothing of when its limit has room.
        if let Some(mut slot) = self.slot.take().filter(|_| self.model.is_none()) {
            slot.note_answered(self.sent.elapsed());
        }
        self.gateway
            .shared
            .suspects()
            .clear(&self.digest, Instant::now());
        self.count_end(None);
        self.settle(Outcome::Answered);
    }

    /// The answer's body ended early.
    pub(crate) fn note_cut(&mut self, cut: AnswerCut) {
        self.count_end(Some(cut.code()));
        if cut == AnswerCut::Upstream {
            self.note_broken();
        }
        log_event!(
            self.gateway.log, Event::AnswerCut,
            "request" => self.request.to_string(), "upstream" => self.upstream.id.to_string(),
            "digest" => self.digest.to_string(),
            "age_ms" => self.sent.elapsed().as_millis(), "has_begun" => self.first.is_some(),
            "why" => cut.to_string()
        );
    }

    /// The answer broke off, or was none.
    pub(crate) fn note_broken(&mut self) {
        self.settle(Outcome::Failed);
    }

    /// The connection to the upstream broke: it may have ended.
    pub(crate) fn note_disconnected(&mut self) {
        self.note_broken();
        let broken = BrokenRequest {
            digest: self.digest,
            began_ago: self.first.map(|first| first.elapsed()),
        };
        self.gateway.note_broken(&self.upstream, broken);
    }

    /// The upstream had no room.
    pub(crate) fn note_full(&mut self) {
        self.settle(Outcome::Full);
    }

    fn settle(&mut self, outcome: Outcome) {
        if !self.is_settled {
            self.is_settled = true;
            self.gateway.shared.metrics.sent(outcome.name());
            let mut dispatcher = self.gateway.dispatcher.borrow_mut();
            dispatcher.note_outcome(&self.upstream.id, outcome, Instant::now());
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        let uses = &self.gateway.shared.uses;
        if self.first.is_none() {
            dispatcher.prompt_read(&self.upstream.id, self.unread_tokens);
            uses.read(&self.upstream.id, self.unread_tokens);
        }
        dispatcher.ended(&self.upstream.id);
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
            "digest" => self.digest.to_string(),
            "waited_ms" => self.waited.as_millis(), "expected_ms" => self.expected_ms,
            "first_ms" => first.map(|first| first.as_millis()),
            "took_ms" => self.sent.elapsed().as_millis(), "is_settled" => self.is_settled,
            "tokens" => self.unread_tokens,
            "model" => self.model.as_ref().map(ToString::to_string)
        );
    }
}
