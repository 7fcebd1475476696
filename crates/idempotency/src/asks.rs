//! Questions to other nodes that write for a shard.

use std::collections::BTreeMap;
use std::time::Instant;

use nutmegsail_base::NodeId;

use crate::token_source::TokenSource;
use crate::{ClaimAction, ClaimSettings, ClaimToken, WriterEntry, WriterResult};

#[derive(Debug)]
struct Ask {
    to: NodeId,
    deadline: Instant,
    entries: Vec<WriterEntry>,
}

/// Claims and outcomes go apart, for a caller waits for a claim alone.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Addressee {
    writer: NodeId,
    is_claim: bool,
}

/// Operations handed to other nodes and not answered yet.
#[derive(Debug, Default)]
pub(crate) struct Asks {
    outbox: BTreeMap<Addressee, Vec<WriterEntry>>,
    open: BTreeMap<ClaimToken, Ask>,
}

impl Asks {
    /// Adds an operation to the next message to `writer`.
    pub fn add(&mut self, writer: NodeId, entry: WriterEntry) {
        let is_claim = entry.is_claim();
        let addressee = Addressee { writer, is_claim };
        self.outbox.entry(addressee).or_default().push(entry);
    }

    /// Sends one message to each writer that something was added for.
    pub fn send(
        &mut self,
        settings: &ClaimSettings,
        now: Instant,
        tokens: &mut TokenSource,
        actions: &mut Vec<ClaimAction>,
    ) {
        for (addressee, entries) in std::mem::take(&mut self.outbox) {
            let token = tokens.next();
            let to = addressee.writer;
            let timeout = if addressee.is_claim {
                settings.ask_timeout
            } else {
                settings.outcome_timeout
            };
            let ask = Ask {
                to: to.clone(),
                deadline: now + timeout,
                entries: entries.clone(),
            };
            self.open.insert(token, ask);
            actions.push(ClaimAction::AskWriter { to, token, entries });
        }
    }

    /// The node that was asked with `token`, while an answer is awaited.
    pub fn asked(&self, token: ClaimToken) -> Option<&NodeId> {
        self.open.get(&token).map(|ask| &ask.to)
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

    /// A question that was not answered in time.
    pub fn next_expired(&self, now: Instant) -> Option<ClaimToken> {
        let mut open = self.open.iter();
        let expired = open.find(|(_, ask)| ask.deadline <= now);
        expired.map(|(token, _)| *token)
    }

    /// When the next question runs out.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.open.values().map(|ask| ask.deadline).min()
    }
}
