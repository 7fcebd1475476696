//! Which engine holds which base model, as demand moves.

use crate::model_sim::{ModelPolicy, ModelRun, ModelScenario, simulate};
use crate::{Measure, Report, Row, Study};

pub(crate) const STUDY: Study = Study {
    name: "base-models",
    about: "Base models on engines with one place each, demand that moves on every 10 s, beside what was placed \
            at the start, most recently asked, and the plan told the future.",
    run: study,
};

/// Models and engines of the deployments.
const SIZES: [(usize, usize); 3] = [(10, 10), (10, 30), (30, 100)];

fn study(seeds: &[u64]) -> Report {
    let mut rows = Vec::new();
    for (models, engines) in SIZES {
        let scenario = ModelScenario {
            models,
            engines,
            load: 0.3,
            shift_s: 10,
            length_s: 60,
        };
        let policies = [
            ("nutmegsail", ModelPolicy::Plan),
            ("as placed at the start", ModelPolicy::Static),
            ("most recently asked", ModelPolicy::MostRecent),
            ("the plan, told the future", ModelPolicy::Foreseeing),
        ];
        for (name, policy) in policies {
            rows.push(row(scenario, name, policy, seeds));
        }
    }
    Report {
        study: "base-models",
        seeds: seeds.to_vec(),
        rows,
        notes: vec![
            "a change takes 2.7 s, callers wait 2.4 s, news of demand lags 0.2 s; callers ask for 0.3 of all \
             engines' time"
                .to_owned(),
        ],
    }
}

fn row(scenario: ModelScenario, name: &str, policy: ModelPolicy, seeds: &[u64]) -> Row {
    let runs: Vec<ModelRun> = seeds
        .iter()
        .map(|seed| simulate(scenario, policy, *seed))
        .collect();
    let over = |name: &'static str, read: &dyn Fn(&ModelRun) -> f64| {
        Measure::over_seeds(name, runs.iter().map(read).collect())
    };
    Row {
        deployment: format!("{} models, {} engines", scenario.models, scenario.engines),
        policy: name.to_owned(),
        measures: vec![
            over("served_share", &|run| {
                run.served as f64 / run.asked.max(1) as f64
            }),
            over("wait_ms", &|run| {
                run.waited_steps as f64 * 100.0 / run.served.max(1) as f64
            }),
            over("changes_per_s", &|run| {
                run.changes as f64 / scenario.length_s as f64
            }),
        ],
    }
}
