//! One route of the configuration.

use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::ServiceName;

use crate::CallKind;

/// A service that gets a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the others of the route.
    pub weight: f64,
}

/// Requests of one host whose path begins with one prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host it answers for.
    pub host: Arc<str>,
    /// The start of the paths it answers for; begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: CallKind,
    /// How long a request may be kept waiting for the whole of its answer.
    pub timeout: Duration,
    /// The latency objective; for streams, of the first event.
    pub objective: Duration,
    /// How long callers wait for the next event of a stream, the first included, before they leave.
    pub event_patience: Duration,
    /// The rank; 0 is the most urgent.
    pub priority: u8,
    /// The services that answer, with their shares. Never empty.
    pub services: Vec<WeightedService>,
    /// How many upstreams may run one request.
    pub max_attempts: u32,
    /// Whether callers without a key are served.
    pub allows_anonymous: bool,
}

impl Route {
    /// The service for a request, for `draw` from 0 up to but not including 1.
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
    ///     objective: Duration::from_millis(150),
    ///     event_patience: Duration::from_secs(2),
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
