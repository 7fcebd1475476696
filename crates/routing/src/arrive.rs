//! Admission and queueing of arriving requests.

use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, Class, RequestId, ResultCode, RunState};
use rand::Rng;
use smallvec::SmallVec;

use crate::class_queue::{QueuePosition, Rank};
use crate::request_state::{Phase, RequestState};
use crate::router::CallerState;
use crate::{Arrival, Router, RoutingAction};

/// How many times the expected load time requests wait for full engines before another copy of the
/// adapter is requested. A copy may evict another adapter and delay its requests, so it must save
/// several loads.
const COPY_WAIT_FACTOR: f64 = 6.0;

/// Why a request is refused at arrival.
struct Refusal {
    code: ResultCode,
    /// Time after which a retry may succeed; sets `retry_after`.
    wait: Duration,
}

impl Router {
    pub(crate) fn arrive(
        &mut self,
        arrival: Arrival,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        if self.requests.contains_key(&arrival.request) {
            // A duplicate message: the request is being handled already.
            return;
        }
        let service = match self.admit(&arrival, now) {
            Ok(service) => service,
            Err(refusal) => {
                self.request_load_for_retry(&arrival, &refusal, now, rng, actions);
                actions.push(RoutingAction::Refuse {
                    retry_after: self.retry_after(refusal.wait, rng),
                    request: arrival.request,
                    code: refusal.code,
                    state: RunState::NotRun,
                });
                return;
            }
        };
        let request = arrival.request.clone();
        self.enqueue(arrival, service, now);
        self.try_dispatch(&request, now, rng, actions);
    }

