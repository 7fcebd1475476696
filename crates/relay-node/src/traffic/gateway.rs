//! Routes callers' requests to upstreams, with waits, retries and refusals.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::{Response, StatusCode};
use nutmegsail_base::{FailureDomain, NodeId, ResultCode, RunState, ServiceName, UpstreamId};
use nutmegsail_http_pool::{Pool, PoolSettings};
use nutmegsail_relay::{
    Choice, ChooseError as NoChoice, CrashWatch, DispatchRequest, Dispatcher, ForwardPeers,
    HeldEvents, LoadPurpose, RetryBudget, RetryBudgetRules, ShutdownSchedule, Suspicion,
    UsualTimeout, jittered_retry_after,
};
use nutmegsail_request::{AfterFailure, Dispatched, Queued, Refusal, Request, Uncertain};
use nutmegsail_telemetry::{Event, log_event};
use slog::Logger;
use tokio::sync::Notify;

use super::adapter_loads::{COPY_TIMEOUT, adapter_wait_deadline, load_purpose};
use super::answer_body::AnswerBody;
use super::call::Call;
use super::forward::{Forwarded, PeerAnswered};
use super::forwarders::ForwardedCalls;
use super::limits::LocalRateBuckets;
use super::overload::Overload;
use super::peer_socket::PeerSocket;
use super::plain_slot::PermitResult;
use super::prompt_client::PromptClient;
use super::quota_client::QuotaClient;
use super::refuse::{self, RefusalReason};
use super::resume::Resumption;
use super::send::{SendOutcome, pass_on_from};
use super::slot_client::SlotClient;
use super::stream_origin::StreamSearches;
use crate::shared::{Shared, View};
use crate::{BoundSettings, CONNECT_TIMEOUT, Dialect, Verdict};

/// Idle time after which a connection is closed if the upstream did not state a keep-alive time.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(800);

/// How many upstreams may refuse one request before it is refused to the caller. Every such send
/// counts against the retry budget.
const MAX_REFUSALS: usize = 4;

/// Retry-After when all upstreams are busy. An engine processes its waiting prompts in some 300 ms.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(350);

/// Retry-After when no upstream or no configuration is known.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(700);

/// The fraction used of the period in which requests may still start on an adapter's old version.
/// Updates take up to 0.7 s to reach this node, and under load a prompt waits 2 s or more at an
/// engine before it starts. Loading the new version takes half a second.
const VERSION_OVERLAP_FRACTION: f64 = 0.3;

/// The fraction used of the drain period in which a leaving upstream may still get requests. Only
/// requests that no other upstream can serve use it; the rest of the period covers requests in
/// transit.
const LEAVING_GRACE_FRACTION: f64 = 0.8;

/// A request with less time left than this is refused, as no answer could arrive in time.
const MIN_REMAINING: Duration = Duration::from_millis(5);

/// The arguments of [`Gateway::new`].
pub(crate) struct GatewayParts {
    pub(crate) node: NodeId,
    pub(crate) shared: Arc<Shared>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) failure_domain: FailureDomain,
    pub(crate) bounds: BoundSettings,
    pub(crate) peer_socket: PeerSocket,
    pub(crate) log: Logger,
}

