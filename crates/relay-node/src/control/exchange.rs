//! Datagrams between nodes, mainly between an engine's owner and the nodes that use the engine.
//!
//! A node sends an engine's owner what it has in flight there; the owner answers with what all
//! other nodes have in flight and what the engine holds. Each node thus knows the queues of the
//! engines it uses with a delay of some 100 ms, an owner never evicts what another node uses, and
//! traffic grows with the number of requests instead of the square of the number of nodes. A lost
//! datagram does no harm, as the next one repeats the full state.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::{FailureDomain, NodeId, UpstreamId};
use nutmegsail_relay::{
    BrittleUpdate, EngineLoadSample, EraUpdate, Holdings, HoldingsReport, LimitUpdate, ModelRef,
    SuspectUpdate, readers_by_domain,
};
use nutmegsail_telemetry::{Event, log_event};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval, sleep_until};

use super::brittle_gossip::{BrittleGossip, all_announcements};
use super::control_state::ControlState;
use super::engine::OwnedEngine;
use super::engine_load::{EngineLoad, load_excluding, room};
use super::engine_paces::PaceBatch;
use super::leaving_gossip::LeavingGossip;
use super::limit_gossip::LimitGossip;
use super::load_aggregator::{LoadAggregator, LoadBatch};
use super::maintenance::own_record;
use super::model_demand::ModelDemandUpdate;
use super::owners::to_json;
use super::restarts::RestartChecks;
use super::suspect_gossip::{SuspectGossip, all_suspects, other_nodes, random_nodes};
use crate::shared::{AdapterDemand, CopyRequest, EngineUpdate, EngineUsage};
use crate::traffic_message::{ForwardMessage, StreamMessage, TrafficMessage};

/// How often a node reports what it has in flight. A prompt takes some 76 ms to process, so older
/// queue lengths are of little use; a shorter interval costs more datagrams.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// How often a node that has started asks others for what they know, until one answers.
const QUERY_INTERVAL: Duration = Duration::from_millis(20);

/// With up to this many nodes, each node reports to every owner, even if it does not use the
/// owner's engines.
pub(crate) const FULL_EXCHANGE_NODES: usize = 16;

/// The largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// What a node has in flight at one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EngineUsageReport {
    pub(crate) engine: UpstreamId,
    pub(crate) in_flight: u32,
    pub(crate) pending_prompt_tokens: u64,
    /// Requests in flight for each adapter.
    pub(crate) models: Vec<(ModelRef, u32)>,
    /// Demand for each adapter since the last message.
    pub(crate) asked: Vec<(ModelRef, AdapterDemand)>,
    /// The version number of the engine's holdings that the sender knows.
    known_holdings_version: u64,
}

/// An owner's update about one engine to one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EngineLoadUpdate {
    engine: UpstreamId,
    /// The engine's load without the receiving node's own share.
    load: EngineLoad,
    /// The version number of the engine's holdings.
    holdings_version: u64,
    /// The holdings, if the receiving node knows an older version.
    holdings: Option<Holdings>,
}

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    /// Sent to an owner.
    Uses {
        from: NodeId,
        engines: Vec<EngineUsageReport>,
    },
    /// Sent by an owner.
    Loads {
        from: NodeId,
        engines: Vec<EngineLoadUpdate>,
    },
    /// Sent by an owner to the node that aggregates loads for its failure domain, or by that node.
    AggregatedLoads { from: NodeId, batch: LoadBatch },
    /// A heartbeat from a reader to the readers of other failure domains, which might otherwise not
    /// hear from its domain for a while.
    Alive { from: NodeId },
    /// Sent or received by a traffic thread.
    Traffic(TrafficMessage),
    /// Demand for base models.
    Models {
        from: NodeId,
        update: ModelDemandUpdate,
    },
    /// Requests under which upstreams ended.
    Suspects {
        from: NodeId,
        suspects: Vec<SuspectUpdate>,
        /// Whether this answers [`Message::SuspectsQuery`].
        is_answer: bool,
    },
    /// Rate limits that upstreams have announced.
    RateLimits {
        from: NodeId,
        limits: Vec<LimitUpdate>,
    },
    /// Upstreams that have announced that they are leaving.
    Leaving { upstreams: Vec<UpstreamId> },
    /// Asks for all suspects and brittle services, after a start or a stall of the sender.
    SuspectsQuery { from: NodeId },
    /// What the sender knows of the store era.
    Era { from: NodeId, update: EraUpdate },
    /// Asks for [`Message::Era`], after a start of the sender.
    EraQuery { from: NodeId },
    /// Services whose upstreams have announced that they are brittle.
    Brittle { updates: Vec<BrittleUpdate> },
    /// A node has started: its record in the store, encoded as there.
    Joined { record: Vec<u8> },
    /// Paces of engines, from the nodes that run their gates.
    EnginePaces { from: NodeId, batch: PaceBatch },
}

