//! Takes slots of plain upstreams, and permits of rate-limited upstreams, from the nodes that issue
//! them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{LimitUpdate, SlotAnswer, SlotEnd, SlotRequest};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::peer_socket::PeerSocket;
use crate::traffic_message::{SlotAskId, SlotMessage, TrafficMessage};

/// How long to wait for the node that issues slots.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// How long a node that did not answer is not asked again.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(1_000);

/// How much longer than its wait limit a queued request waits for the issuing node's final answer.
const QUEUE_MARGIN: Duration = Duration::from_millis(60);

/// The most slots in one renewal, so that it fits into a datagram.
const MAX_RENEWED: usize = 100;

type Answers = mpsc::UnboundedReceiver<SlotAnswer>;

/// A slot that was asked for and not returned.
struct PendingSlot {
    answers: mpsc::UnboundedSender<SlotAnswer>,
    upstream: UpstreamId,
    /// The node to which its return is reported.
    node: SocketAddr,
    is_granted: bool,
}

/// The result of asking for a slot.
pub(crate) enum SlotOutcome {
    /// The slot is taken.
    Granted(SlotPermit),
    /// No node issues slots of this upstream, or the node did not answer.
    NoAnswer,
    /// None is free; one should be after about this time.
    Busy(Duration),
    /// The request cannot be served in time; a retry after this time should find a slot.
    Refused(Duration),
}

/// Sends this node's requests for slots and tracks their answers.
pub(crate) struct SlotClient {
    peer_socket: Rc<PeerSocket>,
    last_id: Cell<SlotAskId>,
    pending: RefCell<HashMap<SlotAskId, PendingSlot>>,
    unresponsive: RefCell<HashMap<SocketAddr, Instant>>,
}

/// A slot that is taken or asked for. It is returned on drop.
pub(crate) struct SlotPermit {
    client: Rc<SlotClient>,
    id: SlotAskId,
    /// Whether the return of the slot must be reported to the issuing node.
    is_known: bool,
    /// How long the request was at the upstream, in milliseconds.
    took_ms: Option<u32>,
    /// How the request ended at a brittle upstream, other than with its answer.
    end: Option<SlotEnd>,
}

impl SlotPermit {
    /// Records how the request ended at a brittle upstream, other than with its answer.
    pub(super) fn record_end(&mut self, end: SlotEnd) {
        self.end = Some(end);
    }

    /// Records that the request was answered, `took` after it was sent.
    pub(super) fn record_answered(&mut self, took: Duration) {
        self.took_ms = u32::try_from(took.as_millis()).ok();
    }

    /// Records that the issuing node refused the slot.
    fn forget(&mut self) {
        self.is_known = false;
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        let pending = self.client.pending.borrow_mut().remove(&self.id);
        let Some(PendingSlot { upstream, node, .. }) = pending.filter(|_| self.is_known) else {
            return;
        };
        match self.end {
            Some(end) => self.client.end(self.id, &upstream, node, end),
            None => self.client.release(self.id, &upstream, node, self.took_ms),
        }
    }
}

impl SlotClient {
    pub(crate) fn new(peer_socket: Rc<PeerSocket>) -> Self {
        Self {
            peer_socket,
            last_id: Cell::new(rand::random()),
            pending: RefCell::default(),
            unresponsive: RefCell::default(),
        }
    }

    /// Asks `node` for a slot of `upstream`, and waits in its queue if `ask` allows that.
    pub(crate) async fn take(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        node: SocketAddr,
        ask: SlotRequest,
        limit: Option<LimitUpdate>,
    ) -> SlotOutcome {
        if self.is_unresponsive(node) {
            return SlotOutcome::NoAnswer;
        }
        let (mut permit, mut answers) = self.ask(upstream, node, ask, limit);
        let mut wait_limit = ANSWER_TIMEOUT;
        loop {
            match timeout(wait_limit, answers.recv()).await {
                Ok(Some(SlotAnswer::Granted)) => {
                    if let Some(pending) = self.pending.borrow_mut().get_mut(&permit.id) {
                        pending.is_granted = true;
                    }
                    return SlotOutcome::Granted(permit);
                }
                Ok(Some(SlotAnswer::Busy { wait_ms })) => {
                    permit.forget();
                    return SlotOutcome::Busy(millis(wait_ms));
                }
                Ok(Some(SlotAnswer::Refused { wait_ms })) => {
                    permit.forget();
                    return SlotOutcome::Refused(millis(wait_ms));
                }
                Ok(Some(SlotAnswer::Queued)) => {
                    wait_limit = millis(ask.wait_limit_ms) + QUEUE_MARGIN;
                }
                Ok(None) | Err(_) if wait_limit == ANSWER_TIMEOUT => {
                    self.unresponsive.borrow_mut().insert(node, Instant::now());
                    return SlotOutcome::NoAnswer;
                }
                Ok(None) | Err(_) => return SlotOutcome::Refused(ANSWER_TIMEOUT),
            }
        }
    }

