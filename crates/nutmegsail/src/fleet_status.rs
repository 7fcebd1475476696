//! What several nodes together say of the fleet.

use std::collections::BTreeMap;
use std::fmt;

use futures_util::future::join_all;
use nutmegsail_base::FailureDomain;
use nutmegsail_config::Generation;
use nutmegsail_membership::{DomainStatus, StatusReport};
use serde::Serialize;

use crate::domain_view::DomainView;
use crate::{CommandError, NodeClient};

/// The answers of the nodes that were asked, and one view of each failure domain.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct FleetStatus {
    /// The nodes that answered.
    pub nodes: Vec<StatusReport>,
    /// Each failure domain, as the node that knows most of it sees it.
    pub domains: Vec<DomainStatus>,
    /// The nodes that were asked and gave no answer.
    pub unanswered: Vec<Unanswered>,
}

/// A node that was asked and gave no answer.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Unanswered {
    /// Its operators' listener.
    pub address: String,
    /// The numbered result, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub code: Option<String>,
    /// Why there is no answer.
    pub why: String,
    /// The failure, for the exit code.
    #[serde(skip)]
    pub error: CommandError,
}

impl FleetStatus {
    /// Asks every node of `addresses` at the same time.
    pub async fn ask(client: &NodeClient, addresses: &[String]) -> Self {
        let answers = addresses.iter().map(|address| client.status(address));
        let answers = join_all(answers).await;
        let mut fleet = Self::default();
        for (address, answer) in addresses.iter().zip(answers) {
            match answer {
                Ok(status) => fleet.nodes.push(status),
                Err(error) => fleet.unanswered.push(Unanswered::new(address, error)),
            }
        }
        fleet.domains = merged(&fleet.nodes);
        fleet
    }

    /// The newest generation that any node runs.
    pub fn newest_generation(&self) -> Generation {
        let of_nodes = self.nodes.iter().map(|node| node.generation);
        let of_domains = self.domains.iter();
        let of_domains = of_domains.filter_map(|domain| domain.at_generation.keys().max().copied());
        Generation(of_nodes.chain(of_domains).max().unwrap_or_default())
    }
}

impl Unanswered {
    fn new(address: &str, error: CommandError) -> Self {
        let why = match &error {
            CommandError::NodeUnreachable { why, .. } => format!("cannot be reached: {why}"),
            CommandError::NodeRefused { message, .. } => format!("refused: {message}"),
            other => other.to_string(),
        };
        Self {
            address: address.to_owned(),
            code: error.code(),
            why,
            error,
        }
    }
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.code {
            Some(code) => write!(f, "{code}: {} {}", self.address, self.why),
            None => write!(f, "{} {}", self.address, self.why),
        }
    }
}

/// One view of each failure domain.
///
/// A node hears of its own failure domain by heartbeats and of others by summaries, which come
/// later and stop when the domains are cut off. So a view from inside goes first, then the one that
/// knows of most nodes.
fn merged(nodes: &[StatusReport]) -> Vec<DomainStatus> {
    let mut views: BTreeMap<&FailureDomain, (bool, &DomainStatus)> = BTreeMap::new();
    for node in nodes {
        for view in &node.domains {
            let is_inside = node.failure_domain == view.failure_domain;
            let rank = (is_inside, view.nodes);
            let best = views
                .entry(&view.failure_domain)
                .or_insert((is_inside, view));
            if rank > (best.0, best.1.nodes) {
                *best = (is_inside, view);
            }
        }
    }
    views.into_values().map(|(_, view)| view.clone()).collect()
}

impl fmt::Display for FleetStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for node in &self.nodes {
            let ready = if node.is_ready { "ready" } else { "not ready" };
            let leaving = if node.is_leaving { ", leaving" } else { "" };
            writeln!(
                f,
                "{} in {}: generation {}, {ready}{leaving}",
                node.node, node.failure_domain, node.generation
            )?;
        }
        for node in &self.unanswered {
            writeln!(f, "{node}")?;
        }
        let newest = self.newest_generation();
        write!(f, "newest generation: {newest}")?;
        for domain in &self.domains {
            write!(
                f,
                "\n{}",
                DomainView {
                    domain,
                    generation: newest
                }
            )?;
        }
        Ok(())
    }
}
