//! A small stand-in for the node, and a raw client.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream::{self, BoxStream, StreamExt};
use nutmegsail_base::{AdapterRef, Incarnation, RequestId, UpstreamId};
use nutmegsail_config::{Deployment, Digest, Generation, InForce};
use nutmegsail_front::{
    Answer, Front, FrontSettings, Generate, Handler, OperatorsQuery, PlainAnswer, PlainCall,
};
use nutmegsail_request::{AnswerHandle, Refusal};
use nutmegsail_telemetry::discard_logger;
use nutmegsail_upstream::{AnswerEnd, StreamEvent};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

pub const ADAPTER: &str = "treatment-summary-0042@1";

/// An engine that answers a resume from another run of its process.
pub const RESTARTED: &str = "127.0.0.1:9199";

pub type Events = BoxStream<'static, Result<StreamEvent, Refusal>>;
type GenerateFn =
    Box<dyn Fn(Generate) -> BoxFuture<'static, Result<Answer, Refusal>> + Send + Sync>;
type CallFn = Box<dyn Fn(&PlainCall) -> Result<PlainAnswer, Refusal> + Send + Sync>;

/// What the front asks, answered as a test says. Everything asked is kept.
pub struct FakeNode {
    pub is_ready: AtomicBool,
    pub generated: Mutex<Vec<Generate>>,
    pub called: Mutex<Vec<PlainCall>>,
    pub resumed: Mutex<Vec<(AnswerHandle, u64)>>,
    pub asked: Mutex<Vec<OperatorsQuery>>,
    in_force: Option<Arc<InForce>>,
    generate: GenerateFn,
    call: CallFn,
}

impl FakeNode {
    /// A node whose engines answer with the pieces `a`, `b` and `c`.
    pub fn new() -> Self {
        Self::answering(|_| whole(&["a", "b", "c"]))
    }

    /// A node that has just started and knows no text yet.
    pub fn without_text() -> Self {
        let mut node = Self::new();
        node.in_force = None;
        node
    }

    /// A node whose engines answer with `events`.
    pub fn answering(events: impl Fn(&Generate) -> Events + Send + Sync + 'static) -> Self {
        Self::with_generate(move |request| {
            let events = events(&request);
            Box::pin(async move { Ok(answer_to(&request, events)) })
        })
    }

    pub fn with_generate(
        generate: impl Fn(Generate) -> BoxFuture<'static, Result<Answer, Refusal>>
        + Send
        + Sync
        + 'static,
    ) -> Self {
        let text = include_str!("../../../../examples/jm-west.toml");
        let mut deployment = Deployment::parse(text, "jm-west.toml").expect("the example is valid");
        deployment.limits.body_bytes = 64 * 1024;
        Self {
            is_ready: AtomicBool::new(true),
            generated: Mutex::default(),
            called: Mutex::default(),
            resumed: Mutex::default(),
            asked: Mutex::default(),
            in_force: Some(Arc::new(InForce {
                generation: Generation(1),
                digest: Digest("d1".into()),
                deployment: Arc::new(deployment),
            })),
            generate: Box::new(generate),
            call: Box::new(|_| Ok(plain_answer(vec![Ok(Bytes::from("done"))]))),
        }
    }

    pub fn with_call(
        mut self,
        call: impl Fn(&PlainCall) -> Result<PlainAnswer, Refusal> + Send + Sync + 'static,
    ) -> Self {
        self.call = Box::new(call);
        self
    }
}

#[async_trait]
impl Handler for FakeNode {
    fn in_force(&self) -> Option<Arc<InForce>> {
        self.in_force.clone()
    }

    fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Acquire)
    }

    async fn generate(&self, request: Generate) -> Result<Answer, Refusal> {
        self.generated
            .lock()
            .expect("not poisoned")
            .push(request.clone());
        (self.generate)(request).await
    }

    async fn resume(&self, handle: AnswerHandle, after: u64) -> Result<Answer, Refusal> {
        self.resumed
            .lock()
            .expect("not poisoned")
            .push((handle.clone(), after));
        let mut handle = handle;
        if handle.upstream == UpstreamId::from(RESTARTED) {
            handle.incarnation.0 += 1;
        }
        let rest: Vec<_> = (after + 1..=3).map(|id| Ok(piece(id, "x"))).collect();
        Ok(Answer {
            adapter: handle.adapter.clone(),
            handle,
            events: stream::iter(rest).chain(stream::iter([Ok(end(3))])).boxed(),
        })
    }

    async fn call(&self, request: PlainCall) -> Result<PlainAnswer, Refusal> {
        let answer = (self.call)(&request);
        self.called.lock().expect("not poisoned").push(request);
        answer
    }

    fn ticket(&self) -> Option<String> {
        Some("ticket.node-1.7.018bcfe5-6800-7000-8000-000000000001".to_owned())
    }

    async fn operators(&self, query: OperatorsQuery) -> Result<Bytes, Refusal> {
        self.asked.lock().expect("not poisoned").push(query);
        Ok(Bytes::from("{}"))
    }
}

pub fn handle_of(request: &RequestId, adapter: &AdapterRef) -> AnswerHandle {
    AnswerHandle {
        request: request.clone(),
        adapter: adapter.clone(),
        upstream: UpstreamId::from("127.0.0.1:9101"),
        incarnation: Incarnation(7),
    }
}

