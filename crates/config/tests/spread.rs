//! The generation in force on a node never falls, whatever the store and peers say.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::NodeId;
use nutmegsail_config::{
    Digest, Generation, Head, LiveNodes, OperatorsText, Piece, Publisher, Spread, SpreadAction,
    SpreadEvent, SpreadReport, SpreadSettings, StoredHead, TextSource, TextStore, WriterId, split,
};
use nutmegsail_fakes::FakeKeyValue;
use nutmegsail_store::Revision;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn text(name: &str) -> OperatorsText {
    let text = format!(
        "deployment = {{ name = \"{name}\", failure_domains = [\"hall\"] }}\n\
         services.desk = {{ kind = \"plain\", deadline_ms = 900, upstreams.hall = [\"10.0.0.1:1\"] }}\n"
    );
    OperatorsText::new("t.toml", text)
}

/// An accepted text: its head and pieces.
#[derive(Clone, Debug)]
struct Written {
    head: Head,
    pieces: Vec<Piece>,
}

impl Written {
    fn after(before: Option<&Self>, text: &OperatorsText, writer: &str) -> Self {
        let pieces = split(text);
        let writer = WriterId::from(writer);
        let before = before.map(|before| &before.head);
        let head = Head::following(before, Generation(0), text, &pieces, &writer);
        Self { head, pieces }
    }

    fn in_store(&self) -> SpreadEvent {
        let head = self.head.clone();
        let revision = Revision::without_era(head.generation.0);
        SpreadEvent::StoreHead(Some(StoredHead { head, revision }))
    }
}

/// Texts named `{branch}1`, `{branch}2` and so on, each following the one before.
fn lineage(branch: &str, from: Option<&Written>, count: usize) -> Vec<Written> {
    let mut written: Vec<Written> = Vec::new();
    for n in 1..=count {
        let name = format!("{branch}{n}");
        let before = written.last().or(from);
        let next = Written::after(before, &text(&name), &name);
        written.push(next);
    }
    written
}

/// One node under test.
struct Node {
    spread: Spread,
    now: Instant,
    rng: ChaCha8Rng,
}

impl Node {
    /// A node that watches the store.
    fn watching() -> Self {
        let mut node = Self::alone();
        let live = LiveNodes {
            own_domain: vec![NodeId::from("peer")],
            elsewhere: Vec::new(),
        };
        node.give(SpreadEvent::LiveNodes(live));
        assert!(node.spread.is_watcher());
        node
    }

    fn alone() -> Self {
        Self {
            spread: Spread::new(NodeId::from("own"), SpreadSettings::default()),
            now: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    fn give(&mut self, event: SpreadEvent) -> Vec<SpreadAction> {
        self.spread.handle(event, self.now, &mut self.rng)
    }

    fn wait(&mut self, time: Duration) -> Vec<SpreadAction> {
        self.now += time;
        self.give(SpreadEvent::Tick)
    }

    fn take(&mut self, written: &Written) -> Vec<SpreadAction> {
        let mut actions = self.give(written.in_store());
        for piece in &written.pieces {
            actions.extend(self.give(SpreadEvent::PieceArrived(Arc::clone(&piece.text))));
        }
        actions
    }

    fn name_in_force(&self) -> Option<String> {
        self.spread
            .in_force()
            .map(|text| text.deployment.name.clone())
    }
}

fn reports<'a>(actions: &'a [SpreadAction]) -> Vec<&'a SpreadReport> {
    let report = |action: &'a SpreadAction| match action {
        SpreadAction::Report(report) => Some(report),
        _ => None,
    };
    actions.iter().filter_map(report).collect()
}

/// The platform restores the store from a copy of an hour ago. Its watches then show an older head.
/// Operators would see their last changes undone on every node at once.
#[test]
fn an_older_head_in_the_store_is_reported_and_put_back_and_never_takes_effect() {
    let heads = lineage("a", None, 3);
    let mut node = Node::watching();
    node.take(&heads[2]);
    let mut actions = node.give(heads[0].in_store());
    actions.extend(node.wait(Duration::from_secs(1)));
    assert_eq!(node.name_in_force().as_deref(), Some("a3"));
    assert_eq!(reports(&actions).len(), 1);
    let restored = actions.iter().find_map(|action| match action {
        SpreadAction::RestoreHead {
            found,
            head,
            pieces,
        } => Some((found, head, pieces)),
        _ => None,
    });
    let (found, head, pieces) = restored.expect("put back");
    assert_eq!(
        found.as_ref().map(|found| &found.head),
        Some(&heads[0].head)
    );
    assert_eq!((head, pieces), (&heads[2].head, &heads[2].pieces));
    let actions = node.give(heads[2].in_store());
    assert!(matches!(
        reports(&actions)[..],
        [SpreadReport::StoreCaughtUp { .. }]
    ));
}

