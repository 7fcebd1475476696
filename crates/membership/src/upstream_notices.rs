//! Which upstreams are leaving, as the nodes tell each other.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegsail_base::{Incarnation, UpstreamId};

use crate::{MembershipAction, MembershipSettings, UpstreamNotice};

/// How much later than the last sight of it leaving an upstream must be seen staying.
///
/// The VM list lags and an upstream may not know that its VM is about to go, so two sources
/// contradict each other for a while. New work on an upstream that leaves is the worse error.
/// The time is well above what a new sight takes to reach a failure domain's nodes by heartbeats.
const STAYING_AFTER: Duration = Duration::from_secs(10);
/// How much later a sight must be to count as a new one. A relayed one looks later by the time it
/// was under way, and would otherwise be passed on for ever.
const SEEN_ANEW: Duration = Duration::from_millis(500);

/// What a node saw of an upstream, or heard that another node saw.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Observation {
    pub(crate) upstream: UpstreamId,
    pub(crate) incarnation: Option<Incarnation>,
    pub(crate) is_leaving: bool,
    pub(crate) observed_at: Instant,
}

#[derive(Clone, Debug)]
struct Notice {
    incarnation: Option<Incarnation>,
    is_leaving: bool,
    observed_at: Instant,
    spread_until: Instant,
}

/// Which upstreams are leaving, as the nodes tell each other.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamNotices {
    notices: BTreeMap<UpstreamId, Notice>,
}

impl UpstreamNotices {
    /// Takes in an observation. Returns what follows if it changes anything.
    pub(crate) fn observe(
        &mut self,
        seen: Observation,
        now: Instant,
        settings: &MembershipSettings,
    ) -> Option<MembershipAction> {
        let spread_until = now + Duration::from_millis(settings.upstream_spread_ms);
        let Some(notice) = self.notices.get_mut(&seen.upstream) else {
            return self.add(seen, spread_until, settings);
        };
        if seen.is_leaving == notice.is_leaving {
            notice.refresh(&seen, spread_until);
            return None;
        }
        if !notice.is_overruled_by(&seen) {
            return None;
        }
        notice.incarnation = seen.incarnation;
        notice.is_leaving = seen.is_leaving;
        notice.observed_at = seen.observed_at;
        notice.spread_until = spread_until;
        Some(action_of(seen))
    }

    fn add(
        &mut self,
        seen: Observation,
        spread_until: Instant,
        settings: &MembershipSettings,
    ) -> Option<MembershipAction> {
        if !seen.is_leaving {
            return None;
        }
        if self.notices.len() >= settings.upstream_notices {
            let oldest = self
                .notices
                .iter()
                .min_by_key(|(_, n)| (n.is_leaving, n.observed_at));
            let oldest = oldest.map(|(upstream, _)| upstream.clone());
            oldest.map(|upstream| self.notices.remove(&upstream));
        }
        let notice = Notice {
            incarnation: seen.incarnation,
            is_leaving: true,
            observed_at: seen.observed_at,
            spread_until,
        };
        self.notices.insert(seen.upstream.clone(), notice);
        Some(action_of(seen))
    }

    /// Forgets what nobody has seen for long.
    pub(crate) fn advance(
        &mut self,
        now: Instant,
        settings: &MembershipSettings,
        actions: &mut Vec<MembershipAction>,
    ) {
        let ttl = Duration::from_millis(settings.upstream_notice_ttl_ms);
        self.notices.retain(|upstream, notice| {
            let is_kept = now.duration_since(notice.observed_at) < ttl;
            if !is_kept && notice.is_leaving {
                let upstream = upstream.clone();
                actions.push(MembershipAction::UpstreamStaying { upstream });
            }
            is_kept
        });
    }

    /// Puts everything into messages again, for nodes that were cut off when it was new.
    pub(crate) fn spread_again(&mut self, now: Instant, settings: &MembershipSettings) {
        for notice in self.notices.values_mut() {
            notice.spread_until = now + Duration::from_millis(settings.upstream_spread_ms);
        }
    }

    /// The notices to put into a message, the newest first.
    pub(crate) fn to_spread(
        &self,
        now: Instant,
        settings: &MembershipSettings,
    ) -> Vec<UpstreamNotice> {
        let fresh = self.notices.iter().filter(|(_, n)| now < n.spread_until);
        let mut fresh: Vec<_> = fresh.collect();
        fresh.sort_by_key(|(_, notice)| std::cmp::Reverse(notice.spread_until));
        let chosen = fresh
            .into_iter()
            .take(settings.upstream_notices_per_message);
        chosen
            .map(|(u, notice)| notice.to_message(u, now))
            .collect()
    }

    /// Every notice, for a node that knows none.
    pub(crate) fn all(&self, now: Instant) -> Vec<UpstreamNotice> {
        let notices = self.notices.iter();
        notices
            .map(|(u, notice)| notice.to_message(u, now))
            .collect()
    }

    /// The upstreams that are leaving.
    pub(crate) fn leaving(&self) -> impl Iterator<Item = &UpstreamId> {
        let notices = self.notices.iter();
        notices
            .filter(|(_, n)| n.is_leaving)
            .map(|(upstream, _)| upstream)
    }
}

impl Notice {
    /// The later sight stands; but leaving gives way only to a clearly later sight of staying.
    fn is_overruled_by(&self, seen: &Observation) -> bool {
        if seen.is_leaving {
            seen.observed_at + STAYING_AFTER > self.observed_at
        } else {
            seen.observed_at >= self.observed_at + STAYING_AFTER
        }
    }

    /// Seen leaving again: the nodes that do not see it themselves must hear of it, or they would
    /// believe a source that says it stays.
    fn refresh(&mut self, seen: &Observation, spread_until: Instant) {
        if self.is_leaving && seen.observed_at >= self.observed_at + SEEN_ANEW {
            self.observed_at = seen.observed_at;
            self.spread_until = spread_until;
        }
        self.incarnation = seen.incarnation.or(self.incarnation);
    }

    fn to_message(&self, upstream: &UpstreamId, now: Instant) -> UpstreamNotice {
        let age = now.duration_since(self.observed_at).as_millis();
        UpstreamNotice {
            upstream: upstream.clone(),
            incarnation: self.incarnation,
            is_leaving: self.is_leaving,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}

fn action_of(seen: Observation) -> MembershipAction {
    let upstream = seen.upstream;
    if seen.is_leaving {
        MembershipAction::UpstreamLeaving {
            upstream,
            incarnation: seen.incarnation,
        }
    } else {
        MembershipAction::UpstreamStaying { upstream }
    }
}
