//! Has base models loaded by engines that hold none.

use std::rc::Rc;
use std::sync::Arc;

use nutmegsail_relay::{ModelRef, Upstream};

use super::engine::{LoadKind, OwnedEngine};
use super::follow_loads::follow_loads;
use super::knowledge::Knowledge;
use crate::{OrderAnswer, OrderStep};

/// Has base models loaded by engines of ours that hold none.
pub(crate) async fn load_models(knowledge: &Rc<Knowledge>) {
    let owned: Vec<Rc<OwnedEngine>> = knowledge.owned.borrow().values().cloned().collect();
    for engine in owned {
        let Some(upstream) = knowledge.upstream(&engine.id) else {
            continue;
        };
        // An engine whose count of orders is in doubt, or that waits for an adapter to go, is offered
        // no loads, and only loads would read its report otherwise.
        if engine.order_seq().is_none() || engine.leaving_count() > 0 {
            knowledge.read_report(&engine).await;
        }
        if upstream.takes_work() && engine.change() > 0 && engine.holdings().models.is_empty() {
            load_model(knowledge, &engine, &upstream).await;
            follow_loads(Rc::clone(knowledge), Rc::clone(&engine));
        }
    }
}

async fn load_model(knowledge: &Knowledge, engine: &OwnedEngine, upstream: &Upstream) {
    let Some(room) = knowledge.engine_room(&upstream.service) else {
        return;
    };
    let Some(model) = room.models.first() else {
        return;
    };
    let _orders = engine.orders.lock().await;
    // The list of upstreams lags; the engine itself knows whether it is empty.
    let Some(report) = knowledge.read_report(engine).await else {
        return;
    };
    if report.is_busy || !report.holdings.models.is_empty() || engine.coming_count() > 0 {
        return;
    }
    let Some(fence) = knowledge.permit(engine).await else {
        return;
    };
    let wanted = ModelRef {
        model: Arc::clone(&model.name),
        adapter: None,
    };
    let step = OrderStep::Load(wanted.clone(), None);
    let answer = knowledge.order(engine, upstream, step, fence).await;
    if answer == Some(OrderAnswer::Accepted) {
        let under_way = knowledge.loads_under_way() + 1.0;
        engine.load_ordered(wanted, None, LoadKind::FromStore, under_way);
    }
}
