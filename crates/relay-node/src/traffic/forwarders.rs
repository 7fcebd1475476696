//! Ends what other nodes have forwarded here once they fall silent.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use nutmegsail_base::NodeId;
use nutmegsail_relay::CallKind;
use nutmegsail_telemetry::{Event, log_event};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::gateway::Gateway;
use crate::traffic_message::{ForwardMessage, TrafficMessage};

/// How often a node announces that it waits for what it has forwarded. Callers leave a silent node
/// after two seconds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// The requests in progress that other nodes have forwarded.
#[derive(Clone, Debug, Default)]
pub(super) struct ForwardedCalls(Rc<RefCell<CallsInProgress>>);

#[derive(Debug, Default)]
struct CallsInProgress {
    next: u64,
    calls: HashMap<u64, ForwardedCall>,
}

#[derive(Debug)]
struct ForwardedCall {
    from: NodeId,
    kind: CallKind,
    /// Closes the connection that the request came on.
    abandoned: CancellationToken,
}

/// Keeps a request among the [`ForwardedCalls`] until dropped.
pub(super) struct ForwardedCallGuard {
    calls: ForwardedCalls,
    number: u64,
}

impl ForwardedCalls {
    pub(super) fn begin(
        &self,
        from: NodeId,
        kind: CallKind,
        abandoned: CancellationToken,
    ) -> ForwardedCallGuard {
        let mut in_progress = self.0.borrow_mut();
        let number = in_progress.next;
        in_progress.next += 1;
        let call = ForwardedCall {
            from,
            kind,
            abandoned,
        };
        in_progress.calls.insert(number, call);
        drop(in_progress);
        ForwardedCallGuard {
            calls: self.clone(),
            number,
        }
    }

    /// Ends the requests of `node` that its callers may have had served elsewhere. Others run on, as
    /// they cannot be sent again. Returns how many were ended.
    fn end_repeatable(&self, node: &NodeId) -> usize {
        let in_progress = self.0.borrow();
        let of_node = in_progress.calls.values();
        let repeatable = of_node.filter(|call| call.from == *node && call.kind.may_retry());
        repeatable.map(|call| call.abandoned.cancel()).count()
    }
}

impl Drop for ForwardedCallGuard {
    fn drop(&mut self) {
        self.calls.0.borrow_mut().calls.remove(&self.number);
    }
}

/// Announces to peers that this node waits for what it has forwarded to them, and ends what was
/// forwarded by nodes that no longer announce it, forever.
pub(crate) async fn watch_forwarders(gateway: Rc<Gateway>) {
    let mut rounds = interval(ROUND_INTERVAL);
    rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        rounds.tick().await;
        let peers: Vec<SocketAddr> = gateway.forward_peers.borrow().awaited().collect();
        for peer in peers {
            gateway.announce_waiting(peer);
        }
        gateway.end_abandoned_calls();
    }
}

impl Gateway {
    /// Announces to a peer that this node waits for what it has forwarded to it.
    pub(super) fn announce_waiting(&self, peer: SocketAddr) {
        let waiting = ForwardMessage::Waiting(self.node.clone());
        self.peer_socket
            .send(TrafficMessage::Forward(waiting), peer);
    }

    fn end_abandoned_calls(&self) {
        let silent = self.shared.forwarders().end_round();
        for node in silent {
            let ended = self.forwarded_calls.end_repeatable(&node);
            if ended > 0 {
                log_event!(
                    self.log, Event::ForwarderSilent,
                    "node" => node.to_string(), "ended" => ended
                );
            }
        }
    }
}
