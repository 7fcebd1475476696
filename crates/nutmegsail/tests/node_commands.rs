//! `status`, `explain` and `drain` at nodes: what they print and exit with.

mod support;

use nutmegsail::ExitCode;
use support::{Node, run, status_json};

#[tokio::test]
async fn a_status_shows_generations_by_failure_domain() {
    let status = status_json(7, "d7", r#"{"6":1,"7":0}"#, "\"cove-2\"");
    let node = Node::start(move |_| (200, status.clone())).await;
    let ran = run(&["status", "--node", &node.address]).await;
    assert_eq!(ran.exit_code, ExitCode::Done);
    insta::assert_snapshot!(ran.results, @r###"
    hall-1 in hall: generation 7, ready
    newest generation: 7
    cove: 0 of 2 nodes run generation 7, 1 run 6; cannot be reached: cove-2
    hall: 3 of 3 nodes run generation 7
    "###);
    let ran = run(&["--json", "status", "--node", &node.address]).await;
    let json: serde_json::Value = serde_json::from_str(&ran.results).unwrap();
    assert_eq!(json["domains"][0]["at_generation"]["6"], 1);
    assert_eq!(json["nodes"][0]["digest"], "d7");
}

/// Two halls are cut off from each other. Each still knows itself; what it heard of the other one
/// is old. The view from inside counts.
#[tokio::test]
async fn a_failure_domain_is_shown_as_its_own_nodes_see_it() {
    let from_hall = status_json(7, "d7", r#"{"6":2}"#, "");
    let hall = Node::start(move |_| (200, from_hall.clone())).await;
    let from_cove = status_json(7, "d7", r#"{"7":2}"#, "");
    let from_cove = from_cove.replacen(
        r#""failure_domain":"hall""#,
        r#""failure_domain":"cove""#,
        1,
    );
    let cove = Node::start(move |_| (200, from_cove.clone())).await;
    let ran = run(&["status", "--node", &hall.address, "--node", &cove.address]).await;
    let line = "cove: 2 of 2 nodes run generation 7";
    assert!(
        ran.results.lines().any(|shown| shown == line),
        "{}",
        ran.results
    );
}

#[tokio::test]
async fn a_node_that_cannot_be_reached_shows_beside_the_others() {
    let status = status_json(7, "d7", r#"{"7":2}"#, "");
    let node = Node::start(move |_| (200, status.clone())).await;
    let ran = run(&["status", "--node", &node.address, "--node", "127.0.0.1:1"]).await;
    assert_eq!(ran.exit_code, ExitCode::NodeUnreachable);
    assert!(
        ran.results.contains("hall-1 in hall: generation 7, ready"),
        "{}",
        ran.results
    );
    assert!(
        ran.results
            .contains("NS7003: 127.0.0.1:1 cannot be reached"),
        "{}",
        ran.results
    );
}

#[tokio::test]
async fn a_node_explains_readably_or_as_it_is() {
    let json = r#"{"service":"scribe","candidates":[{"upstream":"a:1","score":0.5,"why":["near","ready"]},{"upstream":"b:1","score":12,"why":[]}],"limits":{"in_flight":4}}"#;
    let node = Node::start(move |_| (200, json.to_owned())).await;
    let command = [
        "explain",
        "--node",
        &node.address,
        "note-01@2",
        "--call",
        "a b",
        "--class",
        "urgent",
    ];
    let ran = run(&command).await;
    assert_eq!(ran.exit_code, ExitCode::Done);
    insta::assert_snapshot!(ran.results, @r###"
    candidates:
      score  upstream  why
      0.5    a:1       near, ready
      12     b:1       none
    limits:
      in_flight: 4
    service: scribe
    "###);
    let asked = node.asked.lock().unwrap()[0].clone();
    assert_eq!(
        asked,
        "GET /operators/explain?adapter=note%2D01%402&call=a%20b&class=urgent"
    );
    let ran = run(&["--json", "explain", "--node", &node.address, "scribe"]).await;
    let same: serde_json::Value = serde_json::from_str(&ran.results).unwrap();
    assert_eq!(
        same,
        serde_json::from_str::<serde_json::Value>(json).unwrap()
    );
}

#[rstest::rstest]
#[case::not_there(404, ExitCode::Usage)]
#[case::not_yet(503, ExitCode::NodeUnreachable)]
#[tokio::test]
async fn what_a_node_refuses_is_printed_with_its_number(
    #[case] status: u16,
    #[case] expected: ExitCode,
) {
    let body =
        r#"{"error":{"code":"NS1004","number":1004,"message":"No such service.","detail":"`x`"}}"#;
    let node = Node::start(move |_| (status, body.to_owned())).await;
    let ran = run(&["explain", "--node", &node.address, "x"]).await;
    assert_eq!(ran.exit_code, expected);
    assert!(ran.messages.starts_with("NS1004: "), "{}", ran.messages);
    assert!(
        ran.messages.contains("No such service. (`x`)"),
        "{}",
        ran.messages
    );
}

#[tokio::test]
async fn a_drain_is_posted_once() {
    let node = Node::start(|_| (202, "{}".to_owned())).await;
    let ran = run(&["drain", "--node", &node.address]).await;
    assert_eq!(ran.exit_code, ExitCode::Done);
    assert_eq!(*node.asked.lock().unwrap(), ["POST /operators/drain"]);
    let ran = run(&["drain", "--node", "127.0.0.1:1"]).await;
    assert_eq!(ran.exit_code, ExitCode::NodeUnreachable);
}
