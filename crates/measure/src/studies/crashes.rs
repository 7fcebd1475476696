//! Requests that crash the upstreams that run them.

use std::time::Duration;

use crate::crash_sim::{CrashRun, CrashScenario, CrashWay, simulate};
use crate::report::Read;
use crate::{Report, Row, Study};

pub(crate) const STUDY: Study = Study {
    name: "crashes",
    about: "A request that crashes each upstream and comes again, over 6, 72 and 360 nodes; and upstreams that crash \
            for other reasons: what is remembered, told and held against whom.",
    run: study,
};

const FLEETS: [usize; 3] = [6, 72, 360];

const WAYS: [(&str, CrashWay); 6] = [
    ("nutmegsail: homes, then all", CrashWay::Homes),
    ("nothing remembered", CrashWay::Forgetful),
    ("each node for itself", CrashWay::EachNode),
    ("each end told to all", CrashWay::TellAll),
    ("refused after two", CrashWay::LimitTwo),
    ("all that ran are blamed", CrashWay::BlameAll),
];

fn study(seeds: &[u64]) -> Report {
    let mut rows = Vec::new();
    for nodes in FLEETS {
        let quiet = CrashScenario {
            nodes,
            poison_gap: None,
            crash_share: 0.0,
            flap_share: 0.0,
            has_cut: false,
        };
        let slow = Some(Duration::from_millis(1_300));
        let fast = Some(Duration::from_millis(150));
        for (name, scenario) in [
            (
                "each 1.3 s",
                CrashScenario {
                    poison_gap: slow,
                    ..quiet
                },
            ),
            (
                "each 0.15 s",
                CrashScenario {
                    poison_gap: fast,
                    ..quiet
                },
            ),
            (
                "each 1.3 s, a cut",
                CrashScenario {
                    poison_gap: slow,
                    has_cut: true,
                    ..quiet
                },
            ),
            (
                "a fifth crashes, four times",
                CrashScenario {
                    crash_share: 0.2,
                    ..quiet
                },
            ),
            (
                "one in twenty crashes each second",
                CrashScenario {
                    flap_share: 0.05,
                    ..quiet
                },
            ),
        ] {
            for (policy, way) in WAYS {
                rows.push(row(scenario, name, policy, way, seeds));
            }
        }
    }
    Report {
        study: "crashes",
        seeds: seeds.to_vec(),
        rows,
        notes: vec![
            "ends: upstreams that the request crashed; late_sends: its sends later than 3 s after the third end, cuts \
             and 3 s after them left out; broken_share: answers to others that broke off; refused_falsely: requests that crash nothing and were refused for it; known_after_ms: from the third end until every node knew, 0 if not all ever did"
                .to_owned(),
        ],
    }
}

fn row(scenario: CrashScenario, name: &str, policy: &str, way: CrashWay, seeds: &[u64]) -> Row {
    let runs: Vec<CrashRun> = seeds
        .iter()
        .map(|seed| simulate(scenario, way, *seed))
        .collect();
    let deployment = format!("{} nodes, {name}", scenario.nodes);
    let reads: [Read<CrashRun>; 6] = [
        ("ends", |run| run.ends as f64),
        ("late_sends", |run| run.late_sends as f64),
        ("broken_share", |run| {
            run.broken as f64 / run.requests.max(1) as f64
        }),
        ("refused_falsely", |run| run.refused_falsely as f64),
        ("known_after_ms", |run| run.known_after_ms),
        ("messages_per_node_s", |run| run.messages_per_node_s),
    ];
    Row::over_runs(deployment, policy, &runs, &reads)
}
