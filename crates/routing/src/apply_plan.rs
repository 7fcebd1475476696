//! Switching to a new routing plan.

use std::sync::Arc;
use std::time::Instant;

use nutmegsail_base::{Class, RequestId, ResultCode};
use rand::Rng;

use crate::service_state::ServiceState;
use crate::upstream_state::UpstreamState;
use crate::{Router, RoutingAction, RoutingPlan, ServicePlan};

impl Router {
    pub(crate) fn apply_plan(
        &mut self,
        plan: Arc<RoutingPlan>,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        // A late message must not restore an older text.
        if plan.generation < self.plan.generation {
            return;
        }
        self.clear_listings();
        for service in &plan.services {
            self.list_service(service, &plan);
        }
        self.plan = plan;
        self.release_unlisted();
        for service in 0..self.services.len() {
            self.update_availability(service);
        }
        self.refuse_unlisted(rng, actions);
        for upstream in 0..self.upstreams.len() {
            self.fill(upstream, now, actions);
        }
    }

    fn clear_listings(&mut self) {
        for service in &mut self.services {
            service.is_listed = false;
            service.own_domain.clear();
            service.other_domains.clear();
        }
        for upstream in &mut self.upstreams {
            upstream.is_listed = false;
        }
    }

    fn list_service(&mut self, service: &ServicePlan, plan: &RoutingPlan) {
        let known = self.service_by_name.get(&service.name).copied();
        let index = known.unwrap_or(self.services.len());
        if known.is_none() {
            let state = ServiceState::new(service.name.clone(), &self.settings);
            self.services.push(state);
            self.service_by_name.insert(service.name.clone(), index);
        }
        let ratio = service.retry_budget.min(self.settings.retry_ratio_max);
        let state = &mut self.services[index];
        state.is_listed = true;
        state.budget.set_ratio(ratio);
        state.plan = ServicePlan {
            upstreams: Vec::new(),
            ..service.clone()
        };
        for upstream in &service.upstreams {
            let is_own_domain = upstream.failure_domain == plan.own_domain;
            let member = self.list_upstream(&upstream.upstream, index);
            let target = &mut self.upstreams[member];
            target.is_listed = true;
            target.is_own_domain = is_own_domain;
            target.places = service.in_flight_per_upstream.max(1);
            target.headroom = service.headroom_places();
            let state = &mut self.services[index];
            let members = if is_own_domain {
                &mut state.own_domain
            } else {
                &mut state.other_domains
            };
            members.push(member as u32);
        }
    }

    fn list_upstream(&mut self, id: &nutmegsail_base::UpstreamId, service: usize) -> usize {
        if let Some(index) = self.upstream_by_id.get(id).copied() {
            self.upstreams[index].service = service;
            return index;
        }
        let mut state = UpstreamState::new(id.clone(), service);
        state.is_leaving = self.leaving_unlisted.remove(id);
        let reusable = self.upstreams.iter().position(UpstreamState::is_reusable);
        let index = reusable.unwrap_or(self.upstreams.len());
        match reusable {
            Some(index) => self.upstreams[index] = state,
            None => self.upstreams.push(state),
        }
        self.upstream_by_id.insert(id.clone(), index);
        index
    }

    /// Releases the entries of upstreams that are no longer listed and have nothing in flight.
    fn release_unlisted(&mut self) {
        for index in 0..self.upstreams.len() {
            let state = &mut self.upstreams[index];
            if state.is_listed || state.is_released || state.own_in_flight() > 0 {
                continue;
            }
            state.is_released = true;
            let id = state.id.clone();
            if state.is_leaving && !state.is_unreachable {
                self.leaving_unlisted.insert(id.clone());
            }
            for held in std::mem::take(&mut state.held) {
                self.adapters.set(&held.adapter, index, None);
            }
            self.upstream_by_id.remove(&id);
        }
    }

    fn refuse_unlisted(&mut self, rng: &mut dyn Rng, actions: &mut Vec<RoutingAction>) {
        let unlisted = self.services.iter().filter(|service| !service.is_listed);
        let queues = unlisted.flat_map(|s| Class::ALL.map(|class| s.queue(class)));
        let requests: Vec<RequestId> = queues.flat_map(|q| q.requests()).cloned().collect();
        for request in &requests {
            let retry_after = self.retry_after(self.settings.retry_after_max, rng);
            self.finish(request, ResultCode::NoUpstream, retry_after, actions);
        }
    }
}
