//! Reports of one stream to the node that paces the prompts of its engine.

use std::rc::Rc;
use std::time::{Duration, Instant};

use nutmegsail_base::ServiceName;

use super::gateway::Gateway;
use super::prompt_client::PromptPermit;

/// The fewest pauses that show the usual time between two events.
const MIN_PAUSES: usize = 5;

/// The most pauses that are kept of a stream.
const MAX_PAUSES: usize = 64;

/// Parts of one event, or events that were on their way together, come within this time.
const MIN_PAUSE: Duration = Duration::from_millis(2);

/// The first event and the pauses of a stream that has a longest pause.
pub(super) struct StreamPacing {
    permit: PromptPermit,
    longest_pause: Duration,
    /// When the last part of the body arrived.
    last_part: Option<Instant>,
    /// The first pauses.
    pauses: Vec<Duration>,
}

impl StreamPacing {
    pub(super) fn new(permit: PromptPermit, longest_pause: Duration) -> Self {
        Self {
            permit,
            longest_pause,
            last_part: None,
            pauses: Vec::new(),
        }
    }

    /// Records a part of the body. Parts that this node was late to read say nothing about the
    /// engine.
    pub(super) fn record_part(
        &mut self,
        gateway: &Rc<Gateway>,
        service: &ServiceName,
        sent: Instant,
    ) {
        let now = Instant::now();
        let Some(last) = self.last_part.replace(now) else {
            let took = now.saturating_duration_since(sent);
            let is_paced = gateway.shared.paced.is_paced(service, now);
            return self.permit.record_first_event(took, is_paced);
        };
        let pause = now.saturating_duration_since(last);
        if self.pauses.len() < MAX_PAUSES && pause >= MIN_PAUSE {
            self.pauses.push(pause);
        }
        if pause > self.longest_pause && !gateway.overload.was_late_since(last, now) {
            gateway.shared.metrics.prompts.long_pause();
            self.permit.record_pause(pause);
        }
    }
}

impl Drop for StreamPacing {
    /// Reports the lower decile of the pauses: prompts that are prefilled between two events lengthen
    /// them.
    fn drop(&mut self) {
        if self.pauses.len() >= MIN_PAUSES {
            let lowest = self.pauses.len() / 10;
            let (_, decile, _) = self.pauses.select_nth_unstable(lowest);
            self.permit.record_spacing(*decile);
        }
    }
}
