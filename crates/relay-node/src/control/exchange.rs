//! Datagrams between nodes, mainly between an engine's owner and the nodes that use the engine.
//!
//! A node sends an engine's owner what it has in flight there; the owner replies with what all
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
    EngineLoadNow, EraTold, Holdings, HoldingsTold, LimitTold, ModelRef, SuspectTold,
    readers_by_domain,
};
use nutmegsail_telemetry::{Event, log_event};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use super::engine::OwnedEngine;
use super::engine_load::{EngineLoad, load_without, room};
use super::knowledge::Knowledge;
use super::leaving_news::LeavingNews;
use super::limit_news::LimitNews;
use super::load_board::{LoadBoard, LoadPage};
use super::model_demand::ModelsAsked;
use super::suspect_news::{SuspectNews, all_suspects};
use crate::shared::{Asked, CopyNews, EngineNews, EngineUse};
use crate::traffic_message::TrafficMessage;

/// How often a node reports what it has in flight. A prompt takes some 76 ms to process, so older
/// queue lengths are of little use; a shorter interval costs more datagrams.
const INTERVAL: Duration = Duration::from_millis(100);

/// With up to this many nodes, each node reports to every owner, even if it does not use the
/// owner's engines.
pub(crate) const FULL_EXCHANGE_NODES: usize = 16;

/// The largest datagram that is read, in bytes.
const DATAGRAM_BYTES: usize = 16 * 1024;

/// What a node has in flight at one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct EngineUseTold {
    pub(crate) engine: UpstreamId,
    pub(crate) in_flight: u32,
    pub(crate) unread_tokens: u64,
    /// Requests in flight for each adapter.
    pub(crate) models: Vec<(ModelRef, u32)>,
    /// Demand for each adapter since the last message.
    pub(crate) asked: Vec<(ModelRef, Asked)>,
    /// The version number of the engine's holdings that the sender knows.
    known_change: u64,
}

/// An owner's status report of one engine to one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct EngineTold {
    engine: UpstreamId,
    /// The engine's load without the receiving node's own share.
    load: EngineLoad,
    /// The version number of the engine's holdings.
    change: u64,
    /// The holdings, if the receiving node knows an older version.
    holdings: Option<Holdings>,
}

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Message {
    /// Sent to an owner.
    Uses {
        from: NodeId,
        engines: Vec<EngineUseTold>,
    },
    /// Sent by an owner.
    Loads {
        from: NodeId,
        engines: Vec<EngineTold>,
    },
    /// Sent by an owner to the node that aggregates loads for its failure domain, or by that node.
    Gathered { from: NodeId, page: LoadPage },
    /// Sent by a reader to the readers of other failure domains, which might otherwise not hear
    /// from its domain for a while.
    Alive { from: NodeId },
    /// Sent or received by a traffic thread.
    Traffic(TrafficMessage),
    /// Demand for base models.
    Models { from: NodeId, asked: ModelsAsked },
    /// Requests under which upstreams ended.
    Suspects {
        from: NodeId,
        told: Vec<SuspectTold>,
        /// Whether this answers [`Message::SuspectsAsked`].
        is_answer: bool,
    },
    /// Rate limits that upstreams have announced.
    Limits { from: NodeId, told: Vec<LimitTold> },
    /// Upstreams that have announced that they are leaving.
    Leaving { told: Vec<UpstreamId> },
    /// Asks for all suspects, after a start or a stall of the sender.
    SuspectsAsked { from: NodeId },
    /// What the sender knows of the store's era.
    Era { from: NodeId, told: EraTold },
    /// Asks for [`Message::Era`], after a start of the sender.
    EraAsked { from: NodeId },
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
pub(crate) async fn run(knowledge: Rc<Knowledge>, socket: UdpSocket) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut board = LoadBoard::default();
    let mut suspect_news = SuspectNews::default();
    let mut limit_news = LimitNews::default();
    let mut leaving_news = LeavingNews::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                tell(&knowledge, &socket);
                gather(&knowledge, &socket, &mut board);
                tell_models(&knowledge, &socket);
                tell_alive(&knowledge, &socket);
                tell_suspects(&knowledge, &socket, &mut suspect_news);
                tell_limits(&knowledge, &socket, &mut limit_news);
                tell_leaving(&knowledge, &socket, &mut leaving_news);
                tell_era(&knowledge, &socket);
                turn_slots(&knowledge, &socket);
            }
            received = socket.recv_from(&mut buffer) => {
                if let Ok((length, sender)) = received {
                    take(&knowledge, &socket, &mut board, &buffer[..length], sender);
                }
            }
        }
    }
}

