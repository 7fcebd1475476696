//! Requests to the nodes that write other shards' claims.

use std::collections::BTreeMap;
use std::time::Instant;

use nutmegsail_base::NodeId;

use crate::token_source::TokenSource;
use crate::{ClaimAction, ClaimSettings, ClaimToken, WriterEntry, WriterResult};

#[derive(Debug)]
struct PendingRequest {
    to: NodeId,
    deadline: Instant,
    entries: Vec<WriterEntry>,
}

/// What is sent in one message. Claims are sent apart from outcomes and time out sooner, because
/// callers wait only for claims.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct BatchKey {
    writer: NodeId,
    is_claim: bool,
}

/// Operations sent, or about to be sent, to other nodes and not answered yet.
#[derive(Debug, Default)]
pub(crate) struct WriterRequests {
    outbox: BTreeMap<BatchKey, Vec<WriterEntry>>,
    pending: BTreeMap<ClaimToken, PendingRequest>,
}

impl WriterRequests {
    /// Adds an operation to the next message to `writer`.
    pub fn add(&mut self, writer: NodeId, entry: WriterEntry) {
        let is_claim = entry.is_claim();
        let batch_key = BatchKey { writer, is_claim };
        self.outbox.entry(batch_key).or_default().push(entry);
    }

    /// Sends the added operations, one message for each batch.
    pub fn send(
        &mut self,
        settings: &ClaimSettings,
        now: Instant,
        tokens: &mut TokenSource,
        actions: &mut Vec<ClaimAction>,
    ) {
        for (batch_key, entries) in std::mem::take(&mut self.outbox) {
            let token = tokens.next();
            let to = batch_key.writer;
            let timeout = if batch_key.is_claim {
                settings.writer_timeout
            } else {
                settings.outcome_timeout
            };
            let request = PendingRequest {
                to: to.clone(),
                deadline: now + timeout,
                entries: entries.clone(),
            };
            self.pending.insert(token, request);
            actions.push(ClaimAction::AskWriter { to, token, entries });
        }
    }

    /// The node that the pending request `token` was sent to.
    pub fn recipient(&self, token: ClaimToken) -> Option<&NodeId> {
        self.pending.get(&token).map(|request| &request.to)
    }

    /// Removes and returns the operation that `result` answers.
    pub fn take_entry(&mut self, token: ClaimToken, result: &WriterResult) -> Option<WriterEntry> {
        let request = self.pending.get_mut(&token)?;
        let at = request.entries.iter().position(|entry| {
            entry.claimant == result.claimant && entry.is_claim() == result.is_claim
        })?;
        let entry = request.entries.swap_remove(at);
        if request.entries.is_empty() {
            self.pending.remove(&token);
        }
        Some(entry)
    }

    /// Removes a request and returns its operations that were not answered.
    pub fn take_remaining(&mut self, token: ClaimToken) -> Vec<WriterEntry> {
        let request = self.pending.remove(&token);
        request.map(|request| request.entries).unwrap_or_default()
    }

    /// A request that has timed out.
    pub fn next_expired(&self, now: Instant) -> Option<ClaimToken> {
        let mut pending = self.pending.iter();
        let expired = pending.find(|(_, request)| request.deadline <= now);
        expired.map(|(token, _)| *token)
    }

    /// When the next request times out.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.pending.values().map(|request| request.deadline).min()
    }
}
