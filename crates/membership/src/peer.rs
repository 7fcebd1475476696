//! One node of the own failure domain.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::{Incarnation, NodeId};

use crate::{BeatKey, KeyedBeat, MembershipNote, NodeState, PeerBeat};

/// How long a node that came back stays out of the live nodes; doubles with each return.
const RETURN_WAIT: Duration = Duration::from_millis(500);
const RETURN_WAIT_MAX: Duration = Duration::from_secs(30);

/// What was learned of a node, by itself or through another one.
pub(crate) struct Sighting {
    pub(crate) beat: PeerBeat,
    pub(crate) is_direct: bool,
}

/// One node of the own failure domain.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) incarnation: Incarnation,
    pub(crate) beat: u64,
    /// When the highest beat was learned of.
    pub(crate) heard_at: Instant,
    /// Since when this incarnation is known.
    pub(crate) known_since: Instant,
    pub(crate) state: NodeState,
    pub(crate) is_listed_leaving: bool,
    pub(crate) generation: u64,
    pub(crate) address: Option<Arc<str>>,
    pub(crate) reach: Reach,
    pub(crate) returns: u32,
    pub(crate) live_from: Instant,
}

/// Whether a node is heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    Reachable,
    Unreachable {
        since: Instant,
        /// Set while a mass loss is held: the node still counts as live until then.
        live_until: Option<Instant>,
    },
    /// Given up. Remembered, so that a late message does not bring it back.
    Gone {
        since: Instant,
    },
}

impl Peer {
    pub(crate) fn new(beat: PeerBeat, now: Instant) -> Self {
        Self {
            incarnation: beat.incarnation,
            beat: beat.beat,
            heard_at: now,
            known_since: now,
            state: beat.state,
            is_listed_leaving: false,
            generation: beat.generation,
            address: beat.address,
            reach: Reach::Reachable,
            returns: 0,
            live_from: now,
        }
    }

    pub(crate) fn is_live(&self, now: Instant) -> bool {
        let counts = match self.reach {
            Reach::Reachable => now >= self.live_from,
            Reach::Unreachable { live_until, .. } => live_until.is_some_and(|until| now < until),
            Reach::Gone { .. } => false,
        };
        counts && self.state == NodeState::Ready && !self.is_listed_leaving
    }

    /// Whether a sighting is newer than what is known.
    ///
    /// Incarnations of one node rise. The exception is a VM whose clock was set back: it is
    /// believed if it speaks for itself while its former incarnation is silent.
    pub(crate) fn is_news(&self, sighting: &Sighting) -> bool {
        let seen = (sighting.beat.incarnation, sighting.beat.beat);
        let is_set_back = sighting.is_direct && self.reach != Reach::Reachable;
        seen > (self.incarnation, self.beat)
            || (is_set_back && sighting.beat.incarnation != self.incarnation)
    }

    pub(crate) fn take_in(&mut self, beat: PeerBeat, now: Instant) -> Option<MembershipNote> {
        let note = self.note_of(&beat);
        if beat.incarnation != self.incarnation {
            self.known_since = now;
        }
        if self.reach != Reach::Reachable {
            self.delay_return(now);
        }
        self.incarnation = beat.incarnation;
        self.beat = beat.beat;
        self.heard_at = now;
        self.state = beat.state;
        self.generation = beat.generation;
        self.address = beat.address.or_else(|| self.address.take());
        note
    }

    pub(crate) fn note_of(&self, beat: &PeerBeat) -> Option<MembershipNote> {
        let node = beat.node.clone();
        if beat.incarnation != self.incarnation {
            return Some(MembershipNote::PeerRestarted(node));
        }
        if self.reach != Reach::Reachable {
            return Some(MembershipNote::PeerReturned(node));
        }
        let starts_leaving = beat.state == NodeState::Leaving && self.state != NodeState::Leaving;
        starts_leaving.then_some(MembershipNote::PeerLeaving(node))
    }

    /// A node that comes and goes would move the ownership of engines with each flap, and every
    /// move keeps evictions waiting for a pin's whole life. So each return counts later than the
    /// one before.
    pub(crate) fn delay_return(&mut self, now: Instant) {
        if let Reach::Unreachable {
            live_until: Some(until),
            ..
        } = self.reach
            && now < until
        {
            self.reach = Reach::Reachable;
            return;
        }
        let wait = RETURN_WAIT * 2u32.saturating_pow(self.returns.min(8));
        self.reach = Reach::Reachable;
        self.returns += 1;
        self.live_from = now + wait.min(RETURN_WAIT_MAX);
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
