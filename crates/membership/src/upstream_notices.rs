//! The notices about leaving upstreams that nodes send each other.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use nutmegsail_base::{Incarnation, UpstreamId};

use crate::{MembershipAction, MembershipSettings, UpstreamNotice};

/// How much later than a "leaving" observation a "staying" one must be to override it.
///
/// The VM list lags, and an upstream may not know that its VM is about to be removed, so sources
/// can contradict each other for a while. Sending new work to a leaving upstream is the worse
/// error. The delay is well above the time in which heartbeats bring a new observation to all nodes
/// of a failure domain.
const STAYING_OVERRIDE_DELAY: Duration = Duration::from_secs(10);
/// How much later than the known observation another one must be to count as new. Relayed copies
/// appear later by the network delay, and would otherwise be relayed forever.
const NEW_OBSERVATION_AFTER: Duration = Duration::from_millis(500);

/// An observation of an upstream, by this node or received from another.
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

/// The latest notice for each upstream that is leaving or was leaving recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamNotices {
    notices: BTreeMap<UpstreamId, Notice>,
}

impl UpstreamNotices {
    /// Applies an observation. Returns an action if it changes whether the upstream is leaving.
    pub(crate) fn observe(
        &mut self,
        observation: Observation,
        now: Instant,
        settings: &MembershipSettings,
    ) -> Option<MembershipAction> {
        let spread_until = now + Duration::from_millis(settings.upstream_spread_ms);
        let Some(notice) = self.notices.get_mut(&observation.upstream) else {
            return self.add(observation, spread_until, settings);
        };
        if observation.is_leaving == notice.is_leaving {
            notice.refresh(&observation, spread_until);
            return None;
        }
        if !notice.is_overridden_by(&observation) {
            return None;
        }
        notice.incarnation = observation.incarnation;
        notice.is_leaving = observation.is_leaving;
        notice.observed_at = observation.observed_at;
        notice.spread_until = spread_until;
        Some(action_for(observation))
    }

    fn add(
        &mut self,
        observation: Observation,
        spread_until: Instant,
        settings: &MembershipSettings,
    ) -> Option<MembershipAction> {
        if !observation.is_leaving {
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
            incarnation: observation.incarnation,
            is_leaving: true,
            observed_at: observation.observed_at,
            spread_until,
        };
        self.notices.insert(observation.upstream.clone(), notice);
        Some(action_for(observation))
    }

    /// Removes notices whose last observation is older than `upstream_notice_ttl_ms`.
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

    /// Puts all notices into messages again, for nodes that were cut off when the notices were new.
    pub(crate) fn restart_spreading(&mut self, now: Instant, settings: &MembershipSettings) {
        for notice in self.notices.values_mut() {
            notice.spread_until = now + Duration::from_millis(settings.upstream_spread_ms);
        }
    }

    /// Returns the notices to put into a message, the most recently changed first.
    pub(crate) fn spreading_notices(
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

    /// Returns every notice, for a node that has none yet.
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
    /// Whether an observation of the opposite state replaces this notice.
    ///
    /// The comparison favours leaving by [`STAYING_OVERRIDE_DELAY`] in both directions.
    fn is_overridden_by(&self, observation: &Observation) -> bool {
        if observation.is_leaving {
            observation.observed_at + STAYING_OVERRIDE_DELAY > self.observed_at
        } else {
            observation.observed_at >= self.observed_at + STAYING_OVERRIDE_DELAY
        }
    }

    /// Updates the notice with another observation of the same state.
    ///
    /// A new observation of a leaving upstream is sent to other nodes again. Otherwise nodes that
    /// cannot observe it themselves would accept a source that says it is staying.
    fn refresh(&mut self, observation: &Observation, spread_until: Instant) {
        if self.is_leaving && observation.observed_at >= self.observed_at + NEW_OBSERVATION_AFTER {
            self.observed_at = observation.observed_at;
            self.spread_until = spread_until;
        }
        self.incarnation = observation.incarnation.or(self.incarnation);
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

fn action_for(observation: Observation) -> MembershipAction {
    let upstream = observation.upstream;
    if observation.is_leaving {
        MembershipAction::UpstreamLeaving {
            upstream,
            incarnation: observation.incarnation,
        }
    } else {
        MembershipAction::UpstreamStaying { upstream }
    }
}
