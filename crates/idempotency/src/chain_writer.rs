//! Writes queued operations to one chain of records.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use nutmegsail_base::StoreNumber;

use crate::chain::Chain;
use crate::commit::{Commit, into_replies};
use crate::queued::{QueuedOperation, Reply};
use crate::token_source::TokenSource;
use crate::{
    ChainPlace, ClaimAction, ClaimSettings, ClaimToken, OperationResult, StoreFault, StoredRecord,
    SwapFault,
};

/// The most times that the backoff after failures doubles.
const MAX_DOUBLINGS: u32 = 10;

/// The most records that one round reads.
const MAX_READ_AHEAD: usize = 64;

/// The store calls in flight.
#[derive(Debug)]
struct InFlight {
    since: Instant,
    call: StoreCall,
}

#[derive(Debug)]
enum StoreCall {
    Read(ReadRound),
    Swap { token: ClaimToken, commit: Commit },
}

/// Concurrent reads of consecutive records.
#[derive(Debug, Default)]
struct ReadRound {
    open: BTreeMap<ClaimToken, usize>,
    answers: BTreeMap<usize, Option<StoredRecord>>,
    has_failed: bool,
}

/// Reads and writes one chain, with at most one write or one round of reads in flight.
#[derive(Debug)]
pub(crate) struct ChainWriter {
    chain: Chain,
    queue: VecDeque<QueuedOperation>,
    in_flight: Option<InFlight>,
    retry_at: Instant,
    /// The number of store calls that failed in a row.
    failures: u32,
    /// How many records the next round reads.
    read_ahead: usize,
    last_used: Instant,
}

impl ChainWriter {
    /// Creates a writer for a chain of which no record has been read.
    pub fn new(place: ChainPlace, now: Instant) -> Self {
        Self {
            chain: Chain::new(place),
            queue: VecDeque::new(),
            in_flight: None,
            retry_at: now,
            failures: 0,
            read_ahead: 1,
            last_used: now,
        }
    }

    /// Appends an operation to the queue.
    pub fn push(&mut self, operation: QueuedOperation, settings: &ClaimSettings, now: Instant) {
        self.last_used = now;
        if operation.entry.is_claim() {
            // A caller waits for a claim, so a long backoff is cut short. Outcomes can wait it out.
            self.retry_at = self.retry_at.min(now + settings.store_backoff);
        }
        self.queue.push_back(operation);
    }

    /// The number of queued operations, without those in a store call.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether no operation is queued and no store call is in flight.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// When an operation was last added.
    pub fn last_used(&self) -> Instant {
        self.last_used
    }

    /// When the next store call is due; `None` while one is in flight or no operation is queued.
    pub fn due(&self) -> Option<Instant> {
        if self.in_flight.is_some() {
            return None;
        }
        let earliest = self.queue.iter().map(|operation| operation.due).min()?;
        Some(earliest.max(self.retry_at))
    }

    /// When the next operation expires or the store call in flight times out.
    pub fn next_expiry(&self, settings: &ClaimSettings) -> Option<Instant> {
        let call = self.in_flight.as_ref();
        let call = call.map(|call| call.since + settings.store_timeout);
        let queued = self.queue.iter().filter_map(|operation| operation.expires);
        queued.chain(call).min()
    }

    /// Whether a record must be read before the chain can be written.
    pub fn must_read(&self) -> bool {
        self.chain.next_read().is_some()
    }

    /// Starts a round of reads of the next records.
    ///
    /// A new writer may have to read a chain of a hundred records. Each round reads twice as many
    /// records as the last, so that a few rounds are enough.
    pub fn start_read(
        &mut self,
        tokens: &mut TokenSource,
        now: Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(first) = self.chain.next_read() else {
            return;
        };
        let count = if self.chain.is_known(first) {
            1
        } else {
            self.read_ahead
        };
        let mut round = ReadRound::default();
        for record_index in first..first + count {
            let token = tokens.next();
            round.open.insert(token, record_index);
            let key = self.chain.place().record_key(record_index);
            actions.push(ClaimAction::Read { token, key });
        }
        self.in_flight = Some(InFlight {
            since: now,
            call: StoreCall::Read(round),
        });
    }

    /// Starts a write of the record that the most urgent operation belongs to, together with all
    /// other queued operations on that record.
    ///
    /// If the operations change nothing, they are answered immediately, without a write.
    pub fn start_commit(
        &mut self,
        token: ClaimToken,
        settings: &ClaimSettings,
        now: Instant,
        replies: &mut Vec<Reply>,
    ) -> Option<ClaimAction> {
        let most_urgent = self.queue.iter().min_by_key(|operation| operation.due)?;
        let record_index = self.chain.record_index_for(&most_urgent.entry.key);
        let mut commit = self.build_commit(record_index, settings);
        if commit.record == *self.chain.record(record_index) {
            replies.extend(into_replies(commit.operations));
            return None;
        }
        let value = commit.seal_if_full(settings);
        let action = ClaimAction::Swap {
            token,
            key: self.chain.place().record_key(record_index),
            expected_revision: self.chain.revision(record_index),
            value,
        };
        self.in_flight = Some(InFlight {
            since: now,
            call: StoreCall::Swap { token, commit },
        });
        Some(action)
    }

    fn build_commit(&mut self, record_index: usize, settings: &ClaimSettings) -> Commit {
        let mut commit = Commit {
            record_index,
            record: self.chain.record(record_index).clone(),
            operations: Vec::new(),
        };
        let mut remaining = VecDeque::new();
        for operation in self.queue.drain(..) {
            let key = &operation.entry.key;
            let is_here = self.chain.record_index_for(key) == record_index;
            // A full record may still be open if it was written with a larger `record_bytes`. The
            // first operation is always added, and the write then seals the record.
            let has_room = commit.operations.is_empty()
                || !commit.is_full(settings)
                || commit.record.find(key).is_some();
            if is_here && has_room {
                commit.add(operation);
            } else {
                remaining.push_back(operation);
            }
        }
        self.queue = remaining;
        commit
    }

