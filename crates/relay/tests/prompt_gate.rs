//! Decisions of the gate that paces the prompts of one engine.

use std::time::{Duration, Instant};

use nutmegsail_relay::{EnginePace, PauseCounts, PromptAnswer, PromptAsk, PromptGate};
use rstest::rstest;

const PACE: f64 = 20.0;
const LONG_PAUSE: Duration = Duration::from_millis(600);
/// Share of the pace at which the bucket refills: 1 - (0.2 + 0.1) / 0.9.
const REFILL_SHARE: f64 = 2.0 / 3.0;
/// Tokens that the bucket holds: 0.2 of 400 ms at the pace.
const BUCKET: u32 = 1_600;

const ASK: PromptAsk = PromptAsk {
    tokens: BUCKET,
    priority: 1,
    longest_pause_ms: 400,
    due_in_ms: 2_000,
    wait_limit_ms: 5_000,
    may_queue: true,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn idle_gate(now: Instant) -> PromptGate<u32> {
    PromptGate::new(EnginePace::new(PACE), now)
}

/// A gate that became active; the three streams that paused have ended.
fn active_gate(now: Instant) -> PromptGate<u32> {
    let mut gate = idle_gate(now);
    for key in 1_000..1_003 {
        gate.note_sent(key, PromptAsk { tokens: 0, ..ASK }, now);
        gate.record_pause(&key, LONG_PAUSE, now);
        gate.end(&key, None, now);
    }
    assert!(gate.is_active(now));
    gate
}

/// Fails if a gate is active for want of observed pauses, or delays requests while it is not.
#[test]
fn an_inactive_gate_grants_everything() {
    let now = Instant::now();
    let mut gate = idle_gate(now);
    for key in 0..100 {
        assert_eq!(gate.ask(key, ASK, now), PromptAnswer::Granted);
    }
    gate.record_pause(&0, LONG_PAUSE, now);
    gate.record_pause(&0, LONG_PAUSE, now);
    gate.record_pause(&1, LONG_PAUSE, now);
    assert!(!gate.is_active(now), "two streams");
    gate.record_pause(&2, ms(400), now);
    assert!(!gate.is_active(now), "a pause at the limit is none over it");
    gate.record_pause(&2, LONG_PAUSE, now);
    assert!(!gate.is_active(now), "3 in 100");
    assert_eq!(gate.next_due(now), None);
}

/// Fails if the gate does not become active at 5 paused streams in 100, or if a reported end with a
/// long pause does not count.
#[test]
fn five_paused_streams_in_a_hundred_activate_it() {
    let now = Instant::now();
    let mut gate = idle_gate(now);
    for key in 0..100 {
        assert!(!gate.note_sent(key, ASK, now));
    }
    for key in 0..5 {
        assert!(!gate.is_active(now));
        gate.end(&key, Some(LONG_PAUSE), now);
    }
    assert!(gate.is_active(now));
    assert!(gate.note_sent(100, ASK, now), "the sender learns it");
    let counts = PauseCounts {
        streams: 101,
        paused: 5,
    };
    assert_eq!(gate.pause_counts(now), counts);
}

/// Fails if the gate stays active, or does not stay for 10 s after pauses are no longer frequent.
#[test]
fn it_deactivates_ten_seconds_after_the_pauses() {
    let now = Instant::now();
    let gate = active_gate(now);
    assert!(gate.is_active(now + ms(19_999)));
    assert!(!gate.is_active(now + ms(20_001)));
    assert!(gate.is_idle(now + ms(20_001)));
}

/// Fails if prompts are granted faster than the share of the pace, or slower.
#[test]
fn prompts_are_granted_at_the_share_of_the_pace() {
    let now = Instant::now();
    let mut gate = active_gate(now);
    let ask = PromptAsk {
        tokens: BUCKET / 4,
        wait_limit_ms: 60_000,
        due_in_ms: 60_000,
        ..ASK
    };
    let answers: Vec<PromptAnswer> = (0..100).map(|key| gate.ask(key, ask, now)).collect();
    let granted = |answer: &&PromptAnswer| **answer == PromptAnswer::Granted;
    assert_eq!(answers.iter().filter(granted).count(), 4, "the bucket");
    let (mut at, mut tokens) = (now, 0);
    while let Some(due) = gate.next_due(at).filter(|due| *due <= now + ms(1_000)) {
        at = due;
        tokens += gate.grant_due(at).len() as u32 * ask.tokens;
    }
    let expected = 1_000.0 * PACE * REFILL_SHARE;
    assert!(
        (f64::from(tokens) - expected).abs() <= f64::from(ask.tokens),
        "{tokens}"
    );
}

/// Fails if an engine with nothing to prefill waits for its bucket to refill.
#[test]
fn an_engine_with_nothing_to_prefill_takes_one_prompt() {
    let now = Instant::now();
    let mut gate = active_gate(now);
    let long = PromptAsk {
        tokens: 20 * BUCKET,
        ..ASK
    };
    assert_eq!(gate.ask(0, long, now), PromptAnswer::Granted);
    assert_eq!(gate.ask(1, ASK, now), PromptAnswer::Queued);
    gate.first_event(&0, ms(1_640), now + ms(1_640));
    let after_event = now + ms(1_640 + 40);
    assert!(
        gate.next_due(now + ms(1_640))
            .is_some_and(|due| due <= after_event)
    );
    assert_eq!(gate.grant_due(after_event), [(1, PromptAnswer::Granted)]);
}

/// Fails if a grant that is never reported holds its share for more than 5 s.
#[test]
fn a_grant_that_never_reports_expires() {
    let now = Instant::now();
    let mut gate = active_gate(now);
    let huge = PromptAsk {
        tokens: 100 * BUCKET,
        ..ASK
    };
    let patient = PromptAsk {
        wait_limit_ms: 60_000,
        ..ASK
    };
    assert_eq!(gate.ask(0, huge, now), PromptAnswer::Granted);
    assert_eq!(gate.ask(1, patient, now), PromptAnswer::Queued);
    assert_eq!(gate.grant_due(now + ms(4_999)), []);
    assert_eq!(
        gate.grant_due(now + ms(5_000)),
        [(1, PromptAnswer::Granted)]
    );
}

/// Fails if two gates of one engine, each asked by half of the nodes, grant more than twice the
/// share.
#[test]
fn two_gates_grant_at_most_twice_the_share() {
    let now = Instant::now();
    let mut tokens = 0;
    for mut gate in [active_gate(now), active_gate(now)] {
        for key in 0..200 {
            let ask = PromptAsk {
                tokens: 400,
                wait_limit_ms: 60_000,
                ..ASK
            };
            tokens += 400 * u32::from(gate.ask(key, ask, now) == PromptAnswer::Granted);
        }
        for passed_ms in 0..=1_000 {
            tokens += 400 * gate.grant_due(now + ms(passed_ms)).len() as u32;
        }
    }
    let share = f64::from(BUCKET) + 1_000.0 * PACE * REFILL_SHARE;
    assert!(f64::from(tokens) <= 2.0 * share, "{tokens}");
}

/// Fails if a duplicated or late message counts a request twice.
#[test]
fn duplicated_messages_count_once() {
    let now = Instant::now();
    let mut gate = active_gate(now);
    assert_eq!(gate.ask(0, ASK, now), PromptAnswer::Granted);
    assert_eq!(gate.ask(0, ASK, now), PromptAnswer::Granted);
    assert_eq!(gate.ask(1, ASK, now), PromptAnswer::Queued);
    assert_eq!(gate.ask(1, ASK, now), PromptAnswer::Queued);
    gate.first_event(&0, ms(120), now + ms(120));
    let pace = gate.tokens_per_ms();
    gate.first_event(&0, ms(900), now + ms(121));
    gate.first_event(&7, ms(900), now + ms(121));
    assert!((gate.tokens_per_ms() - pace).abs() < f64::EPSILON);
    assert_eq!(gate.grant_due(now + ms(400)), [(1, PromptAnswer::Granted)]);
}

/// Fails if a request is queued that cannot start while its caller waits, or queued or refused that
/// is better sent elsewhere.
#[rstest]
#[case::on_time(ASK, PromptAnswer::Queued)]
#[case::on_time_not_to_queue(PromptAsk { may_queue: false, ..ASK }, PromptAnswer::Queued)]
#[case::late(PromptAsk { due_in_ms: 0, ..ASK }, PromptAnswer::Queued)]
#[case::late_elsewhere(
    PromptAsk { due_in_ms: 0, may_queue: false, ..ASK },
    PromptAnswer::Busy { wait_ms: 120 }
)]
#[case::gives_up(PromptAsk { wait_limit_ms: 119, ..ASK }, PromptAnswer::Refused { wait_ms: 120 })]
fn a_full_bucket_answers_by_time_left(#[case] ask: PromptAsk, #[case] expected: PromptAnswer) {
    let now = Instant::now();
    let mut gate = active_gate(now);
    assert_eq!(gate.ask(0, ASK, now), PromptAnswer::Granted);
    assert_eq!(gate.ask(1, ask, now), expected);
}

