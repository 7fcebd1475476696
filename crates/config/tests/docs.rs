//! The operators' reference of the text matches the parser.

use nutmegsail_config::{Deployment, FaultKind};

const REFERENCE: &str = include_str!("../../../docs/operators/text.md");

#[test]
fn the_complete_example_of_the_reference_parses() {
    let (_, rest) = REFERENCE.split_once("```toml\n").expect("has an example");
    let (text, _) = rest.split_once("```").expect("the example ends");
    let deployment = Deployment::parse(text, "text.md").unwrap_or_else(|faults| panic!("{faults}"));
    assert_eq!(deployment.services.len(), 2);
}

#[test]
fn the_reference_lists_every_kind_of_fault() {
    for kind in FaultKind::ALL {
        assert!(REFERENCE.contains(&format!("| `{kind}` |")), "{kind}");
        let json = serde_json::to_string(&kind).expect("serialises");
        assert_eq!(json, format!("\"{kind}\""));
    }
}

/// The keys of each section come from the message about an unknown key, which lists the known ones.
#[test]
fn the_reference_lists_every_key() {
    let text = "[deployment]\nxxxx = 1\n[weights]\nxxxx = 1\n[limits]\nxxxx = 1\n\
                [services.a]\nkind = \"engine\"\nxxxx = 1\n[[services.a.calls]]\nxxxx = 1\n";
    let faults = Deployment::parse(text, "t.toml").expect_err("unknown keys");
    let lists = faults
        .0
        .iter()
        .filter_map(|fault| fault.fix.strip_prefix("write one of: "));
    let keys: Vec<&str> = lists.flat_map(|list| list.split(", ")).collect();
    assert!(keys.len() > 30, "{keys:?}");
    for key in keys {
        let is_listed = ["`", ".DOMAIN`"]
            .iter()
            .any(|end| REFERENCE.contains(&format!("| `{key}{end} |")));
        assert!(is_listed || key == "calls", "{key}");
    }
}
