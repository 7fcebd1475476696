//! Messages over real sockets on loopback.

use std::time::Duration;

use nutmegsail_base::Incarnation;
use nutmegsail_wire::{Envelope, Link, MessageKind, NodeMessage, Payload};
use tokio::sync::mpsc;

const PATIENCE: Duration = Duration::from_secs(30);

fn bind(name: &str) -> (Link, mpsc::Receiver<Envelope>) {
    Link::bind("127.0.0.1:0", name.into(), Incarnation(3)).expect("loopback can be bound")
}

async fn next(received: &mut mpsc::Receiver<Envelope>) -> Envelope {
    let waited = tokio::time::timeout(PATIENCE, received.recv()).await;
    waited.expect("a message comes").expect("the link is open")
}

#[tokio::test]
async fn a_message_names_its_sender_and_incarnation() {
    let (mobay, mut received) = bind("mobay-1");
    let (negril, _) = bind("negril-1");
    let ask = NodeMessage::HeadAsk { ask_id: 9 };
    negril.send(&mobay.address().to_string(), &ask).unwrap();
    let envelope = next(&mut received).await;
    assert_eq!(envelope.from.as_str(), "negril-1");
    assert_eq!(envelope.incarnation, Incarnation(3));
    assert_eq!(envelope.message, ask);
    assert_eq!(mobay.traffic().received(MessageKind::Text).messages, 1);
    assert_eq!(
        mobay.traffic().received(MessageKind::Text),
        negril.traffic().sent(MessageKind::Text)
    );
}

#[tokio::test]
async fn pieces_of_a_quarter_of_a_megabyte_pass() {
    let (mobay, mut received) = bind("mobay-1");
    let (negril, _) = bind("negril-1");
    let answer = NodeMessage::PiecesAnswer {
        ask_id: 1,
        pieces: vec![Payload::from(vec![7; 256 * 1024]); 4],
    };
    negril.send(&mobay.address().to_string(), &answer).unwrap();
    assert_eq!(next(&mut received).await.message, answer);
}
