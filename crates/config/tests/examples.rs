//! The example texts parse, and a text of the size expected in two years stays far below the limit.

use std::fmt::Write as _;

use nutmegsail_base::{AdapterRef, CallName, Class, ServiceName};
use nutmegsail_config::{AdapterLookup, Deployment, MAX_TEXT_BYTES, OperatorsText, ServiceKind};
use rstest::rstest;

#[rstest]
#[case::jm_west("jm-west", include_str!("../../../examples/jm-west.toml"), 3, [12, 3])]
#[case::mu_north("mu-north", include_str!("../../../examples/mu-north.toml"), 4, [12, 4])]
fn an_example_has_the_size_of_todays_deployment(
    #[case] name: &str,
    #[case] text: &str,
    #[case] domains: usize,
    #[case] servers: [usize; 2],
) {
    let deployment = Deployment::parse(text, name).unwrap_or_else(|faults| panic!("{faults}"));
    assert_eq!(deployment.name, name);
    assert_eq!(deployment.failure_domains.len(), domains);
    assert_eq!(deployment.services.len(), 2);
    for service in deployment.services.values() {
        let expected = match &service.kind {
            ServiceKind::Engine { adapters, .. } => {
                assert_eq!(adapters.entries.len(), 3_000);
                servers[0]
            }
            ServiceKind::Plain => servers[1],
        };
        assert_eq!(service.upstreams.len(), expected);
    }
}

#[test]
fn a_once_only_call_is_not_idempotent_and_a_get_is_by_default() {
    let text = include_str!("../../../examples/jm-west.toml").replace("idempotent = true", "");
    let deployment = Deployment::parse(&text, "jm-west.toml").expect("the example is valid");
    let desk = &deployment.services[&ServiceName::from("spa-desk")];
    let call = |name| {
        let name = CallName::from(name);
        desk.calls
            .iter()
            .find(|call| call.name == name)
            .expect("listed")
    };
    assert!(call("booking-confirm").once_only && !call("booking-confirm").idempotent);
    assert!(call("slot-lookup").idempotent);
    assert_eq!(call("slot-lookup").class, Class::Urgent);
}

#[test]
fn a_text_with_11_000_adapters_on_750_servers_stays_below_a_tenth_of_the_limit() {
    let text = two_year_text();
    assert!(text.len() * 10 < MAX_TEXT_BYTES, "{} bytes", text.len());
    let deployment = Deployment::parse(&text, "large.toml").unwrap_or_else(|f| panic!("{f}"));
    let servers: usize = deployment
        .services
        .values()
        .map(|s| s.upstreams.len())
        .sum();
    assert_eq!(servers, 750);
    let found = deployment.find_adapter(&AdapterRef::new("style-3-02750", 2));
    assert!(matches!(found, AdapterLookup::Found(service) if service.name.as_str() == "scribe-3"));
    let found = deployment.find_adapter(&AdapterRef::new("style-3-02751", 2));
    assert_eq!(found, AdapterLookup::UnknownAdapter);
}

#[test]
fn a_text_that_lists_11_000_names_without_a_pattern_stays_below_the_limit() {
    let names: Vec<String> = (0..11_000)
        .map(|n| format!("  \"client-{n:05}-house-style\""))
        .collect();
    let include = format!(
        "adapters = [{{ names = [\n{}\n], versions = [1] }}]\n",
        names.join(",\n")
    );
    let main = two_year_text().replacen(
        "adapters = [{ names = \"style-0-{00001..02750}\", versions = [1, 2] }]",
        "include = \"clients.toml\"",
        1,
    );
    let text = OperatorsText::new("large.toml", main).include("clients.toml", include);
    let deployment = Deployment::parse_text(&text).unwrap_or_else(|f| panic!("{f}"));
    let found = deployment.find_adapter(&AdapterRef::new("client-10999-house-style", 1));
    assert!(matches!(found, AdapterLookup::Found(_)));
    assert!(text.bytes() < MAX_TEXT_BYTES, "{} bytes", text.bytes());
}

/// A text of the size expected in two years: six failure domains, four engine services of 150
/// servers and 2,750 adapters each, and one plain service of 150 servers.
fn two_year_text() -> String {
    let mut text = "[deployment]\nname = \"two-years\"\nfailure_domains = [".to_owned();
    for domain in 0..6 {
        write!(text, "\"hall-{domain}\", ").expect("writes to a string");
    }
    text.push_str("]\n");
    for service in 0..5 {
        write!(text, "\n[services.scribe-{service}]\ndeadline_ms = 60000\n").expect("writes");
        if service == 4 {
            text.push_str("kind = \"plain\"\n");
        } else {
            text.push_str("kind = \"engine\"\nbase_model = \"base\"\nchecks_fencing = true\n");
            let names = format!("style-{service}-{{00001..02750}}");
            writeln!(
                text,
                "adapters = [{{ names = \"{names}\", versions = [1, 2] }}]"
            )
            .expect("writes");
        }
        writeln!(text, "[services.scribe-{service}.upstreams]").expect("writes");
        for domain in 0..6 {
            let address = |n| format!("\"10.{domain}.{service}.{n}:9000\"");
            let servers: Vec<String> = (1..=25).map(address).collect();
            writeln!(text, "hall-{domain} = [{}]", servers.join(", ")).expect("writes");
        }
    }
    text
}
