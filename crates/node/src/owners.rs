//! This node's lease at the key-value service, and the claims bound to it.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use nutmegsail_base::{Clock, Incarnation, NodeId, UpstreamId};
use nutmegsail_placement::PlacementEvent;
use nutmegsail_store::{KeyValue, KeyValueError, LeaseId};
use xtra::Address;

use crate::loader::Loader;
use crate::loader_message::Placed;
use crate::ownership::{ClaimAnswer, EngineClaim};

/// What placement wants of the key-value service.
pub(crate) enum OwnerCall {
    /// Own the engine.
    Claim {
        /// The engine.
        engine: UpstreamId,
        /// The highest fencing number seen in its reports.
        seen_fence: u64,
        /// Whether a holder whose lease has not lapsed may be replaced.
        may_replace_live_holder: bool,
    },
    /// Give it up.
    Release {
        /// The engine.
        engine: UpstreamId,
    },
}

/// A lease that holds until a time on this node's clock.
#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: LeaseId,
    valid_until: Instant,
}

#[derive(Debug, Default)]
struct Held {
    lease: Option<HeldLease>,
    engines: Vec<GrantedEngine>,
}

#[derive(Clone, Debug)]
struct GrantedEngine {
    engine: UpstreamId,
    fence: u64,
    lease: LeaseId,
}

/// Claims engines under one lease of this node. Cloning shares the lease.
#[derive(Clone, Debug)]
pub(crate) struct Owners {
    store: Arc<dyn KeyValue>,
    clock: Arc<dyn Clock>,
    node: NodeId,
    incarnation: Incarnation,
    ttl: Duration,
    held: Arc<Mutex<Held>>,
    granting: Arc<tokio::sync::Mutex<()>>,
}

/// By how much a node ends its own view of a lease before the key-value service does.
const LEASE_MARGIN: Duration = Duration::from_secs(1);

impl Owners {
    /// Claims for this run of `node`, under a lease of `ttl`.
    pub(crate) fn new(
        store: Arc<dyn KeyValue>,
        clock: Arc<dyn Clock>,
        node: NodeId,
        incarnation: Incarnation,
        ttl: Duration,
    ) -> Self {
        Self {
            store,
            clock,
            node,
            incarnation,
            ttl,
            held: Arc::default(),
            granting: Arc::default(),
        }
    }

    /// Carries out a call and tells the loader what came of it.
    pub(crate) fn call(&self, call: OwnerCall, loader: Address<Loader>) {
        let owners = self.clone();
        tokio::spawn(async move { owners.carry_out(call, &loader).await });
    }

    /// Renews the lease, and with it every engine that is held under it.
    pub(crate) async fn renew(&self, loader: &Address<Loader>) {
        let Some(held) = self.lease() else { return };
        let asked_at = self.clock.now();
        match self.store.renew_lease(held.lease).await {
            Ok(()) => self.renewed(held.lease, asked_at, loader).await,
            Err(KeyValueError::LeaseGone) => self.lost(loader).await,
            // Ownership runs out by itself at `valid_until` unless a later renewal succeeds.
            Err(_) => {}
        }
    }

    /// Ends the lease, so that other nodes need not wait for it to lapse.
    pub(crate) async fn end(&self) {
        if let Some(held) = self.lease() {
            let _ = self.store.revoke_lease(held.lease).await;
        }
    }

    async fn carry_out(&self, call: OwnerCall, loader: &Address<Loader>) {
        match call {
            OwnerCall::Claim {
                engine,
                seen_fence,
                may_replace_live_holder,
            } => {
                let event = self
                    .claim(engine, seen_fence, may_replace_live_holder)
                    .await;
                let _ = loader.send(Placed(event)).detach().await;
            }
            OwnerCall::Release { engine } => {
                self.lock().engines.retain(|held| held.engine != engine);
                let lease = self.lease().map_or(LeaseId::default(), |held| held.lease);
                let claim = self.engine_claim(engine, lease);
                let _ = claim.release(&*self.store).await;
            }
        }
    }

    async fn claim(
        &self,
        engine: UpstreamId,
        seen_fence: u64,
        may_replace_live_holder: bool,
    ) -> PlacementEvent {
        let Some(held) = self.lease_or_grant().await else {
            return PlacementEvent::ClaimUnanswered { engine };
        };
        let mut claim = self.engine_claim(engine.clone(), held.lease);
        claim.seen_fence = seen_fence;
        claim.may_replace_live_holder = may_replace_live_holder;
        match claim.claim(&*self.store).await {
            ClaimAnswer::Granted { fence } => {
                let mut state = self.lock();
                state.engines.retain(|held| held.engine != engine);
                let lease = held.lease;
                state.engines.push(GrantedEngine {
                    engine: engine.clone(),
                    fence,
                    lease,
                });
                let valid_until = held.valid_until;
                PlacementEvent::OwnershipGranted {
                    engine,
                    fence,
                    valid_until,
                }
            }
            ClaimAnswer::Lost => PlacementEvent::OwnershipLost { engine },
            ClaimAnswer::Unanswered => PlacementEvent::ClaimUnanswered { engine },
        }
    }

    fn engine_claim(&self, engine: UpstreamId, lease: LeaseId) -> EngineClaim {
        EngineClaim {
            engine,
            node: self.node.clone(),
            incarnation: self.incarnation,
            lease,
            seen_fence: 0,
            may_replace_live_holder: false,
        }
    }

    async fn lease_or_grant(&self) -> Option<HeldLease> {
        // Two claims at once must not each take a lease: only one of them would be renewed.
        let _granting = self.granting.lock().await;
        let now = self.clock.now();
        if let Some(held) = self.lease().filter(|held| held.valid_until > now) {
            return Some(held);
        }
        let grant = self.store.grant_lease(self.ttl).await.ok()?;
        let valid_until = now + grant.ttl.saturating_sub(LEASE_MARGIN);
        let held = HeldLease {
            lease: grant.lease,
            valid_until,
        };
        self.lock().lease = Some(held);
        Some(held)
    }

    async fn renewed(&self, lease: LeaseId, asked_at: Instant, loader: &Address<Loader>) {
        let valid_until = asked_at + self.ttl.saturating_sub(LEASE_MARGIN);
        let engines = {
            let mut state = self.lock();
            state.lease = Some(HeldLease { lease, valid_until });
            state.engines.clone()
        };
        // An engine claimed under an earlier lease is not held by this one.
        for GrantedEngine { engine, fence, .. } in
            engines.into_iter().filter(|one| one.lease == lease)
        {
            let event = PlacementEvent::OwnershipGranted {
                engine,
                fence,
                valid_until,
            };
            let _ = loader.send(Placed(event)).detach().await;
        }
    }

    async fn lost(&self, loader: &Address<Loader>) {
        let engines = {
            let mut state = self.lock();
            state.lease = None;
            std::mem::take(&mut state.engines)
        };
        for GrantedEngine { engine, .. } in engines {
            let _ = loader
                .send(Placed(PlacementEvent::OwnershipLost { engine }))
                .detach()
                .await;
        }
    }

    fn lease(&self) -> Option<HeldLease> {
        self.lock().lease
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
