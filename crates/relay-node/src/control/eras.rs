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
use nutmegsail_relay::{EraRise, EraTold, EraWatch, OwnershipRules};
use nutmegsail_store::{Expect, Item, LeaseId, Put, Revision, Txn};
use nutmegsail_telemetry::{Event, log_event};
use serde::{Deserialize, Serialize};

use super::engine::OwnedEngine;
use super::knowledge::Knowledge;
use super::owners::to_json;
use super::suspect_news::some_others;
use crate::clock::boot_time;

/// The key of the last store era that is settled: no claim of an earlier era is in use, and the
/// operators' configuration and model versions are complete again.
pub(crate) const MARK_KEY: &str = "nutmegsail/era";

/// How often a few nodes are told of a recent restore.
const TELL_INTERVAL: Duration = Duration::from_millis(500);

/// The value of the era key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Mark {
    era: StoreEra,
}

/// The store eras, and what remains to be done since the last restore.
#[derive(Debug)]
pub(crate) struct Eras {
    pub(crate) watch: RefCell<EraWatch>,
    /// Owned engines whose claims were lost in a restore.
    pub(crate) lapsed: RefCell<HashMap<UpstreamId, Rc<OwnedEngine>>>,
    /// Whether to call the store at once, because another node knows of a later era.
    is_to_ask: Cell<bool>,
    mark_revision: Cell<Revision>,
    is_held_logged: Cell<bool>,
    told: Cell<Option<Instant>>,
}

impl Eras {
    pub(crate) fn new(rules: OwnershipRules, is_first_start: bool) -> Self {
        Self {
            watch: RefCell::new(EraWatch::new(rules.wait(), is_first_start)),
            lapsed: RefCell::default(),
            is_to_ask: Cell::default(),
            mark_revision: Cell::default(),
            is_held_logged: Cell::default(),
            told: Cell::default(),
        }
    }

    /// Whether to call the store at once. Reading this resets it.
    pub(crate) fn is_to_ask(&self) -> bool {
        self.is_to_ask.take()
    }

    /// Whether all claims of earlier eras have expired.
    pub(crate) fn is_settled(&self) -> bool {
        self.watch.borrow().is_settled(boot_time())
    }

    /// Whether this node waits for another node's answer about the era before it claims anything.
    pub(crate) fn awaits_word(&self) -> bool {
        self.watch.borrow().awaits_word(boot_time())
    }

    /// Called before all keys are read again.
    pub(crate) fn begin_whole(&self) {
        self.mark_revision.set(Revision::NONE);
    }
}

impl Knowledge {
    /// Checks whether the store has reported a later era.
    pub(crate) fn check_era(&self) {
        self.note_era(self.store.era());
    }

    /// Records the store's current era.
    pub(crate) fn note_era(&self, era: Option<StoreEra>) {
        let rise = self.eras.watch.borrow_mut().see(era, boot_time());
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
            engine.ownership.borrow_mut().lapse(now);
        }
        self.eras.lapsed.borrow_mut().extend(owned);
        let was_lending = self.lapse_lender(now);
        self.returning.note_restored();
        self.eras.is_to_ask.set(true);
        log_event!(
            self.log, Event::StoreEraRose,
            "from" => rise.from.0, "to" => rise.to.0, "engines" => engines,
            "was_lending" => was_lending
        );
    }

    /// Drops an engine whose claim was lost in a restore, because another node has claimed it
    /// since.
    pub(crate) fn forget_lapsed(&self, engine: &UpstreamId, why: &str) {
        if self.eras.lapsed.borrow_mut().remove(engine).is_some() {
            log_event!(
                self.log, Event::EngineReleased,
                "upstream" => engine.to_string(), "why" => why.to_owned()
            );
        }
    }

    /// Applies the settled era from the store.
    pub(crate) fn take_mark(&self, item: &Item) {
        self.eras.mark_revision.set(item.revision);
        match serde_json::from_slice::<Mark>(&item.value) {
            Ok(mark) => self.eras.watch.borrow_mut().take_mark(mark.era),
            Err(error) => log_event!(
                self.log, Event::MessageUndecodable,
                "key" => item.key.to_string(), "problem" => error.to_string()
            ),
        }
    }

    /// Whether this node uses the operators' configuration that it has read.
    pub(crate) fn goes_by_text(&self) -> bool {
        let mut watch = self.eras.watch.borrow_mut();
        if watch.has_text() {
            return true;
        }
        let known = self.text_known();
        let goes_by = known.configuration > 0 && watch.goes_by(known, boot_time());
        if watch.is_behind(known) && !self.eras.is_held_logged.replace(true) {
            log_event!(
                self.log, Event::TextHeldBack,
                "version" => known.configuration
            );
        }
        goes_by
    }

    /// Starts using the operators' configuration, if nothing prevents it any more.
    pub(crate) fn look_at_text(&self) {
        let has_text = self.eras.watch.borrow().has_text();
        if !has_text && self.goes_by_text() {
            self.publish();
        }
    }

    /// What this node tells others about the store's era; `None` while it is itself waiting for
    /// their answers.
    pub(crate) fn era_told(&self) -> Option<EraTold> {
        let watch = self.eras.watch.borrow();
        watch.told(self.text_known(), boot_time())
    }

    /// Applies what another node tells about the store's era.
    pub(crate) fn take_era_told(&self, told: EraTold) {
        let is_newer = self.eras.watch.borrow_mut().take_told(told, boot_time());
        if is_newer {
            self.eras.is_to_ask.set(true);
        }
    }

    /// The nodes to ask about the store's era.
    pub(super) fn era_asks(&self) -> Vec<SocketAddr> {
        match self.eras.watch.borrow().asks(boot_time()) {
            true => some_others(self),
            false => Vec::new(),
        }
    }

    /// The nodes to tell now of a recent restore.
    pub(super) fn era_news(&self) -> Vec<SocketAddr> {
        let told = self.eras.told.get();
        let is_due = told.is_none_or(|told| told.elapsed() >= TELL_INTERVAL);
        if !is_due || !self.eras.watch.borrow().is_news(boot_time()) {
            return Vec::new();
        }
        self.eras.told.set(Some(Instant::now()));
        some_others(self)
    }
}

/// Writes the era to the store once it is settled, if this node reads the store for others.
pub(crate) async fn mark_era(knowledge: &Knowledge) {
    let is_behind = knowledge.shown.is_behind(knowledge.configuration_version());
    let due = {
        let watch = knowledge.eras.watch.borrow();
        watch.mark_due(is_behind, boot_time())
    };
    let Some(era) = due.filter(|_| knowledge.reader().is_none()) else {
        return;
    };
    let txn = Txn {
        expects: vec![Expect {
            key: MARK_KEY.into(),
            revision: knowledge.eras.mark_revision.get(),
        }],
        puts: vec![Put {
            key: MARK_KEY.into(),
            value: to_json(&Mark { era }),
            lease: LeaseId::NONE,
        }],
        ..Txn::default()
    };
    // If another node wrote the key first, the watch delivers it.
    if let Ok(revision) = knowledge.store.commit(txn).await {
        knowledge.eras.mark_revision.set(revision);
        knowledge.eras.watch.borrow_mut().take_mark(era);
        log_event!(knowledge.log, Event::StoreEraSettled, "era" => era.0);
    }
}