/// Reports to each owner what this node has in flight at its engines.
fn tell(knowledge: &Knowledge, socket: &UdpSocket) {
    let me = &knowledge.settings.node;
    let mut told: HashMap<NodeId, Vec<EngineUseTold>> = HashMap::new();
    let owners = knowledge.owners.borrow();
    let tells_all = knowledge.nodes.borrow().len() <= FULL_EXCHANGE_NODES;
    for (engine, owner) in owners.iter() {
        let used = knowledge.shared.uses.take(engine);
        if let Some(owned) = knowledge.owned(engine) {
            note_own_use(knowledge, &owned, &used);
        } else if owner.node != *me && (tells_all || used != EngineUse::default()) {
            let engines = told.entry(owner.node.clone()).or_default();
            engines.push(use_told(knowledge, engine, used));
        }
    }
    drop(owners);
    for (owner, engines) in told {
        let address = knowledge
            .nodes
            .borrow()
            .get(&owner)
            .map(|node| node.address);
        let from = me.clone();
        if let Some(address) = address {
            send(socket, &Message::Uses { from, engines }, address);
        }
    }
}

fn use_told(knowledge: &Knowledge, engine: &UpstreamId, used: EngineUse) -> EngineUseTold {
    EngineUseTold {
        known_change: knowledge.known_change(engine),
        engine: engine.clone(),
        in_flight: used.in_flight,
        unread_tokens: used.unread_tokens,
        models: used.models.into_iter().collect(),
        asked: used.asked.into_iter().collect(),
    }
}

/// Records what this node itself has in flight at an engine that it owns.
fn note_own_use(knowledge: &Knowledge, owned: &OwnedEngine, used: &EngineUse) {
    let here = &knowledge.settings.failure_domain;
    note_asked(knowledge, owned, here, used.asked.iter());
    want_copies(knowledge, owned, used);
    owned.set_room(room(knowledge, owned));
    let load = load_without(knowledge, owned, &knowledge.settings.node);
    knowledge.shared.news.put(EngineNews {
        engine: owned.id.clone(),
        report: load.into_report(),
        holdings: told_by_owner(owned.holdings_since(knowledge.known_change(&owned.id))),
    });
    knowledge.note_change(&owned.id, owned.change());
}

/// Adds a report of demand from a node in `domain`.
fn note_asked<'a>(
    knowledge: &Knowledge,
    owned: &OwnedEngine,
    domain: &FailureDomain,
    asked: impl Iterator<Item = (&'a ModelRef, &'a Asked)>,
) {
    let now = Instant::now();
    let mut demand = owned.demand.borrow_mut();
    for (model, asked) in asked {
        let (requests, tokens) = (f64::from(asked.requests), f64::from(asked.prompt_tokens));
        knowledge.count_demand(model, requests);
        demand.note(domain, model, requests, tokens, now);
    }
}

/// Passes on to the traffic thread, which knows all engines, which adapters of an owned engine need
/// more copies.
fn want_copies(knowledge: &Knowledge, owned: &OwnedEngine, mine: &EngineUse) {
    let Some(upstream) = knowledge.upstream(&owned.id) else {
        return;
    };
    let holdings = owned.holdings();
    let engine = EngineLoadNow {
        failure_domain: &upstream.failure_domain,
        slots: upstream.slots,
        holdings: &holdings,
    };
    let in_flight = |model: &ModelRef| {
        owned.in_flight_elsewhere(model) + mine.models.get(model).copied().unwrap_or(0)
    };
    let mut demand = owned.demand.borrow_mut();
    let copies = demand.copies_wanted(engine, in_flight, Instant::now());
    let news = copies.into_iter().map(|wanted| CopyNews {
        service: upstream.service.clone(),
        wanted,
    });
    knowledge.shared.news.want_copies(news);
}

/// Sends a sign of life to the readers of other failure domains, if this node is a reader of its
/// own.
fn tell_alive(knowledge: &Knowledge, socket: &UdpSocket) {
    let nodes = knowledge.nodes.borrow();
    if nodes.len() <= FULL_EXCHANGE_NODES {
        // Every node already reports to every owner.
        return;
    }
    let readers = readers_by_domain(nodes.values());
    let (here, me) = (&knowledge.settings.failure_domain, &knowledge.settings.node);
    let is_reader = readers
        .get(here)
        .is_some_and(|readers| readers.iter().any(|reader| reader.node == *me));
    let far = readers.iter().filter(|(domain, _)| **domain != here);
    for reader in far.flat_map(|(_, readers)| readers).filter(|_| is_reader) {
        let from = me.clone();
        send(socket, &Message::Alive { from }, reader.address);
    }
}

