//! Chooses engine paces to send to other nodes.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// How often all paces are sent, which confirms them. Receivers use a pace for three times as long.
const FULL_UPDATE_INTERVAL: Duration = Duration::from_secs(10);

/// A pace is sent at once if it changed by more than this fraction since it was last sent.
const CHANGE_FRACTION: f64 = 0.05;

/// Units of an encoded pace in one token per millisecond.
const UNITS_PER_TOKEN: f64 = 100.0;

/// Encodes a pace in tokens per millisecond, in hundredths; `None` if there is nothing to send.
///
/// ```
/// use nutmegsail_relay::encode_pace;
/// assert_eq!(encode_pace(19.104), Some(1_910));
/// assert_eq!(encode_pace(0.001), Some(1));
/// assert_eq!(encode_pace(f64::NAN), None);
/// ```
pub fn encode_pace(tokens_per_ms: f64) -> Option<u16> {
    let is_pace = tokens_per_ms.is_finite() && tokens_per_ms > 0.0;
    let units = (tokens_per_ms * UNITS_PER_TOKEN).round();
    is_pace.then(|| units.clamp(1.0, f64::from(u16::MAX)) as u16)
}

/// The pace in tokens per millisecond that [`encode_pace`] encoded.
///
/// ```
/// assert_eq!(nutmegsail_relay::decode_pace(1_910), 19.1);
/// ```
pub fn decode_pace(units: u16) -> f64 {
    f64::from(units) / UNITS_PER_TOKEN
}

/// Chooses which paces to send: those that changed by over 5 in 100, and all every 10 s.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::PaceFilter;
/// let (mut filter, now) = (PaceFilter::default(), Instant::now());
/// assert_eq!(filter.due_paces([("e1", 1_000)], now), [("e1", 1_000)]);
/// assert_eq!(filter.due_paces([("e1", 1_050)], now), []);
/// assert_eq!(filter.due_paces([("e1", 1_051)], now), [("e1", 1_051)]);
/// let later = now + Duration::from_secs(10);
/// assert_eq!(filter.due_paces([("e1", 1_051)], later), [("e1", 1_051)]);
/// ```
#[derive(Clone, Debug)]
pub struct PaceFilter<K> {
    last_sent: HashMap<K, u16>,
    full_update_at: Option<Instant>,
}

impl<K> Default for PaceFilter<K> {
    fn default() -> Self {
        Self {
            last_sent: HashMap::new(),
            full_update_at: None,
        }
    }
}

impl<K: Copy + Eq + Hash> PaceFilter<K> {
    /// Returns those of all known `paces` that are to be sent now; they count as sent.
    pub fn due_paces(
        &mut self,
        paces: impl IntoIterator<Item = (K, u16)>,
        now: Instant,
    ) -> Vec<(K, u16)> {
        let is_old = |at| now.saturating_duration_since(at) >= FULL_UPDATE_INTERVAL;
        let is_full_update = self.full_update_at.is_none_or(is_old);
        if is_full_update {
            self.full_update_at = Some(now);
        }
        let previous = std::mem::take(&mut self.last_sent);
        let mut due = Vec::new();
        for (engine, pace) in paces {
            let unchanged = previous.get(&engine).filter(|last| {
                f64::from(pace.abs_diff(**last)) <= f64::from(**last) * CHANGE_FRACTION
            });
            if let Some(last) = unchanged.filter(|_| !is_full_update) {
                self.last_sent.insert(engine, *last);
            } else {
                self.last_sent.insert(engine, pace);
                due.push((engine, pace));
            }
        }
        due
    }
}
