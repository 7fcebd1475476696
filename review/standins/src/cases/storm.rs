//! Configurations come in quick succession, each within the size that the store allows. The platform kills a
//! process that exceeds its memory.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{ZONES, configuration, model, request};
use crate::Outcome;
use crate::http::{Connection, Request, exchange};
use crate::node::Node;
use crate::record::Record;
use crate::server::{Server, ServerOptions};
use crate::store::Store;

/// `limits.memoryMb` of a node.
pub(super) const MEMORY_MB: u64 = 260;

/// The largest value that the store takes.
const VALUE_BYTES: usize = 1_048_576;

/// Between two configurations of a storm, how many a storm has, and the pause after it.
const GAP: Duration = Duration::from_millis(330);
const STORM: u64 = 12;
const PAUSE: Duration = Duration::from_millis(600);

/// How long the case is played.
const LENGTH: Duration = Duration::from_secs(100);

/// How long a model server needs until the first event, and for the whole answer.
const FIRST_EVENT: Duration = Duration::from_millis(500);
const EVENTS: u32 = 10;

/// How many clients each node has, and the time between their first requests, so that they do not act together.
const CALLERS: u32 = 12;
const STAGGER: Duration = Duration::from_millis(67);

/// A configuration with as many further routes as fit.
fn big_configuration(version: u64) -> String {
    let mut routes = String::new();
    let base = configuration().replace("\"version\":7", &format!("\"version\":{version}"));
    let mut number = 0;
    loop {
        let route = format!(
            "{{\"name\":\"r-more-{number}\",\"hostname\":\"host-{number}.example\",\"pathPrefix\":\
             \"/more-{number}/\",\"kind\":\"idempotent\",\"timeoutMs\":800,\"sloMs\":150,\"priority\":2,\
             \"service\":\"spa-desk\",\"maxAttempts\":2}},"
        );
        if base.len() + routes.len() + route.len() > VALUE_BYTES {
            return base.replace("\"routes\":[", &format!("\"routes\":[{routes}"));
        }
        routes.push_str(&route);
        number += 1;
    }
}

/// What became of the requests of one node's clients.
#[derive(Default)]
pub(super) struct Tally {
    whole: AtomicUsize,
    /// Passed on to the server, and the connection was closed without any answer.
    unanswered: Mutex<Vec<(Instant, String)>>,
    other: Mutex<BTreeMap<u16, usize>>,
}

impl Tally {
    /// Writes it down; returns how many requests got no answer.
    pub(super) fn note(&self, record: &Record, node: &str) -> usize {
        let unanswered = self.unanswered.lock().unwrap();
        record.note(format!(
            "{node}: {} requests answered whole, {} closed without an answer, others by status: {:?}",
            self.whole.load(Ordering::SeqCst), unanswered.len(), self.other.lock().unwrap()
        ));
        for (at, id) in unanswered.iter() {
            let text =
                "had been passed on to the server; its connection is closed without an answer";
            record.note_at(*at, format!("{id} {text}"));
        }
        unanswered.len()
    }
}

