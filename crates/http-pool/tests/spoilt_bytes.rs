//! Sound answers with one byte replaced, inserted or removed. A reader of its own, which follows RFC 9112 to the letter, judges
//! what is left of them.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

#[path = "spoilt_bytes/strict_reader.rs"]
mod strict_reader;

mod scripted_server;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use nutmegsail_http_pool::{Pool, PoolSettings, SendError};
use rstest::rstest;
use scripted_server::{ScriptedServer, Turn};
use strict_reader::{Verdict, judge};

/// Control bytes, blanks, separators, digits, letters and bytes that are no ASCII.
const BYTES: &[u8] = b"\0\x01\t\n\x0b\r \",-056:;=Agx\x7f\x80\xff";

/// `answer` with one byte of it replaced, inserted or removed, in all ways.
fn spoil(answer: &[u8]) -> Vec<Vec<u8>> {
    let mut spoilt = vec![answer.to_vec()];
    for place in 0..answer.len() {
        let (before, after) = answer.split_at(place);
        spoilt.push([before, &after[1..]].concat());
        for &byte in BYTES {
            spoilt.push([before, &[byte], &after[1..]].concat());
            spoilt.push([before, &[byte], after].concat());
        }
    }
    spoilt
}

async fn read(pool: &Pool, address: &str) -> Result<(u16, Bytes), SendError> {
    let request = Request::get("/").body(Full::default()).unwrap();
    let (head, body) = pool.send(address, request).await?.into_parts();
    Ok((head.status.as_u16(), body.collect().await?.to_bytes()))
}

// Guards against a body that is not the upstream's, whichever byte of an answer is spoilt, and against a failure where the answer
// is sound all the same.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nx-seal: 3e\r\ncontent-length: 5\r\n\r\nwhole")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nx: 3\r\ntransfer-encoding: chunked\r\n\r\n4;a=b\r\nwhol\r\n1\r\ne\r\n0\r\nx-t: 1\r\n\r\n"
)]
#[case::neither("HTTP/1.1 200 OK\r\nx-seal: 3e1b\r\n\r\nwhole")]
#[case::interim("HTTP/1.1 103 Hints\r\nx: 1\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")]
#[case::line_feeds("HTTP/1.1 200 OK\nx-seal: 3e\ncontent-length: 5\n\nwhole")]
#[tokio::test]
async fn an_answer_is_read_as_the_standard_says_or_not_at_all(#[case] answer: &str) {
    let spoilt = spoil(answer.as_bytes());
    let turns = spoilt.clone().into_iter().map(Turn::AnswerAndClose);
    let server = ScriptedServer::start(turns).await;
    let pool = Pool::new(PoolSettings::default());
    let (mut wrong, mut sound) = (Vec::new(), 0);
    for sent in &spoilt {
        let read = read(&pool, &server.address).await;
        let verdict = judge(sent);
        sound += usize::from(matches!(verdict, Verdict::Sound { .. }));
        if !verdict.allows(&read) {
            let sent = String::from_utf8_lossy(sent);
            wrong.push(format!("{sent:?}: {verdict:?}, but {read:?}"));
        }
    }
    println!("{} answers, {sound} of them sound", spoilt.len());
    assert!(
        wrong.is_empty(),
        "{} wrong: {:#?}",
        wrong.len(),
        &wrong[..wrong.len().min(20)]
    );
}
