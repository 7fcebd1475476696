//! Exchange of the paces of engines between nodes.
//!
//! The node that runs an engine's gate learns its pace from the first events of all nodes. It sends
//! the paces of its engines to the node that aggregates loads in each failure domain, which passes
//! them on to the nodes of its own domain. What was passed on isn't passed on again, so that a pace
//! is not confirmed for longer than the node that learned it says so, even if nodes differ in which
//! of them aggregates.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{
    KnownPace, NodeRecord, PaceFilter, decode_pace, encode_pace, readers_by_domain,
};
use serde::{Deserialize, Serialize};

use super::control_state::ControlState;
use super::exchange::FULL_EXCHANGE_NODES;
use super::load_aggregator::EngineDigest;
use super::suspect_gossip::other_nodes;

/// How often an aggregating node passes paces on. Paces change slowly, and with many granting nodes
/// one message for each of theirs would cost more than the paces.
const PASS_ON_INTERVAL: Duration = Duration::from_secs(1);

/// Paces per datagram, at up to 8 bytes each, so that it fits into one packet.
const PACES_PER_DATAGRAM: usize = 150;

/// The pace of an engine in hundredths of a prompt token per millisecond.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct EnginePaceReport(pub(super) EngineDigest, pub(super) u16);

/// A message with paces of engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct PaceBatch {
    paces: Vec<EnginePaceReport>,
    /// Whether an aggregating node passed the paces on, rather than the node that learned them.
    is_passed_on: bool,
}

/// The paces of engines that this node knows.
#[derive(Debug, Default)]
pub(crate) struct EnginePaces {
    known: RefCell<HashMap<UpstreamId, KnownPace>>,
    exchange: RefCell<PaceExchange>,
}

/// Which paces this node has sent, and which it has to pass on.
#[derive(Debug, Default)]
struct PaceExchange {
    filter: PaceFilter<EngineDigest>,
    to_pass_on: HashMap<EngineDigest, u16>,
    passed_on_at: Option<Instant>,
}

impl PaceExchange {
    /// The paces to pass on now.
    fn take_due(&mut self, now: Instant) -> Vec<EnginePaceReport> {
        let is_early = |at| now.duration_since(at) < PASS_ON_INTERVAL;
        if self.to_pass_on.is_empty() || self.passed_on_at.is_some_and(is_early) {
            return Vec::new();
        }
        self.passed_on_at = Some(now);
        let due = self.to_pass_on.drain();
        due.map(|(engine, pace)| EnginePaceReport(engine, pace))
            .collect()
    }
}

impl ControlState {
    /// The learned paces of the engines whose gates run on this node, in prompt tokens per
    /// millisecond.
    pub(crate) fn learned_paces(&self) -> Vec<(UpstreamId, f64)> {
        self.prompt_gates.learned_paces()
    }

    /// The pace of `engine`, if it is known.
    pub(crate) fn known_pace(&self, engine: &UpstreamId) -> Option<KnownPace> {
        self.engine_paces.known.borrow().get(engine).copied()
    }

    /// The messages to send now, with their addresses.
    pub(super) fn next_pace_messages(&self, now: Instant) -> Vec<(PaceBatch, SocketAddr)> {
        let learned = self.learned_paces();
        let encoded = learned.iter().filter_map(|(engine, tokens_per_ms)| {
            Some((EngineDigest::of(engine), encode_pace(*tokens_per_ms)?))
        });
        let mut exchange = self.engine_paces.exchange.borrow_mut();
        let own = exchange.filter.due_paces(encoded, now);
        let own: Vec<_> = own
            .into_iter()
            .map(|(engine, pace)| EnginePaceReport(engine, pace))
            .collect();
        let passed_on = exchange.take_due(now);
        drop(exchange);
        self.record_paces(&own, now);
        let mut messages = Vec::new();
        if !own.is_empty() {
            let targets = self.pace_targets();
            add_messages(&mut messages, &own, false, &targets);
        }
        if !passed_on.is_empty() {
            let targets = self.nodes_of_own_domain();
            add_messages(&mut messages, &passed_on, true, &targets);
        }
        messages
    }

    /// Applies paces that another node sent, and keeps those to pass on that it learned itself.
    pub(super) fn apply_paces(&self, batch: &PaceBatch, now: Instant) {
        self.record_paces(&batch.paces, now);
        let is_aggregated = self.nodes.borrow().len() > FULL_EXCHANGE_NODES;
        if is_aggregated && !batch.is_passed_on {
            let mut exchange = self.engine_paces.exchange.borrow_mut();
            let paces = batch.paces.iter();
            let paces = paces.map(|EnginePaceReport(engine, pace)| (*engine, *pace));
            exchange.to_pass_on.extend(paces);
        }
    }

    fn record_paces(&self, paces: &[EnginePaceReport], now: Instant) {
        if paces.is_empty() {
            return;
        }
        let upstreams = self.upstreams.borrow();
        let engines: HashMap<EngineDigest, &UpstreamId> = upstreams
            .keys()
            .map(|id| (EngineDigest::of(id), id))
            .collect();
        let mut known = self.engine_paces.known.borrow_mut();
        known.retain(|id, pace| upstreams.contains_key(id) && pace.token_ms(now).is_some());
        for EnginePaceReport(engine, pace) in paces {
            let pace = KnownPace::new(decode_pace(*pace), now);
            if let (Some(id), Some(pace)) = (engines.get(engine), pace) {
                known.insert((*id).clone(), pace);
                self.shared.owner_updates.put_pace(id, pace);
            }
        }
    }

    /// The nodes to which this node sends the paces that it learned: all in a small fleet, else the
    /// aggregating node of each failure domain.
    fn pace_targets(&self) -> Vec<SocketAddr> {
        if self.nodes.borrow().len() <= FULL_EXCHANGE_NODES {
            return other_nodes(self);
        }
        let mut targets: Vec<SocketAddr> = {
            let (nodes, settings) = (self.nodes.borrow(), &self.settings);
            let is_remote = |node: &&NodeRecord| node.failure_domain != settings.failure_domain;
            let remote = readers_by_domain(nodes.values().filter(is_remote)).into_values();
            let aggregators = remote.filter_map(|nodes| nodes.into_iter().next());
            aggregators.map(|node| node.address).collect()
        };
        match self.load_aggregator() {
            Some(aggregator) => targets.push(aggregator),
            None => targets.extend(self.nodes_of_own_domain()),
        }
        targets
    }

    fn nodes_of_own_domain(&self) -> Vec<SocketAddr> {
        let (nodes, settings) = (self.nodes.borrow(), &self.settings);
        let others = nodes.values().filter(|node| {
            node.node != settings.node && node.failure_domain == settings.failure_domain
        });
        others.map(|node| node.address).collect()
    }
}

fn add_messages(
    messages: &mut Vec<(PaceBatch, SocketAddr)>,
    paces: &[EnginePaceReport],
    is_passed_on: bool,
    targets: &[SocketAddr],
) {
    for paces in paces.chunks(PACES_PER_DATAGRAM) {
        let batch = PaceBatch {
            paces: paces.to_vec(),
            is_passed_on,
        };
        messages.extend(targets.iter().map(|to| (batch.clone(), *to)));
    }
}
