//! The state of one service.

use std::time::{Duration, Instant};

use nutmegsail_base::{Class, ServiceName};

use crate::class_queue::ClassQueue;
use crate::drain_rate::DrainRate;
use crate::retry_budget::RetryBudget;
use crate::routine_floor::RoutineFloor;
use crate::{RouterSettings, ServicePlan};

/// Moving estimates of the mean and the 5th percentile of a duration.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DurationEstimate {
    mean_s: f64,
    p5_s: f64,
    is_known: bool,
}

impl DurationEstimate {
    pub(crate) fn observe(&mut self, duration: Duration) {
        const MEAN_WEIGHT: f64 = 0.05;
        const P5_SHARE: f64 = 0.05;
        const P5_STEP: f64 = 0.2;
        let seen_s = duration.as_secs_f64();
        if !self.is_known {
            *self = Self {
                mean_s: seen_s,
                p5_s: seen_s / 2.0,
                is_known: true,
            };
            return;
        }
        self.mean_s += MEAN_WEIGHT * (seen_s - self.mean_s);
        // Steps down and up balance when one duration in twenty is shorter.
        if seen_s < self.p5_s {
            self.p5_s -= P5_STEP * (1.0 - P5_SHARE) * self.p5_s;
        } else {
            self.p5_s += P5_STEP * P5_SHARE * self.p5_s.min(seen_s - self.p5_s);
        }
    }

    pub(crate) fn mean_s(&self) -> f64 {
        self.mean_s
    }

    /// The 5th percentile. Load shedding uses it instead of the mean: a class mixes short and long
    /// requests, and a short one must not be refused because a long one would miss its deadline.
    pub(crate) fn p5(&self) -> Duration {
        Duration::from_secs_f64(self.p5_s)
    }
}

/// The plan, upstreams, queues and measurements of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) plan: ServicePlan,
    pub(crate) is_listed: bool,
    /// Upstreams in this node's failure domain.
    pub(crate) own_domain: Vec<u32>,
    /// Upstreams in other failure domains.
    pub(crate) other_domains: Vec<u32>,
    pub(crate) queues: [ClassQueue; 2],
    pub(crate) budget: RetryBudget,
    pub(crate) floor: RoutineFloor,
    pub(crate) drain_rate: [DrainRate; 2],
    pub(crate) first_byte_time: [DurationEstimate; 2],
    /// Time from dispatch to the end of the answer.
    pub(crate) answer_time: [DurationEstimate; 2],
    pub(crate) available_in_own_domain: u32,
    pub(crate) available: u32,
    /// Until when all available upstreams in this node's failure domain are ejected or paused.
    pub(crate) own_domain_paused_until: Option<Instant>,
    /// Mean number of requests from other nodes on one upstream.
    pub(crate) mean_other_nodes_load: f64,
}

/// The time to first byte in seconds that is assumed until one has been measured.
const INITIAL_FIRST_BYTE_TIME_S: f64 = 0.1;

impl ServiceState {
    pub(crate) fn new(name: ServiceName, settings: &RouterSettings) -> Self {
        Self {
            plan: ServicePlan::new(name),
            is_listed: true,
            own_domain: Vec::new(),
            other_domains: Vec::new(),
            queues: [ClassQueue::default(), ClassQueue::default()],
            budget: RetryBudget::new(0.0, settings.retry_burst),
            floor: RoutineFloor::default(),
            drain_rate: [DrainRate::default(); 2],
            first_byte_time: [DurationEstimate::default(); 2],
            answer_time: [DurationEstimate::default(); 2],
            available_in_own_domain: 0,
            available: 0,
            own_domain_paused_until: None,
            mean_other_nodes_load: 0.0,
        }
    }

    pub(crate) fn queue(&self, class: Class) -> &ClassQueue {
        &self.queues[class as usize]
    }

    pub(crate) fn queue_mut(&mut self, class: Class) -> &mut ClassQueue {
        &mut self.queues[class as usize]
    }

    /// Whether no upstream in this node's failure domain can get requests now.
    pub(crate) fn is_own_domain_unavailable(&self, now: Instant) -> bool {
        self.available_in_own_domain == 0
            || self
                .own_domain_paused_until
                .is_some_and(|until| now < until)
    }

    pub(crate) fn has_waiting(&self) -> bool {
        self.queues.iter().any(|queue| !queue.is_empty())
    }

    /// Counts a dispatch and returns the class to pass to the upstream.
    ///
    /// A routine request in a place reserved by the routine floor is passed on as urgent: otherwise
    /// urgent requests would starve it in the engine's own queue.
    pub(crate) fn record_dispatch(&mut self, class: Class, attempt: u32) -> Class {
        if attempt == 1 {
            self.budget.record_first_send();
        }
        self.drain_rate[class as usize].record_dispatch();
        let is_reserved = class == Class::Routine && self.floor.is_owed();
        let routine_waits = !self.queue(Class::Routine).is_empty();
        match class {
            Class::Urgent => {
                let floor = self.plan.routine_floor;
                self.floor.record_urgent_dispatch(floor, routine_waits);
            }
            Class::Routine => self.floor.record_routine_dispatch(),
        }
        if is_reserved { Class::Urgent } else { class }
    }

    /// Mean time to first byte in seconds, taken as the time on an upstream without load.
    pub(crate) fn first_byte_time_s(&self, class: Class) -> f64 {
        let seen_s = self.first_byte_time[class as usize].mean_s();
        if seen_s > 0.0 {
            seen_s
        } else {
            INITIAL_FIRST_BYTE_TIME_S
        }
    }

    pub(crate) fn p5_answer_time(&self, class: Class) -> Duration {
        self.answer_time[class as usize].p5()
    }

    /// How many requests of `class` this node can start per second: the rate measured while
    /// requests waited for a place, or else the places of the available upstreams in its failure
    /// domain divided by the mean answer time. `None` until an answer has finished.
    pub(crate) fn rate_per_s(&self, class: Class, now: Instant) -> Option<f64> {
        let measured_per_s = self.drain_rate[class as usize].per_s(now);
        measured_per_s.or_else(|| {
            let mean_s = self.answer_time[class as usize].mean_s();
            let available = f64::from(self.available_in_own_domain.max(1));
            let places = available * f64::from(self.plan.in_flight_per_upstream.max(1));
            (mean_s > 0.0).then(|| places / mean_s)
        })
    }

    /// How long a new request of `class` is expected to wait for a place.
    pub(crate) fn expected_wait(&self, class: Class, now: Instant) -> Duration {
        let ahead = self.queue(class).len();
        let Some(rate_per_s) = self.rate_per_s(class, now) else {
            return Duration::ZERO;
        };
        Duration::from_secs_f64((ahead as f64 / rate_per_s).min(3_600.0))
    }
}
