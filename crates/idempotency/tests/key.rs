//! Which keys are valid, and when a key is too old or from the future.

use std::time::{Duration, SystemTime};

use nutmegsail_idempotency::{IdempotencyKey, KeyError};
use rstest::rstest;

const UUID: &str = "018bcfe5-6800-7000-8000-000000000001";

#[rstest]
#[case::empty("", KeyError::Missing)]
#[case::blank("  ", KeyError::Missing)]
#[case::word("booking-17", KeyError::Malformed)]
#[case::version_4("9f3c1c7a-3b0e-4c56-9d5c-0123456789ab", KeyError::Malformed)]
#[case::no_hyphens("018bcfe568007000800000000000000100000", KeyError::Malformed)]
#[case::braces("{018bcfe5-6800-7000-8000-00000000000}", KeyError::Malformed)]
#[case::ticket_without_node("ticket..7.018bcfe5-6800-7000-8000-000000000001", KeyError::Malformed)]
#[case::ticket_without_incarnation(
    "ticket.n.018bcfe5-6800-7000-8000-000000000001",
    KeyError::Malformed
)]
#[case::ticket_with_leading_zero(
    "ticket.n.07.018bcfe5-6800-7000-8000-000000000001",
    KeyError::Malformed
)]
fn invalid_keys_are_rejected(#[case] text: &str, #[case] error: KeyError) {
    assert_eq!(IdempotencyKey::parse(text), Err(error));
}

#[test]
fn upper_and_lower_case_are_the_same_key() {
    let upper = UUID.to_uppercase();
    assert_eq!(IdempotencyKey::parse(&upper), IdempotencyKey::parse(UUID));
}

#[test]
fn ticket_node_names_may_contain_dots() {
    let text = format!("ticket.vm-3.negril.12.{UUID}");
    let key = IdempotencyKey::parse(&text).unwrap();
    assert_eq!(key.ticket().unwrap().node.as_str(), "vm-3.negril");
    assert_eq!(key.to_string(), text);
}

#[rstest]
#[case::fresh(0, Ok(()))]
#[case::last_moment(3600, Ok(()))]
#[case::past_retention(3601, Err(KeyError::TooOld))]
#[case::ahead_within_skew(-30, Ok(()))]
#[case::too_far_ahead(-31, Err(KeyError::FromFuture))]
fn keys_too_old_or_from_the_future_are_rejected(
    #[case] age_s: i64,
    #[case] verdict: Result<(), KeyError>,
) {
    let key = IdempotencyKey::parse(UUID).unwrap();
    let issued = SystemTime::UNIX_EPOCH + Duration::from_millis(key.issued_unix_ms());
    let wall = if age_s < 0 {
        issued - Duration::from_secs(age_s.unsigned_abs())
    } else {
        issued + Duration::from_secs(age_s.unsigned_abs())
    };
    let checked = key.check_age(Duration::from_secs(3600), Duration::from_secs(30), wall);
    assert_eq!(checked, verdict);
}
