//! Lends out this failure domain's share of the teams' quotas, if this node is the domain's lender.
//!
//! The lender's key is written by compare-and-swap under the node's lease. A lender relies on a
//! read that showed its key for [`CONFIRMATION_LIFETIME`] only, and its successor waits as long
//! before it lends, so two lenders never fill the same buckets at once.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegsail_base::FailureDomain;
use nutmegsail_quota::{InitialFill, Lender, LoanId, QuotaMessage};
use nutmegsail_relay::{NodeRecord, OrderPermit, Ownership, OwnershipRules, Predecessor};
use nutmegsail_store::{Condition, Put, Revision, Txn};
use nutmegsail_telemetry::{Event, log_event};

use super::control_state::{ControlState, Owner};
use super::owner_record::{OwnerRecord, OwnerWait, predecessor_of_own};
use super::owners::to_json;
use crate::clock::boot_time;

/// The prefix of lender keys; the failure domain follows.
pub(crate) const LENDER_PREFIX: &str = "nutmegsail/lender/";

/// How long a read that showed the lender's key is relied on. A longer time leaves a failure domain
/// without a lender for longer after a failure; a shorter one stops lending in a domain that is cut
/// off while its nodes still accept keys.
const CONFIRMATION_LIFETIME: Duration = Duration::from_millis(4_000);

const RULES: OwnershipRules = OwnershipRules {
    hand_over: Duration::ZERO,
    confirmation: CONFIRMATION_LIFETIME,
};

/// How long the preferred node has to claim the lender's key before any other node of the failure
/// domain claims it.
const CLAIM_DELAY: Duration = Duration::from_millis(1_500);

/// The lenders of all failure domains, and the state of this node's own one.
#[derive(Debug, Default)]
pub(crate) struct Lending {
    lenders: RefCell<HashMap<FailureDomain, Owner>>,
    own: RefCell<Option<OwnLender>>,
    /// The configuration version whose quotas the lender uses.
    version: Cell<u64>,
    /// Whether this failure domain ever had a lender, or may have had one that this node missed, in
    /// which case a new one starts with empty buckets.
    had_lender: Cell<bool>,
    /// Whether all keys were read since this node started.
    has_read: Cell<bool>,
    /// Since when this failure domain is known to have no lender.
    no_lender_since: Cell<Option<Instant>>,
}

#[derive(Debug)]
struct OwnLender {
    lender: Lender,
    ownership: Ownership,
    /// Whether the store watch has delivered the lender's key.
    is_key_seen: bool,
    /// When the buckets are reset to empty, because until then another lender may have filled the
    /// same ones.
    resumes_at: Option<Duration>,
}

impl Lending {
    /// Records that all keys were read. A lender may have come and gone since the last time.
    pub(crate) fn record_all_read(&self) {
        if self.has_read.replace(true) {
            self.had_lender.set(true);
        }
    }
}

impl ControlState {
    /// Applies a lender's key from the store.
    pub(crate) fn apply_lender_key(&self, domain: &str, record: &OwnerRecord, revision: Revision) {
        let domain = FailureDomain::from(domain);
        if domain == self.settings.failure_domain {
            self.lending.had_lender.set(true);
            let mut own = self.lending.own.borrow_mut();
            let has_lost_claim = own
                .as_ref()
                .is_some_and(|own| own.ownership.has_lost_claim());
            let is_own_restored_key = has_lost_claim && record.node == self.settings.node;
            let claim = own.as_ref().map(|own| own.ownership.claim());
            if claim.is_some_and(|claim| claim < *revision) && !is_own_restored_key {
                drop(own);
                self.release_lender("another claim was written");
            } else if let Some(own) = own.as_mut().filter(|_| claim == Some(*revision)) {
                own.is_key_seen = true;
            }
        }
        let owner = Owner::new(record.clone(), revision);
        self.lending.lenders.borrow_mut().insert(domain, owner);
    }

    /// Applies the removal of a lender's key.
    pub(crate) fn remove_lender_key(&self, domain: &str) {
        self.lending.lenders.borrow_mut().remove(domain);
        if *domain == **self.settings.failure_domain && !self.has_lost_lender_claim() {
            self.release_lender("the key was removed");
        }
    }

    /// The keys of all known lenders.
    pub(crate) fn lender_keys(&self) -> Vec<String> {
        let lenders = self.lending.lenders.borrow();
        let domains = lenders.keys();
        domains
            .map(|domain| format!("{LENDER_PREFIX}{domain}"))
            .collect()
    }

    /// The addresses of the lenders, this failure domain's first.
    pub(crate) fn lender_addresses(&self) -> Vec<SocketAddr> {
        let lenders = self.lending.lenders.borrow();
        let nodes = self.nodes.borrow();
        let own_domain = &self.settings.failure_domain;
        let mut found: Vec<(bool, &FailureDomain, SocketAddr)> = lenders
            .iter()
            .filter_map(|(domain, owner)| {
                let node = nodes.get(&owner.node)?;
                Some((domain != own_domain, domain, node.address))
            })
            .collect();
        found.sort();
        found.into_iter().map(|(_, _, address)| address).collect()
    }