    /// Handles the result of a read. Returns whether this chain issued the token.
    pub fn read_done(
        &mut self,
        token: ClaimToken,
        result: &Result<Option<StoredRecord>, StoreFault>,
        settings: &ClaimSettings,
        now: Instant,
    ) -> bool {
        let Some(InFlight {
            call: StoreCall::Read(round),
            ..
        }) = &mut self.in_flight
        else {
            return false;
        };
        let Some(record_index) = round.open.remove(&token) else {
            return false;
        };
        match result {
            Ok(stored) => {
                round.answers.insert(record_index, stored.clone());
            }
            Err(StoreFault) => round.has_failed = true,
        }
        if round.open.is_empty() {
            let round = std::mem::take(round);
            self.in_flight = None;
            self.finish_read_round(round, settings, now);
        }
        true
    }

    fn finish_read_round(&mut self, round: ReadRound, settings: &ClaimSettings, now: Instant) {
        let mut is_whole = !round.has_failed;
        for (record_index, stored) in round.answers {
            // Records are applied in order. Those after the open record do not exist.
            if self.chain.next_read() == Some(record_index) {
                is_whole &= self.chain.update(record_index, stored).is_ok();
            }
        }
        self.read_ahead = match self.chain.next_read() {
            Some(_) => (self.read_ahead * 2).min(MAX_READ_AHEAD),
            None => 1,
        };
        if is_whole {
            self.failures = 0;
        } else {
            self.back_off(settings, now);
        }
    }

    /// Handles the result of a write. Returns whether this chain issued the token.
    pub fn swap_done(
        &mut self,
        token: ClaimToken,
        result: Result<StoreNumber, SwapFault>,
        settings: &ClaimSettings,
        now: Instant,
        replies: &mut Vec<Reply>,
    ) -> bool {
        let Some(commit) = self.take_commit_in_flight(token) else {
            return false;
        };
        match result {
            Ok(revision) => {
                self.failures = 0;
                let Commit {
                    record_index,
                    record,
                    operations,
                } = commit;
                self.chain.update_written(record_index, record, revision);
                replies.extend(into_replies(operations));
            }
            Err(fault) => self.commit_failed(commit, fault, settings, now),
        }
        true
    }

    fn commit_failed(
        &mut self,
        commit: Commit,
        fault: SwapFault,
        settings: &ClaimSettings,
        now: Instant,
    ) {
        let record_index = commit.record_index;
        self.requeue(commit);
        match fault {
            SwapFault::Conflict {
                current: Some(current),
            } => {
                if self.chain.update(record_index, Some(current)).is_err() {
                    self.chain.mark_stale(record_index);
                    self.back_off(settings, now);
                }
            }
            SwapFault::Conflict { current: None } => self.chain.mark_stale(record_index),
            SwapFault::NotDone => self.back_off(settings, now),
            // The write may have taken effect, or may still do so as long as the record has the
            // expected revision. The record is read back first: if the claims are in it, they are
            // valid. If not, the operations are written again with the same expected revision, so
            // that only one of the two writes can succeed.
            SwapFault::Ambiguous => self.chain.mark_stale(record_index),
        }
    }

    /// Doubles the backoff after each failure, so that a failing store is not overloaded.
    fn back_off(&mut self, settings: &ClaimSettings, now: Instant) {
        let factor = 1 << self.failures.min(MAX_DOUBLINGS);
        let pause = settings.store_backoff * factor;
        self.retry_at = now + pause.min(settings.store_backoff_max);
        self.failures += 1;
    }

    /// Ends the backoff, because the store is reachable again.
    pub fn retry_now(&mut self, now: Instant) {
        self.retry_at = now;
        self.failures = 0;
    }

    fn requeue(&mut self, commit: Commit) {
        for (operation, _) in commit.operations.into_iter().rev() {
            self.queue.push_front(operation);
        }
    }

    fn take_commit_in_flight(&mut self, swap: ClaimToken) -> Option<Commit> {
        let in_flight = self.in_flight.take_if(
            |in_flight| matches!(&in_flight.call, StoreCall::Swap { token, .. } if *token == swap),
        )?;
        match in_flight.call {
            StoreCall::Swap { commit, .. } => Some(commit),
            StoreCall::Read(_) => None,
        }
    }

    /// Fails operations that have expired, and gives up a store call that has timed out.
    pub fn expire(&mut self, settings: &ClaimSettings, now: Instant, replies: &mut Vec<Reply>) {
        let lost = self
            .in_flight
            .take_if(|call| call.since + settings.store_timeout <= now);
        match lost.map(|call| call.call) {
            Some(StoreCall::Swap { commit, .. }) => {
                self.commit_failed(commit, SwapFault::Ambiguous, settings, now);
            }
            Some(StoreCall::Read(_)) => self.retry_at = now,
            None => {}
        }
        let is_expired =
            |operation: &QueuedOperation| operation.expires.is_some_and(|at| at <= now);
        if !self.queue.iter().any(is_expired) {
            return;
        }
        let (expired, remaining): (VecDeque<_>, _) = self.queue.drain(..).partition(is_expired);
        self.queue = remaining;
        let failed = expired.into_iter();
        replies.extend(failed.map(|operation| operation.reply(OperationResult::Failed)));
    }
}
