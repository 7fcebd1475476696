//! Many users come at once, so that requests wait at model servers; meanwhile a new version of their adapter is named.

use std::thread;
use std::time::{Duration, Instant};

use super::{configuration, request, Outcome};
use crate::http::call;
use crate::node::Machine;
use crate::server::{Manner, Server};
use crate::store::Store;
use crate::Setting;

const VERSION: Duration = Duration::from_millis(5_000);

/// The usual traffic, in requests a second.
const USUAL_PER_S: f64 = 2.8;

/// By how much more often clients send in the burst, and how long it lasts.
const BURST: f64 = 2.4;
const BURST_TIME: Duration = Duration::from_millis(4_500);

pub fn play(setting: &Setting) -> Outcome {
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
        crashes_on: None,
        crashes_after: None,
        down: Duration::ZERO,
    };
    let servers: Vec<Server> = [("s1", "a"), ("s2", "b")]
        .into_iter()
        .map(|(name, zone)| Server::start(name, Manner { zone, ..manner.clone() }, &store, record))
        .collect();
    let zones = ["a", "b"];
    let machines: Vec<Machine> = [("front-a-1", "a"), ("front-b-1", "b")]
        .into_iter()
        .enumerate()
        .map(|(number, (name, zone))| Machine::new(name, zone, number, store.open()))
        .collect();
    let _processes: Vec<_> =
        machines.iter().map(|machine| machine.start(&setting.root, &setting.folder, &zones, true, record)).collect();
    machines.iter().for_each(|machine| machine.wait_until_ready(record));
    thread::sleep(Duration::from_secs(8));
    let began = Instant::now();
    let (burst_at, bump_at) = (Duration::from_secs(8), Duration::from_millis(10_700));
    let mut clients = Vec::new();
    let (mut sent, mut next, mut bumped) = (0, Duration::ZERO, None);
    while began.elapsed() < burst_at + Duration::from_secs(9) {
        let now = began.elapsed();
        if now >= bump_at && bumped.is_none() {
            servers.iter().for_each(|server| server.set_version("a1", 2));
            store.put("op/version/base.a1", "{\"model\":\"base\",\"adapter\":\"a1\",\"version\":2}");
            bumped = Some(Instant::now());
            record.line("the store acknowledges version 2 of adapter a1");
        }
        if now >= next {
            let is_burst = setting.has_trouble && now >= burst_at && now < burst_at + BURST_TIME;
            next += Duration::from_secs_f64(1.0 / USUAL_PER_S / if is_burst { BURST } else { 1.0 });
            sent += 1;
            let (machine, record, id) = (machines[sent % machines.len()].clone(), record.clone(), format!("{sent:016x}"));
            clients.push(thread::spawn(move || {
                let more = format!("X-Nutmegsail-Model: base/a1\r\nX-Nutmegsail-Token-Usage: 1460,86\r\nX-Nutmegsail-Prompt-Prefix: 5c1e07a2:350,{sent:x}:1110\r\n");
                let text = request("POST", "/menu/2f", &id, 15_000, &more, "menu");
                record.line(&format!("{id} sent to {}", machine.name));
                // A client leaves after four times the objective without an event.
                let reply = call(machine.callers, &text, Duration::from_secs(15), Duration::from_secs(8));
                record.line(&format!("{id} answered {} whole {}", reply.status, reply.is_whole));
                reply.is_whole && reply.status == 200
            }));
        }
        thread::sleep(Duration::from_millis(5));
    }
    let served = clients.into_iter().filter_map(|client| client.join().ok()).filter(|is_served| *is_served).count();
    let acknowledged = bumped.ok_or("no version was named")?;
    record.line(&format!("{served} of {sent} served"));
    if served < 20 {
        return Err(format!("only {served} of {sent} requests were served"));
    }
    let mut stale = Vec::new();
    for seen in servers.iter().flat_map(Server::seen) {
        let (Some(began), Some(version)) = (seen.began, seen.version) else { continue };
        let after = began.saturating_duration_since(acknowledged);
        if version < 2 && after > VERSION {
            record.line(&format!(
                "{} arrived {:.3} s and began on version {version} {:.3} s after version 2 was acknowledged",
                seen.id,
                if seen.arrived >= acknowledged { (seen.arrived - acknowledged).as_secs_f64() } else { -(acknowledged - seen.arrived).as_secs_f64() },
                after.as_secs_f64()
            ));
            stale.push(after);
        }
    }
    let latest = stale.iter().max().copied().unwrap_or_default();
    Ok((!stale.is_empty()).then(|| {
        format!("{} requests began on version 1 of adapter a1 later than 5 s after version 2 was acknowledged, the last {:.2} s", stale.len(), latest.as_secs_f64())
    }))
}
