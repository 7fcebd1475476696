//! A fake engine: few adapter slots, steps over a batch, priorities.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use nutmegsail_base::{AdapterState, Class, EngineReport, HeldAdapter, Incarnation};

use super::policy::adapter_ref;

/// A step without any request.
const STEP_US: u64 = 18_000;
/// What each request of the batch adds to a step.
const STEP_PER_REQUEST_US: u64 = 300;
/// What each further adapter of the batch adds to a step.
const STEP_PER_ADAPTER_US: u64 = 600;
/// What the prompt of a newly admitted request adds to its first step.
const PREFILL_US: u64 = 8_000;
/// How many prompts one step takes in.
const PREFILLS_PER_STEP: usize = 4;

/// A request on an engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) request: usize,
    pub(crate) adapter: usize,
    /// How urgent it is here; a routine request may have been sent as an urgent one.
    pub(crate) class: Class,
    pub(crate) own_class: Class,
    pub(crate) tokens_left: u32,
    pub(crate) has_first: bool,
}

/// An adapter slot that is taken.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub(crate) adapter: usize,
    pub(crate) is_ready: bool,
    pub(crate) last_used: Duration,
}

/// What a step brought about.
#[derive(Debug, Default)]
pub(crate) struct StepEnd {
    pub(crate) first_tokens: Vec<usize>,
    pub(crate) finished: Vec<usize>,
}

/// A fake engine.
#[derive(Debug)]
pub(crate) struct FakeEngine {
    pub(crate) slots: Vec<Slot>,
    pub(crate) adapter_slots: usize,
    batch_slots: usize,
    has_all_adapters: bool,
    is_first_come: bool,
    running: Vec<Job>,
    waiting: VecDeque<Job>,
    pub(crate) is_stepping: bool,
    /// Steps, and requests in all of them, since the last reset.
    pub(crate) steps: u64,
    pub(crate) step_requests: u64,
    pub(crate) tokens: [u64; 2],
}

impl FakeEngine {
    pub(crate) fn new(
        adapter_slots: usize,
        batch_slots: usize,
        has_all_adapters: bool,
        is_first_come: bool,
    ) -> Self {
        Self {
            slots: Vec::new(),
            adapter_slots,
            batch_slots,
            has_all_adapters,
            is_first_come,
            running: Vec::new(),
            waiting: VecDeque::new(),
            is_stepping: false,
            steps: 0,
            step_requests: 0,
            tokens: [0, 0],
        }
    }

    pub(crate) fn is_ready(&self, adapter: usize) -> bool {
        let mut slots = self.slots.iter();
        self.has_all_adapters || slots.any(|slot| slot.adapter == adapter && slot.is_ready)
    }

    pub(crate) fn holds(&self, adapter: usize) -> bool {
        self.has_all_adapters || self.slots.iter().any(|slot| slot.adapter == adapter)
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    pub(crate) fn push(&mut self, job: Job) {
        self.waiting.push_back(job);
    }

    pub(crate) fn waiting(&self) -> impl Iterator<Item = &Job> {
        self.waiting.iter()
    }

    /// Ends a request that gave no token yet; says whether it was here.
    pub(crate) fn cancel(&mut self, request: usize) -> bool {
        let before = self.in_flight();
        self.waiting.retain(|job| job.request != request);
        self.running
            .retain(|job| job.request != request || job.has_first);
        self.in_flight() < before
    }

    /// Loses every request.
    pub(crate) fn drop_all(&mut self) {
        self.running.clear();
        self.waiting.clear();
    }

    /// The adapter that could make room: idle for longest.
    pub(crate) fn evictable(&self) -> Option<usize> {
        let idle = self.slots.iter().filter(|slot| {
            slot.is_ready
                && !self.running.iter().any(|job| job.adapter == slot.adapter)
                && !self.waiting.iter().any(|job| job.adapter == slot.adapter)
        });
        idle.min_by_key(|slot| slot.last_used)
            .map(|slot| slot.adapter)
    }

    /// Whether another adapter can be loaded.
    pub(crate) fn has_room(&self) -> bool {
        self.slots.len() < self.adapter_slots || self.evictable().is_some()
    }

    /// Starts a step if there is work; says how long it takes and who was admitted.
    pub(crate) fn start_step(&mut self, now: Duration) -> Option<(Duration, Vec<usize>)> {
        if self.is_stepping {
            return None;
        }
        let admitted = self.admit();
        if self.running.is_empty() {
            return None;
        }
        self.is_stepping = true;
        self.steps += 1;
        self.step_requests += self.running.len() as u64;
        let adapters: HashSet<usize> = self.running.iter().map(|job| job.adapter).collect();
        for slot in &mut self.slots {
            if adapters.contains(&slot.adapter) {
                slot.last_used = now;
            }
        }
        let step_us = STEP_US
            + STEP_PER_REQUEST_US * self.running.len() as u64
            + STEP_PER_ADAPTER_US * (adapters.len() as u64 - 1)
            + PREFILL_US * admitted.len() as u64;
        Some((Duration::from_micros(step_us), admitted))
    }

    fn admit(&mut self) -> Vec<usize> {
        let mut admitted = Vec::new();
        while self.running.len() < self.batch_slots && admitted.len() < PREFILLS_PER_STEP {
            let fits = |job: &Job| self.is_ready(job.adapter);
            let urgent = |job: &Job| job.class == Class::Urgent && fits(job);
            let first_urgent = self.waiting.iter().position(urgent);
            let first_urgent = first_urgent.filter(|_| !self.is_first_come);
            let Some(at) = first_urgent.or_else(|| self.waiting.iter().position(fits)) else {
                break;
            };
            let Some(job) = self.waiting.remove(at) else {
                break;
            };
            admitted.push(job.request);
            self.running.push(job);
        }
        admitted
    }

    pub(crate) fn end_step(&mut self) -> StepEnd {
        self.is_stepping = false;
        let mut end = StepEnd::default();
        for job in &mut self.running {
            if !job.has_first {
                job.has_first = true;
                end.first_tokens.push(job.request);
            }
            job.tokens_left = job.tokens_left.saturating_sub(1);
            self.tokens[job.own_class as usize] += 1;
            if job.tokens_left == 0 {
                end.finished.push(job.request);
            }
        }
        self.running.retain(|job| job.tokens_left > 0);
        end
    }

    pub(crate) fn report(&self) -> EngineReport {
        let held = self.slots.iter().map(|slot| HeldAdapter {
            adapter: adapter_ref(slot.adapter),
            state: if slot.is_ready {
                AdapterState::Ready
            } else {
                AdapterState::Loading
            },
            running: 0,
        });
        EngineReport {
            incarnation: Incarnation(1),
            order_seq: 0,
            fence: 0,
            adapters: held.collect(),
            adapter_slots: self.adapter_slots as u32,
            in_flight: self.running.len() as u32,
            queued: self.waiting.len() as u32,
            batch_slots: self.batch_slots as u32,
            is_leaving: false,
        }
    }
}
