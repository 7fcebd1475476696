//! Which node claimed each engine last, and until when it owned it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::{NodeId, StoreNumber, UpstreamId};

use crate::{OwnershipRules, Predecessor, Upstream};

/// A node's claim on an engine, as the store shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineClaim {
    /// The engine.
    pub engine: UpstreamId,
    /// The engine's address, if known.
    pub address: Option<SocketAddr>,
    /// The node that made the claim.
    pub node: NodeId,
    /// The store revision at which it was written.
    pub revision: StoreNumber,
    /// Whose orders had to arrive first, if this node made the claim.
    pub predecessor: Predecessor,
}

/// A stored claim that nobody needs any more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnusedClaim {
    /// The name of the engine.
    pub name: Arc<str>,
    /// The revision of the store's record of the claim.
    pub revision: StoreNumber,
    /// The claim, if it could be read.
    pub claim: Option<EngineClaim>,
    /// Whether the owner key is still there.
    pub is_owned: bool,
}

/// Which node claimed each engine last, and until when it owned it.
///
/// The owner key of an engine is removed with the lease of its owner, so a missing one says nothing
/// about a moment ago. Each claim therefore also replaces a lasting record of the last claim on the
/// engine's name, and only if that record is still the one that the claimant has read. A node thus
/// takes an engine only if it knows who owned it before, whatever it missed while it did not read the
/// store. Times are by a clock that also advances while the machine is suspended.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_base::StoreNumber;
/// use nutmegsail_relay::{EngineClaim, OwnerHistory, OwnershipRules, Predecessor};
/// let seconds = Duration::from_secs;
/// let rules = OwnershipRules { hand_over: seconds(3), confirmation: seconds(4) };
/// let mut history = OwnerHistory::new("node-1".into(), rules);
/// let engine = "engine-1@1700".into();
/// assert_eq!(history.predecessor(&engine, None, seconds(10)), Predecessor::None);
/// history.record_claim(EngineClaim {
///     engine: "engine-1@1700".into(),
///     address: None,
///     node: "node-2".into(),
///     revision: StoreNumber::without_era(7),
///     predecessor: Predecessor::None,
/// }, seconds(20));
/// assert_eq!(history.predecessor(&engine, None, seconds(20)), Predecessor::Another);
/// history.record_end(&engine, seconds(30));
/// let orders_end = Duration::from_millis(37_400);
/// assert_eq!(history.predecessor(&engine, None, seconds(31)), Predecessor::Earlier { orders_end });
/// assert_eq!(history.predecessor(&engine, None, seconds(40)), Predecessor::None);
/// ```
#[derive(Clone, Debug)]
pub struct OwnerHistory {
    node: NodeId,
    rules: OwnershipRules,
    /// The last claim on the engine of each name.
    claims: HashMap<Arc<str>, LastClaim>,
    /// The revisions of the stored records of last claims, by engine name.
    stored: HashMap<Arc<str>, StoreNumber>,
    /// When all keys were last read, so that nothing was known of the time before but what the store
    /// still showed.
    all_read_at: Duration,
}

/// The last claim on the engine of one name.
#[derive(Clone, Debug)]
struct LastClaim {
    claim: EngineClaim,
    /// Whether the claim is in force, as far as is known.
    is_owned: bool,
    /// When the claim was read not to be in force any more.
    ended_at: Duration,
    /// When the engine was last listed.
    listed_at: Duration,
}

impl OwnerHistory {
    /// Creates an empty history for `node`.
    pub fn new(node: NodeId, rules: OwnershipRules) -> Self {
        Self {
            node,
            rules,
            claims: HashMap::new(),
            stored: HashMap::new(),
            all_read_at: Duration::ZERO,
        }
    }

    /// Records a claim, from its owner key or from the record of the last claim.
    pub fn record_claim(&mut self, claim: EngineClaim, now: Duration) {
        let name = Upstream::name_of(&claim.engine);
        let known = self.claims.get(name);
        if known.is_some_and(|known| known.claim.revision >= claim.revision) {
            return;
        }
        let last = LastClaim {
            claim,
            is_owned: true,
            ended_at: Duration::ZERO,
            listed_at: now,
        };
        self.claims.insert(name_of(&last.claim.engine), last);
    }

    /// Records that the store's record of the last claim on `name` has `revision`.
    pub fn record_stored(&mut self, name: &str, revision: StoreNumber) {
        let stored = self.stored.entry(name.into()).or_insert(revision);
        *stored = revision.max(*stored);
    }

    /// Records that the store has no record of the last claim on `name`.
    pub fn record_unstored(&mut self, name: &str) {
        self.stored.remove(name);
    }

