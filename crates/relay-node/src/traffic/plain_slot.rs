//! Slots of plain upstreams for the requests that go there.

use std::time::{Duration, Instant};

use nutmegsail_base::ResultCode;
use nutmegsail_relay::{Choice, Refusal as NoChoice, SlotAsk};

use super::call::Call;
use super::gateway::{Gateway, Sends};
use super::refuse::GivenUp;
use super::slot_client::SlotTaken;

/// How long a request may wait for a slot beyond the time in which its answer is in time. Its caller may be
/// served sooner if it returns.
const LATE_PATIENCE: Duration = Duration::from_millis(600);

/// The least time after which a caller that found no room is asked to return.
const LEAST_RETURN: Duration = Duration::from_millis(100);

impl Gateway {
    /// Takes a slot for a plain request at `first`, at another upstream that has one free, or where one is
    /// free soonest.
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
                SlotTaken::Granted(permit) => {
                    call.slot.replace(permit);
                    return Ok(choice);
                }
                SlotTaken::Busy(wait) | SlotTaken::Refused(wait) => busy.push((wait, choice)),
            }
            next = self.choose_beside(call, sends, &busy);
        }
        let soonest = busy.into_iter().min_by_key(|(wait, _)| *wait);
        let Some((_, choice)) = soonest else {
            return Err(GivenUp::until(ResultCode::UpstreamRefused, LEAST_RETURN));
        };
        match self.ask_slot(call, &choice, true).await {
            SlotTaken::Granted(permit) => {
                call.slot.replace(permit);
                Ok(choice)
            }
            SlotTaken::Busy(wait) | SlotTaken::Refused(wait) => {
                // Spread, so that those who were refused together don't return together.
                let spread = (wait + LEAST_RETURN).mul_f64(rand::random());
                let after = wait.max(LEAST_RETURN) + spread;
                Err(GivenUp::until(ResultCode::UpstreamRefused, after))
            }
        }
    }

    fn choose_beside(
        &self,
        call: &Call,
        sends: &Sends,
        busy: &[(Duration, Choice)],
    ) -> Result<Choice, NoChoice> {
        let mut tried = sends.clone();
        let busy = busy.iter().map(|(_, choice)| choice.upstream.id.clone());
        tried.tried.extend(busy);
        self.choose(call, &tried, Instant::now())
    }

    async fn ask_slot(&self, call: &Call, choice: &Choice, may_queue: bool) -> SlotTaken {
        let view = self.shared.view.load_full();
        let Some(node) = view.slot_nodes.get(&choice.upstream.id) else {
            return SlotTaken::Granted(None);
        };
        let now = Instant::now();
        let elapsed = now.duration_since(call.began) + call.waited_before;
        let in_time = call.route.objective.saturating_sub(elapsed);
        let ask = SlotAsk {
            in_time_ms: whole_millis(in_time),
            patience_ms: whole_millis(call.remaining(now).min(in_time + LATE_PATIENCE)),
            may_queue,
        };
        self.slots.take(&choice.upstream.id, *node, ask).await
    }

    /// How long the caller of a request has waited before, by what it states of its patience.
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
