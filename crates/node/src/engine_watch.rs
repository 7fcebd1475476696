//! Reads the reports of engines and the readiness of plain services, and tells who needs them.

use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::{Clock, EngineReport, FailureDomain, UpstreamId};
use nutmegsail_config::{Deployment, ServiceKind};
use nutmegsail_membership::{LeavingSource, MembershipEvent};
use nutmegsail_placement::PlacementEvent;
use nutmegsail_routing::RoutingEvent;
use nutmegsail_upstream::{Engine, PlainService, UpstreamError};
use tokio::task::JoinSet;
use xtra::Address;

use crate::dispatcher::{Dispatcher, Routed};
use crate::loader::Loader;
use crate::loader_message::Placed;
use crate::peers::{Peers, Told};

/// Whom the watch tells, and what it reads.
#[derive(Clone)]
pub(crate) struct EngineWatch {
    /// The engines.
    pub(crate) engines: Arc<dyn Engine>,
    /// The plain services.
    pub(crate) plain: Arc<dyn PlainService>,
    /// The clock.
    pub(crate) clock: Arc<dyn Clock>,
    /// This node's failure domain; its upstreams are read most often.
    pub(crate) failure_domain: FailureDomain,
    /// How often an upstream of the own failure domain is read.
    pub(crate) interval: Duration,
    /// The router's actor.
    pub(crate) dispatcher: Address<Dispatcher>,
    /// The loader.
    pub(crate) loader: Address<Loader>,
    /// Membership.
    pub(crate) peers: Address<Peers>,
}

/// Upstreams of other failure domains are read this many times less often: they only serve what
/// the own domain can't.
const FAR_INTERVALS: u32 = 4;

impl EngineWatch {
    /// Watches every upstream of a text until the returned set is dropped.
    pub(crate) fn watch(&self, deployment: &Deployment) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        for service in deployment.services.values() {
            let is_engine = matches!(service.kind, ServiceKind::Engine { .. });
            for entry in &service.upstreams {
                let is_near = entry.failure_domain == self.failure_domain;
                let interval = if is_near {
                    self.interval
                } else {
                    self.interval * FAR_INTERVALS
                };
                let (watch, upstream) = (self.clone(), entry.upstream.clone());
                if is_engine {
                    tasks.spawn(async move { watch.read_engine(upstream, interval).await });
                } else {
                    tasks.spawn(async move { watch.read_plain(upstream, interval).await });
                }
            }
        }
        tasks
    }

    async fn read_engine(&self, upstream: UpstreamId, interval: Duration) {
        let mut ticks = tokio::time::interval(interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let taken_at = self.clock.now();
            match self.engines.report(&upstream).await {
                Ok(report) => self.reported(&upstream, report, taken_at).await,
                Err(UpstreamError::Unreachable) => self.engine_gone(&upstream).await,
                Err(_) => {}
            }
        }
    }

    async fn reported(
        &self,
        upstream: &UpstreamId,
        report: EngineReport,
        taken_at: std::time::Instant,
    ) {
        let incarnation = report.incarnation;
        let membership = if report.is_leaving {
            let source = LeavingSource::Report;
            let incarnation = Some(incarnation);
            MembershipEvent::UpstreamLeaving {
                upstream: upstream.clone(),
                incarnation,
                source,
            }
        } else {
            MembershipEvent::UpstreamStaying {
                upstream: upstream.clone(),
                incarnation,
            }
        };
        let _ = self.peers.send(Told(membership)).detach().await;
        let routed = RoutingEvent::Report {
            upstream: upstream.clone(),
            report: report.clone(),
        };
        let _ = self.dispatcher.send(Routed(routed)).detach().await;
        let placed = PlacementEvent::Report {
            engine: upstream.clone(),
            report,
            taken_at,
        };
        let _ = self.loader.send(Placed(placed)).detach().await;
    }

    async fn engine_gone(&self, upstream: &UpstreamId) {
        let routed = RoutingEvent::UpstreamGone {
            upstream: upstream.clone(),
        };
        let _ = self.dispatcher.send(Routed(routed)).detach().await;
        let placed = PlacementEvent::EngineGone {
            engine: upstream.clone(),
        };
        let _ = self.loader.send(Placed(placed)).detach().await;
    }

    async fn read_plain(&self, upstream: UpstreamId, interval: Duration) {
        let mut ticks = tokio::time::interval(interval * FAR_INTERVALS);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let event = match self.plain.is_ready(&upstream).await {
                Ok(is_ready) => RoutingEvent::Health {
                    upstream: upstream.clone(),
                    is_ready,
                },
                Err(UpstreamError::Unreachable) => RoutingEvent::UpstreamGone {
                    upstream: upstream.clone(),
                },
                Err(_) => continue,
            };
            let _ = self.dispatcher.send(Routed(event)).detach().await;
        }
    }
}
