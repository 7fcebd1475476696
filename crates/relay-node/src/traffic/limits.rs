//! Rate limits that upstreams state in their answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{LimitChange, LimitSaid, RateBucket, Upstream};
use nutmegsail_telemetry::{Event, log_event};

use super::call::Call;
use super::gateway::Gateway;
use super::plain_slot::Turn;

/// How long an unused local rate bucket is kept. If buckets were kept longer, those of all nodes
/// would together allow a burst.
const SHARE_LIFE: Duration = Duration::from_secs(5);

/// The longest time for which a rate limit is taken to block an upstream.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// The rates at which this node sends to rate-limited upstreams while the node that issues their
/// permits does not answer.
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
    /// Takes a rate permit at an upstream from this node's equal share of the limit.
    pub(super) fn take_own_share(&self, upstream: &UpstreamId, per_s: f64, nodes: usize) -> Turn {
        let per_s = per_s / nodes.max(1) as f64;
        let mut shares = self.own_shares.borrow_mut();
        shares.take(upstream, per_s, Instant::now())
    }

    /// Records that an upstream's rate limit blocks a request for `wait`.
    pub(super) fn note_held_back(&self, call: &Call, upstream: &UpstreamId, wait: Duration) {
        let now = Instant::now();
        self.shared.metrics.held_back();
        // A limit close to zero gives a wait that an `Instant` cannot represent.
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

    /// Records what an answer to `call` states about its upstream's rate limit.
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
