//! The control thread's state, and how it is published to the traffic thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{NodeId, ServiceName, UpstreamId};
use nutmegsail_http_pool::{Pool, PoolSettings};
use nutmegsail_relay::{
    Demand, DomainAge, DomainContacts, LoadTimes, ModelRef, NodeRecord, OrderPermit, OwnerHistory,
    OwnershipRules, OwnershipWatch, ReturningNodes, RouteTable, Service, Upstream, Versions,
    retry_pause,
};
use nutmegsail_store::{KeyValue, LeaseId, Revision};
use slog::Logger;

use super::ControlParts;
use super::change_log::ChangeLog;
use super::engine::{OwnedEngine, PendingLoad};
use super::engine_load::HostReport;
use super::engine_paces::EnginePaces;
use super::eras::Eras;
use super::joined_nodes::JoinedNodes;
use super::lending::Lending;
use super::model_demand::ModelDemand;
use super::origin_writes::OriginWrites;
use super::owner_record::{OwnerRecord, OwnerWait};
use super::prompt_gates::PromptGates;
use super::served_software::ServedSoftware;
use super::slots::Slots;
use super::stored_config::StoredConfig;
use super::suspect_store::StoredSuspects;
use crate::clock::{boot_id, boot_time};
use crate::shared::{Shared, View};
use crate::{CONNECT_TIMEOUT, Dialect, RelaySettings};

/// How long another owner's report of loads and base models is valid. Owners send ten reports in
/// this time, and a load takes a quarter of it.
const OWNER_REPORT_LIFETIME: Duration = Duration::from_millis(1_000);

/// How long an owner's own report of its engine's load takes precedence over aggregated ones: two
/// exchange intervals.
const OWNER_REPORT_PRECEDENCE: Duration = Duration::from_millis(220);

/// How long a read that showed an owner key of this node is relied on. A longer time lets loads go
/// on while the store is unavailable, at all engines. It also delays the successor of a node that
/// is gone for good, at one engine in seven, while the other engines take its loads.
const CONFIRMATION_LIFETIME: Duration = Duration::from_millis(4_000);

/// The half-life of an adapter's demand, which decides what is evicted. Demand shifts within some 5
/// s: a longer half-life keeps adapters that are no longer in demand, a shorter one forgets rarely
/// used adapters between two of their requests.
const DEMAND_HALF_LIFE: Duration = Duration::from_secs(10);

/// How long after a failed confirmation engines get no loads.
const FAILED_CONFIRMATION_PAUSE: Duration = Duration::from_millis(800);

/// An engine's owner as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Owner {
    pub(crate) node: NodeId,
    pub(crate) revision: Revision,
    /// The lease of the process that wrote the key.
    pub(crate) lease: LeaseId,
    /// What the owner's next process has to know if the owner is still waiting for its predecessor.
    pub(crate) waits: Option<OwnerWait>,
}

impl Owner {
    /// The owner that wrote `record` at `revision`.
    pub(crate) fn new(record: OwnerRecord, revision: Revision) -> Self {
        Self {
            node: record.node,
            revision,
            lease: record.lease,
            waits: record.waits,
        }
    }
}

