//! The generation in force on a node never decreases, whatever the store and peers send.

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
struct AcceptedText {
    head: Head,
    pieces: Vec<Piece>,
}

impl AcceptedText {
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

/// Accepted texts named `{branch}1`, `{branch}2` and so on, each following the one before.
fn text_history(branch: &str, from: Option<&AcceptedText>, count: usize) -> Vec<AcceptedText> {
    let mut written: Vec<AcceptedText> = Vec::new();
    for n in 1..=count {
        let name = format!("{branch}{n}");
        let before = written.last().or(from);
        let next = AcceptedText::after(before, &text(&name), &name);
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
    /// A node that watches the store and has one peer.
    fn watching() -> Self {
        let mut node = Self::not_watching();
        let live = LiveNodes {
            own_domain: vec![NodeId::from("peer")],
            elsewhere: Vec::new(),
        };
        node.deliver(SpreadEvent::LiveNodes(live));
        assert!(node.spread.is_watcher());
        node
    }

    fn not_watching() -> Self {
        Self {
            spread: Spread::new(NodeId::from("own"), SpreadSettings::default()),
            now: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(1),
        }
    }

    fn deliver(&mut self, event: SpreadEvent) -> Vec<SpreadAction> {
        self.spread.handle(event, self.now, &mut self.rng)
    }

    fn wait(&mut self, time: Duration) -> Vec<SpreadAction> {
        self.now += time;
        self.deliver(SpreadEvent::Tick)
    }

    fn receive_text(&mut self, written: &AcceptedText) -> Vec<SpreadAction> {
        let mut actions = self.deliver(written.in_store());
        for piece in &written.pieces {
            actions.extend(self.deliver(SpreadEvent::PieceArrived(Arc::clone(&piece.text))));
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

/// When the store is restored from an older copy, watches return an older head. If that took
/// effect, the operators' last changes would be undone on every node at once.
#[test]
fn an_older_head_in_the_store_is_reported_and_replaced_and_never_takes_effect() {
    let heads = text_history("a", None, 3);
    let mut node = Node::watching();
    node.receive_text(&heads[2]);
    let mut actions = node.deliver(heads[0].in_store());
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
    let actions = node.deliver(heads[2].in_store());
    assert!(matches!(
        reports(&actions)[..],
        [SpreadReport::StoreCaughtUp { .. }]
    ));
}

/// As above, with a fake store: two watchers restore the newer text at the same time.
#[tokio::test(start_paused = true)]
async fn watchers_restore_the_newer_text_with_all_its_pieces_after_the_store_was_reset() {
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
        node.receive_text(&AcceptedText {
            head: newer.stored.head.clone(),
            pieces,
        });
        let mut actions = node.deliver(SpreadEvent::StoreHead(older.clone()));
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

/// The store loses all its data. The nodes still serve, and write their text back.
#[test]
fn an_empty_store_gets_the_text_in_force() {
    let heads = text_history("a", None, 1);
    let mut node = Node::watching();
    node.receive_text(&heads[0]);
    node.deliver(SpreadEvent::StoreHead(None));
    let actions = node.wait(Duration::from_secs(1));
    assert!(
        actions
            .iter()
            .any(|a| matches!(a, SpreadAction::RestoreHead { found: None, .. }))
    );
}

/// After the store was restored from an older copy, a text is published before any node could
/// restore the newer head, so two texts have the same generation. A node that switched to the
/// second one would undo an accepted text.
#[test]
fn another_text_of_the_same_generation_is_reported_once_and_changes_nothing() {
    let common = text_history("a", None, 2);
    let ours = text_history("b", Some(&common[1]), 2);
    let theirs = text_history("c", Some(&common[1]), 2);
    let mut node = Node::watching();
    node.receive_text(&ours[1]);
    for seen in [&theirs[1], &theirs[1], &theirs[0]] {
        let mut actions = node.receive_text(seen);
        actions.extend(node.wait(Duration::from_secs(2)));
        let is_restore = |a: &SpreadAction| matches!(a, SpreadAction::RestoreHead { .. });
        assert!(
            !actions.iter().any(is_restore),
            "the other history is left to the operators"
        );
        assert_eq!(node.name_in_force().as_deref(), Some("b2"));
    }
    let actions = node.deliver(SpreadEvent::PeerSummary {
        peer: NodeId::from("peer"),
        generation: ours[1].head.generation,
        digest: Some(Digest::of("something else")),
    });
    assert!(matches!(
        reports(&actions)[..],
        [SpreadReport::Diverged { .. }]
    ));
}

/// A VM is replaced during an outage of the store. Its node must not stay without a text until the
/// store is back.
#[test]
fn a_node_started_during_a_store_outage_gets_the_text_from_a_peer() {
    let heads = text_history("a", None, 2);
    let mut peer = Node::watching();
    peer.receive_text(&heads[1]);
    let mut node = Node::watching();
    node.deliver(SpreadEvent::StoreDown);
    let asked = node.wait(Duration::from_millis(200));
    assert!(matches!(&asked[..], [SpreadAction::AskHead { peer }] if peer.as_str() == "peer"));
    let head = peer.spread.head().cloned().expect("in force");
    let actions = node.deliver(SpreadEvent::PeerHead {
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
        node.deliver(SpreadEvent::PieceArrived(piece));
    }
    assert_eq!(node.name_in_force().as_deref(), Some("a2"));
}

/// An operator uses a key of a newer release while nodes of an older one still run. These must keep
/// their text and take up the next one, without requesting the unreadable one forever.
#[test]
fn a_text_that_cannot_be_parsed_is_reported_and_skipped() {
    let first = AcceptedText::after(None, &text("a"), "a");
    let newer = OperatorsText::new("t.toml", format!("{}colour = 1\n", text("b").text));
    let second = AcceptedText::after(Some(&first), &newer, "b");
    let third = AcceptedText::after(Some(&second), &text("c"), "c");
    let mut node = Node::watching();
    node.receive_text(&first);
    let actions = node.receive_text(&second);
    assert!(matches!(
        reports(&actions)[..],
        [SpreadReport::Unreadable { .. }]
    ));
    node.deliver(SpreadEvent::PeerSummary {
        peer: NodeId::from("peer"),
        generation: second.head.generation,
        digest: None,
    });
    assert!(node.wait(Duration::from_secs(1)).is_empty(), "asks no more");
    assert_eq!(node.name_in_force().as_deref(), Some("a"));
    node.receive_text(&third);
    assert_eq!(node.name_in_force().as_deref(), Some("c"));
}

/// A new node learns of generation 3 from the store, which is restored from a copy of generation 1
/// before the pieces are read. No peer has the pieces, so the node must abandon the fetch and serve
/// generation 1.
#[test]
fn a_fetch_whose_pieces_are_gone_is_abandoned_for_the_text_in_the_store() {
    let heads = text_history("a", None, 3);
    let mut node = Node::watching();
    node.deliver(heads[2].in_store());
    node.receive_text(&heads[0]);
    assert_eq!(node.name_in_force(), None);
    let actions = node.wait(SpreadSettings::default().fetch_timeout);
    assert!(
        actions.iter().any(|a| matches!(a, SpreadAction::ReadHead)),
        "reads the head anew"
    );
    node.receive_text(&heads[0]);
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

fn event(step: &Step, texts: &[AcceptedText]) -> SpreadEvent {
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

    /// Heads of two histories arrive from the store and peers, late, repeatedly and in any order.
    #[test]
    fn no_order_of_messages_lowers_the_generation(
        steps in proptest::collection::vec(step(7), 1..120),
    ) {
        let mut texts = text_history("a", None, 4);
        texts.extend(text_history("b", Some(&texts[1].clone()), 3));
        let mut node = Node::watching();
        let mut seen: BTreeMap<Generation, Digest> = BTreeMap::new();
        for step in &steps {
            if let Step::Wait(millis) = step {
                node.now += Duration::from_millis(*millis);
            }
            for action in node.deliver(event(step, &texts)) {
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
        node.receive_text(&AcceptedText::after(texts.last(), &text("last"), "last"));
        prop_assert_eq!(node.name_in_force(), Some("last".to_owned()));
    }
}
