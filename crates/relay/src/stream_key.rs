//! Identifies a stream over a caller's attempts.

use nutmegsail_base::{RequestId, TeamName};
use rand::Rng;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Number of hash bytes that are kept.
const KEY_BYTES: usize = 16;

/// Number of hash bytes that the store keeps.
pub(crate) const SHORT_KEY_BYTES: usize = 8;

/// A hash of the caller's team and of the attempt that began a stream. Callers of other teams cannot
/// name the stream, even if they use the same request ids.
///
/// ```
/// use nutmegsail_relay::StreamKey;
/// let (ours, theirs) = ("ours".into(), "theirs".into());
/// let key = StreamKey::of(Some(&ours), &"0caa45a4".into());
/// assert_eq!(key, StreamKey::of(Some(&ours), &"0caa45a4".into()));
/// assert_ne!(key, StreamKey::of(Some(&theirs), &"0caa45a4".into()));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey([u8; KEY_BYTES]);

impl StreamKey {
    /// The key of the stream that `attempt` of a caller of `team` began.
    pub fn of(team: Option<&TeamName>, attempt: &RequestId) -> Self {
        let team = team.map_or("", |team| team.as_str());
        let mut hash = Sha256::new();
        // The length keeps team and attempt from running into each other.
        hash.update((team.len() as u64).to_le_bytes());
        hash.update(team);
        hash.update(attempt.as_str());
        let hash: [u8; 32] = hash.finalize().into();
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&hash[..KEY_BYTES]);
        Self(key)
    }

    /// The part of the key that the store keeps.
    pub(crate) fn short(&self) -> [u8; SHORT_KEY_BYTES] {
        let mut short = [0; SHORT_KEY_BYTES];
        short.copy_from_slice(&self.0[..SHORT_KEY_BYTES]);
        short
    }

    /// A key that no caller can name.
    ///
    /// ```
    /// use nutmegsail_relay::StreamKey;
    /// let mut random = rand::rng();
    /// assert_ne!(StreamKey::random(&mut random), StreamKey::random(&mut random));
    /// ```
    pub fn random(random: &mut dyn Rng) -> Self {
        let mut key = [0; KEY_BYTES];
        random.fill_bytes(&mut key);
        Self(key)
    }

    /// A number from 0 up to but not including 1, the same for all tries of the stream. It chooses
    /// the service of a route that leads to several.
    ///
    /// ```
    /// use nutmegsail_relay::StreamKey;
    /// let key = StreamKey::of(None, &"0caa45a4".into());
    /// assert!((0.0..1.0).contains(&key.draw()));
    /// ```
    pub fn draw(&self) -> f64 {
        const STEPS: f64 = 4_294_967_296.0;
        let [.., a, b, c, d] = self.0;
        f64::from(u32::from_le_bytes([a, b, c, d])) / STEPS
    }

    /// The key as bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}
