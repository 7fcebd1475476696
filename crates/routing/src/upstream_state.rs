//! What the router knows of one upstream.

use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, Class, Incarnation, RequestId, UpstreamId};
use smallvec::SmallVec;

use crate::RouterSettings;
use crate::outlier::Outlier;

/// An adapter on this upstream.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) adapter: AdapterRef,
    pub(crate) is_ready: bool,
    /// Since when it is in this state, as far as this node was told.
    pub(crate) since: Instant,
}

/// What placement or a refusal told sooner than the reports.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    pub(crate) adapter: AdapterRef,
    pub(crate) at: Instant,
}

/// The part of an engine's report that routing keeps.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastReport {
    pub(crate) at: Instant,
    /// Requests of other nodes, by the report.
    pub(crate) others: f64,
}

/// What the router knows of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) id: UpstreamId,
    pub(crate) service: usize,
    pub(crate) is_listed: bool,
    pub(crate) is_own: bool,
    pub(crate) is_ready: bool,
    pub(crate) is_leaving: bool,
    pub(crate) is_gone: bool,
    pub(crate) places: u32,
    pub(crate) headroom: u32,
    in_flight: [u32; 2],
    /// Own requests in flight as an average over the lag of reports.
    lagged_own: f64,
    lagged_at: Option<Instant>,
    pub(crate) last_report: Option<LastReport>,
    pub(crate) incarnation: Option<Incarnation>,
    /// The incarnation before the last restart.
    pub(crate) former: Option<Incarnation>,
    /// Whether this entry can be used for another upstream.
    pub(crate) is_dropped: bool,
    pub(crate) held: SmallVec<[Held; 8]>,
    pub(crate) told: SmallVec<[Told; 4]>,
    pub(crate) outlier: Outlier,
    /// Routine requests here that may be cancelled.
    pub(crate) cancellable: SmallVec<[RequestId; 4]>,
}

impl UpstreamState {
    pub(crate) fn new(id: UpstreamId, service: usize) -> Self {
        Self {
            id,
            service,
            is_listed: true,
            is_own: false,
            is_ready: true,
            is_leaving: false,
            is_gone: false,
            places: 1,
            headroom: 0,
            in_flight: [0, 0],
            lagged_own: 0.0,
            lagged_at: None,
            last_report: None,
            incarnation: None,
            former: None,
            is_dropped: false,
            held: SmallVec::new(),
            told: SmallVec::new(),
            outlier: Outlier::default(),
            cancellable: SmallVec::new(),
        }
    }

    /// Whether new work may go there at all.
    pub(crate) fn is_reachable(&self) -> bool {
        self.is_listed && self.is_ready && !self.is_leaving && !self.is_gone
    }

    /// Whether new work may go there now.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.is_reachable() && !self.outlier.is_paused(now)
    }

    pub(crate) fn is_unused(&self) -> bool {
        self.is_dropped
    }

    pub(crate) fn own_in_flight(&self) -> u32 {
        self.in_flight[0] + self.in_flight[1]
    }

    pub(crate) fn in_flight(&self, class: Class) -> u32 {
        self.in_flight[class as usize]
    }

    pub(crate) fn take_place(&mut self, class: Class, now: Instant, lag: Duration) {
        self.age_lagged(now, lag);
        self.in_flight[class as usize] += 1;
    }

    pub(crate) fn free_place(&mut self, class: Class, now: Instant, lag: Duration) {
        self.age_lagged(now, lag);
        let in_flight = &mut self.in_flight[class as usize];
        assert!(*in_flight > 0, "a place was given back that nobody took");
        *in_flight -= 1;
    }

    /// Takes in how many requests an engine says it has.
    ///
    /// Against herding: the report is old, so own dispatches since then are not in it. What other
    /// nodes sent is the report less what this node had in flight at the report's time; own
    /// requests count by the node's own books, at once.
    pub(crate) fn reported(&mut self, total: u32, now: Instant, lag: Duration) {
        const WEIGHT: f64 = 0.1;
        self.age_lagged(now, lag);
        let others = (f64::from(total) - self.lagged_own).max(0.0);
        let others = match self.last_report {
            Some(last) => last.others + WEIGHT * (others - last.others),
            None => others,
        };
        self.last_report = Some(LastReport { at: now, others });
    }

    /// Requests in flight there, of this node and by the last report of the others.
    ///
    /// Against a report that stays away: it would show an upstream as idle, or as full, for ever.
    /// Past its time its figure moves to `usual`, the mean of the service's upstreams.
    pub(crate) fn load(&self, now: Instant, usual: f64, stale_after: Duration) -> f64 {
        let own = f64::from(self.own_in_flight());
        let Some(last) = self.last_report else {
            return own + usual;
        };
        let age = now.saturating_duration_since(last.at);
        if age <= stale_after {
            return own + last.others;
        }
        let half_lives = (age - stale_after).as_secs_f64() / stale_after.as_secs_f64().max(0.001);
        let trust = 0.5_f64.powf(half_lives);
        own + usual + (last.others - usual) * trust
    }

    /// Places that this upstream offers now; fewer while it comes back.
    pub(crate) fn places_now(&self, now: Instant, settings: &RouterSettings) -> u32 {
        let share = self.outlier.share(now, settings.slow_start);
        ((f64::from(self.places) * share) as u32).max(1)
    }

    pub(crate) fn holds(&self, adapter: &AdapterRef) -> Option<bool> {
        let held = self.held.iter().find(|held| held.adapter == *adapter)?;
        Some(held.is_ready)
    }

    /// Whether it holds the adapter, or a load is under way that began within `load_limit`.
    pub(crate) fn holds_soon(
        &self,
        adapter: &AdapterRef,
        load_limit: Duration,
        now: Instant,
    ) -> bool {
        let mut held = self.held.iter();
        held.any(|held| {
            held.adapter == *adapter && (held.is_ready || now < held.since + load_limit)
        })
    }

    fn age_lagged(&mut self, now: Instant, lag: Duration) {
        let own = f64::from(self.own_in_flight());
        if let Some(at) = self.lagged_at {
            let passed = now.saturating_duration_since(at).as_secs_f64();
            let kept = (-passed / lag.as_secs_f64().max(0.001)).exp();
            self.lagged_own = own + (self.lagged_own - own) * kept;
        }
        self.lagged_at = Some(now);
    }
}
