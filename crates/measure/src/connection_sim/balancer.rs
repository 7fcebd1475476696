//! Which node gets most new connections.

/// After how many failed readiness checks, one a second, a node gets no new connections.
const MAX_MISSES: u32 = 2;

/// The readiness of the nodes that got most new connections one after another.
#[derive(Debug, Default)]
pub(super) struct Balancer {
    misses: Vec<u32>,
}

impl Balancer {
    /// The node that gets most new connections now: the first that is in, or one more.
    pub(super) fn target(&mut self) -> usize {
        let is_in = self.misses.iter().position(|misses| *misses < MAX_MISSES);
        is_in.unwrap_or_else(|| {
            self.misses.push(0);
            self.misses.len() - 1
        })
    }

    /// Records the answer to a node's readiness check.
    pub(super) fn record(&mut self, node: usize, is_ready: bool) {
        let misses = &mut self.misses[node];
        *misses = if is_ready { 0 } else { *misses + 1 };
    }
}
