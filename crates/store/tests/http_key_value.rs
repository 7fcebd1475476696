//! Maps every kind of answer of the platform's services, or a missing one, to a result.

#[path = "../../http-pool/tests/scripted_server/mod.rs"]
mod scripted_server;

use std::time::Duration;

use nutmegsail_store::{
    Change, Condition, HttpKeyValue, HttpVmList, KeyValue, KeyValueError, LeaseId,
    PlatformSettings, Put, Revision, Txn, VmList, VmListError, VmRole, VmState,
};
use rstest::rstest;
use scripted_server::{ScriptedServer, Turn, answer};

fn store_at(address: &str) -> HttpKeyValue {
    HttpKeyValue::new(PlatformSettings::at(address))
}

/// A client with a short timeout, for servers that never answer.
fn short_timeout_store_at(address: &str) -> HttpKeyValue {
    HttpKeyValue::new(PlatformSettings {
        call_timeout: Duration::from_millis(100),
        ..PlatformSettings::at(address)
    })
}

fn claim() -> Txn {
    Txn::compare_and_swap("nutmegsail/claim/1", Revision::NONE, r#"{"node":"n1"}"#)
}

async fn commit(turn: Turn) -> Result<Revision, KeyValueError> {
    let server = ScriptedServer::start([turn]).await;
    let result = store_at(&server.address).commit(claim()).await;
    assert_eq!(server.seen().len(), 1, "a write is sent once");
    result
}

async fn get(turn: Turn) -> Result<(), KeyValueError> {
    let server = ScriptedServer::start([turn]).await;
    store_at(&server.address).get("k").await.map(|_| ())
}

#[rstest]
#[case::over_the_rate(429, "", KeyValueError::Refused)]
#[case::outage(503, "", KeyValueError::Unavailable)]
#[case::lease_gone(404, "", KeyValueError::LeaseGone)]
#[case::too_large(413, "", KeyValueError::TooLarge)]
#[case::failed_half_way(500, "", KeyValueError::Ambiguous)]
#[case::gateway_gave_up(504, "", KeyValueError::Ambiguous)]
#[case::unreadable(200, "{", KeyValueError::Ambiguous)]
#[case::unreadable_conflict(412, "{", KeyValueError::Ambiguous)]
#[tokio::test]
async fn a_failed_write_reports_whether_it_may_have_taken_effect(
    #[case] status: u16,
    #[case] body: &str,
    #[case] expected: KeyValueError,
) {
    let result = commit(Turn::Answer(answer(status, "", body))).await;
    assert_eq!(result, Err(expected));
}

#[rstest]
#[case::over_the_rate(429, "", KeyValueError::Refused)]
#[case::outage(503, "", KeyValueError::Unavailable)]
#[case::history_gone(410, "", KeyValueError::Compacted)]
#[case::failed(500, "", KeyValueError::Unavailable)]
#[tokio::test]
async fn a_read_is_never_ambiguous(
    #[case] status: u16,
    #[case] body: &str,
    #[case] expected: KeyValueError,
) {
    let result = get(Turn::Answer(answer(status, "", body))).await;
    assert_eq!(result, Err(expected));
}

#[tokio::test]
async fn an_undecodable_read_is_malformed() {
    let result = get(Turn::Answer(answer(200, "", "{"))).await;
    assert!(
        matches!(result, Err(KeyValueError::Malformed(_))),
        "{result:?}"
    );
}

/// Guards against reporting a write as not executed when its answer was lost with the connection.
/// Of two nodes that claim one booking, the one whose claim was written would claim again, conflict
/// with itself and refuse the guest.
#[rstest]
#[case::no_answer(Vec::new())]
#[case::half_a_head(b"HTTP/1.1 200 O".to_vec())]
#[case::half_a_body(b"HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"revi".to_vec())]
#[tokio::test]
async fn a_lost_answer_is_ambiguous_for_a_write_only(#[case] bytes: Vec<u8>) {
    let written = commit(Turn::AnswerAndClose(bytes.clone())).await;
    assert_eq!(written, Err(KeyValueError::Ambiguous));
    let read = get(Turn::AnswerAndClose(bytes)).await;
    assert_eq!(read, Err(KeyValueError::Unavailable));
}

/// Guards against calls that never end: a frozen service keeps its connections open without
/// answering.
#[tokio::test]
async fn calls_to_a_frozen_service_end_at_the_timeout() {
    let hang = || Turn::AnswerAndHang(Vec::new());
    let server = ScriptedServer::start([hang(), hang(), hang()]).await;
    let store = short_timeout_store_at(&server.address);
    assert_eq!(store.commit(claim()).await, Err(KeyValueError::Ambiguous));
    let ttl = Duration::from_secs(5);
    assert_eq!(store.grant_lease(ttl).await, Err(KeyValueError::Ambiguous));
    assert_eq!(store.get("k").await, Err(KeyValueError::Unavailable));
}

#[tokio::test]
async fn a_write_without_a_connection_is_unavailable() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let result = store_at(&address).commit(claim()).await;
    assert_eq!(result, Err(KeyValueError::Unavailable));
}

