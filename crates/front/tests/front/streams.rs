//! An answer reaches its caller whole or visibly cut, and nobody else.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures_util::future::join_all;
use futures_util::stream::{self, StreamExt};
use nutmegsail_base::{AdapterRef, ResultCode};
use nutmegsail_request::Refusal;
use nutmegsail_upstream::StreamEvent;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;

use crate::support::{
    ADAPTER, DropSignal, Events, FakeNode, RESTARTED, answer_to, end, generation, handle_of, piece,
    request, send, serve, signalled, whole, without_ids,
};

#[tokio::test]
async fn a_stream_ends_with_the_count() {
    let node = Arc::new(FakeNode::new());
    let front = serve(&node).await;
    let reply = send(front.callers_address(), &generation(true)).await;
    assert!(reply.is_complete);
    assert_eq!(reply.header("content-type"), Some("text/event-stream"));
    assert_eq!(reply.header("nutmegsail-adapter"), Some(ADAPTER));
    let generated = node.generated.lock().expect("not poisoned");
    let handle = handle_of(&generated[0].request, &generated[0].adapter).to_string();
    assert_eq!(reply.header("nutmegsail-answer"), Some(handle.as_str()));
    insta::assert_snapshot!(reply.body);
}

#[rstest]
#[case::completion("/v1/completions")]
#[case::chat("/v1/chat/completions")]
#[tokio::test]
async fn an_answer_that_is_not_streamed_comes_as_one_object(#[case] path: &str) {
    let node = Arc::new(FakeNode::new());
    let front = serve(&node).await;
    let body = format!(r#"{{"model":"{ADAPTER}","messages":[{{"content":"Guest 7"}}]}}"#);
    let reply = send(
        front.callers_address(),
        &request("POST", path, &[], body.as_bytes()),
    )
    .await;
    assert_eq!(reply.status, 200);
    insta::assert_snapshot!(path.replace('/', "_"), without_ids(&reply.body));
}

fn faulty(fault: &str) -> Events {
    let cut = Refusal::ran(ResultCode::AnswerCut, "the engine restarted");
    let events = match fault {
        "refused" => vec![Ok(piece(1, "a")), Err(cut)],
        "no end" => vec![Ok(piece(1, "a"))],
        "lost" => vec![Ok(piece(1, "a")), Ok(piece(3, "c")), Ok(end(3))],
        "doubled" => vec![Ok(piece(1, "a")), Ok(piece(1, "a")), Ok(end(2))],
        "short count" => vec![Ok(piece(1, "a")), Ok(end(0))],
        "long count" => vec![Ok(piece(1, "a")), Ok(end(2))],
        _ => {
            let json = "{\"text\":\n\"\"}".into();
            vec![Ok(piece(1, "a")), Ok(StreamEvent::Piece { id: 2, json })]
        }
    };
    stream::iter(events).boxed()
}

/// An engine restarts in the middle of a summary. A therapist whose tablet takes the first half for
/// the whole goes in blind, so the cut must show, as a stream and as one object.
#[rstest]
#[case("refused")]
#[case("no end")]
#[case("lost")]
#[case("doubled")]
#[case("short count")]
#[case("long count")]
#[case("line break")]
#[tokio::test]
async fn an_answer_that_breaks_off_never_looks_whole(#[case] fault: &'static str) {
    let node = Arc::new(FakeNode::answering(move |_| faulty(fault)));
    let front = serve(&node).await;
    let streamed = send(front.callers_address(), &generation(true)).await;
    let (before, error) = streamed
        .body
        .split_once("event: error\n")
        .expect("an error");
    assert_eq!(before.matches("id: ").count(), 1, "{before}");
    assert!(!streamed.body.contains("event: end") && !streamed.body.contains("[DONE]"));
    let error = error.trim_start_matches("data: ");
    let error: serde_json::Value = serde_json::from_str(error).expect("JSON");
    assert_eq!(error["error"]["number"], 3005);
    assert_eq!(error["error"]["run_state"], "ran");
    assert_eq!(error["error"]["resume"]["last_event_id"], 1);

    let one_object = send(front.callers_address(), &generation(false)).await;
    assert!(one_object.status >= 500, "{one_object:?}");
    assert_eq!(one_object.run_state(), "ran");
}

#[tokio::test]
async fn the_answer_of_another_adapter_never_reaches_the_caller() {
    let node = Arc::new(FakeNode::with_generate(|request| {
        Box::pin(async move {
            let mut answer = answer_to(&request, whole(&["secret"]));
            answer.adapter = AdapterRef::new("treatment-summary-0042", 2);
            Ok(answer)
        })
    }));
    let front = serve(&node).await;
    for is_stream in [true, false] {
        let reply = send(front.callers_address(), &generation(is_stream)).await;
        assert_eq!((reply.status, reply.number()), (503, 3004));
        assert_eq!(reply.run_state(), "may_have_run");
        assert!(!reply.body.contains("secret"));
    }
}

#[tokio::test]
async fn a_panic_behind_one_request_is_that_requests_own_error() {
    let node = Arc::new(FakeNode::with_generate(|request| {
        Box::pin(async move {
            assert!(request.is_stream, "an assertion of the node");
            let events = stream::poll_fn(|_| panic!("an assertion of the node"));
            Ok(answer_to(&request, events.boxed()))
        })
    }));
    let front = serve(&node).await;
    let reply = send(front.callers_address(), &generation(false)).await;
    assert_eq!((reply.status, reply.number()), (500, 7002));
    assert_eq!(reply.run_state(), "may_have_run");
    let reply = send(front.callers_address(), &generation(true)).await;
    assert!(reply.body.starts_with("event: error\n"), "{}", reply.body);
    assert!(reply.body.contains("NS7002"));
}

/// An editor's laptop goes to sleep in the middle of a manuscript pass. Its socket takes no more
/// bytes while the engine goes on; the node's memory would grow by the whole answer.
#[tokio::test]
async fn a_slow_reader_holds_up_its_own_engine_stream() {
    const PIECE_BYTES: usize = 16 * 1024;
    const PIECES: u64 = 2048;
    const STILL_CHECKS: usize = 50;
    const MAX_AHEAD_BYTES: usize = 2 * 1024 * 1024;
    let taken = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&taken);
    let text = "x".repeat(PIECE_BYTES);
    let node = Arc::new(FakeNode::answering(move |_| {
        let counted = Arc::clone(&counted);
        let text = text.clone();
        stream::iter(1..=PIECES)
            .map(move |id| {
                counted.fetch_add(1, Ordering::Relaxed);
                Ok(piece(id, &text))
            })
            .chain(stream::iter([Ok(end(PIECES))]))
            .boxed()
    }));
    let front = serve(&node).await;
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    let mut socket = socket.connect(front.callers_address()).await.unwrap();
    socket.write_all(&generation(true)).await.unwrap();
    let mut read_bytes = 0;
    let mut buffer = vec![0; 64 * 1024];
    let mut tail = Vec::new();
    for check in 0.. {
        if check < STILL_CHECKS {
            until_still(&taken).await;
        }
        let ahead = (taken.load(Ordering::Relaxed) * PIECE_BYTES).saturating_sub(read_bytes);

        assert!(ahead <= MAX_AHEAD_BYTES, "{ahead} bytes ahead");
        let bytes = socket.read(&mut buffer).await.unwrap();
        if bytes == 0 {
            break;
        }
        read_bytes += bytes;
        tail = buffer[bytes.saturating_sub(200)..bytes].to_vec();
    }
    assert!(read_bytes > PIECE_BYTES * PIECES as usize);
    assert!(String::from_utf8_lossy(&tail).contains("[DONE]"));
}

