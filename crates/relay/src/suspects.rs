//! Requests suspected of crashing upstreams, by the traits that they share.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::{NodeId, UpstreamId};
use xxhash_rust::xxh3::xxh3_64;

use crate::begun_parts::BegunParts;
use crate::suspect_record::{Strike, SuspectRecord};
use crate::suspect_update::before;
use crate::{
    BrokenRequest, ClockPair, Recipients, RequestTraits, StoredSuspect, SuspectTrait, SuspectUpdate,
};

/// How many upstreams may end while running requests with a trait before these are sent to no
/// further one. A lower limit would refuse callers whose upstreams happened to crash twice; with a
/// higher one, each further crash also takes down everything else that runs on that upstream.
pub const STRIKES_LIMIT: usize = 3;

/// Most traits that are remembered. Beyond it, an eighth is dropped at a time, those with the
/// fewest strikes first.
const MAX_RECORDS: usize = 512;

/// How often records that are not needed any more are removed.
const TIDY_INTERVAL: Duration = Duration::from_secs(1);

/// Strikes against traits of requests, as one node knows them.
///
/// A trait stands for all requests that have it, whichever caller sends them through whichever
/// node. When an upstream ends, every trait of the requests that were starting there gets a strike.
/// The one that crashed it is among them, and gets another with the next upstream that it crashes.
/// An answer clears the traits that it shows to be harmless.
///
/// ```
/// use std::time::Instant;
/// use nutmegsail_relay::{
///     BrokenRequest, RequestContent, RequestDigest, RequestTraits, Suspects, Suspicion,
/// };
/// let content = RequestContent { method: "POST", host: "spa", path: "/", team: None, body: b"" };
/// let traits = RequestTraits::new(&"engines".into(), RequestDigest::of(&content), []);
/// let now = Instant::now();
/// let broken = BrokenRequest { traits: traits.clone(), sent: now, since_first_event: None };
/// let mut suspects = Suspects::default();
/// suspects.strike(&broken, &"engine-1@7".into(), now);
/// suspects.strike(&broken, &"engine-2@7".into(), now);
/// assert_eq!(suspects.suspicion(&traits, now), Suspicion::None);
/// suspects.strike(&broken, &"engine-3@7".into(), now);
/// assert_eq!(suspects.suspicion(&traits, now), Suspicion::Crashes);
/// suspects.record_answered(&traits, now, now);
/// assert_eq!(suspects.suspicion(&traits, now), Suspicion::None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    pub(crate) records: HashMap<SuspectTrait, SuspectRecord>,
    /// How many copies this node has at upstreams that have not shown yet whether they are
    /// harmless.
    pub(crate) starting: HashMap<SuspectTrait, u32>,
    pub(crate) begun: BegunParts,
    /// Whether there is news that has not been sent at all.
    has_news: bool,
    /// When records that are not needed any more were last removed.
    tidied_at: Option<Instant>,
}

impl Suspects {
    /// Adds a strike to the traits of a request because `upstream` ended.
    pub fn strike(&mut self, broken: &BrokenRequest, upstream: &UpstreamId, now: Instant) {
        let strike = Strike {
            upstream: xxh3_64(upstream.as_bytes()),
            service: broken.traits.service(),
            sent: broken.sent,
            ended: now,
        };
        for suspect in broken.blamed_traits() {
            let is_new = self.record(suspect, strike.service).add_own(strike, now);
            self.has_news |= is_new;
        }
        self.enforce_limit(now);
    }

    /// The record of a trait, with what this node knows of answers of `service`.
    fn record(&mut self, suspect: SuspectTrait, service: u32) -> &mut SuspectRecord {
        let record = self.records.entry(suspect);
        let record = record.or_insert_with(|| SuspectRecord::new(suspect));
        if let SuspectTrait::PromptPart(id) = suspect
            && let Some(at) = self.begun.last(id, service)
        {
            record.clear(service, at);
        }
        record
    }

    /// Clears the parts of a request whose answer began at `began` and has run on for a while.
    ///
    /// Strikes of later ends stay: an answer that began earlier does not show that the part is
    /// harmless now.
    pub fn record_begun(&mut self, traits: &RequestTraits, began: Instant, now: Instant) {
        for id in traits.shared_parts() {
            self.begun.record(*id, traits.service(), began);
        }
        self.clear(traits.part_traits(), traits.service(), began, now);
    }

    /// Clears the content of a request whose answer began at `began` and has run on for
    /// [`STARTUP_PERIOD`](crate::STARTUP_PERIOD): what crashes an upstream as it starts would have.
    pub fn record_started(&mut self, traits: &RequestTraits, began: Instant, now: Instant) {
        let request = SuspectTrait::Request(*traits.digest());
        self.clear(std::iter::once(request), traits.service(), began, now);
    }

