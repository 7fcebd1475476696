//! Many clients send long requests to one node at the same time. The platform kills a process that exceeds its
//! memory.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::storm::{MEMORY_MB, Tally, call, tell};
use super::{ZONES, configuration, model};
use crate::Outcome;
use crate::http::Connection;
use crate::node::Node;
use crate::record::Record;
use crate::server::{Server, ServerOptions};
use crate::store::Store;

/// How many clients send at once, the length of each request, `maxBodyBytes` at most, and how long it takes to
/// send, `headerTimeoutMs` at most. Together they stay under the 1,000 Mbit/s of a machine's link.
const CLIENTS: u64 = 70;
const BODY_BYTES: usize = 4_190_000;
const SENT_IN: Duration = Duration::from_millis(2_700);

/// How many pieces a request is sent in.
const PIECES: u32 = 100;

/// Clients with short requests beside, on kept connections.
const CALLERS: u32 = 12;

/// Sends one long request; returns the status of the answer, 0 if none came.
fn send_long(address: SocketAddr, id: &str) -> u16 {
    let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return 0;
    };
    let mut connection = Connection::new(stream);
    let head = format!(
        "POST /contract/7 HTTP/1.1\r\nHost: desk.example\r\nX-Nutmegsail-Request-Id: {id}\r\n\
         X-Nutmegsail-Request-Deadline: 10000\r\nContent-Length: {BODY_BYTES}\r\n{}\r\n",
        model("a1", 646, 126)
    );
    if connection.write(&head).is_err() {
        return 0;
    }
    let piece = vec![b'x'; BODY_BYTES / PIECES as usize];
    let began = Instant::now();
    for place in 0..PIECES {
        thread::sleep((SENT_IN / PIECES * place).saturating_sub(began.elapsed()));
        if connection.stream.write_all(&piece).is_err() {
            return 0;
        }
    }
    let reply = crate::http::exchange(&mut connection, "", Duration::from_secs(10));
    reply.status
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op/config", &configuration());
    let servers: Vec<Server> = {
        ["i-scribe-1", "i-scribe-2", "i-scribe-3"]
            .into_iter()
            .zip(ZONES)
    }
    .map(|(id, zone)| {
        let options = ServerOptions {
            id,
            service: "spa-scribe",
            zone: zone.to_owned(),
            software: "v1",
            slots: 64,
            adapters: Some(vec!["a1"]),
        };
        Server::start(&store, options, Box::new(tell))
    })
    .collect();
    let nodes: Vec<Node> = { ZONES.iter().enumerate() }
        .map(|(number, zone)| Node::start(&store, number, zone, &ZONES))
        .collect();
    if !nodes.iter().all(Node::until_ready) {
        return Outcome::CouldNotRun("the nodes did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    let node = &nodes[0];
    let (is_over, tally) = (Arc::new(AtomicBool::new(false)), Arc::<Tally>::default());
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (address, name) = (node.callers, format!("short-{caller}"));
        let (tally, is_over, servers) = (Arc::clone(&tally), Arc::clone(&is_over), servers.clone());
        callers.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(67) * caller);
            call(address, &name, &servers, &tally, &is_over);
        }));
    }
    thread::sleep(Duration::from_secs(4));
    let mbit_s = CLIENTS as f64 * BODY_BYTES as f64 * 8.0 / 1e6 / SENT_IN.as_secs_f64();
    record.note(format!(
        "the first node has {} MB; {CLIENTS} clients send {BODY_BYTES} bytes each, at {mbit_s:.0} Mbit/s together",
        node.memory_mb()
    ));
    let answered = Arc::new(AtomicU64::new(0));
    let mut long = Vec::new();
    for number in 0..CLIENTS {
        let (address, answered) = (node.callers, Arc::clone(&answered));
        if has_trouble {
            long.push(thread::spawn(move || {
                if send_long(address, &format!("long-{number}")) == 200 {
                    answered.fetch_add(1, Ordering::SeqCst);
                }
            }));
        }
    }
    let (began, mut most, mut is_killed) = (Instant::now(), 0, false);
    while began.elapsed() < Duration::from_secs(8) {
        let memory_mb = node.memory_mb();
        most = most.max(memory_mb);
        if memory_mb > MEMORY_MB && !is_killed {
            is_killed = true;
            node.signal("KILL");
            record.note(format!(
                "the platform kills {}: it has {memory_mb} MB",
                node.name
            ));
        }
        thread::sleep(Duration::from_millis(10));
    }
    is_over.store(true, Ordering::SeqCst);
    for thread in callers.into_iter().chain(long) {
        let _ = thread.join();
    }
    record.note(format!(
        "it had {most} MB at most; {} long requests were answered",
        answered.load(Ordering::SeqCst)
    ));
    let lost = tally.note(record, &node.name);
    match is_killed && lost > 3 {
        true => Outcome::Broken(format!(
            "LOST: the process ended by itself, over its memory; {lost} requests of kept connections had been passed on \
             to a sound server and got no answer, 3 are allowed"
        )),
        false => Outcome::Held(format!(
            "{most} MB at most, {lost} requests without an answer"
        )),
    }
}