/// Lets the other tasks run until none of them takes another piece.
async fn until_still(taken: &AtomicUsize) {
    let mut before = usize::MAX;
    while before != taken.load(Ordering::Relaxed) {
        before = taken.load(Ordering::Relaxed);
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
    }
}

/// A guest leaves and the clerk closes the page. The engine would go on writing for nobody, and
/// keep the adapter's slot from those who wait.
#[rstest]
#[case::before_the_answer(false, true)]
#[case::in_a_stream(true, true)]
#[case::in_one_object(true, false)]
#[tokio::test]
async fn a_caller_that_goes_away_ends_its_run(#[case] answers: bool, #[case] is_stream: bool) {
    let (dropped, mut drops) = mpsc::unbounded_channel();
    let (started, mut starts) = mpsc::unbounded_channel();
    let node = Arc::new(FakeNode::with_generate(move |request| {
        let signal = DropSignal(dropped.clone());
        let started = started.clone();
        Box::pin(async move {
            started.send(()).unwrap();
            if !answers {
                std::future::pending::<()>().await;
            }
            let events = stream::pending().map(move |event| {
                let _ = &signal;
                event
            });
            let first = stream::iter([Ok(piece(1, "a"))]);
            Ok(answer_to(&request, first.chain(events).boxed()))
        })
    }));
    let front = serve(&node).await;
    let mut socket = TcpStream::connect(front.callers_address()).await.unwrap();
    socket.write_all(&generation(is_stream)).await.unwrap();
    signalled(&mut starts).await;
    drop(socket);
    signalled(&mut drops).await;
}

