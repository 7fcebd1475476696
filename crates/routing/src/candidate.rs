//! Who may take a request, and what that would cost.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class};
use rand::Rng;
use smallvec::SmallVec;

use crate::request_state::RequestState;
use crate::{Router, Score};

/// How many times the expected time of a load requests wait for one in their failure domain, before
/// a copy elsewhere serves them: a load of twice the usual length still ends in time.
const LOAD_PATIENCE: u32 = 2;

impl Router {
    /// Whether `upstream` has a place for one more request of `class`.
    ///
    /// Routine work starts only where the headroom stays free after it, whatever urgent work runs
    /// there: kept as a number of free places, it takes in a burst of urgent requests even when
    /// other nodes, seen late, fill the same upstream. In its own failure domain urgent work may take
    /// the headroom also when the others' lagging load says that the upstream is full, since engines
    /// start urgent requests first. A place owed to the routine floor needs only to be free.
    pub(crate) fn has_place(
        &self,
        upstream: usize,
        class: Class,
        is_floor_owed: bool,
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
            Class::Urgent => load + 1.0 <= f64::from(places) || (state.is_own && urgent < headroom),
            Class::Routine if state.in_flight(class) + headroom >= places => false,
            Class::Routine if is_floor_owed => true,
            Class::Routine => load + 1.0 <= f64::from(places - headroom),
        }
    }

    /// Against a lost failure domain that topples the next: its nodes together may not fill the
    /// other domain's upstreams, so each takes at most a share of an upstream's places.
    fn has_spill_place(&self, upstream: usize) -> bool {
        let state = &self.upstreams[upstream];
        let spill_places = (f64::from(state.places) * self.settings.spill_share).max(1.0);
        state.is_own || f64::from(state.own_in_flight()) + 1.0 <= spill_places
    }

    pub(crate) fn load(&self, upstream: usize, now: Instant) -> f64 {
        let state = &self.upstreams[upstream];
        let usual = self.services[state.service].usual_others;
        state.load(now, usual, self.settings.report_stale_after)
    }

    /// The load by which upstreams are compared.
    fn damped_load(&self, upstream: usize, now: Instant) -> f64 {
        let state = &self.upstreams[upstream];
        let usual = self.services[state.service].usual_others;
        let own = f64::from(state.own_in_flight());
        let others = self.load(upstream, now) - own;
        own + usual + self.settings.trust_in_reports * (others - usual)
    }

    /// Whether requests of `class` may leave this failure domain.
    ///
    /// Only for what the own domain cannot serve: it has no upstream that takes work, or none with the
    /// adapter, or
    /// the request is urgent and waits, which shows that the own domain had no place.
    pub(crate) fn may_spill(
        &self,
        service: usize,
        adapter: &Option<AdapterRef>,
        class: Class,
        now: Instant,
    ) -> bool {
        if class == Class::Urgent || self.services[service].is_own_out(now) {
            return true;
        }
        let Some(adapter) = adapter else {
            return false;
        };
        // An engine that falls silent with a load under way shows as loading for ever. Its requests
        // would wait for it until their deadlines, though the adapter is ready elsewhere.
        let load_limit = self.expected_load(self.adapters.wants()) * LOAD_PATIENCE;
        let mut holders = self.adapters.holders(adapter).iter();
        !holders.any(|holder| {
            let state = &self.upstreams[holder.upstream as usize];
            state.is_own && state.is_reachable() && state.holds_soon(adapter, load_limit, now)
        })
    }

    /// Whether `request` may start on `upstream` now, if there is a place.
    pub(crate) fn may_run(&self, request: &RequestState, upstream: usize, now: Instant) -> bool {
        let state = &self.upstreams[upstream];
        let adapter = &request.arrival.adapter;
        state.service == request.service
            && state.is_usable(now)
            && !request.has_tried(upstream)
            && (adapter.as_ref()).is_none_or(|adapter| state.holds(adapter) == Some(true))
            && (state.is_own
                || self.may_spill(request.service, adapter, request.arrival.class, now))
    }

    /// The best of a few upstreams drawn at random that may start `request` now.
    ///
    /// Against herding: reports lag, so all nodes see the same upstream as the idlest and would
    /// send everything there. The best of a few at random spreads nearly as well as the best of
    /// all would with fresh reports.
    pub(crate) fn choose(
        &self,
        request: &RequestState,
        now: Instant,
        rng: &mut dyn Rng,
    ) -> Option<usize> {
        let class = request.arrival.class;
        let can_take = |upstream: usize, is_own: bool| {
            self.upstreams[upstream].is_own == is_own
                && self.may_run(request, upstream, now)
                && self.has_place(upstream, class, false, now)
        };
        [true, false].into_iter().find_map(|is_own| {
            let mut drawn = self.draw(request, is_own, &|upstream| can_take(upstream, is_own), rng);
            if let Some(upstream) = self.prefix_holder(request)
                && can_take(upstream, is_own)
            {
                drawn.push(upstream);
            }
            self.best(&drawn, request, now)
        })
    }

    fn draw(
        &self,
        request: &RequestState,
        is_own: bool,
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
                let members = if is_own {
                    &service.own
                } else {
                    &service.foreign
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

    /// What a dispatch to `upstream` is expected to cost.
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
        let unit_s = service.first_byte_s(class);
        let has_prefix = prefix.is_some_and(|p| self.prefixes.upstream_of(p) == Some(upstream));
        let hop_s = if state.is_own {
            0.0
        } else {
            self.settings.hop.as_secs_f64()
        };
        let saving_s = self.settings.prefix_saving.as_secs_f64();
        Score {
            adapter_s: self.adapter_wait_s(upstream, adapter) * (0.5 + weights.load_stalls),
            load_s: unit_s * fullness * fullness * (1.0 + weights.load_stalls),
            domain_s: hop_s,
            prefix_s: if has_prefix { -saving_s } else { 0.0 },
            batch_s: 0.0 - unit_s * self.batch_gain(upstream, class, fullness),
        }
    }

    fn adapter_wait_s(&self, upstream: usize, adapter: &Option<AdapterRef>) -> f64 {
        let Some(adapter) = adapter else {
            return 0.0;
        };
        match self.upstreams[upstream].holds(adapter) {
            Some(true) => 0.0,
            Some(false) => self.expected_load(0).as_secs_f64() / 2.0,
            None => self.expected_load(self.adapters.wants()).as_secs_f64(),
        }
    }

    /// How much a fuller engine is preferred, by the operators' weight. An engine step costs about
    /// the same full or not, so routine work goes where steps already run.
    ///
    /// The gain rises with the fullness and the cost of load with its square, so their sum is least
    /// at a fullness that the weights set: engines are filled up to it, and past it work spreads.
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

/// Up to `choices` different members that can take a request: drawn at random, or, where the draws
/// miss, the first one from a random start.
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
        let member = at(below(len, rng));
        if drawn.len() < choices && !drawn.contains(&member) && can_take(member) {
            drawn.push(member);
        }
    }
    if drawn.is_empty() {
        let start = below(len, rng);
        let mut members = (0..len).map(|step| at((start + step) % len));
        drawn.extend(members.find(|member| can_take(*member)));
    }
    drawn
}

/// A random index below `len`, which is not 0.
pub(crate) fn below(len: usize, rng: &mut dyn Rng) -> usize {
    ((u64::from(rng.next_u32()) * len as u64) >> 32) as usize
}
