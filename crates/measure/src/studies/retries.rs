//! Engines that fail.

use std::time::Duration;

use super::compare::{median, row};
use crate::sim::{PolicyKind, Scenario};
use crate::{Report, Study};

pub(crate) const STUDY: Study = Study {
    name: "retries",
    about: "What failing engines see: sends for each request while a share of attempts fails.",
    run,
};

fn scenario(failing_share: f64) -> Scenario {
    Scenario {
        failing_share,
        warm_up: Duration::from_secs(20),
        measured: Duration::from_secs(60),
        has_all_adapters: true,
        ..Scenario::jm_west()
    }
}

fn run(seeds: &[u64]) -> Report {
    let mut rows = Vec::new();
    let mut notes = Vec::new();
    for share in [0.05, 0.5, 1.0] {
        let scenario = scenario(share);
        for (kind, name) in [
            (PolicyKind::router(), "nutmegsail"),
            (PolicyKind::LeastInFlight, "least in flight, three attempts"),
        ] {
            let label = format!("{name}, {share} of attempts fail");
            let found = row(&scenario, &kind, &label, seeds);
            let retries = median(&found, "retries_per_request");
            notes.push(format!("{label}: {:.3} sends a request", 1.0 + retries));
            rows.push(found);
        }
    }
    Report {
        study: STUDY.name,
        seeds: seeds.to_vec(),
        rows,
        notes,
    }
}
