//! The nodes of the own failure domain.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::NodeId;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};

use crate::peer::{Peer, Reach, Sighting};
use crate::{
    BeatKey, Contact, KeyedBeat, LiveNode, MembershipAction, MembershipNote, MembershipSettings,
    PeerBeat,
};

/// How many nodes must vanish at once for it to look like a fault of the path to them.
const MASS_LOSS_NODES: usize = 3;
/// How many nodes other domains are told of besides the one that writes to them.
const CONTACTS_NAMED: usize = 3;
/// How long a node is introduced to others after it was first heard of.
const INTRODUCED_FOR: Duration = Duration::from_secs(10);
/// How many introductions go with a heartbeat.
const INTRODUCTIONS: usize = 16;
/// How long a node must be reachable for its earlier returns to be forgotten.
const RETURNS_FORGOTTEN: Duration = Duration::from_secs(60);
/// How many times `removed_after_ms` a node that was given up is remembered.
const GONE_KEPT: u32 = 10;

/// The other nodes of the own failure domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers {
    peers: BTreeMap<NodeId, Peer>,
    /// Addresses that may belong to nodes not heard of yet.
    candidates: BTreeMap<Arc<str>, CandidateSource>,
    /// The node of each key; none where two nodes share one.
    keys: BTreeMap<BeatKey, Option<NodeId>>,
    next_probe: usize,
    /// Since when most nodes have been silent at once.
    mass_loss_since: Option<Instant>,
    /// Rises with every change that may matter to the live nodes, but for those by time alone.
    changes: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidateSource {
    Settings,
    VmList,
}

impl Peers {
    /// Takes in what was learned of a node. Returns whether it was new, with a note if it matters.
    pub(crate) fn sight(&mut self, sighting: Sighting, now: Instant) -> Option<MembershipNote> {
        if let Some(address) = &sighting.beat.address {
            self.candidates.remove(address);
        }
        let Some(peer) = self.peers.get_mut(&sighting.beat.node) else {
            let node = sighting.beat.node.clone();
            let peer = Peer::new(sighting.beat, now);
            self.peers.insert(node.clone(), peer);
            self.index_keys();
            self.changes += 1;
            return Some(MembershipNote::PeerJoined(node));
        };
        if !peer.is_news(&sighting) {
            return None;
        }
        let had = (peer.state, peer.address.clone());
        let note = peer.take_in(sighting.beat, now);
        if note.is_some() || had != (peer.state, peer.address.clone()) {
            self.changes += 1;
        }
        if matches!(note, Some(MembershipNote::PeerRestarted(_))) {
            self.index_keys();
        }
        note
    }

    /// Adds time during which this node did not run to every peer's account.
    ///
    /// A paused node wakes with every peer silent for as long as it slept, and would give them all
    /// up at once. Silence counts only while this node runs to hear it.
    pub(crate) fn absorb_pause(&mut self, paused: Duration, now: Instant) {
        for peer in self.peers.values_mut() {
            peer.heard_at = (peer.heard_at + paused).min(now);
        }
    }

    /// Lets time pass: silent nodes become unreachable, unreachable ones are given up.
    pub(crate) fn advance(
        &mut self,
        now: Instant,
        settings: &MembershipSettings,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.mark_silent(now, settings, actions);
        self.hold_mass_loss(now, settings, actions);
        self.give_up(now, settings, actions);
        for peer in self.peers.values_mut() {
            let calm_since = peer.live_from + RETURNS_FORGOTTEN;
            if peer.reach == Reach::Reachable && now >= calm_since {
                peer.returns = 0;
            }
        }
    }

    fn mark_silent(
        &mut self,
        now: Instant,
        settings: &MembershipSettings,
        actions: &mut Vec<MembershipAction>,
    ) {
        for (node, peer) in &mut self.peers {
            let silent = now.duration_since(peer.heard_at);
            if peer.reach == Reach::Reachable && silent >= settings.unreachable_after() {
                peer.reach = Reach::Unreachable {
                    since: now,
                    live_until: None,
                };
                let note = MembershipNote::PeerUnreachable(node.clone());
                actions.push(MembershipAction::Report(note));
            }
        }
    }

    /// When most nodes vanish at once, the path to them is the likelier fault. Moving every engine
    /// to the few that are left would cost a compare-and-swap for each engine at once, and the same
    /// again a moment later. So they go on counting as live for a while, and then go together.
    ///
    /// Nodes cross the limit one after the other, as they were last heard at different times. So a
    /// loss is already measured by those that have been silent for half the limit.
    fn hold_mass_loss(
        &mut self,
        now: Instant,
        settings: &MembershipSettings,
        actions: &mut Vec<MembershipAction>,
    ) {
        let half = settings.unreachable_after() / 2;
        let is_silent = |peer: &Peer| match peer.reach {
            Reach::Reachable => now.duration_since(peer.heard_at) >= half,
            Reach::Unreachable { .. } => true,
            Reach::Gone { .. } => false,
        };
        let silent = self.peers.values().filter(|peer| is_silent(peer)).count();
        let heard = self.reachable().filter(|(_, p)| !is_silent(p)).count();
        if silent < MASS_LOSS_NODES || silent <= heard {
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
            if let Reach::Unreachable { since, live_until } = &mut peer.reach
                && *since == now
            {
                *live_until = Some(held_until);
            }
        }
    }

