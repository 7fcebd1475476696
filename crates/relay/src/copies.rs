//! Which engines take a further copy of an adapter, and when one is worth its load.

use std::time::Instant;

use nutmegsail_base::{FailureDomain, ServiceName, UpstreamId};

use crate::dispatcher::OTHER_DOMAIN_MS;
use crate::fitness::Fitness;
use crate::load_times::RECENT_SHARE;
use crate::{Dispatcher, LoadTimes, ModelRef, Need, Tracked, VersionRule};

/// Where a further copy of an adapter is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyPlace {
    /// In this failure domain.
    Domain(FailureDomain),
    /// At any engine.
    Anywhere,
}

impl CopyPlace {
    fn includes(&self, domain: &FailureDomain) -> bool {
        match self {
            Self::Domain(wanted) => wanted == domain,
            Self::Anywhere => true,
        }
    }
}

/// An engine that could take an adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlace {
    /// The engine.
    pub engine: UpstreamId,
    /// What speaks against it, in milliseconds of expected wait; to compare engines by only.
    pub wait_ms: f64,
    /// Whether it held the adapter a while ago and brings it back from its own memory.
    pub is_recent: bool,
}

/// What speaks against a load in another failure domain, in milliseconds of expected wait: more than
/// one load ahead. Most adapters are asked for once or twice, and then their answers stay here.
const LOAD_ELSEWHERE_MS: f64 = 400.0;

/// The same while loads crowd the weight store, as at a cold start. Each failure domain would load the
/// popular adapters for itself then, and its callers wait for three loads in place of one.
const CROWDED_ELSEWHERE_MS: f64 = 60.0;

/// What an engine scores where an adapter is not on its way, so that one where it is goes first.
const ELSEWHERE_MS: f64 = 1_000.0;

/// Loads ahead at one engine over which it gets no more.
const LOADS_AHEAD_LIMIT: usize = 4;

/// A wait for the first event over which a request looks for another engine than those that hold its
/// adapter: the shortest latency objective of the generations.
const LONG_WAIT_MS: f64 = 600.0;

/// What the order of a load takes, there and back through the engine's owner, in milliseconds.
const ORDER_MS: f64 = 15.0;

/// What the use of the weight store counts beside its time, in milliseconds of wait: its rate is
/// shared by all engines, and a load costs about a third of what a request is worth. A recent holder
/// so goes first while its queue is some 500 ms longer at most, which is still in time for most
/// requests.
const STORE_USE_MS: f64 = 240.0;

/// How much sooner another engine must answer to be worth a load, as a part of the wait.
const SOONER_SHARE: f64 = 0.6;

impl Dispatcher {
    /// Whether a request that would wait `expected_ms` where its adapter is would be answered much
    /// sooner after a load elsewhere.
    ///
    /// The adapters of a busy engine are mostly its own. Their requests queue there for two seconds
    /// and more while engines beside it are free, and miss every latency objective.
    pub fn is_sooner_elsewhere(&self, need: &Need<'_>, expected_ms: f64, now: Instant) -> bool {
        let Some(model) = need.model else {
            return false;
        };
        if expected_ms < LONG_WAIT_MS {
            return false;
        }
        let place = &CopyPlace::Anywhere;
        let engines = self.engines_to_load(need.service, model, VersionRule::ANY, place, now);
        let holds = |id: &UpstreamId| {
            let tracked = self.tracked(id);
            tracked.is_some_and(|tracked| tracked.version_of(model, now).is_some())
        };
        let others = engines.iter().filter(|place| !holds(&place.engine));
        let least_ms = others.map(|place| place.wait_ms);
        let least_ms = least_ms.fold(f64::INFINITY, f64::min);
        let prompt_ms = self.reading_ms(need.prompt_tokens);
        least_ms - ELSEWHERE_MS + prompt_ms < expected_ms * SOONER_SHARE
    }

    /// Whether an engine of `domain` that takes work holds `model`.
    pub fn is_held_in(
        &self,
        domain: &FailureDomain,
        service: &ServiceName,
        model: &ModelRef,
        now: Instant,
    ) -> bool {
        self.upstreams.values().any(|tracked| {
            tracked.upstream.service == *service
                && tracked.upstream.failure_domain == *domain
                && matches!(self.fitness(tracked, now), Fitness::Failing | Fitness::Fit)
                && tracked.version_of(model, now).is_some()
        })
    }

