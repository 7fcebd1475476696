//! Asks the nodes that pace engines' prompts before a prompt is sent, and reports what became of it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{PromptAnswer, PromptAsk};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::peer_socket::PeerSocket;
use crate::traffic_message::{PromptId, PromptMessage, TrafficMessage};

/// How long to wait for the granting node.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);

/// How long a node that did not answer is not asked again.
const UNRESPONSIVE_TIME: Duration = Duration::from_millis(1_000);

/// How long a queued request waits before it asks again. The granting node answers at once that the
/// request is still queued, unless it has ended meanwhile or lost its queue.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// An answer, and the engine's pace that it is based on.
#[derive(Clone, Copy, Debug)]
pub(super) struct PacedAnswer {
    pub(super) answer: PromptAnswer,
    pub(super) tokens_per_s: u32,
    /// Age of the last sample of the pace, if there was one.
    pub(super) pace_age_ms: Option<u32>,
}

/// The result of asking whether a prompt may be sent.
pub(super) enum PromptOutcome {
    /// It may be sent.
    Granted(PromptPermit, PacedAnswer),
    /// The granting node does not answer. The send is reported to it.
    NoAnswer(PromptPermit),
    /// It may not be sent now.
    Rejected(PacedAnswer),
}

/// Sends this node's questions about prompts and tracks their answers.
pub(crate) struct PromptClient {
    peer_socket: Rc<PeerSocket>,
    last_id: Cell<PromptId>,
    waiting: RefCell<HashMap<PromptId, mpsc::UnboundedSender<PacedAnswer>>>,
    unresponsive: RefCell<HashMap<SocketAddr, Instant>>,
}

/// A prompt of which the granting node knows. Its end is reported on drop, unless the node needs no
/// report of it.
pub(crate) struct PromptPermit {
    client: Rc<PromptClient>,
    id: PromptId,
    upstream: UpstreamId,
    node: SocketAddr,
    /// Whether its end must be reported.
    reports_end: bool,
    /// The usual time between two events, which is reported with its end.
    spacing: Option<Duration>,
}

impl PromptPermit {
    /// Reports the first event, `took` after the prompt was sent. After it, the end is reported only
    /// if the gate was active: an inactive gate has nothing to do at that time.
    pub(super) fn record_first_event(&mut self, took: Duration, is_paced: bool) {
        let (id, upstream, took_ms) = (self.id, self.upstream.clone(), whole_millis(took));
        self.reports_end = is_paced;
        self.client.send(
            PromptMessage::FirstEvent {
                id,
                upstream,
                took_ms,
            },
            self.node,
        );
    }

    /// Records the usual time between two events without prefill.
    pub(super) fn record_spacing(&mut self, spacing: Duration) {
        self.spacing = Some(spacing);
    }

    /// Reports a pause that was longer than the route's longest.
    pub(super) fn record_pause(&self, pause: Duration) {
        let (id, upstream, pause_ms) = (self.id, self.upstream.clone(), whole_millis(pause));
        self.client.send(
            PromptMessage::Pause {
                id,
                upstream,
                pause_ms,
            },
            self.node,
        );
    }
}

impl Drop for PromptPermit {
    fn drop(&mut self) {
        self.client.waiting.borrow_mut().remove(&self.id);
        if self.reports_end {
            let (id, upstream) = (self.id, self.upstream.clone());
            let spacing_ms = self.spacing.map(whole_millis);
            let message = PromptMessage::End {
                id,
                upstream,
                spacing_ms,
            };
            self.client.send(message, self.node);
        }
    }
}

impl PromptClient {
    pub(crate) fn new(peer_socket: Rc<PeerSocket>) -> Self {
        Self {
            peer_socket,
            last_id: Cell::new(rand::random()),
            waiting: RefCell::default(),
            unresponsive: RefCell::default(),
        }
    }

    /// Reports a prompt that is sent without asking.
    pub(super) fn report_sent(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        node: SocketAddr,
        ask: PromptAsk,
    ) -> PromptPermit {
        let permit = self.new_permit(upstream, node);
        let (id, upstream) = (permit.id, upstream.clone());
        self.send(PromptMessage::Sent { id, upstream, ask }, node);
        permit
    }