/// Two editors ask at the same moment, and their engines answer late and in turns. Each must get
/// the whole of its own answer and nothing of another's.
#[tokio::test]
async fn concurrent_streams_never_mix() {
    const CALLERS: usize = 64;
    const PIECES: u64 = 50;
    let node = Arc::new(FakeNode::answering(|request| {
        let caller = request.caller.to_string();
        let delay = caller.len() + usize::from(caller.ends_with('7'));
        stream::iter(1..=PIECES)
            .then(move |id| {
                let text = format!("{caller}:{id}");
                async move {
                    for _ in 0..(delay * id as usize) % 5 {
                        tokio::task::yield_now().await;
                    }
                    Ok(piece(id, &text))
                }
            })
            .chain(stream::iter([Ok(end(PIECES))]))
            .boxed()
    }));
    let fronts = [serve(&node).await, serve(&node).await];
    let body = format!(r#"{{"model":"{ADAPTER}","stream":true}}"#);
    let one_caller = |caller: usize| {
        let address = fronts[caller % 2].callers_address();
        let header = format!("nutmegsail-caller: editor-{caller}");
        let bytes = request("POST", "/v1/completions", &[&header], body.as_bytes());
        async move { (caller, send(address, &bytes).await) }
    };
    for (caller, reply) in join_all((0..CALLERS).map(one_caller)).await {
        let mut expected = String::new();
        for id in 1..=PIECES {
            let text = format!(r#"{{"choices":[{{"index":0,"text":"editor-{caller}:{id}"}}]}}"#);
            expected.push_str(&format!("id: {id}\ndata: {text}\n\n"));
        }
        let (pieces, _) = reply.body.split_once("event: end").expect("an end");
        assert_eq!(pieces, expected);
    }
}

#[tokio::test]
async fn a_resumed_answer_goes_on_after_the_last_event() {
    let node = Arc::new(FakeNode::new());
    let front = serve(&node).await;
    let handle = handle_of(&"018f3a".into(), &ADAPTER.parse().unwrap());
    let path = format!("/v1/answers/{handle}");
    let reply = send(
        front.callers_address(),
        &request("GET", &path, &["last-event-id: 2"], b""),
    )
    .await;
    assert_eq!(*node.resumed.lock().expect("not poisoned"), [(handle, 2)]);
    insta::assert_snapshot!(reply.body);
}

/// An engine restarts, and its new process has a run with the same id. Its text goes on differently,
/// so joining the two would make a summary that no model wrote.
#[tokio::test]
async fn text_of_two_generations_is_never_joined() {
    let node = Arc::new(FakeNode::new());
    let front = serve(&node).await;
    let mut handle = handle_of(&"018f3a".into(), &ADAPTER.parse().unwrap());
    handle.upstream = RESTARTED.into();
    let path = format!("/v1/answers/{handle}");
    let bytes = request("GET", &path, &["last-event-id: 2"], b"");
    let reply = send(front.callers_address(), &bytes).await;
    assert_eq!((reply.status, reply.number()), (404, 1013));
    assert_eq!(reply.run_state(), "ran");
}
