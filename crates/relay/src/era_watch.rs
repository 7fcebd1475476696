//! Tracks the eras of the platform's store, which rise when it is restored from an older copy.

use std::time::Duration;

use nutmegsail_base::StoreEra;
use serde::{Deserialize, Serialize};

use crate::EraView;

/// How long a starting node waits for an update from another node before it claims engines that
/// another node may own.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a starting node waits for updates from further nodes after the first.
const GATHER_PERIOD: Duration = Duration::from_millis(300);

/// How long a starting node holds back the operators' text while no other node answers. After the
/// store returns, nodes are listed again within half of this time.
const NO_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// How recent the operators' text is that a node knows.
///
/// ```
/// use nutmegsail_relay::TextVersion;
/// let known = TextVersion { configuration: 4, versions: 30 };
/// assert!(known.covers(TextVersion { configuration: 4, versions: 29 }));
/// assert!(!known.covers(TextVersion { configuration: 5, versions: 0 }));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextVersion {
    /// The version of the configuration.
    pub configuration: u64,
    /// The sum of the versions named for all models. It shows progress because each version only
    /// rises.
    pub versions: u128,
}

impl TextVersion {
    /// Whether it is at least as recent as `other`.
    pub fn covers(self, other: Self) -> bool {
        self.configuration >= other.configuration && self.versions >= other.versions
    }

    fn merge(self, other: Self) -> Self {
        Self {
            configuration: self.configuration.max(other.configuration),
            versions: self.versions.max(other.versions),
        }
    }
}

/// An update on the store's era that nodes send to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EraUpdate {
    /// The era in force.
    pub era: StoreEra,
    /// How long the era is known to be in force, in milliseconds.
    pub age_ms: u32,
    /// How recent the operators' text is that the node applies.
    pub text: TextVersion,
}

/// The store was restored from an older copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraRise {
    /// The last era known to this node before.
    pub from: StoreEra,
    /// The era in force now.
    pub to: StoreEra,
}

/// Tracks the eras of the platform's store.
///
/// Two things are uncertain after the era has risen. Claims made in an earlier era may be lost,
/// while a node that was cut off still acts on them; once an era has been in force for the settling
/// time, none of them is valid. The operators' text in the store may be older than what was in
/// force, until operators have written it again. A node that was running knows the newer text; a
/// node that starts holds back what it reads until it has caught up with other nodes.
///
/// The store holds a mark that names the last era for which both are resolved, so nodes that start
/// later need no update from others.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_base::StoreEra;
/// use nutmegsail_relay::{EraRise, EraWatch};
/// let seconds = Duration::from_secs;
/// let mut watch = EraWatch::new(seconds(7), false);
/// assert_eq!(watch.observe(Some(StoreEra(1)), seconds(10)), None);
/// assert!(!watch.is_settled(seconds(16)) && watch.is_settled(seconds(17)));
/// let rise = watch.observe(Some(StoreEra(2)), seconds(60));
/// assert_eq!(rise, Some(EraRise { from: StoreEra(1), to: StoreEra(2) }));
/// assert!(!watch.is_settled(seconds(66)));
/// ```
#[derive(Clone, Debug)]
pub struct EraWatch {
    settling_time: Duration,
    /// Whether the whole system starts for the first time, so that there is no earlier era.
    is_first_start: bool,
    era: Option<StoreEra>,
    /// Since when the era is known to be in force.
    since: Duration,
    /// Whether the era rose since this process started.
    has_risen: bool,
    /// The era that the store's mark names.
    mark: Option<StoreEra>,
    /// When the first update on this era came from another node.
    first_update_at: Option<Duration>,
    /// The most recent text that other nodes apply.
    newest_peer_text: TextVersion,
    /// Whether this node applies the text that it knows.
    applies_text: bool,
}

impl EraWatch {
    /// Creates a watch with no known era. After `settling_time`, claims of an earlier era are no
    /// longer valid.
    pub fn new(settling_time: Duration, is_first_start: bool) -> Self {
        Self {
            settling_time,
            is_first_start,
            era: None,
            since: Duration::ZERO,
            has_risen: false,
            mark: None,
            first_update_at: None,
            newest_peer_text: TextVersion::default(),
            applies_text: false,
        }
    }

    /// The era in force, or `None` if the store reports none.
    pub fn era(&self) -> Option<StoreEra> {
        self.era
    }

