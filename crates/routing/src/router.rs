//! The router and its state.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{CallerId, Class, RequestId, ResultCode, RunState, ServiceName, UpstreamId};
use rand::Rng;

use crate::adapter_index::AdapterIndex;
use crate::prefix_table::PrefixTable;
use crate::request_state::{Phase, RequestState};
use crate::service_state::{DurationEstimate, ServiceState};
use crate::upstream_state::UpstreamState;
use crate::{RouterSettings, RoutingAction, RoutingEvent, RoutingPlan};

/// The requests of one caller on this node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerState {
    /// Requests waiting or in flight.
    pub(crate) requests: u32,
    /// For each class, when the next request of the caller is due at its fair rate.
    pub(crate) due: [Instant; 2],
}

/// Decides which upstream each request is sent to, and when.
///
/// ```
/// use std::sync::Arc;
/// use std::time::{Duration, Instant};
/// use nutmegsail_base::Class;
/// use nutmegsail_routing::{
///     Arrival, Router, RouterSettings, RoutingAction, RoutingEvent, RoutingPlan, ServicePlan,
/// };
/// use rand::SeedableRng;
///
/// let mut router = Router::new(RouterSettings::default());
/// let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
/// let mut actions = Vec::new();
/// let now = Instant::now();
/// let desk = ServicePlan::new("spa-desk").with_upstream("10.0.0.7:8000", "negril-hall");
/// let plan = Arc::new(RoutingPlan::new(1, "negril-hall").with_service(desk));
/// router.handle(RoutingEvent::Plan(plan), now, &mut rng, &mut actions);
/// let arrival = Arrival {
///     request: "r-1".into(),
///     caller: "front-desk".into(),
///     service: "spa-desk".into(),
///     adapter: None,
///     class: Class::Urgent,
///     deadline: now + Duration::from_secs(2),
///     target: Duration::from_millis(200),
///     prefix: None,
///     idempotent: false,
/// };
/// router.handle(RoutingEvent::Arrive(arrival), now, &mut rng, &mut actions);
/// assert!(matches!(actions[..], [RoutingAction::Dispatch { attempt: 1, .. }]));
/// ```
#[derive(Debug)]
pub struct Router {
    pub(crate) settings: RouterSettings,
    pub(crate) plan: Arc<RoutingPlan>,
    pub(crate) services: Vec<ServiceState>,
    pub(crate) service_by_name: HashMap<ServiceName, usize>,
    pub(crate) upstreams: Vec<UpstreamState>,
    pub(crate) upstream_by_id: HashMap<UpstreamId, usize>,
    /// Leaving upstreams that the plan doesn't list, or doesn't list yet.
    pub(crate) leaving_unlisted: HashSet<UpstreamId>,
    pub(crate) adapters: AdapterIndex,
    pub(crate) requests: HashMap<RequestId, RequestState>,
    pub(crate) prefixes: PrefixTable,
    pub(crate) callers: HashMap<CallerId, CallerState>,
    pub(crate) load_time: DurationEstimate,
    pub(crate) next_seq: u64,
    pub(crate) next_sweep: Option<Instant>,
}

