//! Simulates a burst on a few engines to test how upstream selection affects the time to the first
//! event.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

mod common;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use common::{engine, list};
use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{
    DispatchRequest, Dispatcher, ModelRef, PromptPrefix, SoftwareRule, VersionRule,
};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Prompt tokens that an engine processes per millisecond.
const TOKENS_PER_MS: f64 = 19.2;

/// An engine that processes one prompt at a time, `slow` times slower than a healthy one.
struct Engine {
    slow: f64,
    free_at_ms: f64,
    /// Pending requests: time of the first event, time of sending, prompt tokens, expected wait.
    pending: VecDeque<(f64, f64, u64, f64)>,
}

/// Simulates 60 s of 50 requests a second on six engines, one of them five times slower than the
/// others. Returns the sorted waits in milliseconds.
fn simulate(
    mut choose: impl FnMut(&mut Dispatcher, &DispatchRequest<'_>, Instant, &mut ChaCha8Rng) -> usize,
) -> Vec<f64> {
    let names: Vec<String> = (0..6).map(|index| format!("e{index}")).collect();
    let ids: Vec<UpstreamId> = names.iter().map(|name| name.as_str().into()).collect();
    let began = Instant::now();
    let mut dispatcher = Dispatcher::new("here".into());
    dispatcher.set_upstreams(&list(names.iter().map(|name| engine(name, &["a1"]))), began);
    let mut engines: Vec<Engine> = (0..6)
        .map(|index| Engine {
            slow: if index == 0 { 5.0 } else { 1.0 },
            free_at_ms: 0.0,
            pending: VecDeque::new(),
        })
        .collect();
    let (service, model) = ("engines".into(), ModelRef::parse("base/a1"));
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut at_ms = 0.0;
    let mut waits = Vec::new();
    while at_ms < 60_000.0 {
        at_ms += -(1.0 - random.random::<f64>()).ln() * 1_000.0 / 50.0;
        let now = began + Duration::from_secs_f64(at_ms / 1_000.0);
        for (engine, id) in engines.iter_mut().zip(&ids) {
            while let Some(&(done_ms, sent_ms, tokens, expected_ms)) = engine.pending.front() {
                if done_ms > at_ms {
                    break;
                }
                engine.pending.pop_front();
                let took = Duration::from_secs_f64((done_ms - sent_ms) / 1_000.0);
                dispatcher.record_prompt_read(id, tokens);
                dispatcher.record_answer_started(id, expected_ms, took, now);
                dispatcher.record_ended(id);
            }
        }
        let tokens = if random.random::<f64>() < 0.65 {
            1_460
        } else {
            646
        };
        let need = DispatchRequest {
            service: &service,
            model: Some(&model),
            version: VersionRule::ANY,
            software: SoftwareRule::Any,
            prompt_tokens: tokens,
            prompt: &PromptPrefix::default(),
            longest_pause: None,
            tried: &[],
        };
        let chosen = choose(&mut dispatcher, &need, now, &mut random);
        let expected_ms = dispatcher
            .tracked(&ids[chosen])
            .unwrap()
            .expected_first_event_ms(tokens, now);
        dispatcher.record_sent(&ids[chosen], tokens, now);
        let engine = &mut engines[chosen];
        let reading_ms = tokens as f64 / TOKENS_PER_MS * engine.slow;
        engine.free_at_ms = engine.free_at_ms.max(at_ms) + reading_ms;
        let done_ms = engine.free_at_ms + 15.0;
        engine
            .pending
            .push_back((done_ms, at_ms, tokens, expected_ms));
        waits.push(done_ms - at_ms);
    }
    waits.sort_by(f64::total_cmp);
    waits
}

fn share_within(waits: &[f64], limit_ms: f64) -> f64 {
    waits.iter().filter(|wait| **wait <= limit_ms).count() as f64 / waits.len() as f64
}

// Six engines, one of them slow, get 50 prompts a second. With random selection the slow engine's
// queue grows without bound, and one caller in six never gets an answer: 0.827 get their first
// event within 600 ms. With selection by pending tokens and observed slowdown, all do.
#[test]
fn slow_engine_delays_few_callers() {
    let by_decision = simulate(|dispatcher, need, now, random| {
        let choice = dispatcher.choose(need, now, random).unwrap();
        choice.upstream.id.as_str()[1..].parse().unwrap()
    });
    let at_random = simulate(|_, _, _, random| random.random_range(0..6));
    let (decided, random) = (
        share_within(&by_decision, 600.0),
        share_within(&at_random, 600.0),
    );
    assert!(decided > 0.97, "{decided}");
    assert!(random < 0.9, "{random}");
}
