//! What a team may ask for, and how exactly that is kept over all nodes.

use std::collections::HashMap;
use std::time::Duration;

use nutmegsail_base::TeamName;

/// How long borrowed tokens may be spent, from when they were asked for. A request may wait that long
/// for its adapter; what is not spent by then is lost to the team.
pub const GRANT_LIFE: Duration = Duration::from_millis(600);

/// The part of the tolerance that buckets use. The rest covers clocks that run apart and requests
/// that wait at an upstream's door.
const USED_TOLERANCE: f64 = 0.85;

/// The quotas of all teams that have one, by the team's name.
pub type Quotas = HashMap<TeamName, Quota>;

/// What a team may ask for over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Tokens in a second.
    pub tokens_per_s: f64,
    /// Tokens that may be asked for at once after a pause.
    pub burst_tokens: f64,
}

/// How far all nodes together may miss a quota, as agreed with the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// The window in which tokens are counted.
    pub window: Duration,
    /// Tokens beyond a quota that are tolerated in a window, as a part of the quota.
    pub over_ratio: f64,
    /// Tokens that are tolerated besides.
    pub slack_tokens: f64,
    /// Failure domains, each with a lender.
    pub failure_domains: u32,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(8),
            over_ratio: 0.1,
            slack_tokens: 0.0,
            failure_domains: 1,
        }
    }
}

impl QuotaBounds {
    /// The most tokens of a team that all nodes together spend in one window.
    ///
    /// ```
    /// use nutmegsail_quota::{Quota, QuotaBounds};
    /// let quota = Quota { tokens_per_s: 100.0, burst_tokens: 50.0 };
    /// let bounds = QuotaBounds { slack_tokens: 10.0, ..QuotaBounds::default() };
    /// assert_eq!(bounds.window_limit(quota).round(), 945.0);
    /// ```
    pub fn window_limit(&self, quota: Quota) -> f64 {
        let within = quota.tokens_per_s * self.window.as_secs_f64() + quota.burst_tokens;
        within * (1.0 + self.over_ratio) + self.slack_tokens
    }

    /// Tokens that one lender fills in, in a second.
    ///
    /// In a window all lenders lend what they fill in and what their buckets held at its start, and nodes
    /// spend besides what was lent in the [`GRANT_LIFE`] before. So what a window allows beyond the buckets is
    /// filled in over both.
    pub(crate) fn lender_rate(&self, quota: Quota) -> f64 {
        let filled = (self.used_limit(quota) - self.capacity(quota)).max(0.0);
        filled / (self.window + GRANT_LIFE).as_secs_f64() / self.lenders()
    }

    /// What one lender's bucket holds at most.
    pub(crate) fn lender_capacity(&self, quota: Quota) -> f64 {
        self.capacity(quota) / self.lenders()
    }

    /// What all buckets hold at most: a team may ask for its burst at once.
    fn capacity(&self, quota: Quota) -> f64 {
        quota.burst_tokens + self.slack_tokens * USED_TOLERANCE
    }

    /// The part of [`QuotaBounds::window_limit`] that is used.
    fn used_limit(&self, quota: Quota) -> f64 {
        let within = quota.tokens_per_s * self.window.as_secs_f64() + quota.burst_tokens;
        within * (1.0 + self.over_ratio * USED_TOLERANCE) + self.slack_tokens * USED_TOLERANCE
    }

    fn lenders(&self) -> f64 {
        f64::from(self.failure_domains.max(1))
    }
}
