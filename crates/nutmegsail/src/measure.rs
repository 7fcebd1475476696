//! `nutmegsail measure`: the policy against baselines.

use std::path::PathBuf;

use crate::{CommandError, ExitCode, Output};

/// What to measure.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MeasureRequest {
    /// The study to run.
    pub study: Option<String>,
    /// Whether only to list the studies.
    pub is_list: bool,
    /// The only seed to run.
    pub seed: Option<u64>,
    /// Where to write a page of results.
    pub report: Option<PathBuf>,
}

/// Runs a study.
///
/// # Errors
///
/// The studies are not part of this build.
pub fn measure(
    _request: &MeasureRequest,
    _output: &mut Output<'_>,
) -> Result<ExitCode, CommandError> {
    let usage = "`measure` is not part of this build";
    Err(CommandError::Usage(usage.to_owned()))
}
