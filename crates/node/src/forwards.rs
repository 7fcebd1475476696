//! Hands once-only calls to the nodes that their tickets name, and runs those handed to this one.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nutmegsail_base::{NodeId, RequestId, ResultCode, RunState};
use nutmegsail_front::PlainCall;
use nutmegsail_idempotency::ForwardResult;
use nutmegsail_request::Refusal;
use nutmegsail_telemetry::{Hop, Spans};
use nutmegsail_wire::{Forward, ForwardAnswer, NodeMessage};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use xtra::Address;

use crate::forwarded_call::{ForwardReply, ForwardedCall, millis};
use crate::peers::{Peers, SendTo};
use crate::plain_calls::PlainCalls;

/// Messages about forwarded calls that wait for the traffic threads before more are dropped.
pub(crate) const FORWARDS_QUEUE: usize = 1024;

/// A message about a forwarded call.
pub(crate) struct ForwardArrived {
    /// The node that sent it.
    pub(crate) from: NodeId,
    /// The message.
    pub(crate) message: NodeMessage,
}

/// Calls that were handed to other nodes and wait for their answers.
#[derive(Clone)]
pub(crate) struct Forwards {
    peers: Address<Peers>,
    spans: Spans,
    waiting: Arc<Mutex<HashMap<RequestId, oneshot::Sender<ForwardResult>>>>,
}

impl Forwards {
    /// Forwards that leave through `peers`.
    pub(crate) fn new(peers: Address<Peers>, spans: Spans) -> Self {
        Self {
            peers,
            spans,
            waiting: Arc::default(),
        }
    }

    /// Hands `call` to the node `to`, once, and waits for its answer until the deadline.
    ///
    /// Once a message may have left this node, a missing answer says nothing about the call: the
    /// message, the answer, or the node may be lost, and the message may yet arrive.
    pub(crate) async fn forward(
        &self,
        call: &PlainCall,
        to: NodeId,
        left: Duration,
    ) -> ForwardResult {
        let span = self.spans.begin(Hop::Forward, call.traceparent.as_deref());
        span.set("nutmegsail.node", &to);
        let Some(body) = ForwardedCall::payload(call) else {
            return ForwardResult::Refused {
                code: ResultCode::BodyTooLarge,
                run_state: RunState::NotRun,
            };
        };
        let message = NodeMessage::Forward(Forward {
            request: call.request.clone(),
            deadline_ms: millis(left),
            traceparent: span.traceparent(),
            body,
        });
        let answer = self.wait_for(&call.request);
        let sent = self.peers.send(SendTo { to, message }).await;
        // An error says that the actor ended, perhaps with the message already handed on.
        let is_sent = sent.unwrap_or(true);
        let result = if is_sent {
            let answer = timeout(left, answer).await;
            answer.ok().and_then(Result::ok)
        } else {
            Some(ForwardResult::NotSent)
        };
        self.lock().remove(&call.request);
        result.unwrap_or(ForwardResult::NoAnswer)
    }

    fn wait_for(&self, request: &RequestId) -> oneshot::Receiver<ForwardResult> {
        let (answered, answer) = oneshot::channel();
        self.lock().insert(request.clone(), answered);
        answer
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, oneshot::Sender<ForwardResult>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An answer that comes twice, or after its caller was told that there is none, is dropped.
    fn answered(&self, answer: &ForwardAnswer) {
        if let Some(waiting) = self.lock().remove(&answer.request) {
            let _ = waiting.send(ForwardReply::result(&answer.body));
        }
    }

    /// Takes what other nodes send about forwarded calls until the control thread ends.
    pub(crate) async fn serve(
        self,
        calls: PlainCalls,
        mut arrived: mpsc::Receiver<ForwardArrived>,
    ) {
        while let Some(ForwardArrived { from, message }) = arrived.recv().await {
            match message {
                NodeMessage::Forward(forward) => {
                    let serve = run_here(calls.clone(), self.peers.clone(), from, forward);
                    calls.once_only.spawn(serve);
                }
                NodeMessage::ForwardAnswer(answer) => self.answered(&answer),
                _ => {}
            }
        }
    }
}

/// Runs a call that another node handed over, as one of this node's own, and answers that node.
///
/// A message that comes twice meets the first one's ticket call here, so it does not run again.
async fn run_here(calls: PlainCalls, peers: Address<Peers>, from: NodeId, forward: Forward) {
    let Forward {
        request,
        deadline_ms,
        traceparent,
        body,
    } = forward;
    let deadline = Duration::from_millis(deadline_ms);
    let call = ForwardedCall::from_payload(&body)
        .and_then(|call| call.into_call(&request, deadline, traceparent));
    let Some(call) = call else {
        return;
    };
    let reply = match calls.run_forwarded(call).await {
        Ok(recorded) => ForwardReply::Answered(recorded),
        Err(refusal) => refused(&refusal),
    };
    let body = reply.payload();
    let message = NodeMessage::ForwardAnswer(ForwardAnswer { request, body });
    let _ = peers.send(SendTo { to: from, message }).await;
}

fn refused(refusal: &Refusal) -> ForwardReply {
    ForwardReply::Refused {
        code: refusal.code.number(),
        run_state: refusal.run_state(),
    }
}
