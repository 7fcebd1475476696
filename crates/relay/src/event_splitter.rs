//! Splits a byte stream into complete events.

use thiserror::Error;

/// Error for an event whose id does not follow the previous one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("event id does not increase")]
pub struct EventOutOfOrder;

/// Forwards complete events and keeps track of the last event id.
///
/// An upstream may fail in the middle of an event. If the incomplete event were forwarded, the one
/// sent by the upstream that resumes the stream would be appended to it, and the caller would
/// receive a corrupt event. Bytes after the last complete event are therefore held back.
///
/// ```
/// use nutmegsail_relay::EventSplitter;
/// let mut events = EventSplitter::default();
/// let whole = events.push(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
/// assert_eq!(whole, b"id: 1\ndata: a\n\n");
/// assert_eq!(events.last_id(), Some(1));
/// events.drop_partial();
/// let whole = events.push(b"id: 2\ndata: b\n\n").unwrap();
/// assert_eq!(whole, b"id: 2\ndata: b\n\n");
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<u64>,
}

/// Terminator of an event.
const END: &[u8] = b"\n\n";

impl EventSplitter {
    /// Adds bytes and returns all events that are complete now.
    ///
    /// # Errors
    ///
    /// [`EventOutOfOrder`] if an id does not increase: the upstream did not resume the stream at
    /// the right event.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventOutOfOrder> {
        self.partial.extend_from_slice(bytes);
        let mut ends = self.partial.windows(END.len());
        let Some(last_end) = ends.rposition(|window| window == END) else {
            return Ok(Vec::new());
        };
        let rest = self.partial.split_off(last_end + END.len());
        let whole = std::mem::replace(&mut self.partial, rest);
        for id in whole.split(|byte| *byte == b'\n').filter_map(id_of) {
            if self.last_id.is_some_and(|last| id <= last) {
                return Err(EventOutOfOrder);
            }
            self.last_id = Some(id);
        }
        Ok(whole)
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Discards an incomplete event whose remainder will not arrive.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Takes the bytes after the last complete event, when the stream ended normally.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }
}

/// Parses the event id from a line.
fn id_of(line: &[u8]) -> Option<u64> {
    let id = line.strip_prefix(b"id:")?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
