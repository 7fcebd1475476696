//! The settings of a node.

use nutmegsail_front::FrontSettings;
use nutmegsail_membership::MembershipSettings;
use nutmegsail_node::{ControlSettings, NodeSettings};
use nutmegsail_telemetry::TelemetrySettings;

const EXAMPLE: &str = include_str!("../../../examples/node.toml");

#[test]
fn the_documented_example_shows_every_default() {
    let settings = NodeSettings::parse(EXAMPLE).expect("the example is valid");
    let front = FrontSettings::default()
        .with_callers_address(([127, 0, 0, 1], 8080).into())
        .with_operators_address(([127, 0, 0, 1], 8081).into());
    assert_eq!(settings.front, front);
    assert_eq!(settings.membership, MembershipSettings::default());
    assert_eq!(settings.control, ControlSettings::default());
    assert_eq!(settings.telemetry, TelemetrySettings::default());
}

#[test]
fn all_faults_are_reported_at_once() {
    let text = EXAMPLE
        .replace("tick_ms = 20", "tick_ms = 0")
        .replace("sampled_share = 0.01", "sampled_share = 2.0")
        .replace("traffic_threads = 2", "traffic_threads = 0")
        .replace("\"127.0.0.1:7401\"", "\"nowhere\"")
        .replace(
            "unreachable_after_ms = 5000\nremoved",
            "unreachable_after_ms = 1\nremoved",
        );
    let faults = NodeSettings::parse(&text).expect_err("faults").faults;
    let keys: Vec<_> = faults.iter().map(|fault| fault.key.as_str()).collect();
    assert_eq!(
        keys,
        [
            "telemetry",
            "membership",
            "traffic_threads",
            "control.tick_ms",
            "seeds"
        ]
    );
}

#[test]
fn an_unknown_key_is_named_with_its_place() {
    let text = EXAMPLE.replace("tick_ms = 20", "tick_s = 1");
    let faults = NodeSettings::parse(&text).expect_err("faults").to_string();
    assert!(faults.contains("unknown field `tick_s`"), "{faults}");
    assert!(faults.contains("line"), "{faults}");
}
