//! Whether an upstream is sent to.

use std::time::Instant;

use crate::{Dispatcher, Need, Tracked, UpstreamState};

/// Whether an upstream is sent to, by all that it and others have said, and by what sends to it have shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fitness {
    /// Nothing goes there.
    Unfit,
    /// It does badly. Plain requests go there that have nowhere else to go; for those that name an adapter another engine
    /// has it in less time than this one may stay silent.
    Failing,
    /// It serves on for a moment and then leaves: it gets what nobody else can serve now.
    Leaving,
    /// It takes work.
    Fit,
}

impl Dispatcher {
    /// Whether an upstream is sent to.
    pub(crate) fn fitness(&self, tracked: &Tracked, now: Instant) -> Fitness {
        let by_state = self.fitness_by_state(tracked, now);
        let is_at_rest = tracked.rest.ends(now).is_some();
        if by_state == Fitness::Unfit || tracked.is_gone(now) || is_at_rest {
            return Fitness::Unfit;
        }
        let is_quiet = tracked.unread_tokens > 0 && tracked.is_silent(now);
        match tracked.health.is_paused(now) || is_quiet || self.is_cut_off(tracked, now) {
            true => Fitness::Failing,
            false => by_state,
        }
    }

    /// When the first of the upstreams that `need` could go to takes work again, if all of them are at rest.
    pub fn rest_ends(&self, need: &Need<'_>, now: Instant) -> Option<Instant> {
        let candidates = self.candidates(need);
        let to_stay = candidates.filter(|tracked| {
            !tracked.is_gone(now) && self.fitness_by_state(tracked, now) != Fitness::Unfit
        });
        let ends = to_stay.map(|tracked| tracked.rest.ends(now));
        ends.collect::<Option<Vec<Instant>>>()?.into_iter().min()
    }

    /// Whether an upstream takes work by the list and by its own word.
    fn fitness_by_state(&self, tracked: &Tracked, now: Instant) -> Fitness {
        match (tracked.upstream.state, tracked.leaving_since) {
            (UpstreamState::Ready, None) => Fitness::Fit,
            (UpstreamState::Ready | UpstreamState::Leaving, Some(since))
                if now.duration_since(since) < self.leaving_grace =>
            {
                Fitness::Leaving
            }
            _ => Fitness::Unfit,
        }
    }
}
