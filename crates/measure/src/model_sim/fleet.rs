//! Engines that hold one base model each.

use std::sync::Arc;

use nutmegsail_base::{FailureDomain, UpstreamId};
use nutmegsail_relay::{
    EngineSpec, HostedModel, LocalWeights, ModelChange, ModelHost, ModelPlan, ModelSpec,
};

/// The failure domains that engines are spread over.
const DOMAINS: usize = 3;

/// Weights of a model and memory of an engine, in MB: one model fits.
const MODEL_MB: f64 = 40_000.0;
const ENGINE_MB: f64 = 50_000.0;

/// An engine.
#[derive(Debug)]
pub(crate) struct Engine {
    id: UpstreamId,
    failure_domain: FailureDomain,
    /// The model that it holds or is to hold.
    pub(crate) model: usize,
    /// Until when it changes, in steps.
    pub(crate) changing_until: Option<u64>,
}

/// All engines of a service.
#[derive(Debug)]
pub(crate) struct Fleet {
    pub(crate) engines: Vec<Engine>,
    spec: EngineSpec,
    local_weights: LocalWeights,
}

impl Fleet {
    /// Engines that hold `models` in turn, all with copies of all weights on their disks.
    pub(crate) fn new(engines: usize, models: usize, holds: impl Fn(usize) -> usize) -> Self {
        let name = |model: usize| format!("m{model}");
        let engines = (0..engines).map(|number| Engine {
            id: format!("e{number}").into(),
            failure_domain: format!("d{}", number % DOMAINS).into(),
            model: holds(number),
            changing_until: None,
        });
        Self {
            engines: engines.collect(),
            spec: EngineSpec {
                weights_mb: ENGINE_MB,
                models: (0..models)
                    .map(|model| ModelSpec::of(&name(model), MODEL_MB))
                    .collect(),
                ..EngineSpec::default()
            },
            local_weights: LocalWeights {
                in_memory: Vec::new(),
                on_disk: (0..models).map(|model| Arc::from(name(model))).collect(),
            },
        }
    }

    /// The changes that the plan wants for `work`, in engines, of each model.
    pub(crate) fn plan(&self, work: &[f64]) -> Vec<(usize, usize)> {
        let hosts = self.engines.iter().map(|engine| self.host(engine));
        let number = |name: &str| name.trim_start_matches('m').parse::<usize>().ok();
        let work = |name: &str| number(name).map_or(0.0, |model| work[model]);
        let plan = ModelPlan::new(&self.spec, hosts.collect(), work);
        let changes = plan.changes(usize::MAX);
        let places = changes.iter().filter_map(|change: &ModelChange| {
            let mut engines = self.engines.iter();
            let engine = engines.position(|engine| engine.id == change.engine)?;
            Some((engine, number(&change.load)?))
        });
        places.collect()
    }

    fn host<'a>(&'a self, engine: &'a Engine) -> ModelHost<'a> {
        ModelHost {
            id: &engine.id,
            failure_domain: &engine.failure_domain,
            models: vec![HostedModel {
                name: format!("m{}", engine.model).into(),
                adapters: 0,
            }],
            can_change: engine.changing_until.is_none(),
            is_changing: engine.changing_until.is_some(),
            uses_store: false,
            busy_share: 0.0,
            local_weights: &self.local_weights,
        }
    }

    /// Engines that can serve `model` now.
    pub(crate) fn serving(&self, model: usize) -> usize {
        let serves = |engine: &&Engine| engine.model == model && engine.changing_until.is_none();
        self.engines.iter().filter(serves).count()
    }
}
