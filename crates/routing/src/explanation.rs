//! Why a request would go where it would go.

use std::fmt;

use nutmegsail_base::{AdapterRef, Class, ServiceName, UpstreamId};
use serde::Serialize;

use crate::Score;

/// Whether an upstream would take the request now, and why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It would start it at once.
    #[display("can start it now")]
    CanStart,
    /// It has no place for this class.
    #[display("no place for this class")]
    NoPlace,
    /// The adapter is being loaded.
    #[display("adapter loading")]
    AdapterLoading,
    /// The adapter is not there.
    #[display("adapter absent")]
    AdapterAbsent,
    /// It is in another failure domain, and the own one can serve the request.
    #[display("other failure domain, own one serves")]
    OwnDomainServes,
    /// It is leaving.
    #[display("leaving")]
    Leaving,
    /// It cannot be reached or is not ready.
    #[display("not reachable")]
    Unreachable,
    /// It failed or refused lately and gets no work for a while.
    #[display("ejected or paused after failures")]
    Paused,
}

/// One upstream that was considered.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CandidateExplanation {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether it is in this node's failure domain.
    pub is_own_domain: bool,
    /// Whether it would take the request.
    pub standing: Standing,
    /// Requests that this node has in flight there.
    pub own_in_flight: u32,
    /// Requests in flight there by this node's books and the last report.
    pub load: f64,
    /// How many requests it takes at a time now.
    pub places: u32,
    /// The terms of its score; the lowest total wins among a few drawn at random.
    pub score: Score,
}

/// Why a request would go where it would go.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explanation {
    /// The service.
    pub service: ServiceName,
    /// The adapter.
    pub adapter: Option<AdapterRef>,
    /// The class.
    pub class: Class,
    /// The generation of the operators' text.
    pub generation: u64,
    /// The weight of load stalls.
    pub load_stalls_weight: f64,
    /// The weight of batch efficiency.
    pub batch_efficiency_weight: f64,
    /// Requests of this service and class that wait on this node.
    pub waiting: usize,
    /// How many may wait.
    pub queue_limit: u32,
    /// How long a new request is expected to wait for a place, in milliseconds.
    pub expected_wait_ms: u64,
    /// Second sends that the retry budget allows now.
    pub retries_left: f64,
    /// Whether the next place is owed to routine work.
    pub is_routine_owed: bool,
    /// How many upstreams the service has; the best of them follow.
    pub upstreams: usize,
    /// The best candidates, those that can start the request first.
    pub candidates: Vec<CandidateExplanation>,
    /// The conclusion in a sentence.
    pub why: String,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.class, self.service)?;
        if let Some(adapter) = &self.adapter {
            write!(f, " {adapter}")?;
        }
        writeln!(f, ", generation {}: {}", self.generation, self.why)?;
        writeln!(
            f,
            "weights: load stalls {}, batch efficiency {}",
            self.load_stalls_weight, self.batch_efficiency_weight
        )?;
        writeln!(
            f,
            "waiting {} of {}, expected wait {} ms, retries left {:.1}, routine owed: {}",
            self.waiting,
            self.queue_limit,
            self.expected_wait_ms,
            self.retries_left,
            if self.is_routine_owed { "yes" } else { "no" }
        )?;
        writeln!(f, "upstreams: {}, best first", self.upstreams)?;
        for candidate in &self.candidates {
            writeln!(f, "  {candidate}")?;
        }
        Ok(())
    }
}

impl fmt::Display for CandidateExplanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { score, .. } = self;
        write!(
            f,
            "{} score {:.3} s (adapter {:.3}, load {:.3}, domain {:.3}, prefix {:.3}, batch {:.3}), \
             load {:.1} of {}, {} domain: {}",
            self.upstream,
            score.total_s(),
            score.adapter_s,
            score.load_s,
            score.domain_s,
            score.prefix_s,
            score.batch_s,
            self.load,
            self.places,
            if self.is_own_domain { "own" } else { "other" },
            self.standing,
        )
    }
}
