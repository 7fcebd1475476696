//! Answers begin and attempts end.

use std::time::{Duration, Instant};

use nutmegsail_base::{Class, RequestId, ResultCode};
use rand::Rng;

use crate::request_state::{Phase, RequestState};
use crate::{AdapterAvailability, Outcome, Router, RoutingAction};

/// What follows an attempt without an answer.
struct Unanswered {
    code: ResultCode,
    /// Whether a further attempt is paid from the retry budget.
    costs_retry: bool,
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
            service.first_byte[state.arrival.class as usize].observe(took);
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
            // Only a caller can end a request that waits; anything else is a late message.
            if outcome == Outcome::CallerGone {
                self.forget(request);
            }
            return;
        };
        let class = state.arrival.class;
        self.free_place(request, upstream, class, now);
        match outcome {
            Outcome::Succeeded => {
                let took = now.saturating_duration_since(since);
                self.succeeded(request, upstream, took, now);
            }
            Outcome::CallerGone => {
                self.forget(request);
            }
            _ => {
                let unanswered = self.unanswered(request, upstream, outcome, has_first_byte, now);
                self.after_attempt(request, &unanswered, now, rng, actions);
            }
        }
        self.fill(upstream, now, actions);
        self.note_limited(upstream, now);
    }

    /// Notes which classes go on waiting for a place after one fell free.
    fn note_limited(&mut self, upstream: usize, now: Instant) {
        for class in Class::ALL {
            if self.first_for(upstream, class, now).is_some() {
                let service = self.upstreams[upstream].service;
                self.services[service].drain[class as usize].limited(now);
            }
        }
    }

    fn free_place(&mut self, request: &RequestId, upstream: usize, class: Class, now: Instant) {
        let state = &mut self.upstreams[upstream];
        state.free_place(class, now, self.settings.report_lag);
        state.cancellable.retain(|id| id != request);
    }

    fn succeeded(&mut self, request: &RequestId, upstream: usize, took: Duration, now: Instant) {
        self.upstreams[upstream]
            .outlier
            .succeeded(now, &self.settings);
        if let Some(state) = self.forget(request) {
            let service = &mut self.services[state.service];
            service.whole[state.arrival.class as usize].observe(took);
        }
    }

    /// Notes what the attempt says about the upstream and about whether the request ran.
    fn unanswered(
        &mut self,
        request: &RequestId,
        upstream: usize,
        outcome: Outcome,
        has_first_byte: bool,
        now: Instant,
    ) -> Unanswered {
        let Some(state) = self.requests.get_mut(request) else {
            unreachable!("the request was found by the caller");
        };
        let (code, costs_retry) = match outcome {
            Outcome::RefusedByUpstream if !has_first_byte => {
                self.upstreams[upstream]
                    .outlier
                    .refused(now, &self.settings);
                state.tried.push(upstream as u32);
                let service = state.service;
                self.count_reachable(service);
                (ResultCode::UpstreamRefused, true)
            }
            Outcome::AdapterAbsent if !has_first_byte => {
                if let Some(adapter) = state.arrival.adapter.clone() {
                    self.set_held(upstream, &adapter, AdapterAvailability::Absent, now);
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
                self.count_failure(upstream, now);
                let code = if has_first_byte {
                    ResultCode::AnswerCut
                } else {
                    ResultCode::UpstreamFailed
                };
                (code, true)
            }
        };
        Unanswered { code, costs_retry }
    }

    /// Counts a failure and ejects the upstream if it fails too much, but never so many of a failure
    /// domain at a time that the rest would be overrun.
    fn count_failure(&mut self, upstream: usize, now: Instant) {
        let state = &mut self.upstreams[upstream];
        if !state.outlier.failed(&self.settings) {
            return;
        }
        let service = &self.services[state.service];
        let members = if state.is_own {
            &service.own
        } else {
            &service.foreign
        };
        let is_ejected = |u: &&u32| self.upstreams[**u as usize].outlier.is_ejected(now);
        let ejected = members.iter().filter(is_ejected).count();
        let allowed = members.len() as f64 * self.settings.ejected_share_max;
        // One of two may go; the last one never.
        let at_least = if members.len() > 1 { 1.0 } else { 0.0 };
        if (ejected as f64) + 1.0 <= allowed.max(at_least) {
            self.upstreams[upstream].outlier.eject(now, &self.settings);
            self.count_reachable(self.upstreams[upstream].service);
        }
    }

    /// Sends the request elsewhere if that is safe, useful and within the budget; ends it if not.
    fn after_attempt(
        &mut self,
        request: &RequestId,
        unanswered: &Unanswered,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        match self.further_attempt(request, unanswered, now) {
            Ok(()) => {
                self.wait_again(request);
                self.place_waiting(request, now, rng, actions);
            }
            Err(code) => {
                let wait = self.settings.retry_after_min;
                let retry_after = self.retry_after(wait, rng);
                self.finish(request, code, retry_after, actions);
            }
        }
    }

    fn further_attempt(
        &mut self,
        request: &RequestId,
        unanswered: &Unanswered,
        now: Instant,
    ) -> Result<(), ResultCode> {
        let Some(state) = self.requests.get(request) else {
            return Err(unanswered.code);
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
            return Err(unanswered.code);
        }
        let service = &mut self.services[state.service];
        if now + service.quick_whole(state.arrival.class) > state.arrival.deadline {
            return Err(ResultCode::DeadlineUnreachable);
        }
        if unanswered.costs_retry && !service.budget.take() {
            return Err(ResultCode::RetryBudgetSpent);
        }
        Ok(())
    }

    fn has_untried(&self, state: &RequestState) -> bool {
        let service = &self.services[state.service];
        let mut members = service.own.iter().chain(&service.foreign);
        members.any(|upstream| {
            let upstream = *upstream as usize;
            self.upstreams[upstream].is_reachable() && !state.has_tried(upstream)
        })
    }

    fn wait_again(&mut self, request: &RequestId) {
        let Some(state) = self.requests.get_mut(request) else {
            return;
        };
        state.phase = Phase::Waiting(state.place);
        let queue = self.services[state.service].queue_mut(state.arrival.class);
        queue.push(&state.arrival.adapter, state.place, request);
    }
}
