//! Leaving and backoff notices that upstreams send in their answers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use rand::{Rng, RngExt as _};

use crate::upstream_list::MAX_ENTRY_LAG;

/// How long a notice is kept after its upstream was last listed. List entries expire while the
/// store is unavailable, and reappear when it is restored from an older copy.
const UNLISTED_TTL: Duration = Duration::from_secs(600);

/// Upper bound on the backoff of an upstream for which an earlier process under its name may have
/// asked. After it, the upstream gets a trial request.
const MAX_UNCONFIRMED_BACKOFF: Duration = Duration::from_secs(5);

/// Upper bound on a backoff. An upstream that asks for more gets a trial request after a day.
const MAX_BACKOFF: Duration = Duration::from_secs(86_400);

/// Random jitter added to a backoff: at most this share of it, and at most the limit below.
const JITTER_SHARE: f64 = 0.1;
const MAX_JITTER: Duration = Duration::from_millis(500);

/// Leaving and backoff notices by upstream. An upstream id stands for one process, so a notice ends
/// with the process that sent it.
///
/// An answer does not tell which process sent it, and the list shows a restart late. A notice that
/// arrived around a restart is therefore kept for both processes. That the later one is leaving
/// stays unconfirmed until it has answered a health check; a backoff is kept for a short time.
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
    /// Number of changes to backoffs and unconfirmed notices.
    change_count: u64,
}

#[derive(Clone, Debug)]
struct Notice {
    leaving: Option<LeavingNotice>,
    backoff: Option<BackoffNotice>,
    last_listed: Instant,
    /// The next process under the upstream's name.
    successor: Option<UpstreamId>,
}

#[derive(Clone, Copy, Debug)]
struct BackoffNotice {
    until: Instant,
    last_received_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct LeavingNotice {
    first_received_at: Instant,
    last_received_at: Instant,
    /// Whether it was filed under an earlier process first.
    is_carried: bool,
    /// Whether it is certain which process sent it.
    is_confirmed: bool,
}

impl UpstreamNotices {
    /// Records that `upstream` is leaving. Returns `true` if this was not known yet.
    ///
    /// The notice holds until the process ends: a leaving process never takes new work again.
    pub fn record_leaving(&mut self, upstream: &UpstreamId, now: Instant) -> bool {
        let notice = self.notice(upstream, now);
        let is_new = !notice.is_confirmed_leaving();
        let leaving = notice.leaving.get_or_insert(LeavingNotice::new(now));
        leaving.last_received_at = now;
        leaving.is_confirmed = true;
        let (leaving, successor) = (LeavingNotice::new(now), notice.successor.clone());
        self.leaving_count += u64::from(is_new);
        self.carry_leaving(successor, leaving, now);
        is_new
    }

    /// Records that the list now shows `next` in place of `before`, an earlier process under the
    /// same name. `shown_until` is when the list was last known to show `before`.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use nutmegsail_relay::UpstreamNotices;
    /// let (mut notices, now) = (UpstreamNotices::default(), Instant::now());
    /// let (before, next) = ("engine-1@7".into(), "engine-1@8".into());
    /// notices.record_leaving(&before, now);
    /// notices.record_successor(&before, &next, now, now + Duration::from_secs(1));
    /// assert!(notices.is_leaving(&next), "it may have sent the notice");
    /// notices.record_staying(&next);
    /// assert!(!notices.is_leaving(&next));
    /// ```
    pub fn record_successor(
        &mut self,
        before: &UpstreamId,
        next: &UpstreamId,
        shown_until: Instant,
        now: Instant,
    ) {
        let notice = self.notice(before, now);
        notice.successor = Some(next.clone());
        let (leaving, backoff) = (notice.leaving, notice.backoff);
        let may_be_of_next = |received_at: Instant| received_at + MAX_ENTRY_LAG >= shown_until;
        if let Some(leaving) = leaving.filter(|leaving| may_be_of_next(leaving.last_received_at)) {
            self.carry_leaving(Some(next.clone()), leaving, now);
        }
        if let Some(backoff) = backoff.filter(|backoff| may_be_of_next(backoff.last_received_at)) {
            self.carry_backoff(Some(next.clone()), backoff, now);
        }
    }

    /// Records that the list shows `listed`, a later process under the name of `before`, by which
    /// another node whose list is older has named it.
    ///
    /// ```
    /// use std::time::Instant;
    /// use nutmegsail_relay::UpstreamNotices;
    /// let (mut notices, now) = (UpstreamNotices::default(), Instant::now());
    /// let (before, listed) = ("engine-1@7".into(), "engine-1@8".into());
    /// notices.record_named_as(&before, &listed, now);
    /// notices.record_leaving(&before, now);
    /// assert!(notices.is_leaving(&listed), "it may have sent the notice");
    /// ```
    pub fn record_named_as(&mut self, before: &UpstreamId, listed: &UpstreamId, now: Instant) {
        if self.latest_process(before) != listed {
            self.record_successor(before, listed, now, now);
        }
    }

