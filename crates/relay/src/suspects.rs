//! Requests suspected of crashing upstreams, by the traits that they share.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::{NodeId, UpstreamId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::begun_parts::BegunParts;
use crate::suspect_record::{Strike, SuspectRecord};
use crate::{BrokenRequest, ClockPair, RequestTraits, StoredSuspect, SuspectTrait};

/// How many upstreams may end while running requests with a trait before these are sent to no
/// further one. A lower limit would refuse callers whose upstreams happened to crash twice; with a
/// higher one, each further crash also takes down everything else that runs on that upstream.
pub const STRIKES_LIMIT: usize = 3;

/// Most traits that are remembered. Beyond it, an eighth is dropped at a time, those with the
/// fewest strikes first.
const MAX_RECORDS: usize = 512;

/// How many upstreams may end before refused traits that always came together are not told apart
/// any more.
const MAX_ENDS_TO_TELL_APART: usize = 5;

/// How often records that are not needed any more are removed.
const TIDY_INTERVAL: Duration = Duration::from_secs(1);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspicion {
    /// It may be sent.
    None,
    /// Not yet: so many copies are at upstreams that their crashes could exceed the limit.
    OnTrial,
    /// No: the limit is reached.
    Crashes,
}

/// Which nodes receive an update about a trait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipients {
    /// One node of each failure domain, chosen by hash of the trait, which collects what other
    /// nodes saw.
    Collectors,
    /// All nodes.
    All,
}

/// An update about one trait that nodes send to each other. Ages are in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    suspect: SuspectTrait,
    strikes: Vec<StrikeUpdate>,
    /// How long ago answers of each service, by hash, showed that the trait does not crash it.
    cleared: Vec<(u32, u32)>,
    /// How many copies the sender has at upstreams.
    trials: u32,
    /// Whether it is sent to all nodes, so that the receiver need not pass it on.
    is_for_all: bool,
}

impl SuspectUpdate {
    /// The trait.
    pub fn suspect(&self) -> &SuspectTrait {
        &self.suspect
    }
}

/// An upstream that ended, by hash of its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StrikeUpdate {
    upstream: u64,
    service: u32,
    ended_ms_ago: u32,
    /// How long before its end the last request with the trait was sent there.
    sent_ms_before: u32,
}

/// How likely another trait is what upstreams ended for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Explanation {
    /// Answers to requests with it ran on shortly before the first end.
    Possible,
    /// No answer to a request with it is known.
    Likely,
}

/// A part of a request's prompt that may crash the upstream that the request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectedPart {
    suspect: SuspectTrait,
    /// The upstreams that ended under it, by hash of their ids.
    ended: Vec<u64>,
}

