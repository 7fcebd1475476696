//! Failures that a stand-in can be told to show.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Failures of one stand-in; all are off by default. Shares are 0 to 1.
///
/// Each stand-in heeds the fields that concern it. Setting knobs replaces all of them, so an
/// empty object turns every failure off.
///
/// ```
/// let knobs: nutmegsail_fakes::Knobs = serde_json::from_str(r#"{"outage":true}"#)?;
/// assert!(knobs.outage && !knobs.silent);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Knobs {
    /// Platform: every call is refused as unavailable and does nothing. Upstreams: connections
    /// are closed unanswered.
    pub outage: bool,
    /// Calls hang unanswered. In memory they give up after five seconds.
    pub silent: bool,
    /// Every call takes this much longer; an engine's step too.
    pub delay_ms: u64,
    /// Share of key-value writes, or plain calls, whose answer is lost after they took effect.
    pub lost_answer_share: f64,
    /// Share of key-value writes, or engine orders, whose answer is lost at once and which are
    /// carried out `late_ms` later, if their conditions still hold.
    pub late_share: f64,
    /// How late the late ones are.
    pub late_ms: u64,
    /// Share of key-value reads answered from the copy that was last taken.
    pub stale_read_share: f64,
    /// The upstream refuses new work as full.
    pub full: bool,
    /// The upstream is leaving: it says so and refuses new work.
    pub leaving: bool,
    /// Share of answers made with, and naming, another version of the adapter.
    pub wrong_adapter_share: f64,
    /// Share of answers whose connection breaks part of the way; a plain call breaks before it
    /// runs.
    pub broken_share: f64,
    /// Share of an engine's loads that fail half-way.
    pub load_failure_share: f64,
    /// The weight store refuses every load.
    pub store_refuses: bool,
    /// A run whose in-memory stream is dropped goes on, as if its reader had died.
    pub keep_dropped: bool,
}

impl Knobs {
    pub(crate) fn delay(&self) -> Duration {
        Duration::from_millis(self.delay_ms)
    }

    pub(crate) fn late(&self) -> Duration {
        Duration::from_millis(self.late_ms)
    }
}

/// Draws whether an event of this share happens. A share of 0 draws nothing, so that turning one
/// failure on does not shift the others' draws.
pub(crate) fn happens(rng: &mut ChaCha8Rng, share: f64) -> bool {
    share > 0.0 && rng.random_bool(share.min(1.0))
}
