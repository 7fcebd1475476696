//! How far a text got that was applied.

use std::fmt;

use nutmegsail_base::{FailureDomain, ResultCode};
use nutmegsail_config::{Accepted, Digest, Generation};
use nutmegsail_membership::DomainStatus;
use serde::Serialize;

use crate::domain_view::DomainView;
use crate::{ExitCode, FleetStatus};

/// An accepted text and what nodes say of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ApplyReport {
    /// The generation of the text.
    pub generation: Generation,
    /// The digest of the text.
    pub digest: Digest,
    /// Whether the text is another than the accepted one before it.
    pub is_new: bool,
    /// Whether every node of every failure domain was seen to run it, or a later one.
    pub is_in_force: bool,
    /// Failure domains of the text that no node that was asked knows anything of.
    pub silent_domains: Vec<FailureDomain>,
    /// What nodes said last; none if none was asked.
    #[serde(flatten)]
    pub fleet: Option<FleetStatus>,
}

impl ApplyReport {
    /// The report on a text that no node was asked about yet.
    pub fn new(accepted: Accepted) -> Self {
        Self {
            generation: accepted.generation,
            digest: accepted.digest,
            is_new: accepted.is_new,
            is_in_force: false,
            silent_domains: Vec::new(),
            fleet: None,
        }
    }

    /// Takes in what nodes say now. `domains` are the failure domains of the text.
    ///
    /// A failure domain that nobody knows anything of may be cut off with nodes that run an older
    /// text, so it counts as not in force.
    pub fn see(&mut self, fleet: FleetStatus, domains: &[FailureDomain]) {
        let is_known = |name: &&FailureDomain| {
            let mut known = fleet.domains.iter();
            known.any(|domain| domain.failure_domain == **name)
        };
        let silent = domains.iter().filter(|name| !is_known(name));
        self.silent_domains = silent.cloned().collect();
        let mut known = fleet.domains.iter();
        let all_run_it = known.all(|domain| self.view(domain).is_in_force());
        let runs_other = fleet
            .nodes
            .iter()
            .any(|node| node.generation == self.generation.0 && node.digest != self.digest.0);
        self.is_in_force = all_run_it
            && !runs_other
            && self.silent_domains.is_empty()
            && fleet.unanswered.is_empty();
        self.fleet = Some(fleet);
    }

    /// What the process exits with.
    pub fn exit_code(&self) -> ExitCode {
        match &self.fleet {
            Some(_) if !self.is_in_force => ExitCode::NotInForce,
            _ => ExitCode::Done,
        }
    }

    /// How many nodes run the text, in a line.
    pub(crate) fn progress(&self) -> String {
        let domains = self.fleet.iter().flat_map(|fleet| &fleet.domains);
        let (mut there, mut all) = (0, 0);
        for domain in domains {
            there += self.view(domain).nodes_there();
            all += domain.nodes;
        }
        let generation = self.generation;
        format!("waiting: {there} of {all} nodes run generation {generation}")
    }

    fn view<'a>(&self, domain: &'a DomainStatus) -> DomainView<'a> {
        let generation = self.generation;
        DomainView { domain, generation }
    }

    fn verdict(&self) -> String {
        let generation = self.generation;
        let accepted = if self.is_new {
            format!("generation {generation} is accepted")
        } else {
            format!("the text is accepted already, as generation {generation}")
        };
        match (&self.fleet, self.is_in_force) {
            (None, _) => format!("{accepted}; name nodes with --node to see it in force"),
            (Some(_), true) => format!("{accepted} and in force everywhere"),
            (Some(_), false) => {
                let code = ResultCode::NotInForce;
                format!("{code}: {accepted}, but was not seen in force everywhere in time")
            }
        }
    }
}

impl fmt::Display for ApplyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.verdict())?;
        for domain in self.fleet.iter().flat_map(|fleet| &fleet.domains) {
            write!(f, "\n{}", self.view(domain))?;
        }
        for domain in &self.silent_domains {
            write!(f, "\n{domain}: no node that was asked knows of it")?;
        }
        for node in self.fleet.iter().flat_map(|fleet| &fleet.unanswered) {
            write!(f, "\n{node}")?;
        }
        Ok(())
    }
}