/// State of the traffic thread.
pub(crate) struct Gateway {
    /// This node's id, and where it is.
    pub(super) node: NodeId,
    pub(super) failure_domain: FailureDomain,
    pub(crate) shared: Arc<Shared>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) pool: Pool,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    pub(super) crash_watch: RefCell<CrashWatch>,
    pub(super) local_rate_buckets: RefCell<LocalRateBuckets>,
    /// The [`RateLimits`](nutmegsail_relay::RateLimits) change count that the dispatcher was last
    /// updated to.
    applied_limits: Cell<u64>,
    /// The [`UpstreamNotices`](nutmegsail_relay::UpstreamNotices) change count that the dispatcher
    /// was last updated to.
    applied_notices: Cell<u64>,
    pub(crate) bounds: BoundSettings,
    pub(crate) peer_socket: Rc<PeerSocket>,
    pub(crate) quotas: Rc<QuotaClient>,
    pub(crate) slots: Rc<SlotClient>,
    pub(super) prompts: Rc<PromptClient>,
    /// Per route, the wait limits that callers have stated.
    pub(super) usual_timeouts: RefCell<HashMap<Arc<str>, UsualTimeout>>,
    /// The nodes that requests are forwarded to while their upstreams cannot be reached.
    pub(super) forward_peers: RefCell<ForwardPeers>,
    /// The requests of other nodes that this one handles.
    pub(super) forwarded_calls: ForwardedCalls,
    /// Notified when a probe may be due before the next regular check.
    pub(super) reach_suspected: Notify,
    /// Notified when a service can no longer be reached, or can be reached again.
    pub(super) reach_changed: Notify,
    pub(crate) log: Logger,
    /// When the node began to shut down.
    pub(crate) leaving_since: Cell<Option<Instant>>,
    /// The stages of a shutdown, once it has begun.
    pub(crate) shutdown: ShutdownSchedule,
    /// Whether callers' new connections are served.
    pub(super) overload: Overload,
    /// Number of requests waiting for a base model.
    pub(super) model_waiters: Cell<usize>,
    /// Number of requests waiting for updates that may contain their API key.
    pub(super) key_waiters: Cell<usize>,
    retry_budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    applied_view: Cell<u64>,
    /// What streams hold of incomplete events.
    pub(super) held_events: HeldEvents,
    /// Streams whose software version is being sought.
    pub(super) streams_sought: Rc<RefCell<StreamSearches>>,
}

/// A request that is not at an upstream: queued, or to be sent again.
pub(super) enum PendingRequest {
    /// No upstream has run it.
    NotRun(Request<Queued>),
    /// An upstream may have run it.
    MayHaveRun(Request<Uncertain>),
}

impl PendingRequest {
    fn give_up(self, code: ResultCode, detail: &str) -> Refusal {
        match self {
            Self::NotRun(request) => Refusal::not_run(request.not_run(), code, detail),
            Self::MayHaveRun(_) => {
                // A code that means "not run" would make callers repeat a request that may have
                // run.
                let code = match code {
                    ResultCode::DeadlineUnreachable => ResultCode::DeadlinePassed,
                    ResultCode::CrashesUpstreams | ResultCode::PromptPartCrashesUpstreams => code,
                    _ => ResultCode::UpstreamFailed,
                };
                Refusal::may_have_run(code, detail)
            }
        }
    }

    /// A request that was accepted, and sent before as `sends` says.
    pub(super) fn accept(call: &Call, sends: &SendHistory) -> Self {
        let request = Request::accept(call.id.clone()).queue();
        match sends.may_have_run {
            0 => Self::NotRun(request),
            _ => {
                let sent = request.dispatch(UpstreamId::from(""));
                sent.refused_by_node(RunState::MayHaveRun).into()
            }
        }
    }

    pub(super) fn dispatch(self, upstream: &UpstreamId) -> Request<Dispatched> {
        match self {
            Self::NotRun(request) => request.dispatch(upstream.clone()),
            Self::MayHaveRun(request) => request.dispatch_again(upstream.clone()),
        }
    }
}

impl From<AfterFailure> for PendingRequest {
    fn from(after: AfterFailure) -> Self {
        match after {
            AfterFailure::NotRun(request) => Self::NotRun(request),
            AfterFailure::MayHaveRun(request) => Self::MayHaveRun(request),
        }
    }
}

/// What happened to the sends of one request so far.
#[derive(Clone, Default)]
pub(crate) struct SendHistory {
    /// Upstreams that are not tried again.
    pub(crate) tried: Vec<UpstreamId>,
    /// Sends that reached an upstream.
    pub(crate) arrived: usize,
    /// Sends that the upstream may have run.
    pub(crate) may_have_run: u32,
    /// Whether an engine that was listed as holding the adapter did not hold it.
    pub(super) was_misdirected: bool,
}