impl Message {
    /// The kind of message, as metrics name it.
    fn kind(&self) -> &'static str {
        match self {
            Self::Uses { .. } => "usage",
            Self::Loads { .. } => "loads",
            Self::AggregatedLoads { .. } => "aggregated_loads",
            Self::Alive { .. } => "alive",
            Self::Traffic(message) => message.kind(),
            Self::Models { .. } => "model_demand",
            Self::Suspects { .. } | Self::SuspectsQuery { .. } => "suspects",
            Self::RateLimits { .. } => "rate_limits",
            Self::Leaving { .. } => "leaving",
            Self::Era { .. } | Self::EraQuery { .. } => "era",
            Self::Brittle { .. } => "brittle",
            Self::Joined { .. } => "joined",
            Self::EnginePaces { .. } => "engine_paces",
        }
    }
}

/// Encodes a message of a traffic thread as a datagram.
pub(crate) fn traffic_datagram(message: TrafficMessage) -> Option<Vec<u8>> {
    postcard::to_stdvec(&Message::Traffic(message)).ok()
}

/// Decodes a datagram if it is a message for a traffic thread.
pub(crate) fn parse_traffic_message(bytes: &[u8]) -> Option<TrafficMessage> {
    match postcard::from_bytes(bytes) {
        Ok(Message::Traffic(message)) => Some(message),
        _ => None,
    }
}

/// Sends and receives datagrams forever.
pub(crate) async fn run(control: Rc<ControlState>, socket: UdpSocket) {
    let mut ticks = interval(EXCHANGE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut queries = interval(QUERY_INTERVAL);
    queries.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut aggregator = LoadAggregator::default();
    let mut suspect_gossip = SuspectGossip::default();
    let mut limit_gossip = LimitGossip::default();
    let mut leaving_gossip = LeavingGossip::default();
    let mut brittle_gossip = BrittleGossip::default();
    let mut restart_checks = RestartChecks::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                report_usage(&control, &socket);
                send_loads(&control, &socket, &mut aggregator);
                send_model_demand(&control, &socket);
                send_alive(&control, &socket);
                send_suspects(&control, &socket, &mut suspect_gossip);
                send_limits(&control, &socket, &mut limit_gossip);
                send_leaving(&control, &socket, &mut leaving_gossip);
                send_brittle(&control, &socket, &mut brittle_gossip);
                restart_checks.start_due(&control);
                send_era_messages(&control, &socket);
                grant_turns(&control, &socket);
                control.review_prompt_gates();
                send_joined(&control, &socket);
                send_paces(&control, &socket);
                control.publish_joined();
                send_streams(&control, &socket);
            }
            () = control.shared.suspects_changed.notified() => {
                send_suspects(&control, &socket, &mut suspect_gossip);
            }
            _ = queries.tick(), if control.must_query_suspects.get() => {
                send_queries(&control, &socket);
            }
            () = until(control.prompt_gates.next_due()) => grant_prompts(&control, &socket),
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, sender)) = received {
                    handle_datagram(&control, &socket, &mut aggregator, &buffer[..length], sender);
                }
            }
        }
    }
}

/// Reports to each owner what this node has in flight at its engines.
fn report_usage(control: &ControlState, socket: &UdpSocket) {
    let own_node = &control.settings.node;
    let mut reports: HashMap<NodeId, Vec<EngineUsageReport>> = HashMap::new();
    let owners = control.owners.borrow();
    let reports_to_all = control.nodes.borrow().len() <= FULL_EXCHANGE_NODES;
    for (engine, owner) in owners.iter() {
        let used = control.shared.usages.take(engine);
        if let Some(owned) = control.owned(engine) {
            record_own_usage(control, &owned, &used);
        } else if owner.node != *own_node && (reports_to_all || used != EngineUsage::default()) {
            let engines = reports.entry(owner.node.clone()).or_default();
            engines.push(usage_report(control, engine, used));
        }
    }
    drop(owners);
    for (owner, engines) in reports {
        let address = control.nodes.borrow().get(&owner).map(|node| node.address);
        let from = own_node.clone();
        if let Some(address) = address {
            send(control, socket, &Message::Uses { from, engines }, address);
        }
    }
}

