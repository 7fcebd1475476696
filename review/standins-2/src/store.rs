//! The platform's store: keys, leases that run out, transactions and watches.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{answer_text, listen, read_request, Request};
use crate::json::{from_base64, to_base64, Json};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    key: String,
    revision: u64,
    /// `None` if the key was removed.
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Until then the store is down: calls get no answer.
    last_lease: u64,
}

#[derive(Clone)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn start() -> Self {
        let store = Self(Arc::new((Mutex::new(State { revision: 100, ..State::default() }), Condvar::new())));
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            expiring.drop_expired();
        });
        store
    }

    /// Opens an address of the store.
    pub fn open(&self) -> SocketAddr {
        let store = self.clone();
        listen("127.0.0.1:0", move |stream| store.serve(stream))
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.0 .0.lock().unwrap();
        state.revision += 1;
        state.put(key, value.as_bytes().to_vec(), 0);
        drop(state);
        self.0 .1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut state = self.0 .0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        drop(state);
        self.0 .1.notify_all();
    }

    fn drop_expired(&self) {
        let mut state = self.0 .0.lock().unwrap();
        let now = Instant::now();
        let expired: Vec<u64> = state.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
        for lease in &expired {
            state.end_lease(*lease);
        }
        drop(state);
        if !expired.is_empty() {
            self.0 .1.notify_all();
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut buffer) {
            thread::sleep(Duration::from_millis(2));
            let (status, body) = self.answer(&request);
            let text = answer_text(status, "Content-Type: application/json\r\n", &body);
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path().to_owned();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        if path == "/-/kv-watch" {
            return self.watch(request);
        }
        let mut state = self.0 .0.lock().unwrap();
        let answer = match (request.method.as_str(), path.as_str()) {
            ("GET", "/-/kv-key") => match state.items.get(&request.argument("key")) {
                Some(item) => (200, item.json(&request.argument("key"), state.revision)),
                None => (404, "{}".to_owned()),
            },
            ("GET", "/-/kv-range") => {
                let (prefix, after) = (request.argument("pathPrefix"), request.argument("after"));
                let found = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let found: Vec<String> = found.map(|(key, item)| item.json(key, state.revision)).collect();
                let page = found.iter().take(400).cloned().collect::<Vec<_>>().join(",");
                let has_more = found.len() > 400;
                (200, format!("{{\"items\":[{page}],\"hasMore\":{has_more},\"currentRev\":{}}}", state.revision))
            }
            ("POST", "/-/kv-lease") => {
                let ttl = Duration::from_millis(body.get("ttlMs").number().max(1_000));
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()))
            }
            ("POST", path) if path.starts_with("/-/kv-keep/") => {
                let lease = path["/-/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        (200, format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/-/kv-lease-end/") => {
                let lease = path["/-/kv-lease-end/".len()..].parse().unwrap_or(0);
                state.end_lease(lease);
                (200, "{}".to_owned())
            }
            ("POST", "/-/kv-txn") => state.commit(&body),
            _ => (400, "{}".to_owned()),
        };
        drop(state);
        if request.method != "GET" {
            self.0 .1.notify_all();
        }
        answer
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.argument("pathPrefix");
        let after: u64 = request.argument("after").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(request.argument("waitMs").parse().unwrap_or(0));
        let mut state = self.0 .0.lock().unwrap();
        loop {
            let events = state.events.iter().filter(|event| event.revision > after && event.key.starts_with(&prefix));
            let events: Vec<String> = events.map(|event| event.json(state.revision)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (200, format!("{{\"events\":[{}],\"currentRev\":{}}}", events.join(","), state.revision));
            }
            state = self.0 .1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl Item {
    fn json(&self, key: &str, current: u64) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{},\"currentRev\":{current}}}",
            to_base64(&self.value), self.revision, self.created, self.lease
        )
    }
}

impl Event {
    fn json(&self, current: u64) -> String {
        match &self.item {
            Some(item) => item.json(&self.key, current),
            None => format!("{{\"key\":\"{}\",\"revision\":{},\"deleted\":true}}", self.key, self.revision),
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event { key: key.to_owned(), revision: self.revision, item: Some(item) });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.events.push(Event { key: key.to_owned(), revision: self.revision, item: None });
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self.items.iter().filter(|(_, item)| item.lease == lease).map(|(key, _)| key.clone()).collect();
        if lease != 0 && !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn commit(&mut self, body: &Json) -> (u16, String) {
        let (rows, puts, removes) = (body.get("expected").list(), body.get("puts").list(), body.get("remove").list());
        if rows.len() + puts.len() + removes.len() > 32 {
            return (400, "{}".to_owned());
        }
        let revision_of = |key: &str| self.items.get(key).map_or(0, |item| item.revision);
        if rows.iter().any(|row| revision_of(row.get("key").text()) != row.get("revision").number()) {
            let known = rows.iter().filter_map(|row| Some((row.get("key").text(), self.items.get(row.get("key").text())?)));
            let known: Vec<String> = known.map(|(key, item)| item.json(key, self.revision)).collect();
            return (412, format!("{{\"items\":[{}]}}", known.join(",")));
        }
        let has_lease = |put: &Json| put.get("lease").number() == 0 || self.leases.contains_key(&put.get("lease").number());
        if !puts.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        let has_removal = removes.iter().any(|key| self.items.contains_key(key.text()));
        if !puts.is_empty() || has_removal {
            self.revision += 1;
        }
        for put in puts {
            self.put(put.get("key").text(), from_base64(put.get("value").text()), put.get("lease").number());
        }
        for key in removes {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}
