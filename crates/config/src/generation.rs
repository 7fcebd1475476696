//! Identifies accepted texts by generation and digest.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Deployment;

/// The number of an accepted text. Each accepted text has a higher one than the text before it.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

/// The SHA-256 of a text, in hexadecimal.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub Arc<str>);

/// The text that is in force on a node.
#[derive(Clone, Debug)]
pub struct InForce {
    /// Its generation.
    pub generation: Generation,
    /// Its digest.
    pub digest: Digest,
    /// The parsed text.
    pub deployment: Arc<Deployment>,
}
