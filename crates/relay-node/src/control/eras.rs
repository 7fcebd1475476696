//! Recovery after the store was restored from an older copy of itself.
//!
//! Each restore begins a new store era. Claims written in the previous era are missing from the
//! copy, or will expire; engines and lenders claimed by them are claimed again, and no order is
//! sent under the old claims.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::{StoreEra, UpstreamId};
use nutmegsail_relay::{EraRise, EraUpdate, EraView, EraWatch, OwnershipRules};
use nutmegsail_store::{Condition, Item, LeaseId, Put, Revision, Txn};
use nutmegsail_telemetry::{Event, log_event};
use serde::{Deserialize, Serialize};

use super::control_state::ControlState;
use super::engine::OwnedEngine;
use super::owners::to_json;
use super::suspect_gossip::random_nodes;
use crate::clock::boot_time;

/// The key of the last store era that is settled: no claim of an earlier era is in use, and the
/// operators' configuration and model versions are complete again.
pub(crate) const SETTLED_ERA_KEY: &str = "nutmegsail/era";

/// How often a recent restore is announced to a few nodes.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// The value of the era key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SettledEra {
    era: StoreEra,
}

/// The store eras, and what remains to be done since the last restore.
#[derive(Debug)]
pub(crate) struct Eras {
    pub(crate) watch: RefCell<EraWatch>,
    /// Owned engines whose claims were lost in a restore.
    pub(crate) lost_claims: RefCell<HashMap<UpstreamId, Rc<OwnedEngine>>>,
    /// Whether to call the store at once, because another node knows of a later era.
    is_store_call_due: Cell<bool>,
    settled_revision: Cell<Revision>,
    is_hold_back_logged: Cell<bool>,
    announced_at: Cell<Option<Instant>>,
}

impl Eras {
    pub(crate) fn new(rules: OwnershipRules, is_first_start: bool) -> Self {
        Self {
            watch: RefCell::new(EraWatch::new(rules.wait(), is_first_start)),
            lost_claims: RefCell::default(),
            is_store_call_due: Cell::default(),
            settled_revision: Cell::default(),
            is_hold_back_logged: Cell::default(),
            announced_at: Cell::default(),
        }
    }

    /// Whether to call the store at once. Reading this resets it.
    pub(crate) fn is_store_call_due(&self) -> bool {
        self.is_store_call_due.take()
    }

    /// Whether all claims of earlier eras have expired.
    pub(crate) fn is_settled(&self) -> bool {
        self.watch.borrow().is_settled(boot_time())
    }

    /// How the current era bears on lists that are complete within one era.
    pub(crate) fn view(&self) -> EraView {
        self.watch.borrow().view(boot_time())
    }

    /// Whether this node waits for another node's update about the store era before it claims
    /// anything.
    pub(crate) fn awaits_update(&self) -> bool {
        self.watch.borrow().awaits_update(boot_time())
    }

    /// Called before all keys are read again.
    pub(crate) fn begin_snapshot(&self) {
        self.settled_revision.set(Revision::NONE);
    }
}

impl ControlState {
    /// Checks whether the store has reported a later store era.
    pub(crate) fn check_era(&self) {
        self.record_era(self.store.era());
    }

    /// Records the current store era.
    pub(crate) fn record_era(&self, era: Option<StoreEra>) {
        let rise = self.eras.watch.borrow_mut().observe(era, boot_time());
        if let Some(era) = era {
            self.shared.metrics.store_era(era);
        }
        if let Some(rise) = rise {
            self.begin_era(rise);
        }
    }

    fn begin_era(&self, rise: EraRise) {
        let now = boot_time();
        let owned = std::mem::take(&mut *self.owned.borrow_mut());
        let engines = owned.len();
        for engine in owned.values() {
            engine.ownership.borrow_mut().lose_claim(now);
        }
        self.eras.lost_claims.borrow_mut().extend(owned);
        let was_lending = self.lose_lender_claim(now);
        self.returning_nodes.borrow_mut().record_restored(now);
        self.eras.is_store_call_due.set(true);
        log_event!(
            self.log, Event::StoreEraRose,
            "from" => rise.from.0, "to" => rise.to.0, "engines" => engines,
            "was_lending" => was_lending
        );
    }

