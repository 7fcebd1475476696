//! Policies side by side over several seeds.

use nutmegsail_base::Class;

use crate::sim::{PolicyKind, Scenario, Tally, simulate};
use crate::{Measure, Row};

/// A measure of one run.
pub(crate) struct Column {
    pub(crate) name: &'static str,
    pub(crate) read: fn(&Tally) -> f64,
}

pub(crate) const fn column(name: &'static str, read: fn(&Tally) -> f64) -> Column {
    Column { name, read }
}

/// What every study of routing shows.
pub(crate) const COLUMNS: &[Column] = &[
    column("load_stall_s_per_request", Tally::load_stall_s_per_request),
    column("stalled_share", Tally::stalled_share),
    column("batch_efficiency", Tally::batch_efficiency),
    column("urgent_first_token_p50_ms", |t| {
        t.first_token_ms(Class::Urgent, 0.5)
    }),
    column("urgent_first_token_p99_ms", |t| {
        t.first_token_ms(Class::Urgent, 0.99)
    }),
    column("routine_first_token_p99_ms", |t| {
        t.first_token_ms(Class::Routine, 0.99)
    }),
    column("shed_share", Tally::shed_share),
    column("unanswered_share", Tally::unanswered_share),
    column("retries_per_request", Tally::retries_per_request),
    column("tokens_per_s", Tally::tokens_per_s),
    column("routine_throughput_share", Tally::routine_throughput_share),
    column("in_flight_spread", Tally::in_flight_spread),
    column("loads_per_s", Tally::loads_per_s),
];

/// Runs `kind` on `scenario` once for each seed.
pub(crate) fn row(scenario: &Scenario, kind: &PolicyKind, label: &str, seeds: &[u64]) -> Row {
    row_of(COLUMNS, scenario, kind, label, seeds)
}

/// Runs `kind` on `scenario` once for each seed, for these measures.
pub(crate) fn row_of(
    columns: &[Column],
    scenario: &Scenario,
    kind: &PolicyKind,
    label: &str,
    seeds: &[u64],
) -> Row {
    let tallies: Vec<Tally> = std::thread::scope(|scope| {
        let spawn = |seed: &u64| {
            let seed = *seed;
            scope.spawn(move || simulate(scenario, kind, seed))
        };
        let runs: Vec<_> = seeds.iter().map(spawn).collect();
        let tallies = runs
            .into_iter()
            .map(|run| run.join().expect("a run panicked"));
        tallies.collect()
    });
    let measure = |column: &Column| {
        let values = tallies.iter().map(column.read).collect();
        Measure::over_seeds(column.name, values)
    };
    Row {
        deployment: scenario.deployment.to_owned(),
        policy: label.to_owned(),
        measures: columns.iter().map(measure).collect(),
    }
}

/// Our router and every baseline.
pub(crate) fn against_baselines(scenario: &Scenario, seeds: &[u64]) -> Vec<Row> {
    let kinds = [
        PolicyKind::router(),
        PolicyKind::RoundRobin,
        PolicyKind::LeastInFlight,
        PolicyKind::ConsistentHash,
    ];
    kinds
        .iter()
        .map(|kind| row(scenario, kind, kind.name(), seeds))
        .collect()
}

/// The median of `name` in a row; not a number where the row lacks it.
pub(crate) fn median(row: &Row, name: &str) -> f64 {
    row.median(name).unwrap_or(f64::NAN)
}
