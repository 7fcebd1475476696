//! Selection and scoring of candidate upstreams.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class};
use rand::Rng;
use smallvec::SmallVec;

use crate::request_state::RequestState;
use crate::{Router, Score};

/// How many times the expected load time requests wait for a load in their own failure domain
/// before they use a copy in another one. A load may take up to twice the expected time.
const LOAD_TIMEOUT_FACTOR: u32 = 2;

impl Router {
    /// Whether `upstream` has a place for one more request of `class`.
    ///
    /// A routine request starts only if the headroom stays free after it, however many urgent
    /// requests run there. The headroom is a number of free places, so that it can take a burst of
    /// urgent requests even when other nodes fill the same upstream and this node learns it late.
    /// In this node's failure domain urgent requests may use the headroom even if the lagging load
    /// of other nodes shows the upstream as full, since engines start urgent requests first. For a
    /// request owed by the routine floor (`is_routine_owed`) the load of other nodes is ignored.
    pub(crate) fn has_place(
        &self,
        upstream: usize,
        class: Class,
        is_routine_owed: bool,
        now: Instant,
    ) -> bool {
        let state = &self.upstreams[upstream];
        let places = state.places_now(now, &self.settings);
        let own = state.own_in_flight();
        if own >= places || !self.has_spill_place(upstream) {
            return false;
        }
        let load = self.load(upstream, now);
        let urgent = state.in_flight(Class::Urgent);
        let headroom = state.headroom.min(places.saturating_sub(1));
        match class {
            Class::Urgent => {
                load + 1.0 <= f64::from(places) || (state.is_own_domain && urgent < headroom)
            }
            Class::Routine if state.in_flight(class) + headroom >= places => false,
            Class::Routine if is_routine_owed => true,
            Class::Routine => load + 1.0 <= f64::from(places - headroom),
        }
    }

    /// Whether this node may use another place of `upstream`, given the limit for other failure
    /// domains.
    ///
    /// When a failure domain is lost, its nodes together must not overload the upstreams of the
    /// next one, so each node uses at most `spill_share` of an upstream's places there.
    fn has_spill_place(&self, upstream: usize) -> bool {
        let state = &self.upstreams[upstream];
        let spill_places = (f64::from(state.places) * self.settings.spill_share).max(1.0);
        state.is_own_domain || f64::from(state.own_in_flight()) + 1.0 <= spill_places
    }

    pub(crate) fn load(&self, upstream: usize, now: Instant) -> f64 {
        let state = &self.upstreams[upstream];
        let mean_other_nodes_load = self.services[state.service].mean_other_nodes_load;
        state.load(now, mean_other_nodes_load, self.settings.report_stale_after)
    }

    /// The load used to compare upstreams: differences between reported loads count only by
    /// `report_weight`.
    fn damped_load(&self, upstream: usize, now: Instant) -> f64 {
        let state = &self.upstreams[upstream];
        let mean_other_nodes_load = self.services[state.service].mean_other_nodes_load;
        let own = f64::from(state.own_in_flight());
        let other_nodes_load = self.load(upstream, now) - own;
        own + mean_other_nodes_load
            + self.settings.report_weight * (other_nodes_load - mean_other_nodes_load)
    }

    /// Whether requests of `class` may leave this failure domain.
    ///
    /// They may if this domain can't serve them: it has no usable upstream, or none with the
    /// adapter. Urgent requests always may, since the upstreams here are tried first and a request
    /// that still waits found no place.
    pub(crate) fn may_spill(
        &self,
        service: usize,
        adapter: &Option<AdapterRef>,
        class: Class,
        now: Instant,
    ) -> bool {
        if class == Class::Urgent || self.services[service].is_own_domain_unavailable(now) {
            return true;
        }
        let Some(adapter) = adapter else {
            return false;
        };
        // An engine that stops responding during a load is shown as loading for ever. Without a
        // limit, requests would wait for it until their deadlines although the adapter is ready
        // elsewhere.
        let load_limit =
            self.expected_load_time(self.adapters.pending_loads()) * LOAD_TIMEOUT_FACTOR;
        let mut holders = self.adapters.holders(adapter).iter();
        !holders.any(|holder| {
            let state = &self.upstreams[holder.upstream as usize];
            state.is_own_domain
                && state.is_available()
                && state.holds_or_loads(adapter, load_limit, now)
        })
    }

    /// Whether `request` may run on `upstream` now, apart from free places.
    pub(crate) fn may_run(&self, request: &RequestState, upstream: usize, now: Instant) -> bool {
        let state = &self.upstreams[upstream];
        let adapter = &request.arrival.adapter;
        state.service == request.service
            && state.is_usable(now)
            && !request.has_tried(upstream)
            && (adapter.as_ref()).is_none_or(|adapter| state.holds(adapter) == Some(true))
            && (state.is_own_domain
                || self.may_spill(request.service, adapter, request.arrival.class, now))
    }

