//! An engine that this node owns.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::{NodeId, UpstreamId};
use nutmegsail_relay::{Holdings, ModelRef, Ownership};
use tokio::sync::{Mutex, Notify};

use super::exchange::EngineUseTold;
use crate::EngineState;

/// An adapter or model on its way to an engine.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Coming {
    pub(crate) model: ModelRef,
    pub(crate) version: Option<u64>,
    /// When the order was accepted.
    pub(crate) since: Instant,
    /// The engine's count of orders with this one.
    pub(crate) order_seq: u64,
}

/// What an owner keeps of its engine.
#[derive(Debug)]
pub(crate) struct OwnedEngine {
    pub(crate) id: UpstreamId,
    pub(crate) ownership: RefCell<Ownership>,
    /// Held over the orders that bring one adapter in, so that the room is not given away twice.
    pub(crate) orders: Mutex<()>,
    /// Tells those who wait that the holdings changed.
    pub(crate) changed: Notify,
    /// Whether a task follows the loads under way.
    pub(crate) is_followed: Cell<bool>,
    state: RefCell<State>,
}

#[derive(Clone, Debug, Default)]
struct State {
    /// What it holds; nothing until its report was read.
    holdings: Option<Holdings>,
    coming: Vec<Coming>,
    /// Adapters that go when their requests have ended.
    leaving: Vec<ModelRef>,
    /// When its holdings last changed.
    changed: Option<Instant>,
    /// What other nodes have there.
    elsewhere: HashMap<NodeId, UseElsewhere>,
}

/// What another node has at an engine.
#[derive(Clone, Debug)]
struct UseElsewhere {
    in_flight: u32,
    unread_tokens: u64,
    models: Vec<ModelRef>,
    told: Instant,
}

/// How long what another node told counts. It tells again ten times in this span.
const USE_LIFE: Duration = Duration::from_millis(1_000);

impl OwnedEngine {
    pub(crate) fn new(id: UpstreamId, ownership: Ownership) -> Self {
        Self {
            id,
            ownership: RefCell::new(ownership),
            orders: Mutex::new(()),
            changed: Notify::new(),
            is_followed: Cell::new(false),
            state: RefCell::default(),
        }
    }

    /// What it holds, if its count of orders is known.
    pub(crate) fn holdings(&self) -> Option<Holdings> {
        self.state.borrow().holdings.clone()
    }

    /// Adapters on their way.
    pub(crate) fn coming(&self) -> Vec<ModelRef> {
        let state = self.state.borrow();
        state.coming.iter().map(|coming| coming.model.clone()).collect()
    }

    /// When the oldest load under way was accepted.
    pub(crate) fn oldest_coming(&self) -> Option<Instant> {
        self.state.borrow().coming.iter().map(|coming| coming.since).min()
    }

    /// Whether `model` leaves when its requests have ended.
    pub(crate) fn is_leaving(&self, model: &ModelRef) -> bool {
        self.state.borrow().leaving.contains(model)
    }

    /// Whether `model` is there in `version`, or in any if none is given.
    pub(crate) fn holds(&self, model: &ModelRef, version: Option<u64>) -> bool {
        let state = self.state.borrow();
        let held = state.holdings.as_ref().and_then(|held| held.version_of(model));
        held.is_some_and(|held| version.is_none_or(|version| held >= version))
    }

    /// Whether `model` is on its way in `version`.
    pub(crate) fn awaits(&self, model: &ModelRef, version: Option<u64>) -> bool {
        let state = self.state.borrow();
        let is_it = |coming: &Coming| {
            let is_new = coming.version.is_none() || coming.version >= version;
            coming.model == *model && is_new
        };
        state.coming.iter().any(is_it)
    }

    /// Forgets the count of orders: an order came back without an answer.
    pub(crate) fn doubt(&self) {
        self.state.borrow_mut().holdings = None;
    }