/// The control thread's state.
pub(crate) struct ControlState {
    pub(crate) settings: RelaySettings,
    pub(crate) store: Arc<dyn KeyValue>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) log: Logger,
    pub(crate) pool: Pool,
    pub(crate) table: RefCell<Option<Arc<RouteTable>>>,
    pub(crate) upstreams: RefCell<HashMap<UpstreamId, Arc<Upstream>>>,
    pub(crate) versions: RefCell<Versions>,
    pub(crate) nodes: RefCell<HashMap<NodeId, NodeRecord>>,
    pub(crate) owners: RefCell<HashMap<UpstreamId, Owner>>,
    pub(crate) owned: RefCell<HashMap<UpstreamId, Rc<OwnedEngine>>>,
    pub(crate) demand: RefCell<Demand>,
    pub(crate) model_demand: RefCell<ModelDemand>,
    /// The base models of other owners' engines as last reported, and when.
    host_reports: RefCell<HashMap<UpstreamId, (HostReport, Instant)>>,
    pub(crate) lease: Cell<LeaseId>,
    /// The services out of reach, as this node last recorded them in the store.
    pub(crate) recorded_out_of_reach: RefCell<Vec<ServiceName>>,
    /// When this node last wrote its record to the store, by [`boot_time`].
    pub(crate) record_written: Cell<Duration>,
    /// Held while ownership is confirmed, so that waiting loads share one call.
    pub(crate) confirm_lock: tokio::sync::Mutex<()>,
    /// When this node last sent an order.
    pub(crate) last_order: Cell<Option<Instant>>,
    /// When a confirmation last failed.
    pub(crate) confirm_failed: Cell<Option<Instant>>,
    /// The current estimate of load times.
    pub(crate) load_times: Cell<LoadTimes>,
    /// The loads from the weight store in progress at other owners' engines, and when they were
    /// reported.
    other_transfers: RefCell<HashMap<UpstreamId, (u32, Instant)>>,
    /// When the owner of each engine last reported its load to this node.
    pub(crate) owner_reported_at: RefCell<HashMap<UpstreamId, Instant>>,
    /// The version number of each engine's holdings that the traffic thread was last given.
    known_holdings: RefCell<HashMap<UpstreamId, u64>>,
    /// The time of the last contact with each failure domain.
    pub(crate) domain_contacts: RefCell<DomainContacts>,
    /// The time of the last contact with each node.
    pub(crate) last_contacts: RefCell<HashMap<NodeId, Instant>>,
    /// The latest changes in the store, for nodes that this one reads it for.
    pub(crate) change_log: ChangeLog,
    /// Nodes that read the store for others and failed to answer, and when they did.
    pub(crate) silent_readers: RefCell<HashMap<NodeId, Instant>>,
    /// Which node claimed each engine last.
    pub(crate) owner_history: RefCell<OwnerHistory>,
    /// Whether to ask other nodes for the requests under which upstreams ended.
    pub(crate) must_query_suspects: Cell<bool>,
    /// The store's eras and the recovery after a restore.
    pub(crate) eras: Eras,
    /// Watches whether engines are owned as they should be.
    pub(crate) ownership_watch: RefCell<OwnershipWatch>,
    /// The operators' configuration and model versions as last seen in the store.
    pub(crate) stored_config: StoredConfig,
    /// Nodes that are kept although the store does not list them.
    pub(crate) returning_nodes: RefCell<ReturningNodes>,
    /// Nodes that announce themselves.
    pub(crate) joined: JoinedNodes,
    /// The refused traits of requests that the store keeps.
    pub(crate) stored_suspects: StoredSuspects,
    /// The software versions at which streams may have begun.
    pub(crate) served: ServedSoftware,
    /// This node's writes of where streams began.
    pub(crate) origin_writes: OriginWrites,
    /// The lenders of the teams' quotas.
    pub(crate) lending: Lending,
    /// The paces of engines.
    pub(crate) engine_paces: EnginePaces,
    /// The upstream slots that this node grants.
    pub(crate) slots: Slots,
    /// The engines whose prompts this node paces.
    pub(crate) prompt_gates: PromptGates,
    /// The id of the machine's current boot, since which the clock counts.
    pub(crate) boot: Arc<str>,
    started: Instant,
    view_number: Cell<u64>,
}

