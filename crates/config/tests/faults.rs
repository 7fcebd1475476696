//! All faults of a text are reported at once, with their positions and suggested fixes.

use nutmegsail_base::ResultCode;
use nutmegsail_config::{Deployment, FaultKind, Faults, MAX_TEXT_BYTES, OperatorsText};
use proptest::prelude::*;
use rstest::rstest;

const TOP: &str = "deployment = { name = \"t\", failure_domains = [\"hall\"] }\n";
const DESK: &str =
    "[services.desk]\nkind = \"plain\"\ndeadline_ms = 900\nupstreams.hall = [\"10.0.0.1:1\"]\n";
const SCRIBE: &str = "[services.scribe]\nkind = \"engine\"\nbase_model = \"m\"\nchecks_fencing = true\n\
                      deadline_ms = 900\nupstreams.hall = [\"10.0.0.2:1\"]\n";

fn faults(text: &str) -> Faults {
    Deployment::parse(text, "t.toml").expect_err("the text has faults")
}

#[test]
fn all_faults_of_a_text_are_reported_at_once() {
    let text = r#"
[deployment]
name = "bad"
failure_domains = ["negril-hall", "ochi-hall", "ochi-hall"]
region = "west"

[weights]
load_stall = 0.5
batch_efficiency = 1.5

[limits]
in_flight_per_caller = 0
clock_skew_ms = 90_000_000

[services.spa-scribe]
kind = "engin"
deadline_ms = 500
target_ms = 800
depends_on = ["spa-desk"]
upstreams.negril-hal = ["127.0.0.1:9101", "localhost:9102"]
retry_budget = 3

[services.spa-notes]
kind = "engine"
base_model = "m"
class = "urgnt"
deadline_ms = "soon"
checks_fencing = "yes"
adapter_slots = 0
batch_slots = 2
urgent_headroom = 0.9
adapters = [
  { names = "note-{1..", versions = [1] },
  { names = ["a", "b"], versions = [] },
  { names = "a", versions = [0] },
]
include = "more.toml"
upstreams.ochi-hall = ["127.0.0.1:9101"]

[services.spa-desk]
kind = "plain"
deadline_ms = 3000
depends_on = ["spa-scribe", "spa-note"]
upstreams.ochi-hall = ["127.0.0.1:9201"]

[[services.spa-desk.calls]]
name = "booking-confirm"
method = "POSTS"
path = "bookings"
once_only = true
idempotent = true

[[services.spa-desk.calls]]
name = "booking-confirm"
method = "GET"
deadline = 100
"#;
    insta::assert_snapshot!(faults(text), @r#"
t.toml:4:48: NS5001/duplicate-name: the failure domain `ochi-hall` stands here twice; remove one of the two
t.toml:5:1: NS5001/unknown-key: [deployment] has no key `region`; write one of: name, failure_domains
t.toml:8:1: NS5001/unknown-key: [weights] has no key `load_stall`; did you mean `load_stalls`?
t.toml:9:20: NS5001/impossible-limit: `batch_efficiency` cannot be 1.5; write a value from 0 to 1
t.toml:11:1: NS5001/impossible-limit: `claim_retention_ms` (86400000) is not above `clock_skew_ms` (90000000); write `claim_retention_ms = 180000000` or more
t.toml:12:24: NS5001/impossible-limit: `in_flight_per_caller` cannot be 0; write a value from 1 to 100000
t.toml:15:11: NS5001/impossible-limit: service `spa-scribe` has a deadline of 500 ms, below its target of 800 ms; write `deadline_ms = 800` or more
t.toml:16:8: NS5001/bad-value: there is no kind `engin`; did you mean `engine`?
t.toml:19:15: NS5001/dependency-cycle: services depend on themselves: spa-desk -> spa-scribe -> spa-desk; remove `spa-desk` from the `depends_on` of `spa-scribe`
t.toml:20:11: NS5001/dangling-name: `negril-hal` is not one of the `failure_domains`; did you mean `negril-hall`?
t.toml:20:25: NS5001/duplicate-name: `127.0.0.1:9101` is already an upstream of `spa-notes`; give each upstream to one service, once
t.toml:20:43: NS5001/bad-value: `localhost:9102` is not an address; write an IP number and a port, such as "10.0.0.1:9001"
t.toml:21:16: NS5001/impossible-limit: `retry_budget` cannot be 3; write a value from 0 to 1
t.toml:23:11: NS5001/impossible-limit: service `spa-notes`: an urgent_headroom of 0.9 over 2 places leaves routine work nothing; write `urgent_headroom = 0.5` or less
t.toml:26:9: NS5001/bad-value: there is no class `urgnt`; did you mean `urgent`?
t.toml:27:15: NS5001/wrong-type: `deadline_ms` is a string; write a whole number
t.toml:28:18: NS5001/wrong-type: `checks_fencing` is a string; write true or false
t.toml:29:17: NS5001/impossible-limit: `adapter_slots` cannot be 0; write a value from 1 to 10000
t.toml:33:13: NS5001/bad-pattern: the pattern `note-{1..` cannot be read; write one range of equal widths and at most 100000 names, such as "note-{0001..1500}"
t.toml:34:36: NS5001/no-versions: these adapters have no versions; write `versions = [1]`
t.toml:35:13: NS5001/duplicate-name: the adapter `a` stands in this service twice; name each adapter once, with all its versions
t.toml:35:30: NS5001/impossible-limit: `versions` cannot be 0; write a value from 1 to 4294967295
t.toml:37:11: NS5001/missing-include: the included file `more.toml` was not given; put it beside this file
t.toml:43:29: NS5001/dangling-name: there is no service `spa-note` to depend on; did you mean `spa-notes`?
t.toml:46:1: NS5001/bad-value: call `booking-confirm` is both once_only and idempotent; remove `idempotent = true`
t.toml:48:10: NS5001/bad-value: there is no method `POSTS`; did you mean `POST`?
t.toml:49:8: NS5001/bad-value: `bookings` is not a path; write a path such as "/confirm" or "/slots/*"
t.toml:53:1: NS5001/missing-key: call `booking-confirm` lacks `path`; write `path = "/confirm"`
t.toml:53:1: NS5001/duplicate-name: service `spa-desk` has two calls `booking-confirm`; rename one of the two
t.toml:56:1: NS5001/unknown-key: call `booking-confirm` has no key `deadline`; did you mean `deadline_ms`?
"#);
}

#[rstest]
#[case::syntax("[deployment\n", FaultKind::Syntax, 1)]
#[case::two_syntax_faults("x = = 1\ny = [1,\n", FaultKind::Syntax, 1)]
#[case::key_twice("a = 1\na = 2\n", FaultKind::Syntax, 2)]
#[case::empty("", FaultKind::MissingKey, 1)]
#[case::unknown_key(&format!("{TOP}colour = 1\n{DESK}"), FaultKind::UnknownKey, 2)]
#[case::wrong_type(&format!("{TOP}weights = 3\n{DESK}"), FaultKind::WrongType, 2)]
#[case::services_is_a_list(&format!("{TOP}services = []\n"), FaultKind::WrongType, 2)]
#[case::no_weight(&format!("{TOP}weights = {{ load_stalls = 0, batch_efficiency = 0.0 }}\n{DESK}"), FaultKind::ImpossibleLimit, 2)]
#[case::not_a_number(&format!("{TOP}weights = {{ load_stalls = nan }}\n{DESK}"), FaultKind::ImpossibleLimit, 2)]
#[case::negative(&format!("{TOP}{DESK}queue_per_class = -1\n"), FaultKind::ImpossibleLimit, 6)]
#[case::larger_than_64_bits(&format!("{TOP}{DESK}queue_per_class = 99999999999999999999\n"), FaultKind::ImpossibleLimit, 6)]
#[case::no_fencing_said(&format!("{TOP}{}", SCRIBE.replace("checks_fencing = true\n", "adapters = [{ names = \"a\", versions = [1] }]\n")), FaultKind::MissingKey, 2)]
#[case::depends_on_itself(&format!("{TOP}{DESK}depends_on = [\"desk\"]\n"), FaultKind::DependencyCycle, 6)]
#[case::dangling(&format!("{TOP}{DESK}depends_on = [\"dusk\"]\n"), FaultKind::DanglingName, 6)]
#[case::no_upstream(&format!("{TOP}[services.d]\nkind = \"plain\"\ndeadline_ms = 1\nupstreams.hall = []\n"), FaultKind::MissingKey, 5)]
#[case::upstream_twice(&format!("{TOP}{}", DESK.replace("\"10.0.0.1:1\"", "\"10.0.0.1:1\", \"10.0.0.1:1\"")), FaultKind::DuplicateName, 5)]
#[case::name_with_space(&format!("{TOP}{}", DESK.replace("services.desk", "services.\"de sk\"")), FaultKind::BadValue, 2)]
#[case::no_adapters(&format!("{TOP}{SCRIBE}"), FaultKind::MissingKey, 2)]
#[case::no_versions(&format!("{TOP}{SCRIBE}adapters = [{{ names = \"a\" }}]\n"), FaultKind::NoVersions, 8)]
#[case::version_twice(&format!("{TOP}{SCRIBE}adapters = [{{ names = \"a\", versions = [1, 1] }}]\n"), FaultKind::DuplicateName, 8)]
#[case::adapter_twice(&format!("{TOP}{SCRIBE}adapters = [{{ names = [\"a\", \"a\"], versions = [1] }}]\n"), FaultKind::DuplicateName, 8)]
#[case::range_backwards(&format!("{TOP}{SCRIBE}adapters = [{{ names = \"a{{9..1}}\", versions = [1] }}]\n"), FaultKind::BadPattern, 8)]
#[case::range_too_long(&format!("{TOP}{SCRIBE}adapters = [{{ names = \"a{{1..4000000000}}\", versions = [1] }}]\n"), FaultKind::BadPattern, 8)]
#[case::missing_include(&format!("{TOP}{SCRIBE}include = \"more.toml\"\n"), FaultKind::MissingInclude, 8)]
#[case::deadline_below_target(&format!("{TOP}{DESK}target_ms = 901\n"), FaultKind::ImpossibleLimit, 2)]
#[case::headroom_and_floor(&format!("{TOP}{DESK}urgent_headroom = 0.5\nroutine_floor = 0.6\n"), FaultKind::ImpossibleLimit, 2)]
#[case::engine_call_with_path(&format!("{TOP}{SCRIBE}adapters = [{{ names = \"a\", versions = [1] }}]\ncalls = [{{ name = \"c\", path = \"/x\" }}]\n"), FaultKind::BadValue, 9)]
fn a_fault_has_its_kind_and_line(#[case] text: &str, #[case] kind: FaultKind, #[case] line: u32) {
    let faults = faults(text);
    let first = &faults.0[0];
    assert_eq!((first.kind, first.line), (kind, line), "{faults}");
    assert!(!first.fix.is_empty());
    assert_eq!(faults.code(), ResultCode::TextInvalid);
}

#[test]
fn an_adapter_in_two_services_is_refused() {
    let second = SCRIBE
        .replace("scribe", "writer")
        .replace("10.0.0.2", "10.0.0.3");
    let adapters = "adapters = [{ names = \"note-{1..9}\", versions = [1] }]\n";
    let text = format!("{TOP}{SCRIBE}{adapters}{second}{adapters}");
    insta::assert_snapshot!(faults(&text), @r#"
t.toml:15:12: NS5001/adapter-in-two-services: the adapter `note-1` (and 8 more) stands in `scribe` and in `writer`; remove it from one of them
"#);
}

#[test]
fn a_deadline_below_the_chain_of_targets_is_refused() {
    let other = DESK
        .replace("desk", "other")
        .replace("10.0.0.1", "10.0.0.9");
    let text =
        format!("{TOP}{DESK}target_ms = 500\ndepends_on = [\"other\"]\n{other}target_ms = 600\n");
    insta::assert_snapshot!(faults(&text), @r#"
t.toml:2:11: NS5001/impossible-limit: service `desk` has a deadline of 900 ms, but the targets of what it depends on add up to 1100 ms; write `deadline_ms = 1100` or more
"#);
}

#[test]
fn a_fault_in_an_included_file_names_that_file() {
    let main = format!("{TOP}{SCRIBE}include = \"more.toml\"\n");
    let more = "adapters = [\n  { names = [\"a\"], version = [1] },\n]\n";
    let text = OperatorsText::new("t.toml", main).include("more.toml", more);
    let faults = Deployment::parse_text(&text).expect_err("`version` is not a key");
    insta::assert_snapshot!(faults, @r#"
more.toml:2:3: NS5001/no-versions: these adapters have no versions; write `versions = [1]`
more.toml:2:20: NS5001/unknown-key: an entry of `adapters` has no key `version`; did you mean `versions`?
"#);
}

#[test]
fn a_text_that_is_not_utf8_is_refused_with_the_position_of_the_bad_byte() {
    let faults = OperatorsText::from_bytes("t.toml", b"a = 1\nb = \xff\n").expect_err("bad");
    insta::assert_snapshot!(faults, @r#"
t.toml:2:5: NS5001/encoding: byte 0xff is not UTF-8; save the file as UTF-8
"#);
}

#[test]
fn a_text_over_the_size_limit_is_refused_without_parsing() {
    let text = format!("{TOP}# {}\n", "x".repeat(MAX_TEXT_BYTES));
    let faults = faults(&text);
    assert_eq!(faults.code(), ResultCode::TextTooLarge);
    insta::assert_snapshot!(faults, @r#"
t.toml:1:1: NS5003/too-large: 524347 bytes are over the 524288 allowed; write adapters as patterns, such as "note-{0001..1500}"
"#);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Operators may save half-written files. Whatever is removed or inserted, parsing returns a
    /// deployment or faults and never panics.
    #[test]
    fn parsing_a_damaged_text_never_panics(
        at in 0usize..3_000,
        cut in 0usize..40,
        put in "[\\[\\]{}=\"',.\\n0-9a-z_ é-]{0,12}",
    ) {
        let text = include_str!("../../../examples/jm-west.toml");
        let (at, end) = (at.min(text.len()), (at + cut).min(text.len()));
        let damaged = format!("{}{put}{}", &text[..at], &text[end..]);
        if let Err(faults) = Deployment::parse(&damaged, "t.toml") {
            prop_assert!(!faults.0.is_empty());
            prop_assert!(faults.0.iter().all(|fault| fault.line >= 1 && !fault.fix.is_empty()));
        }
    }
}
