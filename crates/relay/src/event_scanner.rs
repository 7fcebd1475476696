//! Finds the boundaries of events in a byte stream.

/// Longest start of a line that is kept: a field's name and a numeric id.
const KEPT_LINE_BYTES: usize = 48;

/// The byte order mark that a stream may begin with.
const BYTE_ORDER_MARK: &[u8] = b"\xEF\xBB\xBF";

/// What a stream's bytes up to a boundary contained.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScannedEvent {
    /// The value of the last `id` field, if it is a number.
    pub id: Option<u64>,
    /// Whether there was a `data` field. Without one, callers see no event.
    pub has_data: bool,
}

/// Follows the lines of a `text/event-stream` body, which may end in LF, CR or CR LF.
///
/// ```
/// use nutmegsail_relay::EventScanner;
/// let mut events = EventScanner::default();
/// let (length, event) = events.next_event(b"id: 1\r\ndata: a\r\n\r\nid: 2\r\nda").unwrap();
/// assert_eq!((length, event.id), (18, Some(1)));
/// assert!(events.next_event(b"id: 2\r\nda").is_none());
/// assert!(events.is_inside_event());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventScanner {
    /// The start of the current line.
    line: Vec<u8>,
    /// Whether the last byte was a CR, so that an LF that follows ends no other line.
    is_after_cr: bool,
    /// Whether a line has ended.
    has_lines: bool,
    /// Whether the current event has a field.
    has_fields: bool,
    event: ScannedEvent,
}

impl EventScanner {
    /// Reads on until the next boundary between events, and returns the number of bytes up to it.
    /// `None` if `bytes` end before; all of them are read then.
    ///
    /// An empty line outside an event, and a line that belongs to none, end at a boundary too.
    pub fn next_event(&mut self, bytes: &[u8]) -> Option<(usize, ScannedEvent)> {
        let mut length = 0;
        while length < bytes.len() {
            let rest = &bytes[length..];
            if std::mem::take(&mut self.is_after_cr) && rest[0] == b'\n' {
                length += 1;
                if self.is_at_boundary() {
                    return Some((length, ScannedEvent::default()));
                }
                continue;
            }
            let Some(end) = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r')) else {
                self.keep(rest);
                return None;
            };
            self.keep(&rest[..end]);
            self.is_after_cr = rest[end] == b'\r';
            length += end + 1;
            if self.is_after_cr && bytes.get(length) == Some(&b'\n') {
                self.is_after_cr = false;
                length += 1;
            }
            if let Some(event) = self.end_line() {
                return Some((length, event));
            }
        }
        None
    }

    /// Whether the bytes that were read end inside an event.
    ///
    /// A comment belongs to no event, also if its line has not ended.
    pub fn is_inside_event(&self) -> bool {
        let line = without_mark(&self.line, !self.has_lines);
        let is_comment = line.first() == Some(&b':');
        self.has_fields || !(line.is_empty() || is_comment)
    }

    fn is_at_boundary(&self) -> bool {
        !self.has_fields && self.line.is_empty()
    }

    fn keep(&mut self, bytes: &[u8]) {
        let free = KEPT_LINE_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&bytes[..bytes.len().min(free)]);
    }

    /// Ends the current line; returns the event if it ends there.
    fn end_line(&mut self) -> Option<ScannedEvent> {
        let is_first = !std::mem::replace(&mut self.has_lines, true);
        let line = without_mark(&self.line, is_first);
        let name = line.split(|byte| *byte == b':').next().unwrap_or_default();
        match name {
            b"" => self.has_fields &= !line.is_empty(),
            b"retry" => {}
            b"id" => {
                self.has_fields = true;
                self.event.id = id_of(&line[name.len()..]);
            }
            b"data" => {
                self.has_fields = true;
                self.event.has_data = true;
            }
            _ => self.has_fields = true,
        }
        self.line.clear();
        (!self.has_fields).then(|| std::mem::take(&mut self.event))
    }
}

/// A line without the mark that the first one may have.
fn without_mark(line: &[u8], is_first: bool) -> &[u8] {
    match line.strip_prefix(BYTE_ORDER_MARK) {
        Some(rest) if is_first => rest,
        _ => line,
    }
}

/// Parses the value of an `id` field.
fn id_of(value: &[u8]) -> Option<u64> {
    let value = value.strip_prefix(b":")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
