//! Takes concurrency slots of plain upstreams, and permits of rate-limited upstreams, for requests.

use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::ResultCode;
use nutmegsail_relay::{Choice, ChooseError as NoChoice, SlotRequest, Upstream};
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::call::Call;
use super::gateway::{Gateway, SendHistory};
use super::refuse::RefusalReason;
use super::slot_client::SlotOutcome;

/// How long beyond the latency objective a request may wait for a slot. After that its caller may
/// be served sooner by a retry.
const MAX_LATENESS: Duration = Duration::from_millis(600);

/// The shortest Retry-After for a caller whose request found no slot.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The fraction of a brittle upstream's slots that nodes share equally while the granting node does
/// not answer, as a divisor. It may go on granting slots to others.
const BRITTLE_SHARE_DIVISOR: usize = 2;

/// The limit on a node's requests at a plain upstream while the granting node does not answer, as a
/// multiple of the upstream's slots. The granting node has about the same limit.
const MAX_UNANSWERED_SLOTS: usize = 3;

/// The result of asking for a slot or a rate permit.
pub(super) enum PermitResult {
    /// The request may be sent.
    Taken,
    /// The request may not be sent; a slot or permit should be free after this time.
    Busy(Duration),
}

/// How often a request checks whether the first answer of its service has come.
const FIRST_ANSWER_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How often the slots that are held at brittle upstreams are renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(250);

/// Renews the slots that are held at brittle upstreams, forever.
pub(crate) async fn renew_slots(gateway: Rc<Gateway>) {
    let mut ticks = interval(RENEWAL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let view = gateway.shared.view.load_full();
        let dispatcher = gateway.dispatcher.borrow();
        gateway.slots.renew(|id| {
            let service = &dispatcher.tracked(id)?.upstream.service;
            let is_brittle = gateway.shared.is_brittle(service);
            view.slot_issuers.get(id).filter(|_| is_brittle).copied()
        });
    }
}

impl Gateway {
    /// Takes a slot for a plain request: at `first`, else at another upstream with a free slot,
    /// else in the queue of the upstream whose slot is expected soonest.
    pub(super) async fn take_slot(
        &self,
        call: &Call,
        sends: &SendHistory,
        first: Choice,
    ) -> Result<Choice, RefusalReason> {
        let mut busy: Vec<(Duration, Choice)> = Vec::new();
        let mut next = Ok(first);
        while let Ok(choice) = next {
            match self.request_permit(call, &choice, false).await {
                PermitResult::Taken => return Ok(choice),
                PermitResult::Busy(wait) => busy.push((wait, choice)),
            }
            next = self.choose_not_busy(call, sends, &busy);
        }
        self.queue_at_soonest(call, busy).await
    }

    /// Waits at the upstream where a slot or permit is expected soonest, if that is soon enough.
    pub(super) async fn queue_at_soonest(
        &self,
        call: &Call,
        busy: Vec<(Duration, Choice)>,
    ) -> Result<Choice, RefusalReason> {
        let soonest = busy.into_iter().min_by_key(|(wait, _)| *wait);
        let Some((_, choice)) = soonest else {
            return Err(RefusalReason::retry_in(
                ResultCode::UpstreamRefused,
                MIN_RETRY_AFTER,
            ));
        };
        let permit = match call.meta.model {
            Some(_) => self.queue_at_engine(call, &choice).await?,
            None => self.request_permit(call, &choice, true).await,
        };
        match permit {
            PermitResult::Taken => Ok(choice),
            PermitResult::Busy(wait) => {
                // Randomized, so that callers who were refused together do not retry together.
                let jitter = (wait + MIN_RETRY_AFTER).mul_f64(rand::random());
                let after = wait.max(MIN_RETRY_AFTER) + jitter;
                Err(RefusalReason::retry_in(ResultCode::UpstreamRefused, after))
            }
        }
    }

    /// Waits for the permits that a request needs at an engine.
    async fn queue_at_engine(
        &self,
        call: &Call,
        choice: &Choice,
    ) -> Result<PermitResult, RefusalReason> {
        match self.take_engine_permit(call, choice, true).await {
            PermitResult::Taken => self.take_prompt_permit(call, choice, true).await,
            busy @ PermitResult::Busy(_) => Ok(busy),
        }
    }

    /// Chooses an upstream that is not in `busy`.
    pub(super) fn choose_not_busy(
        &self,
        call: &Call,
        sends: &SendHistory,
        busy: &[(Duration, Choice)],
    ) -> Result<Choice, NoChoice> {
        let now = Instant::now();
        if busy.is_empty() {
            return self.choose(call, sends, now);
        }
        let mut tried = sends.clone();
        let busy = busy.iter().map(|(_, choice)| choice.upstream.id.clone());
        tried.tried.extend(busy);
        self.choose(call, &tried, now)
    }

