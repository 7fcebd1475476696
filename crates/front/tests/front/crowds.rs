//! Many callers at once that do not finish what they begin.

use std::sync::Arc;
use std::time::Duration;

use nutmegsail_front::{Front, FrontSettings};
use nutmegsail_intake::{LimitSettings, ListenerKind};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{FakeNode, serve_with, settings};

/// The memory of the node; connections may hold a third of it.
const MEMORY_MB: f64 = 32.0;

const DESCRIPTORS: usize = 256;

fn limits() -> FrontSettings {
    let limits = LimitSettings {
        memory_mb: Some(MEMORY_MB),
        descriptors: Some(DESCRIPTORS),
    };
    FrontSettings {
        limits,
        ..settings()
    }
}

async fn open(front: &Front, text: &str) -> TcpStream {
    let mut socket = TcpStream::connect(front.callers_address())
        .await
        .expect("the node answers");
    // The node may have closed it.
    let _ = socket.write_all(text.as_bytes()).await;
    socket
}

async fn assert_ready(front: &Front) {
    let mut socket = open(front, "GET /readyz HTTP/1.1\r\nhost: node\r\n\r\n").await;
    let mut head = [0; 12];
    socket
        .read_exact(&mut head)
        .await
        .expect("the node answers");
    assert_eq!(&head, b"HTTP/1.1 200");
}

// Guards against bodies that fill the memory together, as their senders stop just short of their ends.
#[tokio::test]
async fn unfinished_bodies_do_not_fill_the_memory() {
    const CALLERS: usize = 300;
    const BODY_BYTES: usize = 60_000;
    let front = serve_with(&Arc::new(FakeNode::new()), limits()).await;
    let mut sockets = Vec::new();
    for _ in 0..CALLERS {
        let head = format!(
            "POST /v1/completions HTTP/1.1\r\nhost: node\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
        );
        sockets.push(open(&front, &(head + &"x".repeat(BODY_BYTES - 1))).await);
        let room = front.current_use();
        assert!(room.held_bytes <= room.limit_bytes, "{room:?}");
    }
    assert_ready(&front).await;
}

// Guards against connections that take all descriptors, and against callers that are shut out by them.
#[tokio::test]
async fn silent_connections_give_way_to_new_ones() {
    let front = serve_with(&Arc::new(FakeNode::new()), limits()).await;
    let mut sockets = Vec::new();
    for number in 0..DESCRIPTORS {
        let text = if number % 2 == 0 {
            ""
        } else {
            "POST /v1/completions HTTP/1.1\r\nx-long: "
        };
        sockets.push(open(&front, text).await);
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_ready(&front).await;
    let callers = front.current_use().connections.into_iter();
    let callers: usize = callers
        .filter(|(listener, _)| *listener == ListenerKind::Callers)
        .map(|(_, open)| open)
        .sum();
    assert!(callers < DESCRIPTORS * 3 / 4, "{callers} connections");
}
