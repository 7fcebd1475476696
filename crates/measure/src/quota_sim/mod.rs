//! Teams' quotas over many nodes, kept in three ways beside one ideal bucket.

mod run;
mod ways;

pub(crate) use run::{QuotaRun, QuotaScenario, simulate};
pub(crate) use ways::QuotaWay;
