//! The node's metrics.

use std::time::Duration;

use nutmegsail_base::{ResultCode, StoreEra};
use nutmegsail_http_pool::OpenError;
use nutmegsail_intake::{CurrentUse, IntakeUse, ListenerKind};
use nutmegsail_relay::{ModelRef, OriginVerdict, OwnershipConcern};
use nutmegsail_store::KeyValueError;
use nutmegsail_telemetry::{CountStoreCalls, Event, StoreCall, log_event};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use slog::Logger;

use crate::peer_traffic::PeerTraffic;
use crate::prompt_metrics::PromptMetrics;
use crate::team_metrics::TeamMetrics;
use crate::traffic::BodySummary;

/// Upper bounds of the histogram buckets for times, in milliseconds. They are finest around the
/// latency objectives of plain calls (150 ms) and streams (600 to 1,000 ms).
const TIME_MS: [f64; 12] = [
    5.0, 20.0, 50.0, 100.0, 150.0, 250.0, 400.0, 600.0, 800.0, 1_000.0, 2_000.0, 5_000.0,
];

/// The node's instruments. Recording never blocks.
#[derive(Clone, Debug)]
pub(crate) struct RelayMetrics {
    pub(crate) teams: TeamMetrics,
    pub(crate) peer_traffic: PeerTraffic,
    pub(crate) prompts: PromptMetrics,
    requests: Counter<u64>,
    sends: Counter<u64>,
    loads: Counter<u64>,
    store_calls: Counter<u64>,
    reader_silent: Counter<u64>,
    upstream_ends: Counter<u64>,
    body_ends: Counter<u64>,
    held_back: Counter<u64>,
    not_sent: Counter<u64>,
    forwards: Counter<u64>,
    closed_unread: Counter<u64>,
    evicted: Counter<u64>,
    turned_away: Counter<u64>,
    held_bytes: Gauge<u64>,
    held_bytes_limit: Gauge<u64>,
    open_connections: Gauge<u64>,
    origin_searches: Counter<u64>,
    kept_streams: Gauge<u64>,
    first_event: Histogram<f64>,
    wait: Histogram<f64>,
    load_time: Histogram<f64>,
    stall: Histogram<f64>,
    configuration: Gauge<u64>,
    upstreams: Gauge<u64>,
    owned_engines: Gauge<u64>,
    model_engines: Gauge<u64>,
    connections: Gauge<u64>,
    suspects: Gauge<u64>,
    limited_upstreams: Gauge<u64>,
    unreachable_services: Gauge<u64>,
    brittle_services: Gauge<u64>,
    leaving_upstreams: Gauge<u64>,
    resting_upstreams: Gauge<u64>,
    store_era: Gauge<u64>,
    owner_concerns: Gauge<u64>,
    store_age: Gauge<u64>,
}

