//! A node that was cut off from the store takes its model servers back while the orders of the node that had
//! taken them over are still fresh.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{ZONES, configuration, model, request};
use crate::Outcome;
use crate::http::{Connection, Request, send};
use crate::json::Json;
use crate::node::Node;
use crate::record::Record;
use crate::server::{Server, ServerOptions};
use crate::store::Store;

/// How long the first node is cut off from the store.
const CUT: Duration = Duration::from_millis(12_000);

/// Between the orders of two holders to one server.
const LEASE: Duration = Duration::from_millis(3_000);

/// Orders that arrive so soon after a link healed do not count.
const THAW: Duration = Duration::from_millis(300);

/// When the node that has taken over gets SIGTERM, after the begin of the cut.
const TERM_AFTER: Duration = Duration::from_millis(8_500);

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op/config", &configuration());
    let engines: Vec<Server> = ["i-eng-1", "i-eng-2", "i-eng-3", "i-eng-4"]
        .into_iter()
        .map(|id| {
            let options = ServerOptions {
                id,
                service: "spa-scribe",
                zone: ZONES[2].to_owned(),
                software: "v1",
                slots: 64,
                adapters: Some(vec!["a1"]),
            };
            let handler = |server: &Server, request: &Request, connection: &mut Connection| {
                thread::sleep(Duration::from_millis(80));
                let event = "id: 1\ndata: word\n\n";
                let json = format!(
                    "Content-Type: text/event-stream\r\n{}",
                    server.sealed(request)
                );
                connection.answer(200, &json, event).is_ok()
            };
            Server::start(&store, options, Box::new(handler))
        })
        .collect();
    let zones = &ZONES[..2];
    let nodes: Vec<Node> = (0..2)
        .map(|number| Node::start(&store, number, zones[number], zones))
        .collect();
    if !nodes.iter().all(Node::until_ready) {
        return Outcome::CouldNotRun("the nodes did not become ready".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicUsize::new(10));
    let statuses = Arc::new(Mutex::new(std::collections::BTreeMap::new()));
    let mut callers = Vec::new();
    for node in &nodes {
        for _ in 0..6 {
            let (address, is_over, count) =
                (node.callers, Arc::clone(&is_over), Arc::clone(&count));
            let statuses = Arc::clone(&statuses);
            callers.push(thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let number = count.fetch_add(1, Ordering::SeqCst);
                    let headers = model(&format!("a{number}"), 400, 20);
                    let text = request(
                        "POST",
                        "/note/7",
                        &format!("n{number}"),
                        6_000,
                        &headers,
                        "prompt",
                    );
                    let reply = send(address, &text, Duration::from_secs(6));
                    *statuses.lock().unwrap().entry(reply.status).or_insert(0) += 1;
                    thread::sleep(Duration::from_millis(500));
                }
            }));
        }
    }
    // Longer than the time for which the first start excuses claims.
    thread::sleep(Duration::from_secs(9));
    if has_trouble {
        // Late in the interval between two renewals, so that the lease ends early in the cut.
        let renewed = store.renewals(0);
        while store.renewals(0) == renewed {
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(1_130));
    }
    let cut_at = Instant::now();
    let healed_at = cut_at + CUT;
    if has_trouble {
        record.note("the first node is cut off from the store");
        store.cut_off(0, true);
    }
    thread::sleep(TERM_AFTER);
    record.note("SIGTERM to the second node");
    nodes[1].signal("TERM");
    thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
    if has_trouble {
        record.note("the first node reaches the store again");
        store.cut_off(0, false);
    }
    thread::sleep(Duration::from_secs(8));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    record.note(format!("answers by status: {:?}", statuses.lock().unwrap()));
    for node in &nodes {
        for line in node
            .logged("EngineOwned")
            .iter()
            .chain(&node.logged("EngineReleased"))
        {
            record.note(format!("{} logs {line}", node.name));
        }
    }
    judge(record, &engines, healed_at)
}

/// Whether two holders took turns at one server within the time of a lease.
fn judge(record: &Record, engines: &[Server], healed_at: Instant) -> Outcome {
    let mut shortest: Option<(Duration, String)> = None;
    for engine in engines {
        let mut last: Option<(Instant, String, u64)> = None;
        for (at, body) in engine.orders() {
            let order = Json::parse(&body).unwrap_or(Json::Null);
            let (holder, fence) = (
                order.get("holder").text().to_owned(),
                order.get("fence").number(),
            );
            record.note_at(at, format!("{} gets an order: {body}", engine.id));
            if at >= healed_at && at < healed_at + THAW {
                continue;
            }
            if let Some((before, known, _)) = &last
                && *known != holder
            {
                let gap = at.duration_since(*before);
                let text = format!(
                    "{}: {holder} orders {} ms after {known}",
                    engine.id,
                    gap.as_millis()
                );
                record.note_at(at, text.clone());
                if shortest.as_ref().is_none_or(|(known, _)| gap < *known) {
                    shortest = Some((gap, text));
                }
            }
            last = Some((at, holder, fence));
        }
    }
    match shortest {
        Some((gap, text)) if gap < LEASE => {
            Outcome::Broken(format!("ONE: {text}; 3,000 ms are to lie between"))
        }
        Some((_, text)) => Outcome::Held(text),
        None => Outcome::Held("no two holders ordered at one server".to_owned()),
    }
}
