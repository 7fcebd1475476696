//! Whether an upstream is worth sending to, judged by what became of earlier sends.

use std::time::{Duration, Instant};

/// What became of a send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A sound answer came.
    Answered,
    /// No connection could be made, the answer broke off, or it was a failure of the upstream.
    Failed,
    /// The upstream said that it is full and did not run the request.
    Full,
}

impl Outcome {
    /// Its name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Full => "full",
        }
    }
}

/// How much one outcome moves the failure rate. Three failures in a row bring a sound upstream
/// over [`FAILURE_RATE_LIMIT`].
const RATE_STEP: f64 = 0.25;

/// The failure rate over which an upstream gets no work for a while. Some services fail one call in
/// eight on their best days, for which three in a row are rare; upstreams that fail part of their
/// requests while their health check passes fail some 4 in 10, and pass the limit within 20.
const FAILURE_RATE_LIMIT: f64 = 0.55;

/// The first pause after the limit was passed.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// The longest pause. Crashed upstreams leave the list of upstreams after three heartbeats, 3.6 s.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// How long an upstream that said it is full gets nothing: about the time in which one of its
/// requests ends.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// The failures of one upstream as one node sees them.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failure_rate: f64,
    pause: Duration,
    paused_until: Option<Instant>,
}

impl Health {
    /// Whether the upstream is paused at `now`.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// How many sends in a hundred fail, as a share from 0 to 1.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Takes in what became of a send.
    ///
    /// ```
    /// use std::time::Instant;
    /// use nutmegsail_relay::{Health, Outcome};
    /// let (mut health, now) = (Health::default(), Instant::now());
    /// health.note(Outcome::Failed, now);
    /// assert!(!health.is_paused(now), "one failure is no verdict");
    /// health.note(Outcome::Failed, now);
    /// health.note(Outcome::Failed, now);
    /// assert!(health.is_paused(now));
    /// ```
    pub fn note(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Answered => {
                self.failure_rate -= RATE_STEP * self.failure_rate;
                self.pause /= 2;
            }
            Outcome::Failed => {
                self.failure_rate += RATE_STEP * (1.0 - self.failure_rate);
                if self.failure_rate > FAILURE_RATE_LIMIT {
                    self.pause = (self.pause * 2).clamp(FIRST_PAUSE, LONGEST_PAUSE);
                    self.paused_until = Some(now + self.pause);
                }
            }
            Outcome::Full => {
                let until = now + FULL_PAUSE;
                self.paused_until = Some(self.paused_until.map_or(until, |at| at.max(until)));
            }
        }
    }

    /// Takes in that no connection could be made: nothing answers there, so it is paused at once.
    pub fn note_unreachable(&mut self, now: Instant) {
        self.failure_rate = self.failure_rate.max(FAILURE_RATE_LIMIT);
        self.note(Outcome::Failed, now);
    }
}