    fn give_up(
        &mut self,
        now: Instant,
        settings: &MembershipSettings,
        actions: &mut Vec<MembershipAction>,
    ) {
        let removed_after = Duration::from_millis(settings.removed_after_ms);
        for (node, peer) in &mut self.peers {
            let Reach::Unreachable { since, .. } = peer.reach else {
                continue;
            };
            if now.duration_since(since) < removed_after {
                continue;
            }
            peer.reach = Reach::Gone { since: now };
            let note = MembershipNote::PeerRemoved(node.clone());
            actions.push(MembershipAction::Report(note));
            actions.extend(peer.address.clone().map(disconnect));
        }
        let forgotten_after = removed_after * GONE_KEPT;
        let known = self.peers.len();
        self.peers.retain(|_, peer| match peer.reach {
            Reach::Gone { since } => now.duration_since(since) < forgotten_after,
            _ => true,
        });
        if self.peers.len() < known {
            self.index_keys();
        }
    }

    /// Takes in the VM list's view. It lags: it adds candidates and marks nodes as leaving, and it
    /// never takes a node away that is heard.
    pub(crate) fn list(
        &mut self,
        listed: &BTreeMap<NodeId, ListedPeer>,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.changes += 1;
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
            let is_heard = self
                .peers
                .get(node)
                .is_some_and(|peer| !matches!(peer.reach, Reach::Gone { .. }));
            if !is_heard {
                let address = Arc::clone(&vm.address);
                let source = CandidateSource::VmList;
                self.candidates.entry(address).or_insert(source);
            }
        }
    }

    /// Adds addresses of the settings.
    pub(crate) fn add_seeds(&mut self, addresses: Vec<Arc<str>>) {
        for address in addresses {
            self.candidates.insert(address, CandidateSource::Settings);
        }
    }

    /// Some reachable nodes, by chance.
    pub(crate) fn targets(&self, count: usize, rng: &mut dyn rand::Rng) -> Vec<Arc<str>> {
        let reachable: Vec<_> = self
            .reachable()
            .filter_map(|(_, peer)| peer.address.clone())
            .collect();
        reachable.sample(rng, count).cloned().collect()
    }

    /// A few reachable nodes for other domains to write to, by chance.
    pub(crate) fn some_contacts(&self, rng: &mut dyn rand::Rng) -> Vec<Contact> {
        let contacts = self.reachable().filter_map(|(node, peer)| {
            Some(Contact {
                node: node.clone(),
                address: peer.address.clone()?,
            })
        });
        contacts.sample(rng, CONTACTS_NAMED)
    }

    /// The next address to try that is not heard: an unreachable node's, or a candidate's.
    pub(crate) fn probe(&mut self) -> Option<Arc<str>> {
        let unreachable = self.peers.values().filter_map(|peer| match peer.reach {
            Reach::Unreachable { .. } => peer.address.clone(),
            _ => None,
        });
        let silent: Vec<_> = unreachable.chain(self.candidates.keys().cloned()).collect();
        if silent.is_empty() {
            return None;
        }
        self.next_probe = (self.next_probe + 1) % silent.len();
        Some(Arc::clone(&silent[self.next_probe]))
    }

    /// The node that a keyed beat is about, if it is known and no other one has its key.
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

    /// Nodes that others may not know: their incarnation is new, or their key is taken twice.
    pub(crate) fn introductions(&self, now: Instant) -> Vec<PeerBeat> {
        let unknown = self.reachable().filter(|(node, peer)| {
            let is_new = now.duration_since(peer.known_since) < INTRODUCED_FOR;
            is_new || self.has_shared_key(node, peer)
        });
        unknown
            .take(INTRODUCTIONS)
            .map(|(node, peer)| peer.to_beat(node))
            .collect()
    }

    /// Beats of the nodes that were heard most recently: they are news to most others.
    pub(crate) fn freshest_beats(&self, count: usize, rng: &mut dyn rand::Rng) -> Vec<KeyedBeat> {
        let mut reachable: Vec<_> = self.reachable().collect();
        reachable.shuffle(rng);
        reachable.sort_by_key(|(_, peer)| std::cmp::Reverse(peer.heard_at));
        reachable.truncate(count);
        let own_keys = reachable
            .into_iter()
            .filter(|(node, peer)| !self.has_shared_key(node, peer));
        own_keys.map(|(node, peer)| peer.to_keyed(node)).collect()
    }

    /// Beats of all reachable nodes.
    pub(crate) fn roster(&self) -> Vec<PeerBeat> {
        let reachable = self.reachable();
        reachable.map(|(node, peer)| peer.to_beat(node)).collect()
    }

    fn has_shared_key(&self, node: &NodeId, peer: &Peer) -> bool {
        let key = BeatKey::new(node, peer.incarnation);
        self.keys.get(&key).is_none_or(Option::is_none)
    }

    fn index_keys(&mut self) {
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

    /// The nodes that may own engines.
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

    /// A number that rises with every change that may matter to [`Peers::live`], but for those that
    /// come with time alone.
    pub(crate) fn changes(&self) -> u64 {
        self.changes
    }

    /// The names of the reachable nodes.
    pub(crate) fn reachable_nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.reachable().map(|(node, _)| node)
    }

    /// The names of the unreachable nodes that were not given up.
    pub(crate) fn unreachable_nodes(&self) -> impl Iterator<Item = &NodeId> {
        let unreachable = |peer: &Peer| matches!(peer.reach, Reach::Unreachable { .. });
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

    /// A reachable node's address.
    pub(crate) fn address(&self, node: &NodeId) -> Option<Arc<str>> {
        self.peers.get(node).and_then(|peer| peer.address.clone())
    }

    fn reachable(&self) -> impl Iterator<Item = (&NodeId, &Peer)> {
        let peers = self.peers.iter();
        peers.filter(|(_, peer)| peer.reach == Reach::Reachable)
    }
}

/// A node of the own failure domain as the VM list shows it.
pub(crate) struct ListedPeer {
    pub(crate) address: Arc<str>,
    pub(crate) is_leaving: bool,
}

fn disconnect(address: Arc<str>) -> MembershipAction {
    MembershipAction::Disconnect { address }
}
