//! What a run came to.

use std::time::Duration;

use hdrhistogram::Histogram;
use nutmegsail_base::Class;

use super::request::SimRequest;
use super::scenario::Scenario;

/// A stall shorter than this does not count as one.
const STALL_MIN: Duration = Duration::from_millis(10);

/// The longest wait that is told from longer ones, in microseconds.
const HIGHEST_US: u64 = 3_600_000_000;

/// What a run came to, over requests that arrived while it was measured.
#[derive(Debug)]
pub(crate) struct Tally {
    requests: u64,
    shed: u64,
    stalled: u64,
    stall_s: f64,
    sends: u64,
    sent: u64,
    unanswered: u64,
    first_token: [Histogram<u64>; 2],
    /// First tokens of urgent requests that arrived outside the first failure domain.
    urgent_elsewhere: Histogram<u64>,
    pub(crate) steps: u64,
    pub(crate) step_requests: u64,
    pub(crate) batch_slots: u64,
    pub(crate) tokens: [u64; 2],
    pub(crate) loads: u64,
    pub(crate) measured_s: f64,
    /// Standard deviation of requests in flight between the engines of a failure domain, by sample.
    pub(crate) spread_sum: f64,
    pub(crate) spread_samples: u64,
}

impl Tally {
    pub(crate) fn new(scenario: &Scenario) -> Self {
        let histogram = || {
            let bounds = Histogram::new_with_bounds(1, HIGHEST_US, 3);
            bounds.expect("the bounds are in order")
        };
        Self {
            requests: 0,
            shed: 0,
            stalled: 0,
            stall_s: 0.0,
            sends: 0,
            sent: 0,
            unanswered: 0,
            first_token: [histogram(), histogram()],
            urgent_elsewhere: histogram(),
            steps: 0,
            step_requests: 0,
            batch_slots: scenario.batch_slots as u64,
            tokens: [0, 0],
            loads: 0,
            measured_s: scenario.measured.as_secs_f64(),
            spread_sum: 0.0,
            spread_samples: 0,
        }
    }

    /// Counts a request as it stands at the end of the run.
    ///
    /// One without a first token counts with the time it has waited, so that a policy does not look
    /// better for what it left waiting.
    pub(crate) fn count(&mut self, request: &SimRequest, domain: usize, end: Duration) {
        self.requests += 1;
        self.shed += u64::from(request.is_shed);
        self.sends += u64::from(request.sends);
        self.sent += u64::from(request.sends > 0);
        let open = request.stalled_since.map(|since| end.saturating_sub(since));
        let stalled = request.stalled + open.unwrap_or_default();
        self.stalled += u64::from(stalled >= STALL_MIN);
        self.stall_s += stalled.as_secs_f64();
        if request.is_shed {
            return;
        }
        self.unanswered += u64::from(request.first_token.is_none());
        let first = request
            .first_token
            .unwrap_or(end)
            .saturating_sub(request.at);
        let first_us = first.as_micros() as u64;
        self.first_token[request.class as usize].saturating_record(first_us);
        if request.class == Class::Urgent && domain > 0 {
            self.urgent_elsewhere.saturating_record(first_us);
        }
    }

    pub(crate) fn load_stall_s_per_request(&self) -> f64 {
        self.stall_s / self.requests.max(1) as f64
    }

    pub(crate) fn stalled_share(&self) -> f64 {
        self.stalled as f64 / self.requests.max(1) as f64
    }

    pub(crate) fn batch_efficiency(&self) -> f64 {
        self.step_requests as f64 / (self.steps * self.batch_slots).max(1) as f64
    }

    pub(crate) fn first_token_ms(&self, class: Class, quantile: f64) -> f64 {
        self.first_token[class as usize].value_at_quantile(quantile) as f64 / 1_000.0
    }

    pub(crate) fn urgent_elsewhere_ms(&self, quantile: f64) -> f64 {
        self.urgent_elsewhere.value_at_quantile(quantile) as f64 / 1_000.0
    }

    pub(crate) fn retries_per_request(&self) -> f64 {
        (self.sends - self.sent) as f64 / self.sent.max(1) as f64
    }

    pub(crate) fn shed_share(&self) -> f64 {
        self.shed as f64 / self.requests.max(1) as f64
    }

    pub(crate) fn unanswered_share(&self) -> f64 {
        self.unanswered as f64 / self.requests.max(1) as f64
    }

    pub(crate) fn tokens_per_s(&self) -> f64 {
        (self.tokens[0] + self.tokens[1]) as f64 / self.measured_s
    }

    pub(crate) fn routine_throughput_share(&self) -> f64 {
        let total = (self.tokens[0] + self.tokens[1]).max(1);
        self.tokens[Class::Routine as usize] as f64 / total as f64
    }

    pub(crate) fn loads_per_s(&self) -> f64 {
        self.loads as f64 / self.measured_s
    }

    pub(crate) fn in_flight_spread(&self) -> f64 {
        self.spread_sum / self.spread_samples.max(1) as f64
    }
}
