//! A request, or a part of prompts, crashes each server that runs it, some time after the first event, and comes again and again.

use std::thread;
use std::time::{Duration, Instant};

use super::{configuration, request, Outcome};
use crate::http::{call, Reply};
use crate::node::Machine;
use crate::server::{Manner, Seen, Server};
use crate::store::Store;
use crate::Setting;

/// `contactMs`.
const CONTACT: Duration = Duration::from_millis(4_000);

/// What crashes servers.
struct Culprit {
    /// What the body of the request begins with, or the part of the prompt.
    text: &'static str,
    is_part: bool,
    /// How long after the first event of its answer it crashes a server.
    after: Duration,
    repeats: usize,
    /// How many crashes the rule waits for.
    crashes: usize,
}

/// One request that comes again and again.
pub fn play_request(setting: &Setting) -> Outcome {
    let after = Duration::from_millis(1_400);
    play(setting, &Culprit { text: "the request that crashes servers", is_part: false, after, repeats: 10, crashes: 3 })
}

/// Requests of which no two are alike but for one part of their prompts.
pub fn play_part(setting: &Setting) -> Outcome {
    let after = Duration::from_millis(400);
    play(setting, &Culprit { text: "bad0c0de", is_part: true, after, repeats: 13, crashes: 5 })
}

fn play(setting: &Setting, culprit: &Culprit) -> Outcome {
    let record = &setting.record;
    let store = Store::start();
    store.put("op/config", &configuration(7, 4, 4));
    let manner = Manner {
        service: "scribe",
        zone: "a",
        slots: 4,
        queue: 12,
        run_time: Duration::from_millis(2_500),
        events: 43,
        models: vec!["base"],
        adapter_slots: 4,
        crashes_on: setting.has_trouble.then_some(culprit.text),
        crashes_after: Some(culprit.after),
        down: Duration::from_secs(2),
    };
    let servers: Vec<Server> = [("s1", "a"), ("s2", "b"), ("s3", "c")]
        .into_iter()
        .map(|(name, zone)| Server::start(name, Manner { zone, ..manner.clone() }, &store, record))
        .collect();
    let zones = ["a", "b", "c"];
    let machines: Vec<Machine> = [("front-a-1", "a"), ("front-b-1", "b"), ("front-c-1", "c")]
        .into_iter()
        .enumerate()
        .map(|(number, (name, zone))| Machine::new(name, zone, number, store.open()))
        .collect();
    let _processes: Vec<_> =
        machines.iter().map(|machine| machine.start(&setting.root, &setting.folder, &zones, true, record)).collect();
    machines.iter().for_each(|machine| machine.wait_until_ready(record));
    thread::sleep(Duration::from_secs(8));
    let (mut served, mut cut) = (0, 0);
    let repeats = culprit.repeats;
    for number in 1..=repeats {
        // Another stream of the same adapter runs beside it.
        thread::scope(|scope| {
            let beside = scope.spawn(|| {
                thread::sleep(Duration::from_millis(200));
                let machine = &machines[(number + 2) % machines.len()];
                send(setting, machine, &format!("b{number:015x}"), &format!("{number:x}b"), &format!("menu b{number}"))
            });
            let (parts, body) = match culprit.is_part {
                true => (format!("{}:420,{number:x}c", culprit.text), format!("menu c{number}")),
                false => ("c".to_owned(), culprit.text.to_owned()),
            };
            send(setting, &machines[number % machines.len()], &format!("{number:016x}"), &parts, &body);
            cut += usize::from(beside.join().is_ok_and(|reply| reply.status == 200 && !reply.is_whole));
        });
        // The server that crashed is back before the next repeat. Another request is served meanwhile.
        thread::sleep(Duration::from_millis(1_000));
        let sound = send(setting, &machines[(number + 1) % machines.len()], &format!("a{number:015x}"), &format!("{number:x}a"), &format!("menu a{number}"));
        served += usize::from(sound.is_whole && sound.status == 200);
        thread::sleep(Duration::from_millis(500));
    }
    record.line(&format!("{served} of {repeats} sound requests between the crashes were served, and {cut} of {repeats} beside the request were cut"));
    let mut seen: Vec<Seen> = servers.iter().flat_map(Server::seen).filter(|seen| seen.id.starts_with('0')).collect();
    seen.sort_by_key(|seen| seen.arrived);
    let crashed = seen.iter().filter(|seen| seen.has_crashed).count();
    record.line(&format!("what crashes servers was sent {repeats} times, reached servers {} times and crashed {crashed}", seen.len()));
    if served < repeats / 2 {
        return Err(format!("only {served} of {repeats} sound requests were served"));
    }
    let mut crashes: Vec<Instant> = servers.iter().flat_map(Server::crashes).collect();
    crashes.sort();
    let Some(last) = crashes.get(culprit.crashes - 1).copied() else {
        return match setting.has_trouble && crashes.is_empty() {
            true => Err("no server was crashed".to_owned()),
            false => Ok(None),
        };
    };
    let late = seen.iter().filter(|seen| seen.arrived > last + CONTACT).count();
    let nth = if culprit.is_part { "fifth" } else { "third" };
    record.line(&format!("it reached servers {late} times later than 4 s after the {nth} crash"));
    let what = if culprit.is_part { "requests with a part that had crashed five servers" } else { "a request that had crashed three servers" };
    Ok((late > 3).then(|| {
        format!("{what} reached servers {late} times more, later than 4 s after the {nth} crash; {crashed} crashes in all")
    }))
}

fn send(setting: &Setting, machine: &Machine, id: &str, own_parts: &str, body: &str) -> Reply {
    let record = &setting.record;
    record.line(&format!("{id} sent to {}: {body}", machine.name));
    let more = format!("X-Nutmegsail-Model: base/a1\r\nX-Nutmegsail-Token-Usage: 1460,86\r\nX-Nutmegsail-Prompt-Prefix: 5c1e07a2:350,{own_parts}:1110\r\n");
    let text = request("POST", "/menu/2f", id, 15_000, &more, body);
    // A client leaves after four times the objective without an event.
    let reply = call(machine.callers, &text, Duration::from_secs(15), Duration::from_secs(8));
    record.line(&format!("{id} answered {} whole {}", reply.status, reply.is_whole));
    reply
}
