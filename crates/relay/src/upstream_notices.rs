//! Leaving and backoff notices that upstreams send in their answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use rand::{Rng, RngExt as _};

/// How long a notice is kept after its upstream was last listed. List entries expire while the
/// store is unavailable, and reappear when it is restored from an older copy.
const UNLISTED_TTL: Duration = Duration::from_secs(600);

/// Upper bound on a backoff. An upstream that asks for more gets a trial request after a day.
const MAX_BACKOFF: Duration = Duration::from_secs(86_400);

/// Random jitter added to a backoff: at most this share of it, and at most the limit below.
const JITTER_SHARE: f64 = 0.1;
const MAX_JITTER: Duration = Duration::from_millis(500);

/// The backoff that an answer requests: how long its upstream wants no further requests from this
/// node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RequestedBackoff {
    /// No backoff is requested.
    #[default]
    None,
    /// A backoff of this length.
    For(Duration),
    /// The value cannot be parsed.
    Malformed,
}

/// Leaving and backoff notices by upstream. An upstream id stands for one process, so a notice ends
/// with the process that sent it.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::UpstreamNotices;
/// let (mut notices, now) = (UpstreamNotices::default(), Instant::now());
/// let engine = "engine-1@7".into();
/// assert!(notices.record_leaving(&engine, now));
/// assert!(!notices.record_leaving(&engine, now), "already known");
/// assert!(notices.is_leaving(&engine));
/// let backoff = Duration::from_secs(3);
/// notices.record_backoff(&engine, backoff, now, &mut rand::rng());
/// assert!(notices.is_backing_off(&engine, now + backoff));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamNotices {
    known: HashMap<UpstreamId, Notice>,
    /// Number of upstreams that announced that they are leaving.
    leaving_count: u64,
    /// Number of backoff requests received.
    backoff_count: u64,
}

#[derive(Clone, Copy, Debug)]
struct Notice {
    is_leaving: bool,
    backoff_until: Option<Instant>,
    last_listed: Instant,
}

impl UpstreamNotices {
    /// Records that `upstream` is leaving. Returns `true` if this was not known yet.
    ///
    /// The notice holds until the process ends: a leaving process never takes new work again.
    pub fn record_leaving(&mut self, upstream: &UpstreamId, now: Instant) -> bool {
        let notice = self.notice(upstream, now);
        let is_new = !std::mem::replace(&mut notice.is_leaving, true);
        self.leaving_count += u64::from(is_new);
        is_new
    }

    /// Number of upstreams that announced that they are leaving, since this process started.
    pub fn leaving_count(&self) -> u64 {
        self.leaving_count
    }

    /// Upstreams that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &UpstreamId> {
        let known = self.known.iter();
        known
            .filter(|(_, notice)| notice.is_leaving)
            .map(|(upstream, _)| upstream)
    }

    /// Whether `upstream` announced that it is leaving.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        let notice = self.known.get(upstream);
        notice.is_some_and(|notice| notice.is_leaving)
    }

    /// Records a backoff of length `backoff` requested by `upstream`, and returns when it ends.
    ///
    /// A later request never shortens a backoff, because answers can arrive out of order. Random
    /// jitter keeps nodes that were refused at the same time from returning at the same time.
    pub fn record_backoff(
        &mut self,
        upstream: &UpstreamId,
        backoff: Duration,
        now: Instant,
        random: &mut dyn Rng,
    ) -> Instant {
        let backoff = backoff.min(MAX_BACKOFF);
        let jitter = backoff.mul_f64(JITTER_SHARE).min(MAX_JITTER);
        let until = now + backoff + jitter.mul_f64(random.random());
        let notice = self.notice(upstream, now);
        let until = notice.backoff_until.map_or(until, |known| known.max(until));
        notice.backoff_until = Some(until);
        self.backoff_count += 1;
        until
    }

    /// Number of backoff requests received since this process started.
    pub fn backoff_count(&self) -> u64 {
        self.backoff_count
    }

    /// Whether `upstream` is in a backoff at `now` and must get no requests from this node.
    pub fn is_backing_off(&self, upstream: &UpstreamId, now: Instant) -> bool {
        self.backoff_until(upstream)
            .is_some_and(|until| now < until)
    }

    /// Numbers of upstreams that are leaving and that are in a backoff.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let leaving = self.leaving().count();
        let known = self.known.keys();
        let backing_off = known.filter(|upstream| self.is_backing_off(upstream, now));
        (leaving, backing_off.count())
    }

    /// When the last known backoff of `upstream` ends, even if that is in the past.
    pub fn backoff_until(&self, upstream: &UpstreamId) -> Option<Instant> {
        self.known.get(upstream)?.backoff_until
    }

    /// Drops the notices of upstreams that were last listed more than ten minutes ago.
    pub fn forget(&mut self, is_listed: impl Fn(&UpstreamId) -> bool, now: Instant) {
        self.known.retain(|upstream, notice| {
            if is_listed(upstream) {
                notice.last_listed = now;
            }
            now.duration_since(notice.last_listed) < UNLISTED_TTL
        });
    }

    fn notice(&mut self, upstream: &UpstreamId, now: Instant) -> &mut Notice {
        self.known.entry(upstream.clone()).or_insert(Notice {
            is_leaving: false,
            backoff_until: None,
            last_listed: now,
        })
    }
}

impl RequestedBackoff {
    /// Parses the seconds form of `Retry-After`. Fractions are accepted; HTTP dates are malformed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmegsail_relay::RequestedBackoff;
    /// let backoff = RequestedBackoff::For(Duration::from_millis(2_500));
    /// assert_eq!(RequestedBackoff::parse("2.5"), backoff);
    /// assert_eq!(RequestedBackoff::parse("soon"), RequestedBackoff::Malformed);
    /// ```
    pub fn parse(text: &str) -> Self {
        match text.trim().parse() {
            Ok(seconds) if is_valid_length(seconds) => {
                let backoff = Duration::try_from_secs_f64(seconds);
                Self::For(backoff.unwrap_or(Duration::MAX))
            }
            _ => Self::Malformed,
        }
    }

    /// Combines two values of one answer: the longer backoff, or `Malformed` if either is
    /// malformed.
    pub fn and(self, other: Self) -> Self {
        match (self, other) {
            (Self::For(one), Self::For(other)) => Self::For(one.max(other)),
            (Self::None, said) | (said, Self::None) => said,
            _ => Self::Malformed,
        }
    }
}

fn is_valid_length(seconds: f64) -> bool {
    seconds.is_finite() && seconds >= 0.0
}
