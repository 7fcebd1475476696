//! Whether an upstream may be sent requests.

use std::time::Instant;

use crate::{Dispatcher, Need, Tracked, UpstreamState};

/// Whether an upstream may be sent requests, according to the list of upstreams, its own
/// announcements and the outcome of earlier requests. Ordered from worst to best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Fitness {
    /// It gets no requests.
    Unfit,
    /// It is paused, silent or unreachable. Plain requests are sent there only if there is no
    /// alternative. Requests for an adapter are not: another engine can load the adapter before
    /// this one answers.
    Failing,
    /// It announced its shutdown and serves for a short time: it gets requests that no other
    /// upstream can serve now.
    Leaving,
    /// It accepts requests.
    Fit,
}

impl Dispatcher {
    /// Determines whether an upstream may be sent requests.
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

    /// When the earliest backoff among the upstreams that could serve `need` ends; `None` if one of
    /// them asked for no backoff.
    pub fn rest_ends(&self, need: &Need<'_>, now: Instant) -> Option<Instant> {
        let candidates = self.candidates(need);
        let to_stay = candidates.filter(|tracked| {
            !tracked.is_gone(now) && self.fitness_by_state(tracked, now) != Fitness::Unfit
        });
        let ends = to_stay.map(|tracked| tracked.rest.ends(now));
        ends.collect::<Option<Vec<Instant>>>()?.into_iter().min()
    }

    /// Whether an upstream accepts requests according to the list of upstreams and its own
    /// announcements.
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
