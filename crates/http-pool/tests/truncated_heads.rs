//! Answers that end inside their heads.

mod scripted_server;

use std::ops::Range;

use http::{Request, StatusCode};
use nutmegsail_http_pool::{MalformedAnswer, Pool, PoolSettings, SendError};
use rstest::rstest;
use scripted_server::{ScriptedServer, Turn};

// Guards against an answer that ended inside its head and passes for a whole one with an empty or short body.
#[rstest]
#[case::length("content-length: 5\r\n", "whole")]
#[case::chunked("transfer-encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n")]
#[case::until_close("", "whole")]
#[case::no_body("content-length: 0\r\n", "")]
#[tokio::test]
async fn an_answer_that_ends_inside_its_head_is_none(
    #[values("HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200\r\n")] line: &str,
    #[values("\r\n", "\n")] line_end: &str,
    #[case] framing: &str,
    #[case] body: &str,
) {
    let head = format!("{line}x-seal: 3e1b.07\r\n{framing}\r\n").replace("\r\n", line_end);
    for (cut, answer) in answers_cut_at(&head, 0..head.len(), body).await {
        assert_eq!(answer, Err(SendError::Broken), "{:?}", &head[..cut]);
    }
}

// Guards against an answer that ended inside its head, at a line that ends in another way than those before.
#[rstest]
#[tokio::test]
async fn an_answer_that_ends_inside_a_head_of_two_line_ends_is_none(
    #[values("HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200\r\n")] line: &str,
) {
    let head = format!("{line}x-seal: 3e1b.07\r\ncontent-length: 5\n\n");
    let other = head.find("5\n").expect("a line feed") + 2;
    for (cut, answer) in answers_cut_at(&head, 0..head.len() + 1, "whole").await {
        let expected = match cut < other {
            true => SendError::Broken,
            false => SendError::Malformed(MalformedAnswer::LineEnds),
        };
        assert_eq!(answer, Err(expected), "{:?}", &head[..cut]);
    }
}

/// The status of each answer that consists of the first bytes of `head`, as many as `cuts` says.
async fn answers_cut_at(
    head: &str,
    cuts: Range<usize>,
    body: &str,
) -> Vec<(usize, Result<StatusCode, SendError>)> {
    let turns = cuts.clone().map(|cut| {
        let sent = &head.as_bytes()[..cut];
        Turn::AnswerAndClose(sent.to_vec())
    });
    let server = ScriptedServer::start(turns).await;
    let pool = Pool::new(PoolSettings::default());
    let mut answers = Vec::new();
    for cut in cuts {
        let request = Request::get("/")
            .body(body.to_owned().into())
            .expect("a request");
        let answer = pool.send(&server.address, request).await;
        answers.push((cut, answer.map(|answer| answer.status())));
    }
    answers
}
