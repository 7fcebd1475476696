//! Most new connections of a failure domain or region at one node, with ways to treat them.

mod balancer;
mod busy_node;
mod costs;
mod request;
mod run;
mod spans;
#[cfg(test)]
mod tests;

pub(crate) use busy_node::ConnectionWay;
pub(crate) use run::{ConnectionScenario, simulate};
pub(crate) use spans::ConnectionRun;
