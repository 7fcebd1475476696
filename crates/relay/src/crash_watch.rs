//! Detects upstreams that ended while requests were starting there.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;

use crate::{RequestTraits, SuspectTrait};

/// How long after its first event a request counts as starting.
///
/// A request that crashes its upstream does so while it is read or starts to run. Streams run for
/// seconds, so most requests that an upstream runs when it ends started long before.
pub const STARTUP_PERIOD: Duration = Duration::from_secs(1);

/// How long after its first event an answer shows that the parts of its prompt do not crash the
/// upstream. Upstreams that end on account of a part do so when they begin to answer.
pub const PART_STARTUP_PERIOD: Duration = Duration::from_millis(250);

/// How long an upstream that was found to have ended counts as ended. Its connections break within
/// milliseconds, but some breaks are noticed only after the probe.
const ENDED_TTL: Duration = Duration::from_secs(2);

/// How long after an end requests may still be sent on connections to the process that ended.
const CLOSE_TIME: Duration = Duration::from_millis(100);

/// How soon after an end a process cannot be back. One that is reached sooner did not end: the way to
/// it refused connections for a moment.
const MIN_RESTART_TIME: Duration = Duration::from_millis(300);

/// How long the ends of an upstream are remembered. By then the list shows its running process.
const RESTART_TTL: Duration = Duration::from_secs(600);

/// A request whose connection broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRequest {
    /// What it may have in common with others.
    pub traits: RequestTraits,
    /// When it was sent.
    pub sent: Instant,
    /// Time since its first event, if one arrived.
    pub since_first_event: Option<Duration>,
}

impl BrokenRequest {
    /// Whether the request was still starting, so that it may have crashed the upstream.
    pub fn is_starting(&self) -> bool {
        self.has_run_less_than(STARTUP_PERIOD)
    }

    /// The traits that may have crashed the upstream.
    pub(crate) fn blamed_traits(&self) -> impl Iterator<Item = SuspectTrait> {
        let are_parts_blamed = self.has_run_less_than(PART_STARTUP_PERIOD);
        let traits = self.traits.iter();
        traits.filter(move |suspect| match suspect {
            SuspectTrait::Request(_) => true,
            SuspectTrait::PromptPart(_) => are_parts_blamed,
        })
    }

    fn has_run_less_than(&self, period: Duration) -> bool {
        self.since_first_event.is_none_or(|ago| ago < period)
    }
}

/// What to do about a broken request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRequestAction {
    /// Probe the upstream now.
    Check,
    /// Wait for the probe that is under way.
    Wait,
    /// The upstream has ended: add a strike to the request.
    Strike,
    /// Nothing: the request ran too long to be the cause.
    Ignore,
}

/// Result of probing an upstream's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// It accepts connections.
    Connected,
    /// It refuses connections: nothing listens there any more.
    Refused,
    /// No answer: the upstream or the network path to it is gone.
    Silent,
}

/// Distinguishes upstreams that ended from connections that broke for other reasons.
///
/// An upstream that has ended refuses connections. One that sent a garbled answer, or whose
/// connections were reset on the way, still accepts them; one behind a network partition does not
/// answer.
///
/// ```
/// use std::time::Instant;
/// use nutmegsail_relay::{
///     BrokenRequest, BrokenRequestAction, CrashWatch, ProbeResult, RequestContent, RequestDigest,
///     RequestTraits,
/// };
/// let content = RequestContent { method: "POST", host: "spa", path: "/", team: None, body: b"" };
/// let traits = RequestTraits::new(&"engines".into(), RequestDigest::of(&content), []);
/// let (mut watch, now) = (CrashWatch::default(), Instant::now());
/// let broken = BrokenRequest { traits, sent: now, since_first_event: None };
/// let action = watch.note_broken(&"engine-1".into(), broken.clone(), now);
/// assert_eq!(action, BrokenRequestAction::Check);
/// let struck = watch.record_probe(&"engine-1".into(), ProbeResult::Refused, now);
/// assert_eq!(struck, [broken]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashWatch {
    upstreams: HashMap<UpstreamId, ProbeState>,
    restarts: HashMap<UpstreamId, UnlistedRestarts>,
}

#[derive(Clone, Debug)]
enum ProbeState {
    /// A probe is under way. Holds the requests whose connections broke.
    Probing(Vec<BrokenRequest>),
    /// The upstream was found to have ended at this time.
    Ended(Instant),
}

/// Restarts of an upstream under an id that the list still shows.
#[derive(Clone, Copy, Debug)]
struct UnlistedRestarts {
    count: u32,
    last: Instant,
}

