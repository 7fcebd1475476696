//! The output of `diff`, and how few pieces of a text a small change replaces.

use std::collections::BTreeSet;

use nutmegsail_config::{
    Deployment, Digest, Generation, Head, OperatorsText, WriterId, diff, split,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const OLD: &str = include_str!("../../../examples/jm-west.toml");

fn parse(text: &str) -> Deployment {
    Deployment::parse(text, "t.toml").unwrap_or_else(|faults| panic!("{faults}"))
}

#[test]
fn diff_shows_each_change_once() {
    let new = OLD
        .replace("load_stalls = 0.8", "load_stalls = 0.6")
        .replace(
            "followup-note-{0001..1500}\", versions = [1, 2]",
            "followup-note-{0001..1510}\", versions = [2, 3]",
        )
        .replace("package-contract-{001..500}", "package-contract-{001..499}")
        .replace("\"127.0.0.1:9104\"", "\"127.0.0.1:9105\"")
        .replace(
            "deadline_ms = 1_500\nidempotent",
            "deadline_ms = 1_200\nidempotent",
        )
        .replace("once_only = true", "once_only = true\ntarget_ms = 150")
        + "[services.spa-till]\nkind = \"plain\"\ndeadline_ms = 900\nupstreams.ochi-hall = [\"127.0.0.1:9990\"]\n";
    let changes = diff(&parse(OLD), &parse(&new));
    insta::assert_snapshot!(changes, @r#"
~ weights.load_stalls = 0.8 -> 0.6
+ service spa-till
~ service spa-desk
    ~ calls.booking-confirm.target_ms = 200 -> 150
    ~ calls.slot-lookup.deadline_ms = 1500 -> 1200
~ service spa-scribe
    + adapters: 10 (followup-note-1501, followup-note-1502, followup-note-1503, ...)
    - adapters: 1 (package-contract-500)
    ~ versions of adapters: 1500 (followup-note-0001, followup-note-0002, followup-note-0003, ...)
    + upstream 127.0.0.1:9105 in negril-hall
    - upstream 127.0.0.1:9104 in negril-hall
"#);
    let back = diff(&parse(&new), &parse(OLD));
    assert_eq!(back.services_removed, changes.services_added);
}

#[test]
fn texts_that_differ_only_in_comments_have_no_difference() {
    let commented = format!("# a remark\n{OLD}");
    let changes = diff(&parse(OLD), &parse(&commented));
    assert!(changes.is_empty());
    assert_eq!(changes.to_string(), "no change");
}

#[test]
fn inserting_a_line_into_a_large_text_changes_few_pieces() {
    let names = |n: usize| {
        (0..n)
            .map(|n| format!("\"client-{n:05}\",\n"))
            .collect::<String>()
    };
    let old = names(11_000);
    let new = old.replacen(
        "\"client-05000\",\n",
        "\"client-05000\",\n\"client-new\",\n",
        1,
    );
    let digests = |text: &str| -> BTreeSet<Digest> {
        let pieces = split(&OperatorsText::new("large.toml", text));
        pieces.into_iter().map(|piece| piece.digest).collect()
    };
    let (old, new) = (digests(&old), digests(&new));
    assert!(old.len() >= 8, "{} pieces", old.len());
    // Only the first piece, which holds the lengths of the files, and the piece with the new line
    // change.
    assert!(new.difference(&old).count() <= 2);
}

#[test]
fn pieces_stay_below_the_value_limit_whatever_the_text() {
    let one_line = "é".repeat(250_000);
    let pieces = split(&OperatorsText::new("line.toml", one_line));
    assert!(pieces.len() <= 13);
    assert!(pieces.iter().all(|piece| piece.text.len() < 256 * 1024));
}

#[test]
fn a_head_stays_small_and_keeps_the_last_32_writers() {
    let text = OperatorsText::new("large.toml", "\"client-00000\",\n".repeat(20_000));
    let pieces = split(&text);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut head: Option<Head> = None;
    for _ in 0..100 {
        let writer = WriterId::random(&mut rng);
        let next = Head::following(head.as_ref(), Generation(0), &text, &pieces, &writer);
        assert_eq!(next.generation_of(&writer), Some(next.generation));
        head = Some(next);
    }
    let head = head.expect("written");
    println!(
        "{} pieces, a head of {} bytes",
        pieces.len(),
        head.to_json().len()
    );
    assert_eq!(head.recent.len(), 32);
    assert!(head.to_json().len() < 4_096, "{}", head.to_json().len());
    assert_eq!(
        Head::from_json(head.to_json().as_bytes()).expect("reads"),
        head
    );
}
