//! Which requests wait or are refused when there is too little capacity.

use crate::report::Read;
use crate::shed_sim::{ShedRun, ShedScenario, ShedWay, simulate};
use crate::{Report, Row, Study};

pub(crate) const STUDY: Study = Study {
    name: "shedding",
    about: "Prompts for 1.3 and 2 times what the engines of 6, 72 and 360 nodes can prefill: the relay's order beside \
            five others, with estimates off by half and twofold, and one queue that sees all engines.",
    run: study,
};

const FLEETS: [usize; 3] = [6, 72, 360];

/// Above this size a queue over all engines is too long to be searched at each grant, and each
/// engine's own queue is as long as in smaller fleets.
const SMALL_FLEET: usize = 72;

/// Threads that run seeds side by side.
const THREADS: usize = 3;

const WAYS: [(&str, ShedWay); 6] = [
    ("nutmegsail", ShedWay::ShedQueue),
    ("earliest deadline first", ShedWay::EarliestDeadline),
    ("priority only", ShedWay::PriorityOnly),
    ("value density", ShedWay::ValueDensity),
    ("value density with a floor", ShedWay::DensityWithFloor),
    ("random early shedding", ShedWay::RandomEarly),
];

/// The seeds if more than one is asked for: tails of single engines differ much between runs.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;

fn study(seeds: &[u64]) -> Report {
    let seeds = match seeds {
        [seed] => vec![*seed],
        _ => SEEDS.collect(),
    };
    let seeds = seeds.as_slice();
    let (mut rows, mut notes) = (Vec::new(), Vec::new());
    for nodes in FLEETS {
        for demand in [1.3, 2.0] {
            let scenario = ShedScenario {
                nodes,
                demand,
                estimate: 1.0,
                is_all_seeing: false,
            };
            let ours = rows.len();
            for (policy, way) in WAYS {
                rows.push(row(scenario, policy, way, seeds));
            }
            if nodes > SMALL_FLEET {
                continue;
            }
            for (estimate, policy) in [
                (0.5, "nutmegsail, estimates half"),
                (2.0, "nutmegsail, estimates twofold"),
            ] {
                let scenario = ShedScenario {
                    estimate,
                    ..scenario
                };
                rows.push(row(scenario, policy, ShedWay::ShedQueue, seeds));
            }
            if nodes == SMALL_FLEET && demand > 1.5 {
                continue;
            }
            let all_seeing = ShedScenario {
                is_all_seeing: true,
                ..scenario
            };
            let all = row(
                all_seeing,
                "nutmegsail, sees all",
                ShedWay::ShedQueue,
                seeds,
            );
            let worth = |row: &Row| row.median("worth_kept").unwrap_or(f64::NAN);
            let ratio = worth(&rows[ours]) / worth(&all);
            notes.push(format!(
                "{nodes} nodes, demand {demand}: worth kept over that of one queue that sees all: {ratio:.3} (goal 0.95)"
            ));
            rows.push(all);
        }
    }
    Report {
        study: STUDY.name,
        seeds: seeds.to_vec(),
        rows,
        notes,
    }
}

fn row(scenario: ShedScenario, policy: &str, way: ShedWay, seeds: &[u64]) -> Row {
    let runs = runs(scenario, way, seeds);
    let deployment = format!("{} nodes, demand {}", scenario.nodes, scenario.demand);
    let reads: [Read<ShedRun>; 8] = [
        ("worth_kept", |run| run.worth_kept),
        ("urgent_on_time_share", |run| run.on_time[0]),
        ("priority_1_on_time_share", |run| run.on_time[1]),
        ("priority_2_on_time_share", |run| run.on_time[2]),
        ("urgent_answered_share", |run| run.answered[0]),
        ("priority_1_answered_share", |run| run.answered[1]),
        ("priority_2_answered_share", |run| run.answered[2]),
        ("largest_tenth_ratio", |run| run.largest_tenth),
    ];
    Row::over_runs(deployment, policy, &runs, &reads)
}

/// One run for each seed, on a few threads.
fn runs(scenario: ShedScenario, way: ShedWay, seeds: &[u64]) -> Vec<ShedRun> {
    let part = seeds.len().div_ceil(THREADS).max(1);
    std::thread::scope(|scope| {
        let run_part = |seeds: &[u64]| -> Vec<ShedRun> {
            let seeds = seeds.iter();
            seeds.map(|seed| simulate(scenario, way, *seed)).collect()
        };
        let threads = seeds.chunks(part);
        let threads: Vec<_> = threads
            .map(|seeds| scope.spawn(move || run_part(seeds)))
            .collect();
        let runs = threads.into_iter().map(|thread| match thread.join() {
            Ok(runs) => runs,
            Err(panic) => std::panic::resume_unwind(panic),
        });
        runs.flatten().collect()
    })
}
