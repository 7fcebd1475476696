//! Upstreams that name a limit, over many nodes, with ways to keep it.

mod run;
mod ways;

pub(crate) use run::{LimitRun, LimitScenario, simulate};
pub(crate) use ways::LimitWay;
