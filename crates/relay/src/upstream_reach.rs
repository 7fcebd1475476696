//! Whether this node can reach the upstreams of each service.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::ServiceName;

/// How long nothing may come back from any upstream of a service, while answers are pending, before
/// connections to it are probed.
const MAX_SILENCE: Duration = Duration::from_millis(400);

/// How many connections may fail to open before others are probed. One that is refused is mostly a
/// process that has ended.
const FAILED_OPENS_LIMIT: u32 = 2;

/// How long a failure to open a connection counts.
const FAILED_OPEN_TTL: Duration = Duration::from_secs(2);

/// The minimum time between two probes of a service.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// How many upstreams one probe tries, so that a cut of half of the paths is hardly ever taken for
/// a cut of all.
const PROBED_UPSTREAMS: usize = 6;

/// How many upstreams are tried while none could be reached.
const PROBED_WHILE_UNREACHABLE: usize = 2;

/// How long a node that reaches a service again shares its requests with other nodes. Its kept
/// connections are gone, and what it knows of loads and adapters is old.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// How long a contact shows that a service is reachable. A node that stalls for a second is not cut
/// off; one that is finds out by its probes.
const CONTACT_TTL: Duration = Duration::from_secs(2);

/// The age from which a contact is renewed by a probe while other nodes ask for the service, so that
/// the probe ends before the contact expires.
const CONTACT_RENEW_AGE: Duration = Duration::from_millis(400);

/// Why a connection to an upstream could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailedOpen {
    /// Nothing listens at the address.
    Refused,
    /// No answer came.
    Silent,
}

/// A service whose upstreams should be probed now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueProbe {
    /// The service.
    pub service: ServiceName,
    /// To how many of its upstreams a connection should be opened.
    pub upstreams: usize,
}

/// A change of whether a service can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachChange {
    /// None of its upstreams can be reached any more.
    Lost,
    /// One of its upstreams could be reached again.
    Regained,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Reach {
    #[default]
    Reachable,
    /// Not reachable since this time.
    Unreachable(Instant),
    /// Reachable again since this time.
    Returning(Instant),
}

/// Tracks whether connections to the upstreams of each service can be opened from this node.
///
/// Failures of single upstreams do not show that the node is cut off: upstreams crash, and are slow
/// or silent for a while. So failures only cause probes, which open connections to several
/// upstreams. If none opens, the service counts as unreachable until one does. Answers on open
/// connections are no evidence of the contrary, as these may live on while new ones are refused.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::{FailedOpen, ReachChange, UpstreamReach};
/// let (mut reach, now, service) = (UpstreamReach::default(), Instant::now(), "desk".into());
/// reach.record_failed_open(&service, FailedOpen::Silent, now);
/// assert_eq!(reach.due_probes(now)[0].service, service);
/// assert_eq!(reach.record_probe(&service, false, now), Some(ReachChange::Lost));
/// assert!(reach.is_unreachable(&service));
/// let later = now + Duration::from_millis(300);
/// assert_eq!(reach.record_probe(&service, true, later), Some(ReachChange::Regained));
/// assert_eq!(reach.local_share(&service, later), 0.0, "its requests return gradually");
/// assert_eq!(reach.local_share(&service, later + Duration::from_secs(2)), 1.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UpstreamReach {
    services: HashMap<ServiceName, ServiceReach>,
}

#[derive(Clone, Debug, Default)]
struct ServiceReach {
    reach: Reach,
    /// Sends whose answers have not ended.
    in_flight: u32,
    /// Since when nothing has come back although answers are pending.
    silent_since: Option<Instant>,
    /// When a part of an answer last arrived, or a connection was last opened.
    last_contact: Option<Instant>,
    failed_opens: u32,
    last_failed_open: Option<Instant>,
    /// Whether another node asked for this service and its last contact is due for renewal.
    is_probe_requested: bool,
    next_probe_at: Option<Instant>,
}

impl UpstreamReach {
    /// Records that a request was sent to an upstream of `service`.
    pub fn record_sent(&mut self, service: &ServiceName, now: Instant) {
        let known = self.entry(service);
        known.in_flight += 1;
        known.silent_since.get_or_insert(now);
    }

    /// Records that a send has ended, with or without an answer.
    pub fn record_ended(&mut self, service: &ServiceName) {
        let known = self.entry(service);
        known.in_flight = known.in_flight.saturating_sub(1);
        if known.in_flight == 0 {
            known.silent_since = None;
        }
    }

    /// Records that a part of an answer arrived.
    pub fn record_contact(&mut self, service: &ServiceName, now: Instant) {
        let known = self.entry(service);
        known.last_contact = Some(now);
        known.silent_since = (known.in_flight > 0).then_some(now);
    }

    /// Records that no connection to an upstream of `service` could be opened.
    pub fn record_failed_open(&mut self, service: &ServiceName, why: FailedOpen, now: Instant) {
        let known = self.entry(service);
        known.forget_old_failures(now);
        known.failed_opens += match why {
            FailedOpen::Refused => 1,
            FailedOpen::Silent => FAILED_OPENS_LIMIT,
        };
        known.last_failed_open = Some(now);
    }

