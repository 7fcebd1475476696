//! Streams that callers resume: at which service and software version they may go on.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::{RequestId, ResultCode, ServiceName};
use nutmegsail_relay::{
    KeeperCounts, OriginRecord, OriginSearch, OriginVerdict, Route, SoftwareRule, SoftwareVersion,
    StoreAnswer, StreamKey, StreamOrigin, Upstream, stream_keepers,
};
use nutmegsail_telemetry::{Event, log_event};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout};

use super::call::Call;
use super::gateway::Gateway;
use super::refuse::RefusalReason;
use crate::shared::OriginRead;
use crate::stream_origins::OwnNode;
use crate::traffic_message::{StreamMessage, TrafficMessage};

/// How long keepers may take to answer. One that is gone never does.
const KEEPERS_TIMEOUT: Duration = Duration::from_millis(100);

/// How long the store may take to answer. Callers give up a stream after a gap of 2 s.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The same while the store does not answer this node.
const LOST_STORE_TIMEOUT: Duration = Duration::from_millis(200);

/// Retry-After if the store or a keeper may know a stream, but did not answer.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(700);

/// How long a request waits for the first version of its service to be listed, and how often it
/// checks.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A stream that a request resumes.
pub(super) struct ResumedStream<'a> {
    pub(super) request: &'a RequestId,
    /// The attempt that brought its first event, if the caller names it.
    pub(super) resumes: Option<&'a RequestId>,
    pub(super) key: StreamKey,
    pub(super) route: &'a Route,
    /// The service of the route that a new stream of this key would go to.
    pub(super) service: ServiceName,
    /// The time left until the deadline.
    pub(super) remaining: Duration,
}

/// A keeper's answer, and its address.
type AnswerFrom = (SocketAddr, OriginRecord);

/// Searches that wait for keepers' answers, by stream. A caller may resume one twice at once.
#[derive(Debug, Default)]
pub(super) struct StreamSearches(HashMap<StreamKey, Vec<mpsc::UnboundedSender<AnswerFrom>>>);

impl StreamSearches {
    /// Passes a keeper's answer on.
    pub(super) fn receive(&self, key: &StreamKey, from: SocketAddr, record: &OriginRecord) {
        for search in self.0.get(key).into_iter().flatten() {
            let _ = search.send((from, record.clone()));
        }
    }
}

/// The answers that one search receives, until it is dropped: a caller may disconnect before.
struct KeeperAnswers {
    searches: Rc<RefCell<StreamSearches>>,
    key: StreamKey,
    receiver: mpsc::UnboundedReceiver<AnswerFrom>,
}

impl KeeperAnswers {
    fn begin(searches: &Rc<RefCell<StreamSearches>>, key: StreamKey) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let mut all = searches.borrow_mut();
        all.0.entry(key).or_default().push(sender);
        drop(all);
        Self {
            searches: Rc::clone(searches),
            key,
            receiver,
        }
    }
}

impl Drop for KeeperAnswers {
    fn drop(&mut self) {
        self.receiver.close();
        let mut searches = self.searches.borrow_mut();
        if let Some(of_key) = searches.0.get_mut(&self.key) {
            of_key.retain(|search| !search.is_closed());
            if of_key.is_empty() {
                searches.0.remove(&self.key);
            }
        }
    }
}

