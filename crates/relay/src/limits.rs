//! Request rate limits that overloaded upstreams announce in their answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use serde::{Deserialize, Serialize};

/// How long answers must have announced no limit, or a higher one, before the limit is lifted or
/// raised. Answers can arrive out of order, and an upstream may announce its limit only in some of
/// them.
const EASE_SPAN: Duration = Duration::from_secs(2);

/// How long the end of a limit is remembered, so that outdated updates from other nodes do not
/// restore it.
const ENDED_LIFE: Duration = Duration::from_secs(30);

/// The limit that an answer announces.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitSaid {
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
pub struct LimitTold {
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
/// use nutmegsail_relay::{LimitChange, LimitSaid, Limits};
/// let (mut limits, now) = (Limits::default(), Instant::now());
/// let engine = "engine-1@7".into();
/// let said = LimitSaid::PerSecond(1.5);
/// assert_eq!(limits.note_answer(&engine, said, now), Some(LimitChange::Named(1.5)));
/// assert_eq!(limits.note_answer(&engine, said, now), None);
/// assert_eq!(limits.per_s(&engine), Some(1.5));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Limits {
    known: HashMap<UpstreamId, Known>,
    /// Number of changes, from answers or from other nodes.
    changes: u64,
    /// Number of changes from answers to this node.
    own_changes: u64,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    /// Requests per second, or `None` if the limit was lifted.
    per_s: Option<f64>,
    /// When the upstream last announced this.
    said: Instant,
    /// Since when answers have announced no limit or a higher one, and the lowest that they
    /// announced (`None` if they announced none).
    easing: Option<(Instant, Option<f64>)>,
}

impl Limits {
    /// Processes the limit that an answer of `upstream` announces. Returns the change, if any.
    ///
    /// A lower limit applies at once; a higher one, or none, applies after `EASE_SPAN`.
    pub fn note_answer(
        &mut self,
        upstream: &UpstreamId,
        said: LimitSaid,
        now: Instant,
    ) -> Option<LimitChange> {
        let per_s = match said {
            LimitSaid::PerSecond(per_s) => Some(per_s),
            LimitSaid::None => None,
            // A malformed value shows that there is a limit, but not which.
            LimitSaid::Malformed => return None,
        };
        let change = match self.known.get_mut(upstream) {
            Some(known) => known.note(per_s, now),
            None => {
                let per_s = per_s?;
                self.known
                    .insert(upstream.clone(), Known::new(Some(per_s), now));
                Some(LimitChange::Named(per_s))
            }
        };
        self.changes += u64::from(change.is_some());
        self.own_changes += u64::from(change.is_some());
        change
    }

    /// Number of changes to the known limits, from answers or from other nodes.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Number of changes that answers to this node caused.
    pub fn own_changes(&self) -> u64 {
        self.own_changes
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
            let is_ended = known.per_s.is_none() && now.duration_since(known.said) > ENDED_LIFE;
            is_listed(upstream) && !is_ended
        });
        self.changes += u64::from(self.known.len() != before);
    }

    /// The update to send to other nodes about `upstream`, if it is known.
    pub fn told_of(&self, upstream: &UpstreamId, now: Instant) -> Option<LimitTold> {
        let known = self.known.get(upstream)?;
        Some(known.told(upstream, now))
    }

    /// Updates to send to other nodes about all known upstreams.
    pub fn told(&self, now: Instant) -> Vec<LimitTold> {
        let known = self.known.iter();
        known
            .map(|(upstream, known)| known.told(upstream, now))
            .collect()
    }

    /// Applies an update from another node. Returns the change, if any.
    pub fn take(&mut self, told: &LimitTold, now: Instant) -> Option<LimitChange> {
        let change = self.note_told(told, now);
        self.changes += u64::from(change.is_some());
        change
    }

    fn note_told(&mut self, told: &LimitTold, now: Instant) -> Option<LimitChange> {
        let age = Duration::from_millis(u64::from(told.age_ms));
        let said = now.checked_sub(age).unwrap_or(now);
        let per_s = told.per_s.filter(|per_s| is_rate(*per_s));
        let Some(known) = self.known.get_mut(&told.upstream) else {
            if per_s.is_some() {
                let known = Known::new(per_s, said);
                self.known.insert(told.upstream.clone(), known);
            }
            return per_s.map(LimitChange::Named);
        };
        if said <= known.said {
            return None;
        }
        let before = known.per_s;
        *known = Known::new(per_s, said);
        change(before, per_s)
    }
}

impl Known {
    fn new(per_s: Option<f64>, said: Instant) -> Self {
        Self {
            per_s,
            said,
            easing: None,
        }
    }

    fn told(&self, upstream: &UpstreamId, now: Instant) -> LimitTold {
        let age_ms = now.duration_since(self.said).as_millis();
        LimitTold {
            upstream: upstream.clone(),
            per_s: self.per_s,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
        }
    }

    fn note(&mut self, said: Option<f64>, now: Instant) -> Option<LimitChange> {
        let before = self.per_s;
        let is_lower = match (said, before) {
            (Some(said), Some(before)) => said <= before,
            (said, None) => said.is_some(),
            (None, Some(_)) => false,
        };
        if is_lower || said == before {
            *self = Self::new(said, now);
            return change(before, said);
        }
        let (since, highest) = self.easing.unwrap_or((now, said));
        let highest = match (highest, said) {
            (Some(highest), Some(said)) => Some(highest.min(said)),
            (Some(lower), None) | (None, Some(lower)) => Some(lower),
            (None, None) => None,
        };
        if now.duration_since(since) < EASE_SPAN {
            self.easing = Some((since, highest));
            return None;
        }
        *self = Self::new(highest, now);
        change(before, highest)
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

impl LimitSaid {
    /// Parses an announced limit.
    ///
    /// ```
    /// use nutmegsail_relay::LimitSaid;
    /// assert_eq!(LimitSaid::parse("1.5"), LimitSaid::PerSecond(1.5));
    /// assert_eq!(LimitSaid::parse("-1"), LimitSaid::Malformed);
    /// ```
    pub fn parse(text: &str) -> Self {
        match text.trim().parse() {
            Ok(per_s) if is_rate(per_s) => Self::PerSecond(per_s),
            _ => Self::Malformed,
        }
    }
}
