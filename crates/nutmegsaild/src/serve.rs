//! A node with nutmegsail's own interface for callers.

use std::path::Path;

use eyre::{WrapErr, eyre};
use nutmegsail_node::{Measures, Node, NodeSettings, Outside};
use nutmegsail_telemetry::{Event, Telemetry, log_event, logger};
use tokio::signal::unix::{SignalKind, signal};

pub(crate) fn run(path: &Path, text: &str) -> eyre::Result<()> {
    let settings =
        NodeSettings::parse(text).map_err(|faults| eyre!("{}: {faults}", path.display()))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .wrap_err("the traffic threads could not be started")?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: NodeSettings) -> eyre::Result<()> {
    let log = logger(&settings.log);
    let telemetry = Telemetry::start(
        &settings.telemetry,
        &settings.node,
        &settings.failure_domain,
    )?;
    let mut outside = Outside::over_http(&settings.platform);
    outside.measures = Measures {
        metrics: telemetry.metrics().clone(),
        spans: telemetry.spans().clone(),
    };
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let node = Node::start(settings, outside, log.clone()).await?;
    log_event!(
        log, Event::NodeReady,
        "callers" => node.callers_address().to_string(),
        "operators" => node.operators_address().to_string(),
        "nodes" => node.nodes_address().to_string()
    );
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.drain_asked() => {}
    }
    node.shutdown().await;
    // What was measured up to the end still goes out, for two seconds at most.
    tokio::task::spawn_blocking(move || telemetry.shutdown()).await?;
    Ok(())
}
