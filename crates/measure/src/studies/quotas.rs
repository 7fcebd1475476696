//! Teams' quotas over all nodes.

use crate::quota_sim::{QuotaRun, QuotaScenario, QuotaWay, simulate};
use crate::report::Read;
use crate::{Report, Row, Study};

pub(crate) const STUDY: Study = Study {
    name: "quotas",
    about: "Quotas of 16 teams over 6, 72 and 360 nodes, one team at five times its usual, a failure domain cut \
            off: equal shares, shares by demand and borrowed tokens beside one bucket for the fleet.",
    run: study,
};

const FLEETS: [usize; 3] = [6, 72, 360];

fn study(seeds: &[u64]) -> Report {
    let mut rows = Vec::new();
    for nodes in FLEETS {
        for (name, hot_times, has_cut) in [
            ("usual demand", 1.0, false),
            ("a hot team", 5.0, false),
            ("a hot team and a cut", 5.0, true),
        ] {
            let scenario = QuotaScenario {
                nodes,
                hot_times,
                has_cut,
            };
            for (policy, way) in [
                ("nutmegsail: borrowed tokens", QuotaWay::Lenders),
                ("shares by demand", QuotaWay::DemandShares),
                ("equal shares", QuotaWay::EqualShares),
            ] {
                rows.push(row(scenario, name, policy, way, seeds));
            }
        }
    }
    Report {
        study: "quotas",
        seeds: seeds.to_vec(),
        rows,
        notes: vec![
            "refused_falsely_share: requests of teams at their usual demand that one bucket for the whole fleet \
             serves and that were refused; short_share: what teams got less than that bucket gives; most_in_window: the most tokens of a team in a window, 1 is the limit"
                .to_owned(),
        ],
    }
}

fn row(scenario: QuotaScenario, name: &str, policy: &str, way: QuotaWay, seeds: &[u64]) -> Row {
    let runs: Vec<QuotaRun> = seeds
        .iter()
        .map(|seed| simulate(scenario, way, *seed))
        .collect();
    let deployment = format!("{} nodes, {name}", scenario.nodes);
    let reads: [Read<QuotaRun>; 4] = [
        ("refused_falsely_share", |run| {
            run.refused_falsely as f64 / run.owed.max(1) as f64
        }),
        ("short_share", |run| run.short_share),
        ("most_in_window", |run| run.most_in_window),
        ("messages_per_node_s", |run| run.messages_per_node_s),
    ];
    Row::over_runs(deployment, policy, &runs, &reads)
}
