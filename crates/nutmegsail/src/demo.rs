//! `nutmegsail demo`: the product at work against nodes that `scripts/demo` starts.

use crate::{CommandError, ExitCode, Output};

/// Runs the demonstration.
///
/// # Errors
///
/// The demonstration is not part of this build.
pub async fn demo(_args: &[String], _output: &mut Output<'_>) -> Result<ExitCode, CommandError> {
    let usage = "`demo` is not part of this build";
    Err(CommandError::Usage(usage.to_owned()))
}
