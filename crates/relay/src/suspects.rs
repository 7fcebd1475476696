//! Requests suspected of crashing upstreams.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::{NodeId, UpstreamId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::RequestDigest;

/// How many upstreams may end while running a request before it is sent to no further one. A lower
/// limit would refuse callers whose upstreams happened to crash twice; with a higher one, each
/// further crash also takes down everything else that runs on that upstream.
pub const STRIKES_LIMIT: usize = 3;

/// How long a strike counts against a request. A request repeated later than that starts without
/// strikes.
const STRIKE_TTL: Duration = Duration::from_secs(600);

/// How long a request that was answered in full stays cleared, so that strikes from before, which
/// other nodes still send, are ignored.
const CLEARED_TTL: Duration = Duration::from_secs(60);

/// How long another node's count of the copies it has at upstreams is valid.
const TRIAL_TTL: Duration = Duration::from_secs(3);

/// Number of strikes from which updates on a request go to all nodes. Most requests with one strike
/// crash nothing.
const BROADCAST_STRIKES: usize = 2;

/// How often a change is sent, because single messages can be lost.
const SEND_COUNT: u8 = 2;

/// How often, and for how long, a node repeats a single strike that it saw itself: the nodes that
/// collect strikes may be unreachable at first.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);
const RESEND_PERIOD: Duration = Duration::from_secs(30);

/// Most requests that are remembered. Beyond it, an eighth is dropped at a time, those with the
/// fewest strikes first.
const MAX_RECORDS: usize = 512;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// It may be sent.
    None,
    /// Not yet: so many copies are at upstreams that their crashes could exceed the limit.
    OnTrial,
    /// No: the limit is reached.
    Crashes,
}

/// Which nodes receive an update about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// One node of each failure domain, chosen by hash of the request, which collects what other
    /// nodes saw.
    Collectors,
    /// All nodes.
    All,
}

/// An update about one request that nodes send to each other. Ages are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    digest: RequestDigest,
    /// Upstreams that ended, by hash of their ids, and how long ago.
    strikes: Vec<(u64, u32)>,
    /// How long ago the request was answered in full.
    cleared: Option<u32>,
    /// How many copies the sender has at upstreams.
    trials: u32,
}

impl SuspectUpdate {
    /// The request.
    pub fn digest(&self) -> &RequestDigest {
        &self.digest
    }
}

/// Strikes against requests, as one node knows them.
///
/// A request stands for all copies with the same content, whichever caller sends them through
/// whichever node. When an upstream ends, every request that was starting there gets a strike. The
/// one that crashed it is among them, and gets another with the next upstream that it crashes. A
/// full answer clears a request.
///
/// ```
/// use std::time::Instant;
/// use nutmegsail_relay::{RequestContent, RequestDigest, Suspects, Suspicion};
/// let content = RequestContent { method: "POST", host: "spa", path: "/", team: None, body: b"" };
/// let (digest, now) = (RequestDigest::of(&content), Instant::now());
/// let mut suspects = Suspects::default();
/// suspects.strike(digest, &"engine-1@7".into(), now);
/// suspects.strike(digest, &"engine-2@7".into(), now);
/// assert_eq!(suspects.suspicion(&digest, now), Suspicion::None);
/// suspects.strike(digest, &"engine-3@7".into(), now);
/// assert_eq!(suspects.suspicion(&digest, now), Suspicion::Crashes);
/// suspects.clear(&digest, now);
/// assert_eq!(suspects.suspicion(&digest, now), Suspicion::None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: HashMap<RequestDigest, Record>,
}

#[derive(Clone, Debug, Default)]
struct Record {
    /// One for each upstream, at most [`STRIKES_LIMIT`].
    strikes: Vec<Strike>,
    cleared: Option<Instant>,
    /// How many copies this node has at upstreams.
    own_trials: u32,
    /// How many copies other nodes have at upstreams, and when each update arrived.
    trials_of_others: HashMap<NodeId, (u32, Instant)>,
    /// Whether updates on the request go to all nodes.
    is_broadcast: bool,
    /// Whether this node saw one of the upstreams end.
    is_own: bool,
    /// How many more times an update is to be sent.
    sends_left: u8,
    /// When an update on the request was last sent.
    last_sent: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Strike {
    upstream: u64,
    at: Instant,
}

impl Strike {
    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < STRIKE_TTL
    }
}

