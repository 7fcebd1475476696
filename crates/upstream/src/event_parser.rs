//! The server-sent events of an engine's answer, read incrementally.

use bytes::{Bytes, BytesMut};

use crate::{AnswerEnd, StreamEvent, UpstreamError};

/// The largest event, in bytes.
const EVENT_LIMIT_BYTES: usize = 1_000_000;

/// Reads events from bytes that arrive in pieces of any size.
///
/// Ids must follow each other and the end must count them: an engine or something before it that
/// drops or repeats events would otherwise show as an answer with a hole that nobody notices.
/// What is read does not depend on how the bytes were split.
///
/// ```
/// use nutmegsail_upstream::{EventParser, StreamEvent};
///
/// let mut parser = EventParser::after(0);
/// parser.push(b"id: 1\ndata: {\"te");
/// assert_eq!(parser.next_event()?, None);
/// parser.push(b"xt\":\"a\"}\n\nevent: end\ndata: {\"count\":1,\"reason\":\"stop\"}\n\n");
/// assert!(matches!(parser.next_event()?, Some(StreamEvent::Piece { id: 1, .. })));
/// assert!(matches!(parser.next_event()?, Some(StreamEvent::End(_))));
/// # Ok::<(), nutmegsail_upstream::UpstreamError>(())
/// ```
#[derive(Debug)]
pub struct EventParser {
    buffer: BytesMut,
    /// Where the line being read begins in `buffer`.
    line_start: usize,
    /// How much of `buffer` holds no further line end.
    scanned: usize,
    last_id: u64,
    has_ended: bool,
}

/// The fields of one event.
#[derive(Default)]
struct Fields<'a> {
    id: Option<&'a str>,
    event: Option<&'a str>,
    data: Option<&'a str>,
}

impl EventParser {
    /// A parser for an answer that goes on after the event `last_id`; 0 for a new answer.
    pub fn after(last_id: u64) -> Self {
        Self {
            buffer: BytesMut::new(),
            line_start: 0,
            scanned: 0,
            last_id,
            has_ended: false,
        }
    }

    /// Whether the end event was read.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Adds bytes as they arrived. Call [`next_event`](Self::next_event) until it returns `None`
    /// before the next push, so that nothing but one unfinished event is held.
    pub fn push(&mut self, bytes: &[u8]) {
        if !self.has_ended {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// The next whole event, or `None` if more bytes are needed or the answer has ended.
    ///
    /// # Errors
    ///
    /// [`UpstreamError::Malformed`] if the bytes are not the events of one answer in order, or an
    /// event is over 1 MB. Nothing after that can be read.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, UpstreamError> {
        while !self.has_ended {
            let Some(block) = self.next_block()? else {
                return Ok(None);
            };
            if let Some(event) = self.read(&block)? {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    /// The lines up to the next empty line.
    fn next_block(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        while let Some(at) = self.buffer[self.scanned..].iter().position(|b| *b == b'\n') {
            let line_end = self.scanned + at;
            let is_empty = matches!(&self.buffer[self.line_start..line_end], b"" | b"\r");
            self.scanned = line_end + 1;
            if is_empty {
                let mut block = self.buffer.split_to(line_end + 1);
                block.truncate(self.line_start);
                self.line_start = 0;
                self.scanned = 0;
                return Ok(Some(block.freeze()));
            }
            self.line_start = self.scanned;
            if self.line_start > EVENT_LIMIT_BYTES {
                return Err(too_large());
            }
        }
        self.scanned = self.buffer.len();
        // One byte over the limit may still be the carriage return of the empty line.
        if self.buffer.len() > EVENT_LIMIT_BYTES + 1 {
            return Err(too_large());
        }
        Ok(None)
    }

    fn read(&mut self, block: &Bytes) -> Result<Option<StreamEvent>, UpstreamError> {
        let text = std::str::from_utf8(block).map_err(|_| malformed("an event is not UTF-8"))?;
        let fields = Fields::read(text)?;
        let Some(data) = fields.data else {
            return Ok(None);
        };
        match fields.event {
            None | Some("message") => self.piece(fields.id, block.slice_ref(data.as_bytes())),
            Some("end") => self.end(data),
            Some(_) => Err(malformed("an event has an unknown name")),
        }
        .map(Some)
    }

    fn piece(&mut self, id: Option<&str>, json: Bytes) -> Result<StreamEvent, UpstreamError> {
        let id: u64 = id
            .and_then(|id| id.parse().ok())
            .ok_or_else(|| malformed("an event has no number as its id"))?;
        if self.last_id.checked_add(1) != Some(id) {
            let last_id = self.last_id;
            return Err(malformed(format!("event {id} came after event {last_id}")));
        }
        self.last_id = id;
        Ok(StreamEvent::Piece { id, json })
    }

    fn end(&mut self, data: &str) -> Result<StreamEvent, UpstreamError> {
        let end: AnswerEnd = serde_json::from_str(data)
            .map_err(|error| malformed(format!("the end event cannot be read: {error}")))?;
        if end.count != self.last_id {
            let (count, last_id) = (end.count, self.last_id);
            return Err(malformed(format!(
                "the end counts {count} events, but {last_id} came"
            )));
        }
        self.has_ended = true;
        self.buffer.clear();
        Ok(StreamEvent::End(end))
    }
}

impl<'a> Fields<'a> {
    fn read(block: &'a str) -> Result<Self, UpstreamError> {
        let mut fields = Self::default();
        for line in block.lines() {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match name {
                "id" => fields.id = Some(value),
                "event" => fields.event = Some(value),
                "data" if fields.data.is_some() => {
                    return Err(malformed("an event has more than one line of data"));
                }
                "data" => fields.data = Some(value),
                // Comments, which keep a connection alive, and fields that say nothing here.
                _ => {}
            }
        }
        Ok(fields)
    }
}

fn malformed(why: impl Into<String>) -> UpstreamError {
    UpstreamError::Malformed(why.into())
}

fn too_large() -> UpstreamError {
    malformed("an event is over 1 MB")
}