impl SendHistory {
    /// Records a send to `upstream` that may have run the request.
    pub(crate) fn record_uncertain_send(&mut self, upstream: &UpstreamId) {
        self.arrived += 1;
        self.may_have_run += 1;
        self.tried.push(upstream.clone());
    }
}

impl Gateway {
    pub(crate) fn new(parts: GatewayParts) -> Self {
        let pool = Pool::new(PoolSettings {
            connect_timeout: CONNECT_TIMEOUT,
            unstated_idle_timeout: DEFAULT_KEEP_ALIVE,
            ..PoolSettings::default()
        });
        let peer_socket = Rc::new(parts.peer_socket);
        let forward_peers = ForwardPeers::new(parts.failure_domain.clone());
        let failure_domain = parts.failure_domain.clone();
        let mut dispatcher = Dispatcher::new(parts.failure_domain);
        dispatcher.set_leaving_grace(parts.bounds.drain().mul_f64(LEAVING_GRACE_FRACTION));
        Self {
            node: parts.node,
            failure_domain,
            forward_peers: RefCell::new(forward_peers),
            forwarded_calls: ForwardedCalls::default(),
            reach_suspected: Notify::new(),
            reach_changed: Notify::new(),
            shared: parts.shared,
            dialect: parts.dialect,
            pool,
            dispatcher: RefCell::new(dispatcher),
            crash_watch: RefCell::default(),
            local_rate_buckets: RefCell::default(),
            applied_limits: Cell::new(0),
            applied_notices: Cell::new(0),
            shutdown: ShutdownSchedule::within(parts.bounds.grace()),
            bounds: parts.bounds,
            quotas: Rc::new(QuotaClient::new(Rc::clone(&peer_socket))),
            slots: Rc::new(SlotClient::new(Rc::clone(&peer_socket))),
            prompts: Rc::new(PromptClient::new(Rc::clone(&peer_socket))),
            peer_socket,
            usual_timeouts: RefCell::default(),
            log: parts.log,
            leaving_since: Cell::new(None),
            overload: Overload::default(),
            model_waiters: Cell::new(0),
            key_waiters: Cell::new(0),
            retry_budgets: RefCell::default(),
            applied_view: Cell::new(0),
            held_events: HeldEvents::default(),
            streams_sought: Rc::default(),
        }
    }

    /// Number of open caller connections.
    pub(crate) fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Loads the latest view and applies it, and all other updates, to the dispatcher.
    pub(crate) fn refresh_view(&self) -> Arc<View> {
        let view = self.shared.view.load_full();
        let is_new = self.applied_view.replace(view.number) != view.number;
        if is_new {
            let mut dispatcher = self.dispatcher.borrow_mut();
            dispatcher.set_upstreams(&view.upstreams, Instant::now());
            dispatcher.set_load_times(&view.load_times);
            drop(dispatcher);
            let peers = view.peers.iter().cloned();
            self.forward_peers.borrow_mut().set_peers(peers);
        }
        self.apply_limits();
        self.apply_notices(is_new);
        let updates = self.shared.owner_updates.take();
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.merge_domain_contacts(&updates.domains);
        for (engine, update) in updates.engines {
            dispatcher.record_owner_report(&engine, &update.holdings, update.report);
        }
        for (engine, pace) in updates.paces {
            dispatcher.set_pace(&engine, pace.tokens_per_ms(), pace.received_at());
        }
        drop(dispatcher);
        for copies in updates.copies {
            self.request_copies(&view, copies);
        }
        view
    }

    /// Applies changed upstream rate limits to the dispatcher.
    fn apply_limits(&self) {
        let limits = self.shared.limits();
        if self.applied_limits.replace(limits.change_count()) != limits.change_count() {
            let mut dispatcher = self.dispatcher.borrow_mut();
            dispatcher.set_limited(|upstream| limits.per_s(upstream).is_some());
        }
    }

