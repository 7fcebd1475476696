//! The share of grants that less urgent requests get under sustained overload.

use std::collections::BTreeMap;

use crate::shed_order::URGENT;

/// The least urgent waiting requests get at least one grant in this many.
pub(crate) const FLOOR_GRANTS: u32 = 10;

/// Upper bound on the grants that a priority can be owed. Urgent bursts shorter than this many
/// times [`FLOOR_GRANTS`] are made up for; a longer backlog would become a burst of its own.
const MAX_OWED_GRANTS: u32 = 4;

/// Grants that are owed to each priority while its requests wait.
///
/// The least urgent priority earns one grant in [`FLOOR_GRANTS`]; those between it and the most
/// urgent one share another, so that at most one grant in five is given against the order. Owed
/// grants are given while no urgent request waits.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShedFloor {
    /// Grants seen while requests of a priority waited, less those that it got for them.
    owed: BTreeMap<u8, u32>,
}

impl ShedFloor {
    /// The priority that is to get the next grant, whatever the order. `waiting` are the priorities
    /// of the waiting requests, without duplicates.
    pub(crate) fn due(&self, waiting: &[u8]) -> Option<u8> {
        if waiting.contains(&URGENT) {
            return None;
        }
        let mut by_urgency = waiting.to_vec();
        by_urgency.sort_unstable_by(|a, b| b.cmp(a));
        let owed = |priority: &&u8| {
            let owed = self.owed.get(priority).copied().unwrap_or(0);
            owed + 1 >= grants_for_one(**priority, waiting)
        };
        by_urgency.iter().find(owed).copied()
    }

    /// Records a grant to a request of `granted`, while requests of `waiting` waited.
    pub(crate) fn record_grant(&mut self, granted: u8, waiting: &[u8]) {
        self.owed.retain(|priority, _| waiting.contains(priority));
        for priority in waiting.iter().filter(|priority| **priority != URGENT) {
            let one = grants_for_one(*priority, waiting);
            let owed = self.owed.entry(*priority).or_default();
            *owed = (*owed + 1).min(one.saturating_mul(MAX_OWED_GRANTS));
            if *priority == granted {
                *owed = owed.saturating_sub(one);
            }
        }
    }
}

/// One grant in how many a priority is owed; unreachable for the most urgent one.
pub(crate) fn grants_for_one(priority: u8, waiting: &[u8]) -> u32 {
    let most_urgent = waiting.iter().min().copied().unwrap_or(priority);
    let least_urgent = waiting.iter().max().copied().unwrap_or(priority);
    let between = waiting
        .iter()
        .filter(|other| **other > most_urgent && **other < least_urgent);
    match priority {
        _ if priority == most_urgent => u32::MAX,
        _ if priority == least_urgent => FLOOR_GRANTS,
        _ => FLOOR_GRANTS * u32::try_from(between.count()).unwrap_or(u32::MAX).max(1),
    }
}
