//! What goes wrong around a stream, in seconds from the moment at which it breaks off.

use rand::seq::SliceRandom as _;
use rand::{Rng, RngExt as _};

use super::Fleet;

/// How long a node is away when it is killed or restarted.
const AWAY_S: f64 = 1.0;

/// How long lists of nodes lag behind.
const LIST_LAG_S: f64 = 1.0;

/// How long it takes to restart all nodes in turn.
const IN_TURN_S: f64 = 9.0;

/// The share of the list that is outdated, one half gone and one half unlisted.
const OUTDATED_SHARE: f64 = 0.1;

/// From where the store can be reached while the first failure domain is cut off from the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreSide {
    Both,
    CutOff,
    Others,
    Neither,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    OneKilled,
    HalfKilled,
    AllKilled,
    InTurn,
    OutdatedList,
    /// The cut breaks the stream off, and its caller goes on at the other side.
    CutAfterBegin(StoreSide),
    /// The stream begins during the cut, its node is killed, and its caller stays at its side.
    CutBeforeBegin(StoreSide),
    /// The store is away since before the stream began. Its node is killed.
    StoreAwayBefore,
    /// The same, and half of the nodes are killed.
    StoreAwayBeforeHalf,
    /// The store goes away as half of the nodes are killed.
    StoreAwayAfterHalf,
}

pub(crate) const FAULTS: [(&str, Fault); 16] = [
    ("its node killed", Fault::OneKilled),
    ("half of the nodes killed", Fault::HalfKilled),
    ("all nodes killed", Fault::AllKilled),
    ("nodes restarted in turn", Fault::InTurn),
    ("a tenth of the list outdated", Fault::OutdatedList),
    (
        "cut after the begin, store at both sides",
        Fault::CutAfterBegin(StoreSide::Both),
    ),
    (
        "cut after the begin, store at the domain's side",
        Fault::CutAfterBegin(StoreSide::CutOff),
    ),
    (
        "cut after the begin, store at the others' side",
        Fault::CutAfterBegin(StoreSide::Others),
    ),
    (
        "cut after the begin, store at neither side",
        Fault::CutAfterBegin(StoreSide::Neither),
    ),
    (
        "cut before the begin, store at both sides",
        Fault::CutBeforeBegin(StoreSide::Both),
    ),
    (
        "cut before the begin, store at the domain's side",
        Fault::CutBeforeBegin(StoreSide::CutOff),
    ),
    (
        "cut before the begin, store at the others' side",
        Fault::CutBeforeBegin(StoreSide::Others),
    ),
    (
        "cut before the begin, store at neither side",
        Fault::CutBeforeBegin(StoreSide::Neither),
    ),
    (
        "its node killed, store away from before the begin",
        Fault::StoreAwayBefore,
    ),
    (
        "half killed, store away from before the begin",
        Fault::StoreAwayBeforeHalf,
    ),
    (
        "half killed, store away from then on",
        Fault::StoreAwayAfterHalf,
    ),
];

/// When a node is away, from its end until it serves again.
#[derive(Clone, Copy, Debug)]
struct Absence {
    from_s: f64,
    until_s: f64,
}

fn away(from_s: f64, until_s: f64) -> Option<Absence> {
    Some(Absence { from_s, until_s })
}

/// The state of a fleet over time.
pub(super) struct World {
    fault: Fault,
    absences: Vec<Option<Absence>>,
    /// Nodes that started lately, which the list where the stream began lacks.
    unlisted: Vec<bool>,
}

