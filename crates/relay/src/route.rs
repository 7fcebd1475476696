//! A route of the configuration.

use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::ServiceName;

use crate::CallKind;

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight relative to the other services of the route.
    pub weight: f64,
}

/// How to handle requests to one host with one path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host to match.
    pub host: Arc<str>,
    /// The path prefix to match; starts and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Which retries are allowed.
    pub kind: CallKind,
    /// How long a request may take until its answer is complete.
    pub timeout: Duration,
    /// The latency objective; for streams, that of the first event.
    pub latency_objective: Duration,
    /// How long callers wait for the next event of a stream, including the first, before they
    /// disconnect.
    pub event_timeout: Duration,
    /// The longest pause between two events with which a stream is still on time, if there is one.
    pub longest_pause: Option<Duration>,
    /// The priority of its requests; 0 is the most urgent.
    pub priority: u8,
    /// The services to send requests to, with their weights. Never empty.
    pub services: Vec<WeightedService>,
    /// How many upstreams may run one request, including the first.
    pub max_attempts: u32,
    /// Whether callers without a key are served.
    pub allows_anonymous: bool,
}

impl Route {
    /// Whether requests of this route may go to `service`.
    pub fn leads_to(&self, service: &ServiceName) -> bool {
        let mut services = self.services.iter();
        services.any(|share| share.service == *service)
    }

    /// Chooses the service for a request by `draw`, a random number from 0 up to but not including
    /// 1.
    ///
    /// ```
    /// # use std::time::Duration;
    /// # use nutmegsail_relay::{CallKind, Route, WeightedService};
    /// let split = |service: &str, weight| WeightedService { service: service.into(), weight };
    /// let route = Route {
    ///     name: "notes".into(),
    ///     host: "desk.example".into(),
    ///     path_prefix: "/notes/".into(),
    ///     kind: CallKind::Idempotent,
    ///     timeout: Duration::from_secs(1),
    ///     latency_objective: Duration::from_millis(150),
    ///     event_timeout: Duration::from_secs(2),
    ///     longest_pause: None,
    ///     priority: 2,
    ///     services: vec![split("old", 90.0), split("new", 10.0)],
    ///     max_attempts: 2,
    ///     allows_anonymous: false,
    /// };
    /// assert_eq!(route.service(0.5).as_str(), "old");
    /// assert_eq!(route.service(0.95).as_str(), "new");
    /// ```
    pub fn service(&self, draw: f64) -> &ServiceName {
        let total: f64 = self.services.iter().map(|share| share.weight).sum();
        let mut left = draw * total;
        for share in &self.services {
            left -= share.weight;
            if left < 0.0 {
                return &share.service;
            }
        }
        &self.services[self.services.len() - 1].service
    }
}
