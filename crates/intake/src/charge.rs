//! A part of what a connection holds.

use std::sync::Arc;

use crate::ConnectionAccount;

/// Bytes that a connection holds, such as a body, until this is dropped.
pub struct Charge {
    account: Arc<ConnectionAccount>,
    bytes: usize,
}

impl Charge {
    /// A charge of nothing yet.
    pub fn empty(account: &Arc<ConnectionAccount>) -> Self {
        Self {
            account: Arc::clone(account),
            bytes: 0,
        }
    }

    /// How many bytes are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Records `bytes` that are held already.
    pub fn add(&mut self, bytes: usize) {
        if bytes > 0 {
            self.account.charge(bytes);
            self.bytes += bytes;
        }
    }

    /// Waits for room for `bytes` more; false if there is none.
    pub async fn grow(&mut self, bytes: usize) -> bool {
        let is_granted = self.account.grow(bytes).await;
        if is_granted {
            self.bytes += bytes;
        }
        is_granted
    }

    /// Records that `bytes` are no longer held.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.account.release(bytes);
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.account.release(self.bytes);
    }
}