/// Sends one request after the other on a kept connection.
pub(super) fn call(
    address: SocketAddr,
    name: &str,
    servers: &[Server],
    tally: &Tally,
    is_over: &AtomicBool,
) {
    let mut kept: Option<Connection> = None;
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("{name}-{number}");
        let text = request(
            "POST",
            "/contract/7",
            &id,
            10_000,
            &model("a1", 646, 126),
            "prompt",
        );
        let text = text.replace("Connection: close\r\n", "");
        let opened: io::Result<Connection> = match kept.take() {
            Some(connection) => Ok(connection),
            None => {
                TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Connection::new)
            }
        };
        let Ok(mut connection) = opened else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let reply = exchange(&mut connection, &text, Duration::from_secs(10));
        if reply.is_whole && reply.status == 200 {
            tally.whole.fetch_add(1, Ordering::SeqCst);
            kept = (reply.header("connection") != Some("close")).then_some(connection);
        } else if reply.status == 0
            && number > 1
            && servers.iter().any(|server| server.has_seen(&id))
        {
            tally.unanswered.lock().unwrap().push((Instant::now(), id));
        } else {
            *tally.other.lock().unwrap().entry(reply.status).or_default() += 1;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    let first = big_configuration(100);
    record.note(format!(
        "each configuration has {} bytes, {VALUE_BYTES} are allowed",
        first.len()
    ));
    store.put("op/config", &first);
    let options = ServerOptions {
        id: "i-scribe-1",
        service: "spa-scribe",
        zone: ZONES[0].to_owned(),
        software: "v1",
        slots: 64,
        adapters: Some(vec!["a1"]),
    };
    let server = Server::start(&store, options, Box::new(tell));
    let nodes: Vec<Node> = { ZONES.iter().enumerate() }
        .map(|(number, zone)| Node::start(&store, number, zone, &ZONES))
        .collect();
    if !nodes.iter().all(Node::until_ready) {
        return Outcome::CouldNotRun("the nodes did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let is_over = Arc::new(AtomicBool::new(false));
    let tallies: Vec<Arc<Tally>> = nodes.iter().map(|_| Arc::default()).collect();
    let mut callers = Vec::new();
    for (place, node) in nodes.iter().enumerate() {
        for caller in 0..CALLERS {
            let (address, name) = (node.callers, format!("{}-{caller}", node.name));
            let (tally, is_over) = (Arc::clone(&tallies[place]), Arc::clone(&is_over));
            let server = server.clone();
            callers.push(thread::spawn(move || {
                thread::sleep(STAGGER * caller);
                call(address, &name, &[server], &tally, &is_over);
            }));
        }
    }
    let began = Instant::now();
    let (mut version, mut last) = (100_u64, Instant::now());
    let mut killed: Vec<usize> = Vec::new();
    let mut noted = Instant::now();
    while began.elapsed() < LENGTH && killed.len() < nodes.len() {
        let pause = match (version - 100) % STORM {
            0 => PAUSE,
            _ => GAP,
        };
        if has_trouble && last.elapsed() >= pause {
            version += 1;
            last = Instant::now();
            store.put("op/config", &big_configuration(version));
        }
        for (place, node) in nodes.iter().enumerate() {
            let memory_mb = node.memory_mb();
            if memory_mb > MEMORY_MB && !killed.contains(&place) {
                node.signal("KILL");
                killed.push(place);
                record.note(format!(
                    "the platform kills {}: it has {memory_mb} MB, after {} configurations",
                    node.name,
                    version - 100
                ));
            }
        }
        if noted.elapsed() >= Duration::from_secs(5) {
            noted = Instant::now();
            let used: Vec<String> = nodes
                .iter()
                .map(|node| format!("{} MB", node.memory_mb()))
                .collect();
            record.note(format!(
                "{} configurations, nodes use {}",
                version - 100,
                used.join(", ")
            ));
        }
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let mut most = 0;
    for (node, tally) in nodes.iter().zip(&tallies) {
        most = most.max(tally.note(record, &node.name));
    }
    match most > 3 {
        true => Outcome::Broken(format!(
            "LOST: {} processes ended by themselves, over their memory; up to {most} requests of kept connections at \
             one machine had been passed on to a sound server and got no answer, 3 are allowed",
            killed.len()
        )),
        false => Outcome::Held(format!(
            "{} processes over their memory, {most} requests without an answer",
            killed.len()
        )),
    }
}

pub(super) fn tell(server: &Server, request: &Request, connection: &mut Connection) -> bool {
    let mut told = || -> io::Result<()> {
        thread::sleep(FIRST_EVENT);
        connection.write(&format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{}\r\n",
            server.sealed(request)
        ))?;
        for event in 1..=EVENTS {
            connection.chunk(&format!("id: {event}\ndata: word\n\n"))?;
            thread::sleep(Duration::from_millis(20));
        }
        connection.write("0\r\n\r\n")
    };
    told().is_ok()
}