impl CrashWatch {
    /// Records that the connection of a request to `upstream` broke before its answer was complete.
    pub fn note_broken(
        &mut self,
        upstream: &UpstreamId,
        broken: BrokenRequest,
        now: Instant,
    ) -> BrokenRequestAction {
        if !broken.is_starting() {
            return BrokenRequestAction::Ignore;
        }
        self.forget_old(now);
        if let Some(before_send) = broken.sent.checked_sub(CLOSE_TIME) {
            self.record_received(upstream, before_send);
        }
        match self.upstreams.get_mut(upstream) {
            Some(ProbeState::Ended(at)) if now.saturating_duration_since(*at) < ENDED_TTL => {
                BrokenRequestAction::Strike
            }
            Some(ProbeState::Probing(broken_requests)) => {
                broken_requests.push(broken);
                BrokenRequestAction::Wait
            }
            Some(ProbeState::Ended(_)) | None => {
                let probing = ProbeState::Probing(vec![broken]);
                self.upstreams.insert(upstream.clone(), probing);
                BrokenRequestAction::Check
            }
        }
    }

    /// Records the result of a probe, and returns the requests to add a strike to.
    pub fn record_probe(
        &mut self,
        upstream: &UpstreamId,
        reach: ProbeResult,
        now: Instant,
    ) -> Vec<BrokenRequest> {
        let Some(ProbeState::Probing(mut broken)) = self.upstreams.remove(upstream) else {
            return Vec::new();
        };
        if reach != ProbeResult::Refused {
            return Vec::new();
        }
        self.upstreams
            .insert(upstream.clone(), ProbeState::Ended(now));
        broken.sort_by_key(|broken| (*broken.traits.digest(), Reverse(broken.sent)));
        broken.dedup_by_key(|broken| *broken.traits.digest());
        broken
    }

    /// Records that `upstream` received a request that was sent at `sent`. If it had ended long enough
    /// before that, another process received it, which is not listed yet.
    pub fn record_received(&mut self, upstream: &UpstreamId, sent: Instant) {
        let ended = match self.upstreams.get(upstream) {
            Some(ProbeState::Ended(at)) if *at < sent => *at,
            _ => return,
        };
        self.upstreams.remove(upstream);
        if sent.duration_since(ended) < MIN_RESTART_TIME {
            return;
        }
        let restarts = self.restarts.entry(upstream.clone());
        let restarts = restarts.or_insert(UnlistedRestarts {
            count: 0,
            last: sent,
        });
        restarts.count += 1;
        restarts.last = sent;
    }

    /// The id of the process that runs under `upstream`: the listed one, or one of its own for each
    /// restart that is not listed yet.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use nutmegsail_relay::{
    ///     BrokenRequest, CrashWatch, ProbeResult, RequestContent, RequestDigest, RequestTraits,
    /// };
    /// let content =
    ///     RequestContent { method: "POST", host: "spa", path: "/", team: None, body: b"" };
    /// let traits = RequestTraits::new(&"engines".into(), RequestDigest::of(&content), []);
    /// let (mut watch, now, engine) = (CrashWatch::default(), Instant::now(), "engine-1@7".into());
    /// let broken = BrokenRequest { traits, sent: now, since_first_event: None };
    /// watch.note_broken(&engine, broken, now);
    /// watch.record_probe(&engine, ProbeResult::Refused, now);
    /// assert_eq!(watch.process_of(&engine), engine);
    /// watch.record_received(&engine, now + Duration::from_secs(1));
    /// assert_ne!(watch.process_of(&engine), engine, "it has restarted");
    /// ```
    pub fn process_of(&self, upstream: &UpstreamId) -> UpstreamId {
        match self.restarts.get(upstream) {
            Some(restarts) => format!("{upstream}+{}", restarts.count).into(),
            None => upstream.clone(),
        }
    }

    /// Whether a probe is under way of an upstream that a request with one of these traits may have
    /// crashed. `is_sound` says of a prompt part that it is hardly the cause.
    pub fn is_probing(&self, traits: &RequestTraits, is_sound: impl Fn(u64) -> bool) -> bool {
        let probing = self.upstreams.values().flat_map(|state| match state {
            ProbeState::Probing(broken) => broken.as_slice(),
            ProbeState::Ended(_) => &[],
        });
        let mut suspects = probing.flat_map(BrokenRequest::blamed_traits);
        suspects.any(|suspect| match suspect {
            SuspectTrait::PromptPart(id) => traits.contains(&suspect) && !is_sound(id),
            SuspectTrait::Request(_) => traits.contains(&suspect),
        })
    }

    fn forget_old(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RESTART_TTL;
        self.upstreams.retain(|_, state| match state {
            ProbeState::Probing(_) => true,
            ProbeState::Ended(at) => is_recent(*at),
        });
        self.restarts.retain(|_, restarts| is_recent(restarts.last));
    }
}
