//! Dispatching requests and requesting adapter loads.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class, RequestId};
use rand::Rng;

use crate::candidate::random_index;
use crate::request_state::Phase;
use crate::{Router, RoutingAction};

impl Router {
    /// Sends a waiting request to `upstream`.
    ///
    /// # Panics
    ///
    /// If the dispatch would break one of the guarantees in the crate documentation.
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
        let Phase::Waiting(position) = state.phase else {
            panic!("a request was dispatched while it runs at another upstream");
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
        target.occupy_place(class, now, self.settings.report_lag);
        if class == Class::Routine && state.arrival.idempotent && !state.was_cancelled {
            target.cancellable.push(request.clone());
        }
        if let Some(prefix) = state.arrival.prefix {
            self.prefixes.remember(prefix, upstream);
        }
        let service = &mut self.services[state.service];
        service
            .queue_mut(class)
            .remove(&state.arrival.adapter, position);
        actions.push(RoutingAction::Dispatch {
            request: request.clone(),
            upstream: target.id.clone(),
            attempt,
            class: service.record_dispatch(class, attempt),
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
            self.upstreams[upstream].is_available(),
            "a request was sent to an unavailable upstream"
        );
        assert!(
            !state.has_tried(upstream),
            "a retry went to the same upstream"
        );
        self.assert_no_urgent_overtaken(request, upstream, now);
    }

    /// Asserts that a routine request gets a place only if no urgent request could use it, or if
    /// the place is reserved by the routine floor. Otherwise routine requests would delay urgent
    /// ones.
    fn assert_no_urgent_overtaken(&self, request: &RequestId, upstream: usize, now: Instant) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let is_reserved = self.services[state.service].floor.is_owed();
        if state.arrival.class == Class::Routine && !is_reserved {
            let urgent = self.first_runnable(upstream, Class::Urgent, now);
            assert!(urgent.is_none(), "a routine request overtook an urgent one");
        }
    }

    /// Asks placement to load `adapter`, at most once per `load_request_interval`.
    pub(crate) fn request_load(
        &mut self,
        service: usize,
        adapter: &AdapterRef,
        class: Class,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        let interval = self.settings.load_request_interval;
        let is_recent =
            |load_request: crate::adapter_index::LoadRequest| now < load_request.last + interval;
        if self.adapters.load_request(adapter).is_some_and(is_recent) {
            return;
        }
        let Some(upstream) = self.load_target(service, adapter, class, now, rng) else {
            return;
        };
        self.adapters.record_load_request(adapter, now);
        actions.push(RoutingAction::WantAdapter {
            upstream: self.upstreams[upstream].id.clone(),
            adapter: adapter.clone(),
            class,
        });
    }

    /// The upstream with the lowest score among up to `choices` that lack `adapter`, in this node's
    /// failure domain if any upstream is available there.
    fn load_target(
        &self,
        service: usize,
        adapter: &AdapterRef,
        class: Class,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Option<usize> {
        let state = &self.services[service];
        let members = if state.available_in_own_domain > 0 {
            &state.own_domain
        } else {
            &state.other_domains
        };
        if members.is_empty() {
            return None;
        }
        let start = random_index(members.len(), rng);
        let from_start = (0..members.len()).map(|step| members[(start + step) % members.len()]);
        let can_load = |upstream: &usize| {
            let target = &self.upstreams[*upstream];
            target.is_usable(now) && target.holds(adapter).is_none()
        };
        let able = from_start.map(|member| member as usize).filter(can_load);
        let adapter_ref = Some(adapter.clone());
        let scored = able.take(self.settings.choices.max(1)).map(|upstream| {
            let score = self.score(upstream, &adapter_ref, class, None, now);
            // On an engine without a free place the request would wait again after the load.
            let is_full = !self.has_place(upstream, class, false, now);
            (upstream, (is_full, score.total_s()))
        });
        let best = scored.min_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(upstream, _)| upstream)
    }
}
