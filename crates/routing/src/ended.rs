//! Handling of first bytes and of the ends of attempts.

use std::time::{Duration, Instant};

use nutmegsail_base::{Class, RequestId, ResultCode};
use rand::Rng;

use crate::request_state::{Phase, RequestState};
use crate::{AdapterAvailability, Outcome, Router, RoutingAction};

/// An attempt that ended without an answer.
struct FailedAttempt {
    code: ResultCode,
    /// Whether a retry is charged to the retry budget.
    uses_retry_budget: bool,
}

impl Router {
    pub(crate) fn first_byte(&mut self, request: &RequestId, now: Instant) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        if let Phase::Dispatched {
            upstream,
            since,
            has_first_byte,
            ..
        } = &mut state.phase
            && !*has_first_byte
        {
            *has_first_byte = true;
            let took = now.saturating_duration_since(*since);
            let service = &mut self.services[state.service];
            service.first_byte_time[state.arrival.class as usize].observe(took);
            self.upstreams[*upstream]
                .cancellable
                .retain(|id| id != request);
        }
    }

    pub(crate) fn ended(
        &mut self,
        request: &RequestId,
        outcome: Outcome,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let Phase::Dispatched {
            upstream,
            since,
            has_first_byte,
            ..
        } = state.phase
        else {
            // Only its caller can end a waiting request; any other outcome is a late message.
            if outcome == Outcome::CallerGone {
                self.remove_request(request);
            }
            return;
        };
        let class = state.arrival.class;
        self.release_place(request, upstream, class, now);
        match outcome {
            Outcome::Succeeded => {
                let took = now.saturating_duration_since(since);
                self.record_success(request, upstream, took, now);
            }
            Outcome::CallerGone => {
                self.remove_request(request);
            }
            _ => {
                let failed_attempt =
                    self.record_failed_attempt(request, upstream, outcome, has_first_byte, now);
                self.retry_or_finish(request, &failed_attempt, now, rng, actions);
            }
        }
        self.fill(upstream, now, actions);
        self.record_backlogs(upstream, now);
    }

    /// Records a backlog for each class that still waits for a place after one was released.
    fn record_backlogs(&mut self, upstream: usize, now: Instant) {
        for class in Class::ALL {
            if self.first_runnable(upstream, class, now).is_some() {
                let service = self.upstreams[upstream].service;
                self.services[service].drain_rate[class as usize].record_backlog(now);
            }
        }
    }

    fn release_place(&mut self, request: &RequestId, upstream: usize, class: Class, now: Instant) {
        let state = &mut self.upstreams[upstream];
        state.release_place(class, now, self.settings.report_lag);
        state.cancellable.retain(|id| id != request);
    }

    fn record_success(
        &mut self,
        request: &RequestId,
        upstream: usize,
        took: Duration,
        now: Instant,
    ) {
        self.upstreams[upstream]
            .outlier
            .record_success(now, &self.settings);
        if let Some(state) = self.remove_request(request) {
            let service = &mut self.services[state.service];
            service.answer_time[state.arrival.class as usize].observe(took);
        }
    }

    /// Records what the outcome shows about the upstream and about whether the request may have
    /// run.
    fn record_failed_attempt(
        &mut self,
        request: &RequestId,
        upstream: usize,
        outcome: Outcome,
        has_first_byte: bool,
        now: Instant,
    ) -> FailedAttempt {
        let Some(state) = self.requests.get_mut(request) else {
            unreachable!("`ended` has looked the request up");
        };
        let (code, uses_retry_budget) = match outcome {
            Outcome::RefusedByUpstream if !has_first_byte => {
                self.upstreams[upstream]
                    .outlier
                    .record_refusal(now, &self.settings);
                state.tried.push(upstream as u32);
                let service = state.service;
                self.update_availability(service);
                (ResultCode::UpstreamRefused, true)
            }
            Outcome::AdapterAbsent if !has_first_byte => {
                if let Some(adapter) = state.arrival.adapter.clone() {
                    self.record_availability(upstream, &adapter, AdapterAvailability::Absent, now);
                }
                (ResultCode::AdapterNotReady, false)
            }
            Outcome::Cancelled if !has_first_byte => {
                state.may_have_run = true;
                (ResultCode::UpstreamFailed, false)
            }
            _ => {
                state.may_have_run = true;
                state.tried.push(upstream as u32);
                self.record_failure(upstream, now);
                let code = if has_first_byte {
                    ResultCode::AnswerCut
                } else {
                    ResultCode::UpstreamFailed
                };
                (code, true)
            }
        };
        FailedAttempt {
            code,
            uses_retry_budget,
        }
    }

    /// Counts a failure and ejects the upstream if it fails too often, unless too many upstreams of
    /// its failure domain are ejected already: the remaining ones would be overloaded.
    fn record_failure(&mut self, upstream: usize, now: Instant) {
        let state = &mut self.upstreams[upstream];
        if !state.outlier.record_failure(&self.settings) {
            return;
        }
        let service = &self.services[state.service];
        let members = if state.is_own_domain {
            &service.own_domain
        } else {
            &service.other_domains
        };
        let is_ejected = |u: &&u32| self.upstreams[**u as usize].outlier.is_ejected(now);
        let ejected = members.iter().filter(is_ejected).count();
        let allowed = members.len() as f64 * self.settings.ejected_share_max;
        // Of two upstreams one may be ejected; a single one never.
        let at_least = if members.len() > 1 { 1.0 } else { 0.0 };
        if (ejected as f64) + 1.0 <= allowed.max(at_least) {
            self.upstreams[upstream].outlier.eject(now, &self.settings);
            self.update_availability(self.upstreams[upstream].service);
        }
    }

    /// Retries the request if that is safe, useful and within the retry budget; otherwise ends it.
    fn retry_or_finish(
        &mut self,
        request: &RequestId,
        failed_attempt: &FailedAttempt,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        match self.check_retry(request, failed_attempt, now) {
            Ok(()) => {
                self.requeue(request);
                self.try_dispatch(request, now, rng, actions);
            }
            Err(code) => {
                let wait = self.settings.retry_after_min;
                let retry_after = self.retry_after(wait, rng);
                self.finish(request, code, retry_after, actions);
            }
        }
    }

    fn check_retry(
        &mut self,
        request: &RequestId,
        failed_attempt: &FailedAttempt,
        now: Instant,
    ) -> Result<(), ResultCode> {
        let Some(state) = self.requests.get(request) else {
            return Err(failed_attempt.code);
        };
        let has_first_byte = matches!(
            state.phase,
            Phase::Dispatched {
                has_first_byte: true,
                ..
            }
        );
        let is_safe = !has_first_byte && (!state.may_have_run || state.arrival.idempotent);
        let is_useful = state.attempts < self.settings.max_attempts && self.has_untried(state);
        if !is_safe || !is_useful {
            return Err(failed_attempt.code);
        }
        let service = &mut self.services[state.service];
        if now + service.p5_answer_time(state.arrival.class) > state.arrival.deadline {
            return Err(ResultCode::DeadlineUnreachable);
        }
        if failed_attempt.uses_retry_budget && !service.budget.try_spend() {
            return Err(ResultCode::RetryBudgetSpent);
        }
        Ok(())
    }

    fn has_untried(&self, state: &RequestState) -> bool {
        let service = &self.services[state.service];
        let mut members = service.own_domain.iter().chain(&service.other_domains);
        members.any(|upstream| {
            let upstream = *upstream as usize;
            self.upstreams[upstream].is_available() && !state.has_tried(upstream)
        })
    }

    fn requeue(&mut self, request: &RequestId) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        state.phase = Phase::Waiting(state.position);
        let queue = self.services[state.service].queue_mut(state.arrival.class);
        queue.push(&state.arrival.adapter, state.position, request);
    }
}
