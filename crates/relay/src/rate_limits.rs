//! Request rate limits that overloaded upstreams announce in their answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use serde::{Deserialize, Serialize};

use crate::upstream_list::MAX_ENTRY_LAG;

/// How long answers must have announced no limit, or a higher one, before the limit is lifted or
/// raised. Answers can arrive out of order, and an upstream may announce its limit only in some of
/// them.
const RAISE_DELAY: Duration = Duration::from_secs(2);

/// How long the end of a limit is remembered, so that outdated updates from other nodes do not
/// restore it.
const LIFTED_TTL: Duration = Duration::from_secs(30);

/// The limit that an answer announces.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum AnnouncedLimit {
    /// No limit is announced.
    #[default]
    None,
    /// Requests per second, from all nodes together.
    PerSecond(f64),
    /// The value cannot be parsed.
    Malformed,
}

/// A change of the known limit of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// A new limit is in force, in requests per second.
    Named(f64),
    /// The limit was lifted.
    Ended,
}

/// An update on one upstream's limit that nodes send to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests per second, or `None` if the limit was lifted.
    pub per_s: Option<f64>,
    /// How long ago the upstream announced this, in milliseconds.
    pub age_ms: u32,
}

/// The limits of upstreams, as one node knows them.
///
/// ```
/// use std::time::Instant;
/// use nutmegsail_relay::{AnnouncedLimit, LimitChange, RateLimits};
/// let (mut limits, now) = (RateLimits::default(), Instant::now());
/// let engine = "engine-1@7".into();
/// let announced = AnnouncedLimit::PerSecond(1.5);
/// assert_eq!(limits.note_answer(&engine, announced, now), Some(LimitChange::Named(1.5)));
/// assert_eq!(limits.note_answer(&engine, announced, now), None);
/// assert_eq!(limits.per_s(&engine), Some(1.5));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RateLimits {
    known: HashMap<UpstreamId, KnownLimit>,
    /// Number of changes, from answers or from other nodes.
    changes: u64,
    /// Number of changes from answers to this node.
    own_change_count: u64,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    /// Requests per second, or `None` if the limit was lifted.
    per_s: Option<f64>,
    /// When the upstream last announced this.
    announced_at: Instant,
    /// Since when answers have announced no limit or a higher one, and the lowest that they
    /// announced (`None` if they announced none).
    pending_rise: Option<(Instant, Option<f64>)>,
}

impl RateLimits {
    /// Processes the limit that an answer of `upstream` announces. Returns the change, if any.
    ///
    /// A lower limit applies at once; a higher one, or none, applies after `RAISE_DELAY`.
    pub fn note_answer(
        &mut self,
        upstream: &UpstreamId,
        announced: AnnouncedLimit,
        now: Instant,
    ) -> Option<LimitChange> {
        let per_s = match announced {
            AnnouncedLimit::PerSecond(per_s) => Some(per_s),
            AnnouncedLimit::None => None,
            // A malformed value shows that there is a limit, but not which.
            AnnouncedLimit::Malformed => return None,
        };
        let change = match self.known.get_mut(upstream) {
            Some(known) => known.record(per_s, now),
            None => {
                let per_s = per_s?;
                self.known
                    .insert(upstream.clone(), KnownLimit::new(Some(per_s), now));
                Some(LimitChange::Named(per_s))
            }
        };
        self.changes += u64::from(change.is_some());
        self.own_change_count += u64::from(change.is_some());
        change
    }

    /// Records that the list now shows `next` in place of `before`, an earlier process under the
    /// same name. `shown_until` is when the list was last known to show `before`.
    ///
    /// A limit that was announced around the restart may be that of `next`, whose answers confirm or
    /// lift it.
    pub fn record_successor(
        &mut self,
        before: &UpstreamId,
        next: &UpstreamId,
        shown_until: Instant,
    ) {
        let known = self.known.get(before).copied();
        let may_be_of_next = |known: &KnownLimit| known.announced_at + MAX_ENTRY_LAG >= shown_until;
        let limit = known.filter(|known| known.per_s.is_some() && may_be_of_next(known));
        if let Some(limit) = limit {
            self.known.entry(next.clone()).or_insert(limit);
            self.changes += 1;
        }
    }

    /// Number of changes to the known limits, from answers or from other nodes.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Number of changes that answers to this node caused.
    pub fn own_change_count(&self) -> u64 {
        self.own_change_count
    }

    /// Upstreams with a limit in force, and those limits in requests per second.
    pub fn in_force(&self) -> impl Iterator<Item = (&UpstreamId, f64)> {
        let known = self.known.iter();
        known.filter_map(|(upstream, known)| Some((upstream, known.per_s?)))
    }

