//! Whether an upstream may be sent requests.

use std::time::{Duration, Instant};

use nutmegsail_base::{ServiceName, UpstreamId};

use crate::{DispatchRequest, Dispatcher, Tracked, UpstreamState};

/// Whether an upstream may be sent requests, according to the list of upstreams, its own
/// announcements and the outcome of earlier requests. Ordered from worst to best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Eligibility {
    /// It gets no requests.
    Ineligible,
    /// It is paused, silent or unreachable. Plain requests are sent there only if there is no
    /// alternative. Requests for an adapter are not: another engine can load the adapter before
    /// this one answers.
    Failing,
    /// It announced its shutdown and serves for a short time: it gets requests that no other
    /// upstream can serve now.
    Leaving,
    /// It accepts requests.
    Eligible,
}

/// How a service's upstreams are doing as seen by one node, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceOverview {
    /// How many accept requests.
    pub eligible: usize,
    /// How many are paused, silent or unreachable.
    pub failing: usize,
    /// Time since an answer of any of them last began.
    pub answer_age: Option<Duration>,
}

impl Dispatcher {
    /// How the upstreams of `service` are doing.
    pub fn overview(&self, service: &ServiceName, now: Instant) -> ServiceOverview {
        let mut overview = ServiceOverview::default();
        let of_service = self
            .all()
            .filter(|tracked| tracked.upstream.service == *service);
        for tracked in of_service {
            match self.eligibility(tracked, now) {
                Eligibility::Eligible => overview.eligible += 1,
                Eligibility::Failing => overview.failing += 1,
                Eligibility::Ineligible | Eligibility::Leaving => {}
            }
            let age = tracked.answered_at.map(|at| now.duration_since(at));
            overview.answer_age = overview.answer_age.into_iter().chain(age).min();
        }
        overview
    }

    /// Determines whether an upstream may be sent requests.
    pub(crate) fn eligibility(&self, tracked: &Tracked, now: Instant) -> Eligibility {
        let by_state = self.eligibility_by_state(tracked, now);
        let is_backing_off = tracked.rest.ends(now).is_some();
        if by_state == Eligibility::Ineligible || tracked.is_replaced(now) || is_backing_off {
            return Eligibility::Ineligible;
        }
        let is_unresponsive = tracked.pending_prompt_tokens > 0 && tracked.is_silent(now);
        match tracked.health.is_paused(now)
            || is_unresponsive
            || self.is_domain_unreachable(tracked, now)
        {
            true => Eligibility::Failing,
            false => by_state,
        }
    }

    /// Whether an upstream is expected to keep running, so that its end is a crash. One that is
    /// leaving serves for the grace period before it ends.
    pub fn is_expected_to_run(&self, id: &UpstreamId, now: Instant) -> bool {
        let tracked = self.tracked(id);
        tracked.is_some_and(|tracked| {
            self.eligibility_by_state(tracked, now) != Eligibility::Ineligible
        })
    }

    /// When the earliest backoff among the upstreams that could serve `need` ends; `None` if one of
    /// them asked for no backoff.
    pub fn backoff_ends(&self, need: &DispatchRequest<'_>, now: Instant) -> Option<Instant> {
        let untried_upstreams = self.untried_upstreams(need);
        let available = untried_upstreams.filter(|tracked| {
            !tracked.is_replaced(now)
                && self.eligibility_by_state(tracked, now) != Eligibility::Ineligible
        });
        let ends = available.map(|tracked| tracked.rest.ends(now));
        ends.collect::<Option<Vec<Instant>>>()?.into_iter().min()
    }

    /// Whether an upstream accepts requests according to the list of upstreams and its own
    /// announcements.
    fn eligibility_by_state(&self, tracked: &Tracked, now: Instant) -> Eligibility {
        match (tracked.upstream.state, tracked.may_be_leaving_since()) {
            (UpstreamState::Ready, None) => Eligibility::Eligible,
            (UpstreamState::Ready | UpstreamState::Leaving, Some(since))
                if now.duration_since(since) < self.leaving_grace =>
            {
                Eligibility::Leaving
            }
            _ => Eligibility::Ineligible,
        }
    }
}
