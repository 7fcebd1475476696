//! Chooses engine loads to send to other failure domains.

use std::collections::HashMap;
use std::hash::Hash;

/// All loads are sent in every fourth update. Engines of other failure domains are a second choice,
/// and traffic between domains is billed by the byte.
const ALL_EVERY: u32 = 4;

/// A load is sent at once if the number of requests changed by this much: that many add a large
/// part of a latency objective to the wait at the engine.
const AT_ONCE_REQUESTS: u32 = 3;

/// Chooses which engine loads to send to other failure domains: all of them now and then, and large
/// changes at once.
///
/// Otherwise, when many nodes turn to one adapter at the same time, nodes in other failure domains
/// would keep sending requests to an engine that their outdated loads show as free.
///
/// ```
/// use nutmegsail_relay::FarNews;
/// let mut news = FarNews::default();
/// assert_eq!(news.turn([("e1", 2), ("e2", 0)]), ["e1", "e2"]);
/// assert_eq!(news.turn([("e1", 3), ("e2", 0)]), [""; 0]);
/// assert_eq!(news.turn([("e1", 6), ("e2", 0)]), ["e1"]);
/// ```
#[derive(Clone, Debug)]
pub struct FarNews<K> {
    /// The number of requests at each engine when its load was last sent.
    told: HashMap<K, u32>,
    turns: u32,
}

impl<K> Default for FarNews<K> {
    fn default() -> Self {
        Self {
            told: HashMap::new(),
            turns: 0,
        }
    }
}

impl<K: Copy + Eq + Hash> FarNews<K> {
    /// Returns the engines to include in the next update. `engines` lists all known engines and the
    /// number of requests at each.
    pub fn turn(&mut self, engines: impl IntoIterator<Item = (K, u32)>) -> Vec<K> {
        let tells_all = self.turns.is_multiple_of(ALL_EVERY);
        self.turns = self.turns.wrapping_add(1);
        let before = std::mem::take(&mut self.told);
        let mut news = Vec::new();
        for (engine, requests) in engines {
            let told = before.get(&engine).copied().unwrap_or(0);
            if tells_all || requests.abs_diff(told) >= AT_ONCE_REQUESTS {
                self.told.insert(engine, requests);
                news.push(engine);
            } else {
                self.told.insert(engine, told);
            }
        }
        news
    }
}