    /// The limit of `upstream` in requests per second, if one is in force.
    pub fn per_s(&self, upstream: &UpstreamId) -> Option<f64> {
        self.known.get(upstream)?.per_s
    }

    /// Number of upstreams with a limit in force.
    pub fn count(&self) -> usize {
        self.in_force().count()
    }

    /// Drops upstreams that are no longer listed, and limits that were lifted long enough ago.
    pub fn forget(&mut self, is_listed: impl Fn(&UpstreamId) -> bool, now: Instant) {
        let before = self.known.len();
        self.known.retain(|upstream, known| {
            let is_ended =
                known.per_s.is_none() && now.duration_since(known.announced_at) > LIFTED_TTL;
            is_listed(upstream) && !is_ended
        });
        self.changes += u64::from(self.known.len() != before);
    }

    /// The update to send to other nodes about `upstream`, if it is known.
    pub fn update_for(&self, upstream: &UpstreamId, now: Instant) -> Option<LimitUpdate> {
        let known = self.known.get(upstream)?;
        Some(known.update(upstream, now))
    }

    /// Updates to send to other nodes about all known upstreams.
    pub fn updates(&self, now: Instant) -> Vec<LimitUpdate> {
        let known = self.known.iter();
        known
            .map(|(upstream, known)| known.update(upstream, now))
            .collect()
    }

    /// Applies an update from another node. Returns the change, if any.
    pub fn take(&mut self, update: &LimitUpdate, now: Instant) -> Option<LimitChange> {
        let change = self.merge_update(update, now);
        self.changes += u64::from(change.is_some());
        change
    }

    fn merge_update(&mut self, update: &LimitUpdate, now: Instant) -> Option<LimitChange> {
        let age = Duration::from_millis(u64::from(update.age_ms));
        let announced_at = now.checked_sub(age).unwrap_or(now);
        let per_s = update.per_s.filter(|per_s| is_rate(*per_s));
        let Some(known) = self.known.get_mut(&update.upstream) else {
            if per_s.is_some() {
                let known = KnownLimit::new(per_s, announced_at);
                self.known.insert(update.upstream.clone(), known);
            }
            return per_s.map(LimitChange::Named);
        };
        if announced_at <= known.announced_at {
            return None;
        }
        let before = known.per_s;
        *known = KnownLimit::new(per_s, announced_at);
        change(before, per_s)
    }
}

impl KnownLimit {
    fn new(per_s: Option<f64>, announced_at: Instant) -> Self {
        Self {
            per_s,
            announced_at,
            pending_rise: None,
        }
    }

    fn update(&self, upstream: &UpstreamId, now: Instant) -> LimitUpdate {
        let age_ms = now.duration_since(self.announced_at).as_millis();
        LimitUpdate {
            upstream: upstream.clone(),
            per_s: self.per_s,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        }
    }

    fn record(&mut self, announced: Option<f64>, now: Instant) -> Option<LimitChange> {
        let before = self.per_s;
        let is_lower = match (announced, before) {
            (Some(announced), Some(before)) => announced <= before,
            (announced, None) => announced.is_some(),
            (None, Some(_)) => false,
        };
        if is_lower || announced == before {
            *self = Self::new(announced, now);
            return change(before, announced);
        }
        let (since, lowest) = self.pending_rise.unwrap_or((now, announced));
        let lowest = match (lowest, announced) {
            (Some(lowest), Some(announced)) => Some(lowest.min(announced)),
            (Some(lower), None) | (None, Some(lower)) => Some(lower),
            (None, None) => None,
        };
        if now.duration_since(since) < RAISE_DELAY {
            self.pending_rise = Some((since, lowest));
            return None;
        }
        *self = Self::new(lowest, now);
        change(before, lowest)
    }
}

fn change(before: Option<f64>, after: Option<f64>) -> Option<LimitChange> {
    match after {
        _ if before == after => None,
        Some(per_s) => Some(LimitChange::Named(per_s)),
        None => Some(LimitChange::Ended),
    }
}

/// Whether a number is a valid rate.
fn is_rate(per_s: f64) -> bool {
    per_s.is_finite() && per_s >= 0.0
}

impl AnnouncedLimit {
    /// Parses an announced limit.
    ///
    /// ```
    /// use nutmegsail_relay::AnnouncedLimit;
    /// assert_eq!(AnnouncedLimit::parse("1.5"), AnnouncedLimit::PerSecond(1.5));
    /// assert_eq!(AnnouncedLimit::parse("-1"), AnnouncedLimit::Malformed);
    /// ```
    pub fn parse(text: &str) -> Self {
        match text.trim().parse() {
            Ok(per_s) if is_rate(per_s) => Self::PerSecond(per_s),
            _ => Self::Malformed,
        }
    }
}
