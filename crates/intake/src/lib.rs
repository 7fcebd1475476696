//! Limits on what connections and their requests hold.
//!
//! Decides how many connections each listener of the process may have open, how many bytes all of
//! them may hold, and which connections end when there is no room. It is told when connections open,
//! what they hold and whether their callers keep them waiting. It never ends a request that its
//! caller has sent whole.
//!
//! [`Ledger`] has the decisions; [`Intake`] shares them between threads.

mod body;
mod charge;
mod connection_account;
mod connection_limits;
mod connection_use;
mod intake;
mod ledger;
mod linger;
mod listener_kind;
mod process_limits;
mod room_tally;

pub use body::{BodyError, BodyLimits, collect_body, discard_ready};
pub use charge::Charge;
pub use connection_account::ConnectionAccount;
pub use connection_limits::ConnectionLimits;
pub use connection_use::{AnswerInUse, CONNECTION_BYTES, ConnectionUse};
pub use intake::{Intake, IntakeObserver, IntakeUse};
pub use ledger::{AccountId, Admission, CurrentUse, Evictions, Growth, Ledger, LedgerLimits};
pub use linger::linger;
pub use listener_kind::ListenerKind;
pub use process_limits::{LimitSettings, ProcessLimits};
pub use room_tally::{RoomSummary, RoomTally};
