//! Handles the events of once-only calls and decides which calls may run.

mod begin;
mod settle;

use std::time::{Instant, SystemTime};

use nutmegsail_base::{Incarnation, NodeId, RequestId, ResultCode};

use crate::garbage_collector::GarbageCollector;
use crate::own_claims::OwnClaims;
use crate::queued::{QueuedOperation, Reply, ReplyTo};
use crate::shard_writer::ShardWriter;
use crate::tickets::Tickets;
use crate::token_source::TokenSource;
use crate::verdict::Verdict;
use crate::writer_requests::WriterRequests;
use crate::writer_selector::WriterSelector;
use crate::{
    ChainPlace, ClaimAction, ClaimEvent, ClaimOperation, ClaimSettings, ClaimToken, Claimant,
    IdempotencyKey, RequestDigest, SHARDS, WriterEntry, WriterResult,
};

/// One node's state machine for once-only calls: it claims keys for its own callers, and writes the
/// claims of all nodes for the shards whose writer it is.
///
/// ```
/// use std::time::{Duration, Instant, SystemTime};
/// use nutmegsail_base::Incarnation;
/// use nutmegsail_idempotency::*;
///
/// let mut claims = Claims::new(ClaimSettings::default(), "node-1".into(), Incarnation(1));
/// let key = IdempotencyKey::parse("018bcfe5-6800-7000-8000-000000000001")?;
/// let wall_time = SystemTime::UNIX_EPOCH + Duration::from_millis(key.issued_unix_ms());
/// let digest = RequestDigest::of("POST", "/bookings", &"spa-desk".into(), b"{}");
/// let begin = ClaimEvent::Begin { request: "r1".into(), key, digest };
///
/// let mut actions = Vec::new();
/// claims.handle(begin, Instant::now(), wall_time, &mut actions);
/// assert!(matches!(actions[..], [ClaimAction::Read { .. }]));
/// # Ok::<(), KeyError>(())
/// ```
#[derive(Debug)]
pub struct Claims {
    settings: ClaimSettings,
    node: NodeId,
    incarnation: Incarnation,
    writer_selector: WriterSelector,
    is_store_down: bool,
    tokens: TokenSource,
    own: OwnClaims,
    tickets: Tickets,
    writer_requests: WriterRequests,
    shard_writers: Vec<ShardWriter>,
    garbage_collector: GarbageCollector,
    replies: Vec<Reply>,
}

