//! `nutmegsail check`: is this text sound?

use std::path::Path;

use derive_more::Display;
use nutmegsail_config::{Digest, ServiceKind};
use serde::Serialize;

use crate::{CommandError, TextFile};

/// What a sound text holds.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display(
    "{file}: sound: {deployment}, {failure_domains} failure domains, {services} services, \
     {upstreams} upstreams, {adapters} adapters in {versions} versions, {bytes} bytes\n\
     digest {digest}"
)]
pub struct CheckReport {
    /// The file.
    pub file: String,
    /// The deployment's name.
    pub deployment: String,
    /// How many failure domains it has.
    pub failure_domains: usize,
    /// How many services it has.
    pub services: usize,
    /// How many upstreams its services have.
    pub upstreams: usize,
    /// How many adapters its services have.
    pub adapters: usize,
    /// How many versions the adapters have in all.
    pub versions: usize,
    /// The size of the text with its included files, in bytes.
    pub bytes: usize,
    /// The digest that nodes report once it is in force.
    pub digest: Digest,
}

/// Checks the text at `path`.
///
/// # Errors
///
/// [`CommandError::Text`] with every fault, [`CommandError::File`] if there is nothing to read.
pub fn check(path: &Path) -> Result<CheckReport, CommandError> {
    let file = TextFile::read(path)?;
    let services = file.deployment.services.values();
    let (mut upstreams, mut adapters, mut versions) = (0, 0, 0);
    for service in services {
        upstreams += service.upstreams.len();
        if let ServiceKind::Engine { adapters: set, .. } = &service.kind {
            adapters += set.entries.len();
            versions += set.entries.iter().map(|(_, all)| all.len()).sum::<usize>();
        }
    }
    Ok(CheckReport {
        file: path.display().to_string(),
        deployment: file.deployment.name.clone(),
        failure_domains: file.deployment.failure_domains.len(),
        services: file.deployment.services.len(),
        upstreams,
        adapters,
        versions,
        bytes: file.text.bytes(),
        digest: file.to_publish().digest(),
    })
}
