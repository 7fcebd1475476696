//! How long loads take, told from reports that lag.

use std::time::Duration;

/// How long a load takes at least.
const LEAST_LOAD_MS: f64 = 254.0;

/// How long the first loads are taken to need: at a cold start many are under way at once.
const FIRST_LOAD_MS: f64 = 370.0;

/// How much one load moves the usual time.
const USUAL_STEP: f64 = 0.2;

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
/// the weight store.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::LoadTimes;
/// let mut times = LoadTimes::default();
/// for took_ms in [480, 480, 480] {
///     times.note(Duration::from_millis(took_ms));
/// }
/// assert!(times.usual() < Duration::from_millis(280), "the rest is the reports' lag");
/// assert!(times.are_quick());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadTimes {
    seen: Option<Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    usual_ms: f64,
    quick_ms: f64,
}

impl Seen {
    fn next_quick_ms(self, took_ms: f64) -> f64 {
        let (down_ms, up_ms) = QUICK_STEPS_MS;
        within_lag(match took_ms < self.quick_ms {
            true => self.quick_ms - down_ms,
            false => self.quick_ms + up_ms,
        })
    }
}

fn within_lag(took_ms: f64) -> f64 {
    let (least_ms, most_ms) = LAG_RANGE_MS;
    took_ms.clamp(LEAST_LOAD_MS + least_ms, LEAST_LOAD_MS + most_ms)
}

impl LoadTimes {
    /// Takes in how long a load took until a report showed it.
    pub fn note(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        self.seen = Some(match self.seen {
            None => Seen {
                usual_ms: took_ms,
                quick_ms: within_lag(took_ms),
            },
            Some(seen) => Seen {
                usual_ms: seen.usual_ms + USUAL_STEP * (took_ms - seen.usual_ms),
                quick_ms: seen.next_quick_ms(took_ms),
            },
        });
    }

    /// How long a load usually takes now, until the adapter can be used.
    pub fn usual(&self) -> Duration {
        let ms = self.seen.map_or(FIRST_LOAD_MS, |seen| {
            LEAST_LOAD_MS + (seen.usual_ms - seen.quick_ms).max(0.0)
        });
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Whether loads take hardly longer than the quickest.
    pub fn are_quick(&self) -> bool {
        self.seen
            .is_some_and(|seen| seen.usual_ms < seen.quick_ms + QUICK_MARGIN_MS)
    }
}
