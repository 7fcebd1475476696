//! Takes concurrency slots of plain upstreams, and permits of rate-limited upstreams, for requests.

use std::time::{Duration, Instant};

use nutmegsail_base::ResultCode;
use nutmegsail_relay::{Choice, Refusal as NoChoice, SlotAsk};

use super::call::Call;
use super::gateway::{Gateway, Sends};
use super::refuse::GivenUp;
use super::slot_client::SlotTaken;

/// How long beyond the latency objective a request may wait for a slot. After that its caller may
/// be served sooner by a retry.
const LATE_PATIENCE: Duration = Duration::from_millis(600);

/// The shortest Retry-After for a caller whose request found no slot.
const LEAST_RETURN: Duration = Duration::from_millis(100);

/// The result of asking for a slot or a rate permit.
pub(super) enum Turn {
    /// The request may be sent.
    Taken,
    /// The request may not be sent; a slot or permit should be free after this time.
    Busy(Duration),
}

impl Gateway {
    /// Takes a slot for a plain request: at `first`, else at another upstream with a free slot,
    /// else in the queue of the upstream whose slot is expected soonest.
    pub(super) async fn take_slot(
        &self,
        call: &Call,
        sends: &Sends,
        first: Choice,
    ) -> Result<Choice, GivenUp> {
        let mut busy: Vec<(Duration, Choice)> = Vec::new();
        let mut next = Ok(first);
        while let Ok(choice) = next {
            match self.ask_slot(call, &choice, false).await {
                Turn::Taken => return Ok(choice),
                Turn::Busy(wait) => busy.push((wait, choice)),
            }
            next = self.choose_beside(call, sends, &busy);
        }
        self.queue_at_soonest(call, busy).await
    }

    /// Waits at the upstream where a slot or permit is expected soonest, if that is soon enough.
    pub(super) async fn queue_at_soonest(
        &self,
        call: &Call,
        busy: Vec<(Duration, Choice)>,
    ) -> Result<Choice, GivenUp> {
        let soonest = busy.into_iter().min_by_key(|(wait, _)| *wait);
        let Some((_, choice)) = soonest else {
            return Err(GivenUp::until(ResultCode::UpstreamRefused, LEAST_RETURN));
        };
        match self.ask_slot(call, &choice, true).await {
            Turn::Taken => Ok(choice),
            Turn::Busy(wait) => {
                // Randomized, so that callers who were refused together do not retry together.
                let spread = (wait + LEAST_RETURN).mul_f64(rand::random());
                let after = wait.max(LEAST_RETURN) + spread;
                Err(GivenUp::until(ResultCode::UpstreamRefused, after))
            }
        }
    }

    /// Chooses an upstream that is not in `busy`.
    pub(super) fn choose_beside(
        &self,
        call: &Call,
        sends: &Sends,
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
    pub(super) async fn ask_slot(&self, call: &Call, choice: &Choice, may_queue: bool) -> Turn {
        let (view, now) = (self.shared.view.load_full(), Instant::now());
        let upstream = &choice.upstream.id;
        let limit = self.shared.limits().told_of(upstream, now);
        let per_s = limit.as_ref().and_then(|limit| limit.per_s);
        let taken = match view.slot_nodes.get(upstream) {
            Some(node) => {
                let ask = self.slot_ask(call, may_queue, now);
                self.slots.take(upstream, *node, ask, limit).await
            }
            None => SlotTaken::NoAnswer,
        };
        let turn = match (taken, per_s) {
            (SlotTaken::Granted(permit), _) => {
                call.slot.replace(Some(permit));
                Turn::Taken
            }
            (SlotTaken::Busy(wait) | SlotTaken::Refused(wait), _) => Turn::Busy(wait),
            // Without an answer the request is sent: the upstream's own queue refuses what it has
            // no room for.
            (SlotTaken::NoAnswer, None) => Turn::Taken,
            (SlotTaken::NoAnswer, Some(per_s)) => self.take_own_share(upstream, per_s, view.nodes),
        };
        if let (Turn::Busy(wait), Some(_)) = (&turn, per_s) {
            self.note_held_back(call, upstream, *wait);
        }
        turn
    }

    fn slot_ask(&self, call: &Call, may_queue: bool, now: Instant) -> SlotAsk {
        let elapsed = now.duration_since(call.began) + call.waited_before;
        let in_time = call.route.objective.saturating_sub(elapsed);
        SlotAsk {
            in_time_ms: whole_millis(in_time),
            patience_ms: whole_millis(call.remaining(now).min(in_time + LATE_PATIENCE)),
            may_queue,
            rank: call.priority(),
        }
    }

    /// How long the caller has already waited with earlier attempts, estimated from the wait limit
    /// that it states.
    pub(super) fn waited_before(&self, route: &str, patience: Option<Duration>) -> Duration {
        let Some(patience) = patience else {
            return Duration::ZERO;
        };
        let mut known = self.stated_patience.borrow_mut();
        if let Some(stated) = known.get_mut(route) {
            return stated.waited(patience);
        }
        known.entry(route.into()).or_default().waited(patience)
    }
}

fn whole_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