    /// Applies changed notices to the dispatcher; on a new view always, as it may list upstreams
    /// again.
    fn apply_notices(&self, is_new_view: bool) {
        let (notices, now) = (self.shared.notices(), Instant::now());
        if self.applied_notices.replace(notices.change_count()) != notices.change_count()
            || is_new_view
        {
            let mut dispatcher = self.dispatcher.borrow_mut();
            dispatcher.set_carried_leaving(|upstream| notices.carried_leaving_since(upstream));
            dispatcher.set_backoffs(|upstream| {
                let until = notices.backoff_until(upstream);
                until.filter(|until| now < *until)
            });
        }
    }

    /// How long requests may still start on the old version of an adapter.
    pub(super) fn version_overlap(&self) -> Duration {
        self.bounds.version().mul_f64(VERSION_OVERLAP_FRACTION)
    }

    /// Updates the versions that `call` may start on; its wait so far may have outlasted an overlap.
    fn update_version_rule(&self, call: &Call) {
        if let Some(model) = &call.meta.model {
            let view = self.shared.view.load();
            let overlap = self.version_overlap();
            let rule = view.versions.rule(model, overlap, Instant::now());
            call.version.set(rule);
        }
    }

    /// Sends `call` to one upstream after another until one answers, or answers with a refusal. If
    /// none can be reached from here, another node handles it.
    pub(crate) async fn handle(self: &Rc<Self>, call: &Rc<Call>) -> Response<AnswerBody> {
        let mut sends = match &call.forwarded {
            Some(from) => from.sends.clone(),
            None => SendHistory::default(),
        };
        let mut pending = PendingRequest::accept(call, &sends);
        if let Err(reason) = self.check_suspicion(call) {
            return self.refuse(call, pending, reason, &sends);
        }
        if let Err(reason) = self.check_forward_limit(call) {
            return self.refuse(call, pending, reason, &sends);
        }
        let mut is_demand_counted = false;
        loop {
            if let Err(reason) = self.check_forwarded_reach(call) {
                return self.refuse(call, pending, reason, &sends);
            }
            if self.should_forward(call) {
                match self.forward_to_peers(call, pending, &mut sends, None).await {
                    Forwarded::Answer(answered) => {
                        let PeerAnswered { answer, in_flight } = *answered;
                        return pass_on_from(call, answer, in_flight.into());
                    }
                    Forwarded::Lost(lost) => {
                        let reason = RefusalReason::without_retry(ResultCode::UpstreamFailed);
                        return self.refuse(call, lost, reason, &sends);
                    }
                    Forwarded::NotTaken(not_taken, reason) if self.is_out_of_reach(call) => {
                        return self.refuse(call, not_taken, reason, &sends);
                    }
                    Forwarded::NotTaken(not_taken, _) => pending = not_taken,
                }
            }
            if !std::mem::replace(&mut is_demand_counted, true) {
                self.count_model_demand(call);
            }
            let next = tokio::select! {
                biased;
                next = self.next_upstream(call, &sends) => next,
                () = self.until_out_of_reach(call) => continue,
            };
            let choice = match next {
                Ok(choice) => choice,
                Err(reason) => return self.refuse(call, pending, reason, &sends),
            };
            let dispatched = pending.dispatch(&choice.upstream.id);
            let has_alternative = self.may_retry(call, &sends, &choice);
            let run_state = match self.send(call, &choice, has_alternative, None).await {
                SendOutcome::Answer(received) => {
                    let resumption = (received.answer.status() == StatusCode::OK)
                        .then(|| Resumption::of(self, call, &sends, &choice.upstream));
                    return self.pass_on(call, received, resumption.flatten());
                }
                SendOutcome::Failed(received) => {
                    if !self.may_retry(call, &sends, &choice) {
                        return self.pass_on(call, received, None);
                    }
                    sends.arrived += 1;
                    sends.may_have_run += 1;
                    RunState::MayHaveRun
                }
                SendOutcome::NotArrived => RunState::NotRun,
                SendOutcome::Refused(verdict) => {
                    sends.arrived += 1;
                    if verdict == Verdict::Misdirected && call.meta.model.is_some() {
                        // Not added to `tried`: unlike a failed upstream, it may hold the adapter
                        // soon.
                        sends.was_misdirected = true;
                        pending = dispatched.refused_by_node(RunState::NotRun).into();
                        continue;
                    }
                    RunState::NotRun
                }
                SendOutcome::Lost => {
                    sends.arrived += 1;
                    sends.may_have_run += 1;
                    RunState::MayHaveRun
                }
                SendOutcome::TimedOut => {
                    let after: PendingRequest =
                        dispatched.refused_by_node(RunState::MayHaveRun).into();
                    let refusal = after.give_up(ResultCode::DeadlineUnreachable, "");
                    return self.give_up(call, &refusal, &sends);
                }
            };
            pending = dispatched.refused_by_node(run_state).into();
            sends.tried.push(choice.upstream.id.clone());
            let is_lost = matches!(pending, PendingRequest::MayHaveRun(_));
            let may_retry =
                call.route.kind.may_retry() && sends.may_have_run < call.route.max_attempts;
            if is_lost && !may_retry {
                let refusal = pending.give_up(ResultCode::UpstreamFailed, "");
                return self.give_up(call, &refusal, &sends);
            }
        }
    }

