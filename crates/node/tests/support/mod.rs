//! What tests of whole nodes share: stand-ins over HTTP, a text, nodes and a caller.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use nutmegsail_config::{OperatorsText, Publisher, TextStore};
use nutmegsail_fakes::{
    EngineEntry, FakePlainService, Knobs, PlainEntry, StandIns, StandInsSettings,
};
use nutmegsail_node::{Node, NodeSettings, Outside};
use nutmegsail_store::{HttpKeyValue, KeyValue, PlatformSettings};
use tokio::net::TcpStream;

pub mod caller;
pub mod closing_desk;
pub mod mortal_node;

/// Stand-ins with the text of [`text`] accepted.
pub struct World {
    pub stand_ins: StandIns,
}

impl World {
    /// Starts quick stand-ins.
    pub async fn start() -> Self {
        let mut settings = StandInsSettings::default();
        settings.engine.step = Duration::from_millis(2);
        settings.engine.report_lag = Duration::from_millis(10);
        settings.weight_store.load = Duration::from_millis(20);
        settings.weight_store.loads_per_s = 100.0;
        settings.plain.work = Duration::from_millis(5);
        Self::start_with(settings).await
    }

    /// Starts two engines and two plain services in `hall-a`, and one engine in `hall-b`.
    pub async fn start_with(settings: StandInsSettings) -> Self {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let engine = |domain: &str| EngineEntry {
            address: any,
            failure_domain: domain.into(),
        };
        let plain = PlainEntry {
            address: any,
            failure_domain: "hall-a".into(),
        };
        let settings = StandInsSettings {
            engines: vec![engine("hall-a"), engine("hall-a"), engine("hall-b")],
            plains: vec![plain.clone(), plain],
            ..settings
        };
        let stand_ins = StandIns::start(settings).await.expect("stand-ins start");
        let world = Self { stand_ins };
        world.publish(&world.text()).await;
        world
    }

    /// The text that fits the stand-ins.
    pub fn text(&self) -> String {
        let addresses = &self.stand_ins.addresses;
        let engines: Vec<_> = addresses
            .engines
            .iter()
            .map(|one| one.address.clone())
            .collect();
        let plains: Vec<_> = addresses.plains.iter().map(|one| &one.address).collect();
        format!(
            r#"
[deployment]
name = "test"
failure_domains = ["hall-a", "hall-b"]

[limits]
loads_per_s = 100
loads_at_full_speed = 4

[services.scribe]
kind = "engine"
base_model = "scribe-70b"
class = "routine"
deadline_ms = 15000
target_ms = 800
adapter_slots = 8
batch_slots = 512
in_flight_per_upstream = 512
checks_fencing = false
adapters = [{{ names = "note-{{01..20}}", versions = [1, 2] }}]
upstreams.hall-a = ["{}", "{}"]
upstreams.hall-b = ["{}"]

[[services.scribe.calls]]
name = "summary"
class = "urgent"

[services.desk]
kind = "plain"
class = "urgent"
deadline_ms = 3000
target_ms = 150
depends_on = ["scribe"]
upstreams.hall-a = ["{}", "{}"]

[[services.desk.calls]]
name = "confirm"
method = "POST"
path = "/bookings"
once_only = true

[[services.desk.calls]]
name = "lookup"
method = "GET"
path = "/slots/*"
"#,
            engines[0], engines[1], engines[2], plains[0], plains[1]
        )
    }

    /// The plain services.
    pub fn desks(&self) -> Vec<FakePlainService> {
        let plains = &self.stand_ins.state.fleet.plains;
        plains.values().cloned().collect()
    }

    /// Shows these failures at every plain service.
    pub fn set_desks(&self, knobs: &Knobs) {
        for desk in self.desks() {
            desk.set_knobs(knobs.clone());
        }
    }

    /// Waits until a call has arrived at a silent plain service.
    pub async fn call_unanswered(&self) {
        let has_arrived = || {
            let mut desks = self.desks().into_iter();
            desks.any(|desk| desk.unanswered_calls() > 0)
        };
        while !has_arrived() {
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
        }
    }

    /// How often a call with the idempotency key ran, wherever.
    pub fn runs_at_all_desks(&self, key: &str) -> u32 {
        let desks = self.desks().into_iter();
        desks.map(|desk| desk.ledger().runs_of_key(key)).sum()
    }

    /// Has `text` accepted.
    pub async fn publish(&self, text: &str) {
        let store = HttpKeyValue::new(PlatformSettings::at(self.platform().to_string()));
        let store: Arc<dyn KeyValue> = Arc::new(store);
        let text = OperatorsText::new("test.toml", text);
        let head = TextStore::new(Arc::clone(&store)).read_head().await;
        let base = head.expect("a head").map(|found| found.head.generation);
        // A writer that stands in the history already has its text accepted.
        let writer = uuid::Uuid::now_v7().to_string();
        Publisher::new(store)
            .publish(&text, base, writer.as_str().into())
            .await
            .expect("the text is accepted");
    }

    /// Where the platform's services are.
    pub fn platform(&self) -> SocketAddr {
        self.stand_ins.addresses.kv
    }

    /// Starts a node and waits until a text is in force on it.
    pub async fn node(&self, name: &str, domain: &str, seeds: &[&Node]) -> Node {
        let seeds: Vec<_> = seeds.iter().map(|seed| seed.nodes_address()).collect();
        let node = start_node(self.node_settings(name, domain, &seeds)).await;
        until_ready(&node).await;
        node
    }

    /// The settings of a node.
    pub fn node_settings(&self, name: &str, domain: &str, seeds: &[SocketAddr]) -> NodeSettings {
        let platform = self.platform();
        let seeds: Vec<_> = seeds.iter().map(ToString::to_string).collect();
        let settings = format!(
            r#"
node = "{name}"
failure_domain = "{domain}"
nodes_address = "127.0.0.1:0"
seeds = {seeds:?}
[platform]
key_value = "{platform}"
vm_list = "{platform}"
[front]
callers_address = "127.0.0.1:0"
operators_address = "127.0.0.1:0"
stop_accepting_after_ms = 0
[log]
level = "error"
[control]
report_interval_ms = 50
"#
        );
        NodeSettings::parse(&settings).expect("settings")
    }
}

/// Starts a node; it may not be ready yet.
pub async fn start_node(settings: NodeSettings) -> Node {
    let outside = Outside::over_http(&settings.platform);
    let log = nutmegsail_telemetry::logger(&settings.log);
    Node::start(settings, outside, log).await.expect("starts")
}

/// Waits until a text is in force on the node.
pub async fn until_ready(node: &Node) {
    let ready = async || send(node.callers_address(), Method::GET, "/readyz", &[], "").await;
    while ready().await.status() != 200 {
        tokio::task::yield_now().await;
    }
}

/// Sends one request on a connection of its own and reads the whole answer.
pub async fn send(
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response<Bytes> {
    try_send(to, method, path, headers, body)
        .await
        .expect("an answer")
}

/// Like [`send`], for answers that may break off.
pub async fn try_send(
    to: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<Response<Bytes>, hyper::Error> {
    let stream = TcpStream::connect(to).await.expect("a connection");
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "node");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a request");
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    Ok(Response::from_parts(head, body))
}

/// The body of an answer as text.
pub fn text_of(response: &Response<Bytes>) -> String {
    String::from_utf8(response.body().to_vec()).expect("UTF-8")
}
