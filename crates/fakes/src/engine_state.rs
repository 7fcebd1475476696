//! The state of the engine stand-in: slots, batch, waiting runs, orders and reports.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use nutmegsail_base::{AdapterRef, AdapterVersion, EngineReport, Incarnation, RequestId};
use nutmegsail_upstream::{
    Attachment, CancelAnswer, LoadOrder, OrderAnswer, OrderError, UpstreamError,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::watch;

use crate::engine_run::{Progress, Run, RunPhase};
use crate::engine_slots::{AdapterSlots, OrderConditions};
use crate::knobs::happens;
use crate::lagged::Lagged;
use crate::{EngineSettings, FakeWeightStore, Knobs, Ledger};

/// Incarnations stay below this, so that every JSON reader keeps them exact.
const INCARNATION_LIMIT: u64 = 1 << 53;

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
    pub(crate) attachment: Attachment,
    pub(crate) breaks_after: Option<u64>,
    pub(crate) cuts: u32,
    pub(crate) progress: watch::Receiver<Progress>,
}

#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) settings: EngineSettings,
    pub(crate) knobs: Knobs,
    pub(crate) ledger: Ledger,
    incarnation: Incarnation,
    slots: AdapterSlots,
    runs: HashMap<RequestId, Run>,
    waiting: BTreeMap<(u8, u64), RequestId>,
    batch: Vec<RequestId>,
    forget_queue: VecDeque<(Instant, RequestId, u64)>,
    late_orders: Vec<(Instant, LoadOrder)>,
    reports: Lagged<EngineReport>,
    next_number: u64,
    cuts: u32,
    rng: ChaCha8Rng,
}

impl EngineState {
    pub(crate) fn new(settings: EngineSettings, store: Arc<FakeWeightStore>, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let incarnation = Incarnation(rng.random_range(1..INCARNATION_LIMIT));
        Self {
            slots: AdapterSlots::new(settings.adapter_slots, store),
            reports: Lagged::new(settings.report_lag),
            settings,
            knobs: Knobs::default(),
            ledger: Ledger::default(),
            incarnation,
            runs: HashMap::new(),
            waiting: BTreeMap::new(),
            batch: Vec::new(),
            forget_queue: VecDeque::new(),
            late_orders: Vec::new(),
            next_number: 1,
            cuts: 0,
            rng,
        }
    }

    /// Starts anew: empty, with a new incarnation. Only the ledger and the knobs stay.
    pub(crate) fn restart(&mut self, now: Instant) {
        self.slots.cancel_loads(now);
        let seed = self.rng.random();
        let fresh = Self::new(self.settings.clone(), self.slots.store(), seed);
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
        !self.batch.is_empty()
            || !self.waiting.is_empty()
            || !self.late_orders.is_empty()
            || self.slots.is_loading()
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
        self.slots.settle(now);
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
        if self.is_full() {
            return Err(UpstreamError::Full);
        }
        if !self.slots.is_ready(&asked.adapter) {
            return Err(UpstreamError::AdapterAbsent(asked.adapter));
        }
        // A second run of one request id is what a test looks for; it displaces the first.
        self.take_out(&asked.request);
        let displaced = self.runs.get(&asked.request);
        let attachment = displaced.map_or(Attachment(0), |run| run.attachment);
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
            attachment,
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

    pub(crate) fn running(&self) -> usize {
        self.batch.len() + self.waiting.len()
    }

    fn is_full(&self) -> bool {
        let places = self.settings.batch_slots + self.settings.queue_slots;
        self.knobs.full || self.running() >= places
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
        if self.is_full() {
            return Err(UpstreamError::Full);
        }
        let number = self.draw_number();
        let Some(run) = self.runs.get(request) else {
            return Err(UpstreamError::Broken);
        };
        if !self.slots.is_ready(&run.adapter) {
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
        run.attachment.0 += 1;
        run.unread_since = None;
        let breaks = happens(&mut self.rng, self.knobs.broken_share);
        let breaks_after = breaks.then(|| self.rng.random_range(after..=run.total.max(after)));
        Some(Joined {
            incarnation: self.incarnation,
            adapter: run.adapter.clone(),
            run_number: run.number,
            attachment: run.attachment,
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

    /// Ends a run; its slot is free at once. What it made is kept for a resume. A cancellation for
    /// an earlier reader than the latest ends nothing.
    pub(crate) fn cancel(
        &mut self,
        request: &RequestId,
        attachment: Attachment,
        now: Instant,
    ) -> CancelAnswer {
        let run = self.runs.get(request);
        if run.is_some_and(|run| attachment < run.attachment) {
            return CancelAnswer::TakenOver;
        }
        self.take_out(request);
        self.note_report(now);
        CancelAnswer::Ended
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

    /// Puts an adapter into a slot at once, past the weight store, for the set-up of a test.
    pub(crate) fn preload(&mut self, adapter: AdapterRef, now: Instant) {
        self.slots.preload(adapter);
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
        let conditions = OrderConditions {
            incarnation: self.incarnation,
            checks_fencing: self.settings.checks_fencing,
            store_refuses: self.knobs.store_refuses,
            load_will_fail: happens(&mut self.rng, self.knobs.load_failure_share),
            running: self.running_on(&order.adapter),
            now,
            wall,
        };
        let answer = self.slots.take_order(order, &conditions);
        self.note_report(now);
        answer
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
        let seen = self.reports.seen(now).cloned();
        seen.unwrap_or_else(|| self.true_report())
    }

    fn note_report(&mut self, now: Instant) {
        if !self.settings.report_lag.is_zero() {
            self.reports.set(self.true_report(), now);
        }
    }

    fn true_report(&self) -> EngineReport {
        EngineReport {
            incarnation: self.incarnation,
            order_seq: self.slots.order_seq(),
            fence: self.slots.fence(),
            adapters: self.slots.held(|adapter| as_u32(self.running_on(adapter))),
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
