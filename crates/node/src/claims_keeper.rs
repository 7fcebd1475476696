//! The actor that owns the claims of calls that run at most once.

use std::collections::HashMap;
use std::sync::Arc;

use nutmegsail_base::{Clock, Incarnation, NodeId, RequestId, ResultCode, RunState};
use nutmegsail_idempotency::{
    ClaimAction, ClaimEvent, ClaimOutcome, ClaimSettings, ClaimToken, Claims, ForwardResult,
    IdempotencyKey, LiveNode, RecordedAnswer, RequestDigest, StoreFault, StoredRecord, SwapFault,
    WriterEntry, WriterResult,
};
use nutmegsail_store::{Item, KeyValue, KeyValueError, Txn};
use nutmegsail_telemetry::{Event, log_event};
use nutmegsail_wire::{NodeMessage, Payload};
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::Logger;
use tokio::sync::{mpsc, oneshot};
use xtra::WeakAddress;
use xtra::prelude::*;

use crate::forwards::ForwardArrived;
use crate::peers::{Peers, SendTo};

/// What a once-only call is told.
#[derive(Debug)]
pub(crate) enum ClaimVerdict {
    /// Dispatch it now, once.
    Run,
    /// Hand it to the node that its ticket names, and ask with [`ClaimForwarded`] what to say.
    Forward {
        /// The node.
        to: NodeId,
    },
    /// Answer it with what an earlier call with its key got.
    Answer(RecordedAnswer),
    /// Refuse it.
    Refuse {
        /// Why.
        code: ResultCode,
        /// Whether it may have run.
        run_state: RunState,
        /// When to come back.
        retry_after: Option<std::time::Duration>,
    },
}

/// A once-only call has arrived.
pub(crate) struct BeginClaim {
    /// The request.
    pub(crate) request: RequestId,
    /// Its key.
    pub(crate) key: IdempotencyKey,
    /// What it asks for.
    pub(crate) digest: RequestDigest,
    /// Told what becomes of it.
    pub(crate) verdict: oneshot::Sender<ClaimVerdict>,
}

/// A call was handed to the node that its ticket names.
pub(crate) struct ClaimForwarded {
    /// The request.
    pub(crate) request: RequestId,
    /// What came of it.
    pub(crate) result: ForwardResult,
    /// Told what to say to the caller.
    pub(crate) verdict: oneshot::Sender<ClaimVerdict>,
}

/// From now on messages about forwarded calls go here.
pub(crate) struct TakeForwards(pub(crate) mpsc::Sender<ForwardArrived>);

/// Asks how many calls run or have an outcome that the store does not know yet.
pub(crate) struct AskUnsettled;

/// Bytes of a claimed request are about to be sent.
pub(crate) struct ClaimDispatched(pub(crate) RequestId);

/// A claimed request has ended.
pub(crate) struct ClaimFinished {
    /// The request.
    pub(crate) request: RequestId,
    /// How it ended.
    pub(crate) outcome: ClaimOutcome,
}

/// Something the claims are told by the node's own tasks.
pub(crate) struct ClaimTold(pub(crate) ClaimEvent);

/// The live nodes of the own failure domain.
pub(crate) struct ClaimNodes(pub(crate) Vec<nutmegsail_membership::LiveNode>);

/// The entry VMs of all failure domains, any of which may write claims.
pub(crate) struct ClaimWriters(pub(crate) Vec<NodeId>);

/// A message of another node about claims.
pub(crate) struct ClaimsFromPeer {
    /// The node.
    pub(crate) from: NodeId,
    /// The message.
    pub(crate) message: NodeMessage,
}

/// What the actor is made of.
pub(crate) struct ClaimsParts {
    /// This node.
    pub(crate) node: NodeId,
    /// The run of its process.
    pub(crate) incarnation: Incarnation,
    /// The clock.
    pub(crate) clock: Arc<dyn Clock>,
    /// The key-value service.
    pub(crate) store: Arc<dyn KeyValue>,
    /// Other nodes.
    pub(crate) peers: Address<Peers>,
    /// The log.
    pub(crate) log: Logger,
}

/// Owns [`Claims`].
#[derive(xtra::Actor)]
pub(crate) struct ClaimsKeeper {
    claims: Claims,
    parts: ClaimsParts,
    waiting: HashMap<RequestId, oneshot::Sender<ClaimVerdict>>,
    forwards: Option<mpsc::Sender<ForwardArrived>>,
}

impl ClaimsKeeper {
    /// An actor without claims.
    pub(crate) fn new(parts: ClaimsParts) -> Self {
        let settings = ClaimSettings::default();
        let claims = Claims::new(settings, parts.node.clone(), parts.incarnation);
        Self {
            claims,
            parts,
            waiting: HashMap::new(),
            forwards: None,
        }
    }

    async fn tell(&mut self, event: ClaimEvent, this: &WeakAddress<Self>) {
        let mut actions = Vec::new();
        let clock = &self.parts.clock;
        self.claims
            .handle(event, clock.now(), clock.wall_time(), &mut actions);
        for action in actions {
            self.carry_out(action, this).await;
        }
    }

