//! What the router knows of one service.

use std::time::{Duration, Instant};

use nutmegsail_base::{Class, ServiceName};

use crate::class_queue::ClassQueue;
use crate::drain_rate::DrainRate;
use crate::retry_budget::RetryBudget;
use crate::routine_floor::RoutineFloor;
use crate::{RouterSettings, ServicePlan};

/// A duration's mean and what the quickest twentieth takes, both following what was seen lately.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Expected {
    mean_s: f64,
    quick_s: f64,
    is_known: bool,
}

impl Expected {
    pub(crate) fn observe(&mut self, duration: Duration) {
        const MEAN_WEIGHT: f64 = 0.05;
        const QUICK_SHARE: f64 = 0.05;
        const QUICK_STEP: f64 = 0.2;
        let seen_s = duration.as_secs_f64();
        if !self.is_known {
            *self = Self {
                mean_s: seen_s,
                quick_s: seen_s / 2.0,
                is_known: true,
            };
            return;
        }
        self.mean_s += MEAN_WEIGHT * (seen_s - self.mean_s);
        // Steps down and up balance where one in twenty is quicker.
        if seen_s < self.quick_s {
            self.quick_s -= QUICK_STEP * (1.0 - QUICK_SHARE) * self.quick_s;
        } else {
            self.quick_s += QUICK_STEP * QUICK_SHARE * self.quick_s.min(seen_s - self.quick_s);
        }
    }

    pub(crate) fn mean_s(&self) -> f64 {
        self.mean_s
    }

    /// What a quick one takes. Requests are shed by this: a class holds short calls and long ones,
    /// and a short one must not be refused because the long ones would miss its deadline.
    pub(crate) fn quick(&self) -> Duration {
        Duration::from_secs_f64(self.quick_s)
    }
}

/// What the router knows of one service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) plan: ServicePlan,
    pub(crate) is_listed: bool,
    /// Upstreams in this node's failure domain, then those in others.
    pub(crate) own: Vec<u32>,
    pub(crate) foreign: Vec<u32>,
    pub(crate) queues: [ClassQueue; 2],
    pub(crate) budget: RetryBudget,
    pub(crate) floor: RoutineFloor,
    pub(crate) drain: [DrainRate; 2],
    pub(crate) first_byte: [Expected; 2],
    pub(crate) whole: [Expected; 2],
    pub(crate) reachable_own: u32,
    pub(crate) reachable: u32,
    /// Until when every reachable upstream of the own failure domain is ejected or paused.
    pub(crate) own_paused_until: Option<Instant>,
    /// Other nodes' requests on one upstream, on average.
    pub(crate) usual_others: f64,
}

/// The time to first byte that is assumed before one has been seen, in seconds.
const FIRST_BYTE_S: f64 = 0.1;

impl ServiceState {
    pub(crate) fn new(name: ServiceName, settings: &RouterSettings) -> Self {
        Self {
            plan: ServicePlan::new(name),
            is_listed: true,
            own: Vec::new(),
            foreign: Vec::new(),
            queues: [ClassQueue::default(), ClassQueue::default()],
            budget: RetryBudget::new(0.0, settings.retry_burst),
            floor: RoutineFloor::default(),
            drain: [DrainRate::default(); 2],
            first_byte: [Expected::default(); 2],
            whole: [Expected::default(); 2],
            reachable_own: 0,
            reachable: 0,
            own_paused_until: None,
            usual_others: 0.0,
        }
    }

    pub(crate) fn queue(&self, class: Class) -> &ClassQueue {
        &self.queues[class as usize]
    }

    pub(crate) fn queue_mut(&mut self, class: Class) -> &mut ClassQueue {
        &mut self.queues[class as usize]
    }

    /// Whether this node's failure domain has nobody to give work to.
    pub(crate) fn is_own_out(&self, now: Instant) -> bool {
        self.reachable_own == 0 || self.own_paused_until.is_some_and(|until| now < until)
    }

    pub(crate) fn has_waiting(&self) -> bool {
        self.queues.iter().any(|queue| !queue.is_empty())
    }

    /// Counts a dispatch and says as what class it goes to the upstream.
    ///
    /// Against starvation inside the engine: urgent work would keep a request that takes a place of
    /// the routine floor waiting there as well, so it goes as an urgent one.
    pub(crate) fn count_dispatch(&mut self, class: Class, attempt: u32) -> Class {
        if attempt == 1 {
            self.budget.first_send();
        }
        self.drain[class as usize].dispatched();
        let is_kept = class == Class::Routine && self.floor.is_owed();
        let routine_waits = !self.queue(Class::Routine).is_empty();
        match class {
            Class::Urgent => {
                let floor = self.plan.routine_floor;
                self.floor.urgent_dispatched(floor, routine_waits);
            }
            Class::Routine => self.floor.routine_dispatched(),
        }
        if is_kept { Class::Urgent } else { class }
    }

    /// Seconds to first byte on an upstream without load.
    pub(crate) fn first_byte_s(&self, class: Class) -> f64 {
        let seen_s = self.first_byte[class as usize].mean_s();
        if seen_s > 0.0 { seen_s } else { FIRST_BYTE_S }
    }

    pub(crate) fn quick_whole(&self, class: Class) -> Duration {
        self.whole[class as usize].quick()
    }

    /// Requests of `class` that this node can start in a second: as seen while requests waited for a
    /// place, or else what the reachable upstreams finish. `None` before any has finished.
    pub(crate) fn rate_per_s(&self, class: Class, now: Instant) -> Option<f64> {
        let seen_per_s = self.drain[class as usize].per_s(now);
        seen_per_s.or_else(|| {
            let mean_s = self.whole[class as usize].mean_s();
            let reachable = f64::from(self.reachable_own.max(1));
            let places = reachable * f64::from(self.plan.in_flight_per_upstream.max(1));
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
