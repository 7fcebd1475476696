//! Bytes that no node of ours has sent.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use nng::{Protocol, Socket};
use nutmegsail_base::Incarnation;
use nutmegsail_wire::{
    Envelope, Forward, Link, MAX_MESSAGE_BYTES, NodeMessage, PROTOCOL_VERSION, Payload, WireError,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const PATIENCE: Duration = Duration::from_secs(30);

fn envelope(message: NodeMessage) -> Envelope {
    Envelope {
        from: "negril-1".into(),
        incarnation: Incarnation(u64::MAX),
        message,
    }
}

fn messages() -> impl Strategy<Value = NodeMessage> {
    let bytes = prop::collection::vec(any::<u8>(), 0..300);
    prop_oneof![
        any::<u64>().prop_map(|ask_id| NodeMessage::HeadAsk { ask_id }),
        (any::<u64>(), prop::collection::vec(bytes.clone(), 0..4)).prop_map(|(ask_id, pieces)| {
            NodeMessage::PiecesAnswer {
                ask_id,
                pieces: pieces.into_iter().map(Payload::from).collect(),
            }
        }),
        (".{0,20}", any::<u64>(), bytes).prop_map(|(request, deadline_ms, body)| {
            NodeMessage::Forward(Forward {
                request: request.into(),
                deadline_ms,
                traceparent: None,
                body: body.into(),
            })
        }),
        (any::<u64>(), prop::collection::vec(".{0,64}", 0..4)).prop_map(|(ask_id, digests)| {
            NodeMessage::PiecesAsk {
                ask_id,
                digests: digests.into_iter().map(Into::into).collect(),
            }
        }),
    ]
}

fn seeded() -> ProptestConfig {
    ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..2_000)) {
        let _ = Envelope::from_bytes(&bytes);
        let versioned: Vec<u8> = [PROTOCOL_VERSION].into_iter().chain(bytes).collect();
        let _ = Envelope::from_bytes(&versioned);
    }

    #[test]
    fn a_message_reads_as_it_was_written(message in messages()) {
        let sent = envelope(message);
        let bytes = sent.to_bytes().unwrap();
        prop_assert_eq!(Envelope::from_bytes(&bytes).unwrap(), sent);
    }

    #[test]
    fn a_garbled_or_cut_message_never_panics(
        message in messages(),
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = envelope(message).to_bytes().unwrap();
        let at = at.index(bytes.len());
        prop_assert!(Envelope::from_bytes(&bytes[..at]).is_err());
        bytes[at] = byte;
        let _ = Envelope::from_bytes(&bytes);
    }
}

#[test]
fn a_message_of_another_version_is_refused() {
    let message = NodeMessage::HeadAsk { ask_id: 1 };
    let mut bytes = envelope(message).to_bytes().unwrap();
    bytes[0] = PROTOCOL_VERSION + 1;
    let refused = Envelope::from_bytes(&bytes);
    assert!(matches!(refused, Err(WireError::Version { version: 2 })));
}

#[test]
fn a_message_over_the_limit_is_not_sent() {
    let (link, _) = Link::bind("127.0.0.1:0", "negril-1".into(), Incarnation(1)).unwrap();
    let message = NodeMessage::HeadAnswer {
        ask_id: 1,
        head: vec![7; MAX_MESSAGE_BYTES].into(),
    };
    let refused = link.send("127.0.0.1:1", &message);
    assert!(matches!(refused, Err(WireError::TooLarge { .. })));
    let refused = link.send("mobay-1:7400", &NodeMessage::HeadAsk { ask_id: 1 });
    assert!(matches!(refused, Err(WireError::BadAddress(_))));
}

// Some other program on the network speaks to the nodes' port: not nng at all, nng with bytes that
// are no message, and nng with a message too large. The node goes on, and a real peer is heard.
#[tokio::test]
async fn strangers_on_the_port_cost_a_count_and_nothing_else() {
    let bound = Link::bind("127.0.0.1:0", "mobay-1".into(), Incarnation(1));
    let (mobay, mut received) = bound.unwrap();
    let mut stranger = TcpStream::connect(mobay.address()).unwrap();
    stranger.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();

    let (connected, is_connected) = std::sync::mpsc::channel();
    let garbled = Socket::new(Protocol::Pub0).unwrap();
    garbled
        .pipe_notify(move |_, event| {
            if event == nng::PipeEvent::AddPost {
                let _ = connected.send(());
            }
        })
        .unwrap();
    garbled
        .dial_async(&format!("tcp://{}", mobay.address()))
        .unwrap();
    is_connected.recv_timeout(PATIENCE).unwrap();
    garbled.try_send(&b"no message"[..]).unwrap();
    garbled
        .try_send(&vec![7; MAX_MESSAGE_BYTES + 1][..])
        .unwrap();

    let bound = Link::bind("127.0.0.1:0", "negril-1".into(), Incarnation(1));
    let (negril, _received) = bound.unwrap();
    while mobay.traffic().undecodable() == 0 {
        tokio::task::yield_now().await;
    }
    let ask = NodeMessage::HeadAsk { ask_id: 1 };
    negril.send(&mobay.address().to_string(), &ask).unwrap();
    let heard = tokio::time::timeout(PATIENCE, received.recv()).await;
    assert_eq!(heard.unwrap().unwrap().message, ask);
    assert_eq!(mobay.traffic().undecodable(), 1);
}
