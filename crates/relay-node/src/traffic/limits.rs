//! Rate limits that upstreams state in their answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{AnnouncedLimit, LimitChange, RateBucket, Upstream};
use nutmegsail_telemetry::{Event, log_event};

use super::call::Call;
use super::gateway::Gateway;
use super::plain_slot::PermitResult;

/// How long an unused local rate bucket is kept. If buckets were kept longer, those of all nodes
/// would together allow a burst.
const RATE_BUCKET_TTL: Duration = Duration::from_secs(5);

/// The longest time for which a rate limit is taken to block an upstream.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The rates at which this node sends to rate-limited upstreams while the node that issues their
/// permits does not answer.
#[derive(Debug, Default)]
pub(super) struct LocalRateBuckets(HashMap<UpstreamId, (RateBucket, Instant)>);

impl LocalRateBuckets {
    fn take(&mut self, upstream: &UpstreamId, per_s: f64, now: Instant) -> PermitResult {
        self.0
            .retain(|_, (_, last_used)| now.duration_since(*last_used) < RATE_BUCKET_TTL);
        let bucket_entry = self.0.entry(upstream.clone());
        let (bucket, last_used) =
            bucket_entry.or_insert_with(|| (RateBucket::new(per_s, now), now));
        *last_used = now;
        bucket.set_rate(per_s, now);
        match bucket.take(now) {
            true => PermitResult::Taken,
            false => PermitResult::Busy(bucket.wait(0, now)),
        }
    }
}

impl Gateway {
    /// Takes a rate permit at an upstream from this node's equal share of the limit.
    pub(super) fn take_local_permit(
        &self,
        upstream: &UpstreamId,
        per_s: f64,
        nodes: usize,
    ) -> PermitResult {
        let per_s = per_s / nodes.max(1) as f64;
        let mut buckets = self.local_rate_buckets.borrow_mut();
        buckets.take(upstream, per_s, Instant::now())
    }

    /// Records that an upstream's rate limit blocks a request for `wait`.
    pub(super) fn record_held_back(&self, call: &Call, upstream: &UpstreamId, wait: Duration) {
        let now = Instant::now();
        self.shared.metrics.held_back();
        // A limit close to zero gives a wait that an `Instant` cannot represent.
        let until = now.checked_add(wait.min(MAX_WAIT)).unwrap_or(now);
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.record_rate_limited(upstream, until);
        drop(dispatcher);
        log_event!(
            self.log, Event::HeldBack,
            "request" => call.id.to_string(), "upstream" => upstream.to_string(),
            "per_s" => self.shared.limits().per_s(upstream), "wait_ms" => wait.as_millis()
        );
    }

    /// Records what an answer to `call` states about its upstream's rate limit.
    pub(super) fn record_limit(&self, call: &Call, upstream: &Upstream, stated: AnnouncedLimit) {
        let process = self.shared.notices().latest_process(&upstream.id).clone();
        let change = self
            .shared
            .limits()
            .note_answer(&process, stated, Instant::now());
        match change {
            Some(LimitChange::Named(per_s)) => log_event!(
                self.log, Event::LimitNamed,
                "upstream" => process.to_string(), "per_s" => per_s,
                "request" => call.id.to_string()
            ),
            Some(LimitChange::Ended) => log_event!(
                self.log, Event::LimitEnded,
                "upstream" => process.to_string(), "request" => call.id.to_string()
            ),
            None if stated == AnnouncedLimit::Malformed => log_event!(
                self.log, Event::LimitMalformed,
                "upstream" => process.to_string(), "request" => call.id.to_string()
            ),
            None => {}
        }
    }
}
