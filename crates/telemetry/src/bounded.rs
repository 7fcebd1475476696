//! A bound on the log lines of each kind.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use slog::{Drain, Level, OwnedKVList, Record, b, record_static};

/// The span over which lines are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Lines of one kind in a span that tell of what went well. A node carries some 15 requests a second
/// today; ten times as many still leave most of their lines.
const ROUTINE_LINES: u32 = 100;

/// Lines of one kind in a span that tell of failures or decisions. They stay longer than those that
/// tell of successes.
const TELLING_LINES: u32 = 300;

/// Passes on so many lines of each kind in a second, and tells how many it left out.
///
/// Writing a line takes some 10 µs of a small machine, and under a storm of failures each request
/// brings several. Unbounded, the log would take the processor that the requests need.
#[derive(Debug)]
pub(crate) struct Bounded<D> {
    inner: D,
    /// Whether a kind of line is one of many that tell of successes.
    is_routine: fn(&str) -> bool,
    kinds: RefCell<HashMap<String, Kind>>,
}

#[derive(Clone, Copy, Debug)]
struct Kind {
    since: Instant,
    lines: u32,
    left_out: u64,
}

impl<D> Bounded<D> {
    pub(crate) fn new(inner: D, is_routine: fn(&str) -> bool) -> Self {
        Self {
            inner,
            is_routine,
            kinds: RefCell::default(),
        }
    }

    /// Whether a line of this kind passes, and how many were left out before it.
    fn admit(&self, kind: &str, now: Instant) -> (bool, u64) {
        let limit = match (self.is_routine)(kind) {
            true => ROUTINE_LINES,
            false => TELLING_LINES,
        };
        let mut kinds = self.kinds.borrow_mut();
        let state = kinds.entry(kind.to_owned()).or_insert(Kind {
            since: now,
            lines: 0,
            left_out: 0,
        });
        let mut left_out = 0;
        if now.duration_since(state.since) >= SPAN {
            left_out = std::mem::take(&mut state.left_out);
            state.since = now;
            state.lines = 0;
        }
        if state.lines >= limit {
            state.left_out += 1;
            return (false, 0);
        }
        state.lines += 1;
        (true, left_out)
    }
}

impl<D: Drain<Ok = ()>> Drain for Bounded<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        let kind = record.msg().to_string();
        let (is_admitted, left_out) = self.admit(&kind, Instant::now());
        if left_out > 0 {
            let text = format_args!("LinesLeftOut");
            let told = record_static!(Level::Warning, "LinesLeftOut");
            let pairs = b!("kind" => &kind, "left_out" => left_out, "event" => "NE1010");
            self.inner.log(&Record::new(&told, &text, pairs), values)?;
        }
        match is_admitted {
            true => self.inner.log(record, values),
            false => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
