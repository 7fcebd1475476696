//! Paces the prompts of streams that have a longest pause.

use std::time::{Duration, Instant};

use nutmegsail_relay::{Choice, PromptAnswer, PromptAsk};
use nutmegsail_telemetry::{Event, log_event};

use super::call::Call;
use super::gateway::Gateway;
use super::plain_slot::PermitResult;
use super::prompt_client::{PacedAnswer, PromptOutcome, whole_millis};
use super::refuse::RefusalReason;
use crate::prompt_metrics::answer_name;

/// Waits from which a request that was held back is logged.
const LOGGED_WAIT: Duration = Duration::from_millis(50);

impl Gateway {
    /// Takes a permit to send the prompt of `call` to the engine of `choice`. Streams without a
    /// longest pause need none, and an engine whose gate is not known to be active only gets a report.
    pub(super) async fn take_prompt_permit(
        &self,
        call: &Call,
        choice: &Choice,
        may_queue: bool,
    ) -> Result<PermitResult, RefusalReason> {
        call.prompt_permit.take();
        let view = self.shared.view.load_full();
        let upstream = &choice.upstream.id;
        let (Some(ask), Some(node)) = (
            prompt_ask(call, choice, may_queue),
            view.slot_issuers.get(upstream),
        ) else {
            return Ok(PermitResult::Taken);
        };
        let began = Instant::now();
        if !self.shared.paced.is_paced(&choice.upstream.service, began) {
            let permit = self.prompts.report_sent(upstream, *node, ask);
            call.prompt_permit.replace(Some(permit));
            return Ok(PermitResult::Taken);
        }
        let outcome = self.prompts.ask(upstream, *node, ask).await;
        let waited = began.elapsed();
        let (answer, permit) = match outcome {
            PromptOutcome::Granted(permit, answer) => (Some(answer), Ok(permit)),
            PromptOutcome::NoAnswer(permit) => (None, Ok(permit)),
            PromptOutcome::Rejected(rejected) => (Some(rejected), Err(rejected)),
        };
        let decision = answer.map(|answer| answer.answer);
        self.shared.metrics.prompts.asked(decision, waited);
        if waited > LOGGED_WAIT || permit.is_err() {
            self.log_held_back(call, choice, ask, waited, answer);
        }
        match permit {
            Ok(permit) => {
                call.prompt_permit.replace(Some(permit));
                if waited > LOGGED_WAIT {
                    // The key may have been withdrawn meanwhile, or the quota spent.
                    self.admit(call).await?;
                }
                Ok(PermitResult::Taken)
            }
            Err(rejected) => Ok(PermitResult::Busy(expected_wait(rejected.answer))),
        }
    }

    /// Whether a load on another engine would get `call` its first event sooner than the wait at
    /// the soonest engine of `busy`.
    pub(super) fn is_load_sooner(
        &self,
        call: &Call,
        busy: &[(Duration, Choice)],
        now: Instant,
    ) -> bool {
        let soonest = busy.iter().map(|(wait, _)| *wait).min();
        let prompt_ms = self
            .dispatcher
            .borrow()
            .prompt_time_ms(call.meta.prompt_tokens);
        soonest.is_some_and(|wait| {
            let expected_ms = wait.as_secs_f64() * 1e3 + prompt_ms;
            self.is_expected_sooner_elsewhere(call, expected_ms, now)
        })
    }

    fn log_held_back(
        &self,
        call: &Call,
        choice: &Choice,
        ask: PromptAsk,
        waited: Duration,
        answer: Option<PacedAnswer>,
    ) {
        let decision = answer.map(|answer| answer.answer);
        let wait = decision.map(expected_wait);
        log_event!(
            self.log, Event::PromptHeldBack,
            "request" => call.id.to_string(), "upstream" => choice.upstream.id.to_string(),
            "tokens" => ask.tokens, "priority" => ask.priority, "due_ms" => ask.due_in_ms,
            "wait_limit_ms" => ask.wait_limit_ms, "may_queue" => ask.may_queue,
            "waited_ms" => waited.as_millis(),
            "answer" => decision.map_or("no_answer", answer_name),
            "expected_wait_ms" => wait.map(|wait| wait.as_millis()),
            "pace" => answer.map(|answer| answer.tokens_per_s),
            "pace_age_ms" => answer.and_then(|answer| answer.pace_age_ms)
        );
    }
}

/// The request to the gate of the chosen engine; `None` if the prompt of `call` is not paced.
fn prompt_ask(call: &Call, choice: &Choice, may_queue: bool) -> Option<PromptAsk> {
    let longest_pause = call.route.longest_pause?;
    call.meta.model.as_ref()?;
    if !call.route.kind.is_stream() {
        return None;
    }
    let now = Instant::now();
    let here = now.duration_since(call.began);
    let due_in = (call.route.latency_objective).saturating_sub(here + call.waited_before);
    let caller_waits = call.first_event_timeout().saturating_sub(here);
    Some(PromptAsk {
        tokens: u32::try_from(choice.uncached_tokens).unwrap_or(u32::MAX),
        priority: call.priority(),
        longest_pause_ms: whole_millis(longest_pause),
        due_in_ms: whole_millis(due_in),
        wait_limit_ms: whole_millis(caller_waits.min(call.remaining(now))),
        may_queue,
    })
}

fn expected_wait(answer: PromptAnswer) -> Duration {
    match answer {
        PromptAnswer::Busy { wait_ms } | PromptAnswer::Refused { wait_ms } => {
            Duration::from_millis(u64::from(wait_ms))
        }
        PromptAnswer::Granted | PromptAnswer::Queued => Duration::ZERO,
    }
}
