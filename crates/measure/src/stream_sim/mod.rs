//! Streams that callers take up at other nodes while upstreams of two software versions serve.
//!
//! A trial is one stream, the nodes around it and a fault. Which nodes are notified of the stream, which
//! are queried for it and when it is in the store come from the cores that nodes run.

mod adapters;
mod cost;
mod fault;
mod fleet;
mod release;
mod trial;
mod way;
mod writer;

pub(crate) use adapters::{AdapterRun, simulate_adapters};
pub(crate) use cost::{Cost, simulate_cost};
pub(crate) use fault::{FAULTS, Fault};
pub(crate) use fleet::Fleet;
pub(crate) use release::{ReleaseRun, simulate_release};
pub(crate) use trial::{Outcomes, simulate_fault};
pub(crate) use way::{Layout, WAYS, Way};
