//! A request arrives.

use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, Class, RequestId, ResultCode, RunState};
use rand::Rng;
use smallvec::SmallVec;

use crate::class_queue::{QueuePlace, Rank};
use crate::request_state::{Phase, RequestState};
use crate::router::CallerState;
use crate::{Arrival, Router, RoutingAction};

/// How many times a load's time requests wait for a full engine before another copy is asked for.
/// The copy evicts an adapter that others then wait for, so it must be worth several loads.
const COPY_BAR: f64 = 6.0;

/// Why a request is refused at arrival.
struct Refusal {
    code: ResultCode,
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
            // A doubled message: the request already has its one way to an answer.
            return;
        }
        let service = match self.admit(&arrival, now) {
            Ok(service) => service,
            Err(refusal) => {
                self.want_for_later(&arrival, &refusal, now, rng, actions);
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
        self.place_waiting(&request, now, rng, actions);
    }

    /// Says which service takes the request, or why none does.
    fn admit(&self, arrival: &Arrival, now: Instant) -> Result<usize, Refusal> {
        const LONG: Duration = Duration::from_secs(2);
        let refusal = |code, wait| Err(Refusal { code, wait });
        let listed = self.service_by_name.get(&arrival.service).copied();
        let Some(index) = listed.filter(|index| self.services[*index].is_listed) else {
            return refusal(ResultCode::UnknownService, LONG);
        };
        let service = &self.services[index];
        if service.reachable == 0 {
            return refusal(ResultCode::NoUpstream, LONG);
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
        let whole = service.quick_whole(arrival.class);
        if now + wait + whole > arrival.deadline {
            return refusal(ResultCode::DeadlineUnreachable, wait);
        }
        let load_wait = self.adapter_wait(arrival, now);
        if now + load_wait + whole > arrival.deadline {
            return refusal(ResultCode::AdapterNotReady, load_wait);
        }
        Ok(index)
    }

    /// How long until the request's adapter is ready somewhere.
    fn adapter_wait(&self, arrival: &Arrival, now: Instant) -> Duration {
        let Some(adapter) = &arrival.adapter else {
            return Duration::ZERO;
        };
        if (self.adapters.holders(adapter).iter()).any(|holder| holder.is_ready) {
            return Duration::ZERO;
        }
        match self.adapters.want(adapter) {
            Some(want) => {
                let passed = now.saturating_duration_since(want.first);
                self.expected_load(0).saturating_sub(passed)
            }
            // Placement loads for urgent requests first.
            None if arrival.class == Class::Urgent => self.expected_load(0),
            None => self.expected_load(self.adapters.wants()),
        }
    }

    /// Asks for the adapter of a refused request, so that coming back later helps.
    fn want_for_later(
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
            self.want(service, adapter, arrival.class, now, rng, actions);
        }
    }

    fn enqueue(&mut self, arrival: Arrival, service: usize, now: Instant) {
        let penalty = self.fairness_penalty(&arrival, service, now);
        let state = &mut self.services[service];
        let whole = state.quick_whole(arrival.class);
        let latest_start = arrival.deadline.checked_sub(whole).unwrap_or(now);
        let seq = self.next_seq;
        self.next_seq += 1;
        let place = QueuePlace {
            rank: Rank {
                at: latest_start + penalty,
                seq,
            },
            latest_start,
        };
        state
            .queue_mut(arrival.class)
            .push(&arrival.adapter, place, &arrival.request);
        self.requests.insert(
            arrival.request.clone(),
            RequestState {
                arrival,
                service,
                phase: Phase::Waiting(place),
                attempts: 0,
                tried: SmallVec::new(),
                may_have_run: false,
                was_cancelled: false,
                arrived: now,
                place,
            },
        );
    }

    /// How far behind its slack a request is put, because its caller asks for more than its share.
    ///
    /// Against one caller that fills the queue: each request moves its caller's due time on by the
    /// time in which every waiting caller would get one dispatch. A caller that keeps to its share
    /// is never put back; one that sends a burst competes with others from its due time on.
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

    /// Sends a waiting request if a place is free, or else asks for what it waits for.
    pub(crate) fn place_waiting(
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
            // A place that an urgent request could use goes to that one first.
            Some(upstream) if state.arrival.class == Class::Routine => {
                if self.first_for(upstream, Class::Urgent, now).is_some() {
                    self.fill(upstream, now, actions);
                } else {
                    self.dispatch(request, upstream, now, actions);
                }
            }
            Some(upstream) => self.dispatch(request, upstream, now, actions),
            None => self.wait_on(request, now, rng, actions),
        }
    }

    fn wait_on(
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
            self.want(service, &adapter, class, now, rng, actions);
        }
        if class == Class::Urgent && self.settings.cancels_routine {
            self.cancel_routine(request, now, actions);
        }
    }

    /// Whether another copy of `adapter` in this failure domain would pay: it has none, or those it
    /// has are so full that the wait is many times that for a load. The weight of load stalls lowers
    /// the bar.
    ///
    /// Copies in other failure domains do not count: their places for this node are few, and a
    /// request that had found one there would not wait.
    pub(crate) fn needs_load(
        &self,
        service: usize,
        adapter: &AdapterRef,
        class: Class,
        now: Instant,
    ) -> bool {
        let state = &self.services[service];
        let has_own = state.reachable_own > 0;
        let holders = self.adapters.holders(adapter).iter().filter(|holder| {
            let upstream = &self.upstreams[holder.upstream as usize];
            upstream.is_reachable() && (upstream.is_own || !has_own)
        });
        let holders = holders.count();
        if holders == 0 {
            return true;
        }
        let wanted = Some(adapter.clone());
        let lane = || state.queue(class).lane(&wanted);
        let first = lane().next().and_then(|(_, id)| self.requests.get(id));
        let waited = first.map_or(Duration::ZERO, |request| now - request.arrived);
        let places = holders as f64 * f64::from(state.plan.in_flight_per_upstream.max(1));
        let wait_s = lane().count() as f64 / places * state.whole[class as usize].mean_s();
        let load_s = self.expected_load(self.adapters.wants()).as_secs_f64();
        wait_s.max(waited.as_secs_f64()) > load_s * (COPY_BAR - self.plan.weights.load_stalls)
    }
}