impl Gateway {
    pub(super) fn own_node(&self) -> OwnNode<'_> {
        OwnNode {
            node: &self.node,
            failure_domain: &self.failure_domain,
        }
    }

    /// Records that a stream began, or went on, at an upstream, and sends that to its keepers.
    pub(super) fn record_stream(
        &self,
        key: StreamKey,
        service: &ServiceName,
        at: &SoftwareVersion,
    ) {
        let origin = StreamOrigin {
            service: service.clone(),
            software: at.clone(),
        };
        let own = self.own_node();
        for (message, keeper) in self.shared.record_own_stream(own, key, &origin) {
            let message = TrafficMessage::Streams(message);
            self.peer_socket.send(message, keeper);
        }
    }

    /// Updates the software versions at which `call` may begin a stream.
    pub(super) fn update_software_rule(&self, call: &Call) {
        if call.stream.is_none() || call.software_bound().is_some() {
            return;
        }
        let view = self.shared.view.load();
        let software = view.software.get(&call.service);
        let listed = software.map(|software| software.versions.clone());
        call.set_software(SoftwareRule::OneOf(listed.unwrap_or_default()));
    }

    /// Waits until the version of an upstream is listed, if no upstream has one that is. Returns
    /// whether it was.
    pub(super) async fn wait_for_listed_software(&self, call: &Call) -> bool {
        if self.has_upstream_of(call) {
            return false;
        }
        let until = call.began + LIST_TIMEOUT.min(call.first_event_timeout() / 2);
        while self.has_unlisted_upstream(call) && Instant::now() < until {
            tokio::time::sleep(LIST_POLL_INTERVAL).await;
            self.refresh_view();
            self.update_software_rule(call);
            if self.has_upstream_of(call) {
                return true;
            }
        }
        false
    }

    /// Whether an upstream that accepts requests has a version at which `call` may run.
    fn has_upstream_of(&self, call: &Call) -> bool {
        let rule = call.software();
        self.has_upstream(call, |upstream| rule.allows(&upstream.software))
    }

    fn has_unlisted_upstream(&self, call: &Call) -> bool {
        let rule = call.software();
        let is_unlisted = |upstream: &Upstream| !rule.allows(&upstream.software);
        call.stream.is_some() && rule.only().is_none() && self.has_upstream(call, is_unlisted)
    }

    fn has_upstream(&self, call: &Call, is_wanted: impl Fn(&Upstream) -> bool) -> bool {
        let dispatcher = self.dispatcher.borrow();
        let mut upstreams = dispatcher.all().map(|tracked| &tracked.upstream);
        upstreams.any(|upstream| {
            upstream.service == call.service && upstream.takes_work() && is_wanted(upstream)
        })
    }

    /// Whether no upstream is left at which the stream of `call` could go on.
    pub(super) fn is_software_gone(&self, call: &Call) -> bool {
        call.software_bound().is_some() && !self.has_upstream_of(call)
    }

    /// Determines where the stream that a request resumes may go on.
    ///
    /// # Errors
    ///
    /// The refusal if that is not known, or if the route does not lead to its service any more.
    pub(super) async fn find_origin(
        &self,
        resumed: &ResumedStream<'_>,
    ) -> Result<StreamOrigin, RefusalReason> {
        let began = Instant::now();
        let verdict = self.search_origin(resumed).await;
        log_event!(
            self.log, Event::StreamOriginSought,
            "request" => resumed.request.to_string(),
            "resumes" => resumed.resumes.map(ToString::to_string),
            "found" => format!("{verdict:?}"), "took_ms" => began.elapsed().as_millis()
        );
        self.shared.metrics.record_origin_search(&verdict);
        match verdict {
            OriginVerdict::At(origin) => Ok(origin),
            OriginVerdict::OtherService => Err(RefusalReason::without_retry(
                ResultCode::SoftwareVersionGone,
            )),
            OriginVerdict::Unknown {
                may_be_known: false,
            } => Err(RefusalReason::without_retry(
                ResultCode::StreamOriginUnknown,
            )),
            OriginVerdict::Unknown { may_be_known: true } | OriginVerdict::Pending => Err(
                RefusalReason::retry_in(ResultCode::StreamOriginUnknown, UNKNOWN_RETRY_AFTER),
            ),
        }
    }

    async fn search_origin(&self, resumed: &ResumedStream<'_>) -> OriginVerdict {
        // A stream that the caller does not name can only be found by its service's list.
        let key = resumed.resumes.is_some().then_some(resumed.key);
        let keepers = key.map_or_else(Vec::new, |key| self.keepers_of(&key));
        let services = resumed.route.services.iter();
        let services = services.map(|share| share.service.clone());
        let mut search = OriginSearch::new(services, keepers.iter().copied());
        if let Some(key) = key {
            search.record_own(self.shared.origin_record(&key));
        }
        let verdict = search.verdict(true);
        if verdict != OriginVerdict::Pending {
            return verdict;
        }
        let mut answers = KeeperAnswers::begin(&self.streams_sought, resumed.key);
        for keeper in keepers {
            let message = TrafficMessage::Streams(StreamMessage::Ask(resumed.key));
            self.peer_socket.send(message, keeper);
        }
        self.collect_answers(resumed, search, &mut answers).await
    }

    async fn collect_answers(
        &self,
        resumed: &ResumedStream<'_>,
        mut search: OriginSearch,
        answers: &mut KeeperAnswers,
    ) -> OriginVerdict {
        let keepers_until = tokio::time::Instant::now() + KEEPERS_TIMEOUT;
        // While one version serves, keepers know nothing, and the store's list has the answer.
        let reads_at_once = self.sole_software(&resumed.service).is_some();
        let (mut is_timeout, mut is_read) = (false, false);
        let reading = self.read_origin(resumed);
        let mut reading = std::pin::pin!(reading);
        loop {
            let verdict = search.verdict(is_timeout);
            if verdict != OriginVerdict::Pending {
                return verdict;
            }
            let needs_store = reads_at_once || search.has_heard_keepers(is_timeout);
            tokio::select! {
                Some((from, record)) = answers.receiver.recv() => search.record_keeper(from, record),
                answer = &mut reading, if needs_store && !is_read => {
                    is_read = true;
                    search.record_store(answer);
                }
                () = sleep_until(keepers_until), if !is_timeout => is_timeout = true,
            }
        }
    }

    /// Has the control thread look the stream up in the store.
    async fn read_origin(&self, resumed: &ResumedStream<'_>) -> StoreAnswer {
        let (result, answer) = oneshot::channel();
        let read = OriginRead {
            key: resumed.key,
            service: resumed.service.clone(),
            result,
        };
        if self.shared.origin_reads.try_send(read).is_err() {
            return StoreAnswer::Unavailable;
        }
        let limit = match self.shared.is_store_lost() {
            true => LOST_STORE_TIMEOUT,
            false => STORE_TIMEOUT.min(resumed.remaining / 2),
        };
        match timeout(limit, answer).await {
            Ok(Ok(answer)) => answer,
            _ => StoreAnswer::Unavailable,
        }
    }

    fn keepers_of(&self, key: &StreamKey) -> Vec<SocketAddr> {
        let view = self.shared.view.load();
        let own = (&self.node, &self.failure_domain);
        let keepers = stream_keepers(key, own, &view.peers, KeeperCounts::QUERIED);
        keepers.into_iter().map(|keeper| keeper.address).collect()
    }

    fn sole_software(&self, service: &ServiceName) -> Option<SoftwareVersion> {
        let view = self.shared.view.load();
        view.software.get(service)?.sole.clone()
    }
}
