//! Why an adapter was not loaded into an engine.

use derive_more::{Display, From};
use nutmegsail_relay::LoadRefusal;
use serde::{Deserialize, Serialize};

/// Why an adapter was not loaded into an engine.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, From, Serialize, Deserialize)]
pub(crate) enum LoadFailure {
    /// The engine is no longer listed, or its service is no longer configured.
    #[display("the engine is gone")]
    EngineGone,
    /// This node does not own the engine.
    #[display("the engine is not owned here")]
    NotOwned,
    /// The ownership is too new or could not be confirmed.
    #[display("orders are not permitted now")]
    NotPermitted,
    /// The engine is busy with, or has just refused, another order.
    #[display("the engine takes no orders now")]
    Blocked,
    /// The engine holds an older version that is in use.
    #[display("an older version is in use there")]
    OlderInUse,
    /// The engine's report could not be read.
    #[display("the engine's report could not be read")]
    NoReport,
    /// The queued load was refused before it was ordered.
    #[display("{_0}")]
    #[from]
    NoTurn(LoadRefusal),
    /// The engine refused the order.
    #[display("the engine refused the order")]
    Refused,
    /// All orders remained without an answer.
    #[display("orders had no answer")]
    NoAnswer,
    /// The load took too long or failed.
    #[display("the load did not finish")]
    Unfinished,
    /// The engine's owner did not answer.
    #[display("the owner did not answer")]
    NoOwnerAnswer,
}
