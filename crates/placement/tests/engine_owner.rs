//! Stories of one engine and its owner.

mod single_owner;

use std::time::Duration;

use nutmegsail_base::{Class, Incarnation};
use nutmegsail_placement::PlacementEvent;
use nutmegsail_upstream::{OrderAnswer, OrderError, OrderOp};
use rstest::rstest;
use single_owner::{SingleOwner, adapter, engine, held, orders, secs};

/// Lets the quiet time after the takeover pass, with the given adapters on the engine.
fn settled(checks_fencing: bool, slots: u32, adapters: &[u32]) -> SingleOwner {
    let mut owner = SingleOwner::new(checks_fencing, slots);
    owner.report.adapters = adapters.iter().map(|n| held(*n, 0)).collect();
    owner.tell_report(Duration::ZERO);
    owner.now += secs(15);
    owner.tell_report(Duration::ZERO);
    owner
}

/// An owner fails. Its pins are still held by nodes that the new owner has never heard of, and
/// one of their requests is on its way to the engine. If the new owner evicted at once, the caller
/// would wait for a second load, or lose the answer.
#[rstest]
#[case::checks_fencing(true, 14)]
#[case::ignores_fencing(false, 11)]
fn a_new_owner_evicts_nothing_for_a_pin_lease(#[case] checks: bool, #[case] quiet_s: u64) {
    let mut owner = SingleOwner::new(checks, 1);
    owner.report.adapters = vec![held(0, 0)];
    let (after, order) = owner.first_order_within(secs(30), 1).expect("an eviction");
    assert_eq!((order.op, order.adapter), (OrderOp::Unload, adapter(0)));
    assert!(after >= secs(quiet_s), "evicted after {after:?}");
}

/// A node gives its pin back when its last request has ended. The report that is at hand was taken
/// while that node may still have been sending, and shows nothing running yet.
#[test]
fn a_report_from_before_the_pin_came_back_proves_nothing() {
    let mut owner = settled(false, 1, &[0]);
    assert!(owner.ask_pin(1, 0));
    owner.now += secs(1);
    owner.tell_report(Duration::ZERO);
    owner.return_pin(1, 0);
    assert_eq!(orders(&owner.want(1, Class::Urgent)), []);
    owner.now += Duration::from_millis(600);
    assert_eq!(orders(&owner.tell_report(Duration::from_millis(200))), []);
    let evicted = orders(&owner.tell_report(Duration::ZERO));
    assert_eq!(evicted[0].op, OrderOp::Unload);
}

/// A node stops answering while its long request runs or waits inside the engine, so its pin
/// lapses. The caller's answer would be cut if the owner took the lapse for the request's end.
#[rstest]
#[case::running(1, 0)]
#[case::queued(0, 1)]
fn a_lapsed_pin_frees_nothing_while_its_request_may_be_there(
    #[case] running: u32,
    #[case] queued: u32,
) {
    let mut owner = settled(true, 1, &[0]);
    assert!(owner.ask_pin(1, 0));
    owner.report.adapters = vec![held(0, running)];
    owner.report.queued = queued;
    assert_eq!(owner.first_order_within(secs(60), 1), None);
    owner.report.adapters = vec![held(0, 0)];
    owner.report.queued = 0;
    assert!(owner.first_order_within(secs(60), 1).is_some());
}

/// A holder gives its pin back and asks again at once. The return is overtaken by the ask and
/// arrives after the new grant; the holder's next request runs under the new pin.
#[test]
fn a_late_return_does_not_end_a_newer_pin() {
    let mut owner = settled(false, 1, &[0]);
    assert!(owner.ask_pin(1, 0));
    assert!(owner.ask_pin(2, 0));
    owner.return_pin(1, 0);
    assert_eq!(owner.first_order_within(secs(5), 1), None);
}

/// The key-value service is out, the owner's lease lapses, and another node takes over later. Pins
/// that the former owner went on granting would be unknown to the new one.
#[test]
fn an_owner_whose_lease_lapsed_grants_no_pins_and_orders_nothing() {
    let mut owner = SingleOwner::new(false, 1);
    owner.report.adapters = vec![held(0, 0)];
    owner.tell_report(Duration::ZERO);
    assert!(owner.ask_pin(1, 0));
    owner.now += secs(1_000);
    owner.tell_report(Duration::ZERO);
    assert!(!owner.ask_pin(2, 0));
    assert_eq!(owner.first_order_within(secs(5), 1), None);
}

/// The same for engines that check fencing numbers: the key-value service is not asked. An owner
/// that can't read the engine's reports can't know whether it has been replaced.
#[test]
fn an_owner_without_recent_reports_grants_no_pins() {
    let mut owner = settled(true, 1, &[0]);
    assert!(owner.ask_pin(1, 0));
    owner.now += secs(4);
    assert!(!owner.ask_pin(2, 0));
    owner.tell_report(Duration::ZERO);
    assert!(owner.ask_pin(3, 0));
}