/// Fails if a queued request learns only after its wait limit that it cannot start.
#[test]
fn no_request_waits_past_its_limit() {
    let now = Instant::now();
    let mut gate = active_gate(now);
    assert_eq!(gate.ask(0, ASK, now), PromptAnswer::Granted);
    let routine = PromptAsk {
        priority: 2,
        wait_limit_ms: 250,
        ..ASK
    };
    assert_eq!(gate.ask(1, routine, now), PromptAnswer::Queued);
    for key in 2..6 {
        gate.ask(key, PromptAsk { priority: 0, ..ASK }, now);
    }
    let answers = gate.grant_due(now);
    assert!(
        matches!(answers[..], [(1, PromptAnswer::Refused { .. })]),
        "{answers:?}"
    );
}

/// Fails if urgent work waits behind routine work, or work on time behind late work.
#[test]
fn urgent_work_goes_first_and_late_work_last() {
    let now = Instant::now();
    let mut gate = active_gate(now);
    let patient = PromptAsk {
        wait_limit_ms: 60_000,
        ..ASK
    };
    gate.ask(0, patient, now);
    gate.ask(
        1,
        PromptAsk {
            due_in_ms: 0,
            ..patient
        },
        now,
    );
    gate.ask(
        2,
        PromptAsk {
            priority: 2,
            ..patient
        },
        now,
    );
    gate.ask(
        3,
        PromptAsk {
            due_in_ms: 1_900,
            ..patient
        },
        now,
    );
    gate.ask(
        4,
        PromptAsk {
            due_in_ms: 1_800,
            ..patient
        },
        now,
    );
    gate.ask(
        5,
        PromptAsk {
            priority: 0,
            due_in_ms: 0,
            ..patient
        },
        now,
    );
    let due = (0..1_000).flat_map(|passed_ms| gate.grant_due(now + ms(passed_ms)));
    let order: Vec<u32> = due.map(|(key, _)| key).collect();
    assert_eq!(order, [5, 4, 3, 2, 1]);
}

