//! A stand-in for a server. How it treats clients' requests is given by each case.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Request};
use crate::json::Json;
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Answers a client's request; false if the connection is to be closed.
pub type Handler = dyn Fn(&Server, &Request, &mut Connection) -> bool + Send + Sync;

#[derive(Clone)]
pub struct Server {
    pub id: &'static str,
    pub address: SocketAddr,
    inner: Arc<Inner>,
}

struct Inner {
    service: &'static str,
    zone: String,
    software: &'static str,
    slots: u32,
    is_engine: bool,
    adapters: Mutex<Vec<String>>,
    seq: AtomicU64,
    beats: AtomicU64,
    /// Whether its entry is no longer written.
    is_unlisted: AtomicBool,
    is_gone: AtomicBool,
    handler: Box<Handler>,
    /// Each client request that reached it: when, its id, and its line.
    seen: Mutex<Vec<(Instant, String, String)>>,
    /// Each order that reached it.
    orders: Mutex<Vec<(Instant, String)>>,
    store: Store,
}

pub struct ServerOptions {
    pub id: &'static str,
    pub service: &'static str,
    pub zone: String,
    pub software: &'static str,
    pub slots: u32,
    /// The adapters of the model `base`; none if it is no model server.
    pub adapters: Option<Vec<&'static str>>,
}

impl Server {
    pub fn start(store: &Store, options: ServerOptions, handler: Box<Handler>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let adapters = options.adapters.clone().unwrap_or_default();
        let server = Self {
            id: options.id,
            address: listener.local_addr().unwrap(),
            inner: Arc::new(Inner {
                service: options.service,
                zone: options.zone,
                software: options.software,
                slots: options.slots,
                is_engine: options.adapters.is_some(),
                adapters: Mutex::new(adapters.into_iter().map(str::to_owned).collect()),
                seq: AtomicU64::new(0),
                beats: AtomicU64::new(0),
                is_unlisted: AtomicBool::new(false),
                is_gone: AtomicBool::new(false),
                handler,
                seen: Mutex::default(),
                orders: Mutex::default(),
                store: store.clone(),
            }),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.is_gone() {
                    return;
                }
                let server = accepting.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        server.beat();
        let beating = server.clone();
        thread::spawn(move || beating.keep_beating());
        server
    }

    /// Writes its entry each heartbeat, as long as the store takes it.
    fn keep_beating(&self) {
        let mut last = Instant::now();
        while !self.inner.is_unlisted.load(Ordering::SeqCst) {
            thread::sleep(HEARTBEAT / 12);
            if last.elapsed() >= HEARTBEAT {
                self.beat();
                last = Instant::now();
            }
        }
    }

    /// Has its entry removed, without having said that it leaves.
    pub fn leave(&self) {
        self.inner.is_unlisted.store(true, Ordering::SeqCst);
        thread::sleep(HEARTBEAT / 6);
        self.inner.store.remove(&format!("servers/{}", self.id));
    }

    /// Ends it, with all that it runs.
    pub fn exit(&self) {
        self.inner.is_gone.store(true, Ordering::SeqCst);
        // Lets the loop that accepts connections see it.
        let _ = TcpStream::connect(self.address);
    }

    pub fn is_gone(&self) -> bool {
        self.inner.is_gone.load(Ordering::SeqCst)
    }

    fn beat(&self) {
        let inner = &self.inner;
        let beats = inner.beats.fetch_add(1, Ordering::SeqCst) + 1;
        let models = match inner.is_engine {
            true => format!(",\"stage\":\"colocated\",\"models\":{}", self.models()),
            false => String::new(),
        };
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"ready\",\"coldLeftMs\":0,\"born\":1700000000000,\"seq\":{beats}{models}}}",
            inner.service, self.address, inner.zone, inner.software, inner.slots
        );
        inner.store.put(&format!("servers/{}", self.id), &entry);
    }

    fn models(&self) -> String {
        let adapters = self.inner.adapters.lock().unwrap();
        let listed: Vec<String> = adapters
            .iter()
            .map(|name| format!("\"{name}@1\""))
            .collect();
        format!(
            "[{{\"name\":\"base\",\"version\":1,\"adapters\":[{}]}}]",
            listed.join(",")
        )
    }

