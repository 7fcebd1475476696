//! A reference to an adapter with its version, as requests give it in their model name.

use std::str::FromStr;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{AdapterName, AdapterVersion};

/// An adapter with its version, written `name@version`.
///
/// ```
/// use nutmegsail_base::AdapterRef;
///
/// let adapter: AdapterRef = "treatment-summary-0042@3".parse()?;
/// assert_eq!(adapter.name.as_str(), "treatment-summary-0042");
/// assert_eq!(adapter.to_string(), "treatment-summary-0042@3");
/// # Ok::<(), nutmegsail_base::AdapterRefError>(())
/// ```
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{name}@{version}")]
pub struct AdapterRef {
    /// The adapter's name.
    pub name: AdapterName,
    /// The adapter's version.
    pub version: AdapterVersion,
}

impl AdapterRef {
    /// Creates a reference to version `version` of the adapter `name`.
    ///
    /// ```
    /// let adapter = nutmegsail_base::AdapterRef::new("proof-style", 2);
    /// assert_eq!(adapter.to_string(), "proof-style@2");
    /// ```
    pub fn new(name: impl Into<AdapterName>, version: u32) -> Self {
        Self {
            name: name.into(),
            version: AdapterVersion(version),
        }
    }
}

/// Why a model name could not be parsed as an [`AdapterRef`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum AdapterRefError {
    /// There is no `@`, or no name before it.
    #[error("`{0}` is not of the form `name@version`")]
    MissingVersion(String),
    /// The text after `@` is not a 32-bit unsigned integer.
    #[error("the version in `{0}` is not a whole number")]
    BadVersion(String),
}

impl FromStr for AdapterRef {
    type Err = AdapterRefError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let missing = || AdapterRefError::MissingVersion(text.to_owned());
        let (name, version) = text.rsplit_once('@').ok_or_else(missing)?;
        if name.is_empty() {
            return Err(missing());
        }
        let version = version
            .parse()
            .map_err(|_| AdapterRefError::BadVersion(text.to_owned()))?;
        Ok(Self::new(name, version))
    }
}
