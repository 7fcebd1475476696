//! The figures of `docs/CAPACITY.md` that don't depend on the machine are the study's.

use std::collections::BTreeMap;
use std::path::Path;

use nutmegsail_measure::{capacity_table, run};

const BEGIN: &str = "<!-- begin: capacity_table -->";
const END: &str = "<!-- end: capacity_table -->";

/// A figure of the table: the median, and between which figures the seeds lie.
#[derive(Debug, PartialEq)]
struct Figure {
    median: f64,
    lowest: f64,
    highest: f64,
}

fn file(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join(name)).expect("the file is there")
}

fn number(text: &str) -> f64 {
    text.replace(',', "").parse().expect("a number")
}

fn figure(text: &str) -> Figure {
    let Some((median, spread)) = text.split_once(" (") else {
        let median = number(text);
        return Figure {
            median,
            lowest: median,
            highest: median,
        };
    };
    let (lowest, highest) = spread
        .trim_end_matches(')')
        .split_once("..")
        .expect("a spread");
    Figure {
        median: number(median),
        lowest: number(lowest),
        highest: number(highest),
    }
}

/// Each figure by its duty, size and measure.
fn figures(table: &str) -> BTreeMap<String, Figure> {
    let mut figures = BTreeMap::new();
    for line in table.lines().filter(|line| line.contains('`')) {
        let cells: Vec<&str> = line.trim_matches('|').split('|').map(str::trim).collect();
        let [duty, size, measures] = cells[..] else {
            continue;
        };
        for measure in measures.split("; ") {
            let (name, value) = measure.split_once(' ').expect("a name and a figure");
            figures.insert(format!("{duty}, {size}, {name}"), figure(value));
        }
    }
    figures
}

/// Someone changes what a heartbeat carries, and the page goes on promising that it fits. A single
/// seed of the page's five must give figures inside the page's spread; where nothing is drawn at
/// random the page has no spread, and the figures must be equal.
#[test]
fn the_page_has_the_figures_that_the_study_gives() {
    let page = file("docs/CAPACITY.md");
    let (_, rest) = page.split_once(BEGIN).unwrap();
    let (table, _) = rest.split_once(END).unwrap();
    let on_page = figures(table);
    let study = figures(&capacity_table(&run("capacity", &[1]).unwrap()));

    let names = |figures: &BTreeMap<String, Figure>| figures.keys().cloned().collect::<Vec<_>>();
    assert_eq!(names(&on_page), names(&study));
    let differs = |(name, found): &(&String, &Figure)| {
        let stated = &on_page[*name];
        !(stated.lowest..=stated.highest).contains(&found.median)
    };
    let differing: Vec<_> = study.iter().filter(differs).collect();
    assert!(
        differing.is_empty(),
        "write the table anew with `cargo run --release -p nutmegsail-measure --example \
         capacity_table`: {differing:#?}"
    );
}

/// The study works out lease renewals from the node's settings without depending on the node.
#[test]
fn the_study_counts_renewals_by_the_nodes_own_settings() {
    let settings = file("examples/node.toml");
    assert!(settings.contains("ownership_ttl_ms = 10000"));
    assert!(settings.contains("watch_wait_ms = 1000"));
}