    /// Asks `node` whether a prompt may be sent to `upstream`, and waits in its queue until
    /// `ask.wait_limit_ms` has passed.
    pub(super) async fn ask(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        node: SocketAddr,
        ask: PromptAsk,
    ) -> PromptOutcome {
        if self.is_unresponsive(node) {
            return PromptOutcome::NoAnswer(self.report_sent(upstream, node, ask));
        }
        let mut permit = self.new_permit(upstream, node);
        let (sender, mut answers) = mpsc::unbounded_channel();
        self.waiting.borrow_mut().insert(permit.id, sender);
        let began = Instant::now();
        let wait_limit = Duration::from_millis(u64::from(ask.wait_limit_ms));
        let mut is_answered = false;
        loop {
            if !is_answered {
                let (id, upstream) = (permit.id, upstream.clone());
                let ask = ask_after(ask, began.elapsed());
                self.send(PromptMessage::Ask { id, upstream, ask }, node);
            }
            let wait = match is_answered {
                true => REPEAT_INTERVAL,
                false => ANSWER_TIMEOUT,
            };
            let answer = match timeout(wait, answers.recv()).await {
                Ok(Some(answer)) => answer,
                Ok(None) | Err(_) if is_answered && began.elapsed() < wait_limit => {
                    is_answered = false;
                    continue;
                }
                Ok(None) | Err(_) => {
                    if !is_answered {
                        let mut unresponsive = self.unresponsive.borrow_mut();
                        unresponsive.insert(node, Instant::now());
                    }
                    let (id, upstream) = (permit.id, upstream.clone());
                    self.send(PromptMessage::Sent { id, upstream, ask }, node);
                    return PromptOutcome::NoAnswer(permit);
                }
            };
            match answer.answer {
                PromptAnswer::Granted => return PromptOutcome::Granted(permit, answer),
                PromptAnswer::Queued => is_answered = true,
                PromptAnswer::Busy { .. } | PromptAnswer::Refused { .. } => {
                    permit.reports_end = false;
                    return PromptOutcome::Rejected(answer);
                }
            }
        }
    }

    fn new_permit(self: &Rc<Self>, upstream: &UpstreamId, node: SocketAddr) -> PromptPermit {
        let id = self.last_id.get().wrapping_add(1);
        self.last_id.set(id);
        PromptPermit {
            client: Rc::clone(self),
            id,
            upstream: upstream.clone(),
            node,
            reports_end: true,
            spacing: None,
        }
    }

    fn is_unresponsive(&self, node: SocketAddr) -> bool {
        let mut unresponsive = self.unresponsive.borrow_mut();
        unresponsive.retain(|_, at| at.elapsed() < UNRESPONSIVE_TIME);
        unresponsive.contains_key(&node)
    }

    /// Processes an answer. The end of a request that is gone was reported when its permit was
    /// dropped, but that report may have been lost, or have arrived before the request.
    pub(super) fn receive_answer(
        &self,
        id: PromptId,
        upstream: UpstreamId,
        answer: PacedAnswer,
        sender: SocketAddr,
    ) {
        if let Some(waiting) = self.waiting.borrow().get(&id) {
            // Fails if an earlier answer was the last one that the request waited for.
            let _ = waiting.send(answer);
            return;
        }
        if matches!(answer.answer, PromptAnswer::Granted | PromptAnswer::Queued) {
            let message = PromptMessage::End {
                id,
                upstream,
                spacing_ms: None,
            };
            self.send(message, sender);
        }
    }

    fn send(&self, message: PromptMessage, node: SocketAddr) {
        self.peer_socket
            .send(TrafficMessage::Prompts(message), node);
    }
}

/// `ask` as it is to be put `waited` later.
fn ask_after(ask: PromptAsk, waited: Duration) -> PromptAsk {
    let waited_ms = whole_millis(waited);
    PromptAsk {
        due_in_ms: ask.due_in_ms.saturating_sub(waited_ms),
        wait_limit_ms: ask.wait_limit_ms.saturating_sub(waited_ms),
        ..ask
    }
}

pub(super) fn whole_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
