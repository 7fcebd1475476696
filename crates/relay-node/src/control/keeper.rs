//! Renews the node's lease and maintains the engines that it owns.

use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::NodeRecord;
use nutmegsail_store::{KeyValueError, LeaseId, Put, Revision, Txn};
use tokio::time::{MissedTickBehavior, interval};

use super::base_models::read_doubtful;
use super::claims::{claim, forget_gone, own_before, unowned};
use super::confirmation::confirm_ahead;
use super::eras::mark_era;
use super::knowledge::Knowledge;
use super::lending::claim_lender;
use super::owners::{NODE_PREFIX, lose, to_json};

/// How long a node's keys outlive it. A shorter time costs more renewals, a longer one leaves the
/// engines of a dead node without an owner for longer.
const LEASE_TTL: Duration = Duration::from_secs(4);

/// How often the lease is renewed, so that two renewals in a row may fail.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_200);

/// How often a node looks for engines to claim.
const TICK: Duration = Duration::from_millis(400);

/// How long after its start a node claims no new engines: machines start within 0.3 s of each
/// other, and the engines should be spread over all of them.
const FIRST_CLAIM_AFTER: Duration = Duration::from_millis(900);

/// Renews the node's lease and claims engines, forever.
pub(crate) async fn keep(knowledge: Rc<Knowledge>) {
    let started = Instant::now();
    // After the store dropped their leases, all nodes ask for new ones; while it is unavailable the
    // pauses between tries keep them from calling it all at once.
    let mut renew_after = started;
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        knowledge.check_era();
        if knowledge.eras.is_to_ask() || Instant::now() >= renew_after {
            let pause = match renew(&knowledge).await {
                true => RENEW_INTERVAL,
                false => knowledge.store_pause(),
            };
            renew_after = Instant::now() + pause;
        }
        knowledge.check_era();
        knowledge.forget_missing_nodes();
        knowledge.look_at_text();
        knowledge.look_at_owners();
        if knowledge.lease.get() == LeaseId::default() || knowledge.eras.awaits_word() {
            continue;
        }
        mark_era(&knowledge).await;
        knowledge.note_last_owners();
        claim(&knowledge, &own_before(&knowledge)).await;
        let may_be_new = started.elapsed() >= FIRST_CLAIM_AFTER;
        if may_be_new {
            let unowned = unowned(&knowledge).into_iter();
            let claims: Vec<_> = unowned.map(|id| (id, Revision::NONE)).collect();
            claim(&knowledge, &claims).await;
        }
        claim_lender(&knowledge, may_be_new).await;
        confirm_ahead(&knowledge).await;
        forget_gone(&knowledge);
        read_doubtful(&knowledge).await;
    }
}

/// Renews the lease, or gets a new one and registers the node under it. Returns whether the node
/// has a lease.
async fn renew(knowledge: &Knowledge) -> bool {
    let lease = knowledge.lease.get();
    if lease != LeaseId::default() {
        match knowledge.store.keep_lease(lease).await {
            Ok(()) => return true,
            Err(KeyValueError::LeaseGone) => {
                knowledge.check_era();
                knowledge.lease.set(LeaseId::default());
                let owned: Vec<UpstreamId> = knowledge.owned.borrow().keys().cloned().collect();
                for engine in owned {
                    lose(knowledge, &engine, "the lease has ended");
                }
            }
            Err(_) => return false,
        }
    }
    // The store client logs why a call failed.
    register(knowledge).await.is_ok()
}

async fn register(knowledge: &Knowledge) -> Result<(), KeyValueError> {
    let granted = knowledge.store.grant_lease(LEASE_TTL).await?;
    let settings = &knowledge.settings;
    let record = NodeRecord {
        node: settings.node.clone(),
        failure_domain: settings.failure_domain.clone(),
        address: settings.nodes_address,
    };
    let put = Put {
        key: format!("{NODE_PREFIX}{}", settings.node).into(),
        value: to_json(&record),
        lease: granted.lease,
    };
    let txn = Txn {
        puts: vec![put],
        ..Txn::default()
    };
    knowledge.store.commit(txn).await?;
    knowledge.lease.set(granted.lease);
    Ok(())
}

/// Ends the lease, so that other nodes take over at once.
pub(crate) async fn give_back(knowledge: &Knowledge) {
    let lease = knowledge.lease.replace(LeaseId::default());
    knowledge.owned.borrow_mut().clear();
    if lease != LeaseId::default() {
        // If this call is lost, the keys are removed when the lease expires.
        let _ = knowledge.store.end_lease(lease).await;
    }
}
