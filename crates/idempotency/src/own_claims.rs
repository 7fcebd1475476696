//! The claims that this incarnation made and that are not settled yet.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use nutmegsail_base::RequestId;

use crate::{ClaimState, IdempotencyKey, RequestDigest};

/// The right to dispatch one claim's call. It is created with the claim and consumed when the call
/// is allowed to run, so that a call cannot be dispatched twice.
#[derive(Debug)]
pub(crate) struct DispatchRight {
    number: u64,
}

/// The phase of one of this incarnation's claims.
#[derive(Debug)]
pub(crate) enum OwnPhase {
    /// The claim is being written to the store.
    Waiting(DispatchRight),
    /// The call was allowed to run and has not ended.
    Running,
    /// The call has ended, and its outcome is being written to the store.
    Recording(ClaimState),
}

/// A claim of this incarnation, from the call's arrival until its outcome is in the store.
#[derive(Debug)]
pub(crate) struct OwnClaim {
    /// The request that made the claim.
    pub request: RequestId,
    /// The digest of the call.
    pub digest: RequestDigest,
    /// The claim's sequence number within this incarnation.
    pub number: u64,
    /// The claim's phase.
    pub phase: OwnPhase,
}

/// This incarnation's unsettled claims by key. A key has at most one.
#[derive(Debug, Default)]
pub(crate) struct OwnClaims {
    last_number: u64,
    by_key: BTreeMap<IdempotencyKey, OwnClaim>,
    running: BTreeMap<RequestId, IdempotencyKey>,
    /// Waiting claims in the order in which they expire.
    waits: VecDeque<Wait>,
}

/// When a claim is given up if it is still waiting for the store.
#[derive(Debug)]
struct Wait {
    expires: Instant,
    key: IdempotencyKey,
    number: u64,
}

impl OwnClaims {
    /// Adds a claim for a key that has none, and returns its number.
    pub fn add(
        &mut self,
        key: &IdempotencyKey,
        request: RequestId,
        digest: RequestDigest,
        expires: Instant,
    ) -> u64 {
        self.last_number += 1;
        let number = self.last_number;
        let claim = OwnClaim {
            request,
            digest,
            number,
            phase: OwnPhase::Waiting(DispatchRight { number }),
        };
        let before = self.by_key.insert(key.clone(), claim);
        assert!(before.is_none(), "a key has one claim at a time");
        self.waits.push_back(Wait {
            expires,
            key: key.clone(),
            number,
        });
        number
    }

    /// The claim for `key`.
    pub fn get(&self, key: &IdempotencyKey) -> Option<&OwnClaim> {
        self.by_key.get(key)
    }

    /// Whether the claim `number` for `key` is waiting for the store.
    pub fn is_waiting(&self, key: &IdempotencyKey, number: u64) -> bool {
        self.get(key).is_some_and(|claim| {
            claim.number == number && matches!(claim.phase, OwnPhase::Waiting(_))
        })
    }

    /// Marks a waiting claim's call as running. Panics if called again for the same claim, because
    /// the [`DispatchRight`] has been consumed.
    pub fn run(&mut self, key: &IdempotencyKey, number: u64) -> RequestId {
        let claim = self.by_key.get_mut(key).expect("the claim is waiting");
        let phase = std::mem::replace(&mut claim.phase, OwnPhase::Running);
        let OwnPhase::Waiting(right) = phase else {
            panic!("claim {number} has already been dispatched");
        };
        // An older claim of the same key that became durable must not allow a newer claim's call to
        // run.
        assert_eq!(
            right.number, number,
            "the durable claim is the one that is waiting"
        );
        let request = claim.request.clone();
        self.running.insert(request.clone(), key.clone());
        request
    }

    /// Removes a waiting claim, whose call will then not run.
    pub fn give_up(&mut self, key: &IdempotencyKey, number: u64) -> OwnClaim {
        assert!(
            self.is_waiting(key, number),
            "only a waiting claim can be given up"
        );
        self.by_key.remove(key).expect("the claim is waiting")
    }

    /// Ends a running call. Returns its key, or `None` if the request is not running.
    pub fn finish(&mut self, request: &RequestId, state: ClaimState) -> Option<IdempotencyKey> {
        let key = self.running.remove(request)?;
        let claim = self
            .by_key
            .get_mut(&key)
            .expect("a running call has a claim");
        claim.phase = OwnPhase::Recording(state);
        Some(key)
    }

    /// Removes a claim whose outcome is in the store.
    pub fn remove_recorded(&mut self, key: &IdempotencyKey, number: u64) {
        let is_recorded = self.get(key).is_some_and(|claim| {
            claim.number == number && matches!(claim.phase, OwnPhase::Recording(_))
        });
        if is_recorded {
            self.by_key.remove(key);
        }
    }

    /// Whether the request was allowed to run and has not ended.
    pub fn is_running(&self, request: &RequestId) -> bool {
        self.running.contains_key(request)
    }

    /// The number of claims whose outcome is not in the store yet.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Removes and returns the next claim whose wait has expired.
    pub fn pop_expired(&mut self, now: Instant) -> Option<(IdempotencyKey, u64)> {
        self.drop_settled_waits();
        if self.next_expiry()? > now {
            return None;
        }
        let wait = self.waits.pop_front()?;
        Some((wait.key, wait.number))
    }

    /// When the next wait expires.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.waits.front().map(|wait| wait.expires)
    }

    fn drop_settled_waits(&mut self) {
        while let Some(wait) = self.waits.front() {
            if self.is_waiting(&wait.key, wait.number) {
                return;
            }
            self.waits.pop_front();
        }
    }
}