#[tokio::test]
async fn a_conflict_returns_the_current_items() {
    let body = r#"{"current":[{"key":"k","value":"v","revision":7,"lease":0}]}"#;
    let result = commit(Turn::Answer(answer(412, "", body))).await;
    let Err(KeyValueError::Conflict { current }) = result else {
        panic!("{result:?}");
    };
    assert_eq!(current[0].revision, Revision::without_era(7));
    assert_eq!(current[0].value, "v");
}

#[tokio::test]
async fn requests_have_the_expected_format() {
    let item = r#"{"key":"a/b","value":"{}","revision":3,"lease":9}"#;
    let turns = [
        item.to_owned(),
        format!(r#"{{"items":[{item}],"has_more":true,"revision":4}}"#),
        format!(
            r#"{{"changes":[{{"put":{item}}},{{"removed":{{"key":"a/c","revision":5}}}}],"revision":5}}"#
        ),
        r#"{"revision":6}"#.to_owned(),
        r#"{"lease":9,"ttl_ms":1500}"#.to_owned(),
        String::new(),
        String::new(),
    ];
    let turns = turns.map(|body| Turn::Answer(answer(200, "", &body)));
    let server = ScriptedServer::start(turns).await;
    let store = store_at(&server.address);

    let got = store.get("a/b&c=d%").await.unwrap().unwrap();
    assert_eq!(
        (got.revision, got.lease),
        (Revision::without_era(3), LeaseId::without_era(9))
    );
    let page = store.range("a/", Some("a/a")).await.unwrap();
    assert!(page.has_more);
    let wait = Duration::from_millis(250);
    let seen = store
        .watch("a/", Revision::without_era(4), wait)
        .await
        .unwrap();
    assert!(matches!(&seen.changes[1], Change::Removed { .. }));
    assert_eq!(seen.changes[1].revision(), Revision::without_era(5));
    let txn = Txn {
        expects: vec![Condition {
            key: "a/b".into(),
            revision: Revision::without_era(3),
        }],
        puts: vec![Put {
            key: "a/b".into(),
            value: r#"{"x":1}"#.into(),
            lease: LeaseId::without_era(9),
        }],
        removes: vec!["a/c".into()],
    };
    assert_eq!(store.commit(txn).await, Ok(Revision::without_era(6)));
    let grant = store
        .grant_lease(Duration::from_millis(1500))
        .await
        .unwrap();
    assert_eq!(grant.ttl, Duration::from_millis(1500));
    store.renew_lease(grant.lease).await.unwrap();
    store.revoke_lease(grant.lease).await.unwrap();

    let calls: Vec<String> = server
        .seen()
        .iter()
        .map(|call| {
            format!("{} {}", call.line(), call.body)
                .trim_end()
                .to_owned()
        })
        .collect();
    insta::assert_snapshot!(calls.join("\n"), @r###"
    GET /v1/kv/item?key=a%2Fb%26c%3Dd%25
    GET /v1/kv/range?prefix=a%2F&after=a%2Fa
    GET /v1/kv/watch?prefix=a%2F&after_revision=4&wait_ms=250
    POST /v1/kv/txn {"expects":[{"key":"a/b","revision":3}],"puts":[{"key":"a/b","value":"{\"x\":1}","lease":9}],"removes":["a/c"]}
    POST /v1/kv/lease {"ttl_ms":1500}
    POST /v1/kv/lease/9/keep
    DELETE /v1/kv/lease/9
    "###);
}

#[tokio::test]
async fn the_vm_list_is_decoded() {
    let vm = r#"{"id":"n1","address":"10.0.0.1:7","failure_domain":"moka","duty":"entry","state":"leaving"}"#;
    let turns = [
        Turn::Answer(answer(200, "", &format!(r#"{{"vms":[{vm}]}}"#))),
        Turn::Answer(answer(200, "", "[]")),
        Turn::Answer(answer(503, "", "")),
    ];
    let server = ScriptedServer::start(turns).await;
    let vms = HttpVmList::new(PlatformSettings::at(&server.address));
    let list = vms.list().await.unwrap();
    assert_eq!(
        (list[0].duty, list[0].state),
        (VmRole::Entry, VmState::Leaving)
    );
    assert!(matches!(vms.list().await, Err(VmListError::Malformed(_))));
    assert_eq!(vms.list().await, Err(VmListError::Unavailable));
}
