//! The explanation of a routing decision.

use std::fmt;

use nutmegsail_base::{AdapterRef, Class, ServiceName, UpstreamId};
use serde::Serialize;

use crate::Score;

/// Whether an upstream can start the request now, or why it can't.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    /// It can start the request now.
    #[display("can start it now")]
    CanStart,
    /// It has no free place for this class.
    #[display("no place for this class")]
    NoPlace,
    /// The adapter is still loading.
    #[display("adapter loading")]
    AdapterLoading,
    /// It does not hold the adapter.
    #[display("adapter absent")]
    AdapterAbsent,
    /// It is in another failure domain, and the node's own domain can serve the request.
    #[display("other failure domain, own one serves")]
    OwnDomainServes,
    /// It is leaving and gets no new requests.
    #[display("leaving")]
    Leaving,
    /// It cannot be reached, or its health check failed.
    #[display("not reachable")]
    Unreachable,
    /// It failed or refused requests recently and gets none for a while.
    #[display("ejected or paused after failures")]
    Paused,
}

/// One candidate upstream.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct CandidateExplanation {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Whether it is in this node's failure domain.
    pub is_own_domain: bool,
    /// Whether it can start the request now.
    pub standing: Standing,
    /// Requests from this node in flight there.
    pub own_in_flight: u32,
    /// Estimated requests in flight there: this node's own, and those of other nodes by the last
    /// report.
    pub load: f64,
    /// How many requests it may have in flight now.
    pub places: u32,
    /// Its score. Of a few candidates drawn at random, the one with the lowest total is chosen.
    pub score: Score,
}

/// Explains which upstream a request would be sent to, and why.
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
    /// The operators' weight for load stalls.
    pub load_stalls_weight: f64,
    /// The operators' weight for batch efficiency.
    pub batch_efficiency_weight: f64,
    /// Waiting requests of this service and class on this node.
    pub waiting: usize,
    /// Maximum number of waiting requests.
    pub queue_limit: u32,
    /// Expected wait of a new request for a place, in milliseconds.
    pub expected_wait_ms: u64,
    /// Retries that the retry budget allows now.
    pub retries_left: f64,
    /// Whether the next free place is reserved for routine work.
    pub is_routine_owed: bool,
    /// Number of upstreams of the service.
    pub upstreams: usize,
    /// The best candidates, those that can start the request first.
    pub candidates: Vec<CandidateExplanation>,
    /// The result in one sentence.
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
