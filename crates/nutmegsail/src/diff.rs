//! `nutmegsail diff`: what differs between two texts?

use std::path::Path;
use std::sync::Arc;

use derive_more::Display;
use nutmegsail_config::{Changes, TextStore, diff};
use nutmegsail_store::{HttpKeyValue, PlatformSettings};
use serde::Serialize;

use crate::{CommandError, TextFile};

/// What differs between two texts.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
#[display("{old} -> {new}\n{}", Lines(changes))]
pub struct DiffReport {
    /// Where the older text came from.
    pub old: String,
    /// Where the newer text came from.
    pub new: String,
    /// What turns the older text into the newer one.
    pub changes: Changes,
}

/// Changes, or a line that says that there are none.
struct Lines<'a>(&'a Changes);

impl std::fmt::Display for Lines<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        if self.0.is_empty() {
            f.write_str("nothing differs in meaning")
        } else {
            self.0.fmt(f)
        }
    }
}

/// Compares the texts at two paths.
///
/// # Errors
///
/// One of them cannot be read or has faults.
pub fn diff_files(old: &Path, new: &Path) -> Result<DiffReport, CommandError> {
    let (older, newer) = (TextFile::read(old)?, TextFile::read(new)?);
    Ok(DiffReport {
        old: old.display().to_string(),
        new: new.display().to_string(),
        changes: diff(&older.deployment, &newer.deployment),
    })
}

/// Compares the accepted text, which the platform at `address` holds, with the text at `new`.
///
/// # Errors
///
/// The text cannot be read or has faults, the platform gives no text, or none was accepted yet.
pub async fn diff_accepted(address: &str, new: &Path) -> Result<DiffReport, CommandError> {
    let newer = TextFile::read(new)?;
    let store = HttpKeyValue::new(PlatformSettings::at(address));
    let fetched = TextStore::new(Arc::new(store)).fetch().await;
    let fetched = fetched.map_err(CommandError::Fetch)?;
    let fetched = fetched.ok_or(CommandError::NoTextAccepted)?;
    Ok(DiffReport {
        old: format!("generation {}", fetched.in_force.generation),
        new: new.display().to_string(),
        changes: diff(&fetched.in_force.deployment, &newer.deployment),
    })
}
