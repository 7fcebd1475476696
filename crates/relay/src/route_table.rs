//! The configuration in force, arranged for routing.

use std::collections::{BTreeSet, HashMap, HashSet};
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
    stream_services: HashMap<ServiceName, StreamService>,
}

/// A service that resumable routes lead to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamService {
    /// How long after its begin a stream can be resumed.
    pub lifetime: Duration,
    /// Whether one of the routes leads to other services too, so that a stream may have begun there.
    pub is_split: bool,
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
        let stream_services = stream_services(by_host.values().flatten());
        let named = |service: Service| (service.name.clone(), Arc::new(service));
        Self {
            version,
            limits,
            services: services.into_iter().map(named).collect(),
            routes: by_host,
            stream_services,
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

    /// The services that a route of streams with a longest pause leads to.
    pub fn paced_services(&self) -> HashSet<&ServiceName> {
        let routes = self.routes.values().flatten();
        let paced = routes.filter(|route| route.kind.is_stream() && route.longest_pause.is_some());
        let services = paced.flat_map(|route| &route.services);
        services.map(|share| &share.service).collect()
    }

    /// The services that resumable routes lead to.
    pub fn stream_services(&self) -> &HashMap<ServiceName, StreamService> {
        &self.stream_services
    }

    /// The services to which a resumable route leads that led elsewhere by `before`. Streams that
    /// callers resume there may have begun at another service.
    pub fn moved_services(&self, before: &Self) -> BTreeSet<ServiceName> {
        let routes = self.routes.values().flatten();
        let moved = routes.filter(|route| is_resumable(route) && before.leads_elsewhere(route));
        let services = moved.flat_map(|route| &route.services);
        services.map(|share| share.service.clone()).collect()
    }

    /// Whether requests for the prefix of `route` go to other services than those of `route`.
    fn leads_elsewhere(&self, route: &Route) -> bool {
        let known = self.route(&route.host, &route.path_prefix);
        known.is_some_and(|known| service_names(known) != service_names(route))
    }

    /// The service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }
}

fn is_resumable(route: &Route) -> bool {
    route.kind.is_stream() && route.kind.may_retry()
}

fn service_names(route: &Route) -> BTreeSet<&ServiceName> {
    route.services.iter().map(|share| &share.service).collect()
}

fn stream_services<'a>(
    routes: impl Iterator<Item = &'a Arc<Route>>,
) -> HashMap<ServiceName, StreamService> {
    let mut services: HashMap<ServiceName, StreamService> = HashMap::new();
    for route in routes.filter(|route| is_resumable(route)) {
        // The caller's first try and the one that resumes last may each take the route's timeout.
        let lifetime = route.timeout * 2 + STREAM_LIFETIME_MARGIN;
        let names = service_names(route);
        for name in &names {
            let service = services.entry((*name).clone()).or_default();
            service.lifetime = lifetime.max(service.lifetime);
            service.is_split |= names.len() > 1;
        }
    }
    services
}
