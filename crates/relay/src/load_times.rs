//! Estimates how long adapter loads take, from reports that arrive with a delay.

use std::time::Duration;

/// Assumed time of an uncongested load until loads have been used: some hundred MB over a fast
/// link.
pub(crate) const INITIAL_LOAD_MS: f64 = 250.0;

/// Lower and upper bound of the estimated load time, in milliseconds.
const LOAD_BOUNDS_MS: (f64, f64) = (20.0, 3_000.0);

/// Fraction by which the estimate shrinks with each adapter that was used on time, until the first
/// was used too early. A load that takes half the assumed time is found within 25 loads.
const INITIAL_SHRINK_RATE: f64 = 0.03;

/// The same after the first adapter was used too early. Together with [`GROWTH_RATE`], one load in
/// 30 is used too early, and its callers wait for a report.
const SHRINK_RATE: f64 = 0.002;

/// Fraction by which the estimate grows with each adapter that was used too early.
const GROWTH_RATE: f64 = 0.06;

/// The same for the first one. It is larger because at a cold start every load that is used too
/// early makes a caller wait for a second load.
const INITIAL_GROWTH_RATE: f64 = 0.2;

/// Weight of another node's estimate for a node that has learned its own.
const PEER_WEIGHT: f64 = 0.1;

/// Time to restore an adapter from host memory, as a fraction of the time of a load from the weight
/// store.
pub(crate) const RESTORE_TIME_FRACTION: f64 = 0.1;

/// Network time of a load order and of the request that follows it, in milliseconds.
const NETWORK_MS: f64 = 7.0;

/// Weight of one load in the moving average of the time until a report shows a load.
const MEAN_WEIGHT: f64 = 0.2;

/// Assumed number of loads, over all engines, that the weight store serves at full speed. Today's
/// weight stores serve 8 for 12 engines and 40 for 140. With more, every load slows down in
/// proportion.
const INITIAL_FULL_SPEED_LOADS: f64 = 8.0;

/// The same per engine, for large fleets.
const INITIAL_FULL_SPEED_LOADS_PER_ENGINE: f64 = 0.286;

/// Lower and upper bound of the number of loads at full speed.
const FULL_SPEED_LOADS_BOUNDS: (f64, f64) = (2.0, 1_000.0);

/// Weight of one congested load in the estimate of the number of loads at full speed.
const FULL_SPEED_LOADS_WEIGHT: f64 = 0.1;

/// Lower bound for the fraction of unreported loads that are still in progress: reports are delayed
/// by up to the time of a load.
const MIN_IN_PROGRESS_FRACTION: f64 = 0.4;

/// Loads in progress, as a fraction of those at full speed, from which a load without congestion
/// raises the estimate.
const NEAR_LIMIT_FRACTION: f64 = 0.7;

/// Fraction by which such a load raises the estimate.
const FULL_SPEED_LOADS_GROWTH: f64 = 0.04;

/// A load that took this multiple of the uncongested time was slowed down by others. Reports are
/// too coarse to tell for smaller ratios.
const CONGESTED_RATIO: f64 = 1.3;

/// Loads in progress, as a fraction of those at full speed, from which a slow load is attributed to
/// congestion. With fewer in progress, its engine or its report was slow.
const CONGESTED_FRACTION: f64 = 0.5;

/// Loads in progress, as a fraction of those at full speed, up to which further copies of adapters
/// may be loaded. The remainder is kept for misses, two or three of which may occur in the time of
/// one load.
const COPY_FRACTION: f64 = 0.4;

/// Steps by which the time of a quick load moves down for a faster load and up for a slower one, in
/// milliseconds. Their ratio makes it track the lower quartile of all loads. The minimum is of no
/// use, because adapters restored from host memory take a tenth of the time.
const QUICK_STEPS_MS: (f64, f64) = (12.0, 4.0);

/// Lower and upper bound of the report delay, in milliseconds. Without the upper bound, long
/// congestion would be taken for report delay, and adapters would count as loaded long before they
/// are.
const REPORT_DELAY_BOUNDS_MS: (f64, f64) = (80.0, 260.0);