    /// Engines that could take `model`, each with what speaks against it.
    ///
    /// An engine whose places are all in use turns the load away, and the request that waits for it has
    /// lost a trip; so while others have room it is not asked. In a large fleet most nodes ask an engine
    /// once in seconds and know nothing else of its places.
    ///
    /// One that limits its requests gets no more adapters to be asked for, unless all do.
    ///
    /// An engine without the base model can take no adapter. As it is also idle, it would be the
    /// first choice of every request, and each would wait for an order that cannot be given.
    pub fn engines_to_load(
        &self,
        service: &ServiceName,
        model: &ModelRef,
        version: VersionRule,
        place: &CopyPlace,
        now: Instant,
    ) -> Vec<LoadPlace> {
        let takes = |tracked: &&Tracked| {
            let has_base = tracked.has_base(model, now);
            let has_it = tracked.version_of(model, now);
            tracked.upstream.service == *service
                && self.fitness(tracked, now) == Fitness::Fit
                && tracked.takes_loads(now)
                && has_base
                && place.includes(&tracked.upstream.failure_domain)
                && !has_it.is_some_and(|held| version.prefers(held))
                && (tracked.coming(now).len() < LOADS_AHEAD_LIMIT
                    || tracked.coming(now).contains(&model.digest()))
        };
        let engines: Vec<&Tracked> = self.upstreams.values().filter(takes).collect();
        let engines = preferred(engines, |tracked| !tracked.is_limited);
        let is_coming = |tracked: &Tracked| tracked.coming(now).contains(&model.digest());
        let has_room = |tracked: &Tracked| tracked.has_room(now) || is_coming(tracked);
        preferred(engines, has_room)
            .into_iter()
            .map(|tracked| self.load_place(tracked, model, version, now))
            .collect()
    }

    fn load_place(
        &self,
        tracked: &Tracked,
        model: &ModelRef,
        version: VersionRule,
        now: Instant,
    ) -> LoadPlace {
        let is_recent = tracked.held_lately(model, version);
        let place = |wait_ms| LoadPlace {
            engine: tracked.upstream.id.clone(),
            wait_ms,
            is_recent,
        };
        // Where it is on its way already, it comes soonest and costs nothing more.
        if tracked.coming(now).contains(&model.digest()) {
            return place(0.0);
        }
        let queue_ms = ELSEWHERE_MS + tracked.expected_first_event_ms(0, now);
        let is_here = self.is_here(tracked);
        if is_recent {
            // It comes past the loads that wait for the weight store.
            let domain_ms = if is_here { 0.0 } else { OTHER_DOMAIN_MS };
            return place(queue_ms + self.load_ms * RECENT_SHARE + ORDER_MS + domain_ms);
        }
        let coming_ms = tracked.coming(now).len() as f64 * self.load_ms;
        let load_ms = self.load_ms + ORDER_MS + STORE_USE_MS + self.load_elsewhere_ms(is_here);
        place(queue_ms + coming_ms + load_ms)
    }

    fn is_here(&self, tracked: &Tracked) -> bool {
        tracked.upstream.failure_domain == self.failure_domain
    }

    fn load_elsewhere_ms(&self, is_here: bool) -> f64 {
        match (is_here, self.are_loads_quick) {
            (true, _) => 0.0,
            (false, true) => LOAD_ELSEWHERE_MS,
            (false, false) => CROWDED_ELSEWHERE_MS,
        }
    }

    /// Takes in how long loads take.
    pub fn set_load_times(&mut self, times: &LoadTimes) {
        self.are_loads_quick = times.are_quick();
        self.load_ms = times.usual(0.0).as_secs_f64() * 1_000.0;
    }
}

/// Those that `is_preferred` holds for, or all if there are none.
fn preferred(engines: Vec<&Tracked>, is_preferred: impl Fn(&Tracked) -> bool) -> Vec<&Tracked> {
    match engines.iter().any(|tracked| is_preferred(tracked)) {
        true => engines
            .into_iter()
            .filter(|tracked| is_preferred(tracked))
            .collect(),
        false => engines,
    }
}
