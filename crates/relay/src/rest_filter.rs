//! Leaves idle engines out of load updates.

use std::collections::HashMap;
use std::hash::Hash;

/// How many updates in a row include an engine that became idle, so that a lost datagram does not
/// matter.
const REST_TOLD: u8 = 3;

/// Chooses which engines to include in a load update, leaving out those that have been idle for a
/// while.
///
/// Receivers treat an engine without updates as idle. Updates go out ten times a second, and idle
/// engines would make up most of what a gathering node sends in a large fleet.
///
/// ```
/// use nutmegsail_relay::RestFilter;
/// let mut filter = RestFilter::default();
/// assert_eq!(filter.turn([("e1", false), ("e2", false)]), ["e1", "e2"]);
/// let resting = || [("e1", false), ("e2", true)];
/// for _ in 0..3 {
///     assert_eq!(filter.turn(resting()), ["e1", "e2"], "a change to idle is repeated");
/// }
/// assert_eq!(filter.turn(resting()), ["e1"]);
/// assert_eq!(filter.turn([("e2", false)]), ["e2"]);
/// ```
#[derive(Clone, Debug)]
pub struct RestFilter<K> {
    /// How many updates in a row have included each idle engine.
    told: HashMap<K, u8>,
}

impl<K> Default for RestFilter<K> {
    fn default() -> Self {
        Self {
            told: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> RestFilter<K> {
    /// Returns the engines to include in the next update. `engines` lists all known engines and
    /// whether each is idle.
    pub fn turn(&mut self, engines: impl IntoIterator<Item = (K, bool)>) -> Vec<K> {
        let mut resting = HashMap::new();
        let mut news = Vec::new();
        for (engine, is_at_rest) in engines {
            let told = self.told.get(&engine).copied().unwrap_or(0);
            if !is_at_rest || told < REST_TOLD {
                news.push(engine.clone());
            }
            if is_at_rest {
                resting.insert(engine, told.saturating_add(1));
            }
        }
        self.told = resting;
        news
    }
}
