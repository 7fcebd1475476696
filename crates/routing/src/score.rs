//! The score of a candidate, in seconds of expected wait.

use serde::Serialize;

/// What a dispatch to a candidate is expected to cost, in seconds; the lowest sum wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Score {
    /// The wait until the adapter is ready there.
    pub adapter_s: f64,
    /// The wait because of other requests in flight there.
    pub load_s: f64,
    /// The hop to another failure domain.
    pub domain_s: f64,
    /// What a cached prefix saves, negative.
    pub prefix_s: f64,
    /// What a fuller batch saves, negative.
    pub batch_s: f64,
}

impl Score {
    /// The sum, in seconds.
    ///
    /// ```
    /// let score = nutmegsail_routing::Score { load_s: 0.2, prefix_s: -0.1, ..Default::default() };
    /// assert_eq!(score.total_s(), 0.1);
    /// ```
    pub fn total_s(&self) -> f64 {
        self.adapter_s + self.load_s + self.domain_s + self.prefix_s + self.batch_s
    }
}
