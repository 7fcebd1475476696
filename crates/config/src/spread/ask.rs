//! Whom to ask for heads and pieces, and when to ask another one.

use std::time::Instant;

use nutmegsail_base::NodeId;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, RngExt};

use super::fetch::Fetch;
use super::{Spread, SpreadAction, TextSource};
use crate::{Digest, Generation};

/// One in so many questions of a node without a text goes to another failure domain.
const ASKS_PER_FAR_ASK: u32 = 4;

/// A peer that was asked for its head.
#[derive(Debug)]
pub(super) struct Asked {
    pub(super) peer: NodeId,
    pub(super) at: Instant,
}

impl Spread {
    pub(super) fn on_summary(
        &mut self,
        peer: NodeId,
        generation: Generation,
        digest: Option<&Digest>,
        now: Instant,
    ) {
        self.known.insert(peer.clone(), generation);
        if generation < self.generation() {
            self.actions
                .push(SpreadAction::TellSummary { to: vec![peer] });
            return;
        }
        if let (Some(ours), Some(theirs)) = (self.known_digest(generation), digest) {
            if ours != theirs {
                self.report_divergence(generation, theirs.clone(), TextSource::Peer(peer));
            }
            return;
        }
        if generation > self.newest() && !self.is_waiting(now) {
            self.ask_head(peer, now);
        }
    }

    /// The newest generation that need not be asked for: in force, being fetched or unreadable.
    fn newest(&self) -> Generation {
        let fetched = self.fetch.as_ref().map(|fetch| fetch.head.generation);
        let unreadable = self.unreadable.as_ref().map(|text| text.generation);
        self.generation()
            .max(fetched.max(unreadable).unwrap_or_default())
    }

    fn is_waiting(&self, now: Instant) -> bool {
        let retry_after = self.settings.retry_after;
        let since = self.asked.as_ref().map(|asked| now - asked.at);
        since.is_some_and(|waited| waited < retry_after)
    }

    fn ask_head(&mut self, peer: NodeId, now: Instant) {
        self.asked = Some(Asked {
            peer: peer.clone(),
            at: now,
        });
        self.actions.push(SpreadAction::AskHead { peer });
    }

    pub(super) fn on_tick(&mut self, now: Instant, rng: &mut impl Rng) {
        self.put_back(now);
        self.read_again(now);
        self.give_up_fetch(now);
        if let Some(fetch) = &self.fetch {
            if now - fetch.asked_at >= self.settings.retry_after {
                self.fetch_elsewhere(now, rng);
            }
            return;
        }
        if self.is_waiting(now) {
            return;
        }
        let newest = self.newest();
        let ahead = self.known.iter().filter(|(_, theirs)| **theirs > newest);
        if let Some(peer) = ahead.map(|(peer, _)| peer.clone()).choose(rng) {
            self.ask_head(peer, now);
        } else if self.held.is_none()
            && let Some(peer) = self.any_peer(rng)
        {
            self.ask_head(peer, now);
        }
    }

    /// A head may name pieces that nobody holds any more, as when the store was restored from a copy
    /// in the middle of a fetch. A node that waited for them for ever would take up no other text,
    /// so it gives up and asks anew what there is.
    fn give_up_fetch(&mut self, now: Instant) {
        let give_up_after = self.settings.give_up_after;
        let is_old = |fetch: &Fetch| now - fetch.begun_at >= give_up_after;
        if !self.fetch.as_ref().is_some_and(is_old) {
            return;
        }
        self.fetch = None;
        if self.rank.is_some() {
            self.read_head(now);
        }
    }

    /// The last one asked for pieces did not send all of them: asks another one.
    fn fetch_elsewhere(&mut self, now: Instant, rng: &mut impl Rng) {
        let is_store_usable = self.rank.is_some() && self.is_store_up;
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let wanted = fetch.head.generation;
        let holders = self.known.iter().filter(|(_, theirs)| **theirs >= wanted);
        let holder = holders.choose(rng);
        let tried_store = fetch.source == TextSource::Store;
        match holder {
            _ if is_store_usable && !tried_store => fetch.source = TextSource::Store,
            // The peer has moved on, and with it its pieces.
            Some((peer, theirs)) if *theirs > wanted => {
                let peer = peer.clone();
                fetch.asked_at = now;
                self.ask_head(peer, now);
                return;
            }
            Some((peer, _)) => fetch.source = TextSource::Peer(peer.clone()),
            None => {}
        }
        self.advance(now, rng);
    }

    /// Any live peer, mostly of the own failure domain.
    fn any_peer(&self, rng: &mut impl Rng) -> Option<NodeId> {
        let near: Vec<&NodeId> = self.live.own_domain.iter().collect();
        let near: Vec<&NodeId> = near
            .into_iter()
            .filter(|peer| **peer != self.node)
            .collect();
        let is_far = near.is_empty() || rng.random_range(0..ASKS_PER_FAR_ASK) == 0;
        let far = self.live.elsewhere.choose(rng).filter(|_| is_far);
        far.or_else(|| near.choose(rng).copied()).cloned()
    }
}
