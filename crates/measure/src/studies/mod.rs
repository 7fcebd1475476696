//! The studies, a file each.

mod base_models;
mod brittle;
mod capacity;
mod compare;
mod crashes;
mod domain_lost;
mod lagging_reports;
mod limits;
mod new_connections;
mod overload;
mod placement;
mod quotas;
mod retries;
mod shedding;
mod steady;
mod stream_versions;
mod weights_turned;

use crate::Study;

/// Every study.
pub(crate) const ALL: &[Study] = &[
    steady::STUDY,
    overload::STUDY,
    lagging_reports::STUDY,
    retries::STUDY,
    domain_lost::STUDY,
    weights_turned::STUDY,
    placement::EVICTION,
    placement::POPULARITY_SHIFT,
    placement::COLD_RESTART,
    placement::WEIGHT_STORE_FAILING,
    base_models::STUDY,
    quotas::STUDY,
    crashes::STUDY,
    limits::STUDY,
    brittle::STUDY,
    new_connections::STUDY,
    shedding::STUDY,
    stream_versions::STUDY,
    capacity::STUDY,
];
