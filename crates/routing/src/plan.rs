//! What the operators' text in force says about routing, as plain data.

use nutmegsail_base::{FailureDomain, ServiceName, UpstreamId};

/// What the operators weigh, each 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoutingWeights {
    /// How much a wait for an adapter costs.
    pub load_stalls: f64,
    /// How much a step that is not full costs.
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
    /// Where it stands.
    pub failure_domain: FailureDomain,
}

/// One service with its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePlan {
    /// Its name.
    pub name: ServiceName,
    /// Its upstreams in every failure domain. An upstream belongs to one service.
    pub upstreams: Vec<UpstreamPlan>,
    /// How many requests one upstream takes at a time.
    pub in_flight_per_upstream: u32,
    /// How many requests an engine batches in a step; 0 for a plain service.
    pub batch_slots: u32,
    /// The share of an upstream's places that only urgent work may take, 0 to 1.
    pub urgent_headroom: f64,
    /// How many requests of one class wait on this node before more are refused.
    pub queue_per_class: u32,
    /// The share of throughput that routine work keeps under urgent load, 0 to 1.
    pub routine_floor: f64,
    /// Second sends over first sends, 0 to 1.
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
    /// A service with default limits and no upstream yet.
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

    /// Sets how many requests one upstream takes at a time.
    pub fn with_in_flight_per_upstream(mut self, requests: u32) -> Self {
        self.in_flight_per_upstream = requests;
        self
    }

    /// Sets how many requests an engine batches in a step.
    pub fn with_batch_slots(mut self, requests: u32) -> Self {
        self.batch_slots = requests;
        self
    }

    /// Sets the share of places that only urgent work may take.
    pub fn with_urgent_headroom(mut self, share: f64) -> Self {
        self.urgent_headroom = share;
        self
    }

    /// Sets how many requests of one class wait.
    pub fn with_queue_per_class(mut self, requests: u32) -> Self {
        self.queue_per_class = requests;
        self
    }

    /// Sets the share of throughput that routine work keeps.
    pub fn with_routine_floor(mut self, share: f64) -> Self {
        self.routine_floor = share;
        self
    }

    /// Sets second sends over first sends.
    pub fn with_retry_budget(mut self, ratio: f64) -> Self {
        self.retry_budget = ratio;
        self
    }

    /// Places of an upstream that routine work may never take.
    pub(crate) fn headroom_places(&self) -> u32 {
        let places = f64::from(self.in_flight_per_upstream) * self.urgent_headroom;
        // At least one place stays for routine work, or its floor could not be kept.
        (places.ceil() as u32).min(self.in_flight_per_upstream.saturating_sub(1))
    }
}

/// What the operators' text in force says about routing.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingPlan {
    /// The generation of the text. An older plan than the one in force is ignored.
    pub generation: u64,
    /// The failure domain of this node.
    pub own_domain: FailureDomain,
    /// What the operators weigh.
    pub weights: RoutingWeights,
    /// Requests that one caller may have waiting or in flight on this node.
    pub in_flight_per_caller: u32,
    /// Loads a second that the weight store allows.
    pub loads_per_s: f64,
    /// Every service.
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

    /// Sets what the operators weigh.
    pub fn with_weights(mut self, weights: RoutingWeights) -> Self {
        self.weights = weights;
        self
    }

    /// Sets how many requests one caller may have on this node.
    pub fn with_in_flight_per_caller(mut self, requests: u32) -> Self {
        self.in_flight_per_caller = requests;
        self
    }

    /// Sets the weight store's rate.
    pub fn with_loads_per_s(mut self, loads_per_s: f64) -> Self {
        self.loads_per_s = loads_per_s;
        self
    }
}