    /// Records that this node has seen all changes up to some time after `asked`, which confirms
    /// that it is still the lender.
    pub(crate) fn confirm_lender(&self, asked: Duration) {
        let mut own = self.lending.own.borrow_mut();
        if let Some(own) = own.as_mut().filter(|own| own.is_key_seen) {
            own.ownership.confirm(asked);
        }
    }

    /// Applies the current configuration's quotas to the lender.
    ///
    /// The buckets start only once this node may lend. If they were filled while the previous
    /// lender may still lend, the same tokens would exist twice.
    pub(crate) fn apply_quotas(&self) {
        let table = self.table.borrow();
        let Some(table) = table.as_ref() else {
            return;
        };
        let mut own = self.lending.own.borrow_mut();
        let Some(own) = own.as_mut().filter(|own| own.may_lend(boot_time())) else {
            return;
        };
        if own.resumes_at.take_if(|at| *at <= boot_time()).is_some() {
            own.lender = self.new_lender(InitialFill::Empty);
            self.lending.version.set(0);
        }
        if self.lending.version.replace(table.version) != table.version {
            let no_quotas = HashMap::new();
            let quotas = table.teams().map_or(&no_quotas, |teams| teams.quotas());
            own.lender.set_quotas(quotas, boot_time());
        }
    }

    /// Updates the gauges of the remaining quotas.
    pub(crate) fn update_quota_gauges(&self) {
        let mut own = self.lending.own.borrow_mut();
        let levels = own
            .as_mut()
            .map(|own| own.lender.bucket_levels(boot_time()));
        for (team, tokens) in levels.into_iter().flatten() {
            self.shared.metrics.teams.left(&team, tokens);
        }
    }

    /// Handles a message about quotas; answers and further messages are passed to `send`.
    pub(crate) fn handle_quota_message(
        &self,
        message: QuotaMessage,
        sender: SocketAddr,
        send: impl Fn(QuotaMessage, SocketAddr),
    ) {
        self.apply_quotas();
        let mut own = self.lending.own.borrow_mut();
        let now = boot_time();
        // A node that gets no answer asks another lender.
        let Some(own) = own.as_mut().filter(|own| own.may_lend(now)) else {
            return;
        };
        match message {
            QuotaMessage::LoanRequest(ask) => {
                let lent = own.lender.lend_to_node(&ask, now);
                let is_short = lent.tokens == 0;
                send(QuotaMessage::LoanReply(lent), sender);
                if is_short {
                    let others = self.other_lenders();
                    let asks = own.lender.borrow_requests(&ask.team, others.len(), now);
                    for (lender, ask) in others.into_iter().zip(asks) {
                        send(QuotaMessage::LenderLoanRequest(ask), lender);
                    }
                }
            }
            QuotaMessage::LenderLoanRequest(ask) => {
                let lent = own.lender.lend_to_lender(&ask, now);
                if lent.tokens > 0 {
                    send(QuotaMessage::LenderLoanReply(lent), sender);
                }
            }
            QuotaMessage::LenderLoanReply(lent) => own.lender.receive_loan(&lent, now),
            QuotaMessage::LoanReply(_) => {}
        }
    }

    fn new_lender(&self, first_fill: InitialFill) -> Lender {
        let bounds = self.settings.quota_bounds();
        Lender::new(bounds, first_fill, LoanId(rand::random()))
    }

    fn other_lenders(&self) -> Vec<SocketAddr> {
        let own_address = self.settings.nodes_address;
        let lenders = self.lender_addresses().into_iter();
        lenders.filter(|address| *address != own_address).collect()
    }

    /// Records that the lender's claim was lost when the store was restored from an older copy.
    /// Returns whether this node was the lender.
    pub(crate) fn lose_lender_claim(&self, now: Duration) -> bool {
        let mut own = self.lending.own.borrow_mut();
        if let Some(own) = own.as_mut() {
            own.ownership.lose_claim(now);
            own.is_key_seen = false;
        }
        own.is_some()
    }

    fn has_lost_lender_claim(&self) -> bool {
        let own = self.lending.own.borrow();
        own.as_ref()
            .is_some_and(|own| own.ownership.has_lost_claim())
    }

    fn release_lender(&self, why: &str) {
        if self.lending.own.take().is_some() {
            log_event!(self.log, Event::LenderReleased, "why" => why.to_owned());
        }
    }

    /// Whether any team in the configuration has a quota.
    fn has_quotas(&self) -> bool {
        let table = self.table.borrow();
        let teams = table.as_ref().and_then(|table| table.teams());
        teams.is_some_and(|teams| !teams.quotas().is_empty())
    }

    /// Whether this node should be the lender: the failure domain's last node by id, as the first
    /// ones already read the store for the others.
    fn is_preferred_lender(&self) -> bool {
        let nodes = self.nodes.borrow();
        let own_domain = &self.settings.failure_domain;
        let local = nodes
            .values()
            .filter(|node| node.failure_domain == *own_domain);
        let last: Option<&NodeRecord> = local.max_by(|a, b| a.node.cmp(&b.node));
        last.is_some_and(|last| last.node == self.settings.node)
    }

