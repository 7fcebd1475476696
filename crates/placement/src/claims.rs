//! Decides which engines this node claims and releases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegsail_base::{NodeId, UpstreamId};

use crate::PlacementSettings;
use crate::owner_choice::first_choice;

#[derive(Debug, Default)]
struct ClaimState {
    owner: Option<NodeId>,
    /// The previous choice, while it is live, and the time at which it stopped being the choice.
    previous: Option<(NodeId, Instant)>,
    /// The time at which this node became first choice; `None` while another node is.
    chosen_since: Option<Instant>,
    /// The time at which another node became first choice.
    not_chosen_since: Option<Instant>,
    claimed_at: Option<Instant>,
    not_before: Option<Instant>,
}

/// What is due for an engine's ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimStep {
    Claim,
    /// A claim was not answered within `claim_retry`.
    TimedOut,
    Release,
}

/// The claim state of each engine in this node's failure domain.
#[derive(Debug, Default)]
pub(crate) struct Claims {
    engines: BTreeMap<UpstreamId, ClaimState>,
}

impl Claims {
    /// Chooses the owner of each engine again after the nodes or the engines changed.
    pub fn choose<'a>(
        &mut self,
        engines: impl Iterator<Item = &'a UpstreamId>,
        nodes: &[NodeId],
        this_node: &NodeId,
        now: Instant,
    ) {
        let mut previous = std::mem::take(&mut self.engines);
        for engine in engines {
            let mut state = previous.remove(engine).unwrap_or_default();
            state.record_choice(first_choice(engine, nodes), nodes, now);
            if state.owner.as_ref() == Some(this_node) {
                state.chosen_since.get_or_insert(now);
                state.not_chosen_since = None;
            } else {
                state.not_chosen_since.get_or_insert(now);
                state.chosen_since = None;
                state.claimed_at = None;
            }
            self.engines.insert(engine.clone(), state);
        }
    }

    /// The node that owns the engine. During a handover this is still the previous first choice.
    pub fn owner_of(
        &self,
        engine: &UpstreamId,
        handover_delay: Duration,
        now: Instant,
    ) -> Option<&NodeId> {
        let state = self.engines.get(engine)?;
        match &state.previous {
            Some((previous, since)) if now < *since + handover_delay => Some(previous),
            _ => state.owner.as_ref(),
        }
    }

    /// Records that a claim was answered.
    pub fn record_answer(&mut self, engine: &UpstreamId) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.claimed_at = None;
        }
    }

    /// Keeps this node from claiming the engine for `wait`.
    pub fn defer(&mut self, engine: &UpstreamId, wait: Duration, now: Instant) {
        if let Some(state) = self.engines.get_mut(engine) {
            state.claimed_at = None;
            state.not_before = Some(now + wait);
        }
    }

    /// Returns the claims and releases that are due. Nodes that are gone or back for a short time
    /// cause no takeover, because after each takeover the engine evicts nothing for the length of a
    /// pin lease.
    pub fn due_steps(
        &mut self,
        settings: &PlacementSettings,
        is_owned: impl Fn(&UpstreamId) -> bool,
        now: Instant,
    ) -> Vec<(UpstreamId, ClaimStep)> {
        let mut steps = Vec::new();
        for (engine, state) in &mut self.engines {
            if let Some(step) = state.step(settings, is_owned(engine), now) {
                steps.push((engine.clone(), step));
            }
        }
        steps
    }
}

impl ClaimState {
    fn record_choice(&mut self, choice: Option<&NodeId>, nodes: &[NodeId], now: Instant) {
        if self.owner.as_ref() != choice {
            let previous = std::mem::replace(&mut self.owner, choice.cloned());
            self.previous = previous.map(|previous| (previous, now));
        }
        self.previous
            .take_if(|(previous, _)| !nodes.contains(previous));
    }

    fn step(
        &mut self,
        settings: &PlacementSettings,
        is_owned: bool,
        now: Instant,
    ) -> Option<ClaimStep> {
        let is_over = |since: Option<Instant>, wait| since.is_some_and(|at| now >= at + wait);
        if is_owned {
            let hand_over = is_over(self.not_chosen_since, settings.handover_delay);
            return hand_over.then_some(ClaimStep::Release);
        }
        let is_waiting = self.not_before.is_some_and(|at| now < at);
        if !is_over(self.chosen_since, settings.takeover_delay) || is_waiting {
            return None;
        }
        match self.claimed_at {
            None => {
                self.claimed_at = Some(now);
                Some(ClaimStep::Claim)
            }
            Some(at) if now >= at + settings.claim_retry => {
                self.claimed_at = None;
                Some(ClaimStep::TimedOut)
            }
            Some(_) => None,
        }
    }
}
