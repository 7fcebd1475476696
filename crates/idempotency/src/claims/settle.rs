//! Advances this node's own claims as calls end and results of store operations arrive.

use std::time::{Instant, SystemTime};

use nutmegsail_base::{RequestId, ResultCode};

use super::Claims;
use crate::verdict::Verdict;
use crate::{
    ClaimAction, ClaimEntry, ClaimOperation, ClaimOutcome, ClaimState, ClaimToken, Claimant,
    IdempotencyKey, OperationResult, WriterResult,
};

impl Claims {
    pub(super) fn on_finished(&mut self, request: &RequestId, outcome: ClaimOutcome, now: Instant) {
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
        let claim = self.own.get(&key).expect("the claim has just ended");
        let (digest, number) = (claim.digest, claim.number);
        let operation = match state {
            ClaimState::Released => ClaimOperation::Release,
            state => ClaimOperation::Finish(state),
        };
        self.submit(key, digest, number, operation, now);
    }

    pub(super) fn on_writer_answered(
        &mut self,
        token: ClaimToken,
        results: Vec<WriterResult>,
        now: Instant,
        wall_time: SystemTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        if let Some(writer) = self.writer_requests.recipient(token) {
            self.writer_selector.clear_suspicion(writer);
        }
        for result in results {
            let asked = self.writer_requests.take_entry(token, &result);
            if result.result != OperationResult::Failed {
                self.settle(result, now, wall_time, actions);
            } else if let Some(entry) = asked {
                self.write_locally(entry, now);
            }
        }
    }

    /// Handles the result of an operation on one of this node's own claims.
    pub(super) fn settle(
        &mut self,
        result: WriterResult,
        now: Instant,
        wall_time: SystemTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        let WriterResult {
            key,
            claimant,
            is_claim,
            result,
        } = result;
        if claimant.node != self.node || claimant.incarnation != self.incarnation {
            // A late result for an earlier incarnation, whose claims this one must not run.
            return;
        }
        if !is_claim {
            self.own.remove_recorded(&key, claimant.number);
            return;
        }
        if !self.own.is_waiting(&key, claimant.number) {
            // A late or repeated result: the call was already allowed to run, or the claim was
            // given up. In the latter case a release has been submitted, which leads to the right
            // entry in the record whether it is applied before or after the claim.
            return;
        }
        match result {
            OperationResult::Claimed => self.run(&key, claimant.number, now, wall_time, actions),
            OperationResult::Existing(entry) => {
                let claim = self.own.give_up(&key, claimant.number);
                let is_live = self.is_live(&entry, wall_time);
                let verdict = Verdict::of_entry(&entry, claim.digest, is_live);
                self.respond(claim.request, verdict, actions);
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

    /// Runs the call, whose claim is now in the store, so that no other request can ever run it.
    fn run(
        &mut self,
        key: &IdempotencyKey,
        number: u64,
        now: Instant,
        wall_time: SystemTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        // The process may have been paused since the key's age was checked, until after the key's
        // retention. An earlier claim for the key may have been removed meanwhile, and the call
        // would run a second time days later. Checking again once the claim is durable prevents
        // this: an earlier claim is removed only when every node's clock refuses the key.
        let (retention, skew) = (self.settings.accepted_age(), self.settings.skew);
        if let Err(error) = key.check_age(retention, skew, wall_time) {
            self.give_up(key, number, error.code(), now, actions);
            return;
        }
        let request = self.own.run(key, number);
        actions.push(ClaimAction::Run { request });
    }

    /// Refuses a call whose claim is still waiting, and submits a release of the claim.
    ///
    /// "Not run" is certain even if the claim reaches the store later: only this incarnation could
    /// dispatch the call, and it has just discarded its right to.
    pub(super) fn give_up(
        &mut self,
        key: &IdempotencyKey,
        number: u64,
        code: ResultCode,
        now: Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        let claim = self.own.give_up(key, number);
        self.respond(claim.request, Verdict::not_run(code), actions);
        let release = ClaimOperation::Release;
        self.submit(key.clone(), claim.digest, number, release, now);
    }

    /// Whether the claimant of `entry` may still be running the call, as far as this node knows.
    fn is_live(&self, entry: &ClaimEntry, wall_time: SystemTime) -> bool {
        let Claimant {
            node, incarnation, ..
        } = &entry.claimant;
        if *node == self.node {
            // A claim of this incarnation that is no longer in memory has ended or was given up.
            return *incarnation == self.incarnation && self.own.get(&entry.key).is_some();
        }
        let mut live = self.writer_selector.live.iter();
        match live.find(|live| live.node == *node) {
            Some(live) => live.incarnation == *incarnation,
            // A node of another failure domain, or one that is unreachable or gone: its call counts
            // as in progress until the key reaches a certain age.
            None => {
                let longest = self.settings.in_progress_max_age;
                let skew = self.settings.skew;
                entry.key.check_age(longest, skew, wall_time).is_ok()
            }
        }
    }
}
