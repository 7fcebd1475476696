//! Adapters that requests wait for, and copies that owners want.

use std::time::{Duration, Instant};

use nutmegsail_relay::{Choice, CopyPlace, LoadPlace, LoadPurpose, WantedCopies};
use tokio::sync::oneshot;

use super::call::Call;
use super::gateway::{Gateway, Sends};
use crate::shared::{CopyNews, Loaded, View, Want, Wanted};

/// How long a request waits for its adapter at most: two loads in turn, of 250 ms each, with the
/// queue for transfers.
const ADAPTER_PATIENCE: Duration = Duration::from_millis(2_500);

/// How long a request waits for a further copy of its adapter: two loads in turn.
pub(super) const LOAD_PATIENCE: Duration = Duration::from_millis(600);

/// A wait, as a part of the time after which a caller leaves, from which a request is as good as lost: it
/// has waited here before, and waits are expected too short as often as too long.
const LOST_WAIT_SHARE: f64 = 0.5;

/// The rank of the copies that an owner wants. An adapter that takes up its engine holds up all other
/// requests there, the urgent ones too.
const COPY_PRIORITY: u8 = 0;

impl Gateway {
    /// Has copies loaded that an engine's owner wants.
    pub(super) fn want_copies(&self, view: &View, news: CopyNews) {
        let (service, now) = (&news.service, Instant::now());
        let WantedCopies {
            model,
            place,
            copies,
            is_urgent,
        } = news.wanted;
        let dispatcher = self.dispatcher.borrow();
        if let CopyPlace::Domain(domain) = &place
            && dispatcher.is_held_in(domain, service, &model, now)
        {
            return;
        }
        let rule = view.versions.rule(&model, self.version_overlap(), now);
        let engines = dispatcher.engines_to_load(service, &model, rule, &place, now);
        let (ready, _) = oneshot::channel();
        let want = Want {
            wanted: Wanted {
                model,
                version: rule.to_load(),
                was_turned_away: false,
                purpose: match is_urgent {
                    true => LoadPurpose::Miss,
                    false => LoadPurpose::Copy,
                },
                priority: COPY_PRIORITY,
            },
            engines,
            copies,
            ready,
        };
        // A full queue has requests that wait; they go first.
        let _ = self.shared.wants.try_send(want);
    }

    /// Has the adapter that `call` names loaded, and waits for it.
    pub(super) async fn bring_adapter(
        &self,
        call: &Call,
        sends: &Sends,
        purpose: LoadPurpose,
        wait: Duration,
    ) -> bool {
        let now = Instant::now();
        let Some(ready) = self.want(call, sends.was_misdirected, purpose, now) else {
            return false;
        };
        match tokio::time::timeout(wait, ready).await {
            Ok(Ok(Some((engine, holdings)))) => {
                let mut dispatcher = self.dispatcher.borrow_mut();
                dispatcher.note_holdings(&engine, &holdings, Instant::now());
                true
            }
            _ => false,
        }
    }

    pub(super) fn want(
        &self,
        call: &Call,
        was_turned_away: bool,
        purpose: LoadPurpose,
        now: Instant,
    ) -> Option<oneshot::Receiver<Loaded>> {
        let model = call.meta.model.clone()?;
        let (ready, answer) = oneshot::channel();
        let want = Want {
            wanted: Wanted {
                model,
                version: call.version.to_load(),
                was_turned_away,
                purpose,
                priority: call.priority(),
            },
            engines: self.engines_for(call, now),
            copies: 1,
            ready,
        };
        self.shared.wants.try_send(want).ok()?;
        Some(answer)
    }

    /// Engines that could take the adapter.
    fn engines_for(&self, call: &Call, now: Instant) -> Vec<LoadPlace> {
        let Some(model) = &call.meta.model else {
            return Vec::new();
        };
        let dispatcher = self.dispatcher.borrow();
        let place = &CopyPlace::Anywhere;
        dispatcher.engines_to_load(&call.service, model, call.version, place, now)
    }
}

/// Until when `call` waits for its adapter, from now on.
pub(super) fn adapter_patience(call: &Call) -> Instant {
    let now = Instant::now();
    now + ADAPTER_PATIENCE.min(call.remaining(now) / 2)
}

/// What a copy is for that `call` would be answered sooner by than by `choice`. Where its caller would have
/// left by then, it is as good as a miss.
pub(super) fn copy_purpose(call: &Call, choice: &Choice) -> LoadPurpose {
    let expected = Duration::from_secs_f64(choice.expected_ms.max(0.0) / 1_000.0);
    match expected > call.first_event_patience().mul_f64(LOST_WAIT_SHARE) {
        true => LoadPurpose::Miss,
        false => LoadPurpose::Copy,
    }
}