    /// Drops an engine whose claim was lost in a restore, because another node has claimed it
    /// since.
    pub(crate) fn drop_lost_claim(&self, engine: &UpstreamId, why: &str) {
        if self.eras.lost_claims.borrow_mut().remove(engine).is_some() {
            log_event!(
                self.log, Event::EngineReleased,
                "upstream" => engine.to_string(), "why" => why.to_owned()
            );
        }
    }

    /// Applies the settled era from the store.
    pub(crate) fn apply_settled_era(&self, item: &Item) {
        self.eras.settled_revision.set(item.revision);
        match serde_json::from_slice::<SettledEra>(&item.value) {
            Ok(settled) => self.eras.watch.borrow_mut().record_settled_era(settled.era),
            Err(error) => log_event!(
                self.log, Event::MessageUndecodable,
                "key" => item.key.to_string(), "problem" => error.to_string()
            ),
        }
    }

    /// Whether this node uses the operators' configuration that it has read. The store may have
    /// been restored from an older copy, so a node that starts first waits until it has caught up
    /// with the other nodes.
    pub(crate) fn uses_config(&self) -> bool {
        let mut watch = self.eras.watch.borrow_mut();
        if watch.applies_text() {
            return true;
        }
        let known = self.config_known();
        let uses_config = known.configuration > 0 && watch.may_apply(known, boot_time());
        if watch.is_behind(known) && !self.eras.is_hold_back_logged.replace(true) {
            log_event!(
                self.log, Event::TextHeldBack,
                "version" => known.configuration
            );
        }
        uses_config
    }

    /// Starts using the operators' configuration, if nothing prevents it any more.
    pub(crate) fn check_config(&self) {
        let uses_config = self.eras.watch.borrow().applies_text();
        if !uses_config && self.uses_config() {
            self.publish();
        }
    }

    /// The update on the store era for other nodes; `None` while this node itself waits for their
    /// updates.
    pub(crate) fn era_update(&self) -> Option<EraUpdate> {
        let watch = self.eras.watch.borrow();
        watch.update(self.config_known(), boot_time())
    }

    /// Applies another node's update about the store era.
    pub(crate) fn apply_era_update(&self, update: EraUpdate) {
        let is_newer = self
            .eras
            .watch
            .borrow_mut()
            .apply_update(update, boot_time());
        if is_newer {
            self.eras.is_store_call_due.set(true);
        }
    }

    /// The nodes to ask about the store era.
    pub(super) fn era_query_targets(&self) -> Vec<SocketAddr> {
        match self.eras.watch.borrow().asks(boot_time()) {
            true => random_nodes(self),
            false => Vec::new(),
        }
    }

    /// The nodes to which a recent restore is announced now.
    pub(super) fn era_announcement_targets(&self) -> Vec<SocketAddr> {
        let announced_at = self.eras.announced_at.get();
        let is_due = announced_at.is_none_or(|at| at.elapsed() >= ANNOUNCE_INTERVAL);
        if !is_due || !self.eras.watch.borrow().is_recent_rise(boot_time()) {
            return Vec::new();
        }
        self.eras.announced_at.set(Some(Instant::now()));
        random_nodes(self)
    }
}

/// Writes the era to the store once it is settled, if this node reads the store for others.
pub(crate) async fn write_settled_era(control: &ControlState) {
    let is_behind = control
        .stored_config
        .is_behind(control.configuration_version());
    let due = {
        let watch = control.eras.watch.borrow();
        watch.era_to_settle(is_behind, boot_time())
    };
    let Some(era) = due.filter(|_| control.reader().is_none()) else {
        return;
    };
    let txn = Txn {
        expects: vec![Condition {
            key: SETTLED_ERA_KEY.into(),
            revision: control.eras.settled_revision.get(),
        }],
        puts: vec![Put {
            key: SETTLED_ERA_KEY.into(),
            value: to_json(&SettledEra { era }),
            lease: LeaseId::NONE,
        }],
        ..Txn::default()
    };
    // If another node wrote the key first, the watch delivers it.
    if let Ok(revision) = control.store.commit(txn).await {
        control.eras.settled_revision.set(revision);
        control.eras.watch.borrow_mut().record_settled_era(era);
        log_event!(control.log, Event::StoreEraSettled, "era" => era.0);
    }
}
