//! Twice as much routine work as the engines can do.

use nutmegsail_routing::RouterSettings;

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
    let roomy = Scenario {
        urgent_headroom: 0.5,
        ..scenario(URGENT_PER_S, 2.0 * FULL_ROUTINE_PER_S)
    };
    let router = PolicyKind::router();
    let cancelling = PolicyKind::Router {
        name: "cancelling",
        settings: Box::new(RouterSettings {
            cancels_routine: true,
            ..RouterSettings::default()
        }),
    };
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
            "nutmegsail, 2x routine and urgent overload",
            seeds,
        ),
        row(
            &roomy,
            &router,
            "nutmegsail, 2x routine, headroom 0.5",
            seeds,
        ),
        row(
            &overload,
            &cancelling,
            "nutmegsail, 2x routine, cancelling routine",
            seeds,
        ),
    ];
    let ratio = |index: usize, name: &str| median(&rows[index], name) / median(&rows[0], name);
    let notes = [
        (1, "2x routine"),
        (2, "without classes"),
        (4, "headroom 0.5"),
    ]
    .map(|(at, label)| {
        format!(
            "{label}: urgent first token over that of urgent work alone: p50 {:.3}, p99 {:.3}",
            ratio(at, "urgent_first_token_p50_ms"),
            ratio(at, "urgent_first_token_p99_ms"),
        )
    });
    let share = median(&rows[3], "routine_throughput_share");
    let floor = format!("routine share of tokens with urgent overload: {share:.3}");
    let notes = notes.into_iter().chain([floor]).collect();
    Report {
        study: STUDY.name,
        seeds: seeds.to_vec(),
        rows,
        notes,
    }
}
