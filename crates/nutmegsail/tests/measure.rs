//! `nutmegsail measure`.

use nutmegsail::{ExitCode, MeasureRequest, Output, measure};

fn run(request: &MeasureRequest) -> (Result<ExitCode, nutmegsail::CommandError>, String) {
    let (mut results, mut messages) = (Vec::new(), Vec::new());
    let mut output = Output::new(&mut results, &mut messages);
    let code = measure(request, &mut output);
    (code, String::from_utf8(results).expect("UTF-8"))
}

#[test]
fn the_studies_are_listed() {
    let (code, listed) = run(&MeasureRequest {
        is_list: true,
        ..MeasureRequest::default()
    });
    assert_eq!(code, Ok(ExitCode::Done));
    for study in nutmegsail_measure::studies() {
        assert!(listed.contains(study.name), "{listed}");
    }
}

#[test]
fn an_unknown_study_is_refused_with_where_to_look() {
    let request = MeasureRequest {
        study: Some("no-such".to_owned()),
        ..MeasureRequest::default()
    };
    let (code, _) = run(&request);
    let error = code.expect_err("no such study").to_string();
    assert!(error.contains("measure --list"), "{error}");
}
