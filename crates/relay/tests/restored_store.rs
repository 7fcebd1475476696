//! Ownership of an engine while the store is restored from older copies several times in a row.

use std::time::Duration;

use nutmegsail_base::{StoreEra, StoreNumber};
use nutmegsail_relay::{
    EraWatch, OrderPermit, Ownership, OwnershipRules, Predecessor, TextVersion,
};
use proptest::prelude::*;

const NODES: usize = 3;

const RULES: OwnershipRules = OwnershipRules {
    hand_over: Duration::from_secs(3),
    confirmation: Duration::from_secs(4),
};

const TEXT: TextVersion = TextVersion {
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
struct StoreContents {
    revision: u64,
    owner: Option<Owner>,
    mark: Option<StoreEra>,
}

struct Store {
    contents: StoreContents,
    copy: StoreContents,
    era: u64,
}

impl Store {
    fn counting_from(era: u64, revision: u64) -> Self {
        let contents = StoreContents {
            revision,
            ..StoreContents::default()
        };
        Self {
            copy: contents.clone(),
            contents,
            era,
        }
    }

    fn number(&self, revision: u64) -> StoreNumber {
        StoreNumber::in_era(StoreEra(self.era), revision)
    }

    fn claim(&mut self, node: usize, waits_until: Duration) -> StoreNumber {
        self.contents.revision += 1;
        self.contents.owner = Some(Owner {
            node,
            revision: self.contents.revision,
            waits_until,
        });
        self.number(self.contents.revision)
    }

    fn restore(&mut self) {
        self.contents = self.copy.clone();
        self.era += 1;
    }
}

struct Node {
    watch: EraWatch,
    owned: Option<Ownership>,
    lost: Option<Ownership>,
    is_cut_off: bool,
}

impl Node {
    fn start() -> Self {
        Self {
            watch: EraWatch::new(RULES.wait(), false),
            owned: None,
            lost: None,
            is_cut_off: false,
        }
    }

    /// Reads the store, and confirms or claims the ownership.
    fn sync(&mut self, own_index: usize, store: &mut Store, now: Duration) {
        if self.is_cut_off {
            return;
        }
        let rise = self.watch.observe(Some(StoreEra(store.era)), now);
        if let Some(mut owned) = self.owned.take_if(|_| rise.is_some()) {
            owned.lose_claim(now);
            self.lost = Some(owned);
        }
        if let Some(mark) = store.contents.mark {
            self.watch.record_settled_era(mark);
        }
        self.watch.may_apply(TEXT, now);
        if let Some(mark) = self.watch.era_to_settle(false, now) {
            store.contents.mark = Some(mark);
        }
        match (store.contents.owner, &mut self.owned) {
            (Some(owner), Some(owned)) if store.number(owner.revision) == owned.claim() => {
                owned.confirm(now);
            }
            (Some(owner), _) if owner.node != own_index => (self.owned, self.lost) = (None, None),
            (owner, _) => self.claim(own_index, store, owner, now),
        }
    }

    fn claim(
        &mut self,
        own_index: usize,
        store: &mut Store,
        previous_owner: Option<Owner>,
        now: Duration,
    ) {
        let is_restarted = self.owned.is_none() && self.lost.is_none();
        let is_settled = self.watch.is_settled(now);
        let predecessor = match previous_owner.filter(|_| is_restarted && is_settled) {
            Some(Owner { waits_until, .. }) => Predecessor::Earlier {
                orders_end: waits_until,
            },
            None => Predecessor::Another,
        };
        let waits_until = match predecessor {
            Predecessor::Earlier { orders_end } => orders_end,
            _ => now + RULES.wait(),
        };
        let claim = store.claim(own_index, waits_until);
        let taken = match self.lost.take() {
            Some(lost) => lost.reclaimed(claim, RULES, now, now),
            None => Ownership::claimed(claim, predecessor, RULES, now, now),
        };
        self.owned = Some(taken);
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Sync(usize),
    CutOff(usize, bool),
    Restart(usize),
    Update(usize, usize),
    KeyDeleted,
    Copy,
    Restore,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        8 => (0..NODES).prop_map(Event::Sync),
        2 => (0..NODES, any::<bool>()).prop_map(|(node, is_cut_off)| Event::CutOff(node, is_cut_off)),
        1 => (0..NODES).prop_map(Event::Restart),
        1 => (0..NODES, 0..NODES).prop_map(|(from, to)| Event::Update(from, to)),
        2 => Just(Event::KeyDeleted),
        2 => Just(Event::Copy),
        2 => Just(Event::Restore),
    ]
}

fn apply(nodes: &mut [Node], store: &mut Store, event: Event, now: Duration) {
    match event {
        Event::Sync(node) => nodes[node].sync(node, store, now),
        Event::CutOff(node, is_cut_off) => nodes[node].is_cut_off = is_cut_off,
        Event::Restart(node) => nodes[node] = Node::start(),
        Event::Update(from, to) => {
            if let Some(told) = nodes[from].watch.update(TEXT, now) {
                nodes[to].watch.apply_update(told, now);
            }
        }
        Event::KeyDeleted => store.contents.owner = None,
        Event::Copy => store.copy = store.contents.clone(),
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
    fn orders_of_two_owners_stay_apart_when_the_store_is_restored(
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
            apply(&mut nodes, &mut store, event, now);
            for (index, node) in nodes.iter().enumerate() {
                let permit = node.owned.map(|owned| owned.permit(now));
                if let Some(OrderPermit::Granted { claim }) = permit {
                    let fence = claim.fencing_token().expect("it fits");
                    check(&orders, index, fence, now)?;
                    orders[index] = Some((now, fence));
                }
            }
        }
    }
}
