//! Whether the product kept its promises, by what callers got and what upstreams ran.

use std::time::Duration;

use nutmegsail_config::Generation;
use serde::{Deserialize, Serialize};

use super::{
    BookingRecord, CallerRefusal, DemoEvidence, NodePolls, Outcome, StreamRecord, TextChange,
};

/// How long a change may take on every node that can be reached.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);

/// The share of streams that must come whole, in percent.
const WHOLE_PERCENT: usize = 90;

/// The share of bookings that must run, in percent.
const BOOKED_PERCENT: usize = 50;

/// One promise, and what speaks against it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DemoCheck {
    /// The promise.
    pub promise: &'static str,
    /// How much was looked at.
    pub seen: String,
    /// What breaks the promise; empty if it held.
    pub violations: Vec<String>,
}

impl DemoCheck {
    fn new(promise: &'static str, seen: String) -> Self {
        Self {
            promise,
            seen,
            violations: Vec::new(),
        }
    }

    /// Whether the promise held.
    pub fn holds(&self) -> bool {
        self.violations.is_empty()
    }

    fn demand(&mut self, is_kept: bool, violation: impl FnOnce() -> String) {
        if !is_kept {
            self.violations.push(violation());
        }
    }
}

/// Checks every promise.
///
/// A run in which nothing was asked or nothing worked breaks the promises on shares, so it does not
/// pass by having nothing to object to.
pub fn check_evidence(evidence: &DemoEvidence) -> Vec<DemoCheck> {
    vec![
        exact_adapter(evidence),
        own_answer(evidence),
        nothing_lost_or_doubled(evidence),
        at_most_once(evidence),
        same_answer_again(evidence),
        not_run_is_true(evidence),
        never_reverts(evidence),
        in_force_in_time(evidence),
        streams_come_whole(evidence),
        bookings_run(evidence),
        refusals_are_numbered(evidence),
    ]
}

fn exact_adapter(evidence: &DemoEvidence) -> DemoCheck {
    let seen = pieces_seen(evidence);
    let mut check = DemoCheck::new("every piece is of the adapter and version asked for", seen);
    for stream in &evidence.streams {
        let asked = stream.adapter.to_string();
        let name = &stream.own_id;
        for answered in &stream.answered_by {
            check.demand(*answered == asked, || {
                format!("{name}: asked for {asked}, answered by `{answered}`")
            });
        }
        for piece in &stream.pieces {
            let made_by = piece.text.split('/').nth(1).unwrap_or_default();
            check.demand(made_by == asked, || {
                format!("{name}: asked for {asked}, got `{}`", piece.text)
            });
        }
        for ran in evidence.ledgers.runs_elsewhere(name, &stream.adapter) {
            let is_unseen = stream.pieces.is_empty();
            check.demand(is_unseen, || {
                format!("{name}: asked for {asked}, an engine ran {ran}")
            });
        }
    }
    check
}

fn own_answer(evidence: &DemoEvidence) -> DemoCheck {
    let seen = pieces_seen(evidence);
    let mut check = DemoCheck::new("every piece is of the caller's own request", seen);
    for stream in &evidence.streams {
        let own = format!("{}.", stream.own_id);
        let first = stream.pieces.first().map(request_of);
        for piece in &stream.pieces {
            let request = request_of(piece);
            let is_own = request.starts_with(&own) && Some(request) == first;
            check.demand(is_own, || {
                format!("{}: got `{}`", stream.own_id, piece.text)
            });
        }
    }
    check
}

fn request_of(piece: &super::Piece) -> &str {
    piece.text.split('/').next().unwrap_or_default()
}

