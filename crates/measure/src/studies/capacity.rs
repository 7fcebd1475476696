//! What the control side takes at several sizes of the fleet.

use crate::capacity::{
    ClaimLoad, DOMAINS, WriterView, demand_bytes, measure_claims, measure_heartbeats, measure_text,
    number, pin_bytes, report_bytes, router_bytes, store_calls_per_s,
};
use crate::{Measure, Report, Row, Study};

pub(crate) const STUDY: Study = Study {
    name: "capacity",
    about: "Bytes, messages, store calls and state of the control side at several fleet sizes.",
    run,
};

/// Nodes; the last is the two-year size.
const NODES: [usize; 3] = [6, 36, 360];
/// Engines and adapters; the last are the two-year size.
const UPSTREAMS: [(usize, usize); 3] = [(75, 1_100), (250, 3_667), (750, 11_000)];
/// Once-only calls a second; the last is a fifth of the two-year peak.
const CALLS_PER_S: [f64; 3] = [36.0, 120.0, 360.0];
const SLOTS: [u32; 3] = [4, 8, 16];

fn run(seeds: &[u64]) -> Report {
    let heartbeats = NODES.map(|nodes| heartbeats(nodes, seeds));
    let own_domain = NODES.map(|nodes| claims(nodes, CALLS_PER_S[2], WriterView::OwnDomain, seeds));
    let fleet = NODES.map(|nodes| claims(nodes, CALLS_PER_S[2], WriterView::Fleet, seeds));
    let by_calls = CALLS_PER_S.map(|calls| claims(NODES[1], calls, WriterView::Fleet, seeds));
    let store = NODES.map(store);
    let texts = UPSTREAMS.map(|(engines, adapters)| text(engines, adapters));
    let routers = UPSTREAMS.map(|(engines, adapters)| router(engines, adapters));
    let reports = SLOTS.map(report);
    let notes = vec![
        slope(
            &heartbeats,
            "bytes_per_s_a_node",
            NODES[1],
            NODES[2],
            "node",
        ),
        slope(
            &by_calls,
            "store_writes_per_s",
            CALLS_PER_S[1] as usize,
            CALLS_PER_S[2] as usize,
            "call/s",
        ),
        slope(
            &own_domain,
            "store_writes_per_s",
            NODES[1],
            NODES[2],
            "node",
        ),
        slope(&fleet, "store_writes_per_s", NODES[1], NODES[2], "node"),
        slope(&store, "lease_writes_per_s", NODES[1], NODES[2], "node"),
        slope(
            &routers,
            "state_bytes",
            UPSTREAMS[1].0,
            UPSTREAMS[2].0,
            "engine",
        ),
        slope(
            &texts,
            "text_bytes",
            UPSTREAMS[1].1,
            UPSTREAMS[2].1,
            "adapter",
        ),
        slope(&reports, "body_bytes", 8, 16, "slot"),
    ];
    let demand = [1, 10, 100].map(demand);
    let pins = single(
        "pins",
        "ask, answer and return",
        "bytes",
        pin_bytes() as f64,
    );
    let rows = heartbeats.into_iter().chain(own_domain).chain(fleet);
    // The last one stands among the rows by nodes.
    let rows = rows
        .chain(by_calls.into_iter().take(2))
        .chain(store)
        .chain(texts);
    let rows = rows
        .chain(routers)
        .chain(reports)
        .chain(demand)
        .chain([pins])
        .collect();
    Report {
        study: STUDY.name,
        seeds: seeds.to_vec(),
        rows,
        notes,
    }
}

/// One run for each seed, side by side.
fn each_seed<T: Send>(seeds: &[u64], run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let run = &run;
    std::thread::scope(|scope| {
        let threads: Vec<_> = seeds
            .iter()
            .map(|seed| scope.spawn(move || run(*seed)))
            .collect();
        let results = threads.into_iter();
        results
            .map(|thread| thread.join().expect("a run panicked"))
            .collect()
    })
}

fn measure<T>(name: &'static str, costs: &[T], read: fn(&T) -> f64) -> Measure {
    Measure::over_seeds(name, costs.iter().map(read).collect())
}

fn single(duty: &str, size: &str, name: &'static str, value: f64) -> Row {
    Row {
        deployment: duty.to_owned(),
        policy: size.to_owned(),
        measures: vec![Measure::over_seeds(name, vec![value])],
    }
}