impl Suspects {
    /// Adds a strike to a request because `upstream` ended.
    pub fn strike(&mut self, digest: RequestDigest, upstream: &UpstreamId, now: Instant) {
        let strike = Strike {
            upstream: xxh3_64(upstream.as_bytes()),
            at: now,
        };
        let record = self.records.entry(digest).or_default();
        if record.add(strike, now) {
            record.is_own = true;
            record.sends_left = SEND_COUNT;
        }
        self.enforce_limit(now);
    }

    /// Clears a request that was answered in full.
    pub fn clear(&mut self, digest: &RequestDigest, now: Instant) {
        let Some(record) = self.records.get_mut(digest) else {
            return;
        };
        if !record.strikes.is_empty() {
            record.clear(now);
            record.sends_left = SEND_COUNT;
        }
    }

    /// Whether a request may be sent.
    pub fn suspicion(&self, digest: &RequestDigest, now: Instant) -> Suspicion {
        let Some(record) = self.records.get(digest) else {
            return Suspicion::None;
        };
        let strikes = record.strikes(now).count();
        match strikes + record.trials(now) {
            _ if strikes >= STRIKES_LIMIT => Suspicion::Crashes,
            possible_strikes if strikes > 0 && possible_strikes >= STRIKES_LIMIT => {
                Suspicion::OnTrial
            }
            _ => Suspicion::None,
        }
    }

    /// Counts a copy as sent if the request has strikes. Returns whether it does.
    pub fn begin_trial(&mut self, digest: &RequestDigest, now: Instant) -> bool {
        let record = self.records.get_mut(digest);
        let Some(record) = record.filter(|record| record.strikes(now).next().is_some()) else {
            return false;
        };
        record.own_trials += 1;
        record.schedule_trial_update();
        true
    }

    /// Uncounts a copy counted by [`Suspects::begin_trial`], which has ended or run long enough to
    /// be harmless.
    pub fn end_trial(&mut self, digest: &RequestDigest) {
        if let Some(record) = self.records.get_mut(digest) {
            record.own_trials = record.own_trials.saturating_sub(1);
            record.schedule_trial_update();
        }
    }

    /// The age of each strike against a request.
    pub fn ages(&self, digest: &RequestDigest, now: Instant) -> Vec<Duration> {
        let record = self.records.get(digest);
        let strikes = record.into_iter().flat_map(|record| record.strikes(now));
        strikes
            .map(|strike| now.saturating_duration_since(strike.at))
            .collect()
    }

    /// Numbers of requests that are refused and of requests with at least one strike.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let strikes = self.records.values();
        let strikes = strikes.map(|record| record.strikes(now).count());
        strikes.fold((0, 0), |(refused, suspected), strikes| {
            let refused = refused + usize::from(strikes >= STRIKES_LIMIT);
            (refused, suspected + usize::from(strikes > 0))
        })
    }

    /// Returns the updates to send now, with the nodes to send each to.
    pub fn due_updates(&mut self, now: Instant) -> Vec<(Recipients, SuspectUpdate)> {
        self.forget_old(now);
        let due = self.records.iter_mut();
        let due = due.filter(|(_, record)| record.is_send_due(now));
        due.map(|(digest, record)| {
            record.sends_left = record.sends_left.saturating_sub(1);
            record.last_sent = Some(now);
            let audience = match record.is_broadcast {
                true => Recipients::All,
                false => Recipients::Collectors,
            };
            (audience, record.to_update(*digest, now))
        })
        .collect()
    }

    /// Returns updates on up to `most` requests known to all nodes. They are sent repeatedly,
    /// because nodes start or become reachable late. Requests with the most strikes come first,
    /// then the most recent.
    pub fn repeated_updates(&self, most: usize, now: Instant) -> Vec<SuspectUpdate> {
        let mut suspected: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| record.is_broadcast)
            .filter_map(|(digest, record)| {
                let newest = record.strikes(now).map(|strike| strike.at).max()?;
                Some((record.strikes(now).count(), newest, *digest, record))
            })
            .collect();
        suspected.sort_by_key(|(strikes, newest, digest, _)| (*strikes, *newest, *digest));
        let updated = suspected.into_iter().rev().take(most);
        updated
            .map(|(_, _, digest, record)| record.to_update(digest, now))
            .collect()
    }

    /// Applies an update from another node.
    pub fn take(&mut self, from: &NodeId, update: &SuspectUpdate, now: Instant) {
        let record = self.records.entry(update.digest).or_default();
        if let Some(cleared) = update.cleared.and_then(|age_ms| before(now, age_ms)) {
            record.clear(cleared);
        }
        for (upstream, age_ms) in &update.strikes {
            let at = before(now, *age_ms).unwrap_or(now);
            let upstream = *upstream;
            record.add(Strike { upstream, at }, now);
        }
        if record.is_broadcast && record.strikes(now).count() > update.strikes.len() {
            // This node may be the only one that knows all the strikes.
            record.sends_left = SEND_COUNT;
        }
        let trials = (update.trials, now);
        record.trials_of_others.insert(from.clone(), trials);
        self.enforce_limit(now);
    }

    fn forget_old(&mut self, now: Instant) {
        self.records.retain(|_, record| record.is_needed(now));
    }

    fn enforce_limit(&mut self, now: Instant) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        self.forget_old(now);
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let records = self.records.iter();
        let mut ranked: Vec<_> = records
            .map(|(digest, record)| {
                let newest = record.strikes.iter().map(|strike| strike.at).max();
                (record.strikes.len(), newest, *digest)
            })
            .collect();
        ranked.sort_unstable();
        let surplus = self.records.len() - MAX_RECORDS * 7 / 8;
        for (_, _, digest) in &ranked[..surplus] {
            self.records.remove(digest);
        }
    }
}

