//! Services whose upstreams fall over if they have to refuse many requests.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use nutmegsail_base::ServiceName;
use serde::{Deserialize, Serialize};

/// How long an announcement holds. All answers of a brittle upstream repeat it, but a service may
/// be without answers for a while.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(4);

/// How long a process that has started may not know of announcements from before, at most: other
/// nodes repeat them.
const UNINFORMED_TIME: Duration = Duration::from_secs(1);

/// An announcement that nodes send to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrittleUpdate {
    /// The service.
    pub service: ServiceName,
    /// How long ago an upstream of it announced this, in milliseconds.
    pub age_ms: u32,
}

/// The services whose upstreams have announced that they are brittle, as one node knows them.
///
/// An upstream that is brittle falls over if it has to refuse more than a few requests in a second,
/// whoever sends them. All upstreams of a service are brittle at the same times.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::BrittleServices;
/// let (mut brittle, now, desk) = (BrittleServices::default(), Instant::now(), "desk".into());
/// assert!(brittle.record_announcement(&desk, now), "it is new");
/// assert!(!brittle.record_announcement(&desk, now));
/// assert!(brittle.is_brittle(&desk, now + Duration::from_secs(3)));
/// assert_eq!(brittle.take_ended(now + Duration::from_secs(5)), [desk]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct BrittleServices {
    announced_at: HashMap<ServiceName, Instant>,
    changes: u64,
    /// Until when announcements from before this process started may be unknown.
    uninformed_until: Option<Instant>,
    /// Services of which an upstream has answered without an announcement meanwhile.
    answered: HashSet<ServiceName>,
}

impl BrittleServices {
    /// The services that a process knows when it starts.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use nutmegsail_relay::BrittleServices;
    /// let (now, desk, notes) = (Instant::now(), "desk".into(), "notes".into());
    /// let mut brittle = BrittleServices::starting(now);
    /// assert!(!brittle.is_known(&desk, now));
    /// brittle.record_answer(&desk);
    /// assert!(brittle.is_known(&desk, now) && !brittle.is_known(&notes, now));
    /// brittle.record_informed();
    /// assert!(brittle.is_known(&notes, now));
    /// ```
    pub fn starting(now: Instant) -> Self {
        Self {
            uninformed_until: Some(now + UNINFORMED_TIME),
            ..Self::default()
        }
    }

    /// Records that another node has sent all announcements that it knows.
    pub fn record_informed(&mut self) {
        self.uninformed_until = None;
        self.answered.clear();
    }

    /// Records that an upstream of `service` answered without an announcement.
    pub fn record_answer(&mut self, service: &ServiceName) {
        if self.uninformed_until.is_some() && !self.answered.contains(service) {
            self.answered.insert(service.clone());
        }
    }

    /// Whether it is known if the upstreams of `service` are brittle.
    pub fn is_known(&self, service: &ServiceName, now: Instant) -> bool {
        self.uninformed_until.is_none_or(|until| now >= until)
            || self.answered.contains(service)
            || self.announced_at.contains_key(service)
    }

    /// Records that an upstream of `service` announced that it is brittle; returns whether this is
    /// new.
    pub fn record_announcement(&mut self, service: &ServiceName, now: Instant) -> bool {
        let is_new = !self.is_brittle(service, now);
        self.changes += u64::from(is_new);
        let at = self.announced_at.entry(service.clone()).or_insert(now);
        *at = (*at).max(now);
        is_new
    }

    /// Applies an announcement that another node sent; returns whether this is new.
    pub fn take(&mut self, update: &BrittleUpdate, now: Instant) -> bool {
        let age = Duration::from_millis(u64::from(update.age_ms));
        let Some(at) = now.checked_sub(age).filter(|_| age < ANNOUNCEMENT_TTL) else {
            return false;
        };
        let is_new = !self.is_brittle(&update.service, now);
        let known = self.announced_at.entry(update.service.clone());
        let known = known.or_insert(at);
        *known = (*known).max(at);
        self.changes += u64::from(is_new);
        is_new
    }

    /// Whether the upstreams of `service` are brittle.
    pub fn is_brittle(&self, service: &ServiceName, now: Instant) -> bool {
        let at = self.announced_at.get(service);
        at.is_some_and(|at| now.saturating_duration_since(*at) < ANNOUNCEMENT_TTL)
    }

    /// Removes and returns the services whose announcements no longer hold.
    pub fn take_ended(&mut self, now: Instant) -> Vec<ServiceName> {
        let is_over = |at: &Instant| now.saturating_duration_since(*at) >= ANNOUNCEMENT_TTL;
        let ended = self.announced_at.extract_if(|_, at| is_over(at));
        let ended: Vec<ServiceName> = ended.map(|(service, _)| service).collect();
        self.changes += ended.len() as u64;
        ended
    }

    /// All announcements that hold, to be sent to other nodes.
    pub fn updates(&self, now: Instant) -> Vec<BrittleUpdate> {
        let known = self.announced_at.iter();
        let updates = known.map(|(service, at)| {
            let age = now.saturating_duration_since(*at);
            BrittleUpdate {
                service: service.clone(),
                age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            }
        });
        updates.collect()
    }

    /// How often a service has become brittle, or has ceased to be.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// The number of brittle services.
    pub fn count(&self) -> usize {
        self.announced_at.len()
    }
}
