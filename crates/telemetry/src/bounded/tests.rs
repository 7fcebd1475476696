//! What is passed on and what is left out.

use std::time::{Duration, Instant};

use super::{Bounded, ROUTINE_LINES, TELLING_LINES};

fn bounded() -> Bounded<()> {
    Bounded::new((), |kind| kind == "RequestEnded")
}

// A storm of failures: every request brings several lines. The log is bounded, lines of failures are
// kept longer than those of successes, and what is missing is said.
#[test]
fn lines_beyond_the_bound_are_left_out_and_counted() {
    let (log, now) = (bounded(), Instant::now());
    let admitted = |kind: &str, at: Instant| {
        let lines = (0..1_000).filter(|_| log.admit(kind, at).0);
        u32::try_from(lines.count()).unwrap_or(u32::MAX)
    };
    assert_eq!(admitted("RequestEnded", now), ROUTINE_LINES);
    assert_eq!(admitted("RequestRefused", now), TELLING_LINES);
    let later = now + Duration::from_secs(1);
    let left_out = 1_000 - u64::from(ROUTINE_LINES);
    assert_eq!(log.admit("RequestEnded", later), (true, left_out));
    assert_eq!(log.admit("RequestEnded", later), (true, 0), "told once");
}

// One kind of line that floods must not silence the others.
#[test]
fn each_kind_has_a_bound_of_its_own() {
    let (log, now) = (bounded(), Instant::now());
    for _ in 0..10_000 {
        log.admit("LoadFailed", now);
    }
    assert!(log.admit("UpstreamLeaving", now).0);
}