    /// Returns the index of the service that admits the request, or why it is refused.
    fn admit(&self, arrival: &Arrival, now: Instant) -> Result<usize, Refusal> {
        const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);
        let refusal = |code, wait| Err(Refusal { code, wait });
        let listed = self.service_by_name.get(&arrival.service).copied();
        let Some(index) = listed.filter(|index| self.services[*index].is_listed) else {
            return refusal(ResultCode::UnknownService, UNAVAILABLE_RETRY_AFTER);
        };
        let service = &self.services[index];
        if service.available == 0 {
            return refusal(ResultCode::NoUpstream, UNAVAILABLE_RETRY_AFTER);
        }
        let caller = self.callers.get(&arrival.caller);
        if caller.is_some_and(|caller| caller.requests >= self.plan.in_flight_per_caller) {
            return refusal(
                ResultCode::CallerLimit,
                service.expected_wait(arrival.class, now),
            );
        }
        let wait = service.expected_wait(arrival.class, now);
        if service.queue(arrival.class).len() >= service.plan.queue_per_class as usize {
            return refusal(ResultCode::QueueFull, wait);
        }
        let answer_time = service.p5_answer_time(arrival.class);
        if now + wait + answer_time > arrival.deadline {
            return refusal(ResultCode::DeadlineUnreachable, wait);
        }
        let adapter_wait = self.adapter_wait(arrival, now);
        if now + adapter_wait + answer_time > arrival.deadline {
            return refusal(ResultCode::AdapterNotReady, adapter_wait);
        }
        Ok(index)
    }

    /// The expected time until the request's adapter is ready on some upstream.
    fn adapter_wait(&self, arrival: &Arrival, now: Instant) -> Duration {
        let Some(adapter) = &arrival.adapter else {
            return Duration::ZERO;
        };
        if (self.adapters.holders(adapter).iter()).any(|holder| holder.is_ready) {
            return Duration::ZERO;
        }
        match self.adapters.load_request(adapter) {
            Some(load_request) => {
                let passed = now.saturating_duration_since(load_request.first);
                self.expected_load_time(0).saturating_sub(passed)
            }
            // Placement gives priority to loads for urgent requests.
            None if arrival.class == Class::Urgent => self.expected_load_time(0),
            None => self.expected_load_time(self.adapters.pending_loads()),
        }
    }

    /// Requests the adapter of a refused request, so that a later retry can succeed.
    fn request_load_for_retry(
        &mut self,
        arrival: &Arrival,
        refusal: &Refusal,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        if refusal.code != ResultCode::AdapterNotReady {
            return;
        }
        let service = self.service_by_name.get(&arrival.service).copied();
        if let (Some(service), Some(adapter)) = (service, &arrival.adapter) {
            self.request_load(service, adapter, arrival.class, now, rng, actions);
        }
    }

    fn enqueue(&mut self, arrival: Arrival, service: usize, now: Instant) {
        let penalty = self.fairness_penalty(&arrival, service, now);
        let state = &mut self.services[service];
        let answer_time = state.p5_answer_time(arrival.class);
        let latest_start = arrival.deadline.checked_sub(answer_time).unwrap_or(now);
        let seq = self.next_seq;
        self.next_seq += 1;
        let position = QueuePosition {
            rank: Rank {
                at: latest_start + penalty,
                seq,
            },
            latest_start,
        };
        state
            .queue_mut(arrival.class)
            .push(&arrival.adapter, position, &arrival.request);
        self.requests.insert(
            arrival.request.clone(),
            RequestState {
                arrival,
                service,
                phase: Phase::Waiting(position),
                attempts: 0,
                tried: SmallVec::new(),
                may_have_run: false,
                was_cancelled: false,
                arrived: now,
                position,
            },
        );
    }

    /// The time added to a request's sort key when its caller exceeds its fair share.
    ///
    /// It keeps one caller from filling the queue. Each request advances its caller's due time by
    /// the time in which each caller would get one dispatch. A caller within its share has no
    /// penalty; the requests of a burst are sorted as if they had been sent at their due times.
    fn fairness_penalty(&mut self, arrival: &Arrival, service: usize, now: Instant) -> Duration {
        let rate_per_s = self.services[service].rate_per_s(arrival.class, now);
        let share = self.callers.len().max(1) as f64;
        let spacing_s = rate_per_s.map_or(0.001, |rate_per_s| share / rate_per_s);
        let caller = self
            .callers
            .entry(arrival.caller.clone())
            .or_insert(CallerState {
                requests: 0,
                due: [now, now],
            });
        caller.requests += 1;
        let due = &mut caller.due[arrival.class as usize];
        let penalty = due.saturating_duration_since(now);
        *due = now + penalty + Duration::from_secs_f64(spacing_s.min(60.0));
        penalty
    }

    /// Dispatches a waiting request if a place is free; otherwise requests the capacity that it
    /// needs.
    pub(crate) fn try_dispatch(
        &mut self,
        request: &RequestId,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        match self.choose(state, now, rng) {
            // An urgent request that can use the place gets it first.
            Some(upstream) if state.arrival.class == Class::Routine => {
                if self.first_runnable(upstream, Class::Urgent, now).is_some() {
                    self.fill(upstream, now, actions);
                } else {
                    self.dispatch(request, upstream, now, actions);
                }
            }
            Some(upstream) => self.dispatch(request, upstream, now, actions),
            None => self.request_capacity(request, now, rng, actions),
        }
    }

    /// For a request that has to wait, requests a load of its adapter if that is needed, and
    /// cancels a routine attempt if it is urgent and the settings allow it.
    fn request_capacity(
        &mut self,
        request: &RequestId,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(state) = self.requests.get(request) else {
            return;
        };
        let (service, class) = (state.service, state.arrival.class);
        if let Some(adapter) = state.arrival.adapter.clone()
            && self.needs_load(service, &adapter, class, now)
        {
            self.request_load(service, &adapter, class, now, rng, actions);
        }
        if class == Class::Urgent && self.settings.cancels_routine {
            self.cancel_routine(request, now, actions);
        }
    }

    /// Whether to load another copy of `adapter` in this failure domain: either it has none, or the
    /// upstreams that hold it are so full that the wait is several times the expected load time. A
    /// higher weight of load stalls lowers this threshold.
    ///
    /// Copies in other failure domains don't count: this node has few places there, and a request
    /// that had found one wouldn't be waiting.
    pub(crate) fn needs_load(
        &self,
        service: usize,
        adapter: &AdapterRef,
        class: Class,
        now: Instant,
    ) -> bool {
        let state = &self.services[service];
        let has_own = state.available_in_own_domain > 0;
        let holders = self.adapters.holders(adapter).iter().filter(|holder| {
            let upstream = &self.upstreams[holder.upstream as usize];
            upstream.is_available() && (upstream.is_own_domain || !has_own)
        });
        let holders = holders.count();
        if holders == 0 {
            return true;
        }
        let adapter_ref = Some(adapter.clone());
        let lane = || state.queue(class).lane(&adapter_ref);
        let first = lane().next().and_then(|(_, id)| self.requests.get(id));
        let waited = first.map_or(Duration::ZERO, |request| now - request.arrived);
        let places = holders as f64 * f64::from(state.plan.in_flight_per_upstream.max(1));
        let wait_s = lane().count() as f64 / places * state.answer_time[class as usize].mean_s();
        let load_s = self
            .expected_load_time(self.adapters.pending_loads())
            .as_secs_f64();
        wait_s.max(waited.as_secs_f64())
            > load_s * (COPY_WAIT_FACTOR - self.plan.weights.load_stalls)
    }
}
