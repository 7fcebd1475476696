//! A caller that reads a streamed answer event by event.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use nutmegsail_request::AnswerHandle;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Prompts differ, so that an engine's cached prefix draws no request to it.
static NEXT_PROMPT: AtomicU64 = AtomicU64::new(0);

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    pub id: Option<u64>,
    pub name: String,
    pub data: String,
}

/// An answer under way. Dropping it closes the caller's connection.
pub struct Stream {
    pub status: u16,
    pub headers: HeaderMap,
    body: Incoming,
    unread: String,
    connection: JoinHandle<()>,
}

/// What a caller has of an answer.
#[derive(Debug, Default)]
pub struct Reading {
    pub status: u16,
    /// The request's id, as the node names it.
    pub request: String,
    /// The texts of the pieces, in order.
    pub pieces: Vec<String>,
    /// The count of the end event.
    pub end: Option<u64>,
    /// The error event, or the body of a refusal.
    pub error: Option<serde_json::Value>,
}

impl Stream {
    /// Asks `node` for `tokens` tokens of `model`.
    pub async fn generate(node: SocketAddr, model: &str, tokens: u64, call: Option<&str>) -> Self {
        let prompt = NEXT_PROMPT.fetch_add(1, Ordering::Relaxed);
        let body = serde_json::json!({
            "model": model, "prompt": format!("{prompt} hello"), "max_tokens": tokens, "stream": true,
        });
        let headers = call.map(|call| ("nutmegsail-call", call.to_owned()));
        let headers: Vec<_> = headers.into_iter().collect();
        let path = "/v1/completions";
        Self::send(node, Method::POST, path, &headers, body.to_string()).await
    }

    /// Asks `node` for the rest of an answer.
    pub async fn resume(node: SocketAddr, handle: &str, after: u64) -> Self {
        let path = format!("/v1/answers/{handle}");
        let headers = [("last-event-id", after.to_string())];
        Self::send(node, Method::GET, &path, &headers, String::new()).await
    }

    async fn send(
        node: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: String,
    ) -> Self {
        let stream = TcpStream::connect(node).await.expect("a connection");
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
        let (mut sender, connection) = handshake.await.expect("a handshake");
        let connection = tokio::spawn(async move { drop(connection.await) });
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "node");
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(Bytes::from(body)));
        let answer = sender.send_request(request.expect("a request")).await;
        let (head, body) = answer.expect("an answer").into_parts();
        Self {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
            unread: String::new(),
            connection,
        }
    }

    /// The handle by which the answer is resumed.
    pub fn handle_text(&self) -> String {
        let handle = &self.headers["nutmegsail-answer"];
        handle.to_str().expect("text").to_owned()
    }

    /// What the handle names.
    pub fn handle(&self) -> AnswerHandle {
        self.handle_text().parse().expect("a handle")
    }

    /// The next event; `None` after the end, also after a broken connection.
    pub async fn next(&mut self) -> Option<SseEvent> {
        loop {
            if let Some((event, rest)) = self.unread.split_once("\n\n") {
                let event = parse(event);
                self.unread = rest.to_owned();
                return Some(event);
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(bytes) = frame.into_data() {
                self.unread
                    .push_str(std::str::from_utf8(&bytes).expect("UTF-8"));
            }
        }
    }

    /// Reads `count` pieces.
    pub async fn pieces(&mut self, count: usize) -> Vec<String> {
        let mut pieces = Vec::new();
        while pieces.len() < count {
            let event = self.next().await.expect("the answer goes on");
            assert!(event.id.is_some(), "{event:?}");
            pieces.push(text_of_piece(&event));
        }
        pieces
    }

    /// Reads what is left.
    pub async fn read(mut self) -> Reading {
        let request = self.headers.get("nutmegsail-request-id");
        let request = request.map(|id| id.to_str().expect("text").to_owned());
        let mut reading = Reading {
            status: self.status,
            request: request.unwrap_or_default(),
            ..Reading::default()
        };
        if self.status != 200 {
            let body = (&mut self.body).collect().await.expect("a body").to_bytes();
            let body: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
            reading.error = Some(body["error"].clone());
            return reading;
        }
        while let Some(event) = self.next().await {
            let json = || serde_json::from_str::<serde_json::Value>(&event.data).expect("JSON");
            match event.name.as_str() {
                "end" => reading.end = json()["count"].as_u64(),
                "error" => reading.error = Some(json()["error"].clone()),
                _ if event.id.is_some() => reading.pieces.push(text_of_piece(&event)),
                _ => {}
            }
        }
        reading
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.connection.abort();
    }
}

impl Reading {
    /// The error's code.
    pub fn code(&self) -> &str {
        let code = self.error.as_ref().and_then(|error| error["code"].as_str());
        code.unwrap_or_default()
    }

    /// Asserts that this is the whole rest of `request`'s answer of `count` pieces.
    pub fn assert_whole(&self, request: &str, adapter: &str, after: u64, count: u64) {
        assert_eq!((self.status, &self.error), (200, &None), "{request}");
        assert_eq!(self.pieces, pieces(request, adapter, after, count));
        assert_eq!(self.end, Some(count));
    }
}

/// The pieces that the stand-in makes for `request`.
pub fn pieces(request: &str, adapter: &str, after: u64, count: u64) -> Vec<String> {
    let ids = after + 1..=count;
    ids.map(|id| format!("{request}/{adapter}/{id} ")).collect()
}

fn parse(text: &str) -> SseEvent {
    let mut event = SseEvent::default();
    for line in text.lines() {
        match line.split_once(": ") {
            Some(("id", id)) => event.id = id.parse().ok(),
            Some(("event", name)) => event.name = name.to_owned(),
            Some(("data", data)) => event.data = data.to_owned(),
            _ => {}
        }
    }
    event
}

fn text_of_piece(event: &SseEvent) -> String {
    let json: serde_json::Value = serde_json::from_str(&event.data).expect("JSON");
    let text = json["choices"][0]["text"].as_str();
    text.expect("a text").to_owned()
}
