//! Ownership of an engine while the store is restored from older copies several times in a row.

use std::time::Duration;

use nutmegsail_base::{StoreEra, StoreNumber};
use nutmegsail_relay::{EraWatch, OrderPermit, Ownership, OwnershipRules, Predecessor, TextKnown};
use proptest::prelude::*;

const NODES: usize = 3;

const RULES: OwnershipRules = OwnershipRules {
    hand_over: Duration::from_secs(3),
    confirmation: Duration::from_secs(4),
};

const TEXT: TextKnown = TextKnown {
    configuration: 1,
    versions: 0,
};

/// Value of the engine's ownership key.
#[derive(Clone, Copy)]
struct Owner {
    node: usize,
    revision: u64,
    /// When its wait for the previous owner ends.
    waits_until: Duration,
}

/// Contents of the store: the ownership key and the era mark.
#[derive(Clone, Default)]
struct Kept {
    revision: u64,
    owner: Option<Owner>,
    mark: Option<StoreEra>,
}

struct Store {
    kept: Kept,
    copy: Kept,
    era: u64,
}

impl Store {
    fn counting_from(era: u64, revision: u64) -> Self {
        let kept = Kept {
            revision,
            ..Kept::default()
        };
        Self {
            copy: kept.clone(),
            kept,
            era,
        }
    }

    fn number(&self, revision: u64) -> StoreNumber {
        StoreNumber::of(StoreEra(self.era), revision)
    }

    fn claim(&mut self, node: usize, waits_until: Duration) -> StoreNumber {
        self.kept.revision += 1;
        self.kept.owner = Some(Owner {
            node,
            revision: self.kept.revision,
            waits_until,
        });
        self.number(self.kept.revision)
    }

    fn restore(&mut self) {
        self.kept = self.copy.clone();
        self.era += 1;
    }
}

struct Node {
    watch: EraWatch,
    owned: Option<Ownership>,
    lapsed: Option<Ownership>,
    is_cut: bool,
}

impl Node {
    fn start() -> Self {
        Self {
            watch: EraWatch::new(RULES.wait(), false),
            owned: None,
            lapsed: None,
            is_cut: false,
        }
    }

    /// Reads the store, and confirms or claims the ownership.
    fn touch(&mut self, me: usize, store: &mut Store, now: Duration) {
        if self.is_cut {
            return;
        }
        let rise = self.watch.see(Some(StoreEra(store.era)), now);
        if let Some(mut owned) = self.owned.take_if(|_| rise.is_some()) {
            owned.lapse(now);
            self.lapsed = Some(owned);
        }
        if let Some(mark) = store.kept.mark {
            self.watch.take_mark(mark);
        }
        self.watch.goes_by(TEXT, now);
        if let Some(mark) = self.watch.mark_due(false, now) {
            store.kept.mark = Some(mark);
        }
        match (store.kept.owner, &mut self.owned) {
            (Some(owner), Some(owned)) if store.number(owner.revision) == owned.claim() => {
                owned.confirm(now);
            }
            (Some(owner), _) if owner.node != me => (self.owned, self.lapsed) = (None, None),
            (owner, _) => self.claim(me, store, owner, now),
        }
    }

    fn claim(&mut self, me: usize, store: &mut Store, own_before: Option<Owner>, now: Duration) {
        let is_restarted = self.owned.is_none() && self.lapsed.is_none();
        let is_settled = self.watch.is_settled(now);
        let predecessor = match own_before.filter(|_| is_restarted && is_settled) {
            Some(Owner { waits_until, .. }) => Predecessor::Own { waits_until },
            None => Predecessor::Another,
        };
        let waits_until = match predecessor {
            Predecessor::Own { waits_until } => waits_until,
            _ => now + RULES.wait(),
        };
        let claim = store.claim(me, waits_until);
        let taken = match self.lapsed.take() {
            Some(lapsed) => lapsed.retaken(claim, RULES, now, now),
            None => Ownership::taken(claim, predecessor, RULES, now, now),
        };
        self.owned = Some(taken);
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Touch(usize),
    Cut(usize, bool),
    Restart(usize),
    Word(usize, usize),
    KeyTaken,
    Copy,
    Restore,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..NODES).prop_map(Event::Touch),
        2 => (0..NODES, any::<bool>()).prop_map(|(node, is_cut)| Event::Cut(node, is_cut)),
        1 => (0..NODES).prop_map(Event::Restart),
        1 => (0..NODES, 0..NODES).prop_map(|(from, to)| Event::Word(from, to)),
        2 => Just(Event::KeyTaken),
        2 => Just(Event::Copy),
        2 => Just(Event::Restore),
    ]
}

fn play(nodes: &mut [Node], store: &mut Store, event: Event, now: Duration) {
    match event {
        Event::Touch(node) => nodes[node].touch(node, store, now),
        Event::Cut(node, is_cut) => nodes[node].is_cut = is_cut,
        Event::Restart(node) => nodes[node] = Node::start(),
        Event::Word(from, to) => {
            if let Some(told) = nodes[from].watch.told(TEXT, now) {
                nodes[to].watch.take_told(told, now);
            }
        }
        Event::KeyTaken => store.kept.owner = None,
        Event::Copy => store.copy = store.kept.clone(),
        Event::Restore => store.restore(),
    }
}

/// Each node's last order: its time and its fence.
type Orders = [Option<(Duration, u64)>; NODES];

fn check(orders: &Orders, node: usize, fence: u64, now: Duration) -> Result<(), TestCaseError> {
    for (other, order) in orders
        .iter()
        .enumerate()
        .filter(|(other, _)| *other != node)
    {
        let Some((at, other_fence)) = *order else {
            continue;
        };
        prop_assert!(
            now >= at + RULES.hand_over,
            "{other} at {at:?}, {node} at {now:?}"
        );
        prop_assert!(
            other_fence < fence,
            "{other} with {other_fence}, {node} with {fence}"
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 3_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(30),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against concurrent orders of two owners, whatever the store loses and whichever nodes
    // are cut off.
    #[test]
    fn orders_of_two_owners_are_apart_whatever_the_store_forgets(
        events in prop::collection::vec((event(), 0u64..1_500), 1..120),
        first_era in prop_oneof![Just(1), Just(4_094), 0u64..1 << 40],
        first_revision in prop_oneof![Just(0), Just((1 << 40) - 3), 0u64..1 << 62],
    ) {
        let mut nodes: Vec<Node> = (0..NODES).map(|_| Node::start()).collect();
        let mut store = Store::counting_from(first_era, first_revision);
        let mut orders = Orders::default();
        let mut now = Duration::from_secs(100);
        for (event, pause_ms) in events {
            now += Duration::from_millis(pause_ms);
            play(&mut nodes, &mut store, event, now);
            for (place, node) in nodes.iter().enumerate() {
                let permit = node.owned.map(|owned| owned.permit(now));
                if let Some(OrderPermit::Granted { claim }) = permit {
                    let fence = claim.fence().expect("it fits");
                    check(&orders, place, fence, now)?;
                    orders[place] = Some((now, fence));
                }
            }
        }
    }
}
