//! What nodes and lenders tell each other.

use nutmegsail_base::TeamName;
use serde::{Deserialize, Serialize};

/// Tells the asks of one sender apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AskId(pub u64);

/// An ask for tokens of a team's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Which ask.
    pub id: AskId,
    /// The team.
    pub team: TeamName,
    /// Tokens without which the ask is of no use.
    pub need_tokens: u32,
    /// Tokens beyond that, if there are plenty.
    pub extra_tokens: u32,
}

/// The answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lent {
    /// The ask.
    pub id: AskId,
    /// The team.
    pub team: TeamName,
    /// Tokens that are lent: none, or what is needed and more.
    pub tokens: u32,
    /// When tokens will be there for whoever got none, in milliseconds.
    pub wait_ms: u32,
}

/// A message about quotas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// From a node to a lender.
    Ask(Ask),
    /// From a lender to a lender of another failure domain.
    LenderAsk(Ask),
    /// From a lender to the node that asked.
    Lent(Lent),
    /// From a lender to the lender that asked.
    LenderLent(Lent),
}
