//! When the store has a stream's origin.

use std::time::{Duration, Instant};

use nutmegsail_relay::{OriginBatches, StreamKey, StreamOrigin};
use rand::{Rng, RngExt as _};

use super::fleet::RESUMABLE_S;

/// How long a write takes.
pub(super) const WRITE_S: f64 = 0.005;

pub(super) fn origin() -> StreamOrigin {
    StreamOrigin {
        service: "spa-scribe".into(),
        software: "v1.1".into(),
    }
}

pub(super) fn batches(interval_ms: u64) -> OriginBatches {
    let lifetime = Duration::from_secs_f64(RESUMABLE_S);
    OriginBatches::new(Duration::from_millis(interval_ms), lifetime)
}

/// The time until the next of events that come at random.
pub(super) fn random_wait_s(per_s: f64, random: &mut impl Rng) -> f64 {
    -(1.0 - random.random::<f64>()).ln() / per_s
}

/// How long a stream waits until a batch takes it, at a node to which others come at a rate.
pub(super) fn wait_for_batch_s(
    key: &StreamKey,
    streams_per_s: f64,
    interval_ms: u64,
    random: &mut impl Rng,
) -> f64 {
    let base = Instant::now();
    let at = |s: f64| base + Duration::from_secs_f64(s);
    let mut batches = batches(interval_ms);
    // The phase of a busy writer's batches is random after a few intervals.
    let began_s = interval_ms as f64 / 1_000.0 * random.random_range(3.0..4.0);
    let origin = origin();
    let mut next_s = random_wait_s(streams_per_s, random);
    let mut is_pending = false;
    loop {
        let due = batches.due_at();
        let begin_s = match is_pending {
            true => f64::INFINITY,
            false => began_s,
        };
        let arrival_s = next_s.min(begin_s);
        if let Some(due) = due.filter(|due| *due <= at(arrival_s)) {
            batches.take_batch(due);
            batches.written();
            if is_pending {
                return due.duration_since(base).as_secs_f64() - began_s;
            }
        } else if begin_s <= next_s {
            batches.push(*key, origin.clone(), at(began_s));
            is_pending = true;
        } else {
            batches.push(*key, origin.clone(), at(next_s));
            next_s += random_wait_s(streams_per_s, random);
        }
    }
}
