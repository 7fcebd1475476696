//! A request goes out at most once, and a failure says whether it may have arrived.

mod scripted_server;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use nutmegsail_http_pool::{
    AnswerId, OpenError, Pool, PoolSettings, PooledBody, SendError, SendOptions,
};
use scripted_server::{ScriptedServer, SeenRequest, Turn, answer};
use tokio::net::TcpListener;

fn get(path: &str) -> Request<Full<Bytes>> {
    Request::get(path).body(Full::default()).expect("a request")
}

async fn whole(answer: Response<PooledBody>) -> Result<Bytes, SendError> {
    Ok(answer.into_body().collect().await?.to_bytes())
}

fn ok() -> Turn {
    Turn::Answer(answer(200, "", "ok"))
}

#[tokio::test]
async fn a_connection_is_kept_for_the_next_request() {
    let server = ScriptedServer::start([ok(), ok()]).await;
    let pool = Pool::new(PoolSettings::default());
    for path in ["/1", "/2"] {
        let answer = pool.send(&server.address, get(path)).await.unwrap();
        assert_eq!(whole(answer).await.unwrap(), "ok");
    }
    assert_eq!((server.seen().len(), server.connections()), (2, 1));
}

/// A clerk confirms a booking. The service takes the confirmation on a kept connection and dies
/// before it answers. A client that sends again on a fresh connection books two therapists.
#[tokio::test]
async fn a_request_that_a_kept_connection_took_is_not_sent_again() {
    let server = ScriptedServer::start([ok(), Turn::AnswerAndClose(Vec::new()), ok()]).await;
    let pool = Pool::new(PoolSettings::default());
    whole(pool.send(&server.address, get("/1")).await.unwrap())
        .await
        .unwrap();
    let lost = pool.send(&server.address, get("/confirm")).await;
    assert_eq!(lost.unwrap_err(), SendError::Broken);
    // Had the pool sent again, it would have come before this.
    whole(pool.send(&server.address, get("/2")).await.unwrap())
        .await
        .unwrap();
    let seen = server.seen();
    let lines: Vec<&str> = seen.iter().map(SeenRequest::line).collect();
    assert_eq!(lines, ["GET /1", "GET /confirm", "GET /2"]);
}

// Guards against a second answer to a request that passes for the answer to the same request, sent again.
#[tokio::test]
async fn a_connection_carries_a_request_of_one_id_once() {
    let ok_and_hang = Turn::AnswerAndHang(answer(200, "", "ok"));
    let server = ScriptedServer::start([ok(), ok_and_hang, ok()]).await;
    let pool = Pool::new(PoolSettings::default());
    let mut connections = Vec::new();
    for id in ["r1", "r2", "r1"] {
        let options = SendOptions {
            answer_id: Some(AnswerId::of(id.as_bytes())),
            ..SendOptions::default()
        };
        let sending = pool.send_with(&server.address, get("/1"), &options);
        let answer = sending.await.unwrap();
        connections.push(answer.body().connection_id());
        whole(answer).await.unwrap();
    }
    assert_eq!(connections[0], connections[1]);
    assert_ne!(connections[1], connections[2]);
    assert_eq!((server.seen().len(), server.connections()), (3, 2));
}

/// A service closes connections that it finds idle. The next request finds the closed connection
/// before a byte was written, so it goes out on a fresh one and the caller sees nothing of it.
#[tokio::test]
async fn a_kept_connection_that_closed_unused_is_replaced() {
    let close_after = Turn::AnswerAndClose(answer(200, "", "ok"));
    let server = ScriptedServer::start([close_after, ok()]).await;
    let pool = Pool::new(PoolSettings::default());
    whole(pool.send(&server.address, get("/1")).await.unwrap())
        .await
        .unwrap();
    server.closed().await;
    let answer = pool.send(&server.address, get("/2")).await.unwrap();
    assert_eq!(whole(answer).await.unwrap(), "ok");
    assert_eq!((server.seen().len(), server.connections()), (2, 2));
}

#[tokio::test]
async fn a_refused_connection_sends_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let pool = Pool::new(PoolSettings::default());
    let refused = pool.send(&address, get("/")).await;
    assert_eq!(refused.unwrap_err(), SendError::NotSent(OpenError::Refused));
}

#[tokio::test]
async fn a_body_that_is_cut_is_an_error() {
    let cut = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf".to_vec();
    let server = ScriptedServer::start([Turn::AnswerAndClose(cut)]).await;
    let pool = Pool::new(PoolSettings::default());
    let answer = pool.send(&server.address, get("/")).await.unwrap();
    assert_eq!(whole(answer).await, Err(SendError::Broken));
}

#[tokio::test]
async fn dropping_an_answer_closes_its_connection() {
    let begun = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n".to_vec();
    let server = ScriptedServer::start([Turn::Answer(begun)]).await;
    let pool = Pool::new(PoolSettings::default());
    let mut answer = pool.send(&server.address, get("/")).await.unwrap();
    answer.body_mut().frame().await.unwrap().unwrap();
    drop(answer);
    server.closed().await;
}

/// Routine work that fills its connections to an upstream must not queue unseen in the client.
#[tokio::test]
async fn past_its_limit_an_address_gets_no_further_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
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

#[tokio::test]
async fn an_address_where_nothing_listens_refuses_a_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let pool = Pool::new(PoolSettings::default());
    assert_eq!(pool.open(&address).await, Ok(()));
    drop(listener);
    assert_eq!(pool.open(&address).await, Err(OpenError::Refused));
}

#[tokio::test]
async fn a_connection_opened_ahead_carries_the_next_request() {
    let server = ScriptedServer::start([ok()]).await;
    let pool = Pool::new(PoolSettings::default());
    pool.open(&server.address).await.unwrap();
    let answer = pool.send(&server.address, get("/1")).await.unwrap();
    assert_eq!(whole(answer).await.unwrap(), "ok");
    assert_eq!(server.connections(), 1);
}
