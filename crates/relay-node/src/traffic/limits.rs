//! Limits that upstreams name in their answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{LimitChange, LimitSaid, RateBucket, Upstream};
use nutmegsail_telemetry::{Event, log_event};

use super::call::Call;
use super::gateway::Gateway;
use super::plain_slot::Turn;

/// How long the shares of a node are kept that nobody asks for. Kept for longer, those of all nodes would add up
/// to a burst.
const SHARE_LIFE: Duration = Duration::from_secs(5);

/// The longest time for which an upstream's limit is taken to leave no room.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// What this node may send by itself to upstreams with a limit, while the node that hands out turns is not heard.
#[derive(Debug, Default)]
pub(super) struct OwnShares(HashMap<UpstreamId, (RateBucket, Instant)>);

impl OwnShares {
    fn take(&mut self, upstream: &UpstreamId, per_s: f64, now: Instant) -> Turn {
        self.0
            .retain(|_, (_, asked)| now.duration_since(*asked) < SHARE_LIFE);
        let share = self.0.entry(upstream.clone());
        let (bucket, asked) = share.or_insert_with(|| (RateBucket::new(per_s, now), now));
        *asked = now;
        bucket.set_rate(per_s, now);
        match bucket.take(now) {
            true => Turn::Taken,
            false => Turn::Busy(bucket.wait(0, now)),
        }
    }
}

impl Gateway {
    /// Takes a turn at an upstream from the equal part of its limit that is this node's.
    pub(super) fn take_own_share(&self, upstream: &UpstreamId, per_s: f64, nodes: usize) -> Turn {
        let per_s = per_s / nodes.max(1) as f64;
        let mut shares = self.own_shares.borrow_mut();
        shares.take(upstream, per_s, Instant::now())
    }

    /// Takes in that an upstream's limit leaves no room for a request for `wait`.
    pub(super) fn note_held_back(&self, call: &Call, upstream: &UpstreamId, wait: Duration) {
        let now = Instant::now();
        self.shared.metrics.held_back();
        // A limit of next to nothing has no room for longer than an instant can tell.
        let until = now.checked_add(wait.min(LONGEST_WAIT)).unwrap_or(now);
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.note_limited(upstream, until);
        drop(dispatcher);
        log_event!(
            self.log, Event::HeldBack,
            "request" => call.id.to_string(), "upstream" => upstream.to_string(),
            "per_s" => self.shared.limits().per_s(upstream), "wait_ms" => wait.as_millis()
        );
    }

    /// Takes in what an answer to `call` says of its upstream's limit.
    pub(super) fn note_limit(&self, call: &Call, upstream: &Upstream, said: LimitSaid) {
        let change = self
            .shared
            .limits()
            .note_answer(&upstream.id, said, Instant::now());
        match change {
            Some(LimitChange::Named(per_s)) => log_event!(
                self.log, Event::LimitNamed,
                "upstream" => upstream.id.to_string(), "per_s" => per_s,
                "request" => call.id.to_string()
            ),
            Some(LimitChange::Ended) => log_event!(
                self.log, Event::LimitEnded,
                "upstream" => upstream.id.to_string(), "request" => call.id.to_string()
            ),
            None if said == LimitSaid::Malformed => log_event!(
                self.log, Event::LimitMalformed,
                "upstream" => upstream.id.to_string(), "request" => call.id.to_string()
            ),
            None => {}
        }
    }
}