/// Sends requests under which upstreams ended, and asks other nodes for theirs.
fn tell_suspects(knowledge: &Knowledge, socket: &UdpSocket, news: &mut SuspectNews) {
    for (told, address) in news.turn(knowledge) {
        let from = knowledge.settings.node.clone();
        let message = Message::Suspects {
            from,
            told,
            is_answer: false,
        };
        send(socket, &message, address);
    }
    for address in news.asks(knowledge) {
        let from = knowledge.settings.node.clone();
        send(socket, &Message::SuspectsAsked { from }, address);
    }
}

/// Sends the rate limits that upstreams have announced.
fn tell_limits(knowledge: &Knowledge, socket: &UdpSocket, news: &mut LimitNews) {
    knowledge.forget_unlisted();
    for (told, address) in news.turn(knowledge) {
        let from = knowledge.settings.node.clone();
        send(socket, &Message::Limits { from, told }, address);
    }
}

/// Sends the upstreams that have announced that they are leaving.
fn tell_leaving(knowledge: &Knowledge, socket: &UdpSocket, news: &mut LeavingNews) {
    for (told, address) in news.turn(knowledge) {
        send(socket, &Message::Leaving { told }, address);
    }
}

/// Tells other nodes of a recent restore of the store, or asks them for its era.
fn tell_era(knowledge: &Knowledge, socket: &UdpSocket) {
    for address in knowledge.era_news() {
        send_era(knowledge, socket, address);
    }
    for address in knowledge.era_asks() {
        let from = knowledge.settings.node.clone();
        send(socket, &Message::EraAsked { from }, address);
    }
}

fn send_era(knowledge: &Knowledge, socket: &UdpSocket, address: SocketAddr) {
    if let Some(told) = knowledge.era_told() {
        let from = knowledge.settings.node.clone();
        send(socket, &Message::Era { from, told }, address);
    }
}

/// Grants the turns that are due at rate-limited upstreams.
fn turn_slots(knowledge: &Knowledge, socket: &UdpSocket) {
    let traffic = |message| Message::Traffic(TrafficMessage::Slots(message));
    knowledge.turn_slots(|message, to| send(socket, &traffic(message), to));
}

/// Sends this node's share of the demand for base models.
fn tell_models(knowledge: &Knowledge, socket: &UdpSocket) {
    let own = knowledge.shared.models_asked.take();
    let mut demand = knowledge.model_demand.borrow_mut();
    for (asked, address) in demand.turn(knowledge, own) {
        let from = knowledge.settings.node.clone();
        send(socket, &Message::Models { from, asked }, address);
    }
}

/// The holdings as an owner reports them: it omits them from a report only if they have not
/// changed.
fn told_by_owner(holdings: Option<Holdings>) -> HoldingsTold {
    holdings.map_or(HoldingsTold::Unchanged, HoldingsTold::Changed)
}

