//! Calls that run at most once, over real sockets: callers, nodes, stand-ins.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use http::Method;
use nutmegsail_fakes::Knobs;
use nutmegsail_node::Node;
use rstest::rstest;
use support::closing_desk::{Closing, ClosingDesk};
use support::{World, send, text_of};
use uuid::{NoContext, Timestamp, Uuid};

const BOOKING: &str = r#"{"room":4}"#;

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Got {
    status: u16,
    text: String,
}

impl Got {
    fn is(&self, code: &str, run_state: &str) -> bool {
        let run_state = format!(r#""run_state":"{run_state}""#);
        self.text.contains(&format!(r#""{code}""#)) && self.text.contains(&run_state)
    }
}

async fn confirm(to: SocketAddr, key: &str, body: &str) -> Got {
    let header = [("idempotency-key", key)];
    let headers = if key.is_empty() { &[][..] } else { &header };
    let answer = send(to, Method::POST, "/svc/desk/bookings", headers, body).await;
    Got {
        status: answer.status().as_u16(),
        text: text_of(&answer),
    }
}

/// Sends the call again until the answer is as wanted.
async fn confirm_until(to: SocketAddr, key: &str, wanted: impl Fn(&Got) -> bool) -> Got {
    loop {
        let got = confirm(to, key, BOOKING).await;
        if wanted(&got) {
            return got;
        }
        tokio::task::yield_now().await;
    }
}

async fn ticket(node: &Node) -> String {
    let to = node.callers_address();
    let answer = send(to, Method::POST, "/v1/tickets", &[], "").await;
    assert_eq!(answer.status(), 201);
    let body: serde_json::Value = serde_json::from_slice(answer.body()).expect("JSON");
    body["idempotency_key"].as_str().expect("a key").to_owned()
}

fn new_key() -> String {
    Uuid::now_v7().to_string()
}

fn key_issued_at(wall: SystemTime) -> String {
    let since = wall.duration_since(SystemTime::UNIX_EPOCH).expect("later");
    Uuid::new_v7(Timestamp::from_unix(
        NoContext,
        since.as_secs(),
        since.subsec_nanos(),
    ))
    .to_string()
}

fn runs(world: &World, key: &str) -> u32 {
    world.runs_at_all_desks(key)
}

fn store_out() -> Knobs {
    Knobs {
        outage: true,
        ..Knobs::default()
    }
}

/// Publishes a text in which `desk` takes the place of the stand-ins.
async fn publish_desk(world: &World, desk: &ClosingDesk) {
    let text = world.text();
    let stand_ins: Vec<_> = world
        .desks()
        .iter()
        .map(|desk| desk.id().to_string())
        .collect();
    let listed = format!(r#"upstreams.hall-a = ["{}"]"#, desk.address);
    let text = text
        .replace(&format!(r#"["{}", "{}"]"#, stand_ins[0], stand_ins[1]), "X")
        .replace(&format!(r#"["{}", "{}"]"#, stand_ins[1], stand_ins[0]), "X")
        .replace("upstreams.hall-a = X", &listed);
    world.publish(&text).await;
}

/// A guest's booking is confirmed at the desk service, and the connection breaks before the answer
/// comes back. The clerk is told that nobody can say whether it ran, and presses the button again.
/// The cause is the upstream's restart after the work; a second run would block two therapists.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_whose_answer_was_lost_may_have_run_and_never_runs_again() {
    let world = World::start().await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let (to, key) = (node.callers_address(), new_key());
    let loses_answers = Knobs {
        lost_answer_share: 1.0,
        ..Knobs::default()
    };
    world.set_desks(&loses_answers);
    let first = confirm(to, &key, BOOKING).await;
    assert!(first.text.contains("may_have_run"), "{first:?}");
    world.set_desks(&Knobs::default());
    for _ in 0..3 {
        let repeat = confirm(to, &key, BOOKING).await;
        assert!(repeat.is("NS4007", "may_have_run"), "{repeat:?}");
    }
    assert_eq!(runs(&world, &key), 1);
    node.shutdown().await;
}

/// Both desks refuse as full, so the clerk is told "not run". Once they take work again, the clerk
/// sends the same booking with the same key, and it runs once.
/// The cause is an overload; a claim that is kept for a call that did not run would lose the booking.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_every_upstream_refused_did_not_run_and_its_key_runs_later() {
    let world = World::start().await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let (to, key) = (node.callers_address(), new_key());
    let full = Knobs {
        full: true,
        ..Knobs::default()
    };
    world.set_desks(&full);
    let refused = confirm(to, &key, BOOKING).await;
    assert!(
        refused.text.contains(r#""run_state":"not_run""#),
        "{refused:?}"
    );
    assert_eq!(runs(&world, &key), 0);
    world.set_desks(&Knobs::default());
    let ran = confirm_until(to, &key, |got| got.status == 200).await;
    assert!(ran.text.contains("/bookings"), "{ran:?}");
    assert_eq!(runs(&world, &key), 1);
    node.shutdown().await;
}

/// One desk of two is full. The booking is sent there first, refused, and runs at the other desk.
/// The claims must take the second dispatch for what it is: the first desk certainly did not run it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_that_one_upstream_refused_runs_at_the_other() {
    let world = World::start().await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let full = Knobs {
        full: true,
        ..Knobs::default()
    };
    world.desks()[0].set_knobs(full);
    for _ in 0..8 {
        let key = new_key();
        let got = confirm(node.callers_address(), &key, BOOKING).await;
        assert_eq!(got.status, 200, "{got:?}");
        assert_eq!(runs(&world, &key), 1);
    }
    node.shutdown().await;
}

/// The key-value service takes a claim's write and its answer is lost. The clerk waits a little
/// longer and gets the confirmation. The node reads the claim back before it does anything else; a
/// node that wrote again, or gave up, would run the call twice or refuse it for ever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_answer_of_the_claims_write_costs_neither_the_call_nor_a_second_run() {
    let world = World::start().await;
    let node = world.node("node-1", "hall-a", &[]).await;
    world.stand_ins.state.key_value.set_knobs(Knobs {
        lost_answer_share: 0.5,
        ..Knobs::default()
    });
    let mut ran = 0;
    for _ in 0..20 {
        let key = new_key();
        let got = confirm(node.callers_address(), &key, BOOKING).await;
        let count = runs(&world, &key);
        assert!(count <= 1, "{got:?}");
        if got.status == 200 {
            assert_eq!(count, 1, "{got:?}");
            ran += 1;
        } else {
            assert!(got.is("NS4008", "not_run"), "{got:?}");
            assert_eq!(count, 0, "{got:?}");
        }
    }
    assert!(ran > 0, "some calls ran");
    world.stand_ins.state.key_value.set_knobs(Knobs::default());
    node.shutdown().await;
}

/// The key-value service is out. A booking with a key of the caller's own is refused and did not
/// run. With a ticket it runs, and its repeat through another node of the same failure domain is
/// handed to the node that gave the ticket and gets the same answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn with_the_store_out_only_a_ticket_runs_and_its_repeat_elsewhere_gets_the_same_answer() {
    let world = World::start().await;
    let first = world.node("node-1", "hall-a", &[]).await;
    let second = world.node("node-2", "hall-a", &[&first]).await;
    let to = first.callers_address();
    world.stand_ins.state.key_value.set_knobs(store_out());
    let key = new_key();
    let refused = confirm(to, &key, BOOKING).await;
    assert!(refused.is("NS4008", "not_run"), "{refused:?}");
    assert_eq!(runs(&world, &key), 0);

    let key = ticket(&first).await;
    let answer = confirm(to, &key, BOOKING).await;
    assert_eq!(answer.status, 200, "{answer:?}");
    let to = second.callers_address();
    let is_known = |got: &Got| got.status == 200;
    let repeat = confirm_until(to, &key, is_known).await;
    assert_eq!(repeat, answer);
    assert_eq!(runs(&world, &key), 1);

    let key = ticket(&first).await;
    let handed_over = confirm_until(to, &key, is_known).await;
    let repeat = confirm(first.callers_address(), &key, BOOKING).await;
    assert_eq!(repeat, handed_over);
    assert_eq!(runs(&world, &key), 1);
    let changed = confirm(to, &key, "{\"room\":5}").await;
    assert!(changed.is("NS4005", "not_run"), "{changed:?}");
    world.stand_ins.state.key_value.set_knobs(Knobs::default());
    first.shutdown().await;
    second.shutdown().await;
}

/// A clerk got a ticket and its node is gone before the booking was sent, or after. Nobody knows
/// what that node ran, so every other node says "may have run", and nothing runs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ticket_whose_node_is_gone_may_have_run_and_runs_nowhere() {
    let world = World::start().await;
    let first = world.node("node-1", "hall-a", &[]).await;
    let key = ticket(&first).await;
    first.shutdown().await;
    let again = world.node("node-1", "hall-a", &[]).await;
    let other = world.node("node-2", "hall-a", &[&again]).await;
    for node in [&again, &other] {
        let got = confirm(node.callers_address(), &key, BOOKING).await;
        assert!(got.is("NS4007", "may_have_run"), "{got:?}");
    }
    assert_eq!(runs(&world, &key), 0);
    again.shutdown().await;
    other.shutdown().await;
}

/// A node is killed while another one still takes it for live. A clerk's call with its ticket is
/// handed over, and no answer comes. The message may have arrived before the end, so the clerk is
/// told "may have run".
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ticket_call_without_an_answer_may_have_run() {
    let world = World::start().await;
    let first = world.node("node-1", "hall-a", &[]).await;
    let second = world.node("node-2", "hall-a", &[&first]).await;
    let to = second.callers_address();
    let key = ticket(&first).await;
    confirm_until(to, &key, |got| got.status == 200).await;
    let key = ticket(&first).await;
    drop(first);
    let got = confirm(to, &key, BOOKING).await;
    assert!(got.is("NS4007", "may_have_run"), "{got:?}");
    assert_eq!(runs(&world, &key), 0);
    second.shutdown().await;
}

/// Operators lower the retention to a minute. A key that is two minutes old is refused from then
/// on: its claim may be gone, and a repeat would run a second time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keys_are_judged_by_the_retention_of_the_text_in_force() {
    let world = World::start().await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let to = node.callers_address();
    let issued = SystemTime::now() - Duration::from_secs(120);
    let first = confirm(to, &key_issued_at(issued), BOOKING).await;
    assert_eq!(first.status, 200, "{first:?}");
    let text = world.text();
    let limits = "[limits]\nclaim_retention_ms = 60000";
    let text = text.replace("[limits]", limits);
    world.publish(&text).await;
    let key = key_issued_at(issued);
    loop {
        let got = confirm(to, &key, BOOKING).await;
        if got.is("NS4003", "not_run") {
            break;
        }
        assert_eq!(got.status, 200, "{got:?}");
    }
    let fresh = confirm(to, &new_key(), BOOKING).await;
    assert_eq!(fresh.status, 200, "{fresh:?}");
    node.shutdown().await;
}

/// A desk closes connections that it kept, just as the next booking comes in on one. The clerk is
/// told "may have run". A client that sent the booking again by itself, on a new connection, would
/// book twice when only the answer was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_kept_connection_that_closes_costs_no_second_run() {
    let world = World::start().await;
    let desk = ClosingDesk::start(Closing::SecondBooking).await;
    publish_desk(&world, &desk).await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let to = node.callers_address();
    let mut closed = 0;
    for _ in 0..6 {
        let key = new_key();
        let got = confirm_until(to, &key, |got| !got.text.contains("not_run")).await;
        if got.status != 200 {
            assert!(got.text.contains("may_have_run"), "{got:?}");
            closed += 1;
        }
        assert_eq!(desk.arrivals(&key), 1);
    }
    assert!(closed > 0, "a kept connection was used");
    node.shutdown().await;
}

/// A tablet's program reuses a key for another booking. It is told so, and nothing is blocked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_with_another_body_is_refused() {
    let world = World::start().await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let (to, key) = (node.callers_address(), new_key());
    assert_eq!(confirm(to, &key, BOOKING).await.status, 200);
    let other = confirm(to, &key, "{\"room\":5}").await;
    assert!(other.is("NS4005", "not_run"), "{other:?}");
    assert_eq!(runs(&world, &key), 1);
    node.shutdown().await;
}