    /// Whether `call` may be sent again if the send to `last` fails: its kind, the attempts left
    /// and the retry budget allow it, and another upstream is available.
    fn may_retry(&self, call: &Call, sends: &SendHistory, last: &Choice) -> bool {
        let is_allowed =
            call.route.kind.may_retry() && sends.may_have_run + 1 < call.route.max_attempts;
        is_allowed && self.has_alternative(call, sends, last)
    }

    fn has_alternative(&self, call: &Call, sends: &SendHistory, last: &Choice) -> bool {
        let mut tried = sends.tried.clone();
        tried.push(last.upstream.id.clone());
        let now = Instant::now();
        let dispatcher = self.dispatcher.borrow();
        let choice = dispatcher.choose(&need(call, &tried), now, &mut rand::rng());
        (choice.is_ok() || self.is_out_of_reach(call))
            && self.with_budget(call, |budget, nodes| budget.has_retry(nodes, now))
    }

    fn refuse(
        &self,
        call: &Call,
        pending: PendingRequest,
        reason: RefusalReason,
        sends: &SendHistory,
    ) -> Response<AnswerBody> {
        let mut refusal = pending.give_up(reason.code, "");
        refusal.retry_after = reason.retry_after;
        self.give_up(call, &refusal, sends)
    }

    /// Records a refusal in metrics and the log, and builds the answer.
    fn give_up(&self, call: &Call, refusal: &Refusal, sends: &SendHistory) -> Response<AnswerBody> {
        if refusal.run_state() == RunState::NotRun {
            self.return_tokens(call);
        }
        let model = call.meta.model.as_ref();
        let configured_model = model.filter(|model| self.is_configured(call, model, 1));
        let metrics = &self.shared.metrics;
        metrics.request_ended(Some(refusal.code), configured_model);
        if let Some(team) = call.caller.team() {
            metrics.teams.request_ended(&team.name, Some(refusal.code));
        }
        let tried: Vec<&str> = sends.tried.iter().map(|id| id.as_str()).collect();
        let now = Instant::now();
        let upstreams = self.dispatcher.borrow().overview(&call.service, now);
        log_event!(
            self.log, Event::RequestRefused,
            "request" => call.id.to_string(), "digest" => call.traits.digest().to_string(),
            "parts" => call.traits.parts_to_string(),
            "route" => call.route.name.to_string(),
            "code" => refusal.code.to_string(),
            "team" => call.caller.team().map(|team| team.name.to_string()), "run_state" => refusal.run_state().to_string(),
            "age_ms" => call.began.elapsed().as_millis(),
            "remaining_ms" => call.remaining(now).as_millis(),
            "eligible" => upstreams.eligible, "failing" => upstreams.failing,
            "answer_age_ms" => upstreams.answer_age.map(|age| age.as_millis()),
            "model" => call.meta.model.as_ref().map(ToString::to_string),
            "forwarded_by" => call.forwarded.as_ref().map(|from| from.guard.from.to_string()),
            "arrived" => sends.arrived, "tried" => tried.join(","),
            "view" => self.applied_view.get()
        );
        refuse::answer(refusal, &call.id)
    }

