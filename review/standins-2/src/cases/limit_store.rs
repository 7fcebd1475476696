//! A server in need names a limit; meanwhile the store is down for some seconds, and leases run out.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{configuration, request, Outcome};
use crate::http::call;
use crate::node::Machine;
use crate::server::{Manner, Seen, Server};
use crate::store::Store;
use crate::Setting;

const CONTACT: Duration = Duration::from_millis(4_000);
const LIMIT_PER_S: f64 = 20.0;
const MACHINES: usize = 12;
const ZONES: [&str; 3] = ["a", "b", "c"];

pub fn play(setting: &Setting) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    store.put("op/config", &configuration(7, 4, 4));
    let manner = Manner {
        service: "desk",
        zone: "a",
        slots: 6,
        queue: 24,
        run_time: Duration::from_millis(10),
        events: 1,
        models: Vec::new(),
        adapter_slots: 0,
        crashes_on: None,
        down: Duration::ZERO,
        notice: format!("Server-Limit: {LIMIT_PER_S:.1}\r\n"),
    };
    let server = Server::start("d1", manner, &store, record);
    let machines: Vec<Machine> = (0..MACHINES)
        .map(|number| Machine::new(&format!("front-{number}"), ZONES[number % 3], number, store.open()))
        .collect();
    let _processes: Vec<_> =
        machines.iter().map(|machine| machine.start(&setting.root, &setting.folder, &ZONES, true, record)).collect();
    machines.iter().for_each(|machine| machine.wait_until_ready(record));
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    let ids = Arc::new(AtomicUsize::new(0));
    let mut clients = Vec::new();
    for client in 0..MACHINES * 4 {
        let (machine, is_over, ids) = (machines[client % MACHINES].clone(), Arc::clone(&is_over), Arc::clone(&ids));
        clients.push(thread::spawn(move || {
            let mut answers: Vec<(String, Option<Instant>)> = Vec::new();
            while !is_over.load(Ordering::Relaxed) {
                let id = format!("{:016x}", ids.fetch_add(1, Ordering::Relaxed));
                let text = request("GET", "/look/7", &id, 1_500, "", "");
                let reply = call(machine.callers, &text, Duration::from_secs(2), Duration::from_secs(2));
                answers.push((id, (reply.status == 200).then(Instant::now)));
                thread::sleep(Duration::from_millis(80));
            }
            (client % MACHINES, answers)
        }));
    }
    thread::sleep(Duration::from_secs(12));
    let down = Duration::from_millis(4_500);
    if setting.has_trouble {
        record.line("the store is silent for 4.5 s");
        store.be_silent(down);
    }
    thread::sleep(down + Duration::from_secs(8));
    is_over.store(true, Ordering::Relaxed);
    // Which machine each request was sent to, and when each machine first passed on an answer that names the limit.
    let mut machine_of: HashMap<String, usize> = HashMap::new();
    let mut passed_on: [Option<Instant>; MACHINES] = [None; MACHINES];
    let mut served = 0;
    for (machine, answers) in clients.into_iter().filter_map(|client| client.join().ok()) {
        for (id, served_at) in answers {
            if let Some(at) = served_at {
                served += 1;
                passed_on[machine] = Some(passed_on[machine].map_or(at, |first| first.min(at)));
            }
            machine_of.insert(id, machine);
        }
    }
    record.line(&format!("{} requests were sent and {served} were served", machine_of.len()));
    let mut seen = server.seen();
    seen.sort_by_key(|seen| seen.arrived);
    let first = seen.first().ok_or("no request arrived")?.arrived;
    let is_counted = |seen: &Seen| {
        let passed_on = machine_of.get(&seen.id).and_then(|machine| passed_on[*machine]);
        seen.arrived > first + CONTACT && passed_on.is_some_and(|at| at + Duration::from_millis(500) <= seen.arrived)
    };
    let counted: Vec<Instant> = seen.iter().filter(|seen| is_counted(seen)).map(|seen| seen.arrived).collect();
    let span = Duration::from_secs(4);
    let allowed = 1.5 * LIMIT_PER_S * span.as_secs_f64() + 5.0;
    let most = counted.iter().enumerate().map(|(from, at)| {
        let to = counted.partition_point(|other| *other < *at + span);
        (to - from, *at)
    });
    let (most, from) = most.max_by_key(|(count, _)| *count).ok_or("no request arrived after contactMs")?;
    for second in 0..25_u32 {
        let at = first + Duration::from_millis(1_000) * second;
        let count = counted.iter().filter(|arrived| **arrived >= at && **arrived < at + Duration::from_secs(1)).count();
        record.line(&format!("{count} arrived from {:.1} s on", record.seconds(at)));
    }
    record.line(&format!("the most in 4 s: {most} from {:.3} s on; allowed are {allowed:.0}", record.seconds(from)));
    Ok((most as f64 > allowed).then(|| format!("a server got {most} requests in 4 s, and {allowed:.0} are allowed")))
}
