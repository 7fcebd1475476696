//! A simulation of nodes, engines and a key-value service in one process, on a clock that the test
//! advances.
//!
//! Messages take up to 200 ms, and reports are up to 400 ms old. The tests inject faults.

mod engine;
mod node;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use engine::{ArrivingOrder, SimulatedEngine};
pub use node::{NodeInput, SimulatedNode};
use nutmegsail_base::{AdapterRef, Class, NodeId, UpstreamId};
use nutmegsail_placement::{
    EnginePlan, PinCacheAction, PlacementAction, PlacementEvent, PlacementPlan, next_fence,
};
use nutmegsail_upstream::{OrderError, OrderOp};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

const LEASE_TTL: Duration = Duration::from_secs(5);
const LEASE_MARGIN: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(100);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn adapter(n: u32) -> AdapterRef {
    AdapterRef::new(format!("adapter-{n}"), 1)
}

/// Something that takes effect at a later time.
#[derive(Clone, Debug)]
enum Arrival {
    Node(usize, NodeInput),
    Order {
        node: usize,
        engine: usize,
        id: nutmegsail_placement::OrderId,
        order: ArrivingOrder,
    },
    LoadDone(usize, u64, AdapterRef),
    Request(usize, usize, AdapterRef, Duration),
    RequestEnds(usize, usize, u64, AdapterRef),
    CarryOut(usize, Vec<PlacementAction>),
}

#[derive(Debug)]
struct Scheduled(Instant, u64, Arrival);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Faults of the network, the key-value service and the weight store. A count or a delay is used up
/// by the next matching events.
#[derive(Debug, Default)]
pub struct Faults {
    pub lose_order_answers: u32,
    pub delay_order: Option<Duration>,
    pub fail_loads: u32,
    pub refuse_loads: u32,
    /// One in so many messages between nodes is lost; 0 means none.
    pub lose_one_in: u64,
    pub kv_unavailable_until: Option<Instant>,
}

#[derive(Debug)]
pub struct Simulation {
    pub now: Instant,
    pub engines: Vec<SimulatedEngine>,
    pub nodes: Vec<SimulatedNode>,
    pub faults: Faults,
    pub load_time: Duration,
    pub ran: u32,
    pub takeovers: u32,
    pub log: Vec<(Duration, usize, PlacementAction)>,
    start: Instant,
    rng: ChaCha8Rng,
    arrivals: BinaryHeap<Reverse<Scheduled>>,
    arrival_count: u64,
    owners: BTreeMap<usize, (usize, u64)>,
    leases: Vec<Instant>,
}

pub fn engine_name(n: usize) -> UpstreamId {
    UpstreamId::from(format!("engine-{n}:8000"))
}

pub fn node_name(n: usize) -> NodeId {
    NodeId::from(format!("node-{n}"))
}

/// A plan of one failure domain that has the weight store's whole rate of 3 loads/s.
pub fn plan(engines: usize, slots: u32, adapters: u32, checks_fencing: bool) -> PlacementPlan {
    PlacementPlan {
        engines: (0..engines)
            .map(|n| EnginePlan {
                upstream: engine_name(n),
                service: "spa-scribe".into(),
                failure_domain: "negril-hall".into(),
                adapter_slots: slots,
                checks_fencing,
            })
            .collect(),
        adapters: (0..adapters)
            .map(|n| (adapter(n), "spa-scribe".into()))
            .collect(),
        ..PlacementPlan::default()
    }
}

impl Simulation {
    pub fn new(nodes: usize, plan: PlacementPlan, seed: u64) -> Self {
        let now = Instant::now();
        let engines = plan.engines.iter();
        let engines = engines.map(|e| SimulatedEngine::new(e.checks_fencing, e.adapter_slots));
        let mut simulation = Self {
            now,
            engines: engines.collect(),
            nodes: (0..nodes)
                .map(|n| SimulatedNode::new(node_name(n)))
                .collect(),
            faults: Faults::default(),
            load_time: ms(300),
            ran: 0,
            takeovers: 0,
            log: Vec::new(),
            start: now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            arrivals: BinaryHeap::new(),
            arrival_count: 0,
            owners: BTreeMap::new(),
            leases: vec![now; nodes],
        };
        simulation.give_plan(plan);
        simulation.publish_live_nodes();
        simulation
    }

