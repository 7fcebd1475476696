//! Stories of this node's pins.

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

/// The owner's grant is slow on its way. The owner counts its lease from the grant; counted from
/// its arrival, this node would go on sending after the owner had evicted the adapter.
#[rstest]
fn a_pin_lapses_here_before_it_lapses_at_the_owner(#[values(0, 200, 499, 5_000)] answer_ms: u64) {
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

/// The node pauses between the check of its pin and the sending of the request. When it wakes, the
/// pin has lapsed and the adapter may be gone.
#[test]
fn a_pin_that_lapses_between_check_and_send_is_noticed() {
    let mut holder = Holder::new();
    let ask_id = holder.ask();
    holder.granted(ask_id);
    assert!(matches!(holder.may_send(), PinUse::Held { .. }));
    holder.now += LEASE;
    assert!(!holder.begin());
    assert_eq!(holder.pins.in_use(&holder.engine, &holder.adapter), 0);
}

/// A hot adapter: a thousand requests a second for half a minute. An ask for each would cost each
/// a hop, and the owner a thousand messages a second.
#[test]
fn a_hot_adapter_is_asked_for_only_to_renew() {
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

/// A manuscript pass runs for minutes. Its pin must stay known to the owner all the time, also
/// when the owner could not be reached for longer than a lease.
#[test]
fn a_request_in_flight_keeps_its_pin_alive() {
    let mut holder = Holder::new();
    let ask_id = holder.ask();
    holder.granted(ask_id);
    assert!(holder.begin());
    holder.now += LEASE * 2;
    assert!(matches!(holder.tick()[..], [PinCacheAction::Ask { .. }]));
    assert!(!holder.begin(), "no new request under a lapsed pin");
    holder.now += ms(600);
    let renewal = holder.tick();
    let [PinCacheAction::Ask { ask_id, .. }] = renewal[..] else {
        panic!("an unanswered renewal is repeated, not {renewal:?}");
    };
    holder.granted(ask_id);
    assert!(holder.begin());
}

/// An adapter is no longer used here. The owner waits for every pin before it evicts, so a pin
/// that is kept for nothing stalls a load elsewhere.
#[test]
fn an_idle_pin_is_given_back_with_the_ask_that_it_rests_on() {
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

/// An ask is given up and repeated, then the first grant arrives. The holder would count the
/// second lease from the first ask, or give back the wrong one.
#[test]
fn a_grant_of_an_ask_given_up_since_is_dropped() {
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

/// The owner needs the slot of an adapter that is asked for without a pause. The pin must come
/// back after the requests that run, and a new ask must not overtake its return.
#[test]
fn a_recalled_pin_takes_no_new_request_and_comes_back_when_the_last_one_ends() {
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
