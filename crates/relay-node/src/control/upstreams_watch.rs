//! Watches the list of upstreams.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{EntryFault, LapsedEntries, Upstream, UpstreamList};
use nutmegsail_store::{Change, Item, Revision};
use nutmegsail_telemetry::{Event, log_event};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::control_state::ControlState;
use super::watch::Watcher;
use crate::clock::boot_time;

/// The number of unusable entries that are remembered, so that each is logged once.
const MAX_REJECTED: usize = 256;

/// Applies changes of the list of upstreams.
pub(crate) struct UpstreamsWatcher {
    control: Rc<ControlState>,
    listing: RefCell<UpstreamList>,
    /// The revisions of unusable entries, by key.
    rejected: RefCell<HashMap<Arc<str>, Revision>>,
    /// Upstreams whose entries may have expired during an outage of the store.
    lapsed: Rc<RefCell<LapsedEntries>>,
}

impl UpstreamsWatcher {
    pub(crate) fn new(control: Rc<ControlState>) -> Self {
        Self {
            control,
            listing: RefCell::default(),
            rejected: RefCell::default(),
            lapsed: Rc::default(),
        }
    }

    fn apply(&self, item: &Item) {
        let control = &self.control;
        let entry = match control.dialect.decode_upstream(&item.key, &item.value) {
            Ok(entry) => entry,
            Err(error) => {
                // The entry names no upstream, so the one that its key named before is no longer
                // listed.
                self.remove_named(self.name_of(&item.key).unwrap_or_default());
                return self.reject(item, &error.problem);
            }
        };
        let before = self.listing.borrow().process_of(&entry.upstream.name);
        let admitted = self.listing.borrow_mut().admit(entry, Instant::now());
        let upstream = match admitted {
            Ok(upstream) => upstream,
            Err(fault) => {
                if fault == EntryFault::NoStart {
                    self.remove_named(self.name_of(&item.key).unwrap_or_default());
                }
                return self.reject(item, &fault.to_string());
            }
        };
        if let Some(before) = before.filter(|before| *before != upstream.id) {
            control.record_restart(&before, &upstream.id);
        }
        let upstream = control.with_own_notice(upstream);
        let mut lapsed = self.lapsed.borrow_mut();
        lapsed.record_listed(&upstream.id);
        lapsed.record_written(&upstream.id, boot_time());
        drop(lapsed);
        for started_before in self.ids_of(&upstream.name) {
            if started_before != upstream.id {
                control.upstreams.borrow_mut().remove(&started_before);
            }
        }
        let mut upstreams = control.upstreams.borrow_mut();
        let took_work = upstreams
            .get(&upstream.id)
            .is_some_and(|known| known.takes_work());
        if took_work && !upstream.takes_work() {
            log_event!(
                control.log, Event::UpstreamLeaving,
                "upstream" => upstream.id.to_string(), "told_by" => "list"
            );
        }
        upstreams.insert(upstream.id.clone(), Arc::new(upstream));
    }

    /// Logs an unusable entry, once for each revision.
    fn reject(&self, item: &Item, problem: &str) {
        let mut rejected = self.rejected.borrow_mut();
        if rejected.len() >= MAX_REJECTED {
            rejected.clear();
        }
        if rejected.insert(Arc::clone(&item.key), item.revision) != Some(item.revision) {
            log_event!(
                self.control.log, Event::UpstreamEntryRejected,
                "key" => item.key.to_string(), "revision" => item.revision.to_string(),
                "problem" => problem.to_owned()
            );
        }
    }

    fn remove_named(&self, name: &str) {
        for id in self.ids_of(name) {
            self.remove(&id);
        }
    }

    /// Handles the removal of an entry, which may only have expired during an outage of the store.
    fn remove(&self, id: &UpstreamId) {
        let takes_work = |upstream: &Arc<Upstream>| upstream.takes_work();
        let mut upstreams = self.control.upstreams.borrow_mut();
        let took_work = upstreams.get(id).is_some_and(takes_work);
        if !took_work || !self.lapsed.borrow_mut().may_have_lapsed(id, boot_time()) {
            upstreams.remove(id);
        }
    }

    fn name_of<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.control.dialect.upstreams_prefix())
    }

    /// The upstreams known under `name`, one for each start of its process.
    fn ids_of(&self, name: &str) -> Vec<UpstreamId> {
        let upstreams = self.control.upstreams.borrow();
        let named = upstreams.values().filter(|known| &*known.name == name);
        named.map(|known| known.id.clone()).collect()
    }
}

/// Drops upstreams whose entries have not returned in time.
async fn drop_lapsed(control: Rc<ControlState>, lapsed: Rc<RefCell<LapsedEntries>>) {
    loop {
        let time_left = lapsed.borrow().time_left(boot_time());
        match time_left {
            // The store failed again, and the next read starts over.
            None => return,
            Some(Duration::ZERO) => break,
            Some(time_left) => sleep(time_left).await,
        }
    }
    let expired = lapsed.borrow_mut().take_expired(boot_time());
    for id in &expired {
        control.upstreams.borrow_mut().remove(id);
        log_event!(
            control.log, Event::UpstreamEntryExpired, "upstream" => id.to_string()
        );
    }
    if !expired.is_empty() {
        control.publish();
    }
}

impl Watcher for UpstreamsWatcher {
    fn prefix(&self) -> &str {
        self.control.dialect.upstreams_prefix()
    }

    fn on_snapshot(&self, items: &[&Item]) {
        let listed: HashSet<&str> = items
            .iter()
            .filter_map(|item| self.name_of(&item.key))
            .collect();
        let known: Vec<Arc<Upstream>> = {
            let upstreams = self.control.upstreams.borrow();
            upstreams.values().cloned().collect()
        };
        let unlisted = known.iter().filter(|known| !listed.contains(&*known.name));
        for upstream in unlisted {
            self.remove(&upstream.id);
        }
        let mut listing = self.listing.borrow_mut();
        listing.forget_old(|name| listed.contains(name), Instant::now());
        drop(listing);
        for item in items {
            self.apply(item);
        }
    }

    /// A heartbeat that changes nothing but its counter is not relevant.
    fn is_relevant(&self, change: &Change) -> bool {
        let Change::Put(item) = change else {
            return true;
        };
        let control = &self.control;
        // An entry that cannot be decoded is relevant, so that it is logged.
        let decoded = control.dialect.decode_upstream(&item.key, &item.value);
        decoded.map_or(true, |entry| {
            let known = control.upstream(&entry.upstream.id);
            let id = &entry.upstream.id;
            let lapsed = self.lapsed.borrow();
            let is_missing = lapsed.is_kept(id) || lapsed.awaits_write(id, boot_time());
            drop(lapsed);
            let listed = control.with_own_notice(entry.upstream);
            is_missing || known.is_none_or(|known| *known != listed)
        })
    }

    fn on_changes(&self, changes: &[&Change]) {
        for change in changes {
            match change {
                Change::Put(item) => self.apply(item),
                Change::Removed { key, .. } => {
                    if let Some(name) = self.name_of(key) {
                        self.remove_named(name);
                    }
                }
            }
        }
    }

    fn on_read_end(&self) {
        if self.lapsed.borrow_mut().record_read(boot_time()) {
            let (control, lapsed) = (Rc::clone(&self.control), Rc::clone(&self.lapsed));
            spawn_local(drop_lapsed(control, lapsed));
        }
    }

    fn on_unavailable(&self) {
        self.lapsed.borrow_mut().record_failure(boot_time());
    }
}
