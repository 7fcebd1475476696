//! Watches which services' upstreams this node can reach, and which peers reach the others.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use nutmegsail_base::ServiceName;
use nutmegsail_http_pool::OpenError;
use nutmegsail_relay::{DueProbe, FailedOpen, ReachChange, Upstream};
use nutmegsail_telemetry::{Event, log_event};
use rand::seq::IteratorRandom as _;
use tokio::task::spawn_local;
use tokio::time::{MissedTickBehavior, interval};

use super::gateway::Gateway;
use crate::traffic_message::{ForwardMessage, TrafficMessage};

/// How often probes are started and peers are asked.
const REACH_INTERVAL: Duration = Duration::from_millis(100);

/// Starts probes and asks peers, forever.
pub(crate) async fn watch_reach(gateway: Rc<Gateway>) {
    let mut ticks = interval(REACH_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = gateway.reach_suspected.notified() => {}
        }
        gateway.start_due_probes();
        gateway.ask_peers();
    }
}

impl Gateway {
    /// Records that no connection to an upstream could be opened, and probes others if needed.
    pub(super) fn record_failed_open(&self, upstream: &Upstream, why: OpenError) {
        let why = match why {
            OpenError::Refused => FailedOpen::Refused,
            OpenError::Silent => FailedOpen::Silent,
            OpenError::AtLimit => return,
        };
        let mut reach = self.shared.reach();
        reach.record_failed_open(&upstream.service, why, Instant::now());
        drop(reach);
        self.reach_suspected.notify_one();
    }

    fn start_due_probes(self: &Rc<Self>) {
        let due = self.shared.reach().due_probes(Instant::now());
        for probe in due {
            spawn_local(Rc::clone(self).probe_service(probe));
        }
    }

    /// Opens connections to some upstreams of a service. Those that open are kept for requests.
    async fn probe_service(self: Rc<Self>, probe: DueProbe) {
        let DueProbe { service, upstreams } = probe;
        let view = self.refresh_view();
        let listed = view.upstreams.iter();
        let listed = listed.filter(|known| known.service == service && known.takes_work());
        let chosen: Vec<Arc<Upstream>> = listed.cloned().sample(&mut rand::rng(), upstreams);
        if chosen.is_empty() {
            return;
        }
        let opening = chosen.iter().map(async |upstream| {
            let opened = self.pool.open(&upstream.address.to_string()).await;
            matches!(opened, Ok(()) | Err(OpenError::AtLimit))
        });
        let has_opened = join_all(opening).await.contains(&true);
        let change = self
            .shared
            .reach()
            .record_probe(&service, has_opened, Instant::now());
        if let Some(change) = change {
            self.apply_reach_change(&service, change, chosen.len());
        }
    }

    fn apply_reach_change(&self, service: &ServiceName, change: ReachChange, probed: usize) {
        let event = match change {
            ReachChange::Lost => Event::ServiceUnreachable,
            ReachChange::Regained => Event::ServiceReachable,
        };
        let overview = self.dispatcher.borrow().overview(service, Instant::now());
        log_event!(
            self.log, event,
            "service" => service.to_string(), "probed" => probed,
            "answer_age_ms" => overview.answer_age.map(|age| age.as_millis())
        );
        self.ask_peers();
        self.reach_changed.notify_waiters();
    }

    /// Asks some peers which of the services they reach whose requests this node forwards.
    fn ask_peers(&self) {
        let now = Instant::now();
        let services = self.shared.reach().services_to_forward(now);
        if services.is_empty() {
            return;
        }
        let addresses = self.forward_peers.borrow().to_ask(now, &mut rand::rng());
        for address in addresses {
            let ask = TrafficMessage::Forward(ForwardMessage::Ask(services.clone()));
            self.peer_socket.send(ask, address);
        }
    }
}