impl ControlState {
    pub(crate) fn new(parts: &ControlParts) -> Self {
        let pool = Pool::new(PoolSettings {
            connect_timeout: CONNECT_TIMEOUT,
            ..PoolSettings::default()
        });
        Self {
            settings: parts.settings.clone(),
            store: Arc::clone(&parts.store),
            dialect: Arc::clone(&parts.dialect),
            shared: Arc::clone(&parts.shared),
            log: parts.log.clone(),
            pool,
            table: RefCell::default(),
            upstreams: RefCell::default(),
            versions: RefCell::default(),
            nodes: RefCell::default(),
            owners: RefCell::default(),
            owned: RefCell::default(),
            demand: RefCell::new(Demand::new(DEMAND_HALF_LIFE)),
            model_demand: RefCell::default(),
            host_reports: RefCell::default(),
            lease: Cell::default(),
            recorded_out_of_reach: RefCell::default(),
            record_written: Cell::default(),
            confirm_lock: tokio::sync::Mutex::new(()),
            last_order: Cell::new(None),
            confirm_failed: Cell::new(None),
            load_times: Cell::default(),
            other_transfers: RefCell::default(),
            owner_reported_at: RefCell::default(),
            known_holdings: RefCell::default(),
            domain_contacts: RefCell::default(),
            last_contacts: RefCell::default(),
            change_log: ChangeLog::default(),
            silent_readers: RefCell::default(),
            owner_history: RefCell::new(OwnerHistory::new(
                parts.settings.node.clone(),
                ownership_rules(&parts.settings),
            )),
            must_query_suspects: Cell::new(true),
            eras: Eras::new(
                ownership_rules(&parts.settings),
                parts.settings.is_first_start,
            ),
            ownership_watch: RefCell::default(),
            stored_config: StoredConfig::default(),
            returning_nodes: RefCell::default(),
            joined: JoinedNodes::default(),
            stored_suspects: StoredSuspects::default(),
            served: ServedSoftware::default(),
            origin_writes: OriginWrites::default(),
            lending: Lending::default(),
            engine_paces: EnginePaces::default(),
            slots: Slots::default(),
            prompt_gates: PromptGates::default(),
            boot: boot_id(),
            started: Instant::now(),
            view_number: Cell::new(0),
        }
    }

    /// The last owner of the engine at `address`.
    pub(crate) fn last_owner(&self, address: SocketAddr) -> Option<NodeId> {
        self.owner_history.borrow().last_owner(address).cloned()
    }

    /// Whether the system was started for the first time so lately that it has served no callers, who
    /// come after 10 s.
    pub(crate) fn is_new_system(&self) -> bool {
        const NEW_SYSTEM_TIME: Duration = Duration::from_secs(8);
        let is_first = self.settings.is_first_start && self.started.elapsed() < NEW_SYSTEM_TIME;
        is_first && !self.eras.watch.borrow().has_risen()
    }

    pub(crate) fn ownership_rules(&self) -> OwnershipRules {
        ownership_rules(&self.settings)
    }

    /// Publishes the current state to the traffic thread.
    pub(crate) fn publish(&self) {
        self.apply_quotas();
        self.update_quota_gauges();
        let mut times = self.load_times.get();
        times.set_engines(self.owners.borrow().len());
        self.load_times.set(times);
        self.view_number.set(self.view_number.get() + 1);
        let uses_config = self.uses_config();
        let table = self.table.borrow().clone().filter(|_| uses_config);
        let software = table.as_ref().map(|table| self.stream_software(table));
        let view = View {
            number: self.view_number.get(),
            table,
            upstreams: self.upstreams.borrow().values().cloned().collect(),
            versions: Arc::new(self.versions.borrow().clone()),
            nodes: self.nodes.borrow().len().max(1),
            load_times: self.load_times.get(),
            lenders: self.lender_addresses().into(),
            slot_issuers: self.slot_issuers(),
            peers: self.peers().into(),
            software: Arc::new(software.unwrap_or_default()),
        };
        let version = view.table.as_ref().map_or(0, |table| table.version);
        let owned = self.owned.borrow().len();
        self.shared
            .metrics
            .record_state(version, view.upstreams.len(), owned);
        self.count_model_engines(&view);
        let is_ready = view.table.is_some() && !view.upstreams.is_empty();
        self.shared.view.store(Arc::new(view));
        if is_ready {
            self.shared.record_data_present();
        }
    }

