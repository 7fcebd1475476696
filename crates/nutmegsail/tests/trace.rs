//! One request's story, from logs.

use std::path::PathBuf;

use nutmegsail::{CommandError, trace};

const NODE_1: &str = r#"
  0.1 node-1 {"msg":"NodeStarted","level":"INFO","ts":"2026-03-30T17:43:40.000Z","event":"NE1001"}
{"msg":"LoadFailed","level":"WARN","ts":"2026-03-30T17:43:44.100Z","upstream":"i-1","model":"base/a7","why":"too many loads wait there","event":"NE3008"}
{"msg":"LoadFailed","level":"WARN","ts":"2026-03-30T17:43:44.200Z","upstream":"i-1","model":"base/a8","why":"too many loads wait there","event":"NE3008"}
{"msg":"RequestRefused","level":"INFO","ts":"2026-03-30T17:43:44.300Z","request":"r1","model":"base/a7","code":"NS3006","event":"NE2001"}
{"msg":"RequestRefused","level":"INFO","ts":"2026-03-30T17:43:44.310Z","request":"r2","model":"base/a8","code":"NS3006","event":"NE2001"}
{"msg":"RequestRef"#;

const NODE_2: &str = r#"
{"msg":"LoadOrdered","level":"INFO","ts":"2026-03-30T17:43:44.050Z","upstream":"i-1","order":"Load(ModelRef { model: \"base\", adapter: Some(AdapterName(\"a7\")) }, None)","event":"NE3006"}
"#;

fn logs() -> (tempfile::TempDir, Vec<PathBuf>) {
    let folder = tempfile::tempdir().expect("a folder");
    let texts = [("node-1", NODE_1), ("node-2", NODE_2)];
    let paths = texts.map(|(name, text)| {
        let path = folder.path().join(name);
        std::fs::write(&path, text).expect("a log");
        path
    });
    (folder, paths.to_vec())
}

// An editor complains of a pass that was refused. The story has the request's own lines and those of
// its adapter, of both nodes and in the order of time, and nothing of other requests.
#[test]
fn a_request_is_followed_over_the_logs_of_several_nodes() {
    let (folder, logs) = logs();
    let report = trace("r1", &logs).expect("a story");
    let text = report
        .to_string()
        .replace(&folder.path().display().to_string(), "");
    insta::assert_snapshot!(text, @r#"
    request r1
      2026-03-30T17:43:44.050Z /node-2 NE3006 LoadOrdered order=Load(ModelRef { model: "base", adapter: Some(AdapterName("a7")) }, None) upstream=i-1
      2026-03-30T17:43:44.100Z /node-1 NE3008 LoadFailed model=base/a7 upstream=i-1 why=too many loads wait there
    * 2026-03-30T17:43:44.300Z /node-1 NE2001 RequestRefused code=NS3006 model=base/a7 request=r1
    * of the request itself; the others tell of what it waited for
    1 lines could not be read
    "#);
}

#[test]
fn an_id_that_no_log_has_is_a_clear_error() {
    let (_folder, logs) = logs();
    let error = trace("r9", &logs).expect_err("no such request");
    assert_eq!(
        error,
        CommandError::NotInLogs {
            request: "r9".to_owned(),
            unreadable: 1
        }
    );
    insta::assert_snapshot!(error, @"no line of the request `r9` is in these logs; 1 lines could not be read");
}

#[test]
fn a_log_that_is_not_there_is_a_clear_error() {
    let error = trace("r1", &[PathBuf::from("/nowhere/node.log")]).expect_err("no such file");
    assert!(error.to_string().contains("/nowhere/node.log"));
}
