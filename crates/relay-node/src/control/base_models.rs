//! Plans which base models the owned engines hold, and carries out the changes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_relay::{
    CopySource, EngineSpec, Holdings, HostedModel, LoadSource, ModelChange, ModelHost, ModelPlan,
    ModelRef, Service, Upstream,
};
use nutmegsail_telemetry::{Event, log_event};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::change_failure::ChangeFailure;
use super::control_state::ControlState;
use super::engine::OwnedEngine;
use super::poll_loads::poll_loads;
use crate::{OrderAnswer, OrderStep};

/// How often the plan is updated: as often as owners report what their engines hold.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two reports while a base model waits to be unloaded. Each report is billed.
const UNLOAD_POLL_INTERVAL: Duration = Duration::from_millis(80);

/// How long an unload may take: as long as the longest answers that use the model.
const UNLOAD_TIMEOUT: Duration = Duration::from_secs(15);

/// How long pending adapter loads may delay a change: two loads one after the other.
const PENDING_LOADS_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The share of the weight store's rate that is used, since two owners may start loads before
/// either learns of the other's.
const WEIGHT_STORE_RATE_SHARE: f64 = 0.7;

/// Reads the reports of owned engines whose state is uncertain.
pub(crate) async fn read_uncertain(control: &ControlState) {
    let owned: Vec<Rc<OwnedEngine>> = control.owned.borrow().values().cloned().collect();
    for engine in owned {
        // An engine whose order sequence number is unknown, or that is waiting to unload an
        // adapter, is given no loads, and nothing else would read its report.
        if engine.order_seq().is_none() || engine.unloading_count() > 0 {
            control.read_report(&engine).await;
        }
    }
}

/// Plans and starts changes of base models, forever.
pub(crate) async fn run(control: Rc<ControlState>) {
    let mut ticks = interval(PLAN_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(table) = control.table.borrow().clone() else {
            continue;
        };
        for service in table.services() {
            if let Some(spec) = &service.engine {
                plan(&control, service, spec);
            }
        }
    }
}

fn plan(control: &Rc<ControlState>, service: &Service, spec: &EngineSpec) {
    let upstreams = control.upstreams.borrow();
    let engines: Vec<&Arc<Upstream>> = upstreams
        .values()
        .filter(|upstream| upstream.service == service.name && upstream.takes_work())
        .collect();
    if !needs_plan(control, spec, &engines) {
        return;
    }
    let hosts = engines.iter().map(|engine| host(control, spec, engine));
    let (now, demand) = (Instant::now(), control.model_demand.borrow());
    let work = |model: &str| demand.work(ModelRef::of_base(model.into()).digest(), now);
    let plan = ModelPlan::new(spec, hosts.collect(), work);
    let changes = plan.changes(max_weight_store_loads(spec));
    for change in changes {
        if let Some(engine) = control.owned(&change.engine)
            && engine.begin_change(change.clone())
        {
            spawn_local(apply_change(
                Rc::clone(control),
                engine,
                change,
                spec.clone(),
            ));
        }
    }
}

/// If a service has only one model, a plan is needed only for engines that don't hold it.
fn needs_plan(control: &ControlState, spec: &EngineSpec, engines: &[&Arc<Upstream>]) -> bool {
    let mut own = engines
        .iter()
        .filter_map(|engine| control.owned(&engine.id));
    own.any(|own| {
        spec.models.len() > 1 || (own.holdings_version() > 0 && own.holdings().models.is_empty())
    })
}

