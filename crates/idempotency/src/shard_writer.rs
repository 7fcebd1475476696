//! Writes the claims of one shard in groups.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegsail_base::StoreNumber;

use crate::chain_writer::ChainWriter;
use crate::queued::{QueuedOperation, Reply};
use crate::token_source::TokenSource;
use crate::{
    ChainPlace, ClaimAction, ClaimSettings, ClaimToken, OperationResult, StoreFault, StoredRecord,
    SwapFault,
};

/// How long an idle chain stays in memory.
const IDLE_CHAIN_TTL: Duration = Duration::from_secs(120);

/// Groups the operations of one shard into store writes, at most one every `commit_interval`.
///
/// Several nodes may write the same shard at once, since every write is a compare-and-swap. Using
/// one node at a time only keeps the number of writes small.
#[derive(Debug)]
pub(crate) struct ShardWriter {
    chains: BTreeMap<ChainPlace, ChainWriter>,
    next_commit_at: Option<Instant>,
}

impl ShardWriter {
    /// Creates a writer that has read none of the shard's records.
    pub fn new() -> Self {
        Self {
            chains: BTreeMap::new(),
            next_commit_at: None,
        }
    }

    /// Queues an operation. A claim fails instead if the shard's queue is full.
    pub fn push(
        &mut self,
        operation: QueuedOperation,
        settings: &ClaimSettings,
        now: Instant,
        replies: &mut Vec<Reply>,
    ) {
        let queued: usize = self.chains.values().map(ChainWriter::queued).sum();
        if operation.entry.is_claim() && queued >= settings.max_queued {
            replies.push(operation.reply(OperationResult::Failed));
            return;
        }
        let place = ChainPlace::of(&operation.entry.key);
        let chain = self.chains.entry(place);
        chain
            .or_insert_with(|| ChainWriter::new(place, now))
            .push(operation, settings, now);
    }

    /// Handles the result of a read. Returns whether this shard issued the token.
    pub fn read_done(
        &mut self,
        token: ClaimToken,
        result: &Result<Option<StoredRecord>, StoreFault>,
        settings: &ClaimSettings,
        now: Instant,
    ) -> bool {
        self.chains
            .values_mut()
            .any(|chain| chain.read_done(token, result, settings, now))
    }

    /// Handles the result of a write. Returns whether this shard issued the token.
    pub fn swap_done(
        &mut self,
        token: ClaimToken,
        result: &Result<StoreNumber, SwapFault>,
        settings: &ClaimSettings,
        now: Instant,
        replies: &mut Vec<Reply>,
    ) -> bool {
        self.chains
            .values_mut()
            .any(|chain| chain.swap_done(token, result.clone(), settings, now, replies))
    }

    /// Ends all backoffs after failed store calls, because the store is reachable again.
    pub fn retry_now(&mut self, now: Instant) {
        for chain in self.chains.values_mut() {
            chain.retry_now(now);
        }
    }

    /// Expires what has timed out and starts the store calls that are due.
    pub fn pump(
        &mut self,
        settings: &ClaimSettings,
        now: Instant,
        tokens: &mut TokenSource,
        actions: &mut Vec<ClaimAction>,
        replies: &mut Vec<Reply>,
    ) {
        for chain in self.chains.values_mut() {
            chain.expire(settings, now, replies);
            let is_due = chain.due().is_some_and(|due| due <= now);
            if is_due && chain.must_read() {
                chain.start_read(tokens, now, actions);
            }
        }
        while self.next_commit_at.is_none_or(|at| at <= now) {
            let Some(chain) = self.most_urgent(now) else {
                break;
            };
            if let Some(swap) = chain.start_commit(tokens.next(), settings, now, replies) {
                actions.push(swap);
                self.next_commit_at = Some(now + settings.commit_interval);
            }
        }
        self.chains
            .retain(|_, chain| !chain.is_idle() || chain.last_used() + IDLE_CHAIN_TTL > now);
    }

    fn most_urgent(&mut self, now: Instant) -> Option<&mut ChainWriter> {
        self.chains
            .values_mut()
            .filter(|chain| !chain.must_read())
            .filter(|chain| chain.due().is_some_and(|due| due <= now))
            .min_by_key(|chain| chain.due())
    }

    /// When [`Self::pump`] next has something to do.
    pub fn next_wake(&self, settings: &ClaimSettings) -> Option<Instant> {
        let wakes = self.chains.values().flat_map(|chain| {
            let paced = chain
                .due()
                .map(|due| self.next_commit_at.map_or(due, |at| due.max(at)));
            [paced, chain.next_expiry(settings)]
        });
        wakes.flatten().min()
    }
}
