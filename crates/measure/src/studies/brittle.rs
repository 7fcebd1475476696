//! Upstreams that fall over if they refuse many requests.

use crate::brittle_sim::{BrittleRun, BrittleScenario, BrittleWay, simulate};
use crate::report::Read;
use crate::{Report, Row, Study};

pub(crate) const STUDY: Study = Study {
    name: "brittle",
    about: "Upstreams that announce that they are brittle before 6, 72 and 360 nodes, also while granting nodes are replaced \
            and a third of the nodes is cut off from them: slots that one node grants, and equal shares.",
    run: study,
};

/// Nodes, and upstreams of the service.
const FLEETS: [(usize, usize); 3] = [(6, 4), (72, 36), (360, 90)];

fn study(seeds: &[u64]) -> Report {
    let mut rows = Vec::new();
    for (nodes, upstreams) in FLEETS {
        for has_faults in [false, true] {
            let scenario = BrittleScenario {
                nodes,
                upstreams,
                has_faults,
            };
            for (policy, way) in [
                (
                    "nutmegsail: slots as far as they are taken",
                    BrittleWay::Gate,
                ),
                ("slots and some more", BrittleWay::UsualGate),
                ("equal shares", BrittleWay::EqualShares),
                ("ignored", BrittleWay::Ignored),
            ] {
                rows.push(row(scenario, policy, way, seeds));
            }
        }
    }
    Report {
        study: "brittle",
        seeds: seeds.to_vec(),
        rows,
        notes: vec![
            "callers ask for twice what all upstreams have room for, which is three quarters of their slots; more than two refusals in a \
             second bring an upstream down for 4 s; falls_of_allowed: falls from 3 s after the announcement on, as a part of two and a tenth \
             of the upstreams; served_share: answers, as a part of what they have room for"
                .to_owned(),
        ],
    }
}

fn row(scenario: BrittleScenario, policy: &str, way: BrittleWay, seeds: &[u64]) -> Row {
    let runs: Vec<BrittleRun> = seeds
        .iter()
        .map(|seed| simulate(scenario, way, *seed))
        .collect();
    let faults = if scenario.has_faults {
        ", replaced and cut"
    } else {
        ""
    };
    let deployment = format!(
        "{} nodes, {} upstreams{faults}",
        scenario.nodes, scenario.upstreams
    );
    let reads: [Read<BrittleRun>; 2] = [
        ("falls_of_allowed", |run| run.falls_of_allowed),
        ("served_share", |run| run.served_share),
    ];
    Row::over_runs(deployment, policy, &runs, &reads)
}
