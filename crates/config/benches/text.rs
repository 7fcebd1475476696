//! Parses a text with the number of adapters expected in two years, and looks up an adapter in it.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use nutmegsail_base::AdapterRef;
use nutmegsail_config::Deployment;

/// Four engine services of 2,750 adapters each.
fn text() -> String {
    let mut text = "deployment = { name = \"large\", failure_domains = [\"hall\"] }\n".to_owned();
    for service in 0..4 {
        text += &format!(
            "[services.scribe-{service}]\nkind = \"engine\"\nbase_model = \"base\"\n\
             checks_fencing = true\ndeadline_ms = 60000\n\
             upstreams.hall = [\"10.0.0.{service}:9000\"]\n\
             adapters = [{{ names = \"style-{service}-{{00001..02750}}\", versions = [1, 2] }}]\n"
        );
    }
    text
}

fn bench(criterion: &mut Criterion) {
    let text = text();
    criterion.bench_function("read 11,000 adapters", |bencher| {
        bencher.iter(|| Deployment::parse(black_box(&text), "large.toml"));
    });
    let deployment = Deployment::parse(&text, "large.toml").expect("valid");
    let adapter = AdapterRef::new("style-3-02001", 2);
    criterion.bench_function("find 1 adapter of 11,000", |bencher| {
        bencher.iter(|| deployment.find_adapter(black_box(&adapter)));
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
