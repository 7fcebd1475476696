//! Claims, takes over and releases engines.

use std::time::Instant;

use nutmegsail_base::UpstreamId;

use super::Placement;
use crate::claims::ClaimStep;
use crate::engine_owner::EngineOwner;
use crate::ownership::Ownership;
use crate::{DisownCause, LoadOutcome, PlacementAction, PlacementNote, next_fence};

impl Placement {
    pub(super) fn choose_owners(&mut self, now: Instant) {
        let engines = self.view.plans().map(|plan| &plan.upstream);
        self.claims
            .choose(engines, &self.nodes, &self.settings.node, now);
    }

    pub(super) fn ownership_granted(
        &mut self,
        engine: &UpstreamId,
        fence: u64,
        valid_until: Instant,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        self.claims.record_answer(engine);
        let Some(plan) = self.view.plan_of(engine).cloned() else {
            return;
        };
        match self.owned.get_mut(engine) {
            Some(owner) if owner.fence() == fence => owner.renew(valid_until),
            Some(owner) if owner.fence() > fence => {}
            _ => {
                let ownership = Ownership::new(fence, plan.checks_fencing, Some(valid_until), now);
                self.take_ownership(engine, ownership, false, now, actions);
            }
        }
    }

    /// Handles a claim that the key-value service did not decide. For an engine that checks fencing
    /// tokens, this node takes over without the service: its first order, with a higher token,
    /// makes the engine refuse the previous owner. An engine that ignores them could not refuse the
    /// previous owner, which therefore keeps the engine until the service is back.
    pub(super) fn claim_unanswered(
        &mut self,
        engine: &UpstreamId,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        self.claims.defer(engine, self.settings.claim_retry, now);
        let checks_fencing = self
            .view
            .plan_of(engine)
            .is_some_and(|plan| plan.checks_fencing);
        if !checks_fencing
            || self.view.last_report(engine).is_none()
            || self.owned.contains_key(engine)
        {
            return;
        }
        let fence = next_fence(self.view.seen_fence(engine), &self.settings.node);
        let ownership = Ownership::new(fence, true, None, now);
        self.take_ownership(engine, ownership, true, now, actions);
    }

    pub(super) fn take_ownership(
        &mut self,
        engine: &UpstreamId,
        ownership: Ownership,
        by_engine: bool,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        let Some(plan) = self.view.plan_of(engine).cloned() else {
            return;
        };
        let fence = ownership.fence;
        let owner = EngineOwner::new(plan, ownership);
        if let Some(previous) = self.owned.insert(engine.clone(), owner) {
            self.return_unfinished_loads(engine, previous, now, actions);
        }
        actions.push(PlacementAction::Report(PlacementNote::Owned {
            engine: engine.clone(),
            fence,
            by_engine,
        }));
        let Some((report, taken_at)) = self.view.last_report(engine) else {
            return;
        };
        let report = report.clone();
        self.with_owner(engine, now, actions, |owner, settings, out| {
            owner.apply_report(report, taken_at, settings, now, out);
        });
    }

    pub(super) fn disown(
        &mut self,
        engine: &UpstreamId,
        cause: DisownCause,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        let Some(owner) = self.owned.remove(engine) else {
            return;
        };
        self.return_unfinished_loads(engine, owner, now, actions);
        actions.push(PlacementAction::Report(PlacementNote::Disowned {
            engine: engine.clone(),
            cause,
        }));
    }

    pub(super) fn return_unfinished_loads(
        &mut self,
        engine: &UpstreamId,
        owner: EngineOwner,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        for adapter in owner.into_unfinished_loads() {
            self.load_ended(engine, &adapter, LoadOutcome::NotOwner, now, actions);
        }
    }

    pub(super) fn tick_claims(&mut self, now: Instant, actions: &mut Vec<PlacementAction>) {
        let owned = &self.owned;
        let is_owned = |engine: &UpstreamId| owned.contains_key(engine);
        for (engine, step) in self.claims.due_steps(&self.settings, is_owned, now) {
            match step {
                ClaimStep::Claim => actions.push(PlacementAction::Claim {
                    seen_fence: self.view.seen_fence(&engine),
                    may_replace_live_holder: self
                        .view
                        .plan_of(&engine)
                        .is_some_and(|plan| plan.checks_fencing),
                    engine,
                }),
                ClaimStep::TimedOut => self.claim_unanswered(&engine, now, actions),
                ClaimStep::Release => {
                    actions.push(PlacementAction::Release {
                        engine: engine.clone(),
                    });
                    self.disown(&engine, DisownCause::HandedOver, now, actions);
                }
            }
        }
    }

    /// Ends the ownership of an engine that another node took over. This node does not claim it
    /// again before the new owner could have evicted anything; otherwise two nodes that see each
    /// other as gone would take it over by turns, and nothing would ever be evicted.
    pub(super) fn handle_fenced(
        &mut self,
        engine: &UpstreamId,
        cause: DisownCause,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        let pin_duration = self.settings.pin_lease + self.settings.pin_margin;
        self.claims.defer(engine, pin_duration * 2, now);
        self.disown(engine, cause, now, actions);
    }
}
