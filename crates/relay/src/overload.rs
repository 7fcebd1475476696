//! Decides when a node closes callers' new connections unread because it is overloaded.

use std::time::Duration;

/// Delay of tasks above which the traffic thread has more to do than it gets done.
const HIGH_DELAY: Duration = Duration::from_millis(100);

/// Delay at which its queue counts as drained.
const LOW_DELAY: Duration = Duration::from_millis(20);

/// How long delays must stay high. With a quota of processor time a process may not run for most of
/// a tenth of a second, which delays what comes meanwhile without a queue that stays.
const WINDOW: Duration = Duration::from_millis(250);

/// How long a node counts as overloaded after the last high delay. Meanwhile connections are served
/// only as fast as their tasks run.
const OVERLOAD_TTL: Duration = Duration::from_millis(1_000);

/// How many connections an overloaded node serves before the task of one of them has run.
const MAX_UNSAMPLED: u32 = 4;

/// How often a connection is served in any case, so that callers who find only overloaded nodes get
/// some answers.
const MIN_ACCEPT_INTERVAL: Duration = Duration::from_millis(250);

/// Whether a node is overloaded, by how long the tasks of new connections wait until they run.
///
/// Without a limit, an overloaded node serves next to nothing: every request waits behind all
/// others, so that timeouts of calls to upstreams and other nodes pass first, and callers come back
/// while the node still handles their earlier tries. A connection that is closed unread costs
/// little, and callers try another node at once.
///
/// ```
/// use std::time::Duration;
/// use nutmegsail_relay::OverloadGate;
/// let ms = Duration::from_millis;
/// let mut gate = OverloadGate::default();
/// for at in [1_000, 1_200, 1_300] {
///     assert!(gate.accepts(ms(at)));
///     gate.record_delay(ms(190), ms(at));
/// }
/// assert!(gate.is_overloaded(ms(1_310)) && !gate.accepts(ms(1_310)));
/// gate.record_delay(ms(10), ms(1_400));
/// assert!(gate.accepts(ms(1_410)), "the queue is drained");
/// assert!(!gate.is_overloaded(ms(2_300)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct OverloadGate {
    high: Option<HighDelays>,
    overload: Option<Overload>,
}

/// Delays that were all high.
#[derive(Clone, Copy, Debug)]
struct HighDelays {
    since: Duration,
    last: Duration,
}

/// An overload that lasts, or was a moment ago.
#[derive(Clone, Copy, Debug)]
struct Overload {
    /// When a delay was last high.
    high_at: Duration,
    /// Whether the last delay was low.
    is_drained: bool,
    /// Connections that were accepted since the last delay was recorded.
    unsampled: u32,
    accepted_at: Duration,
}

impl OverloadGate {
    /// Whether to serve a new connection. If so, the delay of its task is to be recorded.
    pub fn accepts(&mut self, now: Duration) -> bool {
        if !self.is_overloaded(now) {
            return true;
        }
        let Some(overload) = &mut self.overload else {
            return true;
        };
        let is_due = now.saturating_sub(overload.accepted_at) >= MIN_ACCEPT_INTERVAL;
        let has_room = overload.is_drained && overload.unsampled < MAX_UNSAMPLED;
        if is_due || has_room {
            overload.unsampled += 1;
            overload.accepted_at = now;
        }
        is_due || has_room
    }

    /// Records that a task has waited for `delay` until it ran at `now`.
    pub fn record_delay(&mut self, delay: Duration, now: Duration) {
        if let Some(overload) = self.current_overload(now) {
            overload.unsampled = 0;
            overload.is_drained = delay <= LOW_DELAY;
            if !overload.is_drained {
                overload.high_at = now;
            }
            return;
        }
        self.overload = None;
        if delay <= HIGH_DELAY {
            self.high = None;
        } else if self.high_for(now) >= WINDOW {
            self.overload = Some(Overload {
                high_at: now,
                is_drained: false,
                unsampled: 0,
                accepted_at: now,
            });
        }
    }

    /// Whether the node is, or was a moment ago, overloaded.
    pub fn is_overloaded(&self, now: Duration) -> bool {
        let is_current = |overload: &Overload| overload.is_current(now);
        self.overload.as_ref().is_some_and(is_current)
    }

    fn current_overload(&mut self, now: Duration) -> Option<&mut Overload> {
        let overload = self.overload.as_mut();
        overload.filter(|overload| overload.is_current(now))
    }

    /// For how long every delay was high, this one included.
    fn high_for(&mut self, now: Duration) -> Duration {
        let is_recent = |high: &HighDelays| now.saturating_sub(high.last) < OVERLOAD_TTL;
        let since = self.high.filter(is_recent).map_or(now, |high| high.since);
        self.high = Some(HighDelays { since, last: now });
        now.saturating_sub(since)
    }
}

impl Overload {
    fn is_current(&self, now: Duration) -> bool {
        now.saturating_sub(self.high_at) < OVERLOAD_TTL
    }
}
