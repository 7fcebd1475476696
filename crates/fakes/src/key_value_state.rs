//! The state of the key-value stand-in: items, history, leases, rates.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_store::{
    Change, Changes, Item, KeyValueError, LeaseGrant, LeaseId, Page, Revision, Txn,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::Knobs;
use crate::knobs::happens;
use crate::rate_limit::RateLimit;

/// Limits of the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyValueLimits {
    /// Writes a second; leases count as writes.
    pub writes_per_s: f64,
    /// Reads a second; a waiting watch counts as one.
    pub reads_per_s: f64,
    /// The largest value.
    pub value_bytes: usize,
    /// The longest key.
    pub key_bytes: usize,
    /// Different keys in one transaction.
    pub txn_entries: usize,
    /// Items in one answer to a range.
    pub page_items: usize,
    /// Changes kept for watches.
    pub history_len: usize,
}

impl Default for KeyValueLimits {
    fn default() -> Self {
        Self {
            writes_per_s: 500.0,
            reads_per_s: 2000.0,
            value_bytes: 1_000_000,
            key_bytes: 200,
            txn_entries: 32,
            page_items: 200,
            history_len: 10_000,
        }
    }
}

/// Calls that arrived, by kind, whatever came of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CallCounts {
    /// Reads of one key.
    pub gets: u64,
    /// Reads of a range.
    pub ranges: u64,
    /// Watches; a waiting one counts once.
    pub watches: u64,
    /// Transactions.
    pub txns: u64,
    /// Leases granted, kept and ended.
    pub leases: u64,
}

impl CallCounts {
    /// All calls.
    pub fn total(&self) -> u64 {
        self.gets + self.ranges + self.watches + self.txns + self.leases
    }
}

#[derive(Clone, Debug)]
struct Lease {
    ttl: Duration,
    ends_at: Instant,
}

/// What a copy of the store holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Contents {
    items: BTreeMap<Arc<str>, Item>,
    revision: u64,
}

/// How a write fared, as its caller sees it.
pub(crate) enum WriteFate {
    Answered(Result<Revision, KeyValueError>),
    AnswerLost,
}

/// More than floats keep exact: services call leases as they like.
const FIRST_LEASE: u64 = (1 << 53) + 1;

#[derive(Debug)]
pub(crate) struct KeyValueState {
    pub(crate) knobs: Knobs,
    pub(crate) counts: CallCounts,
    pub(crate) limits: KeyValueLimits,
    contents: Contents,
    copy: Contents,
    history: VecDeque<(u64, Change)>,
    forgotten_up_to: u64,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    late_writes: Vec<(Instant, Txn)>,
    write_rate: RateLimit,
    read_rate: RateLimit,
    rng: ChaCha8Rng,
}

