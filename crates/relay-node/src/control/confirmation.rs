//! Confirms with the store that this node still owns its engines.

use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_store::{Condition, KeyValueError, Revision, Txn};

use super::control_state::ControlState;
use super::engine::OwnedEngine;
use super::owners::{disown, owner_key};
use crate::clock::boot_time;

/// The age at which a confirmation is renewed, well before it expires.
const RENEW_AGE: Duration = Duration::from_millis(1_800);

/// How long after an order further orders are expected.
const ORDERS_EXPECTED_TIME: Duration = Duration::from_secs(5);

/// How long after a failed confirmation the store is not asked again.
const CONFIRM_RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Engines that one transaction confirms; the store accepts 32 entries.
const CONFIRMS_PER_TXN: usize = 32;

impl ControlState {
    /// Records that this node has seen all changes up to some time after `asked`, which confirms
    /// the engines that it still owns without another call.
    ///
    /// This counts only for engines whose owner key the watch has delivered: a removal that the
    /// watch delivered before this node knew of its own claim would otherwise be missed.
    pub(crate) fn confirm_from_watch(&self, asked: Duration) {
        let owned = self.owned.borrow();
        for engine in owned.values().filter(|engine| engine.is_key_seen.get()) {
            engine.ownership.borrow_mut().confirm(asked);
        }
    }
}

/// Confirms with the store that this node still owns its engines, for all of them at once.
///
/// After a failure the store is not called for [`CONFIRM_RETRY_PAUSE`]. Otherwise, during an
/// outage, each waiting load and its callers would wait for a call of their own to time out.
pub(crate) async fn confirm(control: &ControlState) {
    let _confirm_guard = control.confirm_lock.lock().await;
    let failed = control.confirm_failed.get();
    if failed.is_some_and(|at| at.elapsed() < CONFIRM_RETRY_PAUSE) || !needs_confirmation(control) {
        return;
    }
    let owned: Vec<(UpstreamId, Revision)> = {
        let owned = control.owned.borrow();
        let claim = |engine: &Rc<OwnedEngine>| engine.ownership.borrow().claim().into();
        owned
            .iter()
            .map(|(id, engine)| (id.clone(), claim(engine)))
            .collect()
    };
    for owned in owned.chunks(CONFIRMS_PER_TXN) {
        confirm_batch(control, owned).await;
    }
}

/// Whether any engine's confirmation is due for renewal; another load may have just renewed it.
fn needs_confirmation(control: &ControlState) -> bool {
    let owned = control.owned.borrow();
    let now = boot_time();
    let mut ages = owned
        .values()
        .map(|engine| engine.ownership.borrow().confirmation_age(now));
    ages.any(|age| age > RENEW_AGE)
}

/// Renews confirmations early while loads are being ordered, so that orders can go on for some
/// seconds when the store becomes unavailable.
pub(crate) async fn renew_confirmations(control: &ControlState) {
    let last_order = control.last_order.get();
    if last_order.is_some_and(|at| at.elapsed() < ORDERS_EXPECTED_TIME) {
        confirm(control).await;
    }
}

async fn confirm_batch(control: &ControlState, owned: &[(UpstreamId, Revision)]) {
    let expects = owned.iter().map(|(engine, revision)| Condition {
        key: owner_key(engine).into(),
        revision: *revision,
    });
    let txn = Txn {
        expects: expects.collect(),
        ..Txn::default()
    };
    let asked_at = boot_time();
    match control.store.commit(txn).await {
        Ok(_) => {
            for (engine, _) in owned {
                if let Some(engine) = control.owned(engine) {
                    engine.ownership.borrow_mut().confirm(asked_at);
                }
            }
        }
        Err(KeyValueError::Conflict { current }) => {
            for (engine, revision) in owned {
                let key = owner_key(engine);
                let mut current = current.iter();
                if !current.any(|item| *item.key == *key && item.revision == *revision) {
                    disown(control, engine, "the key was removed or replaced");
                }
            }
        }
        Err(_) => control.confirm_failed.set(Some(Instant::now())),
    }
}
