//! Confirms at the store that the node still owns its engines.

use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_store::{Expect, KeyValueError, Revision, Txn};

use super::engine::OwnedEngine;
use super::knowledge::Knowledge;
use super::owners::{lose, owner_key};
use crate::clock::boot_time;

/// The age at which a confirmation is renewed, well before it ends.
const CONFIRM_AFTER: Duration = Duration::from_millis(1_800);

/// How long after an order more are expected.
const ORDERS_EXPECTED: Duration = Duration::from_secs(5);

/// How long the store is left alone after a confirmation failed.
const CONFIRM_RETRY: Duration = Duration::from_millis(400);

/// Engines that one transaction confirms; the store takes 32 entries.
const CONFIRMS_PER_TXN: usize = 32;

impl Knowledge {
    /// Takes in that all changes until some time after `asked` were seen. What is still owned then was
    /// this node's at that time, without a call for it.
    ///
    /// An engine counts from when the watch has shown the key that was written for it: a removal that
    /// the watch passed before this node knew of its own claim would be missed.
    pub(crate) fn confirm_seen(&self, asked: Duration) {
        let owned = self.owned.borrow();
        for engine in owned.values().filter(|engine| engine.is_watched.get()) {
            engine.ownership.borrow_mut().confirm(asked);
        }
    }
}

/// Confirms at the store that this node still owns its engines: one call for all of them.
///
/// After a failure the store is left alone for a moment. While it is away, each of the loads that
/// wait would otherwise hang on a call of its own, and their callers with them.
pub(crate) async fn confirm(knowledge: &Knowledge) {
    let _one_at_a_time = knowledge.confirming.lock().await;
    let failed = knowledge.confirm_failed.get();
    if failed.is_some_and(|at| at.elapsed() < CONFIRM_RETRY) || !needs_confirmation(knowledge) {
        return;
    }
    let owned: Vec<(UpstreamId, Revision)> = {
        let owned = knowledge.owned.borrow();
        let claim = |engine: &Rc<OwnedEngine>| engine.ownership.borrow().claim().into();
        owned
            .iter()
            .map(|(id, engine)| (id.clone(), claim(engine)))
            .collect()
    };
    for owned in owned.chunks(CONFIRMS_PER_TXN) {
        confirm_some(knowledge, owned).await;
    }
}

/// Whether an engine's ownership was confirmed a while ago; another load may just have done it.
fn needs_confirmation(knowledge: &Knowledge) -> bool {
    let owned = knowledge.owned.borrow();
    let now = boot_time();
    let mut ages = owned
        .values()
        .map(|engine| engine.ownership.borrow().confirmation_age(now));
    ages.any(|age| age > CONFIRM_AFTER)
}

/// Confirms ahead of time while loads are ordered, so that orders can go on for some seconds
/// whenever the store goes away.
pub(crate) async fn confirm_ahead(knowledge: &Knowledge) {
    let last_order = knowledge.last_order.get();
    if last_order.is_some_and(|at| at.elapsed() < ORDERS_EXPECTED) {
        confirm(knowledge).await;
    }
}

async fn confirm_some(knowledge: &Knowledge, owned: &[(UpstreamId, Revision)]) {
    let expects = owned.iter().map(|(engine, revision)| Expect {
        key: owner_key(engine).into(),
        revision: *revision,
    });
    let txn = Txn {
        expects: expects.collect(),
        ..Txn::default()
    };
    let asked_at = boot_time();
    match knowledge.store.commit(txn).await {
        Ok(_) => {
            for (engine, _) in owned {
                if let Some(engine) = knowledge.owned(engine) {
                    engine.ownership.borrow_mut().confirm(asked_at);
                }
            }
        }
        Err(KeyValueError::Conflict { current }) => {
            for (engine, revision) in owned {
                let key = owner_key(engine);
                let mut current = current.iter();
                if !current.any(|item| *item.key == *key && item.revision == *revision) {
                    lose(knowledge, engine, "the key is another's or gone");
                }
            }
        }
        Err(_) => knowledge.confirm_failed.set(Some(Instant::now())),
    }
}
