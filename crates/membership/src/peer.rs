//! The state of one other node of the own failure domain.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{Incarnation, NodeId};

use crate::{BeatKey, KeyedBeat, MembershipNote, NodeState, PeerBeat};

/// How long a node does not count as live after its first return. Doubles with each further one.
const RETURN_DELAY: Duration = Duration::from_millis(500);
const MAX_RETURN_DELAY: Duration = Duration::from_secs(30);

/// A received beat of a node.
pub(crate) struct PeerUpdate {
    pub(crate) beat: PeerBeat,
    /// Whether the node itself sent it, rather than another node.
    pub(crate) is_direct: bool,
}

/// Another node of the own failure domain.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) incarnation: Incarnation,
    pub(crate) beat: u64,
    /// When the highest known beat was received, from the node itself or from another.
    pub(crate) last_contact: Instant,
    /// When this incarnation became known.
    pub(crate) known_since: Instant,
    pub(crate) state: NodeState,
    pub(crate) is_listed_leaving: bool,
    pub(crate) generation: u64,
    pub(crate) address: Option<Arc<str>>,
    pub(crate) reachability: Reachability,
    pub(crate) return_count: u32,
    pub(crate) live_from: Instant,
}

/// Whether new beats of a node are received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reachability {
    Reachable,
    Unreachable {
        since: Instant,
        /// Set if the node was lost together with most others: it counts as live until then.
        live_until: Option<Instant>,
    },
    /// Removed from the view. Kept for a while, so that a late message does not add it again.
    Removed {
        since: Instant,
    },
}

impl Peer {
    pub(crate) fn new(beat: PeerBeat, now: Instant) -> Self {
        Self {
            incarnation: beat.incarnation,
            beat: beat.beat,
            last_contact: now,
            known_since: now,
            state: beat.state,
            is_listed_leaving: false,
            generation: beat.generation,
            address: beat.address,
            reachability: Reachability::Reachable,
            return_count: 0,
            live_from: now,
        }
    }

    pub(crate) fn is_live(&self, now: Instant) -> bool {
        let counts = match self.reachability {
            Reachability::Reachable => now >= self.live_from,
            Reachability::Unreachable { live_until, .. } => {
                live_until.is_some_and(|until| now < until)
            }
            Reachability::Removed { .. } => false,
        };
        counts && self.state == NodeState::Ready && !self.is_listed_leaving
    }

    /// Whether an update is newer than the known state.
    ///
    /// Incarnations of a node normally increase. If a VM's clock was set back, its new incarnation
    /// is lower; that is accepted only from the node itself, and only while the known incarnation
    /// is not reachable.
    pub(crate) fn is_newer(&self, update: &PeerUpdate) -> bool {
        let seen = (update.beat.incarnation, update.beat.beat);
        let may_be_clock_reset = update.is_direct && self.reachability != Reachability::Reachable;
        seen > (self.incarnation, self.beat)
            || (may_be_clock_reset && update.beat.incarnation != self.incarnation)
    }

    pub(crate) fn apply(&mut self, beat: PeerBeat, now: Instant) -> Option<MembershipNote> {
        let note = self.note_for(&beat);
        if beat.incarnation != self.incarnation {
            self.known_since = now;
        }
        if self.reachability != Reachability::Reachable {
            self.mark_reachable(now);
        }
        self.incarnation = beat.incarnation;
        self.beat = beat.beat;
        self.last_contact = now;
        self.state = beat.state;
        self.generation = beat.generation;
        self.address = beat.address.or_else(|| self.address.take());
        note
    }

    pub(crate) fn note_for(&self, beat: &PeerBeat) -> Option<MembershipNote> {
        let node = beat.node.clone();
        if beat.incarnation != self.incarnation {
            return Some(MembershipNote::PeerRestarted(node));
        }
        if self.reachability != Reachability::Reachable {
            return Some(MembershipNote::PeerReturned(node));
        }
        let starts_leaving = beat.state == NodeState::Leaving && self.state != NodeState::Leaving;
        starts_leaving.then_some(MembershipNote::PeerLeaving(node))
    }

    /// Marks the node as reachable, but delays when it counts as live, longer after each return.
    ///
    /// A flapping node would otherwise move engine ownership each time, and every move delays
    /// evictions by the full lifetime of a pin. There is no delay while the node still counts as
    /// live after a mass loss.
    pub(crate) fn mark_reachable(&mut self, now: Instant) {
        if let Reachability::Unreachable {
            live_until: Some(until),
            ..
        } = self.reachability
            && now < until
        {
            self.reachability = Reachability::Reachable;
            return;
        }
        let wait = RETURN_DELAY * 2u32.saturating_pow(self.return_count.min(8));
        self.reachability = Reachability::Reachable;
        self.return_count += 1;
        self.live_from = now + wait.min(MAX_RETURN_DELAY);
    }

    pub(crate) fn to_beat(&self, node: &NodeId) -> PeerBeat {
        PeerBeat {
            node: node.clone(),
            incarnation: self.incarnation,
            beat: self.beat,
            state: self.state,
            generation: self.generation,
            address: self.address.clone(),
        }
    }

    pub(crate) fn to_keyed(&self, node: &NodeId) -> KeyedBeat {
        KeyedBeat {
            key: BeatKey::new(node, self.incarnation),
            beat: self.beat,
            state: self.state,
            generation: self.generation,
        }
    }
}