fn usage_report(
    control: &ControlState,
    engine: &UpstreamId,
    used: EngineUsage,
) -> EngineUsageReport {
    EngineUsageReport {
        known_holdings_version: control.known_holdings_version(engine),
        engine: engine.clone(),
        in_flight: used.in_flight,
        pending_prompt_tokens: used.pending_prompt_tokens,
        models: used.models.into_iter().collect(),
        asked: used.asked.into_iter().collect(),
    }
}

/// Records what this node itself has in flight at an engine that it owns.
fn record_own_usage(control: &ControlState, owned: &OwnedEngine, used: &EngineUsage) {
    let own_domain = &control.settings.failure_domain;
    record_adapter_demand(control, owned, own_domain, used.asked.iter());
    request_copies(control, owned, used);
    owned.set_free_adapter_slots(room(control, owned));
    let load = load_excluding(control, owned, &control.settings.node);
    control.shared.owner_updates.put(EngineUpdate {
        engine: owned.id.clone(),
        report: load.into_report(),
        holdings: holdings_report(
            owned.holdings_version(),
            owned.holdings_since(control.known_holdings_version(&owned.id)),
        ),
    });
    control.record_holdings_version(&owned.id, owned.holdings_version());
}

/// Adds a report of demand from a node in `domain`.
fn record_adapter_demand<'a>(
    control: &ControlState,
    owned: &OwnedEngine,
    domain: &FailureDomain,
    asked: impl Iterator<Item = (&'a ModelRef, &'a AdapterDemand)>,
) {
    let now = Instant::now();
    let mut demand = owned.demand.borrow_mut();
    for (model, asked) in asked {
        let (requests, tokens) = (f64::from(asked.requests), f64::from(asked.prompt_tokens));
        control.add_demand(model, requests);
        demand.note(domain, model, requests, tokens, now);
    }
}

/// Passes on to the traffic thread, which knows all engines, which adapters of an owned engine need
/// more copies.
fn request_copies(control: &ControlState, owned: &OwnedEngine, own_usage: &EngineUsage) {
    let Some(upstream) = control.upstream(&owned.id) else {
        return;
    };
    let holdings = owned.holdings();
    let engine = EngineLoadSample {
        failure_domain: &upstream.failure_domain,
        slots: upstream.slots,
        holdings: &holdings,
    };
    let in_flight = |model: &ModelRef| {
        owned.others_in_flight(model) + own_usage.models.get(model).copied().unwrap_or(0)
    };
    let mut demand = owned.demand.borrow_mut();
    demand.set_pace(control.known_pace(&owned.id));
    let copies = demand.copies_wanted(engine, in_flight, Instant::now());
    let requests = copies.into_iter().map(|wanted| CopyRequest {
        service: upstream.service.clone(),
        wanted,
    });
    control.shared.owner_updates.request_copies(requests);
}

/// Sends a heartbeat to the readers of other failure domains, if this node is a reader of its own.
fn send_alive(control: &ControlState, socket: &UdpSocket) {
    let nodes = control.nodes.borrow();
    if nodes.len() <= FULL_EXCHANGE_NODES {
        // Every node already reports to every owner.
        return;
    }
    let readers = readers_by_domain(nodes.values());
    let (own_domain, own_node) = (&control.settings.failure_domain, &control.settings.node);
    let is_reader = readers
        .get(own_domain)
        .is_some_and(|readers| readers.iter().any(|reader| reader.node == *own_node));
    let remote = readers.iter().filter(|(domain, _)| **domain != own_domain);
    for reader in remote
        .flat_map(|(_, readers)| readers)
        .filter(|_| is_reader)
    {
        let from = own_node.clone();
        send(control, socket, &Message::Alive { from }, reader.address);
    }
}

/// Sends requests under which upstreams ended.
fn send_suspects(control: &ControlState, socket: &UdpSocket, gossip: &mut SuspectGossip) {
    for (suspects, address) in gossip.next_messages(control) {
        let message = suspects_message(control, suspects, false);
        send(control, socket, &message, address);
    }
}

fn suspects_message(
    control: &ControlState,
    suspects: Vec<SuspectUpdate>,
    is_answer: bool,
) -> Message {
    Message::Suspects {
        from: control.settings.node.clone(),
        suspects,
        is_answer,
    }
}

