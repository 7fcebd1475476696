//! Plans which base models the owned engines hold, and carries out the changes.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_relay::{
    CopySource, EngineSpec, Holdings, HostedModel, LoadKind, ModelChange, ModelHost, ModelPlan,
    ModelRef, Service, Upstream,
};
use nutmegsail_telemetry::{Event, log_event};
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval, sleep};

use super::change_failure::ChangeFailure;
use super::engine::OwnedEngine;
use super::follow_loads::follow_loads;
use super::knowledge::Knowledge;
use crate::{OrderAnswer, OrderStep};

/// How often the plan is updated: as often as owners report what their engines hold.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// The time between two reports while a base model waits to be unloaded. Each report is billed.
const LEAVING_INTERVAL: Duration = Duration::from_millis(80);

/// How long an unload may take: as long as the longest responses that use the model.
const LEAVING_LIMIT: Duration = Duration::from_secs(15);

/// How long pending adapter loads may delay a change: two loads one after the other.
const COMING_LIMIT: Duration = Duration::from_millis(1_500);

/// The share of the weight store's rate that is used, since two owners may start loads before
/// either learns of the other's.
const STORE_SHARE: f64 = 0.7;

/// Reads the reports of owned engines whose state is uncertain.
pub(crate) async fn read_doubtful(knowledge: &Knowledge) {
    let owned: Vec<Rc<OwnedEngine>> = knowledge.owned.borrow().values().cloned().collect();
    for engine in owned {
        // An engine whose order sequence number is unknown, or that is waiting to unload an
        // adapter, is given no loads, and nothing else would read its report.
        if engine.order_seq().is_none() || engine.leaving_count() > 0 {
            knowledge.read_report(&engine).await;
        }
    }
}

/// Plans and starts changes of base models, forever.
pub(crate) async fn run(knowledge: Rc<Knowledge>) {
    let mut ticks = interval(PLAN_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let Some(table) = knowledge.table.borrow().clone() else {
            continue;
        };
        for service in table.services() {
            if let Some(spec) = &service.engine {
                plan(&knowledge, service, spec);
            }
        }
    }
}

fn plan(knowledge: &Rc<Knowledge>, service: &Service, spec: &EngineSpec) {
    let upstreams = knowledge.upstreams.borrow();
    let engines: Vec<&Arc<Upstream>> = upstreams
        .values()
        .filter(|upstream| upstream.service == service.name && upstream.takes_work())
        .collect();
    if !needs_plan(knowledge, spec, &engines) {
        return;
    }
    let hosts = engines.iter().map(|engine| host(knowledge, spec, engine));
    let (now, demand) = (Instant::now(), knowledge.model_demand.borrow());
    let work = |model: &str| demand.work(ModelRef::of_base(model.into()).digest(), now);
    let plan = ModelPlan::new(spec, hosts.collect(), work);
    let changes = plan.changes(store_loads(spec));
    for change in changes {
        if let Some(engine) = knowledge.owned(&change.engine)
            && engine.begin_change(change.clone())
        {
            spawn_local(carry_out(
                Rc::clone(knowledge),
                engine,
                change,
                spec.clone(),
            ));
        }
    }
}

/// If a service has only one model, a plan is needed only for engines that don't hold it.
fn needs_plan(knowledge: &Knowledge, spec: &EngineSpec, engines: &[&Arc<Upstream>]) -> bool {
    let mut own = engines
        .iter()
        .filter_map(|engine| knowledge.owned(&engine.id));
    own.any(|own| spec.models.len() > 1 || (own.change() > 0 && own.holdings().models.is_empty()))
}

fn host<'a>(knowledge: &Knowledge, spec: &EngineSpec, engine: &'a Upstream) -> ModelHost<'a> {
    let host = ModelHost {
        id: &engine.id,
        failure_domain: &engine.failure_domain,
        models: Vec::new(),
        can_change: false,
        is_changing: false,
        uses_store: false,
        busy_share: 0.0,
        at_hand: &engine.at_hand,
    };
    let busy_share = |in_flight: u32| f64::from(in_flight) / f64::from(engine.slots.max(1));
    if let Some(owned) = knowledge.owned(&engine.id) {
        let is_known = owned.change() > 0;
        let mine = knowledge.shared.uses.peek(&engine.id).0;
        let others = owned.load_of_others(&knowledge.settings.node).0;
        return ModelHost {
            models: owned.hosted_models(),
            can_change: is_known && knowledge.takes_loads(&owned),
            is_changing: owned.is_changing_model(),
            uses_store: owned.uses_store(store_use(spec)),
            busy_share: busy_share(mine + others),
            ..host
        };
    }
    let Some(told) = knowledge.hosted(&engine.id) else {
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
        let mut told = told.models.iter();
        let (_, adapters) = told.find(|(told, _)| *told == digest)?;
        Some(HostedModel {
            name: Arc::clone(&model.name),
            adapters: usize::from(*adapters),
        })
    });
    ModelHost {
        models: models.collect(),
        can_change: told.can_change,
        is_changing: told.is_changing,
        uses_store: told.uses_store,
        busy_share: busy_share(told.in_flight),
        ..host
    }
}

