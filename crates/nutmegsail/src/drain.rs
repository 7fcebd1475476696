//! `nutmegsail drain`: let a node finish what is in progress and leave.

use derive_more::Display;
use serde::Serialize;

use crate::{CommandError, NodeClient};

/// A node that has begun to leave.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{address}: is leaving; requests in progress are finished first")]
pub struct DrainReport {
    /// The node's operators' listener.
    pub address: String,
}

/// Tells the node at `address` to finish what is in progress and leave. Saying it twice does no harm.
///
/// # Errors
///
/// The node cannot be reached, or refuses.
pub async fn drain(address: String) -> Result<DrainReport, CommandError> {
    let client = NodeClient::default();
    client.post(&address, "/operators/drain").await?;
    Ok(DrainReport { address })
}
