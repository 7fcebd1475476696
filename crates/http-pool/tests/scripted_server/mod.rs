//! A server that answers with given bytes, for tests of the clients. Other crates' tests include it.

#![allow(
    dead_code,
    reason = "not every crate that includes this uses all of it"
)]

pub mod malformed;

use std::collections::VecDeque;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// What the server does with one request.
pub enum Turn {
    /// Writes these bytes and waits for the next request on the connection.
    Answer(Vec<u8>),
    /// Writes these bytes, perhaps none, and closes the connection.
    AnswerAndClose(Vec<u8>),
    /// Writes these bytes, perhaps none, and says nothing more.
    AnswerAndHang(Vec<u8>),
}

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct SeenRequest {
    /// The request line and the headers.
    pub head: String,
    /// The body.
    pub body: String,
}

impl SeenRequest {
    /// The method and the path.
    pub fn line(&self) -> &str {
        let line = self.head.lines().next().unwrap_or_default();
        line.trim_end_matches(" HTTP/1.1")
    }
}

/// What the server saw.
#[derive(Default)]
struct Log {
    requests: Mutex<Vec<SeenRequest>>,
    connections: AtomicUsize,
    closed: Notify,
}

/// A server on loopback that plays its turns in order, one for each request.
pub struct ScriptedServer {
    /// Its `host:port`.
    pub address: String,
    log: Arc<Log>,
    task: JoinHandle<()>,
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl ScriptedServer {
    /// Starts a server that plays `turns`, and then closes what connects.
    pub async fn start(turns: impl IntoIterator<Item = Turn>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let log = Arc::new(Log::default());
        let turns = turns.into_iter().collect();
        let task = tokio::spawn(play(listener, turns, Arc::clone(&log)));
        Self { address, log, task }
    }

    /// The requests that have arrived so far.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.log.requests.lock().expect("no panic").clone()
    }

    /// How many connections were accepted so far.
    pub fn connections(&self) -> usize {
        self.log.connections.load(Ordering::SeqCst)
    }

    /// Waits until the client has closed a connection.
    pub async fn closed(&self) {
        self.log.closed.notified().await;
    }
}

/// An answer with a status, further headers (each ending in `\r\n`) and a body.
pub fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} x\r\n{headers}content-length: {length}\r\n\r\n{body}").into_bytes()
}

async fn play(listener: TcpListener, mut turns: VecDeque<Turn>, log: Arc<Log>) {
    let mut hanging = Vec::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        log.connections.fetch_add(1, Ordering::SeqCst);
        while let Some(request) = read_request(&mut stream).await {
            log.requests.lock().expect("no panic").push(request);
            let turn = turns.pop_front();
            let turn = turn.unwrap_or_else(|| Turn::AnswerAndClose(Vec::new()));
            let (Turn::Answer(bytes) | Turn::AnswerAndClose(bytes) | Turn::AnswerAndHang(bytes)) =
                &turn;
            stream.write_all(bytes).await.expect("a reader");
            match turn {
                Turn::Answer(_) => {}
                Turn::AnswerAndClose(_) => {
                    stream.shutdown().await.expect("an open connection");
                    // What still comes has arrived, though nobody answers it.
                    while let Some(request) = read_request(&mut stream).await {
                        log.requests.lock().expect("no panic").push(request);
                    }
                    break;
                }
                Turn::AnswerAndHang(_) => {
                    hanging.push(stream);
                    break;
                }
            }
        }
        log.closed.notify_one();
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<SeenRequest> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).expect("text");
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.parse().expect("a number"));
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    let body = String::from_utf8(body).expect("text");
    Some(SeenRequest { head, body })
}