    /// Chooses the next upstream for `call`, waiting for adapters, slots and limits as needed. The
    /// error says which code to refuse the call with and when the caller may retry.
    pub(crate) async fn next_upstream(
        &self,
        call: &Call,
        sends: &SendHistory,
    ) -> Result<Choice, RefusalReason> {
        let mut adapter_deadline = adapter_wait_deadline(call);
        let mut may_load_copy = sends.arrived == 0;
        let mut limited: Vec<(Duration, Choice)> = Vec::new();
        // Whether an engine of `limited` holds prompts back.
        let mut is_paced = false;
        loop {
            self.wait_for_trials(call).await?;
            self.admit(call).await?;
            let now = Instant::now();
            if call.remaining(now) < MIN_REMAINING {
                return Err(busy_refusal(ResultCode::DeadlineUnreachable));
            }
            if sends.arrived >= MAX_REFUSALS {
                return Err(busy_refusal(ResultCode::UpstreamRefused));
            }
            self.refresh_view();
            self.update_version_rule(call);
            self.update_software_rule(call);
            match self.choose_not_busy(call, sends, &limited) {
                Ok(choice) if may_load_copy && self.is_sooner_elsewhere(call, &choice, now) => {
                    // One attempt only: even if the load fails, the request then goes to the best
                    // engine.
                    may_load_copy = false;
                    let purpose = load_purpose(call, &choice);
                    self.load_adapter(call, sends, purpose, COPY_TIMEOUT).await;
                }
                Ok(choice) => {
                    let choice = match call.meta.model {
                        Some(_) => {
                            let permit = self.take_engine_permit(call, &choice, false).await;
                            if let PermitResult::Busy(wait) = permit {
                                limited.push((wait, choice));
                                continue;
                            }
                            let permit = self.take_prompt_permit(call, &choice, false).await?;
                            if let PermitResult::Busy(wait) = permit {
                                call.slot.take();
                                is_paced = true;
                                limited.push((wait, choice));
                                continue;
                            }
                            choice
                        }
                        None => self.take_slot(call, sends, choice).await?,
                    };
                    if self.may_send(call, &choice) {
                        return self.charge_send(call, sends, choice);
                    }
                }
                Err(NoChoice::AdapterAbsent)
                    if is_paced && may_load_copy && self.is_load_sooner(call, &limited, now) =>
                {
                    may_load_copy = false;
                    let purpose = LoadPurpose::Copy;
                    self.load_adapter(call, sends, purpose, COPY_TIMEOUT).await;
                }
                // Engines that hold prompts back have room sooner than the adapter is loaded
                // elsewhere.
                Err(NoChoice::AdapterAbsent) if is_paced && !limited.is_empty() => {
                    let limited = std::mem::take(&mut limited);
                    if let Some(choice) = self.wait_at_soonest(call, sends, limited).await? {
                        return Ok(choice);
                    }
                }
                // Slots of a brittle engine become free sooner than its adapters are loaded elsewhere.
                Err(NoChoice::AdapterAbsent)
                    if !limited.is_empty() && self.shared.is_brittle(&call.service) =>
                {
                    let limited = std::mem::take(&mut limited);
                    if let Some(choice) = self.wait_at_soonest(call, sends, limited).await? {
                        return Ok(choice);
                    }
                }
                Err(NoChoice::NoUpstream | NoChoice::AllBusy) if !limited.is_empty() => {
                    let limited = std::mem::take(&mut limited);
                    if let Some(choice) = self.wait_at_soonest(call, sends, limited).await? {
                        return Ok(choice);
                    }
                }
                Err(NoChoice::NoUpstream) => {
                    if !self.wait_for_listed_software(call).await {
                        return Err(self.refusal_without_upstream(call, sends, now));
                    }
                }
                Err(NoChoice::AllBusy) => {
                    return Err(busy_refusal(ResultCode::UpstreamRefused));
                }
                Err(NoChoice::AdapterAbsent) if !self.has_base(call, now) => {
                    if !self.wait_for_base_model(call).await {
                        return Err(RefusalReason::retry_in(
                            ResultCode::AdapterNotReady,
                            UNAVAILABLE_RETRY_AFTER,
                        ));
                    }
                    adapter_deadline = adapter_wait_deadline(call);
                }
                Err(NoChoice::AdapterAbsent) => {
                    let wait = adapter_deadline.saturating_duration_since(now);
                    let purpose = LoadPurpose::Miss;
                    if !self.load_adapter(call, sends, purpose, wait).await {
                        if limited.is_empty() {
                            return Err(busy_refusal(ResultCode::AdapterNotReady));
                        }
                        let limited = std::mem::take(&mut limited);
                        if let Some(choice) = self.wait_at_soonest(call, sends, limited).await? {
                            return Ok(choice);
                        }
                    }
                }
            }
        }
    }

