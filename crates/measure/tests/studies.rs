//! The studies can be run and repeated.

use nutmegsail_measure::{run, studies};
use rstest::rstest;

#[rstest]
#[case::without_loads("retries")]
#[case::with_loads("weights-turned")]
fn a_study_gives_the_same_figures_for_the_same_seeds(#[case] study: &str) {
    let first = run(study, &[3]).unwrap();
    let second = run(study, &[3]).unwrap();

    assert_eq!(first, second);
}

#[test]
fn every_study_has_its_own_name() {
    let mut names: Vec<_> = studies().iter().map(|study| study.name).collect();
    names.sort_unstable();
    names.dedup();

    assert_eq!(names.len(), studies().len());
}

#[test]
fn second_sends_stay_within_a_fifth_of_first_sends() {
    let report = run("retries", &[3]).unwrap();
    let ours = report
        .rows
        .iter()
        .filter(|row| row.policy.starts_with("nutmegsail"));

    let worst = ours
        .filter_map(|row| row.median("retries_per_request"))
        .fold(0.0, f64::max);

    assert!(worst > 0.0 && worst <= 0.2, "{worst}");
}
