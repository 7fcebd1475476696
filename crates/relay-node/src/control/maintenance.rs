//! Renews the node's lease and maintains the engines that it owns.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{ServiceName, UpstreamId};
use nutmegsail_relay::NodeRecord;
use nutmegsail_store::{Condition, KeyValueError, LeaseId, Put, Revision, Txn};
use nutmegsail_telemetry::{Event, log_event};
use tokio::time::{MissedTickBehavior, interval};

use super::base_models::read_uncertain;
use super::claims::{
    claim, drop_unlisted, owned_by_earlier_process, release_replaced, remove_owner_keys,
    unowned_engines,
};
use super::confirmation::renew_confirmations;
use super::control_state::ControlState;
use super::eras::write_settled_era;
use super::last_claims::remove_unused_claims;
use super::lending::claim_lender;
use super::owners::{NODE_PREFIX, disown, to_json};
use super::served_software::write_served;
use super::suspect_store::write_suspects;
use crate::clock::boot_time;

/// How long a node's keys outlive it. A shorter time costs more renewals, a longer one leaves the
/// engines of a dead node without an owner for longer.
const LEASE_TTL: Duration = Duration::from_secs(4);

/// How often the lease is renewed, so that two renewals in a row may fail.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_200);

/// How often a node looks for engines to claim.
const CLAIM_INTERVAL: Duration = Duration::from_millis(400);

/// How long after its start a node claims no new engines: machines start within 0.3 s of each
/// other, and the engines should be spread over all of them.
const FIRST_CLAIM_AFTER: Duration = Duration::from_millis(900);

/// Renews the node's lease and claims engines, forever.
pub(crate) async fn run(control: Rc<ControlState>) {
    let started = Instant::now();
    // After the store dropped their leases, all nodes ask for new ones; while it is unavailable the
    // pauses between tries keep them from calling it all at once.
    let mut renew_after = started;
    let mut ticks = interval(CLAIM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        control.check_era();
        if control.eras.is_store_call_due() || Instant::now() >= renew_after {
            let pause = match renew(&control).await {
                true => RENEW_INTERVAL,
                false => control.store_pause(),
            };
            renew_after = Instant::now() + pause;
        }
        control.check_era();
        control.drop_missing_nodes();
        control.check_config();
        control.check_owners();
        if control.lease.get() == LeaseId::default() || control.eras.awaits_update() {
            continue;
        }
        restore_record(&control).await;
        write_settled_era(&control).await;
        write_suspects(&control).await;
        write_served(&control).await;
        hand_over_unreachable(&control).await;
        claim(&control, &owned_by_earlier_process(&control)).await;
        let may_claim_new = started.elapsed() >= FIRST_CLAIM_AFTER;
        if may_claim_new {
            let unowned = unowned_engines(&control).into_iter();
            let claims: Vec<_> = unowned.map(|id| (id, Revision::NONE)).collect();
            claim(&control, &claims).await;
        }
        claim_lender(&control, may_claim_new).await;
        renew_confirmations(&control).await;
        drop_unlisted(&control);
        release_replaced(&control).await;
        remove_unused_claims(&control).await;
        read_uncertain(&control).await;
    }
}

/// Renews the lease, or gets a new one and registers the node under it. Returns whether the node
/// has a lease.
async fn renew(control: &ControlState) -> bool {
    let lease = control.lease.get();
    if lease != LeaseId::default() {
        match control.store.renew_lease(lease).await {
            Ok(()) => return true,
            Err(KeyValueError::LeaseGone) => {
                control.check_era();
                control.lease.set(LeaseId::default());
                let owned: Vec<UpstreamId> = control.owned.borrow().keys().cloned().collect();
                for engine in owned {
                    disown(control, &engine, "the lease has ended");
                }
            }
            Err(_) => return false,
        }
    }
    // The store client logs why a call failed.
    register(control).await.is_ok()
}

async fn register(control: &ControlState) -> Result<(), KeyValueError> {
    let granted = control.store.grant_lease(LEASE_TTL).await?;
    let out_of_reach = services_out_of_reach(control);
    write_record(control, granted.lease, out_of_reach, RecordWrite::Replace).await?;
    control.lease.set(granted.lease);
    control.joined.record_registered();
    Ok(())
}

