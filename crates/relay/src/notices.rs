//! What upstreams have said of themselves in their answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use rand::{Rng, RngExt as _};

/// How long what an upstream said is remembered after it was last listed: entries lapse with the store, and come back with
/// an older copy of it.
const UNLISTED_LIFE: Duration = Duration::from_secs(600);

/// The longest rest that is kept to. What asks for more is asked again after a day.
const LONGEST_REST: Duration = Duration::from_secs(86_400);

/// The time over which nodes come back after a rest, as a part of it, and at most.
const REST_SPREAD_SHARE: f64 = 0.1;
const LONGEST_SPREAD: Duration = Duration::from_millis(500);

/// How long an answer says that its upstream wants no further requests of this node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RestSaid {
    /// It says nothing of that.
    #[default]
    None,
    /// For so long.
    For(Duration),
    /// What cannot be read.
    Malformed,
}

/// What upstreams have said of themselves, each for as long as its process lives.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::Notices;
/// let (mut notices, now) = (Notices::default(), Instant::now());
/// let engine = "engine-1@7".into();
/// assert!(notices.note_leaving(&engine, now));
/// assert!(!notices.note_leaving(&engine, now), "it is known");
/// assert!(notices.is_leaving(&engine));
/// let rest = Duration::from_secs(3);
/// notices.note_rest(&engine, rest, now, &mut rand::rng());
/// assert!(notices.is_resting(&engine, now + rest));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Notices {
    known: HashMap<UpstreamId, Notice>,
    /// How many upstreams were found to leave.
    leavings: u64,
    /// How often an upstream asked for rest.
    rests: u64,
}

#[derive(Clone, Copy, Debug)]
struct Notice {
    is_leaving: bool,
    rest_until: Option<Instant>,
    last_listed: Instant,
}

impl Notices {
    /// Takes in that `upstream` leaves. Returns whether that is new.
    ///
    /// It holds until the process ends: whoever leaves never takes work again.
    pub fn note_leaving(&mut self, upstream: &UpstreamId, now: Instant) -> bool {
        let notice = self.notice(upstream, now);
        let is_new = !std::mem::replace(&mut notice.is_leaving, true);
        self.leavings += u64::from(is_new);
        is_new
    }

    /// How often an upstream was found to leave.
    pub fn leavings(&self) -> u64 {
        self.leavings
    }

    /// The upstreams that leave.
    pub fn leaving(&self) -> impl Iterator<Item = &UpstreamId> {
        let known = self.known.iter();
        known
            .filter(|(_, notice)| notice.is_leaving)
            .map(|(upstream, _)| upstream)
    }

    /// Whether `upstream` has said that it leaves.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        let notice = self.known.get(upstream);
        notice.is_some_and(|notice| notice.is_leaving)
    }

    /// Takes in that `upstream` wants nothing from this node for `rest`, and returns until when that is.
    ///
    /// A shorter time that is asked for later ends nothing: answers overtake each other. Part of the rest is added at
    /// random, so that nodes which were turned away together don't come back together.
    pub fn note_rest(
        &mut self,
        upstream: &UpstreamId,
        rest: Duration,
        now: Instant,
        random: &mut dyn Rng,
    ) -> Instant {
        let rest = rest.min(LONGEST_REST);
        let spread = rest.mul_f64(REST_SPREAD_SHARE).min(LONGEST_SPREAD);
        let until = now + rest + spread.mul_f64(random.random());
        let notice = self.notice(upstream, now);
        let until = notice.rest_until.map_or(until, |known| known.max(until));
        notice.rest_until = Some(until);
        self.rests += 1;
        until
    }

    /// How often an upstream asked for rest.
    pub fn rests(&self) -> u64 {
        self.rests
    }

    /// Whether `upstream` wants nothing from this node at `now`.
    pub fn is_resting(&self, upstream: &UpstreamId, now: Instant) -> bool {
        self.rest_until(upstream).is_some_and(|until| now < until)
    }

    /// How many upstreams leave, and how many rest.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let leaving = self.leaving().count();
        let known = self.known.keys();
        let resting = known.filter(|upstream| self.is_resting(upstream, now));
        (leaving, resting.count())
    }

    /// Until when `upstream` wants nothing from this node, if it has asked for rest.
    pub fn rest_until(&self, upstream: &UpstreamId) -> Option<Instant> {
        self.known.get(upstream)?.rest_until
    }

    /// Forgets upstreams that have not been listed for a while.
    pub fn forget(&mut self, is_listed: impl Fn(&UpstreamId) -> bool, now: Instant) {
        self.known.retain(|upstream, notice| {
            if is_listed(upstream) {
                notice.last_listed = now;
            }
            now.duration_since(notice.last_listed) < UNLISTED_LIFE
        });
    }

    fn notice(&mut self, upstream: &UpstreamId, now: Instant) -> &mut Notice {
        self.known.entry(upstream.clone()).or_insert(Notice {
            is_leaving: false,
            rest_until: None,
            last_listed: now,
        })
    }
}

impl RestSaid {
    /// What a text says, in seconds; a fraction counts, a date is none.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_relay::RestSaid;
    /// assert_eq!(RestSaid::parse("2.5"), RestSaid::For(Duration::from_millis(2_500)));
    /// assert_eq!(RestSaid::parse("soon"), RestSaid::Malformed);
    /// ```
    pub fn parse(text: &str) -> Self {
        match text.trim().parse() {
            Ok(seconds) if is_span(seconds) => {
                let rest = Duration::try_from_secs_f64(seconds);
                Self::For(rest.unwrap_or(Duration::MAX))
            }
            _ => Self::Malformed,
        }
    }

    /// What two values of one answer say together.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::For(one), Self::For(other)) => Self::For(one.max(other)),
            (Self::None, said) | (said, Self::None) => said,
            _ => Self::Malformed,
        }
    }
}

fn is_span(seconds: f64) -> bool {
    seconds.is_finite() && seconds >= 0.0
}
