//! The nodes of the own failure domain.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::NodeId;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use crate::peer::{Peer, PeerUpdate, Reachability};
use crate::{
    BeatKey, Contact, KeyedBeat, LiveNode, MembershipAction, MembershipNote, MembershipSettings,
    PeerBeat,
};

/// The minimum number of silent nodes that can count as a mass loss, a likely network fault.
const MIN_MASS_LOSS_NODES: usize = 3;
/// Limits the contacts in a summary besides its author.
const MAX_NAMED_CONTACTS: usize = 3;
/// How long heartbeats introduce a node after its incarnation became known.
const INTRODUCTION_PERIOD: Duration = Duration::from_secs(10);
/// Limits the introductions in one heartbeat.
const MAX_INTRODUCTIONS: usize = 16;
/// A reachable node's return count is reset this long after it began to count as live.
const RETURN_COUNT_RESET_AFTER: Duration = Duration::from_secs(60);
/// How long a removed node is remembered, as a multiple of `removed_after_ms`.
const REMOVED_KEPT_FACTOR: u32 = 10;

/// The other nodes of the own failure domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    peers: BTreeMap<NodeId, Peer>,
    /// Addresses that may belong to nodes that are not known yet.
    candidates: BTreeMap<Arc<str>, CandidateSource>,
    /// The node of each key, or `None` if the keys of several nodes collide.
    keys: BTreeMap<BeatKey, Option<NodeId>>,
    next_probe: usize,
    /// When most nodes became silent at once, until enough of them are reachable again.
    mass_loss_since: Option<Instant>,
    /// See [`Peers::change_count`].
    change_count: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidateSource {
    Settings,
    VmList,
}

impl Peers {
    /// Applies an update if it is newer than the known state. Returns a note if the node is new or
    /// has restarted, returned or begun to leave.
    pub(crate) fn apply_update(
        &mut self,
        update: PeerUpdate,
        now: Instant,
    ) -> Option<MembershipNote> {
        if let Some(address) = &update.beat.address {
            self.candidates.remove(address);
        }
        let Some(peer) = self.peers.get_mut(&update.beat.node) else {
            let node = update.beat.node.clone();
            let peer = Peer::new(update.beat, now);
            self.peers.insert(node.clone(), peer);
            self.rebuild_key_index();
            self.change_count += 1;
            return Some(MembershipNote::PeerJoined(node));
        };
        if !peer.is_newer(&update) {
            return None;
        }
        let before = (peer.state, peer.address.clone());
        let note = peer.apply(update.beat, now);
        if note.is_some() || before != (peer.state, peer.address.clone()) {
            self.change_count += 1;
        }
        if matches!(note, Some(MembershipNote::PeerRestarted(_))) {
            self.rebuild_key_index();
        }
        note
    }

    /// Excludes a pause of this node from the time since every peer's last contact.
    ///
    /// Otherwise all peers would appear silent for the length of the pause and be marked
    /// unreachable at once.
    pub(crate) fn exclude_pause(&mut self, paused: Duration, now: Instant) {
        for peer in self.peers.values_mut() {
            peer.last_contact = (peer.last_contact + paused).min(now);
        }
    }

    /// Marks silent nodes as unreachable, removes nodes that have been unreachable for too long,
    /// and resets return counts.
    pub(crate) fn advance(
        &mut self,
        now: Instant,
        settings: &MembershipSettings,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.mark_unreachable(now, settings, actions);
        self.hold_mass_loss(now, settings, actions);
        self.remove_unreachable(now, settings, actions);
        for peer in self.peers.values_mut() {
            let reset_at = peer.live_from + RETURN_COUNT_RESET_AFTER;
            if peer.reachability == Reachability::Reachable && now >= reset_at {
                peer.return_count = 0;
            }
        }
    }

    fn mark_unreachable(
        &mut self,
        now: Instant,
        settings: &MembershipSettings,
        actions: &mut Vec<MembershipAction>,
    ) {
        for (node, peer) in &mut self.peers {
            let silent = now.duration_since(peer.last_contact);
            if peer.reachability == Reachability::Reachable
                && silent >= settings.unreachable_after()
            {
                peer.reachability = Reachability::Unreachable {
                    since: now,
                    live_until: None,
                };
                let note = MembershipNote::PeerUnreachable(node.clone());
                actions.push(MembershipAction::Report(note));
            }
        }
    }

