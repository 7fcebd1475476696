//! Twice as much routine work as the engines can do.

use super::compare::{median, row};
use crate::sim::{PolicyKind, Scenario};
use crate::{Report, Study};

pub(crate) const STUDY: Study = Study {
    name: "overload",
    about: "Urgent first-token times without routine work and under twice the routine load that \
            the engines can do.",
    run,
};

/// Requests a second that keep every engine full when all are routine, by the fake engine's step
/// times: 16 tokens in about 26 ms, 160 tokens an answer, 12 engines.
const FULL_ROUTINE_PER_S: f64 = 46.0;
/// Urgent requests a second, a fifth of what the engines can do.
const URGENT_PER_S: f64 = 40.0;

fn scenario(urgent_per_s: f64, routine_per_s: f64) -> Scenario {
    Scenario {
        requests_per_s: urgent_per_s + routine_per_s,
        urgent_share: urgent_per_s / (urgent_per_s + routine_per_s),
        warm_up: std::time::Duration::from_secs(20),
        measured: std::time::Duration::from_secs(60),
        // Queues and places alone: loads have their own studies.
        has_all_adapters: true,
        ..Scenario::jm_west()
    }
}

fn run(seeds: &[u64]) -> Report {
    let alone = scenario(URGENT_PER_S, 0.0);
    let overload = scenario(URGENT_PER_S, 2.0 * FULL_ROUTINE_PER_S);
    let starved = scenario(6.0 * URGENT_PER_S, 2.0 * FULL_ROUTINE_PER_S);
    let router = PolicyKind::router();
    let first_come = PolicyKind::LeastInFlight;
    let rows = vec![
        row(&alone, &router, "nutmegsail, urgent alone", seeds),
        row(&overload, &router, "nutmegsail, 2x routine", seeds),
        row(
            &overload,
            &first_come,
            "least in flight, first come, 2x routine",
            seeds,
        ),
        row(
            &starved,
            &router,
            "nutmegsail, 2x routine and 1.2x urgent",
            seeds,
        ),
    ];
    let p99 = |index: usize| median(&rows[index], "urgent_first_token_p99_ms");
    let notes = vec![
        format!(
            "urgent first-token p99: {:.3} times that of urgent work alone",
            p99(1) / p99(0)
        ),
        format!("without classes: {:.3} times", p99(2) / p99(0)),
        format!(
            "routine share of tokens with urgent overload: {:.3}",
            median(&rows[3], "routine_throughput_share")
        ),
    ];
    Report {
        study: STUDY.name,
        seeds: seeds.to_vec(),
        rows,
        notes,
    }
}
