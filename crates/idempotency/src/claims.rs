//! The decisions about calls that run once.

mod begin;
mod settle;

use std::time::{Instant, SystemTime};

use nutmegsail_base::{Incarnation, NodeId, RequestId, ResultCode};

use crate::asks::Asks;
use crate::collector::Collector;
use crate::own_claims::OwnClaims;
use crate::queued::{QueuedOperation, Reply, ReplyTo};
use crate::shard_writer::ShardWriter;
use crate::tickets::Tickets;
use crate::token_source::TokenSource;
use crate::verdict::Verdict;
use crate::writers::Writers;
use crate::{
    ChainPlace, ClaimAction, ClaimEvent, ClaimOperation, ClaimSettings, ClaimToken, Claimant,
    IdempotencyKey, RequestDigest, SHARDS, WriterEntry, WriterResult,
};

/// One node's part in running calls at most once: it claims keys for its own callers, and writes
/// claims of all nodes for the shards that fall to it.
///
/// ```
/// use std::time::{Duration, Instant, SystemTime};
/// use nutmegsail_base::Incarnation;
/// use nutmegsail_idempotency::*;
///
/// let mut claims = Claims::new(ClaimSettings::default(), "node-1".into(), Incarnation(1));
/// let key = IdempotencyKey::parse("018bcfe5-6800-7000-8000-000000000001")?;
/// let wall = SystemTime::UNIX_EPOCH + Duration::from_millis(key.issued_unix_ms());
/// let digest = RequestDigest::of("POST", "/bookings", &"spa-desk".into(), b"{}");
/// let begin = ClaimEvent::Begin { request: "r1".into(), key, digest };
///
/// let mut actions = Vec::new();
/// claims.handle(begin, Instant::now(), wall, &mut actions);
/// assert!(matches!(actions[..], [ClaimAction::Read { .. }]));
/// # Ok::<(), KeyError>(())
/// ```
#[derive(Debug)]
pub struct Claims {
    settings: ClaimSettings,
    node: NodeId,
    incarnation: Incarnation,
    nodes: Writers,
    is_store_down: bool,
    tokens: TokenSource,
    own: OwnClaims,
    tickets: Tickets,
    asks: Asks,
    writers: Vec<ShardWriter>,
    collector: Collector,
    replies: Vec<Reply>,
}