/// Whether a write of a node's record may replace one of another process under its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RecordWrite {
    Replace,
    OnlyIfMissing,
}

/// Writes this node's record under `lease`.
async fn write_record(
    control: &ControlState,
    lease: LeaseId,
    out_of_reach: Vec<ServiceName>,
    write: RecordWrite,
) -> Result<(), KeyValueError> {
    let record = own_record(control, out_of_reach);
    let key: Arc<str> = format!("{NODE_PREFIX}{}", record.node).into();
    let is_missing = Condition {
        key: Arc::clone(&key),
        revision: Revision::NONE,
    };
    let txn = Txn {
        expects: match write {
            RecordWrite::Replace => Vec::new(),
            RecordWrite::OnlyIfMissing => vec![is_missing],
        },
        puts: vec![Put {
            key,
            value: to_json(&record),
            lease,
        }],
        ..Txn::default()
    };
    control.store.commit(txn).await?;
    control.recorded_out_of_reach.replace(record.out_of_reach);
    control.record_written.set(boot_time());
    Ok(())
}

/// Writes this node's record again if the store no longer shows it although the lease lasts: another
/// process under this node's name has replaced it and ended.
async fn restore_record(control: &ControlState) {
    let is_listed = control.nodes.borrow().contains_key(&control.settings.node);
    let is_view_newer = control.shared.data_asked() > control.record_written.get();
    if is_listed || !is_view_newer {
        return;
    }
    let (lease, out_of_reach) = (control.lease.get(), services_out_of_reach(control));
    let written = write_record(control, lease, out_of_reach, RecordWrite::OnlyIfMissing).await;
    if written.is_ok() {
        control.joined.record_registered();
        log_event!(control.log, Event::NodeRecordRestored);
    }
}

/// This node's record, as other nodes see it.
pub(super) fn own_record(control: &ControlState, out_of_reach: Vec<ServiceName>) -> NodeRecord {
    let settings = &control.settings;
    NodeRecord {
        node: settings.node.clone(),
        failure_domain: settings.failure_domain.clone(),
        address: settings.nodes_address,
        forward_address: settings.forward_address,
        out_of_reach,
    }
}

/// The services of which no upstream could be reached for as long as the engines of a node that has
/// ended keep their owner.
fn services_out_of_reach(control: &ControlState) -> Vec<ServiceName> {
    let reach = control.shared.reach();
    reach.unreachable_for(LEASE_TTL, Instant::now())
}

/// Releases the engines that this node has not reached for a while, and records which services it
/// cannot reach, so that another node claims them.
async fn hand_over_unreachable(control: &ControlState) {
    let out_of_reach = services_out_of_reach(control);
    if out_of_reach != *control.recorded_out_of_reach.borrow() {
        let (lease, services) = (control.lease.get(), out_of_reach.clone());
        let written = write_record(control, lease, services, RecordWrite::Replace).await;
        if written.is_err() {
            return;
        }
    }
    for owned in owned_of_services(control, &out_of_reach) {
        let (engine, _) = &owned;
        disown(control, engine, "no upstream of its service can be reached");
        remove_owner_keys(control, &[owned]).await;
    }
}

/// The engines of `services` whose owner is this node, with the revisions of their owner keys.
fn owned_of_services(
    control: &ControlState,
    services: &[ServiceName],
) -> Vec<(UpstreamId, Revision)> {
    let owners = control.owners.borrow();
    let is_of_services = |engine: &UpstreamId| {
        let upstream = control.upstream(engine);
        upstream.is_some_and(|upstream| services.contains(&upstream.service))
    };
    let own = owners
        .iter()
        .filter(|(engine, owner)| owner.node == control.settings.node && is_of_services(engine));
    own.map(|(engine, owner)| (engine.clone(), owner.revision))
        .collect()
}

/// Ends the lease, so that other nodes take over at once.
pub(crate) async fn release_lease(control: &ControlState) {
    let lease = control.lease.replace(LeaseId::default());
    control.owned.borrow_mut().clear();
    if lease != LeaseId::default() {
        // If this call is lost, the keys are removed when the lease expires.
        let _ = control.store.revoke_lease(lease).await;
    }
}
