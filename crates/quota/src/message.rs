//! Messages between nodes and lenders.

use nutmegsail_base::TeamName;
use serde::{Deserialize, Serialize};

/// Identifies one of a sender's requests for tokens, so that the reply can be matched to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LoanId(pub u64);

/// A request to borrow tokens of a team's quota.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Identifies the request; the reply carries it too.
    pub id: LoanId,
    /// The team whose tokens are requested.
    pub team: TeamName,
    /// Tokens needed now. A node is lent all of them or none; another lender may be lent a part.
    pub need_tokens: u32,
    /// Tokens for later requests, lent in addition only if the bucket can spare them.
    pub extra_tokens: u32,
}

/// The reply to a [`LoanRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReply {
    /// The id of the request.
    pub id: LoanId,
    /// The team whose tokens were requested.
    pub team: TeamName,
    /// Tokens lent; zero if the lender has too few.
    pub tokens: u32,
    /// If no tokens were lent to a node: when to ask again, in milliseconds from now.
    pub wait_ms: u32,
}

/// A message about quotas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Node to lender: a request for tokens.
    LoanRequest(LoanRequest),
    /// Lender to the lender of another failure domain: a request for tokens.
    LenderLoanRequest(LoanRequest),
    /// Lender to node: the reply to its request.
    LoanReply(LoanReply),
    /// Lender to lender: the reply to its request.
    LenderLoanReply(LoanReply),
}
