//! What is told about upstreams.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, AdapterState, EngineReport, UpstreamId};

use crate::upstream_state::{Held, Told};
use crate::{AdapterAvailability, Router, RoutingAction};

impl Router {
    pub(crate) fn report(
        &mut self,
        upstream: &UpstreamId,
        report: &EngineReport,
        now: Instant,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(index) = self.upstream_by_id.get(upstream).copied() else {
            return;
        };
        if !self.take_incarnation(index, report, now) {
            return;
        }
        let state = &mut self.upstreams[index];
        let total = report.in_flight.saturating_add(report.queued);
        state.reported(total, now, self.settings.report_lag);
        if report.is_leaving {
            state.is_leaving = true;
        }
        self.take_held(index, report, now);
        self.count_reachable(self.upstreams[index].service);
        self.fill(index, now, actions);
    }

    /// Against a cold restart under a stale map: another incarnation holds nothing of what the
    /// former one held, and what was said of the former one (gone, leaving) does not concern it.
    /// Says whether the report is to be believed.
    fn take_incarnation(&mut self, upstream: usize, report: &EngineReport, now: Instant) -> bool {
        let state = &mut self.upstreams[upstream];
        let is_new = state.incarnation != Some(report.incarnation);
        if is_new && state.former == Some(report.incarnation) {
            // A late report of the run before the restart.
            return false;
        }
        if is_new {
            state.former = state.incarnation;
            let is_restart = state.incarnation.replace(report.incarnation).is_some();
            if is_restart {
                state.is_leaving = false;
                state.is_gone = false;
                state.told.clear();
                state.last_report = None;
                state.outlier.returned(now);
            }
            return true;
        }
        if state.is_gone {
            // It could not be reached and answers again. If it was leaving, it still is.
            state.is_gone = false;
            state.outlier.returned(now);
        }
        true
    }

    /// Takes over the adapters of a report, but for those that were told of more lately than a
    /// report is old: otherwise a late report would undo what placement knows.
    fn take_held(&mut self, upstream: usize, report: &EngineReport, now: Instant) {
        let keep_for = self.settings.report_lag * 2;
        let state = &mut self.upstreams[upstream];
        state.told.retain(|told| now < told.at + keep_for);
        let told = state.told.clone();
        let is_told = |adapter: &AdapterRef| told.iter().any(|told| told.adapter == *adapter);
        let reported = |adapter: &AdapterRef| report.adapters.iter().any(|h| h.adapter == *adapter);
        let held = state.held.iter().map(|held| held.adapter.clone());
        let removed: Vec<_> = held
            .filter(|held| !reported(held) && !is_told(held))
            .collect();
        for adapter in &removed {
            self.put_held(upstream, adapter, None, now);
        }
        for held in &report.adapters {
            let is_ready = held.state == AdapterState::Ready;
            let is_known = self.upstreams[upstream].holds(&held.adapter) == Some(is_ready);
            if !is_known && !is_told(&held.adapter) {
                self.put_held(upstream, &held.adapter, Some(is_ready), now);
            }
        }
    }

    pub(crate) fn adapter_state(
        &mut self,
        upstream: &UpstreamId,
        adapter: &AdapterRef,
        availability: AdapterAvailability,
        now: Instant,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(index) = self.upstream_by_id.get(upstream).copied() else {
            return;
        };
        self.set_held(index, adapter, availability, now);
        self.fill(index, now, actions);
    }

    /// Notes what is known sooner than by a report.
    pub(crate) fn set_held(
        &mut self,
        upstream: usize,
        adapter: &AdapterRef,
        availability: AdapterAvailability,
        now: Instant,
    ) {
        let state = &mut self.upstreams[upstream];
        state.told.retain(|told| told.adapter != *adapter);
        state.told.push(Told {
            adapter: adapter.clone(),
            at: now,
        });
        let is_ready = match availability {
            AdapterAvailability::Ready => Some(true),
            AdapterAvailability::Loading => Some(false),
            AdapterAvailability::Absent => None,
        };
        self.put_held(upstream, adapter, is_ready, now);
    }

    fn put_held(
        &mut self,
        upstream: usize,
        adapter: &AdapterRef,
        is_ready: Option<bool>,
        now: Instant,
    ) {
        let state = &mut self.upstreams[upstream];
        let known = state.held.iter().find(|held| held.adapter == *adapter);
        let is_same = |known: &&Held| Some(known.is_ready) == is_ready;
        let since = known.filter(is_same).map_or(now, |known| known.since);
        state.held.retain(|held| held.adapter != *adapter);
        if let Some(is_ready) = is_ready {
            state.held.push(Held {
                adapter: adapter.clone(),
                is_ready,
                since,
            });
        }
        self.adapters.set(adapter, upstream, is_ready);
        if is_ready == Some(true)
            && let Some(want) = self.adapters.clear_want(adapter)
        {
            self.load_time
                .observe(now.saturating_duration_since(want.first));
        }
    }

    pub(crate) fn health(
        &mut self,
        upstream: &UpstreamId,
        is_ready: bool,
        now: Instant,
        actions: &mut Vec<RoutingAction>,
    ) {
        let Some(index) = self.upstream_by_id.get(upstream).copied() else {
            return;
        };
        let state = &mut self.upstreams[index];
        let was_away = state.is_gone || !state.is_ready;
        state.is_ready = is_ready;
        if is_ready && state.is_gone {
            // It went away and came back: it left before, if it did, in a former life.
            state.is_gone = false;
            state.is_leaving = false;
        }
        if is_ready && was_away {
            state.outlier.returned(now);
        }
        let service = state.service;
        self.count_reachable(service);
        self.fill(index, now, actions);
    }

    pub(crate) fn upstream_gone(&mut self, upstream: &UpstreamId) {
        self.leaving_unlisted.remove(upstream);
        if let Some(index) = self.upstream_by_id.get(upstream).copied() {
            self.upstreams[index].is_gone = true;
            self.count_reachable(self.upstreams[index].service);
        }
    }

    pub(crate) fn leaving(&mut self, upstream: &UpstreamId) {
        if let Some(index) = self.upstream_by_id.get(upstream).copied() {
            self.upstreams[index].is_leaving = true;
            self.count_reachable(self.upstreams[index].service);
        } else {
            // The plan that lists it may arrive later than the news that it leaves.
            self.leaving_unlisted.insert(upstream.clone());
        }
    }

    pub(crate) fn staying(
        &mut self,
        upstream: &UpstreamId,
        now: Instant,
        actions: &mut Vec<RoutingAction>,
    ) {
        self.leaving_unlisted.remove(upstream);
        if let Some(index) = self.upstream_by_id.get(upstream).copied() {
            self.upstreams[index].is_leaving = false;
            self.count_reachable(self.upstreams[index].service);
            self.fill(index, now, actions);
        }
    }

    pub(crate) fn count_reachable(&mut self, service: usize) {
        let state = &mut self.services[service];
        let reachable = |members: &[u32]| {
            let members = members.iter().map(|upstream| *upstream as usize);
            members
                .filter(|u| self.upstreams[*u].is_reachable())
                .count() as u32
        };
        state.reachable_own = reachable(&state.own);
        state.reachable = state.reachable_own + reachable(&state.foreign);
        let own = state
            .own
            .iter()
            .map(|upstream| &self.upstreams[*upstream as usize]);
        let own = own.filter(|upstream| upstream.is_reachable());
        // The earliest end of a pause; one that never paused sorts first.
        let paused = own.map(|upstream| upstream.outlier.paused_until()).min();
        state.own_paused_until = paused.flatten();
    }
}
