//! What becomes of this node's own claims.

use std::time::{Instant, SystemTime};

use nutmegsail_base::{RequestId, ResultCode};

use super::Claims;
use crate::verdict::Verdict;
use crate::{
    ClaimAction, ClaimEntry, ClaimOperation, ClaimOutcome, ClaimState, ClaimToken, Claimant,
    IdempotencyKey, OperationResult, WriterResult,
};

impl Claims {
    pub(super) fn finished(&mut self, request: &RequestId, outcome: ClaimOutcome, now: Instant) {
        let state = match outcome {
            ClaimOutcome::Answered(answer) => {
                ClaimState::Answered(answer.within(self.settings.answer_bytes))
            }
            ClaimOutcome::NotRun => ClaimState::Released,
            ClaimOutcome::Unknown => ClaimState::Unknown,
        };
        if self.tickets.finish(request, state.clone()) {
            return;
        }
        let Some(key) = self.own.finish(request, state.clone()) else {
            return;
        };
        let claim = self.own.get(&key).expect("it has just ended");
        let (digest, number) = (claim.digest, claim.number);
        let operation = match state {
            ClaimState::Released => ClaimOperation::Release,
            state => ClaimOperation::Finish(state),
        };
        self.write(key, digest, number, operation, now);
    }

    pub(super) fn answered(
        &mut self,
        token: ClaimToken,
        results: Vec<WriterResult>,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        if let Some(writer) = self.asks.asked(token) {
            self.nodes.trust(writer);
        }
        for result in results {
            let asked = self.asks.take(token, &result);
            if result.result != OperationResult::Failed {
                self.settle(result, now, wall, actions);
            } else if let Some(entry) = asked {
                self.write_here(entry, now);
            }
        }
    }

    /// Takes in what the store holds after an operation of this node's own claims.
    pub(super) fn settle(
        &mut self,
        result: WriterResult,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        let WriterResult {
            key,
            claimant,
            is_claim,
            result,
        } = result;
        if claimant.node != self.node || claimant.incarnation != self.incarnation {
            // Late, for an incarnation before this one. Its claims are not this one's to run.
            return;
        }
        if !is_claim {
            self.own.recorded(&key, claimant.number);
            return;
        }
        if !self.own.is_waiting(&key, claimant.number) {
            // Late or twice: the claim has been let run or given up. A claim that was given up
            // has its release under way, which settles the record whatever the order.
            return;
        }
        match result {
            OperationResult::Claimed => self.claimed(&key, claimant.number, now, wall, actions),
            OperationResult::Existing(entry) => {
                let claim = self.own.give_up(&key, claimant.number);
                let is_live = self.is_live(&entry, wall);
                let verdict = Verdict::of_entry(&entry, claim.digest, is_live);
                self.tell(claim.request, verdict, actions);
            }
            OperationResult::Failed | OperationResult::GivenUp | OperationResult::Recorded => {
                self.give_up(
                    &key,
                    claimant.number,
                    ResultCode::ClaimUnavailable,
                    now,
                    actions,
                );
            }
        }
    }

    /// The store holds this very claim, so nobody else may ever run the call.
    fn claimed(
        &mut self,
        key: &IdempotencyKey,
        number: u64,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        // The process may have been paused since the key's age was checked, past the key's
        // retention, and an earlier claim for the key may have been removed from the store
        // meanwhile. It shows as a second run days later. The check after the claim is durable
        // holds: whoever removed the earlier one did it when every clock refused the key.
        let (retention, skew) = (self.settings.accepted_age(), self.settings.skew);
        if let Err(error) = key.check_age(retention, skew, wall) {
            self.give_up(key, number, error.code(), now, actions);
            return;
        }
        let request = self.own.run(key, number);
        actions.push(ClaimAction::Run { request });
    }

    /// Gives up a claim that waits, at once and for good, and lets the store know.
    ///
    /// "Not run" is true from here on, whatever becomes of the claim in the store: only this
    /// incarnation could dispatch it, and has just dropped its right to.
    pub(super) fn give_up(
        &mut self,
        key: &IdempotencyKey,
        number: u64,
        code: ResultCode,
        now: Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        let claim = self.own.give_up(key, number);
        self.tell(claim.request, Verdict::not_run(code), actions);
        let release = ClaimOperation::Release;
        self.write(key.clone(), claim.digest, number, release, now);
    }

    /// Whether the claimant of `entry` may still be at work, for all that is known.
    fn is_live(&self, entry: &ClaimEntry, wall: SystemTime) -> bool {
        let Claimant {
            node, incarnation, ..
        } = &entry.claimant;
        if *node == self.node {
            // A claim of this incarnation that it no longer remembers will not go on.
            return *incarnation == self.incarnation && self.own.get(&entry.key).is_some();
        }
        let mut live = self.nodes.live.iter();
        match live.find(|live| live.node == *node) {
            Some(live) => live.incarnation == *incarnation,
            // Another failure domain's node, or one that is cut off or gone: the call's age says
            // how long it is worth coming back for.
            None => {
                let longest = self.settings.in_progress_for;
                let skew = self.settings.skew;
                entry.key.check_age(longest, skew, wall).is_ok()
            }
        }
    }
}
