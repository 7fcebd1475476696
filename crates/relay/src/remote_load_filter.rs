//! Chooses engine loads to send to other failure domains.

use std::collections::HashMap;
use std::hash::Hash;

/// All loads are sent in every fourth update. Engines of other failure domains are a second choice,
/// and traffic between domains is billed by the byte.
const FULL_UPDATE_EVERY: u32 = 4;

/// A load is sent at once if the number of requests changed by this much: that many add a large
/// part of a latency objective to the wait at the engine.
const LARGE_CHANGE: u32 = 3;

/// Chooses which engine loads to send to other failure domains: all of them now and then, and large
/// changes at once.
///
/// Otherwise, when many nodes turn to one adapter at the same time, nodes in other failure domains
/// would keep sending requests to an engine that their outdated loads show as free.
///
/// ```
/// use nutmegsail_relay::RemoteLoadFilter;
/// let mut included = RemoteLoadFilter::default();
/// assert_eq!(included.due_engines([("e1", 2), ("e2", 0)]), ["e1", "e2"]);
/// assert_eq!(included.due_engines([("e1", 3), ("e2", 0)]), [""; 0]);
/// assert_eq!(included.due_engines([("e1", 6), ("e2", 0)]), ["e1"]);
/// ```
#[derive(Clone, Debug)]
pub struct RemoteLoadFilter<K> {
    /// The number of requests at each engine when its load was last sent.
    last_sent: HashMap<K, u32>,
    turns: u32,
}

impl<K> Default for RemoteLoadFilter<K> {
    fn default() -> Self {
        Self {
            last_sent: HashMap::new(),
            turns: 0,
        }
    }
}

impl<K: Copy + Eq + Hash> RemoteLoadFilter<K> {
    /// Returns the engines to include in the next update. `engines` lists all known engines and the
    /// number of requests at each.
    pub fn due_engines(&mut self, engines: impl IntoIterator<Item = (K, u32)>) -> Vec<K> {
        let is_full_update = self.turns.is_multiple_of(FULL_UPDATE_EVERY);
        self.turns = self.turns.wrapping_add(1);
        let previous = std::mem::take(&mut self.last_sent);
        let mut included = Vec::new();
        for (engine, requests) in engines {
            let last_sent = previous.get(&engine).copied().unwrap_or(0);
            if is_full_update || requests.abs_diff(last_sent) >= LARGE_CHANGE {
                self.last_sent.insert(engine, requests);
                included.push(engine);
            } else {
                self.last_sent.insert(engine, last_sent);
            }
        }
        included
    }
}
