//! Class and deadline are inherited along the dependency graph.

use std::time::Duration;

use nutmegsail_base::{CallName, Class, ServiceName};
use nutmegsail_config::{Deployment, InheritanceError};

/// portal (urgent) -> desk -> scribe, and portal -> scribe; archive -> scribe.
fn chain() -> Deployment {
    let mut text = "deployment = { name = \"chain\", failure_domains = [\"hall\"] }\n".to_owned();
    let services = [
        ("portal", "urgent", 5_000, 100, "[\"scribe\", \"desk\"]"),
        ("desk", "routine", 4_000, 300, "[\"scribe\"]"),
        ("scribe", "routine", 60_000, 800, "[]"),
        ("archive", "routine", 90_000, 50, "[\"scribe\"]"),
    ];
    for (at, (name, class, deadline, target, depends_on)) in services.into_iter().enumerate() {
        text += &format!(
            "[services.{name}]\nkind = \"plain\"\nclass = \"{class}\"\ndeadline_ms = {deadline}\n\
             target_ms = {target}\ndepends_on = {depends_on}\nupstreams.hall = [\"10.0.0.{at}:1\"]\n"
        );
    }
    Deployment::parse(&text, "chain.toml").unwrap_or_else(|faults| panic!("{faults}"))
}

#[test]
fn a_call_on_behalf_of_an_urgent_service_is_urgent_and_gets_the_deadline_left_by_the_longest_chain()
{
    let inherited = chain()
        .on_behalf_of(&ServiceName::from("portal"), &ServiceName::from("scribe"))
        .expect("portal depends on scribe");
    assert_eq!(inherited.class, Class::Urgent);
    assert_eq!(inherited.deadline, Duration::from_millis(5_000 - 100 - 300));
    insta::assert_snapshot!(inherited.derivation, @r#"
scribe
  declared: routine, deadline 60000 ms, target 800 ms
  on behalf of portal: urgent, deadline 5000 ms
  through portal (urgent): spends its target of 100 ms, 4900 ms left
  through desk (routine): spends its target of 300 ms, 4600 ms left
  so: urgent, deadline 4600 ms, target 800 ms, slack 3800 ms
"#);
}

#[test]
fn a_call_on_behalf_of_a_routine_service_stays_routine() {
    let inherited = chain()
        .on_behalf_of(&ServiceName::from("archive"), &ServiceName::from("scribe"))
        .expect("archive depends on scribe");
    assert_eq!(inherited.class, Class::Routine);
    assert_eq!(inherited.deadline, Duration::from_secs(60));
}

#[test]
fn inheriting_from_a_service_that_does_not_depend_on_the_called_one_is_an_error() {
    let (caller, callee) = (ServiceName::from("scribe"), ServiceName::from("portal"));
    let error = chain()
        .on_behalf_of(&caller, &callee)
        .expect_err("the graph goes the other way");
    assert_eq!(error, InheritanceError::NotADependency { caller, callee });
}

#[test]
fn explain_shows_the_slack_and_what_each_caller_would_pass_down() {
    let text = include_str!("../../../examples/jm-west.toml");
    let deployment = Deployment::parse(text, "jm-west.toml").expect("the example is valid");
    let (desk, scribe) = (
        ServiceName::from("spa-desk"),
        ServiceName::from("spa-scribe"),
    );
    let confirm = CallName::from("booking-confirm");
    let derivation = deployment.explain(&desk, Some(&confirm)).expect("listed");
    insta::assert_snapshot!(derivation, @r#"
spa-desk / booking-confirm
  declared: urgent, deadline 3000 ms, target 200 ms
  below it: spa-scribe, targets of 800 ms
  so: urgent, deadline 3000 ms, target 200 ms, slack 2000 ms
"#);
    let note = CallName::from("followup-note");
    let derivation = deployment.explain(&scribe, Some(&note)).expect("listed");
    insta::assert_snapshot!(derivation, @r#"
spa-scribe / followup-note
  declared: routine, deadline 60000 ms, target 800 ms
  called on behalf of spa-desk it would be urgent, deadline 2800 ms
  so: routine, deadline 60000 ms, target 800 ms, slack 59200 ms
"#);
    insta::assert_snapshot!(serde_json::to_string_pretty(&derivation).expect("serialises"), @r#"
{
  "service": "spa-scribe",
  "call": "followup-note",
  "steps": [
    {
      "step": "declared",
      "class": "routine",
      "deadline_ms": 60000,
      "target_ms": 800
    },
    {
      "step": "would_inherit",
      "service": "spa-desk",
      "class": "urgent",
      "deadline_ms": 2800
    }
  ],
  "class": "routine",
  "deadline_ms": 60000,
  "target_ms": 800,
  "slack_ms": 59200
}
"#);
}
