//! Rates that upstreams in need have named.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use serde::{Deserialize, Serialize};

/// How long an upstream's answers must have named no limit, or a higher one, for that to count. Answers overtake each
/// other, and an upstream may name it in some only.
const EASE_SPAN: Duration = Duration::from_secs(2);

/// How long the end of a limit is remembered, against what other nodes still tell of it.
const ENDED_LIFE: Duration = Duration::from_secs(30);

/// What an answer says of its upstream's limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitSaid {
    /// Nothing: it takes what it is sent.
    #[default]
    None,
    /// So many requests a second, from all nodes together.
    PerSecond(f64),
    /// What cannot be read.
    Malformed,
}

/// A change of what is known of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// It holds from now on, in requests a second.
    Named(f64),
    /// It has ended.
    Ended,
}

/// What a node tells others of one upstream's limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitTold {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Requests a second; nothing if it has ended.
    pub per_s: Option<f64>,
    /// How long ago the upstream said so, in milliseconds.
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
    changes: u64,
    own_changes: u64,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    /// Requests a second; nothing if it has ended.
    per_s: Option<f64>,
    /// When the upstream last said so.
    said: Instant,
    /// Since when its answers have named no limit, or a higher one: the highest of them.
    easing: Option<(Instant, Option<f64>)>,
}

impl Limits {
    /// Takes in what an answer of `upstream` says.
    pub fn note_answer(
        &mut self,
        upstream: &UpstreamId,
        said: LimitSaid,
        now: Instant,
    ) -> Option<LimitChange> {
        let per_s = match said {
            LimitSaid::PerSecond(per_s) => Some(per_s),
            LimitSaid::None => None,
            // What cannot be read says that there is a limit, and not which.
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

    /// How often what is known has changed.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// How often an answer to this node has changed it.
    pub fn own_changes(&self) -> u64 {
        self.own_changes
    }

    /// The upstreams with a limit, and their limits.
    pub fn in_force(&self) -> impl Iterator<Item = (&UpstreamId, f64)> {
        let known = self.known.iter();
        known.filter_map(|(upstream, known)| Some((upstream, known.per_s?)))
    }

    /// The limit of `upstream` in requests a second, if one is in force.
    pub fn per_s(&self, upstream: &UpstreamId) -> Option<f64> {
        self.known.get(upstream)?.per_s
    }

    /// How many upstreams have a limit.
    pub fn count(&self) -> usize {
        self.in_force().count()
    }

    /// Forgets upstreams that are not listed any more.
    pub fn forget(&mut self, is_listed: impl Fn(&UpstreamId) -> bool, now: Instant) {
        let before = self.known.len();
        self.known.retain(|upstream, known| {
            let is_ended = known.per_s.is_none() && now.duration_since(known.said) > ENDED_LIFE;
            is_listed(upstream) && !is_ended
        });
        self.changes += u64::from(self.known.len() != before);
    }

    /// What is known of one upstream.
    pub fn told_of(&self, upstream: &UpstreamId, now: Instant) -> Option<LimitTold> {
        let known = self.known.get(upstream)?;
        Some(known.told(upstream, now))
    }

    /// All that is known.
    pub fn told(&self, now: Instant) -> Vec<LimitTold> {
        let known = self.known.iter();
        known
            .map(|(upstream, known)| known.told(upstream, now))
            .collect()
    }

    /// Takes in what another node told.
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

/// Whether a number can be a rate.
fn is_rate(per_s: f64) -> bool {
    per_s.is_finite() && per_s >= 0.0
}

impl LimitSaid {
    /// What a text says.
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
