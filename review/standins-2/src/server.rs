//! Servers of the users: a model server with slots, a queue, adapters and orders, or a plain server.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{answer_text, read_request, Request};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// How often a server writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// How long a server loads an adapter.
const ADAPTER_TIME: Duration = Duration::from_millis(250);

/// What a server does with requests.
#[derive(Clone)]
pub struct Manner {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    /// How many requests wait for a slot at most.
    pub queue: usize,
    /// How long a request runs, and in how many events a stream brings its answer.
    pub run_time: Duration,
    pub events: u32,
    /// The names of the base models that a model server holds from the beginning; empty for a plain server.
    pub models: Vec<&'static str>,
    pub adapter_slots: usize,
    /// A request whose body begins so, or one of whose parts of the prompt does, crashes the server as it begins to run, or so
    /// long after the first event of its answer.
    pub crashes_on: Option<&'static str>,
    pub crashes_after: Option<Duration>,
    /// How long a server that has crashed is down.
    pub down: Duration,
}

/// A request that arrived.
#[derive(Clone, Debug)]
pub struct Seen {
    pub id: String,
    pub body: String,
    pub arrived: Instant,
    /// When it began to run, and on which version of its adapter.
    pub began: Option<Instant>,
    pub version: Option<u64>,
    pub has_crashed: bool,
}

#[derive(Default)]
struct State {
    /// The id of the running process; a new one after each start.
    id: String,
    starts: u64,
    is_up: bool,
    connections: Vec<TcpStream>,
    running: usize,
    /// Requests that wait, by ticket.
    waiting: Vec<u64>,
    last_ticket: u64,
    models: Vec<String>,
    /// Held adapters with their versions, and the requests that run on each.
    adapters: BTreeMap<String, u64>,
    in_use: BTreeMap<String, usize>,
    coming: Vec<(String, u64, Instant)>,
    /// An order that waits for the requests of its adapter: unload it, or replace it by a version.
    waiting_order: Option<(String, Option<u64>)>,
    seq: u64,
    seen: Vec<Seen>,
    crashes: Vec<Instant>,
}

#[derive(Clone)]
pub struct Server {
    pub name: &'static str,
    pub address: SocketAddr,
    manner: Manner,
    store: Store,
    record: Record,
    /// The newest version of each adapter in the weight store.
    versions: Arc<Mutex<BTreeMap<String, u64>>>,
    state: Arc<(Mutex<State>, Condvar)>,
}

static STARTS: AtomicU64 = AtomicU64::new(0);

