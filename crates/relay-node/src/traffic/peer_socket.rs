//! The datagrams that the traffic thread exchanges with other nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use nutmegsail_base::UpstreamId;
use nutmegsail_quota::QuotaMessage;
use nutmegsail_relay::PromptAnswer;
use tokio::net::UdpSocket;

use super::gateway::Gateway;
use super::prompt_client::PacedAnswer;
use crate::control::{parse_traffic_message, traffic_datagram};
use crate::peer_traffic::PeerTraffic;
use crate::traffic_message::{
    ForwardMessage, PromptMessage, SlotMessage, StreamMessage, TrafficMessage,
};

/// The largest datagram that is received, in bytes.
const DATAGRAM_BYTES: usize = 2_048;

/// The traffic thread's UDP socket.
pub(crate) struct PeerSocket {
    socket: UdpSocket,
    traffic: PeerTraffic,
}

impl PeerSocket {
    pub(crate) fn new(socket: UdpSocket, traffic: PeerTraffic) -> Self {
        Self { socket, traffic }
    }

    /// Sends a message. One that cannot be sent at once is dropped, as a datagram may be lost
    /// anyway.
    pub(super) fn send(&self, message: TrafficMessage, to: SocketAddr) {
        let kind = message.kind();
        if let Some(datagram) = traffic_datagram(message) {
            self.traffic.record_sent(kind, datagram.len());
            let _ = self.socket.try_send_to(&datagram, to);
        }
    }
}

/// Processes a message of the node that paces an engine's prompts.
fn receive_prompt_message(gateway: &Gateway, message: PromptMessage, sender: SocketAddr) {
    match message {
        PromptMessage::Answer {
            id,
            upstream,
            answer,
            pace,
            pace_age_ms,
        } => {
            if answer != PromptAnswer::Granted {
                record_active_gate(gateway, &upstream);
            }
            let answer = PacedAnswer {
                answer,
                tokens_per_s: pace,
                pace_age_ms,
            };
            gateway.prompts.receive_answer(id, upstream, answer, sender);
        }
        PromptMessage::Paced { upstream } => record_active_gate(gateway, &upstream),
        // The other messages are for granting nodes.
        _ => {}
    }
}

fn record_active_gate(gateway: &Gateway, engine: &UpstreamId) {
    let now = Instant::now();
    let mut dispatcher = gateway.dispatcher.borrow_mut();
    dispatcher.record_long_pause(engine, now);
    if let Some(tracked) = dispatcher.tracked(engine) {
        let service = &tracked.upstream.service;
        gateway.shared.paced.record_active(service, now);
    }
}

/// Receives the answers of other nodes, forever.
pub(crate) async fn receive_answers(gateway: Rc<Gateway>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = gateway.peer_socket.socket.recv_from(&mut buffer).await else {
            // An earlier datagram was refused at its destination; receiving continues as usual.
            continue;
        };
        match parse_traffic_message(&buffer[..length]) {
            Some(TrafficMessage::Quota(QuotaMessage::LoanReply(lent))) => {
                gateway.quotas.receive_lent(lent);
            }
            Some(TrafficMessage::Slots(SlotMessage::Answer {
                id,
                upstream,
                answer,
            })) => gateway.slots.receive_answer(id, &upstream, answer, sender),
            Some(TrafficMessage::Prompts(message)) => {
                receive_prompt_message(&gateway, message, sender);
            }
            Some(TrafficMessage::Forward(ForwardMessage::Answer(answer))) => {
                let mut peers = gateway.forward_peers.borrow_mut();
                peers.record_answer(sender, answer, Instant::now());
            }
            Some(TrafficMessage::Streams(StreamMessage::Answer { key, record })) => {
                let sought = gateway.streams_sought.borrow();
                sought.receive(&key, sender, &record);
            }
            _ => {}
        }
    }
}
