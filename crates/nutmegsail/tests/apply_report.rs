//! When a text counts as in force everywhere, from what nodes say.

use nutmegsail::{ApplyReport, CommandError, FleetStatus, Unanswered};
use nutmegsail_base::{FailureDomain, NodeId};
use nutmegsail_config::{Accepted, Digest, Generation};
use nutmegsail_membership::{DomainStatus, StatusReport};
use rstest::rstest;

/// The text that was applied.
const APPLIED: u64 = 5;

fn domain(name: &str, at_generation: &[(u64, u32)]) -> DomainStatus {
    DomainStatus {
        failure_domain: FailureDomain::from(name),
        nodes: 3,
        at_generation: at_generation.iter().copied().collect(),
        unreachable: Vec::new(),
    }
}

fn node(generation: u64, digest: &str) -> StatusReport {
    StatusReport {
        node: NodeId::from("hall-1"),
        failure_domain: FailureDomain::from("hall"),
        generation,
        digest: digest.into(),
        is_ready: true,
        is_leaving: false,
        domains: Vec::new(),
    }
}

/// Two failure domains whose nodes all run the text.
fn everywhere() -> FleetStatus {
    FleetStatus {
        nodes: vec![node(APPLIED, "applied")],
        domains: vec![
            domain("hall", &[(APPLIED, 3)]),
            domain("cove", &[(APPLIED, 3)]),
        ],
        unanswered: Vec::new(),
    }
}

fn is_in_force(fleet: FleetStatus) -> bool {
    let mut report = ApplyReport::new(Accepted {
        generation: Generation(APPLIED),
        digest: Digest("applied".into()),
        is_new: true,
    });
    report.see(fleet, &["hall".into(), "cove".into()]);
    report.is_in_force
}

fn one_behind(mut fleet: FleetStatus) -> FleetStatus {
    fleet.domains[1] = domain("cove", &[(APPLIED - 1, 1), (APPLIED, 2)]);
    fleet
}

fn one_unseen(mut fleet: FleetStatus) -> FleetStatus {
    fleet.domains[1] = domain("cove", &[(APPLIED, 2)]);
    fleet
}

fn one_unreachable(mut fleet: FleetStatus) -> FleetStatus {
    fleet.domains[1].unreachable.push(NodeId::from("cove-3"));
    fleet
}

fn one_domain_silent(mut fleet: FleetStatus) -> FleetStatus {
    fleet.domains.pop();
    fleet
}

fn one_without_answer(mut fleet: FleetStatus) -> FleetStatus {
    fleet.unanswered.push(Unanswered {
        address: "127.0.0.1:1".to_owned(),
        code: None,
        why: "refused".to_owned(),
        error: CommandError::NoTextAccepted,
    });
    fleet
}

/// A copy of the store was restored and another text bears the same number.
fn one_with_another_text(mut fleet: FleetStatus) -> FleetStatus {
    fleet.nodes.push(node(APPLIED, "other"));
    fleet
}

#[rstest]
#[case::behind(one_behind)]
#[case::unseen(one_unseen)]
#[case::unreachable(one_unreachable)]
#[case::silent(one_domain_silent)]
#[case::no_answer(one_without_answer)]
#[case::another_text(one_with_another_text)]
fn one_node_in_doubt_is_not_everywhere(#[case] doubt: fn(FleetStatus) -> FleetStatus) {
    assert!(is_in_force(everywhere()));
    assert!(!is_in_force(doubt(everywhere())));
}

#[test]
fn a_later_text_stands_for_the_applied_one() {
    let mut fleet = everywhere();
    fleet.domains[1] = domain("cove", &[(APPLIED, 1), (APPLIED + 1, 2)]);
    fleet.nodes.push(node(APPLIED + 1, "later"));
    assert!(is_in_force(fleet));
}
