//! The node's metrics.

use std::time::Duration;

use derive_more::Display;
use nutmegsail_base::{Class, ResultCode, ServiceName};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

/// Upper bounds of the buckets for times to first token, in milliseconds.
const FIRST_TOKEN_MS: [f64; 14] = [
    5.0, 10.0, 20.0, 35.0, 50.0, 75.0, 100.0, 200.0, 350.0, 500.0, 1_000.0, 2_000.0, 5_000.0,
    20_000.0,
];
/// Upper bounds of the buckets for load stalls, in seconds.
const LOAD_STALL_S: [f64; 10] = [0.0, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 30.0];

/// What a call to the platform's key-value service was for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum StoreCall {
    /// A read.
    Read,
    /// A write.
    Write,
    /// A watch.
    Watch,
    /// A grant, renewal or end of a lease.
    Lease,
}

/// What became of a claim.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum ClaimResult {
    /// The call may run here.
    Granted,
    /// The call was claimed before.
    Repeated,
    /// The claim could not be recorded; the call did not run.
    Refused,
    /// Nobody can say whether the call ran.
    Unknown,
}

/// The way of a message between nodes.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum Direction {
    /// To another node.
    Sent,
    /// From another node.
    Received,
}

/// The node's metrics. Each call records one measurement and never blocks.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_base::Class;
/// use nutmegsail_telemetry::Metrics;
///
/// let metrics = Metrics::discard();
/// metrics.request_ended(&"spa-desk".into(), Class::Urgent, None);
/// metrics.first_token(Class::Urgent, Duration::from_millis(12));
/// ```
#[derive(Clone, Debug)]
pub struct Metrics {
    requests: Counter<u64>,
    first_token_ms: Histogram<f64>,
    load_stall_s: Histogram<f64>,
    queue_length: Gauge<u64>,
    queue_wait_ms: Histogram<f64>,
    retries: Counter<u64>,
    sheds: Counter<u64>,
    generation: Gauge<u64>,
    store_calls: Counter<u64>,
    control_bytes: Counter<u64>,
    control_messages: Counter<u64>,
    claims: Counter<u64>,
    held_bytes: Gauge<u64>,
    held_bytes_limit: Gauge<u64>,
    open_connections: Gauge<u64>,
}