fn nothing_lost_or_doubled(evidence: &DemoEvidence) -> DemoCheck {
    let seen = pieces_seen(evidence);
    let promise = "no piece is lost, doubled or out of order, and the end counts them";
    let mut check = DemoCheck::new(promise, seen);
    for stream in &evidence.streams {
        let name = &stream.own_id;
        for (due, piece) in (1..).zip(&stream.pieces) {
            let number = piece.text.trim_end().rsplit('/').next();
            let is_due = piece.id == due && number == Some(due.to_string().as_str());
            check.demand(is_due, || {
                format!(
                    "{name}: event {} `{}` where {due} was due",
                    piece.id, piece.text
                )
            });
        }
        if stream.outcome == Outcome::Whole {
            let got = stream.pieces.len() as u64;
            let is_whole = got == stream.asked_pieces && stream.count == Some(got);
            check.demand(is_whole, || {
                let (asked, count) = (stream.asked_pieces, stream.count);
                format!("{name}: {got} pieces of {asked}, the end counts {count:?}")
            });
        }
    }
    check
}

fn at_most_once(evidence: &DemoEvidence) -> DemoCheck {
    let sent: u32 = evidence.bookings.iter().map(|record| record.tries).sum();
    let seen = format!("{} bookings, sent {sent} times", evidence.bookings.len());
    let promise = "no booking runs more than once, and a confirmed one did run";
    let mut check = DemoCheck::new(promise, seen);
    for booking in &evidence.bookings {
        let runs = evidence.ledgers.runs_of_key(&booking.key);
        let is_confirmed = booking.outcome == Outcome::Whole;
        let is_kept = runs <= 1 && (!is_confirmed || runs == 1);
        check.demand(is_kept, || {
            format!("{}: {}, ran {runs} times", booking.key, booking.outcome)
        });
    }
    check
}

fn same_answer_again(evidence: &DemoEvidence) -> DemoCheck {
    let repeated = evidence.bookings.iter();
    let repeated = repeated.filter(|record| record.answers.len() > 1).count();
    let seen = format!("{repeated} bookings answered twice");
    let promise = "a repeat gets the answer of its own booking again";
    let mut check = DemoCheck::new(promise, seen);
    for booking in &evidence.bookings {
        let is_same = booking.answers.windows(2).all(|two| two[0] == two[1]);
        check.demand(is_same, || {
            format!("{}: {}", booking.key, booking.answers.join(" then "))
        });
        let is_own = booking.answers.iter().all(|answer| is_of(answer, booking));
        check.demand(is_own, || {
            format!(
                "{}: asked for {}, got {:?}",
                booking.key, booking.path, booking.answers
            )
        });
    }
    check
}

#[derive(Deserialize)]
struct BookedJson {
    path: String,
}

fn is_of(answer: &str, booking: &BookingRecord) -> bool {
    serde_json::from_str(answer).is_ok_and(|booked: BookedJson| booked.path == booking.path)
}

fn not_run_is_true(evidence: &DemoEvidence) -> DemoCheck {
    let told = evidence.refusals().filter(|refusal| refusal.is_not_run());
    let told: Vec<&CallerRefusal> = told.collect();
    let seen = format!("{} times told", told.len());
    let mut check = DemoCheck::new("what was told `not_run` did not run", seen);
    for refusal in told {
        let runs = evidence.ledgers.runs_of(&refusal.request);
        check.demand(runs == 0, || {
            let number = refusal.number;
            format!("{}: NS{number}, ran {runs} times", refusal.request)
        });
    }
    for booking in &evidence.bookings {
        let runs = evidence.ledgers.runs_of_key(&booking.key);
        let is_refused = booking.outcome == Outcome::Refused;
        let is_never_run = booking.lost == 0 && is_refused;
        check.demand(!(is_never_run && runs > 0), || {
            format!("{}: refused as not run, ran {runs} times", booking.key)
        });
    }
    check
}

fn never_reverts(evidence: &DemoEvidence) -> DemoCheck {
    let seen = polls_seen(evidence);
    let promise = "the generation on no node goes back, but for a new process without one";
    let mut check = DemoCheck::new(promise, seen);
    for node in &evidence.polls {
        let mut newest = Generation(0);
        let mut was_answering = true;
        for poll in &node.polls {
            let Some(generation) = poll.generation else {
                was_answering = false;
                continue;
            };
            let is_new_process = generation == Generation(0) && !was_answering;
            let is_still_empty = generation == Generation(0) && newest == Generation(0);
            check.demand(
                generation >= newest || is_new_process || is_still_empty,
                || {
                    let at_ms = poll.asked_at.as_millis();
                    format!("{}: {generation} after {newest} at {at_ms} ms", node.node)
                },
            );
            // A new process knows no text until it was told; what it then runs must not be older.
            was_answering = !is_new_process && generation != Generation(0);
            newest = newest.max(generation);
        }
    }
    check
}