/// As above, with the store itself: two watchers put the newer text back at the same time.
#[tokio::test(start_paused = true)]
async fn a_restored_store_holds_the_newer_text_again_with_all_its_pieces() {
    let store = Arc::new(FakeKeyValue::default());
    let publisher = Publisher::new(store.clone());
    publisher
        .publish(&text("a"), None, WriterId::from("a"))
        .await
        .expect("accepted");
    store.take_copy();
    let base = Some(Generation(1));
    publisher
        .publish(&text("b"), base, WriterId::from("b"))
        .await
        .expect("accepted");
    let texts = TextStore::new(store.clone());
    let newer = texts.fetch().await.expect("read").expect("there");
    store.restore_copy();
    let mut results = Vec::new();
    let older = texts.read_head().await.expect("read");
    for _ in 0..2 {
        let mut node = Node::watching();
        let pieces = split(&newer.text);
        node.take(&Written {
            head: newer.stored.head.clone(),
            pieces,
        });
        let mut actions = node.give(SpreadEvent::StoreHead(older.clone()));
        actions.extend(node.wait(Duration::from_secs(1)));
        for action in actions {
            if let SpreadAction::RestoreHead {
                found,
                head,
                pieces,
            } = action
            {
                results.push(texts.put_head(found.as_ref(), &head, &pieces).await.is_ok());
            }
        }
    }
    assert_eq!(
        results,
        [true, false],
        "the second swap meets the first one's head"
    );
    let fetched = texts.fetch().await.expect("read").expect("there");
    assert_eq!(
        (fetched.in_force.generation, fetched.text),
        (Generation(2), text("b"))
    );
}

/// The store is emptied altogether. The nodes still serve, and put their text back.
#[test]
fn an_empty_store_gets_the_text_in_force() {
    let heads = lineage("a", None, 1);
    let mut node = Node::watching();
    node.take(&heads[0]);
    node.give(SpreadEvent::StoreHead(None));
    let actions = node.wait(Duration::from_secs(1));
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, SpreadAction::RestoreHead { found: None, .. }))
    );
}

/// A restored store is published to before any node could put the newer head back. Two texts then
/// bear one generation. If nodes took the second one, some would revert an accepted text.
#[test]
fn another_text_of_the_same_generation_is_reported_once_and_changes_nothing() {
    let common = lineage("a", None, 2);
    let ours = lineage("b", Some(&common[1]), 2);
    let theirs = lineage("c", Some(&common[1]), 2);
    let mut node = Node::watching();
    node.take(&ours[1]);
    for seen in [&theirs[1], &theirs[1], &theirs[0]] {
        let mut actions = node.take(seen);
        actions.extend(node.wait(Duration::from_secs(2)));
        let is_restore = |a: &SpreadAction| matches!(a, SpreadAction::RestoreHead { .. });
        assert!(
            !actions.iter().any(is_restore),
            "the other history is left to the operators"
        );
        assert_eq!(node.name_in_force().as_deref(), Some("b2"));
    }
    let actions = node.give(SpreadEvent::PeerSummary {
        peer: NodeId::from("peer"),
        generation: ours[1].head.generation,
        digest: Some(Digest::of("something else")),
    });
    assert!(matches!(
        reports(&actions)[..],
        [SpreadReport::Diverged { .. }]
    ));
}

/// A VM is replaced while the store is out. It must not stay without a text until the store returns.
#[test]
fn a_node_started_while_the_store_is_out_gets_the_text_from_a_peer() {
    let heads = lineage("a", None, 2);
    let mut peer = Node::watching();
    peer.take(&heads[1]);
    let mut node = Node::watching();
    node.give(SpreadEvent::StoreDown);
    let asked = node.wait(Duration::from_millis(200));
    assert!(matches!(&asked[..], [SpreadAction::AskHead { peer }] if peer.as_str() == "peer"));
    let head = peer.spread.head().cloned().expect("in force");
    let actions = node.give(SpreadEvent::PeerHead {
        peer: NodeId::from("peer"),
        head,
    });
    let [
        SpreadAction::FetchPieces {
            from: TextSource::Peer(_),
            digests,
        },
    ] = &actions[..]
    else {
        panic!("asks the peer for pieces: {actions:?}");
    };
    for piece in peer.spread.pieces(digests) {
        node.give(SpreadEvent::PieceArrived(piece));
    }
    assert_eq!(node.name_in_force().as_deref(), Some("a2"));
}

