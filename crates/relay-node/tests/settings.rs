//! Tests of the node's settings: the example file and the errors for faulty settings.

use nutmegsail_relay_node::RelaySettings;
use rstest::rstest;

const EXAMPLE: &str = include_str!("../../../examples/relay.toml");

#[test]
fn the_example_file_equals_the_defaults() {
    let settings = RelaySettings::parse(EXAMPLE).unwrap();
    assert_eq!(
        settings.bounds,
        nutmegsail_relay_node::BoundSettings::default()
    );
}

#[rstest]
#[case::missing("node = \"negril-1\"\n", "", "node")]
#[case::unknown("[store]", "[stores]", "stores")]
#[case::no_address("\"127.0.0.1:8149\"", "\"here\"", "callers_address")]
#[case::empty_name("node = \"negril-1\"", "node = \"\"", "node: name the node")]
#[case::short_grace("grace_s = 8.0", "grace_s = 0.1", "bounds.grace_s")]
#[case::no_hand_over("hand_over_ms = 3000", "hand_over_ms = 5", "bounds.hand_over_ms")]
#[case::short_revocation("# revoke_ms = 5000", "revoke_ms = 50", "bounds.revoke_ms")]
#[case::no_window(
    "quota_window_s = 8.0",
    "quota_window_s = 0.0",
    "bounds.quota_window_s"
)]
#[case::odd_tolerance("quota_over = 0.1", "quota_over = -1.0", "bounds.quota_over")]
#[case::negative_slack(
    "quota_slack_tokens = 0.0",
    "quota_slack_tokens = -1.0",
    "quota_slack_tokens"
)]
#[case::odd_ratio("retry_ratio = 0.2", "retry_ratio = -1", "bounds.retry_ratio")]
#[case::odd_worth(
    "# late_worth = { \"0\" = 0.2",
    "late_worth = { \"0\" = 1.5",
    "shedding.late_worth.0: write 0 to 1"
)]
#[case::negative_worth(
    "# late_worth = { \"0\" = 0.2",
    "late_worth = { \"0\" = -0.1",
    "late_worth.0"
)]
#[case::worth_is_no_number(
    "# late_worth = { \"0\" = 0.2",
    "late_worth = { \"0\" = nan",
    "late_worth.0"
)]
#[case::odd_priority(
    "# late_worth = { \"0\"",
    "late_worth = { \"256\"",
    "shedding.late_worth.256: write a priority"
)]
#[case::priority_twice("# late_worth = { \"0\"", "late_worth = { \"01\"", "late_worth.01")]
fn an_error_names_the_faulty_key(#[case] from: &str, #[case] to: &str, #[case] named: &str) {
    let text = EXAMPLE.replacen(from, to, 1);
    let text = text.replacen("# [shedding]", "[shedding]", 1);
    assert_ne!(text, EXAMPLE);
    let error = RelaySettings::parse(&text).unwrap_err().to_string();
    assert!(error.starts_with("NS7001"), "{error}");
    assert!(error.contains(named), "{error}");
}

#[test]
fn all_faults_are_reported_together() {
    let text = EXAMPLE
        .replace("grace_s = 8.0", "grace_s = 0.1")
        .replace("hand_over_ms = 3000", "hand_over_ms = 5");
    let error = RelaySettings::parse(&text).unwrap_err().to_string();
    assert!(
        error.contains("grace_s") && error.contains("hand_over_ms"),
        "{error}"
    );
}

/// Guards against shedding that is on without a setting, and against values that are not passed on.
#[test]
fn late_answers_have_a_value_only_if_the_operators_set_one() {
    assert_eq!(RelaySettings::parse(EXAMPLE).unwrap().shedding, None);
    let text =
        EXAMPLE
            .replacen("# [shedding]", "[shedding]", 1)
            .replacen("# late_worth", "late_worth", 1);
    let worths = RelaySettings::parse(&text)
        .unwrap()
        .shedding
        .unwrap()
        .worths();
    assert_eq!((worths.of(0), worths.of(1), worths.of(2)), (0.2, 0.5, 0.5));
    let text = EXAMPLE.replacen("# [shedding]", "[shedding]", 1);
    let neutral = RelaySettings::parse(&text).unwrap().shedding.unwrap();
    assert_eq!(neutral.worths().of(7), 0.5);
}