    /// Processes the era that the store reports. Returns the change if the era has risen.
    pub fn observe(&mut self, era: Option<StoreEra>, now: Duration) -> Option<EraRise> {
        let (from, to) = (self.era, era?);
        if from.is_some_and(|from| from >= to) {
            return None;
        }
        self.era = Some(to);
        self.since = now;
        self.first_update_at = None;
        let from = from?;
        self.has_risen = true;
        Some(EraRise { from, to })
    }

    /// Records the era that the store's mark names.
    pub fn record_settled_era(&mut self, mark: StoreEra) {
        self.mark = Some(mark);
    }

    /// Applies an update from another node. Returns whether the store must be read, because the
    /// other node knows of a later era.
    pub fn apply_update(&mut self, received: EraUpdate, now: Duration) -> bool {
        let Some(era) = self.era else {
            return false;
        };
        self.newest_peer_text = self.newest_peer_text.merge(received.text);
        if received.era == era {
            let age = Duration::from_millis(u64::from(received.age_ms));
            self.since = self.since.min(now.saturating_sub(age));
            self.first_update_at.get_or_insert(now);
        }
        received.era > era
    }

    /// Whether all claims of earlier eras are invalid by now.
    pub fn is_settled(&self, now: Duration) -> bool {
        self.era.is_none()
            || self.is_marked()
            || self.is_first_era()
            || now.saturating_sub(self.since) >= self.settling_time
    }

    /// Whether to wait for an update from another node, which says how long this era has been in
    /// force.
    pub fn awaits_update(&self, now: Duration) -> bool {
        let has_timed_out = now.saturating_sub(self.since) >= PEER_TIMEOUT;
        !self.has_risen && self.first_update_at.is_none() && !has_timed_out && !self.is_settled(now)
    }

    /// Whether to ask other nodes for an update.
    pub fn asks(&self, now: Duration) -> bool {
        self.awaits_update(now) || (self.era.is_some() && !self.applies_text)
    }

    /// Decides whether this node may apply the operators' text that it knows, `known`. Once it may,
    /// that is final, because the text that it knows never gets older.
    pub fn may_apply(&mut self, known: TextVersion, now: Duration) -> bool {
        let needs_no_update = self.era.is_none() || self.is_marked() || self.is_first_era();
        let has_caught_up = match self.first_update_at {
            Some(at) => {
                now.saturating_sub(at) >= GATHER_PERIOD && known.covers(self.newest_peer_text)
            }
            None => now.saturating_sub(self.since) >= NO_PEER_TIMEOUT,
        };
        self.applies_text |= needs_no_update || has_caught_up;
        self.applies_text
    }

    /// Whether this node applies the text that it knows.
    pub fn applies_text(&self) -> bool {
        self.applies_text
    }

    /// Whether other nodes apply more recent text than `known`.
    pub fn is_behind(&self, known: TextVersion) -> bool {
        !known.covers(self.newest_peer_text)
    }

    /// The update to send to other nodes, with `known` as the text that this node applies; `None`
    /// while it does not apply its text.
    pub fn update(&self, known: TextVersion, now: Duration) -> Option<EraUpdate> {
        let age = now.saturating_sub(self.since);
        Some(EraUpdate {
            era: self.era.filter(|_| self.applies_text)?,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            text: known,
        })
    }

    /// Whether the era rose so recently that nodes that are cut off may not know.
    pub fn is_recent_rise(&self, now: Duration) -> bool {
        self.has_risen && now.saturating_sub(self.since) < self.settling_time * 2
    }

    /// How the era bears on a list that is complete within one era only.
    pub fn view(&self, now: Duration) -> EraView {
        EraView {
            era: self.era.unwrap_or_default(),
            known_for: now.saturating_sub(self.since),
            was_restored: !self.is_first_era(),
        }
    }

    /// Whether the era rose since this process started.
    pub fn has_risen(&self) -> bool {
        self.has_risen
    }

    /// The era to write into the store's mark, if any. `is_behind` says whether the operators' text
    /// in the store is older than what this node knows.
    pub fn era_to_settle(&self, is_behind: bool, now: Duration) -> Option<StoreEra> {
        let is_resolved = self.applies_text && !is_behind && self.is_settled(now);
        self.era.filter(|_| is_resolved && !self.is_marked())
    }

    fn is_marked(&self) -> bool {
        self.era.is_some() && self.mark == self.era
    }

    fn is_first_era(&self) -> bool {
        self.is_first_start && !self.has_risen
    }
}
