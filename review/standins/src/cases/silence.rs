//! A stream that may be resumed, at the last server of its software version, is preempted for two and a half
//! seconds while its node is being stopped.

use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{ZONES, configuration, model, request};
use crate::Outcome;
use crate::http::{Connection, Request, send};
use crate::node::Node;
use crate::record::Record;
use crate::server::{Server, ServerOptions};
use crate::store::Store;

/// What a model server has memory for, in tokens.
const MEMORY: u32 = 3_000;

/// The time between two events.
const EVENT_TIME: Duration = Duration::from_millis(40);

/// The memory of one model server: the most urgent requests keep it, the newest first to yield among others.
#[derive(Default)]
struct Memory {
    /// Number, priority (0 first) and tokens of each running or preempted request, oldest first.
    requests: Mutex<Vec<(u64, u32, u32)>>,
    changed: Condvar,
}

impl Memory {
    fn enter(&self, number: u64, priority: u32, tokens: u32) {
        self.requests
            .lock()
            .unwrap()
            .push((number, priority, tokens));
    }

    fn leave(&self, number: u64) {
        self.requests
            .lock()
            .unwrap()
            .retain(|(known, ..)| *known != number);
        self.changed.notify_all();
    }

    /// Whether the request has memory now: those that are more urgent, and older ones, come first.
    fn has(requests: &[(u64, u32, u32)], number: u64) -> bool {
        let mut order: Vec<&(u64, u32, u32)> = requests.iter().collect();
        order.sort_by_key(|(number, priority, _)| (*priority, *number));
        let mut used = 0;
        for (known, _, tokens) in order {
            used += tokens;
            if used > MEMORY {
                return false;
            }
            if *known == number {
                return true;
            }
        }
        false
    }

    /// Waits until the request has memory; returns how long that took.
    fn wait(&self, number: u64) -> Duration {
        let began = Instant::now();
        let mut requests = self.requests.lock().unwrap();
        while !Self::has(&requests, number) {
            requests = self.changed.wait(requests).unwrap();
        }
        began.elapsed()
    }
}

/// A model server that preempts, and writes an event every 40 ms to each stream that has memory.
fn engine(
    store: &Store,
    record: &Arc<Record>,
    id: &'static str,
    software: &'static str,
    zone: &str,
    adapters: Vec<&'static str>,
) -> Server {
    let (memory, count) = (Memory::default(), Mutex::new(0_u64));
    let record = Arc::clone(record);
    let options = ServerOptions {
        id,
        service: "spa-scribe",
        zone: zone.to_owned(),
        software,
        slots: 64,
        adapters: Some(adapters),
    };
    let handler = move |server: &Server, request: &Request, connection: &mut Connection| {
        let name = request
            .header("x-nutmegsail-request-id")
            .unwrap_or_default()
            .to_owned();
        let usage = request
            .header("x-nutmegsail-token-usage")
            .unwrap_or_default();
        let mut usage = usage
            .split(',')
            .map(|number| number.parse::<u32>().unwrap_or(0));
        let (read, out) = (usage.next().unwrap_or(0), usage.next().unwrap_or(0));
        let priority = request.header("x-nutmegsail-request-priority");
        let priority = priority.and_then(|text| text.parse().ok()).unwrap_or(5);
        let after = request
            .header("last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let number = {
            let mut count = count.lock().unwrap();
            *count += 1;
            *count
        };
        record.note(format!(
            "{id} ({software}) begins {name}, priority {priority}, after event {after}"
        ));
        memory.enter(number, priority, read + out);
        let ended = tell(server, request, connection, &record, after..out / 2, || {
            memory.wait(number)
        });
        memory.leave(number);
        match ended {
            Ok(()) => record.note(format!("{id} has written the whole answer to {name}")),
            Err(_) => record.note(format!(
                "{id}: the node has closed the connection of {name}"
            )),
        }
        ended.is_ok()
    };
    Server::start(store, options, Box::new(handler))
}

