//! Time passes.

use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, Class, RequestId, ResultCode};
use rand::Rng;

use crate::{Router, RoutingAction};

/// How often tables are swept of what nobody needs any more.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// How long a load that nobody asks for again is expected.
const WANT_KEPT: Duration = Duration::from_secs(30);

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
                self.want_again(service, now, rng, actions);
            }
        }
        if self.next_sweep.is_none_or(|at| at <= now) {
            self.next_sweep = Some(now + SWEEP_INTERVAL);
            self.sweep(now);
        }
    }

    /// Refuses what can no longer meet its deadline, before it takes anyone's place.
    fn shed_expired(
        &mut self,
        service: usize,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        for class in Class::ALL {
            while let Some(request) = self.services[service].queue(class).expired(now).cloned() {
                let code = self.code_of_wait(&request);
                let wait = self.services[service].expected_wait(class, now);
                let retry_after = self.retry_after(wait, rng);
                self.finish(&request, code, retry_after, actions);
            }
        }
    }

    fn code_of_wait(&self, request: &RequestId) -> ResultCode {
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
        // The own failure domain first: what it takes need not leave it.
        for index in 0..self.services[service].own.len() {
            let upstream = self.services[service].own[index] as usize;
            self.fill(upstream, now, actions);
        }
        for index in 0..self.services[service].foreign.len() {
            let upstream = self.services[service].foreign[index] as usize;
            self.fill(upstream, now, actions);
        }
    }

    fn want_again(
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
                    self.want(service, adapter, class, now, rng, actions);
                }
            }
        }
    }

    fn sweep(&mut self, now: Instant) {
        self.callers
            .retain(|_, caller| caller.requests > 0 || caller.due.iter().any(|due| *due > now));
        if let Some(before) = now.checked_sub(WANT_KEPT) {
            self.adapters.forget_wants(before);
        }
        for service in 0..self.services.len() {
            self.services[service].usual_others = self.usual_others(service, now);
        }
    }

    fn usual_others(&self, service: usize, now: Instant) -> f64 {
        let state = &self.services[service];
        let members = state.own.iter().chain(&state.foreign);
        let reports = members.filter_map(|u| self.upstreams[*u as usize].last_report);
        let fresh = reports.filter(|report| now < report.at + self.settings.report_stale_after);
        let (sum, count) = fresh.fold((0.0, 0), |(sum, n), report| (sum + report.others, n + 1));
        if count == 0 {
            0.0
        } else {
            sum / f64::from(count)
        }
    }
}
