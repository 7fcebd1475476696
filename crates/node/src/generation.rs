//! One generation: wait for an engine, pin the adapter, send, and pass the answer on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use futures_util::stream::{self, BoxStream, StreamExt};
use nutmegsail_base::{AdapterRef, Class, Clock, ResultCode, RunState, UpstreamId};
use nutmegsail_front::{Answer, Generate};
use nutmegsail_request::{AnswerHandle, Answering, Refusal, Request};
use nutmegsail_routing::{Arrival, Outcome};
use nutmegsail_telemetry::Hop;
use nutmegsail_upstream::{Engine, EngineRequest, EngineStream, StreamEvent, UpstreamError};
use tokio::time::timeout;
use xtra::Address;

use crate::attempt::{Attempt, deadline};
use crate::dispatcher::{Dispatcher, Verdict};
use crate::loader::Loader;
use crate::measures::{Hops, Measures};
use crate::pending::Pending;
use crate::pin_hold::PinHold;
use crate::run_hold::RunHold;

/// What a generation needs of its node.
#[derive(Clone)]
pub(crate) struct Generations {
    /// The router's actor.
    pub(crate) dispatcher: Address<Dispatcher>,
    /// The loader.
    pub(crate) loader: Address<Loader>,
    /// The engines.
    pub(crate) engines: Arc<dyn Engine>,
    /// The clock.
    pub(crate) clock: Arc<dyn Clock>,
    /// Where measurements and spans go.
    pub(crate) measures: Measures,
}

/// What is asked of an engine.
struct Ask<'a> {
    generate: &'a Generate,
    upstream: &'a UpstreamId,
    class: Class,
    until: Instant,
}

/// One try at an engine.
enum Tried {
    /// The answer begins.
    Began {
        stream: EngineStream,
        request: Request<Answering>,
        pin: PinHold,
    },
    /// There is none; the router says what comes next.
    Failed { pending: Pending, outcome: Outcome },
}

impl Generations {
    /// Answers `generate` on exactly the adapter and version it names.
    pub(crate) async fn generate(&self, generate: Generate) -> Result<Answer, Refusal> {
        let until = deadline(&self.clock, generate.deadline);
        let request = Request::accept(generate.request.clone()).queue();
        let (hops, now) = (self.hops(&generate), self.clock.now());
        let arrival = arrival(&generate, until);
        let mut attempt = Attempt::admit(&self.dispatcher, arrival, hops, now).await;
        let mut pending = Pending::Clean(request);
        loop {
            let (upstream, class) = match self.next_verdict(&mut attempt, until).await {
                Some(Verdict::Send { upstream, class }) => (upstream, class),
                Some(Verdict::Cancel) => continue,
                Some(Verdict::Refuse { code, retry_after }) => {
                    let refusal = pending.refuse(code, code.text());
                    return Err(refusal.with_retry_after(retry_after));
                }
                Some(Verdict::GiveUp { code }) => return Err(pending.refuse(code, code.text())),
                None => {
                    let detail = "the deadline passed before the answer began";
                    return Err(pending.refuse(ResultCode::DeadlineUnreachable, detail));
                }
            };
            let ask = Ask {
                generate: &generate,
                upstream: &upstream,
                class,
                until,
            };
            match self.try_at(&mut attempt, &ask, pending).await {
                Tried::Began {
                    stream,
                    request,
                    pin,
                } => {
                    attempt.first_byte().await;
                    return Ok(self.answer(
                        &generate.adapter,
                        stream,
                        request,
                        pin,
                        attempt,
                        until,
                    ));
                }
                Tried::Failed {
                    pending: left,
                    outcome,
                } => {
                    pending = left;
                    attempt.failed(outcome, self.clock.now()).await;
                }
            }
        }
    }

    /// Goes on with an answer at the engine that holds it.
    pub(crate) async fn resume(&self, handle: AnswerHandle, after: u64) -> Result<Answer, Refusal> {
        let AnswerHandle {
            request,
            adapter,
            upstream,
            incarnation,
        } = handle;
        let resumed = self
            .engines
            .resume(&upstream, incarnation, &request, after)
            .await;
        let stream = resumed.map_err(|error| {
            // The run itself is known to have begun, so nothing here says "not run".
            Refusal::ran(ResultCode::UnknownAnswer, error.to_string())
        })?;
        let engines = Arc::clone(&self.engines);
        let (id, attachment) = (request.clone(), stream.attachment);
        let run = RunHold::new(engines, upstream.clone(), id, attachment);
        let request = Request::resume(request, upstream, incarnation, after);
        let handle = handle_of(&adapter, &request);
        let rest = Rest {
            stream,
            request: Some(request),
            held: Held::Run(run),
            attempt: None,
            until: None,
        };
        Ok(Answer {
            handle,
            adapter,
            events: self.events(rest),
        })
    }