fn in_force_in_time(evidence: &DemoEvidence) -> DemoCheck {
    let seen = polls_seen(evidence);
    let promise = "the change is in force within 3 s on every node that can be reached";
    let mut check = DemoCheck::new(promise, seen);
    for node in &evidence.polls {
        for violation in late_polls(node, evidence.change) {
            check.violations.push(violation);
        }
        let mut generations = node.polls.iter().filter_map(|poll| poll.generation);
        check.demand(
            generations.any(|got| got >= evidence.change.generation),
            || format!("{}: never seen to run it", node.node),
        );
    }
    check.demand(!evidence.polls.is_empty(), || {
        "no node was looked at".to_owned()
    });
    check
}

/// Looks that show an older text 3 s after the change, or after the node can be reached again.
fn late_polls(node: &NodePolls, change: TextChange) -> Vec<String> {
    let mut reachable_since = None;
    let mut late = Vec::new();
    for poll in &node.polls {
        let Some(generation) = poll.generation else {
            reachable_since = None;
            continue;
        };
        let since = *reachable_since.get_or_insert(poll.asked_at);
        let due = since.max(change.asked_at) + IN_FORCE_WITHIN;
        if poll.asked_at >= due && generation < change.generation {
            let at_ms = poll.asked_at.as_millis();
            late.push(format!("{}: runs {generation} at {at_ms} ms", node.node));
        }
    }
    late
}

fn streams_come_whole(evidence: &DemoEvidence) -> DemoCheck {
    let is_whole = |record: &&StreamRecord| record.outcome == Outcome::Whole;
    let whole = evidence.streams.iter().filter(is_whole).count();
    let all = evidence.streams.len();
    let seen = format!("{whole} of {all}");
    let mut check = DemoCheck::new("at least 90 % of the streams come whole", seen);
    check.demand(is_share(whole, all, WHOLE_PERCENT), || {
        format!("{whole} of {all}")
    });
    check
}

fn bookings_run(evidence: &DemoEvidence) -> DemoCheck {
    let did_run = |record: &&BookingRecord| evidence.ledgers.runs_of_key(&record.key) > 0;
    let ran = evidence.bookings.iter().filter(did_run).count();
    let all = evidence.bookings.len();
    let seen = format!("{ran} of {all}");
    let mut check = DemoCheck::new("at least half of the bookings run", seen);
    check.demand(is_share(ran, all, BOOKED_PERCENT), || {
        format!("{ran} of {all}")
    });
    check
}

fn is_share(part: usize, all: usize, percent: usize) -> bool {
    all > 0 && part * 100 >= all * percent
}

fn refusals_are_numbered(evidence: &DemoEvidence) -> DemoCheck {
    let seen = format!("{} refusals", evidence.refusals().count());
    let mut check = DemoCheck::new("every refusal has a number", seen);
    for refusal in evidence.refusals() {
        check.demand(refusal.is_numbered(), || {
            let (number, detail) = (refusal.number, &refusal.detail);
            format!("{}: number {number}: {detail}", refusal.request)
        });
    }
    check
}

fn pieces_seen(evidence: &DemoEvidence) -> String {
    let pieces: usize = evidence
        .streams
        .iter()
        .map(|record| record.pieces.len())
        .sum();
    format!("{pieces} pieces of {} streams", evidence.streams.len())
}

fn polls_seen(evidence: &DemoEvidence) -> String {
    let polls: usize = evidence.polls.iter().map(|node| node.polls.len()).sum();
    format!("{polls} looks at {} nodes", evidence.polls.len())
}
