//! Time of the decisions of a prompt gate with 64 running and 64 waiting requests.

use std::hint::black_box;
use std::time::{Duration, Instant};

use criterion::{Criterion, criterion_group, criterion_main};
use nutmegsail_relay::{EnginePace, PromptAsk, PromptGate};

const REQUESTS: u32 = 64;

const ASK: PromptAsk = PromptAsk {
    tokens: 1_500,
    priority: 1,
    longest_pause_ms: 400,
    due_in_ms: 60_000,
    wait_limit_ms: 60_000,
    may_queue: true,
};

fn loaded_gate(now: Instant) -> PromptGate<u32> {
    let mut gate = PromptGate::new(EnginePace::new(19.1), now);
    for key in 0..REQUESTS {
        gate.note_sent(key, ASK, now);
        gate.record_pause(&key, Duration::from_millis(600), now);
    }
    for key in REQUESTS..2 * REQUESTS {
        let priority = u8::try_from(key % 3).unwrap_or(0);
        let due_in_ms = ASK.due_in_ms - key;
        gate.ask(
            key,
            PromptAsk {
                priority,
                due_in_ms,
                ..ASK
            },
            now,
        );
    }
    gate
}

fn decisions(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut gate = loaded_gate(now);
    criterion.bench_function("prompt gate: ask and leave", |bencher| {
        bencher.iter(|| {
            let answer = gate.ask(black_box(u32::MAX), ASK, now);
            gate.end(&u32::MAX, None, now);
            answer
        });
    });
    let refused = PromptAsk {
        wait_limit_ms: 1,
        ..ASK
    };
    criterion.bench_function("prompt gate: ask", |bencher| {
        bencher.iter(|| gate.ask(black_box(u32::MAX), refused, now));
    });
    criterion.bench_function("prompt gate: grant due", |bencher| {
        bencher.iter(|| gate.grant_due(black_box(now)));
    });
}

criterion_group!(benches, decisions);
criterion_main!(benches);