    fn hops(&self, generate: &Generate) -> Hops {
        Hops {
            measures: self.measures.clone(),
            traceparent: generate.traceparent.clone(),
            service: generate.service.clone(),
            class: generate.class,
        }
    }

    /// Waits until the adapter may be used on the engine.
    async fn pin(&self, ask: &Ask<'_>) -> Option<PinHold> {
        let _span = self.hops(ask.generate).span(Hop::Dispatch);
        let began = self.clock.now();
        let adapter = &ask.generate.adapter;
        let pin = PinHold::take(&self.loader, ask.upstream, adapter, ask.class).await;
        let waited = self.clock.now().saturating_duration_since(began);
        self.measures.metrics.load_stall(ask.class, waited);
        pin
    }

    async fn next_verdict(&self, attempt: &mut Attempt, until: Instant) -> Option<Verdict> {
        let left = until.saturating_duration_since(self.clock.now());
        timeout(left, attempt.verdict(&*self.clock))
            .await
            .ok()
            .flatten()
    }

    async fn try_at(&self, attempt: &mut Attempt, ask: &Ask<'_>, pending: Pending) -> Tried {
        let Ask {
            generate,
            upstream,
            class,
            until,
        } = *ask;
        let pin = self.pin(ask).await;
        let Some(mut pin) = pin else {
            return Tried::Failed {
                pending,
                outcome: Outcome::AdapterAbsent,
            };
        };
        let request = pending.dispatch(upstream.clone());
        let left = until.saturating_duration_since(self.clock.now());
        let engines = Arc::clone(&self.engines);
        let id = generate.request.clone();
        let attachment = attempt.next_attachment(upstream);
        pin.runs(RunHold::new(engines, upstream.clone(), id, attachment));
        let started = self
            .engines
            .start(upstream, engine_request(generate, class, left));
        let (error, outcome) = tokio::select! {
            started = timeout(left, started) => match started {
                Ok(Ok(stream)) => {
                    if let Some(run) = pin.run_mut() {
                        run.attached(stream.attachment);
                    }
                    let request = request.answer(stream.incarnation);
                    return Tried::Began { stream, request, pin };
                }
                Ok(Err(error)) => { let outcome = outcome_of(&error); (error, outcome) }
                Err(_) => (UpstreamError::Broken, Outcome::Failed),
            },
            () = attempt.cancelled() => (UpstreamError::Broken, Outcome::Cancelled),
        };
        if error.run_state() == RunState::NotRun {
            pin.leave_run();
        }
        if outcome == Outcome::Cancelled {
            // The router sends an urgent request into the slot as soon as it hears of the end, and
            // this request anew later: a cancellation still under way would meet its second run.
            pin.end_run().await;
        }
        let pending = Pending::from(request.failed(&error));
        Tried::Failed { pending, outcome }
    }

    fn answer(
        &self,
        adapter: &AdapterRef,
        stream: EngineStream,
        request: Request<Answering>,
        pin: PinHold,
        attempt: Attempt,
        until: Instant,
    ) -> Answer {
        let handle = handle_of(adapter, &request);
        let rest = Rest {
            stream,
            request: Some(request),
            held: Held::Pin(pin),
            attempt: Some(attempt),
            until: Some(until),
        };
        Answer {
            handle,
            adapter: adapter.clone(),
            events: self.events(rest),
        }
    }

    /// Events are pulled by the caller's socket, so a slow reader holds the engine's stream back and
    /// nothing piles up here.
    fn events(&self, rest: Rest) -> BoxStream<'static, Result<StreamEvent, Refusal>> {
        let clock = Arc::clone(&self.clock);
        stream::unfold(rest, move |mut rest| {
            let clock = Arc::clone(&clock);
            async move {
                rest.request.as_ref()?;
                let event = rest.next(&*clock).await;
                Some((event, rest))
            }
        })
        .boxed()
    }
}

/// What is left of an answer under way.
struct Rest {
    stream: EngineStream,
    request: Option<Request<Answering>>,
    held: Held,
    attempt: Option<Attempt>,
    until: Option<Instant>,
}

