//! What a run came to.

use super::request::{Request, TryState};

/// When most new connections go to one node, and from when on requests count.
pub(super) const FROM_S: u64 = 10;
pub(super) const COUNTED_FROM_S: u64 = 13;
pub(super) const TO_S: u64 = 22;
pub(super) const END_S: u64 = 30;

/// What a run came to. A share is that of the requests of which a node read a try.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConnectionRun {
    /// Served at the first try that was read, in the seconds before.
    pub(crate) before_share: f64,
    /// The same from 3 s after the beginning on, as a part of what it was before.
    pub(crate) meanwhile_of_before: f64,
    /// The same after it.
    pub(crate) after_share: f64,
    /// Of all requests meanwhile, those that were served, by any node.
    pub(crate) answered_share: f64,
    /// Of those read at the nodes that got most new connections after the first, those that were served.
    pub(crate) next_share: f64,
    /// How many nodes got most new connections.
    pub(crate) nodes: f64,
    /// How long the first of them was over its processor share.
    pub(crate) over_s: f64,
    /// The most descriptors in use at one of them.
    pub(crate) descriptors: f64,
}

/// Requests of a span.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: u32,
    read: u32,
    served: u32,
}

impl Counts {
    fn of<'a>(requests: impl Iterator<Item = &'a Request>) -> Self {
        let mut counts = Self::default();
        for request in requests {
            counts.sent += 1;
            match request.state {
                // Other nodes have room, so the next try is served.
                TryState::Served | TryState::UnreadElsewhere => {
                    counts.read += 1;
                    counts.served += 1;
                }
                TryState::NotServed | TryState::Read => counts.read += 1,
                TryState::Unread | TryState::UnreadLost => {}
            }
        }
        counts
    }

    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.read.max(1))
    }
}

/// What `requests` came to.
pub(super) fn count(requests: &[Request]) -> ConnectionRun {
    let within = |from_s: u64, to_s: u64| {
        let span_us = from_s * 1_000_000..to_s * 1_000_000;
        requests
            .iter()
            .filter(move |request| span_us.contains(&request.sent_us))
    };
    let before = Counts::of(within(0, FROM_S));
    let meanwhile = Counts::of(within(COUNTED_FROM_S, TO_S));
    let next = within(COUNTED_FROM_S, TO_S).filter(|request| request.node > Some(0));
    let next = next.filter(|request| request.state != TryState::UnreadElsewhere);
    ConnectionRun {
        before_share: before.share(),
        meanwhile_of_before: meanwhile.share() / before.share(),
        after_share: Counts::of(within(TO_S, END_S)).share(),
        answered_share: f64::from(meanwhile.served) / f64::from(meanwhile.sent.max(1)),
        next_share: Counts::of(next).share(),
        ..ConnectionRun::default()
    }
}
