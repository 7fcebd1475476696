//! Looks for upstreams whose connections break.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use nutmegsail_http_pool::OpenError;
use nutmegsail_relay::{BrokenRequest, CrashStep, Reach, RequestDigest, Upstream};
use nutmegsail_telemetry::{Event, log_event};
use tokio::task::spawn_local;

use super::gateway::Gateway;

impl Gateway {
    /// Takes in that the connection of a request to `upstream` broke before its answer was whole.
    pub(super) fn note_broken(self: &Rc<Self>, upstream: &Arc<Upstream>, broken: BrokenRequest) {
        let mut watch = self.crash_watch.borrow_mut();
        let step = watch.note_broken(&upstream.id, broken, Instant::now());
        drop(watch);
        match step {
            CrashStep::Check => {
                spawn_local(Rc::clone(self).check(Arc::clone(upstream)));
            }
            CrashStep::Strike => self.note_ended(upstream, &[broken.digest]),
            CrashStep::Wait | CrashStep::Ignore => {}
        }
    }

    async fn check(self: Rc<Self>, upstream: Arc<Upstream>) {
        let opened = self.pool.open(&upstream.address.to_string()).await;
        let reach = match opened {
            Ok(()) | Err(OpenError::AtLimit) => Reach::Connected,
            Err(OpenError::Refused) => Reach::Refused,
            Err(OpenError::Silent) => Reach::Silent,
        };
        let mut watch = self.crash_watch.borrow_mut();
        let struck = watch.note_reach(&upstream.id, reach, Instant::now());
        drop(watch);
        if !struck.is_empty() {
            self.note_ended(&upstream, &struck);
        }
    }

    fn note_ended(&self, upstream: &Upstream, struck: &[RequestDigest]) {
        let digests: Vec<String> = struck.iter().map(ToString::to_string).collect();
        log_event!(
            self.log, Event::UpstreamEnded,
            "upstream" => upstream.id.to_string(), "address" => upstream.address.to_string(),
            "digests" => digests.join(",")
        );
    }
}
