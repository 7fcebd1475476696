//! What a node makes of the eras of the platform's store.

use std::time::Duration;

use nutmegsail_base::StoreEra;
use serde::{Deserialize, Serialize};

/// How long a node that starts waits for another one's word before it claims what may be another's.
const WORD_PATIENCE: Duration = Duration::from_millis(1_000);

/// How long it listens to further nodes after the first one's word.
const GATHERING: Duration = Duration::from_millis(300);

/// How long it holds back its text while no other node answers. Nodes are listed anew within half of it after the store
/// came back.
const ALONE_PATIENCE: Duration = Duration::from_secs(3);

/// How much of the operators' text is known.
///
/// ```
/// use nutmegsail_relay::TextKnown;
/// let known = TextKnown { configuration: 4, versions: 30 };
/// assert!(known.covers(TextKnown { configuration: 4, versions: 29 }));
/// assert!(!known.covers(TextKnown { configuration: 5, versions: 0 }));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextKnown {
    /// The version of the configuration.
    pub configuration: u64,
    /// The sum of the versions that were named of all models: each of them only rises.
    pub versions: u128,
}

impl TextKnown {
    /// Whether it is no older than `other`.
    pub fn covers(self, other: Self) -> bool {
        self.configuration >= other.configuration && self.versions >= other.versions
    }

    fn with(self, other: Self) -> Self {
        Self {
            configuration: self.configuration.max(other.configuration),
            versions: self.versions.max(other.versions),
        }
    }
}

/// What one node tells another of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EraTold {
    /// The era in force.
    pub era: StoreEra,
    /// Since how long it is known to be, in milliseconds.
    pub age_ms: u32,
    /// The text that the node goes by.
    pub text: TextKnown,
}

/// The store came back from an older copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EraRise {
    /// The era that was in force as far as was known.
    pub from: StoreEra,
    /// The era in force now.
    pub to: StoreEra,
}

/// Follows the eras of the platform's store.
///
/// Claims that were made in an earlier era may be gone from the store while a node that was cut off still acts on them; once
/// an era has been in force for the settling time, none of them holds. Operators' text that the store shows may be older than
/// what was in force, until operators have written it again; a node that was running knows the newer one, and a node that
/// starts holds back what it reads until it has caught up with others. The store keeps a mark of the last era for which both
/// are over, so nodes that start later need nobody's word.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_base::StoreEra;
/// use nutmegsail_relay::{EraRise, EraWatch};
/// let seconds = Duration::from_secs;
/// let mut watch = EraWatch::new(seconds(7), false);
/// assert_eq!(watch.see(Some(StoreEra(1)), seconds(10)), None);
/// assert!(!watch.is_settled(seconds(16)) && watch.is_settled(seconds(17)));
/// let rise = watch.see(Some(StoreEra(2)), seconds(60));
/// assert_eq!(rise, Some(EraRise { from: StoreEra(1), to: StoreEra(2) }));
/// assert!(!watch.is_settled(seconds(66)));
/// ```
#[derive(Clone, Debug)]
pub struct EraWatch {
    settling: Duration,
    /// Whether the system starts for the first time, so that nothing was before.
    is_first_start: bool,
    era: Option<StoreEra>,
    /// Since when the era is known to be in force.
    since: Duration,
    has_risen: bool,
    /// The era that the store's mark names.
    mark: Option<StoreEra>,
    /// When another node first told of this era.
    word_at: Option<Duration>,
    /// The newest text that other nodes go by.
    text_told: TextKnown,
    /// Whether this node goes by the text that it knows.
    has_text: bool,
}

impl EraWatch {
    /// Nothing is known yet. After `settling` no claim of an earlier era holds.
    pub fn new(settling: Duration, is_first_start: bool) -> Self {
        Self {
            settling,
            is_first_start,
            era: None,
            since: Duration::ZERO,
            has_risen: false,
            mark: None,
            word_at: None,
            text_told: TextKnown::default(),
            has_text: false,
        }
    }

