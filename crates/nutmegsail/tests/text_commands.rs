//! `check`, `diff` and `explain` of files: what they print and exit with.

mod support;

use nutmegsail::ExitCode;
use support::{TEXT, Texts, run};

#[tokio::test]
async fn a_sound_text_is_summed_up() {
    let texts = Texts::new();
    let path = texts.write("small.toml", TEXT);
    let ran = run(&["check", &path]).await;
    assert_eq!(ran.exit_code, ExitCode::Done);
    insta::assert_snapshot!(texts.without_dir(&ran.results), @r###"
    DIR/small.toml: sound: small, 2 failure domains, 2 services, 4 upstreams, 20 adapters in 40 versions, 509 bytes
    digest 7e92b232e86d005539143f1f9acad7d47304eecf03c54fb26f752e1e91aaafa6
    "###);
}

#[tokio::test]
async fn every_fault_is_printed_with_its_place_number_and_fix() {
    let texts = Texts::new();
    let faulty = TEXT
        .replace("depends_on", "depend_on")
        .replace("\"urgent\"", "\"urgnt\"");
    let path = texts.write("small.toml", &faulty);
    let ran = run(&["check", &path]).await;
    assert_eq!(ran.exit_code, ExitCode::TextFaults);
    insta::assert_snapshot!(texts.without_dir(&ran.messages), @r###"
    DIR/small.toml:19:9: NS5001/bad-value: there is no class `urgnt`; did you mean `urgent`?
    DIR/small.toml:22:1: NS5001/unknown-key: service `desk` has no key `depend_on`; did you mean `depends_on`?
    "###);
    let ran = run(&["--json", "check", &path]).await;
    let json: serde_json::Value = serde_json::from_str(&ran.results).unwrap();
    assert_eq!(json["error"]["code"], "NS5001");
    assert_eq!(json["error"]["faults"].as_array().unwrap().len(), 2);
}

#[tokio::test]
async fn included_files_are_found_beside_the_text() {
    let texts = Texts::new();
    let list = r#"adapters = [{ names = "extra-{1..5}", versions = [1] }]"#;
    texts.write("more.toml", list);
    let with_include = TEXT.replace(
        "kind = \"engine\"",
        "kind = \"engine\"\ninclude = \"more.toml\"",
    );
    let path = texts.write("small.toml", &with_include);
    let ran = run(&["check", &path]).await;
    assert!(
        ran.results.contains("25 adapters"),
        "{}{}",
        ran.results,
        ran.messages
    );
    let missing = with_include.replace("more.toml", "none.toml");
    let path = texts.write("small.toml", &missing);
    let ran = run(&["check", &path]).await;
    assert_eq!(ran.exit_code, ExitCode::TextFaults);
    assert!(ran.messages.contains("none.toml"), "{}", ran.messages);
}

/// Two operators check out the same text to different directories. If its digest differed, each
/// would see the other's text as a change, and nodes would fetch it anew.
#[tokio::test]
async fn the_digest_does_not_depend_on_the_directory() {
    let (one, other) = (Texts::new(), Texts::new());
    let mut digests = Vec::new();
    for texts in [&one, &other] {
        let ran = run(&["check", &texts.write("small.toml", TEXT)]).await;
        digests.push(ran.results.lines().last().unwrap().to_owned());
    }
    assert_eq!(digests[0], digests[1]);
}

#[tokio::test]
async fn a_difference_is_shown_in_meaning() {
    let texts = Texts::new();
    let old = texts.write("old.toml", TEXT);
    let changed = TEXT
        .replace("{01..20}", "{01..22}")
        .replace("3_000", "2500");
    let new = texts.write("new.toml", &changed);
    let ran = run(&["diff", &old, &new]).await;
    assert_eq!(ran.exit_code, ExitCode::Done);
    insta::assert_snapshot!(texts.without_dir(&ran.results), @r###"
    DIR/old.toml -> DIR/new.toml
    ~ service desk
        ~ deadline_ms = 3000 -> 2500
    ~ service scribe
        + adapters: 2 (note-21, note-22)
    "###);
    let ran = run(&["diff", &old, &old]).await;
    assert!(ran.results.contains("nothing differs"));
}

#[tokio::test]
async fn an_explanation_shows_each_step() {
    let texts = Texts::new();
    let path = texts.write("small.toml", TEXT);
    let ran = run(&["explain", &path, "scribe"]).await;
    insta::assert_snapshot!(texts.without_dir(&ran.results), @r###"
    scribe
      declared: routine, deadline 30000 ms, target 500 ms
      called on behalf of desk it would be urgent, deadline 2800 ms
      so: routine, deadline 30000 ms, target 500 ms, slack 29500 ms
    "###);
    let ran = run(&["explain", &path, "nobody"]).await;
    assert_eq!(ran.exit_code, ExitCode::Usage);
    assert!(ran.messages.contains("NS1004"), "{}", ran.messages);
}

#[rstest::rstest]
#[case::no_command(&[])]
#[case::unknown_command(&["frob"])]
#[case::no_file(&["check", "no-such-file.toml"])]
#[case::no_node(&["status"])]
#[case::one_text(&["diff", "one.toml"])]
#[case::explain_nothing(&["explain"])]
#[case::bad_class(&["explain", "a", "b", "--class", "slow"])]
#[tokio::test]
async fn a_wrong_command_line_says_what_to_write(#[case] args: &[&str]) {
    let ran = run(args).await;
    assert_eq!(ran.exit_code, ExitCode::Usage);
    assert!(ran.messages.starts_with("error: "), "{}", ran.messages);
    assert!(ran.results.is_empty());
}
