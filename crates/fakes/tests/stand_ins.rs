//! A whole set of stand-ins, turned by its control address.

#![allow(clippy::unwrap_used, reason = "in a test file a panic is the verdict")]

mod http_client;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_client::call;
use nutmegsail_base::{FailureDomain, ManualClock};
use nutmegsail_fakes::{EngineEntry, FakeVmList, PlainEntry, StandIns, StandInsSettings};
use nutmegsail_store::{Vm, VmList, VmRole, VmState};

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn stand_ins() -> StandIns {
    let failure_domain = FailureDomain::from("negril-hall");
    let engine = EngineEntry {
        address: any_port(),
        failure_domain: failure_domain.clone(),
    };
    let plain = PlainEntry {
        address: any_port(),
        failure_domain,
    };
    let settings = StandInsSettings {
        engines: vec![engine],
        plains: vec![plain],
        ..StandInsSettings::default()
    };
    StandIns::start(settings).await.unwrap()
}

#[tokio::test]
async fn the_control_address_turns_knobs_restarts_and_lists() {
    let stand_ins = stand_ins().await;
    let control = stand_ins.addresses.control;
    let post = async |path: &str, body: String| call(control, "POST", path, &[], &body).await;
    let engine = stand_ins.addresses.engines[0].address.clone();
    let plain = stand_ins.addresses.plains[0].address.clone();
    let fake = &stand_ins.state.fleet.engines[&engine];
    let before = fake.incarnation();

    let knobs = post("/v1/knobs", r#"{"target":"kv","outage":true}"#.into()).await;
    assert_eq!(knobs.status, Some(200));
    assert!(stand_ins.state.key_value.knobs().outage);
    post(
        "/v1/knobs",
        format!(r#"{{"target":"{plain}","leaving":true}}"#),
    )
    .await;
    assert!(stand_ins.state.fleet.plains[&plain].knobs().leaving);
    post("/v1/restart", format!(r#"{{"target":"{engine}"}}"#)).await;
    assert_ne!(fake.incarnation(), before);
    post(
        "/v1/vm",
        format!(r#"{{"id":"{engine}","state":"leaving"}}"#),
    )
    .await;
    let vms = call(stand_ins.addresses.vms, "GET", "/v1/vms", &[], "").await;
    assert!(vms.body.contains(r#""state":"leaving""#), "{}", vms.body);
    let unknown = post("/v1/knobs", r#"{"target":"nobody"}"#.into()).await;
    assert_eq!(unknown.status, Some(404));
    let ledger = call(control, "GET", "/v1/ledger", &[], "").await;
    assert!(ledger.line().contains(engine.as_str()));
}

#[tokio::test]
async fn a_closed_address_refuses_connections_until_it_is_opened() {
    let stand_ins = stand_ins().await;
    let control = stand_ins.addresses.control;
    let kv = stand_ins.addresses.kv;
    let connects = async || tokio::net::TcpStream::connect(kv).await.is_ok();
    let order = r#"{"target":"kv"}"#;
    for (path, is_open) in [("/v1/close", false), ("/v1/open", true)] {
        let done = call(control, "POST", path, &[], order).await;
        assert_eq!(done.status, Some(200));
        // The listener changes in a task of its own; the test ends only once it has.
        while connects().await != is_open {}
    }
    let vms = call(kv, "GET", "/v1/vms", &[], "").await;
    assert_eq!(vms.status, Some(200));
}

#[tokio::test]
async fn changes_of_the_vm_list_appear_after_the_lag() {
    let clock = Arc::new(ManualClock::default());
    let vm = Vm {
        id: "entry-1".into(),
        address: "127.0.0.1:7001".into(),
        failure_domain: "negril-hall".into(),
        duty: VmRole::Entry,
        state: VmState::Live,
    };
    let lag = Duration::from_secs(5);
    let list = FakeVmList::new(Arc::clone(&clock) as _, lag, vec![vm]);
    list.set_state("entry-1", Some(VmState::Leaving));
    clock.advance(Duration::from_secs(2));
    list.set_state("entry-1", None);
    let shown = async || list.list().await.unwrap().first().map(|vm| vm.state);
    assert_eq!(shown().await, Some(VmState::Live));
    clock.advance(Duration::from_secs(3));
    assert_eq!(shown().await, Some(VmState::Leaving));
    clock.advance(Duration::from_secs(2));
    assert_eq!(shown().await, None);
}
