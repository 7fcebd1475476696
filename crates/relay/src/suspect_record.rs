//! The evidence against one trait of requests.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::NodeId;

use crate::begun_parts::BEGUN_TTL;
use crate::{Recipients, STRIKES_LIMIT, SuspectTrait};

/// How long strikes count against a trait that is not refused.
pub(crate) const STRIKE_TTL: Duration = Duration::from_secs(600);

/// How long a trait is refused after the last strike before one copy is sent to find out whether it
/// still crashes upstreams. Each strike beyond the limit doubles it.
const HOLD_PERIOD: Duration = Duration::from_secs(600);

/// How long a refused trait is remembered after the last strike, longer than any hold.
const RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// How many strikes are remembered. Those beyond [`STRIKES_LIMIT`] tell traits apart that were refused
/// for the same strikes, and show how often a refused trait was tried again.
const MAX_STRIKES: usize = 8;

/// How long a trait that was cleared is remembered, so that strikes from before, which other nodes
/// still send, are ignored.
const CLEARED_TTL: Duration = Duration::from_secs(60);

/// How long another node's count of the copies it has at upstreams is valid.
const TRIAL_TTL: Duration = Duration::from_secs(3);

/// How often a change is sent, because single messages can be lost.
const SEND_COUNT: u8 = 2;

/// The most updates in a time. What many nodes say at once is sent on together.
const MAX_SENDS: u8 = 3;
const MAX_SENDS_PERIOD: Duration = Duration::from_millis(100);

/// How often a node replies to updates that lack what it knows.
const REPLY_INTERVAL: Duration = Duration::from_millis(300);

/// How often, and for how long, a node repeats a strike that it saw itself to the collectors: they
/// may be unreachable at first.
const RESEND_INTERVAL: Duration = Duration::from_secs(2);
const RESEND_PERIOD: Duration = Duration::from_secs(30);

/// The time in which other nodes learn of an end.
const NEWS_DELAY: Duration = Duration::from_millis(20);

/// Number of strikes from which all nodes are sent updates. Most traits with one strike crash
/// nothing.
const BROADCAST_STRIKES: usize = 2;

/// Stands for all services.
const ANY_SERVICE: u32 = 0;

/// An upstream that ended while it was starting a request with the trait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Strike {
    /// Hashes of the process's id and of its service.
    pub(crate) upstream: u64,
    pub(crate) service: u32,
    /// When the last such request was sent there.
    pub(crate) sent: Instant,
    /// When it ended.
    pub(crate) ended: Instant,
}

/// What the strikes against a trait amount to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Evidence {
    /// Upstreams that ended.
    pub(crate) ends: usize,
    /// How many of them ended under a copy that was sent after the end before had been seen.
    rounds: usize,
    first_end: Instant,
    last_end: Instant,
}

impl Evidence {
    /// What these strikes amount to; `None` without any. They are in the order of their ends.
    fn of<'a>(mut strikes: impl Iterator<Item = &'a Strike>) -> Option<Self> {
        let first = strikes.next()?;
        let mut evidence = Self {
            ends: 1,
            rounds: 1,
            first_end: first.ended,
            last_end: first.ended,
        };
        let mut round_end = first.ended;
        for strike in strikes {
            evidence.ends += 1;
            evidence.last_end = strike.ended;
            if strike.sent >= round_end + NEWS_DELAY {
                evidence.rounds += 1;
                round_end = strike.ended;
            }
        }
        Some(evidence)
    }

    /// Whether requests with the trait are refused.
    pub(crate) fn is_conclusive(&self, suspect: SuspectTrait) -> bool {
        self.ends >= STRIKES_LIMIT && self.rounds >= suspect.rounds_needed()
    }

    /// Whether nodes that know better have had the time to say so.
    pub(crate) fn is_settled(&self, suspect: SuspectTrait, now: Instant) -> bool {
        now.saturating_duration_since(self.last_end) >= suspect.settling_time()
    }

    /// Whether the trait is refused without trying it again.
    pub(crate) fn is_held(&self, now: Instant) -> bool {
        let doublings = (self.ends - STRIKES_LIMIT.min(self.ends)) as u32;
        let hold = HOLD_PERIOD * 2_u32.pow(doublings);
        now.saturating_duration_since(self.last_end) < hold
    }
}

/// What one node knows of a trait.
#[derive(Clone, Debug)]
pub(crate) struct SuspectRecord {
    suspect: SuspectTrait,
    /// One for each upstream, in the order of their ends.
    strikes: Vec<Strike>,
    /// When answers of each service last showed that the trait does not crash it.
    cleared: Vec<(u32, Instant)>,
    /// How many copies other nodes have at upstreams, and when each update arrived.
    trials_of_others: HashMap<NodeId, (u32, Instant)>,
    /// Whether all nodes were sent an update on the strikes.
    is_broadcast: bool,
    /// Whether this node saw one of the upstreams end.
    is_own: bool,
    /// How many more times an update is to be sent, and to whom.
    sends_left: u8,
    recipients: Recipients,
    /// When an update was last sent, and a reply.
    last_sent: Option<Instant>,
    /// How many updates were sent since `period_start`.
    sends_in_period: u8,
    period_start: Option<Instant>,
    last_reply: Option<Instant>,
}

