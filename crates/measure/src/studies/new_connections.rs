//! Most new connections of a failure domain or region at one node.

use crate::connection_sim::{ConnectionRun, ConnectionScenario, ConnectionWay, simulate};
use crate::report::Read;
use crate::{Report, Row, Study};

pub(crate) const STUDY: Study = Study {
    name: "new-connections",
    about: "Nine in ten new connections of a failure domain or region at one node for 12 s, before 72 and 360 nodes: taking all, accepting \
            or reading less, 503, not ready, forwarding.",
    run: study,
};

/// Shares of a core that a node has. The smallest is half of what the smallest node has, so it shows costs twice as high.
const PROCESSOR_SHARES: [f64; 4] = [0.06, 0.12, 0.25, 0.5];

const WAYS: [(&str, ConnectionWay); 8] = [
    ("nutmegsail: takes all", ConnectionWay::TakesAll),
    (
        "takes all, events that wait cost as much",
        ConnectionWay::TakesAllApart,
    ),
    (
        "stops accepting while overloaded",
        ConnectionWay::StopsAccepting,
    ),
    ("answers 503 while overloaded", ConnectionWay::Refuses),
    ("not ready while overloaded", ConnectionWay::IsNotReady),
    (
        "closes unread while overloaded",
        ConnectionWay::ClosesUnread,
    ),
    (
        "closes unread for descriptors",
        ConnectionWay::ClosesForDescriptors,
    ),
    ("forwards while overloaded", ConnectionWay::Forwards),
];

/// Deployments: requests a second of a failure domain and of a region, and what a stream is.
const FLEETS: [(&str, [f64; 2], u32, u64); 3] = [
    ("72 nodes", [51.0, 205.0], 86, 25_600),
    ("360 nodes", [300.0, 900.0], 86, 25_600),
    ("360 nodes, long streams", [300.0, 900.0], 183, 116_000),
];

fn study(seeds: &[u64]) -> Report {
    let mut rows = Vec::new();
    for (fleet, rates, events_per_stream, event_gap_us) in FLEETS {
        for (reach, requests_per_s) in ["failure domain", "region"].into_iter().zip(rates) {
            for processor_share in PROCESSOR_SHARES {
                let scenario = ConnectionScenario {
                    requests_per_s,
                    events_per_stream,
                    event_gap_us,
                    processor_share,
                };
                let deployment = format!("{fleet}, {reach}, {processor_share} of a core");
                let ways = WAYS.iter();
                rows.extend(
                    ways.map(|(policy, way)| row(scenario, &deployment, policy, *way, seeds)),
                );
            }
        }
    }
    Report {
        study: "new-connections",
        seeds: seeds.to_vec(),
        rows,
        notes: vec![
            "shares are of the requests of which a node read a try, served at the first such try; meanwhile counts from 3 s on; answered_share: \
             of all requests meanwhile; next_share: at the nodes that got the connections after the first; over_s: seconds in which the first \
             node had no processor time left; other nodes have room"
                .to_owned(),
        ],
    }
}

fn row(
    scenario: ConnectionScenario,
    deployment: &str,
    policy: &str,
    way: ConnectionWay,
    seeds: &[u64],
) -> Row {
    let runs: Vec<ConnectionRun> = seeds
        .iter()
        .map(|seed| simulate(scenario, way, *seed))
        .collect();
    let reads: [Read<ConnectionRun>; 8] = [
        ("before_share", |run| run.before_share),
        ("meanwhile_of_before", |run| run.meanwhile_of_before),
        ("after_share", |run| run.after_share),
        ("answered_share", |run| run.answered_share),
        ("next_share", |run| run.next_share),
        ("nodes", |run| run.nodes),
        ("over_s", |run| run.over_s),
        ("descriptors", |run| run.descriptors),
    ];
    Row::over_runs(deployment.to_owned(), policy, &runs, &reads)
}
