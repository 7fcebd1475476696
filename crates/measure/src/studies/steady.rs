//! Steady load on both deployments.

use super::compare::{against_baselines, median};
use crate::sim::Scenario;
use crate::{Report, Study};

pub(crate) const STUDY: Study = Study {
    name: "steady",
    about: "Steady load on both deployments, beside round robin, least in flight and hashing.",
    run,
};

fn run(seeds: &[u64]) -> Report {
    let mut rows = Vec::new();
    let mut notes = Vec::new();
    for scenario in [Scenario::jm_west(), Scenario::mu_north()] {
        let found = against_baselines(&scenario, seeds);
        let best = |name: &str, lowest: bool| {
            let baselines = found[1..].iter().map(|row| median(row, name));
            baselines
                .reduce(if lowest { f64::min } else { f64::max })
                .unwrap_or(f64::NAN)
        };
        notes.push(format!(
            "{}: load stalls {:.4} s a request, best baseline {:.4} s; batch efficiency {:.4}, \
             best baseline {:.4}",
            scenario.deployment,
            median(&found[0], "load_stall_s_per_request"),
            best("load_stall_s_per_request", true),
            median(&found[0], "batch_efficiency"),
            best("batch_efficiency", false),
        ));
        rows.extend(found);
    }
    Report {
        study: STUDY.name,
        seeds: seeds.to_vec(),
        rows,
        notes,
    }
}
