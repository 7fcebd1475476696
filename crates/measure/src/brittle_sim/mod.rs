//! Upstreams that fall over if they refuse many requests, over many nodes, with ways to spare them.

mod run;
mod upstream;
mod ways;

pub(crate) use run::{BrittleRun, BrittleScenario, simulate};
pub(crate) use ways::BrittleWay;
