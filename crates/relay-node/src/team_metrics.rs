//! What is counted for each team.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, PoisonError};

use nutmegsail_base::{ResultCode, TeamName};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Meter};

use crate::metrics::result;

/// Teams with values of their own; any more are counted together. Each costs memory at every node.
const TEAMS_LIMIT: usize = 64;

/// The name that stands for the teams beyond the limit.
const OTHERS: &str = "others";

/// The instruments of teams.
#[derive(Clone, Debug)]
pub(crate) struct TeamMetrics {
    requests: Counter<u64>,
    tokens: Counter<u64>,
    tokens_left: Gauge<f64>,
    /// Teams that have values of their own.
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

    /// A request of `team` ended with a whole answer, or with `code`.
    pub(crate) fn request_ended(&self, team: &TeamName, code: Option<ResultCode>) {
        self.requests.add(1, &[self.team(team), result(code)]);
    }

    /// A request of `team` was sent that counts so many tokens.
    pub(crate) fn spent(&self, team: &TeamName, tokens: u32) {
        self.tokens.add(u64::from(tokens), &[self.team(team)]);
    }

    /// What is left of a team's quota here.
    pub(crate) fn left(&self, team: &TeamName, tokens: f64) {
        self.tokens_left.record(tokens, &[self.team(team)]);
    }

    fn team(&self, team: &TeamName) -> KeyValue {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let has_own =
            known.contains(team) || (known.len() < TEAMS_LIMIT && known.insert(team.clone()));
        let name = if has_own { team.as_str() } else { OTHERS };
        KeyValue::new("team", name.to_owned())
    }
}