    /// Keeps counting unreachable nodes as live until a common deadline if most nodes are silent.
    ///
    /// A network fault is then more likely than the failure of all these nodes. Moving all engines
    /// to the remaining nodes would cost a compare-and-swap per engine at once, and the same again
    /// when the others return.
    ///
    /// Last contacts differ, so nodes reach the limit one after another. To detect the loss in
    /// time, nodes that have been silent for half the limit count as silent here.
    fn hold_mass_loss(
        &mut self,
        now: Instant,
        settings: &MembershipSettings,
        actions: &mut Vec<MembershipAction>,
    ) {
        let half = settings.unreachable_after() / 2;
        let is_silent = |peer: &Peer| match peer.reachability {
            Reachability::Reachable => now.duration_since(peer.last_contact) >= half,
            Reachability::Unreachable { .. } => true,
            Reachability::Removed { .. } => false,
        };
        let silent = self.peers.values().filter(|peer| is_silent(peer)).count();
        let responsive = self.reachable().filter(|(_, p)| !is_silent(p)).count();
        if silent < MIN_MASS_LOSS_NODES || silent <= responsive {
            self.mass_loss_since = None;
            return;
        }
        if self.mass_loss_since.is_none() {
            let note = MembershipNote::RemovalHeld { nodes: silent };
            actions.push(MembershipAction::Report(note));
        }
        let since = *self.mass_loss_since.get_or_insert(now);
        let held_until = since + Duration::from_millis(settings.mass_hold_ms);
        for peer in self.peers.values_mut() {
            if let Reachability::Unreachable { since, live_until } = &mut peer.reachability
                && *since == now
            {
                *live_until = Some(held_until);
            }
        }
    }

    fn remove_unreachable(
        &mut self,
        now: Instant,
        settings: &MembershipSettings,
        actions: &mut Vec<MembershipAction>,
    ) {
        let removed_after = Duration::from_millis(settings.removed_after_ms);
        for (node, peer) in &mut self.peers {
            let Reachability::Unreachable { since, .. } = peer.reachability else {
                continue;
            };
            if now.duration_since(since) < removed_after {
                continue;
            }
            peer.reachability = Reachability::Removed { since: now };
            let note = MembershipNote::PeerRemoved(node.clone());
            actions.push(MembershipAction::Report(note));
            actions.extend(peer.address.clone().map(disconnect));
        }
        let forgotten_after = removed_after * REMOVED_KEPT_FACTOR;
        let known = self.peers.len();
        self.peers.retain(|_, peer| match peer.reachability {
            Reachability::Removed { since } => now.duration_since(since) < forgotten_after,
            _ => true,
        });
        if self.peers.len() < known {
            self.rebuild_key_index();
        }
    }

    /// Adds candidate addresses from the VM list and marks nodes as leaving. The list lags, so it
    /// never removes a node whose heartbeats are received.
    pub(crate) fn merge_vm_list(
        &mut self,
        listed: &BTreeMap<NodeId, ListedPeer>,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.change_count += 1;
        for (node, peer) in &mut self.peers {
            let is_leaving = listed.get(node).is_some_and(|vm| vm.is_leaving);
            peer.is_listed_leaving = is_leaving;
        }
        let is_listed =
            |address: &Arc<str>| listed.values().any(|vm| vm.address.as_ref() == &**address);
        self.candidates.retain(|address, source| {
            let is_kept = *source == CandidateSource::Settings || is_listed(address);
            if !is_kept {
                actions.push(disconnect(Arc::clone(address)));
            }
            is_kept
        });
        for (node, vm) in listed {
            let is_known = self
                .peers
                .get(node)
                .is_some_and(|peer| !matches!(peer.reachability, Reachability::Removed { .. }));
            if !is_known {
                let address = Arc::clone(&vm.address);
                let source = CandidateSource::VmList;
                self.candidates.entry(address).or_insert(source);
            }
        }
    }

    /// Adds candidate addresses from the settings.
    pub(crate) fn add_seeds(&mut self, addresses: Vec<Arc<str>>) {
        for address in addresses {
            self.candidates.insert(address, CandidateSource::Settings);
        }
    }

    /// Chooses the addresses of up to `count` reachable nodes at random.
    pub(crate) fn targets(&self, count: usize, rng: &mut dyn rand::Rng) -> Vec<Arc<str>> {
        let reachable: Vec<_> = self
            .reachable()
            .filter_map(|(_, peer)| peer.address.clone())
            .collect();
        reachable.sample(rng, count).cloned().collect()
    }

    /// Chooses a few reachable nodes at random, as contacts for other domains.
    pub(crate) fn random_contacts(&self, rng: &mut dyn rand::Rng) -> Vec<Contact> {
        let contacts = self.reachable().filter_map(|(node, peer)| {
            Some(Contact {
                node: node.clone(),
                address: peer.address.clone()?,
            })
        });
        contacts.sample(rng, MAX_NAMED_CONTACTS)
    }

    /// Returns the next address to probe, in turn among unreachable nodes and candidates.
    pub(crate) fn next_probe_address(&mut self) -> Option<Arc<str>> {
        let unreachable = self
            .peers
            .values()
            .filter_map(|peer| match peer.reachability {
                Reachability::Unreachable { .. } => peer.address.clone(),
                _ => None,
            });
        let silent: Vec<_> = unreachable.chain(self.candidates.keys().cloned()).collect();
        if silent.is_empty() {
            return None;
        }
        self.next_probe = (self.next_probe + 1) % silent.len();
        Some(Arc::clone(&silent[self.next_probe]))
    }