    /// The headers of an answer to `request`.
    pub fn sealed(&self, request: &Request) -> String {
        let id = request
            .header("x-nutmegsail-request-id")
            .unwrap_or_default();
        format!(
            "X-Nutmegsail-Request-Id: {id}\r\nX-Nutmegsail-Server-Seal: seal-{}\r\n\
             X-Nutmegsail-Weight-Versions: 1\r\n",
            self.id
        )
    }

    pub fn seen(&self) -> Vec<(Instant, String, String)> {
        self.inner.seen.lock().unwrap().clone()
    }

    /// Whether the request with this id has reached it.
    pub fn has_seen(&self, id: &str) -> bool {
        self.inner
            .seen
            .lock()
            .unwrap()
            .iter()
            .rev()
            .any(|(_, known, _)| known == id)
    }

    pub fn orders(&self) -> Vec<(Instant, String)> {
        self.inner.orders.lock().unwrap().clone()
    }

    /// Carries an order out at once; returns the status of the answer.
    fn order(&self, request: &Request) -> u16 {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let order = Json::parse(&text).unwrap_or(Json::Null);
        self.inner
            .orders
            .lock()
            .unwrap()
            .push((Instant::now(), text));
        if order.get("holder").text().is_empty() || *order.get("fence") == Json::Null {
            return 400;
        }
        let mut adapters = self.inner.adapters.lock().unwrap();
        let seq = self.inner.seq.load(Ordering::SeqCst);
        if *order.get("expected") != Json::Null && order.get("expected").number() != seq {
            return 409;
        }
        let adapter = order.get("adapter").text().to_owned();
        let is_held = adapters.contains(&adapter);
        match (order.get("op").text(), is_held) {
            ("load", true) | ("unload", false) => return 200,
            ("load", false) => adapters.push(adapter),
            ("unload", true) => adapters.retain(|held| *held != adapter),
            _ => return 400,
        }
        self.inner.seq.fetch_add(1, Ordering::SeqCst);
        202
    }

    fn holds(&self, request: &Request) -> bool {
        let model = request.header("x-nutmegsail-model");
        let adapter = model.and_then(|model| model.split_once('/'));
        adapter.is_none_or(|(_, adapter)| {
            self.inner
                .adapters
                .lock()
                .unwrap()
                .iter()
                .any(|held| held == adapter)
        })
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.request() {
            if self.is_gone() || !self.handle(&request, &mut connection) {
                return;
            }
        }
    }

    fn handle(&self, request: &Request, connection: &mut Connection) -> bool {
        let instance = format!("X-Nutmegsail-Instance-Id: {}\r\n", self.id);
        let target = request.header("x-nutmegsail-target-instance");
        if target.is_some_and(|target| target != self.id) {
            return connection.answer(421, &instance, "").is_ok();
        }
        match (request.method.as_str(), request.path()) {
            ("GET", "/healthz") => connection.answer(200, &instance, "").is_ok(),
            ("GET", "/-/report") => {
                let (seq, models) = (self.inner.seq.load(Ordering::SeqCst), self.models());
                let report = format!(
                    "{{\"stage\":\"colocated\",\"models\":{models},\"busy\":false,\"seq\":{seq},\
                     \"born\":1700000000000,\"queued\":0,\"inFlight\":0,\"kvUsed\":0,\
                     \"kvTotal\":90000,\"handles\":0,\"coming\":[]}}"
                );
                let json = "Content-Type: application/json\r\n";
                connection.answer(200, json, &report).is_ok()
            }
            ("POST", "/-/order") => connection.answer(self.order(request), "", "{}").is_ok(),
            _ => {
                let id = request
                    .header("x-nutmegsail-request-id")
                    .unwrap_or_default();
                let line = format!("{} {}", request.method, request.target);
                let mut seen = self.inner.seen.lock().unwrap();
                seen.push((Instant::now(), id.to_owned(), line));
                drop(seen);
                if !self.holds(request) {
                    return connection.answer(421, &instance, "").is_ok();
                }
                (self.inner.handler)(self, request, connection)
            }
        }
    }
}
