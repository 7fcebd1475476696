//! Splits a stream of events into whole ones.

use thiserror::Error;

/// An event that does not follow the one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("an event's id is not above the one before")]
pub struct EventOutOfOrder;

/// Passes on whole events and remembers the id of the last one.
///
/// An upstream may break off in the middle of an event. Passed on, the half event would be followed by
/// the whole one from the upstream that goes on, and the caller reads garbage. So the bytes after the
/// last whole event are held back.
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

/// What ends an event.
const END: &[u8] = b"\n\n";

impl EventSplitter {
    /// Takes in bytes and returns the whole events that are there now.
    ///
    /// # Errors
    ///
    /// [`EventOutOfOrder`] if an event comes twice: the upstream did not go on where it should.
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

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Forgets the beginning of an event that will not be finished.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// What is left after the last whole event, at the stream's proper end.
    pub fn take_rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }
}

/// The id that a line gives its event.
fn id_of(line: &[u8]) -> Option<u64> {
    let id = line.strip_prefix(b"id:")?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
