//! The value of late answers.

use std::collections::BTreeMap;

/// The value of a late answer where operators name none.
const NEUTRAL_WORTH: f64 = 0.5;

/// The value of late answers by priority, as fractions of one on time.
///
/// ```
/// use nutmegsail_relay::LateWorth;
/// let worth: LateWorth = [(0, 0.2)].into_iter().collect();
/// assert_eq!((worth.of(0), worth.of(1)), (0.2, 0.5));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LateWorth {
    by_priority: BTreeMap<u8, f64>,
}

impl LateWorth {
    /// The value of a late answer to a request of this priority.
    pub fn of(&self, priority: u8) -> f64 {
        let known = self.by_priority.get(&priority);
        known.copied().unwrap_or(NEUTRAL_WORTH)
    }
}

impl FromIterator<(u8, f64)> for LateWorth {
    fn from_iter<I: IntoIterator<Item = (u8, f64)>>(worths: I) -> Self {
        let clamped = worths
            .into_iter()
            .map(|(priority, worth)| (priority, worth.clamp(0.0, 1.0)));
        Self {
            by_priority: clamped.collect(),
        }
    }
}
