//! A server leaves by the removal of its entry, shortly after the store serves a node again that it had turned
//! away.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::{ZONES, configuration, request};
use crate::Outcome;
use crate::http::{Connection, Request, send};
use crate::node::Node;
use crate::record::Record;
use crate::server::{Server, ServerOptions};
use crate::store::Store;

/// How long the store turns the first node away.
const REFUSAL: Duration = Duration::from_millis(7_500);

/// `contactMs` and `drainMs`.
const CONTACT: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);

/// When the entry is removed, after the store serves the first node again.
const REMOVED_AFTER: Duration = Duration::from_millis(1_300);

/// How long the server goes on after the removal: `drainMs` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_400);

/// How long a booking takes.
const WORK: Duration = Duration::from_millis(120);

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op/config", &configuration());
    let servers: Vec<Server> = { ["i-desk-1", "i-desk-2", "i-desk-3"].into_iter().zip(ZONES) }
        .map(|(id, zone)| {
            let options = ServerOptions {
                id,
                service: "spa-desk",
                zone: zone.to_owned(),
                software: "v1",
                slots: 6,
                adapters: None,
            };
            let handler = |server: &Server, request: &Request, connection: &mut Connection| {
                thread::sleep(WORK);
                !server.is_gone()
                    && connection
                        .answer(200, &server.sealed(request), "booked")
                        .is_ok()
            };
            Server::start(&store, options, Box::new(handler))
        })
        .collect();
    let nodes: Vec<Node> = { ZONES.iter().enumerate() }
        .map(|(number, zone)| Node::start(&store, number, zone, &ZONES))
        .collect();
    if !nodes.iter().all(Node::until_ready) {
        return Outcome::CouldNotRun("the nodes did not become ready".to_owned());
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let replies = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for (place, node) in nodes.iter().enumerate() {
        for caller in 0..4 {
            let (address, is_over, replies) =
                (node.callers, Arc::clone(&is_over), Arc::clone(&replies));
            callers.push(thread::spawn(move || {
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("booking-{place}-{caller}-{number}");
                    let text = request("POST", "/confirm/7", &id, 1_500, "", "massage");
                    let sent = Instant::now();
                    let reply = send(address, &text, Duration::from_millis(1_500));
                    replies.lock().unwrap().push((sent, id, reply));
                    thread::sleep(Duration::from_millis(90));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(6));
    if has_trouble {
        record.note("the store turns the first node away (503)");
        store.turn_away(0, true);
    }
    thread::sleep(REFUSAL);
    if has_trouble {
        record.note("the store serves the first node again");
        store.turn_away(0, false);
    }
    let in_touch_from = Instant::now() + CONTACT;
    thread::sleep(REMOVED_AFTER);
    let leaving = &servers[0];
    leaving.leave();
    let removed = Instant::now();
    record.note(format!(
        "the entry of {} is removed; it serves on for {} ms",
        leaving.id,
        SERVES_ON.as_millis()
    ));
    thread::sleep(SERVES_ON);
    leaving.exit();
    let gone = Instant::now();
    record.note(format!("{} has ended", leaving.id));
    thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let mut late = 0;
    for (at, id, _) in leaving.seen() {
        if at >= removed {
            let ms = at.duration_since(removed).as_millis();
            record.note_at(
                at,
                format!("{id} reaches {} {ms} ms after the removal", leaving.id),
            );
        }
        late += usize::from(at > removed + DRAIN && at > in_touch_from);
    }
    let (mut statuses, mut lost) = (BTreeMap::new(), 0);
    for (sent, id, reply) in replies.lock().unwrap().iter() {
        *statuses.entry(reply.status).or_insert(0) += 1;
        if reply.status != 200 && *sent > removed {
            record.note_at(
                *sent + reply.took,
                format!("the client of {id} gets {}: {}", reply.status, reply.body),
            );
            lost += usize::from(reply.status == 502 && *sent < gone);
        }
    }
    record.note(format!("answers by status: {statuses:?}"));
    match late > 0 {
        true => Outcome::Broken(format!(
            "DRAIN: {late} bookings reached the server later than 2,000 ms after the removal of its entry, sent on by \
             a machine in touch; {lost} bookings were lost with it"
        )),
        false => Outcome::Held(format!(
            "no booking reached the server too late; {lost} were lost with it"
        )),
    }
}
