//! Splits a byte stream into complete events.

use thiserror::Error;

use crate::EventScanner;

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
/// events.begin_resumed();
/// let whole = events.push(b"id: 2\ndata: b\n\n").unwrap();
/// assert_eq!(whole, b"id: 2\ndata: b\n\n");
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    events: EventScanner,
    partial: Vec<u8>,
    last_id: Option<u64>,
    /// Whether an event without an id was forwarded after the one with `last_id`.
    has_unidentified: bool,
    /// Whether the stream was resumed and its first line has not ended.
    is_resumed: bool,
}

/// The longest event that is held back until it is complete. Events of engines have some hundred
/// bytes; an upstream that never ends one would fill the memory.
pub const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// The byte order mark that a stream may begin with.
const BYTE_ORDER_MARK: &[u8] = b"\xEF\xBB\xBF";

impl EventSplitter {
    /// A splitter for a stream that a caller resumes after the event `last_id`.
    ///
    /// ```
    /// use nutmegsail_relay::{EventOutOfOrder, EventSplitter};
    /// let mut events = EventSplitter::after(Some(7));
    /// assert_eq!(events.push(b"id: 7\ndata: a\n\n"), Err(EventOutOfOrder));
    /// ```
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Adds bytes and returns all events that are complete now.
    ///
    /// # Errors
    ///
    /// [`EventOutOfOrder`] if an id does not increase: the upstream did not resume the stream at
    /// the right event. The events of `bytes` are discarded then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventOutOfOrder> {
        let held = self.partial.len();
        self.partial.extend_from_slice(bytes);
        let (mut scanned, mut whole) = (0, 0);
        let forwarded = (self.last_id, self.has_unidentified);
        while let Some((length, event)) = self.events.next_event(&bytes[scanned..]) {
            scanned += length;
            whole = held + scanned;
            match event.id {
                Some(id) if self.last_id.is_some_and(|last| id <= last) => {
                    (self.last_id, self.has_unidentified) = forwarded;
                    return Err(EventOutOfOrder);
                }
                Some(id) => {
                    self.last_id = Some(id);
                    self.has_unidentified = false;
                }
                None => self.has_unidentified |= event.has_data,
            }
        }
        let rest = self.partial.split_off(whole);
        let mut events = std::mem::replace(&mut self.partial, rest);
        if !events.is_empty() && std::mem::take(&mut self.is_resumed) {
            drop_byte_order_mark(&mut events);
        }
        Ok(events)
    }

    /// The id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the bytes so far end inside an event.
    pub fn is_inside_event(&self) -> bool {
        self.events.is_inside_event()
    }

    /// Whether the incomplete event is longer than [`MAX_EVENT_BYTES`]. The stream then has to be
    /// broken off.
    ///
    /// ```
    /// use nutmegsail_relay::{EventSplitter, MAX_EVENT_BYTES};
    /// let mut events = EventSplitter::default();
    /// events.push(b"data: a").unwrap();
    /// assert!(!events.is_too_long());
    /// events.push(&vec![b'a'; MAX_EVENT_BYTES]).unwrap();
    /// assert!(events.is_too_long());
    /// ```
    pub fn is_too_long(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// The number of bytes that are held back.
    ///
    /// ```
    /// use nutmegsail_relay::EventSplitter;
    /// let mut events = EventSplitter::default();
    /// events.push(b"id: 1\ndata: a\n\nid: 2").unwrap();
    /// assert_eq!(events.held_bytes(), 5);
    /// ```
    pub fn held_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Whether the stream can be resumed. An event without an id would be sent again.
    ///
    /// ```
    /// use nutmegsail_relay::EventSplitter;
    /// let mut events = EventSplitter::default();
    /// events.push(b"id: 1\ndata: a\n\n").unwrap();
    /// assert!(events.can_resume());
    /// events.push(b"data: b\n\n").unwrap();
    /// assert!(!events.can_resume());
    /// ```
    pub fn can_resume(&self) -> bool {
        !self.has_unidentified
    }

    /// Discards an incomplete event whose remainder will not arrive, as another upstream resumes the
    /// stream.
    pub fn begin_resumed(&mut self) {
        self.partial = Vec::new();
        self.events = EventScanner::default();
        self.is_resumed = true;
    }

    /// Takes the bytes after the last complete event, when the stream ended normally.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }
}

/// Removes the mark that only the beginning of a whole stream may have.
fn drop_byte_order_mark(events: &mut Vec<u8>) {
    if events.starts_with(BYTE_ORDER_MARK) {
        events.drain(..BYTE_ORDER_MARK.len());
    }
}
