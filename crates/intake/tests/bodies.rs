//! Bodies of requests, and what is held of them.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use nutmegsail_base::SystemClock;
use nutmegsail_intake::{
    BodyError, BodyLimits, ConnectionLimits, ConnectionUse, CurrentUse, Intake, IntakeObserver,
    LedgerLimits, ListenerKind, collect_body, discard_ready,
};
use rstest::rstest;
use tokio::time::sleep;

const LIMITS: BodyLimits = BodyLimits {
    bytes: 100_000,
    whole: Duration::from_secs(10),
    gap: Duration::from_secs(2),
};

#[derive(Default)]
struct Seen(Mutex<Vec<CurrentUse>>);

impl IntakeObserver for Seen {
    fn evicted(&self, _: ListenerKind, ended_use: CurrentUse, _: usize) {
        if let Ok(mut seen) = self.0.lock() {
            seen.push(ended_use);
        }
    }

    fn refused(&self, _: ListenerKind) {}

    fn turned_away(&self, _: ListenerKind) {}
}

fn intake(bytes: usize) -> (Intake, Arc<Seen>) {
    let limits = LedgerLimits {
        bytes,
        connections: ConnectionLimits::within(1_024),
    };
    let seen = Arc::<Seen>::default();
    let observer: Arc<dyn IntakeObserver> = seen.clone();
    (Intake::new(limits, Arc::new(SystemClock), observer), seen)
}

async fn connection(intake: &Intake) -> Arc<ConnectionUse> {
    let account = intake.admit(ListenerKind::Callers, 0).await;
    let connection = ConnectionUse::new(account.expect("room for a connection"));
    connection.record_read(1);
    connection.begin_request(true);
    Arc::new(connection)
}

/// A body of pieces, which stops instead of ending if `ends` is not set.
struct Pieces {
    left: usize,
    piece: usize,
    announced: Option<u64>,
    ends: bool,
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let next = self.piece.min(self.left);
        self.left -= next;
        match next {
            0 if self.ends => Poll::Ready(None),
            0 => Poll::Pending,
            // As the HTTP library does, a piece keeps the buffer into which it was read.
            _ => Poll::Ready(Some(Ok(Frame::data(
                Bytes::from(vec![b'x'; 8_192]).slice(..next),
            )))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.announced
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

fn pieces(bytes: usize, piece: usize) -> Pieces {
    Pieces {
        left: bytes,
        piece,
        announced: None,
        ends: true,
    }
}

// Guards against bodies whose copies or pieces are not counted, and against counts that outlast the body.
#[rstest]
#[case::small_pieces(pieces(50_000, 1))]
#[case::large_pieces(pieces(50_000, 8_000))]
#[case::announced(Pieces { announced: Some(50_000), ..pieces(50_000, 1_000) })]
#[tokio::test]
async fn a_body_is_held_until_its_last_clone_is_dropped(#[case] mut body: Pieces) {
    let (intake, _) = intake(1_000_000);
    let connection = connection(&intake).await;
    let before = intake.current_use().held_bytes;
    let held = || intake.current_use().held_bytes - before;
    let bytes = collect_body(&mut body, connection.account(), &LIMITS).await;
    let bytes = bytes.expect("a whole body");
    assert_eq!(bytes.len(), 50_000);
    assert_eq!(held(), 50_000);
    let part = bytes.slice(..10);
    drop(bytes);
    assert_eq!(held(), 50_000);
    drop(part);
    assert_eq!(held(), 0);
}

// Guards against bodies over the limit that are kept, and against refusals without a reason.
#[rstest]
#[case::announced(Pieces { announced: Some(100_001), ..pieces(0, 1) }, BodyError::TooLarge { limit_bytes: 100_000 })]
#[case::sent(pieces(100_001, 1_000), BodyError::TooLarge { limit_bytes: 100_000 })]
#[case::stalled(Pieces { ends: false, ..pieces(99_000, 1_000) }, BodyError::Stalled)]
#[tokio::test(start_paused = true)]
async fn nothing_is_held_of_a_body_that_is_refused(
    #[case] mut body: Pieces,
    #[case] reason: BodyError,
) {
    let (intake, _) = intake(1_000_000);
    let connection = connection(&intake).await;
    let before = intake.current_use().held_bytes;
    let read = collect_body(&mut body, connection.account(), &LIMITS).await;
    assert_eq!(read, Err(reason));
    assert_eq!(intake.current_use().held_bytes, before);
}

// Guards against a body that is awaited for ever while others wait for its room.
#[tokio::test]
async fn an_unfinished_body_gives_way_to_a_later_one() {
    let (intake, seen) = intake(300_000);
    let stalled = connection(&intake).await;
    let stalled_body = async {
        let mut body = Pieces {
            ends: false,
            ..pieces(100_000, 5_000)
        };
        collect_body(&mut body, stalled.account(), &LIMITS).await
    };
    let later = async {
        sleep(Duration::from_millis(20)).await;
        let connection = connection(&intake).await;
        collect_body(&mut pieces(100_000, 5_000), connection.account(), &LIMITS).await
    };
    let (stalled_read, later_read) = tokio::join!(stalled_body, later);
    assert_eq!(stalled_read, Err(BodyError::NoRoom));
    assert_eq!(later_read.map(|body| body.len()), Ok(100_000));
    let seen = seen.0.lock().map(|seen| seen.clone());
    assert_eq!(seen.ok(), Some(vec![CurrentUse::Unfinished]));
}

// Guards against callers who fill the node with answers that they do not read, or with requests behind the first.
#[tokio::test]
async fn callers_that_keep_an_answer_waiting_are_unfinished() {
    let (intake, seen) = intake(1_200_000);
    let (blocked, early) = (connection(&intake).await, connection(&intake).await);
    assert!(blocked.begin_answer() && early.begin_answer());
    let other = connection(&intake).await;
    let held = collect_body(&mut pieces(100_000, 5_000), other.account(), &LIMITS).await;
    assert!(other.begin_answer());
    blocked.set_write_blocked(true);
    early.record_early_bytes();
    assert!(!blocked.account().is_evicted() && !early.account().is_evicted());
    let third = connection(&intake).await;
    assert!(third.begin_answer());
    third.set_write_blocked(true);
    let ended = [&blocked, &early, &third].map(|connection| connection.account().is_evicted());
    assert!(ended.contains(&true), "{ended:?}");
    assert!(!other.account().is_evicted());
    assert!(held.is_ok());
    let seen = seen.0.lock().map(|seen| seen.len());
    assert!(seen.is_ok_and(|seen| seen > 0));
}

// Guards against a refusal that keeps its connection while a part of the body is still to come.
#[rstest]
#[case::all_there(pieces(1_000, 100), true)]
#[case::unfinished(Pieces { ends: false, ..pieces(1_000, 100) }, false)]
#[case::too_much(pieces(1_000_000, 8_000), false)]
fn a_body_is_discarded_only_if_all_of_it_is_there(#[case] mut body: Pieces, #[case] is_read: bool) {
    assert_eq!(discard_ready(&mut body), is_read);
}
