//! The keeper's calls to the key-value service.

use std::time::Duration;

use nutmegsail_config::{Digest, FetchError, Head, Piece, SpreadEvent, StoredHead, TextStore};
use nutmegsail_store::Revision;
use nutmegsail_telemetry::{Event, log_event};
use slog::Logger;
use xtra::Address;

use crate::text_keeper::{TextKeeper, TextTold};

/// How long the watch rests after the key-value service failed.
const STORE_PAUSE: Duration = Duration::from_millis(500);

/// Follows the head at the key-value service until the keeper is gone.
pub(crate) async fn follow(
    store: TextStore,
    wait: Duration,
    keeper: Address<TextKeeper>,
    log: Logger,
) {
    let mut is_up = false;
    while keeper.is_connected() {
        match follow_once(&store, wait, &keeper, &mut is_up, &log).await {
            Ok(()) => {}
            Err(error) => {
                if std::mem::replace(&mut is_up, false) {
                    log_event!(log, Event::PlatformUnavailable, "error" => error.to_string());
                    tell(&keeper, SpreadEvent::StoreDown).await;
                }
                tokio::time::sleep(STORE_PAUSE).await;
            }
        }
    }
}

async fn follow_once(
    store: &TextStore,
    wait: Duration,
    keeper: &Address<TextKeeper>,
    is_up: &mut bool,
    log: &Logger,
) -> Result<(), FetchError> {
    let stored = store.read_head().await?;
    if !std::mem::replace(is_up, true) {
        log_event!(log, Event::PlatformReturned);
        tell(keeper, SpreadEvent::StoreUp).await;
    }
    let mut seen = stored
        .as_ref()
        .map_or(Revision::default(), |stored| stored.revision);
    tell(keeper, SpreadEvent::StoreHead(stored)).await;
    loop {
        let (head, revision) = store.watch_head(seen, wait).await?;
        if !keeper.is_connected() {
            return Ok(());
        }
        seen = revision;
        if head.is_some() {
            tell(keeper, SpreadEvent::StoreHead(head)).await;
        }
    }
}

/// Reads pieces of a text. One that is missing is asked for again by the spread.
pub(crate) async fn fetch_pieces(
    store: TextStore,
    digests: Vec<Digest>,
    keeper: Address<TextKeeper>,
) {
    let Ok(pieces) = store.read_pieces(&digests).await else {
        return;
    };
    for piece in pieces {
        tell(&keeper, SpreadEvent::PieceArrived(piece.text)).await;
    }
}

/// Puts a newer head back and tells the keeper what the key-value service then holds.
pub(crate) async fn restore(
    store: TextStore,
    found: Option<StoredHead>,
    head: Head,
    pieces: Vec<Piece>,
    keeper: Address<TextKeeper>,
) {
    // A swap that fails is made again by the spread, after it has seen the head anew.
    let _ = store.put_head(found.as_ref(), &head, &pieces).await;
    read_head(store, keeper).await;
}

/// Reads the head once, beside the watch.
pub(crate) async fn read_head(store: TextStore, keeper: Address<TextKeeper>) {
    if let Ok(stored) = store.read_head().await {
        tell(&keeper, SpreadEvent::StoreHead(stored)).await;
    }
}

async fn tell(keeper: &Address<TextKeeper>, event: SpreadEvent) {
    let _ = keeper.send(TextTold(event)).detach().await;
}