impl Claims {
    /// The claims of one incarnation of `node`. An incarnation's number is never used again.
    pub fn new(settings: ClaimSettings, node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            settings,
            node,
            incarnation,
            nodes: Writers::default(),
            is_store_down: false,
            tokens: TokenSource::default(),
            own: OwnClaims::default(),
            tickets: Tickets::default(),
            asks: Asks::default(),
            writers: (0..SHARDS).map(|_| ShardWriter::new()).collect(),
            collector: Collector::default(),
            replies: Vec::new(),
        }
    }

    /// Takes in one event and adds what is to be done to `actions`.
    ///
    /// `now` is the steady time and `wall` the time of day, both read after the event arrived.
    pub fn handle(
        &mut self,
        event: ClaimEvent,
        now: Instant,
        wall: SystemTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        match event {
            ClaimEvent::Begin {
                request,
                key,
                digest,
            } => self.begin(request, key, digest, now, wall, actions),
            ClaimEvent::Dispatched { request } => assert!(
                self.own.is_running(&request) || self.tickets.is_running(&request),
                "request {request} is sent without the right to run"
            ),
            ClaimEvent::Limits { retention, skew } => {
                self.settings.retention = retention;
                self.settings.skew = skew;
            }
            ClaimEvent::Finished { request, outcome } => self.finished(&request, outcome, now),
            ClaimEvent::ReadDone { token, result } => {
                let mut writers = self.writers.iter_mut();
                writers.any(|writer| writer.read_done(token, &result, &self.settings, now));
            }
            ClaimEvent::SwapDone { token, result } => {
                let replies = &mut self.replies;
                let mut writers = self.writers.iter_mut();
                writers
                    .any(|writer| writer.swap_done(token, &result, &self.settings, now, replies));
            }
            ClaimEvent::ListDone { token, result } => {
                let settings = &self.settings;
                self.collector
                    .list_done(token, result, settings, wall, actions);
            }
            ClaimEvent::WriterAsked {
                from,
                token,
                entries,
            } => self.asked(&from, token, entries, now),
            ClaimEvent::WriterAnswered { token, results } => {
                self.answered(token, results, now, wall, actions);
            }
            ClaimEvent::WriterUnreachable { token } => self.not_answered(token, now),
            ClaimEvent::LiveNodes { nodes } => self.nodes.live = nodes,
            ClaimEvent::WriterCandidates { nodes } => self.nodes.candidates = nodes,
            ClaimEvent::Forwarded { request, result } => {
                self.forwarded(request, result, actions);
            }
            ClaimEvent::StoreDown => self.is_store_down = true,
            ClaimEvent::StoreUp => {
                self.is_store_down = false;
                for writer in &mut self.writers {
                    writer.retry_now(now);
                }
            }
            ClaimEvent::Tick => {}
        }
        self.pump(now, wall, actions);
    }

    /// When [`ClaimEvent::Tick`] is next due.
    pub fn next_wake(&self) -> Option<Instant> {
        let settings = &self.settings;
        let writers = self.writers.iter().map(|writer| writer.next_wake(settings));
        writers
            .chain([
                self.own.next_expiry(),
                self.asks.next_expiry(),
                self.collector.next_wake(),
            ])
            .flatten()
            .min()
    }

    /// How many calls run or have an outcome that is not in the store yet.
    ///
    /// A node that shuts down waits until this is 0, so that repeats find the answers.
    pub fn unsettled(&self) -> usize {
        self.own.len()
    }

    fn asked(&mut self, from: &NodeId, token: ClaimToken, entries: Vec<WriterEntry>, now: Instant) {
        for entry in entries {
            let reply_to = ReplyTo::Node {
                node: from.clone(),
                token,
            };
            self.queue(entry, reply_to, now);
        }
    }

    /// The other node that writes for the key's shard.
    fn remote_writer(&self, key: &IdempotencyKey) -> Option<&NodeId> {
        let shard = ChainPlace::of(key).shard;
        let writer = self.nodes.writer(shard);
        writer.filter(|writer| **writer != self.node)
    }

    fn write(
        &mut self,
        key: IdempotencyKey,
        digest: RequestDigest,
        number: u64,
        operation: ClaimOperation,
        now: Instant,
    ) {
        let claimant = Claimant {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number,
        };
        let entry = WriterEntry {
            key,
            digest,
            claimant,
            operation,
        };
        match self.remote_writer(&entry.key).cloned() {
            Some(writer) => self.asks.add(writer, entry),
            None => self.write_here(entry, now),
        }
    }

    /// A writer could not be asked or did not answer. What it was asked may still be done.
    fn not_answered(&mut self, token: ClaimToken, now: Instant) {
        if let Some(writer) = self.asks.asked(token) {
            self.nodes.suspect(writer, now);
        }
        for entry in self.asks.take_all(token) {
            self.write_here(entry, now);
        }
    }

    /// Writes an operation of an own claim without the shard's writer.
    ///
    /// The writer may still carry it out, or already has. That does no harm: operations can be
    /// carried out twice, and this node reads the chain before it writes.
    fn write_here(&mut self, entry: WriterEntry, now: Instant) {
        if entry.is_claim() && !self.own.is_waiting(&entry.key, entry.claimant.number) {
            return;
        }
        self.queue(entry, ReplyTo::Own, now);
    }

    fn queue(&mut self, entry: WriterEntry, reply_to: ReplyTo, now: Instant) {
        let shard = usize::from(ChainPlace::of(&entry.key).shard);
        let is_claim = entry.is_claim();
        let operation = QueuedOperation {
            entry,
            reply_to,
            due: if is_claim {
                now
            } else {
                now + self.settings.outcome_delay
            },
            expires: is_claim.then_some(now + self.settings.claim_wait),
        };
        self.writers[shard].push(operation, &self.settings, now, &mut self.replies);
    }

    /// Starts all that is due, until nothing more comes of it.
    fn pump(&mut self, now: Instant, wall: SystemTime, actions: &mut Vec<ClaimAction>) {
        while let Some((key, number)) = self.own.next_expired(now) {
            if self.own.is_waiting(&key, number) {
                self.give_up(&key, number, ResultCode::ClaimUnavailable, now, actions);
            }
        }
        self.nodes.forget_old(now);
        while let Some(token) = self.asks.next_expired(now) {
            self.not_answered(token, now);
        }
        loop {
            for writer in &mut self.writers {
                let (tokens, replies) = (&mut self.tokens, &mut self.replies);
                writer.pump(&self.settings, now, tokens, actions, replies);
            }
            if self.replies.is_empty() {
                break;
            }
            self.deliver(now, wall, actions);
        }
        self.asks
            .send(&self.settings, now, &mut self.tokens, actions);
        self.collect(now, wall, actions);
    }

    fn deliver(&mut self, now: Instant, wall: SystemTime, actions: &mut Vec<ClaimAction>) {
        let mut answers: Vec<ClaimAction> = Vec::new();
        for reply in std::mem::take(&mut self.replies) {
            match reply.to {
                ReplyTo::Own => self.settle(reply.result, now, wall, actions),
                ReplyTo::Node { node, token } => {
                    add_answer(&mut answers, node, token, reply.result);
                }
            }
        }
        actions.append(&mut answers);
    }

    fn collect(&mut self, now: Instant, wall: SystemTime, actions: &mut Vec<ClaimAction>) {
        if !self.collector.is_due(&self.settings, now) {
            return;
        }
        self.tickets.forget_old(&self.settings, wall);
        let is_collector = self
            .nodes
            .writer(0)
            .is_none_or(|writer| *writer == self.node);
        if is_collector {
            let list = self.collector.list_oldest(self.tokens.next());
            actions.push(list);
        }
    }

    fn tell(&self, request: RequestId, verdict: Verdict, actions: &mut Vec<ClaimAction>) {
        // Against a false "not run", which would make a caller book again: it is said of a
        // request only while that request has no right to run.
        assert!(
            !self.own.is_running(&request) && !self.tickets.is_running(&request),
            "request {request} was let run and is answered by its upstream alone"
        );
        let action = match verdict {
            Verdict::Answer(recorded) => ClaimAction::Answer { request, recorded },
            Verdict::Refuse { code, run_state } => ClaimAction::Refuse {
                request,
                code,
                run_state,
                retry_after: code.retry_helps().then_some(self.settings.retry_after),
            },
        };
        actions.push(action);
    }
}

/// Adds a result to the answer for the same question, so that each node gets one message.
fn add_answer(
    answers: &mut Vec<ClaimAction>,
    node: NodeId,
    asked: ClaimToken,
    result: WriterResult,
) {
    for answer in answers.iter_mut() {
        if let ClaimAction::AnswerAsked { to, token, results } = answer
            && *to == node
            && *token == asked
        {
            results.push(result);
            return;
        }
    }
    answers.push(ClaimAction::AnswerAsked {
        to: node,
        token: asked,
        results: vec![result],
    });
}
