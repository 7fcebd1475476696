//! Requests of one service and class that wait.

use std::collections::BTreeMap;
use std::time::Instant;

use nutmegsail_base::{AdapterRef, RequestId};

/// A place in the order of waiting: by slack with a penalty for callers that ask for much, then by
/// arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub(crate) at: Instant,
    pub(crate) seq: u64,
}

/// Where a waiting request stands in its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QueuePlace {
    pub(crate) rank: Rank,
    /// The last moment at which a start still meets the deadline.
    pub(crate) latest_start: Instant,
}

/// Requests of one service and class, in a lane for each adapter.
///
/// Against head-of-line blocking between adapters: a request whose adapter is still loading must
/// not keep back those behind it whose adapter is ready. An upstream that has a place looks only at
/// the heads of the lanes whose adapters it holds.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    /// Ordered, so that the same events always lead to the same actions.
    lanes: BTreeMap<Option<AdapterRef>, BTreeMap<Rank, RequestId>>,
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
        place: QueuePlace,
        request: &RequestId,
    ) {
        let lane = self.lanes.entry(adapter.clone()).or_default();
        let replaced = lane.insert(place.rank, request.clone());
        assert!(replaced.is_none(), "two requests have one rank");
        self.expiries.insert(expiry(place), request.clone());
    }

    pub(crate) fn remove(&mut self, adapter: &Option<AdapterRef>, place: QueuePlace) {
        self.expiries.remove(&expiry(place));
        let Some(lane) = self.lanes.get_mut(adapter) else {
            return;
        };
        lane.remove(&place.rank);
        if lane.is_empty() {
            self.lanes.remove(adapter);
        }
    }

    /// Waiting requests of one adapter in order.
    pub(crate) fn lane(
        &self,
        adapter: &Option<AdapterRef>,
    ) -> impl Iterator<Item = (Rank, &RequestId)> {
        let lane = self.lanes.get(adapter);
        lane.into_iter().flatten().map(|(rank, id)| (*rank, id))
    }

    /// The first request that can no longer meet its deadline.
    pub(crate) fn expired(&self, now: Instant) -> Option<&RequestId> {
        let (rank, request) = self.expiries.first_key_value()?;
        (rank.at < now).then_some(request)
    }

    /// Adapters that requests wait for.
    pub(crate) fn adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        self.lanes.keys().flatten()
    }

    pub(crate) fn requests(&self) -> impl Iterator<Item = &RequestId> {
        self.expiries.values()
    }
}

fn expiry(place: QueuePlace) -> Rank {
    Rank {
        at: place.latest_start,
        seq: place.rank.seq,
    }
}