/// What ends the run at the engine when the caller goes away.
enum Held {
    /// The pin that the request was sent under.
    Pin(PinHold),
    /// A resumed run has no pin; the engine's report shows it, and nothing that runs is evicted.
    Run(RunHold),
    /// The answer is over here.
    Nothing,
}

impl Rest {
    async fn next(&mut self, clock: &dyn Clock) -> Result<StreamEvent, Refusal> {
        let left = self
            .until
            .map(|until| until.saturating_duration_since(clock.now()));
        let next = self.stream.events.next();
        let event = match timeout(left.unwrap_or(Duration::MAX), next).await {
            Ok(Some(Ok(event))) => event,
            Ok(Some(Err(error))) => {
                self.leave_run();
                return Err(self.cut(ResultCode::AnswerCut, &error.to_string()).await);
            }
            Ok(None) => {
                self.leave_run();
                return Err(self
                    .cut(ResultCode::AnswerCut, "the engine ended without an end")
                    .await);
            }
            Err(_) => {
                let detail = "the deadline passed while the engine was answering";
                return Err(self.cut(ResultCode::DeadlinePassed, detail).await);
            }
        };
        match &event {
            StreamEvent::Piece { id, .. } => {
                let request = self.request.as_mut().ok_or_else(after_the_end)?;
                if let Err(fault) = request.piece(*id) {
                    return Err(self.cut(fault.code(), &fault.to_string()).await);
                }
            }
            StreamEvent::End(end) => {
                let request = self.request.take().ok_or_else(after_the_end)?;
                if request.end(end.count).is_err() {
                    self.finish(Outcome::Failed).await;
                    let detail = "the engine's count differs from the pieces it sent";
                    return Err(Refusal::ran(ResultCode::AnswerCut, detail));
                }
                self.leave_run();
                self.finish(Outcome::Succeeded).await;
            }
        }
        Ok(event)
    }

    fn leave_run(&mut self) {
        match std::mem::replace(&mut self.held, Held::Nothing) {
            Held::Pin(mut pin) => pin.leave_run(),
            Held::Run(run) => run.leave(),
            Held::Nothing => {}
        }
    }

    async fn cut(&mut self, code: ResultCode, detail: &str) -> Refusal {
        self.request = None;
        self.finish(Outcome::Failed).await;
        Refusal::ran(code, detail)
    }

    async fn finish(&mut self, outcome: Outcome) {
        self.held = Held::Nothing;
        if let Some(attempt) = self.attempt.take() {
            attempt.end(outcome).await;
        }
    }
}

fn after_the_end() -> Refusal {
    Refusal::ran(ResultCode::Internal, "the answer went on after its end")
}

fn handle_of(adapter: &AdapterRef, request: &Request<Answering>) -> AnswerHandle {
    AnswerHandle {
        request: request.id().clone(),
        adapter: adapter.clone(),
        upstream: request.upstream().clone(),
        incarnation: request.incarnation(),
    }
}

fn arrival(generate: &Generate, until: Instant) -> Arrival {
    Arrival {
        request: generate.request.clone(),
        caller: generate.caller.clone(),
        service: generate.service.clone(),
        adapter: Some(generate.adapter.clone()),
        class: generate.class,
        deadline: until,
        target: generate.target,
        prefix: generate.prefix,
        // Before its first byte a generation may run again elsewhere: nobody has seen any of it.
        idempotent: true,
    }
}

fn engine_request(generate: &Generate, class: Class, deadline: Duration) -> EngineRequest {
    EngineRequest {
        request: generate.request.clone(),
        adapter: generate.adapter.clone(),
        class,
        deadline,
        body: generate.body.clone(),
        path: generate.path,
        traceparent: generate.traceparent.clone(),
    }
}

/// What the router learns from an upstream's failure.
pub(crate) fn outcome_of(error: &UpstreamError) -> Outcome {
    match error {
        UpstreamError::AdapterAbsent(_) => Outcome::AdapterAbsent,
        UpstreamError::Unreachable | UpstreamError::Full | UpstreamError::Leaving => {
            Outcome::RefusedByUpstream
        }
        UpstreamError::WrongAdapter { .. }
        | UpstreamError::Broken
        | UpstreamError::Failed { .. }
        | UpstreamError::Malformed(_) => Outcome::Failed,
    }
}