impl Record {
    /// Adds a strike unless it is known or no longer counts. Returns whether it was added.
    fn add(&mut self, strike: Strike, now: Instant) -> bool {
        self.strikes.retain(|strike| strike.is_valid(now));
        let is_outdated = self.cleared.is_some_and(|cleared| strike.at <= cleared);
        let mut known = self.strikes.iter();
        let is_known = known.any(|known| known.upstream == strike.upstream);
        if is_outdated || is_known || self.strikes.len() >= STRIKES_LIMIT {
            return false;
        }
        self.strikes.push(strike);
        self.is_broadcast |= self.strikes.len() >= BROADCAST_STRIKES;
        true
    }

    fn schedule_trial_update(&mut self) {
        if self.is_broadcast {
            self.sends_left = SEND_COUNT;
        }
    }

    fn is_send_due(&self, now: Instant) -> bool {
        let is_due = |sent: Instant| now.saturating_duration_since(sent) >= RESEND_INTERVAL;
        let mut strikes = self.strikes(now);
        let is_new = strikes.any(|strike| now.saturating_duration_since(strike.at) < RESEND_PERIOD);
        let is_resend_due =
            self.is_own && !self.is_broadcast && is_new && self.last_sent.is_none_or(is_due);
        self.sends_left > 0 || is_resend_due
    }

    fn clear(&mut self, at: Instant) {
        self.cleared = Some(self.cleared.map_or(at, |cleared| cleared.max(at)));
        self.strikes.retain(|strike| strike.at > at);
    }

    fn strikes(&self, now: Instant) -> impl Iterator<Item = &Strike> {
        let strikes = self.strikes.iter();
        strikes.filter(move |strike| strike.is_valid(now))
    }

    /// How many copies are known to be at upstreams.
    fn trials(&self, now: Instant) -> usize {
        let elsewhere = self.trials_of_others.values();
        let elsewhere = elsewhere
            .filter(|(_, received_at)| now.saturating_duration_since(*received_at) < TRIAL_TTL)
            .map(|(trials, _)| *trials);
        (self.own_trials + elsewhere.sum::<u32>()) as usize
    }

    fn is_needed(&self, now: Instant) -> bool {
        let is_cleared = self
            .cleared
            .is_some_and(|cleared| now.saturating_duration_since(cleared) < CLEARED_TTL);
        is_cleared
            || self.sends_left > 0
            || self.own_trials > 0
            || self.strikes(now).next().is_some()
    }

    fn to_update(&self, digest: RequestDigest, now: Instant) -> SuspectUpdate {
        let age_ms = |at: Instant| {
            let age = now.saturating_duration_since(at);
            u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
        };
        let strikes = self.strikes(now);
        SuspectUpdate {
            digest,
            strikes: strikes
                .map(|strike| (strike.upstream, age_ms(strike.at)))
                .collect(),
            cleared: self.cleared.map(age_ms),
            trials: self.own_trials,
        }
    }
}

fn before(now: Instant, age_ms: u32) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(u64::from(age_ms)))
}
