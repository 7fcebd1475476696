//! `apply`: accepted, refused, overtaken, unknown, and in force or not.

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use nutmegsail::{ApplyRequest, CommandError, ExitCode, Output, apply};
use nutmegsail_config::{Generation, HEAD_KEY, Head, PublishError, RetryPolicy};
use nutmegsail_fakes::{FakeKeyValue, HttpServer, Knobs, loopback};
use nutmegsail_store::KeyValue;
use support::{Node, TEXT, Texts, run, status_json};

async fn platform() -> (Arc<FakeKeyValue>, HttpServer, String) {
    let store = Arc::new(FakeKeyValue::default());
    let listener = loopback().await.expect("a free port");
    let server = store.serve_http(listener).expect("a server");
    let address = server.address.to_string();
    (store, server, address)
}

async fn head(store: &FakeKeyValue) -> Head {
    let item = store.get(HEAD_KEY).await.expect("an answer");
    Head::from_json(&item.expect("a head").value).expect("a head record")
}

/// A node that runs the generation that the cell holds, with the digest that goes with it.
async fn node_running(generation: Arc<Mutex<(u64, String)>>, in_cove: &'static str) -> Node {
    Node::start(move |_| {
        let (generation, digest) = generation.lock().expect("no panic").clone();
        let in_cove = in_cove.replace('N', &generation.to_string());
        (200, status_json(generation, &digest, &in_cove, ""))
    })
    .await
}

/// A request that does not ask the platform again for long.
fn hasty(text: String, platform: String) -> ApplyRequest {
    let pause = Duration::from_millis(1);
    ApplyRequest {
        retry: RetryPolicy {
            attempts: 2,
            first_pause: pause,
            longest_pause: pause,
        },
        ..ApplyRequest::new(text, platform)
    }
}