impl Server {
    pub fn start(name: &'static str, manner: Manner, store: &Store, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let server = Self {
            name,
            address,
            manner,
            store: store.clone(),
            record: record.clone(),
            versions: Arc::default(),
            state: Arc::default(),
        };
        server.begin();
        server.accept(listener);
        let beating = server.clone();
        thread::spawn(move || beating.beat());
        server
    }

    /// Names a newer version of an adapter in the weight store.
    pub fn set_version(&self, adapter: &str, version: u64) {
        self.versions.lock().unwrap().insert(adapter.to_owned(), version);
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.state.0.lock().unwrap().seen.clone()
    }

    pub fn crashes(&self) -> Vec<Instant> {
        self.state.0.lock().unwrap().crashes.clone()
    }

    /// Starts a process: it holds and knows nothing of before.
    fn begin(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.starts += 1;
        state.id = format!("i-{}{:x}", self.name, 0x1000 + 17 * STARTS.fetch_add(1, Ordering::Relaxed));
        state.is_up = true;
        state.running = 0;
        state.waiting.clear();
        state.adapters.clear();
        state.in_use.clear();
        state.coming.clear();
        state.waiting_order = None;
        state.seq = 0;
        state.models = match state.starts {
            1 => self.manner.models.iter().map(|name| (*name).to_owned()).collect(),
            _ => Vec::new(),
        };
        let id = state.id.clone();
        drop(state);
        self.record.line(&format!("server {} starts as {id} at {}", self.name, self.address));
        self.write_entry();
    }

    fn accept(&self, listener: TcpListener) {
        let server = self.clone();
        thread::spawn(move || {
            listener.set_nonblocking(true).unwrap();
            loop {
                if !server.state.0.lock().unwrap().is_up {
                    return;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            server.state.0.lock().unwrap().connections.push(copy);
                        }
                        let serving = server.clone();
                        thread::spawn(move || serving.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    /// Ends the process with all its connections, and starts the next one after a while.
    fn crash(&self) {
        let mut state = self.state.0.lock().unwrap();
        if !std::mem::take(&mut state.is_up) {
            return;
        }
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        state.crashes.push(Instant::now());
        let id = state.id.clone();
        drop(state);
        self.state.1.notify_all();
        self.record.line(&format!("server {} ({id}) crashes", self.name));
        let server = self.clone();
        thread::spawn(move || {
            // Its entry goes after three heartbeats of silence, or when the next process is there.
            thread::sleep(server.manner.down);
            server.store.remove(&format!("servers/{id}"));
            let listener = loop {
                match bind_again(server.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            server.begin();
            server.accept(listener);
        });
    }

    fn beat(&self) {
        loop {
            thread::sleep(HEARTBEAT);
            if self.state.0.lock().unwrap().is_up {
                self.write_entry();
            }
        }
    }

    fn write_entry(&self) {
        static BEATS: AtomicU64 = AtomicU64::new(1);
        let beat = BEATS.fetch_add(1, Ordering::Relaxed);
        let state = self.state.0.lock().unwrap();
        let manner = &self.manner;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":{beat},\"stage\":\"colocated\",\"models\":{}}}",
            manner.service, self.address, manner.zone, manner.slots, state.models_json()
        );
        let key = format!("servers/{}", state.id);
        drop(state);
        self.store.put(&key, &entry);
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
            if !matches!(self.answer(&request, &mut stream), Ok(true)) {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    }

    /// Answers one request; returns whether the connection is kept.
    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        let id = request.header("x-nutmegsail-request-id").unwrap_or_default().to_owned();
        let echo = match id.is_empty() {
            true => String::new(),
            false => format!("X-Nutmegsail-Request-Id: {id}\r\n"),
        };
        let own_id = self.state.0.lock().unwrap().id.clone();
        let target = request.header("x-nutmegsail-target-instance");
        if target.is_some_and(|target| target != own_id) {
            let more = format!("{echo}X-Nutmegsail-Instance-Id: {own_id}\r\n");
            stream.write_all(answer_text(421, &more, "").as_bytes())?;
            return Ok(true);
        }
        match request.path() {
            "/healthz" => {
                let more = format!("{echo}X-Nutmegsail-Instance-Id: {own_id}\r\n");
                stream.write_all(answer_text(200, &more, "").as_bytes())?;
                Ok(true)
            }
            "/-/report" => {
                let mut state = self.state.0.lock().unwrap();
                state.finish_loads();
                let coming = state.coming.iter().map(|(name, version, _)| format!("\"base/{name}@{version}\""));
                let report = format!(
                    "{{\"stage\":\"colocated\",\"models\":{},\"busy\":false,\"seq\":{},\"queued\":{},\"inFlight\":{},\"kvUsed\":0,\"kvTotal\":100000,\"handles\":0,\"coming\":[{}]}}",
                    state.models_json(), state.seq, state.waiting.len(), state.running, coming.collect::<Vec<_>>().join(",")
                );
                drop(state);
                let more = format!("{echo}Content-Type: application/json\r\n");
                stream.write_all(answer_text(200, &more, &report).as_bytes())?;
                Ok(true)
            }
            "/-/order" => {
                let status = self.order(request);
                stream.write_all(answer_text(status, &echo, "").as_bytes())?;
                Ok(true)
            }
            _ => self.run(request, &id, &echo, stream),
        }
    }

    fn order(&self, request: &Request) -> u16 {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let order = Json::parse(&text).unwrap_or(Json::Null);
        let mut state = self.state.0.lock().unwrap();
        state.finish_loads();
        let status = self.order_status(&mut state, &order);
        drop(state);
        self.record.line(&format!("order at {}: {text} -> {status}", self.name));
        status
    }

    fn order_status(&self, state: &mut State, order: &Json) -> u16 {
        if *order.get("holder") == Json::Null || *order.get("fence") == Json::Null {
            return 400;
        }
        if *order.get("expected") != Json::Null && order.get("expected").number() != state.seq {
            return 409;
        }
        let adapter = order.get("adapter").text().to_owned();
        if adapter.is_empty() {
            // A base model: it is loaded at once here.
            if order.get("op").text() == "load" {
                state.models = vec![order.get("model").text().to_owned()];
            }
            state.seq += 1;
            return 202;
        }
        if state.models.is_empty() {
            return 400;
        }
        if state.waiting_order.is_some() {
            return 409;
        }
        let is_used = state.in_use.get(&adapter).copied().unwrap_or(0) > 0;
        if order.get("op").text() == "unload" {
            state.seq += 1;
            if is_used {
                state.waiting_order = Some((adapter, None));
                return 202;
            }
            state.adapters.remove(&adapter);
            return 200;
        }
        let newest = self.versions.lock().unwrap().get(&adapter).copied().unwrap_or(1);
        let version = match order.get("version").number() {
            0 => newest,
            named => named,
        };
        if state.adapters.get(&adapter) == Some(&version) {
            return 200;
        }
        if state.adapters.contains_key(&adapter) && is_used {
            state.waiting_order = Some((adapter, Some(version)));
            state.seq += 1;
            return 202;
        }
        let is_replacement = state.adapters.contains_key(&adapter);
        if !is_replacement && state.adapters.len() + state.coming.len() >= self.manner.adapter_slots {
            return 409;
        }
        state.coming.push((adapter, version, Instant::now() + ADAPTER_TIME));
        state.seq += 1;
        202
    }

    /// Takes a request in: it is rejected, or waits for a slot and runs.
    fn run(&self, request: &Request, id: &str, echo: &str, stream: &mut TcpStream) -> io::Result<bool> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let model = request.header("x-nutmegsail-model").unwrap_or_default();
        let adapter = model.split_once('/').map(|(_, adapter)| adapter.to_owned());
        let arrived = Instant::now();
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        let process = state.starts;
        let place = state.seen.len();
        state.seen.push(Seen { id: id.to_owned(), body: body.clone(), arrived, began: None, version: None, has_crashed: false });
        state.finish_loads();
        let expected = request.header("x-nutmegsail-expected-version").and_then(|version| version.parse::<u64>().ok());
        let is_missing = |state: &State| match &adapter {
            Some(adapter) => state.adapters.get(adapter).is_none_or(|held| expected.is_some_and(|expected| expected != *held)),
            None => false,
        };
        let refusal = format!("{echo}X-Nutmegsail-Not-Executed: 1\r\n");
        if is_missing(&state) {
            drop(state);
            self.record.line(&format!("{id} at {}: 421, adapter {adapter:?} at {expected:?} is not there", self.name));
            stream.write_all(answer_text(421, &refusal, "").as_bytes())?;
            return Ok(true);
        }
        let is_concerned = |state: &State| {
            let order = state.waiting_order.as_ref();
            order.is_some_and(|(concerned, _)| Some(concerned) == adapter.as_ref())
        };
        if is_concerned(&state) {
            drop(state);
            self.record.line(&format!("{id} at {}: 503, an order waits for its adapter", self.name));
            stream.write_all(answer_text(503, &refusal, "").as_bytes())?;
            return Ok(true);
        }
        if state.running >= self.manner.slots && state.waiting.len() >= self.manner.queue {
            drop(state);
            self.record.line(&format!("{id} at {}: 503, full", self.name));
            stream.write_all(answer_text(503, &refusal, "").as_bytes())?;
            return Ok(true);
        }
        state.last_ticket += 1;
        let ticket = state.last_ticket;
        state.waiting.push(ticket);
        if let Some(adapter) = &adapter {
            *state.in_use.entry(adapter.clone()).or_default() += 1;
        }
        let done = |state: &mut State| {
            state.waiting.retain(|waiting| *waiting != ticket);
            if let Some(adapter) = &adapter {
                if let Some(count) = state.in_use.get_mut(adapter) {
                    *count = count.saturating_sub(1);
                }
            }
        };
        loop {
            if state.starts != process || !state.is_up {
                return Ok(false);
            }
            if state.waiting.first() == Some(&ticket) && state.running < self.manner.slots {
                break;
            }
            if is_concerned(&state) {
                done(&mut state);
                drop(state);
                changed.notify_all();
                self.record.line(&format!("{id} at {}: 503, an order waits for its adapter", self.name));
                stream.write_all(answer_text(503, &refusal, "").as_bytes())?;
                return Ok(true);
            }
            let is_gone = has_left(stream);
            if is_gone {
                done(&mut state);
                drop(state);
                changed.notify_all();
                self.record.line(&format!("{id} at {}: its caller left while it waited", self.name));
                return Ok(false);
            }
            state = changed.wait_timeout(state, Duration::from_millis(5)).unwrap().0;
            state.finish_loads();
        }
        let version = adapter.as_ref().and_then(|adapter| state.adapters.get(adapter).copied());
        if is_missing(&state) {
            done(&mut state);
            drop(state);
            changed.notify_all();
            stream.write_all(answer_text(421, &refusal, "").as_bytes())?;
            return Ok(true);
        }
        state.waiting.retain(|waiting| *waiting != ticket);
        state.running += 1;
        state.seen[place].began = Some(Instant::now());
        state.seen[place].version = version;
        let parts = request.header("x-nutmegsail-prompt-prefix").unwrap_or_default();
        let is_meant = |prefix| body.starts_with(prefix) || parts.split(',').any(|part| part.starts_with(prefix));
        let crashes = self.manner.crashes_on.is_some_and(is_meant);
        state.seen[place].has_crashed = crashes && self.manner.crashes_after.is_none();
        drop(state);
        let waited = arrived.elapsed().as_millis();
        self.record.line(&format!("{id} at {}: begins to run after {waited} ms, version {version:?}", self.name));
        let crashes_after = self.manner.crashes_after.filter(|_| crashes);
        if crashes && crashes_after.is_none() {
            self.crash();
            return Ok(false);
        }
        let sent = self.send_answer(echo, stream, adapter.is_some(), crashes_after);
        if sent.is_err() && crashes_after.is_some() {
            lock.lock().unwrap().seen[place].has_crashed = true;
        }
        let mut state = lock.lock().unwrap();
        if state.starts == process {
            state.running = state.running.saturating_sub(1);
            done(&mut state);
        }
        drop(state);
        changed.notify_all();
        sent
    }

    /// Sends an answer whole, or crashes some time after its first event, in the middle of another.
    fn send_answer(&self, echo: &str, stream: &mut TcpStream, is_stream: bool, crashes_after: Option<Duration>) -> io::Result<bool> {
        let seal = "X-Nutmegsail-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
        if !is_stream {
            let until = Instant::now() + self.manner.run_time;
            while Instant::now() < until {
                if has_left(stream) {
                    return Ok(false);
                }
                thread::sleep(Duration::from_millis(5));
            }
            stream.write_all(answer_text(200, &format!("{echo}{seal}"), "done").as_bytes())?;
            return Ok(true);
        }
        let head = format!("HTTP/1.1 200 OK\r\n{echo}{seal}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        stream.write_all(head.as_bytes())?;
        let pause = self.manner.run_time / self.manner.events;
        let began = Instant::now();
        for number in 1..=self.manner.events {
            let event = format!("id: {number}\ndata: x\n\n");
            if crashes_after.is_some_and(|after| began.elapsed() >= after) {
                stream.write_all(format!("{:x}\r\n{}", event.len(), &event[..4]).as_bytes())?;
                self.crash();
                return Err(io::Error::other("it has crashed"));
            }
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            thread::sleep(pause);
            if has_left(stream) {
                return Ok(false);
            }
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }
}

impl State {
    fn finish_loads(&mut self) {
        let now = Instant::now();
        let done: Vec<(String, u64)> = self
            .coming
            .iter()
            .filter(|(_, _, at)| *at <= now)
            .map(|(name, version, _)| (name.clone(), *version))
            .collect();
        self.coming.retain(|(_, _, at)| *at > now);
        self.adapters.extend(done);
        let is_free = |(adapter, _): &(String, Option<u64>)| self.in_use.get(adapter).copied().unwrap_or(0) == 0;
        if self.waiting_order.as_ref().is_some_and(is_free) {
            if let Some((adapter, version)) = self.waiting_order.take() {
                self.adapters.remove(&adapter);
                if let Some(version) = version {
                    self.coming.push((adapter, version, now + ADAPTER_TIME));
                }
            }
        }
    }

    fn models_json(&self) -> String {
        let adapters = self.adapters.iter().map(|(name, version)| format!("\"{name}@{version}\""));
        let adapters = adapters.collect::<Vec<_>>().join(",");
        let models = self.models.iter().map(|name| format!("{{\"name\":\"{name}\",\"version\":1,\"adapters\":[{adapters}]}}"));
        format!("[{}]", models.collect::<Vec<_>>().join(","))
    }
}

/// Whether the other end has closed the connection.
fn has_left(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0];
    let peeked = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Listens again at an address whose connections were just closed.
fn bind_again(address: SocketAddr) -> io::Result<TcpListener> {
    // The standard library sets SO_REUSEADDR on Unix.
    TcpListener::bind(address)
}


