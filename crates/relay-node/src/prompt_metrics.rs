//! The metrics of paced prompts.

use std::time::Duration;

use nutmegsail_relay::PromptAnswer;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

/// Upper bounds of the histogram buckets for waits, in milliseconds. A granting node answers within
/// 2 ms; waits beyond the latency objectives (600 to 2,000 ms) are late.
const WAIT_MS: [f64; 10] = [
    2.0, 5.0, 10.0, 20.0, 40.0, 100.0, 250.0, 600.0, 1_000.0, 2_000.0,
];

/// The instruments for paced prompts.
#[derive(Clone, Debug)]
pub(crate) struct PromptMetrics {
    asks: Counter<u64>,
    wait: Histogram<f64>,
    active_gates: Gauge<u64>,
    long_pauses: Counter<u64>,
}

impl PromptMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let wait = meter.f64_histogram("nutmegsail.relay.prompt_wait");
        let wait = wait.with_unit("ms").with_boundaries(WAIT_MS.to_vec());
        let gates = meter.u64_gauge("nutmegsail.relay.paced_services");
        Self {
            asks: counter(
                "nutmegsail.relay.prompt_asks",
                "Prompts for which the engine's gate was asked, by the last answer.",
            ),
            wait: wait
                .with_description("From asking an engine's gate to its last answer.")
                .build(),
            active_gates: gates
                .with_description("Engines whose prompts this node paces.")
                .build(),
            long_pauses: counter(
                "nutmegsail.relay.long_pauses",
                "Pauses in streams that were longer than the route's longest.",
            ),
        }
    }

    /// Counts a prompt for which a gate was asked; no answer came if `answer` is `None`.
    pub(crate) fn asked(&self, answer: Option<PromptAnswer>, wait: Duration) {
        let answer = answer.map_or("no_answer", answer_name);
        self.asks.add(1, &[KeyValue::new("answer", answer)]);
        self.wait.record(wait.as_secs_f64() * 1_000.0, &[]);
    }

    /// Records the number of active gates of this node.
    pub(crate) fn active_gates(&self, gates: usize) {
        self.active_gates.record(gates as u64, &[]);
    }

    /// Counts a pause that was too long.
    pub(crate) fn long_pause(&self) {
        self.long_pauses.add(1, &[]);
    }
}

/// The name of an answer in metrics and the log.
pub(crate) fn answer_name(answer: PromptAnswer) -> &'static str {
    match answer {
        PromptAnswer::Granted => "granted",
        PromptAnswer::Queued => "queued",
        PromptAnswer::Busy { .. } => "busy",
        PromptAnswer::Refused { .. } => "refused",
    }
}