/// The number of loads from the weight store that may be in progress at once within its rate limit.
fn store_loads(spec: &EngineSpec) -> usize {
    let longest = spec.models.iter().map(|model| model.load).max();
    let at_once = spec.loads_per_s.map_or(1.0, |per_s| {
        per_s * longest.unwrap_or_default().as_secs_f64() * STORE_SHARE
    });
    (at_once as usize).max(1)
}

/// How long a load counts as using the weight store: at least until it finishes, and long enough
/// that [`store_loads`] at once keep to the rate limit.
pub(crate) fn store_use(spec: &EngineSpec) -> Duration {
    let longest = spec.models.iter().map(|model| model.load).max();
    let longest = longest.unwrap_or_default();
    let by_rate = spec
        .loads_per_s
        .map(|per_s| store_loads(spec) as f64 / (per_s * STORE_SHARE).max(0.01));
    longest.max(Duration::from_secs_f64(by_rate.unwrap_or(0.0)))
}

async fn carry_out(
    knowledge: Rc<Knowledge>,
    engine: Rc<OwnedEngine>,
    change: ModelChange,
    spec: EngineSpec,
) {
    log_event!(
        knowledge.log, Event::ModelChangeBegun,
        "upstream" => engine.id.to_string(), "load" => change.load.to_string(),
        "unload" => change.unload.join(",")
    );
    let outcome = try_carry_out(&knowledge, &engine, &change, &spec).await;
    if let Err(why) = outcome {
        log_event!(
            knowledge.log, Event::ModelChangeFailed,
            "upstream" => engine.id.to_string(), "load" => change.load.to_string(),
            "why" => why.to_string()
        );
    }
    engine.end_change();
    follow_loads(knowledge, engine);
}

/// Unloads the models that are to be replaced, waits until they are gone, and orders the load.
///
/// An order without an answer may still be executed later. No further order is sent until a report
/// shows its outcome, and the next plan starts from there.
async fn try_carry_out(
    knowledge: &Knowledge,
    engine: &OwnedEngine,
    change: &ModelChange,
    spec: &EngineSpec,
) -> Result<(), ChangeFailure> {
    let _orders = engine.orders.lock().await;
    wait_for_adapters(engine).await?;
    let upstream = knowledge.upstream(&engine.id);
    let upstream = upstream.ok_or(ChangeFailure::EngineGone)?;
    let report = knowledge.read_report(engine).await;
    let report = report.ok_or(ChangeFailure::NoReport)?;
    if report.is_busy || engine.leaving_count() > 0 {
        return Err(ChangeFailure::Busy);
    }
    let held = |name: &Arc<str>| report.holdings.models.iter().any(|held| held.name == *name);
    if held(&change.load) || !fits(spec, &report.holdings, change) {
        return Err(ChangeFailure::OtherHoldings);
    }
    for name in change.unload.iter().filter(|name| held(name)) {
        unload(
            knowledge,
            engine,
            &upstream,
            &ModelRef::of_base(Arc::clone(name)),
        )
        .await?;
    }
    let fence = knowledge.permit(engine).await;
    let fence = fence.ok_or(ChangeFailure::NotPermitted)?;
    let wanted = ModelRef::of_base(Arc::clone(&change.load));
    let step = OrderStep::Load(wanted.clone(), None);
    let answer = knowledge.order(engine, &upstream, step, fence).await;
    match answer {
        Some(OrderAnswer::Accepted) => {
            let is_from_store = upstream.at_hand.source_of(&change.load) == CopySource::Store;
            if is_from_store {
                engine.note_store_use();
            }
            engine.load_ordered(wanted, None, LoadKind::of(!is_from_store), 1.0);
            Ok(())
        }
        Some(OrderAnswer::Done) => {
            engine.doubt();
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
async fn wait_for_adapters(engine: &OwnedEngine) -> Result<(), ChangeFailure> {
    let since = Instant::now();
    while engine.coming_count() > 0 {
        if since.elapsed() > COMING_LIMIT {
            return Err(ChangeFailure::AdaptersComing);
        }
        sleep(LEAVING_INTERVAL).await;
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
    knowledge: &Knowledge,
    engine: &OwnedEngine,
    upstream: &Upstream,
    model: &ModelRef,
) -> Result<(), ChangeFailure> {
    let fence = knowledge.permit(engine).await;
    let fence = fence.ok_or(ChangeFailure::NotPermitted)?;
    let step = OrderStep::Unload(model.clone());
    let answer = knowledge.order(engine, upstream, step, fence).await;
    match answer {
        Some(OrderAnswer::Accepted) => engine.unloaded(model, false),
        Some(OrderAnswer::Done) => engine.unloaded(model, true),
        Some(OrderAnswer::Conflict) => {
            engine.block();
            return Err(ChangeFailure::Busy);
        }
        Some(OrderAnswer::Fenced | OrderAnswer::Refused) => return Err(ChangeFailure::Refused),
        None => return Err(ChangeFailure::NoAnswer),
    }
    let since = Instant::now();
    while engine.leaving_count() > 0 {
        if since.elapsed() > LEAVING_LIMIT {
            return Err(ChangeFailure::StillInUse);
        }
        sleep(LEAVING_INTERVAL).await;
        knowledge.read_report(engine).await;
    }
    Ok(())
}
