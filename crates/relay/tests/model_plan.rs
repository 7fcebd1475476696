//! Tests of the placement of base models under changing demand.

use std::collections::HashMap;

use nutmegsail_base::{FailureDomain, UpstreamId};
use nutmegsail_relay::{
    EngineSpec, HostedModel, LocalWeights, ModelChange, ModelHost, ModelPlan, ModelSpec,
};
use proptest::prelude::*;
use rstest::rstest;

/// The engines of one service and the models they hold.
#[derive(Debug)]
struct Fleet {
    spec: EngineSpec,
    engines: Vec<Engine>,
    /// Limit of loads from the weight store in one plan.
    store_loads: usize,
}

#[derive(Debug)]
struct Engine {
    id: UpstreamId,
    failure_domain: FailureDomain,
    models: Vec<String>,
    is_changing: bool,
    is_owner_unreachable: bool,
    local_weights: LocalWeights,
}

impl Fleet {
    /// Creates engines in two failure domains that hold the models in `holds`, of `models` models
    /// of equal size.
    fn new(models: usize, holds: &[&str]) -> Self {
        let engines = holds.iter().enumerate().map(|(number, model)| Engine {
            id: format!("e-{number}").into(),
            failure_domain: format!("d-{}", number % 2).into(),
            models: model.split_whitespace().map(str::to_owned).collect(),
            is_changing: false,
            is_owner_unreachable: false,
            local_weights: LocalWeights::default(),
        });
        Self {
            spec: EngineSpec {
                adapter_slots: 8,
                weights_mb: 50_000.0,
                models: (0..models)
                    .map(|number| ModelSpec::of(&format!("m{number}"), 40_000.0))
                    .collect(),
                ..EngineSpec::default()
            },
            engines: engines.collect(),
            store_loads: usize::MAX,
        }
    }

    fn plan(&self, work: impl Fn(&str) -> f64) -> Vec<ModelChange> {
        let hosts = self.engines.iter().map(|engine| ModelHost {
            id: &engine.id,
            failure_domain: &engine.failure_domain,
            models: engine.models.iter().map(|name| hosted(name)).collect(),
            can_change: !engine.is_owner_unreachable,
            is_changing: engine.is_changing,
            uses_store: engine.is_changing,
            busy_share: 0.0,
            local_weights: &engine.local_weights,
        });
        ModelPlan::new(&self.spec, hosts.collect(), work).changes(self.store_loads)
    }

    /// Starts `changes`. [`Fleet::finish`] completes them.
    fn begin(&mut self, changes: &[ModelChange]) {
        for change in changes {
            let mut engines = self.engines.iter_mut();
            let Some(engine) = engines.find(|engine| engine.id == change.engine) else {
                panic!("{} is not an engine of this fleet", change.engine);
            };
            let stays = |model: &String| change.unload.iter().all(|name| **name != **model);
            engine.models.retain(stays);
            engine.models.push(change.load.to_string());
            engine.is_changing = true;
        }
    }

    fn finish(&mut self) {
        for engine in &mut self.engines {
            engine.is_changing = false;
        }
    }

    /// Plans and applies changes until none are left, and returns their number.
    fn settle(&mut self, work: impl Fn(&str) -> f64) -> usize {
        let mut count = 0;
        loop {
            let changes = self.plan(&work);
            if changes.is_empty() {
                return count;
            }
            count += changes.len();
            self.begin(&changes);
            self.finish();
            assert!(count < 1_000, "the changes do not come to an end");
        }
    }

    fn holders(&self, model: &str) -> usize {
        let holds = |engine: &&Engine| engine.models.iter().any(|held| held == model);
        self.engines.iter().filter(holds).count()
    }
}

fn hosted(name: &str) -> HostedModel {
    HostedModel {
        name: name.into(),
        adapters: 0,
    }
}