    fn is_unresponsive(&self, node: SocketAddr) -> bool {
        let mut unresponsive = self.unresponsive.borrow_mut();
        unresponsive.retain(|_, at| at.elapsed() < UNRESPONSIVE_TIME);
        unresponsive.contains_key(&node)
    }

    fn ask(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        node: SocketAddr,
        ask: SlotRequest,
        limit: Option<LimitUpdate>,
    ) -> (SlotPermit, Answers) {
        let id = self.last_id.get().wrapping_add(1);
        self.last_id.set(id);
        let (answer, answers) = mpsc::unbounded_channel();
        let pending = PendingSlot {
            answers: answer,
            upstream: upstream.clone(),
            node,
            is_granted: false,
        };
        self.pending.borrow_mut().insert(id, pending);
        let upstream = upstream.clone();
        let message = SlotMessage::Ask {
            id,
            upstream,
            ask,
            limit,
        };
        self.peer_socket.send(TrafficMessage::Slots(message), node);
        let permit = SlotPermit {
            client: Rc::clone(self),
            id,
            is_known: true,
            took_ms: None,
            end: None,
        };
        (permit, answers)
    }

    /// Processes an answer. A slot whose request is gone is returned.
    pub(super) fn receive_answer(
        &self,
        id: SlotAskId,
        upstream: &UpstreamId,
        answer: SlotAnswer,
        sender: SocketAddr,
    ) {
        let is_taken = match self.pending.borrow().get(&id) {
            Some(pending) => pending.answers.send(answer).is_ok(),
            None => false,
        };
        if !is_taken && answer == SlotAnswer::Granted {
            self.release(id, upstream, sender, None);
        }
    }

    /// Renews the granted slots of the upstreams for which `issuer` returns a node, at that node: it
    /// may have become the issuer, or restarted, since they were granted.
    pub(super) fn renew(&self, issuer: impl Fn(&UpstreamId) -> Option<SocketAddr>) {
        let mut held: HashMap<(UpstreamId, SocketAddr), Vec<SlotAskId>> = HashMap::new();
        for (id, pending) in self.pending.borrow_mut().iter_mut() {
            if let Some(node) = issuer(&pending.upstream).filter(|_| pending.is_granted) {
                pending.node = node;
                let of_gate = held.entry((pending.upstream.clone(), node));
                of_gate.or_default().push(*id);
            }
        }
        for ((upstream, node), ids) in held {
            for ids in ids.chunks(MAX_RENEWED) {
                let (upstream, ids) = (upstream.clone(), ids.to_vec());
                let message = SlotMessage::Renew { upstream, ids };
                self.peer_socket.send(TrafficMessage::Slots(message), node);
            }
        }
    }

    fn end(&self, id: SlotAskId, upstream: &UpstreamId, node: SocketAddr, end: SlotEnd) {
        let upstream = upstream.clone();
        let message = SlotMessage::End { id, upstream, end };
        self.peer_socket.send(TrafficMessage::Slots(message), node);
    }

    fn release(
        &self,
        id: SlotAskId,
        upstream: &UpstreamId,
        node: SocketAddr,
        took_ms: Option<u32>,
    ) {
        let upstream = upstream.clone();
        let message = SlotMessage::Release {
            id,
            upstream,
            took_ms,
        };
        self.peer_socket.send(TrafficMessage::Slots(message), node);
    }
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