    /// Clears all traits of a request that was answered in full. Its answer began at `began`.
    pub fn record_answered(&mut self, traits: &RequestTraits, began: Instant, now: Instant) {
        self.record_begun(traits, began, now);
        let request = SuspectTrait::Request(*traits.digest());
        self.clear(std::iter::once(request), traits.service(), now, now);
    }

    fn clear(
        &mut self,
        suspects: impl Iterator<Item = SuspectTrait>,
        service: u32,
        at: Instant,
        now: Instant,
    ) {
        if self.records.is_empty() {
            return;
        }
        for suspect in suspects {
            let Some(record) = self.records.get_mut(&suspect) else {
                continue;
            };
            let known = record.strikes().count();
            record.clear(service, at);
            if record.strikes().count() < known {
                record.schedule_send(now);
                self.has_news = true;
            }
        }
    }

    /// Clears a trait for all services, on an operator's command of `at`.
    pub fn lift(&mut self, suspect: &SuspectTrait, at: Instant) {
        let record = self.records.entry(*suspect);
        let record = record.or_insert_with(|| SuspectRecord::new(*suspect));
        record.clear_everywhere(at);
    }

    /// Applies what the store keeps of a trait.
    pub fn take_stored(&mut self, stored: &StoredSuspect, clocks: ClockPair) {
        if let Some(at) = stored.lifted_at(clocks) {
            self.lift(stored.suspect(), at);
        }
        for strike in stored.to_strikes(clocks) {
            let record = self.record(*stored.suspect(), strike.service);
            record.add(strike, clocks.now);
        }
        self.enforce_limit(clocks.now);
    }

    /// The refused traits, as the store should keep them.
    pub fn to_stored(&self, clocks: ClockPair) -> Vec<StoredSuspect> {
        let records = self.records.iter();
        let refused = records.filter(|(suspect, record)| {
            let evidence = record.total_evidence(clocks.now);
            evidence.is_some_and(|evidence| {
                evidence.is_conclusive(**suspect) && evidence.is_settled(**suspect, clocks.now)
            })
        });
        refused
            .map(|(suspect, record)| StoredSuspect::of(*suspect, record.strikes(), clocks))
            .collect()
    }

    /// Counts a copy as sent, until [`Suspects::end_parts`] and [`Suspects::end_request`].
    pub fn begin(&mut self, traits: &RequestTraits, now: Instant) {
        for suspect in traits.iter() {
            *self.starting.entry(suspect).or_default() += 1;
            self.schedule_trial_update(&suspect, now);
        }
    }

    /// Uncounts the parts of a copy counted by [`Suspects::begin`], which has ended or has shown that
    /// they are harmless.
    pub fn end_parts(&mut self, traits: &RequestTraits, now: Instant) {
        for suspect in traits.part_traits() {
            self.uncount(suspect, now);
        }
    }

    /// Uncounts the content of a copy counted by [`Suspects::begin`], which has ended or run long
    /// enough to be harmless.
    pub fn end_request(&mut self, traits: &RequestTraits, now: Instant) {
        self.uncount(SuspectTrait::Request(*traits.digest()), now);
    }

    fn uncount(&mut self, suspect: SuspectTrait, now: Instant) {
        if let Some(count) = self.starting.get_mut(&suspect) {
            *count -= 1;
            if *count == 0 {
                self.starting.remove(&suspect);
            }
        }
        self.schedule_trial_update(&suspect, now);
    }

    /// Has the number of copies sent if other nodes hold theirs back for it.
    fn schedule_trial_update(&mut self, suspect: &SuspectTrait, now: Instant) {
        if let Some(record) = self.records.get_mut(suspect)
            && record.holds_copies_back(now)
        {
            record.schedule_send(now);
            self.has_news = true;
        }
    }

    /// The age of each strike against a trait.
    pub fn ages(&self, suspect: &SuspectTrait, now: Instant) -> Vec<Duration> {
        let record = self.records.get(suspect);
        let record = record.filter(|record| record.total_evidence(now).is_some());
        let strikes = record.into_iter().flat_map(SuspectRecord::strikes);
        strikes
            .map(|strike| now.saturating_duration_since(strike.ended))
            .collect()
    }

    /// Numbers of traits that are refused and of traits with at least one strike.
    pub fn counts(&self, now: Instant) -> (usize, usize) {
        let records = self.records.iter();
        let known = records.filter_map(|(suspect, record)| {
            let evidence = record.total_evidence(now)?;
            Some(evidence.is_conclusive(*suspect))
        });
        known.fold((0, 0), |(refused, suspected), is_refused| {
            (refused + usize::from(is_refused), suspected + 1)
        })
    }

