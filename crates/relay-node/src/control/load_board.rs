//! The loads of all engines, gathered by one node of each failure domain for the others.
//!
//! In a large fleet a node uses few engines at a time and hears from their owners only. Of all others
//! it would know nothing, take them for idle and queue behind what others sent there. If every owner
//! told every node, messages would grow with the square of the nodes. So owners tell the node that also reads the
//! store for their failure domain, and that one tells the others, and the other domains less often.

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

/// How long a load is passed on: an owner that fell silent tells ten times in it.
const LOAD_LIFE: Duration = Duration::from_millis(1_000);

/// Stands for an engine's id, as messages are to be short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
struct EngineDigest(u32);

impl EngineDigest {
    fn of(engine: &UpstreamId) -> Self {
        Self(xxh3_64(engine.as_str().as_bytes()) as u32)
    }
}

/// Loads of some engines.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadPage {
    loads: Vec<(EngineDigest, EngineLoad)>,
    /// When the sender heard each failure domain, told to its own.
    domains: Vec<DomainAge>,
    /// How long loads take, in milliseconds, if the sender has learned it.
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

/// A load with the time at which it came.
#[derive(Clone, Debug)]
struct Gathered {
    load: EngineLoad,
    came: Instant,
    /// Whether it was told by an owner of this failure domain, or by this node.
    is_near: bool,
    /// Whether it came since the last turn.
    is_new: bool,
}

/// What was gathered.
#[derive(Debug, Default)]
pub(crate) struct LoadBoard {
    loads: HashMap<EngineDigest, Gathered>,
    resting: RestFilter<EngineDigest>,
    far: FarNews<EngineDigest>,
}

impl LoadBoard {
    /// What is to be sent now, and where to, with the loads of this node's own engines.
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
        // Only a node that gathers keeps what it was told.
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

    /// The loads of `engines` that `is_in` names.
    fn page(&self, engines: &[EngineDigest], is_in: impl Fn(&Gathered) -> bool) -> LoadPage {
        let loads = engines.iter().filter_map(|engine| {
            let gathered = self.loads.get(engine)?;
            is_in(gathered).then(|| (*engine, gathered.load.clone()))
        });
        LoadPage::of(loads.collect())
    }

    /// Takes in loads that an owner or a gatherer told.
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

/// Tells the traffic thread of a load, unless the engine's owner itself tells this node.
fn take_load(knowledge: &Knowledge, engine: &UpstreamId, load: EngineLoad) {
    if knowledge.owned(engine).is_some() || knowledge.is_told_by_owner(engine) {
        return;
    }
    knowledge.note_transfers(engine, load.transfers);
    if let Some(host) = load.host.clone() {
        knowledge.note_hosted(engine, host);
    }
    // Holdings are not passed on, but the number of their last change is.
    let is_known = load.change > 0 && load.change == knowledge.known_change(engine);
    let holdings = match is_known {
        true => HoldingsTold::Unchanged,
        false => HoldingsTold::Untold,
    };
    // The page has what this node has there as well.
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