    /// Counts the listed engines that hold each base model of the configuration.
    fn count_model_engines(&self, view: &View) {
        let mut engines: HashMap<&str, usize> = HashMap::new();
        for held in view
            .upstreams
            .iter()
            .flat_map(|upstream| &upstream.holdings.models)
        {
            *engines.entry(&*held.name).or_default() += 1;
        }
        let services = view.table.iter().flat_map(|table| table.services());
        let specs = services.filter_map(|service| service.engine.as_ref());
        for model in specs.flat_map(|spec| &spec.models) {
            let engines = engines.get(&*model.name).copied();
            let metrics = &self.shared.metrics;
            metrics.model_engines(&model.name, engines.unwrap_or(0));
        }
    }

    /// Whether `engine` can be given orders, as far as is known without a call to the store.
    pub(crate) fn takes_loads(&self, engine: &OwnedEngine) -> bool {
        let permit = engine.ownership.borrow().permit(boot_time());
        let is_permitted = match permit {
            OrderPermit::Granted { .. } => true,
            OrderPermit::Settling { .. } => false,
            OrderPermit::Unconfirmed => self
                .confirm_failed
                .get()
                .is_none_or(|failed| failed.elapsed() > FAILED_CONFIRMATION_PAUSE),
        };
        let is_changing = engine.is_changing_model();
        self.is_staying(&engine.id)
            && !self.is_backing_off(&engine.id)
            && is_permitted
            && !engine.is_blocked()
            && engine.unloading_count() == 0
            && !is_changing
            && !self.is_out_of_reach(&engine.id)
    }

    /// Whether any node is known to have requests for `model` in flight at `engine`.
    pub(crate) fn is_in_use(&self, engine: &OwnedEngine, model: &ModelRef) -> bool {
        self.shared.usages.holds(&engine.id, model)
            || engine.is_used_by_others(model)
            || engine.is_unloading(model)
    }

    /// Applies another node's last contacts with each failure domain.
    pub(crate) fn apply_domain_contacts(&self, ages: &[DomainAge]) {
        let mut domains = self.domain_contacts.borrow_mut();
        domains.take(ages, Instant::now());
        self.shared.owner_updates.merge_domain_contacts(&domains);
    }

    /// Records a contact with a node, and with it its failure domain.
    pub(crate) fn record_contact(&self, node: NodeId) {
        let nodes = self.nodes.borrow();
        if let Some(record) = nodes.get(&node) {
            let (domain, now) = (&record.failure_domain, Instant::now());
            self.domain_contacts.borrow_mut().note(domain, now);
            self.shared.owner_updates.record_domain_contact(domain, now);
        }
        self.last_contacts.borrow_mut().insert(node, Instant::now());
    }

    /// The loads from the weight store in progress at an owned engine. As reports lag, loads that
    /// should be finished are not counted.
    pub(crate) fn transfers_in_progress(&self, engine: &OwnedEngine) -> usize {
        let (times, now) = (self.load_times.get(), Instant::now());
        let is_in_progress =
            |load: &PendingLoad| load.accepted_at + times.expected(load.loads_in_progress) > now;
        engine.count_transfers(is_in_progress)
    }

    /// Records how many loads another owner has in progress at its engine.
    pub(crate) fn record_transfers(&self, engine: &UpstreamId, transfers: u32) {
        let mut reports = self.other_transfers.borrow_mut();
        reports.insert(engine.clone(), (transfers, Instant::now()));
    }

    /// Whether the engine's owner reported to this node less than [`OWNER_REPORT_PRECEDENCE`] ago,
    /// which is newer than the aggregated loads.
    pub(crate) fn has_recent_owner_report(&self, engine: &UpstreamId) -> bool {
        let reported = self.owner_reported_at.borrow();
        let at = reported.get(engine);
        at.is_some_and(|at| at.elapsed() < OWNER_REPORT_PRECEDENCE)
    }

