//! A request crashes each server that begins to run it and comes again and again; in between all machines lose their processes.

use std::thread;
use std::time::{Duration, Instant};

use super::{configuration, request, Outcome};
use crate::http::call;
use crate::node::{Machine, Process};
use crate::server::{Manner, Seen, Server};
use crate::store::Store;
use crate::Setting;

/// `contactMs`.
const CONTACT: Duration = Duration::from_millis(4_000);

const BODY: &str = "the request that crashes servers";

pub fn play(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    store.put("op/config", &configuration(7, 4, 4));
    let manner = Manner {
        service: "desk",
        zone: "a",
        slots: 6,
        queue: 24,
        run_time: Duration::from_millis(30),
        events: 1,
        models: Vec::new(),
        adapter_slots: 0,
        crashes_on: Some(BODY),
        crashes_after: None,
        down: Duration::from_secs(2),
    };
    let servers: Vec<Server> = [("d1", "a"), ("d2", "b"), ("d3", "c")]
        .into_iter()
        .map(|(name, zone)| Server::start(name, Manner { zone, ..manner.clone() }, &store, record))
        .collect();
    let zones = ["a", "b", "c"];
    let machines: Vec<Machine> = [("front-a-1", "a"), ("front-b-1", "b"), ("front-c-1", "c")]
        .into_iter()
        .enumerate()
        .map(|(number, (name, zone))| Machine::new(name, zone, number, store.open()))
        .collect();
    let start = |is_first: bool| -> Vec<Process> {
        let started = machines.iter().map(|machine| machine.start(&setting.root, &setting.folder, &zones, is_first, record));
        started.collect()
    };
    let mut processes = start(true);
    machines.iter().for_each(|machine| machine.wait_until_ready(record));
    thread::sleep(Duration::from_secs(4));
    let mut sent = 0;
    // Two kills of all processes, each some time after the request has crashed two servers; the client goes on after that.
    for round in 0..3 {
        let repeats = if round == 2 { 4 } else { 2 };
        for _ in 0..repeats {
            sent += 1;
            send(setting, &machines[sent % machines.len()], &format!("{sent:016x}"), BODY);
            // Others are served meanwhile, and the server that crashed is back before the next repeat.
            for place in 0..machines.len() {
                thread::sleep(Duration::from_millis(1_600));
                send(setting, &machines[place], &format!("a{sent:07x}{place:08x}"), "a sound request");
            }
        }
        if round < 2 && setting.has_trouble {
            record.line("all processes are killed");
            processes.iter_mut().for_each(Process::kill);
            thread::sleep(Duration::from_secs(1));
            processes = start(false);
            machines.iter().for_each(|machine| machine.wait_until_ready(record));
            // Until all machines are in touch.
            thread::sleep(CONTACT + Duration::from_secs(1));
        }
    }
    drop(processes);
    let mut seen: Vec<Seen> = servers.iter().flat_map(Server::seen).filter(|seen| seen.body == BODY).collect();
    seen.sort_by_key(|seen| seen.arrived);
    let crashes: Vec<Instant> = seen.iter().filter(|seen| seen.has_crashed).filter_map(|seen| seen.began).collect();
    record.line(&format!("the request was sent {sent} times, reached servers {} times and crashed {}", seen.len(), crashes.len()));
    let Some(third) = crashes.get(2).copied() else {
        return match crashes.is_empty() {
            true => Err("the request crashed no server".to_owned()),
            false => Ok(None),
        };
    };
    let late = seen.iter().filter(|seen| seen.arrived > third + CONTACT).count();
    record.line(&format!("it reached servers {late} times later than 4 s after the third crash"));
    Ok((late > 3).then(|| {
        format!("a request that had crashed three servers reached servers {late} times more, later than 4 s after the third crash")
    }))
}

fn send(setting: &Setting, machine: &Machine, id: &str, body: &str) {
    let record = &setting.record;
    record.line(&format!("{id} sent to {}: {body}", machine.name));
    let text = request("POST", "/book/2f", id, 1_500, "", body);
    let reply = call(machine.callers, &text, Duration::from_secs(3), Duration::from_secs(3));
    record.line(&format!("{id} answered {}", reply.status));
}