/// Loads count as quick while their average is less than this above the quick load time, in
/// milliseconds; few loads are in progress then.
const QUICK_MARGIN_MS: f64 = 80.0;

/// Estimates load times from the times until a report showed a load as done.
///
/// Reports are delayed by a time that differs between deployments (about 100 to 230 ms) and is not
/// known. A quick load took the uncongested load time plus that delay. Anything beyond is waiting
/// for the weight store, which grows in proportion to the loads in progress over all engines.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::LoadTimes;
/// let mut times = LoadTimes::default();
/// for took_ms in [480, 480, 480] {
///     times.note(Duration::from_millis(took_ms), 2.0);
/// }
/// assert!(times.expected(2.0) < Duration::from_millis(280), "the rest is report delay");
/// assert!(
///     times.expected(16.0) > Duration::from_millis(480),
///     "twice as many as run at full speed"
/// );
/// assert!(times.are_uncongested());
/// ```
///
/// Reports don't show which part of the quick time was the load itself. But requests are sent as
/// soon as a load is expected to be done, and come back unserved if it is not. The estimate
/// therefore shrinks a little with each adapter that was used on time, and grows with each that was
/// used too early.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::LoadTimes;
/// let mut times = LoadTimes::default();
/// let takes = Duration::from_millis(330);
/// for _ in 0..200 {
///     match times.expected(1.0) < takes {
///         true => times.record_used_too_early(),
///         false => times.record_used_on_time(),
///     }
/// }
/// let ratio = times.expected(1.0).as_secs_f64() / takes.as_secs_f64();
/// assert!((0.95..1.1).contains(&ratio));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LoadTimes {
    observed: Option<Observed>,
    /// Time of a load without congestion, in milliseconds.
    load_ms: f64,
    /// Whether any adapter was used too early.
    was_too_early: bool,
    /// Number of loads that the weight store serves at full speed.
    full_speed_loads: f64,
}