    /// Requests a probe of `service` if its last contact is due for renewal, as another node asks
    /// whether it can be reached.
    pub fn request_probe(&mut self, service: &ServiceName, now: Instant) {
        let known = self.entry(service);
        known.is_probe_requested |= !known.has_contact_within(CONTACT_RENEW_AGE, now);
    }

    /// The services to probe now. Each is returned once per probe interval.
    pub fn due_probes(&mut self, now: Instant) -> Vec<DueProbe> {
        let mut due = Vec::new();
        for (service, known) in &mut self.services {
            if known.is_probe_due(now) {
                known.next_probe_at = Some(now + PROBE_INTERVAL);
                due.push(DueProbe {
                    service: service.clone(),
                    upstreams: match known.reach {
                        Reach::Unreachable(_) => PROBED_WHILE_UNREACHABLE,
                        Reach::Reachable | Reach::Returning(_) => PROBED_UPSTREAMS,
                    },
                });
            }
        }
        due
    }

    /// Records the result of a probe: whether any connection was opened.
    pub fn record_probe(
        &mut self,
        service: &ServiceName,
        has_opened: bool,
        now: Instant,
    ) -> Option<ReachChange> {
        let known = self.entry(service);
        known.is_probe_requested = false;
        known.next_probe_at = Some(now + PROBE_INTERVAL);
        let was_unreachable = known.is_unreachable();
        if !has_opened {
            if !was_unreachable {
                known.reach = Reach::Unreachable(now);
            }
            return (!was_unreachable).then_some(ReachChange::Lost);
        }
        known.last_contact = Some(now);
        known.silent_since = (known.in_flight > 0).then_some(now);
        known.failed_opens = 0;
        if was_unreachable {
            known.reach = Reach::Returning(now);
        }
        was_unreachable.then_some(ReachChange::Regained)
    }

    /// Whether no upstream of `service` can be reached.
    pub fn is_unreachable(&self, service: &ServiceName) -> bool {
        let known = self.services.get(service);
        known.is_some_and(ServiceReach::is_unreachable)
    }

    /// Whether `service` was reached lately and its requests need no other node.
    pub fn has_recent_contact(&self, service: &ServiceName, now: Instant) -> bool {
        let known = self.services.get(service);
        known.is_some_and(|known| {
            known.has_contact_within(CONTACT_TTL, now) && known.local_share(now) >= 1.0
        })
    }

    /// The fraction of requests for `service` that this node should send to upstreams itself.
    pub fn local_share(&self, service: &ServiceName, now: Instant) -> f64 {
        let known = self.services.get(service);
        known.map_or(1.0, |known| known.local_share(now))
    }

    /// The services of which this node does not serve all requests itself.
    pub fn services_to_forward(&self, now: Instant) -> Vec<ServiceName> {
        let services = self.services.iter();
        let services = services.filter(|(_, known)| known.local_share(now) < 1.0);
        services.map(|(service, _)| service.clone()).collect()
    }

    /// The services that have not been reachable for at least `duration`, in order.
    pub fn unreachable_for(&self, duration: Duration, now: Instant) -> Vec<ServiceName> {
        let services = self.services.iter().filter(|(_, known)| match known.reach {
            Reach::Unreachable(since) => now.saturating_duration_since(since) >= duration,
            Reach::Reachable | Reach::Returning(_) => false,
        });
        let mut services: Vec<_> = services.map(|(service, _)| service.clone()).collect();
        services.sort();
        services
    }

    /// The number of services that cannot be reached.
    pub fn unreachable_count(&self) -> usize {
        let services = self.services.values();
        let unreachable = services.filter(|known| known.is_unreachable());
        unreachable.count()
    }

    fn entry(&mut self, service: &ServiceName) -> &mut ServiceReach {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceReach::default());
        }
        self.services.entry(service.clone()).or_default()
    }
}

impl ServiceReach {
    fn is_unreachable(&self) -> bool {
        matches!(self.reach, Reach::Unreachable(_))
    }

    fn is_probe_due(&mut self, now: Instant) -> bool {
        self.forget_old_failures(now);
        let is_allowed = self.next_probe_at.is_none_or(|at| now >= at);
        let is_silent = self
            .silent_since
            .is_some_and(|since| now.saturating_duration_since(since) > MAX_SILENCE);
        is_allowed
            && (self.is_unreachable()
                || self.failed_opens >= FAILED_OPENS_LIMIT
                || is_silent
                || self.is_probe_requested)
    }

    fn forget_old_failures(&mut self, now: Instant) {
        let is_old = |at| now.saturating_duration_since(at) > FAILED_OPEN_TTL;
        if self.last_failed_open.is_some_and(is_old) {
            self.failed_opens = 0;
        }
    }

    fn has_contact_within(&self, limit: Duration, now: Instant) -> bool {
        self.last_contact
            .is_some_and(|at| now.saturating_duration_since(at) < limit)
    }

    fn local_share(&self, now: Instant) -> f64 {
        match self.reach {
            Reach::Reachable => 1.0,
            Reach::Unreachable(_) => 0.0,
            Reach::Returning(since) => {
                let elapsed = now.saturating_duration_since(since);
                elapsed.div_duration_f64(RETURN_TIME).min(1.0)
            }
        }
    }
}