#[rstest]
#[case::missing(String::new(), "NS4001")]
#[case::malformed("booking-7".to_owned(), "NS4002")]
#[case::another_version(Uuid::new_v4().to_string(), "NS4002")]
#[case::old(key_issued_at(SystemTime::now() - Duration::from_secs(40 * 24 * 3600)), "NS4003")]
#[case::future(key_issued_at(SystemTime::now() + Duration::from_secs(3600)), "NS4004")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_that_cannot_guard_the_call_is_refused(#[case] key: String, #[case] code: &str) {
    let world = World::start().await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let got = confirm(node.callers_address(), &key, BOOKING).await;
    assert!(got.is(code, "not_run"), "{got:?}");
    assert_eq!(runs(&world, &key), 0);
    node.shutdown().await;
}

/// A tablet sends a booking and loses its network before the answer. The booking goes on; the
/// repeat gets the recorded answer, and nothing runs twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_hangs_up_finds_its_answer_with_the_same_key() {
    let world = World::start().await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let (to, key) = (node.callers_address(), new_key());
    let slow = Knobs {
        delay_ms: 200,
        ..Knobs::default()
    };
    world.set_desks(&slow);
    let caller = tokio::spawn({
        let key = key.clone();
        async move { confirm(to, &key, BOOKING).await }
    });
    let has_begun = |got: &Got| got.status == 200 || got.is("NS4006", "may_have_run");
    confirm_until(to, &key, has_begun).await;
    caller.abort();
    let repeat = confirm_until(to, &key, |got| got.status == 200).await;
    assert!(repeat.text.contains("/bookings"), "{repeat:?}");
    assert_eq!(runs(&world, &key), 1);
    node.shutdown().await;
}

