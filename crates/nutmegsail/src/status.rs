//! `nutmegsail status`: what do nodes know?

use crate::{CommandError, ExitCode, FleetStatus, NodeClient, Output};

/// Asks every node of `addresses` and prints what they say.
///
/// # Errors
///
/// No node was named. A node without an answer is printed with the others and shows in the exit
/// code.
pub async fn status(
    addresses: &[String],
    output: &mut Output<'_>,
) -> Result<ExitCode, CommandError> {
    if addresses.is_empty() {
        let usage = "name at least one node: `nutmegsail status --node HOST:PORT`";
        return Err(CommandError::Usage(usage.to_owned()));
    }
    let fleet = FleetStatus::ask(&NodeClient::default(), addresses).await;
    output.print(&fleet);
    let first = fleet.unanswered.first();
    Ok(first.map_or(ExitCode::Done, |node| node.error.exit_code()))
}