impl World {
    pub(super) fn new(fleet: &Fleet, fault: Fault, began_at: usize, random: &mut impl Rng) -> Self {
        let count = fleet.nodes.len();
        let mut world = Self {
            fault,
            absences: vec![None; count],
            unlisted: vec![false; count],
        };
        match fault {
            Fault::CutAfterBegin(_)
            | Fault::CutBeforeBegin(_)
            | Fault::OneKilled
            | Fault::StoreAwayBefore => {}
            Fault::HalfKilled | Fault::StoreAwayBeforeHalf | Fault::StoreAwayAfterHalf => {
                let killed = (0..count).filter(|_| random.random_bool(0.5));
                for node in killed {
                    world.absences[node] = away(0.0, AWAY_S);
                }
            }
            Fault::AllKilled => {
                for absence in &mut world.absences {
                    *absence = away(0.0, AWAY_S + random.random_range(0.0..1.0));
                }
            }
            Fault::InTurn => world.restart_in_turn(began_at, random),
            Fault::OutdatedList => world.outdate_list(began_at, random),
        }
        let is_set = matches!(
            fault,
            Fault::CutAfterBegin(_) | Fault::InTurn | Fault::AllKilled
        );
        if !is_set {
            world.absences[began_at] = away(0.0, AWAY_S);
        }
        world
    }

    fn restart_in_turn(&mut self, began_at: usize, random: &mut impl Rng) {
        let count = self.absences.len();
        let mut order: Vec<usize> = (0..count).collect();
        order.shuffle(random);
        let own_place = order.iter().position(|node| *node == began_at);
        for (place, node) in order.into_iter().enumerate() {
            let places = place as f64 - own_place.unwrap_or(0) as f64;
            let from_s = places * IN_TURN_S / count as f64;
            self.absences[node] = away(from_s, from_s + AWAY_S);
        }
    }

    fn outdate_list(&mut self, began_at: usize, random: &mut impl Rng) {
        for node in 0..self.absences.len() {
            let is_gone = random.random_bool(OUTDATED_SHARE / 2.0);
            if is_gone {
                self.absences[node] = away(f64::NEG_INFINITY, f64::INFINITY);
            }
            let is_new = !is_gone && random.random_bool(OUTDATED_SHARE / 2.0);
            self.unlisted[node] = is_new && node != began_at;
        }
    }

    pub(super) fn is_alive(&self, node: usize, at_s: f64) -> bool {
        self.absences[node].is_none_or(|away| at_s < away.from_s || at_s >= away.until_s)
    }

    /// When a node that is away serves again.
    pub(super) fn back_s(&self, node: usize) -> f64 {
        self.absences[node].map_or(f64::NEG_INFINITY, |away| away.until_s)
    }

    /// Whether a node's process ran all the while.
    pub(super) fn runs_through(&self, node: usize, from_s: f64, until_s: f64) -> bool {
        self.absences[node].is_none_or(|away| until_s < away.from_s || from_s >= away.until_s)
    }

    /// Whether lists have a node.
    pub(super) fn is_listed(&self, node: usize, at_s: f64) -> bool {
        if self.fault == Fault::OutdatedList && at_s < 0.0 {
            return !self.unlisted[node];
        }
        self.is_alive(node, at_s - LIST_LAG_S) || at_s < 0.0 && self.fault != Fault::InTurn
    }

    fn is_cut_at(&self, at_s: f64) -> bool {
        match self.fault {
            Fault::CutAfterBegin(_) => at_s >= 0.0,
            Fault::CutBeforeBegin(_) => true,
            _ => false,
        }
    }

    /// Whether a message passes between two failure domains.
    pub(super) fn passes(&self, from: usize, to: usize, at_s: f64) -> bool {
        !self.is_cut_at(at_s) || (from == 0) == (to == 0)
    }

    /// Whether the store can be reached from a failure domain.
    pub(super) fn reaches_store(&self, domain: usize, at_s: f64) -> bool {
        match self.fault {
            Fault::StoreAwayBefore | Fault::StoreAwayBeforeHalf => false,
            Fault::StoreAwayAfterHalf => at_s < 0.0,
            Fault::CutAfterBegin(side) | Fault::CutBeforeBegin(side) => {
                let is_reached = match side {
                    StoreSide::Both => true,
                    StoreSide::CutOff => domain == 0,
                    StoreSide::Others => domain != 0,
                    StoreSide::Neither => false,
                };
                is_reached || !self.is_cut_at(at_s)
            }
            _ => true,
        }
    }
}