    /// Expands a keyed beat, if its key is known and identifies one node only.
    pub(crate) fn resolve(&self, keyed: KeyedBeat) -> Option<PeerBeat> {
        let node = self.keys.get(&keyed.key)?.as_ref()?;
        let peer = self.peers.get(node)?;
        Some(PeerBeat {
            node: node.clone(),
            incarnation: peer.incarnation,
            beat: keyed.beat,
            state: keyed.state,
            generation: keyed.generation,
            address: None,
        })
    }

    /// Returns full beats of nodes that cannot be sent by key alone: their incarnation is new to
    /// others, or their key collides with another node's.
    pub(crate) fn introductions(&self, now: Instant) -> Vec<PeerBeat> {
        let unknown = self.reachable().filter(|(node, peer)| {
            let is_new = now.duration_since(peer.known_since) < INTRODUCTION_PERIOD;
            is_new || self.has_shared_key(node, peer)
        });
        unknown
            .take(MAX_INTRODUCTIONS)
            .map(|(node, peer)| peer.to_beat(node))
            .collect()
    }

    /// Returns keyed beats of the nodes with the most recent contact, which most other nodes do not
    /// have yet.
    pub(crate) fn freshest_beats(&self, count: usize, rng: &mut dyn rand::Rng) -> Vec<KeyedBeat> {
        let mut reachable: Vec<_> = self.reachable().collect();
        reachable.shuffle(rng);
        reachable.sort_by_key(|(_, peer)| std::cmp::Reverse(peer.last_contact));
        reachable.truncate(count);
        let uniquely_keyed = reachable
            .into_iter()
            .filter(|(node, peer)| !self.has_shared_key(node, peer));
        uniquely_keyed
            .map(|(node, peer)| peer.to_keyed(node))
            .collect()
    }

    /// Returns full beats of all reachable nodes.
    pub(crate) fn roster(&self) -> Vec<PeerBeat> {
        let reachable = self.reachable();
        reachable.map(|(node, peer)| peer.to_beat(node)).collect()
    }

    fn has_shared_key(&self, node: &NodeId, peer: &Peer) -> bool {
        let key = BeatKey::new(node, peer.incarnation);
        self.keys.get(&key).is_none_or(Option::is_none)
    }

    fn rebuild_key_index(&mut self) {
        self.keys.clear();
        for (node, peer) in &self.peers {
            let key = BeatKey::new(node, peer.incarnation);
            let holder = Some(node.clone());
            self.keys
                .entry(key)
                .and_modify(|holder| *holder = None)
                .or_insert(holder);
        }
    }

    /// The peers that may own engines.
    pub(crate) fn live(&self, now: Instant) -> impl Iterator<Item = LiveNode> {
        let live = self.peers.iter().filter(move |(_, peer)| peer.is_live(now));
        live.filter_map(|(node, peer)| {
            Some(LiveNode {
                node: node.clone(),
                incarnation: peer.incarnation,
                address: peer.address.clone()?,
            })
        })
    }

    /// A counter that increases with every change that may affect [`Peers::live`], except changes
    /// caused only by the passing of time.
    pub(crate) fn change_count(&self) -> u64 {
        self.change_count
    }

    /// The names of the reachable nodes.
    pub(crate) fn reachable_nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.reachable().map(|(node, _)| node)
    }

    /// The names of the unreachable nodes that were not removed.
    pub(crate) fn unreachable_nodes(&self) -> impl Iterator<Item = &NodeId> {
        let unreachable =
            |peer: &Peer| matches!(peer.reachability, Reachability::Unreachable { .. });
        let peers = self.peers.iter().filter(move |(_, peer)| unreachable(peer));
        peers.map(|(node, _)| node)
    }

    /// The generations of the reachable nodes.
    pub(crate) fn generations(&self) -> impl Iterator<Item = u64> {
        self.reachable().map(|(_, peer)| peer.generation)
    }

    /// How many nodes are reachable.
    pub(crate) fn reachable_count(&self) -> usize {
        self.reachable().count()
    }

    /// The address of a node, if known.
    pub(crate) fn address(&self, node: &NodeId) -> Option<Arc<str>> {
        self.peers.get(node).and_then(|peer| peer.address.clone())
    }

    fn reachable(&self) -> impl Iterator<Item = (&NodeId, &Peer)> {
        let peers = self.peers.iter();
        peers.filter(|(_, peer)| peer.reachability == Reachability::Reachable)
    }
}

/// An entry of the VM list for a node of the own failure domain.
pub(crate) struct ListedPeer {
    pub(crate) address: Arc<str>,
    pub(crate) is_leaving: bool,
}

fn disconnect(address: Arc<str>) -> MembershipAction {
    MembershipAction::Disconnect { address }
}
