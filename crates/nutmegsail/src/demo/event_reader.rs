//! Reads server-sent events as a caller's library would, without judging them.

/// One event of a streamed answer, as it was sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SentEvent {
    /// Its name; empty for a piece.
    pub name: String,
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its data.
    pub data: String,
}

/// Reads events from bytes that arrive in pieces of any size.
///
/// The node's own reader of engines' events refuses what is out of order. This one takes everything
/// down, so that the checks see what a caller saw.
///
/// ```
/// let mut reader = nutmegsail::EventReader::default();
/// assert!(reader.push(b"id: 1\ndata: a").is_empty());
/// let events = reader.push(b"b\n\n");
/// assert_eq!((events[0].id, events[0].data.as_str()), (Some(1), "ab"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    line: Vec<u8>,
    event: SentEvent,
}

impl EventReader {
    /// Adds bytes and returns the events that they complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<SentEvent> {
        let mut events = Vec::new();
        for byte in bytes {
            if *byte == b'\n' {
                events.extend(self.take_line());
            } else {
                self.line.push(*byte);
            }
        }
        events
    }

    fn take_line(&mut self) -> Option<SentEvent> {
        let line = std::mem::take(&mut self.line);
        let line = String::from_utf8_lossy(&line);
        if line.is_empty() {
            let event = std::mem::take(&mut self.event);
            return (event != SentEvent::default()).then_some(event);
        }
        match line.split_once(": ") {
            Some(("id", id)) => self.event.id = id.parse().ok(),
            Some(("event", name)) => name.clone_into(&mut self.event.name),
            Some(("data", data)) => self.event.data.push_str(data),
            _ => {}
        }
        None
    }
}
