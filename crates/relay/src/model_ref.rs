//! Reference to a base model or adapter.

use std::sync::Arc;

use derive_more::Display;
use nutmegsail_base::AdapterName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

/// Names a base model or one of its adapters.
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
    /// The adapter; `None` for the base model itself.
    pub adapter: Option<AdapterName>,
}

/// Short digest of a [`ModelRef`] for use in messages. Two models may have the same digest; a
/// collision costs a load at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ModelDigest(u32);

impl ModelRef {
    /// The digest of its name.
    pub fn digest(&self) -> ModelDigest {
        let mut hasher = Xxh3Default::new();
        hasher.update(self.model.as_bytes());
        if let Some(adapter) = &self.adapter {
            hasher.update(b"/");
            hasher.update(adapter.as_str().as_bytes());
        }
        ModelDigest(hasher.digest() as u32)
    }

    /// Refers to the base model `model`.
    ///
    /// ```
    /// use nutmegsail_relay::ModelRef;
    /// assert_eq!(ModelRef::of_base("llama".into()), ModelRef::parse("llama"));
    /// ```
    pub fn of_base(model: Arc<str>) -> Self {
        Self {
            model,
            adapter: None,
        }
    }

    /// The base model that it names or belongs to.
    pub fn base(&self) -> Self {
        Self::of_base(Arc::clone(&self.model))
    }

    /// Parses `model` or `model/adapter`.
    pub fn parse(text: &str) -> Self {
        match text.split_once('/') {
            Some((model, adapter)) => Self {
                model: model.into(),
                adapter: Some(adapter.into()),
            },
            None => Self::of_base(text.into()),
        }
    }
}