/// An engine restarts and forgets the fencing number. A former owner that wakes sees a report
/// without a higher number, as the present owner does: neither may act on it before its own
/// number has reached the engine.
#[test]
fn after_a_cold_restart_the_fence_is_raised_before_pins_are_granted() {
    let mut owner = settled(true, 2, &[0]);
    owner.report.incarnation = Incarnation(2);
    owner.report.fence = 0;
    let actions = owner.tell_report(Duration::ZERO);
    assert!(!owner.ask_pin(1, 0), "the engine has not seen the fence");
    let raiser = orders(&actions)
        .pop()
        .expect("an order that raises the fence");
    assert_eq!((raiser.op, &raiser.adapter), (OrderOp::Load, &adapter(0)));
    owner.answer(raiser.id, Ok(OrderAnswer::AlreadyDone));
    assert!(owner.ask_pin(2, 0));
}

/// The answer to a load is lost, and the load is carried out late. If the owner took the slot for
/// free, it would order a load that doesn't fit, or evict for it without need.
#[test]
fn an_order_without_an_answer_blocks_others_until_a_report_settles_it() {
    let mut owner = settled(false, 1, &[]);
    let load = orders(&owner.want(0, Class::Urgent)).pop().expect("a load");
    owner.answer(load.id, Err(OrderError::Ambiguous));
    assert_eq!(owner.first_order_within(secs(3), 1), None);
    owner.report.order_seq = 1;
    owner.report.adapters = vec![held(0, 0)];
    let (_, order) = owner.first_order_within(secs(5), 1).expect("an eviction");
    assert_eq!(order.op, OrderOp::Unload);
}

/// The same, but the order never arrived: after its time the slot is free again.
#[test]
fn an_order_that_never_arrived_frees_its_slot_after_its_time() {
    let mut owner = settled(false, 1, &[]);
    let load = orders(&owner.want(0, Class::Urgent)).pop().expect("a load");
    owner.answer(load.id, Err(OrderError::Ambiguous));
    let (after, again) = owner.first_order_within(secs(20), 1).expect("another load");
    assert_eq!(again.op, OrderOp::Load);
    assert!(
        after >= secs(3),
        "the order could still have arrived after {after:?}"
    );
}

/// Reports overtake each other on the way. Acting on the older one, the owner would hand out pins
/// for adapters that are gone: evicted since, or lost by a restart.
#[rstest]
fn an_older_report_is_ignored(#[values(false, true)] is_restarted: bool) {
    let mut owner = settled(false, 1, &[0]);
    let before = owner.report.clone();
    owner.now += secs(1);
    if is_restarted {
        owner.report.incarnation = Incarnation(2);
    } else {
        owner.report.order_seq = 1;
    }
    owner.report.adapters = Vec::new();
    owner.tell_report(Duration::ZERO);
    owner.report = before;
    owner.tell_report(Duration::from_millis(100));
    assert!(!owner.ask_pin(1, 0));
}

/// The engine says that the adapter is in use after all, as when a request came in between.
#[test]
fn a_refused_unload_leaves_the_adapter_in_service() {
    let mut owner = settled(false, 1, &[0]);
    let unload = orders(&owner.want(1, Class::Urgent))
        .pop()
        .expect("an unload");
    assert!(!owner.ask_pin(1, 0), "an unload is on its way");
    owner.answer(unload.id, Err(OrderError::InUse));
    assert!(owner.ask_pin(2, 0));
}

/// A node is replaced while the key-value service is out. The engine checks fencing numbers, so
/// the new owner need not wait for the service: its first order raises the number.
#[test]
fn a_takeover_without_the_key_value_service_raises_the_fence_at_the_engine() {
    let mut owner = SingleOwner::new(true, 1);
    owner.tell(PlacementEvent::OwnershipLost { engine: engine() });
    owner.report.adapters = vec![held(0, 0)];
    owner.tell_report(Duration::ZERO);
    let actions = owner.tell(PlacementEvent::ClaimUnanswered { engine: engine() });
    let actions = [actions, owner.tell(PlacementEvent::Tick)].concat();
    let raiser = orders(&actions)
        .pop()
        .expect("an order that raises the fence");
    owner.answer(raiser.id, Ok(OrderAnswer::AlreadyDone));
    owner.tell_report(Duration::ZERO);
    assert!(owner.ask_pin(1, 0));
}

/// The same for an engine that ignores fencing numbers: nobody could refuse the former owner.
#[test]
fn without_fencing_checks_there_is_no_takeover_without_the_key_value_service() {
    let mut owner = SingleOwner::new(false, 1);
    owner.tell(PlacementEvent::OwnershipLost { engine: engine() });
    owner.report.adapters = vec![held(0, 0)];
    owner.tell_report(Duration::ZERO);
    owner.tell(PlacementEvent::ClaimUnanswered { engine: engine() });
    assert_eq!(owner.placement.owned_engines().count(), 0);
    assert!(!owner.ask_pin(1, 0));
}
