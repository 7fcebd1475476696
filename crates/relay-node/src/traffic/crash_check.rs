//! Detects upstreams that crash while they handle a request, and refuses requests that have crashed
//! several.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::ResultCode;
use nutmegsail_http_pool::OpenError;
use nutmegsail_relay::{
    BrokenRequest, BrokenRequestAction, ProbeResult, RequestDigest, RequestTraits, Suspicion,
    Upstream,
};
use nutmegsail_telemetry::{Event, log_event};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::call::Call;
use super::gateway::Gateway;
use super::refuse::RefusalReason;

/// How long a request waits while identical requests show whether they crash their upstreams. They
/// start to run, or crash the upstream, within a few hundred milliseconds.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long the kernel may take to close the sockets of a process that ends.
const SOCKET_CLOSE_TIME: Duration = Duration::from_millis(30);

/// How often a waiting request checks again.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Counts a send of a request that is suspected of crashing upstreams.
pub(super) struct Trial {
    gateway: Rc<Gateway>,
    digest: RequestDigest,
}

impl Trial {
    /// Counts a send if upstreams crashed under earlier sends of the same request.
    pub(super) fn begin(gateway: &Rc<Gateway>, digest: RequestDigest) -> Option<Self> {
        let mut suspects = gateway.shared.suspects();
        let is_trial = suspects.begin_trial(&digest, Instant::now());
        is_trial.then(|| Self {
            gateway: Rc::clone(gateway),
            digest,
        })
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.gateway.shared.suspects().end_trial(&self.digest);
    }
}

impl Gateway {
    /// Refuses a request that crashes upstreams. A request waits while its upstream is checked for
    /// a crash, or while identical requests are on trial.
    pub(super) async fn wait_for_trials(&self, call: &Call) -> Result<(), RefusalReason> {
        let until = call.deadline_at.min(Instant::now() + TRIAL_TIMEOUT);
        loop {
            match self.suspicion(call.traits.digest()) {
                Suspicion::None => return Ok(()),
                Suspicion::Crashes => {
                    self.log_crashing(call);
                    return Err(RefusalReason {
                        code: ResultCode::CrashesUpstreams,
                        retry_after: None,
                    });
                }
                Suspicion::OnTrial if Instant::now() >= until => {
                    return Err(RefusalReason::retry_in(ResultCode::OnTrial, TRIAL_TIMEOUT));
                }
                Suspicion::OnTrial => sleep(TRIAL_POLL_INTERVAL).await,
            }
        }
    }

    fn suspicion(&self, digest: &RequestDigest) -> Suspicion {
        match self.crash_watch.borrow().is_probing(digest) {
            true => Suspicion::OnTrial,
            false => self.shared.suspects().suspicion(digest, Instant::now()),
        }
    }

    fn log_crashing(&self, call: &Call) {
        let ages = self
            .shared
            .suspects()
            .ages(call.traits.digest(), Instant::now());
        let ages: Vec<String> = ages.iter().map(|age| age.as_millis().to_string()).collect();
        log_event!(
            self.log, Event::CrashingRequestRefused,
            "request" => call.id.to_string(), "digest" => call.traits.digest().to_string(),
            "ended_ms_ago" => ages.join(",")
        );
    }

    /// Called when the connection of a request to `upstream` broke before its answer was complete.
    /// Checks whether the upstream crashed.
    pub(super) fn check_for_crash(
        self: &Rc<Self>,
        upstream: &Arc<Upstream>,
        broken: BrokenRequest,
    ) {
        let (dispatcher, now) = (self.dispatcher.borrow(), Instant::now());
        if !dispatcher.is_expected_to_run(&upstream.id, now) {
            return;
        }
        drop(dispatcher);
        let mut watch = self.crash_watch.borrow_mut();
        let step = watch.note_broken(&upstream.id, broken.clone(), now);
        drop(watch);
        match step {
            BrokenRequestAction::Check => {
                spawn_local(Rc::clone(self).check_upstream(Arc::clone(upstream)));
            }
            BrokenRequestAction::Strike => self.record_crash(upstream, &[broken.traits]),
            BrokenRequestAction::Wait | BrokenRequestAction::Ignore => {}
        }
    }

    async fn check_upstream(self: Rc<Self>, upstream: Arc<Upstream>) {
        let mut reach = self.probe(&upstream).await;
        if reach == ProbeResult::Connected {
            sleep(SOCKET_CLOSE_TIME).await;
            reach = self.probe(&upstream).await;
        }
        let mut watch = self.crash_watch.borrow_mut();
        let struck = watch.record_probe(&upstream.id, reach, Instant::now());
        drop(watch);
        if !struck.is_empty() {
            self.record_crash(&upstream, &struck);
        }
    }

    async fn probe(&self, upstream: &Upstream) -> ProbeResult {
        match self.pool.open(&upstream.address.to_string()).await {
            Ok(()) | Err(OpenError::AtLimit) => ProbeResult::Connected,
            Err(OpenError::Refused) => ProbeResult::Refused,
            Err(OpenError::Silent) => ProbeResult::Silent,
        }
    }

    fn record_crash(&self, upstream: &Upstream, struck: &[RequestTraits]) {
        let process = self.crash_watch.borrow().process_of(&upstream.id);
        let (mut suspects, now) = (self.shared.suspects(), Instant::now());
        for traits in struck {
            suspects.strike(*traits.digest(), &process, now);
        }
        drop(suspects);
        self.shared.metrics.upstream_ended();
        let digests = struck.iter().map(|traits| traits.digest().to_string());
        let digests: Vec<String> = digests.collect();
        log_event!(
            self.log, Event::UpstreamEnded,
            "upstream" => process.to_string(), "address" => upstream.address.to_string(),
            "digests" => digests.join(","), "parts" => count_parts(struck)
        );
    }
}

/// The shared prompt parts of requests, each with the number of requests that list it, the most
/// frequent first.
fn count_parts(struck: &[RequestTraits]) -> String {
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    for id in struck.iter().flat_map(RequestTraits::shared_parts) {
        *counts.entry(*id).or_default() += 1;
    }
    let mut counts: Vec<(u64, usize)> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| Reverse(*count));
    let counts = counts.iter().map(|(id, count)| format!("{id:x}:{count}"));
    counts.collect::<Vec<_>>().join(",")
}
