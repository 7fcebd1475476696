//! A node that passes requests on unchanged, on the users' platform.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use nutmegsail_platform::{PlatformDialect, PlatformStore};
use nutmegsail_relay_node::{RelayNode, RelaySettings};
use nutmegsail_store::{HttpKeyValue, PlatformSettings};
use nutmegsail_telemetry::{Event, log_event, logger};
use slog::Logger;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

/// How long a call to the store may take. It answers in 4 ms; slow, it takes some 400 ms.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long opening a connection to the store may take.
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

pub(crate) fn run(path: &Path, text: &str) -> eyre::Result<()> {
    let settings =
        RelaySettings::parse(text).map_err(|error| eyre!("{}: {error}", path.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("the traffic thread could not be started")?;
    LocalSet::new().block_on(&runtime, serve(settings))
}

async fn serve(settings: RelaySettings) -> eyre::Result<()> {
    let log = logger(&settings.log);
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangups = signal(SignalKind::hangup())?;
    let store = PlatformSettings {
        address: settings.store.address.to_string(),
        call_timeout: STORE_TIMEOUT,
        connect_timeout: STORE_CONNECT_TIMEOUT,
    };
    let store = HttpKeyValue::with_encoding(store, Arc::new(PlatformStore));
    let dialect = Arc::new(PlatformDialect);
    let node = RelayNode::start(settings, Arc::new(store), dialect, log.clone()).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = note_hangups(hangups, log) => {}
    }
    node.shutdown().await;
    Ok(())
}

/// Notes that the settings were written anew. Nothing in them changes while a process runs, but
/// the signal would end it if nobody listened.
async fn note_hangups(mut hangups: Signal, log: Logger) {
    while hangups.recv().await.is_some() {
        log_event!(log, Event::SettingsRead);
    }
    std::future::pending::<()>().await;
}