impl Metrics {
    /// The instruments of `meter`.
    pub fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        Self {
            requests: counter("nutmegsail.requests", "Requests that ended, by result."),
            first_token_ms: meter
                .f64_histogram("nutmegsail.first_token")
                .with_unit("ms")
                .with_description("Time from a request's arrival to its first token.")
                .with_boundaries(FIRST_TOKEN_MS.to_vec())
                .build(),
            load_stall_s: meter
                .f64_histogram("nutmegsail.load_stall")
                .with_unit("s")
                .with_description("Time that a request waited for its adapter.")
                .with_boundaries(LOAD_STALL_S.to_vec())
                .build(),
            queue_length: gauge("nutmegsail.queue_length", "Requests that wait on the node."),
            queue_wait_ms: meter
                .f64_histogram("nutmegsail.queue_wait")
                .with_unit("ms")
                .with_description("Time that a request waited for its upstream to be chosen.")
                .with_boundaries(FIRST_TOKEN_MS.to_vec())
                .build(),
            retries: counter("nutmegsail.retries", "Second and later sends of a request."),
            sheds: counter(
                "nutmegsail.sheds",
                "Requests given up before they were sent.",
            ),
            generation: gauge("nutmegsail.generation", "Generation of the text in force."),
            store_calls: counter("nutmegsail.store_calls", "Calls to the key-value service."),
            control_bytes: counter("nutmegsail.control_bytes", "Bytes between nodes."),
            control_messages: counter("nutmegsail.control_messages", "Messages between nodes."),
            claims: counter(
                "nutmegsail.claims",
                "Claims of calls that run once, by result.",
            ),
            held_bytes: gauge(
                "nutmegsail.held_bytes",
                "What connections and their requests hold.",
            ),
            held_bytes_limit: gauge(
                "nutmegsail.held_bytes_limit",
                "The most that connections and their requests may hold.",
            ),
            open_connections: gauge(
                "nutmegsail.open_connections",
                "Open connections, by listener.",
            ),
        }
    }

    /// Metrics that go nowhere, for tests and measurements.
    pub fn discard() -> Self {
        use opentelemetry::metrics::MeterProvider;
        let meters = opentelemetry_sdk::metrics::SdkMeterProvider::builder().build();
        Self::new(&meters.meter("discard"))
    }

    /// A request ended: with a whole answer, or with `code`.
    pub fn request_ended(&self, service: &ServiceName, class: Class, code: Option<ResultCode>) {
        let result = code.map_or_else(|| "ok".to_owned(), |code| code.to_string());
        let attributes = [
            service_of(service),
            class_of(class),
            KeyValue::new("result", result),
        ];
        self.requests.add(1, &attributes);
    }

    /// The first token of an answer went out, this long after the request had arrived.
    pub fn first_token(&self, class: Class, after: Duration) {
        let ms = after.as_secs_f64() * 1_000.0;
        self.first_token_ms.record(ms, &[class_of(class)]);
    }

    /// A request waited this long for its adapter; zero if the adapter was ready.
    pub fn load_stall(&self, class: Class, waited: Duration) {
        let s = waited.as_secs_f64();
        self.load_stall_s.record(s, &[class_of(class)]);
    }

    /// So many requests of a class wait on the node.
    pub fn queue_length(&self, class: Class, requests: u64) {
        self.queue_length.record(requests, &[class_of(class)]);
    }

    /// A request waited this long until it was sent.
    pub fn queue_wait(&self, class: Class, waited: Duration) {
        let ms = waited.as_secs_f64() * 1_000.0;
        self.queue_wait_ms.record(ms, &[class_of(class)]);
    }

    /// A request was sent another time.
    pub fn retried(&self, service: &ServiceName) {
        self.retries.add(1, &[service_of(service)]);
    }

    /// A request was given up before it was sent.
    pub fn shed(&self, service: &ServiceName, class: Class) {
        self.sheds.add(1, &[service_of(service), class_of(class)]);
    }

    /// This generation of the operators' text is in force on the node.
    pub fn generation(&self, generation: u64) {
        self.generation.record(generation, &[]);
    }

    /// Connections and their requests hold so many bytes, and may hold so many.
    pub fn room(&self, held_bytes: usize, limit_bytes: usize) {
        self.held_bytes.record(held_bytes as u64, &[]);
        self.held_bytes_limit.record(limit_bytes as u64, &[]);
    }

    /// A listener has so many open connections.
    pub fn open_connections(&self, listener: &str, connections: usize) {
        let listener = KeyValue::new("listener", listener.to_owned());
        self.open_connections
            .record(connections as u64, &[listener]);
    }

    /// The key-value service was called. `code` says why it failed, if it did.
    pub fn store_called(&self, call: StoreCall, code: Option<ResultCode>) {
        let result = code.map_or_else(|| "ok".to_owned(), |code| code.to_string());
        let attributes = [
            KeyValue::new("call", call.to_string()),
            KeyValue::new("result", result),
        ];
        self.store_calls.add(1, &attributes);
    }

    /// So many messages and bytes of a kind went between this node and others since the last time
    /// this was called.
    pub fn control_traffic(&self, kind: &str, direction: Direction, messages: u64, bytes: u64) {
        let attributes = [
            KeyValue::new("kind", kind.to_owned()),
            KeyValue::new("direction", direction.to_string()),
        ];
        self.control_messages.add(messages, &attributes);
        self.control_bytes.add(bytes, &attributes);
    }

    /// A claim of a call that runs once was decided.
    pub fn claimed(&self, result: ClaimResult) {
        let attributes = [KeyValue::new("result", result.to_string())];
        self.claims.add(1, &attributes);
    }
}

fn class_of(class: Class) -> KeyValue {
    KeyValue::new("class", class.to_string())
}

fn service_of(service: &ServiceName) -> KeyValue {
    KeyValue::new("service", service.to_string())
}
