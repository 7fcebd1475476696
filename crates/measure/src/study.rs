//! The list of studies.

use thiserror::Error;

use crate::Report;

/// A measurement that can be repeated.
#[derive(Clone, Copy, Debug)]
pub struct Study {
    /// What it is called on the command line.
    pub name: &'static str,
    /// What it shows, in a sentence.
    pub about: &'static str,
    /// Runs it, once for each seed and policy.
    pub run: fn(seeds: &[u64]) -> Report,
}

/// There is no study of this name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("there is no study `{0}`; `measure --list` names them all")]
pub struct UnknownStudy(pub String);

/// Every study.
///
/// ```
/// assert!(nutmegsail_measure::studies().iter().any(|study| study.name == "steady"));
/// ```
pub fn studies() -> &'static [Study] {
    crate::studies::ALL
}

/// Runs a study, once for each seed and policy.
///
/// # Errors
///
/// If there is no study of this name.
///
/// ```
/// let unknown = nutmegsail_measure::run("no-such-study", &[1]);
/// assert!(unknown.is_err());
/// ```
pub fn run(name: &str, seeds: &[u64]) -> Result<Report, UnknownStudy> {
    let study = studies().iter().find(|study| study.name == name);
    let study = study.ok_or_else(|| UnknownStudy(name.to_owned()))?;
    Ok((study.run)(seeds))
}
