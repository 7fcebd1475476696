//! The minimum share of throughput for routine requests.

/// Counts the dispatches owed to routine requests.
///
/// Without it, a steady urgent load would take every free place and routine requests would starve.
/// While routine requests wait, each urgent dispatch adds `floor / (1 - floor)` to the dispatches
/// owed. Once a whole dispatch is owed, the next free place is reserved for a routine request.
/// Urgent requests don't queue behind routine ones, but they can't use the reserved place.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct RoutineFloor {
    owed: f64,
}

impl RoutineFloor {
    pub(crate) fn record_urgent_dispatch(&mut self, floor: f64, routine_waits: bool) {
        if !routine_waits {
            // Dispatches owed are not saved up while no routine request waits.
            self.owed = 0.0;
            return;
        }
        let floor = floor.clamp(0.0, 0.5);
        self.owed = (self.owed + floor / (1.0 - floor)).min(2.0);
    }

    pub(crate) fn record_routine_dispatch(&mut self) {
        self.owed = (self.owed - 1.0).max(0.0);
    }

    pub(crate) fn is_owed(&self) -> bool {
        // Tolerates rounding: a sum of fractions may be slightly below 1.
        self.owed >= 1.0 - 1e-9
    }
}