/// An operator uses a key of a newer release while old nodes still run. They must keep their text
/// and go on to the next one, without asking for this one for ever.
#[test]
fn a_text_that_cannot_be_read_here_is_reported_and_passed_over() {
    let first = Written::after(None, &text("a"), "a");
    let newer = OperatorsText::new("t.toml", format!("{}colour = 1\n", text("b").text));
    let second = Written::after(Some(&first), &newer, "b");
    let third = Written::after(Some(&second), &text("c"), "c");
    let mut node = Node::watching();
    node.take(&first);
    let actions = node.take(&second);
    assert!(matches!(
        reports(&actions)[..],
        [SpreadReport::Unreadable { .. }]
    ));
    node.give(SpreadEvent::PeerSummary {
        peer: NodeId::from("peer"),
        generation: second.head.generation,
        digest: None,
    });
    assert!(node.wait(Duration::from_secs(1)).is_empty(), "asks no more");
    assert_eq!(node.name_in_force().as_deref(), Some("a"));
    node.take(&third);
    assert_eq!(node.name_in_force().as_deref(), Some("c"));
}

/// A new node learns of generation 3 from the store, which is then restored from a copy of
/// generation 1 before the pieces were read. No peer has them. It must serve generation 1.
#[test]
fn a_text_whose_pieces_are_gone_is_given_up_for_what_the_store_holds() {
    let heads = lineage("a", None, 3);
    let mut node = Node::watching();
    node.give(heads[2].in_store());
    node.take(&heads[0]);
    assert_eq!(node.name_in_force(), None);
    let actions = node.wait(SpreadSettings::default().give_up_after);
    assert!(
        actions.iter().any(|a| matches!(a, SpreadAction::ReadHead)),
        "reads the head anew"
    );
    node.take(&heads[0]);
    assert_eq!(node.name_in_force().as_deref(), Some("a1"));
}

#[derive(Clone, Debug)]
enum Step {
    Store(Option<usize>),
    Peer(usize),
    Summary(usize, bool),
    Piece(usize),
    Alone(bool),
    StoreIsUp(bool),
    Wait(u64),
}

fn step(texts: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => proptest::option::weighted(0.95, 0..texts).prop_map(Step::Store),
        3 => (0..texts).prop_map(Step::Peer),
        2 => (0..texts, any::<bool>()).prop_map(|(n, has_digest)| Step::Summary(n, has_digest)),
        6 => (0..texts).prop_map(Step::Piece),
        1 => any::<bool>().prop_map(Step::Alone),
        1 => any::<bool>().prop_map(Step::StoreIsUp),
        2 => (0u64..1_500).prop_map(Step::Wait),
    ]
}

fn event(step: &Step, texts: &[Written]) -> SpreadEvent {
    let peer = NodeId::from("peer");
    match step {
        Step::Store(None) => SpreadEvent::StoreHead(None),
        Step::Store(Some(n)) => texts[*n].in_store(),
        Step::Peer(n) => SpreadEvent::PeerHead {
            peer,
            head: texts[*n].head.clone(),
        },
        Step::Summary(n, has_digest) => SpreadEvent::PeerSummary {
            peer,
            generation: texts[*n].head.generation,
            digest: has_digest.then(|| texts[*n].head.digest.clone()),
        },
        Step::Piece(n) => SpreadEvent::PieceArrived(Arc::clone(&texts[*n].pieces[0].text)),
        Step::Alone(is_alone) => {
            let own_domain = if *is_alone { Vec::new() } else { vec![peer] };
            SpreadEvent::LiveNodes(LiveNodes {
                own_domain,
                elsewhere: Vec::new(),
            })
        }
        Step::StoreIsUp(true) => SpreadEvent::StoreUp,
        Step::StoreIsUp(false) => SpreadEvent::StoreDown,
        Step::Wait(_) => SpreadEvent::Tick,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Heads of two histories, from the store and peers, late, twice and in any order.
    #[test]
    fn no_order_of_messages_makes_the_generation_fall(
        steps in proptest::collection::vec(step(7), 1..120),
    ) {
        let mut texts = lineage("a", None, 4);
        texts.extend(lineage("b", Some(&texts[1].clone()), 3));
        let mut node = Node::watching();
        let mut seen: BTreeMap<Generation, Digest> = BTreeMap::new();
        for step in &steps {
            if let Step::Wait(millis) = step {
                node.now += Duration::from_millis(*millis);
            }
            for action in node.give(event(step, &texts)) {
                match action {
                    SpreadAction::PutInForce(text) => {
                        let last = seen.last_key_value();
                        prop_assert!(last.is_none_or(|(last, _)| *last < text.generation));
                        let source = texts.iter().find(|t| t.head.digest == text.digest);
                        let source = source.expect("an accepted text");
                        prop_assert_eq!(source.head.generation, text.generation);
                        seen.insert(text.generation, text.digest);
                    }
                    SpreadAction::RestoreHead { found, head, .. } => {
                        prop_assert!(found.is_none_or(|found| found.head.generation < head.generation));
                        let current = seen.last_key_value().expect("something is in force");
                        prop_assert_eq!(current, (&head.generation, &head.digest));
                    }
                    _ => {}
                }
            }
        }
        node.take(&Written::after(texts.last(), &text("last"), "last"));
        prop_assert_eq!(node.name_in_force(), Some("last".to_owned()));
    }
}
