//! Loads adapters that the traffic thread asks for, directly or through the engine's owner.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::{NodeId, UpstreamId};
use nutmegsail_relay::{Holdings, LoadCandidate, LoadRefusal, ModelRef};
use nutmegsail_telemetry::{Event, log_event};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use xxhash_rust::xxh3::xxh3_64;

use super::control_state::{ControlState, Owner};
use super::exchange::FULL_EXCHANGE_NODES;
use super::load_failure::LoadFailure;
use super::owner_loads::load_into_owned;
use super::peers::OwnerLoadRequest;
use crate::shared::{LoadRequest, LoadSpec, Loaded};

/// Engines whose expected waits differ by less than this many load times rank equal. With a smaller
/// step, nodes whose state differs slightly would choose different engines and load one adapter
/// twice.
const WAIT_STEP_LOADS: f64 = 1.2;

/// The number of engines tried for one adapter.
const MAX_ENGINES_TRIED: usize = 4;

/// How long after its last message an owner counts as reachable: five exchange intervals, so that a
/// few lost datagrams don't matter but an owner behind a partition soon gets no more requests.
const REACHABLE_TIME: Duration = Duration::from_millis(500);

/// Timeout for a load request to an owner, longer than a load may take there. After an earlier
/// timeout the load would still go on, and a second engine would load the adapter too.
const OWNER_TIMEOUT: Duration = Duration::from_millis(3_200);

/// The minimum time between two copies of one adapter. A copy takes 250 ms, and its effect on the
/// queues shows some time later.
const COPY_INTERVAL: Duration = Duration::from_millis(600);

type PendingRequests = HashMap<LoadSpec, Vec<oneshot::Sender<Loaded>>>;

/// Loads adapters into engines on behalf of the traffic thread.
pub(crate) struct Loader {
    pub(crate) control: Rc<ControlState>,
    waiting: RefCell<PendingRequests>,
    /// When copies of each adapter were last started.
    last_copies: RefCell<HashMap<ModelRef, Instant>>,
}

/// Serves load requests of the traffic thread until its channel closes.
pub(crate) async fn serve(loader: Rc<Loader>, mut load_requests: mpsc::Receiver<LoadRequest>) {
    while let Some(want) = load_requests.recv().await {
        loader.start_or_join(want);
    }
}

impl Loader {
    pub(crate) fn new(control: Rc<ControlState>) -> Self {
        Self {
            control,
            waiting: RefCell::default(),
            last_copies: RefCell::default(),
        }
    }

    /// Starts a load, or joins one for the same adapter that is in progress.
    fn start_or_join(self: &Rc<Self>, want: LoadRequest) {
        if want.copies > 1 || want.result.is_closed() {
            return self.start_copies(want);
        }
        let key = want.spec.clone();
        if let Some(waiting) = self.waiting.borrow_mut().get_mut(&key) {
            waiting.push(want.result);
            return;
        }
        self.waiting
            .borrow_mut()
            .insert(key.clone(), vec![want.result]);
        let this = Rc::clone(self);
        spawn_local(async move {
            let loaded = this.load_at_first_available(&want.spec, want.engines).await;
            let waiting = this.waiting.borrow_mut().remove(&key);
            for ready in waiting.into_iter().flatten() {
                // The receiver may have given up.
                let _ = ready.send(loaded.clone());
            }
        });
    }

    /// Starts loading copies that no request waits for.
    fn start_copies(self: &Rc<Self>, want: LoadRequest) {
        let mut last_copies = self.last_copies.borrow_mut();
        last_copies.retain(|_, at| at.elapsed() < COPY_INTERVAL);
        let wanted = want.spec;
        if last_copies.contains_key(&wanted.model) {
            return;
        }
        last_copies.insert(wanted.model.clone(), Instant::now());
        let ranked = self.rank_engines(&wanted.model, want.engines);
        for candidate in ranked.into_iter().take(want.copies) {
            let (this, wanted) = (Rc::clone(self), wanted.clone());
            spawn_local(
                async move { this.load_at_first_available(&wanted, vec![candidate]).await },
            );
        }
    }

