//! The state of one upstream.

use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, Class, Incarnation, RequestId, UpstreamId};
use smallvec::SmallVec;

use crate::RouterSettings;
use crate::outlier::OutlierDetector;

/// An adapter that this upstream holds or loads.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) adapter: AdapterRef,
    pub(crate) is_ready: bool,
    /// When this node learned that the adapter is in this state.
    pub(crate) since: Instant,
}

/// An adapter whose state was learned from placement or a refusal, before a report showed it.
#[derive(Clone, Debug)]
pub(crate) struct AvailabilityUpdate {
    pub(crate) adapter: AdapterRef,
    pub(crate) at: Instant,
}

/// The load of other nodes on an engine as of its last report.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LastReport {
    pub(crate) at: Instant,
    /// Moving average of the requests of other nodes, derived from reports.
    pub(crate) other_nodes_load: f64,
}

/// The state of one upstream.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) id: UpstreamId,
    pub(crate) service: usize,
    pub(crate) is_listed: bool,
    pub(crate) is_own_domain: bool,
    pub(crate) is_ready: bool,
    pub(crate) is_leaving: bool,
    pub(crate) is_unreachable: bool,
    /// How many requests it may have in flight.
    pub(crate) places: u32,
    /// Places reserved for urgent requests.
    pub(crate) headroom: u32,
    in_flight: [u32; 2],
    /// This node's requests in flight, averaged over the lag of reports.
    lagged_own: f64,
    lagged_at: Option<Instant>,
    pub(crate) last_report: Option<LastReport>,
    pub(crate) incarnation: Option<Incarnation>,
    /// The incarnation before the latest restart.
    pub(crate) previous_incarnation: Option<Incarnation>,
    /// Whether this entry may be reused for another upstream.
    pub(crate) is_released: bool,
    pub(crate) held: SmallVec<[Held; 8]>,
    pub(crate) recent_updates: SmallVec<[AvailabilityUpdate; 4]>,
    pub(crate) outlier: OutlierDetector,
    /// Routine requests in flight here that may be cancelled.
    pub(crate) cancellable: SmallVec<[RequestId; 4]>,
}

impl UpstreamState {
    pub(crate) fn new(id: UpstreamId, service: usize) -> Self {
        Self {
            id,
            service,
            is_listed: true,
            is_own_domain: false,
            is_ready: true,
            is_leaving: false,
            is_unreachable: false,
            places: 1,
            headroom: 0,
            in_flight: [0, 0],
            lagged_own: 0.0,
            lagged_at: None,
            last_report: None,
            incarnation: None,
            previous_incarnation: None,
            is_released: false,
            held: SmallVec::new(),
            recent_updates: SmallVec::new(),
            outlier: OutlierDetector::default(),
            cancellable: SmallVec::new(),
        }
    }

    /// Whether it may get requests: listed, ready, reachable and not leaving.
    pub(crate) fn is_available(&self) -> bool {
        self.is_listed && self.is_ready && !self.is_leaving && !self.is_unreachable
    }

    /// Whether it is available and neither ejected nor paused.
    pub(crate) fn is_usable(&self, now: Instant) -> bool {
        self.is_available() && !self.outlier.is_paused(now)
    }

    pub(crate) fn is_reusable(&self) -> bool {
        self.is_released
    }

    pub(crate) fn own_in_flight(&self) -> u32 {
        self.in_flight[0] + self.in_flight[1]
    }

    pub(crate) fn in_flight(&self, class: Class) -> u32 {
        self.in_flight[class as usize]
    }

    pub(crate) fn occupy_place(&mut self, class: Class, now: Instant, lag: Duration) {
        self.update_lagged_own(now, lag);
        self.in_flight[class as usize] += 1;
    }

    pub(crate) fn release_place(&mut self, class: Class, now: Instant, lag: Duration) {
        self.update_lagged_own(now, lag);
        let in_flight = &mut self.in_flight[class as usize];
        assert!(*in_flight > 0, "a place was released that was not occupied");
        *in_flight -= 1;
    }

    /// Updates the load of other nodes from the total number of requests that an engine reports.
    ///
    /// The report is old and doesn't include the latest dispatches of this node; relying on it
    /// alone would cause herding. So the load of other nodes is the total minus what this node had
    /// in flight when the report was made, and this node's own requests are counted directly.
    pub(crate) fn record_report(&mut self, total: u32, now: Instant, lag: Duration) {
        const WEIGHT: f64 = 0.1;
        self.update_lagged_own(now, lag);
        let other_nodes_load = (f64::from(total) - self.lagged_own).max(0.0);
        let other_nodes_load = match self.last_report {
            Some(last) => {
                last.other_nodes_load + WEIGHT * (other_nodes_load - last.other_nodes_load)
            }
            None => other_nodes_load,
        };
        self.last_report = Some(LastReport {
            at: now,
            other_nodes_load,
        });
    }

    /// Requests in flight there: those of this node, and those of other nodes by the last report.
    ///
    /// If reports stop coming, the last one would show the upstream as idle or full for ever. So
    /// after `stale_after` its value decays towards `mean_other_nodes_load`, the mean of the
    /// service's upstreams.
    pub(crate) fn load(
        &self,
        now: Instant,
        mean_other_nodes_load: f64,
        stale_after: Duration,
    ) -> f64 {
        let own = f64::from(self.own_in_flight());
        let Some(last) = self.last_report else {
            return own + mean_other_nodes_load;
        };
        let age = now.saturating_duration_since(last.at);
        if age <= stale_after {
            return own + last.other_nodes_load;
        }
        let half_lives = (age - stale_after).as_secs_f64() / stale_after.as_secs_f64().max(0.001);
        let trust = 0.5_f64.powf(half_lives);
        own + mean_other_nodes_load + (last.other_nodes_load - mean_other_nodes_load) * trust
    }

    /// The number of places that it has now; reduced during slow start.
    pub(crate) fn places_now(&self, now: Instant, settings: &RouterSettings) -> u32 {
        let share = self.outlier.places_share(now, settings.slow_start);
        ((f64::from(self.places) * share) as u32).max(1)
    }

    /// Whether the adapter is ready (`true`) or loading (`false`) here, or `None` if it is absent.
    pub(crate) fn holds(&self, adapter: &AdapterRef) -> Option<bool> {
        let held = self.held.iter().find(|held| held.adapter == *adapter)?;
        Some(held.is_ready)
    }

    /// Whether the adapter is ready here, or has been loading for less than `load_limit`.
    pub(crate) fn holds_or_loads(
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

    fn update_lagged_own(&mut self, now: Instant, lag: Duration) {
        let own = f64::from(self.own_in_flight());
        if let Some(at) = self.lagged_at {
            let passed = now.saturating_duration_since(at).as_secs_f64();
            let kept = (-passed / lag.as_secs_f64().max(0.001)).exp();
            self.lagged_own = own + (self.lagged_own - own) * kept;
        }
        self.lagged_at = Some(now);
    }
}