impl Claims {
    /// Creates the state of one incarnation of `node`. An incarnation's number must never be
    /// reused.
    pub fn new(settings: ClaimSettings, node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            settings,
            node,
            incarnation,
            writer_selector: WriterSelector::default(),
            is_store_down: false,
            tokens: TokenSource::default(),
            own: OwnClaims::default(),
            tickets: Tickets::default(),
            writer_requests: WriterRequests::default(),
            shard_writers: (0..SHARDS).map(|_| ShardWriter::new()).collect(),
            garbage_collector: GarbageCollector::default(),
            replies: Vec::new(),
        }
    }

    /// Handles one event and appends the resulting actions to `actions`.
    ///
    /// `now` is the monotonic time and `wall_time` the time of day, both read after the event
    /// arrived.
    pub fn handle(
        &mut self,
        event: ClaimEvent,
        now: Instant,
        wall_time: SystemTime,
        actions: &mut Vec<ClaimAction>,
    ) {
        match event {
            ClaimEvent::Begin {
                request,
                key,
                digest,
            } => self.begin(request, key, digest, now, wall_time, actions),
            ClaimEvent::Dispatched { request } => assert!(
                self.own.is_running(&request) || self.tickets.is_running(&request),
                "request {request} is dispatched without a claim or a ticket that permits it"
            ),
            ClaimEvent::Limits { retention, skew } => {
                self.settings.retention = retention;
                self.settings.skew = skew;
            }
            ClaimEvent::Finished { request, outcome } => self.on_finished(&request, outcome, now),
            ClaimEvent::ReadDone { token, result } => {
                let mut shard_writers = self.shard_writers.iter_mut();
                shard_writers.any(|writer| writer.read_done(token, &result, &self.settings, now));
            }
            ClaimEvent::SwapDone { token, result } => {
                let replies = &mut self.replies;
                let mut shard_writers = self.shard_writers.iter_mut();
                shard_writers
                    .any(|writer| writer.swap_done(token, &result, &self.settings, now, replies));
            }
            ClaimEvent::ListDone { token, result } => {
                let settings = &self.settings;
                self.garbage_collector
                    .list_done(token, result, settings, wall_time, actions);
            }
            ClaimEvent::WriterAsked {
                from,
                token,
                entries,
            } => self.on_writer_asked(&from, token, entries, now),
            ClaimEvent::WriterAnswered { token, results } => {
                self.on_writer_answered(token, results, now, wall_time, actions);
            }
            ClaimEvent::WriterUnreachable { token } => self.on_writer_unreachable(token, now),
            ClaimEvent::LiveNodes { nodes } => self.writer_selector.live = nodes,
            ClaimEvent::WriterCandidates { nodes } => self.writer_selector.candidates = nodes,
            ClaimEvent::Forwarded { request, result } => {
                self.on_forwarded(request, result, actions);
            }
            ClaimEvent::StoreDown => self.is_store_down = true,
            ClaimEvent::StoreUp => {
                self.is_store_down = false;
                for writer in &mut self.shard_writers {
                    writer.retry_now(now);
                }
            }
            ClaimEvent::Tick => {}
        }
        self.pump(now, wall_time, actions);
    }

    /// When [`ClaimEvent::Tick`] is next due.
    pub fn next_wake(&self) -> Option<Instant> {
        let settings = &self.settings;
        let shard_writers = self
            .shard_writers
            .iter()
            .map(|writer| writer.next_wake(settings));
        shard_writers
            .chain([
                self.own.next_expiry(),
                self.writer_requests.next_expiry(),
                self.garbage_collector.next_wake(),
            ])
            .flatten()
            .min()
    }

    /// The number of claims whose outcome is not in the store yet.
    ///
    /// A node that shuts down waits until this is 0, so that repeats of its calls find the answers.
    pub fn unsettled(&self) -> usize {
        self.own.len()
    }

    fn on_writer_asked(
        &mut self,
        from: &NodeId,
        token: ClaimToken,
        entries: Vec<WriterEntry>,
        now: Instant,
    ) {
        for entry in entries {
            let reply_to = ReplyTo::Node {
                node: from.clone(),
                token,
            };
            self.queue(entry, reply_to, now);
        }
    }

    /// The writer of the key's shard, unless it is this node.
    fn remote_writer(&self, key: &IdempotencyKey) -> Option<&NodeId> {
        let shard = ChainPlace::of(key).shard;
        let writer = self.writer_selector.writer(shard);
        writer.filter(|writer| **writer != self.node)
    }

    fn submit(
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
            Some(writer) => self.writer_requests.add(writer, entry),
            None => self.write_locally(entry, now),
        }
    }

    /// A writer could not be reached or did not answer. It may still carry out the operations.
    fn on_writer_unreachable(&mut self, token: ClaimToken, now: Instant) {
        if let Some(writer) = self.writer_requests.recipient(token) {
            self.writer_selector.suspect(writer, now);
        }
        for entry in self.writer_requests.take_remaining(token) {
            self.write_locally(entry, now);
        }
    }

    /// Writes an operation of this node's own claim without the shard's writer.
    ///
    /// The writer may have carried it out or may still do so. This is safe: operations are
    /// idempotent, and this node reads the chain before it writes.
    fn write_locally(&mut self, entry: WriterEntry, now: Instant) {
        if entry.is_claim() && !self.own.is_waiting(&entry.key, entry.claimant.number) {
            return;
        }
        self.queue(entry, ReplyTo::Local, now);
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
            expires: is_claim.then_some(now + self.settings.claim_timeout),
        };
        self.shard_writers[shard].push(operation, &self.settings, now, &mut self.replies);
    }

    /// Expires what has timed out and starts all due work, until no further replies result from it.
    fn pump(&mut self, now: Instant, wall_time: SystemTime, actions: &mut Vec<ClaimAction>) {
        while let Some((key, number)) = self.own.pop_expired(now) {
            if self.own.is_waiting(&key, number) {
                self.give_up(&key, number, ResultCode::ClaimUnavailable, now, actions);
            }
        }
        self.writer_selector.expire_suspicions(now);
        while let Some(token) = self.writer_requests.next_expired(now) {
            self.on_writer_unreachable(token, now);
        }
        loop {
            for writer in &mut self.shard_writers {
                let (tokens, replies) = (&mut self.tokens, &mut self.replies);
                writer.pump(&self.settings, now, tokens, actions, replies);
            }
            if self.replies.is_empty() {
                break;
            }
            self.deliver(now, wall_time, actions);
        }
        self.writer_requests
            .send(&self.settings, now, &mut self.tokens, actions);
        self.collect(now, wall_time, actions);
    }

    fn deliver(&mut self, now: Instant, wall_time: SystemTime, actions: &mut Vec<ClaimAction>) {
        let mut answers: Vec<ClaimAction> = Vec::new();
        for reply in std::mem::take(&mut self.replies) {
            match reply.to {
                ReplyTo::Local => self.settle(reply.result, now, wall_time, actions),
                ReplyTo::Node { node, token } => {
                    add_answer(&mut answers, node, token, reply.result);
                }
            }
        }
        actions.append(&mut answers);
    }

    fn collect(&mut self, now: Instant, wall_time: SystemTime, actions: &mut Vec<ClaimAction>) {
        if !self.garbage_collector.is_due(&self.settings, now) {
            return;
        }
        self.tickets.forget_old(&self.settings, wall_time);
        let is_collector = self
            .writer_selector
            .writer(0)
            .is_none_or(|writer| *writer == self.node);
        if is_collector {
            let list = self.garbage_collector.list_oldest(self.tokens.next());
            actions.push(list);
        }
    }

    fn respond(&self, request: RequestId, verdict: Verdict, actions: &mut Vec<ClaimAction>) {
        // A request that may still be dispatched must not be refused as "not run": the caller would
        // send the call again, and it would run twice.
        assert!(
            !self.own.is_running(&request) && !self.tickets.is_running(&request),
            "request {request} was allowed to run, so only its upstream may answer it"
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

/// Adds a result to the answer to the same request, so that each request gets one message.
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