impl RelayMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        let times = |name: &'static str, text: &'static str| {
            let histogram = meter.f64_histogram(name).with_unit("ms");
            let histogram = histogram.with_description(text);
            histogram.with_boundaries(TIME_MS.to_vec()).build()
        };
        Self {
            teams: TeamMetrics::new(meter),
            peer_traffic: PeerTraffic::new(meter),
            prompts: PromptMetrics::new(meter),
            requests: counter(
                "nutmegsail.relay.requests",
                "Requests that ended, by result and base model.",
            ),
            sends: counter("nutmegsail.relay.sends", "Sends to upstreams, by outcome."),
            loads: counter("nutmegsail.relay.loads", "Loads of adapters, by result."),
            store_calls: counter(
                "nutmegsail.relay.store_calls",
                "Calls to the store, by result.",
            ),
            reader_silent: counter(
                "nutmegsail.relay.reader_silent",
                "Times that the node which reads the store for this one did not answer.",
            ),
            upstream_ends: counter(
                "nutmegsail.relay.upstream_ends",
                "Times that an upstream ended while requests began there.",
            ),
            body_ends: counter(
                "nutmegsail.relay.body_ends",
                "Bodies of upstreams' answers, by framing, how they ended, and whether inside an event.",
            ),
            held_back: counter(
                "nutmegsail.relay.held_back",
                "Times that a request was held back from an upstream for its limit.",
            ),
            not_sent: counter(
                "nutmegsail.relay.not_sent",
                "Times that no connection to an upstream could be opened, by reason.",
            ),
            forwards: counter(
                "nutmegsail.relay.forwards",
                "Requests that were forwarded to another node, by outcome.",
            ),
            closed_unread: counter(
                "nutmegsail.relay.closed_unread",
                "Callers' connections that were closed unread, as the node was overloaded.",
            ),
            evicted: counter(
                "nutmegsail.relay.evicted_connections",
                "Connections that were ended so that others have room, by listener and use.",
            ),
            turned_away: counter(
                "nutmegsail.relay.turned_away_connections",
                "New connections that were closed unread, as there was no room, by listener.",
            ),
            held_bytes: gauge(
                "nutmegsail.relay.held_bytes",
                "What connections and their requests hold.",
            ),
            held_bytes_limit: gauge(
                "nutmegsail.relay.held_bytes_limit",
                "The most that connections and their requests may hold.",
            ),
            open_connections: gauge(
                "nutmegsail.relay.open_connections",
                "Open connections, by listener.",
            ),
            origin_searches: counter(
                "nutmegsail.relay.stream_origin_searches",
                "Streams that callers resumed, by whether it was known where they began.",
            ),
            kept_streams: gauge(
                "nutmegsail.relay.kept_streams",
                "Streams of which this node knows where they began.",
            ),
            first_event: times(
                "nutmegsail.relay.first_event",
                "From a send to the first event.",
            ),
            wait: times(
                "nutmegsail.relay.wait",
                "From a request's arrival to its send, by base model.",
            ),
            load_time: times(
                "nutmegsail.relay.load_time",
                "From a load's order to its report.",
            ),
            stall: times(
                "nutmegsail.relay.stall",
                "How long the process did not run.",
            ),
            configuration: gauge("nutmegsail.relay.configuration", "The version in force."),
            upstreams: gauge("nutmegsail.relay.upstreams", "Upstreams that are listed."),
            owned_engines: gauge(
                "nutmegsail.relay.owned_engines",
                "Engines that the node owns.",
            ),
            model_engines: gauge(
                "nutmegsail.relay.model_engines",
                "Engines that are listed with a base model, by model.",
            ),
            connections: gauge(
                "nutmegsail.relay.connections",
                "Open connections of callers.",
            ),
            suspects: gauge(
                "nutmegsail.relay.suspects",
                "Requests that upstreams ended under, by whether they are refused.",
            ),
            leaving_upstreams: gauge(
                "nutmegsail.relay.leaving_upstreams",
                "Upstreams that say that they leave.",
            ),
            resting_upstreams: gauge(
                "nutmegsail.relay.resting_upstreams",
                "Upstreams that want nothing from this node for a while.",
            ),
            limited_upstreams: gauge(
                "nutmegsail.relay.limited_upstreams",
                "Upstreams that limit the requests that they take.",
            ),
            unreachable_services: gauge(
                "nutmegsail.relay.unreachable_services",
                "Services of which no upstream can be reached from this node.",
            ),
            brittle_services: gauge(
                "nutmegsail.relay.brittle_services",
                "Services whose upstreams fall over if they have to refuse many requests.",
            ),
            owner_concerns: gauge(
                "nutmegsail.relay.owner_concerns",
                "Whether engines are owned otherwise than they should be, by what is wrong.",
            ),
            store_era: gauge(
                "nutmegsail.relay.store_era",
                "The era of the store; it rises when the store comes back from an older copy.",
            ),
            store_age: gauge(
                "nutmegsail.relay.store_age_ms",
                "How old what is known of the store was when the page was asked for.",
            ),
        }
    }

    /// Counts a request that ended with a complete answer, or with `code`. `model` is the base
    /// model that it named, if the configuration has it: other names are made up by callers, and
    /// their number has no limit.
    pub(crate) fn request_ended(&self, code: Option<ResultCode>, model: Option<&ModelRef>) {
        let attributes = [Some(result(code)), model.map(base_model)];
        let attributes: Vec<KeyValue> = attributes.into_iter().flatten().collect();
        self.requests.add(1, &attributes);
    }

    /// Counts a send by its outcome.
    pub(crate) fn record_body(&self, body: BodySummary) {
        let labels = [
            KeyValue::new("framing", body.framing.to_string()),
            KeyValue::new("end", body.end.to_string()),
            KeyValue::new("is_inside_event", body.is_inside_event),
        ];
        self.body_ends.add(1, &labels);
    }

    pub(crate) fn record_send(&self, outcome: &'static str) {
        self.sends.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records the first event of a send, `waited` after the request arrived and `took` after the
    /// send.
    pub(crate) fn first_event(&self, waited: Duration, took: Duration, model: Option<&ModelRef>) {
        let attributes: Vec<KeyValue> = model.map(base_model).into_iter().collect();
        self.wait.record(millis(waited), &attributes);
        self.first_event.record(millis(took), &[]);
    }

    /// Counts a load that ended or was not ordered; `result` gives the reason.
    pub(crate) fn record_load_result(&self, result: String) {
        self.loads.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a load that a report shows as done.
    pub(crate) fn record_load_time(&self, took: Duration) {
        self.record_load_result("done".to_owned());
        self.load_time.record(millis(took), &[]);
    }

    /// Records a time during which the process did not run.
    pub(crate) fn record_stall(&self, duration: Duration) {
        self.stall.record(millis(duration), &[]);
    }

    /// Counts a missing answer of the node that reads the store for this one.
    pub(crate) fn record_silent_reader(&self) {
        self.reader_silent.add(1, &[]);
    }

    /// Counts an upstream that ended while requests began there.
    pub(crate) fn upstream_ended(&self) {
        self.upstream_ends.add(1, &[]);
    }

    /// Records how many requests that crashed upstreams are refused, and how many are not.
    pub(crate) fn suspects(&self, refused: usize, others: usize) {
        let is_refused = |is: bool| [KeyValue::new("refused", is)];
        self.suspects.record(refused as u64, &is_refused(true));
        self.suspects.record(others as u64, &is_refused(false));
    }

    /// Counts a request that was held back by an upstream's rate limit.
    pub(crate) fn held_back(&self) {
        self.held_back.add(1, &[]);
    }

    /// Counts a request for which no connection to an upstream could be opened.
    pub(crate) fn record_not_sent(&self, why: OpenError) {
        let reason = match why {
            OpenError::Refused => "refused",
            OpenError::Silent => "silent",
            OpenError::AtLimit => "at_limit",
        };
        self.not_sent.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request that was forwarded to another node.
    pub(crate) fn record_forward(&self, outcome: &'static str) {
        self.forwards.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a caller's connection that was closed unread.
    pub(crate) fn record_closed_unread(&self) {
        self.closed_unread.add(1, &[]);
    }

    /// Counts a connection that ends so that others have room.
    pub(crate) fn record_evicted(&self, listener: ListenerKind, ended_use: CurrentUse) {
        let ended_use = KeyValue::new("use", ended_use.to_string());
        self.evicted.add(1, &[listener_label(listener), ended_use]);
    }

    /// Counts a connection that was closed unread for want of room.
    pub(crate) fn record_turned_away(&self, listener: ListenerKind) {
        self.turned_away.add(1, &[listener_label(listener)]);
    }

    /// Records what connections hold.
    pub(crate) fn room(&self, room: &IntakeUse) {
        self.held_bytes.record(room.held_bytes as u64, &[]);
        self.held_bytes_limit.record(room.limit_bytes as u64, &[]);
        for (listener, connections) in room.connections {
            self.open_connections
                .record(connections as u64, &[listener_label(listener)]);
        }
    }

    /// Counts a stream that a caller resumes, by whether it is known where it began.
    pub(crate) fn record_origin_search(&self, verdict: &OriginVerdict) {
        let result = match verdict {
            OriginVerdict::At(_) => "known",
            OriginVerdict::OtherService => "other_service",
            OriginVerdict::Unknown { .. } | OriginVerdict::Pending => "unknown",
        };
        self.origin_searches
            .add(1, &[KeyValue::new("result", result)]);
    }

    /// Records the number of streams of which this node knows where they began.
    pub(crate) fn kept_streams(&self, streams: usize) {
        self.kept_streams.record(streams as u64, &[]);
    }

    /// Records the number of services of which no upstream can be reached.
    pub(crate) fn unreachable_services(&self, services: usize) {
        self.unreachable_services.record(services as u64, &[]);
    }

    /// Records the number of services whose upstreams are brittle.
    pub(crate) fn brittle_services(&self, services: usize) {
        self.brittle_services.record(services as u64, &[]);
    }

    /// Records the number of rate-limited upstreams.
    pub(crate) fn limited_upstreams(&self, upstreams: usize) {
        self.limited_upstreams.record(upstreams as u64, &[]);
    }

    /// Records how many upstreams are leaving, and how many have asked for backoff.
    pub(crate) fn notices(&self, leaving: usize, resting: usize) {
        self.leaving_upstreams.record(leaving as u64, &[]);
        self.resting_upstreams.record(resting as u64, &[]);
    }

    /// Records whether engines are owned in a way that they should not be.
    pub(crate) fn owner_concern(&self, concern: &OwnershipConcern, is_on: bool) {
        let concern = KeyValue::new("concern", concern.to_string());
        self.owner_concerns.record(u64::from(is_on), &[concern]);
    }

    /// Records the store's era, which rises when the store was restored from an older copy.
    pub(crate) fn store_era(&self, era: StoreEra) {
        self.store_era.record(era.0, &[]);
    }

    /// Records the current configuration version and numbers of upstreams and owned engines.
    pub(crate) fn record_state(&self, configuration: u64, upstreams: usize, owned_engines: usize) {
        self.configuration.record(configuration, &[]);
        self.upstreams.record(upstreams as u64, &[]);
        self.owned_engines.record(owned_engines as u64, &[]);
    }

    /// Records how many engines hold a base model.
    pub(crate) fn model_engines(&self, model: &str, engines: usize) {
        let model = KeyValue::new("model", model.to_owned());
        self.model_engines.record(engines as u64, &[model]);
    }

    /// Records the values that are measured when the metrics page is rendered.
    pub(crate) fn asked(&self, connections: usize, store_age: Option<Duration>) {
        self.connections.record(connections as u64, &[]);
        if let Some(age) = store_age {
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            self.store_age.record(age_ms, &[]);
        }
    }
}

/// Counts calls to the store, and logs those that fail.
#[derive(Clone, Debug)]
pub(crate) struct StoreCalls {
    pub(crate) metrics: RelayMetrics,
    pub(crate) log: Logger,
}

impl CountStoreCalls for StoreCalls {
    fn store_called(&self, call: StoreCall, failure: Option<&KeyValueError>) {
        let code = failure.map(KeyValueError::code);
        let kind = KeyValue::new("call", call.to_string());
        self.metrics.store_calls.add(1, &[kind, result(code)]);
        if let Some(error) = failure {
            log_event!(
                self.log, Event::StoreCallFailed,
                "call" => call.to_string(), "error" => error.to_string()
            );
        }
    }
}

fn listener_label(listener: ListenerKind) -> KeyValue {
    KeyValue::new("listener", listener.to_string())
}

fn base_model(model: &ModelRef) -> KeyValue {
    KeyValue::new("model", model.model.to_string())
}

pub(crate) fn result(code: Option<ResultCode>) -> KeyValue {
    let result = code.map_or_else(|| "ok".to_owned(), |code| code.to_string());
    KeyValue::new("result", result)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
