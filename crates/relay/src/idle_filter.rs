//! Leaves idle engines out of load updates.

use std::collections::HashMap;
use std::hash::Hash;

/// How many updates in a row include an engine that became idle, so that a lost datagram does not
/// matter.
const IDLE_UPDATES: u8 = 3;

/// Chooses which engines to include in a load update, leaving out those that have been idle for a
/// while.
///
/// Receivers treat an engine without updates as idle. Updates go out ten times a second, and idle
/// engines would make up most of what a gathering node sends in a large fleet.
///
/// ```
/// use nutmegsail_relay::IdleFilter;
/// let mut filter = IdleFilter::default();
/// assert_eq!(filter.due_engines([("e1", false), ("e2", false)]), ["e1", "e2"]);
/// let idle = || [("e1", false), ("e2", true)];
/// for _ in 0..3 {
///     assert_eq!(filter.due_engines(idle()), ["e1", "e2"], "a change to idle is repeated");
/// }
/// assert_eq!(filter.due_engines(idle()), ["e1"]);
/// assert_eq!(filter.due_engines([("e2", false)]), ["e2"]);
/// ```
#[derive(Clone, Debug)]
pub struct IdleFilter<K> {
    /// How many updates in a row have included each idle engine.
    updates_sent: HashMap<K, u8>,
}

impl<K> Default for IdleFilter<K> {
    fn default() -> Self {
        Self {
            updates_sent: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> IdleFilter<K> {
    /// Returns the engines to include in the next update. `engines` lists all known engines and
    /// whether each is idle.
    pub fn due_engines(&mut self, engines: impl IntoIterator<Item = (K, bool)>) -> Vec<K> {
        let mut idle = HashMap::new();
        let mut included = Vec::new();
        for (engine, is_idle) in engines {
            let updates_sent = self.updates_sent.get(&engine).copied().unwrap_or(0);
            if !is_idle || updates_sent < IDLE_UPDATES {
                included.push(engine.clone());
            }
            if is_idle {
                idle.insert(engine, updates_sent.saturating_add(1));
            }
        }
        self.updates_sent = idle;
        included
    }
}