    /// Waits at the upstream of `busy` where a slot or permit is expected soonest. Returns `None` if
    /// that upstream may not be sent to any more.
    async fn wait_at_soonest(
        &self,
        call: &Call,
        sends: &SendHistory,
        busy: Vec<(Duration, Choice)>,
    ) -> Result<Option<Choice>, RefusalReason> {
        let choice = self.queue_at_soonest(call, busy).await?;
        match self.may_send(call, &choice) {
            true => self.charge_send(call, sends, choice).map(Some),
            false => Ok(None),
        }
    }

    /// The refusal when no upstream can be chosen: all have asked for backoff, or none is known.
    fn refusal_without_upstream(
        &self,
        call: &Call,
        sends: &SendHistory,
        now: Instant,
    ) -> RefusalReason {
        if self.is_software_gone(call) {
            return RefusalReason::without_retry(ResultCode::SoftwareVersionGone);
        }
        let dispatcher = self.dispatcher.borrow();
        let Some(backoff_end) = dispatcher.backoff_ends(&need(call, &sends.tried), now) else {
            return RefusalReason::retry_in(ResultCode::NoUpstream, UNAVAILABLE_RETRY_AFTER);
        };
        let wait = backoff_end.saturating_duration_since(now);
        let after = jittered_retry_after(wait, call.priority(), &mut rand::rng());
        RefusalReason::retry_in(ResultCode::UpstreamRefused, after)
    }

    /// Checks that `call` may still be sent to `choice` after the wait for its slot or rate permit,
    /// and returns the slot if not.
    fn may_send(&self, call: &Call, choice: &Choice) -> bool {
        self.update_version_rule(call);
        let rule = call.version.get();
        let dispatcher = self.dispatcher.borrow();
        // Upstreams may have ended under it meanwhile, or a copy of it may have been sent.
        let may_send = self.suspicion(&call.traits) == Suspicion::None
            && dispatcher.may_send(&choice.upstream.id, Instant::now())
            && choice.version.is_none_or(|version| rule.allows(version));
        if !may_send {
            call.slot.take();
            call.prompt_permit.take();
        }
        may_send
    }

