//! Limits the loads of this failure domain to its share of the weight store's rate.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegsail_base::{Class, FailureDomain};

use crate::{PlacementPlan, PlacementSettings};

/// The number of unused loads that accumulate.
const BURST_LOADS: f64 = 2.0;
/// The number of loads by which an urgent load may exceed the rate, so that it need not wait after
/// a routine one.
const URGENT_DEBT_LOADS: f64 = 1.0;
/// The half-life of the recent loads that are reported to other failure domains.
const RECENT_LOADS_HALF_LIFE: Duration = Duration::from_secs(5);

/// The weight store use that another failure domain reported.
#[derive(Clone, Copy, Debug)]
struct PeerUse {
    loads_per_s: f64,
    backlog: u32,
    at: Instant,
}

/// The weight store use that this failure domain reports to the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreUse {
    /// Recent loads per second.
    pub loads_per_s: f64,
    /// The number of loads that wait.
    pub backlog: u32,
}

/// A token bucket filled at this failure domain's share, plus what connected failure domains leave
/// unused.
#[derive(Debug)]
pub(crate) struct StoreBudget {
    loads_per_s: f64,
    failure_domains: u32,
    tokens: f64,
    refilled_at: Option<Instant>,
    peers: BTreeMap<FailureDomain, PeerUse>,
    peer_ttl: Duration,
    first_backoff: Duration,
    longest_backoff: Duration,
    refusals: u32,
    backoff_until: Option<Instant>,
    recent_loads: f64,
    recent_at: Option<Instant>,
}

impl StoreBudget {
    pub fn new(settings: &PlacementSettings) -> Self {
        Self {
            loads_per_s: 0.0,
            failure_domains: 1,
            tokens: BURST_LOADS,
            refilled_at: None,
            peers: BTreeMap::new(),
            peer_ttl: settings.store_use_ttl,
            first_backoff: settings.first_backoff,
            longest_backoff: settings.longest_backoff,
            refusals: 0,
            backoff_until: None,
            recent_loads: 0.0,
            recent_at: None,
        }
    }

    pub fn apply_plan(&mut self, plan: &PlacementPlan) {
        self.loads_per_s = plan.loads_per_s;
        self.failure_domains = plan.failure_domains.max(1);
    }

    pub fn record_peer_use(
        &mut self,
        domain: FailureDomain,
        loads_per_s: f64,
        backlog: u32,
        now: Instant,
    ) {
        let peer = PeerUse {
            loads_per_s,
            backlog,
            at: now,
        };
        self.peers.insert(domain, peer);
    }

    /// Loads per second that this failure domain may make now.
    ///
    /// The fixed share needs no communication, so a domain that is cut off can't overload the
    /// store. What connected domains leave unused is divided among those with a backlog: even if
    /// all of them use their part at the same time, the total stays within the rate.
    pub fn rate_per_s(&self, now: Instant) -> f64 {
        let share = self.loads_per_s / f64::from(self.failure_domains);
        let is_fresh = |peer: &&PeerUse| now < peer.at + self.peer_ttl;
        let fresh = || self.peers.values().filter(is_fresh);
        let borrowers = 1 + fresh().filter(|peer| peer.backlog > 0).count();
        let unused: f64 = fresh()
            .filter(|peer| peer.backlog == 0)
            .map(|peer| (share - peer.loads_per_s).max(0.0))
            .sum();
        share + unused / borrowers as f64
    }

    /// Whether a load may be ordered now.
    pub fn allows(&mut self, class: Class, now: Instant) -> bool {
        self.refill(now);
        let is_backing_off = self.backoff_until.is_some_and(|until| now < until);
        let needed = match class {
            Class::Urgent => 1.0 - URGENT_DEBT_LOADS,
            Class::Routine => 1.0,
        };
        !is_backing_off && self.loads_per_s > 0.0 && self.tokens >= needed
    }

    /// Whether the bucket is full and no backoff is in effect.
    pub fn is_idle(&mut self, now: Instant) -> bool {
        self.allows(Class::Routine, now) && self.tokens >= BURST_LOADS
    }

    pub fn record_load(&mut self, now: Instant) {
        self.tokens -= 1.0;
        self.recent_loads = self.decayed_recent_loads(now) + 1.0;
        self.recent_at = Some(now);
    }

    /// Records that the store refused a load: no load is allowed for a backoff that doubles each
    /// time. `jitter` (0 to 1) varies the backoff, so that failure domains that were refused
    /// together don't retry together.
    pub fn record_refusal(&mut self, jitter: f64, now: Instant) {
        if self.backoff_until.is_some_and(|until| now < until) {
            return;
        }
        let doubled = self.first_backoff * 2u32.saturating_pow(self.refusals.min(16));
        let wait = doubled
            .min(self.longest_backoff)
            .mul_f64(0.75 + jitter / 2.0);
        self.refusals = self.refusals.saturating_add(1);
        self.backoff_until = Some(now + wait);
    }

    /// Whether the store has refused a load since the last one that succeeded.
    pub fn is_store_refusing(&self) -> bool {
        self.refusals > 0
    }

    pub fn record_success(&mut self) {
        self.refusals = 0;
    }

    /// The recent loads per second of this failure domain.
    pub fn recent_loads_per_s(&self, now: Instant) -> f64 {
        self.decayed_recent_loads(now) * std::f64::consts::LN_2
            / RECENT_LOADS_HALF_LIFE.as_secs_f64()
    }

    fn decayed_recent_loads(&self, now: Instant) -> f64 {
        let since = |at| now.saturating_duration_since(at).as_secs_f64();
        let age = self.recent_at.map_or(0.0, since);
        self.recent_loads * (-age / RECENT_LOADS_HALF_LIFE.as_secs_f64()).exp2()
    }

    fn refill(&mut self, now: Instant) {
        let since = |at| now.saturating_duration_since(at).as_secs_f64();
        let elapsed = self.refilled_at.map_or(0.0, since);
        self.tokens = (self.tokens + elapsed * self.rate_per_s(now)).min(BURST_LOADS);
        self.refilled_at = Some(now);
    }
}
