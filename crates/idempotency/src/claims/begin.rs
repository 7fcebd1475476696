//! A caller's call arrives.

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
        wall: SystemTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        let settings = &self.settings;
        if let Err(error) = key.check_age(settings.accepted_age(), settings.skew, wall) {
            self.tell(request, Verdict::not_run(error.code()), actions);
        } else if key.ticket().is_some() {
            self.begin_with_ticket(request, &key, digest, actions);
        } else if let Some(verdict) = self.verdict_of_own(&key, digest) {
            self.tell(request, verdict, actions);
        } else if self.is_store_down && self.remote_writer(&key).is_none() {
            let verdict = Verdict::not_run(ResultCode::ClaimUnavailable);
            self.tell(request, verdict, actions);
        } else {
            let expires = now + self.settings.claim_wait;
            let number = self.own.make(&key, request, digest, expires);
            self.write(key, digest, number, ClaimOperation::Claim, now);
        }
    }

    /// What a repeat is told of a claim that this incarnation has in memory.
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
        let ticket = key.ticket().expect("the caller has looked");
        if ticket.node != self.node {
            let nodes = &self.nodes;
            let is_known = nodes.candidates.contains(&ticket.node)
                || nodes.live.iter().any(|live| live.node == ticket.node);
            if is_known {
                // The other node compares the incarnation: it knows its own, our list lags.
                actions.push(ClaimAction::Forward {
                    request,
                    to: ticket.node.clone(),
                    incarnation: ticket.incarnation,
                });
            } else {
                let verdict = Verdict::may_have_run(ResultCode::OutcomeUnknown);
                self.tell(request, verdict, actions);
            }
            return;
        }
        if ticket.incarnation != self.incarnation {
            // The incarnation that could run it is gone, and with it what it knew.
            let verdict = Verdict::may_have_run(ResultCode::OutcomeUnknown);
            self.tell(request, verdict, actions);
            return;
        }
        match self.tickets.begin(key, &request, digest, &self.settings) {
            TicketVerdict::Run => actions.push(ClaimAction::Run { request }),
            TicketVerdict::Known(state) => {
                self.tell(request, Verdict::of_ended(&state), actions);
            }
            TicketVerdict::Refused(code @ ResultCode::InProgress) => {
                self.tell(request, Verdict::may_have_run(code), actions);
            }
            TicketVerdict::Refused(code) => self.tell(request, Verdict::not_run(code), actions),
        }
    }

    pub(super) fn forwarded(
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
        self.tell(request, verdict, actions);
    }
}