    async fn load_at_first_available(
        &self,
        wanted: &LoadSpec,
        engines: Vec<LoadCandidate>,
    ) -> Loaded {
        let ranked = self.rank_engines(&wanted.model, engines);
        for candidate in ranked.into_iter().take(MAX_ENGINES_TRIED) {
            let engine = &candidate.engine;
            let loaded = match self.control.owned(engine) {
                Some(owned) => {
                    load_into_owned(&self.control, &owned, wanted, candidate.is_recent).await
                }
                None => self.load_through_owner(&candidate, wanted).await,
            };
            match loaded {
                Ok(holdings) => return Some((candidate.engine, holdings)),
                Err(failure) => {
                    let is_store_busy = failure == LoadFailure::from(LoadRefusal::LeftToMisses);
                    self.control
                        .shared
                        .metrics
                        .record_load_result(failure.to_string());
                    log_event!(
                        self.control.log, Event::LoadFailed,
                        "upstream" => engine.to_string(), "model" => wanted.model.to_string(),
                        "version" => wanted.version, "why" => failure.to_string()
                    );
                    if is_store_busy {
                        // The weight store is shared, so no other engine could load it sooner.
                        return None;
                    }
                }
            }
        }
        None
    }

    /// Engines with a reachable owner, best first.
    ///
    /// Two nodes may miss the same adapter at the same time, before either learns of the other's
    /// load. Engines with about the same expected wait are therefore ordered by a hash that all
    /// nodes compute alike, so that both nodes ask the same owner, which loads the adapter once.
    fn rank_engines(
        &self,
        model: &ModelRef,
        mut engines: Vec<LoadCandidate>,
    ) -> Vec<LoadCandidate> {
        engines.retain(|candidate| self.is_reachable(&candidate.engine));
        let min_ms = engines.iter().map(|candidate| candidate.cost_ms);
        let min_ms = min_ms.fold(f64::INFINITY, f64::min);
        let load = self.control.load_times.get().expected(0.0);
        let step_ms = load.as_secs_f64() * 1_000.0 * WAIT_STEP_LOADS;
        let ranked = engines.into_iter().map(|candidate| {
            let steps = ((candidate.cost_ms - min_ms) / step_ms) as u64;
            let hash = xxh3_64(format!("{model} {}", candidate.engine).as_bytes());
            (steps, candidate.rank(hash), candidate)
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.total_cmp(&b.1)));
        ranked
            .into_iter()
            .map(|(_, _, candidate)| candidate)
            .collect()
    }

    /// Whether this node owns the engine or can reach its owner.
    fn is_reachable(&self, engine: &UpstreamId) -> bool {
        let owners = self.control.owners.borrow();
        let nodes = self.control.nodes.borrow();
        let contacts = self.control.last_contacts.borrow();
        // In a large fleet a node gets updates only from owners of engines that it uses; the others
        // may still answer.
        let gets_all_updates = nodes.len() <= FULL_EXCHANGE_NODES;
        let has_recent_contact = |node: &NodeId| {
            contacts
                .get(node)
                .is_some_and(|at| at.elapsed() < REACHABLE_TIME)
        };
        let is_known = |owner: &Owner| {
            nodes.contains_key(&owner.node)
                && (!gets_all_updates || has_recent_contact(&owner.node))
        };
        self.control.owned(engine).is_some() || owners.get(engine).is_some_and(is_known)
    }

    async fn load_through_owner(
        &self,
        candidate: &LoadCandidate,
        wanted: &LoadSpec,
    ) -> Result<Holdings, LoadFailure> {
        let address = self.owner_address(&candidate.engine);
        let address = address.ok_or(LoadFailure::NoOwnerAnswer)?;
        let request = OwnerLoadRequest {
            engine: candidate.engine.clone(),
            wanted: wanted.clone(),
            is_recent: candidate.is_recent,
        };
        request.send(&self.control, address, OWNER_TIMEOUT).await
    }

    fn owner_address(&self, engine: &UpstreamId) -> Option<SocketAddr> {
        let owner = self.control.owners.borrow().get(engine)?.node.clone();
        Some(self.control.nodes.borrow().get(&owner)?.address)
    }
}
