//! The routing part of the operators' configuration text, as plain data.

use nutmegsail_base::{FailureDomain, ServiceName, UpstreamId};

/// The operators' weights, each from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingWeights {
    /// Cost of a wait for an adapter.
    pub load_stalls: f64,
    /// Cost of an engine step whose batch is not full.
    pub batch_efficiency: f64,
}

impl Default for RoutingWeights {
    fn default() -> Self {
        Self {
            load_stalls: 0.5,
            batch_efficiency: 0.5,
        }
    }
}

/// An upstream of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamPlan {
    /// Its `host:port`.
    pub upstream: UpstreamId,
    /// The failure domain it runs in.
    pub failure_domain: FailureDomain,
}

/// One service, its upstreams and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// Its name.
    pub name: ServiceName,
    /// Its upstreams in every failure domain. An upstream belongs to one service.
    pub upstreams: Vec<UpstreamPlan>,
    /// Places of one upstream: how many requests it may have in flight.
    pub in_flight_per_upstream: u32,
    /// How many requests an engine batches in one step; 0 for a plain service.
    pub batch_slots: u32,
    /// The share of an upstream's places reserved for urgent requests, 0 to 1.
    pub urgent_headroom: f64,
    /// How many requests of one class may wait on this node; further ones are refused.
    pub queue_per_class: u32,
    /// The minimum share of throughput for routine requests under urgent load, 0 to 1.
    pub routine_floor: f64,
    /// Retries as a share of first sends, 0 to 1.
    pub retry_budget: f64,
}

impl Default for ServicePlan {
    fn default() -> Self {
        Self {
            name: ServiceName::from(""),
            upstreams: Vec::new(),
            in_flight_per_upstream: 32,
            batch_slots: 0,
            urgent_headroom: 0.2,
            queue_per_class: 1_000,
            routine_floor: 0.1,
            retry_budget: 0.1,
        }
    }
}

impl ServicePlan {
    /// A service with default limits and without upstreams.
    ///
    /// ```
    /// let service = nutmegsail_routing::ServicePlan::new("spa-desk")
    ///     .with_upstream("10.0.0.7:8000", "negril-hall")
    ///     .with_in_flight_per_upstream(8);
    /// assert_eq!(service.upstreams.len(), 1);
    /// ```
    pub fn new(name: impl Into<ServiceName>) -> Self {
        Self {
            name: name.into(),
            ..Self::default()
        }
    }

    /// Adds an upstream.
    pub fn with_upstream(
        mut self,
        upstream: impl Into<UpstreamId>,
        failure_domain: impl Into<FailureDomain>,
    ) -> Self {
        self.upstreams.push(UpstreamPlan {
            upstream: upstream.into(),
            failure_domain: failure_domain.into(),
        });
        self
    }

    /// Sets how many requests one upstream may have in flight.
    pub fn with_in_flight_per_upstream(mut self, requests: u32) -> Self {
        self.in_flight_per_upstream = requests;
        self
    }

    /// Sets how many requests an engine batches in one step.
    pub fn with_batch_slots(mut self, requests: u32) -> Self {
        self.batch_slots = requests;
        self
    }

    /// Sets the share of places reserved for urgent requests.
    pub fn with_urgent_headroom(mut self, share: f64) -> Self {
        self.urgent_headroom = share;
        self
    }

    /// Sets how many requests of one class may wait.
    pub fn with_queue_per_class(mut self, requests: u32) -> Self {
        self.queue_per_class = requests;
        self
    }

    /// Sets the minimum share of throughput for routine requests.
    pub fn with_routine_floor(mut self, share: f64) -> Self {
        self.routine_floor = share;
        self
    }

    /// Sets the share of first sends that may be retried.
    pub fn with_retry_budget(mut self, ratio: f64) -> Self {
        self.retry_budget = ratio;
        self
    }

    /// The number of an upstream's places reserved for urgent requests.
    pub(crate) fn headroom_places(&self) -> u32 {
        let places = f64::from(self.in_flight_per_upstream) * self.urgent_headroom;
        // One place must remain for routine requests, or their minimum share could not be met.
        (places.ceil() as u32).min(self.in_flight_per_upstream.saturating_sub(1))
    }
}

/// The routing part of the operators' configuration text.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingPlan {
    /// The generation of the text. A plan older than the current one is ignored.
    pub generation: u64,
    /// The failure domain of this node.
    pub own_domain: FailureDomain,
    /// The operators' weights.
    pub weights: RoutingWeights,
    /// How many requests one caller may have waiting or in flight on this node.
    pub in_flight_per_caller: u32,
    /// How many adapter loads per second the weight store allows.
    pub loads_per_s: f64,
    /// All services.
    pub services: Vec<ServicePlan>,
}

impl Default for RoutingPlan {
    fn default() -> Self {
        Self {
            generation: 0,
            own_domain: FailureDomain::from(""),
            weights: RoutingWeights::default(),
            in_flight_per_caller: 1_000,
            loads_per_s: 3.0,
            services: Vec::new(),
        }
    }
}

impl RoutingPlan {
    /// A plan without services, for a node in `own_domain`.
    ///
    /// ```
    /// use nutmegsail_routing::{RoutingPlan, ServicePlan};
    /// let plan = RoutingPlan::new(7, "moka").with_service(ServicePlan::new("editlm"));
    /// assert_eq!(plan.generation, 7);
    /// ```
    pub fn new(generation: u64, own_domain: impl Into<FailureDomain>) -> Self {
        Self {
            generation,
            own_domain: own_domain.into(),
            ..Self::default()
        }
    }

    /// Adds a service.
    pub fn with_service(mut self, service: ServicePlan) -> Self {
        self.services.push(service);
        self
    }

    /// Sets the operators' weights.
    pub fn with_weights(mut self, weights: RoutingWeights) -> Self {
        self.weights = weights;
        self
    }

    /// Sets how many requests one caller may have waiting or in flight on this node.
    pub fn with_in_flight_per_caller(mut self, requests: u32) -> Self {
        self.in_flight_per_caller = requests;
        self
    }

    /// Sets how many adapter loads per second the weight store allows.
    pub fn with_loads_per_s(mut self, loads_per_s: f64) -> Self {
        self.loads_per_s = loads_per_s;
        self
    }
}