fn heartbeats(nodes: usize, seeds: &[u64]) -> Row {
    let costs = each_seed(seeds, |seed| measure_heartbeats(nodes / DOMAINS, seed));
    Row {
        deployment: "heartbeats and accounts".to_owned(),
        policy: format!("{nodes} nodes"),
        measures: vec![
            measure("bytes_per_s_a_node", &costs, |cost| cost.bytes_per_s_mean),
            measure("bytes_per_s_highest", &costs, |cost| {
                cost.bytes_per_s_highest
            }),
            measure("messages_per_s_a_node", &costs, |cost| {
                cost.messages_per_s_mean
            }),
            measure("vm_list_reads_per_s", &costs, |cost| {
                cost.vm_list_reads_per_s
            }),
        ],
    }
}

fn claims(nodes: usize, calls_per_s: f64, view: WriterView, seeds: &[u64]) -> Row {
    let load = ClaimLoad {
        nodes,
        calls_per_s,
        view,
    };
    let costs = each_seed(seeds, |seed| measure_claims(load, seed));
    let view = match view {
        WriterView::Fleet => "claims, writers by the VM list",
        WriterView::OwnDomain => "claims, writers in each domain alone",
    };
    Row {
        deployment: view.to_owned(),
        policy: format!("{nodes} nodes, {calls_per_s} calls/s"),
        measures: vec![
            measure("store_writes_per_s", &costs, |cost| cost.store_writes_per_s),
            measure("store_reads_per_s", &costs, |cost| cost.store_reads_per_s),
            measure("store_written_bytes_per_s", &costs, |cost| {
                cost.store_written_bytes_per_s
            }),
            measure("bytes_per_s_a_node", &costs, |cost| cost.bytes_per_s_a_node),
            measure("bytes_per_s_highest", &costs, |cost| {
                cost.bytes_per_s_highest
            }),
            measure("claim_wait_p95_ms", &costs, |cost| cost.claim_wait_p95_ms),
            measure("refused_share", &costs, |cost| cost.refused_share),
        ],
    }
}

fn store(nodes: usize) -> Row {
    let calls = [store_calls_per_s(nodes)];
    Row {
        deployment: "store calls without changes".to_owned(),
        policy: format!("{nodes} nodes"),
        measures: vec![
            measure("text_reads_per_s", &calls, |calls| calls.text_reads_per_s),
            measure("lease_writes_per_s", &calls, |calls| {
                calls.lease_writes_per_s
            }),
            measure("vm_list_reads_per_s", &calls, |calls| {
                calls.vm_list_reads_per_s
            }),
        ],
    }
}

fn text(engines: usize, adapters: usize) -> Row {
    let costs = [measure_text(engines, adapters)];
    Row {
        deployment: "text, a line for each adapter".to_owned(),
        policy: format!("{engines} engines, {adapters} adapters"),
        measures: vec![
            measure("text_bytes", &costs, |cost| cost.text_bytes as f64),
            measure("head_bytes", &costs, |cost| cost.head_bytes as f64),
            measure("changed_piece_bytes", &costs, |cost| {
                cost.changed_piece_bytes as f64
            }),
        ],
    }
}

fn router(engines: usize, adapters: usize) -> Row {
    let size = format!("{engines} engines of 16 slots, {adapters} adapters");
    let bytes = router_bytes(engines, adapters) as f64;
    single("routing state", &size, "state_bytes", bytes)
}

fn report(slots: u32) -> Row {
    let bytes = f64::from(u32::try_from(report_bytes(slots)).unwrap_or(u32::MAX));
    single(
        "engine's report",
        &format!("{slots} adapters"),
        "body_bytes",
        bytes,
    )
}

fn demand(adapters: usize) -> Row {
    let bytes = demand_bytes(adapters) as f64;
    single("demand", &format!("{adapters} adapters"), "bytes", bytes)
}

/// How much `name` rises a unit from the second row's size to the third's. The spread is from the
/// least to the greatest rise that the rows' own spreads allow.
fn slope(rows: &[Row; 3], name: &str, from: usize, to: usize, unit: &str) -> String {
    let find = |row: &Row| {
        let found = row.measures.iter().find(|measure| measure.name == name);
        found.cloned().expect("the row has the measure")
    };
    let (low, high) = (find(&rows[1]), find(&rows[2]));
    let units = (to - from) as f64;
    let (median, least, greatest) = (
        (high.median - low.median) / units,
        (high.min - low.max) / units,
        (high.max - low.min) / units,
    );
    format!(
        "slope: {}, `{name}` per {unit}: {} ({}..{})",
        rows[2].deployment,
        number(median),
        number(least),
        number(greatest)
    )
}
