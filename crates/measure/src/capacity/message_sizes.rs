//! Sizes of single messages.

use nutmegsail_base::{
    AdapterRef, AdapterState, Class, EngineReport, HeldAdapter, Incarnation, NodeId, UpstreamId,
};
use nutmegsail_placement::{DemandCount, PlacementMessage};
use nutmegsail_wire::{NodeMessage, Payload, PinAnswer, PinAsk, PinOutcome, PinReturn};

use super::heartbeat_fleet::message_bytes;

const ASK_ID: u64 = 1_000_000;

fn adapter(number: usize) -> AdapterRef {
    AdapterRef::new(format!("treatment-summary-{number:05}"), 1)
}

/// The bytes of an engine's report as JSON with `slots` adapters, without HTTP's headers.
pub(crate) fn report_bytes(slots: u32) -> usize {
    let held = |number: u32| HeldAdapter {
        adapter: adapter(number as usize),
        state: AdapterState::Ready,
        running: 4,
    };
    let report = EngineReport {
        incarnation: Incarnation(1_700_000_000_000),
        order_seq: 10_000,
        fence: 100_000,
        adapters: (0..slots).map(held).collect(),
        adapter_slots: slots,
        in_flight: 37,
        queued: 10,
        batch_slots: 64,
        is_leaving: false,
    };
    serde_json::to_vec(&report).map_or(0, |json| json.len())
}

/// The bytes of an ask for a pin, its answer and its return.
pub(crate) fn pin_bytes() -> usize {
    let node = NodeId::from("domain-0-node-00");
    let engine = UpstreamId::from("10.2.10.10:8000");
    let ask = NodeMessage::PinAsk(PinAsk {
        ask_id: ASK_ID,
        asker: node.clone(),
        reply_to: "10.1.10.10:7400".into(),
        is_passed_on: false,
        engine: engine.clone(),
        adapter: adapter(1),
        class: Class::Urgent,
    });
    let answer = NodeMessage::PinAnswer(PinAnswer {
        ask_id: ASK_ID,
        engine: engine.clone(),
        adapter: adapter(1),
        outcome: PinOutcome::Granted { ttl_ms: 10_000 },
    });
    let give_back = NodeMessage::PinReturn(PinReturn {
        ask_id: ASK_ID,
        asker: node.clone(),
        is_passed_on: false,
        engine,
        adapter: adapter(1),
    });
    let messages = [ask, answer, give_back];
    messages
        .into_iter()
        .map(|message| message_bytes(&node, message))
        .sum()
}

/// The bytes of a node's account of `adapters` different adapters to the load scheduler.
pub(crate) fn demand_bytes(adapters: usize) -> usize {
    let count = |number| DemandCount {
        adapter: adapter(number),
        class: Class::Routine,
        requests: 1,
    };
    let message = PlacementMessage::Demand {
        counts: (0..adapters).map(count).collect(),
    };
    let payload = Payload::from(postcard::to_stdvec(&message).unwrap_or_default());
    message_bytes(
        &NodeId::from("domain-0-node-00"),
        NodeMessage::Placement(payload),
    )
}
