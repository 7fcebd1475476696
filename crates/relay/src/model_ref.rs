//! Which model a request names.

use std::sync::Arc;

use derive_more::Display;
use nutmegsail_base::AdapterName;
use serde::{Deserialize, Serialize};

/// A base model, or an adapter of one.
///
/// ```
/// use nutmegsail_relay::ModelRef;
/// let adapter = ModelRef::parse("llama/a7");
/// assert_eq!(&*adapter.model, "llama");
/// assert_eq!(adapter.adapter.as_ref().unwrap().as_str(), "a7");
/// assert_eq!(adapter.to_string(), "llama/a7");
/// ```
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{model}{}{}", if adapter.is_some() { "/" } else { "" }, adapter.as_ref().map_or("", |name| name.as_str()))]
pub struct ModelRef {
    /// The base model.
    pub model: Arc<str>,
    /// The adapter, if one is named.
    pub adapter: Option<AdapterName>,
}

impl ModelRef {
    /// Reads `model` or `model/adapter`.
    pub fn parse(text: &str) -> Self {
        match text.split_once('/') {
            Some((model, adapter)) => Self {
                model: model.into(),
                adapter: Some(adapter.into()),
            },
            None => Self {
                model: text.into(),
                adapter: None,
            },
        }
    }
}
