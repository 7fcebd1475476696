//! One chain with the operations that wait for it and the store call under way.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use nutmegsail_base::StoreNumber;

use crate::chain::Chain;
use crate::commit::{Commit, replies_of};
use crate::queued::{QueuedOperation, Reply};
use crate::token_source::TokenSource;
use crate::{
    ChainPlace, ClaimAction, ClaimSettings, ClaimToken, OperationResult, StoreFault, StoredRecord,
    SwapFault,
};

/// How often the pause after a failure doubles at most.
const MAX_DOUBLINGS: u32 = 10;

/// How many records a chain's reader asks for at a time at most.
const MAX_READ_AHEAD: usize = 64;

/// Store calls under way.
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

/// Reads of records that follow each other in a chain.
#[derive(Debug, Default)]
struct ReadRound {
    open: BTreeMap<ClaimToken, usize>,
    answers: BTreeMap<usize, Option<StoredRecord>>,
    has_failed: bool,
}

/// One chain at work: at most one write or one round of reads at a time.
#[derive(Debug)]
pub(crate) struct Lane {
    chain: Chain,
    queue: VecDeque<QueuedOperation>,
    in_flight: Option<InFlight>,
    retry_at: Instant,
    /// Store calls that failed one after the other.
    failures: u32,
    /// How many records the next round of reads asks for.
    read_ahead: usize,
    last_used: Instant,
}

impl Lane {
    /// A lane for a chain of which nothing is known.
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

    /// Adds an operation at the end.
    pub fn push(&mut self, operation: QueuedOperation, settings: &ClaimSettings, now: Instant) {
        self.last_used = now;
        if operation.entry.is_claim() {
            // A caller waits: don't sit out a long pause that outcomes can bear.
            self.retry_at = self.retry_at.min(now + settings.store_backoff);
        }
        self.queue.push_back(operation);
    }