    /// The last process under the name of `upstream` that the list has shown.
    pub fn latest_process<'a>(&'a self, upstream: &'a UpstreamId) -> &'a UpstreamId {
        let successor = |id: &UpstreamId| self.known.get(id)?.successor.as_ref();
        let processes = std::iter::successors(Some(upstream), |id| successor(id));
        processes.last().unwrap_or(upstream)
    }

    /// Records that `upstream`, or a later process under its name, may have sent a leaving notice
    /// filed under the process before it.
    fn carry_leaving(
        &mut self,
        mut upstream: Option<UpstreamId>,
        leaving: LeavingNotice,
        now: Instant,
    ) {
        let carried = LeavingNotice {
            is_carried: true,
            is_confirmed: false,
            ..leaving
        };
        while let Some(next) = upstream {
            let notice = self.notice(&next, now);
            notice.leaving.get_or_insert(carried);
            upstream = notice.successor.clone();
            self.change_count += 1;
        }
    }

    /// Records that `upstream`, or a later process under its name, may have requested a backoff filed
    /// under the process before it.
    fn carry_backoff(
        &mut self,
        mut upstream: Option<UpstreamId>,
        backoff: BackoffNotice,
        now: Instant,
    ) {
        let backoff = BackoffNotice {
            until: backoff.until.min(now + MAX_UNCONFIRMED_BACKOFF),
            ..backoff
        };
        while let Some(next) = upstream {
            let notice = self.notice(&next, now);
            notice.extend_backoff(backoff);
            upstream = notice.successor.clone();
            self.change_count += 1;
        }
    }

    /// Records that `upstream` answered a health check without announcing that it is leaving. A
    /// notice that it may have sent was then sent by the process before it.
    pub fn record_staying(&mut self, upstream: &UpstreamId) {
        if let Some(notice) = self.known.get_mut(upstream) {
            notice.leaving = notice.leaving.filter(|leaving| leaving.is_confirmed);
            self.change_count += 1;
        }
    }

    /// Number of upstreams that announced that they are leaving, since this process started.
    pub fn leaving_count(&self) -> u64 {
        self.leaving_count
    }

    /// Upstreams that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &UpstreamId> {
        let known = self.known.iter();
        known
            .filter(|(_, notice)| notice.is_confirmed_leaving())
            .map(|(upstream, _)| upstream)
    }

    /// Upstreams of which it is not certain whether they or an earlier process under their name
    /// announced that it is leaving.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &UpstreamId> {
        let known = self.known.iter();
        known
            .filter(|(_, notice)| notice.is_unconfirmed_leaving())
            .map(|(upstream, _)| upstream)
    }

    /// Since when `upstream` may be leaving, by a notice that was filed under an earlier process
    /// first.
    pub fn carried_leaving_since(&self, upstream: &UpstreamId) -> Option<Instant> {
        let leaving = self.known.get(upstream)?.leaving?;
        leaving.is_carried.then_some(leaving.first_received_at)
    }

    /// Whether `upstream` announced that it is leaving, or may have done so.
    pub fn is_leaving(&self, upstream: &UpstreamId) -> bool {
        let notice = self.known.get(upstream);
        notice.is_some_and(|notice| notice.leaving.is_some())
    }

    /// Whether it is certain that `upstream` announced that it is leaving.
    pub fn is_confirmed_leaving(&self, upstream: &UpstreamId) -> bool {
        let notice = self.known.get(upstream);
        notice.is_some_and(Notice::is_confirmed_leaving)
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
        let requested = BackoffNotice {
            until,
            last_received_at: now,
        };
        let until = notice.extend_backoff(requested);
        let successor = notice.successor.clone();
        self.change_count += 1;
        self.carry_backoff(successor, requested, now);
        until
    }

    /// Number of changes to backoffs and unconfirmed notices since this process started.
    pub fn change_count(&self) -> u64 {
        self.change_count
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
        let backoff = self.known.get(upstream)?.backoff?;
        Some(backoff.until)
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
            leaving: None,
            backoff: None,
            last_listed: now,
            successor: None,
        })
    }
}

impl LeavingNotice {
    fn new(received_at: Instant) -> Self {
        Self {
            first_received_at: received_at,
            last_received_at: received_at,
            is_carried: false,
            is_confirmed: false,
        }
    }
}

impl Notice {
    /// Applies a requested backoff, and returns when the longest one ends.
    fn extend_backoff(&mut self, requested: BackoffNotice) -> Instant {
        let known = self.backoff.get_or_insert(requested);
        known.until = known.until.max(requested.until);
        known.last_received_at = known.last_received_at.max(requested.last_received_at);
        known.until
    }

    fn is_confirmed_leaving(&self) -> bool {
        self.leaving.is_some_and(|leaving| leaving.is_confirmed)
    }

    fn is_unconfirmed_leaving(&self) -> bool {
        self.leaving.is_some_and(|leaving| !leaving.is_confirmed)
    }
}
