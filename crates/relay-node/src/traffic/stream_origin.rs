//! Streams that callers resume: at which software version they may go on.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegsail_base::{ResultCode, ServiceName};
use nutmegsail_relay::{
    KeeperAnswer, KeeperCounts, OriginSearch, OriginVerdict, SoftwareRule, SoftwareVersion,
    StoreAnswer, StreamKey, StreamOrigin, Upstream, stream_keepers,
};
use nutmegsail_telemetry::{Event, log_event};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep_until, timeout};

use super::call::Call;
use super::gateway::Gateway;
use super::refuse::RefusalReason;
use crate::shared::OriginRead;
use crate::stream_origins::{MAX_COPY_AGE, OwnNode};
use crate::traffic_message::{StreamMessage, TrafficMessage};

/// How long keepers may take to answer. One that is gone never does.
const KEEPERS_TIMEOUT: Duration = Duration::from_millis(100);

/// How long the store may take to answer. Callers give up a stream after a gap of 2 s.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The same while the store has not answered this node for a while.
const LOST_STORE_TIMEOUT: Duration = Duration::from_millis(200);

/// Retry-After if the store or a keeper may know a stream, but did not answer.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(700);

/// How long a request waits for the first version of its service to be listed, and how often it
/// checks.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);
const LIST_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A keeper's answer, and its address.
type AnswerFrom = (SocketAddr, KeeperAnswer);

/// Searches that wait for keepers' answers, by stream. A caller may resume one twice at once.
#[derive(Debug, Default)]
pub(super) struct StreamSearches(HashMap<StreamKey, Vec<mpsc::UnboundedSender<AnswerFrom>>>);

impl StreamSearches {
    fn begin(&mut self, key: StreamKey) -> mpsc::UnboundedReceiver<AnswerFrom> {
        let (sender, answers) = mpsc::unbounded_channel();
        self.0.entry(key).or_default().push(sender);
        answers
    }

    /// Passes a keeper's answer on.
    pub(super) fn receive(&mut self, key: &StreamKey, from: SocketAddr, answer: &KeeperAnswer) {
        for search in self.0.get(key).into_iter().flatten() {
            let _ = search.send((from, answer.clone()));
        }
    }

    fn end(&mut self, key: &StreamKey) {
        if let Some(searches) = self.0.get_mut(key) {
            searches.retain(|search| !search.is_closed());
            if searches.is_empty() {
                self.0.remove(key);
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

    /// Waits until an upstream's version is listed. Returns false if no upstream waits for that.
    pub(super) async fn wait_for_listed_software(&self, call: &Call) -> bool {
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

    /// Determines at which software version the stream that `call` resumes may go on.
    ///
    /// # Errors
    ///
    /// The refusal if that is not known, or if the stream belongs to another service.
    pub(super) async fn find_origin(&self, call: &Call) -> Result<(), RefusalReason> {
        if !call.resumes_stream() || call.software_bound().is_some() {
            return Ok(());
        }
        let began = Instant::now();
        let verdict = self.search_origin(call).await;
        log_event!(
            self.log, Event::StreamOriginSought,
            "request" => call.id.to_string(),
            "resumes" => call.meta.resumes.as_ref().map(ToString::to_string),
            "found" => format!("{verdict:?}"), "took_ms" => began.elapsed().as_millis()
        );
        self.shared.metrics.record_origin_search(&verdict);
        match verdict {
            OriginVerdict::At(software) => {
                call.set_software(SoftwareRule::Only(software));
                Ok(())
            }
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

    async fn search_origin(&self, call: &Call) -> OriginVerdict {
        // A stream that the caller does not name can only be told by its service's list.
        let key = call.meta.resumes.as_ref().and(call.stream);
        let own = match key {
            Some(key) => self.shared.keeper_answer(&key, &call.service),
            None => KeeperAnswer {
                sole: self.sole_software(&call.service),
                ..KeeperAnswer::default()
            },
        };
        let keepers = key.map_or_else(Vec::new, |key| self.keepers_of(&key));
        let asked = keepers.iter().copied();
        let mut search = OriginSearch::new(call.service.clone(), own.sole, asked);
        search.record_own(own.record);
        if search.verdict(true) != OriginVerdict::Pending {
            return search.verdict(true);
        }
        let key = key.unwrap_or_else(|| StreamKey::of(None, &call.id));
        let mut answers = self.streams_sought.borrow_mut().begin(key);
        for keeper in keepers {
            let service = call.service.clone();
            let message = TrafficMessage::Streams(StreamMessage::Ask { key, service });
            self.peer_socket.send(message, keeper);
        }
        let verdict = self.collect_answers(call, key, search, &mut answers).await;
        drop(answers);
        self.streams_sought.borrow_mut().end(&key);
        verdict
    }

    async fn collect_answers(
        &self,
        call: &Call,
        key: StreamKey,
        mut search: OriginSearch,
        answers: &mut mpsc::UnboundedReceiver<AnswerFrom>,
    ) -> OriginVerdict {
        let keepers_until = tokio::time::Instant::now() + KEEPERS_TIMEOUT;
        let mut is_timeout = false;
        let mut reading = None;
        loop {
            let verdict = search.verdict(is_timeout);
            if verdict != OriginVerdict::Pending {
                return verdict;
            }
            if reading.is_none() && search.needs_store(is_timeout) {
                reading = Some(Box::pin(self.read_origin(call, key)));
            }
            let read = async {
                match reading.as_mut() {
                    Some(reading) => reading.await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                answer = answers.recv() => {
                    if let Some((from, answer)) = answer {
                        search.record_keeper(from, answer);
                    }
                }
                answer = read => search.record_store(answer),
                () = sleep_until(keepers_until), if !is_timeout => is_timeout = true,
            }
        }
    }

    /// Has the control thread look the stream up in the store.
    async fn read_origin(&self, call: &Call, key: StreamKey) -> StoreAnswer {
        let (result, answer) = oneshot::channel();
        let read = OriginRead {
            key,
            service: call.service.clone(),
            result,
        };
        if self.shared.origin_reads.try_send(read).is_err() {
            return StoreAnswer::Unavailable;
        }
        let limit = match self.shared.data_age() > MAX_COPY_AGE {
            true => LOST_STORE_TIMEOUT,
            false => STORE_TIMEOUT.min(call.remaining(Instant::now()) / 2),
        };
        match timeout(limit, answer).await {
            Ok(Ok(answer)) => answer,
            _ => StoreAnswer::Unavailable,
        }
    }

    fn keepers_of(&self, key: &StreamKey) -> Vec<SocketAddr> {
        let view = self.shared.view.load();
        let own = (&self.node, &self.failure_domain);
        let keepers = stream_keepers(key, own, &view.peers, KeeperCounts::ASKED);
        keepers.into_iter().map(|keeper| keeper.address).collect()
    }

    fn sole_software(&self, service: &ServiceName) -> Option<SoftwareVersion> {
        let view = self.shared.view.load();
        view.software.get(service)?.sole.clone()
    }
}