/// Asks other nodes for what they know, until one has answered.
fn send_queries(control: &ControlState, socket: &UdpSocket) {
    for address in random_nodes(control) {
        let from = control.settings.node.clone();
        send(control, socket, &Message::SuspectsQuery { from }, address);
    }
}

/// Sends the rate limits that upstreams have announced.
fn send_limits(control: &ControlState, socket: &UdpSocket, gossip: &mut LimitGossip) {
    control.drop_unlisted_notices();
    for (limits, address) in gossip.next_messages(control) {
        let from = control.settings.node.clone();
        send(
            control,
            socket,
            &Message::RateLimits { from, limits },
            address,
        );
    }
}

/// Sends the upstreams that have announced that they are leaving.
fn send_leaving(control: &ControlState, socket: &UdpSocket, gossip: &mut LeavingGossip) {
    for (upstreams, address) in gossip.next_messages(control) {
        send(control, socket, &Message::Leaving { upstreams }, address);
    }
}

/// Sends the services whose upstreams have announced that they are brittle.
fn send_brittle(control: &ControlState, socket: &UdpSocket, gossip: &mut BrittleGossip) {
    for (updates, address) in gossip.next_messages(control) {
        send(control, socket, &Message::Brittle { updates }, address);
    }
}

/// Announces a recent restore of the store to other nodes, or asks them for the store era.
fn send_era_messages(control: &ControlState, socket: &UdpSocket) {
    for address in control.era_announcement_targets() {
        send_era(control, socket, address);
    }
    for address in control.era_query_targets() {
        let from = control.settings.node.clone();
        send(control, socket, &Message::EraQuery { from }, address);
    }
}

fn send_era(control: &ControlState, socket: &UdpSocket, address: SocketAddr) {
    if let Some(update) = control.era_update() {
        let from = control.settings.node.clone();
        send(control, socket, &Message::Era { from, update }, address);
    }
}

/// Grants the turns that are due at rate-limited upstreams.
fn grant_turns(control: &ControlState, socket: &UdpSocket) {
    let traffic = |message| Message::Traffic(TrafficMessage::Slots(message));
    control.grant_due_turns(|message, to| send(control, socket, &traffic(message), to));
}