    /// The revision of the stored record of the last claim on `name`.
    pub fn stored_revision(&self, name: &str) -> Option<StoreNumber> {
        self.stored.get(name).copied()
    }

    /// The names of the engines of which the store has the last claim.
    pub fn stored_names(&self) -> impl Iterator<Item = &str> {
        self.stored.keys().map(|name| &**name)
    }

    /// Records that the owner key of `engine` is missing.
    pub fn record_end(&mut self, engine: &UpstreamId, now: Duration) {
        let last = self.claims.get_mut(Upstream::name_of(engine));
        if let Some(last) = last.filter(|last| last.claim.engine == *engine) {
            last.end(now);
        }
    }

    /// Records that all keys were read: the claims in force are those for which `is_listed` is true
    /// of the engine.
    pub fn record_all_read(&mut self, is_listed: impl Fn(&UpstreamId) -> bool, now: Duration) {
        for last in self.claims.values_mut() {
            if !is_listed(&last.claim.engine) {
                last.end(now);
            }
        }
        self.all_read_at = now;
    }

    /// Whose orders may be in flight to `engine`: those of a node that claimed it, an earlier process
    /// of it, or one at its address.
    pub fn predecessor(
        &self,
        engine: &UpstreamId,
        address: Option<SocketAddr>,
        now: Duration,
    ) -> Predecessor {
        let name = Upstream::name_of(engine);
        let is_same_engine = |claim: &EngineClaim| {
            Upstream::name_of(&claim.engine) == name
                || (address.is_some() && claim.address == address)
        };
        let claims = self.claims.values();
        let claims = claims.filter(|last| is_same_engine(&last.claim));
        let by_claims = claims.map(|last| self.after(last));
        let predecessor = by_claims.fold(self.unstored(), Ord::max);
        predecessor.unless_arrived(now)
    }

    /// Whose orders may be in flight to any engine, from nodes of an earlier release. They write owner
    /// keys without a record of the claim, so one of them may have come and gone unseen.
    fn unstored(&self) -> Predecessor {
        let is_unstored = |(name, last): (&Arc<str>, &LastClaim)| {
            let stored = self.stored.get(name);
            stored.is_none_or(|stored| *stored < last.claim.revision)
        };
        match self.claims.iter().any(is_unstored) {
            true => self.rules.earlier_until(self.all_read_at),
            false => Predecessor::None,
        }
    }

    /// Whose orders may be in flight after a claim.
    fn after(&self, last: &LastClaim) -> Predecessor {
        if last.claim.node == self.node {
            return last.claim.predecessor;
        }
        match last.is_owned {
            true => Predecessor::Another,
            false => self.rules.earlier_until(last.ended_at),
        }
    }

    /// The last owner of the engine at `address`.
    pub fn last_owner(&self, address: SocketAddr) -> Option<&NodeId> {
        let claims = self.claims.values();
        let at_address = claims.filter(|last| last.claim.address == Some(address));
        let last = at_address.max_by_key(|last| (last.is_owned, last.claim.revision));
        last.map(|last| &last.claim.node)
    }

    /// Returns the stored claims that nobody needs any more: those that ended `lifetime` ago, and those
    /// of this node on engines that `is_listed` has been false of for as long. Drops unused claims
    /// that are not stored.
    pub fn take_unused(
        &mut self,
        is_listed: impl Fn(&UpstreamId) -> bool,
        lifetime: Duration,
        now: Duration,
    ) -> Vec<UnusedClaim> {
        for last in self.claims.values_mut() {
            if is_listed(&last.claim.engine) {
                last.listed_at = now;
            }
        }
        let is_used = |last: &LastClaim| match last.is_owned {
            true => last.claim.node != self.node || now < last.listed_at + lifetime,
            false => now < last.ended_at + lifetime,
        };
        let stored = &self.stored;
        self.claims
            .retain(|name, last| is_used(last) || stored.contains_key(name));
        let unused = stored.iter().filter_map(|(name, revision)| {
            let last = self.claims.get(name);
            let is_unused = last.is_none_or(|last| !is_used(last));
            is_unused.then(|| UnusedClaim {
                name: Arc::clone(name),
                revision: *revision,
                claim: last.map(|last| last.claim.clone()),
                is_owned: last.is_some_and(|last| last.is_owned),
            })
        });
        unused.collect()
    }
}

fn name_of(engine: &UpstreamId) -> Arc<str> {
    Upstream::name_of(engine).into()
}

impl LastClaim {
    fn end(&mut self, now: Duration) {
        if std::mem::take(&mut self.is_owned) {
            self.ended_at = now;
        }
    }
}
