//! The score of a candidate.

use serde::Serialize;

/// The expected cost of a dispatch to a candidate, in seconds. The lowest total is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Score {
    /// Wait until the adapter is ready there.
    pub adapter_s: f64,
    /// Wait caused by other requests in flight there.
    pub load_s: f64,
    /// Cost of the hop to another failure domain.
    pub domain_s: f64,
    /// Time saved by a cached prefix, as a negative number.
    pub prefix_s: f64,
    /// Time saved by a fuller batch, as a negative number.
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
