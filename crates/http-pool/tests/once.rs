//! A request goes out at most once, and a failure says whether it may have arrived.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use nutmegsail_http_pool::{Pool, PoolSettings, PooledBody, SendError};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

async fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    (listener, address)
}

/// Reads one request without a body and returns its first line.
async fn read_request(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a request"));
    }
    let head = String::from_utf8(head).expect("text");
    head.lines().next().expect("a first line").to_owned()
}

fn get(path: &str) -> Request<Full<Bytes>> {
    Request::get(path).body(Full::default()).expect("a request")
}

async fn whole(answer: Response<PooledBody>) -> Result<Bytes, SendError> {
    Ok(answer.into_body().collect().await?.to_bytes())
}

#[tokio::test]
async fn a_connection_is_kept_for_the_next_request() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut lines = Vec::new();
        for _ in 0..2 {
            lines.push(read_request(&mut stream).await);
            stream.write_all(OK).await.unwrap();
        }
        lines
    });
    let pool = Pool::new(PoolSettings::default());
    for path in ["/1", "/2"] {
        let answer = pool.send(&address, get(path)).await.unwrap();
        assert_eq!(whole(answer).await.unwrap(), "ok");
    }
    assert_eq!(
        server.await.unwrap(),
        ["GET /1 HTTP/1.1", "GET /2 HTTP/1.1"]
    );
}

/// A clerk confirms a booking. The service takes the confirmation on a kept connection and dies
/// before it answers. A client that sends again on a fresh connection books two therapists.
#[tokio::test]
async fn a_request_that_a_kept_connection_took_is_not_sent_again() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await;
        stream.write_all(OK).await.unwrap();
        let second = read_request(&mut stream).await;
        drop(stream);
        // A second send would come as a new connection ahead of this test's own.
        let (mut stream, _) = listener.accept().await.unwrap();
        (second, read_request(&mut stream).await)
    });
    let pool = Pool::new(PoolSettings::default());
    let answer = pool.send(&address, get("/1")).await.unwrap();
    whole(answer).await.unwrap();
    let lost = pool.send(&address, get("/confirm")).await;
    assert_eq!(lost.unwrap_err(), SendError::Broken);
    let mut probe = TcpStream::connect(&address).await.unwrap();
    probe
        .write_all(b"GET /probe HTTP/1.1\r\n\r\n")
        .await
        .unwrap();
    let (second, third) = server.await.unwrap();
    assert_eq!(second, "GET /confirm HTTP/1.1");
    assert_eq!(third, "GET /probe HTTP/1.1");
}

/// A service closes connections that it finds idle. The next request finds the closed connection
/// before a byte was written, so it goes out on a fresh one and the caller sees nothing of it.
#[tokio::test]
async fn a_kept_connection_that_closed_unused_is_replaced() {
    let (listener, address) = listen().await;
    let (closed, wait_closed) = tokio::sync::oneshot::channel();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await;
        stream.write_all(OK).await.unwrap();
        stream.shutdown().await.unwrap();
        // The client closes its side once it has seen ours.
        assert_eq!(stream.read(&mut [0; 16]).await.unwrap(), 0);
        closed.send(()).unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        let line = read_request(&mut stream).await;
        stream.write_all(OK).await.unwrap();
        line
    });
    let pool = Pool::new(PoolSettings::default());
    whole(pool.send(&address, get("/1")).await.unwrap())
        .await
        .unwrap();
    wait_closed.await.unwrap();
    let answer = pool.send(&address, get("/2")).await.unwrap();
    assert_eq!(whole(answer).await.unwrap(), "ok");
    assert_eq!(server.await.unwrap(), "GET /2 HTTP/1.1");
}

#[tokio::test]
async fn a_refused_connection_sends_nothing() {
    let (listener, address) = listen().await;
    drop(listener);
    let pool = Pool::new(PoolSettings::default());
    let refused = pool.send(&address, get("/")).await;
    assert_eq!(refused.unwrap_err(), SendError::NotSent);
}

#[tokio::test]
async fn a_body_that_is_cut_is_an_error() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await;
        let cut = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf";
        stream.write_all(cut).await.unwrap();
    });
    let pool = Pool::new(PoolSettings::default());
    let answer = pool.send(&address, get("/")).await.unwrap();
    assert_eq!(whole(answer).await, Err(SendError::Broken));
    server.await.unwrap();
}

#[tokio::test]
async fn dropping_an_answer_closes_its_connection() {
    let (listener, address) = listen().await;
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await;
        let begun = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n";
        stream.write_all(begun).await.unwrap();
        stream.read(&mut [0; 16]).await
    });
    let pool = Pool::new(PoolSettings::default());
    let mut answer = pool.send(&address, get("/")).await.unwrap();
    answer.body_mut().frame().await.unwrap().unwrap();
    drop(answer);
    let seen = server.await.unwrap();
    assert!(matches!(seen, Ok(0) | Err(_)), "{seen:?}");
}

/// Routine work that fills its connections to an upstream must not queue unseen in the client.
#[tokio::test]
async fn past_its_limit_an_address_gets_no_further_connection() {
    let (_listener, address) = listen().await;
    let settings = PoolSettings {
        connections_per_address: 1,
        ..PoolSettings::default()
    };
    let pool = Pool::new(settings);
    let mut first = std::pin::pin!(pool.send(&address, get("/1")));
    tokio::select! {
        biased;
        _ = &mut first => panic!("nobody answers"),
        second = async {
            tokio::task::yield_now().await;
            pool.send(&address, get("/2")).await
        } => assert_eq!(second.unwrap_err(), SendError::AtLimit),
    }
}
