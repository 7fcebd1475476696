//! Follows the list of upstreams.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::Upstream;
use nutmegsail_store::{Change, Item};
use nutmegsail_telemetry::{Event, log_event};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::knowledge::Knowledge;
use super::watch::Follower;

/// How long an upstream whose entry went while the store was away is kept after its return.
/// Entries lapse with the store and are back within some 2 s if the upstream lives.
const RETURN_TIME: Duration = Duration::from_millis(2_300);

/// Takes in the list of upstreams.
pub(crate) struct UpstreamsFollower {
    knowledge: Rc<Knowledge>,
    /// When the store last did not answer.
    lost_at: Cell<Option<Instant>>,
    /// Upstreams whose entries went around an outage, with the time from which they count as gone.
    missing: Rc<RefCell<HashMap<UpstreamId, Instant>>>,
}

impl UpstreamsFollower {
    pub(crate) fn new(knowledge: Rc<Knowledge>) -> Self {
        Self {
            knowledge,
            lost_at: Cell::new(None),
            missing: Rc::default(),
        }
    }

    fn take(&self, item: &Item) {
        let knowledge = &self.knowledge;
        let upstream = match knowledge.dialect.decode_upstream(&item.key, &item.value) {
            Ok(upstream) => upstream,
            Err(error) => {
                log_event!(
                    knowledge.log, Event::TextRejected,
                    "key" => item.key.to_string(), "problem" => error.to_string()
                );
                return;
            }
        };
        self.missing.borrow_mut().remove(&upstream.id);
        let mut upstreams = knowledge.upstreams.borrow_mut();
        let took_work = upstreams
            .get(&upstream.id)
            .is_some_and(|known| known.takes_work());
        if took_work && !upstream.takes_work() {
            log_event!(
                knowledge.log, Event::UpstreamLeaving,
                "upstream" => upstream.id.to_string()
            );
        }
        upstreams.insert(upstream.id.clone(), Arc::new(upstream));
    }

    /// Takes in that an entry is gone. Around an outage of the store it may only have lapsed.
    fn remove(&self, id: &UpstreamId) {
        let lost_at = self.lost_at.get();
        let is_doubtful = lost_at.is_some_and(|lost| lost.elapsed() < RETURN_TIME);
        let takes_work = |upstream: &Arc<Upstream>| upstream.takes_work();
        let mut upstreams = self.knowledge.upstreams.borrow_mut();
        if !is_doubtful || !upstreams.get(id).is_some_and(takes_work) {
            upstreams.remove(id);
            return;
        }
        let gone_at = Instant::now() + RETURN_TIME;
        self.missing
            .borrow_mut()
            .entry(id.clone())
            .or_insert(gone_at);
        spawn_local(forget_missing(
            Rc::clone(&self.knowledge),
            Rc::clone(&self.missing),
        ));
    }

    fn id_of<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.knowledge.dialect.upstreams_prefix())
    }
}

/// Drops upstreams that did not come back in time.
async fn forget_missing(
    knowledge: Rc<Knowledge>,
    missing: Rc<RefCell<HashMap<UpstreamId, Instant>>>,
) {
    sleep(RETURN_TIME).await;
    let now = Instant::now();
    missing.borrow_mut().retain(|id, gone_at| {
        let is_gone = *gone_at <= now;
        if is_gone {
            knowledge.upstreams.borrow_mut().remove(id);
        }
        !is_gone
    });
    knowledge.publish();
}

impl Follower for UpstreamsFollower {
    fn prefix(&self) -> &str {
        self.knowledge.dialect.upstreams_prefix()
    }

    fn whole(&self, items: &[&Item]) {
        let listed: Vec<&str> = items
            .iter()
            .filter_map(|item| self.id_of(&item.key))
            .collect();
        let known: Vec<UpstreamId> = self.knowledge.upstreams.borrow().keys().cloned().collect();
        for id in known {
            if !listed.contains(&id.as_str()) {
                self.remove(&id);
            }
        }
        for item in items {
            self.take(item);
        }
    }

    /// A heartbeat that changes nothing but its count is none.
    fn is_news(&self, change: &Change) -> bool {
        let Change::Put(item) = change else {
            return true;
        };
        let knowledge = &self.knowledge;
        // One that cannot be read is told, so that it is logged.
        let decoded = knowledge.dialect.decode_upstream(&item.key, &item.value);
        decoded.map_or(true, |upstream| {
            let known = knowledge.upstream(&upstream.id);
            let is_missing = self.missing.borrow().contains_key(&upstream.id);
            is_missing || known.is_none_or(|known| *known != upstream)
        })
    }

    fn changes(&self, changes: &[&Change]) {
        for change in changes {
            match change {
                Change::Put(item) => self.take(item),
                Change::Removed { key, .. } => {
                    if let Some(id) = self.id_of(key) {
                        self.remove(&id.into());
                    }
                }
            }
        }
    }

    fn lost(&self) {
        self.lost_at.set(Some(Instant::now()));
    }
}