/// Fails if the least urgent work gets fewer than one grant in 10 while urgent work keeps waiting.
#[test]
fn the_least_urgent_work_gets_one_grant_in_ten() {
    let now = Instant::now();
    let mut gate = active_gate(now);
    let patient = PromptAsk {
        wait_limit_ms: 600_000,
        due_in_ms: 600_000,
        ..ASK
    };
    for key in 0..200 {
        let priority = if key < 100 { 0 } else { 2 };
        gate.ask(
            key,
            PromptAsk {
                priority,
                ..patient
            },
            now,
        );
    }
    let (mut at, mut order) = (now, Vec::new());
    while order.len() < 60 {
        at = gate.next_due(at).map_or(at, |due| due);
        order.extend(gate.grant_due(at).into_iter().map(|(key, _)| key));
    }
    for (index, window) in order.windows(10).enumerate() {
        assert!(
            window.iter().any(|key| *key >= 100),
            "grants from {index}: {window:?}"
        );
    }
    let routine: Vec<u32> = order.into_iter().filter(|key| *key >= 100).collect();
    assert!(routine.is_sorted() && routine[0] == 100, "{routine:?}");
}

/// Fails if a caller that leaves keeps its place, in the queue or at the engine.
#[test]
fn a_caller_that_leaves_gives_up_its_place() {
    let now = Instant::now();
    let mut gate = active_gate(now);
    for key in 0..3 {
        gate.ask(key, ASK, now);
    }
    assert_eq!(gate.end(&1, None, now), []);
    assert_eq!(gate.end(&0, None, now), [(2, PromptAnswer::Granted)]);
    assert!(gate.next_due(now).is_none());
}

/// Fails if the bucket is sized by another than the tightest pause limit at the engine.
#[test]
fn the_tightest_limit_sizes_the_bucket() {
    let now = Instant::now();
    let mut gate = active_gate(now);
    let tight = PromptAsk {
        tokens: 1,
        longest_pause_ms: 200,
        ..ASK
    };
    assert_eq!(gate.ask(0, tight, now), PromptAnswer::Granted);
    let half = PromptAsk {
        tokens: BUCKET / 2,
        ..ASK
    };
    assert_eq!(gate.ask(1, half, now), PromptAnswer::Queued);
}
