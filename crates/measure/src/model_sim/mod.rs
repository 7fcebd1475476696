//! Base models on engines that hold one each, in simulated time.

mod fleet;
mod run;

pub(crate) use run::{ModelPolicy, ModelRun, ModelScenario, simulate};