fn host<'a>(control: &ControlState, spec: &EngineSpec, engine: &'a Upstream) -> ModelHost<'a> {
    let host = ModelHost {
        id: &engine.id,
        failure_domain: &engine.failure_domain,
        models: Vec::new(),
        can_change: false,
        is_changing: false,
        uses_store: false,
        busy_share: 0.0,
        local_weights: &engine.local_weights,
    };
    let busy_share = |in_flight: u32| f64::from(in_flight) / f64::from(engine.slots.max(1));
    if let Some(owned) = control.owned(&engine.id) {
        let is_known = owned.holdings_version() > 0;
        let own_usage = control.shared.usages.current_load(&engine.id).0;
        let others = owned.load_of_others(&control.settings.node).0;
        return ModelHost {
            models: owned.hosted_models(),
            can_change: is_known && control.takes_loads(&owned),
            is_changing: owned.is_changing_model(),
            uses_store: owned.uses_store(weight_store_use_time(spec)),
            busy_share: busy_share(own_usage + others),
            ..host
        };
    }
    let Some(report) = control.host_report(&engine.id) else {
        // The owner is silent or unknown: the listed holdings count, but no change is planned here.
        let models = engine.holdings.models.iter().map(|held| HostedModel {
            name: Arc::clone(&held.name),
            adapters: held.adapters.len(),
        });
        return ModelHost {
            models: models.collect(),
            ..host
        };
    };
    let models = spec.models.iter().filter_map(|model| {
        let digest = ModelRef::of_base(Arc::clone(&model.name)).digest();
        let mut reported = report.models.iter();
        let (_, adapters) = reported.find(|(model, _)| *model == digest)?;
        Some(HostedModel {
            name: Arc::clone(&model.name),
            adapters: usize::from(*adapters),
        })
    });
    ModelHost {
        models: models.collect(),
        can_change: report.can_change,
        is_changing: report.is_changing,
        uses_store: report.uses_store,
        busy_share: busy_share(report.in_flight),
        ..host
    }
}

/// The number of loads from the weight store that may be in progress at once within its rate limit.
fn max_weight_store_loads(spec: &EngineSpec) -> usize {
    let longest = spec.models.iter().map(|model| model.load).max();
    let at_once = spec.loads_per_s.map_or(1.0, |per_s| {
        per_s * longest.unwrap_or_default().as_secs_f64() * WEIGHT_STORE_RATE_SHARE
    });
    (at_once as usize).max(1)
}

/// How long a load counts as using the weight store: at least until it finishes, and long enough
/// that [`max_weight_store_loads`] at once keep to the rate limit.
pub(crate) fn weight_store_use_time(spec: &EngineSpec) -> Duration {
    let longest = spec.models.iter().map(|model| model.load).max();
    let longest = longest.unwrap_or_default();
    let by_rate = spec.loads_per_s.map(|per_s| {
        max_weight_store_loads(spec) as f64 / (per_s * WEIGHT_STORE_RATE_SHARE).max(0.01)
    });
    longest.max(Duration::from_secs_f64(by_rate.unwrap_or(0.0)))
}

async fn apply_change(
    control: Rc<ControlState>,
    engine: Rc<OwnedEngine>,
    change: ModelChange,
    spec: EngineSpec,
) {
    log_event!(
        control.log, Event::ModelChangeBegun,
        "upstream" => engine.id.to_string(), "load" => change.load.to_string(),
        "unload" => change.unload.join(",")
    );
    let outcome = try_apply_change(&control, &engine, &change, &spec).await;
    if let Err(why) = outcome {
        log_event!(
            control.log, Event::ModelChangeFailed,
            "upstream" => engine.id.to_string(), "load" => change.load.to_string(),
            "why" => why.to_string()
        );
    }
    engine.end_change();
    poll_loads(control, engine);
}

