//! Metrics for each team.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

use nutmegsail_base::{ResultCode, TeamName};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};

use crate::metrics::result;

/// The number of teams with metrics of their own; further teams are counted together. Each team
/// costs memory at every node.
const MAX_TEAMS: usize = 64;

/// The label value for teams beyond the limit.
const OTHER_TEAMS: &str = "others";

/// The instruments for teams.
#[derive(Clone, Debug)]
pub(crate) struct TeamMetrics {
    requests: Counter<u64>,
    tokens: Counter<u64>,
    tokens_left: Gauge<f64>,
    /// Teams with metrics of their own.
    known: Arc<Mutex<HashSet<TeamName>>>,
}

impl TeamMetrics {
    pub(crate) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let tokens_left = meter.f64_gauge("nutmegsail.relay.team_tokens_left");
        let tokens_left = tokens_left.with_description(
            "Tokens of a team's quota that this node could lend, where it lends.",
        );
        Self {
            requests: counter(
                "nutmegsail.relay.team_requests",
                "Requests of a team that ended, by result.",
            ),
            tokens: counter(
                "nutmegsail.relay.team_tokens",
                "Tokens of a team's quota that its requests spent.",
            ),
            tokens_left: tokens_left.build(),
            known: Arc::default(),
        }
    }

    /// Counts a request of `team` that ended with a complete answer, or with `code`.
    pub(crate) fn request_ended(&self, team: &TeamName, code: Option<ResultCode>) {
        self.requests.add(1, &[self.team(team), result(code)]);
    }

    /// Counts the quota tokens of a request of `team` that was sent.
    pub(crate) fn spent(&self, team: &TeamName, tokens: u32) {
        self.tokens.add(u64::from(tokens), &[self.team(team)]);
    }

    /// Records how many tokens of a team's quota this node can still lend.
    pub(crate) fn left(&self, team: &TeamName, tokens: f64) {
        self.tokens_left.record(tokens, &[self.team(team)]);
    }

    fn team(&self, team: &TeamName) -> KeyValue {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let has_own_metrics =
            known.contains(team) || (known.len() < MAX_TEAMS && known.insert(team.clone()));
        let name = if has_own_metrics {
            team.as_str()
        } else {
            OTHER_TEAMS
        };
        KeyValue::new("team", name.to_owned())
    }
}
