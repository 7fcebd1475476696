//! Which engines' loads other failure domains are told of.

use std::collections::HashMap;
use std::hash::Hash;

/// How often all loads are told, in exchanges. Engines of other failure domains are a second choice, and bytes
/// between domains are charged for.
const ALL_EVERY: u32 = 4;

/// The change of the requests at an engine from which it is told at once: what they add to the wait there is a
/// good part of a latency objective.
const AT_ONCE_REQUESTS: u32 = 3;

/// Tells other failure domains of loads: now and then of all, at once of those that change.
///
/// Answers an adapter that many nodes turn to at a time: those of other failure domains go on to an engine while
/// their news of it are from before, and each of them takes it for free.
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
    /// The requests at each engine that were told last.
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
    /// The engines to tell of now, of all that are known, each with the requests there.
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