    /// Whether there is news that other nodes should get at once.
    pub fn has_news(&self) -> bool {
        self.has_news
    }

    /// Returns the updates to send now, with the nodes to send each to.
    pub fn due_updates(&mut self, now: Instant) -> Vec<(Recipients, SuspectUpdate)> {
        self.has_news = false;
        let is_tidy = |at: Instant| now.saturating_duration_since(at) < TIDY_INTERVAL;
        if !self.tidied_at.is_some_and(is_tidy) {
            self.forget_old(now);
        }
        let due = self.records.iter_mut();
        let due = due.filter(|(_, record)| record.is_send_due(now));
        due.map(|(suspect, record)| {
            let trials = self.starting.get(suspect).copied().unwrap_or(0);
            let recipients = record.record_sent(now);
            let is_for_all = recipients == Recipients::All;
            (
                recipients,
                SuspectUpdate::of(record, trials, is_for_all, now),
            )
        })
        .collect()
    }

    /// Returns updates on up to `most` traits with several strikes. They are sent repeatedly, because
    /// nodes start or become reachable late. Traits with the most strikes come first, then the most
    /// recent.
    pub fn repeated_updates(&self, most: usize, now: Instant) -> Vec<SuspectUpdate> {
        let records = self.records.iter();
        let suspected = records.filter(|(_, record)| record.concerns_all(now));
        let mut suspected: Vec<_> = suspected
            .filter_map(|(suspect, record)| {
                let newest = record.strikes().map(|strike| strike.ended).max()?;
                Some((record.strikes().count(), newest, *suspect, record))
            })
            .collect();
        suspected.sort_by_key(|(strikes, newest, suspect, _)| (*strikes, *newest, *suspect));
        let updated = suspected.into_iter().rev().take(most);
        updated
            .map(|(_, _, suspect, record)| {
                let trials = self.starting.get(&suspect).copied().unwrap_or(0);
                SuspectUpdate::of(record, trials, true, now)
            })
            .collect()
    }

    /// Applies an update from another node. Returns what that node does not know, if anything.
    pub fn take(
        &mut self,
        from: &NodeId,
        update: &SuspectUpdate,
        now: Instant,
    ) -> Option<SuspectUpdate> {
        let record = self.records.entry(update.suspect);
        let record = record.or_insert_with(|| SuspectRecord::new(update.suspect));
        let known = record.strikes().count();
        for (service, age_ms) in &update.cleared {
            if let Some(cleared) = before(now, *age_ms) {
                record.clear(*service, cleared);
            }
        }
        record.record_trials(from, update.trials, now);
        let mut is_news = record.strikes().count() < known;
        let mut lacks_clear = false;
        for strike in &update.strikes {
            let strike = strike.to_strike(now);
            let record = self.record(update.suspect, strike.service);
            is_news |= record.add(strike, now);
            lacks_clear |= !record.counts(&strike);
        }
        self.enforce_limit(now);
        let record = self.records.get_mut(&update.suspect)?;
        if !update.is_for_all && is_news && record.is_known_or_concerns_all(now) {
            record.schedule_send(now);
            self.has_news = true;
        }
        let has_copies = self.starting.contains_key(&update.suspect);
        if update.is_for_all && is_news && has_copies && record.holds_copies_back(now) {
            // Other nodes do not count the copies that were sent before the strikes were known.
            record.schedule_send(now);
            self.has_news = true;
        }
        let knows_more = record.strikes().count() > update.strikes.len();
        let lacks_strike = knows_more && record.concerns_all(now);
        let is_reply_due = (lacks_clear || lacks_strike) && record.take_reply(now);
        let own_trials = self.starting.get(&update.suspect).copied().unwrap_or(0);
        is_reply_due.then(|| SuspectUpdate::of(record, own_trials, false, now))
    }

    fn forget_old(&mut self, now: Instant) {
        self.tidied_at = Some(now);
        self.records.retain(|_, record| record.is_needed(now));
    }

    fn enforce_limit(&mut self, now: Instant) {
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        self.forget_old(now);
        if self.records.len() <= MAX_RECORDS {
            return;
        }
        let records = self.records.iter();
        let mut ranked: Vec<_> = records
            .map(|(suspect, record)| {
                let newest = record.strikes().map(|strike| strike.ended).max();
                (record.strikes().count(), newest, *suspect)
            })
            .collect();
        ranked.sort_unstable();
        let surplus = self.records.len() - MAX_RECORDS * 7 / 8;
        for (_, _, suspect) in &ranked[..surplus] {
            self.records.remove(suspect);
        }
    }
}
