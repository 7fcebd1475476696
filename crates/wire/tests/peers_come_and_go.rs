//! Peers that are away, restart, or are dropped in the middle of a send.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use nutmegsail_base::Incarnation;
use nutmegsail_wire::{Envelope, Link, NodeMessage, Payload};
use tokio::sync::mpsc;

const PATIENCE: Duration = Duration::from_secs(30);
const DISCONNECTS: usize = 500;
const RESTARTS: usize = 50;
const LINKS: u64 = 500;
/// Messages may be lost, so whoever waits for an answer asks again.
const RESEND_AFTER: Duration = Duration::from_millis(20);

fn bind_at(address: &str, name: &str) -> (Link, mpsc::Receiver<Envelope>) {
    Link::bind(address, name.into(), Incarnation(3)).expect("loopback can be bound")
}

fn bind(name: &str) -> (Link, mpsc::Receiver<Envelope>) {
    bind_at("127.0.0.1:0", name)
}

fn ask(ask_id: u64) -> NodeMessage {
    NodeMessage::HeadAsk { ask_id }
}

async fn next_id(received: &mut mpsc::Receiver<Envelope>) -> u64 {
    let waited = tokio::time::timeout(PATIENCE, received.recv()).await;
    let envelope = waited.expect("a message comes").expect("the link is open");
    match envelope.message {
        NodeMessage::HeadAsk { ask_id } => ask_id,
        other => panic!("{other:?} was not sent"),
    }
}

// A peer's VM is being replaced. Messages to it must not pile up, and when it answers again it
// needs the newest ones and not those from the beginning of its absence.
#[tokio::test]
async fn a_peer_that_was_away_gets_the_newest_messages() {
    let (former, _) = bind("mobay-1");
    let address = former.address().to_string();
    drop(former);
    let (negril, _) = bind("negril-1");
    for ask_id in 0..1_000 {
        negril.send(&address, &ask(ask_id)).unwrap();
    }
    assert_eq!(negril.traffic().dropped_sending(), 1_000 - 64);
    let (_mobay, mut received) = bind_at(&address, "mobay-1");
    for ask_id in 936..1_000 {
        assert_eq!(next_id(&mut received).await, ask_id);
    }
}

// A peer's process is killed and starts again at its address. Messages must reach it without
// anybody doing anything about the connection.
#[tokio::test]
async fn a_restarted_peer_is_reached_again() {
    let (negril, _) = bind("negril-1");
    let (former, mut received) = bind("mobay-1");
    let address = former.address().to_string();
    negril.send(&address, &ask(1)).unwrap();
    assert_eq!(next_id(&mut received).await, 1);
    drop(former);
    let (_mobay, mut received) = bind_at(&address, "mobay-1");
    let started = Instant::now();
    for ask_id in 2.. {
        negril.send(&address, &ask(ask_id)).unwrap();
        let waited = tokio::time::timeout(RESEND_AFTER, next_id(&mut received)).await;
        if waited.is_ok_and(|answered| answered >= 2) {
            break;
        }
        assert!(started.elapsed() < PATIENCE, "the peer is never reached");
    }
}

#[tokio::test]
async fn a_peer_that_was_disconnected_is_dialled_anew() {
    let (negril, _) = bind("negril-1");
    let (mobay, mut received) = bind("mobay-1");
    let address = mobay.address().to_string();
    for ask_id in 0..50 {
        negril.send(&address, &ask(ask_id)).unwrap();
        assert_eq!(next_id(&mut received).await, ask_id);
        negril.disconnect(&address);
        assert_eq!(negril.peer_count(), 0);
    }
}

// A peer's process is killed again and again while this node writes to it, so that connections end
// in the middle of sends.
#[test]
fn connections_that_end_in_the_middle_of_a_send_harm_nothing() {
    let (negril, _) = bind("negril-1");
    let (mobay, _) = bind("mobay-1");
    let address = mobay.address().to_string();
    drop(mobay);
    let is_done = AtomicBool::new(false);
    std::thread::scope(|scope| {
        let sending = scope.spawn(|| {
            while !is_done.load(Ordering::Relaxed) {
                negril.send(&address, &ask(1)).unwrap();
                std::thread::yield_now();
            }
        });
        for _ in 0..RESTARTS {
            let (mobay, mut received) = bind_at(&address, "mobay-1");
            received.blocking_recv().expect("the link is open");
            drop(mobay);
        }
        is_done.store(true, Ordering::Relaxed);
        sending.join().expect("sending never panics");
    });
}

// This node gives a peer up while a send to it is under way, so that the connection's close meets
// the send's end. With nng's Push sockets a later send used freed memory, and the node aborted.
#[test]
fn a_peer_can_be_disconnected_in_the_middle_of_a_send() {
    let (negril, _) = bind("negril-1");
    let (mobay, mut received) = bind("mobay-1");
    let address = mobay.address().to_string();
    let answer = NodeMessage::PiecesAnswer {
        ask_id: 1,
        pieces: vec![Payload::from(vec![7; 64 * 1024])],
    };
    for _ in 0..DISCONNECTS {
        negril.send(&address, &ask(1)).unwrap();
        received.blocking_recv().expect("the link is open");
        for _ in 0..3 {
            negril.send(&address, &answer).unwrap();
        }
        negril.disconnect(&address);
    }
}

// A node ends while a message comes in. The thread that told of the receive's end dropped its last
// handle and waited for itself, and the process never ended.
#[test]
fn links_can_be_dropped_while_they_receive() {
    let (negril, _) = bind("negril-1");
    for ask_id in 0..LINKS {
        let (mobay, _received) = bind("mobay-1");
        let address = mobay.address().to_string();
        negril.send(&address, &ask(ask_id)).unwrap();
        drop(mobay);
        negril.disconnect(&address);
    }
}
