//! Tests that requests are sent to engines that have cached parts of their prompt.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

mod common;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use common::{engine, list, report};
use nutmegsail_base::UpstreamId;
use nutmegsail_relay::{
    CachedPrompts, DispatchRequest, Dispatcher, HoldingsReport, ModelRef, PromptPart, PromptPrefix,
    SoftwareRule, VersionRule,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const ENGINES: [&str; 4] = ["e1", "e2", "e3", "e4"];

fn dispatcher(now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new("here".into());
    dispatcher.set_upstreams(&list(ENGINES.map(|name| engine(name, &["a1"]))), now);
    dispatcher
}

/// A prompt with 6,300 shared tokens and 2,890 of its own.
fn prompt(shared: u64, own: u64) -> PromptPrefix {
    let parts = [
        PromptPart {
            id: shared,
            tokens: 6_300,
        },
        PromptPart {
            id: own,
            tokens: 2_890,
        },
    ];
    PromptPrefix::new(&ModelRef::parse("base/a1"), &parts)
}

fn choose(
    dispatcher: &Dispatcher,
    prompt: &PromptPrefix,
    now: Instant,
    random: &mut ChaCha8Rng,
) -> (UpstreamId, u64) {
    let (service, model) = ("engines".into(), ModelRef::parse("base/a1"));
    let need = DispatchRequest {
        service: &service,
        model: Some(&model),
        version: VersionRule::ANY,
        software: SoftwareRule::Any,
        prompt_tokens: 9_190,
        prompt,
        longest_pause: None,
        tried: &[],
    };
    let choice = dispatcher.choose(&need, now, random).unwrap();
    (choice.upstream.id.clone(), choice.uncached_tokens)
}

// Two callers send prompts with the same instructions to two nodes that don't communicate. If each
// node selects the engine with the shortest queue, two engines process the 6,300 tokens, and
// requests behind them wait twice.
#[test]
fn nodes_send_the_same_instructions_to_one_engine_without_communicating() {
    let now = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let (one, other) = (dispatcher(now), dispatcher(now));
    for shared in 0..50 {
        let at_one = choose(&one, &prompt(shared, 1_000 + shared), now, &mut random);
        let at_other = choose(&other, &prompt(shared, 2_000 + shared), now, &mut random);
        assert_eq!(at_one.0, at_other.0);
    }
}

// An engine has cached the instructions, but its queue takes longer than processing them again
// elsewhere. A request sent there for its cache would be answered later.
#[test]
fn long_queue_outweighs_cached_parts() {
    let now = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let mut dispatcher = dispatcher(now);
    let (home, unread) = choose(&dispatcher, &prompt(7, 1), now, &mut random);
    assert_eq!(unread, 9_190, "nothing was sent there yet");
    dispatcher.record_prompt(&home, &prompt(7, 1), now);
    assert_eq!(
        choose(&dispatcher, &prompt(7, 2), now, &mut random),
        (home.clone(), 2_890)
    );
    dispatcher.record_owner_report(&home, &HoldingsReport::NotReported, report(20_000, now));
    let (elsewhere, unread) = choose(&dispatcher, &prompt(7, 3), now, &mut random);
    assert_ne!(elsewhere, home);
    assert_eq!(unread, 9_190);
}

/// Simulates a minute in which 20 nodes that don't communicate get 24 prompts a second for one
/// adapter, with 24 different instructions, on four engines that cache prompts. Returns the shared
/// tokens that were processed more than once, as a fraction of all tokens processed.
fn reprocessed_fraction(identifies_parts: bool) -> f64 {
    const NODES: usize = 20;
    const PROMPTS: u64 = 24 * 60;
    let began = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut nodes: Vec<Dispatcher> = (0..NODES).map(|_| dispatcher(began)).collect();
    let mut cached: HashMap<UpstreamId, CachedPrompts> = HashMap::new();
    let (mut read, mut again) = (0, 0);
    let mut was_read = HashSet::new();
    for number in 0..PROMPTS {
        let now = began + Duration::from_millis(number * 1_000 / 24);
        let shared = u64::from(random.random_range(0..24_u32));
        let chain = prompt(shared, 1_000 + number);
        let told = match identifies_parts {
            true => chain.clone(),
            false => PromptPrefix::default(),
        };
        let node = &mut nodes[random.random_range(0..NODES)];
        let (engine, _) = choose(node, &told, now, &mut random);
        node.record_prompt(&engine, &told, now);
        let at_engine = cached.entry(engine).or_default();
        let found = at_engine.cached_tokens_of(&chain, now);
        at_engine.note(&chain, now);
        read += 9_190 - found;
        if found == 0 && !was_read.insert(shared) {
            again += 6_300;
        }
    }
    f64::from(again) / read as f64
}

// Every prompt of an adapter on four engines contains instructions of 6,300 tokens. Spread over all
// engines, a fifth of the tokens they process was processed before (0.187). With one preferred
// engine per instruction it is next to nothing (0.0015).
#[test]
fn shared_instructions_are_processed_once_although_many_engines_hold_the_adapter() {
    let (by_home, spread) = (reprocessed_fraction(true), reprocessed_fraction(false));
    assert!(by_home < 0.005, "{by_home}");
    assert!(spread > 0.05, "{spread}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Cached tokens are not counted as work. Too high a count would make an engine's queue look
    // shorter than it is. Only leading parts of the same adapter count, up to the length that was
    // processed.
    #[test]
    fn only_processed_tokens_count_as_cached(
        read in prop::collection::vec((0u64..4, 1u32..900), 0..5),
        asked in prop::collection::vec((0u64..4, 1u32..900), 0..5),
        is_same_adapter in any::<bool>(),
    ) {
        let now = Instant::now();
        let parts = |parts: &[(u64, u32)]| -> Vec<PromptPart> {
            parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens }).collect()
        };
        let adapter = |is_first| ModelRef::parse(if is_first { "base/a1" } else { "base/a2" });
        let mut cached = CachedPrompts::default();
        cached.note(&PromptPrefix::new(&adapter(true), &parts(&read)), now);
        let chain = PromptPrefix::new(&adapter(is_same_adapter), &parts(&asked));
        let leading = read.iter().zip(&asked).take_while(|(read, asked)| read.0 == asked.0);
        let most: u64 = leading.map(|(read, asked)| u64::from(read.1.min(asked.1))).sum();
        let expected = if is_same_adapter { most } else { 0 };
        prop_assert_eq!(cached.cached_tokens_of(&chain, now), expected);
    }
}
