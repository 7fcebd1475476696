//! Sending a request, and asking for adapters.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class, RequestId};
use rand::Rng;

use crate::candidate::below;
use crate::request_state::Phase;
use crate::{Router, RoutingAction};

impl Router {
    /// Sends a waiting request to `upstream`.
    ///
    /// # Panics
    ///
    /// If one of the promises of the crate's documentation would be broken.
    pub(crate) fn dispatch(
        &mut self,
        request: &RequestId,
        upstream: usize,
        now: Instant,
        actions: &mut Vec<RoutingAction>,
    ) {
        self.assert_may_dispatch(request, upstream, now);
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        let Phase::Waiting(place) = state.phase else {
            panic!("a request was dispatched to a second upstream at a time");
        };
        let class = state.arrival.class;
        state.attempts += 1;
        state.phase = Phase::Dispatched {
            upstream,
            since: now,
            has_first_byte: false,
            is_cancelled: false,
        };
        let attempt = state.attempts;
        let target = &mut self.upstreams[upstream];
        target.take_place(class, now, self.settings.report_lag);
        if class == Class::Routine && state.arrival.idempotent && !state.was_cancelled {
            target.cancellable.push(request.clone());
        }
        if let Some(prefix) = state.arrival.prefix {
            self.prefixes.remember(prefix, upstream);
        }
        let service = &mut self.services[state.service];
        service
            .queue_mut(class)
            .remove(&state.arrival.adapter, place);
        actions.push(RoutingAction::Dispatch {
            request: request.clone(),
            upstream: target.id.clone(),
            attempt,
            class: service.count_dispatch(class, attempt),
        });
    }

    fn assert_may_dispatch(&self, request: &RequestId, upstream: usize, now: Instant) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        assert!(
            !state.may_have_run || state.arrival.idempotent,
            "a call that is not idempotent was sent again after it may have run"
        );
        assert!(
            self.upstreams[upstream].is_reachable(),
            "work was sent to a leaving upstream"
        );
        assert!(
            !state.has_tried(upstream),
            "a retry went to the same upstream"
        );
        self.assert_no_urgent_passed_over(request, upstream, now);
    }

    /// Against head-of-line blocking: routine work gets a place only if no urgent request could take
    /// it, or if the routine floor kept it.
    fn assert_no_urgent_passed_over(&self, request: &RequestId, upstream: usize, now: Instant) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let is_kept = self.services[state.service].floor.is_owed();
        if state.arrival.class == Class::Routine && !is_kept {
            let urgent = self.first_for(upstream, Class::Urgent, now);
            assert!(urgent.is_none(), "routine work passed over urgent work");
        }
    }

    /// Asks placement for `adapter` unless that was done lately.
    pub(crate) fn want(
        &mut self,
        service: usize,
        adapter: &AdapterRef,
        class: Class,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        let interval = self.settings.want_interval;
        let is_recent = |want: crate::adapter_index::Want| now < want.last + interval;
        if self.adapters.want(adapter).is_some_and(is_recent) {
            return;
        }
        let Some(upstream) = self.load_target(service, adapter, class, now, rng) else {
            return;
        };
        self.adapters.set_want(adapter, now);
        actions.push(RoutingAction::WantAdapter {
            upstream: self.upstreams[upstream].id.clone(),
            adapter: adapter.clone(),
            class,
        });
    }

    /// The best of a few upstreams without `adapter`, in the own failure domain if it has any.
    fn load_target(
        &self,
        service: usize,
        adapter: &AdapterRef,
        class: Class,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Option<usize> {
        let state = &self.services[service];
        let members = if state.reachable_own > 0 {
            &state.own
        } else {
            &state.foreign
        };
        if members.is_empty() {
            return None;
        }
        let start = below(members.len(), rng);
        let from_start = (0..members.len()).map(|step| members[(start + step) % members.len()]);
        let can_load = |upstream: &usize| {
            let target = &self.upstreams[*upstream];
            target.is_usable(now) && target.holds(adapter).is_none()
        };
        let few = from_start.map(|member| member as usize).filter(can_load);
        let wanted = Some(adapter.clone());
        let scored = few.take(self.settings.choices.max(1)).map(|upstream| {
            let score = self.score(upstream, &wanted, class, None, now);
            // An engine without a place would let the request wait again after the load.
            let is_full = !self.has_place(upstream, class, false, now);
            (upstream, (is_full, score.total_s()))
        });
        let best = scored.min_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(upstream, _)| upstream)
    }
}
