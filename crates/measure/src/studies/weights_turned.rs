//! The same load with the operators' weights turned.

use nutmegsail_routing::RoutingWeights;

use super::compare::{median, row};
use crate::sim::{PolicyKind, Scenario};
use crate::{Report, Study};

pub(crate) const STUDY: Study = Study {
    name: "weights-turned",
    about: "The same load with the weights of load stalls and batch efficiency turned.",
    run,
};

fn run(seeds: &[u64]) -> Report {
    let mut rows = Vec::new();
    let mut notes = Vec::new();
    for base in [Scenario::jm_west(), Scenario::mu_north()] {
        for load_stalls in [0.8, 0.5, 0.2] {
            let batch_efficiency = 1.0 - load_stalls;
            let scenario = Scenario {
                weights: RoutingWeights {
                    load_stalls,
                    batch_efficiency,
                },
                ..base.clone()
            };
            let label = format!(
                "nutmegsail, load stalls {load_stalls:.1}, batch efficiency {batch_efficiency:.1}"
            );
            let found = row(&scenario, &PolicyKind::router(), &label, seeds);
            notes.push(format!(
                "{} {load_stalls:.1}/{batch_efficiency:.1}: load stalls {:.4} s a request, batch \
                 efficiency {:.4}",
                scenario.deployment,
                median(&found, "load_stall_s_per_request"),
                median(&found, "batch_efficiency"),
            ));
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
