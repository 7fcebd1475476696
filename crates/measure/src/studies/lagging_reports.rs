//! Reports two seconds old.

use std::time::Duration;

use nutmegsail_routing::RouterSettings;

use super::compare::{median, row};
use crate::sim::{PolicyKind, Scenario};
use crate::{Report, Study};

pub(crate) const STUDY: Study = Study {
    name: "lagging-reports",
    about: "The spread of requests in flight between engines with reports fresh and 2 s old.",
    run,
};

fn scenario(report_lag: Duration) -> Scenario {
    Scenario {
        // Six nodes share each engine, so that most of its load is others' and only in reports.
        domains: 1,
        nodes_per_domain: 6,
        engines_per_domain: 12,
        requests_per_s: 40.0,
        report_interval: Duration::from_millis(500),
        report_lag,
        warm_up: Duration::from_secs(20),
        measured: Duration::from_secs(60),
        has_all_adapters: true,
        ..Scenario::jm_west()
    }
}

fn run(seeds: &[u64]) -> Report {
    let fresh = scenario(Duration::ZERO);
    let late = scenario(Duration::from_secs(2));
    let greedy = PolicyKind::Router {
        name: "all candidates",
        settings: Box::new(RouterSettings {
            choices: 12,
            ..RouterSettings::default()
        }),
    };
    let router = PolicyKind::router();
    let least = PolicyKind::LeastInFlight;
    let rows = vec![
        row(&fresh, &router, "nutmegsail, fresh", seeds),
        row(&late, &router, "nutmegsail, 2 s old", seeds),
        row(
            &fresh,
            &greedy,
            "nutmegsail choosing among all, fresh",
            seeds,
        ),
        row(
            &late,
            &greedy,
            "nutmegsail choosing among all, 2 s old",
            seeds,
        ),
        row(&fresh, &least, "least in flight, fresh", seeds),
        row(&late, &least, "least in flight, 2 s old", seeds),
    ];
    let spread = |index: usize| median(&rows[index], "in_flight_spread");
    let ratio = |index: usize| spread(index + 1) / spread(index);
    let notes = vec![format!(
        "spread with old reports over fresh: nutmegsail {:.3}, choosing among all {:.3}, least in \
         flight {:.3}",
        ratio(0),
        ratio(2),
        ratio(4)
    )];
    Report {
        study: STUDY.name,
        seeds: seeds.to_vec(),
        rows,
        notes,
    }
}
