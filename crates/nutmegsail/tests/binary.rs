//! The built program: its exit codes and streams as a script sees them.

use std::process::{Command, Output};

fn nutmegsail(args: &[&str]) -> Output {
    let program = env!("CARGO_BIN_EXE_nutmegsail");
    let mut command = Command::new(program);
    command.args(args).output().expect("the program runs")
}

fn example(name: &str) -> String {
    format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"))
}

#[rstest::rstest]
#[case::help(&["--help"], 0)]
#[case::usage(&["frob"], 2)]
#[case::no_node(&["drain", "--node", "127.0.0.1:1"], 7)]
#[case::no_platform(&["diff", "--platform", "127.0.0.1:1", "-"], 2)]
fn the_program_exits_as_documented(#[case] args: &[&str], #[case] expected: i32) {
    assert_eq!(nutmegsail(args).status.code(), Some(expected));
}

#[rstest::rstest]
#[case("jm-west.toml")]
#[case("mu-north.toml")]
fn the_examples_are_sound(#[case] name: &str) {
    let ran = nutmegsail(&["--json", "check", &example(name)]);
    assert_eq!(ran.status.code(), Some(0));
    let json: serde_json::Value = serde_json::from_slice(&ran.stdout).unwrap();
    assert_eq!(json["adapters"], 3000);
}

#[test]
fn results_and_failures_go_to_streams_of_their_own() {
    let faulty = nutmegsail(&["check", &example("../Cargo.toml")]);
    assert_eq!(faulty.status.code(), Some(1));
    assert!(faulty.stdout.is_empty());
    assert!(String::from_utf8_lossy(&faulty.stderr).contains("NS5001"));
    let platform = nutmegsail(&[
        "diff",
        "--platform",
        "127.0.0.1:1",
        &example("jm-west.toml"),
    ]);
    assert_eq!(platform.status.code(), Some(5));
    assert!(String::from_utf8_lossy(&platform.stderr).starts_with("NS6001: "));
}

/// Scripts branch on the exit codes, so the page, the help and the program must not drift apart.
#[test]
fn the_exit_codes_are_documented() {
    let page = include_str!("../../../docs/operators/command-line.md");
    let help = nutmegsail(&["--help"]);
    let help = String::from_utf8_lossy(&help.stdout).into_owned();
    for code in 0..=7 {
        assert!(
            page.contains(&format!("| {code} |")),
            "exit code {code} on the page"
        );
        assert!(
            help.contains(&format!(" {code} ")),
            "exit code {code} in the help"
        );
    }
}
