//! A stand-in for the platform's store, as PROTOCOL.md describes it. Each node has an address of its
//! own to it, so that the store can turn single nodes away.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Request};
use crate::json::{Json, from_base64, to_base64};

/// The number of changes that are kept, those of well over `historyS` in these cases.
const MAX_EVENTS: usize = 2_000;

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The key, its revision, and the event as JSON.
    events: Vec<(String, u64, String)>,
    /// When each lease ends, and its length.
    leases: HashMap<u64, (Instant, Duration)>,
    granted: u64,
    turned_away: HashSet<usize>,
    /// Nodes whose calls get no answer.
    cut_off: HashSet<usize>,
    /// How often each node has renewed its lease.
    renewals: HashMap<usize, usize>,
}

impl State {
    fn item(&self, key: &str) -> String {
        let item = &self.items[key];
        let (value, key) = (to_base64(&item.value), Json::Text(key.to_owned()));
        format!(
            "{{\"key\":{key},\"value\":\"{value}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            item.revision, item.created, item.lease
        )
    }

    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item);
        let event = self.item(key);
        self.events.push((key.to_owned(), revision, event));
        // The history is short, so that the stand-in stays small.
        if self.events.len() > MAX_EVENTS {
            self.events.drain(..MAX_EVENTS / 2);
        }
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let (revision, text) = (self.revision, Json::Text(key.to_owned()));
            let event = format!("{{\"key\":{text},\"revision\":{revision},\"deleted\":true}}");
            self.events.push((key.to_owned(), revision, event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = { self.items.iter() }
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn has_lease(&self, lease: u64) -> bool {
        self.leases
            .get(&lease)
            .is_some_and(|(end, _)| Instant::now() < *end)
    }
}

#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let store = Self::default();
        let reaping = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let mut state = reaping.state.0.lock().unwrap();
                let now = Instant::now();
                let ended = state.leases.iter().filter(|(_, (end, _))| *end <= now);
                let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
                for lease in &ended {
                    state.end_lease(*lease);
                }
                drop(state);
                if !ended.is_empty() {
                    reaping.state.1.notify_all();
                }
            }
        });
        store
    }

    /// An address at which the node number `node` reaches the store.
    pub fn listen(&self, node: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(Some(request)) = connection.request() {
                        // What is sent on a path that is cut does not arrive, and its connection stays silent.
                        let is_lost = store.is_cut_off(node);
                        let (status, body) = match is_lost {
                            true => (0, String::new()),
                            false => store.handle(node, &request),
                        };
                        while is_lost || store.is_cut_off(node) {
                            std::thread::sleep(Duration::from_millis(50));
                            if is_lost && !store.is_cut_off(node) {
                                return;
                            }
                        }
                        let json = "Content-Type: application/json\r\n";
                        if connection.answer(status, json, &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        address
    }

    /// What the operator and the servers write.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        drop(state);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.state.1.notify_all();
    }

    /// Answers 503 to one node, or serves it again.
    pub fn turn_away(&self, node: usize, is_turned_away: bool) {
        let mut state = self.state.0.lock().unwrap();
        match is_turned_away {
            true => state.turned_away.insert(node),
            false => state.turned_away.remove(&node),
        };
        drop(state);
        self.state.1.notify_all();
    }

    /// Leaves a node's calls unanswered and undone, or serves it again.
    pub fn cut_off(&self, node: usize, is_cut: bool) {
        let mut state = self.state.0.lock().unwrap();
        match is_cut {
            true => state.cut_off.insert(node),
            false => state.cut_off.remove(&node),
        };
        drop(state);
        self.state.1.notify_all();
    }

    /// How often a node has renewed its lease.
    pub fn renewals(&self, node: usize) -> usize {
        self.state
            .0
            .lock()
            .unwrap()
            .renewals
            .get(&node)
            .copied()
            .unwrap_or(0)
    }

    fn is_cut_off(&self, node: usize) -> bool {
        self.state.0.lock().unwrap().cut_off.contains(&node)
    }

    fn is_refusing(state: &State, node: usize) -> bool {
        state.turned_away.contains(&node)
    }

    fn handle(&self, node: usize, request: &Request) -> (u16, String) {
        std::thread::sleep(Duration::from_millis(3));
        let mut state = self.state.0.lock().unwrap();
        if Self::is_refusing(&state, node) {
            return (503, "{}".to_owned());
        }
        let (method, path) = (request.method.as_str(), request.path());
        match (method, path) {
            ("GET", "/-/kv-watch") => {
                drop(state);
                self.watch(node, request)
            }
            ("GET", "/-/kv-range") => {
                let (prefix, after) = (request.argument("pathPrefix"), request.argument("after"));
                let keys = state.items.keys();
                let keys: Vec<&String> = keys
                    .filter(|key| key.starts_with(&prefix) && **key > after)
                    .collect();
                let has_more = keys.len() > 500;
                let items = keys.into_iter().take(500).map(|key| state.item(key));
                let items: Vec<String> = items.collect();
                let revision = state.revision;
                let items = items.join(",");
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"hasMore\":{has_more},\"currentRev\":{revision}}}"
                    ),
                )
            }
            ("GET", "/-/kv-key") => {
                let key = request.argument("key");
                match state.items.contains_key(&key) {
                    true => {
                        let item = state.item(&key);
                        let item = item.strip_suffix('}').unwrap_or_default();
                        (200, format!("{item},\"currentRev\":{}}}", state.revision))
                    }
                    false => (404, "{}".to_owned()),
                }
            }
            ("POST", "/-/kv-lease") => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let ttl_ms = body.unwrap_or(Json::Null).get("ttlMs").number().max(1_000);
                state.granted += 1;
                let lease = 70_000 + state.granted;
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{ttl_ms}}}"))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                match state.has_lease(lease) {
                    true => {
                        let (end, ttl) = state.leases.get_mut(&lease).unwrap();
                        *end = Instant::now() + *ttl;
                        let answer = format!("{{\"ttlMs\":{}}}", ttl.as_millis());
                        *state.renewals.entry(node).or_default() += 1;
                        (200, answer)
                    }
                    false => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.end_lease(lease);
                drop(state);
                self.state.1.notify_all();
                (200, "{}".to_owned())
            }
            ("POST", "/-/kv-txn") => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let answer = commit(&mut state, &body.unwrap_or(Json::Null));
                drop(state);
                self.state.1.notify_all();
                answer
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn watch(&self, node: usize, request: &Request) -> (u16, String) {
        let prefix = request.argument("pathPrefix");
        let after: u64 = request.argument("after").parse().unwrap_or(0);
        let wait_ms = request.argument("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        loop {
            if Self::is_refusing(&state, node) {
                return (503, "{}".to_owned());
            }
            let from = state
                .events
                .partition_point(|(_, revision, _)| *revision <= after);
            let events = state.events[from..].iter();
            let events = events.filter(|(key, ..)| key.starts_with(&prefix));
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    200,
                    format!("{{\"events\":[{events}],\"currentRev\":{revision}}}"),
                );
            }
            state = self.state.1.wait_timeout(state, until - now).unwrap().0;
        }
    }
}

fn commit(state: &mut State, txn: &Json) -> (u16, String) {
    let expected = txn.get("expected").list();
    let holds = expected.iter().all(|row| {
        let known = state.items.get(row.get("key").text());
        known.map_or(0, |item| item.revision) == row.get("revision").number()
    });
    if !holds {
        let keys = expected.iter().map(|row| row.get("key").text());
        let keys = keys.filter(|key| state.items.contains_key(*key));
        let items: Vec<String> = keys.map(|key| state.item(key)).collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let puts = txn.get("puts").list();
    let mut leases = puts.iter().map(|put| put.get("lease").number());
    if leases.any(|lease| lease != 0 && !state.has_lease(lease)) {
        return (404, "{}".to_owned());
    }
    let removes = txn.get("remove").list();
    if !puts.is_empty()
        || removes
            .iter()
            .any(|key| state.items.contains_key(key.text()))
    {
        state.revision += 1;
    }
    for put in puts {
        let value = from_base64(put.get("value").text());
        state.put(put.get("key").text(), value, put.get("lease").number());
    }
    for key in removes {
        state.remove(key.text());
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}