    /// Takes in that an order was accepted.
    pub(crate) fn ordered(&self, load: Option<(ModelRef, Option<u64>)>) {
        let mut state = self.state.borrow_mut();
        let Some(holdings) = &mut state.holdings else {
            return;
        };
        holdings.order_seq += 1;
        let order_seq = holdings.order_seq;
        if let Some((model, version)) = load {
            state.coming.push(Coming {
                model,
                version,
                since: Instant::now(),
                order_seq,
            });
        }
    }

    /// Takes in that `model` was dropped, or will be when its requests have ended.
    pub(crate) fn unloaded(&self, model: &ModelRef, is_gone: bool) {
        self.ordered(None);
        let mut state = self.state.borrow_mut();
        if let Some(holdings) = &mut state.holdings {
            holdings.forget(model);
        }
        state.changed = Some(Instant::now());
        if !is_gone {
            state.leaving.push(model.clone());
        }
    }

    /// Takes in what another node has there.
    pub(crate) fn note_use(&self, node: NodeId, used: &EngineUseTold) {
        let elsewhere = UseElsewhere {
            in_flight: used.in_flight,
            unread_tokens: used.unread_tokens,
            models: used.models.clone(),
            told: Instant::now(),
        };
        let mut state = self.state.borrow_mut();
        state.elsewhere.retain(|_, used| used.told.elapsed() < USE_LIFE);
        state.elsewhere.insert(node, elsewhere);
    }

    /// Whether another node has requests for `model` there.
    pub(crate) fn is_used_elsewhere(&self, model: &ModelRef) -> bool {
        let state = self.state.borrow();
        let mut others = state.elsewhere.values();
        others.any(|used| used.told.elapsed() < USE_LIFE && used.models.contains(model))
    }

    /// Requests and unread prompt tokens of all other nodes but `node`.
    pub(crate) fn load_of_others(&self, node: &NodeId) -> (u32, u64) {
        let state = self.state.borrow();
        let others = state.elsewhere.iter().filter(|(other, used)| {
            *other != node && used.told.elapsed() < USE_LIFE
        });
        others.fold((0, 0), |(in_flight, unread), (_, used)| {
            (in_flight + used.in_flight, unread + used.unread_tokens)
        })
    }

    /// What it holds, if that changed within `span`.
    pub(crate) fn changed_holdings(&self, span: Duration) -> Option<Holdings> {
        let state = self.state.borrow();
        let is_recent = state.changed.is_some_and(|at| at.elapsed() < span);
        state.holdings.clone().filter(|_| is_recent)
    }

    /// How many adapters leave when their requests have ended. They take up room until then.
    pub(crate) fn leaving_count(&self) -> usize {
        self.state.borrow().leaving.len()
    }

    /// Takes in a report and returns the loads that it shows as finished. Reports lag: one from
    /// before the last order says nothing.
    pub(crate) fn reported(&self, report: &EngineState) -> Vec<Coming> {
        let mut state = self.state.borrow_mut();
        let known_seq = state.holdings.as_ref().map(|held| held.order_seq);
        if known_seq.is_some_and(|known| report.holdings.order_seq < known) {
            return Vec::new();
        }
        let mut finished = Vec::new();
        let held = |model: &ModelRef| report.holdings.version_of(model);
        state.coming.retain(|coming| {
            let is_here = held(&coming.model)
                .is_some_and(|version| coming.version.is_none_or(|wanted| version >= wanted));
            let is_under_way = report.coming.contains(&coming.model)
                || (coming.model.adapter.is_none() && report.is_busy);
            let is_seen = report.holdings.order_seq >= coming.order_seq;
            if is_here {
                finished.push(coming.clone());
            }
            !is_here && (is_under_way || !is_seen)
        });
        state.leaving.retain(|model| held(model).is_some());
        if state.holdings.as_ref() != Some(&report.holdings) {
            state.changed = Some(Instant::now());
        }
        state.holdings = Some(report.holdings.clone());
        drop(state);
        self.changed.notify_waiters();
        finished
    }
}
