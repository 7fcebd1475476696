//! The state of the engine stand-in: slots, batch, waiting runs, orders and reports.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use nutmegsail_base::{
    AdapterRef, AdapterState, AdapterVersion, EngineReport, HeldAdapter, Incarnation, RequestId,
};
use nutmegsail_upstream::{LoadOrder, OrderAnswer, OrderError, OrderOp, UpstreamError};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use crate::engine_run::{Progress, Run, RunPhase};
use crate::knobs::happens;
use crate::{EngineSettings, FakeWeightStore, Knobs, Ledger};

/// Incarnations stay below this, so that every JSON reader keeps them exact.
const INCARNATION_LIMIT: u64 = 1 << 53;

#[derive(Debug)]
struct Slot {
    adapter: AdapterRef,
    load: Option<Load>,
}

#[derive(Debug)]
struct Load {
    id: u64,
    will_fail: bool,
}

/// What a run is asked for.
#[derive(Clone, Debug)]
pub(crate) struct RunRequest {
    pub(crate) request: RequestId,
    pub(crate) adapter: AdapterRef,
    pub(crate) priority: u8,
    pub(crate) total: u64,
    pub(crate) is_resumable: bool,
}

/// A reader's place in a run.
#[derive(Debug)]
pub(crate) struct Joined {
    pub(crate) incarnation: Incarnation,
    pub(crate) adapter: AdapterRef,
    pub(crate) run_number: u64,
    pub(crate) breaks_after: Option<u64>,
    pub(crate) cuts: u32,
    pub(crate) progress: watch::Receiver<Progress>,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    pub(crate) knobs: Knobs,
    pub(crate) ledger: Ledger,
    store: Arc<FakeWeightStore>,
    incarnation: Incarnation,
    order_seq: u64,
    fence: u64,
    slots: Vec<Slot>,
    runs: HashMap<RequestId, Run>,
    waiting: BTreeMap<(u8, u64), RequestId>,
    batch: Vec<RequestId>,
    forget_queue: VecDeque<(Instant, RequestId, u64)>,
    late_orders: Vec<(Instant, LoadOrder)>,
    reports: VecDeque<(Instant, EngineReport)>,
    next_number: u64,
    cuts: u32,
    rng: ChaCha8Rng,
}

impl EngineState {
    pub(crate) fn new(settings: EngineSettings, store: Arc<FakeWeightStore>, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let incarnation = Incarnation(rng.random_range(1..INCARNATION_LIMIT));
        Self {
            settings,
            knobs: Knobs::default(),
            ledger: Ledger::default(),
            store,
            incarnation,
            order_seq: 0,
            fence: 0,
            slots: Vec::new(),
            runs: HashMap::new(),
            waiting: BTreeMap::new(),
            batch: Vec::new(),
            forget_queue: VecDeque::new(),
            late_orders: Vec::new(),
            reports: VecDeque::new(),
            next_number: 1,
            cuts: 0,
            rng,
        }
    }