impl SuspectedPart {
    /// The rank of `upstream` among those that may be sent the part, the same at every node; the
    /// highest goes first. One that ended under the part goes last, as long as the list shows the
    /// process that did.
    pub fn rank(&self, upstream: &UpstreamId) -> (bool, u64) {
        let has_ended = self.ended.contains(&xxh3_64(upstream.as_bytes()));
        let hash = xxh3_64_with_seed(upstream.as_bytes(), self.suspect.to_hash());
        (!has_ended, hash)
    }
}

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
    records: HashMap<SuspectTrait, SuspectRecord>,
    /// How many copies this node has at upstreams that have not shown yet whether they are
    /// harmless.
    starting: HashMap<SuspectTrait, u32>,
    begun: BegunParts,
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

    /// Whether a request may be sent.
    pub fn suspicion(&self, traits: &RequestTraits, now: Instant) -> Suspicion {
        if self.records.is_empty() {
            return Suspicion::None;
        }
        let suspicions = traits
            .iter()
            .map(|suspect| self.suspicion_of(&suspect, traits, now));
        suspicions.max().unwrap_or(Suspicion::None)
    }

    /// The part of a request's prompt that most likely crashes upstreams, if any is suspected at all.
    ///
    /// Requests that share it should start at the same upstream, which then ends once for all of
    /// them, and others elsewhere, so that its end tells them apart.
    pub fn suspected_part(&self, traits: &RequestTraits, now: Instant) -> Option<SuspectedPart> {
        if self.records.is_empty() {
            return None;
        }
        let suspected = traits.part_traits().filter_map(|suspect| {
            let record = self.records.get(&suspect)?;
            let evidence = record.evidence(traits.service(), now)?;
            let is_suspected = !record.is_usually_sound(&evidence);
            is_suspected.then_some((evidence.ends, suspect, record))
        });
        let most = suspected.max_by_key(|(ends, suspect, _)| (*ends, *suspect));
        most.map(|(_, suspect, record)| SuspectedPart {
            suspect,
            ended: record.strikes().map(|strike| strike.upstream).collect(),
        })
    }

    /// The trait for which a request is refused.
    pub fn refused_trait(&self, traits: &RequestTraits, now: Instant) -> Option<SuspectTrait> {
        let mut suspects = traits.iter();
        suspects.find(|suspect| self.suspicion_of(suspect, traits, now) == Suspicion::Crashes)
    }

    fn suspicion_of(
        &self,
        suspect: &SuspectTrait,
        traits: &RequestTraits,
        now: Instant,
    ) -> Suspicion {
        let Some(record) = self.records.get(suspect) else {
            return Suspicion::None;
        };
        let Some(evidence) = record.evidence(traits.service(), now) else {
            return Suspicion::None;
        };
        let is_conclusive = evidence.is_conclusive(*suspect);
        let explained = self.explained_elsewhere(record, traits, now);
        if record.is_usually_sound(&evidence)
            && (!is_conclusive || explained == Some(Explanation::Likely))
        {
            return Suspicion::None;
        }
        if is_conclusive && !evidence.is_settled(*suspect, now) {
            return Suspicion::OnTrial;
        }
        let is_refused = is_conclusive && evidence.is_held(now);
        let may_tell_apart = evidence.ends < MAX_ENDS_TO_TELL_APART;
        if is_refused && !(may_tell_apart && explained.is_some()) {
            return Suspicion::Crashes;
        }
        let own_trials = self.starting.get(suspect).copied().unwrap_or(0);
        match own_trials as usize + record.trials_of_others(now) {
            0 => Suspicion::None,
            _ if is_conclusive && !is_refused => Suspicion::Crashes,
            _ => Suspicion::OnTrial,
        }
    }

    /// Whether another refused trait, which the request does not have, explains all strikes of
    /// `record`. Refused traits that always came together are told apart by one copy that has only
    /// one of them.
    fn explained_elsewhere(
        &self,
        record: &SuspectRecord,
        traits: &RequestTraits,
        now: Instant,
    ) -> Option<Explanation> {
        let others = self.records.iter();
        let explanations = others.filter_map(|(suspect, other)| {
            let evidence = other.evidence(traits.service(), now)?;
            let is_cause = evidence.is_conclusive(*suspect) && !traits.contains(suspect);
            let is_explained = is_cause && record.is_explained_by(other);
            is_explained.then(|| match other.is_usually_sound(&evidence) {
                true => Explanation::Possible,
                false => Explanation::Likely,
            })
        });
        explanations.max()
    }

    /// Whether answers to requests with a part ran on lately, so that the part is no reason to wait
    /// for the probe of an upstream.
    pub fn is_usually_sound(&self, part: u64, traits: &RequestTraits) -> bool {
        self.begun.last(part, traits.service()).is_some()
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
            (recipients, to_update(record, trials, is_for_all, now))
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
                to_update(record, trials, true, now)
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
        is_reply_due.then(|| to_update(record, own_trials, false, now))
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

impl StrikeUpdate {
    fn of(strike: &Strike, now: Instant) -> Self {
        Self {
            upstream: strike.upstream,
            service: strike.service,
            ended_ms_ago: age_ms(strike.ended, now),
            sent_ms_before: age_ms(strike.sent, strike.ended),
        }
    }

    fn to_strike(self, now: Instant) -> Strike {
        let ended = before(now, self.ended_ms_ago).unwrap_or(now);
        Strike {
            upstream: self.upstream,
            service: self.service,
            sent: before(ended, self.sent_ms_before).unwrap_or(ended),
            ended,
        }
    }
}

fn to_update(record: &SuspectRecord, trials: u32, is_for_all: bool, now: Instant) -> SuspectUpdate {
    let strikes = record.strikes();
    let cleared = record.cleared().iter();
    SuspectUpdate {
        suspect: record.suspect(),
        strikes: strikes
            .map(|strike| StrikeUpdate::of(strike, now))
            .collect(),
        cleared: cleared
            .map(|(service, at)| (*service, age_ms(*at, now)))
            .collect(),
        trials,
        is_for_all,
    }
}

fn age_ms(at: Instant, now: Instant) -> u32 {
    let age = now.saturating_duration_since(at);
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

fn before(now: Instant, age_ms: u32) -> Option<Instant> {
    now.checked_sub(Duration::from_millis(u64::from(age_ms)))
}