    /// How many operations wait, without those in a store call.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Whether nothing waits and nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.queue.is_empty() && self.in_flight.is_none()
    }

    /// When it last had work.
    pub fn last_used(&self) -> Instant {
        self.last_used
    }

    /// When the lane next wants a store call; `None` while one is under way or nothing waits.
    pub fn due(&self) -> Option<Instant> {
        if self.in_flight.is_some() {
            return None;
        }
        let earliest = self.queue.iter().map(|operation| operation.due).min()?;
        Some(earliest.max(self.retry_at))
    }

    /// When an operation fails or the store call under way counts as lost.
    pub fn next_expiry(&self, settings: &ClaimSettings) -> Option<Instant> {
        let call = self.in_flight.as_ref();
        let call = call.map(|call| call.since + settings.store_timeout);
        let queued = self.queue.iter().filter_map(|operation| operation.expires);
        queued.chain(call).min()
    }

    /// Whether the lane must read before it can write.
    pub fn must_read(&self) -> bool {
        self.chain.next_read().is_some()
    }

    /// Reads the next records that must be known.
    ///
    /// A new writer may find a chain of a hundred records. Each round of reads asks for twice as
    /// many as the last, so that it knows them all after a few store answers.
    pub fn start_read(
        &mut self,
        tokens: &mut TokenSource,
        now: Instant,
        actions: &mut Vec<ClaimAction>,
    ) {
        let Some(first) = self.chain.next_read() else {
            return;
        };
        let count = if self.chain.knows(first) {
            1
        } else {
            self.read_ahead
        };
        let mut round = ReadRound::default();
        for segment in first..first + count {
            let token = tokens.next();
            round.open.insert(token, segment);
            let key = self.chain.place().record_key(segment);
            actions.push(ClaimAction::Read { token, key });
        }
        self.in_flight = Some(InFlight {
            since: now,
            call: StoreCall::Read(round),
        });
    }

    /// Writes the record that the most urgent operation belongs to, with all others of that record.
    ///
    /// Operations that change nothing are answered at once, without a write.
    pub fn start_commit(
        &mut self,
        token: ClaimToken,
        settings: &ClaimSettings,
        now: Instant,
        replies: &mut Vec<Reply>,
    ) -> Option<ClaimAction> {
        let most_urgent = self.queue.iter().min_by_key(|operation| operation.due)?;
        let segment = self.chain.segment_for(&most_urgent.entry.key);
        let mut commit = self.take_commit(segment, settings);
        if commit.record == *self.chain.record(segment) {
            replies.extend(replies_of(commit.operations));
            return None;
        }
        let value = commit.seal_if_full(settings);
        let action = ClaimAction::Swap {
            token,
            key: self.chain.place().record_key(segment),
            expected_revision: self.chain.revision(segment),
            value,
        };
        self.in_flight = Some(InFlight {
            since: now,
            call: StoreCall::Swap { token, commit },
        });
        Some(action)
    }

    fn take_commit(&mut self, segment: usize, settings: &ClaimSettings) -> Commit {
        let mut commit = Commit {
            segment,
            record: self.chain.record(segment).clone(),
            operations: Vec::new(),
        };
        let mut kept = VecDeque::new();
        for operation in self.queue.drain(..) {
            let key = &operation.entry.key;
            let is_here = self.chain.segment_for(key) == segment;
            // One fits always: a record that was left open by larger settings is sealed with it.
            let has_room = commit.operations.is_empty()
                || !commit.is_full(settings)
                || commit.record.find(key).is_some();
            if is_here && has_room {
                commit.add(operation);
            } else {
                kept.push_back(operation);
            }
        }
        self.queue = kept;
        commit
    }

    /// Takes in a read's result. Returns whether the token was this lane's.
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
        let Some(segment) = round.open.remove(&token) else {
            return false;
        };
        match result {
            Ok(stored) => {
                round.answers.insert(segment, stored.clone());
            }
            Err(StoreFault) => round.has_failed = true,
        }
        if round.open.is_empty() {
            let round = std::mem::take(round);
            self.in_flight = None;
            self.round_done(round, settings, now);
        }
        true
    }

    fn round_done(&mut self, round: ReadRound, settings: &ClaimSettings, now: Instant) {
        let mut is_whole = !round.has_failed;
        for (segment, stored) in round.answers {
            // Only the next record in order says something; after the open one come none.
            if self.chain.next_read() == Some(segment) {
                is_whole &= self.chain.adopt(segment, stored).is_ok();
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

    /// Takes in a write's result. Returns whether the token was this lane's.
    pub fn swap_done(
        &mut self,
        token: ClaimToken,
        result: Result<StoreNumber, SwapFault>,
        settings: &ClaimSettings,
        now: Instant,
        replies: &mut Vec<Reply>,
    ) -> bool {
        let Some(commit) = self.take_commit_of(token) else {
            return false;
        };
        match result {
            Ok(revision) => {
                self.failures = 0;
                let Commit {
                    segment,
                    record,
                    operations,
                } = commit;
                self.chain.committed(segment, record, revision);
                replies.extend(replies_of(operations));
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
        let segment = commit.segment;
        self.put_back(commit);
        match fault {
            SwapFault::Conflict {
                current: Some(current),
            } => {
                if self.chain.adopt(segment, Some(current)).is_err() {
                    self.chain.distrust(segment);
                    self.back_off(settings, now);
                }
            }
            SwapFault::Conflict { current: None } => self.chain.distrust(segment),
            SwapFault::NotDone => self.back_off(settings, now),
            // The write may have taken effect, or the store may carry it out later, while the
            // record still has the revision it expects. Read back first: if the claims are there,
            // they hold. If not, the operations are written again at the same revision; of the two
            // writes the store carries out one, and the other's condition fails.
            SwapFault::Ambiguous => self.chain.distrust(segment),
        }
    }

    /// Waits twice as long after each failure, so that a store in trouble is not flooded.
    fn back_off(&mut self, settings: &ClaimSettings, now: Instant) {
        let factor = 1 << self.failures.min(MAX_DOUBLINGS);
        let pause = settings.store_backoff * factor;
        self.retry_at = now + pause.min(settings.store_backoff_max);
        self.failures += 1;
    }

    /// Tries again now: the store is said to be back.
    pub fn retry_now(&mut self, now: Instant) {
        self.retry_at = now;
        self.failures = 0;
    }

    fn put_back(&mut self, commit: Commit) {
        for (operation, _) in commit.operations.into_iter().rev() {
            self.queue.push_front(operation);
        }
    }

    fn take_commit_of(&mut self, swap: ClaimToken) -> Option<Commit> {
        let in_flight = self.in_flight.take_if(
            |in_flight| matches!(&in_flight.call, StoreCall::Swap { token, .. } if *token == swap),
        )?;
        match in_flight.call {
            StoreCall::Swap { commit, .. } => Some(commit),
            StoreCall::Read(_) => None,
        }
    }

    /// Fails operations that waited too long, and gives up on a store call without an answer.
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
        let (expired, kept): (VecDeque<_>, _) = self.queue.drain(..).partition(is_expired);
        self.queue = kept;
        let failed = expired.into_iter();
        replies.extend(failed.map(|operation| operation.reply(OperationResult::Failed)));
    }
}
