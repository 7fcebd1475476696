//! Aggregation of the loads of all engines by one node per failure domain.
//!
//! In a large fleet a node uses few engines at a time and hears only from their owners. Without
//! reports of the other engines it would take them for idle, and its requests would queue behind
//! those of other nodes. If every owner sent its reports to every node, traffic would grow with the
//! square of the number of nodes. Owners therefore send them to the node that also reads the store
//! for their failure domain. It passes them on to the other nodes of its domain, and less often to
//! the other domains.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{
    DomainAge, FarNews, HoldingsTold, NodeRecord, RestFilter, readers_by_domain,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::engine_load::EngineLoad;
use super::knowledge::Knowledge;
use crate::shared::EngineNews;

/// How long a load is passed on after it was reported; an owner sends ten reports in this time.
const LOAD_LIFE: Duration = Duration::from_millis(1_000);

/// A short hash that replaces an engine's id in messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
struct EngineDigest(u32);

impl EngineDigest {
    fn of(engine: &UpstreamId) -> Self {
        Self(xxh3_64(engine.as_str().as_bytes()) as u32)
    }
}

/// The loads of some engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadPage {
    loads: Vec<(EngineDigest, EngineLoad)>,
    /// The sender's last contacts with each failure domain; sent only within its own domain.
    domains: Vec<DomainAge>,
    /// The sender's estimate of the load time in milliseconds, if it has learned one.
    pub(super) load_ms: Option<f32>,
}

impl LoadPage {
    fn of(loads: Vec<(EngineDigest, EngineLoad)>) -> Self {
        Self {
            loads,
            domains: Vec::new(),
            load_ms: None,
        }
    }
}

/// A load and when it was received.
#[derive(Clone, Debug)]
struct Gathered {
    load: EngineLoad,
    came: Instant,
    /// Whether the load came from an owner of this failure domain, this node included.
    is_near: bool,
    /// Whether the load was received since the last interval.
    is_new: bool,
}

/// The loads that this node has received and passes on.
#[derive(Debug, Default)]
pub(crate) struct LoadBoard {
    loads: HashMap<EngineDigest, Gathered>,
    resting: RestFilter<EngineDigest>,
    far: FarNews<EngineDigest>,
}

impl LoadBoard {
    /// The messages to send now, with their addresses, including the loads of this node's `own`
    /// engines.
    pub(crate) fn turn(
        &mut self,
        knowledge: &Knowledge,
        own: Vec<(UpstreamId, EngineLoad)>,
    ) -> Vec<(LoadPage, SocketAddr)> {
        let own = own.into_iter();
        let own: Vec<_> = own
            .map(|(engine, load)| (EngineDigest::of(&engine), load))
            .collect();
        let Some((_, gatherer)) = knowledge.reader() else {
            return self.pass_on(knowledge, own);
        };
        // Only an aggregating node keeps the loads that it received.
        self.loads.clear();
        match own.is_empty() {
            true => Vec::new(),
            false => vec![(LoadPage::of(own), gatherer)],
        }
    }

    fn pass_on(
        &mut self,
        knowledge: &Knowledge,
        own: Vec<(EngineDigest, EngineLoad)>,
    ) -> Vec<(LoadPage, SocketAddr)> {
        let now = Instant::now();
        self.loads
            .retain(|_, gathered| now.duration_since(gathered.came) < LOAD_LIFE);
        for (engine, load) in own {
            self.put(engine, load, true);
        }
        let known = self.loads.iter();
        let known = known.map(|(engine, gathered)| (*engine, gathered.load.is_at_rest()));
        let news = self.resting.turn(known);
        let near = news.iter().filter_map(|engine| {
            let gathered = self.loads.get(engine)?;
            gathered
                .is_near
                .then_some((*engine, gathered.load.in_flight))
        });
        let near: Vec<_> = near.collect();
        let to_far = self.far.turn(near);
        let near = self.page(&to_far, |gathered| gathered.is_near);
        let mut all = self.page(&news, |gathered| gathered.is_near || gathered.is_new);
        for gathered in self.loads.values_mut() {
            gathered.is_new = false;
        }
        all.domains = knowledge.domains_heard.borrow().ages(now);
        let nodes = knowledge.nodes.borrow();
        let here = &knowledge.settings.failure_domain;
        let me = &knowledge.settings.node;
        let others = nodes.values().filter(|node| node.node != *me);
        let (beside, far): (Vec<&NodeRecord>, Vec<&NodeRecord>) =
            others.partition(|node| node.failure_domain == *here);
        let mut sends: Vec<(LoadPage, SocketAddr)> = beside
            .iter()
            .map(|node| (all.clone(), node.address))
            .collect();
        if !to_far.is_empty() {
            let gatherers = readers_by_domain(far)
                .into_values()
                .filter_map(|nodes| nodes.into_iter().next());
            sends.extend(gatherers.map(|node| (near.clone(), node.address)));
        }
        sends
    }

    fn put(&mut self, engine: EngineDigest, load: EngineLoad, is_near: bool) {
        let gathered = Gathered {
            load,
            came: Instant::now(),
            is_near,
            is_new: true,
        };
        self.loads.insert(engine, gathered);
    }

    /// The loads of those of `engines` for which `is_in` returns true.
    fn page(&self, engines: &[EngineDigest], is_in: impl Fn(&Gathered) -> bool) -> LoadPage {
        let loads = engines.iter().filter_map(|engine| {
            let gathered = self.loads.get(engine)?;
            is_in(gathered).then(|| (*engine, gathered.load.clone()))
        });
        LoadPage::of(loads.collect())
    }

    /// Applies loads that an owner or an aggregating node sent.
    pub(crate) fn take(&mut self, knowledge: &Knowledge, page: LoadPage) {
        knowledge.take_domains(&page.domains);
        if let Some(load_ms) = page.load_ms {
            knowledge.take_load_time(load_ms);
        }
        let upstreams = knowledge.upstreams.borrow();
        let known: HashMap<EngineDigest, &UpstreamId> = upstreams
            .keys()
            .map(|id| (EngineDigest::of(id), id))
            .collect();
        for (engine, load) in page.loads {
            let Some(id) = known.get(&engine) else {
                continue;
            };
            let here = &knowledge.settings.failure_domain;
            let is_near = upstreams
                .get(*id)
                .is_some_and(|upstream| upstream.failure_domain == *here);
            self.put(engine, load.clone(), is_near);
            take_load(knowledge, id, load);
        }
    }
}

/// Passes a load on to the traffic thread, unless the engine's owner reports to this node itself.
fn take_load(knowledge: &Knowledge, engine: &UpstreamId, load: EngineLoad) {
    if knowledge.owned(engine).is_some() || knowledge.is_told_by_owner(engine) {
        return;
    }
    knowledge.note_transfers(engine, load.transfers);
    if let Some(host) = load.host.clone() {
        knowledge.note_hosted(engine, host);
    }
    // Aggregated messages contain the holdings' version number, but not the holdings.
    let is_known = load.change > 0 && load.change == knowledge.known_change(engine);
    let holdings = match is_known {
        true => HoldingsTold::Unchanged,
        false => HoldingsTold::Untold,
    };
    // The aggregated load includes this node's own requests; subtract them.
    let mine = knowledge.shared.uses.peek(engine);
    let mut report = load.into_report();
    report.in_flight_of_others = report.in_flight_of_others.saturating_sub(mine.0);
    report.unread_tokens_of_others = report.unread_tokens_of_others.saturating_sub(mine.1);
    knowledge.shared.news.put(EngineNews {
        engine: engine.clone(),
        report,
        holdings,
    });
}
