//! What one connection holds.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::intake::Shared;
use crate::{AccountId, CurrentUse};

/// What one connection and its request hold. All of it is released when this is dropped.
pub struct ConnectionAccount {
    shared: Arc<Shared>,
    id: AccountId,
    evicted: CancellationToken,
}

impl ConnectionAccount {
    pub(crate) fn new(shared: Arc<Shared>, id: AccountId, evicted: CancellationToken) -> Self {
        Self {
            shared,
            id,
            evicted,
        }
    }

    /// Records what the connection is used for from now on.
    pub fn set_use(&self, new_use: CurrentUse) {
        self.shared.set_use(self.id, new_use);
    }

    /// Completes when the connection has to end, so that others have room.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }

    /// Whether the connection has to end.
    pub fn is_evicted(&self) -> bool {
        self.shared.is_evicted(self.id)
    }

    pub(crate) fn charge(&self, bytes: usize) {
        self.shared.charge(self.id, bytes);
    }

    /// Waits for room for `bytes` more; false if there is none, or the connection has to end.
    pub(crate) async fn grow(&self, bytes: usize) -> bool {
        tokio::select! {
            is_granted = self.shared.grow(self.id, bytes) => is_granted,
            () = self.evicted.cancelled() => false,
        }
    }

    pub(crate) fn release(&self, bytes: usize) {
        self.shared.release(self.id, bytes);
    }
}

impl Drop for ConnectionAccount {
    fn drop(&mut self) {
        self.shared.close(self.id);
    }
}
