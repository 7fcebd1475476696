//! Writes one shard's claims in groups.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegsail_base::StoreNumber;

use crate::lane::Lane;
use crate::queued::{QueuedOperation, Reply};
use crate::token_source::TokenSource;
use crate::{
    ChainPlace, ClaimAction, ClaimSettings, ClaimToken, OperationResult, StoreFault, StoredRecord,
    SwapFault,
};

/// How long a chain without work stays in memory.
const LANE_IDLE: Duration = Duration::from_secs(120);

/// Groups the operations of one shard into writes, at most one every `commit_interval`.
///
/// Any node may run one for any shard at any time: every write is a compare-and-swap. That one
/// node does it at a time only keeps the number of writes small.
#[derive(Debug)]
pub(crate) struct ShardWriter {
    lanes: BTreeMap<ChainPlace, Lane>,
    next_commit_at: Option<Instant>,
}

impl ShardWriter {
    /// A writer that knows nothing of its shard.
    pub fn new() -> Self {
        Self {
            lanes: BTreeMap::new(),
            next_commit_at: None,
        }
    }

    /// Takes an operation in, or fails a claim when too much waits already.
    pub fn push(
        &mut self,
        operation: QueuedOperation,
        settings: &ClaimSettings,
        now: Instant,
        replies: &mut Vec<Reply>,
    ) {
        let queued: usize = self.lanes.values().map(Lane::queued).sum();
        if operation.entry.is_claim() && queued >= settings.max_queued {
            replies.push(operation.reply(OperationResult::Failed));
            return;
        }
        let place = ChainPlace::of(&operation.entry.key);
        let lane = self.lanes.entry(place);
        lane.or_insert_with(|| Lane::new(place, now))
            .push(operation, settings, now);
    }

    /// Takes in a read's result. Returns whether the token was this shard's.
    pub fn read_done(
        &mut self,
        token: ClaimToken,
        result: &Result<Option<StoredRecord>, StoreFault>,
        settings: &ClaimSettings,
        now: Instant,
    ) -> bool {
        self.lanes
            .values_mut()
            .any(|lane| lane.read_done(token, result, settings, now))
    }

    /// Takes in a write's result. Returns whether the token was this shard's.
    pub fn swap_done(
        &mut self,
        token: ClaimToken,
        result: &Result<StoreNumber, SwapFault>,
        settings: &ClaimSettings,
        now: Instant,
        replies: &mut Vec<Reply>,
    ) -> bool {
        self.lanes
            .values_mut()
            .any(|lane| lane.swap_done(token, result.clone(), settings, now, replies))
    }

    /// Tries again what failed before: the store is said to be back.
    pub fn retry_now(&mut self, now: Instant) {
        for lane in self.lanes.values_mut() {
            lane.retry_now(now);
        }
    }

    /// Starts what is due.
    pub fn pump(
        &mut self,
        settings: &ClaimSettings,
        now: Instant,
        tokens: &mut TokenSource,
        actions: &mut Vec<ClaimAction>,
        replies: &mut Vec<Reply>,
    ) {
        for lane in self.lanes.values_mut() {
            lane.expire(settings, now, replies);
            let is_due = lane.due().is_some_and(|due| due <= now);
            if is_due && lane.must_read() {
                lane.start_read(tokens, now, actions);
            }
        }
        while self.next_commit_at.is_none_or(|at| at <= now) {
            let Some(lane) = self.most_urgent(now) else {
                break;
            };
            if let Some(swap) = lane.start_commit(tokens.next(), settings, now, replies) {
                actions.push(swap);
                self.next_commit_at = Some(now + settings.commit_interval);
            }
        }
        self.lanes
            .retain(|_, lane| !lane.is_idle() || lane.last_used() + LANE_IDLE > now);
    }

    fn most_urgent(&mut self, now: Instant) -> Option<&mut Lane> {
        self.lanes
            .values_mut()
            .filter(|lane| !lane.must_read())
            .filter(|lane| lane.due().is_some_and(|due| due <= now))
            .min_by_key(|lane| lane.due())
    }

    /// When [`Self::pump`] next has something to do.
    pub fn next_wake(&self, settings: &ClaimSettings) -> Option<Instant> {
        let wakes = self.lanes.values().flat_map(|lane| {
            let paced = lane
                .due()
                .map(|due| self.next_commit_at.map_or(due, |at| due.max(at)));
            [paced, lane.next_expiry(settings)]
        });
        wakes.flatten().min()
    }
}
