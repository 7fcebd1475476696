//! Answers that end inside their heads.

mod scripted_server;

use http::Request;
use nutmegsail_http_pool::{Pool, PoolSettings, SendError};
use rstest::rstest;
use scripted_server::{ScriptedServer, Turn};

// Guards against an answer that ended inside its head and passes for a whole one with an empty or short body.
#[rstest]
#[case::length("content-length: 5\r\n", "whole")]
#[case::chunked("transfer-encoding: chunked\r\n", "5\r\nwhole\r\n0\r\n\r\n")]
#[case::until_close("", "whole")]
#[case::no_body("content-length: 0\r\n", "")]
#[case::bare_line_ends("content-length: 5\n\n", "whole")]
#[tokio::test]
async fn an_answer_that_ends_inside_its_head_is_none(
    #[values("HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", "HTTP/1.1 200\r\n")] line: &str,
    #[case] framing: &str,
    #[case] body: &str,
) {
    let head = format!("{line}x-seal: 3e1b.07\r\n{framing}\r\n");
    let end = head.find("\n\n").map_or(head.len(), |end| end + 2);
    let cuts = 0..end;
    let turns = cuts.clone().map(|cut| {
        let sent = &head.as_bytes()[..cut];
        Turn::AnswerAndClose(sent.to_vec())
    });
    let server = ScriptedServer::start(turns).await;
    let pool = Pool::new(PoolSettings::default());
    for cut in cuts {
        let request = Request::get("/").body(body.to_owned().into()).unwrap();
        let answer = pool.send(&server.address, request).await;
        let answer = answer.map(|answer| answer.status());
        assert_eq!(answer, Err(SendError::Broken), "{:?}", &head[..cut]);
    }
}
