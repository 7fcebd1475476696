//! What a node adds to the first token: the same streams straight to a stand-in engine and through
//! a node, side by side in one run.
//!
//! `cargo run --release -p nutmegsail-node --example overhead -- [streams] [requests] [traffic threads]`

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use nutmegsail_base::AdapterRef;
use nutmegsail_fakes::StandInsSettings;
use support::World;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

const TOKENS: u32 = 32;

/// Where the streams of one side go.
#[derive(Clone, Copy)]
struct Side {
    address: SocketAddr,
    is_direct: bool,
}

#[derive(Default)]
struct Timings {
    first_token_us: Vec<u64>,
    whole_us: Vec<u64>,
    tokens: u64,
}

fn main() {
    let mut args = std::env::args()
        .skip(1)
        .map(|arg| arg.parse().expect("a number"));
    let streams: usize = args.next().unwrap_or(200);
    let requests: usize = args.next().unwrap_or(10);
    let traffic_threads: usize = args.next().unwrap_or(2);
    let stand_ins = runtime("stand-ins", 3);
    let nodes = runtime("node", traffic_threads);
    let callers = runtime("callers", 3);
    let world = stand_ins.block_on(World::start_with(settings()));
    let engines: Vec<_> = world
        .stand_ins
        .state
        .fleet
        .engines
        .values()
        .cloned()
        .collect();
    for engine in &engines {
        engine.preload(AdapterRef::new("note-03", 2));
    }
    let node = nodes.block_on(world.node("node-1", "hall-a", &[]));
    let direct = Side {
        address: world.stand_ins.addresses.engines[0]
            .address
            .as_str()
            .parse()
            .expect("an address"),
        is_direct: true,
    };
    let through = Side {
        address: node.callers_address(),
        is_direct: false,
    };
    callers.block_on(run(through, 8, 2));
    for round in 1..=3 {
        for side in [direct, through] {
            let started = Instant::now();
            let timings = callers.block_on(run(side, streams, requests));
            print_row(round, side, &timings, started.elapsed());
        }
    }
    nodes.block_on(node.shutdown());
}

fn settings() -> StandInsSettings {
    let mut settings = StandInsSettings::default();
    settings.engine.step = Duration::from_millis(5);
    settings.engine.batch_slots = 512;
    settings.engine.adapter_slots = 8;
    settings
}

fn runtime(name: &str, threads: usize) -> tokio::runtime::Runtime {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    let builder = builder
        .worker_threads(threads)
        .thread_name(name)
        .enable_all();
    builder.build().expect("a runtime")
}

async fn run(side: Side, streams: usize, requests: usize) -> Timings {
    let timings = Arc::new(Mutex::new(Timings::default()));
    let mut tasks = tokio::task::JoinSet::new();
    for stream in 0..streams {
        let timings = Arc::clone(&timings);
        tasks.spawn(async move {
            let mut connection = connect(side.address).await;
            for request in 0..requests {
                let id = format!(
                    "o-{}-{stream}-{request}-{}",
                    side.is_direct,
                    rand::random::<u64>()
                );
                one(side, &mut connection, &id, &timings).await;
            }
        });
    }
    tasks.join_all().await;
    Arc::into_inner(timings)
        .expect("all tasks ended")
        .into_inner()
}

async fn connect(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = TcpStream::connect(address).await.expect("a connection");
    stream.set_nodelay(true).expect("no delay");
    let io = TokioIo::new(stream);
    let (sender, connection) = hyper::client::conn::http1::handshake(io)
        .await
        .expect("HTTP");
    tokio::spawn(connection);
    sender
}

async fn one(
    side: Side,
    connection: &mut SendRequest<Full<Bytes>>,
    id: &str,
    timings: &Mutex<Timings>,
) {
    let body =
        format!(r#"{{"model":"note-03@2","prompt":"p","max_tokens":{TOKENS},"stream":true}}"#);
    let mut request = Request::post("/v1/completions").header("host", "node");
    if side.is_direct {
        request = request
            .header("x-request-id", id)
            .header("x-adapter", "note-03@2")
            .header("x-priority", "5")
            .header("x-deadline-ms", "15000");
    } else {
        request = request.header("nutmegsail-caller", id);
    }
    let request = request
        .body(Full::new(Bytes::from(body)))
        .expect("a request");
    connection.ready().await.expect("the connection is kept");
    // Callers that send in step with the engine would see a whole step more or less.
    tokio::time::sleep(Duration::from_micros(rand::random_range(0..20_000))).await;
    let started = Instant::now();
    let response = connection.send_request(request).await.expect("an answer");
    let status = response.status();
    let mut body = response.into_body();
    if status != 200 {
        let body = body.collect().await.expect("a body").to_bytes();
        panic!("{status}: {}", String::from_utf8_lossy(&body));
    }
    let mut first = None;
    while let Some(frame) = body.frame().await {
        let frame = frame.expect("a whole answer");
        if frame
            .data_ref()
            .is_some_and(|bytes| bytes.starts_with(b"id: 1\n"))
        {
            first.get_or_insert_with(|| started.elapsed());
        }
    }
    let mut timings = timings.lock().await;
    timings
        .first_token_us
        .push(micros(first.expect("a first token")));
    timings.whole_us.push(micros(started.elapsed()));
    timings.tokens += u64::from(TOKENS);
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn print_row(round: u32, side: Side, timings: &Timings, took: Duration) {
    let mut first = Histogram::<u64>::new(3).expect("a histogram");
    for us in &timings.first_token_us {
        first.record(*us).expect("in range");
    }
    let requests = timings.first_token_us.len() as f64 / took.as_secs_f64();
    let tokens = timings.tokens as f64 / took.as_secs_f64();
    println!(
        "round {round} {:7} first token p50 {:6.2} ms p99 {:6.2} ms  {requests:8.0} requests/s {tokens:9.0} tokens/s",
        if side.is_direct { "direct" } else { "node" },
        first.value_at_quantile(0.5) as f64 / 1000.0,
        first.value_at_quantile(0.99) as f64 / 1000.0,
    );
}
