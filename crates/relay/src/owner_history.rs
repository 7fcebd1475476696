//! Which nodes owned engines, as far as the changes of their owner keys show.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use nutmegsail_base::{NodeId, StoreNumber, UpstreamId};

use crate::Upstream;

/// A change of an engine's owner key, or its state in a list of all keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerChange {
    /// The engine.
    pub engine: UpstreamId,
    /// The store revision of the change.
    pub revision: StoreNumber,
    /// The owner; `None` if the key was removed.
    pub owner: Option<NodeId>,
    /// The engine's address, if it is listed.
    pub address: Option<SocketAddr>,
}

/// Whether another node owned an engine, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OtherOwner {
    /// None ever did.
    Never,
    /// None does now. One may have until then.
    Until(Duration),
    /// One may own it now.
    Now,
}

/// Which nodes owned engines, as far as the changes of their owner keys show.
///
/// A missing owner key says that an engine has no owner now, and nothing about a moment ago. Until
/// when another node may have owned the engine follows from the changes of its key, and only as far
/// as these are complete: an owner may come and go while this node cannot read the store, or between
/// two reads. Times are by a clock that also advances while the machine is suspended.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_base::StoreNumber;
/// use nutmegsail_relay::{OtherOwner, OwnerChange, OwnerHistory};
/// let seconds = Duration::from_secs;
/// let change = |number, owner: Option<&str>| OwnerChange {
///     engine: "engine-1".into(),
///     revision: StoreNumber::without_era(number),
///     owner: owner.map(Into::into),
///     address: None,
/// };
/// let mut history = OwnerHistory::new("node-1".into());
/// history.restart([], StoreNumber::without_era(5), Some(seconds(10)), |_, _| false);
/// let engine = "engine-1".into();
/// assert_eq!(history.other_owner(&engine, None), OtherOwner::Until(seconds(10)));
/// // Both changes arrive in one read.
/// history.record(change(6, Some("node-2")), seconds(20));
/// history.record(change(7, None), seconds(20));
/// assert_eq!(history.other_owner(&engine, None), OtherOwner::Until(seconds(20)));
/// ```
#[derive(Clone, Debug)]
pub struct OwnerHistory {
    node: NodeId,
    /// The revision up to which all changes are recorded; `None` before the first read.
    revision: Option<StoreNumber>,
    /// Whether any node may have owned any engine before the recorded changes.
    before_changes: OtherOwner,
    traces: HashMap<UpstreamId, OwnerTrace>,
}

/// The last owner of one engine.
#[derive(Clone, Debug)]
struct OwnerTrace {
    address: Option<SocketAddr>,
    owner: NodeId,
    /// Whether that node still owns it.
    is_owned: bool,
    /// Whether another node than this one owned it before `owner`.
    other_owner: OtherOwner,
    changed_at: Duration,
}

impl OwnerHistory {
    /// Creates an empty history for `node`.
    pub fn new(node: NodeId) -> Self {
        Self {
            node,
            revision: None,
            before_changes: OtherOwner::Now,
            traces: HashMap::new(),
        }
    }

    /// The revision up to which all changes are recorded; `None` before the first read.
    pub fn revision(&self) -> Option<StoreNumber> {
        self.revision
    }

    /// Starts over from the owner keys listed at `revision`, as earlier changes are unknown: until
    /// `unknown_until`, any node may have owned any engine; `None` if no node has run before. The
    /// engines whose key still has the revision of this node's claim, according to `is_own_claim`,
    /// keep their history.
    pub fn restart(
        &mut self,
        listed: impl IntoIterator<Item = OwnerChange>,
        revision: StoreNumber,
        unknown_until: Option<Duration>,
        is_own_claim: impl Fn(&UpstreamId, StoreNumber) -> bool,
    ) {
        let mut before = std::mem::take(&mut self.traces);
        self.before_changes = unknown_until.map_or(OtherOwner::Never, OtherOwner::Until);
        self.revision = None;
        for change in listed {
            if is_own_claim(&change.engine, change.revision) {
                let kept = before.remove_entry(&change.engine);
                self.traces.extend(kept);
            }
            self.record(change, unknown_until.unwrap_or_default());
        }
        self.revision = Some(revision);
    }

    /// Records a change that was read at `now`. One that is recorded already is ignored.
    pub fn record(&mut self, change: OwnerChange, now: Duration) {
        if self.revision.is_some_and(|known| change.revision <= known) {
            return;
        }
        let Some(owner) = change.owner else {
            if let Some(trace) = self.traces.get_mut(&change.engine) {
                trace.end(&self.node, now);
            }
            return;
        };
        let other_owner = self.before_changes;
        let trace = self.traces.entry(change.engine);
        let trace = trace.or_insert_with(|| OwnerTrace {
            address: None,
            owner: owner.clone(),
            is_owned: false,
            other_owner,
            changed_at: now,
        });
        trace.end(&self.node, now);
        trace.address = change.address.or(trace.address);
        trace.owner = owner;
        trace.is_owned = true;
    }

    /// Records that all changes up to `revision` are recorded.
    pub fn advance(&mut self, revision: StoreNumber) {
        self.revision = self.revision.map(|known| known.max(revision));
    }

    /// Records the address of an engine that is listed.
    pub fn record_address(&mut self, engine: &UpstreamId, address: SocketAddr) {
        if let Some(trace) = self.traces.get_mut(engine) {
            trace.address = Some(address);
        }
    }

    /// Whether another node owned `engine`, or another process under its name or at its address.
    pub fn other_owner(&self, engine: &UpstreamId, address: Option<SocketAddr>) -> OtherOwner {
        let name = Upstream::name_of(engine);
        let is_same_engine = |id: &UpstreamId, trace: &OwnerTrace| {
            Upstream::name_of(id) == name || (address.is_some() && trace.address == address)
        };
        let traces = self.traces.iter();
        let traces = traces.filter(|(id, trace)| is_same_engine(id, trace));
        let by_traces = traces.map(
            |(_, trace)| match trace.is_owned && trace.owner != self.node {
                true => OtherOwner::Now,
                false => trace.other_owner,
            },
        );
        let untraced = match self.traces.contains_key(engine) {
            true => OtherOwner::Never,
            false => self.before_changes,
        };
        by_traces.fold(untraced, Ord::max)
    }

    /// The last owner of the engine at `address`.
    pub fn last_owner(&self, address: SocketAddr) -> Option<&NodeId> {
        let traces = self.traces.values();
        let at_address = traces.filter(|trace| trace.address == Some(address));
        let last = at_address.max_by_key(|trace| (trace.is_owned, trace.changed_at));
        last.map(|trace| &trace.owner)
    }

    /// Drops engines that have had no owner for `lifetime`.
    pub fn prune(&mut self, lifetime: Duration, now: Duration) {
        self.traces
            .retain(|_, trace| trace.is_owned || now < trace.changed_at + lifetime);
    }
}

impl OwnerTrace {
    /// Ends the time of its current owner, if it has one.
    fn end(&mut self, node: &NodeId, now: Duration) {
        if std::mem::take(&mut self.is_owned) && self.owner != *node {
            self.other_owner = OtherOwner::Until(now);
        }
        self.changed_at = now;
    }
}
