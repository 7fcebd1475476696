//! Tests of one engine and its owner.

mod single_owner;

use std::time::Duration;

use nutmegsail_base::{Class, Incarnation};
use nutmegsail_placement::PlacementEvent;
use nutmegsail_upstream::{OrderAnswer, OrderError, OrderOp};
use rstest::rstest;
use single_owner::{SingleOwner, adapter, engine, held, orders, secs};

/// An owner of an engine that holds `adapters`, after the time in which a new owner evicts nothing.
fn owner_after_takeover(checks_fencing: bool, slots: u32, adapters: &[u32]) -> SingleOwner {
    let mut owner = SingleOwner::new(checks_fencing, slots);
    owner.report.adapters = adapters.iter().map(|n| held(*n, 0)).collect();
    owner.handle_report(Duration::ZERO);
    owner.now += secs(15);
    owner.handle_report(Duration::ZERO);
    owner
}

/// An owner fails. Nodes unknown to the new owner still hold its pins, and one of their requests is
/// on its way to the engine. If the new owner evicted at once, the caller would wait for a second
/// load or lose the answer.
#[rstest]
#[case::checks_fencing(true, 14)]
#[case::ignores_fencing(false, 11)]
fn a_new_owner_evicts_nothing_until_previous_pins_have_expired(
    #[case] checks: bool,
    #[case] quiet_s: u64,
) {
    let mut owner = SingleOwner::new(checks, 1);
    owner.report.adapters = vec![held(0, 0)];
    let (after, order) = owner.first_order_within(secs(30), 1).expect("an eviction");
    assert_eq!((order.op, order.adapter), (OrderOp::Unload, adapter(0)));
    assert!(after >= secs(quiet_s), "evicted after {after:?}");
}

/// A node returns its pin after its last request. The latest report was requested while the node
/// may still have been sending, so it may not show a request that had not reached the engine yet.
#[test]
fn a_report_requested_before_the_pin_was_returned_allows_no_eviction() {
    let mut owner = owner_after_takeover(false, 1, &[0]);
    assert!(owner.ask_pin(1, 0));
    owner.now += secs(1);
    owner.handle_report(Duration::ZERO);
    owner.return_pin(1, 0);
    assert_eq!(orders(&owner.want(1, Class::Urgent)), []);
    owner.now += Duration::from_millis(600);
    assert_eq!(orders(&owner.handle_report(Duration::from_millis(200))), []);
    let evicted = orders(&owner.handle_report(Duration::ZERO));
    assert_eq!(evicted[0].op, OrderOp::Unload);
}

/// A node stops answering while its long request runs or is queued in the engine, so its pin
/// expires. If the owner took that for the end of the request, the caller's answer would be cut
/// off.
#[rstest]
#[case::running(1, 0)]
#[case::queued(0, 1)]
fn an_adapter_with_an_expired_pin_is_not_evicted_while_a_request_may_run(
    #[case] running: u32,
    #[case] queued: u32,
) {
    let mut owner = owner_after_takeover(true, 1, &[0]);
    assert!(owner.ask_pin(1, 0));
    owner.report.adapters = vec![held(0, running)];
    owner.report.queued = queued;
    assert_eq!(owner.first_order_within(secs(60), 1), None);
    owner.report.adapters = vec![held(0, 0)];
    owner.report.queued = 0;
    assert!(owner.first_order_within(secs(60), 1).is_some());
}

/// A holder returns its pin and requests it again at once. The new pin request overtakes the
/// return, which arrives after the new grant; the holder's next request runs under the new pin.
#[test]
fn a_late_return_does_not_end_a_newer_pin() {
    let mut owner = owner_after_takeover(false, 1, &[0]);
    assert!(owner.ask_pin(1, 0));
    assert!(owner.ask_pin(2, 0));
    owner.return_pin(1, 0);
    assert_eq!(owner.first_order_within(secs(5), 1), None);
}

/// The key-value service is unavailable, the owner's lease expires, and another node takes over
/// later. The new owner would not know of pins that the previous one went on granting.
#[test]
fn an_owner_whose_lease_expired_grants_no_pins_and_sends_no_orders() {
    let mut owner = SingleOwner::new(false, 1);
    owner.report.adapters = vec![held(0, 0)];
    owner.handle_report(Duration::ZERO);
    assert!(owner.ask_pin(1, 0));
    owner.now += secs(1_000);
    owner.handle_report(Duration::ZERO);
    assert!(!owner.ask_pin(2, 0));
    assert_eq!(owner.first_order_within(secs(5), 1), None);
}

/// For engines that check fencing tokens the lease at the key-value service is not consulted. An
/// owner that can't read the engine's reports can't know whether it has been replaced.
#[test]
fn an_owner_without_recent_reports_grants_no_pins() {
    let mut owner = owner_after_takeover(true, 1, &[0]);
    assert!(owner.ask_pin(1, 0));
    owner.now += secs(4);
    assert!(!owner.ask_pin(2, 0));
    owner.handle_report(Duration::ZERO);
    assert!(owner.ask_pin(3, 0));
}