    /// The estimated number of loads from the weight store in progress over all engines. Engines
    /// without a current report count as having none; their owner may be unreachable.
    pub(crate) fn loads_in_progress(&self) -> f64 {
        let owned = self.owned.borrow();
        let own = owned.values();
        let own: usize = own.map(|engine| engine.count_transfers(|_| true)).sum();
        let mut reports = self.other_transfers.borrow_mut();
        reports.retain(|_, (_, received_at)| received_at.elapsed() < OWNER_REPORT_LIFETIME);
        let others = reports.iter().filter(|(id, _)| !owned.contains_key(*id));
        let others: u32 = others.map(|(_, (transfers, _))| transfers).sum();
        (own as f64 + f64::from(others)) * self.load_times.get().in_progress_share()
    }

    /// The version number of an engine's holdings that the traffic thread was given; 0 if none.
    pub(crate) fn known_holdings_version(&self, engine: &UpstreamId) -> u64 {
        self.known_holdings
            .borrow()
            .get(engine)
            .copied()
            .unwrap_or(0)
    }

    /// Records the version number of the holdings that the traffic thread was given.
    pub(crate) fn record_holdings_version(&self, engine: &UpstreamId, version: u64) {
        self.known_holdings
            .borrow_mut()
            .insert(engine.clone(), version);
    }

    /// Applies another node's estimate of the load time.
    pub(crate) fn apply_load_time(&self, load_ms: f32) {
        let mut times = self.load_times.get();
        times.merge_peer_load_ms(load_ms);
        self.load_times.set(times);
    }

    /// Drops nodes that have not registered again in time after a restore of the store.
    pub(crate) fn drop_missing_nodes(&self) {
        let expired = self.returning_nodes.borrow_mut().take_expired(boot_time());
        for node in expired {
            self.nodes.borrow_mut().remove(&node);
        }
    }

    /// The upstream with this id.
    pub(crate) fn upstream(&self, id: &UpstreamId) -> Option<Arc<Upstream>> {
        self.upstreams.borrow().get(id).cloned()
    }

    /// The engine with this id, if this node owns it.
    pub(crate) fn owned(&self, id: &UpstreamId) -> Option<Rc<OwnedEngine>> {
        self.owned.borrow().get(id).cloned()
    }

    /// How long this node waits after a failed call to the store.
    pub(crate) fn store_pause(&self) -> Duration {
        let nodes = self.nodes.borrow();
        let own_domain = &self.settings.failure_domain;
        let local = nodes
            .values()
            .filter(|node| node.failure_domain == *own_domain);
        retry_pause(local.count()).mul_f64(1.0 + rand::random::<f64>())
    }

    /// Records the base models of another owner's engine.
    pub(crate) fn record_host_report(&self, engine: &UpstreamId, report: HostReport) {
        let mut reports = self.host_reports.borrow_mut();
        reports.insert(engine.clone(), (report, Instant::now()));
    }

    /// The base models of another owner's engine, if reported less than [`OWNER_REPORT_LIFETIME`]
    /// ago.
    pub(crate) fn host_report(&self, engine: &UpstreamId) -> Option<HostReport> {
        let reports = self.host_reports.borrow();
        let (report, at) = reports.get(engine)?;
        (at.elapsed() < OWNER_REPORT_LIFETIME).then(|| report.clone())
    }

    /// Drops the reports of engines that are no longer listed.
    pub(crate) fn drop_host_reports(&self, is_listed: impl Fn(&UpstreamId) -> bool) {
        let mut reports = self.host_reports.borrow_mut();
        reports.retain(|engine, _| is_listed(engine));
    }

    /// The service of this name in the current configuration.
    pub(crate) fn service(&self, name: &ServiceName) -> Option<Arc<Service>> {
        let table = self.table.borrow();
        table.as_ref()?.service(name).cloned()
    }

    /// Adds requests to an adapter's demand.
    pub(crate) fn add_demand(&self, model: &ModelRef, requests: f64) {
        let mut demand = self.demand.borrow_mut();
        demand.add(model, requests, Instant::now());
    }
}

fn ownership_rules(settings: &RelaySettings) -> OwnershipRules {
    OwnershipRules {
        hand_over: settings.bounds.hand_over(),
        confirmation: CONFIRMATION_LIFETIME,
    }
}