impl Default for LoadTimes {
    fn default() -> Self {
        Self {
            observed: None,
            load_ms: INITIAL_LOAD_MS,
            was_too_early: false,
            full_speed_loads: INITIAL_FULL_SPEED_LOADS,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Observed {
    mean_ms: f64,
    quick_ms: f64,
}

impl Observed {
    fn next_quick_ms(self, took_ms: f64) -> f64 {
        let (down_ms, up_ms) = QUICK_STEPS_MS;
        match took_ms < self.quick_ms {
            true => self.quick_ms - down_ms,
            false => self.quick_ms + up_ms,
        }
    }
}

impl LoadTimes {
    /// Records the time until a report showed a load as done, with `in_progress` loads in progress
    /// over all engines, including this one.
    pub fn note(&mut self, took: Duration, in_progress: f64) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let observed = match self.observed {
            None => Observed {
                mean_ms: took_ms,
                quick_ms: self.clamp_to_delay(took_ms),
            },
            Some(observed) => Observed {
                mean_ms: observed.mean_ms + MEAN_WEIGHT * (took_ms - observed.mean_ms),
                quick_ms: self.clamp_to_delay(observed.next_quick_ms(took_ms)),
            },
        };
        self.observed = Some(observed);
        self.update_full_speed_loads(took_ms - (observed.quick_ms - self.load_ms), in_progress);
    }

    /// Clamps the time until a report shows a load to the possible report delays.
    fn clamp_to_delay(&self, took_ms: f64) -> f64 {
        let (lower_ms, upper_ms) = REPORT_DELAY_BOUNDS_MS;
        took_ms.clamp(self.load_ms + lower_ms, self.load_ms + upper_ms)
    }

    /// Records that requests were sent for an adapter as soon as its load was expected to be done.
    pub fn record_used_on_time(&mut self) {
        let step = match self.was_too_early {
            true => SHRINK_RATE,
            false => INITIAL_SHRINK_RATE,
        };
        self.set_load_ms(self.load_ms * (1.0 - step));
    }

    /// Records that such a request came back unserved because the load was not done.
    pub fn record_used_too_early(&mut self) {
        let step = match self.was_too_early {
            true => GROWTH_RATE,
            false => INITIAL_GROWTH_RATE,
        };
        self.was_too_early = true;
        self.set_load_ms(self.load_ms * (1.0 + step));
    }

    /// The load time without congestion to share with other nodes, in milliseconds; `None` until it
    /// is learned.
    pub fn learned_load_ms(&self) -> Option<f32> {
        self.was_too_early.then_some(self.load_ms as f32)
    }

    /// Merges the load time that another node learned.
    ///
    /// Without it, every node that learns the load time by itself sends its first requests too
    /// early after a cold start.
    ///
    /// ```
    /// use nutmegsail_relay::LoadTimes;
    /// let (mut one, mut other) = (LoadTimes::default(), LoadTimes::default());
    /// assert_eq!(one.learned_load_ms(), None);
    /// one.record_used_too_early();
    /// other.merge_peer_load_ms(one.learned_load_ms().unwrap());
    /// assert_eq!(other.expected(1.0), one.expected(1.0));
    /// ```
    pub fn merge_peer_load_ms(&mut self, load_ms: f32) {
        let step = match self.was_too_early {
            true => PEER_WEIGHT,
            false => 1.0,
        };
        self.was_too_early = true;
        self.set_load_ms(self.load_ms + step * (f64::from(load_ms) - self.load_ms));
    }

    fn set_load_ms(&mut self, load_ms: f64) {
        let (lower_ms, upper_ms) = LOAD_BOUNDS_MS;
        self.load_ms = load_ms.clamp(lower_ms, upper_ms);
    }

    fn update_full_speed_loads(&mut self, load_ms: f64, in_progress: f64) {
        let is_congested = in_progress > CONGESTED_FRACTION * self.full_speed_loads;
        let change = if is_congested && load_ms > CONGESTED_RATIO * self.load_ms {
            let observed = in_progress * self.load_ms / load_ms;
            FULL_SPEED_LOADS_WEIGHT * (observed - self.full_speed_loads)
        } else if in_progress > NEAR_LIMIT_FRACTION * self.full_speed_loads {
            FULL_SPEED_LOADS_GROWTH * self.full_speed_loads
        } else {
            return;
        };
        let (lower, upper) = FULL_SPEED_LOADS_BOUNDS;
        self.full_speed_loads = (self.full_speed_loads + change).clamp(lower, upper);
    }

    /// Fraction of the loads not yet reported as done that are really still in progress; the rest
    /// only wait for their report.
    pub fn in_progress_share(&self) -> f64 {
        self.observed.map_or(1.0, |observed| {
            let delay_ms = observed.quick_ms - self.load_ms;
            (1.0 - delay_ms / observed.mean_ms).clamp(MIN_IN_PROGRESS_FRACTION, 1.0)
        })
    }

    /// Sets the number of engines, from which the speed of the weight store is assumed until loads
    /// have been observed.
    pub fn set_engines(&mut self, engines: usize) {
        if self.observed.is_none() {
            self.full_speed_loads =
                INITIAL_FULL_SPEED_LOADS.max(engines as f64 * INITIAL_FULL_SPEED_LOADS_PER_ENGINE);
        }
    }

    /// Expected time until an adapter can be used, with `in_progress` loads in progress over all
    /// engines, including this one.
    pub fn expected(&self, in_progress: f64) -> Duration {
        let ms = self.load_ms * (in_progress / self.full_speed_loads).max(1.0);
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Expected time until an adapter restored from host memory can be used.
    pub fn recent(&self) -> Duration {
        Duration::from_secs_f64((self.load_ms * RESTORE_TIME_FRACTION + NETWORK_MS) / 1_000.0)
    }

    /// Whether a further copy of an adapter may be loaded, with `in_progress` loads in progress
    /// over all engines.
    ///
    /// A copy only shortens a queue, while callers cannot be served at all until the load for their
    /// miss is done. When demand shifts to other adapters, copies alone could saturate the weight
    /// store.
    pub fn has_room_for_copy(&self, in_progress: f64) -> bool {
        in_progress < self.full_speed_loads * COPY_FRACTION
    }

    /// Whether loads take hardly longer than a quick load.
    pub fn are_uncongested(&self) -> bool {
        self.observed
            .is_some_and(|observed| observed.mean_ms < observed.quick_ms + QUICK_MARGIN_MS)
    }
}
