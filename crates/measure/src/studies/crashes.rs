//! Requests that crash the upstreams that run them.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::crash_sim::{CrashRun, CrashScenario, CrashWay, Guilty, GuiltyPrompts, simulate};
use crate::report::Read;
use crate::{Report, Row, Study};

pub(crate) const STUDY: Study = Study {
    name: "crashes",
    about: "Requests that crash each upstream, a whole one that comes again or different ones that share a part of \
            their prompts, over 6, 72 and 360 nodes; and upstreams that crash for other reasons: what is remembered, \
            sent to whom and held against what.",
    run: study,
};

const FLEETS: [usize; 3] = [6, 72, 360];

const THREADS: usize = 4;

const WAYS: [(&str, CrashWay); 16] = [
    ("nutmegsail", CrashWay::Kept),
    ("nothing remembered", CrashWay::Forgetful),
    ("each node for itself", CrashWay::EachNode),
    ("whole requests only", CrashWay::WholeRequests),
    ("each end of a part to all", CrashWay::PartsToAll),
    ("each end to all", CrashWay::TellAll),
    ("sent with the next exchange", CrashWay::NextExchange),
    ("refused after two", CrashWay::LimitTwo),
    ("whenever copies were sent", CrashWay::OneRound),
    ("nothing held back", CrashWay::NoTrials),
    (
        "cleared by whole answers only",
        CrashWay::ClearedByWholeAnswers,
    ),
    ("ends alone", CrashWay::CountsAlone),
    ("suspects scattered", CrashWay::Scattered),
    ("suspects stay home", CrashWay::StaysHome),
    ("all that ran are blamed", CrashWay::BlameAll),
    ("likelihood, known at once", CrashWay::Likelihood),
];

fn scenarios(nodes: usize) -> Vec<(&'static str, CrashScenario)> {
    let quiet = CrashScenario {
        nodes,
        guilty: None,
        crash_share: 0.0,
        flap_share: 0.0,
        has_cut: false,
    };
    let guilty = |guilty, gap_ms| CrashScenario {
        guilty: Some((guilty, Duration::from_millis(gap_ms))),
        ..quiet
    };
    let part = |gap_ms| guilty(Guilty::Prompts(GuiltyPrompts::OnePart), gap_ms);
    let prompts = |which| guilty(Guilty::Prompts(which), 300);
    vec![
        ("a request each 1.3 s", guilty(Guilty::Request, 1_300)),
        ("a request each 0.15 s", guilty(Guilty::Request, 150)),
        ("a part each 1 s", part(1_000)),
        ("a part each 0.2 s", part(200)),
        ("a part each 0.05 s", part(50)),
        (
            "a part each 1 s, a cut",
            CrashScenario {
                has_cut: true,
                ..part(1_000)
            },
        ),
        (
            "a part each 0.2 s, others crash",
            CrashScenario {
                flap_share: 0.05,
                ..part(200)
            },
        ),
        ("two parts each 0.3 s", prompts(GuiltyPrompts::TwoParts)),
        (
            "a part with another each 0.3 s",
            prompts(GuiltyPrompts::WithCompanion),
        ),
        (
            "a part that was harmless each 0.3 s",
            prompts(GuiltyPrompts::Turned),
        ),
        (
            "a fifth crashes, four times",
            CrashScenario {
                crash_share: 0.2,
                ..quiet
            },
        ),
        (
            "all crash, four times",
            CrashScenario {
                crash_share: 3.0,
                ..quiet
            },
        ),
        (
            "one in twenty crashes each second",
            CrashScenario {
                flap_share: 0.05,
                ..quiet
            },
        ),
    ]
}

fn study(seeds: &[u64]) -> Report {
    let scenarios = FLEETS.iter().flat_map(|nodes| scenarios(*nodes));
    let cases = scenarios.flat_map(|scenario| WAYS.map(|way| (scenario, way)));
    let cases: Vec<_> = cases.collect();
    let rows = in_parallel(&cases, |((name, scenario), (policy, way))| {
        row(*scenario, name, policy, *way, seeds)
    });
    Report {
        study: "crashes",
        seeds: seeds.to_vec(),
        rows,
        notes: vec![
            "ends: upstreams that guilty requests crashed; late_sends: those sent later than 3 s after the third end of a request or the fifth of \
             a part (the last, if there are fewer), cuts and 3 s after them left out; broken_share: answers to others that broke off; refused_falsely: \
             harmless requests that were refused, held: that were held back; _common: those among them whose parts many requests share; begun_share: harmless requests with the \
             guilty ones' first part that began at the first try from 6 s after that end on, as a part of before; known_after_ms: from that end until every node knew, \
             0 if not all ever did"
                .to_owned(),
        ],
    }
}

/// Maps `cases` on several threads.
fn in_parallel<C: Sync, R: Send>(cases: &[C], map: impl Fn(&C) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let work = || {
        let mut done = Vec::new();
        while let index = next.fetch_add(1, Ordering::Relaxed)
            && let Some(case) = cases.get(index)
        {
            done.push((index, map(case)));
        }
        done
    };
    let mut all: Vec<(usize, R)> = thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let done = threads.into_iter().filter_map(|thread| thread.join().ok());
        done.flatten().collect()
    });
    all.sort_by_key(|(index, _)| *index);
    all.into_iter().map(|(_, result)| result).collect()
}

fn row(scenario: CrashScenario, name: &str, policy: &str, way: CrashWay, seeds: &[u64]) -> Row {
    let runs: Vec<CrashRun> = seeds
        .iter()
        .map(|seed| simulate(scenario, way, *seed))
        .collect();
    let deployment = format!("{} nodes, {name}", scenario.nodes);
    let reads: [Read<CrashRun>; 11] = [
        ("ends", |run| run.ends as f64),
        ("late_sends", |run| run.late_sends as f64),
        ("broken_share", |run| {
            run.broken as f64 / run.requests.max(1) as f64
        }),
        ("refused_falsely", |run| run.refused_falsely as f64),
        ("refused_common", |run| run.refused_common as f64),
        ("held", |run| run.held as f64),
        ("held_common", |run| run.held_common as f64),
        ("begun_share", |run| {
            run.begun_after / run.begun_before.max(1e-9)
        }),
        ("known_after_ms", |run| run.known_after_ms),
        ("messages_per_node_s", |run| run.messages_per_node_s),
        ("bytes_per_node_s", |run| run.bytes_per_node_s),
    ];
    Row::over_runs(deployment, policy, &runs, &reads)
}
