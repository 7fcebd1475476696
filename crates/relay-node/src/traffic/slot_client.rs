//! Takes slots of plain upstreams, and permits of rate-limited upstreams, from the nodes that issue
//! them.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{LimitTold, SlotAnswer, SlotAsk};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::link::Link;
use crate::traffic_message::{SlotAskId, SlotMessage, TrafficMessage};

/// How long to wait for the node that issues slots.
const ANSWER_PATIENCE: Duration = Duration::from_millis(40);

/// How long a node that did not answer is not asked again.
const SILENT_FOR: Duration = Duration::from_millis(1_000);

/// How much longer than its wait limit a queued request waits for the issuing node's final answer.
const QUEUE_MARGIN: Duration = Duration::from_millis(60);

type Answers = mpsc::UnboundedReceiver<SlotAnswer>;

/// The result of asking for a slot.
pub(crate) enum SlotTaken {
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
    link: Rc<Link>,
    asks: Cell<SlotAskId>,
    waiting: RefCell<HashMap<SlotAskId, mpsc::UnboundedSender<SlotAnswer>>>,
    silent: RefCell<HashMap<SocketAddr, Instant>>,
}

/// A slot that is taken or asked for. It is returned on drop.
pub(crate) struct SlotPermit {
    client: Rc<SlotClient>,
    id: SlotAskId,
    upstream: UpstreamId,
    node: SocketAddr,
    /// Whether the issuing node has to be told when the slot is returned.
    is_known: bool,
    /// How long the request was at the upstream, in milliseconds.
    took_ms: Option<u32>,
}

impl SlotPermit {
    /// Records that the request was answered, `took` after it was sent.
    pub(super) fn note_answered(&mut self, took: Duration) {
        self.took_ms = u32::try_from(took.as_millis()).ok();
    }

    /// Records that the issuing node refused the slot.
    fn forget(&mut self) {
        self.is_known = false;
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.client.waiting.borrow_mut().remove(&self.id);
        if self.is_known {
            self.client
                .release(self.id, &self.upstream, self.node, self.took_ms);
        }
    }
}

impl SlotClient {
    pub(crate) fn new(link: Rc<Link>) -> Self {
        Self {
            link,
            asks: Cell::new(rand::random()),
            waiting: RefCell::default(),
            silent: RefCell::default(),
        }
    }

    /// Asks `node` for a slot of `upstream`, and waits in its queue if `ask` allows that.
    pub(crate) async fn take(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        node: SocketAddr,
        ask: SlotAsk,
        limit: Option<LimitTold>,
    ) -> SlotTaken {
        if self.is_silent(node) {
            return SlotTaken::NoAnswer;
        }
        let (mut permit, mut answers) = self.ask(upstream, node, ask, limit);
        let mut patience = ANSWER_PATIENCE;
        loop {
            match timeout(patience, answers.recv()).await {
                Ok(Some(SlotAnswer::Granted)) => return SlotTaken::Granted(permit),
                Ok(Some(SlotAnswer::Busy { wait_ms })) => {
                    permit.forget();
                    return SlotTaken::Busy(millis(wait_ms));
                }
                Ok(Some(SlotAnswer::Refused { wait_ms })) => {
                    permit.forget();
                    return SlotTaken::Refused(millis(wait_ms));
                }
                Ok(Some(SlotAnswer::Queued)) => {
                    patience = millis(ask.patience_ms) + QUEUE_MARGIN;
                }
                Ok(None) | Err(_) if patience == ANSWER_PATIENCE => {
                    self.silent.borrow_mut().insert(node, Instant::now());
                    return SlotTaken::NoAnswer;
                }
                Ok(None) | Err(_) => return SlotTaken::Refused(ANSWER_PATIENCE),
            }
        }
    }

    fn is_silent(&self, node: SocketAddr) -> bool {
        let mut silent = self.silent.borrow_mut();
        silent.retain(|_, at| at.elapsed() < SILENT_FOR);
        silent.contains_key(&node)
    }

    fn ask(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        node: SocketAddr,
        ask: SlotAsk,
        limit: Option<LimitTold>,
    ) -> (SlotPermit, Answers) {
        let id = self.asks.get().wrapping_add(1);
        self.asks.set(id);
        let (answer, answers) = mpsc::unbounded_channel();
        self.waiting.borrow_mut().insert(id, answer);
        let upstream = upstream.clone();
        let message = SlotMessage::Ask {
            id,
            upstream: upstream.clone(),
            ask,
            limit,
        };
        self.link.send(TrafficMessage::Slots(message), node);
        let permit = SlotPermit {
            client: Rc::clone(self),
            id,
            upstream,
            node,
            is_known: true,
            took_ms: None,
        };
        (permit, answers)
    }

    /// Processes an answer. A slot whose request is gone is returned.
    pub(super) fn take_answer(
        &self,
        id: SlotAskId,
        upstream: &UpstreamId,
        answer: SlotAnswer,
        sender: SocketAddr,
    ) {
        let is_taken = match self.waiting.borrow().get(&id) {
            Some(waiting) => waiting.send(answer).is_ok(),
            None => false,
        };
        if !is_taken && answer == SlotAnswer::Granted {
            self.release(id, upstream, sender, None);
        }
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
        self.link.send(TrafficMessage::Slots(message), node);
    }
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}
