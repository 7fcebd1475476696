//! Which upstreams ended while requests ran there.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;

use crate::RequestDigest;

/// How long after its first event a request counts as beginning.
///
/// A request that crashes its upstream does so when it is read or begins to run. Streams run for seconds, so most
/// of what an upstream runs when it ends has begun long before.
pub const BEGINNING: Duration = Duration::from_secs(1);

/// How long an upstream that was found to have ended counts as ended. Its connections break within
/// milliseconds, and some are noticed after it was looked for.
const ENDED_SPAN: Duration = Duration::from_secs(2);

/// A request whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BrokenRequest {
    /// Its content.
    pub digest: RequestDigest,
    /// How long ago its first event came, if it came.
    pub began_ago: Option<Duration>,
}

impl BrokenRequest {
    /// Whether it may be what ended the upstream.
    pub fn is_beginning(&self) -> bool {
        self.began_ago.is_none_or(|ago| ago < BEGINNING)
    }
}

/// What becomes of a broken request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStep {
    /// The upstream is to be looked for now.
    Check,
    /// It is being looked for already.
    Wait,
    /// It has ended, which is held against the request.
    Strike,
    /// The request had run for long enough to be none of the causes.
    Ignore,
}

/// What was found where an upstream listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// It takes connections.
    Connected,
    /// Nothing listens there any more.
    Refused,
    /// No answer: it, or the way to it, is gone.
    Silent,
}

/// Tells upstreams that end from connections that break for another reason.
///
/// One that garbles an answer, or whose connections are reset on the way, still takes connections; one that is
/// behind a partition does not answer; one that has ended refuses them.
///
/// ```
/// use std::time::Instant;
/// use nutmegsail_relay::{BrokenRequest, CrashStep, CrashWatch, Reach, RequestContent, RequestDigest};
/// let content = RequestContent { method: "POST", host: "spa", path: "/", team: None, body: b"" };
/// let broken = BrokenRequest { digest: RequestDigest::of(&content), began_ago: None };
/// let (mut watch, now) = (CrashWatch::default(), Instant::now());
/// assert_eq!(watch.note_broken(&"engine-1".into(), broken, now), CrashStep::Check);
/// let struck = watch.note_reach(&"engine-1".into(), Reach::Refused, now);
/// assert_eq!(struck, [broken.digest]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashWatch {
    upstreams: HashMap<UpstreamId, Watched>,
}

#[derive(Clone, Debug)]
enum Watched {
    /// It is being looked for; the requests whose connections to it broke.
    Checking(Vec<RequestDigest>),
    /// It has ended.
    Ended(Instant),
}

impl CrashWatch {
    /// Takes in that the connection of a request to `upstream` broke before its answer was whole.
    pub fn note_broken(
        &mut self,
        upstream: &UpstreamId,
        broken: BrokenRequest,
        now: Instant,
    ) -> CrashStep {
        if !broken.is_beginning() {
            return CrashStep::Ignore;
        }
        self.forget_ended(now);
        match self.upstreams.get_mut(upstream) {
            Some(Watched::Ended(_)) => CrashStep::Strike,
            Some(Watched::Checking(broken_there)) => {
                broken_there.push(broken.digest);
                CrashStep::Wait
            }
            None => {
                let checking = Watched::Checking(vec![broken.digest]);
                self.upstreams.insert(upstream.clone(), checking);
                CrashStep::Check
            }
        }
    }

    /// Takes in what was found at `upstream`, and returns the requests that its end is held against.
    pub fn note_reach(
        &mut self,
        upstream: &UpstreamId,
        reach: Reach,
        now: Instant,
    ) -> Vec<RequestDigest> {
        let Some(Watched::Checking(mut broken)) = self.upstreams.remove(upstream) else {
            return Vec::new();
        };
        if reach != Reach::Refused {
            return Vec::new();
        }
        self.upstreams.insert(upstream.clone(), Watched::Ended(now));
        broken.sort_unstable();
        broken.dedup();
        broken
    }

    /// Whether an upstream is being looked for that `digest` may have ended.
    pub fn is_checking(&self, digest: &RequestDigest) -> bool {
        self.upstreams.values().any(|watched| match watched {
            Watched::Checking(broken) => broken.contains(digest),
            Watched::Ended(_) => false,
        })
    }

    fn forget_ended(&mut self, now: Instant) {
        self.upstreams.retain(|_, watched| match watched {
            Watched::Checking(_) => true,
            Watched::Ended(at) => now.saturating_duration_since(*at) < ENDED_SPAN,
        });
    }
}