/// An engine restarts and forgets the fencing token. A previous owner that resumes sees a report
/// without a higher token, as the present owner does. Neither may act on it before its own token
/// has reached the engine.
#[test]
fn after_a_cold_restart_the_fencing_token_is_raised_before_pins_are_granted() {
    let mut owner = owner_after_takeover(true, 2, &[0]);
    owner.report.incarnation = Incarnation(2);
    owner.report.fence = 0;
    let actions = owner.handle_report(Duration::ZERO);
    assert!(!owner.ask_pin(1, 0), "the engine has not seen the fence");
    let fence_order = orders(&actions)
        .pop()
        .expect("an order that raises the fence");
    assert_eq!(
        (fence_order.op, &fence_order.adapter),
        (OrderOp::Load, &adapter(0))
    );
    owner.answer(fence_order.id, Ok(OrderAnswer::AlreadyDone));
    assert!(owner.ask_pin(2, 0));
}

/// The answer to a load is lost, and the load is carried out late. If the owner counted the slot as
/// free, it would order a load that does not fit, or evict an adapter without need.
#[test]
fn an_order_without_an_answer_blocks_others_until_a_report_settles_it() {
    let mut owner = owner_after_takeover(false, 1, &[]);
    let load = orders(&owner.want(0, Class::Urgent)).pop().expect("a load");
    owner.answer(load.id, Err(OrderError::Ambiguous));
    assert_eq!(owner.first_order_within(secs(3), 1), None);
    owner.report.order_seq = 1;
    owner.report.adapters = vec![held(0, 0)];
    let (_, order) = owner.first_order_within(secs(5), 1).expect("an eviction");
    assert_eq!(order.op, OrderOp::Unload);
}

/// The answer to a load is lost and the order never arrived: after its expiry the slot is free
/// again.
#[test]
fn an_order_that_never_arrived_frees_its_slot_after_its_expiry() {
    let mut owner = owner_after_takeover(false, 1, &[]);
    let load = orders(&owner.want(0, Class::Urgent)).pop().expect("a load");
    owner.answer(load.id, Err(OrderError::Ambiguous));
    let (after, again) = owner.first_order_within(secs(20), 1).expect("another load");
    assert_eq!(again.op, OrderOp::Load);
    assert!(
        after >= secs(3),
        "the order could still have arrived after {after:?}"
    );
}

/// Reports may arrive out of order. An owner that acted on the older one would grant pins for
/// adapters that have been evicted or lost by a restart since.
#[rstest]
fn an_older_report_is_ignored(#[values(false, true)] is_restarted: bool) {
    let mut owner = owner_after_takeover(false, 1, &[0]);
    let before = owner.report.clone();
    owner.now += secs(1);
    if is_restarted {
        owner.report.incarnation = Incarnation(2);
    } else {
        owner.report.order_seq = 1;
    }
    owner.report.adapters = Vec::new();
    owner.handle_report(Duration::ZERO);
    owner.report = before;
    owner.handle_report(Duration::from_millis(100));
    assert!(!owner.ask_pin(1, 0));
}

/// The engine refuses an unload because the adapter is in use, as when a request arrived in
/// between.
#[test]
fn a_refused_unload_leaves_the_adapter_in_service() {
    let mut owner = owner_after_takeover(false, 1, &[0]);
    let unload = orders(&owner.want(1, Class::Urgent))
        .pop()
        .expect("an unload");
    assert!(!owner.ask_pin(1, 0), "an unload is on its way");
    owner.answer(unload.id, Err(OrderError::InUse));
    assert!(owner.ask_pin(2, 0));
}

/// An owner is replaced while the key-value service is unavailable. The engine checks fencing
/// tokens, so the new owner need not wait for the service: its first order raises the token.
#[test]
fn a_takeover_without_the_key_value_service_raises_the_fencing_token_at_the_engine() {
    let mut owner = SingleOwner::new(true, 1);
    owner.handle(PlacementEvent::OwnershipLost { engine: engine() });
    owner.report.adapters = vec![held(0, 0)];
    owner.handle_report(Duration::ZERO);
    let actions = owner.handle(PlacementEvent::ClaimUnanswered { engine: engine() });
    let actions = [actions, owner.handle(PlacementEvent::Tick)].concat();
    let fence_order = orders(&actions)
        .pop()
        .expect("an order that raises the fence");
    owner.answer(fence_order.id, Ok(OrderAnswer::AlreadyDone));
    owner.handle_report(Duration::ZERO);
    assert!(owner.ask_pin(1, 0));
}

/// An engine that ignores fencing tokens could not refuse the orders of the previous owner, so
/// there must be no takeover while the key-value service is unavailable.
#[test]
fn without_fencing_checks_there_is_no_takeover_without_the_key_value_service() {
    let mut owner = SingleOwner::new(false, 1);
    owner.handle(PlacementEvent::OwnershipLost { engine: engine() });
    owner.report.adapters = vec![held(0, 0)];
    owner.handle_report(Duration::ZERO);
    owner.handle(PlacementEvent::ClaimUnanswered { engine: engine() });
    assert_eq!(owner.placement.owned_engines().count(), 0);
    assert!(!owner.ask_pin(1, 0));
}
