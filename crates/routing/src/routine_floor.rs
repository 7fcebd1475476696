//! The share of throughput that routine work keeps while urgent work waits.

/// Counts what urgent dispatches owe to routine work.
///
/// Against starvation: a steady urgent load takes every place that falls free, and routine work
/// never runs. While routine work waits, each urgent dispatch adds `floor / (1 - floor)` to what is
/// owed; as soon as a whole dispatch is owed, the next place that falls free is kept for routine
/// work. Urgent requests do not queue behind routine ones: the kept place is simply not theirs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RoutineFloor {
    owed: f64,
}

impl RoutineFloor {
    pub(crate) fn urgent_dispatched(&mut self, floor: f64, routine_waits: bool) {
        if !routine_waits {
            // A floor is no savings account: without demand nothing is owed.
            self.owed = 0.0;
            return;
        }
        let floor = floor.clamp(0.0, 0.5);
        self.owed = (self.owed + floor / (1.0 - floor)).min(2.0);
    }

    pub(crate) fn routine_dispatched(&mut self) {
        self.owed = (self.owed - 1.0).max(0.0);
    }

    pub(crate) fn is_owed(&self) -> bool {
        // Sums of tenths fall just short of a whole.
        self.owed >= 1.0 - 1e-9
    }
}
