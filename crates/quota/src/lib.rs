//! Team quotas across all nodes.
//!
//! Decides how many tokens of a team's quota a node may spend. Each failure domain has one
//! [`Lender`] with a token bucket per team, which refills at the domain's share of the team's rate.
//! Nodes borrow tokens from it, and an [`Account`] on each node holds them until a request spends
//! them or they expire. The caller passes in quotas, messages and the current time: this crate does
//! no I/O and reads no clock. Teams are limited whichever nodes they send to, also while failure
//! domains are cut off from each other.
//!
//! In any window all nodes together spend at most [`QuotaBounds::window_limit`] tokens: each token
//! is created by one lender, is never counted twice, and expires if it is not spent.

mod account;
mod bucket;
mod lender;
mod message;
mod quota;

pub use account::{Account, Reservation};
pub use lender::{InitialFill, Lender};
pub use message::{LoanId, LoanReply, LoanRequest, QuotaMessage};
pub use quota::{LOAN_TTL, Quota, QuotaBounds, Quotas};
