//! Decides what happens to an arriving once-only call.

use std::time::{Instant, SystemTime};

use nutmegsail_base::{RequestId, ResultCode};

use super::Claims;
use crate::own_claims::OwnPhase;
use crate::tickets::TicketVerdict;
use crate::verdict::Verdict;
use crate::{ClaimAction, ClaimOperation, ForwardResult, IdempotencyKey, RequestDigest};

impl Claims {
    pub(super) fn begin(
        &mut self,
        request: RequestId,
        key: IdempotencyKey,
        digest: RequestDigest,
        now: Instant,
        wall_time: SystemTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        let settings = &self.settings;
        if let Err(error) = key.check_age(settings.accepted_age(), settings.skew, wall_time) {
            self.respond(request, Verdict::not_run(error.code()), actions);
        } else if key.ticket().is_some() {
            self.begin_with_ticket(request, &key, digest, actions);
        } else if let Some(verdict) = self.verdict_of_own(&key, digest) {
            self.respond(request, verdict, actions);
        } else if self.is_store_down && self.remote_writer(&key).is_none() {
            let verdict = Verdict::not_run(ResultCode::ClaimUnavailable);
            self.respond(request, verdict, actions);
        } else {
            let expires = now + self.settings.claim_timeout;
            let number = self.own.add(&key, request, digest, expires);
            self.submit(key, digest, number, ClaimOperation::Claim, now);
        }
    }

    /// The verdict on a repeat of a call whose claim this incarnation has in memory.
    fn verdict_of_own(&self, key: &IdempotencyKey, digest: RequestDigest) -> Option<Verdict> {
        let claim = self.own.get(key)?;
        if claim.digest != digest {
            return Some(Verdict::not_run(ResultCode::KeyReused));
        }
        Some(match &claim.phase {
            OwnPhase::Waiting(_) | OwnPhase::Running => {
                Verdict::may_have_run(ResultCode::InProgress)
            }
            OwnPhase::Recording(state) => Verdict::of_ended(state),
        })
    }

    fn begin_with_ticket(
        &mut self,
        request: RequestId,
        key: &IdempotencyKey,
        digest: RequestDigest,
        actions: &mut Vec<ClaimAction>,
    ) {
        let ticket = key.ticket().expect("the key has a ticket");
        if ticket.node != self.node {
            let selector = &self.writer_selector;
            let is_known = selector.candidates.contains(&ticket.node)
                || selector.live.iter().any(|live| live.node == ticket.node);
            if is_known {
                // The incarnation is left to the other node to compare, since this node's list may
                // be out of date.
                actions.push(ClaimAction::Forward {
                    request,
                    to: ticket.node.clone(),
                    incarnation: ticket.incarnation,
                });
            } else {
                let verdict = Verdict::may_have_run(ResultCode::OutcomeUnknown);
                self.respond(request, verdict, actions);
            }
            return;
        }
        if ticket.incarnation != self.incarnation {
            // Only that incarnation could run the call, and it kept the outcome in memory only.
            let verdict = Verdict::may_have_run(ResultCode::OutcomeUnknown);
            self.respond(request, verdict, actions);
            return;
        }
        match self.tickets.begin(key, &request, digest, &self.settings) {
            TicketVerdict::Run => actions.push(ClaimAction::Run { request }),
            TicketVerdict::Known(state) => {
                self.respond(request, Verdict::of_ended(&state), actions);
            }
            TicketVerdict::Refused(code @ ResultCode::InProgress) => {
                self.respond(request, Verdict::may_have_run(code), actions);
            }
            TicketVerdict::Refused(code) => self.respond(request, Verdict::not_run(code), actions),
        }
    }

    pub(super) fn on_forwarded(
        &self,
        request: RequestId,
        result: ForwardResult,
        actions: &mut Vec<ClaimAction>,
    ) {
        let verdict = match result {
            ForwardResult::Answered(answer) => Verdict::Answer(answer),
            ForwardResult::Refused { code, run_state } => Verdict::Refuse { code, run_state },
            ForwardResult::NotSent => Verdict::not_run(ResultCode::ClaimUnavailable),
            ForwardResult::NoAnswer => Verdict::may_have_run(ResultCode::OutcomeUnknown),
        };
        self.respond(request, verdict, actions);
    }
}