fn work<'a>(of: &'a [(&'a str, f64)]) -> impl Fn(&str) -> f64 + 'a {
    move |model| {
        let found = of.iter().find(|(name, _)| *name == model);
        found.map_or(0.0, |(_, work)| *work)
    }
}

// Callers request a model that no engine holds. Unless an engine loads it, all of them are refused,
// even with idle engines.
#[test]
fn model_in_demand_without_holder_is_loaded_at_once() {
    let fleet = Fleet::new(3, &["m0", "m0", "m1"]);
    let changes = fleet.plan(work(&[("m0", 0.1), ("m2", 0.02)]));
    assert_eq!(changes.len(), 1);
    assert_eq!(&*changes[0].load, "m2");
    assert_eq!(&*changes[0].unload[0], "m1", "it is not in demand");
    assert_eq!(changes[0].engine.as_str(), "e-2");
}

// A model's only engine gets two seconds of work per second. Its callers wait ever longer while
// other engines are almost idle.
#[test]
fn overloaded_model_gets_enough_engines() {
    let mut fleet = Fleet::new(2, &["m0", "m0", "m0", "m0", "m0", "m1"]);
    fleet.settle(work(&[("m0", 0.2), ("m1", 1.9)]));
    assert!(fleet.holders("m1") >= 4);
    assert!(fleet.holders("m0") >= 1);
}

// All engines of a model are in one failure domain. If that is cut off, several requests a second
// in the other domains wait for a load.
#[test]
fn model_in_steady_demand_is_held_in_two_failure_domains() {
    let mut fleet = Fleet::new(2, &["m0", "m1", "m0", "m1"]);
    fleet.settle(work(&[("m0", 0.25), ("m1", 0.0)]));
    let holds_m0 = |engine: &&Engine| engine.models.iter().any(|held| held == "m0");
    let holders = fleet.engines.iter().filter(holds_m0);
    let mut domains: Vec<_> = holders
        .map(|engine| engine.failure_domain.clone())
        .collect();
    domains.sort();
    domains.dedup();
    assert_eq!(domains.len(), 2);
}

// More models are in demand than fit. Those with the most demand stay, and two with similar demand
// must not keep replacing each other: each replacement costs a load, and all requests there wait
// for it.
#[test]
fn replacing_a_model_needs_much_more_demand() {
    let fleet = Fleet::new(3, &["m0", "m1"]);
    let similar = fleet.plan(work(&[("m0", 0.2), ("m1", 0.1), ("m2", 0.2)]));
    assert_eq!(similar, [], "twice the demand is not enough");
    let more = fleet.plan(work(&[("m0", 0.2), ("m1", 0.05), ("m2", 0.2)]));
    assert_eq!(&*more[0].unload[0], "m1");
}

// All engines share the weight store, and loads beyond its limit break an agreement with the
// platform. Copies on an engine's disk don't count towards that limit.
#[test]
fn local_copy_is_preferred_and_exempt_from_the_store_limit() {
    let mut fleet = Fleet::new(3, &["m0", "m0", "m0", "m0"]);
    fleet.store_loads = 0;
    let requested = [("m0", 0.01), ("m1", 0.01), ("m2", 0.01)];
    assert_eq!(fleet.plan(work(&requested)), []);
    fleet.engines[2].local_weights.on_disk = vec!["m1".into()];
    let changes = fleet.plan(work(&requested));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].engine.as_str(), "e-2");
    assert_eq!(&*changes[0].load, "m1");
}

// An engine's owner is cut off. A plan that uses this engine would have to wait until the partition
// ends, while other engines could load the model.
#[test]
fn engines_with_an_unreachable_owner_are_not_changed() {
    let mut fleet = Fleet::new(2, &["m0", "m0", "m0"]);
    fleet.engines[0].is_owner_unreachable = true;
    fleet.engines[1].is_owner_unreachable = true;
    let changes = fleet.plan(work(&[("m1", 0.1)]));
    assert_eq!(changes[0].engine.as_str(), "e-2");
}

// A restarted engine holds nothing and serves no requests. It loads the model with the most work
// per holder, not the first one listed.
#[rstest]
#[case::most_work(&[("m0", 0.02), ("m1", 0.08), ("m2", 0.04)], "m1")]
#[case::first_without_demand(&[], "m0")]
fn empty_engine_loads_the_model_with_the_most_work(
    #[case] of: &[(&str, f64)],
    #[case] loaded: &str,
) {
    let fleet = Fleet::new(3, &["m0", "m1", "m2", ""]);
    let changes = fleet.plan(work(of));
    assert_eq!(&*changes[0].load, loaded);
    assert_eq!(changes[0].unload.len(), 0);
}

