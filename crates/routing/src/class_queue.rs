//! The queue of one service and class.

use std::collections::BTreeMap;
use std::time::Instant;

use nutmegsail_base::{AdapterRef, RequestId};

/// The sort key of a waiting request: its latest start plus the fairness penalty of its caller,
/// then its order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) at: Instant,
    pub(crate) seq: u64,
}

/// The sort key and latest start of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuePosition {
    pub(crate) rank: Rank,
    /// The latest start at which the request can still meet its deadline.
    pub(crate) latest_start: Instant,
}

/// The waiting requests of one service and class, in one lane per adapter.
///
/// The lanes avoid head-of-line blocking between adapters: a request whose adapter is still loading
/// must not delay later requests whose adapter is ready. An upstream with a free place takes
/// requests only from the lanes of the adapters that it holds.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    /// A `BTreeMap`, so that the order of iteration, and with it the actions, are deterministic.
    lanes: BTreeMap<Option<AdapterRef>, BTreeMap<Rank, RequestId>>,
    /// All requests by their latest start.
    expiries: BTreeMap<Rank, RequestId>,
}

impl ClassQueue {
    pub(crate) fn len(&self) -> usize {
        self.expiries.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.expiries.is_empty()
    }

    pub(crate) fn push(
        &mut self,
        adapter: &Option<AdapterRef>,
        position: QueuePosition,
        request: &RequestId,
    ) {
        let lane = self.lanes.entry(adapter.clone()).or_default();
        let replaced = lane.insert(position.rank, request.clone());
        assert!(replaced.is_none(), "two requests have the same rank");
        self.expiries.insert(expiry(position), request.clone());
    }

    pub(crate) fn remove(&mut self, adapter: &Option<AdapterRef>, position: QueuePosition) {
        self.expiries.remove(&expiry(position));
        let Some(lane) = self.lanes.get_mut(adapter) else {
            return;
        };
        lane.remove(&position.rank);
        if lane.is_empty() {
            self.lanes.remove(adapter);
        }
    }

    /// The waiting requests of one adapter, in order.
    pub(crate) fn lane(
        &self,
        adapter: &Option<AdapterRef>,
    ) -> impl Iterator<Item = (Rank, &RequestId)> {
        let lane = self.lanes.get(adapter);
        lane.into_iter().flatten().map(|(rank, id)| (*rank, id))
    }

    /// The request with the earliest latest start, if that has passed.
    pub(crate) fn expired(&self, now: Instant) -> Option<&RequestId> {
        let (rank, request) = self.expiries.first_key_value()?;
        (rank.at < now).then_some(request)
    }

    /// The adapters of the waiting requests.
    pub(crate) fn adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        self.lanes.keys().flatten()
    }

    pub(crate) fn requests(&self) -> impl Iterator<Item = &RequestId> {
        self.expiries.values()
    }
}

fn expiry(position: QueuePosition) -> Rank {
    Rank {
        at: position.latest_start,
        seq: position.rank.seq,
    }
}
