//! Whether requests may be sent, by the strikes against their traits.

use std::time::Instant;

use nutmegsail_base::UpstreamId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::suspect_record::SuspectRecord;
use crate::{RequestTraits, SuspectTrait, Suspects};

/// How many upstreams may end before refused traits that always came together are not told apart
/// any more.
const MAX_ENDS_TO_TELL_APART: usize = 5;

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

impl Suspects {
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
        let trials = match is_refused {
            true => self.trials_of_alike(record, traits, now),
            false => self.trials_of(suspect, record, now),
        };
        match trials {
            0 => Suspicion::None,
            _ if is_conclusive && !is_refused => Suspicion::Crashes,
            _ => Suspicion::OnTrial,
        }
    }

    /// How many copies with a trait are at upstreams and may still crash them.
    fn trials_of(&self, suspect: &SuspectTrait, record: &SuspectRecord, now: Instant) -> usize {
        let own_trials = self.starting.get(suspect).copied().unwrap_or(0);
        own_trials as usize + record.trials_of_others(now)
    }

    /// How many copies are at upstreams that have this trait, or another one that it is to be told
    /// apart from. Copies of two such traits at one upstream would end together again.
    fn trials_of_alike(
        &self,
        record: &SuspectRecord,
        traits: &RequestTraits,
        now: Instant,
    ) -> usize {
        let is_alike = |other: &SuspectRecord| {
            let evidence = other.evidence(traits.service(), now);
            let is_cause = evidence.is_some_and(|evidence| evidence.is_conclusive(other.suspect()));
            is_cause && record.is_explained_by(other)
        };
        let records = self.records.iter();
        records
            .filter(|(_, other)| is_alike(other))
            .map(|(suspect, other)| self.trials_of(suspect, other, now))
            .sum()
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
}
