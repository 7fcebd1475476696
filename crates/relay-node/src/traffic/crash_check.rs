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
    BrokenRequest, BrokenRequestAction, PART_STARTUP_PERIOD, ProbeResult, RequestTraits,
    SuspectTrait, SuspectedPart, Suspicion, Upstream,
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

/// Counts a send whose request may still show whether it crashes its upstream.
pub(super) struct StartingSend {
    gateway: Rc<Gateway>,
    traits: RequestTraits,
    /// Whether its answer has shown that the parts of its prompt are harmless.
    is_past_parts: bool,
}

impl StartingSend {
    pub(super) fn begin(gateway: &Rc<Gateway>, traits: RequestTraits) -> Self {
        let mut suspects = gateway.shared.suspects();
        suspects.begin(&traits, Instant::now());
        gateway.shared.announce_suspects(&suspects);
        Self {
            gateway: Rc::clone(gateway),
            traits,
            is_past_parts: false,
        }
    }

    /// Records that its answer began at `began` and has run on for `ran`.
    pub(super) fn record_progress(&mut self, began: Instant, ran: Duration) {
        if ran < PART_STARTUP_PERIOD || std::mem::replace(&mut self.is_past_parts, true) {
            return;
        }
        let mut suspects = self.gateway.shared.suspects();
        let now = Instant::now();
        suspects.record_begun(&self.traits, began, now);
        suspects.end_parts(&self.traits, now);
        self.gateway.shared.announce_suspects(&suspects);
    }

    /// Records that its answer, which began at `began`, has run on for so long that the request is
    /// harmless.
    pub(super) fn record_started(self, began: Instant) {
        let mut suspects = self.gateway.shared.suspects();
        suspects.record_started(&self.traits, began, Instant::now());
        drop(suspects);
    }
}

impl Drop for StartingSend {
    fn drop(&mut self) {
        let (mut suspects, now) = (self.gateway.shared.suspects(), Instant::now());
        if !self.is_past_parts {
            suspects.end_parts(&self.traits, now);
        }
        suspects.end_request(&self.traits, now);
        self.gateway.shared.announce_suspects(&suspects);
    }
}

impl Gateway {
    /// Refuses a request that crashes upstreams.
    pub(super) fn check_suspicion(&self, call: &Call) -> Result<(), RefusalReason> {
        let (suspects, now) = (self.shared.suspects(), Instant::now());
        let Some(refused) = suspects.refused_trait(&call.traits, now) else {
            return Ok(());
        };
        let ages = suspects.ages(&refused, now);
        drop(suspects);
        let ages: Vec<String> = ages.iter().map(|age| age.as_millis().to_string()).collect();
        log_event!(
            self.log, Event::CrashingRequestRefused,
            "request" => call.id.to_string(), "digest" => call.traits.digest().to_string(),
            "suspect" => refused.to_string(), "ended_ms_ago" => ages.join(",")
        );
        Err(RefusalReason::without_retry(match refused {
            SuspectTrait::Request(_) => ResultCode::CrashesUpstreams,
            SuspectTrait::PromptPart(_) => ResultCode::PromptPartCrashesUpstreams,
        }))
    }

    /// Refuses a request that crashes upstreams. A request waits while its upstream is checked for
    /// a crash, or while requests that share a suspected trait are on trial.
    pub(super) async fn wait_for_trials(&self, call: &Call) -> Result<(), RefusalReason> {
        let until = call.deadline_at.min(Instant::now() + TRIAL_TIMEOUT);
        loop {
            match self.suspicion(&call.traits) {
                Suspicion::None => return Ok(()),
                Suspicion::Crashes => self.check_suspicion(call)?,
                Suspicion::OnTrial if Instant::now() >= until => {
                    return Err(RefusalReason::retry_in(ResultCode::OnTrial, TRIAL_TIMEOUT));
                }
                Suspicion::OnTrial => sleep(TRIAL_POLL_INTERVAL).await,
            }
        }
    }

    /// Whether a request with these traits may be sent now.
    pub(super) fn suspicion(&self, traits: &RequestTraits) -> Suspicion {
        let suspects = self.shared.suspects();
        let is_sound = |part| suspects.is_usually_sound(part, traits);
        match self.crash_watch.borrow().is_probing(traits, is_sound) {
            true => Suspicion::OnTrial,
            false => suspects.suspicion(traits, Instant::now()),
        }
    }

    /// The part of the prompt of `call` that may be the cause of upstreams' ends, if any.
    pub(super) fn suspected_part(&self, call: &Call) -> Option<SuspectedPart> {
        let suspects = self.shared.suspects();
        suspects.suspected_part(&call.traits, Instant::now())
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
            BrokenRequestAction::Strike => self.record_crash(upstream, &[broken]),
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

    fn record_crash(&self, upstream: &Upstream, struck: &[BrokenRequest]) {
        let process = self.crash_watch.borrow().process_of(&upstream.id);
        let (mut suspects, now) = (self.shared.suspects(), Instant::now());
        for broken in struck {
            suspects.strike(broken, &process, now);
        }
        self.shared.announce_suspects(&suspects);
        self.shared.metrics.upstream_ended();
        let digests = struck
            .iter()
            .map(|broken| broken.traits.digest().to_string());
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
fn count_parts(struck: &[BrokenRequest]) -> String {
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    let listed = struck
        .iter()
        .flat_map(|broken| broken.traits.shared_parts());
    for id in listed {
        *counts.entry(*id).or_default() += 1;
    }
    let mut counts: Vec<(u64, usize)> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| Reverse(*count));
    let counts = counts.iter().map(|(id, count)| format!("{id:x}:{count}"));
    counts.collect::<Vec<_>>().join(",")
}