impl SuspectRecord {
    pub(crate) fn new(suspect: SuspectTrait) -> Self {
        Self {
            suspect,
            strikes: Vec::new(),
            cleared: Vec::new(),
            trials_of_others: HashMap::new(),
            is_broadcast: false,
            is_own: false,
            sends_left: 0,
            recipients: Recipients::Collectors,
            last_sent: None,
            sends_in_period: 0,
            period_start: None,
            last_reply: None,
        }
    }

    /// Adds a strike that this node saw. Returns whether it was added.
    pub(crate) fn add_own(&mut self, strike: Strike, now: Instant) -> bool {
        let is_new = self.add(strike, now);
        if is_new {
            self.is_own = true;
            self.schedule_send(now);
        }
        is_new
    }

    /// Adds a strike unless it is known or no longer counts. Returns whether it was added.
    pub(crate) fn add(&mut self, strike: Strike, now: Instant) -> bool {
        if !self.counts(&strike) {
            return false;
        }
        let cleared = self.cleared.clone();
        self.strikes
            .retain(|known| !is_cleared(&cleared, known, known.service));
        let mut known = self.strikes.iter_mut();
        if let Some(known) = known.find(|known| known.upstream == strike.upstream) {
            known.sent = known.sent.max(strike.sent);
            return false;
        }
        if self.strikes.len() >= MAX_STRIKES && !self.replace_oldest(&strike, now) {
            return false;
        }
        let place = self
            .strikes
            .partition_point(|known| known.ended <= strike.ended);
        self.strikes.insert(place, strike);
        true
    }

    /// Removes the oldest strike for a newer one, but none that keeps the trait refused.
    fn replace_oldest(&mut self, newer: &Strike, now: Instant) -> bool {
        let evidence = self.evidence(newer.service, now);
        let is_held = evidence.is_some_and(|evidence| evidence.is_held(now));
        let oldest = self.strikes.first();
        let is_newer = oldest.is_some_and(|oldest| oldest.ended < newer.ended);
        if is_newer && !is_held {
            self.strikes.remove(0);
        }
        is_newer && !is_held
    }

    /// Whether a strike has not been cleared.
    pub(crate) fn counts(&self, strike: &Strike) -> bool {
        !self.is_outdated(strike, strike.service)
    }

    /// Whether a strike was cleared, either for its own service or for `service`.
    fn is_outdated(&self, strike: &Strike, service: u32) -> bool {
        is_cleared(&self.cleared, strike, service)
    }

    /// The evidence against sending the trait to `service`; `None` if there is none.
    pub(crate) fn evidence(&self, service: u32, now: Instant) -> Option<Evidence> {
        let strikes = self.strikes.iter();
        let strikes = strikes.filter(|strike| !self.is_outdated(strike, service));
        let all = Evidence::of(strikes.clone())?;
        let age = now.saturating_duration_since(all.last_end);
        if all.is_conclusive(self.suspect) && age < RETENTION {
            return Some(all);
        }
        let is_recent = |strike: &Strike| now.saturating_duration_since(strike.ended) < STRIKE_TTL;
        Evidence::of(strikes.filter(|strike| is_recent(strike)))
    }

    /// The evidence of all services together.
    pub(crate) fn total_evidence(&self, now: Instant) -> Option<Evidence> {
        self.evidence(ANY_SERVICE, now)
    }

    /// The strikes that count at any service.
    pub(crate) fn strikes(&self) -> impl Iterator<Item = &Strike> {
        let strikes = self.strikes.iter();
        strikes.filter(|strike| self.counts(strike))
    }

    pub(crate) fn suspect(&self) -> SuspectTrait {
        self.suspect
    }

    /// When the trait was last cleared, by service.
    pub(crate) fn cleared(&self) -> &[(u32, Instant)] {
        &self.cleared
    }

    /// Whether answers to requests with the trait ran on shortly before its first strike.
    pub(crate) fn is_usually_sound(&self, evidence: &Evidence) -> bool {
        self.was_sound_before(evidence.first_end)
    }

    fn was_sound_before(&self, ended: Instant) -> bool {
        let mut cleared = self.cleared.iter();
        cleared.any(|(_, at)| *at < ended && ended.duration_since(*at) < BEGUN_TTL)
    }

    /// Whether the upstreams of all strikes against this trait are among those of `other`.
    pub(crate) fn is_explained_by(&self, other: &Self) -> bool {
        let mut strikes = self.strikes();
        strikes.all(|strike| {
            let mut known = other.strikes();
            known.any(|known| known.upstream == strike.upstream)
        })
    }