    /// Starts anew: empty, with a new incarnation. Only the ledger and the knobs stay.
    pub(crate) fn restart(&mut self, now: Instant) {
        for slot in &self.slots {
            if let Some(load) = &slot.load {
                self.store.cancel(load.id, now);
            }
        }
        let seed = self.rng.random();
        let fresh = Self::new(self.settings.clone(), Arc::clone(&self.store), seed);
        let old = std::mem::replace(self, fresh);
        self.knobs = old.knobs;
        self.ledger = old.ledger;
        self.next_number = old.next_number;
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether a step would change anything.
    pub(crate) fn has_work(&self) -> bool {
        let is_loading = self.slots.iter().any(|slot| slot.load.is_some());
        !self.batch.is_empty()
            || !self.waiting.is_empty()
            || !self.late_orders.is_empty()
            || is_loading
    }

    /// Carries out what is due: late orders, ends of loads, answers to forget.
    pub(crate) fn settle(&mut self, now: Instant, wall: SystemTime) {
        let (due, later) = std::mem::take(&mut self.late_orders)
            .into_iter()
            .partition(|(due_at, _)| *due_at <= now);
        self.late_orders = later;
        for (_, order) in due {
            // Nobody waits for the answer of a late order.
            let _ = self.order(&order, now, wall);
        }
        let store = Arc::clone(&self.store);
        for slot in &mut self.slots {
            let is_done = |load: &Load| !load.will_fail && store.is_done(load.id, now);
            if slot.load.as_ref().is_some_and(is_done) {
                slot.load = None;
            }
        }
        let has_failed = |load: &Load| load.will_fail && store.is_done(load.id, now);
        self.slots
            .retain(|slot| !slot.load.as_ref().is_some_and(has_failed));
        self.forget_old_answers(now);
    }

    fn forget_old_answers(&mut self, now: Instant) {
        while let Some((unread_since, request, number)) = self.forget_queue.front() {
            if *unread_since + self.settings.keeps_answers > now {
                break;
            }
            let is_still_unread = self.runs.get(request).is_some_and(|run| {
                run.number == *number && run.unread_since == Some(*unread_since)
            });
            if is_still_unread {
                let request = request.clone();
                self.take_out(&request);
                self.runs.remove(&request);
            }
            self.forget_queue.pop_front();
        }
    }

    pub(crate) fn start(
        &mut self,
        asked: RunRequest,
        now: Instant,
    ) -> Result<Joined, UpstreamError> {
        if self.knobs.leaving {
            return Err(UpstreamError::Leaving);
        }
        if self.knobs.full || self.waiting.len() >= self.settings.queue_slots {
            return Err(UpstreamError::Full);
        }
        if !self.is_ready(&asked.adapter) {
            return Err(UpstreamError::AdapterAbsent(asked.adapter));
        }
        // A second run of one request id is what a test looks for; it displaces the first.
        self.take_out(&asked.request);
        let mut adapter = asked.adapter;
        if happens(&mut self.rng, self.knobs.wrong_adapter_share) {
            adapter.version = AdapterVersion(adapter.version.0.wrapping_add(1));
        }
        self.ledger
            .record_engine_run(&asked.request, adapter.to_string());
        let number = self.draw_number();
        let progress = Progress {
            cuts: self.cuts,
            ..Progress::default()
        };
        let run = Run {
            number,
            adapter,
            priority: asked.priority,
            arrival: number,
            total: asked.total,
            phase: RunPhase::Waiting,
            is_resumable: asked.is_resumable,
            readers: 0,
            unread_since: None,
            progress: watch::Sender::new(progress),
        };
        self.waiting
            .insert((run.priority, run.arrival), asked.request.clone());
        self.runs.insert(asked.request.clone(), run);
        let joined = self.join(&asked.request, 0);
        self.note_report(now);
        joined.ok_or(UpstreamError::Broken)
    }

    fn draw_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    pub(crate) fn resume(
        &mut self,
        request: &RequestId,
        incarnation: Incarnation,
        after: u64,
        now: Instant,
    ) -> Result<Joined, UpstreamError> {
        let unknown = UpstreamError::Failed { status: 404 };
        if incarnation != self.incarnation {
            return Err(unknown);
        }
        let run = self.runs.get(request).ok_or(unknown)?;
        if run.phase == RunPhase::Stopped {
            self.put_back(request)?;
        }
        let joined = self.join(request, after);
        self.note_report(now);
        joined.ok_or(UpstreamError::Broken)
    }

    /// Puts a cancelled run back among those that wait; it goes on after its last event.
    fn put_back(&mut self, request: &RequestId) -> Result<(), UpstreamError> {
        if self.knobs.full || self.waiting.len() >= self.settings.queue_slots {
            return Err(UpstreamError::Full);
        }
        let number = self.draw_number();
        let Some(run) = self.runs.get(request) else {
            return Err(UpstreamError::Broken);
        };
        if !self.is_ready(&run.adapter) {
            return Err(UpstreamError::AdapterAbsent(run.adapter.clone()));
        }
        if let Some(run) = self.runs.get_mut(request) {
            run.arrival = number;
            run.phase = RunPhase::Waiting;
            run.progress
                .send_modify(|progress| progress.is_stopped = false);
            self.waiting
                .insert((run.priority, run.arrival), request.clone());
        }
        Ok(())
    }

    fn join(&mut self, request: &RequestId, after: u64) -> Option<Joined> {
        let run = self.runs.get_mut(request)?;
        run.readers += 1;
        run.unread_since = None;
        let breaks = happens(&mut self.rng, self.knobs.broken_share);
        let breaks_after = breaks.then(|| self.rng.random_range(after..=run.total.max(after)));
        Some(Joined {
            incarnation: self.incarnation,
            adapter: run.adapter.clone(),
            run_number: run.number,
            breaks_after,
            cuts: self.cuts,
            progress: run.progress.subscribe(),
        })
    }

    /// A reader is gone. `keeps` says that the run goes on without one.
    pub(crate) fn leave(&mut self, request: &RequestId, number: u64, keeps: bool, now: Instant) {
        let Some(run) = self.runs.get_mut(request) else {
            return;
        };
        if run.number != number {
            return;
        }
        run.readers = run.readers.saturating_sub(1);
        if run.readers > 0 {
            return;
        }
        run.unread_since = Some(now);
        let goes_on = keeps || run.is_resumable || self.knobs.keep_dropped;
        self.forget_queue.push_back((now, request.clone(), number));
        if !goes_on {
            self.take_out(request);
            self.note_report(now);
        }
    }

    /// Ends a run; its slot is free at once. What it made is kept for a resume.
    pub(crate) fn cancel(&mut self, request: &RequestId, now: Instant) {
        self.take_out(request);
        self.note_report(now);
    }

    fn take_out(&mut self, request: &RequestId) {
        let Some(run) = self.runs.get_mut(request) else {
            return;
        };
        match run.phase {
            RunPhase::Waiting => {
                self.waiting.remove(&(run.priority, run.arrival));
            }
            RunPhase::Batched => self.batch.retain(|other| other != request),
            RunPhase::Stopped | RunPhase::Ended => return,
        }
        run.phase = RunPhase::Stopped;
        run.progress
            .send_modify(|progress| progress.is_stopped = true);
    }

    pub(crate) fn cut_connections(&mut self) {
        self.cuts += 1;
        let cuts = self.cuts;
        for run in self.runs.values() {
            run.progress.send_modify(|progress| progress.cuts = cuts);
        }
    }

    /// Fills the batch, the most urgent first.
    pub(crate) fn begin_step(&mut self) {
        while self.batch.len() < self.settings.batch_slots {
            let Some((_, request)) = self.waiting.pop_first() else {
                break;
            };
            if let Some(run) = self.runs.get_mut(&request) {
                run.phase = RunPhase::Batched;
                self.batch.push(request);
            }
        }
    }

    /// Makes one event for each run of the batch.
    pub(crate) fn end_step(&mut self, now: Instant) {
        let runs = &mut self.runs;
        self.batch.retain(|request| {
            let Some(run) = runs.get_mut(request) else {
                return false;
            };
            let total = run.total;
            run.progress.send_modify(|progress| {
                progress.made += 1;
                progress.is_ended = progress.made >= total;
            });
            let is_ended = run.progress.borrow().is_ended;
            if is_ended {
                run.phase = RunPhase::Ended;
            }
            !is_ended
        });
        self.note_report(now);
    }

    fn is_ready(&self, adapter: &AdapterRef) -> bool {
        self.slots
            .iter()
            .any(|slot| slot.adapter == *adapter && slot.load.is_none())
    }

    /// Puts an adapter into a slot at once, past the weight store, for the set-up of a test.
    pub(crate) fn preload(&mut self, adapter: AdapterRef, now: Instant) {
        self.slots.push(Slot {
            adapter,
            load: None,
        });
        self.note_report(now);
    }

    pub(crate) fn late_order(&mut self, order: &LoadOrder, now: Instant) -> bool {
        let is_late = happens(&mut self.rng, self.knobs.late_share);
        if is_late {
            self.late_orders
                .push((now + self.knobs.late(), order.clone()));
        }
        is_late
    }

    pub(crate) fn loses_answer(&mut self) -> bool {
        happens(&mut self.rng, self.knobs.lost_answer_share)
    }

    pub(crate) fn order(
        &mut self,
        order: &LoadOrder,
        now: Instant,
        wall: SystemTime,
    ) -> Result<OrderAnswer, OrderError> {
        let valid_until = SystemTime::UNIX_EPOCH + Duration::from_millis(order.valid_until_unix_ms);
        if order.incarnation != self.incarnation || wall > valid_until {
            return Err(OrderError::Stale);
        }
        if self.settings.checks_fencing {
            if order.fence < self.fence {
                return Err(OrderError::Fenced);
            }
            self.fence = order.fence;
        }
        let is_held = self.slots.iter().any(|slot| slot.adapter == order.adapter);
        if is_held == (order.op == OrderOp::Load) {
            return Ok(OrderAnswer::AlreadyDone);
        }
        if order.expected_seq != self.order_seq {
            return Err(OrderError::Stale);
        }
        match order.op {
            OrderOp::Load => self.load(order.adapter.clone(), now)?,
            OrderOp::Unload => self.unload(&order.adapter, now)?,
        }
        self.order_seq += 1;
        self.note_report(now);
        Ok(OrderAnswer::Accepted)
    }

    fn load(&mut self, adapter: AdapterRef, now: Instant) -> Result<(), OrderError> {
        if self.slots.len() >= self.settings.adapter_slots {
            return Err(OrderError::NoSlot);
        }
        if self.knobs.store_refuses {
            return Err(OrderError::StoreRefused);
        }
        let will_fail = happens(&mut self.rng, self.knobs.load_failure_share);
        let share = if will_fail { 0.5 } else { 1.0 };
        let id = self
            .store
            .begin(share, now)
            .ok_or(OrderError::StoreRefused)?;
        let load = Some(Load { id, will_fail });
        self.slots.push(Slot { adapter, load });
        Ok(())
    }

    fn unload(&mut self, adapter: &AdapterRef, now: Instant) -> Result<(), OrderError> {
        if self.running_on(adapter) > 0 {
            return Err(OrderError::InUse);
        }
        for slot in self.slots.iter().filter(|slot| slot.adapter == *adapter) {
            if let Some(load) = &slot.load {
                self.store.cancel(load.id, now);
            }
        }
        self.slots.retain(|slot| slot.adapter != *adapter);
        Ok(())
    }

    /// Runs that use the adapter, those that wait inside the engine among them.
    fn running_on(&self, adapter: &AdapterRef) -> usize {
        self.batch
            .iter()
            .chain(self.waiting.values())
            .filter_map(|request| self.runs.get(request))
            .filter(|run| run.adapter == *adapter)
            .count()
    }

    /// The report as it was `report_lag` ago.
    pub(crate) fn report(&mut self, now: Instant) -> EngineReport {
        self.note_report(now);
        let lag = self.settings.report_lag;
        while self.reports.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.reports.pop_front();
        }
        match self.reports.front() {
            Some((_, report)) => report.clone(),
            None => self.true_report(),
        }
    }

    fn note_report(&mut self, now: Instant) {
        if self.settings.report_lag.is_zero() {
            return;
        }
        let report = self.true_report();
        if self.reports.back().is_some_and(|(_, last)| *last == report) {
            return;
        }
        self.reports.push_back((now, report));
        let lag = self.settings.report_lag;
        while self.reports.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.reports.pop_front();
        }
    }

    fn true_report(&self) -> EngineReport {
        let held = |slot: &Slot| HeldAdapter {
            adapter: slot.adapter.clone(),
            state: match slot.load {
                Some(_) => AdapterState::Loading,
                None => AdapterState::Ready,
            },
            running: as_u32(self.running_on(&slot.adapter)),
        };
        EngineReport {
            incarnation: self.incarnation,
            order_seq: self.order_seq,
            fence: self.fence,
            adapters: self.slots.iter().map(held).collect(),
            adapter_slots: as_u32(self.settings.adapter_slots),
            in_flight: as_u32(self.batch.len()),
            queued: as_u32(self.waiting.len()),
            batch_slots: as_u32(self.settings.batch_slots),
            is_leaving: self.knobs.leaving,
        }
    }
}

fn as_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