    /// The revision at which this node is to claim the lender's key now, if at all. A key of an
    /// earlier process of this node is claimed again at once, any other only if `may_claim_new`.
    fn revision_to_claim(&self, may_claim_new: bool) -> Option<Revision> {
        let lenders = self.lending.lenders.borrow();
        let lender = lenders.get(&self.settings.failure_domain);
        if let Some(owner) = lender {
            self.lending.no_lender_since.set(None);
            let is_of_earlier_process = owner.node == self.settings.node;
            return is_of_earlier_process.then_some(owner.revision);
        }
        if self.has_lost_lender_claim() {
            return Some(Revision::NONE);
        }
        if !may_claim_new {
            return None;
        }
        let now = Instant::now();
        let since = self.lending.no_lender_since.get().unwrap_or(now);
        self.lending.no_lender_since.set(Some(since));
        let is_late = now.duration_since(since) > CLAIM_DELAY;
        (is_late || self.is_preferred_lender()).then_some(Revision::NONE)
    }
}

impl OwnLender {
    /// Records that the key, lost when the store was restored, was written again.
    fn reclaim(&mut self, revision: Revision, asked_at: Duration, now: Duration) {
        self.ownership = self.ownership.reclaimed(*revision, RULES, asked_at, now);
        self.resumes_at = self.ownership.resumes_at(now);
    }

    fn may_lend(&self, now: Duration) -> bool {
        matches!(self.ownership.permit(now), OrderPermit::Granted { .. })
    }
}

/// Claims the lender's key if this node should be the lender.
pub(crate) async fn claim_lender(control: &ControlState, may_claim_new: bool) {
    let is_lender = control.lending.own.borrow().is_some();
    if (is_lender && !control.has_lost_lender_claim()) || !control.has_quotas() {
        return;
    }
    let Some(before) = control.revision_to_claim(may_claim_new) else {
        return;
    };
    let key = format!("{LENDER_PREFIX}{}", control.settings.failure_domain);
    let lease = control.lease.get();
    let first_fill = first_fill(control, before);
    let predecessor = predecessor(control, before, first_fill);
    let record = OwnerRecord {
        node: control.settings.node.clone(),
        lease,
        waits: OwnerWait::for_successor(control, predecessor, RULES),
    };
    let txn = Txn {
        expects: vec![Condition {
            key: key.as_str().into(),
            revision: before,
        }],
        puts: vec![Put {
            key: key.into(),
            value: to_json(&record),
            lease,
        }],
        ..Txn::default()
    };
    let asked_at = boot_time();
    // If the claim was written despite an error, the watch shows it as one of an earlier process of
    // this node, and it is made again.
    if let Ok(revision) = control.store.commit(txn).await {
        let owner = Owner::new(record, revision);
        record_lender_claim(control, owner, predecessor, first_fill, asked_at);
    }
}

fn record_lender_claim(
    control: &ControlState,
    owner: Owner,
    predecessor: Predecessor,
    first_fill: InitialFill,
    asked_at: Duration,
) {
    let (revision, now) = (owner.revision, boot_time());
    let lending = &control.lending;
    lending.had_lender.set(true);
    let mut own = lending.own.borrow_mut();
    match own.as_mut() {
        Some(own) if predecessor == Predecessor::Another => own.reclaim(revision, asked_at, now),
        _ => {
            *own = Some(OwnLender {
                lender: control.new_lender(first_fill),
                ownership: Ownership::claimed(*revision, predecessor, RULES, asked_at, now),
                is_key_seen: false,
                resumes_at: None,
            });
            lending.version.set(0);
        }
    }
    drop(own);
    control.apply_quotas();
    let domain = control.settings.failure_domain.clone();
    lending.lenders.borrow_mut().insert(domain, owner);
    control.publish();
    log_event!(
        control.log, Event::LenderTaken,
        "revision" => revision.to_string(), "first_fill" => format!("{first_fill:?}")
    );
}

/// Buckets start full only if no earlier lender can have filled them.
fn first_fill(control: &ControlState, before: Revision) -> InitialFill {
    let had_lender = control.lending.had_lender.get();
    match before == Revision::NONE && control.is_new_system() && !had_lender {
        true => InitialFill::Full,
        false => InitialFill::Empty,
    }
}

/// Which lender may still lend when the key at revision `before` is replaced.
fn predecessor(control: &ControlState, before: Revision, first_fill: InitialFill) -> Predecessor {
    if first_fill == InitialFill::Full {
        return Predecessor::None;
    }
    if before == Revision::NONE || !control.eras.is_settled() {
        return Predecessor::Another;
    }
    let lenders = control.lending.lenders.borrow();
    let lender = lenders.get(&control.settings.failure_domain);
    predecessor_of_own(control, lender.and_then(|lender| lender.waits.as_ref()))
}
