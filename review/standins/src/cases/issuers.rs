//! The store is down for longer than leases last, while servers name a limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::{ZONES, configuration, request};
use crate::Outcome;
use crate::http::{Connection, Request, Reply, send};
use crate::node::Node;
use crate::record::Record;
use crate::server::{Server, ServerOptions};
use crate::store::Store;

const LIMIT: f64 = 4.0;
const WINDOW: Duration = Duration::from_secs(4);
const NODES: usize = 7;

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op/config", &configuration());
    let servers: Vec<Server> = ["i-desk-1", "i-desk-2", "i-desk-3"].into_iter().zip(ZONES).map(|(id, zone)| {
        let options = ServerOptions { id, service: "spa-desk", zone: zone.to_owned(), software: "v1", slots: 6, adapters: None };
        let handler = |server: &Server, request: &Request, connection: &mut Connection| {
            thread::sleep(Duration::from_millis(30));
            connection.answer(200, &server.sealed(request), "free").is_ok()
        };
        Server::start(&store, options, Box::new(handler))
    }).collect();
    let nodes: Vec<Node> = (0..NODES).map(|number| Node::start(&store, number, ZONES[number % 3], &ZONES)).collect();
    if !nodes.iter().all(Node::until_ready) {
        return Outcome::CouldNotRun("the nodes did not become ready".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicUsize::new(0));
    let mut callers = Vec::new();
    for node in &nodes {
        for _ in 0..8 {
            let (address, is_over, count) = (node.callers, Arc::clone(&is_over), Arc::clone(&count));
            callers.push(thread::spawn(move || {
                let mut replies: Vec<Reply> = Vec::new();
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("q{}", count.fetch_add(1, Ordering::SeqCst));
                    let text = request("GET", "/lookup/7", &id, 1_500, "", "");
                    replies.push(send(address, &text, Duration::from_millis(1_500)));
                    thread::sleep(Duration::from_millis(400));
                }
                replies
            }));
        }
    }
    thread::sleep(Duration::from_secs(3));
    let named = Instant::now();
    record.note(format!("the servers name Server-Limit: {LIMIT}"));
    for server in &servers { server.say(&format!("Server-Limit: {LIMIT}\r\n")); }
    thread::sleep(Duration::from_secs(6));
    if has_trouble { record.note("the store is down; leases run out"); store.set_down(true); }
    thread::sleep(Duration::from_millis(6_500));
    if has_trouble { record.note("the store is back"); store.set_down(false); }
    thread::sleep(Duration::from_secs(8));
    is_over.store(true, Ordering::SeqCst);
    let mut statuses = std::collections::BTreeMap::new();
    for caller in callers { for reply in caller.join().unwrap() { *statuses.entry(reply.status).or_insert(0) += 1; } }
    record.note(format!("answers by status: {statuses:?}"));
    let allowed = 1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0;
    let mut worst = 0;
    for server in &servers {
        let seen: Vec<Instant> = server.seen().into_iter().map(|(at, ..)| at).filter(|at| *at > named + Duration::from_secs(3)).collect();
        let most = seen.iter().map(|from| (seen.iter().filter(|at| *at >= from && **at < *from + WINDOW).count(), *from)).max();
        let Some((most, from)) = most else { continue };
        record.note_at(from, format!("{}: {most} requests in the 4 s from here, {allowed} are allowed", server.id));
        worst = worst.max(most);
        for second in 0..24 { let from = named + Duration::from_secs(second); let n = server.seen().iter().filter(|(at, ..)| *at >= from && *at < from + Duration::from_secs(1)).count(); record.note_at(from, format!("{}: {n} in this second", server.id)); }
    }
    match worst as f64 <= allowed {
        true => Outcome::Held(format!("at most {worst} requests in 4 s")),
        false => Outcome::Broken(format!("LIMIT: {worst} requests in 4 s, {allowed} are allowed")),
    }
}
