//! A shutdown cuts off nothing.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream::{self, StreamExt};
use nutmegsail_front::Front;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinHandle;

use crate::support::{
    FakeNode, Reply, end, generation, piece, read_reply, request, send, serve_with, settings,
    signalled,
};

const LONG: Duration = Duration::from_secs(30);

/// A front with one stream under way, which goes on once `go_on` has a permit.
struct Streaming {
    front: Arc<Front>,
    go_on: Arc<Semaphore>,
    reply: JoinHandle<Reply>,
}

async fn streaming(stop_accepting_after_ms: u64) -> Streaming {
    let go_on = Arc::new(Semaphore::new(0));
    let (started, mut starts) = mpsc::unbounded_channel();
    let held = Arc::clone(&go_on);
    let node = Arc::new(FakeNode::answering(move |_| {
        let _ = started.send(());
        let held = Arc::clone(&held);
        let second = async move {
            let _ = held.acquire().await.expect("open");
            Ok(piece(2, "b"))
        };
        stream::iter([Ok(piece(1, "a"))])
            .chain(stream::once(second))
            .chain(stream::iter([Ok(end(2))]))
            .boxed()
    }));
    let mut settings = settings();
    settings.stop_accepting_after_ms = stop_accepting_after_ms;
    let front = Arc::new(serve_with(&node, settings).await);
    let address = front.callers_address();
    let reply = tokio::spawn(async move { send(address, &generation(true)).await });
    signalled(&mut starts).await;
    Streaming {
        front,
        go_on,
        reply,
    }
}

/// An operator replaces a VM while an editor's manuscript pass is on its way, which takes minutes.
/// The pass must come to its end before the node does.
#[tokio::test]
async fn a_running_stream_is_finished() {
    let streaming = streaming(0).await;
    let front = Arc::clone(&streaming.front);
    let is_done_at_once = front.shutdown(Duration::ZERO).await;
    assert!(!is_done_at_once);
    assert!(TcpStream::connect(front.callers_address()).await.is_err());

    streaming.go_on.add_permits(1);
    let reply = streaming.reply.await.unwrap();
    assert!(reply.is_complete);
    assert!(reply.body.ends_with("data: [DONE]\n\n"), "{}", reply.body);
    assert!(front.shutdown(LONG).await);
}

/// The balancer learns of a leaving node some seconds late and goes on sending to it. Those
/// requests must be answered, and their connections not be used again.
#[tokio::test]
async fn a_node_is_not_ready_before_it_stops_accepting() {
    let streaming = streaming(3_600_000).await;
    let front = Arc::clone(&streaming.front);
    let address = front.callers_address();
    let mut kept = TcpStream::connect(address).await.unwrap();
    kept.write_all(b"GET /healthz HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    let mut head = [0; 16];
    kept.read_exact(&mut head).await.unwrap();

    let leaving = Arc::clone(&front);
    let shutdown = tokio::spawn(async move { leaving.shutdown(LONG).await });
    tokio::task::yield_now().await;
    let probe = send(address, &request("GET", "/readyz", &[], b"")).await;
    assert_eq!((probe.status, probe.number()), (503, 2004));
    streaming.go_on.add_permits(2);
    let served = send(address, &generation(false)).await;
    assert_eq!(served.status, 200);

    kept.write_all(b"GET /healthz HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    let mut rest = Vec::new();
    kept.read_to_end(&mut rest).await.unwrap();
    assert!(String::from_utf8_lossy(&rest).contains("connection: close"));
    assert!(streaming.reply.await.unwrap().body.contains("[DONE]"));
    shutdown.abort();
    assert!(
        front.shutdown(LONG).await,
        "the wait for the balancer is not begun again"
    );
    assert!(TcpStream::connect(address).await.is_err());
}

/// A tablet sends its second request, half of the head has come, and the node shuts down. The clerk
/// must get the answer, not a closed connection.
#[tokio::test]
async fn a_request_whose_head_is_on_its_way_is_answered() {
    let node = Arc::new(FakeNode::new());
    let front = serve_with(&node, settings()).await;
    let mut socket = TcpStream::connect(front.callers_address()).await.unwrap();
    let bytes = String::from_utf8(generation(false)).unwrap();
    let bytes = bytes.replace("connection: close\r\n", "");
    let (first, second) = bytes.split_at(30);
    socket.write_all(bytes.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(br#""count":3}"#) {
        answer.push(socket.read_u8().await.unwrap());
    }
    socket.write_all(first.as_bytes()).await.unwrap();
    for _ in 0..1_000 {
        tokio::task::yield_now().await;
    }
    assert!(!front.shutdown(Duration::ZERO).await);
    socket.write_all(second.as_bytes()).await.unwrap();
    let reply = read_reply(&mut socket).await;
    assert_eq!(
        (reply.status, reply.header("connection")),
        (200, Some("close"))
    );
    assert!(front.shutdown(LONG).await);
}
