//! What a node's view of a failure domain says of one generation.

use std::fmt;

use nutmegsail_config::Generation;
use nutmegsail_membership::DomainStatus;

/// A failure domain beside a generation. Prints how many nodes run it, and which cannot be reached.
pub(crate) struct DomainView<'a> {
    pub(crate) domain: &'a DomainStatus,
    pub(crate) generation: Generation,
}

impl DomainView<'_> {
    /// How many nodes run the generation or a later one.
    pub(crate) fn nodes_there(&self) -> u32 {
        let there = self.domain.at_generation.range(self.generation.0..);
        there.map(|(_, nodes)| nodes).sum()
    }

    /// Whether every node was seen to run the generation or a later one.
    pub(crate) fn is_in_force(&self) -> bool {
        self.domain.unreachable.is_empty() && self.nodes_there() >= self.domain.nodes
    }
}

impl fmt::Display for DomainView<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { domain, generation } = self;
        let (name, all) = (&domain.failure_domain, domain.nodes);
        let there = self.nodes_there();
        write!(
            f,
            "{name}: {there} of {all} nodes run generation {generation}"
        )?;
        let older = domain.at_generation.range(..generation.0);
        for (older, nodes) in older.filter(|(_, nodes)| **nodes > 0) {
            write!(f, ", {nodes} run {older}")?;
        }
        if !domain.unreachable.is_empty() {
            let names = domain.unreachable.iter().map(|node| node.as_str());
            let names: Vec<&str> = names.collect();
            write!(f, "; cannot be reached: {}", names.join(", "))?;
        }
        Ok(())
    }
}
