//! The control thread: its state, and the tasks that keep it up to date.

mod base_models;
mod change_failure;
mod change_log;
mod claims;
mod confirmation;
mod engine;
mod engine_load;
mod engine_models;
mod eras;
mod exchange;
mod follow_loads;
mod keeper;
mod knowledge;
mod leaving_news;
mod lending;
mod limit_news;
mod load_board;
mod load_failure;
mod loader;
mod model_demand;
mod operators_watch;
mod orders;
mod owner_concerns;
mod owner_loads;
mod owner_record;
mod owners;
mod peers;
mod reading;
mod returning_nodes;
mod shown_text;
mod slots;
mod suspect_news;
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
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio_util::sync::CancellationToken;

use crate::clock::boot_time;
use crate::shared::{Shared, Want};
use crate::{Dialect, RelaySettings};
pub(crate) use exchange::{parse_traffic_message, traffic_datagram};
use knowledge::Knowledge;
use loader::Loader;
use operators_watch::OperatorsFollower;
use owners::OwnersFollower;
use upstreams_watch::UpstreamsFollower;
use watch::Follower;

/// What the control thread is started with.
pub(crate) struct ControlParts {
    pub(crate) settings: RelaySettings,
    pub(crate) store: Arc<dyn KeyValue>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) shared: Arc<Shared>,
    pub(crate) wants: mpsc::Receiver<Want>,
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
    let knowledge = Rc::new(Knowledge::new(&parts));
    let loader = Rc::new(Loader::new(Rc::clone(&knowledge)));
    spawn_local(watch_store(Rc::clone(&knowledge)));
    spawn_local(watch_stalls(Rc::clone(&knowledge)));
    spawn_local(base_models::run(Rc::clone(&knowledge)));
    let keeper = spawn_local(keeper::keep(Rc::clone(&knowledge)));
    spawn_local(peers::serve(parts.nodes, Rc::clone(&loader)));
    spawn_local(exchange::run(Rc::clone(&knowledge), parts.datagrams));
    spawn_local(loader::serve(loader, parts.wants));
    parts.stop.cancelled().await;
    keeper.abort();
    keeper::give_back(&knowledge).await;
}

async fn watch_store(knowledge: Rc<Knowledge>) {
    let followers: [Box<dyn Follower>; 3] = [
        Box::new(OperatorsFollower(Rc::clone(&knowledge))),
        Box::new(UpstreamsFollower::new(Rc::clone(&knowledge))),
        Box::new(OwnersFollower(Rc::clone(&knowledge))),
    ];
    watch::follow(&knowledge, &followers).await;
}

/// How often the control thread checks whether it was stalled.
const STALL_INTERVAL: Duration = Duration::from_millis(250);

async fn watch_stalls(knowledge: Rc<Knowledge>) {
    let mut watch = StallWatch::new(STALL_INTERVAL, boot_time());
    let mut looks = tokio::time::interval(STALL_INTERVAL);
    looks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        looks.tick().await;
        if let Some(stalled) = watch.check(boot_time()) {
            knowledge.shared.metrics.stalled(stalled);
            knowledge.needs_suspects.set(true);
            log_event!(knowledge.log, Event::NodeResumed, "stalled_ms" => stalled.as_millis());
        }
    }
}