    /// The era in force; nothing if the store tells none.
    pub fn era(&self) -> Option<StoreEra> {
        self.era
    }

    /// Takes in the era that the store told.
    pub fn see(&mut self, era: Option<StoreEra>, now: Duration) -> Option<EraRise> {
        let (from, to) = (self.era, era?);
        if from.is_some_and(|from| from >= to) {
            return None;
        }
        self.era = Some(to);
        self.since = now;
        self.word_at = None;
        let from = from?;
        self.has_risen = true;
        Some(EraRise { from, to })
    }

    /// Takes in the era that the store's mark names.
    pub fn take_mark(&mut self, mark: StoreEra) {
        self.mark = Some(mark);
    }

    /// Takes in another node's word. Returns whether the store has to be asked, as the other one knows of a later era.
    pub fn take_told(&mut self, told: EraTold, now: Duration) -> bool {
        let Some(era) = self.era else {
            return false;
        };
        self.text_told = self.text_told.with(told.text);
        if told.era == era {
            let age = Duration::from_millis(u64::from(told.age_ms));
            self.since = self.since.min(now.saturating_sub(age));
            self.word_at.get_or_insert(now);
        }
        told.era > era
    }

    /// Whether no claim of an earlier era holds any more.
    pub fn is_settled(&self, now: Duration) -> bool {
        self.era.is_none()
            || self.is_marked()
            || self.has_begun_with_system()
            || now.saturating_sub(self.since) >= self.settling
    }

    /// Whether another node's word may still come, of how long this era has been in force.
    pub fn awaits_word(&self, now: Duration) -> bool {
        let is_late = now.saturating_sub(self.since) >= WORD_PATIENCE;
        !self.has_risen && self.word_at.is_none() && !is_late && !self.is_settled(now)
    }

    /// Whether other nodes are to be asked for their word.
    pub fn asks(&self, now: Duration) -> bool {
        self.awaits_word(now) || (self.era.is_some() && !self.has_text)
    }

    /// Whether this node goes by the text that it knows, which is `known`. Once it does it always does, as what it knows
    /// never gets older.
    pub fn goes_by(&mut self, known: TextKnown, now: Duration) -> bool {
        let needs_nobody = self.era.is_none() || self.is_marked() || self.has_begun_with_system();
        let has_caught_up = match self.word_at {
            Some(at) => now.saturating_sub(at) >= GATHERING && known.covers(self.text_told),
            None => now.saturating_sub(self.since) >= ALONE_PATIENCE,
        };
        self.has_text |= needs_nobody || has_caught_up;
        self.has_text
    }

    /// Whether this node goes by the text that it knows.
    pub fn has_text(&self) -> bool {
        self.has_text
    }

    /// Whether other nodes go by newer text than `known`.
    pub fn is_behind(&self, known: TextKnown) -> bool {
        !known.covers(self.text_told)
    }

    /// What to tell other nodes, by the text that this node knows; nothing while it does not go by it.
    pub fn told(&self, known: TextKnown, now: Duration) -> Option<EraTold> {
        let age = now.saturating_sub(self.since);
        Some(EraTold {
            era: self.era.filter(|_| self.has_text)?,
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            text: known,
        })
    }

    /// Whether the era rose lately enough that nodes which are cut off may not know.
    pub fn is_news(&self, now: Duration) -> bool {
        self.has_risen && now.saturating_sub(self.since) < self.settling * 2
    }

    /// Whether the era rose since this process began.
    pub fn has_risen(&self) -> bool {
        self.has_risen
    }

    /// The era that the store is to be marked with, if what the store shows of the operators' text is not `is_behind`.
    pub fn mark_due(&self, is_behind: bool, now: Duration) -> Option<StoreEra> {
        let is_over = self.has_text && !is_behind && self.is_settled(now);
        self.era.filter(|_| is_over && !self.is_marked())
    }

    fn is_marked(&self) -> bool {
        self.era.is_some() && self.mark == self.era
    }

    fn has_begun_with_system(&self) -> bool {
        self.is_first_start && !self.has_risen
    }
}