impl KeyValueState {
    pub(crate) fn new(limits: KeyValueLimits, seed: u64, now: Instant) -> Self {
        Self {
            knobs: Knobs::default(),
            counts: CallCounts::default(),
            write_rate: RateLimit::new(limits.writes_per_s, limits.writes_per_s, now),
            read_rate: RateLimit::new(limits.reads_per_s, limits.reads_per_s, now),
            limits,
            contents: Contents::default(),
            copy: Contents::default(),
            history: VecDeque::new(),
            forgotten_up_to: 0,
            leases: BTreeMap::new(),
            next_lease: FIRST_LEASE,
            late_writes: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Carries out what is due: late writes and the ends of leases.
    pub(crate) fn settle(&mut self, now: Instant) {
        let (due, waiting) = std::mem::take(&mut self.late_writes)
            .into_iter()
            .partition(|(due_at, _)| *due_at <= now);
        self.late_writes = waiting;
        for (_, txn) in due {
            // A late write whose condition no longer holds has no effect and no reader.
            let _ = self.apply(&txn);
        }
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.remove_lease(id);
        }
    }

    pub(crate) fn admit_read(&mut self, now: Instant) -> Result<(), KeyValueError> {
        self.settle(now);
        self.refuse_if_out()?;
        let allowed = self.read_rate.try_take(now);
        allowed.then_some(()).ok_or(KeyValueError::Refused)
    }

    pub(crate) fn admit_write(&mut self, now: Instant) -> Result<(), KeyValueError> {
        self.settle(now);
        self.refuse_if_out()?;
        let allowed = self.write_rate.try_take(now);
        allowed.then_some(()).ok_or(KeyValueError::Refused)
    }

    fn refuse_if_out(&self) -> Result<(), KeyValueError> {
        let is_up = !self.knobs.outage;
        is_up.then_some(()).ok_or(KeyValueError::Unavailable)
    }

    fn read_view(&mut self) -> &Contents {
        if happens(&mut self.rng, self.knobs.stale_read_share) {
            &self.copy
        } else {
            &self.contents
        }
    }

    pub(crate) fn get(&mut self, key: &str) -> Option<Item> {
        self.read_view().items.get(key).cloned()
    }

    pub(crate) fn range(&mut self, prefix: &str, after: Option<&str>) -> Page {
        let page_items = self.limits.page_items;
        let view = self.read_view();
        let start = match after {
            Some(after) if after >= prefix => Bound::Excluded(after),
            _ => Bound::Included(prefix),
        };
        let mut matching = view
            .items
            .range::<str, _>((start, Bound::Unbounded))
            .map(|(_, item)| item)
            .take_while(|item| item.key.starts_with(prefix));
        let items = matching.by_ref().take(page_items).cloned().collect();
        Page {
            items,
            has_more: matching.next().is_some(),
            revision: Revision::without_era(view.revision),
        }
    }

    /// Changes after `after`; an empty list means that there are none yet.
    pub(crate) fn changes(&self, prefix: &str, after: u64) -> Result<Changes, KeyValueError> {
        // A watch from beyond the newest revision comes from before a restore of an older copy.
        if after < self.forgotten_up_to || after > self.contents.revision {
            return Err(KeyValueError::Compacted);
        }
        let changes = self
            .history
            .iter()
            .filter(|(revision, change)| *revision > after && key_of(change).starts_with(prefix))
            .map(|(_, change)| change.clone())
            .collect();
        Ok(Changes {
            changes,
            revision: Revision::without_era(self.contents.revision),
        })
    }

    pub(crate) fn commit(&mut self, txn: Txn, now: Instant) -> WriteFate {
        if happens(&mut self.rng, self.knobs.late_share) {
            self.late_writes.push((now + self.knobs.late(), txn));
            return WriteFate::AnswerLost;
        }
        let answer = self.apply(&txn);
        if happens(&mut self.rng, self.knobs.lost_answer_share) {
            return WriteFate::AnswerLost;
        }
        WriteFate::Answered(answer)
    }

    fn apply(&mut self, txn: &Txn) -> Result<Revision, KeyValueError> {
        self.check_limits(txn)?;
        self.check_expects(txn)?;
        let lease_gone =
            |lease: LeaseId| lease != LeaseId::NONE && !self.leases.contains_key(&lease.number());
        if txn.puts.iter().any(|put| lease_gone(put.lease)) {
            return Err(KeyValueError::LeaseGone);
        }
        if txn.puts.is_empty() && txn.removes.is_empty() {
            return Ok(Revision::without_era(self.contents.revision));
        }
        self.contents.revision += 1;
        let revision = Revision::without_era(self.contents.revision);
        for put in &txn.puts {
            let item = Item {
                key: Arc::clone(&put.key),
                value: put.value.clone(),
                revision,
                lease: put.lease,
            };
            self.contents
                .items
                .insert(Arc::clone(&put.key), item.clone());
            self.remember(Change::Put(item));
        }
        for key in &txn.removes {
            self.remove_key(key);
        }
        Ok(revision)
    }

    fn check_limits(&self, txn: &Txn) -> Result<(), KeyValueError> {
        let keys: BTreeSet<&Arc<str>> = txn
            .expects
            .iter()
            .map(|expect| &expect.key)
            .chain(txn.puts.iter().map(|put| &put.key))
            .chain(&txn.removes)
            .collect();
        let key_too_long = keys.iter().any(|key| key.len() > self.limits.key_bytes);
        let value_too_large =
            |put: &nutmegsail_store::Put| put.value.len() > self.limits.value_bytes;
        let too_large = keys.len() > self.limits.txn_entries
            || key_too_long
            || txn.puts.iter().any(value_too_large);
        (!too_large).then_some(()).ok_or(KeyValueError::TooLarge)
    }

    fn check_expects(&self, txn: &Txn) -> Result<(), KeyValueError> {
        let items = &self.contents.items;
        let revision_of = |key: &str| items.get(key).map(|item| item.revision).unwrap_or_default();
        let holds = txn
            .expects
            .iter()
            .all(|expect| revision_of(&expect.key) == expect.revision);
        if holds {
            return Ok(());
        }
        let current = txn
            .expects
            .iter()
            .filter_map(|expect| items.get(&expect.key).cloned())
            .collect();
        Err(KeyValueError::Conflict { current })
    }

    fn remove_key(&mut self, key: &Arc<str>) {
        if self.contents.items.remove(key).is_some() {
            self.remember(Change::Removed {
                key: Arc::clone(key),
                revision: Revision::without_era(self.contents.revision),
            });
        }
    }

    fn remember(&mut self, change: Change) {
        self.history.push_back((self.contents.revision, change));
        while self.history.len() > self.limits.history_len {
            if let Some((revision, _)) = self.history.pop_front() {
                self.forgotten_up_to = revision;
            }
        }
    }

    pub(crate) fn grant_lease(&mut self, ttl: Duration, now: Instant) -> LeaseGrant {
        let id = self.next_lease;
        self.next_lease += 1;
        let ends_at = now + ttl;
        self.leases.insert(id, Lease { ttl, ends_at });
        LeaseGrant {
            lease: LeaseId::without_era(id),
            ttl,
        }
    }

    pub(crate) fn renew_lease(&mut self, id: u64, now: Instant) -> Result<(), KeyValueError> {
        let lease = self.leases.get_mut(&id).ok_or(KeyValueError::LeaseGone)?;
        lease.ends_at = now + lease.ttl;
        Ok(())
    }

    pub(crate) fn remove_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let bound: Vec<Arc<str>> = self
            .contents
            .items
            .values()
            .filter(|item| item.lease.number() == id)
            .map(|item| Arc::clone(&item.key))
            .collect();
        if bound.is_empty() {
            return;
        }
        self.contents.revision += 1;
        for key in bound {
            self.remove_key(&key);
        }
    }

    pub(crate) fn forget_history(&mut self) {
        self.history.clear();
        self.forgotten_up_to = self.contents.revision;
    }

    pub(crate) fn take_copy(&mut self) {
        self.copy = self.contents.clone();
    }

    /// Goes back to the copy, its revision included, as a restore from a backup would.
    pub(crate) fn restore_copy(&mut self) {
        self.contents = self.copy.clone();
        self.history.clear();
        self.forgotten_up_to = self.contents.revision;
    }
}

fn key_of(change: &Change) -> &str {
    match change {
        Change::Put(item) => &item.key,
        Change::Removed { key, .. } => key,
    }
}
