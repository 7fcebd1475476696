//! Periodic work: expired requests, load requests and table cleanup.

use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, Class, RequestId, ResultCode};
use rand::Rng;

use crate::{Router, RoutingAction};

/// Interval at which unused entries are removed from tables.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a load request that was not repeated is dropped.
const LOAD_REQUEST_TTL: Duration = Duration::from_secs(30);

impl Router {
    pub(crate) fn tick(
        &mut self,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        for service in 0..self.services.len() {
            self.shed_expired(service, now, rng, actions);
            if self.services[service].has_waiting() {
                self.fill_service(service, now, actions);
                self.repeat_load_requests(service, now, rng, actions);
            }
        }
        if self.next_sweep.is_none_or(|at| at <= now) {
            self.next_sweep = Some(now + SWEEP_INTERVAL);
            self.sweep(now);
        }
    }

    /// Refuses requests that can no longer meet their deadline, before they take a place that
    /// others could use.
    fn shed_expired(
        &mut self,
        service: usize,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        for class in Class::ALL {
            while let Some(request) = self.services[service].queue(class).expired(now).cloned() {
                let code = self.expiry_code(&request);
                let wait = self.services[service].expected_wait(class, now);
                let retry_after = self.retry_after(wait, rng);
                self.finish(&request, code, retry_after, actions);
            }
        }
    }

    fn expiry_code(&self, request: &RequestId) -> ResultCode {
        let adapter = self
            .requests
            .get(request)
            .and_then(|r| r.arrival.adapter.as_ref());
        let is_ready = |adapter: &AdapterRef| {
            let mut holders = self.adapters.holders(adapter).iter();
            holders.any(|holder| holder.is_ready)
        };
        if adapter.is_none_or(is_ready) {
            ResultCode::DeadlineUnreachable
        } else {
            ResultCode::AdapterNotReady
        }
    }

    fn fill_service(&mut self, service: usize, now: Instant, actions: &mut Vec<RoutingAction>) {
        // This node's failure domain comes first, so that fewer requests leave it.
        for index in 0..self.services[service].own_domain.len() {
            let upstream = self.services[service].own_domain[index] as usize;
            self.fill(upstream, now, actions);
        }
        for index in 0..self.services[service].other_domains.len() {
            let upstream = self.services[service].other_domains[index] as usize;
            self.fill(upstream, now, actions);
        }
    }

    fn repeat_load_requests(
        &mut self,
        service: usize,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        for class in Class::ALL {
            let waited = self.services[service].queue(class).adapters();
            let waited: Vec<AdapterRef> = waited.cloned().collect();
            for adapter in &waited {
                if self.needs_load(service, adapter, class, now) {
                    self.request_load(service, adapter, class, now, rng, actions);
                }
            }
        }
    }

    fn sweep(&mut self, now: Instant) {
        self.callers
            .retain(|_, caller| caller.requests > 0 || caller.due.iter().any(|due| *due > now));
        if let Some(before) = now.checked_sub(LOAD_REQUEST_TTL) {
            self.adapters.expire_load_requests(before);
        }
        for service in 0..self.services.len() {
            self.services[service].mean_other_nodes_load = self.mean_other_nodes_load(service, now);
        }
    }

    fn mean_other_nodes_load(&self, service: usize, now: Instant) -> f64 {
        let state = &self.services[service];
        let members = state.own_domain.iter().chain(&state.other_domains);
        let reports = members.filter_map(|u| self.upstreams[*u as usize].last_report);
        let fresh = reports.filter(|report| now < report.at + self.settings.report_stale_after);
        let (sum, count) = fresh.fold((0.0, 0), |(sum, n), report| {
            (sum + report.other_nodes_load, n + 1)
        });
        if count == 0 {
            0.0
        } else {
            sum / f64::from(count)
        }
    }
}
