//! The control thread: its state, and the tasks that keep it up to date.

mod base_models;
mod brittle_gossip;
mod change_failure;
mod change_log;
mod claims;
mod confirmation;
mod control_state;
mod engine;
mod engine_load;
mod engine_models;
mod engine_paces;
mod eras;
mod exchange;
mod forwarding;
mod gossip_schedule;
mod joined_nodes;
mod last_claims;
mod leaving_gossip;
mod lending;
mod limit_gossip;
mod load_aggregator;
mod load_failure;
mod loader;
mod maintenance;
mod model_demand;
mod operators_watch;
mod orders;
mod origin_reads;
mod origin_writes;
mod owner_concerns;
mod owner_loads;
mod owner_record;
mod owners;
mod peers;
mod poll_loads;
mod prompt_gates;
mod restarts;
mod served_software;
mod slots;
mod store_reader;
mod stored_config;
mod suspect_gossip;
mod suspect_store;
mod upstreams_watch;
mod watch;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_relay::StallWatch;
use nutmegsail_store::KeyValue;
use nutmegsail_telemetry::{Event, log_event};
use slog::Logger;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

use crate::clock::boot_time;
use crate::shared::{ControlRequests, Shared};
use crate::{Dialect, RelaySettings};
use control_state::ControlState;
pub(crate) use exchange::{parse_traffic_message, traffic_datagram};
use loader::Loader;
use operators_watch::OperatorsWatcher;
use owners::OwnersWatcher;
use upstreams_watch::UpstreamsWatcher;
use watch::Watcher;

/// What the control thread is started with.
pub(crate) struct ControlParts {
    pub(crate) settings: RelaySettings,
    pub(crate) store: Arc<dyn KeyValue>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) requests: ControlRequests,
    /// Accepts load requests and reads of store changes from other nodes.
    pub(crate) nodes: TcpListener,
    /// Exchanges datagrams with other nodes.
    pub(crate) datagrams: UdpSocket,
    /// Stops the control thread.
    pub(crate) stop: CancellationToken,
    pub(crate) log: Logger,
}

/// Runs all tasks until the thread is stopped, then releases the node's lease.
pub(crate) async fn run(parts: ControlParts) {
    let control = Rc::new(ControlState::new(&parts));
    let loader = Rc::new(Loader::new(Rc::clone(&control)));
    spawn_local(watch_store(Rc::clone(&control)));
    spawn_local(watch_stalls(Rc::clone(&control)));
    spawn_local(base_models::run(Rc::clone(&control)));
    let maintenance = spawn_local(maintenance::run(Rc::clone(&control)));
    spawn_local(peers::serve(parts.nodes, Rc::clone(&loader)));
    spawn_local(exchange::run(Rc::clone(&control), parts.datagrams));
    spawn_local(loader::serve(loader, parts.requests.loads));
    spawn_local(origin_writes::run(Rc::clone(&control)));
    spawn_local(origin_reads::serve(
        Rc::clone(&control),
        parts.requests.origin_reads,
    ));
    parts.stop.cancelled().await;
    maintenance.abort();
    maintenance::release_lease(&control).await;
}

async fn watch_store(control: Rc<ControlState>) {
    let watchers: [Box<dyn Watcher>; 3] = [
        Box::new(OperatorsWatcher(Rc::clone(&control))),
        Box::new(UpstreamsWatcher::new(Rc::clone(&control))),
        Box::new(OwnersWatcher(Rc::clone(&control))),
    ];
    watch::run(&control, &watchers).await;
}

/// How often the control thread checks whether it was stalled.
const STALL_INTERVAL: Duration = Duration::from_millis(250);

async fn watch_stalls(control: Rc<ControlState>) {
    let mut watch = StallWatch::new(STALL_INTERVAL, boot_time());
    let mut ticks = tokio::time::interval(STALL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Some(stalled) = watch.check(boot_time()) {
            control.shared.metrics.record_stall(stalled);
            control.must_query_suspects.set(true);
            log_event!(control.log, Event::NodeResumed, "stalled_ms" => stalled.as_millis());
        }
    }
}