/// Unloads the models that are to be replaced, waits until they are gone, and orders the load.
///
/// An order without an answer may still be executed later. No further order is sent until a report
/// shows its outcome, and the next plan starts from there.
async fn try_apply_change(
    control: &ControlState,
    engine: &OwnedEngine,
    change: &ModelChange,
    spec: &EngineSpec,
) -> Result<(), ChangeFailure> {
    let _order_guard = engine.order_lock.lock().await;
    wait_for_pending_loads(engine).await?;
    let upstream = control.upstream(&engine.id);
    let upstream = upstream.ok_or(ChangeFailure::EngineGone)?;
    let report = control.read_report(engine).await;
    let report = report.ok_or(ChangeFailure::NoReport)?;
    if report.is_busy || engine.unloading_count() > 0 {
        return Err(ChangeFailure::Busy);
    }
    let held = |name: &Arc<str>| report.holdings.models.iter().any(|held| held.name == *name);
    if held(&change.load) || !fits(spec, &report.holdings, change) {
        return Err(ChangeFailure::OtherHoldings);
    }
    for name in change.unload.iter().filter(|name| held(name)) {
        unload(
            control,
            engine,
            &upstream,
            &ModelRef::of_base(Arc::clone(name)),
        )
        .await?;
    }
    let fence = control.order_fencing_token(engine).await;
    let fence = fence.ok_or(ChangeFailure::NotPermitted)?;
    let wanted = ModelRef::of_base(Arc::clone(&change.load));
    let step = OrderStep::Load(wanted.clone(), None);
    let answer = control.order(engine, &upstream, step, fence).await;
    match answer {
        Some(OrderAnswer::Accepted) => {
            let is_from_store = upstream.local_weights.source_of(&change.load) == CopySource::Store;
            if is_from_store {
                engine.record_weight_store_use();
            }
            engine.record_load(wanted, None, LoadSource::of(!is_from_store), 1.0);
            Ok(())
        }
        Some(OrderAnswer::Done) => {
            engine.forget_order_seq();
            Ok(())
        }
        Some(OrderAnswer::Conflict) => {
            engine.block();
            Err(ChangeFailure::Busy)
        }
        Some(OrderAnswer::Fenced | OrderAnswer::Refused) => Err(ChangeFailure::Refused),
        None => Err(ChangeFailure::NoAnswer),
    }
}

/// Waits until no adapter is being loaded, since its base model might be unloaded before it is
/// ready.
async fn wait_for_pending_loads(engine: &OwnedEngine) -> Result<(), ChangeFailure> {
    let started = Instant::now();
    while engine.pending_count() > 0 {
        if started.elapsed() > PENDING_LOADS_TIMEOUT {
            return Err(ChangeFailure::AdaptersComing);
        }
        sleep(UNLOAD_POLL_INTERVAL).await;
    }
    Ok(())
}

/// Whether the new model fits beside those that stay. An engine that is ordered to hold more than
/// fits crashes.
fn fits(spec: &EngineSpec, held: &Holdings, change: &ModelChange) -> bool {
    let stays = held
        .models
        .iter()
        .filter(|held| !change.unload.contains(&held.name));
    let weight_mb = |name: &str| {
        spec.model(name)
            .map_or(spec.weights_mb, |spec| spec.weights_mb)
    };
    let adapter_mb = |name: &str| spec.model(name).map_or(0.0, |spec| spec.adapter_mb);
    let stay_mb: f64 = stays
        .map(|held| weight_mb(&held.name) + adapter_mb(&held.name) * held.adapters.len() as f64)
        .sum();
    stay_mb + weight_mb(&change.load) <= spec.weights_mb
}

async fn unload(
    control: &ControlState,
    engine: &OwnedEngine,
    upstream: &Upstream,
    model: &ModelRef,
) -> Result<(), ChangeFailure> {
    let fence = control.order_fencing_token(engine).await;
    let fence = fence.ok_or(ChangeFailure::NotPermitted)?;
    let step = OrderStep::Unload(model.clone());
    let answer = control.order(engine, upstream, step, fence).await;
    match answer {
        Some(OrderAnswer::Accepted) => engine.record_unload(model, false),
        Some(OrderAnswer::Done) => engine.record_unload(model, true),
        Some(OrderAnswer::Conflict) => {
            engine.block();
            return Err(ChangeFailure::Busy);
        }
        Some(OrderAnswer::Fenced | OrderAnswer::Refused) => return Err(ChangeFailure::Refused),
        None => return Err(ChangeFailure::NoAnswer),
    }
    let started = Instant::now();
    while engine.unloading_count() > 0 {
        if started.elapsed() > UNLOAD_TIMEOUT {
            return Err(ChangeFailure::StillInUse);
        }
        sleep(UNLOAD_POLL_INTERVAL).await;
        control.read_report(engine).await;
    }
    Ok(())
}
