//! Types shared by all crates of nutmegsail: names, the clock, result codes and the status reports
//! of engines.
//!
//! This crate holds no logic beyond these types and does no I/O. Start at [`AdapterRef`] for what
//! callers request, [`ResultCode`] for the results that they receive, and [`Clock`] for how time is
//! passed in.

mod adapter_ref;
mod class;
mod clock;
mod engine_report;
mod names;
mod result_code;
mod run_state;
mod store_era;
mod store_number;

pub use adapter_ref::{AdapterRef, AdapterRefError};
pub use class::Class;
pub use clock::{Clock, ManualClock, SystemClock};
pub use engine_report::{AdapterState, EngineReport, HeldAdapter};
pub use names::{
    AdapterName, AdapterVersion, CallName, CallerId, FailureDomain, Incarnation, NodeId, RequestId,
    ServiceName, TeamName, UpstreamId,
};
pub use result_code::ResultCode;
pub use run_state::RunState;
pub use store_era::StoreEra;
pub use store_number::StoreNumber;
