//! Requests that leave while they wait for a pin.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class, UpstreamId};
use nutmegsail_wire::{PinAnswer, PinOutcome};
use tokio::sync::oneshot;
use xtra::Mailbox;

use crate::loader::Loader;
use crate::loader_message::TakePin;
use crate::pin_desk::PinDesk;

/// How often the test looks again for a message that a task sends.
const LOOKS: usize = 1_000;

/// Story: a caller hangs up at the moment at which its pin is granted. The grant lies in the
/// request's channel and nobody reads it. If it is lost there, the pin counts as in use for ever:
/// its adapter is never evicted, and callers of other adapters wait for its slot.
#[tokio::test]
async fn a_pin_granted_to_a_request_that_has_gone_is_given_back() {
    let (loader, _mailbox) = Mailbox::<Loader>::bounded(8);
    let (engine, adapter) = (UpstreamId::from("10.0.0.1:80"), AdapterRef::new("note", 1));
    let (held, granted) = oneshot::channel();
    let take = TakePin {
        engine: engine.clone(),
        adapter: adapter.clone(),
        class: Class::Urgent,
        loader: loader.clone(),
        held,
    };
    let now = Instant::now();
    let mut desk = PinDesk::default();
    let ask_id = desk.take(take, now).expect("the owner is asked");
    let answer = PinAnswer {
        ask_id,
        engine,
        adapter,
        outcome: PinOutcome::Granted { ttl_ms: 10_000 },
    };
    desk.answered(answer, now);
    assert!(
        loader.is_empty(),
        "the pin is in use until the request goes"
    );
    drop(granted);
    for _ in 0..LOOKS {
        tokio::task::yield_now().await;
    }
    assert_eq!(loader.len(), 1, "the pin is given back");
}
