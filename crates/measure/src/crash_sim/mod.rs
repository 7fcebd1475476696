//! Requests that crash upstreams, over many nodes, with ways to keep them from doing so.

mod prompts;
mod run;
mod ways;

pub(crate) use prompts::GuiltyPrompts;
pub(crate) use run::{CrashRun, CrashScenario, Guilty, simulate};
pub(crate) use ways::CrashWay;
