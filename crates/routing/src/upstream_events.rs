//! Handling of events about upstreams: reports, health checks and membership.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, AdapterState, EngineReport, UpstreamId};

use crate::upstream_state::{AvailabilityUpdate, Held};
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
        if !self.accept_incarnation(index, report, now) {
            return;
        }
        let state = &mut self.upstreams[index];
        let total = report.in_flight.saturating_add(report.queued);
        state.record_report(total, now, self.settings.report_lag);
        if report.is_leaving {
            state.is_leaving = true;
        }
        self.merge_reported_adapters(index, report, now);
        self.update_availability(self.upstreams[index].service);
        self.fill(index, now, actions);
    }

    /// Resets the state when the engine has restarted: a new incarnation has none of the adapters
    /// of the previous one and is neither unreachable nor leaving because that one was. Returns
    /// whether the report should be used.
    fn accept_incarnation(&mut self, upstream: usize, report: &EngineReport, now: Instant) -> bool {
        let state = &mut self.upstreams[upstream];
        let is_new = state.incarnation != Some(report.incarnation);
        if is_new && state.previous_incarnation == Some(report.incarnation) {
            // A late report from before the restart.
            return false;
        }
        if is_new {
            state.previous_incarnation = state.incarnation;
            let is_restart = state.incarnation.replace(report.incarnation).is_some();
            if is_restart {
                state.is_leaving = false;
                state.is_unreachable = false;
                state.recent_updates.clear();
                state.last_report = None;
                state.outlier.begin_slow_start(now);
            }
            return true;
        }
        if state.is_unreachable {
            // The same incarnation can be reached again. If it was leaving, it still is.
            state.is_unreachable = false;
            state.outlier.begin_slow_start(now);
        }
        true
    }

    /// Updates the adapters from a report, except those with an update so recent that the report
    /// may be older: a late report must not undo what placement knows.
    fn merge_reported_adapters(&mut self, upstream: usize, report: &EngineReport, now: Instant) {
        let keep_for = self.settings.report_lag * 2;
        let state = &mut self.upstreams[upstream];
        state
            .recent_updates
            .retain(|update| now < update.at + keep_for);
        let recent_updates = state.recent_updates.clone();
        let is_recently_updated = |adapter: &AdapterRef| {
            recent_updates
                .iter()
                .any(|update| update.adapter == *adapter)
        };
        let is_reported =
            |adapter: &AdapterRef| report.adapters.iter().any(|h| h.adapter == *adapter);
        let held = state.held.iter().map(|held| held.adapter.clone());
        let removed: Vec<_> = held
            .filter(|held| !is_reported(held) && !is_recently_updated(held))
            .collect();
        for adapter in &removed {
            self.set_adapter_state(upstream, adapter, None, now);
        }
        for held in &report.adapters {
            let is_ready = held.state == AdapterState::Ready;
            let is_known = self.upstreams[upstream].holds(&held.adapter) == Some(is_ready);
            if !is_known && !is_recently_updated(&held.adapter) {
                self.set_adapter_state(upstream, &held.adapter, Some(is_ready), now);
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
        self.record_availability(index, adapter, availability, now);
        self.fill(index, now, actions);
    }

    /// Records an adapter state that is newer than the engine's report.
    pub(crate) fn record_availability(
        &mut self,
        upstream: usize,
        adapter: &AdapterRef,
        availability: AdapterAvailability,
        now: Instant,
    ) {
        let state = &mut self.upstreams[upstream];
        state
            .recent_updates
            .retain(|update| update.adapter != *adapter);
        state.recent_updates.push(AvailabilityUpdate {
            adapter: adapter.clone(),
            at: now,
        });
        let is_ready = match availability {
            AdapterAvailability::Ready => Some(true),
            AdapterAvailability::Loading => Some(false),
            AdapterAvailability::Absent => None,
        };
        self.set_adapter_state(upstream, adapter, is_ready, now);
    }

    fn set_adapter_state(
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
            && let Some(load_request) = self.adapters.clear_load_request(adapter)
        {
            self.load_time
                .observe(now.saturating_duration_since(load_request.first));
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
        let was_unavailable = state.is_unreachable || !state.is_ready;
        state.is_ready = is_ready;
        if is_ready && state.is_unreachable {
            // It was unreachable and is back. If it was leaving before, that no longer applies.
            state.is_unreachable = false;
            state.is_leaving = false;
        }
        if is_ready && was_unavailable {
            state.outlier.begin_slow_start(now);
        }
        let service = state.service;
        self.update_availability(service);
        self.fill(index, now, actions);
    }

    pub(crate) fn upstream_unreachable(&mut self, upstream: &UpstreamId) {
        self.leaving_unlisted.remove(upstream);
        if let Some(index) = self.upstream_by_id.get(upstream).copied() {
            self.upstreams[index].is_unreachable = true;
            self.update_availability(self.upstreams[index].service);
        }
    }

    pub(crate) fn leaving(&mut self, upstream: &UpstreamId) {
        if let Some(index) = self.upstream_by_id.get(upstream).copied() {
            self.upstreams[index].is_leaving = true;
            self.update_availability(self.upstreams[index].service);
        } else {
            // The plan that lists it may arrive after the event that it is leaving.
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
            self.update_availability(self.upstreams[index].service);
            self.fill(index, now, actions);
        }
    }

    /// Recounts the available upstreams of a service, and when those in this node's failure domain
    /// end their pauses.
    pub(crate) fn update_availability(&mut self, service: usize) {
        let state = &mut self.services[service];
        let available = |members: &[u32]| {
            let members = members.iter().map(|upstream| *upstream as usize);
            members
                .filter(|u| self.upstreams[*u].is_available())
                .count() as u32
        };
        state.available_in_own_domain = available(&state.own_domain);
        state.available = state.available_in_own_domain + available(&state.other_domains);
        let own = state
            .own_domain
            .iter()
            .map(|upstream| &self.upstreams[*upstream as usize]);
        let own = own.filter(|upstream| upstream.is_available());
        // The earliest end of a pause. `None`, for an upstream that was never paused, sorts first.
        let paused = own.map(|upstream| upstream.outlier.paused_until()).min();
        state.own_domain_paused_until = paused.flatten();
    }
}
