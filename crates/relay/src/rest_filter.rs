//! Which engines there is something to tell of.

use std::collections::HashMap;
use std::hash::Hash;

/// How often it is told that an engine is at rest, so that a lost datagram does not matter.
const REST_TOLD: u8 = 3;

/// Leaves out engines at rest of what is told of all of them.
///
/// Nothing is assumed of an engine of which nothing is heard, which comes to the same as being at rest.
/// Told like the others ten times a second, idle ones would make up most of what a gatherer sends in a large
/// fleet.
///
/// ```
/// use nutmegsail_relay::RestFilter;
/// let mut filter = RestFilter::default();
/// assert_eq!(filter.turn([("e1", false), ("e2", false)]), ["e1", "e2"]);
/// let resting = || [("e1", false), ("e2", true)];
/// for _ in 0..3 {
///     assert_eq!(filter.turn(resting()), ["e1", "e2"], "that it came to rest is news");
/// }
/// assert_eq!(filter.turn(resting()), ["e1"]);
/// assert_eq!(filter.turn([("e2", false)]), ["e2"]);
/// ```
#[derive(Clone, Debug)]
pub struct RestFilter<K> {
    /// How often each engine at rest was told of.
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
    /// The engines to tell of now, of all that are known, each with whether it is at rest.
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
