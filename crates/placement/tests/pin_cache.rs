//! Tests of the pin cache: when requests may be sent, and when pins are requested, renewed and
//! returned.

use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, UpstreamId};
use nutmegsail_placement::{PinCache, PinCacheAction, PinUse};
use rstest::rstest;

const LEASE: Duration = Duration::from_secs(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

struct Holder {
    pins: PinCache,
    engine: UpstreamId,
    adapter: AdapterRef,
    now: Instant,
}

impl Holder {
    fn new() -> Self {
        Self {
            pins: PinCache::default(),
            engine: "engine:8000".into(),
            adapter: AdapterRef::new("house-style", 1),
            now: Instant::now(),
        }
    }

    fn ask(&mut self) -> u64 {
        self.pins.ask(&self.engine, &self.adapter, self.now)
    }

    fn granted(&mut self, ask_id: u64) {
        self.pins
            .granted(&self.engine, &self.adapter, ask_id, LEASE);
    }

    fn may_send(&self) -> PinUse {
        self.pins.may_send(&self.engine, &self.adapter, self.now)
    }

    fn begin(&mut self) -> bool {
        self.pins.begin(&self.engine, &self.adapter, self.now)
    }

    fn end(&mut self) {
        self.pins.returned(&self.engine, &self.adapter, self.now);
    }

    fn tick(&mut self) -> Vec<PinCacheAction> {
        let mut actions = Vec::new();
        self.pins.tick(self.now, &mut actions);
        actions
    }
}

/// The owner counts the lease from its grant. If the holder counted from the arrival of a slow
/// grant, it would go on sending after the owner had evicted the adapter.
#[rstest]
fn a_pin_expires_for_the_holder_before_it_expires_for_the_owner(
    #[values(0, 200, 499, 5_000)] answer_ms: u64,
) {
    let mut holder = Holder::new();
    let granted_at = holder.now;
    let ask_id = holder.ask();
    holder.now += ms(answer_ms);
    holder.granted(ask_id);
    if let PinUse::Held { until } = holder.may_send() {
        assert!(until <= granted_at + LEASE - ms(1_000), "held too long");
        holder.now = until;
    }
    assert!(!holder.begin());
}

/// If the node pauses between checking its pin and sending the request, the pin may have expired
/// and the adapter may be evicted.
#[test]
fn no_request_is_sent_when_the_pin_expires_after_the_check() {
    let mut holder = Holder::new();
    let ask_id = holder.ask();
    holder.granted(ask_id);
    assert!(matches!(holder.may_send(), PinUse::Held { .. }));
    holder.now += LEASE;
    assert!(!holder.begin());
    assert_eq!(holder.pins.in_use(&holder.engine, &holder.adapter), 0);
}

/// An adapter with a thousand requests a second for half a minute. A pin request for each would add
/// a network hop to each, and the owner would receive a thousand messages a second.
#[test]
fn a_pin_in_constant_use_is_requested_only_to_renew_it() {
    let mut holder = Holder::new();
    let ask_id = holder.ask();
    holder.granted(ask_id);
    let mut asks = 1;
    for _ in 0..30_000 {
        holder.now += ms(1);
        assert!(holder.begin());
        for action in holder.tick() {
            let PinCacheAction::Ask { ask_id, .. } = action else {
                panic!("given back while in use: {action:?}");
            };
            holder.granted(ask_id);
            asks += 1;
        }
        holder.end();
    }
    let renewals = 30 / 5;
    assert_eq!(asks, 1 + renewals);
}

/// A request runs for minutes. Its pin must be renewed all the time, even if the owner could not be
/// reached for longer than a lease.
#[test]
fn the_pin_of_a_request_in_flight_is_renewed() {
    let mut holder = Holder::new();
    let ask_id = holder.ask();
    holder.granted(ask_id);
    assert!(holder.begin());
    holder.now += LEASE * 2;
    assert!(matches!(holder.tick()[..], [PinCacheAction::Ask { .. }]));
    assert!(!holder.begin(), "no new request under an expired pin");
    holder.now += ms(600);
    let renewal = holder.tick();
    let [PinCacheAction::Ask { ask_id, .. }] = renewal[..] else {
        panic!("an unanswered renewal is repeated, not {renewal:?}");
    };
    holder.granted(ask_id);
    assert!(holder.begin());
}

/// The owner evicts an adapter only when all of its pins have ended, so an unused pin that is kept
/// delays a load elsewhere.
#[test]
fn an_idle_pin_is_returned_with_the_number_of_its_granted_request() {
    let mut holder = Holder::new();
    let ask_id = holder.ask();
    holder.granted(ask_id);
    assert!(holder.begin());
    holder.end();
    holder.now += ms(999);
    assert_eq!(holder.tick(), []);
    holder.now += ms(1);
    let (engine, adapter) = (holder.engine.clone(), holder.adapter.clone());
    let returned = PinCacheAction::Return {
        ask_id,
        engine,
        adapter,
    };
    assert_eq!(holder.tick(), [returned]);
    assert!(holder.pins.is_empty());
}

/// A pin request times out and is repeated; then the grant for the first one arrives. If the holder
/// accepted it, it would count the second lease from the first request, or return the wrong pin.
#[test]
fn a_grant_for_a_repeated_pin_request_is_ignored() {
    let mut holder = Holder::new();
    let first = holder.ask();
    holder.now += ms(500);
    assert_eq!(holder.may_send(), PinUse::Ask);
    let second = holder.ask();
    holder.granted(first);
    assert_eq!(holder.may_send(), PinUse::Wait);
    holder.granted(second);
    assert!(matches!(holder.may_send(), PinUse::Held { .. }));
}

/// The owner needs the slot of an adapter that is in constant use. The pin must be returned when
/// the running requests have ended, and a new pin request must not overtake the return.
#[test]
fn a_recalled_pin_takes_no_new_request_and_is_returned_when_the_last_one_ends() {
    let mut holder = Holder::new();
    let ask_id = holder.ask();
    holder.granted(ask_id);
    assert!(holder.begin());
    let (engine, adapter) = (holder.engine.clone(), holder.adapter.clone());
    holder.pins.recalled(&engine, &adapter, holder.now);
    assert!(!holder.begin());
    assert_eq!(holder.tick(), [], "a request still runs");
    holder.end();
    assert!(matches!(holder.tick()[..], [PinCacheAction::Return { .. }]));
    assert_eq!(holder.may_send(), PinUse::Wait);
    holder.now += ms(1_000);
    assert_eq!(holder.may_send(), PinUse::Ask);
}
