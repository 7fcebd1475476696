//! Placement against LRU eviction: steady, and after a shock.

use std::time::Duration;

use nutmegsail_base::Class;

use crate::placement_sim::{PlacementRun, Rival, Shock, simulate};
use crate::sim::Scenario;
use crate::{Measure, Report, Row, Study};

/// A wait shorter than this is the simulation's step, not a load stall.
const STALL: Duration = Duration::from_millis(100);
/// Stalled shares are compared over windows of this length.
const WINDOW: Duration = Duration::from_secs(15);
/// Recovered: back within so many times the steady share.
const RECOVERED: f64 = 1.5;
const WARM_UP: Duration = Duration::from_secs(120);
const SHOCK_AT: Duration = Duration::from_secs(240);
const LENGTH: Duration = Duration::from_secs(480);

pub(crate) const EVICTION: Study = Study {
    name: "eviction",
    about: "Placement alone under steady load, beside LRU eviction with a first-come load queue.",
    run: |seeds| study("eviction", Shock::None, seeds),
};

pub(crate) const POPULARITY_SHIFT: Study = Study {
    name: "popularity-shift",
    about: "The 200 most popular adapters are replaced at once, beside LRU eviction.",
    run: |seeds| study("popularity-shift", Shock::PopularityShift, seeds),
};

pub(crate) const COLD_RESTART: Study = Study {
    name: "cold-restart",
    about: "An engine in each failure domain comes back empty, beside LRU eviction.",
    run: |seeds| study("cold-restart", Shock::ColdRestart, seeds),
};

pub(crate) const WEIGHT_STORE_FAILING: Study = Study {
    name: "weight-store-failing",
    about: "For 30 s the weight store refuses or breaks off most loads, beside LRU eviction.",
    run: |seeds| study("weight-store-failing", Shock::WeightStoreFails, seeds),
};

fn study(name: &'static str, shock: Shock, seeds: &[u64]) -> Report {
    let mut rows = Vec::new();
    let mut notes = Vec::new();
    for scenario in [Scenario::jm_west(), Scenario::mu_north()] {
        let scenario = Scenario {
            warm_up: WARM_UP,
            measured: LENGTH - WARM_UP,
            ..scenario
        };
        for rival in [Rival::Nutmegsail, Rival::Lru, Rival::LruNewestFirst] {
            rows.push(row(&scenario, rival, shock, seeds));
        }
        notes.extend(physical_limit(&scenario, shock));
    }
    Report {
        study: name,
        seeds: seeds.to_vec(),
        rows,
        notes,
    }
}

/// How long the weight store needs at least, at its rate and with nothing else to load.
fn physical_limit(scenario: &Scenario, shock: Shock) -> Option<String> {
    let loads = match shock {
        Shock::None => return None,
        Shock::PopularityShift => scenario.adapter_slots * scenario.engines(),
        Shock::ColdRestart => scenario.adapter_slots * scenario.domains,
        Shock::WeightStoreFails => 0,
    };
    let deployment = scenario.deployment;
    let at_least_s = loads as f64 / 3.0;
    Some(match shock {
        Shock::PopularityShift => format!(
            "{deployment}: every slot anew is {loads} loads, {at_least_s:.0} s at 3/s; one copy of \
             each of the 200 is {:.0} s",
            200.0 / 3.0
        ),
        Shock::WeightStoreFails => format!("{deployment}: the store fails for 30 s"),
        Shock::None | Shock::ColdRestart => {
            format!("{deployment}: {loads} slots are lost, {at_least_s:.0} s at 3/s")
        }
    })
}

fn row(scenario: &Scenario, rival: Rival, shock: Shock, seeds: &[u64]) -> Row {
    let runs: Vec<PlacementRun> = std::thread::scope(|scope| {
        let spawn = |seed: &u64| {
            let seed = *seed;
            scope.spawn(move || simulate(scenario, rival, shock, SHOCK_AT, seed))
        };
        let runs: Vec<_> = seeds.iter().map(spawn).collect();
        let runs = runs
            .into_iter()
            .map(|run| run.join().expect("a run panicked"));
        runs.collect()
    });
    let over = |name: &'static str, read: &dyn Fn(&PlacementRun) -> f64| {
        Measure::over_seeds(name, runs.iter().map(read).collect())
    };
    let mut measures = vec![
        over("load_stall_s_per_request", &|run| stall_s(run, None)),
        over("urgent_load_stall_s_per_request", &|run| {
            stall_s(run, Some(Class::Urgent))
        }),
        over("stalled_share", &|run| stalled_share(run, WARM_UP, LENGTH)),
        over("gave_up_share", &gave_up_share),
        over("loads_per_s", &|run| {
            run.loads as f64 / run.length.as_secs_f64()
        }),
    ];
    if shock != Shock::None {
        measures.push(over("steady_stalled_share", &|run| {
            stalled_share(run, WARM_UP, SHOCK_AT)
        }));
        measures.push(over("worst_stalled_share", &worst_share));
        measures.push(over("recovery_s", &recovery_s));
    }
    Row {
        deployment: scenario.deployment.to_owned(),
        policy: match rival {
            Rival::Nutmegsail => "nutmegsail".to_owned(),
            Rival::Lru => "lru".to_owned(),
            Rival::LruNewestFirst => "lru-newest-first".to_owned(),
        },
        measures,
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

fn stall_s(run: &PlacementRun, class: Option<Class>) -> f64 {
    let measured = run.outcomes.iter().filter(|o| o.at >= WARM_UP);
    let of_class = measured.filter(|o| class.is_none_or(|class| o.class == class));
    mean(of_class.map(|o| {
        if o.stall > STALL {
            o.stall.as_secs_f64()
        } else {
            0.0
        }
    }))
}

fn stalled_share(run: &PlacementRun, from: Duration, to: Duration) -> f64 {
    let within = run.outcomes.iter().filter(|o| o.at >= from && o.at < to);
    mean(within.map(|o| f64::from(u8::from(o.stall > STALL))))
}

fn gave_up_share(run: &PlacementRun) -> f64 {
    let measured = run.outcomes.iter().filter(|o| o.at >= WARM_UP);
    mean(measured.map(|o| f64::from(u8::from(o.gave_up))))
}

/// Windows after the shock, one beginning each second, that have ended.
fn windows() -> impl Iterator<Item = Duration> {
    let last = (LENGTH - SHOCK_AT - WINDOW).as_secs();
    (0..last).map(|second| SHOCK_AT + Duration::from_secs(second))
}

fn worst_share(run: &PlacementRun) -> f64 {
    let shares = windows().map(|from| stalled_share(run, from, from + WINDOW));
    shares.fold(0.0, f64::max)
}

/// From the shock to the beginning of the first window whose share is back.
fn recovery_s(run: &PlacementRun) -> f64 {
    let steady = stalled_share(run, WARM_UP, SHOCK_AT);
    let is_back = |from: &Duration| stalled_share(run, *from, *from + WINDOW) <= RECOVERED * steady;
    let back = windows().find(is_back).unwrap_or(LENGTH);
    (back - SHOCK_AT).as_secs_f64()
}
