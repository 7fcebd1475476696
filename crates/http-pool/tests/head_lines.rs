//! Heads on a kept connection, whose lines end in one way or in two.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

mod scripted_server;

use http::Request;
use http_body_util::{BodyExt, Full};
use nutmegsail_http_pool::{MalformedAnswer, Pool, PoolSettings, SendError};
use scripted_server::{ScriptedServer, Turn, answer};

async fn read(pool: &Pool, address: &str) -> Result<String, SendError> {
    let request = Request::get("/").body(Full::default()).unwrap();
    let body = pool.send(address, request).await?.into_body();
    let body = body.collect().await?.to_bytes();
    Ok(String::from_utf8_lossy(&body).into_owned())
}

// Guards against a check that takes a body for a head, or that ends with the first answer of a connection.
#[tokio::test]
async fn every_head_of_a_connection_is_checked_and_no_body() {
    const LINES: &str = "a\nb\r\n\r\nc: d\n\n\r\n";
    let line_feeds = answer(200, "", "sound");
    let line_feeds = String::from_utf8(line_feeds).unwrap().replace("\r\n", "\n");
    let chunks = format!(
        "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{LINES}\r\n0\r\n\r\n",
        LINES.len()
    );
    let server = ScriptedServer::start([
        Turn::Answer(answer(200, "", LINES)),
        Turn::Answer(line_feeds.into_bytes()),
        Turn::Answer(chunks.into_bytes()),
        Turn::AnswerAndHang(answer(200, "x-note: 1\n", "sound")),
        Turn::Answer(answer(200, "", "sound")),
    ])
    .await;
    let pool = Pool::new(PoolSettings::default());
    assert_eq!(read(&pool, &server.address).await.unwrap(), LINES);
    assert_eq!(read(&pool, &server.address).await.unwrap(), "sound");
    assert_eq!(read(&pool, &server.address).await.unwrap(), LINES);
    let malformed = SendError::Malformed(MalformedAnswer::LineEnds);
    assert_eq!(read(&pool, &server.address).await, Err(malformed));
    assert_eq!(server.connections(), 1);
    assert_eq!(read(&pool, &server.address).await.unwrap(), "sound");
    assert_eq!(
        server.connections(),
        2,
        "a malformed answer ends its connection"
    );
}
