//! Giving the free places of an upstream to waiting requests.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class, RequestId};

use crate::class_queue::Rank;
use crate::request_state::Phase;
use crate::{Router, RoutingAction};

/// How many requests of a lane are looked at for one that may go to an upstream.
const LOOK_AHEAD: usize = 8;

impl Router {
    /// Gives the free places of `upstream` to waiting requests.
    pub(crate) fn fill(&mut self, upstream: usize, now: Instant, actions: &mut Vec<RoutingAction>) {
        while let Some(request) = self.next_for(upstream, now) {
            self.dispatch(&request, upstream, now, actions);
        }
    }

    fn next_for(&self, upstream: usize, now: Instant) -> Option<RequestId> {
        let state = &self.upstreams[upstream];
        let service = &self.services[state.service];
        if !state.is_usable(now) || !service.has_waiting() {
            return None;
        }
        if service.floor.is_owed()
            && self.has_place(upstream, Class::Routine, true, now)
            && let Some(request) = self.first_for(upstream, Class::Routine, now)
        {
            return Some(request);
        }
        let urgent = self.first_for(upstream, Class::Urgent, now);
        if urgent.is_some() {
            // Whether it fits or not: routine work does not go before it.
            return urgent.filter(|_| self.has_place(upstream, Class::Urgent, false, now));
        }
        if !self.has_place(upstream, Class::Routine, false, now) {
            return None;
        }
        self.first_for(upstream, Class::Routine, now)
    }

    /// The first waiting request of `class` that may start on `upstream`, over the lanes of the
    /// adapters that are ready there.
    pub(crate) fn first_for(
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
            .filter_map(|adapter| self.head_of(&adapter, upstream, class, now));
        heads
            .min_by_key(|(rank, _)| *rank)
            .map(|(_, request)| request)
    }

    fn head_of(
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

    /// Cancels a routine attempt that gave no byte yet where that makes a place for `request`.
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
            None => self.services[state.service].own.as_slice(),
        };
        let holders = holders.iter().map(|holder| holder.upstream);
        let mut with_victim = holders
            .chain(own.iter().copied())
            .map(|u| u as usize)
            .filter(|u| !self.upstreams[*u].cancellable.is_empty() && self.may_run(state, *u, now));
        let Some(upstream) = with_victim.next() else {
            return;
        };
        // The last one sent has done the least work.
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
