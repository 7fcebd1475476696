//! What a run simulates.

use std::time::Duration;

use nutmegsail_routing::RoutingWeights;

/// A deployment, its load and what goes wrong. Defaults are those of Blue Mahoe's spa-scribe.
#[derive(Clone, Debug)]
pub(crate) struct Scenario {
    pub(crate) deployment: &'static str,
    pub(crate) domains: usize,
    pub(crate) nodes_per_domain: usize,
    pub(crate) engines_per_domain: usize,
    pub(crate) adapters: usize,
    /// The exponent of Zipf's law over adapters.
    pub(crate) zipf: f64,
    pub(crate) adapter_slots: usize,
    pub(crate) batch_slots: usize,
    pub(crate) weights: RoutingWeights,
    pub(crate) urgent_headroom: f64,
    pub(crate) requests_per_s: f64,
    pub(crate) urgent_share: f64,
    /// Mean tokens of an urgent answer.
    pub(crate) urgent_tokens: f64,
    /// Mean tokens of a routine answer.
    pub(crate) routine_tokens: f64,
    pub(crate) urgent_deadline: Duration,
    pub(crate) routine_deadline: Duration,
    /// How long one load takes at full speed; the store serves one at a time.
    pub(crate) load_time: Duration,
    pub(crate) report_interval: Duration,
    pub(crate) report_lag: Duration,
    /// Not measured.
    pub(crate) warm_up: Duration,
    pub(crate) measured: Duration,
    /// The share of attempts that fail while measured.
    pub(crate) failing_share: f64,
    /// Whether the first failure domain loses its engines once the run is measured.
    pub(crate) loses_domain: bool,
    /// Whether every adapter is ready everywhere, to look at load alone.
    pub(crate) has_all_adapters: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            deployment: "jm-west",
            domains: 3,
            nodes_per_domain: 2,
            engines_per_domain: 4,
            adapters: 3_000,
            zipf: 1.5,
            adapter_slots: 8,
            batch_slots: 16,
            weights: RoutingWeights {
                load_stalls: 0.8,
                batch_efficiency: 0.2,
            },
            urgent_headroom: 0.25,
            requests_per_s: 20.0,
            urgent_share: 0.5,
            urgent_tokens: 40.0,
            routine_tokens: 160.0,
            urgent_deadline: Duration::from_secs(10),
            routine_deadline: Duration::from_secs(60),
            load_time: Duration::from_millis(333),
            report_interval: Duration::from_millis(500),
            report_lag: Duration::from_millis(500),
            warm_up: Duration::from_secs(60),
            measured: Duration::from_secs(120),
            failing_share: 0.0,
            loses_domain: false,
            has_all_adapters: false,
        }
    }
}

impl Scenario {
    /// Blue Mahoe: 3 failure domains, 12 servers, load stalls weigh more.
    pub(crate) fn jm_west() -> Self {
        Self::default()
    }

    /// Proofmark: 4 failure domains, 12 servers, batch efficiency weighs more, long passes.
    pub(crate) fn mu_north() -> Self {
        Self {
            deployment: "mu-north",
            domains: 4,
            engines_per_domain: 3,
            weights: RoutingWeights {
                load_stalls: 0.3,
                batch_efficiency: 0.7,
            },
            urgent_headroom: 0.2,
            urgent_share: 0.25,
            routine_tokens: 240.0,
            ..Self::default()
        }
    }

    pub(crate) fn engines(&self) -> usize {
        self.domains * self.engines_per_domain
    }

    pub(crate) fn nodes(&self) -> usize {
        self.domains * self.nodes_per_domain
    }

    pub(crate) fn domain_of_engine(&self, engine: usize) -> usize {
        engine / self.engines_per_domain
    }

    pub(crate) fn domain_of_node(&self, node: usize) -> usize {
        node / self.nodes_per_domain
    }
}
