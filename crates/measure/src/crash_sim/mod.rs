//! Requests that crash upstreams, over many nodes, with ways to keep them from doing so.

mod run;
mod ways;

pub(crate) use run::{CrashRun, CrashScenario, simulate};
pub(crate) use ways::CrashWay;
