//! Explains to operators which upstream a request would be sent to, and why.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class, ServiceName};

use crate::{CandidateExplanation, Explanation, Router, Standing};

/// Maximum number of candidates in an explanation.
const MAX_CANDIDATES: usize = 12;

impl Router {
    /// Lists the candidates for a new request, best first, with their scores and whether each could
    /// start it now. Does not change the router.
    ///
    /// A service that is not in the text in force has no candidates.
    pub fn explain(
        &self,
        service: &ServiceName,
        adapter: Option<&AdapterRef>,
        class: Class,
        now: Instant,
    ) -> Explanation {
        let listed = self.service_by_name.get(service).copied();
        let index = listed.filter(|index| self.services[*index].is_listed);
        let adapter = adapter.cloned();
        let mut explanation = self.empty_explanation(service, &adapter, class);
        let Some(index) = index else {
            explanation.why = "the text in force has no such service".to_owned();
            return explanation;
        };
        let state = &self.services[index];
        explanation.waiting = state.queue(class).len();
        explanation.queue_limit = state.plan.queue_per_class;
        explanation.expected_wait_ms = state.expected_wait(class, now).as_millis() as u64;
        explanation.retries_left = state.budget.tokens();
        explanation.is_routine_owed = state.floor.is_owed();
        explanation.upstreams = state.own_domain.len() + state.other_domains.len();
        explanation.candidates = self.candidates(index, &adapter, class, now);
        explanation.why = conclusion(&explanation);
        explanation
    }

    fn empty_explanation(
        &self,
        service: &ServiceName,
        adapter: &Option<AdapterRef>,
        class: Class,
    ) -> Explanation {
        Explanation {
            service: service.clone(),
            adapter: adapter.clone(),
            class,
            generation: self.plan.generation,
            load_stalls_weight: self.plan.weights.load_stalls,
            batch_efficiency_weight: self.plan.weights.batch_efficiency,
            waiting: 0,
            queue_limit: 0,
            expected_wait_ms: 0,
            retries_left: 0.0,
            is_routine_owed: false,
            upstreams: 0,
            candidates: Vec::new(),
            why: String::new(),
        }
    }

    fn candidates(
        &self,
        service: usize,
        adapter: &Option<AdapterRef>,
        class: Class,
        now: Instant,
    ) -> Vec<CandidateExplanation> {
        let state = &self.services[service];
        let members = state.own_domain.iter().chain(&state.other_domains);
        let mut candidates: Vec<_> = members
            .map(|upstream| self.candidate(*upstream as usize, adapter, class, now))
            .collect();
        let can_start = |candidate: &CandidateExplanation| candidate.standing == Standing::CanStart;
        candidates.sort_by(|a, b| {
            let by_start = can_start(b).cmp(&can_start(a));
            by_start.then(a.score.total_s().total_cmp(&b.score.total_s()))
        });
        candidates.truncate(MAX_CANDIDATES);
        candidates
    }

    fn candidate(
        &self,
        upstream: usize,
        adapter: &Option<AdapterRef>,
        class: Class,
        now: Instant,
    ) -> CandidateExplanation {
        let state = &self.upstreams[upstream];
        CandidateExplanation {
            upstream: state.id.clone(),
            is_own_domain: state.is_own_domain,
            standing: self.standing(upstream, adapter, class, now),
            own_in_flight: state.own_in_flight(),
            load: self.load(upstream, now),
            places: state.places_now(now, &self.settings),
            score: self.score(upstream, adapter, class, None, now),
        }
    }

    fn standing(
        &self,
        upstream: usize,
        adapter: &Option<AdapterRef>,
        class: Class,
        now: Instant,
    ) -> Standing {
        let state = &self.upstreams[upstream];
        let held = adapter.as_ref().map(|adapter| state.holds(adapter));
        if state.is_leaving {
            Standing::Leaving
        } else if !state.is_available() {
            Standing::Unreachable
        } else if !state.is_usable(now) {
            Standing::Paused
        } else if held == Some(None) {
            Standing::AdapterAbsent
        } else if held == Some(Some(false)) {
            Standing::AdapterLoading
        } else if !state.is_own_domain && !self.may_spill(state.service, adapter, class, now) {
            Standing::OwnDomainServes
        } else if !self.has_place(upstream, class, false, now) {
            Standing::NoPlace
        } else {
            Standing::CanStart
        }
    }
}

fn conclusion(explanation: &Explanation) -> String {
    let can_start = |c: &&CandidateExplanation| c.standing == Standing::CanStart;
    let mut able = explanation.candidates.iter().filter(can_start);
    match able.next() {
        Some(best) if best.is_own_domain => {
            format!("goes to the best of a few like {}", best.upstream)
        }
        Some(best) => format!(
            "leaves this failure domain, to the best of a few like {}",
            best.upstream
        ),
        None if explanation.candidates.is_empty() => "the service has no upstream".to_owned(),
        None => "waits: no upstream can start it now".to_owned(),
    }
}
