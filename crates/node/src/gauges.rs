//! Measurements that are read now and then, not when something happens.

use std::sync::{Arc, Weak};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use nutmegsail_config::InForce;
use nutmegsail_front::Front;
use nutmegsail_telemetry::{Direction, Metrics};
use nutmegsail_wire::{Link, MessageKind, TrafficCount};
use tokio_util::sync::CancellationToken;

/// How often they are read.
const INTERVAL: Duration = Duration::from_secs(1);

/// The ways of a message between nodes.
const DIRECTIONS: [Direction; 2] = [Direction::Sent, Direction::Received];

/// Reads the generation in force and the traffic between nodes.
pub(crate) struct Gauges {
    /// Where they go.
    pub(crate) metrics: Metrics,
    /// The text in force.
    pub(crate) in_force: Arc<ArcSwapOption<InForce>>,
    /// The link to other nodes.
    pub(crate) link: Arc<Link>,
    /// The listeners.
    pub(crate) front: Weak<Front>,
}

impl Gauges {
    /// Reads until `stop`.
    pub(crate) async fn run(self, stop: CancellationToken) {
        let mut told = [[TrafficCount::default(); 2]; MessageKind::ALL.len()];
        let mut looks = tokio::time::interval(INTERVAL);
        loop {
            tokio::select! {
                _ = looks.tick() => self.read(&mut told),
                () = stop.cancelled() => return,
            }
        }
    }

    fn read(&self, told: &mut [[TrafficCount; 2]; MessageKind::ALL.len()]) {
        if let Some(text) = self.in_force.load().as_ref() {
            self.metrics.generation(text.generation.0);
        }
        if let Some(front) = self.front.upgrade() {
            let room = front.current_use();
            self.metrics.room(room.held_bytes, room.limit_bytes);
            for (listener, connections) in room.connections {
                let listener = listener.to_string();
                self.metrics.open_connections(&listener, connections);
            }
        }
        for (kind, told) in MessageKind::ALL.into_iter().zip(told) {
            for (direction, told) in DIRECTIONS.into_iter().zip(told) {
                let count = match direction {
                    Direction::Sent => self.link.traffic().sent(kind),
                    Direction::Received => self.link.traffic().received(kind),
                };
                let messages = count.messages - told.messages;
                let bytes = count.bytes - told.bytes;
                let name = kind.to_string();
                self.metrics
                    .control_traffic(&name, direction, messages, bytes);
                *told = count;
            }
        }
    }
}
