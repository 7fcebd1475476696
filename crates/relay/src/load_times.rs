//! How long loads take, told from reports that lag.

use std::time::Duration;

/// How long a load takes at full speed until some were relied on: some hundred MB over a fast link.
pub(crate) const FIRST_LOAD_MS: f64 = 250.0;

/// The least and the most that is taken for it.
const LOAD_RANGE_MS: (f64, f64) = (20.0, 3_000.0);

/// How much shorter loads are taken to be with each that was relied on in time, as a part of it, until one
/// was relied on too early: a load that takes half as long as assumed is found out within 25.
const FIRST_RELIED_STEP: f64 = 0.03;

/// The same from then on. With [`EARLY_STEP`] one in 30 loads is relied on too early, whose callers wait
/// for a report.
const RELIED_STEP: f64 = 0.002;

/// How much longer loads are taken to be with each that was relied on too early.
const EARLY_STEP: f64 = 0.06;

/// The same for the first one. While all adapters are cold each load that is relied on too early is a caller
/// that waits for a second one.
const FIRST_EARLY_STEP: f64 = 0.2;

/// How far another node's word of the load time moves that of a node which has learned its own.
const TOLD_STEP: f64 = 0.1;

/// The part of a load's time that it takes an engine to bring back an adapter that it held a while ago.
pub(crate) const RECENT_SHARE: f64 = 0.1;

/// How long the order of a load and the request that follows it are on their way, in milliseconds.
const WAY_MS: f64 = 7.0;

/// How much one load moves the usual time.
const USUAL_STEP: f64 = 0.2;

/// Loads that are at full speed at once, over all engines, until some were seen: what weight stores
/// give today, 8 beside 12 engines and 40 beside 140. Beyond it every load takes longer in proportion.
const FIRST_AT_ONCE: f64 = 8.0;

/// The same for each engine in a large fleet.
const FIRST_AT_ONCE_PER_ENGINE: f64 = 0.286;

/// The least and the most that is taken for it.
const AT_ONCE_RANGE: (f64, f64) = (2.0, 1_000.0);

/// How much one load moves it.
const AT_ONCE_STEP: f64 = 0.1;

/// The least that is taken for the part of unreported loads that is under way: reports lag by up to the
/// time of a load.
const LEAST_SHARE: f64 = 0.4;

/// Loads under way, as a part of those that are taken to be at full speed, from which a quick load
/// says that more would be.
const NEAR_LIMIT_SHARE: f64 = 0.7;

/// What such a load adds, as a part of it.
const AT_ONCE_GROWTH: f64 = 0.04;

/// A load that took this many times as long as at full speed has waited for others; nearer to it, reports are too
/// coarse to tell.
const CROWDED_RATIO: f64 = 1.3;

/// Loads under way, as a part of those that are taken to be at full speed, from which a slow load has
/// waited for others. With fewer its engine or the news of it was slow.
const CROWD_SHARE: f64 = 0.5;

/// Loads under way, as a part of those at full speed at once, up to which copies of adapters begin that other
/// engines hold. The rest is for misses, of
/// which two or three may come in the time of one load.
const COPY_ROOM_SHARE: f64 = 0.4;

/// How far the time of a quick load moves down with a load that took less, and up with one that took
/// more, in milliseconds: at a quarter of all loads both balance. The very quickest say nothing, as
/// adapters that an engine held before come back in a tenth of the time.
const QUICK_STEPS_MS: (f64, f64) = (12.0, 4.0);

/// What reports may lag, in milliseconds. Without the upper bound a long crowd of loads would pass
/// for a lag, and adapters be taken as ready long before they are.
const LAG_RANGE_MS: (f64, f64) = (80.0, 260.0);

/// Loads are quick while they take less than this over the quickest, in milliseconds: few others are
/// under way anywhere.
const QUICK_MARGIN_MS: f64 = 80.0;

/// The times that loads lately took until a report showed them.
///
/// Reports lag by a time that differs between deployments (some 100 to 230 ms) and is not told. A
/// quick load took the least time there is, and that lag; what others take over it, they wait for
/// the weight store, in proportion to the loads under way over all engines.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::LoadTimes;
/// let mut times = LoadTimes::default();
/// for took_ms in [480, 480, 480] {
///     times.note(Duration::from_millis(took_ms), 2.0);
/// }
/// assert!(times.usual(2.0) < Duration::from_millis(280), "the rest is the reports' lag");
/// assert!(times.usual(16.0) > Duration::from_millis(480), "twice as many as at full speed");
/// assert!(times.are_quick());
/// ```
///
/// How much of that the load itself took no report tells. But requests are sent as soon as a load should
/// be done, and come back unserved if it is not. So loads are taken to be a little shorter with each that
/// was relied on in time, and longer with each that was not.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::LoadTimes;
/// let mut times = LoadTimes::default();
/// let takes = Duration::from_millis(330);
/// for _ in 0..200 {
///     match times.usual(1.0) < takes {
///         true => times.note_early(),
///         false => times.note_relied(),
///     }
/// }
/// let told = times.usual(1.0).as_secs_f64() / takes.as_secs_f64();
/// assert!((0.95..1.1).contains(&told));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct LoadTimes {
    seen: Option<Seen>,
    /// How long a load takes at full speed, in milliseconds.
    load_ms: f64,
    /// Whether a load was relied on too early.
    was_early: bool,
    /// Loads that are at full speed at once.
    at_once: f64,
}

