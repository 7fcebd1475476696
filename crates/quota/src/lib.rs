//! Teams' quotas over all nodes.
//!
//! Decides how many tokens of a team's quota a node may spend. A [`Lender`] in each failure domain
//! fills a bucket with its part of the rate and lends from it; an [`Account`] at each node holds
//! what was borrowed until it is spent or expires. Told quotas, asks and the time; it does no I/O
//! and reads no clock. It answers teams that send more than their quota, from any node, also while
//! failure domains are cut off from each other.
//!
//! The sum of what all nodes spend in a window stays within [`QuotaBounds::window_limit`]: each
//! token is created by one lender, is lent once, and expires where it is not spent.

mod account;
mod bucket;
mod lender;
mod message;
mod quota;

pub use account::{Account, Reservation};
pub use lender::{FirstFill, Lender};
pub use message::{Ask, AskId, Lent, QuotaMessage};
pub use quota::{GRANT_LIFE, Quota, QuotaBounds, Quotas};