pub fn answer_to(request: &Generate, events: Events) -> Answer {
    Answer {
        handle: handle_of(&request.request, &request.adapter),
        adapter: request.adapter.clone(),
        events,
    }
}

pub fn piece(id: u64, text: &str) -> StreamEvent {
    let json = format!(r#"{{"choices":[{{"index":0,"text":"{text}"}}]}}"#);
    StreamEvent::Piece {
        id,
        json: json.into(),
    }
}

pub fn end(count: u64) -> StreamEvent {
    StreamEvent::End(AnswerEnd {
        count,
        reason: "stop".into(),
    })
}

/// A whole answer of these pieces.
pub fn whole(texts: &[&str]) -> Events {
    let mut events: Vec<_> = (1..)
        .zip(texts)
        .map(|(id, text)| Ok(piece(id, text)))
        .collect();
    events.push(Ok(end(texts.len() as u64)));
    stream::iter(events).boxed()
}

pub fn plain_answer(pieces: Vec<Result<Bytes, nutmegsail_upstream::UpstreamError>>) -> PlainAnswer {
    PlainAnswer {
        status: 200,
        headers: http::HeaderMap::new(),
        ends_with_connection: false,
        body: stream::iter(pieces).boxed(),
    }
}

/// Tells when it is dropped.
pub struct DropSignal(pub mpsc::UnboundedSender<()>);

impl Drop for DropSignal {
    fn drop(&mut self) {
        let _ = self.0.send(());
    }
}

/// Settings for tests: any port, no wait for a balancer.
pub fn settings() -> FrontSettings {
    let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
    FrontSettings {
        max_header_bytes: 8 * 1024,
        stop_accepting_after_ms: 0,
        ..FrontSettings::default()
    }
    .with_callers_address(any_port)
    .with_operators_address(any_port)
}

pub async fn serve(node: &Arc<FakeNode>) -> Front {
    serve_with(node, settings()).await
}

pub async fn serve_with(node: &Arc<FakeNode>, settings: FrontSettings) -> Front {
    let handler: Arc<dyn Handler> = node.clone();
    Front::bind(settings, handler, discard_logger())
        .await
        .expect("a free port")
}

/// One response, read to the connection's end.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether a chunked body came to its end.
    pub is_complete: bool,
}

impl Reply {
    pub fn number(&self) -> u64 {
        let json: serde_json::Value = serde_json::from_str(&self.body).expect("a JSON body");
        json["error"]["number"].as_u64().expect("a numbered error")
    }

    pub fn run_state(&self) -> String {
        let json: serde_json::Value = serde_json::from_str(&self.body).expect("a JSON body");
        json["error"]["run_state"].as_str().expect("a state").into()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value)
    }
}

/// A request as bytes; the connection closes after its answer.
pub fn request(method: &str, path: &str, headers: &[&str], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n");
    for header in headers {
        head.push_str(header);
        head.push_str("\r\n");
    }
    if !head.contains("transfer-encoding") && !head.contains("content-length") {
        head.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    [head.as_bytes(), body].concat()
}

/// A generation of `ADAPTER`.
pub fn generation(is_stream: bool) -> Vec<u8> {
    let body = format!(r#"{{"model":"{ADAPTER}","prompt":"Guest 7","stream":{is_stream}}}"#);
    request("POST", "/v1/completions", &[], body.as_bytes())
}

/// Sends `bytes` and reads until the connection ends.
pub async fn send(address: SocketAddr, bytes: &[u8]) -> Reply {
    let mut socket = TcpStream::connect(address).await.expect("listening");
    let _ = socket.write_all(bytes).await;
    read_reply(&mut socket).await
}

pub async fn read_reply(socket: &mut TcpStream) -> Reply {
    let mut bytes = Vec::new();
    let _ = socket.read_to_end(&mut bytes).await;
    parse_reply(&bytes)
}

pub fn parse_reply(bytes: &[u8]) -> Reply {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n").expect("a response's head");
    let status = head[9..12].parse().expect("a status");
    let head = head.to_owned();
    let is_chunked = head.contains("transfer-encoding: chunked");
    let (body, is_complete) = if is_chunked {
        unchunk(body)
    } else {
        (body.to_owned(), true)
    };
    Reply {
        status,
        head,
        body,
        is_complete,
    }
}

fn unchunk(mut chunked: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, rest)) = chunked.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a chunk's size");
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = rest.get(..size) else {
            break;
        };
        body.push_str(chunk);
        chunked = rest.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}

/// Waits for a signal; a fault shows as a failure in place of a hang.
pub async fn signalled(signals: &mut mpsc::UnboundedReceiver<()>) {
    tokio::time::timeout(Duration::from_secs(30), signals.recv())
        .await
        .expect("the signal")
        .expect("the sender lives");
}

/// The text with each request id and handle replaced, for snapshots.
pub fn without_ids(text: &str) -> String {
    let mut text = text.to_owned();
    for mark in ["\"request\":\"", "\"answer\":\"", "\"id\":\""] {
        let mut parts = text.split(mark);
        let mut kept = parts.next().unwrap_or_default().to_owned();
        for part in parts {
            kept.push_str(mark);
            kept.push('~');
            kept.push_str(part.find('"').map_or("", |quote| &part[quote..]));
        }
        text = kept;
    }
    text
}
