//! How a node knows at which software version a stream began.

use crate::report::Read;
use crate::stream_sim::{
    AdapterRun, Cost, FAULTS, Fault, Fleet, Outcomes, ReleaseRun, WAYS, Way, simulate_adapters,
    simulate_cost, simulate_fault, simulate_release,
};
use crate::{Report, Row, Study};

pub(crate) const STUDY: Study = Study {
    name: "stream-versions",
    about: "Streams that callers take up at other nodes during a release, over 6, 72 and 360 nodes: which nodes \
            are notified, which write it to the store and when, rules; nodes killed or restarted, a failure domain cut \
            off, store away.",
    run: study,
};

/// Nodes, failure domains, and resumable streams a second over all nodes. The last rate of each size
/// is that of the faults.
const FLEETS: [(usize, usize, &[f64]); 3] = [
    (6, 3, &[6.0, 26.0, 150.0]),
    (72, 3, &[49.0, 150.0]),
    (360, 6, &[1_800.0]),
];

/// Streams in one run.
const STREAMS: usize = 400;

const FAULT_READS: [Read<Outcomes>; 8] = [
    ("went_on_share", |run| share(run.went_on, run.taken_up)),
    ("joined_share", |run| share(run.joined, run.taken_up)),
    ("refused_share", |run| {
        share(run.taken_up - run.went_on - run.joined, run.taken_up)
    }),
    ("in_touch_share", |run| share(run.in_touch, run.taken_up)),
    ("in_touch_went_on_share", |run| {
        share(run.in_touch_went_on, run.in_touch)
    }),
    ("unwritten_share", |run| share(run.unwritten, run.taken_up)),
    ("store_read_share", |run| share(run.read_for, run.taken_up)),
    ("asked_per_stream", |run| share(run.queried, run.taken_up)),
];

const COST_READS: [Read<Cost>; 8] = [
    ("writes_per_s", |run| run.writes_per_s),
    ("bytes_per_node_s", |run| run.bytes_per_node_s),
    ("bytes_at_busiest_s", |run| run.bytes_at_busiest_s),
    ("records_at_busiest", |run| run.records_at_busiest),
    ("stored_keys", |run| run.stored_keys),
    ("stored_kb", |run| run.stored_kb),
    ("reads_after_all_killed", |run| run.reads_after_all_killed),
    ("read_mb_after_all_killed", |run| {
        run.read_mb_after_all_killed
    }),
];

const RELEASE_READS: [Read<ReleaseRun>; 5] = [
    ("unused_chance", |run| run.unused_chance),
    ("unused_share_most", |run| run.unused_share_most),
    ("left_share_least", |run| run.left_share_least),
    ("without_room_by_share", |run| run.without_room_by_share),
    ("without_room_half", |run| run.without_room_half),
];

const ADAPTER_READS: [Read<AdapterRun>; 1] = [("loaded_share", |run| run.loaded_share)];

fn share(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn cost_rows(seeds: &[u64]) -> Vec<Row> {
    let mut rows = Vec::new();
    for (count, domains, rates) in FLEETS {
        for (rate, (name, way)) in rates.iter().flat_map(|rate| WAYS.map(|way| (*rate, way))) {
            if !matches!(way, Way::Known { .. }) {
                continue;
            }
            let run =
                |seed: &u64| simulate_cost(&Fleet::new(count, domains, rate, *seed), way, *seed);
            let runs: Vec<Cost> = seeds.iter().map(run).collect();
            let deployment = format!("{count} nodes, {rate} streams/s");
            rows.push(Row::over_runs(deployment, name, &runs, &COST_READS));
        }
    }
    rows
}

fn fault_rows(seeds: &[u64]) -> Vec<Row> {
    let mut rows = Vec::new();
    for (count, domains, rates) in FLEETS {
        let rate = rates[rates.len() - 1];
        for ((fault_name, fault), (name, way)) in pairs() {
            let run = |seed: &u64| {
                let fleet = Fleet::new(count, domains, rate, *seed);
                simulate_fault(&fleet, fault, way, STREAMS, *seed)
            };
            let runs: Vec<Outcomes> = seeds.iter().map(run).collect();
            let deployment = format!("{count} nodes, {fault_name}");
            rows.push(Row::over_runs(deployment, name, &runs, &FAULT_READS));
        }
    }
    rows
}

fn pairs() -> impl Iterator<Item = ((&'static str, Fault), (&'static str, Way))> {
    let ways = |fault| {
        let ways = WAYS.into_iter().filter(|(_, way)| !way.is_cost_only());
        ways.map(move |way| (fault, way))
    };
    FAULTS.into_iter().flat_map(ways)
}

fn release_rows(seeds: &[u64]) -> Vec<Row> {
    let runs: Vec<ReleaseRun> = seeds.iter().map(|seed| simulate_release(*seed)).collect();
    let deployment = "12 engines, store away in a release".to_owned();
    let mut rows = vec![Row::over_runs(
        deployment,
        "versions are listed in the store",
        &runs,
        &RELEASE_READS,
    )];
    let runs: Vec<Vec<AdapterRun>> = seeds.iter().map(|seed| simulate_adapters(*seed)).collect();
    for step in 0..runs.first().map_or(0, Vec::len) {
        let runs: Vec<AdapterRun> = runs
            .iter()
            .filter_map(|runs| runs.get(step))
            .copied()
            .collect();
        let left = runs.first().map_or(0, |run| run.engines_left);
        let deployment = format!("{left} of 12 engines left");
        rows.push(Row::over_runs(
            deployment,
            "adapters where they were",
            &runs,
            &ADAPTER_READS,
        ));
    }
    rows
}

fn study(seeds: &[u64]) -> Report {
    let mut rows = cost_rows(seeds);
    rows.extend(fault_rows(seeds));
    rows.extend(release_rows(seeds));
    Report {
        study: STUDY.name,
        seeds: seeds.to_vec(),
        rows,
        notes: vec![
            "went_on_share: streams that were taken up and go on at the version that began them; joined_share: at the \
             other; the rest is refused. unwritten_share: streams that broke off before the store had them. Bytes: in \
             and out, between nodes and to the store."
                .to_owned(),
        ],
    }
}
