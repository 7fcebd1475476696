//! Upstreams that restarted under their name, and what the process before and the next one announced.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;
use nutmegsail_base::UpstreamId;
use nutmegsail_relay::Upstream;
use nutmegsail_telemetry::{Event, log_event};
use tokio::task::spawn_local;

use super::control_state::ControlState;
use super::orders::to_request;

/// How often an upstream is checked until it answers.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a health check. It may wait for a slot like a request.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// Health checks of restarted upstreams that may have announced that they are leaving.
#[derive(Debug, Default)]
pub(crate) struct RestartChecks {
    /// When the last check of each upstream started.
    started: HashMap<UpstreamId, Instant>,
}

impl RestartChecks {
    /// Starts the checks that are due.
    pub(super) fn start_due(&mut self, control: &Rc<ControlState>) {
        let unconfirmed = control.listed_unconfirmed();
        self.started
            .retain(|id, _| unconfirmed.iter().any(|upstream| upstream.id == *id));
        for upstream in unconfirmed {
            let now = Instant::now();
            let is_due = |at: &Instant| now.duration_since(*at) >= CHECK_INTERVAL;
            if self.started.get(&upstream.id).is_none_or(is_due) {
                self.started.insert(upstream.id.clone(), now);
                spawn_local(check(Rc::clone(control), upstream));
            }
        }
    }
}

impl ControlState {
    /// Records that the list now shows `next` in place of `before`.
    pub(crate) fn record_restart(&self, before: &UpstreamId, next: &UpstreamId) {
        log_event!(
            self.log, Event::UpstreamRestarted,
            "upstream" => next.to_string(), "before" => before.to_string()
        );
        let now = Instant::now();
        let shown_until = now.checked_sub(self.shared.data_age()).unwrap_or(now);
        let mut notices = self.shared.notices();
        notices.record_successor(before, next, shown_until, now);
        drop(notices);
        let mut limits = self.shared.limits();
        limits.record_successor(before, next, shown_until);
    }

    /// Listed upstreams whose leaving notice may be of the process before them.
    fn listed_unconfirmed(&self) -> Vec<Arc<Upstream>> {
        let notices = self.shared.notices();
        let listed = notices.unconfirmed().filter_map(|id| self.upstream(id));
        listed.collect()
    }
}

/// Asks an upstream whether it is leaving.
///
/// The connection is new: a kept one may lead to the process before.
async fn check(control: Rc<ControlState>, upstream: Arc<Upstream>) {
    if control.is_backing_off(&upstream.id) {
        return;
    }
    let service = control.service(&upstream.service);
    let Some(path) = service.and_then(|service| service.health_path.clone()) else {
        // Without a health check, the list decides.
        control.shared.notices().record_staying(&upstream.id);
        return;
    };
    let call = control.dialect.write_health_call(&path, &upstream.name);
    let Some(request) = to_request(call) else {
        return;
    };
    let address = upstream.address.to_string();
    let answer = control.call_after(&address, request, CHECK_TIMEOUT, Duration::ZERO);
    let Some(answer) = answer.await else {
        return;
    };
    if answer.status() == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let (status, headers) = (answer.status(), answer.headers());
    let notice = control.dialect.read_upstream_notice(status, headers);
    control.apply_upstream_notice(&upstream.id, notice, "health check");
    if !notice.is_leaving {
        control.shared.notices().record_staying(&upstream.id);
        log_event!(
            control.log, Event::UpstreamStaying, "upstream" => upstream.id.to_string()
        );
    }
}