    /// Asks for a slot, or for a rate permit if the upstream has a limit.
    ///
    /// While this node cannot know whether the service is brittle, one of its requests at a time is
    /// sent to each upstream, and the others wait for the answer.
    pub(super) async fn request_permit(
        &self,
        call: &Call,
        choice: &Choice,
        may_queue: bool,
    ) -> PermitResult {
        let result = self.request_one_permit(call, choice, may_queue).await;
        let is_known = self.is_brittle_known(&choice.upstream);
        if is_known || matches!(result, PermitResult::Busy(_)) {
            return result;
        }
        while !self.is_brittle_known(&choice.upstream) && self.in_flight(&choice.upstream) > 0 {
            sleep(FIRST_ANSWER_POLL_INTERVAL).await;
        }
        if !self.shared.is_brittle(&choice.upstream.service) {
            return result;
        }
        call.slot.take();
        self.request_one_permit(call, choice, may_queue).await
    }

    fn is_brittle_known(&self, upstream: &Upstream) -> bool {
        let brittle = self.shared.brittle();
        brittle.is_known(&upstream.service, Instant::now())
    }

    fn in_flight(&self, upstream: &Upstream) -> usize {
        let dispatcher = self.dispatcher.borrow();
        let tracked = dispatcher.tracked(&upstream.id);
        tracked.map_or(0, |tracked| tracked.in_flight as usize)
    }

    async fn request_one_permit(
        &self,
        call: &Call,
        choice: &Choice,
        may_queue: bool,
    ) -> PermitResult {
        let (view, now) = (self.shared.view.load_full(), Instant::now());
        let upstream = &choice.upstream.id;
        let limit = self.shared.limits().update_for(upstream, now);
        let per_s = limit.as_ref().and_then(|limit| limit.per_s);
        let taken = match view.slot_issuers.get(upstream) {
            Some(node) => {
                let ask = self.slot_request(call, may_queue, now);
                self.slots.take(upstream, *node, ask, limit).await
            }
            None => SlotOutcome::NoAnswer,
        };
        let is_brittle = self.shared.is_brittle(&choice.upstream.service);
        let result = match (taken, per_s) {
            (SlotOutcome::Granted(permit), _) => {
                call.slot.replace(Some(permit));
                PermitResult::Taken
            }
            (SlotOutcome::Busy(wait) | SlotOutcome::Refused(wait), _) => PermitResult::Busy(wait),
            (SlotOutcome::NoAnswer, None) if is_brittle => {
                let shared = choice.upstream.slots as usize / BRITTLE_SHARE_DIVISOR;
                let share = shared / view.nodes.max(1);
                self.take_unless_in_flight(&choice.upstream, share)
            }
            // Without an answer the request is sent: the upstream's own queue refuses what it has
            // no room for.
            (SlotOutcome::NoAnswer, None) => {
                let limit = choice.upstream.slots as usize * MAX_UNANSWERED_SLOTS;
                self.take_unless_in_flight(&choice.upstream, limit)
            }
            (SlotOutcome::NoAnswer, Some(per_s)) => {
                self.take_local_permit(upstream, per_s, view.nodes)
            }
        };
        if let (PermitResult::Busy(wait), Some(_)) = (&result, per_s) {
            self.record_held_back(call, upstream, *wait);
        }
        result
    }

    /// Takes a slot without the node that grants them, unless `limit` requests of this node are at
    /// the upstream.
    fn take_unless_in_flight(&self, upstream: &Upstream, limit: usize) -> PermitResult {
        match self.in_flight(upstream) < limit {
            true => PermitResult::Taken,
            false => PermitResult::Busy(MIN_RETRY_AFTER),
        }
    }

    fn slot_request(&self, call: &Call, may_queue: bool, now: Instant) -> SlotRequest {
        let elapsed = now.duration_since(call.began) + call.waited_before;
        let in_time = call.route.latency_objective.saturating_sub(elapsed);
        SlotRequest {
            due_in_ms: whole_millis(in_time),
            wait_limit_ms: whole_millis(call.remaining(now).min(in_time + MAX_LATENESS)),
            may_queue,
            priority: call.priority(),
        }
    }

    /// How long the caller has already waited with earlier attempts, estimated from the wait limit
    /// that it states.
    pub(super) fn waited_before(&self, route: &str, stated_wait: Option<Duration>) -> Duration {
        let Some(stated_wait) = stated_wait else {
            return Duration::ZERO;
        };
        let mut known = self.usual_timeouts.borrow_mut();
        if let Some(stated) = known.get_mut(route) {
            return stated.waited(stated_wait);
        }
        known.entry(route.into()).or_default().waited(stated_wait)
    }
}

fn whole_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
