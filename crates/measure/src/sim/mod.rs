//! Small fakes of engines and of the weight store in simulated time, and what drives them.

mod baseline;
mod engine;
mod loader;
mod policy;
mod request;
mod router_policy;
mod scenario;
mod simulation;
mod tally;
mod timeline;
mod workload;

pub(crate) use policy::PolicyKind;
pub(crate) use scenario::Scenario;
pub(crate) use simulation::simulate;
pub(crate) use tally::Tally;
pub(crate) use workload::arrivals;
