//! Requests for heads and pieces: which peer is asked, and when another one is tried.

use std::time::Instant;

use nutmegsail_base::NodeId;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, RngExt};

use super::fetch::Fetch;
use super::{Spread, SpreadAction, TextSource};
use crate::{Digest, Generation};

/// A node without a text sends one in this many head requests to another failure domain.
const REQUESTS_PER_REMOTE_REQUEST: u32 = 4;

/// A request for a peer's head.
#[derive(Debug)]
pub(super) struct HeadRequest {
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
        self.peer_generations.insert(peer.clone(), generation);
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
        if generation > self.newest_known() && !self.is_head_request_pending(now) {
            self.request_head(peer, now);
        }
    }

    /// The newest generation that needs no request: in force, being fetched, or unreadable.
    fn newest_known(&self) -> Generation {
        let fetched = self.fetch.as_ref().map(|fetch| fetch.head.generation);
        let unreadable = self.unreadable.as_ref().map(|text| text.generation);
        self.generation()
            .max(fetched.max(unreadable).unwrap_or_default())
    }

    fn is_head_request_pending(&self, now: Instant) -> bool {
        let retry_after = self.settings.retry_after;
        let since = self
            .head_request
            .as_ref()
            .map(|head_request| now - head_request.at);
        since.is_some_and(|waited| waited < retry_after)
    }

    fn request_head(&mut self, peer: NodeId, now: Instant) {
        self.head_request = Some(HeadRequest {
            peer: peer.clone(),
            at: now,
        });
        self.actions.push(SpreadAction::AskHead { peer });
    }

    pub(super) fn on_tick(&mut self, now: Instant, rng: &mut impl Rng) {
        self.restore_head_if_due(now);
        self.reread_head_if_due(now);
        self.abandon_stalled_fetch(now);
        if let Some(fetch) = &self.fetch {
            if now - fetch.requested_at >= self.settings.retry_after {
                self.fetch_from_another(now, rng);
            }
            return;
        }
        if self.is_head_request_pending(now) {
            return;
        }
        let newest_known = self.newest_known();
        let ahead = self
            .peer_generations
            .iter()
            .filter(|(_, theirs)| **theirs > newest_known);
        if let Some(peer) = ahead.map(|(peer, _)| peer.clone()).choose(rng) {
            self.request_head(peer, now);
        } else if self.held.is_none()
            && let Some(peer) = self.random_peer(rng)
        {
            self.request_head(peer, now);
        }
    }

    /// Abandons a fetch that takes too long. Its pieces may no longer exist anywhere, as when the
    /// store is restored from an older copy during the fetch, and waiting for them forever would
    /// keep the node from fetching any other text. A watcher then reads the store's head again.
    fn abandon_stalled_fetch(&mut self, now: Instant) {
        let fetch_timeout = self.settings.fetch_timeout;
        let is_old = |fetch: &Fetch| now - fetch.started_at >= fetch_timeout;
        if !self.fetch.as_ref().is_some_and(is_old) {
            return;
        }
        self.fetch = None;
        if self.watcher_rank.is_some() {
            self.read_head(now);
        }
    }

    /// Requests the missing pieces from another source, after the last one did not send all of
    /// them.
    fn fetch_from_another(&mut self, now: Instant, rng: &mut impl Rng) {
        let is_store_usable = self.watcher_rank.is_some() && self.is_store_up;
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let wanted = fetch.head.generation;
        let holders = self
            .peer_generations
            .iter()
            .filter(|(_, theirs)| **theirs >= wanted);
        let holder = holders.choose(rng);
        let tried_store = fetch.source == TextSource::Store;
        match holder {
            _ if is_store_usable && !tried_store => fetch.source = TextSource::Store,
            // The peer has a newer text and may have dropped these pieces: request its head
            // instead.
            Some((peer, theirs)) if *theirs > wanted => {
                let peer = peer.clone();
                fetch.requested_at = now;
                self.request_head(peer, now);
                return;
            }
            Some((peer, _)) => fetch.source = TextSource::Peer(peer.clone()),
            None => {}
        }
        self.fetch_missing(now, rng);
    }

    /// A random live peer, mostly of this node's own failure domain.
    fn random_peer(&self, rng: &mut impl Rng) -> Option<NodeId> {
        let same_domain: Vec<&NodeId> = self.live.own_domain.iter().collect();
        let same_domain: Vec<&NodeId> = same_domain
            .into_iter()
            .filter(|peer| **peer != self.node)
            .collect();
        let asks_other_domain =
            same_domain.is_empty() || rng.random_range(0..REQUESTS_PER_REMOTE_REQUEST) == 0;
        let other_domain = self
            .live
            .elsewhere
            .choose(rng)
            .filter(|_| asks_other_domain);
        other_domain
            .or_else(|| same_domain.choose(rng).copied())
            .cloned()
    }
}