    async fn carry_out(&mut self, action: ClaimAction, this: &WeakAddress<Self>) {
        match action {
            ClaimAction::Run { request } => self.verdict(&request, ClaimVerdict::Run, this),
            ClaimAction::Answer { request, recorded } => {
                log_event!(self.parts.log, Event::ClaimRepeated, "request" => request.to_string());
                self.verdict(&request, ClaimVerdict::Answer(recorded), this);
            }
            ClaimAction::Refuse {
                request,
                code,
                run_state,
                retry_after,
            } => {
                if code == ResultCode::OutcomeUnknown {
                    let request = request.to_string();
                    log_event!(self.parts.log, Event::OutcomeUnknown, "request" => request);
                }
                let refuse = ClaimVerdict::Refuse {
                    code,
                    run_state,
                    retry_after,
                };
                self.verdict(&request, refuse, this);
            }
            ClaimAction::Forward { request, to, .. } => {
                // The key carries the incarnation, which the other node compares with its own.
                self.verdict(&request, ClaimVerdict::Forward { to }, this);
            }
            ClaimAction::Read { .. }
            | ClaimAction::Swap { .. }
            | ClaimAction::List { .. }
            | ClaimAction::Delete { .. } => self.call_store(action, this),
            ClaimAction::AskWriter { to, token, entries } => {
                let entries = encode(&entries);
                let message = NodeMessage::ClaimAsk {
                    token: token.0,
                    entries,
                };
                self.ask_writer(SendTo { to, message }, token, this);
            }
            ClaimAction::AnswerAsked { to, token, results } => {
                let results = encode(&results);
                let message = NodeMessage::ClaimAnswer {
                    token: token.0,
                    results,
                };
                let _ = self.parts.peers.send(SendTo { to, message }).detach().await;
            }
        }
    }

    fn verdict(&mut self, request: &RequestId, verdict: ClaimVerdict, this: &WeakAddress<Self>) {
        let Some(waiting) = self.waiting.remove(request) else {
            return;
        };
        if let Err(ClaimVerdict::Run) = waiting.send(verdict) {
            // The caller's task is gone before anything was sent, so the call surely did not run.
            let outcome = ClaimOutcome::NotRun;
            tell_later(
                this,
                ClaimEvent::Finished {
                    request: request.clone(),
                    outcome,
                },
            );
        }
    }

    /// A writer without a known address is not waited for.
    fn ask_writer(&self, ask: SendTo, token: ClaimToken, this: &WeakAddress<Self>) {
        let Some(this) = this.try_upgrade() else {
            return;
        };
        let peers = self.parts.peers.clone();
        tokio::spawn(async move {
            if !peers.send(ask).await.unwrap_or(false) {
                let event = ClaimEvent::WriterUnreachable { token };
                let _ = this.send(ClaimTold(event)).detach().await;
            }
        });
    }

    fn call_store(&self, action: ClaimAction, this: &WeakAddress<Self>) {
        let Some(this) = this.try_upgrade() else {
            return;
        };
        let store = Arc::clone(&self.parts.store);
        tokio::spawn(async move {
            if let Some(event) = store_call(&*store, action).await {
                let _ = this.send(ClaimTold(event)).detach().await;
            }
        });
    }
}

fn tell_later(this: &WeakAddress<ClaimsKeeper>, event: ClaimEvent) {
    let Some(this) = this.try_upgrade() else {
        return;
    };
    tokio::spawn(async move { this.send(ClaimTold(event)).detach().await });
}

async fn store_call(store: &dyn KeyValue, action: ClaimAction) -> Option<ClaimEvent> {
    match action {
        ClaimAction::Read { token, key } => {
            let read = store.get(&key).await;
            let result = read.map(|item| item.map(record)).map_err(|_| StoreFault);
            Some(ClaimEvent::ReadDone { token, result })
        }
        ClaimAction::Swap {
            token,
            key,
            expected_revision,
            value,
        } => {
            let txn = Txn::compare_and_swap(key, expected_revision.into(), value);
            let result = store.commit(txn).await;
            let result = result.map(|revision| *revision).map_err(swap_fault);
            Some(ClaimEvent::SwapDone { token, result })
        }
        ClaimAction::List { token, prefix } => {
            let page = store.range(&prefix, None).await;
            let keys = page.map(|page| page.items.into_iter().map(|item| item.key).collect());
            Some(ClaimEvent::ListDone {
                token,
                result: keys.map_err(|_| StoreFault),
            })
        }
        ClaimAction::Delete { key } => {
            let txn = Txn {
                removes: vec![key],
                ..Txn::default()
            };
            // A record that stays is found again by the next collection.
            let _ = store.commit(txn).await;
            None
        }
        _ => None,
    }
}

fn record(item: Item) -> StoredRecord {
    StoredRecord {
        value: item.value,
        revision: *item.revision,
    }
}