    pub fn give_plan(&mut self, plan: PlacementPlan) {
        let plan = Arc::new(plan);
        for node in 0..self.nodes.len() {
            let event = PlacementEvent::Plan(Arc::clone(&plan));
            self.deliver(node, NodeInput::Event(event));
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// A request that runs for `run_time` arrives at `node`.
    pub fn request(&mut self, node: usize, adapter: &AdapterRef, class: Class, run_time: Duration) {
        let now = self.now;
        self.nodes[node].add_request(adapter, class, run_time, now);
    }

    pub fn pause(&mut self, node: usize, pause: Duration) {
        let until = self.now + pause;
        let node = &mut self.nodes[node];
        node.paused_until = node.paused_until.max(Some(until));
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        while self
            .arrivals
            .peek()
            .is_some_and(|next| next.0.0 <= self.now)
        {
            if let Some(Reverse(next)) = self.arrivals.pop() {
                self.arrive(next.2);
            }
        }
        let tenths = self.elapsed().as_millis() / STEP.as_millis();
        if tenths.is_multiple_of(10) {
            self.publish_live_nodes();
            (0..self.nodes.len()).for_each(|node| self.renew_lease(node));
        }
        if tenths.is_multiple_of(2) {
            self.poll_reports();
        }
        for node in 0..self.nodes.len() {
            if !self.nodes[node].is_paused(self.now) {
                self.deliver(node, NodeInput::Event(PlacementEvent::Tick));
                self.serve(node);
            }
        }
    }

    fn random_below(&mut self, limit: u64) -> u64 {
        self.rng.next_u64() % limit.max(1)
    }

    fn schedule(&mut self, delay: Duration, arrival: Arrival) {
        self.arrival_count += 1;
        let scheduled = Scheduled(self.now + delay, self.arrival_count, arrival);
        self.arrivals.push(Reverse(scheduled));
    }

    fn send(&mut self, node: usize, input: NodeInput) {
        let one_in = self.faults.lose_one_in;
        if one_in > 0 && self.random_below(one_in) == 0 {
            return;
        }
        let delay = ms(self.random_below(200));
        self.schedule(delay, Arrival::Node(node, input));
    }

    fn arrive(&mut self, arrival: Arrival) {
        match arrival {
            Arrival::Node(node, input) => self.deliver(node, input),
            Arrival::Order {
                node,
                engine,
                id,
                order,
            } => self.order_arrives(node, engine, id, &order),
            Arrival::LoadDone(engine, incarnation, adapter) => {
                if self.engines[engine].incarnation == incarnation {
                    let failed = take_one(&mut self.faults.fail_loads);
                    self.engines[engine].load_done(&adapter, failed);
                }
            }
            Arrival::Request(node, engine, adapter, run_time) => {
                self.request_arrives(node, engine, adapter, run_time);
            }
            Arrival::RequestEnds(node, engine, incarnation, adapter) => {
                if self.engines[engine].incarnation == incarnation {
                    self.engines[engine].end(&adapter);
                }
                self.deliver(node, NodeInput::RequestOver(engine_name(engine), adapter));
            }
            Arrival::CarryOut(node, actions) => self.carry_out(node, actions),
        }
    }

    /// Passes an input to the node, or keeps it until the pause of the node is over.
    pub fn deliver(&mut self, node: usize, input: NodeInput) {
        if let Some(until) = self.nodes[node].paused_until.filter(|at| self.now < *at) {
            self.schedule(until - self.now, Arrival::Node(node, input));
            return;
        }
        let actions = self.nodes[node].handle(input, self.now);
        let has_order = |a: &PlacementAction| matches!(a, PlacementAction::Order { .. });
        if let Some(pause) = self.nodes[node]
            .pause_at_order
            .take_if(|_| actions.iter().any(has_order))
        {
            self.pause(node, pause);
            self.schedule(pause, Arrival::CarryOut(node, actions));
            return;
        }
        self.carry_out(node, actions);
    }

    fn carry_out(&mut self, node: usize, actions: Vec<PlacementAction>) {
        for action in actions {
            self.log.push((self.elapsed(), node, action.clone()));
            self.carry_out_action(node, action);
        }
    }

    fn carry_out_action(&mut self, node: usize, action: PlacementAction) {
        match action {
            PlacementAction::Claim {
                engine,
                seen_fence,
                may_replace_live_holder,
            } => self.claim(node, &engine, seen_fence, may_replace_live_holder),
            PlacementAction::Release { engine } => {
                let engine = index_of(&engine);
                let is_own = |owner: &(usize, u64)| owner.0 == node;
                if self.owners.get(&engine).is_some_and(is_own) {
                    self.owners
                        .insert(engine, (usize::MAX, self.owners[&engine].1));
                }
            }
            PlacementAction::Order {
                engine,
                order,
                op,
                adapter,
                fence,
                expected_seq,
                incarnation,
                made_at,
                valid_for,
            } => {
                let arriving = ArrivingOrder {
                    op,
                    adapter,
                    fence,
                    expected_seq,
                    incarnation,
                    valid_until: made_at + valid_for,
                };
                self.send_order(node, index_of(&engine), order, arriving);
            }
            PlacementAction::GrantPin {
                to,
                ask_id,
                engine,
                adapter,
                lease,
            } => self.send(
                node_index(&to),
                NodeInput::Granted(engine, adapter, ask_id, lease),
            ),
            PlacementAction::RefusePin {
                to,
                ask_id,
                engine,
                adapter,
                retry_after,
            } => {
                let input = NodeInput::Refused(engine, adapter, ask_id, retry_after);
                self.send(node_index(&to), input);
            }
            PlacementAction::RecallPin {
                to,
                engine,
                adapter,
            } => self.send(node_index(&to), NodeInput::Recalled(engine, adapter)),
            PlacementAction::AdapterState {
                engine,
                adapter,
                state,
            } => {
                for to in 0..self.nodes.len() {
                    let input = NodeInput::Presence(engine.clone(), adapter.clone(), state);
                    self.send(to, input);
                }
            }
            PlacementAction::Send { to, message } => {
                let from = node_name(node);
                let event = PlacementEvent::Received { from, message };
                self.send(node_index(&to), NodeInput::Event(event));
            }
            PlacementAction::SendToDomain { .. } | PlacementAction::Report(_) => {}
        }
    }

    fn send_order(
        &mut self,
        node: usize,
        engine: usize,
        id: nutmegsail_placement::OrderId,
        order: ArrivingOrder,
    ) {
        let delay = self.faults.delay_order.take();
        let delay = delay.unwrap_or(ms(self.random_below(50)));
        let arrival = Arrival::Order {
            node,
            engine,
            id,
            order,
        };
        self.schedule(delay, arrival);
    }

    fn order_arrives(
        &mut self,
        node: usize,
        engine: usize,
        id: nutmegsail_placement::OrderId,
        order: &ArrivingOrder,
    ) {
        let is_refused = order.op == OrderOp::Load && take_one(&mut self.faults.refuse_loads);
        let result = if is_refused {
            Err(OrderError::StoreRefused)
        } else {
            self.engines[engine].order(order, self.now)
        };
        if result.is_ok() && order.op == OrderOp::Load {
            let incarnation = self.engines[engine].incarnation;
            let done = Arrival::LoadDone(engine, incarnation, order.adapter.clone());
            self.schedule(self.load_time, done);
        }
        let result = if take_one(&mut self.faults.lose_order_answers) {
            Err(OrderError::Ambiguous)
        } else {
            result
        };
        let event = PlacementEvent::OrderAnswered {
            engine: engine_name(engine),
            order: id,
            result,
        };
        self.deliver(node, NodeInput::Event(event));
    }

    fn request_arrives(
        &mut self,
        node: usize,
        engine: usize,
        adapter: AdapterRef,
        run_time: Duration,
    ) {
        if self.engines[engine].start(&adapter) {
            self.ran += 1;
            let incarnation = self.engines[engine].incarnation;
            let ends = Arrival::RequestEnds(node, engine, incarnation, adapter);
            self.schedule(run_time, ends);
        } else {
            self.deliver(
                node,
                NodeInput::RequestRefused(engine_name(engine), adapter),
            );
        }
    }

    fn serve(&mut self, node: usize) {
        let now = self.now;
        let served = self.nodes[node].serve(now);
        for (engine, adapter, run_time) in served.sent {
            let delay = ms(self.random_below(100));
            self.schedule(
                delay,
                Arrival::Request(node, index_of(&engine), adapter, run_time),
            );
        }
        for action in served.pins {
            self.carry_out_pin_action(node, action);
        }
        for event in served.events {
            self.deliver(node, NodeInput::Event(event));
        }
    }

    fn carry_out_pin_action(&mut self, node: usize, action: PinCacheAction) {
        let from = node_name(node);
        let (engine, event) = match action {
            PinCacheAction::Ask {
                ask_id,
                engine,
                adapter,
            } => {
                let event = PlacementEvent::PinAsked {
                    from,
                    ask_id,
                    engine: engine.clone(),
                    adapter,
                    class: Class::Routine,
                };
                (engine, event)
            }
            PinCacheAction::Return {
                ask_id,
                engine,
                adapter,
            } => {
                let event = PlacementEvent::PinReturned {
                    from,
                    ask_id,
                    engine: engine.clone(),
                    adapter,
                };
                (engine, event)
            }
        };
        let owner = self.nodes[node].placement.owner_of(&engine, self.now);
        if let Some(owner) = owner.cloned() {
            self.send(node_index(&owner), NodeInput::Event(event));
        }
    }

    fn poll_reports(&mut self) {
        for engine in 0..self.engines.len() {
            self.engines[engine].snapshot(self.now);
            for node in 0..self.nodes.len() {
                let lag = ms(self.random_below(400));
                let report = self.engines[engine].lagging_report(lag, self.now);
                let event = PlacementEvent::Report {
                    engine: engine_name(engine),
                    report,
                    taken_at: self.now,
                };
                self.send(node, NodeInput::Event(event));
            }
        }
    }

    /// Tells each node which nodes are live: those that aren't paused, and itself.
    fn publish_live_nodes(&mut self) {
        let is_seen = |node: &SimulatedNode| node.is_seen_live(self.now);
        let nodes: Vec<NodeId> = self
            .nodes
            .iter()
            .filter(|n| is_seen(n))
            .map(|n| n.id.clone())
            .collect();
        for node in 0..self.nodes.len() {
            let mut nodes = nodes.clone();
            if !nodes.contains(&self.nodes[node].id) {
                nodes.push(self.nodes[node].id.clone());
            }
            self.deliver(node, NodeInput::Event(PlacementEvent::LiveNodes { nodes }));
        }
    }

    fn is_kv_unavailable(&self) -> bool {
        self.faults
            .kv_unavailable_until
            .is_some_and(|until| self.now < until)
    }

    fn renew_lease(&mut self, node: usize) {
        if self.is_kv_unavailable() || self.nodes[node].is_paused(self.now) {
            return;
        }
        self.leases[node] = self.now + LEASE_TTL;
        let owned: Vec<(UpstreamId, u64)> = self.nodes[node]
            .placement
            .owned_engines()
            .map(|(engine, fence)| (engine.clone(), fence))
            .collect();
        for (engine, fence) in owned {
            let owner = self.owners.get(&index_of(&engine)).copied();
            let event = if owner == Some((node, fence)) {
                self.granted(engine, fence)
            } else if owner.is_some_and(|(_, recorded)| recorded > fence) {
                PlacementEvent::OwnershipLost { engine }
            } else {
                continue;
            };
            self.send(node, NodeInput::Event(event));
        }
    }

    fn granted(&self, engine: UpstreamId, fence: u64) -> PlacementEvent {
        PlacementEvent::OwnershipGranted {
            engine,
            fence,
            valid_until: self.now + LEASE_TTL - LEASE_MARGIN,
        }
    }

    fn claim(&mut self, node: usize, engine: &UpstreamId, seen_fence: u64, may_replace: bool) {
        if self.is_kv_unavailable() {
            let event = PlacementEvent::ClaimUnanswered {
                engine: engine.clone(),
            };
            self.send(node, NodeInput::Event(event));
            return;
        }
        let index = index_of(engine);
        let (holder, fence) = self.owners.get(&index).copied().unwrap_or((usize::MAX, 0));
        let is_live = holder != node
            && self
                .leases
                .get(holder)
                .is_some_and(|until| self.now < *until);
        let event = if is_live && !may_replace {
            PlacementEvent::OwnershipLost {
                engine: engine.clone(),
            }
        } else {
            self.leases[node] = self.now + LEASE_TTL;
            let fence = next_fence(fence.max(seen_fence), &node_name(node));
            self.owners.insert(index, (node, fence));
            self.takeovers += u32::from(holder != usize::MAX);
            self.granted(engine.clone(), fence)
        };
        self.send(node, NodeInput::Event(event));
    }

    pub fn restart_engine(&mut self, engine: usize) {
        self.engines[engine].restart();
    }
}

fn take_one(count: &mut u32) -> bool {
    let is_left = *count > 0;
    *count = count.saturating_sub(1);
    is_left
}

fn index_of(engine: &UpstreamId) -> usize {
    let number = engine
        .trim_start_matches("engine-")
        .trim_end_matches(":8000");
    number.parse().expect("an engine of the model")
}

fn node_index(node: &NodeId) -> usize {
    let number = node.trim_start_matches("node-");
    number.parse().expect("a node of the model")
}
