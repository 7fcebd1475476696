//! Assignment of free places to waiting requests.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class, RequestId};

use crate::class_queue::Rank;
use crate::request_state::Phase;
use crate::{Router, RoutingAction};

/// How many requests of a lane are examined to find one that may run on an upstream.
const LOOK_AHEAD: usize = 8;

impl Router {
    /// Dispatches waiting requests to `upstream` until it has no free place for them.
    pub(crate) fn fill(&mut self, upstream: usize, now: Instant, actions: &mut Vec<RoutingAction>) {
        while let Some(request) = self.next_request_for(upstream, now) {
            self.dispatch(&request, upstream, now, actions);
        }
    }

    fn next_request_for(&self, upstream: usize, now: Instant) -> Option<RequestId> {
        let state = &self.upstreams[upstream];
        let service = &self.services[state.service];
        if !state.is_usable(now) || !service.has_waiting() {
            return None;
        }
        if service.floor.is_owed()
            && self.has_place(upstream, Class::Routine, true, now)
            && let Some(request) = self.first_runnable(upstream, Class::Routine, now)
        {
            return Some(request);
        }
        let urgent = self.first_runnable(upstream, Class::Urgent, now);
        if urgent.is_some() {
            // While an urgent request waits for this upstream, routine requests don't overtake it,
            // even if it has no place yet.
            return urgent.filter(|_| self.has_place(upstream, Class::Urgent, false, now));
        }
        if !self.has_place(upstream, Class::Routine, false, now) {
            return None;
        }
        self.first_runnable(upstream, Class::Routine, now)
    }

    /// The first waiting request of `class` that may run on `upstream`, among those without an
    /// adapter and those whose adapter is ready there.
    pub(crate) fn first_runnable(
        &self,
        upstream: usize,
        class: Class,
        now: Instant,
    ) -> Option<RequestId> {
        let state = &self.upstreams[upstream];
        if self.services[state.service].queue(class).is_empty() {
            return None;
        }
        let ready = state.held.iter().filter(|held| held.is_ready);
        let lanes = ready.map(|held| Some(held.adapter.clone()));
        let heads = lanes
            .chain([None])
            .filter_map(|adapter| self.first_runnable_in_lane(&adapter, upstream, class, now));
        heads
            .min_by_key(|(rank, _)| *rank)
            .map(|(_, request)| request)
    }

    fn first_runnable_in_lane(
        &self,
        adapter: &Option<AdapterRef>,
        upstream: usize,
        class: Class,
        now: Instant,
    ) -> Option<(Rank, RequestId)> {
        let service = self.upstreams[upstream].service;
        let lane = self.services[service].queue(class).lane(adapter);
        let mut lane = lane.take(LOOK_AHEAD);
        let may_run = |request: &RequestId| {
            let state = self.requests.get(request);
            state.is_some_and(|state| self.may_run(state, upstream, now))
        };
        let (rank, request) = lane.find(|(_, request)| may_run(request))?;
        Some((rank, request.clone()))
    }

    /// Cancels a routine attempt without a first byte on an upstream that may run `request`, to
    /// free a place there.
    pub(crate) fn cancel_routine(
        &mut self,
        request: &RequestId,
        now: Instant,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let holders = match &state.arrival.adapter {
            Some(adapter) => self.adapters.holders(adapter),
            None => &[],
        };
        let own = match &state.arrival.adapter {
            Some(_) => &[],
            None => self.services[state.service].own_domain.as_slice(),
        };
        let holders = holders.iter().map(|holder| holder.upstream);
        let mut with_cancellable = holders
            .chain(own.iter().copied())
            .map(|u| u as usize)
            .filter(|u| !self.upstreams[*u].cancellable.is_empty() && self.may_run(state, *u, now));
        let Some(upstream) = with_cancellable.next() else {
            return;
        };
        // The most recent attempt loses the least work.
        let Some(victim) = self.upstreams[upstream].cancellable.pop() else {
            return;
        };
        let Some(state) = self.requests.get_mut(&victim) else {
            return;
        };
        if let Phase::Dispatched { is_cancelled, .. } = &mut state.phase {
            *is_cancelled = true;
            state.was_cancelled = true;
            actions.push(RoutingAction::Cancel { request: victim });
        }
    }
}
