//! Limits that upstreams name, over all nodes.

use crate::limit_sim::{LimitRun, LimitScenario, LimitWay, simulate};
use crate::report::Read;
use crate::{Report, Row, Study};

pub(crate) const STUDY: Study = Study {
    name: "limits",
    about: "An upstream that names a limit of 1.2 or 30 requests a second before 6, 72 and 360 nodes, also with a node \
            that restarts and a cut: turns that one node hands out, equal shares and shares by demand.",
    run: study,
};

const FLEETS: [usize; 3] = [6, 72, 360];

fn study(seeds: &[u64]) -> Report {
    let mut rows = Vec::new();
    for nodes in FLEETS {
        for (name, per_s, moves, has_faults) in [
            ("1.2 a second", 1.2, false, false),
            ("1.2 a second, restarts and a cut", 1.2, false, true),
            ("1.2 a second that falls", 1.2, true, false),
            ("30 a second", 30.0, false, false),
            ("30 a second, restarts and a cut", 30.0, false, true),
        ] {
            let scenario = LimitScenario {
                nodes,
                per_s,
                moves,
                has_faults,
            };
            for (policy, way) in [
                ("nutmegsail: turns", LimitWay::Turns),
                ("shares by demand", LimitWay::DemandShares),
                ("equal shares", LimitWay::EqualShares),
                ("ignored", LimitWay::Ignored),
            ] {
                rows.push(row(scenario, name, policy, way, seeds));
            }
        }
    }
    Report {
        study: "limits",
        seeds: seeds.to_vec(),
        rows,
        notes: vec![
            "callers ask for four times the limit, a few nodes for most of it; most_in_window: the most requests in 4 s \
             from 3 s after the limit was named, as a part of one and a half times the limit and five more; used_share: what the upstream got of what it would take"
                .to_owned(),
        ],
    }
}

fn row(scenario: LimitScenario, name: &str, policy: &str, way: LimitWay, seeds: &[u64]) -> Row {
    let runs: Vec<LimitRun> = seeds
        .iter()
        .map(|seed| simulate(scenario, way, *seed))
        .collect();
    let deployment = format!("{} nodes, {name}", scenario.nodes);
    let reads: [Read<LimitRun>; 3] = [
        ("most_in_window", |run| run.most_in_window),
        ("used_share", |run| run.used_share),
        ("messages_per_node_s", |run| run.messages_per_node_s),
    ];
    Row::over_runs(deployment, policy, &runs, &reads)
}