/// Only an answer that says so counts as "nothing was written".
fn swap_fault(error: KeyValueError) -> SwapFault {
    match error {
        KeyValueError::Conflict { current } => SwapFault::Conflict {
            current: current.into_iter().next().map(record),
        },
        KeyValueError::Refused
        | KeyValueError::Unavailable
        | KeyValueError::TooLarge
        | KeyValueError::LeaseGone
        | KeyValueError::Compacted => SwapFault::NotDone,
        KeyValueError::Ambiguous | KeyValueError::Malformed(_) => SwapFault::Ambiguous,
    }
}

fn encode<T: Serialize>(value: &T) -> Payload {
    Payload(postcard::to_stdvec(value).unwrap_or_default().into())
}

fn decode<T: DeserializeOwned>(payload: &Payload) -> Option<T> {
    postcard::from_bytes(&payload.0).ok()
}

impl Handler<BeginClaim> for ClaimsKeeper {
    type Return = ();

    async fn handle(&mut self, message: BeginClaim, context: &mut Context<Self>) {
        let BeginClaim {
            request,
            key,
            digest,
            verdict,
        } = message;
        self.waiting.insert(request.clone(), verdict);
        let event = ClaimEvent::Begin {
            request,
            key,
            digest,
        };
        self.tell(event, &context.mailbox().address()).await;
    }
}

impl Handler<ClaimForwarded> for ClaimsKeeper {
    type Return = ();

    async fn handle(&mut self, message: ClaimForwarded, context: &mut Context<Self>) {
        let ClaimForwarded {
            request,
            result,
            verdict,
        } = message;
        self.waiting.insert(request.clone(), verdict);
        let event = ClaimEvent::Forwarded { request, result };
        self.tell(event, &context.mailbox().address()).await;
    }
}

impl Handler<TakeForwards> for ClaimsKeeper {
    type Return = ();

    async fn handle(&mut self, message: TakeForwards, _: &mut Context<Self>) {
        self.forwards = Some(message.0);
    }
}

impl Handler<AskUnsettled> for ClaimsKeeper {
    type Return = usize;

    async fn handle(&mut self, _: AskUnsettled, _: &mut Context<Self>) -> usize {
        self.claims.unsettled()
    }
}

impl Handler<ClaimDispatched> for ClaimsKeeper {
    type Return = ();

    async fn handle(&mut self, message: ClaimDispatched, context: &mut Context<Self>) {
        let event = ClaimEvent::Dispatched { request: message.0 };
        self.tell(event, &context.mailbox().address()).await;
    }
}

impl Handler<ClaimFinished> for ClaimsKeeper {
    type Return = ();

    async fn handle(&mut self, message: ClaimFinished, context: &mut Context<Self>) {
        let ClaimFinished { request, outcome } = message;
        let event = ClaimEvent::Finished { request, outcome };
        self.tell(event, &context.mailbox().address()).await;
    }
}

impl Handler<ClaimTold> for ClaimsKeeper {
    type Return = ();

    async fn handle(&mut self, message: ClaimTold, context: &mut Context<Self>) {
        self.tell(message.0, &context.mailbox().address()).await;
    }
}

impl Handler<ClaimNodes> for ClaimsKeeper {
    type Return = ();

    async fn handle(&mut self, message: ClaimNodes, context: &mut Context<Self>) {
        let live = message.0.into_iter().map(|live| LiveNode {
            node: live.node,
            incarnation: live.incarnation,
        });
        let event = ClaimEvent::LiveNodes {
            nodes: live.collect(),
        };
        self.tell(event, &context.mailbox().address()).await;
    }
}

impl Handler<ClaimWriters> for ClaimsKeeper {
    type Return = ();

    async fn handle(&mut self, message: ClaimWriters, context: &mut Context<Self>) {
        let event = ClaimEvent::WriterCandidates { nodes: message.0 };
        self.tell(event, &context.mailbox().address()).await;
    }
}

impl Handler<ClaimsFromPeer> for ClaimsKeeper {
    type Return = ();

    async fn handle(&mut self, message: ClaimsFromPeer, context: &mut Context<Self>) {
        let ClaimsFromPeer { from, message } = message;
        let event = match message {
            NodeMessage::Forward(_) | NodeMessage::ForwardAnswer(_) => {
                // A message that finds the queue full is lost, as any message between nodes may be.
                if let Some(forwards) = &self.forwards {
                    let _ = forwards.try_send(ForwardArrived { from, message });
                }
                return;
            }
            NodeMessage::ClaimAsk { token, entries } => {
                decode::<Vec<WriterEntry>>(&entries).map(|entries| ClaimEvent::WriterAsked {
                    from,
                    token: ClaimToken(token),
                    entries,
                })
            }
            NodeMessage::ClaimAnswer { token, results } => decode::<Vec<WriterResult>>(&results)
                .map(|results| ClaimEvent::WriterAnswered {
                    token: ClaimToken(token),
                    results,
                }),
            _ => None,
        };
        if let Some(event) = event {
            self.tell(event, &context.mailbox().address()).await;
        }
    }
}
