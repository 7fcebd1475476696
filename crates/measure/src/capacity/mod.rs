//! Bytes, messages and store calls of the control side at several sizes of the fleet.
//!
//! Small loops over the pure cores on a clock that moves only when told to: membership and claims.
//! What needs no clock, such as the size of a message, is encoded and counted.

mod claim_fleet;
mod heartbeat_fleet;
mod message_sizes;
mod state_sizes;
mod store_calls;
mod table;
mod text_sizes;

pub(crate) use claim_fleet::{ClaimLoad, WriterView, measure_claims};
pub(crate) use heartbeat_fleet::measure_heartbeats;
pub(crate) use message_sizes::{demand_bytes, pin_bytes, report_bytes};
pub(crate) use state_sizes::router_bytes;
pub(crate) use store_calls::store_calls_per_s;
pub use table::capacity_table;
pub(crate) use table::number;
pub(crate) use text_sizes::measure_text;

/// Failure domains of the two-year size.
pub(crate) const DOMAINS: usize = 6;

/// What nng, TCP and IP add to a message and its acknowledgement, in bytes.
pub(crate) const HEADER_BYTES: usize = 8 + 52 + 52;