#[tokio::test]
async fn an_accepted_text_is_waited_for_until_it_is_in_force() {
    let (store, _server, platform) = platform().await;
    let texts = Texts::new();
    let path = texts.write("small.toml", TEXT);
    let ran = run(&["apply", &path, "--platform", &platform]).await;
    assert_eq!(ran.exit_code, ExitCode::Done);
    insta::assert_snapshot!(format!("{}{}", ran.messages, ran.results), @r###"
    accepted as generation 1
    generation 1 is accepted; name nodes with --node to see it in force
    "###);

    let digest = head(&store).await.digest.to_string();
    let node = node_running(Arc::new(Mutex::new((1, digest))), r#"{"N":2}"#).await;
    let again = [
        "apply",
        &path,
        "--platform",
        &platform,
        "--node",
        &node.address,
    ];
    let ran = run(&again).await;
    assert_eq!(ran.exit_code, ExitCode::Done);
    insta::assert_snapshot!(ran.results, @r###"
    the text is accepted already, as generation 1 and in force everywhere
    cove: 2 of 2 nodes run generation 1
    hall: 3 of 3 nodes run generation 1
    "###);
    assert_eq!(head(&store).await.generation, Generation(1));
}

#[rstest::rstest]
#[case::one_node_behind(r#"{"0":1,"N":1}"#)]
#[case::nobody_seen("{}")]
#[tokio::test]
async fn a_text_that_is_not_seen_everywhere_says_where(#[case] in_cove: &'static str) {
    let (store, _server, platform) = platform().await;
    let texts = Texts::new();
    let path = texts.write("small.toml", TEXT);
    run(&["apply", &path, "--platform", &platform]).await;
    let digest = head(&store).await.digest.to_string();
    let node = node_running(Arc::new(Mutex::new((1, digest))), in_cove).await;
    let command = [
        "apply",
        &path,
        "--platform",
        &platform,
        "--node",
        &node.address,
        "--wait-ms",
        "0",
    ];
    let ran = run(&command).await;
    assert_eq!(ran.exit_code, ExitCode::NotInForce);
    assert!(ran.results.starts_with("NS5005: "), "{}", ran.results);
    assert!(
        ran.results.contains("hall: 3 of 3 nodes run generation 1"),
        "{}",
        ran.results
    );
    assert!(
        ran.results.contains(" of 2 nodes run generation 1"),
        "{}",
        ran.results
    );
}

/// A failure domain is cut off from everyone who can be asked. Its nodes may run an older text, so
/// silence must not read as "in force everywhere".
#[tokio::test]
async fn a_failure_domain_that_nobody_knows_of_is_not_in_force() {
    let (store, _server, platform) = platform().await;
    let texts = Texts::new();
    let wider = TEXT.replace(r#"["hall", "cove"]"#, r#"["hall", "cove", "reef"]"#);
    let path = texts.write("small.toml", &wider);
    run(&["apply", &path, "--platform", &platform]).await;
    let digest = head(&store).await.digest.to_string();
    let node = node_running(Arc::new(Mutex::new((1, digest))), r#"{"N":2}"#).await;
    let mut command = vec!["apply", &path, "--platform", &platform];
    command.extend(["--node", &node.address, "--wait-ms", "0"]);
    let ran = run(&command).await;
    assert_eq!(ran.exit_code, ExitCode::NotInForce);
    insta::assert_snapshot!(ran.results, @r###"
    NS5005: the text is accepted already, as generation 1, but was not seen in force everywhere in time
    cove: 2 of 2 nodes run generation 1
    hall: 3 of 3 nodes run generation 1
    reef: no node that was asked knows of it
    "###);
}

/// The store was restored from a copy and counts from an older generation than the nodes run. A
/// text with a number that they have passed would never take effect.
#[tokio::test]
async fn a_new_text_counts_on_from_what_nodes_run() {
    let (store, _server, platform) = platform().await;
    let texts = Texts::new();
    let path = texts.write("small.toml", TEXT);
    let node = Node::start(|_| (200, status_json(41, "older", r#"{"41":2}"#, ""))).await;
    let command = [
        "apply",
        &path,
        "--platform",
        &platform,
        "--node",
        &node.address,
        "--wait-ms",
        "0",
    ];
    run(&command).await;
    assert_eq!(head(&store).await.generation, Generation(42));
}

/// Two operators start from generation 1. The second one to apply must not undo the first one's
/// change unseen.
#[tokio::test]
async fn the_operator_who_comes_second_is_shown_the_others_change() {
    let (store, _server, platform) = platform().await;
    let texts = Texts::new();
    let path = texts.write("small.toml", TEXT);
    run(&["apply", &path, "--platform", &platform]).await;
    let theirs = texts.write("theirs.toml", &TEXT.replace("3_000", "2_500"));
    let ran = run(&["apply", &theirs, "--platform", &platform, "--base", "1"]).await;
    assert_eq!(ran.exit_code, ExitCode::Done);
    let mine = texts.write("mine.toml", &TEXT.replace("{01..20}", "{01..21}"));
    let command = ["apply", &mine, "--platform", &platform, "--base", "1"];
    let ran = run(&command).await;
    assert_eq!(ran.exit_code, ExitCode::Conflict);
    insta::assert_snapshot!(ran.messages, @r###"
    NS5002: another operator published generation 2 meanwhile; compared with your text it differs so:
    ~ service desk
        ~ deadline_ms = 3000 -> 2500
    ~ service scribe
        - adapters: 1 (note-21)
    take their change into your text, then apply it with --base 2
    "###);
    let ran = run(&[&["--json"], command.as_slice()].concat()).await;
    let json: serde_json::Value = serde_json::from_str(&ran.results).unwrap();
    assert_eq!(json["error"]["code"], "NS5002");
    assert_eq!(json["error"]["conflict"]["generation"], 2);
    assert_eq!(head(&store).await.generation, Generation(2));
    let ran = run(&["diff", "--platform", &platform, &mine]).await;
    assert!(
        ran.results.starts_with("generation 2 -> "),
        "{}",
        ran.results
    );
}

#[tokio::test]
async fn a_lost_answer_is_looked_up_and_not_written_twice() {
    let (store, _server, platform) = platform().await;
    store.set_knobs(Knobs {
        lost_answer_share: 1.0,
        ..Knobs::default()
    });
    let texts = Texts::new();
    let request = hasty(texts.write("small.toml", TEXT), platform);
    let (mut results, mut messages) = (Vec::new(), Vec::new());
    let mut output = Output::new(&mut results, &mut messages);
    assert_eq!(apply(&request, &mut output).await, Ok(ExitCode::Done));
    assert_eq!(head(&store).await.generation, Generation(1));
}

/// The platform takes a write and answers nothing, for longer than the operator waits. The text may
/// come into force later; told "not accepted", the operator would be surprised by it.
#[tokio::test]
async fn an_unknown_outcome_is_said_and_can_be_looked_up_later() {
    let (store, _server, platform) = platform().await;
    store.set_knobs(Knobs {
        late_share: 1.0,
        late_ms: 3_600_000,
        ..Knobs::default()
    });
    let texts = Texts::new();
    let mut request = hasty(texts.write("small.toml", TEXT), platform);
    let (mut results, mut messages) = (Vec::new(), Vec::new());
    let mut output = Output::new(&mut results, &mut messages);
    let error = apply(&request, &mut output).await.unwrap_err();
    assert_eq!(error.exit_code(), ExitCode::OutcomeUnknown);
    let CommandError::Publish {
        error: PublishError::Undecided { writer },
        ..
    } = &error
    else {
        panic!("{error:?}");
    };
    let advice = format!("--base 0 --resume {writer}");
    assert!(error.to_string().contains(&advice), "{error}");

    store.set_knobs(Knobs::default());
    request.resume = Some(writer.clone());
    request.base = Some(Generation(0));
    assert_eq!(apply(&request, &mut output).await, Ok(ExitCode::Done));
    assert_eq!(head(&store).await.writer, *writer);
}

#[tokio::test]
async fn an_outage_changes_nothing() {
    let (store, _server, platform) = platform().await;
    store.set_knobs(Knobs {
        outage: true,
        ..Knobs::default()
    });
    let texts = Texts::new();
    let path = texts.write("small.toml", TEXT);
    let ran = run(&["apply", &path, "--platform", &platform]).await;
    assert_eq!(ran.exit_code, ExitCode::PlatformUnavailable);
    assert!(ran.messages.starts_with("NS6001: "), "{}", ran.messages);
}

#[tokio::test]
async fn a_faulty_text_never_reaches_the_platform() {
    let (store, _server, platform) = platform().await;
    let texts = Texts::new();
    let path = texts.write("small.toml", "[deployment]");
    let ran = run(&["apply", &path, "--platform", &platform]).await;
    assert_eq!(ran.exit_code, ExitCode::TextFaults);
    assert_eq!((store.counts().gets, store.counts().txns), (0, 0));
}