    /// Counts the send against the retry budget and returns `choice`.
    fn charge_send(
        &self,
        call: &Call,
        sends: &SendHistory,
        choice: Choice,
    ) -> Result<Choice, RefusalReason> {
        let now = Instant::now();
        if !self.charge_retry_budget(call, sends, now) {
            return Err(busy_refusal(ResultCode::RetryBudgetSpent));
        }
        if !choice.is_preferred || choice.is_leaving {
            // Starts a load at another engine, or of the newer version, without waiting for it.
            let _ = self.request_load(call, false, LoadPurpose::Miss, now);
        }
        Ok(choice)
    }

    /// Takes a permit at an engine that has a rate limit or is brittle.
    pub(super) async fn take_engine_permit(
        &self,
        call: &Call,
        choice: &Choice,
        may_queue: bool,
    ) -> PermitResult {
        let is_limited = self.shared.limits().per_s(&choice.upstream.id).is_some();
        if !is_limited && !self.shared.is_brittle(&choice.upstream.service) {
            return PermitResult::Taken;
        }
        self.request_permit(call, choice, may_queue).await
    }

    fn is_sooner_elsewhere(&self, call: &Call, choice: &Choice, now: Instant) -> bool {
        self.is_expected_sooner_elsewhere(call, choice.expected_ms, now)
    }

    /// Whether `call` would get its first event much sooner by a load on another engine than by a
    /// wait of `expected_ms`.
    pub(super) fn is_expected_sooner_elsewhere(
        &self,
        call: &Call,
        expected_ms: f64,
        now: Instant,
    ) -> bool {
        let dispatcher = self.dispatcher.borrow();
        dispatcher.is_sooner_elsewhere(&need(call, &[]), expected_ms, now)
    }

    pub(super) fn choose(
        &self,
        call: &Call,
        sends: &SendHistory,
        now: Instant,
    ) -> Result<Choice, NoChoice> {
        let need = need(call, &sends.tried);
        let dispatcher = self.dispatcher.borrow();
        match self.suspected_part(call) {
            Some(suspected) => dispatcher.choose_apart(&suspected, &need, now, &mut rand::rng()),
            None => dispatcher.choose(&need, now, &mut rand::rng()),
        }
    }

    /// Counts a send against the retry budget; false if the budget is used up.
    fn charge_retry_budget(&self, call: &Call, sends: &SendHistory, now: Instant) -> bool {
        self.with_budget(call, |budget, nodes| match sends.arrived {
            0 => {
                budget.count_first(now);
                true
            }
            _ => budget.take_retry(nodes, now),
        })
    }

    fn with_budget<R>(&self, call: &Call, f: impl FnOnce(&mut RetryBudget, usize) -> R) -> R {
        let nodes = self.shared.view.load().nodes;
        let mut retry_budgets = self.retry_budgets.borrow_mut();
        let budget = retry_budgets
            .entry(call.service.clone())
            .or_insert_with(|| RetryBudget::new(self.retry_rules()));
        f(budget, nodes)
    }

    fn retry_rules(&self) -> RetryBudgetRules {
        RetryBudgetRules {
            ratio: self.bounds.retry_ratio,
            slack: self.bounds.retry_slack,
            window: Duration::from_secs_f64(self.bounds.retry_window_s),
        }
    }
}

/// A refusal with the Retry-After of a busy service.
fn busy_refusal(code: ResultCode) -> RefusalReason {
    RefusalReason::retry_in(code, BUSY_RETRY_AFTER)
}

fn need<'a>(call: &'a Call, tried: &'a [UpstreamId]) -> DispatchRequest<'a> {
    DispatchRequest {
        service: &call.service,
        model: call.meta.model.as_ref(),
        version: call.version.get(),
        software: call.software(),
        prompt_tokens: call.meta.prompt_tokens,
        prompt: &call.prompt,
        longest_pause: call.route.longest_pause,
        tried,
    }
}