fn tell(
    server: &Server,
    request: &Request,
    connection: &mut Connection,
    record: &Record,
    events: std::ops::Range<u32>,
    wait: impl Fn() -> Duration,
) -> std::io::Result<()> {
    let name = request
        .header("x-nutmegsail-request-id")
        .unwrap_or_default();
    wait();
    connection.write(&format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{}\r\n",
        server.sealed(request)
    ))?;
    for event in events {
        let waited = wait();
        if waited > EVENT_TIME {
            let ms = waited.as_millis();
            record.note(format!(
                "{}: {name} goes on, it was preempted for {ms} ms",
                server.id
            ));
        }
        connection.chunk(&format!("id: {}\ndata: word\n\n", event + 1))?;
        thread::sleep(EVENT_TIME);
    }
    connection.write("0\r\n\r\n")
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let record: Arc<Record> = Arc::new(record.clone());
    let store = Store::start();
    store.put("op/config", &configuration());
    // Most servers of the service have been replaced; the last one of the old version still serves.
    let _engines = [
        engine(&store, &record, "i-old", "v1", ZONES[0], vec!["a1", "a2"]),
        engine(&store, &record, "i-new-1", "v2", ZONES[1], vec!["a3"]),
        engine(&store, &record, "i-new-2", "v2", ZONES[2], vec!["a3"]),
    ];
    let nodes: Vec<Node> = { ZONES.iter().enumerate() }
        .map(|(number, zone)| Node::start(&store, number, zone, &ZONES))
        .collect();
    if !nodes.iter().all(Node::until_ready) {
        return Outcome::CouldNotRun("the nodes did not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(8));
    let callers = nodes[0].callers;
    let text = request(
        "POST",
        "/summary/7",
        "summary-1",
        15_000,
        &model("a1", 1_460, 172),
        "prompt",
    );
    record.note("summary-1 is sent to the first node");
    let streaming = thread::spawn(move || send(callers, &text, Duration::from_secs(15)));
    thread::sleep(Duration::from_millis(800));
    record.note("SIGTERM to the first node");
    nodes[0].signal("TERM");
    thread::sleep(Duration::from_millis(300));
    let mut urgent = Vec::new();
    if has_trouble {
        for number in 1..=2 {
            let callers = nodes[number].callers;
            let id = format!("contract-{number}");
            let text = request(
                "POST",
                "/contract/7",
                &id,
                10_000,
                &model("a2", 646, 126),
                "prompt",
            );
            record.note(format!("{id} is sent to another node"));
            let id = id.clone();
            urgent.push((
                id,
                thread::spawn(move || send(callers, &text, Duration::from_secs(10))),
            ));
        }
    }
    let reply = streaming.join().unwrap();
    record.note(format!(
        "the client has of summary-1: status {}, {} events, whole: {}, {} ms after it was sent, longest pause {} ms; {}",
        reply.status, reply.body.matches("data:").count(), reply.is_whole, reply.took.as_millis(),
        reply.longest_pause.as_millis(), reply.why
    ));
    for (id, sent) in urgent {
        let reply = sent.join().unwrap();
        let events = reply.body.matches("data:").count();
        record.note(format!(
            "{id}: status {}, {events} events, whole: {}",
            reply.status, reply.is_whole
        ));
    }
    thread::sleep(Duration::from_millis(500));
    for line in nodes[0]
        .logged("AnswerCut")
        .iter()
        .chain(&nodes[0].logged("AnswerNotResumed"))
    {
        record.note(format!("the first node logs {line}"));
    }
    if reply.status == 0 && !reply.is_whole && reply.body.is_empty() {
        return Outcome::CouldNotRun("the stream did not begin".to_owned());
    }
    match reply.is_whole {
        true => Outcome::Held("the stream was answered whole".to_owned()),
        false => Outcome::Broken(
            "LOST: the stream was passed on to a server, which was still at work and never broke off, and its \
             connection ended without a complete answer".to_owned(),
        ),
    }
}