    /// The upstream with the lowest score among a few drawn at random that can start `request` now.
    ///
    /// The random draw avoids herding: reports lag, so all nodes see the same upstream as the least
    /// loaded and would send everything there. The best of a few random choices balances nearly as
    /// well as the best of all would with fresh reports.
    pub(crate) fn choose(
        &self,
        request: &RequestState,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Option<usize> {
        let class = request.arrival.class;
        let can_take = |upstream: usize, is_own_domain: bool| {
            self.upstreams[upstream].is_own_domain == is_own_domain
                && self.may_run(request, upstream, now)
                && self.has_place(upstream, class, false, now)
        };
        [true, false].into_iter().find_map(|is_own_domain| {
            let mut drawn = self.draw(
                request,
                is_own_domain,
                &|upstream| can_take(upstream, is_own_domain),
                rng,
            );
            if let Some(upstream) = self.prefix_holder(request)
                && can_take(upstream, is_own_domain)
            {
                drawn.push(upstream);
            }
            self.best(&drawn, request, now)
        })
    }

    fn draw(
        &self,
        request: &RequestState,
        is_own_domain: bool,
        can_take: &dyn Fn(usize) -> bool,
        rng: &mut dyn Rng,
    ) -> SmallVec<[usize; 4]> {
        let choices = self.settings.choices.max(1);
        match &request.arrival.adapter {
            Some(adapter) => {
                let holders = self.adapters.holders(adapter);
                let at = |index: usize| holders[index].upstream as usize;
                draw(holders.len(), &at, can_take, choices, rng)
            }
            None => {
                let service = &self.services[request.service];
                let members = if is_own_domain {
                    &service.own_domain
                } else {
                    &service.other_domains
                };
                let at = |index: usize| members[index] as usize;
                draw(members.len(), &at, can_take, choices, rng)
            }
        }
    }

    fn prefix_holder(&self, request: &RequestState) -> Option<usize> {
        let upstream = self.prefixes.upstream_of(request.arrival.prefix?)?;
        (upstream < self.upstreams.len()).then_some(upstream)
    }

    fn best(&self, drawn: &[usize], request: &RequestState, now: Instant) -> Option<usize> {
        let arrival = &request.arrival;
        let total_s = |upstream: usize| {
            let prefix = arrival.prefix;
            let score = self.score(upstream, &arrival.adapter, arrival.class, prefix, now);
            score.total_s()
        };
        let scored = drawn.iter().map(|upstream| (*upstream, total_s(*upstream)));
        let best = scored.min_by(|a, b| a.1.total_cmp(&b.1));
        best.map(|(upstream, _)| upstream)
    }

    /// The expected cost of a dispatch to `upstream`.
    pub(crate) fn score(
        &self,
        upstream: usize,
        adapter: &Option<AdapterRef>,
        class: Class,
        prefix: Option<u64>,
        now: Instant,
    ) -> Score {
        let state = &self.upstreams[upstream];
        let service = &self.services[state.service];
        let weights = &self.plan.weights;
        let places = f64::from(state.places_now(now, &self.settings));
        let fullness = self.damped_load(upstream, now) / places;
        let first_byte_time_s = service.first_byte_time_s(class);
        let has_prefix = prefix.is_some_and(|p| self.prefixes.upstream_of(p) == Some(upstream));
        let cross_domain_cost_s = if state.is_own_domain {
            0.0
        } else {
            self.settings.cross_domain_cost.as_secs_f64()
        };
        let saving_s = self.settings.prefix_saving.as_secs_f64();
        Score {
            adapter_s: self.adapter_wait_s(upstream, adapter) * (0.5 + weights.load_stalls),
            load_s: first_byte_time_s * fullness * fullness * (1.0 + weights.load_stalls),
            domain_s: cross_domain_cost_s,
            prefix_s: if has_prefix { -saving_s } else { 0.0 },
            batch_s: 0.0 - first_byte_time_s * self.batch_gain(upstream, class, fullness),
        }
    }

    fn adapter_wait_s(&self, upstream: usize, adapter: &Option<AdapterRef>) -> f64 {
        let Some(adapter) = adapter else {
            return 0.0;
        };
        match self.upstreams[upstream].holds(adapter) {
            Some(true) => 0.0,
            Some(false) => self.expected_load_time(0).as_secs_f64() / 2.0,
            None => self
                .expected_load_time(self.adapters.pending_loads())
                .as_secs_f64(),
        }
    }

    /// The bonus for a fuller batch, scaled by the operators' weight. An engine step takes about
    /// the same time with a full batch as with a partial one, so routine requests prefer engines
    /// that are already running steps.
    ///
    /// The bonus is linear in the fullness and the cost of load is quadratic, so their sum has its
    /// minimum at a fullness set by the weights: engines are filled up to it, and beyond it
    /// requests spread over other engines.
    fn batch_gain(&self, upstream: usize, class: Class, fullness: f64) -> f64 {
        const STRENGTH: f64 = 2.0;
        let state = &self.upstreams[upstream];
        let service = &self.services[state.service];
        if class == Class::Urgent || service.plan.batch_slots == 0 {
            return 0.0;
        }
        let batch = f64::from(service.plan.batch_slots) / f64::from(state.places.max(1));
        let packed = fullness.min(batch);
        STRENGTH * self.plan.weights.batch_efficiency * packed
    }
}

/// Draws up to `choices` different members that can take a request. If no random draw finds one,
/// returns the first that can, searching from a random start.
fn draw(
    len: usize,
    at: &dyn Fn(usize) -> usize,
    can_take: &dyn Fn(usize) -> bool,
    choices: usize,
    rng: &mut dyn Rng,
) -> SmallVec<[usize; 4]> {
    let mut drawn: SmallVec<[usize; 4]> = SmallVec::new();
    if len == 0 {
        return drawn;
    }
    if len <= choices {
        drawn.extend((0..len).map(at).filter(|member| can_take(*member)));
        return drawn;
    }
    for _ in 0..2 * choices {
        let member = at(random_index(len, rng));
        if drawn.len() < choices && !drawn.contains(&member) && can_take(member) {
            drawn.push(member);
        }
    }
    if drawn.is_empty() {
        let start = random_index(len, rng);
        let mut members = (0..len).map(|step| at((start + step) % len));
        drawn.extend(members.find(|member| can_take(*member)));
    }
    drawn
}

/// A random index below `len`, which must not be 0.
pub(crate) fn random_index(len: usize, rng: &mut dyn Rng) -> usize {
    ((u64::from(rng.next_u32()) * len as u64) >> 32) as usize
}