impl Default for LoadTimes {
    fn default() -> Self {
        Self {
            seen: None,
            load_ms: FIRST_LOAD_MS,
            was_early: false,
            at_once: FIRST_AT_ONCE,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    usual_ms: f64,
    quick_ms: f64,
}

impl Seen {
    fn next_quick_ms(self, took_ms: f64) -> f64 {
        let (down_ms, up_ms) = QUICK_STEPS_MS;
        match took_ms < self.quick_ms {
            true => self.quick_ms - down_ms,
            false => self.quick_ms + up_ms,
        }
    }
}

impl LoadTimes {
    /// Takes in how long a load took until a report showed it, while `under_way` loads were under
    /// way over all engines, itself included.
    pub fn note(&mut self, took: Duration, under_way: f64) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        let seen = match self.seen {
            None => Seen {
                usual_ms: took_ms,
                quick_ms: self.within_lag(took_ms),
            },
            Some(seen) => Seen {
                usual_ms: seen.usual_ms + USUAL_STEP * (took_ms - seen.usual_ms),
                quick_ms: self.within_lag(seen.next_quick_ms(took_ms)),
            },
        };
        self.seen = Some(seen);
        self.note_at_once(took_ms - (seen.quick_ms - self.load_ms), under_way);
    }

    /// The time until a report shows a load, within what reports may lag.
    fn within_lag(&self, took_ms: f64) -> f64 {
        let (least_ms, most_ms) = LAG_RANGE_MS;
        took_ms.clamp(self.load_ms + least_ms, self.load_ms + most_ms)
    }

    /// Takes in that requests were sent to an adapter as soon as its load should have been done.
    pub fn note_relied(&mut self) {
        let step = match self.was_early {
            true => RELIED_STEP,
            false => FIRST_RELIED_STEP,
        };
        self.set_load_ms(self.load_ms * (1.0 - step));
    }

    /// Takes in that such a request came back unserved, as the adapter was not there yet.
    pub fn note_early(&mut self) {
        let step = match self.was_early {
            true => EARLY_STEP,
            false => FIRST_EARLY_STEP,
        };
        self.was_early = true;
        self.set_load_ms(self.load_ms * (1.0 + step));
    }

    /// The load time at full speed for other nodes, in milliseconds; nothing until it is learned.
    pub fn to_tell(&self) -> Option<f32> {
        self.was_early.then_some(self.load_ms as f32)
    }

    /// Takes in the load time that another node has learned.
    ///
    /// Answers a cold start: each node that learns by itself sends the callers of its first loads too early.
    ///
    /// ```
    /// use nutmegsail_relay::LoadTimes;
    /// let (mut one, mut other) = (LoadTimes::default(), LoadTimes::default());
    /// assert_eq!(one.to_tell(), None);
    /// one.note_early();
    /// other.take_told(one.to_tell().unwrap());
    /// assert_eq!(other.usual(1.0), one.usual(1.0));
    /// ```
    pub fn take_told(&mut self, load_ms: f32) {
        let step = match self.was_early {
            true => TOLD_STEP,
            false => 1.0,
        };
        self.was_early = true;
        self.set_load_ms(self.load_ms + step * (f64::from(load_ms) - self.load_ms));
    }

    fn set_load_ms(&mut self, load_ms: f64) {
        let (least_ms, most_ms) = LOAD_RANGE_MS;
        self.load_ms = load_ms.clamp(least_ms, most_ms);
    }

    fn note_at_once(&mut self, load_ms: f64, under_way: f64) {
        let is_crowd = under_way > CROWD_SHARE * self.at_once;
        let change = if is_crowd && load_ms > CROWDED_RATIO * self.load_ms {
            let seen = under_way * self.load_ms / load_ms;
            AT_ONCE_STEP * (seen - self.at_once)
        } else if under_way > NEAR_LIMIT_SHARE * self.at_once {
            AT_ONCE_GROWTH * self.at_once
        } else {
            return;
        };
        let (least, most) = AT_ONCE_RANGE;
        self.at_once = (self.at_once + change).clamp(least, most);
    }

    /// The part of the loads that no report has shown as done which are still under way: of the time
    /// until a report shows a load, the last part is the report's lag.
    pub fn under_way_share(&self) -> f64 {
        self.seen.map_or(1.0, |seen| {
            let lag_ms = seen.quick_ms - self.load_ms;
            (1.0 - lag_ms / seen.usual_ms).clamp(LEAST_SHARE, 1.0)
        })
    }

    /// Takes in how many engines there are, which tells what to expect until loads are seen.
    pub fn set_engines(&mut self, engines: usize) {
        if self.seen.is_none() {
            self.at_once = FIRST_AT_ONCE.max(engines as f64 * FIRST_AT_ONCE_PER_ENGINE);
        }
    }

    /// How long a load takes until the adapter can be used, with `under_way` loads under way over
    /// all engines, itself included.
    pub fn usual(&self, under_way: f64) -> Duration {
        let ms = self.load_ms * (under_way / self.at_once).max(1.0);
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// How long an engine takes to bring back an adapter that it held a while ago, until it can be used.
    pub fn recent(&self) -> Duration {
        Duration::from_secs_f64((self.load_ms * RECENT_SHARE + WAY_MS) / 1_000.0)
    }

    /// Whether a further copy of an adapter may begin to load, with `under_way` loads over all engines.
    ///
    /// A copy spares some callers a queue; a load for a miss is what its callers wait for. When demand
    /// moves to other adapters, copies alone could fill the weight store.
    pub fn has_room_for_copy(&self, under_way: f64) -> bool {
        under_way < self.at_once * COPY_ROOM_SHARE
    }

    /// Whether loads take hardly longer than the quickest.
    pub fn are_quick(&self) -> bool {
        self.seen
            .is_some_and(|seen| seen.usual_ms < seen.quick_ms + QUICK_MARGIN_MS)
    }
}