/// Ten taps on the button go out through two nodes at once. One runs; the others get its answer or
/// "in progress".
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ten_concurrent_repeats_through_two_nodes_run_once() {
    let world = World::start().await;
    let first = world.node("node-1", "hall-a", &[]).await;
    let second = world.node("node-2", "hall-a", &[&first]).await;
    let nodes = [first.callers_address(), second.callers_address()];
    for _ in 0..5 {
        let key = new_key();
        let calls = (0..10).map(|index| {
            let (to, key) = (nodes[index % 2], key.clone());
            tokio::spawn(async move { confirm(to, &key, BOOKING).await })
        });
        let calls: Vec<_> = calls.collect();
        let mut answers = Vec::new();
        for call in calls {
            let got = call.await.expect("a caller");
            assert!(!got.text.contains("not_run"), "{got:?}");
            if got.status == 200 {
                answers.push(got);
            } else {
                assert_eq!(got.status, 409, "{got:?}");
            }
        }
        assert!(answers.windows(2).all(|pair| pair[0] == pair[1]));
        assert_eq!(runs(&world, &key), 1);
    }
    first.shutdown().await;
    second.shutdown().await;
}

/// A node is killed after it claimed a booking and before the desk took it. Repeats through another
/// node, and through the node that takes its place, are told "may have run": nobody can see that
/// the bytes never left. Nothing runs, however long the claimant stays away, since a paused claimant
/// looks the same and would send on waking.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_claim_of_a_killed_node_is_never_run_by_another() {
    let world = World::start().await;
    let first = world.node("node-1", "hall-a", &[]).await;
    let second = world.node("node-2", "hall-a", &[&first]).await;
    let key = new_key();
    let hangs = Knobs {
        silent: true,
        ..Knobs::default()
    };
    world.set_desks(&hangs);
    let to = first.callers_address();
    let caller = tokio::spawn({
        let key = key.clone();
        async move { confirm(to, &key, BOOKING).await }
    });
    let others = second.callers_address();
    confirm_until(to, &key, |got| got.text.contains("may_have_run")).await;
    confirm_until(others, &key, |got| got.text.contains("may_have_run")).await;
    // The node's tasks outlive its handle here, unlike those of a killed process. Its one send must
    // be on the wire before the desk speaks again, or it reaches the desk as any other call.
    world.call_unanswered().await;
    drop(first);
    caller.abort();
    world.set_desks(&Knobs::default());
    let again = world.node("node-1", "hall-a", &[&second]).await;
    for to in [again.callers_address(), others] {
        for _ in 0..5 {
            let got = confirm(to, &key, BOOKING).await;
            let is_told = got.is("NS4006", "may_have_run") || got.is("NS4007", "may_have_run");
            assert!(is_told, "{got:?}");
        }
    }
    assert_eq!(runs(&world, &key), 0);
    again.shutdown().await;
    second.shutdown().await;
}

// Guards against a booking's answer that may have ended early and is repeated as a whole one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_that_ends_with_its_connection_is_not_repeated() {
    let world = World::start().await;
    let desk = ClosingDesk::start(Closing::EachAnswer).await;
    publish_desk(&world, &desk).await;
    let node = world.node("node-1", "hall-a", &[]).await;
    let (to, key) = (node.callers_address(), new_key());
    let first = confirm_until(to, &key, |got| !got.text.contains("not_run")).await;
    assert_eq!((first.status, first.text.as_str()), (201, r#"{"booked":"#));
    let repeat = confirm(to, &key, BOOKING).await;
    assert!(
        repeat.text.contains("201") && repeat.text.contains(r#""run_state":"ran""#),
        "{repeat:?}"
    );
    assert_eq!(desk.arrivals(&key), 1);
    node.shutdown().await;
}
