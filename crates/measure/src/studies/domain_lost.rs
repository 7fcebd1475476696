//! A failure domain loses its engines.

use std::time::Duration;

use super::compare::{Column, column, median, row_of};
use crate::sim::{PolicyKind, Scenario, Tally};
use crate::{Report, Study};

pub(crate) const STUDY: Study = Study {
    name: "domain-lost",
    about: "One of three failure domains loses its engines: what its callers get, and what the \
            others' callers feel.",
    run,
};

const COLUMNS: &[Column] = &[
    column("shed_share", Tally::shed_share),
    column("urgent_first_token_p99_ms", |t| {
        t.first_token_ms(nutmegsail_base::Class::Urgent, 0.99)
    }),
    column("other_domains_urgent_first_token_p99_ms", |t| {
        t.urgent_elsewhere_ms(0.99)
    }),
    column("routine_first_token_p99_ms", |t| {
        t.first_token_ms(nutmegsail_base::Class::Routine, 0.99)
    }),
    column("retries_per_request", Tally::retries_per_request),
    column("tokens_per_s", Tally::tokens_per_s),
];

fn scenario(requests_per_s: f64, loses_domain: bool) -> Scenario {
    Scenario {
        requests_per_s,
        loses_domain,
        warm_up: Duration::from_secs(20),
        measured: Duration::from_secs(60),
        has_all_adapters: true,
        ..Scenario::jm_west()
    }
}

fn run(seeds: &[u64]) -> Report {
    let mut rows = Vec::new();
    let mut notes = Vec::new();
    for (load, requests_per_s) in [("light", 20.0), ("heavy", 45.0)] {
        let whole = scenario(requests_per_s, false);
        let lost = scenario(requests_per_s, true);
        let mut add = |kind: &PolicyKind, scenario: &Scenario, what: &str| {
            let label = format!("{}, {load}, {what}", kind.name());
            rows.push(row_of(COLUMNS, scenario, kind, &label, seeds));
        };
        add(&PolicyKind::router(), &whole, "three domains");
        add(&PolicyKind::router(), &lost, "one lost");
        add(&PolicyKind::LeastInFlight, &lost, "one lost");
        let found = &rows[rows.len() - 3..];
        let name = "other_domains_urgent_first_token_p99_ms";
        notes.push(format!(
            "{load}: other domains' urgent first-token p99 {:.1} ms with three domains, {:.1} ms \
             with one lost; shed {:.3}, by least in flight {:.3}",
            median(&found[0], name),
            median(&found[1], name),
            median(&found[1], "shed_share"),
            median(&found[2], "shed_share"),
        ));
    }
    Report {
        study: STUDY.name,
        seeds: seeds.to_vec(),
        rows,
        notes,
    }
}
