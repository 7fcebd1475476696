//! The configuration in force, arranged for routing.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::ServiceName;

use crate::{Route, Service, Teams};

/// Added to the time for which streams can be resumed, as clocks and views of nodes differ.
const STREAM_LIFETIME_MARGIN: Duration = Duration::from_secs(30);

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest size of a request's head, in bytes.
    pub header_bytes: usize,
    /// Largest size of a request's body, in bytes.
    pub body_bytes: usize,
    /// How long a request's head or body may take to arrive.
    pub read_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteTable {
    /// The configuration's version.
    pub version: u64,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    services: HashMap<ServiceName, Arc<Service>>,
    /// Routes by host, with the longest path prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    teams: Option<Teams>,
    stream_lifetimes: HashMap<ServiceName, Duration>,
}

impl RouteTable {
    /// Indexes routes and services for look-up.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: Vec<Route>,
        services: Vec<Service>,
    ) -> Self {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            let host = Arc::clone(&route.host);
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let stream_lifetimes = stream_lifetimes(by_host.values().flatten());
        let named = |service: Service| (service.name.clone(), Arc::new(service));
        Self {
            version,
            limits,
            services: services.into_iter().map(named).collect(),
            routes: by_host,
            stream_lifetimes,
            teams: None,
        }
    }

    /// Adds teams, after which callers need a key.
    #[must_use]
    pub fn with_teams(mut self, teams: Teams) -> Self {
        self.teams = Some(teams);
        self
    }

    /// The teams, or `None` if callers need no key.
    pub fn teams(&self) -> Option<&Teams> {
        self.teams.as_ref()
    }

    /// The route of `host` with the longest prefix that matches `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&*route.path_prefix))
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// How long after its begin a stream can be resumed, for each service that a resumable route
    /// leads to.
    pub fn stream_lifetimes(&self) -> &HashMap<ServiceName, Duration> {
        &self.stream_lifetimes
    }

    /// The service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

/// The caller's first try and the one that resumes last may each take the route's timeout.
fn stream_lifetimes<'a>(
    routes: impl Iterator<Item = &'a Arc<Route>>,
) -> HashMap<ServiceName, Duration> {
    let mut lifetimes: HashMap<ServiceName, Duration> = HashMap::new();
    let resumable = routes.filter(|route| route.kind.is_stream() && route.kind.may_retry());
    for route in resumable {
        let lifetime = route.timeout * 2 + STREAM_LIFETIME_MARGIN;
        for share in &route.services {
            let longest = lifetimes.entry(share.service.clone()).or_default();
            *longest = lifetime.max(*longest);
        }
    }
    lifetimes
}
