//! `nutmegsail measure`: the policy against baselines.

use std::fmt;
use std::path::{Path, PathBuf};

use nutmegsail_measure::{Report, report_page, run, studies};
use serde::Serialize;

use crate::{CommandError, ExitCode, Output};

/// The seeds of a run that names none: enough for a median and a spread.
pub const DEFAULT_SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

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

/// The studies that can be run.
#[derive(Clone, Debug, Serialize)]
struct StudyList {
    studies: Vec<StudyLine>,
}

#[derive(Clone, Debug, Serialize)]
struct StudyLine {
    name: &'static str,
    about: &'static str,
}

impl fmt::Display for StudyList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let width = self
            .studies
            .iter()
            .map(|study| study.name.len())
            .max()
            .unwrap_or(0);
        let lines = self.studies.iter().map(|study| {
            format!(
                "{name:<width$}  {about}",
                name = study.name,
                about = study.about
            )
        });
        f.write_str(&lines.collect::<Vec<_>>().join("\n"))
    }
}

/// Runs a study, or lists them all.
///
/// # Errors
///
/// [`CommandError::Usage`] if no study of this name is there, [`CommandError::File`] if the page of
/// results cannot be written.
pub fn measure(
    request: &MeasureRequest,
    output: &mut Output<'_>,
) -> Result<ExitCode, CommandError> {
    let Some(study) = request.study.as_deref().filter(|_| !request.is_list) else {
        let lines = studies().iter().map(|study| StudyLine {
            name: study.name,
            about: study.about,
        });
        output.print(&StudyList {
            studies: lines.collect(),
        });
        return Ok(ExitCode::Done);
    };
    let seeds = request
        .seed
        .map_or_else(|| DEFAULT_SEEDS.to_vec(), |seed| vec![seed]);
    output.progress(&format!("measuring {study} with the seeds {seeds:?}"));
    let report = run(study, &seeds).map_err(|error| CommandError::Usage(error.to_string()))?;
    output.print(&report);
    if let Some(path) = &request.report {
        write_page(&report, path)?;
        output.progress(&format!("wrote {}", path.display()));
    }
    Ok(ExitCode::Done)
}

fn write_page(report: &Report, path: &Path) -> Result<(), CommandError> {
    std::fs::write(path, report_page(report)).map_err(|error| CommandError::File {
        path: path.display().to_string(),
        why: error.to_string(),
    })
}