    /// Records that an answer of `service` showed that the trait does not crash it.
    pub(crate) fn clear(&mut self, service: u32, at: Instant) {
        let mut known = self.cleared.iter_mut();
        match known.find(|(known, _)| *known == service) {
            Some((_, known)) => *known = at.max(*known),
            None => self.cleared.push((service, at)),
        }
    }

    /// Clears the trait for all services.
    pub(crate) fn clear_everywhere(&mut self, at: Instant) {
        self.clear(ANY_SERVICE, at);
    }

    /// Records how many copies another node has at upstreams.
    pub(crate) fn record_trials(&mut self, node: &NodeId, trials: u32, now: Instant) {
        self.trials_of_others.insert(node.clone(), (trials, now));
    }

    /// How many copies other nodes have at upstreams.
    pub(crate) fn trials_of_others(&self, now: Instant) -> usize {
        let trials = self.trials_of_others.values();
        let valid = trials.filter(|(_, at)| now.saturating_duration_since(*at) < TRIAL_TTL);
        valid.map(|(trials, _)| *trials as usize).sum()
    }

    /// Whether more than the collectors should know of the strikes: upstreams ended more than once,
    /// and not just once under a trait that is usually harmless.
    pub(crate) fn concerns_all(&self, now: Instant) -> bool {
        let evidence = self.total_evidence(now);
        evidence.is_some_and(|evidence| {
            let is_chance = evidence.rounds == 1 && self.is_usually_sound(&evidence);
            evidence.ends >= BROADCAST_STRIKES && !is_chance
        })
    }

    /// Whether nodes count each other's copies, to send one at a time.
    pub(crate) fn holds_copies_back(&self, now: Instant) -> bool {
        let evidence = self.total_evidence(now);
        evidence.is_some_and(|evidence| !self.is_usually_sound(&evidence)) && self.concerns_all(now)
    }

    /// Whether all nodes know or should know of the strikes.
    pub(crate) fn is_known_or_concerns_all(&self, now: Instant) -> bool {
        self.is_broadcast || self.concerns_all(now)
    }

    /// Has an update sent to all nodes if they know or should know of the strikes, and to the
    /// collectors otherwise.
    pub(crate) fn schedule_send(&mut self, now: Instant) {
        match self.is_known_or_concerns_all(now) {
            true => self.schedule_send_to(Recipients::All),
            false => self.schedule_send_to(Recipients::Collectors),
        }
    }

    fn schedule_send_to(&mut self, recipients: Recipients) {
        if self.sends_left == 0 || recipients == Recipients::All {
            self.recipients = recipients;
        }
        self.sends_left = SEND_COUNT;
    }

    pub(crate) fn is_send_due(&self, now: Instant) -> bool {
        let age = self
            .last_sent
            .map(|sent| now.saturating_duration_since(sent));
        if self.sends_left > 0 {
            return self.sends_in_period < MAX_SENDS || self.is_period_over(now);
        }
        let mut strikes = self.strikes();
        self.is_own
            && !self.is_broadcast
            && age.is_none_or(|age| age >= RESEND_INTERVAL)
            && strikes.any(|strike| now.saturating_duration_since(strike.ended) < RESEND_PERIOD)
    }

    fn is_period_over(&self, now: Instant) -> bool {
        self.period_start
            .is_none_or(|start| now.saturating_duration_since(start) >= MAX_SENDS_PERIOD)
    }

    /// Records that an update is sent now, and returns to whom.
    pub(crate) fn record_sent(&mut self, now: Instant) -> Recipients {
        let recipients = match self.sends_left {
            0 => Recipients::Collectors,
            _ => self.recipients,
        };
        self.sends_left = self.sends_left.saturating_sub(1);
        self.last_sent = Some(now);
        if self.is_period_over(now) {
            self.period_start = Some(now);
            self.sends_in_period = 0;
        }
        self.sends_in_period += 1;
        if recipients == Recipients::All {
            // Once they were sent that it is cleared, they need nothing more.
            self.is_broadcast = self.sends_left > 0 || self.strikes().next().is_some();
        }
        recipients
    }

    /// Whether a reply may be sent now.
    pub(crate) fn take_reply(&mut self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPLY_INTERVAL;
        let may_reply = !self.last_reply.is_some_and(is_recent);
        if may_reply {
            self.last_reply = Some(now);
        }
        may_reply
    }

    pub(crate) fn is_needed(&self, now: Instant) -> bool {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < CLEARED_TTL;
        self.cleared.iter().any(|(_, at)| is_recent(at))
            || self.sends_left > 0
            || self.total_evidence(now).is_some()
    }
}

/// Whether a strike was cleared, either for its own service or for `service`.
fn is_cleared(cleared: &[(u32, Instant)], strike: &Strike, service: u32) -> bool {
    let mut cleared = cleared.iter();
    cleared.any(|(cleared, at)| {
        [ANY_SERVICE, strike.service, service].contains(cleared) && strike.ended <= *at
    })
}
