//! Which nodes that forward requests to this one have fallen silent.

use std::collections::HashMap;

use nutmegsail_base::NodeId;

/// After how many rounds without a message a node counts as silent.
const SILENT_ROUNDS: u32 = 8;

/// The nodes that wait here for answers to requests that they have forwarded, by when they last
/// announced it.
///
/// A node that is suspended keeps its connections open. Its callers leave it after a while and have
/// their requests served elsewhere, so what it has forwarded must end by then. Time is counted in
/// rounds, so that a pause of this node itself is not taken for the silence of the others.
///
/// ```
/// use nutmegsail_relay::ForwarderWatch;
/// let mut watch = ForwarderWatch::default();
/// watch.record_alive("n2".into());
/// let silent: Vec<_> = (0..8).flat_map(|_| watch.end_round()).collect();
/// assert_eq!(silent, ["n2".into()]);
/// assert_eq!(watch.end_round(), []);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ForwarderWatch {
    /// The rounds since each node's last message.
    silent_rounds: HashMap<NodeId, u32>,
}

impl ForwarderWatch {
    /// Records that a node has announced that it waits for answers.
    pub fn record_alive(&mut self, node: NodeId) {
        self.silent_rounds.insert(node, 0);
    }

    /// Records a request that a node has forwarded. A node is watched only once it has announced that
    /// it waits, as one of an older build never does.
    pub fn record_request(&mut self, node: &NodeId) {
        if let Some(rounds) = self.silent_rounds.get_mut(node) {
            *rounds = 0;
        }
    }

    /// Ends a round, and returns the nodes that have just become silent.
    pub fn end_round(&mut self) -> Vec<NodeId> {
        for rounds in self.silent_rounds.values_mut() {
            *rounds += 1;
        }
        let silent = self
            .silent_rounds
            .extract_if(|_, rounds| *rounds >= SILENT_ROUNDS);
        silent.map(|(node, _)| node).collect()
    }
}