// If a model fits in addition to the others, nothing is unloaded and no requests have to wait for
// that.
#[test]
fn model_that_fits_causes_no_unload() {
    let mut fleet = Fleet::new(3, &["m0", "m1"]);
    fleet.spec.weights_mb = 100_000.0;
    let changes = fleet.plan(work(&[("m0", 0.1), ("m1", 0.1), ("m2", 0.05)]));
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].unload.len(), 0);
}

// Two models that should each be held in two failure domains must not keep taking the same engine
// from each other.
#[test]
fn two_models_do_not_keep_replacing_each_other() {
    let mut fleet = Fleet::new(3, &["m0", "m1", "m2", "m1"]);
    let demand = work(&[("m0", 0.2), ("m1", 0.2), ("m2", 0.05)]);
    fleet.settle(&demand);
    assert_eq!(fleet.plan(&demand), []);
}

fn demand() -> impl Strategy<Value = HashMap<String, f64>> {
    let model = (0_usize..8).prop_map(|number| format!("m{number}"));
    let work = prop_oneof![Just(0.0), 0.001..0.1_f64, 0.1..2.0_f64];
    prop::collection::hash_map(model, work, 0..8)
}

fn fleets() -> impl Strategy<Value = Fleet> {
    let holds = prop::collection::vec(prop::option::of(0_usize..8), 1..14);
    (
        holds,
        1_usize..4,
        prop::collection::vec(10_000.0..45_000.0_f64, 8),
    )
        .prop_map(|(holds, room, weights)| {
            let holds: Vec<String> = holds
                .into_iter()
                .map(|model| model.map_or(String::new(), |number| format!("m{number}")))
                .collect();
            let holds: Vec<&str> = holds.iter().map(String::as_str).collect();
            let mut fleet = Fleet::new(8, &holds);
            fleet.spec.weights_mb = 50_000.0 * room as f64;
            for (model, weights_mb) in fleet.spec.models.iter_mut().zip(weights) {
                model.weights_mb = weights_mb;
            }
            fleet
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(35),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Under constant demand the changes come to an end, and none are undone.
    #[test]
    fn constant_demand_settles(mut fleet in fleets(), demand in demand()) {
        let work = |model: &str| demand.get(model).copied().unwrap_or(0.0);
        fleet.settle(work);
        prop_assert_eq!(fleet.plan(work), []);
    }

    // Every model in demand is held by an engine if all of them fit, and no engine is ordered to
    // hold more than fits.
    #[test]
    fn models_in_demand_are_held_if_they_fit(mut fleet in fleets(), demand in demand()) {
        let work = |model: &str| demand.get(model).copied().unwrap_or(0.0);
        fleet.settle(work);
        for engine in &fleet.engines {
            let size = |name: &String| fleet.spec.model(name).map_or(0.0, |spec| spec.weights_mb);
            let held_mb: f64 = engine.models.iter().map(size).sum();
            prop_assert!(held_mb <= fleet.spec.weights_mb);
        }
        let requested: Vec<&String> = demand.iter().filter(|(_, work)| **work > 0.0).map(|(name, _)| name).collect();
        if requested.len() <= fleet.engines.len() {
            for model in requested {
                prop_assert!(fleet.holders(model) > 0, "no engine holds {}", model);
            }
        }
    }

    // Every owner plans on its own. Changes that one owner started show as in progress to the
    // others, so that together they do no more than a single one would.
    #[test]
    fn owners_with_the_same_information_make_the_same_plan(fleet in fleets(), demand in demand()) {
        let work = |model: &str| demand.get(model).copied().unwrap_or(0.0);
        let (one, other) = (fleet.plan(work), fleet.plan(work));
        prop_assert_eq!(&one, &other);
        let mut fleet = fleet;
        fleet.begin(&one);
        let further = fleet.plan(work);
        prop_assert!(further.iter().all(|change| one.iter().all(|begun| begun.engine != change.engine)));
    }

    // Loads from the weight store stay within the limit, including those in progress.
    #[test]
    fn loads_from_the_weight_store_stay_within_the_limit(
        mut fleet in fleets(), demand in demand(), most in 0_usize..4,
    ) {
        let work = |model: &str| demand.get(model).copied().unwrap_or(0.0);
        fleet.store_loads = most;
        let first = fleet.plan(work);
        prop_assert!(first.len() <= most);
        fleet.begin(&first);
        prop_assert!(first.len() + fleet.plan(work).len() <= most);
    }
}
