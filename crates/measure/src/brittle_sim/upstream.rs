//! One upstream that falls over if it refuses many requests.

use std::collections::VecDeque;

/// How many requests it may refuse in a second.
const TOLERATED: usize = 2;

/// How long it is away once it has fallen over, in milliseconds.
const AWAY_MS: u64 = 4_000;

/// What became of a request that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// It runs.
    Taken,
    /// There was no room.
    Refused,
    /// There was no room, and the upstream fell over; all that ran there is lost.
    Fell,
    /// The upstream is away.
    Away,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct BrittleUpstream {
    running: usize,
    refused_at_ms: VecDeque<u64>,
    back_at_ms: u64,
    /// Rises with each fall, so that answers of before are known.
    pub(crate) falls: u32,
}

impl BrittleUpstream {
    pub(crate) fn is_away(&self, now_ms: u64) -> bool {
        now_ms < self.back_at_ms
    }

    /// A request arrives; `room` is how many run at once.
    pub(crate) fn arrive(&mut self, room: usize, is_brittle: bool, now_ms: u64) -> Arrival {
        if self.is_away(now_ms) {
            return Arrival::Away;
        }
        if self.running < room {
            self.running += 1;
            return Arrival::Taken;
        }
        if !is_brittle {
            return Arrival::Refused;
        }
        self.refused_at_ms.push_back(now_ms);
        while self
            .refused_at_ms
            .front()
            .is_some_and(|at| at + 1_000 <= now_ms)
        {
            self.refused_at_ms.pop_front();
        }
        if self.refused_at_ms.len() <= TOLERATED {
            return Arrival::Refused;
        }
        self.refused_at_ms.clear();
        self.running = 0;
        self.back_at_ms = now_ms + AWAY_MS;
        self.falls += 1;
        Arrival::Fell
    }

    /// A request that was taken before the fall numbered `falls` ends; returns whether it is
    /// answered.
    pub(crate) fn finish(&mut self, falls: u32) -> bool {
        let is_answered = falls == self.falls;
        self.running -= usize::from(is_answered);
        is_answered
    }
}