/// Completes at `due`, or never.
async fn until(due: Option<Instant>) {
    match due {
        Some(due) => sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

/// Grants the prompts that are due.
fn grant_prompts(control: &ControlState, socket: &UdpSocket) {
    let traffic = |message| Message::Traffic(TrafficMessage::Prompts(message));
    control.grant_due_prompts(|message, to| send(control, socket, &traffic(message), to));
}

/// Announces this node to all others, after its start.
fn send_joined(control: &ControlState, socket: &UdpSocket) {
    let others = other_nodes(control);
    if others.is_empty() || !control.joined.take_due() {
        return;
    }
    let out_of_reach = control.recorded_out_of_reach.borrow().clone();
    let record = to_json(&own_record(control, out_of_reach)).to_vec();
    let message = Message::Joined { record };
    for address in others {
        send(control, socket, &message, address);
    }
}

/// Sends the paces of engines that are due.
fn send_paces(control: &ControlState, socket: &UdpSocket) {
    for (batch, address) in control.next_pace_messages(Instant::now()) {
        let from = control.settings.node.clone();
        let message = Message::EnginePaces { from, batch };
        send(control, socket, &message, address);
    }
}

/// Sends streams to nodes that should keep them and were not sent them when they began.
fn send_streams(control: &ControlState, socket: &UdpSocket) {
    let (shared, own) = (&control.shared, control.own_node());
    let messages = shared.streams_for_new_keepers(own).into_iter();
    for (message, address) in messages.chain(shared.untold_streams(own)) {
        let message = Message::Traffic(TrafficMessage::Streams(message));
        send(control, socket, &message, address);
    }
}

/// Handles a message about where streams began.
fn handle_stream_message(
    control: &ControlState,
    socket: &UdpSocket,
    message: StreamMessage,
    sender: SocketAddr,
) {
    match message {
        StreamMessage::Began(streams) => {
            let own = control.own_node();
            control.shared.record_kept_streams(own, &streams);
        }
        StreamMessage::Ask(key) => {
            let record = control.shared.origin_record(&key);
            let answer = TrafficMessage::Streams(StreamMessage::Answer { key, record });
            send(control, socket, &Message::Traffic(answer), sender);
        }
        // Only traffic threads ask, and answers go to their own sockets.
        StreamMessage::Answer { .. } => {}
    }
}

/// Sends this node's share of the demand for base models.
fn send_model_demand(control: &ControlState, socket: &UdpSocket) {
    let own = control.shared.model_engine_time.take();
    let mut demand = control.model_demand.borrow_mut();
    for (update, address) in demand.next_messages(control, own) {
        let from = control.settings.node.clone();
        send(control, socket, &Message::Models { from, update }, address);
    }
}

/// The holdings as an owner reports them. An owner leaves them out of a report only if the receiver
/// has the current version.
///
/// An owner that has not read its engine yet knows nothing of the holdings, so what was known of
/// them before still counts.
fn holdings_report(version: u64, holdings: Option<Holdings>) -> HoldingsReport {
    match (version, holdings) {
        (0, _) => HoldingsReport::NotReported,
        (_, Some(holdings)) => HoldingsReport::Changed(holdings),
        (_, None) => HoldingsReport::Unchanged,
    }
}

/// Handles a received datagram.
fn handle_datagram(
    control: &ControlState,
    socket: &UdpSocket,
    aggregator: &mut LoadAggregator,
    bytes: &[u8],
    sender: SocketAddr,
) {
    match postcard::from_bytes(bytes) {
        Ok(Message::Uses { from, engines }) => {
            control.record_contact(from.clone());
            let loads = engines
                .iter()
                .filter_map(|used| handle_usage_report(control, &from, used));
            let engines: Vec<EngineLoadUpdate> = loads.collect();
            let from = control.settings.node.clone();
            send(control, socket, &Message::Loads { from, engines }, sender);
        }
        Ok(Message::Loads { from, engines }) => {
            control.record_contact(from);
            for update in engines {
                control.record_transfers(&update.engine, update.load.transfers);
                if let Some(host) = update.load.host.clone() {
                    control.record_host_report(&update.engine, host);
                }
                let mut by_owner = control.owner_reported_at.borrow_mut();
                by_owner.insert(update.engine.clone(), Instant::now());
                drop(by_owner);
                // Each owner counts versions from 0, so those of the last owner say nothing now.
                if update.holdings.is_some() || update.holdings_version == 0 {
                    control.record_holdings_version(&update.engine, update.holdings_version);
                }
                control.shared.owner_updates.put(EngineUpdate {
                    engine: update.engine,
                    report: update.load.into_report(),
                    holdings: holdings_report(update.holdings_version, update.holdings),
                });
            }
        }
        Ok(Message::AggregatedLoads { from, batch }) => {
            aggregator.apply(control, &from, batch);
            control.record_contact(from);
        }
        Ok(Message::Alive { from }) => control.record_contact(from),
        Ok(Message::Traffic(TrafficMessage::Quota(message))) => {
            let traffic = |message| Message::Traffic(TrafficMessage::Quota(message));
            let send = |message, to| send(control, socket, &traffic(message), to);
            control.handle_quota_message(message, sender, send);
        }
        Ok(Message::Traffic(TrafficMessage::Slots(message))) => {
            let traffic = |message| Message::Traffic(TrafficMessage::Slots(message));
            let send = |message, to| send(control, socket, &traffic(message), to);
            control.handle_slot_message(message, sender, send);
        }
        Ok(Message::Traffic(TrafficMessage::Prompts(message))) => {
            let traffic = |message| Message::Traffic(TrafficMessage::Prompts(message));
            let send = |message, to| send(control, socket, &traffic(message), to);
            control.handle_prompt_message(&message, sender, send);
        }
        Ok(Message::Traffic(TrafficMessage::Forward(ForwardMessage::Ask(services)))) => {
            let answer = ForwardMessage::Answer(control.answer_forward_ask(services));
            let answer = Message::Traffic(TrafficMessage::Forward(answer));
            send(control, socket, &answer, sender);
        }
        Ok(Message::Traffic(TrafficMessage::Streams(message))) => {
            handle_stream_message(control, socket, message, sender);
        }
        Ok(Message::Traffic(TrafficMessage::Forward(ForwardMessage::Waiting(node)))) => {
            control.shared.forwarders().record_alive(node);
        }
        // Only traffic threads ask, and answers go to their own sockets.
        Ok(Message::Traffic(TrafficMessage::Forward(ForwardMessage::Answer(_)))) => {}
        Ok(Message::Suspects {
            from,
            suspects,
            is_answer,
        }) => {
            let replies = control.apply_suspects(&from, &suspects);
            if !replies.is_empty() {
                send(
                    control,
                    socket,
                    &suspects_message(control, replies, false),
                    sender,
                );
            }
            if is_answer {
                control.must_query_suspects.set(false);
            }
            control.record_contact(from);
        }
        Ok(Message::Brittle { updates }) => control.apply_brittle(&updates),
        Ok(Message::Leaving { upstreams }) => control.apply_leaving(&upstreams),
        Ok(Message::RateLimits { from, limits }) => {
            control.apply_limits(&limits);
            control.record_contact(from);
        }
        Ok(Message::Joined { record }) => match serde_json::from_slice(&record) {
            Ok(record) => control.record_joined(record),
            Err(error) => log_undecodable(control, sender, &error),
        },
        Ok(Message::EnginePaces { from, batch }) => {
            control.apply_paces(&batch, Instant::now());
            control.record_contact(from);
        }
        Ok(Message::SuspectsQuery { from }) => {
            control.record_contact(from);
            let updates = all_announcements(control);
            send(control, socket, &Message::Brittle { updates }, sender);
            for suspects in all_suspects(control) {
                send(
                    control,
                    socket,
                    &suspects_message(control, suspects, true),
                    sender,
                );
            }
        }
        Ok(Message::Era { from, update }) => {
            control.apply_era_update(update);
            control.record_contact(from);
        }
        Ok(Message::EraQuery { from }) => {
            control.record_contact(from);
            send_era(control, socket, sender);
        }
        Ok(Message::Models { from, update }) => {
            control.record_contact(from.clone());
            let nodes = control.nodes.borrow();
            if let Some(node) = nodes.get(&from) {
                let own_domain = &control.settings.failure_domain;
                let mut demand = control.model_demand.borrow_mut();
                demand.apply(own_domain, &node.failure_domain, &update);
            }
        }
        Err(error) => log_undecodable(control, sender, &error),
    }
}

fn log_undecodable(control: &ControlState, sender: SocketAddr, error: &dyn std::error::Error) {
    log_event!(
        control.log, Event::MessageUndecodable,
        "sender" => sender.to_string(), "problem" => error.to_string()
    );
}

fn handle_usage_report(
    control: &ControlState,
    from: &NodeId,
    used: &EngineUsageReport,
) -> Option<EngineLoadUpdate> {
    let owned = control.owned(&used.engine)?;
    owned.record_usage(from.clone(), used);
    let nodes = control.nodes.borrow();
    if let Some(node) = nodes.get(from) {
        let asked = used.asked.iter().map(|(model, asked)| (model, asked));
        record_adapter_demand(control, &owned, &node.failure_domain, asked);
    }
    drop(nodes);
    Some(EngineLoadUpdate {
        engine: used.engine.clone(),
        load: load_excluding(control, &owned, from),
        holdings_version: owned.holdings_version(),
        holdings: owned.holdings_since(used.known_holdings_version),
    })
}

/// Sends the loads of owned engines to the node that aggregates them; on that node, sends the
/// aggregated loads to the others.
fn send_loads(control: &ControlState, socket: &UdpSocket, aggregator: &mut LoadAggregator) {
    if control.nodes.borrow().len() <= FULL_EXCHANGE_NODES {
        // Every owner already reports to every node.
        return;
    }
    let no_node = NodeId::from("");
    let owned: Vec<Rc<OwnedEngine>> = control.owned.borrow().values().cloned().collect();
    let loads = owned.iter().map(|engine| {
        let load = load_excluding(control, engine, &no_node);
        (engine.id.clone(), load)
    });
    for (mut batch, address) in aggregator.next_messages(control, loads.collect()) {
        batch.load_ms = control.load_times.get().learned_load_ms();
        let from = control.settings.node.clone();
        send(
            control,
            socket,
            &Message::AggregatedLoads { from, batch },
            address,
        );
    }
}

/// Sends a datagram. If the socket is not ready it is dropped, as the next one repeats the state.
fn send(control: &ControlState, socket: &UdpSocket, message: &Message, to: SocketAddr) {
    if let Ok(bytes) = postcard::to_stdvec(message) {
        let traffic = &control.shared.metrics.peer_traffic;
        traffic.record_sent(message.kind(), bytes.len());
        let _ = socket.try_send_to(&bytes, to);
    }
}