impl Router {
    /// Creates a router without a plan. It refuses every request until it gets one.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            prefixes: PrefixTable::new(settings.prefix_entries),
            settings,
            plan: Arc::default(),
            services: Vec::new(),
            service_by_name: HashMap::new(),
            upstreams: Vec::new(),
            upstream_by_id: HashMap::new(),
            leaving_unlisted: HashSet::new(),
            adapters: AdapterIndex::default(),
            requests: HashMap::new(),
            callers: HashMap::new(),
            load_time: DurationEstimate::default(),
            next_seq: 0,
            next_sweep: None,
        }
    }

    /// Handles an event and appends the resulting actions to `actions`.
    ///
    /// `now` must not go back between calls. Events about unknown requests or upstreams are
    /// ignored, since messages may be late or duplicated.
    pub fn handle(
        &mut self,
        event: RoutingEvent,
        now: Instant,
        rng: &mut dyn Rng,
        actions: &mut Vec<RoutingAction>,
    ) {
        match event {
            RoutingEvent::Arrive(arrival) => self.arrive(arrival, now, rng, actions),
            RoutingEvent::FirstByte { request } => self.first_byte(&request, now),
            RoutingEvent::Ended { request, outcome } => {
                self.ended(&request, outcome, now, rng, actions);
            }
            RoutingEvent::Report { upstream, report } => {
                self.report(&upstream, &report, now, actions);
            }
            RoutingEvent::Health { upstream, is_ready } => {
                self.health(&upstream, is_ready, now, actions);
            }
            RoutingEvent::UpstreamGone { upstream } => self.upstream_unreachable(&upstream),
            RoutingEvent::Leaving { upstream } => self.leaving(&upstream),
            RoutingEvent::Staying { upstream } => self.staying(&upstream, now, actions),
            RoutingEvent::Plan(plan) => self.apply_plan(plan, now, rng, actions),
            RoutingEvent::AdapterState {
                upstream,
                adapter,
                state,
            } => self.adapter_state(&upstream, &adapter, state, now, actions),
            RoutingEvent::Tick => self.tick(now, rng, actions),
        }
    }

    /// Number of requests of `service` and `class` that wait on this node.
    pub fn waiting(&self, service: &ServiceName, class: Class) -> usize {
        let index = self.service_by_name.get(service);
        index.map_or(0, |index| self.services[*index].queue(class).len())
    }

    /// Number of requests that this node has in flight on `upstream`.
    pub fn in_flight(&self, upstream: &UpstreamId) -> u32 {
        let index = self.upstream_by_id.get(upstream);
        index.map_or(0, |index| self.upstreams[*index].own_in_flight())
    }

    /// Memory used by the router's state in bytes, estimated from the sizes of its tables.
    pub fn memory_bytes(&self) -> usize {
        const NAME_BYTES: usize = 64;
        let request = size_of::<RequestState>() + size_of::<RequestId>() + 4 * NAME_BYTES;
        let caller = size_of::<CallerState>() + size_of::<CallerId>() + NAME_BYTES;
        let held: usize = self.upstreams.iter().map(|u| u.held.len()).sum();
        self.requests.capacity() * request
            + self.callers.capacity() * caller
            + self.upstreams.capacity() * (size_of::<UpstreamState>() + 2 * NAME_BYTES)
            + held * 2 * NAME_BYTES
            + self.adapters.memory_bytes()
            + self.prefixes.memory_bytes()
    }

    /// Removes a request and appends its final action. A request that was removed already gets
    /// none, so none is finished twice.
    pub(crate) fn finish(
        &mut self,
        request: &RequestId,
        code: ResultCode,
        retry_after: Duration,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(state) = self.remove_request(request) else {
            return;
        };
        let request = request.clone();
        actions.push(if state.may_have_run {
            RoutingAction::GiveUp {
                request,
                code,
                state: RunState::MayHaveRun,
            }
        } else {
            RoutingAction::Refuse {
                request,
                code,
                retry_after,
                state: RunState::NotRun,
            }
        });
    }

    /// Removes a request from all tables.
    pub(crate) fn remove_request(&mut self, request: &RequestId) -> Option<RequestState> {
        let state = self.requests.remove(request)?;
        if let Phase::Waiting(position) = state.phase {
            let queue = self.services[state.service].queue_mut(state.arrival.class);
            queue.remove(&state.arrival.adapter, position);
        }
        if let Some(caller) = self.callers.get_mut(&state.arrival.caller) {
            caller.requests = caller.requests.saturating_sub(1);
        }
        Some(state)
    }

    /// `wait` clamped to the limits in the settings, with jitter of up to a quarter either way.
    ///
    /// The jitter spreads the retries of callers that were refused at the same time.
    pub(crate) fn retry_after(&self, wait: Duration, rng: &mut dyn Rng) -> Duration {
        let spread = 0.75 + f64::from(rng.next_u32()) / f64::from(u32::MAX) / 2.0;
        let bounded = wait.clamp(self.settings.retry_after_min, self.settings.retry_after_max);
        bounded.mul_f64(spread)
    }

    /// The expected duration of a load requested now, behind `loads_ahead` others.
    pub(crate) fn expected_load_time(&self, loads_ahead: usize) -> Duration {
        let seen_s = self.load_time.mean_s();
        let load_s = if seen_s > 0.0 {
            seen_s
        } else {
            self.settings.load_time.as_secs_f64()
        };
        let queue_s = loads_ahead as f64 / self.plan.loads_per_s.max(0.01);
        Duration::from_secs_f64((load_s + queue_s).min(3_600.0))
    }
}
