//! Whatever a server does with its connections, no request arrives twice.

mod scripted_server;

use std::cell::RefCell;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use nutmegsail_http_pool::{Pool, PoolSettings, SendError};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use scripted_server::{ScriptedServer, Turn, answer};

/// What the server does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    CloseAfterAnswer,
    CloseUnanswered,
    CutHead,
    CutBody,
}

impl Fault {
    fn turn(self) -> Turn {
        let whole = answer(200, "", "ok");
        match self {
            Self::None => Turn::Answer(whole),
            Self::CloseAfterAnswer => Turn::AnswerAndClose(whole),
            Self::CloseUnanswered => Turn::AnswerAndClose(Vec::new()),
            Self::CutHead => Turn::AnswerAndClose(whole[..9].to_vec()),
            Self::CutBody => Turn::AnswerAndClose(whole[..whole.len() - 1].to_vec()),
        }
    }
}

/// A request and how long the client pauses before it, in turns of the scheduler.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Step {
    fault: Fault,
    turns_before: usize,
}

fn step() -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        4 => Just(Fault::None),
        4 => Just(Fault::CloseAfterAnswer),
        2 => Just(Fault::CloseUnanswered),
        1 => Just(Fault::CutHead),
        1 => Just(Fault::CutBody),
    ];
    (fault, 0..6_usize).prop_map(|(fault, turns_before)| Step {
        fault,
        turns_before,
    })
}

/// How often each request arrived, and what the client was told of it.
struct Outcome {
    arrived: usize,
    told: Result<(), SendError>,
}

async fn play(steps: &[Step]) -> Vec<Outcome> {
    let server = ScriptedServer::start(steps.iter().map(|step| step.fault.turn())).await;
    let pool = Pool::new(PoolSettings::default());
    let mut told = Vec::new();
    for (number, step) in steps.iter().enumerate() {
        for _ in 0..step.turns_before {
            tokio::task::yield_now().await;
        }
        let request = Request::post(format!("/{number}")).body(Full::new(Bytes::from("x")));
        let request = request.expect("a request");
        told.push(match pool.send(&server.address, request).await {
            Ok(answer) => answer.into_body().collect().await.map(|_| ()),
            Err(error) => Err(error),
        });
    }
    let seen = server.seen();
    let arrived = |number: usize| {
        let line = format!("POST /{number}");
        seen.iter().filter(|request| request.line() == line).count()
    };
    let outcomes = told.into_iter().enumerate();
    outcomes
        .map(|(number, told)| Outcome {
            arrived: arrived(number),
            told,
        })
        .collect()
}

/// A service closes and cuts connections while a clerk confirms one booking after the other. Each
/// confirmation arrives at most once, one that is reported as not sent never does, and one that is
/// answered did arrive.
#[test]
fn no_request_arrives_twice() {
    let mut runner = TestRunner::new(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let counts = RefCell::new((0, 0));
    let steps = proptest::collection::vec(step(), 1..12);
    let verdict = runner.run(&steps, |steps| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let outcomes = runtime.expect("a runtime").block_on(play(&steps));
        for (number, outcome) in outcomes.iter().enumerate() {
            let allowed = match outcome.told {
                Ok(()) => 1..=1,
                Err(SendError::NotSent(_) | SendError::AtLimit) => 0..=0,
                Err(SendError::Broken) => 0..=1,
                Err(SendError::Malformed(_)) => 1..=1,
            };
            prop_assert!(
                allowed.contains(&outcome.arrived),
                "request {number} arrived {} times, told {:?}",
                outcome.arrived,
                outcome.told
            );
            let (sent, answered) = &mut *counts.borrow_mut();
            *sent += 1;
            *answered += usize::from(outcome.told.is_ok());
        }
        Ok(())
    });
    assert_eq!(verdict, Ok(()));
    let (sent, answered) = counts.into_inner();
    println!("{answered} of {sent} requests were answered");
    // "Nothing was ever sent" can't pass.
    assert!(answered * 4 > sent, "{answered} of {sent} answered");
}
