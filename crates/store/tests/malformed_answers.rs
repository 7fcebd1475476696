//! Malformed answers of the key-value service.

#[path = "../../http-pool/tests/scripted_server/mod.rs"]
mod scripted_server;

use nutmegsail_store::{HttpKeyValue, KeyValue, KeyValueError, PlatformSettings, Revision, Txn};
use scripted_server::malformed::Malformed;
use scripted_server::{ScriptedServer, Turn};

async fn store(malformed: Malformed, body: &str) -> (ScriptedServer, HttpKeyValue) {
    let turn = Turn::AnswerAndClose(malformed.answer("", body));
    let server = ScriptedServer::start([turn]).await;
    let store = HttpKeyValue::new(PlatformSettings::at(&server.address));
    (server, store)
}

// Guards against reading the framing of an answer as its body, and against a write that counts as done or as not sent though
// its answer says neither.
#[tokio::test]
async fn a_malformed_answer_is_none() {
    for malformed in Malformed::ALL {
        println!("{malformed:?}");
        check(malformed).await;
    }
}

async fn check(malformed: Malformed) {
    let item = r#"{"key":"k","value":"{}","revision":3,"lease":9}"#;
    let (_server, reading) = store(malformed, item).await;
    let read = reading.get("k").await;
    assert_eq!(read, Err(KeyValueError::Unavailable));

    let (_server, writing) = store(malformed, r#"{"revision":6}"#).await;
    let claim = Txn::compare_and_swap("nutmegsail/claim/1", Revision::NONE, r#"{"node":"n1"}"#);
    let written = writing.commit(claim).await;
    assert_eq!(written, Err(KeyValueError::Ambiguous));
}
