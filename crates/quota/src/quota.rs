//! A team's quota, and how far all nodes together may exceed it.

use std::collections::HashMap;
use std::time::Duration;

use nutmegsail_base::TeamName;

/// How long borrowed tokens can be spent, counted from the request for them. A request may wait
/// this long for its adapter; tokens that are unspent by then are lost to the team.
pub const LOAN_TTL: Duration = Duration::from_millis(600);

/// Share of the tolerated overrun that the buckets use. The rest covers clocks that run at
/// different speeds and requests that wait in front of an upstream.
const USED_TOLERANCE_SHARE: f64 = 0.85;

/// Quotas by team name. A team that is not listed has no quota.
pub type Quotas = HashMap<TeamName, Quota>;

/// The rate and burst that a team is limited to over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Sustained rate, in tokens per second.
    pub tokens_per_s: f64,
    /// Tokens that a team can spend at once after a pause.
    pub burst_tokens: f64,
}

/// How far all nodes together may exceed a quota, as agreed with the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the window over which spent tokens are counted.
    pub window: Duration,
    /// Tolerated overrun per window, as a fraction of the quota.
    pub over_ratio: f64,
    /// Tolerated overrun per window in tokens, in addition to `over_ratio`.
    pub slack_tokens: f64,
    /// Number of failure domains. Each has one lender.
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
    /// Maximum number of a team's tokens that all nodes together spend in one window.
    ///
    /// ```
    /// use nutmegsail_quota::{Quota, QuotaBounds};
    /// let quota = Quota { tokens_per_s: 100.0, burst_tokens: 50.0 };
    /// let bounds = QuotaBounds { slack_tokens: 10.0, ..QuotaBounds::default() };
    /// assert_eq!(bounds.window_limit(quota).round(), 945.0);
    /// ```
    pub fn window_limit(&self, quota: Quota) -> f64 {
        let quota_tokens = quota.tokens_per_s * self.window.as_secs_f64() + quota.burst_tokens;
        quota_tokens * (1.0 + self.over_ratio) + self.slack_tokens
    }

    /// Refill rate of one lender's bucket, in tokens per second.
    ///
    /// The tokens spent in a window come from three sources: what the buckets held at its start,
    /// what they refill during it, and what nodes borrowed in the [`LOAN_TTL`] before it. So the
    /// window's limit, less the capacity of the buckets, is refilled over the window plus
    /// [`LOAN_TTL`].
    pub(crate) fn lender_rate(&self, quota: Quota) -> f64 {
        let filled = (self.used_limit(quota) - self.total_capacity(quota)).max(0.0);
        filled / (self.window + LOAN_TTL).as_secs_f64() / self.lender_count()
    }

    /// Capacity of one lender's bucket, in tokens.
    pub(crate) fn lender_capacity(&self, quota: Quota) -> f64 {
        self.total_capacity(quota) / self.lender_count()
    }

    /// Capacity of all buckets together: enough for a team to spend its whole burst at once.
    fn total_capacity(&self, quota: Quota) -> f64 {
        quota.burst_tokens + self.slack_tokens * USED_TOLERANCE_SHARE
    }

    /// [`QuotaBounds::window_limit`] with only [`USED_TOLERANCE_SHARE`] of the tolerated overrun.
    fn used_limit(&self, quota: Quota) -> f64 {
        let quota_tokens = quota.tokens_per_s * self.window.as_secs_f64() + quota.burst_tokens;
        quota_tokens * (1.0 + self.over_ratio * USED_TOLERANCE_SHARE)
            + self.slack_tokens * USED_TOLERANCE_SHARE
    }

    fn lender_count(&self) -> f64 {
        f64::from(self.failure_domains.max(1))
    }
}
