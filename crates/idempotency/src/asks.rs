//! Questions to other nodes that write for a shard.

use std::collections::BTreeMap;
use std::time::Instant;

use nutmegsail_base::NodeId;

use crate::token_source::TokenSource;
use crate::{ClaimAction, ClaimToken, WriterEntry, WriterResult};

#[derive(Debug)]
struct Ask {
    deadline: Instant,
    entries: Vec<WriterEntry>,
}

/// Operations handed to other nodes and not answered yet.
#[derive(Debug, Default)]
pub(crate) struct Asks {
    outbox: BTreeMap<NodeId, Vec<WriterEntry>>,
    open: BTreeMap<ClaimToken, Ask>,
}

impl Asks {
    /// Adds an operation to the next message to `writer`.
    pub fn add(&mut self, writer: NodeId, entry: WriterEntry) {
        self.outbox.entry(writer).or_default().push(entry);
    }

    /// Sends one message to each writer that something was added for.
    pub fn send(
        &mut self,
        deadline: Instant,
        tokens: &mut TokenSource,
        actions: &mut Vec<ClaimAction>,
    ) {
        for (to, entries) in std::mem::take(&mut self.outbox) {
            let token = tokens.next();
            let ask = Ask {
                deadline,
                entries: entries.clone(),
            };
            self.open.insert(token, ask);
            actions.push(ClaimAction::AskWriter { to, token, entries });
        }
    }

    /// Takes the operation that `result` answers out of its question.
    pub fn take(&mut self, token: ClaimToken, result: &WriterResult) -> Option<WriterEntry> {
        let ask = self.open.get_mut(&token)?;
        let at = ask.entries.iter().position(|entry| {
            entry.claimant == result.claimant && entry.is_claim() == result.is_claim
        })?;
        let entry = ask.entries.swap_remove(at);
        if ask.entries.is_empty() {
            self.open.remove(&token);
        }
        Some(entry)
    }

    /// Takes what is left of a question that will not be answered.
    pub fn take_all(&mut self, token: ClaimToken) -> Vec<WriterEntry> {
        let ask = self.open.remove(&token);
        ask.map(|ask| ask.entries).unwrap_or_default()
    }

    /// Takes what is left of questions that were not answered in time.
    pub fn take_expired(&mut self, now: Instant) -> Vec<WriterEntry> {
        let (expired, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|(_, ask)| ask.deadline <= now);
        self.open = open;
        let expired: BTreeMap<ClaimToken, Ask> = expired;
        expired.into_values().flat_map(|ask| ask.entries).collect()
    }

    /// When the next question runs out.
    pub fn next_expiry(&self) -> Option<Instant> {
        // Tokens rise with time and every question waits equally long.
        self.open.first_key_value().map(|(_, ask)| ask.deadline)
    }
}