/// Handles a received datagram.
fn take(
    knowledge: &Knowledge,
    socket: &UdpSocket,
    board: &mut LoadBoard,
    bytes: &[u8],
    sender: SocketAddr,
) {
    match postcard::from_bytes(bytes) {
        Ok(Message::Uses { from, engines }) => {
            knowledge.note_heard(from.clone());
            let loads = engines
                .iter()
                .filter_map(|used| take_use(knowledge, &from, used));
            let engines: Vec<EngineTold> = loads.collect();
            let from = knowledge.settings.node.clone();
            send(socket, &Message::Loads { from, engines }, sender);
        }
        Ok(Message::Loads { from, engines }) => {
            knowledge.note_heard(from);
            for told in engines {
                knowledge.note_transfers(&told.engine, told.load.transfers);
                if let Some(host) = told.load.host.clone() {
                    knowledge.note_hosted(&told.engine, host);
                }
                let mut by_owner = knowledge.told_by_owner.borrow_mut();
                by_owner.insert(told.engine.clone(), Instant::now());
                drop(by_owner);
                if told.holdings.is_some() {
                    knowledge.note_change(&told.engine, told.change);
                }
                knowledge.shared.news.put(EngineNews {
                    engine: told.engine,
                    report: told.load.into_report(),
                    holdings: told_by_owner(told.holdings),
                });
            }
        }
        Ok(Message::Gathered { from, page }) => {
            knowledge.note_heard(from);
            board.take(knowledge, page);
        }
        Ok(Message::Alive { from }) => knowledge.note_heard(from),
        Ok(Message::Traffic(TrafficMessage::Quota(message))) => {
            let traffic = |message| Message::Traffic(TrafficMessage::Quota(message));
            let send = |message, to| send(socket, &traffic(message), to);
            knowledge.take_quota_message(message, sender, send);
        }
        Ok(Message::Traffic(TrafficMessage::Slots(message))) => {
            let traffic = |message| Message::Traffic(TrafficMessage::Slots(message));
            let send = |message, to| send(socket, &traffic(message), to);
            knowledge.take_slot_message(message, sender, send);
        }
        Ok(Message::Suspects {
            from,
            told,
            is_answer,
        }) => {
            knowledge.take_suspects(&from, &told);
            if is_answer {
                knowledge.needs_suspects.set(false);
            }
            knowledge.note_heard(from);
        }
        Ok(Message::Leaving { told }) => knowledge.take_leaving(&told),
        Ok(Message::Limits { from, told }) => {
            knowledge.take_limits(&told);
            knowledge.note_heard(from);
        }
        Ok(Message::SuspectsAsked { from }) => {
            knowledge.note_heard(from);
            for told in all_suspects(knowledge) {
                let message = Message::Suspects {
                    from: knowledge.settings.node.clone(),
                    told,
                    is_answer: true,
                };
                send(socket, &message, sender);
            }
        }
        Ok(Message::Era { from, told }) => {
            knowledge.take_era_told(told);
            knowledge.note_heard(from);
        }
        Ok(Message::EraAsked { from }) => {
            knowledge.note_heard(from);
            send_era(knowledge, socket, sender);
        }
        Ok(Message::Models { from, asked }) => {
            knowledge.note_heard(from.clone());
            let nodes = knowledge.nodes.borrow();
            if let Some(node) = nodes.get(&from) {
                let here = &knowledge.settings.failure_domain;
                let mut demand = knowledge.model_demand.borrow_mut();
                demand.take(here, &node.failure_domain, &asked);
            }
        }
        Err(error) => {
            log_event!(
                knowledge.log, Event::MessageUndecodable,
                "sender" => sender.to_string(), "problem" => error.to_string()
            );
        }
    }
}

fn take_use(knowledge: &Knowledge, from: &NodeId, used: &EngineUseTold) -> Option<EngineTold> {
    let owned = knowledge.owned(&used.engine)?;
    owned.note_use(from.clone(), used);
    let nodes = knowledge.nodes.borrow();
    if let Some(node) = nodes.get(from) {
        let asked = used.asked.iter().map(|(model, asked)| (model, asked));
        note_asked(knowledge, &owned, &node.failure_domain, asked);
    }
    drop(nodes);
    Some(EngineTold {
        engine: used.engine.clone(),
        load: load_without(knowledge, &owned, from),
        change: owned.change(),
        holdings: owned.holdings_since(used.known_change),
    })
}

/// Sends the loads of owned engines to the node that aggregates them; on that node, sends the
/// aggregated loads to the others.
fn gather(knowledge: &Knowledge, socket: &UdpSocket, board: &mut LoadBoard) {
    if knowledge.nodes.borrow().len() <= FULL_EXCHANGE_NODES {
        // Every owner already reports to every node.
        return;
    }
    let nobody = NodeId::from("");
    let owned: Vec<Rc<OwnedEngine>> = knowledge.owned.borrow().values().cloned().collect();
    let loads = owned.iter().map(|engine| {
        let load = load_without(knowledge, engine, &nobody);
        (engine.id.clone(), load)
    });
    for (mut page, address) in board.turn(knowledge, loads.collect()) {
        page.load_ms = knowledge.load_times.get().to_tell();
        let from = knowledge.settings.node.clone();
        send(socket, &Message::Gathered { from, page }, address);
    }
}

/// Sends a datagram. If the socket is not ready it is dropped, as the next one repeats the state.
fn send(socket: &UdpSocket, message: &Message, to: SocketAddr) {
    if let Ok(bytes) = postcard::to_stdvec(message) {
        let _ = socket.try_send_to(&bytes, to);
    }
}
