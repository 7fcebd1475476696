//! Engines that get more prompts than they can prefill in time, with ways to choose which wait.

mod queues;
mod run;

pub(crate) use queues::ShedWay;
pub(crate) use run::{ShedRun, ShedScenario, simulate};
